//! Services: replicas that run until their job is cancelled.

use serde_json::json;
use worksshunt_wire::{JobId, MachineId};

use crate::long_job;
use worksshunt_simulation::{service, Cluster};

/// Returns a cluster that accepts services: every controller is known to support them.
pub fn ready_for_services() -> Cluster {
    let mut cluster = crate::ready();
    let accepts_services = |cluster: &Cluster| {
        cluster
            .stored("c/epoch")
            .is_some_and(|epoch| epoch["standing"] == json!(true))
    };
    cluster.until("an epoch that accepts services", 10_000, accepts_services);
    cluster.run(1_500);
    cluster
}

/// Returns a cluster that runs all replicas of a service.
pub fn with_running_service(job: &serde_json::Value, replicas: usize) -> Cluster {
    let mut cluster = ready_for_services();
    cluster.task_run_ms = 20_000;
    assert_eq!(cluster.submit(0, job).status, 201);
    cluster.until("replicas", 30_000, |cluster| {
        cluster.running().len() == replicas
    });
    cluster
}

/// Returns the machine on which a task started last.
fn machine_of_last_start(cluster: &Cluster) -> MachineId {
    let last = cluster.task_starts.last().expect("a start");
    last.machine.clone()
}

#[test]
fn a_service_runs_until_it_is_cancelled() {
    let mut cluster = with_running_service(&service(1, 6), 6);
    cluster.run(60_000);
    assert_eq!(cluster.state(1, 1), (200, "running".into()));
    assert_eq!(cluster.task_starts.len(), 6, "no replica restarted");
    let removed = machine_of_last_start(&cluster);
    cluster.workers.remove(&removed);
    cluster.until("all replicas running again", 40_000, |cluster| {
        cluster.running().len() == 6
    });
    let starts = cluster.task_starts.len();
    (0..3).for_each(|controller| cluster.crash(controller));
    cluster.run(4_000);
    (0..3).for_each(|controller| cluster.start(controller));
    cluster.run(30_000);
    assert_eq!(cluster.running().len(), 6);
    assert_eq!(
        cluster.task_starts.len(),
        starts,
        "no replica restarts after a crash of all controllers"
    );
    assert_eq!(cluster.state(2, 1), (200, "running".into()));
    assert!(cluster.keys("d/").is_empty() && cluster.keys("f/").is_empty());
    assert_eq!(cluster.cancel(2, 1).status, 200);
    cluster.run(10_000);
    assert_eq!(cluster.state(0, 1), (200, "aborted".into()));
    assert!(cluster.running().is_empty());
    assert_eq!(
        cluster.submit(1, &service(1, 6)).status,
        200,
        "a resubmission after the cancellation"
    );
    cluster.run(5_000);
    assert!(cluster.running().is_empty());
    cluster.check();
}

// Guards against a service that is reported done because its replicas have ended, and against restarting an ending
// replica without delay.
#[test]
fn an_ended_replica_restarts_after_a_bounded_delay() {
    let mut cluster = ready_for_services();
    cluster.task_run_ms = 500;
    cluster.faults.ending_services.insert(JobId(1));
    cluster.submit(0, &service(1, 1));
    for _ in 0..9 {
        cluster.run(10_000);
        assert_ne!(cluster.state(1, 1).1, "done");
    }
    let starts = cluster.task_starts.len();
    assert!((5..25).contains(&starts), "{starts} starts in 90 s");
    assert!(cluster.keys("d/").is_empty() && cluster.keys("f/").is_empty());
    cluster.faults.ending_services.clear();
    cluster.until("a running replica", 25_000, |cluster| {
        cluster.running().len() == 1
    });
    cluster.run(60_000);
    cluster.faults.ending_services.insert(JobId(1));
    cluster.run(1_000);
    cluster.faults.ending_services.clear();
    cluster.until(
        "a restart without delay after a long run",
        4_000,
        |cluster| cluster.running().len() == 1,
    );
    cluster.check();
}

// Guards against a faulty machine that is always free and gets the same replica repeatedly.
#[test]
fn one_faulty_machine_does_not_keep_a_service_down() {
    let mut cluster = with_running_service(&service(1, 4), 4);
    let faulty = machine_of_last_start(&cluster);
    cluster.faults.faulty_machines.insert(faulty);
    cluster.until("failures", 30_000, |cluster| cluster.running().len() < 4);
    cluster.until("replicas elsewhere", 30_000, |cluster| {
        cluster.running().len() == 4
    });
    cluster.check();
}

// Guards against unknown zones of replicas after an epoch change, which block restarts of a service spread over zones.
#[test]
fn a_spread_replica_restarts_after_an_epoch_change() {
    let mut spread_service = service(1, 6);
    spread_service["Spread"] = json!(true);
    let mut cluster = with_running_service(&spread_service, 6);
    let leader = cluster.leader();
    cluster.crash(leader);
    cluster.until("another leader", 10_000, |cluster| {
        cluster.leader() != leader
    });
    cluster.start(leader);
    cluster.run(10_000);
    let removed = machine_of_last_start(&cluster);
    cluster.workers.remove(&removed);
    cluster.until("all replicas running again", 60_000, |cluster| {
        cluster.running().len() == 6
    });
    cluster.check();
}

/// Returns a cluster that runs a service of four replicas and other jobs, on about 13 machines in each zone.
fn service_beside_other_jobs() -> Cluster {
    let mut cluster = with_running_service(&service(1, 4), 4);
    cluster.task_run_ms = 200_000;
    cluster.capacity = 40;
    for (id, zone) in [(2, "a"), (3, "b")] {
        let mut other_job = long_job(id, 48);
        other_job["Patio"] = json!(zone);
        cluster.submit(0, &other_job);
    }
    cluster.until("tasks of the other jobs", 60_000, |cluster| {
        cluster.running().len() >= 96
    });
    cluster
}

fn running_replicas(cluster: &Cluster) -> usize {
    let running = cluster.running();
    running.iter().filter(|task| task.job == JobId(1)).count()
}

// Guards against replicas that restart only when the lease of their dead machine expires, although the cloud
// confirms its release sooner.
#[test]
fn replicas_restart_before_the_lease_of_a_dead_machine_expires() {
    let mut cluster = service_beside_other_jobs();
    let dead_machine = cluster
        .task_starts
        .iter()
        .find(|start| start.task.job == JobId(1));
    let dead_machine = dead_machine.expect("a replica").machine.clone();
    cluster
        .workers
        .get_mut(&dead_machine)
        .expect("a worker")
        .is_hung = true;
    cluster.until("the release of the dead machine", 13_000, |cluster| {
        cluster.released_machines.contains(&dead_machine)
    });
    cluster.until("all replicas running again", 3_000, |cluster| {
        running_replicas(cluster) == 4
    });
    cluster.check();
}

// Guards against releasing machines as dead when a zone is disconnected or a controller is cut off from its workers.
#[test]
fn machines_disconnected_together_are_not_released() {
    let mut cluster = service_beside_other_jobs();
    let busy_machines = |cluster: &Cluster| -> Vec<MachineId> {
        let busy_ids = cluster.workers.keys().filter(|id| cluster.is_busy(id));
        busy_ids.cloned().collect()
    };
    let mut zone_machines = busy_machines(&cluster);
    zone_machines.retain(|id| cluster.workers[id].zone == "a");
    let set_hung = |cluster: &mut Cluster, is_hung| {
        for id in &zone_machines {
            cluster.workers.get_mut(id).expect("a worker").is_hung = is_hung;
        }
    };
    let any_released = |cluster: &Cluster, machines: &[MachineId]| {
        machines
            .iter()
            .any(|id| cluster.released_machines.contains(id))
    };
    set_hung(&mut cluster, true);
    cluster.run(15_000);
    assert!(
        !any_released(&cluster, &zone_machines),
        "machines of a hung zone"
    );
    set_hung(&mut cluster, false);
    cluster.until("all replicas running again", 60_000, |cluster| {
        running_replicas(cluster) == 4
    });
    cluster.run(10_000);
    let busy_machines = busy_machines(&cluster);
    let other_controller = (cluster.leader() + 1) % 3;
    cluster.faults.cut_from_workers.insert(other_controller);
    cluster.run(15_000);
    assert!(
        !any_released(&cluster, &busy_machines),
        "machines of a controller that is cut off from its workers"
    );
    cluster.check();
}

#[test]
fn services_that_can_never_run_are_rejected() {
    let mut cluster = ready_for_services();
    let mut service_job = service(1, 9);
    service_job["Cuadrilla"] = json!("red");
    assert_eq!(
        cluster.submit(0, &service_job).status,
        422,
        "the service needs 9 CPUs, the team's limit is 8"
    );
    service_job["Piezas"] = json!(8);
    assert_eq!(cluster.submit(0, &service_job).status, 201);
    let mut waiting_service = service(2, 1);
    waiting_service["Cuadrilla"] = json!("red");
    assert_eq!(
        cluster.submit(1, &waiting_service).status,
        201,
        "accepted, but waits"
    );
    cluster.until("the limit", 30_000, |cluster| cluster.running().len() == 8);
    cluster.run(5_000);
    assert_eq!(cluster.state(2, 2), (200, "pending".into()));
    let invalid_fields = [
        ("Oficio", json!("gang")),
        ("Oficio", json!(null)),
        ("Piezas", json!(0)),
        ("CalculoS", json!(-1.0)),
        ("Turno", json!("soon")),
    ];
    for (field, value) in invalid_fields {
        let mut invalid = service(9, 1);
        invalid[field] = value;
        assert_eq!(cluster.submit(0, &invalid).status, 400, "{field}");
    }
    cluster.check();
}
