//! When a controller steps back from owning machines, and when it offers itself again.

/// Report intervals without any report, from all of several machines, after which a controller
/// concludes that workers do not reach it. Reports come at most a quarter later than the interval.
pub const UNREACHABLE_HEARTBEAT_INTERVALS: f64 = 1.7;

/// Machines that must all be silent for that conclusion: fewer may well have died together.
pub const UNREACHABLE_MIN_MACHINES: usize = 3;

/// Milliseconds after which a controller that workers did not reach offers itself again ...
pub const READINESS_RETRY_MS: u64 = 45_000;

/// ... doubled each time it was in vain, up to this.
pub const READINESS_RETRY_MAX_MS: u64 = 600_000;

/// Milliseconds without an answer of the leader after which a controller steps back from owning
/// machines. Longer than a leader is busy with records after a crash; a dead one is found out before
/// by its lease.
pub const LEADER_SILENT_MS: u64 = 6_000;

/// Milliseconds for which it stays back at the least, so that a link that fails now and then does not
/// cost an epoch each time.
pub const LEADER_RETRY_MS: u64 = 10_000;
