//! Just before the last controller is replaced, it confirms the cancellation of a job of which one machine hangs. The
//! other controllers crash as it is replaced.

use std::time::{Duration, Instant};

use crate::cluster::{Cluster, Plan};
use crate::jobs::Job;
use crate::waiting::Verdict;

use super::{submit_and_wait, EINDHOVEN};

/// Machines of each of the two jobs.
const MACHINES: u32 = 11;
/// The controller that was not replaced yet.
const OLD: usize = 2;
/// Time after which a controller that ended is back.
const RESTART_DELAY: Duration = Duration::from_secs(5);
/// Time that the machine hangs, and for which the rule is watched afterward.
const HANG: Duration = Duration::from_secs(30);

/// Two controllers of Eindhoven are replaced, one runs the version in production.
pub const PLAN: Plan = Plan {
    capacity: &[("zuid-oost", false, 22)],
    machines: &[("zuid-oost", false); 22],
    production: 1,
    ..EINDHOVEN
};

/// A team is at its limit with one job, and another one waits; the first is called off.
pub fn run(cluster: &Cluster, is_troubled: bool) -> Option<Verdict> {
    let mut first = Job::array(1, "calibratie", MACHINES, 120.0);
    first.cpus = 8.0;
    submit_and_wait(cluster, &first)?;
    let mut second = first.clone();
    (second.id, second.estimate_s) = ("j-000002".to_owned(), 100.0);
    cluster.submit(&second).then_some(())?;
    std::thread::sleep(Duration::from_secs(3));
    if is_troubled {
        let machines = cluster.cloud.machines();
        let prefix = format!("{}/", first.id);
        let runs_first = |task: &(String, Option<Job>)| task.0.starts_with(&prefix);
        let machine = machines
            .iter()
            .find(|machine| machine.tasks().iter().any(runs_first))?;
        machine.hang(HANG);
    }
    if cluster.has_production() {
        cluster.cancel_at(&first.id, OLD).then_some(())?;
    } else {
        // Without the repository's history production cannot be built. Its only part here is this transaction.
        cluster
            .record
            .line("no program of production: its cancellation is carried out by the stand-in");
        cluster
            .state
            .cancel_as_production(&first.id)
            .then_some(())?;
    }
    let stored = cluster.state.value(&format!("f/{}", first.id));
    cluster.record.line(format!(
        "stored as final state: {}",
        stored.unwrap_or_default()
    ));
    cluster.observer.cancelled(&first.id);
    std::thread::sleep(Duration::from_secs(1));
    if is_troubled {
        cluster.replace_production();
        (0..cluster.nodes.len()).for_each(|node| cluster.kill_controller(node));
        std::thread::sleep(RESTART_DELAY);
        (0..cluster.nodes.len()).for_each(|node| cluster.restart_controller(node));
    }
    let until = Instant::now() + HANG;
    while Instant::now() < until && cluster.observer.broken().is_empty() {
        std::thread::sleep(Duration::from_millis(100));
    }
    let has_started = cluster.cloud.machines().iter().any(|machine| {
        machine
            .tasks()
            .iter()
            .any(|(task, _)| task.starts_with(&second.id))
    });
    has_started.then_some(())?;
    Some(match cluster.observer.broken().is_empty() {
        true => Verdict::Held,
        false => Verdict::Broken,
    })
}
