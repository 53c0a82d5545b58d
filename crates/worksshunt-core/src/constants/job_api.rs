//! Users' requests: submissions, status queries and cancellations.

/// Submissions waiting at a controller beyond which they are written in batches, many to a key. Fewer are
/// written directly, each to a key of its own, which saves the second write.
pub const SUBMISSION_BATCH_THRESHOLD: usize = 6;

/// Milliseconds that a submission waits to be written before it is refused with a retry: half of what users
/// wait for a response.
pub const SUBMISSION_TIMEOUT_MS: u64 = 2_500;

/// Seconds after which a refused client should retry: the minimum in the protocol.
pub const RETRY_AFTER_S: u64 = 1;

/// Maximum bytes of a request body (protocol).
pub const MAX_BODY_BYTES: usize = 64 * 1024;

/// Maximum bytes of a machine's name: half of a key of the key-value store (protocol).
pub const MAX_MACHINE_NAME_BYTES: usize = 100;

/// Bytes by which a stored job is longer than its description: the JSON around it and the time of
/// acceptance, rounded up.
pub const STORED_JOB_OVERHEAD_BYTES: usize = 256;

/// Maximum number of tasks of a job (protocol).
pub const MAX_TASKS_PER_JOB: u32 = 100_000;

/// Final job states cached by a controller, a quarter of an hour at ten jobs a second; others are read from the
/// store on request.
pub const MAX_CACHED_FINAL_STATES: usize = 10_000;

/// Closed jobs cached by a controller, for a leader that finds records of their attempts: as many as
/// close in some minutes, which is several leases, at the ten jobs a second of 4,000 machines; 600 bytes each.
pub const MAX_CACHED_CLOSED_JOBS: usize = 4_096;

/// Milliseconds that the command-line client waits for a response, as users do (protocol).
pub const CLIENT_RESPONSE_TIMEOUT_MS: u64 = 5_000;
