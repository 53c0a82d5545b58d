//! Intervals of a controller's periodic work, and the time budget of a scheduling round.

/// Milliseconds between two ticks. Events are handled at once; ticks are for timers that are due.
pub const TICK_MS: u64 = 100;

/// Milliseconds that a scheduling round may take before its rest is deferred to the next one: a quarter of
/// [`ROUND_INTERVAL_MS`], which leaves the rest of the time for responses to requests.
pub const ROUND_BUDGET_MS: u64 = 12;

/// Milliseconds between the beginnings of two scheduling rounds.
pub const ROUND_INTERVAL_MS: u64 = 50;

/// Milliseconds between two checks of tasks that have been waiting for capacity.
pub const WAITING_TASKS_CHECK_INTERVAL_MS: u64 = 1_000;

/// Milliseconds before unreadable records are read again.
pub const UNREADABLE_RECORDS_RETRY_DELAY_MS: u64 = 5_000;

/// Milliseconds between two plans of scaling out and in.
pub const FLEET_PLANNING_INTERVAL_MS: u64 = 1_000;

/// Milliseconds between two reads of the machine list.
pub const MACHINE_LIST_INTERVAL_MS: u64 = 3_000;

/// Milliseconds between two reads of the catalogue once it is known.
pub const CATALOG_INTERVAL_MS: u64 = 120_000;

/// Milliseconds before an unanswered or refused catalogue request is retried.
pub const CATALOG_RETRY_DELAY_MS: u64 = 1_000;

/// Milliseconds between two log summaries of over-capacity placements (design).
pub const OVER_CAPACITY_SUMMARY_INTERVAL_MS: u64 = 30_000;
