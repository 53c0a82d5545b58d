//! What the fleet asks of the scheduler: the work that waits, and what is likely to come.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use worksshunt_wire::peer::Phase;
use worksshunt_wire::{JobId, MachineId};

use crate::constants::scheduling::MIN_REMAINING_SHARE;
use crate::constants::services::{
    ARRIVAL_WINDOW_MS, MIN_ARRIVAL_WINDOW_MS, SPARE_CAPACITY_SHARE, SPOT_ABSENCE_MS,
};
use crate::jobs::Job;
use crate::time::{Now, Time};

use super::job_tasks::JobTasks;
use super::Scheduler;

/// A group of waiting tasks, for the fleet.
#[derive(Debug, Clone)]
pub struct Demand {
    /// The job.
    pub job: Rc<Job>,
    /// Tasks that wait and that its team's limit lets run beside those that run.
    pub tasks: u32,
    /// All tasks that wait.
    pub waiting: u32,
    /// Tasks handed out.
    pub running: u32,
    /// Estimated seconds the tasks handed out still take, summed up.
    pub running_s: f64,
    /// Seconds its tasks may wait.
    pub slack_s: f64,
    /// The zone they must be in.
    pub zone: Option<String>,
    /// Zones that they must not be in.
    pub full_zones: BTreeSet<String>,
    /// Whether they leave ordinary machines to others.
    pub spot_only: bool,
    /// Whether there are no spot machines to wait for.
    pub spotless: bool,
}

/// What is likely to be asked for next and has to start within seconds.
#[derive(Debug, Clone, Default)]
pub struct Forecast {
    /// By class of services.
    pub classes: Vec<ExpectedDemand>,
    /// Processors to stand by for what nothing is known of yet.
    pub standby_cpus: f64,
    /// Silent machines with replicas on them, for which nobody should wait until their leases end.
    pub silent: Vec<MachineId>,
}

/// What is likely to be asked for next of a class of services.
#[derive(Debug, Clone)]
pub struct ExpectedDemand {
    /// One of the jobs.
    pub job: Rc<Job>,
    /// Replicas of the largest.
    pub largest: u32,
    /// Those that came within [`ARRIVAL_WINDOW_MS`].
    pub jobs: u32,
    /// Their replicas.
    pub lately: u32,
    /// Since when they have been coming, milliseconds; that at the most.
    pub over_ms: u64,
}

impl Scheduler {
    /// Open jobs in order of service, with as many waiting tasks as the teams' limits let run.
    pub fn demand(&self, now: Now) -> Vec<Demand> {
        let mut quota = self.quota.clone();
        let mut works: Vec<&JobTasks> = self
            .jobs
            .values()
            .filter(|work| work.not_before <= now.steady)
            .collect();
        works.sort_by_cached_key(|work| work.rank(now.wall_ms));
        let mut ran: BTreeMap<JobId, (u32, f64)> = BTreeMap::new();
        for out in self
            .active_attempts
            .values()
            .filter(|o| o.phase != Phase::Completed)
        {
            let Some(job) = &out.job else { continue };
            let estimate_s = job.spec.estimate_s;
            let ran_s = out.running_ms(now.steady) as f64 / 1_000.0;
            let left = (estimate_s - ran_s).max(estimate_s * MIN_REMAINING_SHARE);
            let sum = ran.entry(out.task.job).or_default();
            sum.0 += 1;
            sum.1 += left;
        }
        let has_spot = self.has_spot_machines(now.steady);
        let kept = self.reserves_on_demand_machines(now.steady);
        let mut demand = Vec::new();
        for work in works {
            let (running, running_s) = ran.get(&work.job.spec.id).copied().unwrap_or_default();
            let waiting = work.waiting();
            let tasks = waiting.min(quota.tasks_within_limit(&work.job));
            quota.charge_many(&work.job, tasks);
            if waiting + running > 0 {
                // Not only where there are machines: a zone may have lost its last one.
                let bounds = self.zone_bounds(&work.job);
                let only = bounds.as_ref().and_then(|bounds| bounds.only.as_ref());
                let zone = only.and_then(|zones| zones.first().cloned());
                demand.push(Demand {
                    job: Rc::clone(&work.job),
                    tasks,
                    waiting,
                    running,
                    running_s,
                    slack_s: self.objectives.slack_s(&work.job),
                    zone,
                    full_zones: bounds.map_or(BTreeSet::new(), |bounds| bounds.full()),
                    spot_only: work.job.leaves_machine_to_others(false, kept),
                    spotless: !has_spot,
                });
            }
        }
        demand
    }

    /// Notes whether any spot machine takes tasks.
    pub fn note_spot_machines(&mut self, now: Time) {
        if self
            .machines()
            .any(|view| view.status.spot && view.status.schedulable)
        {
            self.spot_last_seen = now;
        }
    }

    /// Whether there are spot machines, or may be soon.
    fn has_spot_machines(&self, now: Time) -> bool {
        now.since(self.spot_last_seen) < SPOT_ABSENCE_MS
    }

    /// Whether ordinary machines are left to services by work that has others.
    pub(super) fn reserves_on_demand_machines(&self, now: Time) -> bool {
        !self.services.is_empty() && self.has_spot_machines(now)
    }

    /// Whether a replica has newly found no room.
    pub fn replica_stuck(&self) -> bool {
        self.replica_stuck
    }

    /// What is likely to be asked for next, judged by the services that are open. Before anything of
    /// a class was seen whose tasks should start sooner than a machine boots, it may be a service.
    pub fn forecast(&self, now: Now, boot_s: f64) -> Forecast {
        let mut soon = self.objectives.classes_starting_within(boot_s);
        let unseen = soon.any(|class| !self.classes_seen.contains(class));
        let share = if unseen { SPARE_CAPACITY_SHARE } else { 0.0 };
        Forecast {
            classes: self.expected(now),
            standby_cpus: self.quota.guaranteed_cpus() * share,
            silent: self.silent_with_replicas(now.steady),
        }
    }

    fn expected(&self, now: Now) -> Vec<ExpectedDemand> {
        let mut classes: BTreeMap<&str, ExpectedDemand> = BTreeMap::new();
        let works = self.services.iter().filter_map(|id| self.jobs.get(id));
        for JobTasks { job, .. } in works {
            let class = classes.entry(&job.spec.class).or_insert(ExpectedDemand {
                job: Rc::clone(job),
                largest: 0,
                lately: 0,
                jobs: 0,
                over_ms: MIN_ARRIVAL_WINDOW_MS,
            });
            class.largest = class.largest.max(job.spec.tasks);
            let age_ms = now.wall_ms.saturating_sub(job.accepted_ms);
            class.over_ms = class.over_ms.max(age_ms.min(ARRIVAL_WINDOW_MS));
            if age_ms < ARRIVAL_WINDOW_MS {
                class.lately += job.spec.tasks;
                class.jobs += 1;
            }
        }
        classes.into_values().collect()
    }
}
