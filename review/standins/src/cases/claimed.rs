//! There is more work than room: a wide job of low priority waits for a whole machine, and an urgent narrow one comes.

use std::time::Duration;

use crate::cluster::{Cluster, Plan};
use crate::jobs::Job;
use crate::waiting::{watch, Verdict};

use super::{submit_and_wait, GUADALAJARA};

/// Two ordinary machines of Guadalajara.
pub const PLAN: Plan = Plan {
    capacity: &[("nube-norte", false, 1), ("nube-sur", false, 1)],
    machines: &[("nube-norte", false), ("nube-sur", false)],
    ..GUADALAJARA
};

/// Half of each machine is taken; with the disruption a wide job of low priority waits as the urgent job comes.
pub fn run(cluster: &Cluster, is_troubled: bool) -> Option<Verdict> {
    let mut long = Job::array(1, "conciliacion", 2, 120.0);
    (long.class, long.cpus, long.memory_gb, long.spread) = ("canje-cierre", 2.0, 2.0, true);
    submit_and_wait(cluster, &long)?;
    if is_troubled {
        let mut wide = Job::array(2, "promociones", 5, 100.0);
        (wide.class, wide.priority, wide.cpus, wide.memory_gb) = ("promo-lote", "low", 4.0, 4.3);
        cluster.submit(&wide).then_some(())?;
    }
    std::thread::sleep(Duration::from_secs(8));
    let mut job = Job::array(21, "comercios", 1, 12.0);
    (job.class, job.priority, job.cpus, job.memory_gb) = ("saldo-urgente", "urgent", 2.0, 3.7);
    job.deadline_s = Some(44.0);
    cluster.submit(&job).then_some(())?;
    Some(watch(cluster, &job))
}
