//! Claims: machines that the leader takes out of their partitions, by a conditional write, for tasks that
//! find free resources in no partition.
//!
//! The leading controller calls [`Scheduler::claim_machines`] on a timer; `claim_records` has what is written of a claim
//! and what follows once it is durable; `placement_targets` sends the claiming job's tasks to the claimed machines.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use worksshunt_wire::peer::MachineStatus;
use worksshunt_wire::{JobId, MachineId};

use crate::constants::scheduling::{CLAIM_AFTER_MS, CLAIM_MACHINE_DIVISOR, MIN_CLAIMS};
use crate::jobs::Job;
use crate::time::Time;

use super::{PendingWrite, Scheduler};

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ClaimState {
    /// The conditional write is under way.
    BeingWritten,
    /// The machine is kept free for the job.
    Held,
    /// A task was dispatched to it, or the job no longer needs it.
    Releasing,
}

#[derive(Debug, Clone)]
pub(super) struct Claim {
    pub(super) job: JobId,
    pub(super) state: ClaimState,
    /// Its number within the epoch.
    pub(super) number: u64,
}

/// A machine that may be claimed.
struct Candidate<'a> {
    machine: &'a MachineStatus,
    /// Processors free on it, or freed when the smallest of its tasks ends, whichever is more.
    cpus_without_claim: f64,
}

impl Scheduler {
    /// Claims machines for jobs whose next task has found free resources in no partition for a while: the
    /// leader takes them out of their partitions until the task fits.
    pub fn claim_machines(&mut self, now: Time) {
        self.release_idle_claims();
        let max_claims = MIN_CLAIMS.max(self.machines().count() / CLAIM_MACHINE_DIVISOR);
        let free_claims = max_claims.saturating_sub(self.claims.len());
        let stuck = self.jobs_to_claim_for(now);
        if free_claims == 0 || stuck.is_empty() {
            return;
        }
        for (machine, job) in self.choose_claims(&stuck, free_claims) {
            tracing::debug!(%job, %machine, "machine claim requested");
            let claim = Claim {
                job,
                state: ClaimState::BeingWritten,
                number: self.next_claim,
            };
            self.next_claim += 1;
            self.claims.insert(machine.clone(), claim);
            self.pending_writes
                .insert(PendingWrite::UpdateClaim(machine));
        }
    }

    fn jobs_to_claim_for(&self, now: Time) -> Vec<Rc<Job>> {
        let is_due = |since| now.since(since) >= CLAIM_AFTER_MS;
        self.jobs
            .values()
            .filter(|tasks| tasks.stuck_since.is_some_and(is_due))
            .map(|tasks| Rc::clone(&tasks.job))
            .collect()
    }

    /// Machines to claim for these jobs, at most `free_claims`.
    fn choose_claims(
        &self,
        stuck: &[Rc<Job>],
        mut free_claims: usize,
    ) -> BTreeMap<MachineId, JobId> {
        let max_task_cpus = stuck.iter().map(|job| job.spec.cpus).fold(0.0, f64::max);
        let candidates = self.claimable_machines(max_task_cpus);
        let mut chosen: BTreeMap<MachineId, JobId> = BTreeMap::new();
        for job in stuck {
            if free_claims == 0 {
                break;
            }
            let id = job.spec.id;
            let needed = self.claims_needed(job).min(free_claims);
            let zones = self.allowed_zones(job);
            let is_useful = |candidate: &&Candidate| {
                let machine = candidate.machine;
                candidate.cpus_without_claim < job.spec.cpus
                    && !chosen.contains_key(&machine.id)
                    && job.allows_machine(&machine.machine_type, &machine.zone, machine.is_spot)
                    && zones
                        .as_ref()
                        .is_none_or(|zones| zones.contains(&machine.zone))
            };
            let useful = candidates.iter().filter(is_useful).take(needed);
            let machines: Vec<MachineId> = useful.map(|c| c.machine.id.clone()).collect();
            free_claims = free_claims.saturating_sub(machines.len());
            chosen.extend(machines.into_iter().map(|machine| (machine, id)));
        }
        chosen
    }

    /// How many more machines the job could use at once, beside those claimed for it already.
    fn claims_needed(&self, job: &Job) -> usize {
        let id = job.spec.id;
        let waiting = self.jobs.get(&id).map_or(0, |tasks| tasks.waiting());
        let admitted = self.quota.tasks_within_limit_ignoring_reservations(job);
        let claimed = self.claims.values().filter(|claim| claim.job == id).count();
        (waiting.min(admitted) as usize).saturating_sub(claimed)
    }

    /// Machines that may be claimed for a task of at most `max_task_cpus` processors, those with most free first. Only a
    /// task that needs more than the next task to end will free requires a claim; others find resources without
    /// one. Even where some are free beside that, smaller tasks would take them first.
    fn claimable_machines(&self, max_task_cpus: f64) -> Vec<Candidate<'_>> {
        let smallest_task_cpus = self.smallest_task_cpus();
        let mut candidates: Vec<Candidate> = self
            .machines()
            .map(|view| &view.status)
            .filter(|machine| self.is_claimable(machine))
            .map(|machine| {
                let smallest_task = smallest_task_cpus.get(&machine.id).copied();
                Candidate {
                    machine,
                    cpus_without_claim: machine.free_cpus.max(smallest_task.unwrap_or(0.0)),
                }
            })
            .filter(|candidate| candidate.cpus_without_claim < max_task_cpus)
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

    /// Processors of the smallest task on each machine that has any.
    fn smallest_task_cpus(&self) -> BTreeMap<&MachineId, f64> {
        let mut smallest: BTreeMap<&MachineId, f64> = BTreeMap::new();
        let attempts = self.active_attempts.values();
        for active in attempts.filter(|attempt| !attempt.is_completed()) {
            if let (Some(machine), Some(job)) = (&active.machine, &active.job) {
                let cpus = smallest.entry(machine).or_insert(f64::MAX);
                *cpus = cpus.min(job.spec.cpus);
            }
        }
        smallest
    }

    /// Releases machines that are gone or unusable, or whose job has no waiting task.
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
        let job_tasks = self.jobs.get(&claim.job);
        let has_waiting = job_tasks.is_some_and(|tasks| tasks.waiting() > 0);
        !is_usable || (!has_waiting && !self.is_claim_used(machine))
    }

    /// Whether a task was dispatched to the claimed machine and is not placed yet.
    fn is_claim_used(&self, machine: &MachineId) -> bool {
        let attempts = self.active_attempts.values();
        attempts
            .filter_map(|attempt| attempt.claimed_machine.as_ref())
            .any(|claimed| claimed == machine)
    }

    /// Machines kept free for a job to which nothing was dispatched yet.
    pub(super) fn claims_for(&self, job: JobId) -> impl Iterator<Item = &MachineId> {
        self.claims
            .iter()
            .filter(move |(_, claim)| claim.job == job && claim.state == ClaimState::Held)
            .map(|(machine, _)| machine)
            .filter(|machine| !self.is_claim_used(machine))
    }

    /// Machines whose claims are durable.
    pub(super) fn held_claims(&self) -> BTreeSet<MachineId> {
        self.claims
            .iter()
            .filter(|(_, claim)| claim.state == ClaimState::Held)
            .map(|(machine, _)| machine.clone())
            .collect()
    }

    /// Has a claim removed, if there is one.
    pub(super) fn release_claim(&mut self, machine: &MachineId) {
        if let Some(claim) = self.claims.get_mut(machine) {
            claim.state = ClaimState::Releasing;
            self.pending_writes
                .insert(PendingWrite::UpdateClaim(machine.clone()));
        }
    }

    /// Has all claims of a job removed.
    pub(super) fn release_claims_of(&mut self, job: JobId) {
        let of_job = self.claims.iter().filter(|(_, claim)| claim.job == job);
        let machines: Vec<MachineId> = of_job.map(|(machine, _)| machine.clone()).collect();
        for machine in machines {
            self.release_claim(&machine);
        }
    }
}
