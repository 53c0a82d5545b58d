//! The scheduler's state for the open services, whose replicas have to start and be replaced within seconds.

use std::collections::BTreeSet;

use worksshunt_wire::settings::Workers;
use worksshunt_wire::JobId;

use crate::constants::services::{
    MIN_UNRESPONSIVE_RELEASE_MS, UNRESPONSIVE_RELEASE_HEARTBEAT_INTERVALS,
};

/// State of the open services.
#[derive(Debug)]
pub(super) struct ServiceState {
    /// The open jobs that are services.
    pub open_jobs: BTreeSet<JobId>,
    /// Whether a replica has become unschedulable since the last preemption.
    pub has_unschedulable_replica: bool,
    /// Time for which a machine with replicas has to be unschedulable before the fleet should release it, milliseconds.
    pub unresponsive_release_delay_ms: u64,
}

impl ServiceState {
    /// No open services.
    pub fn new(workers: &Workers) -> ServiceState {
        let unresponsive_release_delay_ms =
            (workers.heartbeat_interval_s * 1_000.0 * UNRESPONSIVE_RELEASE_HEARTBEAT_INTERVALS)
                as u64;
        ServiceState {
            open_jobs: BTreeSet::new(),
            has_unschedulable_replica: false,
            unresponsive_release_delay_ms: unresponsive_release_delay_ms
                .max(MIN_UNRESPONSIVE_RELEASE_MS),
        }
    }
}
