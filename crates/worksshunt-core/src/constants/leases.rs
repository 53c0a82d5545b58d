//! Leases of controllers and of workers, and the margins that they are reckoned with.

/// Milliseconds a member key outlives its controller's last renewal. Longer than the slowest
/// answers of the state service (a few hundred ms) several times over; as short as that allows,
/// because nobody takes over a dead controller's part before.
pub const MEMBER_LEASE_TTL_MS: u64 = 4_000;

/// Milliseconds between renewals of the lease: three can be lost.
pub const MEMBER_LEASE_RENEWAL_INTERVAL_MS: u64 = 1_000;

/// Milliseconds between reads of the control keys, which find dead members and confirm the epoch.
pub const CONTROL_KEYS_INTERVAL_MS: u64 = 1_000;

/// Milliseconds after sending a request that confirmed the epoch during which a controller may
/// act. Three control reads can fail meanwhile. An outage of the state service may last this long
/// plus a worker's lease (16 s at the shortest seen) without costing one; a new owner waits this
/// long on top of the lease before it gives up a silent machine.
pub const EPOCH_LEASE_MS: u64 = 4_000;

/// Milliseconds added to every lease computed here, for late timers.
pub const WORKER_LEASE_MARGIN_MS: u64 = 500;

/// Share by which steady clocks may drift against each other (0.05%), doubled.
pub const CLOCK_DRIFT_SHARE: f64 = 0.001;

/// Control reads in a row that must show a new member before an epoch admits it, so that a
/// controller that keeps crashing does not cost an epoch each time.
pub const ADMIT_AFTER_READS: u32 = 2;

/// Attempts numbered per epoch: an attempt's number is the epoch's times this plus a count. At a thousand a
/// second they last for four hours and a half, after which the leader begins a new epoch.
pub const ATTEMPTS_PER_EPOCH: u64 = 1 << 24;
