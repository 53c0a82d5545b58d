//! Synchronisation between the owner of a partition and the leader.

/// Milliseconds between synchronisations of an owner with the leader while no updates are pending.
pub const SYNC_IDLE_INTERVAL_MS: u64 = 500;

/// Milliseconds between synchronisations while updates are pending: short compared with the interval of workers'
/// heartbeats, which is half a second or more.
pub const SYNC_BUSY_INTERVAL_MS: u64 = 100;

/// Milliseconds without a message from a partition's owner after which no task is assigned to it: two
/// synchronisations and a deadline.
pub const PARTITION_SILENCE_TIMEOUT_MS: u64 = 2_000;

/// Milliseconds between two transmissions of the jobs' progress to a partition's owner. Users see it in responses
/// to polls 5 s apart.
pub const PROGRESS_SYNC_INTERVAL_MS: u64 = 1_000;

/// Milliseconds after which a synchronisation is given up and retried.
pub const SYNC_TIMEOUT_MS: u64 = 1_000;

/// Maximum bytes of a frame accepted from a peer: several times the largest one sent ([`MAX_MACHINES_PER_SYNC`],
/// [`MAX_CHANGES_PER_SYNC`]).
pub const MAX_FRAME_BYTES: usize = 4 * 1024 * 1024;

/// Maximum number of machines described in one synchronisation, the others in the next: twice the largest fleet
/// required (4,000), at some 100 bytes each and 300 at most.
pub const MAX_MACHINES_PER_SYNC: usize = 8_192;

/// Maximum number of changes of each kind (attempts, outcomes, tasks) in one synchronisation, the others in the next
/// one, 100 ms later. Each is some 50 bytes and 200 at most. More at a time would be retransmitted again and
/// again to a controller that cannot process them within the deadline.
pub const MAX_CHANGES_PER_SYNC: usize = 4_096;

/// Milliseconds for which a partition keeps an assigned task that it finds no machine for, before it returns the
/// task to the leader.
pub const ASSIGNMENT_QUEUE_TIMEOUT_MS: u64 = 4_000;
