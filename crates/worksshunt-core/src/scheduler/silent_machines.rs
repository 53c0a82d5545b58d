//! Silent machines with replicas on them: which of them the fleet should release before their leases expire.

use std::collections::{BTreeMap, BTreeSet};

use worksshunt_wire::MachineId;

use crate::constants::services::SILENT_RELEASE_MACHINE_DIVISOR;
use crate::time::Time;

use super::{MachineView, Scheduler};

/// The machines of a zone, counted.
#[derive(Default)]
struct ZoneCounts {
    machines: usize,
    /// Those that take no tasks.
    unusable: usize,
}

impl ZoneCounts {
    /// Whether so few take no tasks that each of them failed by itself.
    fn are_failures_isolated(&self) -> bool {
        self.unusable * SILENT_RELEASE_MACHINE_DIVISOR <= self.machines
    }
}

impl Scheduler {
    /// Machines with replicas on them that have sent no heartbeat for so long that they are to be released:
    /// the cloud's response proves that nothing runs on them any more, well before their leases expire. What
    /// appears to be a failed machine may be a controller partitioned from its workers, a partitioned zone or a
    /// slow key-value store, but then several machines are silent; so only a few are released, where nearly all
    /// others are reachable.
    pub(super) fn silent_with_replicas(&self, now: Time) -> Vec<MachineId> {
        if self.services.open.is_empty() {
            return Vec::new();
        }
        let with_replicas = self.machines_with_replicas();
        let zones = self.zone_counts(now);
        let is_silent = |view: &&MachineView| {
            view.unusable_since
                .is_some_and(|since| now.since(since) >= self.services.silent_release_ms)
                && !view.status.has_reclaim_notice
                && with_replicas.contains(&view.status.id)
        };
        let is_isolated = |view: &&MachineView| {
            let counts = zones.get(&view.status.zone);
            counts.is_some_and(ZoneCounts::are_failures_isolated)
        };
        self.responsive_machines(now)
            .filter(is_silent)
            .filter(is_isolated)
            .map(|view| view.status.id.clone())
            .collect()
    }

    fn machines_with_replicas(&self) -> BTreeSet<&MachineId> {
        self.active_attempts
            .values()
            .filter(|attempt| attempt.job.as_ref().is_some_and(|job| job.is_service()))
            .filter_map(|attempt| attempt.machine.as_ref())
            .collect()
    }

    fn zone_counts(&self, now: Time) -> BTreeMap<&String, ZoneCounts> {
        let mut zones: BTreeMap<&String, ZoneCounts> = BTreeMap::new();
        for view in self.responsive_machines(now) {
            let counts = zones.entry(&view.status.zone).or_default();
            counts.machines += 1;
            counts.unusable += usize::from(view.unusable_since.is_some());
        }
        zones
    }

    /// The machines whose owners' messages arrive.
    fn responsive_machines(&self, now: Time) -> impl Iterator<Item = &MachineView> {
        self.partitions
            .values()
            .filter(move |partition| partition.is_responsive(now))
            .flat_map(|partition| partition.machines.values())
    }
}
