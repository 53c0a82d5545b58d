//! Services: replicas on silent machines, spare capacity, and expected demand.

use super::workers::PROBE_INTERVAL_MS;

/// Heartbeat intervals for which a machine with replicas is unschedulable, mostly because it is silent (see
/// [`MISSED_HEARTBEAT_INTERVALS`](super::workers::MISSED_HEARTBEAT_INTERVALS)), before it is released: others
/// that became silent at the same moment have been detected by then ...
pub const SILENT_RELEASE_HEARTBEAT_INTERVALS: f64 = 1.2;

/// ... and minimum milliseconds, in which one that merely left a command unanswered has answered a probe
/// (see [`PROBE_INTERVAL_MS`]).
pub const MIN_SILENT_RELEASE_MS: u64 = PROBE_INTERVAL_MS + 1_000;

/// A machine in that state is released only if at most one in so many machines of its zone is: more at a time
/// have another cause than failures of single machines.
pub const SILENT_RELEASE_MACHINE_DIVISOR: usize = 12;

/// Leases between two such releases: whatever makes machines seem failed, most of a fleet survives it.
pub const SILENT_RELEASE_INTERVAL_LEASES: f64 = 0.25;

/// Cost of preempting a replica, milliseconds of lost work: a day, more than any task loses.
pub const REPLICA_PREEMPTION_COST_MS: u64 = 86_400_000;

/// Milliseconds of past arrivals of services from which future ones are estimated: some boot times.
pub const ARRIVAL_WINDOW_MS: u64 = 120_000;

/// Minimum milliseconds over which the arrivals of a class are averaged: fewer boot times than the window.
pub const MIN_ARRIVAL_WINDOW_MS: u64 = 30_000;

/// Share of all guaranteed processors that is kept as spare capacity, on on-demand machines, for a class without
/// arrivals so far that has to start faster than a machine boots: some of the smallest machines, cheap compared with
/// the cost of the guarantees when they are used.
pub const SPARE_CAPACITY_SHARE: f64 = 0.02;

/// Milliseconds without a schedulable spot machine after which spot capacity counts as unavailable: a boot and
/// its possible delay.
pub const SPOT_UNAVAILABLE_AFTER_MS: u64 = 60_000;

/// Boot times for whose expected replicas capacity is reserved: a boot takes up to one and a half times the
/// nominal time, and some machines never boot.
pub const RESERVED_CAPACITY_BOOT_TIMES: f64 = 2.0;

/// Milliseconds after which a replica that ends counts as having been stable: several times a start.
pub const REPLICA_STABLE_AFTER_MS: u64 = 30_000;

/// Maximum backoff of a service whose replicas keep ending, milliseconds: it is down meanwhile, so this is little
/// more than the time of a start.
pub const MAX_REPLICA_BACKOFF_MS: u64 = 15_000;
