//! Claims: machines that the leader reserves, by a conditional write, for jobs whose tasks fit the free resources of
//! no partition.
//!
//! The leading controller calls [`Scheduler::claim_machines`] on a timer. `claim_records` determines the writes of the
//! claims' records; `placement_targets` directs tasks of the claiming job to the claimed machines.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use worksshunt_wire::peer::MachineStatus;
use worksshunt_wire::{JobId, MachineId};

use crate::constants::scheduling::{CLAIM_AFTER_MS, CLAIM_MACHINE_DIVISOR, MIN_CLAIMS};
use crate::jobs::Job;
use crate::resources::Resources;
use crate::time::Time;

use super::{PendingWrite, Scheduler};

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ClaimState {
    /// The put of its record is pending.
    BeingWritten,
    /// Its record is stored: the machine takes tasks of the claiming job only.
    Held,
    /// The deletion of its record is pending.
    Releasing,
}

#[derive(Debug, Clone)]
pub(super) struct Claim {
    pub(super) job: JobId,
    pub(super) state: ClaimState,
    /// Unique within the epoch.
    pub(super) number: u64,
}

/// A machine that may be claimed.
struct ClaimCandidate<'a> {
    machine: &'a MachineStatus,
    /// Resources that a task can get there without a claim: of each, the free amount, or that of the smallest task
    /// there if it has more.
    available_without_claim: Resources,
}

impl Scheduler {
    /// Claims machines for jobs whose next task has been unschedulable for [`CLAIM_AFTER_MS`]: a claimed machine takes
    /// no other tasks until that one fits. Before that, releases the claims that are no longer needed.
    pub fn claim_machines(&mut self, now: Time) {
        self.release_idle_claims();
        let max_claims = MIN_CLAIMS.max(self.machines().count() / CLAIM_MACHINE_DIVISOR);
        let remaining_claims = max_claims.saturating_sub(self.claims.len());
        let unschedulable_jobs = self.jobs_needing_claims(now);
        if remaining_claims == 0 || unschedulable_jobs.is_empty() {
            return;
        }
        for (machine, job) in self.choose_claims(&unschedulable_jobs, remaining_claims) {
            tracing::debug!(%job, %machine, "machine claim requested");
            let claim = Claim {
                job,
                state: ClaimState::BeingWritten,
                number: self.next_claim_number,
            };
            self.next_claim_number += 1;
            self.claims.insert(machine.clone(), claim);
            self.pending_writes
                .insert(PendingWrite::UpdateClaim(machine));
        }
    }

    fn jobs_needing_claims(&self, now: Time) -> Vec<Rc<Job>> {
        let is_due = |since| now.since(since) >= CLAIM_AFTER_MS;
        self.open_jobs
            .values()
            .filter(|tasks| tasks.unschedulable_since.is_some_and(is_due))
            .map(|tasks| Rc::clone(&tasks.job))
            .collect()
    }

    /// Chooses machines to claim for the jobs, at most `remaining_claims`.
    fn choose_claims(
        &self,
        unschedulable_jobs: &[Rc<Job>],
        mut remaining_claims: usize,
    ) -> BTreeMap<MachineId, JobId> {
        let max_required = unschedulable_jobs
            .iter()
            .map(|job| job.resources())
            .fold(Resources::default(), |max, required| max.max(&required));
        let candidates = self.claim_candidates(&max_required);
        let mut chosen: BTreeMap<MachineId, JobId> = BTreeMap::new();
        for job in unschedulable_jobs {
            if remaining_claims == 0 {
                break;
            }
            let id = job.spec.id;
            let max_machines = self.additional_claims(job).min(remaining_claims);
            let zones = self.allowed_zones(job);
            let required = job.resources();
            let is_useful = |candidate: &&ClaimCandidate| {
                let machine = candidate.machine;
                !candidate.available_without_claim.fits(&required)
                    && !chosen.contains_key(&machine.id)
                    && job.allows_machine(&machine.machine_type, &machine.zone, machine.is_spot)
                    && zones
                        .as_ref()
                        .is_none_or(|zones| zones.contains(&machine.zone))
            };
            let useful = candidates.iter().filter(is_useful).take(max_machines);
            let machines: Vec<MachineId> = useful.map(|c| c.machine.id.clone()).collect();
            remaining_claims = remaining_claims.saturating_sub(machines.len());
            chosen.extend(machines.into_iter().map(|machine| (machine, id)));
        }
        chosen
    }

    /// How many more machines the job could use at once, besides those already claimed for it.
    fn additional_claims(&self, job: &Job) -> usize {
        let id = job.spec.id;
        let waiting_tasks = self
            .open_jobs
            .get(&id)
            .map_or(0, |tasks| tasks.waiting_tasks());
        let admitted_tasks = self.quota.tasks_within_limit_ignoring_reservations(job);
        let claimed_machines = self.claims.values().filter(|claim| claim.job == id).count();
        (waiting_tasks.min(admitted_tasks) as usize).saturating_sub(claimed_machines)
    }

    /// Machines that may be claimed for a task that requires at most `max_required` of each resource, those with most
    /// free processors first. Excludes machines where the task fits already, or will when the smallest task there ends:
    /// it needs no claim there. The two are not added up, because smaller tasks would take the free resources first.
    fn claim_candidates(&self, max_required: &Resources) -> Vec<ClaimCandidate<'_>> {
        let smallest_tasks = self.smallest_tasks();
        let mut candidates: Vec<ClaimCandidate> = self
            .machines()
            .map(|view| &view.status)
            .filter(|machine| self.is_claimable(machine))
            .map(|machine| {
                let smallest_task = smallest_tasks.get(&machine.id).copied();
                ClaimCandidate {
                    machine,
                    available_without_claim: Resources::free_on(machine)
                        .max(&smallest_task.unwrap_or_default()),
                }
            })
            .filter(|candidate| !candidate.available_without_claim.fits(max_required))
            .collect();
        candidates.sort_by(|a, b| {
            let (a, b) = (a.machine, b.machine);
            b.free_cpus.total_cmp(&a.free_cpus).then(a.id.cmp(&b.id))
        });
        candidates
    }

    fn is_claimable(&self, machine: &MachineStatus) -> bool {
        machine.is_schedulable
            && !machine.has_reclaim_notice
            && !self.claims.contains_key(&machine.id)
    }

    /// The smallest amount of each resource that a task on the machine has, for machines with tasks.
    fn smallest_tasks(&self) -> BTreeMap<&MachineId, Resources> {
        let mut smallest: BTreeMap<&MachineId, Resources> = BTreeMap::new();
        let attempts = self.active_attempts.values();
        for active in attempts.filter(|attempt| !attempt.is_completed()) {
            if let (Some(machine), Some(job)) = (&active.machine, &active.job) {
                let required = job.resources();
                let amounts = smallest.entry(machine).or_insert(required);
                *amounts = amounts.min(&required);
            }
        }
        smallest
    }

    /// Releases claims on machines that are missing or unschedulable, and claims of jobs without waiting tasks.
    fn release_idle_claims(&mut self) {
        let idle: Vec<MachineId> = self
            .claims
            .iter()
            .filter(|(machine, claim)| self.is_claim_idle(machine, claim))
            .map(|(machine, _)| machine.clone())
            .collect();
        for machine in idle {
            self.release_claim(&machine);
        }
    }

    fn is_claim_idle(&self, machine: &MachineId, claim: &Claim) -> bool {
        let is_usable = self
            .partitions
            .values()
            .filter_map(|partition| partition.machines.get(machine))
            .any(|view| view.status.is_schedulable);
        let job_tasks = self.open_jobs.get(&claim.job);
        let has_waiting_task = job_tasks.is_some_and(|tasks| tasks.waiting_tasks() > 0);
        !is_usable || (!has_waiting_task && !self.is_claim_in_use(machine))
    }

    /// Whether a task was dispatched to the claimed machine and is not placed yet.
    fn is_claim_in_use(&self, machine: &MachineId) -> bool {
        let attempts = self.active_attempts.values();
        attempts
            .filter_map(|attempt| attempt.claimed_machine.as_ref())
            .any(|claimed| claimed == machine)
    }

    /// Machines with held claims of a job to which none of its tasks was dispatched yet.
    pub(super) fn unused_claims_of(&self, job: JobId) -> impl Iterator<Item = &MachineId> {
        self.claims
            .iter()
            .filter(move |(_, claim)| claim.job == job && claim.state == ClaimState::Held)
            .map(|(machine, _)| machine)
            .filter(|machine| !self.is_claim_in_use(machine))
    }

    /// Machines whose claim records are stored.
    pub(super) fn machines_with_held_claims(&self) -> BTreeSet<MachineId> {
        self.claims
            .iter()
            .filter(|(_, claim)| claim.state == ClaimState::Held)
            .map(|(machine, _)| machine.clone())
            .collect()
    }

    /// Requests the deletion of the claim on a machine, if there is one.
    pub(super) fn release_claim(&mut self, machine: &MachineId) {
        if let Some(claim) = self.claims.get_mut(machine) {
            claim.state = ClaimState::Releasing;
            self.pending_writes
                .insert(PendingWrite::UpdateClaim(machine.clone()));
        }
    }

    /// Requests the deletion of all claims of a job.
    pub(super) fn release_claims_of_job(&mut self, job: JobId) {
        let of_job = self.claims.iter().filter(|(_, claim)| claim.job == job);
        let machines: Vec<MachineId> = of_job.map(|(machine, _)| machine.clone()).collect();
        for machine in machines {
            self.release_claim(&machine);
        }
    }
}
