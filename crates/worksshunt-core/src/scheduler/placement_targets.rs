//! Where a job's waiting tasks may go: a claimed machine, or the partitions with most free processors.

use std::collections::BTreeSet;

use worksshunt_wire::{ControllerName, MachineId};

use crate::jobs::Job;
use crate::resources::Resources;
use crate::time::Time;

use super::partition_view::PartitionView;
use super::{MachineView, Scheduler};

/// Where a task may go: a partition, and a machine there with enough free resources. The partition's
/// owner may choose another machine, unless that one is claimed.
pub(super) struct PlacementTarget {
    pub owner: ControllerName,
    pub machine: MachineId,
    /// The zone, if the task is bound to it.
    pub zone: Option<String>,
    pub is_claimed: bool,
}

/// A machine that fits a task, with what is free on it.
struct FreeMachine<'a> {
    id: &'a MachineId,
    free: Resources,
}

/// A partition's machines that fit a job's tasks, the emptiest first, and what is free on all of them.
struct CandidateMachines<'a> {
    owner: &'a ControllerName,
    free_cpus: f64,
    machines: Vec<FreeMachine<'a>>,
}

impl<'a> CandidateMachines<'a> {
    /// Takes the resources of one task from the fullest machine.
    fn allocate(&mut self, need: &Resources) -> Option<&'a MachineId> {
        let fullest = self.machines.last_mut()?;
        let id = fullest.id;
        fullest.free.allocate(need);
        self.free_cpus -= need.cpus;
        if !fullest.free.fits(need) {
            self.free_cpus -= fullest.free.cpus;
            self.machines.pop();
        }
        Some(id)
    }
}

impl Scheduler {
    /// Targets for at most `limit` tasks of a job, as many as there are.
    pub(super) fn placement_targets(
        &self,
        now: Time,
        job: &Job,
        limit: u32,
    ) -> Vec<PlacementTarget> {
        let zones = self.allowed_zones(job);
        let mut targets: Vec<PlacementTarget> = Vec::new();
        targets.extend(self.claimed_target(job, zones.as_ref()));
        let need = job.resources();
        let mut candidates: Vec<CandidateMachines> = self
            .partitions
            .iter()
            .filter(|(_, partition)| partition.is_responsive(now))
            .map(|(owner, partition)| {
                self.candidate_machines(now, owner, partition, job, zones.as_ref())
            })
            .collect();
        while (targets.len() as u32) < limit {
            let most_free = candidates
                .iter_mut()
                .filter(|partition| !partition.machines.is_empty())
                .reduce(|a, b| if b.free_cpus > a.free_cpus { b } else { a });
            let Some(partition) = most_free else { break };
            let Some(machine) = partition.allocate(&need) else {
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

    fn candidate_machines<'a>(
        &'a self,
        now: Time,
        owner: &'a ControllerName,
        partition: &'a PartitionView,
        job: &Job,
        zones: Option<&BTreeSet<String>>,
    ) -> CandidateMachines<'a> {
        let need = job.resources();
        let reserves_on_demand = job.spec.spot && self.reserves_on_demand_machines(now);
        let is_candidate = |view: &&MachineView| {
            let status = &view.status;
            view.free.fits(&need)
                && !job.leaves_machine_to_services(status.spot, reserves_on_demand)
                && job.allows_machine(&status.machine_type, &status.zone, status.spot)
                && zones.is_none_or(|zones| zones.contains(&status.zone))
                && !self.claims.contains_key(&status.id)
                && !self.draining.contains(&status.id)
        };
        let mut machines: Vec<FreeMachine> = partition
            .with_free_cpus(need.cpus)
            .filter(is_candidate)
            .map(|view| FreeMachine {
                id: &view.status.id,
                free: view.free,
            })
            .collect();
        machines.sort_by(|a, b| b.free.cpus.total_cmp(&a.free.cpus));
        CandidateMachines {
            owner,
            free_cpus: machines.iter().map(|machine| machine.free.cpus).sum(),
            machines,
        }
    }

    /// A machine claimed for the job that fits its task by now.
    fn claimed_target(
        &self,
        job: &Job,
        zones: Option<&BTreeSet<String>>,
    ) -> Option<PlacementTarget> {
        let need = job.resources();
        self.claims_for(job.spec.id).find_map(|machine| {
            let (owner, view) = self
                .partitions
                .iter()
                .find_map(|(owner, partition)| Some((owner, partition.machines.get(machine)?)))?;
            let is_usable = view.status.schedulable
                && view.free.fits(&need)
                && zones.is_none_or(|zones| zones.contains(&view.status.zone));
            is_usable.then(|| PlacementTarget {
                owner: owner.clone(),
                machine: machine.clone(),
                zone: zones.map(|_| view.status.zone.clone()),
                is_claimed: true,
            })
        })
    }

    /// The zone of a machine, as its owner described it.
    pub(super) fn zone_of(&self, owner: &ControllerName, machine: &MachineId) -> Option<String> {
        let view = self.partitions.get(owner)?.machines.get(machine)?;
        Some(view.status.zone.clone())
    }
}
