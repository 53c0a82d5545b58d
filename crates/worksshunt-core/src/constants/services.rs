//! Services: replicas on silent machines, spare capacity, and what is expected to come.

use super::workers::PROBE_INTERVAL_MS;

/// Report intervals for which a machine with replicas takes no tasks, mostly because it is silent (see
/// [`MISSED_HEARTBEAT_INTERVALS`](super::workers::MISSED_HEARTBEAT_INTERVALS)), before it is returned: others that fell silent at the same moment have been
/// noticed by then ...
pub const SILENT_RELEASE_HEARTBEAT_INTERVALS: f64 = 1.2;

/// ... and milliseconds at the least, in which one that merely left an order unanswered has answered a probe
/// (see [`PROBE_INTERVAL_MS`](super::workers::PROBE_INTERVAL_MS)).
pub const MIN_SILENT_RELEASE_MS: u64 = PROBE_INTERVAL_MS + 1_000;

/// Of so many machines of a zone one may be in that state for it to be returned: more fall together by
/// something else than their own end.
pub const SILENT_RELEASE_MACHINE_DIVISOR: usize = 12;

/// Leases between two machines returned for that: whatever makes them look dead, most of a fleet outlives it.
pub const SILENT_RELEASE_INTERVAL_LEASES: f64 = 0.25;

/// Milliseconds of work that stopping a replica counts as: a day, more than any task loses.
pub const REPLICA_PREEMPTION_COST_MS: u64 = 86_400_000;

/// Milliseconds back to which services that came tell how many will come: some boot times.
pub const ARRIVAL_WINDOW_MS: u64 = 120_000;

/// Milliseconds within which the first of a class are taken to have come: some boot times less.
pub const MIN_ARRIVAL_WINDOW_MS: u64 = 30_000;

/// Share of all guaranteed processors that stands by, on ordinary machines, for a class of which nothing
/// was seen yet but that has to start sooner than a machine boots: some of the smallest machines, cheap
/// beside what the guarantees cost when they are used.
pub const SPARE_CAPACITY_SHARE: f64 = 0.02;

/// Milliseconds without a spot machine that takes tasks after which there seem to be none: a boot, and what
/// it may take longer.
pub const SPOT_ABSENCE_MS: u64 = 60_000;

/// Boot times for which room is kept for replicas that are expected: a boot takes up to one and a half
/// of the usual, and some machines never come up.
pub const RESERVED_CAPACITY_BOOT_TIMES: f64 = 2.0;

/// Milliseconds after which a replica that ends has run well: several times what starting takes.
pub const STABLE_REPLICA_MS: u64 = 30_000;

/// Longest wait of a service whose replicas keep ending, milliseconds: it is down meanwhile, so this
/// is little more than a start takes.
pub const REPLICA_BACKOFF_MAX_MS: u64 = 15_000;
