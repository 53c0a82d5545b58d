//! Claims: what no part can hold goes to the leader, which takes machines out of their parts by a
//! conditional write.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use serde_json::Value;
use worksshunt_wire::peer::{MachineStatus, Phase};
use worksshunt_wire::{JobId, MachineId};

use crate::constants::scheduling::{CLAIM_AFTER_MS, CLAIM_MACHINE_DIVISOR, MIN_CLAIMS};
use crate::jobs::Job;
use crate::time::Time;

use super::{PendingWrite, Scheduler};

/// Prefix of the leader's claims on machines.
pub const CLAIMS: &str = "k/";

/// Key of a claim.
pub fn claim_key(machine: &MachineId) -> String {
    format!("{CLAIMS}{machine}")
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ClaimState {
    /// The conditional write is under way.
    BeingWritten,
    /// The machine is kept free for the job.
    Held,
    /// A task was handed out on it, or the job no longer needs it.
    Releasing,
}

#[derive(Debug, Clone)]
pub(super) struct Claim {
    job: JobId,
    state: ClaimState,
}

/// A machine that may be claimed.
struct Candidate<'a> {
    machine: &'a MachineStatus,
    /// Processors free on it, or once the narrowest of its tasks ends.
    will_leave: f64,
}

impl Scheduler {
    /// Claims machines for jobs whose next task has found room in no part for a while: the leader
    /// takes them out of their parts until the task fits.
    pub fn claim_machines(&mut self, now: Time) {
        self.release_idle_claims();
        let most = MIN_CLAIMS.max(self.machines().count() / CLAIM_MACHINE_DIVISOR);
        let mut free_claims = most.saturating_sub(self.claims.len());
        let stuck: Vec<Rc<Job>> = self
            .jobs
            .values()
            .filter(|work| {
                work.stuck_since
                    .is_some_and(|since| now.since(since) >= CLAIM_AFTER_MS)
            })
            .map(|work| Rc::clone(&work.job))
            .collect();
        if free_claims == 0 || stuck.is_empty() {
            return;
        }
        let widest = stuck.iter().map(|job| job.spec.cpus).fold(0.0, f64::max);
        let candidates = self.claimable_machines(widest);
        let mut chosen: BTreeMap<MachineId, JobId> = BTreeMap::new();
        for job in stuck {
            if free_claims == 0 {
                break;
            }
            let id = job.spec.id;
            let waiting = self.jobs.get(&id).map_or(0, |work| work.waiting());
            let wanted =
                waiting.min(self.quota.tasks_within_limit_ignoring_reservations(&job)) as usize;
            let held = self.claims.values().filter(|c| c.job == id).count();
            let more = wanted.saturating_sub(held).min(free_claims);
            let zones = self.allowed_zones(&job);
            let helps = |candidate: &&Candidate| {
                let m = candidate.machine;
                candidate.will_leave < job.spec.cpus
                    && !chosen.contains_key(&m.id)
                    && job.allows_machine(&m.machine_type, &m.zone, m.spot)
                    && zones.as_ref().is_none_or(|zones| zones.contains(&m.zone))
            };
            let machines = candidates.iter().filter(helps).take(more);
            let machines: Vec<MachineId> = machines.map(|c| c.machine.id.clone()).collect();
            free_claims = free_claims.saturating_sub(machines.len());
            chosen.extend(machines.into_iter().map(|machine| (machine, id)));
        }
        for (machine, job) in chosen {
            tracing::debug!(%job, %machine, "claiming a machine");
            let state = ClaimState::BeingWritten;
            self.claims.insert(machine.clone(), Claim { job, state });
            self.pending_writes
                .insert(PendingWrite::UpdateClaim(machine));
        }
    }

    /// Machines that may be claimed for a task of at most so many processors, those with most free first. Only a
    /// task that needs more than the next task to end will leave has to be helped; the rest find room by
    /// themselves. Even where room is left beside that, narrower tasks would take it first.
    fn claimable_machines(&self, widest: f64) -> Vec<Candidate<'_>> {
        let mut narrowest: BTreeMap<&MachineId, f64> = BTreeMap::new();
        for out in self
            .active_attempts
            .values()
            .filter(|o| o.phase != Phase::Completed)
        {
            if let (Some(machine), Some(job)) = (&out.machine, &out.job) {
                let least = narrowest.entry(machine).or_insert(f64::MAX);
                *least = least.min(job.spec.cpus);
            }
        }
        let mut candidates: Vec<Candidate> = self
            .machines()
            .map(|view| &view.status)
            .filter_map(|machine| {
                let next = narrowest.get(&machine.id).copied().unwrap_or(0.0);
                let will_leave = machine.cpus.max(next);
                let may_be_claimed = will_leave < widest
                    && machine.schedulable
                    && !machine.reclaim_notice
                    && !self.claims.contains_key(&machine.id)
                    // A former leader's claim has to go first.
                    && !self.pending_writes.contains(&PendingWrite::RemoveKey(claim_key(&machine.id)));
                may_be_claimed.then_some(Candidate {
                    machine,
                    will_leave,
                })
            })
            .collect();
        candidates.sort_by(|a, b| {
            let (a, b) = (a.machine, b.machine);
            b.cpus.total_cmp(&a.cpus).then(a.id.cmp(&b.id))
        });
        candidates
    }

    /// Lets go of machines that are no longer there, or whose job has no waiting task.
    fn release_idle_claims(&mut self) {
        let idle: Vec<MachineId> = self
            .claims
            .iter()
            .filter(|(machine, claim)| {
                let present = self
                    .partitions
                    .values()
                    .filter_map(|partition| partition.machines.get(*machine))
                    .any(|view| view.status.schedulable);
                let waiting = self.jobs.get(&claim.job).is_some_and(|w| w.waiting() > 0);
                !present || (!waiting && !self.is_claim_used(machine))
            })
            .map(|(machine, _)| machine.clone())
            .collect();
        for machine in idle {
            self.release_claim(&machine);
        }
    }

    fn is_claim_used(&self, machine: &MachineId) -> bool {
        let attempts = self.active_attempts.values();
        attempts
            .filter_map(|out| out.claimed_machine.as_ref())
            .any(|claimed| claimed == machine)
    }

    /// Machines kept free for a job on which nothing was handed out yet.
    pub(super) fn claims_for(&self, job: JobId) -> impl Iterator<Item = &MachineId> {
        self.claims
            .iter()
            .filter(move |(_, claim)| claim.job == job && claim.state == ClaimState::Held)
            .map(|(machine, _)| machine)
            .filter(|machine| !self.is_claim_used(machine))
    }

    pub(super) fn held_claims(&self) -> BTreeSet<MachineId> {
        let held = |(_, claim): &(&MachineId, &Claim)| claim.state == ClaimState::Held;
        let held = self.claims.iter().filter(held);
        held.map(|(machine, _)| machine.clone()).collect()
    }

    pub(super) fn release_claim(&mut self, machine: &MachineId) {
        if let Some(claim) = self.claims.get_mut(machine) {
            claim.state = ClaimState::Releasing;
            self.pending_writes
                .insert(PendingWrite::UpdateClaim(machine.clone()));
        }
    }

    pub(super) fn release_claims_of(&mut self, job: JobId) {
        let of_job = self.claims.iter().filter(|(_, claim)| claim.job == job);
        let released: Vec<MachineId> = of_job.map(|(machine, _)| machine.clone()).collect();
        for machine in released {
            self.release_claim(&machine);
        }
    }

    /// A claim's value as it should be stored; none: remove it.
    pub fn claim_value(&self, machine: &MachineId) -> Option<Value> {
        let claim = self.claims.get(machine)?;
        (claim.state == ClaimState::BeingWritten)
            .then(|| serde_json::json!({ "job": claim.job, "epoch": self.epoch }))
    }

    /// A claim, or its end, is durable.
    pub fn claim_written(&mut self, machine: &MachineId, held: bool) {
        match self.claims.get_mut(machine) {
            Some(claim) if held && claim.state == ClaimState::BeingWritten => {
                claim.state = ClaimState::Held;
                self.pending_writes
                    .remove(&PendingWrite::UpdateClaim(machine.clone()));
            }
            // Released while it was being written: it is still due.
            Some(_) if held => {}
            _ => {
                self.claims.remove(machine);
                self.pending_writes
                    .remove(&PendingWrite::UpdateClaim(machine.clone()));
            }
        }
    }
}
