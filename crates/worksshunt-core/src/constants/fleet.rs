//! Scaling out and in: requests to the cloud and the release of machines.

/// Seconds by which a machine list must be later than another to prove that a machine missing from it is terminated:
/// more than the rounding error of ages.
pub const MACHINE_LIST_AGE_MARGIN_S: f64 = 1.0;

/// Time after which a machine that is neither listed nor reported is forgotten, in lags of the cloud's machine list.
pub const FORGET_AFTER_LIST_LAGS: u64 = 3;

/// Timeout of a request to the cloud, milliseconds.
pub const CLOUD_REQUEST_TIMEOUT_MS: u64 = 4_000;

/// Share of the cloud's request limit that the leader uses.
pub const CLOUD_REQUEST_SHARE: f64 = 0.8;

/// Maximum number of machines in a provision request (protocol).
pub const MAX_MACHINES_PER_PROVISION_REQUEST: u32 = 50;

/// Lower bound of the limit of pending provision requests. The limit is half of the calls per second that the leader
/// may send to the cloud, if that is more. The cloud responds after some 200 ms, so requests one after the other would
/// take a second for 250 machines.
pub const MIN_PENDING_PROVISION_LIMIT: usize = 4;

/// Maximum number of machines in a release request (protocol).
pub const MAX_MACHINES_PER_RELEASE_REQUEST: usize = 100;

/// Slack of a task whose class has no objectives, seconds. The slack is the time that a task may wait. It is
/// near the 60 s that every machine is charged for at least.
pub const DEFAULT_SLACK_S: f64 = 60.0;

/// Minimum slack of a task, seconds, however urgent it is.
pub const MIN_SLACK_S: f64 = 5.0;

/// Maximum slack of a task, seconds, however long it may wait.
pub const MAX_SLACK_S: f64 = 20.0;

/// Milliseconds that a task waits for a spot machine at most, if an on-demand one can be had: half of the four minutes
/// within which every job must begin.
pub const MAX_SPOT_WAIT_MS: u64 = 120_000;

/// Milliseconds before an offer that the cloud refused is requested again.
pub const REFUSED_OFFER_BACKOFF_MS: u64 = 15_000;

/// Idle time after which a machine is released, in boot times of its type: releasing and booting again takes longer.
pub const IDLE_RELEASE_BOOT_TIMES: f64 = 0.5;

/// Minimum idle time before a machine is released, milliseconds: a sixth of the minimum billing period of a machine.
pub const MIN_IDLE_RELEASE_MS: u64 = 10_000;

/// Heartbeat intervals for which a machine that the cloud lists as running counts as future capacity before its first
/// heartbeat. After a controller crash, a worker may need a heartbeat, its timeout and a redirect to find the new
/// owner.
pub const FIRST_HEARTBEAT_TIMEOUT_INTERVALS: f64 = 4.0;

/// Slowest usual boot, in nominal boot times (protocol).
pub const SLOW_BOOT_FACTOR: f64 = 1.5;

/// Boot timeout in nominal boot times; [`BOOT_TIMEOUT_EXTRA_S`] is added. A machine that is still booting after that
/// counts as failed.
pub const BOOT_TIMEOUT_FACTOR: f64 = 3.0;

/// Constant part of the boot timeout, seconds.
pub const BOOT_TIMEOUT_EXTRA_S: f64 = 20.0;

/// Maximum number of machines in a page of the cloud's machine list (protocol).
pub const MACHINE_LIST_PAGE_SIZE: usize = 500;
