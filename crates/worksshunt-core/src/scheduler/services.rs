//! What the leader knows of the open services, whose replicas have to start and be replaced within
//! seconds.

use std::collections::BTreeSet;

use worksshunt_wire::settings::Workers;
use worksshunt_wire::JobId;

use crate::constants::services::{MIN_SILENT_RELEASE_MS, SILENT_RELEASE_HEARTBEAT_INTERVALS};

/// The open services and what is done for them.
#[derive(Debug)]
pub(super) struct ServiceState {
    /// Open services.
    pub open: BTreeSet<JobId>,
    /// A replica has found no free resources since the last preemption.
    pub has_stuck_replica: bool,
    /// Milliseconds for which a machine with replicas takes no tasks before the fleet is to release it.
    pub silent_release_ms: u64,
}

impl ServiceState {
    /// No open service yet.
    pub fn new(workers: &Workers) -> ServiceState {
        let silent_release_ms =
            (workers.heartbeat_interval_s * 1_000.0 * SILENT_RELEASE_HEARTBEAT_INTERVALS) as u64;
        ServiceState {
            open: BTreeSet::new(),
            has_stuck_replica: false,
            silent_release_ms: silent_release_ms.max(MIN_SILENT_RELEASE_MS),
        }
    }
}
