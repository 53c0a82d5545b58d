//! The exchange between the owner of a partition and the leader.

/// Milliseconds between exchanges of an owner with the leader when nothing presses.
pub const SYNC_IDLE_INTERVAL_MS: u64 = 500;

/// Milliseconds between exchanges when something has changed: often enough not to be felt beside
/// workers' reports, which come every half second at most.
pub const SYNC_BUSY_INTERVAL_MS: u64 = 100;

/// Milliseconds without a message from a part's owner after which it is handed nothing: two exchanges
/// and a deadline.
pub const PARTITION_SILENT_MS: u64 = 2_000;

/// Milliseconds between two tellings of jobs' progress to a part's owner. Users see it in answers to
/// polls 5 s apart.
pub const PROGRESS_INTERVAL_MS: u64 = 1_000;

/// Milliseconds after which an exchange is given up and repeated.
pub const SYNC_DEADLINE_MS: u64 = 1_000;

/// Longest frame taken from a peer, bytes: several times the largest one sent ([`SYNC_MAX_MACHINES`],
/// [`SYNC_MAX_CHANGES`]).
pub const MAX_FRAME_BYTES: usize = 4 * 1024 * 1024;

/// Machines described in one exchange between an owner and the leader, the others in the next: twice the largest
/// fleet asked for (4,000), at some 100 bytes each and 300 at the most.
pub const SYNC_MAX_MACHINES: usize = 8_192;

/// Attempts, ends, or tasks of any other kind in one exchange, the others in the next one, 100 ms later. Each is
/// some 50 bytes and 200 at the most. More at a time would be told again and again by a controller that
/// cannot take them in within the deadline of an exchange.
pub const SYNC_MAX_CHANGES: usize = 4_096;

/// Milliseconds a part may hold a task it finds no machine for before handing it back.
pub const ASSIGNMENT_QUEUE_TIMEOUT_MS: u64 = 4_000;
