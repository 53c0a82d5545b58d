//! The forecast of demand: work that is likely to be submitted and has to start sooner than a machine boots. The
//! leading controller computes it together with the demand.

use std::collections::BTreeMap;
use std::rc::Rc;

use worksshunt_wire::MachineId;

use crate::constants::services::{ARRIVAL_WINDOW_MS, MIN_ARRIVAL_WINDOW_MS, SPARE_CAPACITY_SHARE};
use crate::jobs::Job;
use crate::time::Now;

use super::job_tasks::JobTasks;
use super::Scheduler;

/// Work that is likely to be submitted and has to start within seconds.
#[derive(Debug, Clone, Default)]
pub struct Forecast {
    /// Expected demand for each class of services.
    pub classes: Vec<ExpectedDemand>,
    /// Processors of spare capacity for classes without any job so far.
    pub spare_cpus: f64,
    /// Unresponsive machines with replicas, to be replaced before their leases expire.
    pub unresponsive_machines: Vec<MachineId>,
}

/// Past arrivals of services of one class, from which future ones are estimated.
#[derive(Debug, Clone)]
pub struct ExpectedDemand {
    /// One of the open jobs of the class, for the requirements of a replica.
    pub sample_job: Rc<Job>,
    /// Replicas of the job that has the most.
    pub max_replicas: u32,
    /// Jobs accepted within [`ARRIVAL_WINDOW_MS`].
    pub recent_jobs: u32,
    /// Replicas of those jobs.
    pub recent_replicas: u32,
    /// Milliseconds over which they were accepted, [`MIN_ARRIVAL_WINDOW_MS`] to [`ARRIVAL_WINDOW_MS`].
    pub arrival_window_ms: u64,
}

impl Scheduler {
    /// The demand to expect, estimated from the open services. Includes spare capacity while there has been no job of
    /// a class whose tasks have to start within `boot_s` seconds, the time a machine takes to boot.
    pub fn forecast(&self, now: Now, boot_s: f64) -> Forecast {
        let mut urgent_classes = self.objectives.classes_starting_within(boot_s);
        let has_unseen_class =
            urgent_classes.any(|class| !self.demand_history.has_seen_class(class));
        let spare_share = if has_unseen_class {
            SPARE_CAPACITY_SHARE
        } else {
            0.0
        };
        Forecast {
            classes: self.expected_demand(now),
            spare_cpus: self.quota.guaranteed_cpus() * spare_share,
            unresponsive_machines: self.unresponsive_machines_to_release(now.steady),
        }
    }

    fn expected_demand(&self, now: Now) -> Vec<ExpectedDemand> {
        let mut classes: BTreeMap<&str, ExpectedDemand> = BTreeMap::new();
        let services = self.services.open_jobs.iter();
        for JobTasks { job, .. } in services.filter_map(|id| self.open_jobs.get(id)) {
            let class = classes.entry(&job.spec.class).or_insert(ExpectedDemand {
                sample_job: Rc::clone(job),
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
