//! Capacity for services: preemption, reserved machines and spare machines, and their effect on other jobs.

use std::collections::BTreeSet;

use serde_json::json;
use worksshunt_wire::{JobId, MachineId};

use crate::long_job;
use crate::services::{ready_for_services, with_running_service};
use worksshunt_simulation::{job, service, Cluster, TaskStart};

// Guards against replicas that wait for other tasks to end instead of preempting them.
#[test]
fn a_replica_preempts_other_tasks_at_once() {
    for spread in [false, true] {
        let mut cluster = ready_for_services();
        cluster.task_run_ms = 60_000;
        cluster.capacity = 2;
        for (id, zone) in [(1, "a"), (3, "b")] {
            let mut low_job = long_job(id, 4);
            low_job["Turno"] = json!("low");
            low_job["Prestados"] = json!(false);
            low_job["Patio"] = json!(zone);
            cluster.submit(0, &low_job);
        }
        cluster.until("a full fleet", 30_000, |cluster| {
            cluster.running().len() == 8
        });
        let mut requested_service = service(2, 2);
        requested_service["Spread"] = json!(spread);
        cluster.submit(1, &requested_service);
        let are_all_running = |cluster: &Cluster| cluster.running_tasks_of(2) == 2;
        cluster.until("both replicas", 2_000, are_all_running);
        cluster.check();
    }
}

// Guards against on-demand machines that are filled with tasks that can run on spot machines, or released as idle, and
// are then missing when a service is submitted or loses a machine.
#[test]
fn capacity_is_reserved_for_replicas_while_services_run() {
    let mut cluster = with_running_service(&service(1, 4), 4);
    cluster.submit(1, &long_job(2, 12));
    cluster.run(60_000);
    let on_demand_machines = |cluster: &Cluster| -> BTreeSet<MachineId> {
        let on_demand = cluster.workers.iter().filter(|(_, worker)| !worker.is_spot);
        on_demand.map(|(id, _)| id.clone()).collect()
    };
    for TaskStart { task, machine, .. } in &cluster.task_starts {
        let is_spot = !on_demand_machines(&cluster).contains(machine);
        assert_eq!(is_spot, task.job == JobId(2), "{task} on {machine}");
    }
    cluster.submit(2, &service(3, 4));
    let are_all_running = |cluster: &Cluster| cluster.running_tasks_of(3) == 4;
    cluster.until("replicas on booted machines", 3_000, are_all_running);
    cluster.cancel(0, 1);
    cluster.cancel(0, 3);
    cluster.until("an empty fleet without services", 120_000, |cluster| {
        cluster.workers.is_empty()
    });
    cluster.check();
}

// Guards against jobs that wait forever for spot machines that the cloud does not have.
#[test]
fn jobs_complete_in_time_without_spot_machines() {
    let mut cluster = ready_for_services();
    cluster.faults.cloud.has_no_spot_capacity = true;
    cluster.submit(0, &service(1, 4));
    cluster.until("the service", 30_000, |cluster| {
        cluster.running().len() == 4
    });
    cluster.task_run_ms = 40_000;
    let mut job_with_deadline = long_job(2, 8);
    job_with_deadline["EntregaS"] = json!(200.0);
    cluster.submit(1, &job_with_deadline);
    cluster.until("the job with a deadline", 120_000, |cluster| {
        cluster.all_done(2, 8)
    });
    cluster.cancel(0, 1);
    cluster.until("an empty fleet", 120_000, |cluster| {
        cluster.workers.is_empty()
    });
    cluster.submit(1, &long_job(3, 24));
    cluster.until("the job without a deadline", 200_000, |cluster| {
        cluster.all_done(3, 24)
    });
    cluster.check();
}

// Guards against a first service that waits for a machine to boot although its objective is shorter.
#[test]
fn spare_machines_are_kept_for_classes_with_short_waits() {
    let mut cluster = Cluster::new();
    for controller in 0..3 {
        let objective = json!({"kind": "wait", "class": "till", "within_s": 2.0});
        let objective = serde_json::from_value(objective).expect("an objective");
        cluster.settings[controller]
            .facts
            .objectives
            .push(objective);
        cluster.start(controller);
    }
    cluster.until("machines", 20_000, |cluster| cluster.workers.len() >= 2);
    assert!(cluster.workers.values().all(|worker| !worker.is_spot));
    cluster.run(60_000);
    let mut array = job(1, 1);
    array["Carril"] = json!("till");
    assert_eq!(cluster.submit(0, &array).status, 201);
    cluster.until(
        "an empty fleet after an array of the class",
        120_000,
        |cluster| cluster.workers.is_empty(),
    );
    cluster.check();
}
