//! Users' requests: submissions, status queries and cancellations.

/// Submissions waiting at a controller from which they are taken in many to a key. Fewer are written
/// one to a key at once, which saves the second write.
pub const SUBMISSION_BATCH_THRESHOLD: usize = 6;

/// Milliseconds a submission waits for its turn to be written before its user is asked to come back:
/// half of what users wait for an answer.
pub const SUBMISSION_TIMEOUT_MS: u64 = 2_500;

/// Seconds a refused user is asked to wait: the least the protocol knows.
pub const RETRY_AFTER_S: u64 = 1;

/// Bytes of a request body (protocol).
pub const MAX_BODY_BYTES: usize = 64 * 1024;

/// Bytes of a machine's name: half of a key of the state service (protocol).
pub const MAX_MACHINE_NAME_BYTES: usize = 100;

/// Bytes by which a stored job is longer than its description: the frame around it and the time of
/// acceptance, rounded up.
pub const STORED_JOB_OVERHEAD_BYTES: usize = 256;

/// Tasks of a job (protocol).
pub const MAX_TASKS_PER_JOB: u32 = 100_000;

/// Final job states kept in memory per controller, a quarter of an hour at ten jobs a second; the rest is read from
/// the store when asked.
pub const FINAL_STATES_CACHED: usize = 10_000;

/// Jobs that are over and kept in memory per controller, for a leader that finds attempts of theirs on record:
/// what ends in minutes, several leases, at the ten jobs a second of 4,000 machines; 600 bytes each.
pub const CLOSED_JOBS_CACHED: usize = 4_096;

/// Milliseconds the command-line client waits for an answer, as users do (protocol).
pub const CLIENT_DEADLINE_MS: u64 = 5_000;
