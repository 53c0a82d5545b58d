//! The machines that attempts may be preempted on, what each preemption loses, and which attempts may be
//! preempted for which job. Built anew for every call of [`Scheduler::preempt`].

use std::collections::BTreeMap;
use std::rc::Rc;

use worksshunt_wire::peer::MachineStatus;
use worksshunt_wire::user::Priority;
use worksshunt_wire::{Attempt, MachineId, TeamName};

use crate::constants::services::REPLICA_PREEMPTION_COST_MS;
use crate::jobs::Job;
use crate::quota::Quota;
use crate::resources::Resources;
use crate::time::Time;

use super::active_attempt::ActiveAttempt;
use super::Scheduler;

/// What is left of its team's guarantee for a job's next task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum GuaranteeState {
    /// Nothing: the task comes in order of priority.
    Exhausted,
    /// The task fits into it, and so comes before others of its priority.
    Available,
    /// The task fits into it and would soon have waited too long for that, and so comes before all others.
    AtRisk,
}

/// The job that attempts are to be preempted for.
pub(super) struct Preemptor<'a> {
    pub job: &'a Job,
    pub guarantee: GuaranteeState,
}

impl Preemptor<'_> {
    /// Whether a task of `other` may be stopped for one of the job: never what would be served before it.
    /// `is_over_guarantee`: whether the team of `other` uses more than its guarantee.
    fn may_preempt(&self, other: &Job, is_over_guarantee: bool) -> bool {
        let (spec, other_spec) = (&self.job.spec, &other.spec);
        let is_lower = other_spec.priority < spec.priority;
        let is_same_team = other_spec.team == spec.team;
        let is_borrowed = is_over_guarantee && !is_same_team;
        match self.guarantee {
            GuaranteeState::AtRisk => is_borrowed || is_lower,
            GuaranteeState::Available => {
                (is_borrowed && other_spec.priority <= spec.priority) || is_lower
            }
            // A replica cannot wait for work of its own team either.
            GuaranteeState::Exhausted => {
                is_lower && (is_over_guarantee || (self.job.is_service() && is_same_team))
            }
        }
    }
}

/// What decides whether a task may be stopped for another one, apart from how much of its team's guarantee is used.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct PreemptionClass {
    team: TeamName,
    priority: Priority,
}

/// The classes of the attempts, numbered.
#[derive(Default)]
struct PreemptionClasses {
    indices: BTreeMap<PreemptionClass, usize>,
    /// A job of each class, by index.
    jobs: Vec<Rc<Job>>,
}

impl PreemptionClasses {
    fn index_of(&mut self, job: &Rc<Job>) -> usize {
        let class = PreemptionClass {
            team: job.spec.team.clone(),
            priority: job.spec.priority,
        };
        *self.indices.entry(class).or_insert_with(|| {
            self.jobs.push(Rc::clone(job));
            self.jobs.len() - 1
        })
    }
}

/// An attempt that may be stopped for another task.
pub(super) struct PreemptibleAttempt {
    /// The work that would be lost, milliseconds.
    lost_ms: u64,
    pub attempt: Attempt,
    pub job: Rc<Job>,
    /// Index of its class.
    class: usize,
}

/// A machine with what is or will be free there, and the attempts on it.
pub(super) struct CandidateMachine<'a> {
    pub machine: &'a MachineStatus,
    pub free: Resources,
    /// Those that lose least first.
    attempts: Vec<PreemptibleAttempt>,
}

impl CandidateMachine<'_> {
    /// Whether the job may use it, and its zone may have more of the job's tasks.
    fn allows(&self, job: &Job, zones: Option<&BTreeMap<String, u32>>) -> bool {
        let machine = self.machine;
        let has_tasks_left = |zones: &BTreeMap<String, u32>| {
            zones.get(&machine.zone).is_some_and(|tasks| *tasks > 0)
        };
        job.allows_machine(&machine.machine_type, &machine.zone, machine.is_spot)
            && zones.is_none_or(has_tasks_left)
    }

    /// What has to be stopped here for one task; none if the task does not fit even then.
    /// `preemptible` states for each class whether its attempts may be stopped as long as nothing is.
    fn plan(
        &self,
        preemptor: &Preemptor,
        preemptible: &[bool],
        quota: &Quota,
    ) -> Option<PreemptionPlan> {
        let need = preemptor.job.resources();
        let mut free = self.free;
        let mut lost_ms = 0;
        let mut victims: Vec<usize> = Vec::new();
        for (index, attempt) in self.attempts.iter().enumerate() {
            if free.fits(&need) {
                break;
            }
            if !preemptible[attempt.class] {
                continue;
            }
            // Those before it may have brought its team back within its guarantee.
            let team = &attempt.job.spec.team;
            let same_team = victims
                .iter()
                .map(|victim| &self.attempts[*victim].job)
                .filter(|job| job.spec.team == *team);
            let is_over_guarantee = quota.is_over_guarantee_without(team, same_team);
            if preemptor.may_preempt(&attempt.job, is_over_guarantee) {
                free.release(&attempt.job.resources());
                lost_ms += attempt.lost_ms;
                victims.push(index);
            }
        }
        free.fits(&need).then(|| PreemptionPlan {
            lost_ms,
            machine: self.machine.id.clone(),
            victims,
        })
    }

    /// Takes the attempts at these indices, which are in ascending order, off the machine; the last one first.
    pub fn remove_victims(&mut self, indices: &[usize]) -> Vec<PreemptibleAttempt> {
        let mut removed = Vec::new();
        for index in indices.iter().rev() {
            let victim = self.attempts.remove(*index);
            self.free.release(&victim.job.resources());
            removed.push(victim);
        }
        removed
    }
}

/// The attempts to be stopped on a machine for one task.
pub(super) struct PreemptionPlan {
    /// The work that is lost, milliseconds.
    pub lost_ms: u64,
    pub machine: MachineId,
    /// Indices of the attempts among those of the machine, ascending.
    pub victims: Vec<usize>,
}

/// The machines that attempts may be preempted on, and the classes of the attempts there.
pub(super) struct PreemptionCandidates<'a> {
    pub machines: BTreeMap<MachineId, CandidateMachine<'a>>,
    classes: PreemptionClasses,
}

impl PreemptionCandidates<'_> {
    /// The plan for one task that loses least work.
    pub fn best_plan(
        &self,
        preemptor: &Preemptor,
        zones: Option<&BTreeMap<String, u32>>,
        quota: &Quota,
    ) -> Option<PreemptionPlan> {
        let preemptible = self.preemptible_classes(preemptor, quota);
        if !self.may_fit(preemptor.job, &preemptible) {
            return None;
        }
        let mut best: Option<PreemptionPlan> = None;
        for candidate in self.machines.values() {
            if !candidate.allows(preemptor.job, zones) {
                continue;
            }
            let Some(plan) = candidate.plan(preemptor, &preemptible, quota) else {
                continue;
            };
            if plan.lost_ms == 0 {
                return Some(plan);
            }
            if best.as_ref().is_none_or(|best| plan.lost_ms < best.lost_ms) {
                best = Some(plan);
            }
        }
        best
    }

    /// Which classes of tasks may be stopped for the job as long as none is.
    fn preemptible_classes(&self, preemptor: &Preemptor, quota: &Quota) -> Vec<bool> {
        let may_preempt = |other: &Rc<Job>| {
            let team = &other.spec.team;
            let is_over_guarantee = quota.is_over_guarantee_without(team, std::iter::empty());
            preemptor.may_preempt(other, is_over_guarantee)
        };
        self.classes.jobs.iter().map(may_preempt).collect()
    }

    /// Whether a task of the job can fit at all: on some machine as it is, or where attempts may be stopped. For
    /// most jobs that wait on a full fleet this check is enough; what runs on each machine is not examined.
    fn may_fit(&self, job: &Job, preemptible: &[bool]) -> bool {
        let need = job.resources();
        let mut machines = self.machines.values();
        preemptible.contains(&true) || machines.any(|candidate| candidate.free.fits(&need))
    }

    /// Adds an attempt to its machine, if that is a candidate.
    fn add_attempt(&mut self, attempt: Attempt, active: &ActiveAttempt, now: Time) {
        let (Some(machine), Some(job)) = (&active.machine, &active.job) else {
            return;
        };
        let Some(candidate) = self.machines.get_mut(machine) else {
            return;
        };
        if active.is_completed() {
            return;
        }
        if active.is_preempted {
            // What earlier preemptions will leave.
            candidate.free.release(&job.resources());
            return;
        }
        candidate.attempts.push(PreemptibleAttempt {
            lost_ms: work_lost_ms(job, active.running_ms(now)),
            attempt,
            job: Rc::clone(job),
            class: self.classes.index_of(job),
        });
    }
}

/// The work that is lost when an attempt is stopped that ran for `ran_ms`, milliseconds.
fn work_lost_ms(job: &Job, ran_ms: u64) -> u64 {
    match job.spec.checkpoint_interval_s {
        // A replica does its work only while it runs, so it is stopped last.
        _ if job.is_service() => REPLICA_PREEMPTION_COST_MS,
        interval_s if interval_s > 0.0 => ran_ms.min((interval_s * 1_000.0) as u64),
        _ => ran_ms,
    }
}

impl Scheduler {
    /// The machines that attempts may be preempted on, with the attempts there.
    pub(super) fn preemption_candidates(&self, now: Time) -> PreemptionCandidates<'_> {
        let machines = self
            .machines()
            .filter(|view| view.status.is_schedulable && !view.status.has_reclaim_notice)
            .filter(|view| !self.claims.contains_key(&view.status.id))
            .map(|view| {
                let candidate = CandidateMachine {
                    machine: &view.status,
                    free: view.free,
                    attempts: Vec::new(),
                };
                (view.status.id.clone(), candidate)
            })
            .collect();
        let mut candidates = PreemptionCandidates {
            machines,
            classes: PreemptionClasses::default(),
        };
        for (attempt, active) in &self.active_attempts {
            candidates.add_attempt(*attempt, active, now);
        }
        for candidate in candidates.machines.values_mut() {
            candidate
                .attempts
                .sort_by_key(|attempt| (attempt.lost_ms, attempt.attempt));
        }
        candidates
    }
}
