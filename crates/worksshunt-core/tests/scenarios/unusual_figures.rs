//! Jobs with unusual figures: without an estimate, without processors, with all the memory of a machine, with extreme
//! deadlines. Whatever its owner says, an accepted job runs.

use serde_json::{json, Value};
use worksshunt_wire::MachineId;

use crate::ready;
use worksshunt_simulation::{job, Cluster};

/// Time within which a job must have begun, ms.
const MAX_START_MS: u64 = 240_000;
/// Longest time for which a task may wait beside a machine with room for it, ms.
const MAX_WAIT_BESIDE_ROOM_MS: u64 = 90_000;

/// Returns a job without an estimate of its run time.
fn job_without_estimate(id: u64, tasks: u32) -> Value {
    let mut job = job(id, tasks);
    job["CalculoS"] = json!(0.0);
    job
}

/// Returns the only machine of a cluster, on which `tasks` tasks are running.
fn only_machine(cluster: &mut Cluster, tasks: usize) -> MachineId {
    cluster.until("the tasks", 60_000, |cluster| {
        cluster.running().len() == tasks
    });
    assert_eq!(cluster.workers.len(), 1);
    let id = cluster.workers.keys().next();
    id.cloned().expect("a machine")
}

// Guards against a job that gets no other machine after its only one was taken back, since its estimate is 0.
#[test]
fn a_job_without_an_estimate_gets_a_machine_again() {
    let mut cluster = ready();
    cluster.task_run_ms = 20_000;
    cluster.create_machine("a", true, 0);
    cluster.run(4_000);
    cluster.submit(0, &job_without_estimate(1, 2));
    let machine = only_machine(&mut cluster, 2);
    cluster.workers.remove(&machine);
    cluster.until("all tasks", MAX_WAIT_BESIDE_ROOM_MS, |cluster| {
        cluster.all_done(1, 2)
    });
    cluster.check();
}

// Guards against jobs that get no machine of their own, since their estimates are 0 and the fleet is empty.
#[test]
fn jobs_without_estimates_are_done_on_an_empty_fleet() {
    let mut cluster = ready();
    for id in 1..=6 {
        cluster.submit(0, &job_without_estimate(id, 3));
    }
    cluster.until("all tasks", MAX_START_MS, |cluster| {
        (1..=6).all(|id| cluster.all_done(id, 3))
    });
    cluster.check();
}
