//! The order of service: starvation, objectives at risk, preemption, claims and retries of failing jobs.

/// Milliseconds after which a job that had no task handed out comes before all others: less than half
/// of the four minutes within which even the largest job must begin, so that it holds under a burst.
pub const STARVATION_MS: u64 = 100_000;

/// Age of a job, milliseconds, from which it has waited long enough for that after
/// [`OLD_JOB_STARVATION_MS`] already: it has begun by then, and has to get done as well.
pub const OLD_JOB_MS: u64 = 200_000;

/// Milliseconds without a task handed out after which an old job comes before all others: with an
/// eighth of its tasks each time, most of them are out within four minutes.
pub const OLD_JOB_STARVATION_MS: u64 = 25_000;

/// One in so many of its waiting tasks, and at least one, is what such a job gets at a time: enough
/// to get it done in the end, little enough not to turn the order of service around.
pub const STARVED_TASK_DIVISOR: u32 = 8;

/// Milliseconds a task waits without any part having room before the leader claims a machine.
pub const CLAIM_AFTER_MS: u64 = 3_000;

/// Claims the leader may hold at a time on a small fleet: enough to unblock wide tasks, few enough not
/// to idle it ...
pub const MIN_CLAIMS: usize = 4;

/// ... and on a large one, one in so many of its machines.
pub const CLAIM_MACHINE_DIVISOR: usize = 16;

/// Milliseconds a task waits without any part having room before others are stopped for it. On a
/// busy fleet a task ends every second or so, which costs nothing.
pub const PREEMPT_AFTER_MS: u64 = 3_000;

/// Seconds before the last moment at which a waiting task can start in time, from which on others
/// are stopped for it: enough for a stop, a fetch and two reports.
pub const OBJECTIVE_AT_RISK_S: f64 = 10.0;

/// Seconds before work within a guarantee has waited too long, from which on it comes before work of
/// higher priority: as long as a full fleet takes to end tasks for all of a guarantee.
pub const GUARANTEE_LEAD_S: f64 = 30.0;

/// Failures of a job after which its tasks wait between tries.
pub const FAILURES_BEFORE_BACKOFF: u32 = 3;

/// Milliseconds of the first wait of a failing job; doubled up to [`FAILURE_BACKOFF_MAX_MS`].
pub const FAILURE_BACKOFF_MS: u64 = 2_000;

/// Longest wait of a failing job, milliseconds.
pub const FAILURE_BACKOFF_MAX_MS: u64 = 60_000;

/// Share of its estimate that a running task is taken to need still, however long it has run:
/// estimates are often wrong by half.
pub const MIN_REMAINING_SHARE: f64 = 0.2;
