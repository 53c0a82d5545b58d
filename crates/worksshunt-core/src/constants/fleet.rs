//! Scaling out and in: requests to the cloud, and when machines are released.

/// Seconds by which a list must be later than another to prove that a machine missing from it is gone: more than
/// the rounding of ages.
pub const MACHINE_LIST_AGE_MARGIN_S: f64 = 1.0;

/// Lags of the cloud's list for which a machine that is neither listed nor reported is remembered.
pub const FORGET_AFTER_LIST_LAGS: u64 = 3;

/// Milliseconds after which a request to the cloud counts as unanswered.
pub const CLOUD_REQUEST_TIMEOUT_MS: u64 = 4_000;

/// Share of the cloud's request limit that the leader uses.
pub const CLOUD_REQUEST_SHARE: f64 = 0.8;

/// Maximum number of machines in a provision request (protocol).
pub const MAX_MACHINES_PER_PROVISION_REQUEST: u32 = 50;

/// Provision requests that may be in flight at a time in any case; more where that is fewer than half of the calls
/// that the cloud accepts in a second. Responses take some 200 ms, so that requests one after the other would take
/// a second for 250 machines.
pub const MIN_PENDING_PROVISION_LIMIT: usize = 4;

/// Maximum number of machines in a release request (protocol).
pub const MAX_MACHINES_PER_RELEASE_REQUEST: usize = 100;

/// Seconds that a task of a class without objectives may wait: near the 60 s that every machine is charged
/// for at least.
pub const DEFAULT_SLACK_S: f64 = 60.0;

/// Minimum seconds of work that justify provisioning a machine's worth of processors, however urgent.
pub const MIN_SLACK_S: f64 = 5.0;

/// Maximum seconds of work that are left to wait for machines that are already provisioned, however long the tasks
/// may wait.
pub const MAX_SLACK_S: f64 = 20.0;

/// Milliseconds for which a refused offer (type, zone, and spot or on-demand) is not requested again.
pub const REFUSED_OFFER_BACKOFF_MS: u64 = 15_000;

/// Boot times of its type that a machine stays empty, with no task waiting, before it is released: one released
/// earlier would often be needed again before another has booted.
pub const IDLE_RELEASE_BOOT_TIMES: f64 = 0.5;

/// Milliseconds that a machine stays empty at least, however fast its type boots: a sixth of the time that
/// every machine is charged for at least.
pub const MIN_IDLE_RELEASE_MS: u64 = 10_000;

/// Heartbeat intervals for which a machine that the cloud lists as running counts as future capacity without
/// a heartbeat. After a crash a worker may need a heartbeat, its deadline and a redirect to find its new
/// owner.
pub const FIRST_HEARTBEAT_TIMEOUT_INTERVALS: f64 = 4.0;

/// Multiple of the nominal boot time after which a booting machine counts as failed ...
pub const BOOT_TIMEOUT_FACTOR: f64 = 3.0;

/// ... and seconds added to that.
pub const BOOT_TIMEOUT_EXTRA_S: f64 = 20.0;

/// Maximum number of machines in a page of the cloud's list (protocol).
pub const MACHINE_LIST_PAGE_SIZE: usize = 500;
