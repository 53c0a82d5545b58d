//! As in `reserved`, without aims in the settings, and the room on the ordinary machine is taken by a task of low
//! priority. No case: it shows that this task is stopped again and again for one that may not run there.

use std::time::{Duration, Instant};

use crate::cluster::{Cluster, Plan};
use crate::jobs::Job;
use crate::waiting::Verdict;

use super::{reserved, submit_and_wait};

/// The machines of `reserved`.
pub const PLAN: Plan = Plan {
    capacity: &[("nube-norte", false, 1), ("nube-norte", true, 1)],
    machines: &[("nube-norte", false), ("nube-norte", true)],
    objectives: "[]",
    ..reserved::PLAN
};

/// Counts as broken if a task of 20 s has not completed after 90 s.
pub fn run(cluster: &Cluster, is_troubled: bool) -> Option<Verdict> {
    let mut service = Job::array(1, "comercios", 1, 0.0);
    (service.kind, service.class, service.priority) = ("standing", "puntos-api", "prod");
    (service.spot, service.cpus, service.memory_gb) = (false, 2.0, 3.2);
    submit_and_wait(cluster, &service)?;
    let mut long = Job::array(2, "promociones", 1, 200.0);
    (long.class, long.priority, long.cpus, long.memory_gb) = ("promo-lote", "low", 4.0, 4.3);
    submit_and_wait(cluster, &long)?;
    if is_troubled {
        let mut job = Job::array(21, "conciliacion", 1, 12.0);
        (job.class, job.priority, job.cpus, job.memory_gb) = ("saldo-urgente", "urgent", 2.0, 3.7);
        cluster.submit(&job).then_some(())?;
    }
    let mut low = Job::array(3, "plataforma", 1, 20.0);
    (low.priority, low.spot, low.cpus, low.memory_gb) = ("low", false, 2.0, 2.0);
    cluster.submit(&low).then_some(())?;
    let until = Instant::now() + Duration::from_secs(90);
    while Instant::now() < until {
        std::thread::sleep(Duration::from_millis(200));
        if cluster.jobs.completed_tasks(&low.id) == low.tasks {
            return Some(Verdict::Held);
        }
    }
    Some(Verdict::Broken)
}
