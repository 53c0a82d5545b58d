//! Preemption: stopping attempts to free resources for waiting tasks that come before them.
//!
//! The leading controller calls [`Scheduler::preempt`] on a timer, and sooner for replicas;
//! `preemption_candidates` has the machines and what may be stopped there.

use std::collections::BTreeMap;
use std::rc::Rc;

use worksshunt_wire::Attempt;

use crate::constants::scheduling::PREEMPT_AFTER_MS;
use crate::jobs::Job;
use crate::quota::Quota;
use crate::time::{Budget, Now};

use super::job_tasks::{JobTasks, Rank};
use super::partition_view::Directive;
use super::preemption_candidates::{GuaranteeState, PreemptionCandidates, Preemptor};
use super::Scheduler;

/// A job with waiting tasks that have found no free resources.
struct StuckJob {
    /// Its place in the order of service.
    rank: Rank,
    job: Rc<Job>,
    waiting: u32,
}

/// The attempts chosen so far, with machines and quotas as they will be once those are stopped and the
/// waiting tasks run.
struct Selection<'a> {
    candidates: PreemptionCandidates<'a>,
    quota: Quota,
    chosen: Vec<Attempt>,
}

impl Selection<'_> {
    /// Chooses attempts to be stopped for one task where that loses least work, on a machine in a zone
    /// that may have more of the job's tasks. The zone; none if there is no such machine.
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
            tracing::debug!(attempt = %victim.attempt, machine = %plan.machine, lost_ms = plan.lost_ms, job = %job.spec.id, "attempt preempted");
            self.chosen.push(victim.attempt);
        }
        candidate.free.allocate(&job.resources());
        Some(candidate.machine.zone.clone())
    }
}

impl Scheduler {
    /// Stops attempts for waiting tasks that have found no free resources for a while: work of lower
    /// priority, and work that another team runs beyond its guarantee for a team within its own.
    /// What would be served before the waiting task anyway is never stopped for it, so nothing is
    /// stopped twice in a row.
    pub fn preempt(&mut self, now: Now, budget: &Budget) {
        self.services.has_stuck_replica = false;
        let stuck = self.stuck_jobs(now);
        if stuck.is_empty() {
            return;
        }
        for attempt in self.choose_victims(&stuck, now, budget) {
            if let Some(active) = self.active_attempts.get_mut(&attempt) {
                active.is_preempted = true;
            }
            self.send_directive(Directive::Stop(attempt));
        }
    }

    /// Jobs that others may be preempted for, in order of service.
    fn stuck_jobs(&self, now: Now) -> Vec<StuckJob> {
        let mut stuck: Vec<StuckJob> = self
            .jobs
            .values()
            .filter(|tasks| self.may_preempt_for(tasks, now))
            .map(|tasks| StuckJob {
                rank: tasks.rank(now.wall_ms),
                job: Rc::clone(&tasks.job),
                waiting: tasks.waiting(),
            })
            .collect();
        stuck.sort_by_key(|stuck| stuck.rank);
        stuck
    }

    /// Whether others may be preempted for the job: its tasks have found no free resources for long enough,
    /// at once for a replica, its team's limit admits them, and waiting puts an objective at risk.
    fn may_preempt_for(&self, job_tasks: &JobTasks, now: Now) -> bool {
        let job = &job_tasks.job;
        let is_service = job.is_service();
        let has_waited = |since| is_service || now.steady.since(since) >= PREEMPT_AFTER_MS;
        job_tasks.stuck_since.is_some_and(has_waited)
            && (is_service || !job.has_zone_constraint())
            && !job.spec.needs_single_zone
            && self.quota.admits_one_more(job)
            && self.is_at_risk(job, now, self.quota.guarantees_one_more(job))
    }

    fn is_at_risk(&self, job: &Job, now: Now, is_guaranteed: bool) -> bool {
        job.is_service() || self.objectives.is_at_risk(job, now.wall_ms, is_guaranteed)
    }

    fn choose_victims(&self, stuck: &[StuckJob], now: Now, budget: &Budget) -> Vec<Attempt> {
        let mut selection = Selection {
            candidates: self.preemption_candidates(now.steady),
            quota: self.quota.clone(),
            chosen: Vec::new(),
        };
        for StuckJob { job, waiting, .. } in stuck {
            let mut zones = self.remaining_tasks_by_zone(job);
            for _ in 0..*waiting {
                if budget.is_exhausted() {
                    return selection.chosen;
                }
                let is_guaranteed = selection.quota.guarantees_one_more(job);
                if !selection.quota.admits_one_more(job)
                    || !self.is_at_risk(job, now, is_guaranteed)
                {
                    break;
                }
                let preemptor = Preemptor {
                    job,
                    guarantee: match (is_guaranteed, self.round.is_at_risk(job)) {
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
