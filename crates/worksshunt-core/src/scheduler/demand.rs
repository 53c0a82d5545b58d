//! The demand for machines: waiting and running tasks of the open jobs, by which the fleet scales out and in. The
//! leading controller computes it on the fleet's timer.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use worksshunt_wire::JobId;

use crate::constants::scheduling::MIN_REMAINING_SHARE;
use crate::constants::services::SPOT_UNAVAILABLE_AFTER_MS;
use crate::jobs::Job;
use crate::time::{Now, Time};

use super::zone_constraints::ZoneConstraints;
use super::Scheduler;

/// The demand of one open job.
#[derive(Debug, Clone)]
pub struct Demand {
    /// The job.
    pub job: Rc<Job>,
    /// Waiting tasks that its team's limit admits besides the running ones.
    pub tasks_within_limit: u32,
    /// All waiting tasks.
    pub waiting_tasks: u32,
    /// Tasks that are dispatched and not completed.
    pub running_tasks: u32,
    /// Sum of the estimated remaining run times of the running tasks, seconds.
    pub running_remaining_s: f64,
    /// Milliseconds for which its next task has fitted no machine; 0 if it fits one or none waits.
    pub unschedulable_ms: u64,
    /// Seconds, counted from acceptance, that its tasks may wait.
    pub slack_s: f64,
    /// The zone that its next tasks have to run in; `None` if its other tasks don't determine one.
    pub zone: Option<String>,
    /// Zones that may have no more of its tasks.
    pub full_zones: BTreeSet<String>,
    /// Whether its tasks may use spot machines only, because on-demand machines are reserved (see
    /// [`Job::is_excluded_by_on_demand_reservation`]).
    pub is_spot_only: bool,
    /// Whether there are schedulable spot machines, or were within [`SPOT_UNAVAILABLE_AFTER_MS`].
    pub is_spot_available: bool,
}

/// Classes and spot machines seen in this epoch, for the demand and its forecast.
#[derive(Debug)]
pub(super) struct DemandHistory {
    /// Classes of the jobs opened so far.
    classes_seen: BTreeSet<String>,
    /// When there last was a schedulable spot machine; until there is one, the start of the epoch.
    spot_last_seen_at: Time,
}

impl DemandHistory {
    /// Empty history; `now` is the start of the epoch.
    pub fn new(now: Time) -> DemandHistory {
        DemandHistory {
            classes_seen: BTreeSet::new(),
            spot_last_seen_at: now,
        }
    }

    /// Records that a job of the class was opened.
    pub fn record_class(&mut self, class: &str) {
        if !self.classes_seen.contains(class) {
            self.classes_seen.insert(class.to_owned());
        }
    }

    /// Whether a job of the class was opened.
    pub fn has_seen_class(&self, class: &str) -> bool {
        self.classes_seen.contains(class)
    }
}

/// The tasks of a job that are dispatched and not completed.
#[derive(Debug, Clone, Copy, Default)]
struct RunningTasks {
    tasks: u32,
    /// Sum of their estimated remaining run times, seconds.
    remaining_s: f64,
}

impl Scheduler {
    /// The demand of the open jobs, in scheduling order.
    pub fn demand(&self, now: Now) -> Vec<Demand> {
        let mut quota = self.quota.clone();
        // Quota reserved for starved jobs is part of their own demand. Counted in addition, it could use up the limit,
        // and the fleet would be scaled in while they wait.
        quota.clear_reservations();
        let running_by_job = self.running_tasks(now.steady);
        let has_spot = self.is_spot_available(now.steady);
        let is_on_demand_reserved = self.is_on_demand_reserved(now.steady);
        let mut demand = Vec::new();
        for job_tasks in self.dispatchable_jobs(now, |_| true) {
            let job = &job_tasks.job;
            let running = running_by_job
                .get(&job.spec.id)
                .copied()
                .unwrap_or_default();
            let waiting_tasks = job_tasks.waiting_tasks();
            let tasks_within_limit = waiting_tasks.min(quota.tasks_within_limit(job));
            quota.charge_many(job, tasks_within_limit);
            if waiting_tasks + running.tasks > 0 {
                // Zones without machines are included, since the last machine of a zone may be lost.
                let constraints = self.zone_constraints(job);
                let constraints = constraints.as_ref();
                let allowed =
                    constraints.and_then(|constraints| constraints.allowed_zones.as_ref());
                demand.push(Demand {
                    job: Rc::clone(job),
                    tasks_within_limit,
                    waiting_tasks,
                    running_tasks: running.tasks,
                    running_remaining_s: running.remaining_s,
                    unschedulable_ms: job_tasks.unschedulable_ms(now.steady),
                    slack_s: self.objectives.slack_s(job),
                    zone: allowed.and_then(|zones| zones.first().cloned()),
                    full_zones: constraints.map_or(BTreeSet::new(), ZoneConstraints::full_zones),
                    is_spot_only: job
                        .is_excluded_by_on_demand_reservation(false, is_on_demand_reserved),
                    is_spot_available: has_spot,
                });
            }
        }
        demand
    }

    fn running_tasks(&self, now: Time) -> BTreeMap<JobId, RunningTasks> {
        let mut by_job: BTreeMap<JobId, RunningTasks> = BTreeMap::new();
        let attempts = self.active_attempts.values();
        for active in attempts.filter(|attempt| !attempt.is_completed()) {
            let Some(job) = &active.job else { continue };
            let estimate_s = job.spec.estimated_runtime_s;
            let ran_s = active.running_ms(now) as f64 / 1_000.0;
            let remaining_s = (estimate_s - ran_s).max(estimate_s * MIN_REMAINING_SHARE);
            let running = by_job.entry(active.task.job).or_default();
            running.tasks += 1;
            running.remaining_s += remaining_s;
        }
        by_job
    }

    /// Records whether there is a schedulable spot machine.
    pub fn record_spot_machines(&mut self, now: Time) {
        if self
            .machines()
            .any(|view| view.status.is_spot && view.status.is_schedulable)
        {
            self.demand_history.spot_last_seen_at = now;
        }
    }

    /// Whether there are schedulable spot machines, or were within [`SPOT_UNAVAILABLE_AFTER_MS`].
    fn is_spot_available(&self, now: Time) -> bool {
        now.since(self.demand_history.spot_last_seen_at) < SPOT_UNAVAILABLE_AFTER_MS
    }

    /// Whether on-demand machines are reserved for services and for jobs that may not use spot machines.
    pub(super) fn is_on_demand_reserved(&self, now: Time) -> bool {
        !self.services.open_jobs.is_empty() && self.is_spot_available(now)
    }

    /// Whether a replica has become unschedulable since the last preemption.
    pub fn has_unschedulable_replica(&self) -> bool {
        self.services.has_unschedulable_replica
    }
}
