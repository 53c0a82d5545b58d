//! Workers: heartbeats, direct commands, and when a machine counts as unreachable.

/// Milliseconds after which a worker gives up an unanswered heartbeat, and ignores a later response (protocol).
pub const HEARTBEAT_TIMEOUT_MS: u64 = 4_000;

/// Milliseconds after which direct commands to a worker count as unanswered. The response to its next heartbeat,
/// in at most a few seconds, delivers them as well.
pub const DIRECT_COMMAND_TIMEOUT_MS: u64 = 2_000;

/// Milliseconds without direct commands to a worker that left some unanswered.
pub const DIRECT_COMMAND_BACKOFF_MS: u64 = 10_000;

/// Milliseconds between probes of a worker that may be unreachable.
pub const PROBE_INTERVAL_MS: u64 = 3_000;

/// Consecutive responses that a worker's heartbeats show no sign of, after which it is suspected to be
/// unreachable. One heartbeat may have left before the first response came, one response may have been lost.
pub const UNCONFIRMED_RESPONSES_BEFORE_SUSPECT: u32 = 4;

/// Leases after which a machine that sends heartbeats but is unreachable is released: more than two, so a
/// machine that merely hung has had time to recover.
pub const UNREACHABLE_RELEASE_LEASES: f64 = 2.5;

/// Machines outside the partition whose newest heartbeat is remembered in any case, to recognise late duplicates:
/// twice the largest fleet required (4,000), at some 100 bytes each ...
pub const HEARTBEAT_HISTORY_ENTRIES: usize = 8_192;

/// ... and milliseconds for which more are remembered: messages arrive minutes late at most (protocol). The
/// machines provisioned and released in that time bound their number.
pub const HEARTBEAT_HISTORY_MS: u64 = 600_000;

/// Machines of a partition that one tick checks, the others in the ticks that follow: at 4,000 machines in one
/// partition each is checked twice a second.
pub const MACHINES_CHECKED_PER_TICK: usize = 1_024;

/// Heartbeat intervals without a heartbeat after which a machine gets no new tasks.
pub const MISSED_HEARTBEAT_INTERVALS: f64 = 2.6;

/// Different jobs that fail on a machine, without a completed task in between, after which it gets no new tasks: one
/// job may fail everywhere by its owner's mistake, three at once hardly.
pub const FAILED_JOBS_BEFORE_FAULTY: usize = 3;
