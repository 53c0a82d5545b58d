//! The order of service: starvation, objectives at risk, preemption, claims and retries of failing jobs.

/// Milliseconds without a dispatched task after which a job comes before all others: less than half of the four
/// minutes within which even the largest job must begin, so that the bound holds under a burst.
pub const STARVATION_MS: u64 = 100_000;

/// Age of a job, milliseconds, from which on [`OLD_JOB_STARVATION_MS`] applies instead: it has begun by then, and
/// has to be completed as well.
pub const OLD_JOB_AGE_MS: u64 = 200_000;

/// Milliseconds without a dispatched task after which an old job comes before all others: with an eighth of its
/// tasks each time, most of them are dispatched within four minutes.
pub const OLD_JOB_STARVATION_MS: u64 = 25_000;

/// One in so many of its waiting tasks, and at least one, is dispatched for a starved job at a time: enough to
/// complete it eventually, few enough not to reverse the order of service.
pub const STARVED_TASK_DIVISOR: u32 = 8;

/// Milliseconds that a task waits without free capacity in any partition before the leader claims a machine.
pub const CLAIM_AFTER_MS: u64 = 3_000;

/// Claims that the leader may hold at a time on a small fleet: enough to unblock tasks that need much of a
/// machine, few enough not to leave the fleet idle ...
pub const MIN_CLAIMS: usize = 4;

/// ... and on a large one, one in so many of its machines.
pub const CLAIM_MACHINE_DIVISOR: usize = 16;

/// Milliseconds that a task waits without free capacity in any partition before others are preempted for it. On a
/// busy fleet a task ends every second or so, and to wait for that costs nothing.
pub const PREEMPT_AFTER_MS: u64 = 3_000;

/// Seconds before the latest start of a waiting task that meets its objective, from which on others are preempted
/// for it: enough for a stop, an image fetch and two heartbeats.
pub const OBJECTIVE_AT_RISK_S: f64 = 10.0;

/// Seconds before work within a guaranteed quota has waited too long, from which on it comes before work of
/// higher priority: as long as a full fleet takes to complete tasks for all of a guarantee.
pub const GUARANTEE_AT_RISK_S: f64 = 30.0;

/// Failures of a job after which its tasks are retried with a backoff.
pub const FAILURES_BEFORE_BACKOFF: u32 = 3;

/// Milliseconds of the first backoff of a failing job; doubled up to [`MAX_FAILURE_BACKOFF_MS`].
pub const INITIAL_FAILURE_BACKOFF_MS: u64 = 2_000;

/// Maximum backoff of a failing job, milliseconds.
pub const MAX_FAILURE_BACKOFF_MS: u64 = 60_000;

/// Minimum share of its estimate that a running task is assumed to need still, however long it has run:
/// estimates are often wrong by half.
pub const MIN_REMAINING_SHARE: f64 = 0.2;
