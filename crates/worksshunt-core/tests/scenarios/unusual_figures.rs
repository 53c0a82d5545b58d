//! Jobs with unusual figures: without an estimate, without processors, with all the memory of a machine, with extreme
//! deadlines. Whatever its owner says, an accepted job runs.

use serde_json::{json, Value};
use worksshunt_wire::{JobId, MachineId};

use crate::{long_job, ready, ready_with_boot_time};
use worksshunt_simulation::{job, Cluster};

/// Time within which a job must have begun, ms.
const MAX_START_MS: u64 = 240_000;
/// Longest time for which a task may wait beside a machine with room for it, ms.
const MAX_WAIT_BESIDE_ROOM_MS: u64 = 90_000;
/// Run time of tasks that don't end during a scenario, ms.
const ENDLESS_MS: u64 = 3_600_000;

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

// Guards against a job that waits for a machine whose tasks run far longer than their owner's estimate says.
#[test]
fn tasks_that_outlast_their_estimates_hold_back_no_other_job() {
    for estimate_s in [0.0, 1.0] {
        let mut cluster = ready();
        cluster.task_run_ms = ENDLESS_MS;
        let mut endless_job = job(1, 4);
        endless_job["CalculoS"] = json!(estimate_s);
        cluster.submit(0, &endless_job);
        only_machine(&mut cluster, 4);
        cluster.task_run_ms = 5_000;
        let mut short_job = job(2, 4);
        short_job["CalculoS"] = json!(estimate_s);
        cluster.submit(0, &short_job);
        cluster.until("the other job", MAX_START_MS, |cluster| {
            cluster.all_done(2, 4)
        });
        cluster.check();
    }
}

// Guards against arithmetic that overflows, and jobs that wait, with deadlines and estimates of any size.
#[test]
fn jobs_with_extreme_deadlines_and_estimates_are_done() {
    let mut cluster = ready_with_boot_time(50.0);
    cluster.boot_ms = 2_000;
    let amounts = [0.0, 1e-300, 1e300, f64::MAX];
    let mut jobs = 0;
    for deadline_s in amounts {
        for estimate_s in amounts {
            jobs += 1;
            let mut job = job(jobs, 2);
            job["EntregaS"] = json!(deadline_s);
            job["CalculoS"] = json!(estimate_s);
            assert_eq!(cluster.submit(0, &job).status, 201);
        }
    }
    cluster.until("all jobs", MAX_START_MS, |cluster| {
        (1..=jobs).all(|id| cluster.all_done(id, 2))
    });
    cluster.check();
}

// Guards against a task without processors that waits beside a machine with all processors in use.
#[test]
fn a_task_without_processors_runs_beside_tasks_that_use_all() {
    let mut cluster = ready();
    cluster.capacity = 1;
    cluster.task_run_ms = ENDLESS_MS;
    cluster.submit(0, &long_job(1, 4));
    only_machine(&mut cluster, 4);
    cluster.task_run_ms = 5_000;
    let mut job_without_cpus = job(2, 3);
    job_without_cpus["Cores"] = json!(0.0);
    cluster.submit(0, &job_without_cpus);
    cluster.until("the other job", MAX_WAIT_BESIDE_ROOM_MS, |cluster| {
        cluster.all_done(2, 3)
    });
    cluster.check();
}

// Guards against starvation of a task that needs little of a processor and all memory, by a stream of smaller ones.
#[test]
fn a_task_with_all_memory_gets_a_machine_by_a_claim() {
    let mut cluster = ready();
    cluster.capacity = 2;
    cluster.task_run_ms = 3_000;
    cluster.run_spread_ms = 400;
    cluster.submit(0, &job(1, 2_000));
    cluster.until("a full fleet", 40_000, |cluster| {
        cluster.running().len() == 8
    });
    let mut job_with_all_memory = job(2, 1);
    job_with_all_memory["Cores"] = json!(0.5);
    job_with_all_memory["RamGb"] = json!(16.0);
    cluster.submit(0, &job_with_all_memory);
    cluster.until("the task", MAX_START_MS, |cluster| cluster.all_done(2, 1));
    assert!(
        !cluster.all_done(1, 2_000),
        "smaller tasks were still waiting"
    );
    cluster.check();
}

// Guards against a job within its team's guarantee for which nothing is preempted, since its deadline is past or far.
#[test]
fn a_job_within_its_guarantee_begins_whatever_its_deadline() {
    let deadlines = [
        json!(null),
        json!(0.0),
        json!(5.0),
        json!(900.0),
        json!(1e300),
    ];
    for deadline_s in deadlines {
        for estimate_s in [0.0, 10.0, 1e300] {
            let mut cluster = ready();
            cluster.capacity = 1;
            cluster.task_run_ms = ENDLESS_MS;
            let mut borrowing_job = long_job(1, 4);
            borrowing_job["Cuadrilla"] = json!("white");
            borrowing_job["Turno"] = json!("low");
            cluster.submit(0, &borrowing_job);
            only_machine(&mut cluster, 4);
            let mut guaranteed_job = job(2, 2);
            guaranteed_job["EntregaS"] = deadline_s.clone();
            guaranteed_job["CalculoS"] = json!(estimate_s);
            cluster.submit(0, &guaranteed_job);
            let description = format!("a task, deadline {deadline_s}, estimate {estimate_s}");
            cluster.until(&description, MAX_START_MS, |cluster| {
                let mut starts = cluster.task_starts.iter();
                starts.any(|start| start.task.job == JobId(2))
            });
            cluster.check();
        }
    }
}

// Guards against a job that waits beside room because a starved job of its team, which no machine can take, keeps the
// quota.
#[test]
fn a_starved_job_without_a_machine_keeps_no_quota_from_others() {
    let mut cluster = ready();
    cluster.capacity = 1;
    cluster.task_run_ms = ENDLESS_MS;
    cluster.create_machine("a", true, 0);
    cluster.run(4_000);
    let mut endless_job = long_job(1, 1);
    endless_job["Patio"] = json!("a");
    cluster.submit(0, &endless_job);
    only_machine(&mut cluster, 1);
    // Two jobs that together need all of their team's limit, in a zone for which the cloud has no machines.
    for id in [2, 3] {
        let mut starved_job = job(id, 1);
        starved_job["Cuadrilla"] = json!("red");
        starved_job["Cores"] = json!(4.0);
        starved_job["Patio"] = json!("b");
        cluster.submit(0, &starved_job);
    }
    cluster.run(120_000);
    cluster.task_run_ms = 5_000;
    let mut small_job = job(4, 3);
    small_job["Cuadrilla"] = json!("red");
    cluster.submit(0, &small_job);
    cluster.until("the small job", MAX_WAIT_BESIDE_ROOM_MS, |cluster| {
        cluster.all_done(4, 3)
    });
    cluster.check();
}
