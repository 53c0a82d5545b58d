//! Workers: heartbeats, direct commands, and when a machine counts as unreachable.

/// Milliseconds after which a worker gives up on a report that was not answered, and drops a later answer (protocol).
pub const HEARTBEAT_DEADLINE_MS: u64 = 4_000;

/// Milliseconds after which direct orders to a worker count as unanswered. Its next report, in at
/// most a few seconds, serves as well.
pub const DIRECT_COMMAND_DEADLINE_MS: u64 = 2_000;

/// Milliseconds without direct orders to a worker that left some unanswered.
pub const DIRECT_COMMAND_BACKOFF_MS: u64 = 10_000;

/// Milliseconds between probes of a worker that may not be reached.
pub const PROBE_INTERVAL_MS: u64 = 3_000;

/// Answers in a row that a worker's reports show no sign of, after which it counts as not reached. One
/// report may have left before the first answer came, one answer may have been lost.
pub const UNHEEDED_RESPONSES_BEFORE_SUSPECT: u32 = 4;

/// Leases after which a machine that is heard but not reached goes back: more than two, so a machine
/// that merely hung has had its chance.
pub const UNREACHABLE_RELEASE_LEASES: f64 = 2.5;

/// Machines outside the part whose newest report is remembered in any case, to know late copies by: twice the
/// largest fleet asked for (4,000), at some 100 bytes each ...
pub const HEARTBEAT_HISTORY_ENTRIES: usize = 8_192;

/// ... and milliseconds for which more are remembered: messages arrive minutes late at the most (protocol). What
/// is rented and returned in that time bounds them.
pub const HEARTBEAT_HISTORY_MS: u64 = 600_000;

/// Machines of a part that a tick looks at, the others in the ticks that follow: at 4,000 machines in one part
/// each is looked at twice a second.
pub const SWEEP_MACHINES_PER_TICK: usize = 1_024;

/// Report intervals without a report after which a machine gets no new tasks.
pub const MISSED_HEARTBEAT_INTERVALS: f64 = 2.6;

/// Different jobs that fail on a machine, with no task completing in between, after which it takes no
/// more: one job may fail everywhere by its owner's mistake, three at once hardly.
pub const FAULTY_MACHINE_JOBS: usize = 3;
