//! Readiness of a controller to own machines.

/// Heartbeat intervals without a heartbeat from any of several machines after which a controller concludes that workers
/// cannot reach it. Heartbeats are at most a quarter of the interval late.
pub const UNREACHABLE_HEARTBEAT_INTERVALS: f64 = 1.7;

/// Minimum number of machines, all without heartbeats, for that conclusion. Fewer may have failed at the same time.
pub const MIN_UNREACHABLE_MACHINES: usize = 3;

/// Milliseconds before a controller that workers could not reach becomes ready again, doubled each time up to
/// [`MAX_HEARTBEAT_LOSS_DELAY_MS`].
pub const INITIAL_HEARTBEAT_LOSS_DELAY_MS: u64 = 45_000;

/// Maximum of that delay, milliseconds.
pub const MAX_HEARTBEAT_LOSS_DELAY_MS: u64 = 600_000;

/// Milliseconds without a response from the leader after which a controller is not ready. Longer than a new leader
/// loads records after a crash; a failed leader is detected earlier by its lease.
pub const LEADER_UNRESPONSIVE_AFTER_MS: u64 = 6_000;

/// Minimum milliseconds before such a controller becomes ready again, so that an intermittent link does not cause a new
/// epoch each time.
pub const MIN_LEADER_LOSS_DELAY_MS: u64 = 10_000;
