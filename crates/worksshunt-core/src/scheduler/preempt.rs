//! Preemption: stops attempts to free resources for waiting tasks that come first in the scheduling order.
//!
//! The leading controller calls [`Scheduler::preempt`] on a timer, and without delay for replicas;
//! `preemption_candidates` determines what may be stopped on which machine.

use std::collections::BTreeMap;
use std::rc::Rc;

use worksshunt_wire::AttemptId;

use crate::constants::scheduling::{PREEMPT_AFTER_MS, PREEMPT_WITHOUT_RISK_AFTER_MS};
use crate::jobs::Job;
use crate::quota::Quota;
use crate::time::{Budget, Now};

use super::job_tasks::{JobTasks, Rank};
use super::partition_view::Directive;
use super::preemption_candidates::{GuaranteeState, PreemptionCandidates, Preemptor};
use super::Scheduler;

/// A job whose waiting tasks fit the free resources of no partition.
struct UnschedulableJob {
    /// Its position in the scheduling order.
    rank: Rank,
    job: Rc<Job>,
    waiting_tasks: u32,
    /// Whether it has been unschedulable for [`PREEMPT_WITHOUT_RISK_AFTER_MS`].
    is_overdue: bool,
}

/// The attempts chosen so far, with machines and quotas as they will be once those are stopped and the waiting tasks
/// run.
struct VictimSelection<'a> {
    candidates: PreemptionCandidates<'a>,
    quota: Quota,
    chosen: Vec<AttemptId>,
}

impl VictimSelection<'_> {
    /// Chooses the attempts to stop for one task, on the machine where the least work is lost. `zones` limits how many
    /// more of the job's tasks each zone may have. Returns the machine's zone; `None` if there is no such machine.
    fn preempt_for(
        &mut self,
        preemptor: &Preemptor,
        zones: Option<&BTreeMap<String, u32>>,
    ) -> Option<String> {
        let plan = self.candidates.best_plan(preemptor, zones, &self.quota)?;
        let job = preemptor.job;
        self.quota.charge(job);
        let candidate = self.candidates.machines.get_mut(&plan.machine)?;
        for victim in candidate.remove_victims(&plan.victims) {
            self.quota.refund(&victim.job);
            tracing::debug!(attempt = %victim.attempt, machine = %plan.machine, lost_work_ms = plan.lost_work_ms, job = %job.spec.id, "attempt preempted");
            self.chosen.push(victim.attempt);
        }
        candidate.free.allocate(&job.resources());
        Some(candidate.machine.zone.clone())
    }
}

impl Scheduler {
    /// Stops attempts for tasks that have been unschedulable for a while: those of lower priority, and those that
    /// exceed the guarantee of another team if the task is within its own team's guarantee. Never stops an attempt
    /// whose task would be scheduled before the waiting one, so tasks don't preempt each other in turn.
    pub fn preempt(&mut self, now: Now, budget: &Budget) {
        self.services.has_unschedulable_replica = false;
        let unschedulable = self.unschedulable_jobs(now);
        if unschedulable.is_empty() {
            return;
        }
        for attempt in self.choose_victims(&unschedulable, now, budget) {
            if let Some(active) = self.active_attempts.get_mut(&attempt) {
                active.is_preempted = true;
            }
            self.send_directive(Directive::Stop(attempt));
        }
    }

    /// The jobs that others may be preempted for, in scheduling order.
    fn unschedulable_jobs(&self, now: Now) -> Vec<UnschedulableJob> {
        let mut unschedulable: Vec<UnschedulableJob> = self
            .open_jobs
            .values()
            .filter(|tasks| self.may_preempt_for(tasks, now))
            .map(|tasks| UnschedulableJob {
                rank: tasks.rank(now.wall_ms),
                job: Rc::clone(&tasks.job),
                waiting_tasks: tasks.waiting_tasks(),
                is_overdue: is_overdue(tasks, now),
            })
            .collect();
        unschedulable.sort_by_key(|job| job.rank);
        unschedulable
    }

    /// Whether others may be preempted for the job: it has been unschedulable for [`PREEMPT_AFTER_MS`] (services: for
    /// any time), its team's limit admits one more task, and waiting puts an objective at risk or has lasted for
    /// [`PREEMPT_WITHOUT_RISK_AFTER_MS`]. False for jobs whose tasks have to run in one zone, and for others with a zone
    /// constraint that are not services.
    fn may_preempt_for(&self, job_tasks: &JobTasks, now: Now) -> bool {
        let job = &job_tasks.job;
        let is_service = job.is_service();
        let has_waited = |since| is_service || now.steady.since(since) >= PREEMPT_AFTER_MS;
        job_tasks.unschedulable_since.is_some_and(has_waited)
            && (is_service || !job.has_zone_constraint())
            && !job.spec.needs_single_zone
            && self.quota.admits_one_more(job)
            && (is_overdue(job_tasks, now)
                || self.is_objective_at_risk(job, now, self.quota.guarantees_one_more(job)))
    }

    fn is_objective_at_risk(&self, job: &Job, now: Now, is_guaranteed: bool) -> bool {
        job.is_service() || self.objectives.is_at_risk(job, now.wall_ms, is_guaranteed)
    }

    fn choose_victims(
        &self,
        unschedulable: &[UnschedulableJob],
        now: Now,
        budget: &Budget,
    ) -> Vec<AttemptId> {
        let mut selection = VictimSelection {
            candidates: self.preemption_candidates(now.steady),
            quota: self.quota.clone(),
            chosen: Vec::new(),
        };
        for UnschedulableJob {
            job,
            waiting_tasks,
            is_overdue,
            ..
        } in unschedulable
        {
            let mut zones = self.remaining_tasks_by_zone(job);
            for task in 0..*waiting_tasks {
                if budget.is_exhausted() {
                    return selection.chosen;
                }
                let is_guaranteed = selection.quota.guarantees_one_more(job);
                let is_due = (*is_overdue && task == 0)
                    || self.is_objective_at_risk(job, now, is_guaranteed);
                if !selection.quota.admits_one_more(job) || !is_due {
                    break;
                }
                let preemptor = Preemptor {
                    job,
                    guarantee: match (is_guaranteed, self.round.is_guarantee_at_risk(job)) {
                        (true, true) => GuaranteeState::AtRisk,
                        (true, false) => GuaranteeState::Available,
                        (false, _) => GuaranteeState::Exhausted,
                    },
                };
                let Some(zone) = selection.preempt_for(&preemptor, zones.as_ref()) else {
                    break;
                };
                if let Some(tasks) = zones.as_mut().and_then(|zones| zones.get_mut(&zone)) {
                    *tasks -= 1;
                }
            }
        }
        selection.chosen
    }
}

/// Whether the job's next task has been unschedulable for [`PREEMPT_WITHOUT_RISK_AFTER_MS`].
fn is_overdue(job_tasks: &JobTasks, now: Now) -> bool {
    job_tasks.unschedulable_ms(now.steady) >= PREEMPT_WITHOUT_RISK_AFTER_MS
}
