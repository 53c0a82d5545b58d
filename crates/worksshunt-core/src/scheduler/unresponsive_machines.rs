//! Determines which unresponsive machines with replicas the fleet should release before their leases expire.

use std::collections::{BTreeMap, BTreeSet};

use worksshunt_wire::MachineId;

use crate::constants::services::UNRESPONSIVE_RELEASE_MACHINE_DIVISOR;
use crate::time::Time;

use super::{MachineView, Scheduler};

/// Counts of the machines in a zone.
#[derive(Default)]
struct ZoneMachineCounts {
    machines: usize,
    /// Those of them that are unschedulable.
    unschedulable: usize,
}

impl ZoneMachineCounts {
    /// Whether so few machines are unschedulable that failures of single machines explain it.
    fn has_isolated_failures(&self) -> bool {
        self.unschedulable * UNRESPONSIVE_RELEASE_MACHINE_DIVISOR <= self.machines
    }
}

impl Scheduler {
    /// Machines with replicas that have been unschedulable for the release delay, so that the fleet should release
    /// them: the response of the cloud proves that nothing runs there any more, before their leases expire. A network
    /// partition or a slow key-value store makes many machines unschedulable, so a machine is chosen only if nearly all
    /// others in its zone are schedulable.
    pub(super) fn unresponsive_machines_to_release(&self, now: Time) -> Vec<MachineId> {
        if self.services.open_jobs.is_empty() {
            return Vec::new();
        }
        let with_replicas = self.machines_with_replicas();
        let zones = self.machine_counts_by_zone(now);
        let is_unresponsive = |view: &&MachineView| {
            view.unschedulable_since.is_some_and(|since| {
                now.since(since) >= self.services.unresponsive_release_delay_ms
            }) && !view.status.has_reclaim_notice
                && with_replicas.contains(&view.status.id)
        };
        let is_isolated = |view: &&MachineView| {
            let counts = zones.get(&view.status.zone);
            counts.is_some_and(ZoneMachineCounts::has_isolated_failures)
        };
        self.responsive_machines(now)
            .filter(is_unresponsive)
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

    fn machine_counts_by_zone(&self, now: Time) -> BTreeMap<&String, ZoneMachineCounts> {
        let mut zones: BTreeMap<&String, ZoneMachineCounts> = BTreeMap::new();
        for view in self.responsive_machines(now) {
            let counts = zones.entry(&view.status.zone).or_default();
            counts.machines += 1;
            counts.unschedulable += usize::from(view.unschedulable_since.is_some());
        }
        zones
    }

    /// Machines of the partitions whose owners are responsive.
    fn responsive_machines(&self, now: Time) -> impl Iterator<Item = &MachineView> {
        self.partitions
            .values()
            .filter(move |partition| partition.is_responsive(now))
            .flat_map(|partition| partition.machines.values())
    }
}
