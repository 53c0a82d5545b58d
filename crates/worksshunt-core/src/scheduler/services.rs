//! The leader's state of the open services, whose replicas have to start and be replaced within seconds.

use std::collections::BTreeSet;

use worksshunt_wire::settings::Workers;
use worksshunt_wire::JobId;

use crate::constants::services::{MIN_SILENT_RELEASE_MS, SILENT_RELEASE_HEARTBEAT_INTERVALS};

/// State of the open services.
#[derive(Debug)]
pub(super) struct ServiceState {
    /// The open jobs that are services.
    pub open_jobs: BTreeSet<JobId>,
    /// Whether a replica has become unschedulable since the last preemption.
    pub has_unschedulable_replica: bool,
    /// Milliseconds for which a machine with replicas has to be unschedulable before the fleet is asked to release it.
    pub silent_release_delay_ms: u64,
}

impl ServiceState {
    /// No open services.
    pub fn new(workers: &Workers) -> ServiceState {
        let silent_release_delay_ms =
            (workers.heartbeat_interval_s * 1_000.0 * SILENT_RELEASE_HEARTBEAT_INTERVALS) as u64;
        ServiceState {
            open_jobs: BTreeSet::new(),
            has_unschedulable_replica: false,
            silent_release_delay_ms: silent_release_delay_ms.max(MIN_SILENT_RELEASE_MS),
        }
    }
}
