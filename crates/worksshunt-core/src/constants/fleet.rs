//! Scaling out and in: requests to the cloud, and when machines go back.

/// Seconds by which a list must be later than another for what is missing to be gone: more than ages
/// are rounded by.
pub const LIST_AGE_MARGIN_S: f64 = 1.0;

/// Milliseconds after which a cloud request counts as unanswered.
pub const CLOUD_DEADLINE_MS: u64 = 4_000;

/// Share of the cloud's request limit the leader uses.
pub const CLOUD_REQUEST_SHARE: f64 = 0.8;

/// Machines in one rental request (protocol).
pub const MAX_MACHINES_PER_PROVISION_REQUEST: u32 = 50;

/// Rental requests under way at a time in any case, and more where the cloud takes so many that these are
/// fewer than half of its calls of a second. Answers take some 200 ms, so that one after the other they would take a
/// second for 250 machines.
pub const MIN_PROVISION_REQUESTS: usize = 4;

/// Machines in one return request (protocol).
pub const MAX_MACHINES_PER_RELEASE_REQUEST: usize = 100;

/// Seconds a task of a class without objectives may wait: near the 60 s that a machine costs at the
/// least.
pub const DEFAULT_SLACK_S: f64 = 60.0;

/// Least seconds of work that justify renting a machine's worth of processors, however urgent.
pub const MIN_SLACK_S: f64 = 5.0;

/// Most seconds of work that are left waiting for machines rented already, however patient.
pub const MAX_SLACK_S: f64 = 20.0;

/// Milliseconds a refused (type, zone, kind) is not asked for again.
pub const REFUSED_OFFER_PAUSE_MS: u64 = 15_000;

/// Boot times of its type that a machine stays empty, with nothing waiting, before it is returned: what
/// is kept for less long would often be missed before another is up.
pub const IDLE_RELEASE_BOOT_TIMES: f64 = 0.5;

/// Milliseconds a machine stays empty at the least, however fast its type boots: a sixth of what one
/// costs at the least.
pub const MIN_IDLE_RELEASE_MS: u64 = 10_000;

/// Report intervals for which a machine that the cloud lists as running counts as one that will take
/// work without having been heard of. After a crash a worker may need a report, its deadline and a
/// redirect to find its new owner.
pub const UNHEARD_HEARTBEAT_INTERVALS: f64 = 4.0;

/// Times the nominal boot time after which a starting machine is given up ...
pub const BOOT_TIMEOUT_FACTOR: f64 = 3.0;

/// ... and seconds added to that.
pub const BOOT_TIMEOUT_EXTRA_S: f64 = 20.0;

/// Machines in one page of the cloud's list (protocol).
pub const MACHINE_LIST_PAGE: usize = 500;
