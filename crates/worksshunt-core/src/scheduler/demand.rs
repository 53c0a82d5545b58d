//! The demand for machines: the tasks that wait and run, as the fleet needs to know them to scale out
//! and in. The leading controller asks for it on the fleet's timer.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use worksshunt_wire::JobId;

use crate::constants::scheduling::MIN_REMAINING_SHARE;
use crate::constants::services::SPOT_ABSENCE_MS;
use crate::jobs::Job;
use crate::time::{Now, Time};

use super::zone_constraints::ZoneConstraints;
use super::Scheduler;

/// A group of waiting tasks, for the fleet.
#[derive(Debug, Clone)]
pub struct Demand {
    /// The job.
    pub job: Rc<Job>,
    /// Tasks that wait and that its team's limit lets run beside those that run.
    pub tasks_within_limit: u32,
    /// All tasks that wait.
    pub waiting_tasks: u32,
    /// Tasks dispatched and not completed.
    pub running_tasks: u32,
    /// Estimated seconds those still take, summed up.
    pub running_remaining_s: f64,
    /// Seconds its tasks may wait.
    pub slack_s: f64,
    /// The zone they must be in.
    pub zone: Option<String>,
    /// Zones that they must not be in.
    pub full_zones: BTreeSet<String>,
    /// Whether they leave on-demand machines to others.
    pub spot_only: bool,
    /// Whether there are spot machines, or may be soon.
    pub has_spot_machines: bool,
}

/// What the leader has seen in its epoch and judges future demand by.
#[derive(Debug)]
pub(super) struct DemandHistory {
    /// Classes of which there has been a job.
    classes_seen: BTreeSet<String>,
    /// When a spot machine last took tasks; the beginning of the epoch before that.
    spot_last_seen_at: Time,
}

impl DemandHistory {
    /// Nothing seen in an epoch that begins now.
    pub fn new(now: Time) -> DemandHistory {
        DemandHistory {
            classes_seen: BTreeSet::new(),
            spot_last_seen_at: now,
        }
    }

    /// A job of the class was accepted.
    pub fn note_class(&mut self, class: &str) {
        if !self.classes_seen.contains(class) {
            self.classes_seen.insert(class.to_owned());
        }
    }

    /// Whether there has been a job of the class.
    pub fn has_seen_class(&self, class: &str) -> bool {
        self.classes_seen.contains(class)
    }
}

/// The tasks of a job that were dispatched and are not completed.
#[derive(Debug, Clone, Copy, Default)]
struct RunningTasks {
    tasks: u32,
    /// Estimated seconds they still take, summed up.
    remaining_s: f64,
}

impl Scheduler {
    /// Open jobs in order of service, with as many waiting tasks as the teams' limits let run.
    pub fn demand(&self, now: Now) -> Vec<Demand> {
        let mut quota = self.quota.clone();
        // What is reserved for starved jobs is their own demand: counted beside it, a limit's worth of them would leave
        // no demand at all, and the fleet would be scaled in while they wait.
        quota.clear_reservations();
        let running_by_job = self.running_tasks(now.steady);
        let has_spot = self.has_spot_machines(now.steady);
        let reserves_on_demand = self.reserves_on_demand_machines(now.steady);
        let mut demand = Vec::new();
        for job_tasks in self.dispatchable_jobs(now, |_| true) {
            let job = &job_tasks.job;
            let running = running_by_job
                .get(&job.spec.id)
                .copied()
                .unwrap_or_default();
            let waiting = job_tasks.waiting();
            let tasks = waiting.min(quota.tasks_within_limit(job));
            quota.charge_many(job, tasks);
            if waiting + running.tasks > 0 {
                // Not only where there are machines: a zone may have lost its last one.
                let constraints = self.zone_constraints(job);
                let constraints = constraints.as_ref();
                let allowed = constraints.and_then(|constraints| constraints.allowed.as_ref());
                demand.push(Demand {
                    job: Rc::clone(job),
                    tasks_within_limit: tasks,
                    waiting_tasks: waiting,
                    running_tasks: running.tasks,
                    running_remaining_s: running.remaining_s,
                    slack_s: self.objectives.slack_s(job),
                    zone: allowed.and_then(|zones| zones.first().cloned()),
                    full_zones: constraints.map_or(BTreeSet::new(), ZoneConstraints::full_zones),
                    spot_only: job.leaves_machine_to_services(false, reserves_on_demand),
                    has_spot_machines: has_spot,
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
            let estimate_s = job.spec.estimate_s;
            let ran_s = active.running_ms(now) as f64 / 1_000.0;
            let remaining_s = (estimate_s - ran_s).max(estimate_s * MIN_REMAINING_SHARE);
            let running = by_job.entry(active.task.job).or_default();
            running.tasks += 1;
            running.remaining_s += remaining_s;
        }
        by_job
    }

    /// Notes whether any spot machine takes tasks.
    pub fn note_spot_machines(&mut self, now: Time) {
        if self
            .machines()
            .any(|view| view.status.spot && view.status.schedulable)
        {
            self.demand_history.spot_last_seen_at = now;
        }
    }

    /// Whether there are spot machines, or may be soon.
    fn has_spot_machines(&self, now: Time) -> bool {
        now.since(self.demand_history.spot_last_seen_at) < SPOT_ABSENCE_MS
    }

    /// Whether jobs that may use spot machines leave on-demand machines to services.
    pub(super) fn reserves_on_demand_machines(&self, now: Time) -> bool {
        !self.services.open.is_empty() && self.has_spot_machines(now)
    }

    /// Whether a replica has found no free resources since the last preemption.
    pub fn replica_stuck(&self) -> bool {
        self.services.has_stuck_replica
    }
}
