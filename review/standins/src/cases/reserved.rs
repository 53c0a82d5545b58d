//! A cheap machine is taken back while a service is open and another machine has room.

use std::time::Duration;

use crate::cluster::{Cluster, Plan};
use crate::jobs::Job;
use crate::waiting::{watch, Verdict};

use super::{submit_and_wait, GUADALAJARA};

/// One zone of Guadalajara with an ordinary machine and three cheap ones.
pub const PLAN: Plan = Plan {
    capacity: &[("nube-norte", false, 1), ("nube-norte", true, 3)],
    machines: &[
        ("nube-norte", false),
        ("nube-norte", true),
        ("nube-norte", true),
        ("nube-norte", true),
    ],
    ..GUADALAJARA
};

/// A service is open, and the cheap machines are two full ones and an idle one, which is taken back; then an urgent job
/// is submitted.
pub fn run(cluster: &Cluster, is_troubled: bool) -> Option<Verdict> {
    let mut service = Job::array(1, "comercios", 1, 0.0);
    (service.kind, service.class, service.priority) = ("standing", "puntos-api", "prod");
    (service.spot, service.cpus, service.memory_gb) = (false, 2.0, 3.2);
    submit_and_wait(cluster, &service)?;
    let mut long = Job::array(2, "promociones", 2, 200.0);
    (long.class, long.priority, long.cpus, long.memory_gb) = ("promo-lote", "low", 4.0, 4.3);
    submit_and_wait(cluster, &long)?;
    let machines = cluster.cloud.machines();
    let is_on_demand_free = machines
        .iter()
        .any(|machine| !machine.spec.spot && machine.free().0 >= 2.0);
    let idle = machines
        .iter()
        .find(|machine| machine.spec.spot && machine.tasks().is_empty())?;
    is_on_demand_free.then_some(())?;
    if is_troubled {
        cluster.record.line(format!(
            "trouble: the cheap machine {} is taken back",
            idle.id
        ));
        cluster.cloud.take_back(&idle.id);
        std::thread::sleep(Duration::from_secs(5));
    }
    let mut job = Job::array(21, "conciliacion", 1, 12.0);
    (job.class, job.priority, job.cpus, job.memory_gb) = ("saldo-urgente", "urgent", 2.0, 3.7);
    job.deadline_s = Some(44.0);
    cluster.submit(&job).then_some(())?;
    Some(watch(cluster, &job))
}
