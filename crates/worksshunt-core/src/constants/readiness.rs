//! When a controller stops being ready to own machines, and when it becomes ready again.

/// Heartbeat intervals without any heartbeat, from all of several machines, after which a controller concludes
/// that workers do not reach it. Heartbeats come at most a quarter of the interval late.
pub const UNREACHABLE_HEARTBEAT_INTERVALS: f64 = 1.7;

/// Minimum number of machines that must all be silent for that conclusion: fewer may well have failed together.
pub const MIN_UNREACHABLE_MACHINES: usize = 3;

/// Milliseconds after which a controller that workers did not reach becomes ready again ...
pub const READINESS_RETRY_MS: u64 = 45_000;

/// ... doubled each time that workers still did not reach it, up to this.
pub const MAX_READINESS_RETRY_MS: u64 = 600_000;

/// Milliseconds without a response of the leader after which a controller is no longer ready. Longer than a new
/// leader is busy with records after a crash; a failed leader is detected earlier by its lease.
pub const LEADER_SILENCE_TIMEOUT_MS: u64 = 6_000;

/// Minimum milliseconds before it becomes ready again, so that an intermittent link does not cause a new epoch
/// each time.
pub const MIN_LEADER_SILENCE_RECOVERY_MS: u64 = 10_000;
