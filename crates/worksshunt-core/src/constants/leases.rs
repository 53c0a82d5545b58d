//! Leases of controllers and of workers, and their safety margins.

/// Milliseconds that a member key outlives its controller's last renewal. Several times the slowest
/// responses of the key-value store (a few hundred ms), and as short as that allows, because no controller takes
/// over the partition of a failed one before.
pub const MEMBER_LEASE_TTL_MS: u64 = 4_000;

/// Milliseconds between lease renewals: three can be lost.
pub const MEMBER_LEASE_RENEWAL_INTERVAL_MS: u64 = 1_000;

/// Milliseconds between reads of the control keys, which detect failed members and confirm the epoch.
pub const CONTROL_KEYS_READ_INTERVAL_MS: u64 = 1_000;

/// Milliseconds, from the sending of a request that confirmed the epoch, for which a controller may act. Three
/// reads of the control keys can fail meanwhile. An outage of the key-value store may last this long plus a
/// worker's lease (16 s at the shortest seen) without the loss of a worker; a new owner waits this long on top
/// of the lease before it treats the lease of a silent machine as expired.
pub const EPOCH_LEASE_MS: u64 = 4_000;

/// Milliseconds added to every worker lease computed here, for late timers.
pub const WORKER_LEASE_MARGIN_MS: u64 = 500;

/// Share by which monotonic clocks may drift against each other (0.05%), doubled.
pub const CLOCK_DRIFT_SHARE: f64 = 0.001;

/// Consecutive reads of the control keys that must show a new member before an epoch admits it, so that a
/// controller that keeps crashing does not cause a new epoch each time.
pub const READS_BEFORE_MEMBER_ADMISSION: u32 = 2;

/// Attempt numbers per epoch: an attempt's number is the epoch's number times this plus a count. At a thousand
/// attempts a second they last for four and a half hours, after which the leader begins a new epoch.
pub const ATTEMPTS_PER_EPOCH: u64 = 1 << 24;
