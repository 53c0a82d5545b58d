//! Services: replicas on unresponsive machines, spare capacity, and expected demand.

use super::workers::PROBE_INTERVAL_MS;

/// Heartbeat intervals for which a machine with replicas is unschedulable before it is released. Heartbeats are up to
/// one interval apart, so the other machines that failed at the same moment are unschedulable by then (see
/// [`MISSED_HEARTBEAT_INTERVALS`](super::workers::MISSED_HEARTBEAT_INTERVALS)).
pub const UNRESPONSIVE_RELEASE_HEARTBEAT_INTERVALS: f64 = 1.2;

/// Minimum of that time, milliseconds: a machine that only missed a command has answered a probe by then.
pub const MIN_UNRESPONSIVE_RELEASE_MS: u64 = PROBE_INTERVAL_MS + 1_000;

/// Inverse of the maximum share of unschedulable machines in a zone with which such releases take place. A larger share
/// has another cause than independent failures.
pub const UNRESPONSIVE_RELEASE_MACHINE_DIVISOR: usize = 12;

/// Minimum interval of such releases, in worker leases. It limits the damage if the machines only seem to have failed.
pub const UNRESPONSIVE_RELEASE_INTERVAL_LEASES: f64 = 0.25;

/// Cost of preempting a replica, milliseconds of lost work: one day, more than any task loses.
pub const REPLICA_PREEMPTION_COST_MS: u64 = 86_400_000;

/// Window of past service arrivals from which future ones are estimated, milliseconds: several boot times.
pub const ARRIVAL_WINDOW_MS: u64 = 120_000;

/// Minimum time over which the arrivals of a class are averaged, milliseconds: fewer boot times than
/// [`ARRIVAL_WINDOW_MS`].
pub const MIN_ARRIVAL_WINDOW_MS: u64 = 30_000;

/// Share of all guaranteed processors that is held as spare capacity, on on-demand machines, while a class that has to
/// start faster than a machine boots has had no arrivals. It amounts to some of the smallest machines, which are cheap
/// compared with the cost of the guarantees when they are used.
pub const SPARE_CAPACITY_SHARE: f64 = 0.02;

/// Milliseconds without a schedulable spot machine after which spot capacity counts as unavailable: longer than a
/// delayed boot.
pub const SPOT_UNAVAILABLE_AFTER_MS: u64 = 60_000;

/// Time for whose expected arrivals of replicas capacity is reserved, in boot times: a boot takes up
/// to one and a half times the nominal time, and some machines never boot.
pub const RESERVED_CAPACITY_BOOT_TIMES: f64 = 2.0;

/// Run time after which a replica counts as stable, milliseconds: several times the time of a start.
pub const REPLICA_STABLE_AFTER_MS: u64 = 30_000;

/// Maximum backoff of a service whose replicas keep ending, milliseconds. The service is down during the backoff.
/// Therefore it is little more than the time of a start.
pub const MAX_REPLICA_BACKOFF_MS: u64 = 15_000;
