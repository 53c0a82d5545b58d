//! Synchronization between the owner of a partition and the leader.

/// Interval of synchronizations while no updates are pending, milliseconds.
pub const SYNC_IDLE_INTERVAL_MS: u64 = 500;

/// Interval of synchronizations while updates are pending, milliseconds: short compared with the heartbeat interval.
/// A worker sends at most one heartbeat every half second.
pub const SYNC_BUSY_INTERVAL_MS: u64 = 100;

/// Milliseconds without a message from a partition's owner after which no task is assigned to the partition: two
/// synchronizations and a timeout.
pub const PARTITION_UNRESPONSIVE_AFTER_MS: u64 = 2_000;

/// Interval at which the leader sends the progress of jobs to each partition owner, milliseconds. It is only for status
/// responses to users, who poll every 5 s.
pub const PROGRESS_SYNC_INTERVAL_MS: u64 = 1_000;

/// Timeout of a synchronization, milliseconds. It is then retried.
pub const SYNC_TIMEOUT_MS: u64 = 1_000;

/// Maximum size of a frame accepted from a peer, bytes: several times the largest frame sent
/// ([`MAX_MACHINES_PER_SYNC`], [`MAX_CHANGES_PER_SYNC`]).
pub const MAX_FRAME_BYTES: usize = 4 * 1024 * 1024;

/// Maximum number of machines in a synchronization; the others follow in the next one. It is twice the largest
/// required fleet (4,000 machines); a machine takes some 100 bytes, and 300 at most.
pub const MAX_MACHINES_PER_SYNC: usize = 8_192;

/// Maximum number of changes of each kind (attempts, outcomes, tasks) in a synchronization; the others follow in the
/// next one. A larger message that cannot be processed within the timeout would be sent again and again. A change takes
/// some 50 bytes, and 200 at most.
pub const MAX_CHANGES_PER_SYNC: usize = 4_096;

/// Milliseconds for which a partition queues an assigned task without finding a machine before it returns the task to
/// the leader.
pub const ASSIGNMENT_QUEUE_TIMEOUT_MS: u64 = 4_000;
