//! Intervals of what a controller does by the clock, and the time that a round of decisions may take.

/// Milliseconds between two looks at the time. What happens is acted on at once; this is for what
/// falls due.
pub const TICK_MS: u64 = 100;

/// Milliseconds a decision round may take before it is put off to the next one. A quarter of a
/// tick leaves the rest for answering requests.
pub const ROUND_BUDGET_MS: u64 = 12;

/// Milliseconds between the beginnings of two rounds of handing out.
pub const ROUND_INTERVAL_MS: u64 = 50;

/// Milliseconds between two looks at tasks that have found no room for long.
pub const WAITING_TASKS_INTERVAL_MS: u64 = 1_000;

/// Milliseconds before records that could not be understood are read again.
pub const UNREADABLE_RECORDS_RETRY_MS: u64 = 5_000;

/// Milliseconds between two looks at the fleet.
pub const FLEET_INTERVAL_MS: u64 = 1_000;

/// Milliseconds between two readings of the machine list.
pub const MACHINE_LIST_INTERVAL_MS: u64 = 3_000;

/// Milliseconds between two readings of the catalogue once it is known.
pub const CATALOG_INTERVAL_MS: u64 = 120_000;

/// Milliseconds before an unanswered or refused catalogue request is repeated.
pub const CATALOG_RETRY_MS: u64 = 1_000;

/// Milliseconds between two over-capacity summaries (design).
pub const OVER_CAPACITY_SUMMARY_INTERVAL_MS: u64 = 30_000;
