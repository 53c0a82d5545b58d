//! Workers: heartbeats, direct commands, and detection of unreachable and faulty machines.

/// Timeout after which a worker gives up a heartbeat and ignores a later response, milliseconds (protocol).
pub const HEARTBEAT_TIMEOUT_MS: u64 = 4_000;

/// Timeout of direct commands, milliseconds. Unanswered commands are sent again in the response to the next heartbeat.
pub const DIRECT_COMMAND_TIMEOUT_MS: u64 = 2_000;

/// Delay before the next direct commands to a worker after some that could not be sent, milliseconds.
pub const DIRECT_COMMAND_BACKOFF_MS: u64 = 10_000;

/// Interval of probes of a worker that may be unreachable, milliseconds.
pub const PROBE_INTERVAL_MS: u64 = 3_000;

/// Consecutive responses that a worker's heartbeats do not reflect before the worker is suspected to be unreachable. A
/// heartbeat may have been sent before the first response arrived, and one response may be lost.
pub const UNCONFIRMED_RESPONSES_BEFORE_SUSPECT: u32 = 4;

/// Worker leases after which a machine that sends heartbeats but is unreachable is released: enough for a machine that
/// hung to recover.
pub const UNREACHABLE_RELEASE_LEASES: f64 = 2.5;

/// Number of machines outside the partition whose newest heartbeat is always remembered, to detect late duplicates.
pub const HEARTBEAT_HISTORY_ENTRIES: usize = 8_192;

/// Milliseconds for which entries beyond [`HEARTBEAT_HISTORY_ENTRIES`] are remembered: longer than any message delay
/// (protocol).
pub const HEARTBEAT_HISTORY_MS: u64 = 600_000;

/// Number of tasks in a heartbeat up to which reaps may wait for the answer to a batch of direct commands. A tenth of
/// the tasks that fit into the largest heartbeat.
pub const MAX_TASKS_LISTED_BY_HELD_REAPS: usize = 64;

/// Number of reaped attempts of a worker that are remembered, to recognize one that is listed again.
pub const REMEMBERED_REAPS: usize = 64;

/// Maximum number of machines of a partition that one tick checks; the next ticks check the others.
pub const MACHINES_CHECKED_PER_TICK: usize = 1_024;

/// Heartbeat intervals without a heartbeat after which a machine gets no new tasks.
pub const MISSED_HEARTBEAT_INTERVALS: f64 = 2.6;

/// Number of different jobs that fail on a machine, without a completed task in between, after which it gets no new
/// tasks. One job may fail on any machine through its own fault.
pub const FAILED_JOBS_BEFORE_FAULTY: usize = 3;
