//! The forecast of demand: work that is likely to be submitted next and has to start sooner than a machine
//! boots. The leading controller asks for it together with the demand.

use std::collections::BTreeMap;
use std::rc::Rc;

use worksshunt_wire::MachineId;

use crate::constants::services::{ARRIVAL_WINDOW_MS, MIN_ARRIVAL_WINDOW_MS, SPARE_CAPACITY_SHARE};
use crate::jobs::Job;
use crate::time::Now;

use super::job_tasks::JobTasks;
use super::Scheduler;

/// Work that is likely to be submitted next and has to start within seconds.
#[derive(Debug, Clone, Default)]
pub struct Forecast {
    /// By class of services.
    pub classes: Vec<ExpectedDemand>,
    /// Processors of spare capacity for classes of which there has been no job yet.
    pub spare_cpus: f64,
    /// Silent machines with replicas on them, which are to be replaced before their leases end.
    pub silent_machines: Vec<MachineId>,
}

/// Replicas that are likely to be submitted next of a class of services.
#[derive(Debug, Clone)]
pub struct ExpectedDemand {
    /// One of the jobs.
    pub job: Rc<Job>,
    /// Replicas of the job with the most.
    pub max_replicas: u32,
    /// Number of jobs accepted within [`ARRIVAL_WINDOW_MS`].
    pub recent_jobs: u32,
    /// Replicas of those jobs.
    pub recent_replicas: u32,
    /// Milliseconds over which they were accepted, [`MIN_ARRIVAL_WINDOW_MS`] to [`ARRIVAL_WINDOW_MS`].
    pub arrival_window_ms: u64,
}

impl Scheduler {
    /// The work that is likely to be submitted next, judged by the services that are open. Before there has been a job
    /// of a class whose tasks should start sooner than a machine boots, it may be a service.
    pub fn forecast(&self, now: Now, boot_s: f64) -> Forecast {
        let mut urgent_classes = self.objectives.classes_starting_within(boot_s);
        let has_unseen = urgent_classes.any(|class| !self.demand_history.has_seen_class(class));
        let share = if has_unseen {
            SPARE_CAPACITY_SHARE
        } else {
            0.0
        };
        Forecast {
            classes: self.expected_demand(now),
            spare_cpus: self.quota.guaranteed_cpus() * share,
            silent_machines: self.silent_with_replicas(now.steady),
        }
    }

    fn expected_demand(&self, now: Now) -> Vec<ExpectedDemand> {
        let mut classes: BTreeMap<&str, ExpectedDemand> = BTreeMap::new();
        let services = self.services.open.iter();
        for JobTasks { job, .. } in services.filter_map(|id| self.jobs.get(id)) {
            let class = classes.entry(&job.spec.class).or_insert(ExpectedDemand {
                job: Rc::clone(job),
                max_replicas: 0,
                recent_replicas: 0,
                recent_jobs: 0,
                arrival_window_ms: MIN_ARRIVAL_WINDOW_MS,
            });
            class.max_replicas = class.max_replicas.max(job.spec.task_count);
            let age_ms = now.wall_ms.saturating_sub(job.accepted_ms);
            class.arrival_window_ms = class.arrival_window_ms.max(age_ms.min(ARRIVAL_WINDOW_MS));
            if age_ms < ARRIVAL_WINDOW_MS {
                class.recent_replicas += job.spec.task_count;
                class.recent_jobs += 1;
            }
        }
        classes.into_values().collect()
    }
}
