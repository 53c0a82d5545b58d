//! Scheduling order: starvation, objectives at risk, preemption, claims and retries of failing jobs.

/// Milliseconds without a dispatched task after which a job precedes all others: less than half of the four minutes
/// within which every job must begin.
pub const STARVATION_MS: u64 = 100_000;

/// Age of a job from which [`OLD_JOB_STARVATION_MS`] applies instead, milliseconds.
pub const OLD_JOB_AGE_MS: u64 = 200_000;

/// Milliseconds without a dispatched task after which an old job precedes all others, so that it completes as well as
/// begins. With an eighth of its tasks each time ([`STARVED_TASK_DIVISOR`]), most of them are dispatched within four
/// minutes.
pub const OLD_JOB_STARVATION_MS: u64 = 25_000;

/// Inverse of the share of its waiting tasks, at least one, that is dispatched for a starved job at a time: few enough
/// not to reverse the scheduling order, and enough to complete the job eventually.
pub const STARVED_TASK_DIVISOR: u32 = 8;

/// Milliseconds for which a starved job without a machine keeps quota from other jobs of its team: two thirds of the
/// 90 s that one of these may wait beside a machine with room.
pub const MAX_RESERVATION_WITHOUT_MACHINE_MS: u64 = 60_000;

/// Milliseconds that a task waits without free capacity in any partition before the leader claims a machine for it.
pub const CLAIM_AFTER_MS: u64 = 3_000;

/// Lower bound of the maximum number of claims; see [`CLAIM_MACHINE_DIVISOR`]. On a small fleet it is enough to
/// unblock tasks that need much of a machine, without leaving the fleet idle.
pub const MIN_CLAIMS: usize = 4;

/// Inverse of the share of the machines that the leader may claim at a time. A larger share would leave the fleet idle.
pub const CLAIM_MACHINE_DIVISOR: usize = 16;

/// Milliseconds that a task waits without free capacity in any partition before other tasks are preempted for it. On a
/// busy fleet a task ends every second or so, and waiting for that costs nothing.
pub const PREEMPT_AFTER_MS: u64 = 3_000;

/// Milliseconds that a task waits without free capacity in any partition before others are preempted for one task of
/// its job although no objective is at risk: with an image fetch, less than half of the four minutes within which every
/// job must begin.
pub const PREEMPT_WITHOUT_RISK_AFTER_MS: u64 = 100_000;

/// Seconds before the latest start that meets an objective from which the objective counts as at risk, so that other
/// tasks are preempted: enough for a stop, an image fetch and two heartbeats.
pub const OBJECTIVE_AT_RISK_S: f64 = 10.0;

/// Seconds before the latest start that meets the objective for guarantees from which a guarantee counts as at risk, so
/// that its tasks precede work of higher priority: about the time in which a full fleet frees its capacity.
pub const GUARANTEE_AT_RISK_S: f64 = 30.0;

/// Number of failures of a job after which its tasks are retried with a backoff.
pub const FAILURES_BEFORE_BACKOFF: u32 = 3;

/// First backoff of a failing job, milliseconds; doubled up to [`MAX_FAILURE_BACKOFF_MS`].
pub const INITIAL_FAILURE_BACKOFF_MS: u64 = 2_000;

/// Maximum backoff of a failing job, milliseconds.
pub const MAX_FAILURE_BACKOFF_MS: u64 = 60_000;

/// Minimum remaining run time assumed for a running task, as a share of its estimate: estimates are often wrong by
/// half.
pub const MIN_REMAINING_SHARE: f64 = 0.2;
