//! Candidates for preemption: which attempts may be stopped for a job on which machine, and the work that is lost.
//! Computed anew for each call of [`Scheduler::preempt`].

use std::collections::BTreeMap;
use std::rc::Rc;

use worksshunt_wire::peer::MachineStatus;
use worksshunt_wire::user::Priority;
use worksshunt_wire::{AttemptId, MachineId, TeamName};

use crate::constants::services::REPLICA_PREEMPTION_COST_MS;
use crate::jobs::Job;
use crate::quota::Quota;
use crate::resources::Resources;
use crate::time::Time;

use super::active_attempt::ActiveAttempt;
use super::Scheduler;

/// Whether a job's next task is within its team's guarantee, which determines what it may preempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum GuaranteeState {
    /// The task exceeds the guarantee and is scheduled by its priority.
    Exhausted,
    /// The task is within the guarantee and comes before others of its priority.
    Available,
    /// The task is within the guarantee, has waited nearly as long as that allows, and comes before all others.
    AtRisk,
}

/// The job that attempts are to be preempted for.
pub(super) struct Preemptor<'a> {
    pub job: &'a Job,
    pub guarantee: GuaranteeState,
}

impl Preemptor<'_> {
    /// Whether a task of `other` may be stopped for one of the job. `is_over_guarantee`: whether the team of `other`
    /// uses more than its guarantee.
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
            // A replica has to start at once, even if its own team's work has to be stopped for it.
            GuaranteeState::Exhausted => {
                is_lower && (is_over_guarantee || (self.job.is_service() && is_same_team))
            }
        }
    }
}

/// The properties of an attempt's job that, with the usage of its team's guarantee, decide whether the attempt may be
/// stopped for a task.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct PreemptionClass {
    team: TeamName,
    priority: Priority,
}

/// The preemption classes of the attempts, with an index for each.
#[derive(Default)]
struct PreemptionClasses {
    indices: BTreeMap<PreemptionClass, usize>,
    /// One job of each class, by index.
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
    /// Work lost if it is stopped, milliseconds.
    lost_work_ms: u64,
    pub attempt: AttemptId,
    pub job: Rc<Job>,
    /// Index of its class in [`PreemptionClasses`].
    class_index: usize,
}

/// A machine, its free resources once the chosen attempts have stopped, and the remaining attempts on it.
pub(super) struct CandidateMachine<'a> {
    pub machine: &'a MachineStatus,
    pub free: Resources,
    /// In order of the work lost if they are stopped, the least first.
    attempts: Vec<PreemptibleAttempt>,
}

impl CandidateMachine<'_> {
    /// Whether the job may use the machine, and `zones` allows more of the job's tasks in the machine's zone.
    fn allows(&self, job: &Job, zones: Option<&BTreeMap<String, u32>>) -> bool {
        let machine = self.machine;
        let has_tasks_left = |zones: &BTreeMap<String, u32>| {
            zones.get(&machine.zone).is_some_and(|tasks| *tasks > 0)
        };
        job.allows_machine(&machine.machine_type, &machine.zone, machine.is_spot)
            && zones.is_none_or(has_tasks_left)
    }

    /// Plans which attempts to stop here for one task; `None` if it would not fit even then. `preemptible_classes`
    /// has, by class index, whether attempts of the class may be stopped while all of them run.
    fn plan(
        &self,
        preemptor: &Preemptor,
        preemptible_classes: &[bool],
        quota: &Quota,
    ) -> Option<PreemptionPlan> {
        let required = preemptor.job.resources();
        let mut free = self.free;
        let mut lost_work_ms = 0;
        let mut victims: Vec<usize> = Vec::new();
        for (index, attempt) in self.attempts.iter().enumerate() {
            if free.fits(&required) {
                break;
            }
            if !preemptible_classes[attempt.class_index] {
                continue;
            }
            // The victims before it may have brought its team back within its guarantee.
            let team = &attempt.job.spec.team;
            let same_team = victims
                .iter()
                .map(|victim| &self.attempts[*victim].job)
                .filter(|job| job.spec.team == *team);
            let is_over_guarantee = quota.is_over_guarantee_without(team, same_team);
            if preemptor.may_preempt(&attempt.job, is_over_guarantee) {
                free.release(&attempt.job.resources());
                lost_work_ms += attempt.lost_work_ms;
                victims.push(index);
            }
        }
        free.fits(&required).then(|| PreemptionPlan {
            lost_work_ms,
            machine: self.machine.id.clone(),
            victims,
        })
    }

    /// Removes the attempts at these indices, which ascend, and frees their resources. Returns the last one first.
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

/// The attempts to stop on a machine for one task.
pub(super) struct PreemptionPlan {
    /// Work lost with all of them, milliseconds.
    pub lost_work_ms: u64,
    pub machine: MachineId,
    /// Indices into the machine's attempts, ascending.
    pub victims: Vec<usize>,
}

/// The machines on which attempts may be preempted, and the preemption classes of the attempts there.
pub(super) struct PreemptionCandidates<'a> {
    pub machines: BTreeMap<MachineId, CandidateMachine<'a>>,
    classes: PreemptionClasses,
}

impl PreemptionCandidates<'_> {
    /// The plan for one task that loses the least work; `None` if the task fits nowhere.
    pub fn best_plan(
        &self,
        preemptor: &Preemptor,
        zones: Option<&BTreeMap<String, u32>>,
        quota: &Quota,
    ) -> Option<PreemptionPlan> {
        let preemptible_classes = self.preemptible_classes(preemptor, quota);
        if !self.may_fit(preemptor.job, &preemptible_classes) {
            return None;
        }
        let mut best: Option<PreemptionPlan> = None;
        for candidate in self.machines.values() {
            if !candidate.allows(preemptor.job, zones) {
                continue;
            }
            let Some(plan) = candidate.plan(preemptor, &preemptible_classes, quota) else {
                continue;
            };
            if plan.lost_work_ms == 0 {
                return Some(plan);
            }
            if best
                .as_ref()
                .is_none_or(|best| plan.lost_work_ms < best.lost_work_ms)
            {
                best = Some(plan);
            }
        }
        best
    }

    /// For each class, by index, whether its attempts may be stopped for the job while all of them run.
    fn preemptible_classes(&self, preemptor: &Preemptor, quota: &Quota) -> Vec<bool> {
        let may_preempt = |other: &Rc<Job>| {
            let team = &other.spec.team;
            let is_over_guarantee = quota.is_over_guarantee_without(team, std::iter::empty());
            preemptor.may_preempt(other, is_over_guarantee)
        };
        self.classes.jobs.iter().map(may_preempt).collect()
    }

    /// Whether a task of the job may fit at all. For most jobs that wait on a full fleet this is false, which saves
    /// the examination of every machine.
    fn may_fit(&self, job: &Job, preemptible_classes: &[bool]) -> bool {
        let required = job.resources();
        let mut machines = self.machines.values();
        preemptible_classes.contains(&true)
            || machines.any(|candidate| candidate.free.fits(&required))
    }

    /// Adds an attempt to its machine if that is a candidate.
    fn add_attempt(&mut self, attempt: AttemptId, active: &ActiveAttempt, now: Time) {
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
            // Earlier preemptions will free these resources.
            candidate.free.release(&job.resources());
            return;
        }
        candidate.attempts.push(PreemptibleAttempt {
            lost_work_ms: lost_work_ms(job, active.running_ms(now)),
            attempt,
            job: Rc::clone(job),
            class_index: self.classes.index_of(job),
        });
    }
}

/// Work lost if an attempt is stopped after running for `ran_ms`, milliseconds.
fn lost_work_ms(job: &Job, ran_ms: u64) -> u64 {
    match job.spec.checkpoint_interval_s {
        // A replica does its work only while it runs, so it is the last to be stopped.
        _ if job.is_service() => REPLICA_PREEMPTION_COST_MS,
        interval_s if interval_s > 0.0 => ran_ms.min((interval_s * 1_000.0) as u64),
        _ => ran_ms,
    }
}

impl Scheduler {
    /// The schedulable machines without a claim or reclaim notice, with the attempts that may be preempted there.
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
                .sort_by_key(|attempt| (attempt.lost_work_ms, attempt.attempt));
        }
        candidates
    }
}
