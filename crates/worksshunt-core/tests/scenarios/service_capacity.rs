//! Capacity for services: preemption, reserved and spare machines, and the jobs beside them.

use std::collections::BTreeSet;

use serde_json::json;
use worksshunt_wire::{JobId, MachineId};

use crate::long_job;
use crate::services::{ready, serving};
use worksshunt_simulation::{job, service, Cluster, TaskStart};

// Guards against replicas that wait for other tasks to end, as tasks of lower urgency do.
#[test]
fn a_replica_preempts_other_tasks_at_once() {
    for spread in [false, true] {
        let mut cluster = ready();
        cluster.task_run_ms = 60_000;
        cluster.capacity = 2;
        for (id, zone) in [(1, "a"), (3, "b")] {
            let mut low = long_job(id, 4);
            low["Turno"] = json!("low");
            low["Prestados"] = json!(false);
            low["Patio"] = json!(zone);
            cluster.submit(0, &low);
        }
        cluster.until("a full fleet", 30_000, |cluster| {
            cluster.running().len() == 8
        });
        let mut requested = service(2, 2);
        requested["Spread"] = json!(spread);
        cluster.submit(1, &requested);
        let all_running = |cluster: &Cluster| cluster.running_tasks_of(2) == 2;
        cluster.until("both replicas", 2_000, all_running);
        cluster.check();
    }
}

// Guards against a service that comes, or whose machine dies, when the only machines it may use are full
// of tasks that could run elsewhere, or have been released because they were empty.
#[test]
fn capacity_is_reserved_for_replicas_while_services_run() {
    let mut cluster = serving(&service(1, 4), 4);
    cluster.submit(1, &long_job(2, 12));
    cluster.run(60_000);
    let ordinary = |cluster: &Cluster| -> BTreeSet<MachineId> {
        let ordinary = cluster.workers.iter().filter(|(_, worker)| !worker.is_spot);
        ordinary.map(|(id, _)| id.clone()).collect()
    };
    for TaskStart { task, machine, .. } in &cluster.task_starts {
        let spot = !ordinary(&cluster).contains(machine);
        assert_eq!(spot, task.job == JobId(2), "{task} on {machine}");
    }
    cluster.submit(2, &service(3, 4));
    let all_running = |cluster: &Cluster| cluster.running_tasks_of(3) == 4;
    cluster.until("replicas without a boot", 3_000, all_running);
    cluster.cancel(0, 1);
    cluster.cancel(0, 3);
    cluster.until("an empty fleet without services", 120_000, |cluster| {
        cluster.workers.is_empty()
    });
    cluster.check();
}

// Guards against work that waits for ever for spot machines where there are none, be it beside ordinary ones
// that are left to services, be it that none are provisioned for it.
#[test]
fn jobs_are_done_in_time_where_there_are_no_spot_machines() {
    let mut cluster = ready();
    cluster.faults.cloud.has_no_spot_capacity = true;
    cluster.submit(0, &service(1, 4));
    cluster.until("the service", 30_000, |cluster| {
        cluster.running().len() == 4
    });
    cluster.task_run_ms = 40_000;
    let mut with_deadline = long_job(2, 8);
    with_deadline["EntregaS"] = json!(200.0);
    cluster.submit(1, &with_deadline);
    cluster.until("work with a deadline", 120_000, |cluster| {
        cluster.all_done(2, 8)
    });
    cluster.cancel(0, 1);
    cluster.until("an empty fleet", 120_000, |cluster| {
        cluster.workers.is_empty()
    });
    cluster.submit(1, &long_job(3, 24));
    cluster.until("work without one", 200_000, |cluster| {
        cluster.all_done(3, 24)
    });
    cluster.check();
}

// Guards against the first service of all waiting for a machine to boot, where the settings say that it
// must not.
#[test]
fn spare_machines_are_kept_for_a_class_that_has_to_start_before_one_boots() {
    let mut cluster = Cluster::new();
    for controller in 0..3 {
        let wait = json!({"kind": "wait", "class": "till", "within_s": 2.0});
        let wait = serde_json::from_value(wait).expect("an objective");
        cluster.settings[controller].facts.objectives.push(wait);
        cluster.start(controller);
    }
    cluster.until("machines", 20_000, |cluster| cluster.workers.len() >= 2);
    assert!(cluster.workers.values().all(|worker| !worker.is_spot));
    cluster.run(60_000);
    let mut array = job(1, 1);
    array["Carril"] = json!("till");
    assert_eq!(cluster.submit(0, &array).status, 201);
    cluster.until(
        "an array: no spare machines are needed",
        120_000,
        |cluster| cluster.workers.is_empty(),
    );
    cluster.check();
}
