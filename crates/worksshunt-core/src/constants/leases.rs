//! Leases of controllers and workers, and their safety margins.

use worksshunt_wire::Epoch;

/// Time to live of a controller's member key, milliseconds. It must exceed the slowest responses of the store; a longer
/// one delays the failover of a failed controller's partition. The slowest responses take a few hundred milliseconds.
pub const MEMBER_LEASE_TTL_MS: u64 = 4_000;

/// Interval of lease renewals, milliseconds: three consecutive renewals may fail.
pub const MEMBER_LEASE_RENEWAL_INTERVAL_MS: u64 = 1_000;

/// Interval of reads of the control keys, milliseconds. They detect failed members and confirm the epoch.
pub const CONTROL_KEYS_READ_INTERVAL_MS: u64 = 1_000;

/// Milliseconds for which a controller may act after it sent a request that confirmed the epoch. Three consecutive
/// reads of the control keys may fail. A new owner assumes that the previous one may have renewed workers' leases for
/// this long. If peers do not confirm the epoch, an outage of the store may last this long plus a worker lease before a
/// worker loses its tasks.
pub const EPOCH_LEASE_MS: u64 = 4_000;

/// Milliseconds that a controller adds to a worker's lease before it treats the lease as expired, for timers that fire
/// late.
pub const WORKER_LEASE_MARGIN_MS: u64 = 500;

/// Twice the maximum drift rate between two monotonic clocks (0.05%).
pub const CLOCK_DRIFT_SHARE: f64 = 0.001;

/// Consecutive reads of the control keys that must list a new member before an epoch admits it, so that a
/// crash-looping controller does not cause a new epoch at each start.
pub const READS_BEFORE_MEMBER_ADMISSION: u32 = 2;

/// Number of fencing tokens per epoch. A response that reaps ended attempts may raise a worker's token by one; once
/// none is left, the worker's launches are sent only with responses.
pub const FENCING_TOKENS_PER_EPOCH: u64 = 1 << 20;

/// Epochs after one with a higher number have one fencing token each, so that attempt numbers stay below 2^64.
pub const MAX_EPOCH_BEFORE_TOKEN_RANGE: Epoch = Epoch(u64::MAX / ATTEMPTS_PER_EPOCH / 2);

/// Number of attempt numbers per epoch: an attempt number is the epoch number times this plus a counter. The leader
/// begins a new epoch when they are used up. At a thousand attempts per second they last for four and a half hours.
pub const ATTEMPTS_PER_EPOCH: u64 = 1 << 24;
