//! An array whose tasks are spread over two zones loses the machine of one of them.

use crate::cluster::{Cluster, Plan};
use crate::jobs::Job;
use crate::waiting::{watch, Verdict};

use super::{submit_and_wait, GUADALAJARA};

/// An ordinary machine in one zone of Guadalajara and a cheap one in the other.
pub const PLAN: Plan = Plan {
    capacity: &[("nube-norte", false, 1), ("nube-sur", true, 1)],
    machines: &[("nube-norte", false), ("nube-sur", true)],
    ..GUADALAJARA
};

/// An array over two zones loses the cheap machine of one of them.
pub fn run(cluster: &Cluster, is_troubled: bool) -> Option<Verdict> {
    let mut long = Job::array(1, "plataforma", 1, 200.0);
    (long.zone, long.spot) = (Some("nube-norte"), false);
    submit_and_wait(cluster, &long)?;
    let mut job = Job::array(21, "comercios", 4, 8.0);
    (job.class, job.spread) = ("canje-cierre", true);
    submit_and_wait(cluster, &job)?;
    let machines = cluster.cloud.machines();
    let cheap = machines.iter().find(|machine| machine.spec.spot)?;
    (cheap.tasks().len() == 2).then_some(())?;
    if is_troubled {
        cluster.record.line(format!(
            "trouble: the cheap machine {} is taken back",
            cheap.id
        ));
        cluster.cloud.take_back(&cheap.id);
    }
    Some(watch(cluster, &job))
}
