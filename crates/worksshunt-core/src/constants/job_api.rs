//! User requests: submissions, status queries and cancellations.

/// Number of waiting submissions above which a controller writes them in batches, several to a key. Below it, each is
/// written to its own key, which saves the second write that splits a batch.
pub const SUBMISSION_BATCH_THRESHOLD: usize = 6;

/// Milliseconds that a submission waits to be written before it is refused with a retry: half of the users' response
/// timeout.
pub const SUBMISSION_TIMEOUT_MS: u64 = 2_500;

/// Seconds after which a refused client should retry: the minimum in the protocol.
pub const RETRY_AFTER_S: u64 = 1;

/// Maximum size of a request body, bytes (protocol).
pub const MAX_BODY_BYTES: usize = 64 * 1024;

/// Maximum length of a machine name, bytes: half of the maximum key length of the key-value store (protocol).
pub const MAX_MACHINE_NAME_BYTES: usize = 100;

/// Upper bound of the bytes that a stored job takes in addition to its specification.
pub const STORED_JOB_OVERHEAD_BYTES: usize = 256;

/// Maximum number of tasks of a job (protocol).
pub const MAX_TASKS_PER_JOB: u32 = 100_000;

/// Maximum number of final job states that a controller caches. Others are read from the store on request. The cache
/// covers a quarter of an hour at ten jobs per second.
pub const MAX_CACHED_FINAL_STATES: usize = 10_000;

/// Maximum number of closed jobs that a controller caches, for a new leader that reads records of their attempts: the
/// jobs of several worker leases. At ten jobs per second they cover some minutes; each takes 600 bytes.
pub const MAX_CACHED_CLOSED_JOBS: usize = 4_096;

/// Response timeout of the command-line client, milliseconds: that of the users (protocol).
pub const CLIENT_RESPONSE_TIMEOUT_MS: u64 = 5_000;
