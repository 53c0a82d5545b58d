//! Intervals of a controller's periodic work, and the time budget of a scheduling round.

/// Interval of ticks, milliseconds. Ticks run due timers; events are handled when they arrive.
pub const TICK_MS: u64 = 100;

/// Time budget of a scheduling round, milliseconds. The remaining work is deferred to the next round, which leaves most
/// of [`ROUND_INTERVAL_MS`] for responses to requests: it is a quarter of that interval.
pub const ROUND_BUDGET_MS: u64 = 12;

/// Interval between the beginnings of scheduling rounds, milliseconds.
pub const ROUND_INTERVAL_MS: u64 = 50;

/// Interval of checks of tasks that wait for capacity, milliseconds.
pub const WAITING_TASKS_CHECK_INTERVAL_MS: u64 = 1_000;

/// Delay before unreadable records are read again, milliseconds.
pub const UNREADABLE_RECORDS_RETRY_DELAY_MS: u64 = 5_000;

/// Interval of plans for scaling out and in, milliseconds.
pub const FLEET_PLANNING_INTERVAL_MS: u64 = 1_000;

/// Interval of reads of the cloud's machine list, milliseconds.
pub const MACHINE_LIST_INTERVAL_MS: u64 = 3_000;

/// Interval of reads of the catalog after the first successful one, milliseconds.
pub const CATALOG_INTERVAL_MS: u64 = 120_000;

/// Delay before an unanswered or refused catalog request is retried, milliseconds.
pub const CATALOG_RETRY_DELAY_MS: u64 = 1_000;

/// Interval of log summaries of over-capacity placements, milliseconds.
pub const OVER_CAPACITY_SUMMARY_INTERVAL_MS: u64 = 30_000;
