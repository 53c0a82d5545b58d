//! Chooses targets for a job's waiting tasks: a claimed machine, or machines of the partitions with most free
//! processors.

use std::collections::BTreeSet;

use worksshunt_wire::{ControllerName, MachineId};

use crate::jobs::Job;
use crate::resources::Resources;
use crate::time::Time;

use super::partition_view::PartitionView;
use super::{MachineView, Scheduler};

/// Where a task may be dispatched: a partition, and a machine there with enough free resources. The partition's owner
/// may place the task on another machine unless this one is claimed.
pub(super) struct PlacementTarget {
    pub owner: ControllerName,
    pub machine: MachineId,
    /// The machine's zone if the job constrains the zones of its tasks, otherwise `None`.
    pub zone: Option<String>,
    pub is_claimed: bool,
}

/// A machine that fits a task, with its free resources.
struct FreeMachine<'a> {
    id: &'a MachineId,
    free: Resources,
}

/// The machines of a partition that fit a job's tasks.
struct PartitionCandidates<'a> {
    owner: &'a ControllerName,
    /// Sum of the free processors of `machines`.
    free_cpus: f64,
    /// Those with most free processors first.
    machines: Vec<FreeMachine<'a>>,
}

impl<'a> PartitionCandidates<'a> {
    /// Allocates one task on the machine with the fewest free processors.
    fn allocate(&mut self, required: &Resources) -> Option<&'a MachineId> {
        let fullest = self.machines.last_mut()?;
        let id = fullest.id;
        fullest.free.allocate(required);
        self.free_cpus -= required.cpus;
        if !fullest.free.fits(required) {
            self.free_cpus -= fullest.free.cpus;
            self.machines.pop();
        }
        Some(id)
    }
}

impl Scheduler {
    /// Chooses targets for a job's tasks, at most `limit`; fewer if no more tasks fit.
    pub(super) fn placement_targets(
        &self,
        now: Time,
        job: &Job,
        limit: u32,
    ) -> Vec<PlacementTarget> {
        let zones = self.allowed_zones(job);
        let mut targets: Vec<PlacementTarget> = Vec::new();
        targets.extend(self.claimed_target(job, zones.as_ref()));
        let required = job.resources();
        let mut candidates: Vec<PartitionCandidates> = self
            .partitions
            .iter()
            .filter(|(_, partition)| partition.is_responsive(now))
            .map(|(owner, partition)| {
                self.partition_candidates(now, owner, partition, job, zones.as_ref())
            })
            .collect();
        while (targets.len() as u32) < limit {
            let most_free = candidates
                .iter_mut()
                .filter(|partition| !partition.machines.is_empty())
                .reduce(|a, b| if b.free_cpus > a.free_cpus { b } else { a });
            let Some(partition) = most_free else { break };
            let Some(machine) = partition.allocate(&required) else {
                break;
            };
            let zone = zones.as_ref();
            targets.push(PlacementTarget {
                owner: partition.owner.clone(),
                machine: machine.clone(),
                zone: zone.and_then(|_| self.zone_of(partition.owner, machine)),
                is_claimed: false,
            });
        }
        targets
    }

    fn partition_candidates<'a>(
        &'a self,
        now: Time,
        owner: &'a ControllerName,
        partition: &'a PartitionView,
        job: &Job,
        zones: Option<&BTreeSet<String>>,
    ) -> PartitionCandidates<'a> {
        let required = job.resources();
        let is_on_demand_reserved = job.spec.allows_spot && self.is_on_demand_reserved(now);
        let is_candidate = |view: &&MachineView| {
            let status = &view.status;
            view.free.fits(&required)
                && !job.is_excluded_by_on_demand_reservation(status.is_spot, is_on_demand_reserved)
                && job.allows_machine(&status.machine_type, &status.zone, status.is_spot)
                && zones.is_none_or(|zones| zones.contains(&status.zone))
                && !self.claims.contains_key(&status.id)
                && !self.draining_machines.contains(&status.id)
        };
        let mut machines: Vec<FreeMachine> = partition
            .machines_with_free_cpus(required.cpus)
            .filter(is_candidate)
            .map(|view| FreeMachine {
                id: &view.status.id,
                free: view.free,
            })
            .collect();
        machines.sort_by(|a, b| b.free.cpus.total_cmp(&a.free.cpus));
        PartitionCandidates {
            owner,
            free_cpus: machines.iter().map(|machine| machine.free.cpus).sum(),
            machines,
        }
    }

    /// A machine claimed for the job, if its task fits there.
    fn claimed_target(
        &self,
        job: &Job,
        zones: Option<&BTreeSet<String>>,
    ) -> Option<PlacementTarget> {
        let required = job.resources();
        self.unused_claims_of(job.spec.id).find_map(|machine| {
            let (owner, view) = self
                .partitions
                .iter()
                .find_map(|(owner, partition)| Some((owner, partition.machines.get(machine)?)))?;
            let is_usable = view.status.is_schedulable
                && view.free.fits(&required)
                && zones.is_none_or(|zones| zones.contains(&view.status.zone));
            is_usable.then(|| PlacementTarget {
                owner: owner.clone(),
                machine: machine.clone(),
                zone: zones.map(|_| view.status.zone.clone()),
                is_claimed: true,
            })
        })
    }

    /// The zone of a machine, as reported by its partition's owner.
    pub(super) fn zone_of(&self, owner: &ControllerName, machine: &MachineId) -> Option<String> {
        let view = self.partitions.get(owner)?.machines.get(machine)?;
        Some(view.status.zone.clone())
    }
}
