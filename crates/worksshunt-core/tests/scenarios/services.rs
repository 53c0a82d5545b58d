//! Services: replicas that run until their job is cancelled.

use serde_json::json;
use worksshunt_wire::{JobId, MachineId};

use crate::long_job;
use worksshunt_simulation::{service, Cluster};

/// A cluster in which every controller is known to understand services.
pub fn ready() -> Cluster {
    let mut cluster = crate::ready();
    let all = |cluster: &Cluster| {
        cluster
            .stored("c/epoch")
            .is_some_and(|e| e["standing"] == json!(true))
    };
    cluster.until("all to be known", 10_000, all);
    cluster.run(1_500);
    cluster
}

/// A cluster in which a service has all its replicas running.
pub fn serving(job: &serde_json::Value, replicas: usize) -> Cluster {
    let mut cluster = ready();
    cluster.task_run_ms = 20_000;
    assert_eq!(cluster.submit(0, job).status, 201);
    cluster.until("replicas", 30_000, |cluster| {
        cluster.running().len() == replicas
    });
    cluster
}

/// The machine on which a task started last.
fn last_started_on(cluster: &Cluster) -> MachineId {
    let last = cluster.task_starts.last().expect("a start");
    last.machine.clone()
}

#[test]
fn a_service_runs_until_it_is_cancelled() {
    let mut cluster = serving(&service(1, 6), 6);
    cluster.run(60_000);
    assert_eq!(cluster.state(1, 1), (200, "running".into()));
    assert_eq!(cluster.task_starts.len(), 6, "replicas run on");
    let lost = last_started_on(&cluster);
    cluster.workers.remove(&lost);
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
        "a crash of all costs no replica"
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
        "a late repeat"
    );
    cluster.run(5_000);
    assert!(cluster.running().is_empty());
    cluster.check();
}

// Guards against a job called done because its replicas have ended, and against one that is started
// again and again as fast as it ends.
#[test]
fn a_replica_that_ends_runs_again_after_a_bounded_wait() {
    let mut cluster = ready();
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
    cluster.until("it to keep running", 25_000, |cluster| {
        cluster.running().len() == 1
    });
    cluster.run(60_000);
    cluster.faults.ending_services.insert(JobId(1));
    cluster.run(1_000);
    cluster.faults.ending_services.clear();
    cluster.until("no wait after it ran well", 4_000, |cluster| {
        cluster.running().len() == 1
    });
    cluster.check();
}

// Guards against a faulty machine that is empty again at once and so gets the same replica again.
#[test]
fn one_faulty_machine_does_not_keep_a_service_down() {
    let mut cluster = serving(&service(1, 4), 4);
    let faulty = last_started_on(&cluster);
    cluster.faults.faulty_machines.insert(faulty);
    cluster.until("failures", 30_000, |cluster| cluster.running().len() < 4);
    cluster.until("replicas elsewhere", 30_000, |cluster| {
        cluster.running().len() == 4
    });
    cluster.check();
}

// Guards against a zone that is not known after a change of epochs, which kept every other replica of
// a job spread over zones from starting again.
#[test]
fn a_spread_replica_runs_again_after_an_epoch_change() {
    let mut spread = service(1, 6);
    spread["Spread"] = json!(true);
    let mut cluster = serving(&spread, 6);
    let leader = cluster.leader();
    cluster.crash(leader);
    cluster.until("another leader", 10_000, |cluster| {
        cluster.leader() != leader
    });
    cluster.start(leader);
    cluster.run(10_000);
    let lost = last_started_on(&cluster);
    cluster.workers.remove(&lost);
    cluster.until("all replicas running again", 60_000, |cluster| {
        cluster.running().len() == 6
    });
    cluster.check();
}

/// A service of four replicas among some 13 machines in each zone.
fn service_in_a_crowd() -> Cluster {
    let mut cluster = serving(&service(1, 4), 4);
    cluster.task_run_ms = 200_000;
    cluster.capacity = 40;
    for (id, zone) in [(2, "a"), (3, "b")] {
        let mut crowd = long_job(id, 48);
        crowd["Patio"] = json!(zone);
        cluster.submit(0, &crowd);
    }
    cluster.until("the crowd", 60_000, |cluster| cluster.running().len() >= 96);
    cluster
}

fn replicas(cluster: &Cluster) -> usize {
    let running = cluster.running();
    running.iter().filter(|t| t.job == JobId(1)).count()
}

// Guards against replicas that are down until the lease of their dead machine is over, though the cloud
// could have reported sooner that it is gone.
#[test]
fn a_service_runs_in_full_again_before_the_lease_of_its_dead_machine_ends() {
    let mut cluster = service_in_a_crowd();
    let dead = cluster
        .task_starts
        .iter()
        .find(|start| start.task.job == JobId(1));
    let dead = dead.expect("a replica").machine.clone();
    cluster.workers.get_mut(&dead).expect("a worker").is_hung = true;
    cluster.until("its release", 13_000, |cluster| {
        cluster.released_machines.contains(&dead)
    });
    cluster.until("all replicas running again", 3_000, |cluster| {
        replicas(cluster) == 4
    });
    cluster.check();
}

// Guards against taking a zone that is cut off, or a controller that workers do not reach, for machines that
// are dead, and releasing them.
#[test]
fn machines_whose_heartbeats_stop_together_are_not_counted_as_lost() {
    let mut cluster = service_in_a_crowd();
    let busy = |cluster: &Cluster| -> Vec<MachineId> {
        let all = cluster.workers.keys().filter(|id| cluster.is_busy(id));
        all.cloned().collect()
    };
    let mut zone = busy(&cluster);
    zone.retain(|id| cluster.workers[id].zone == "a");
    let hang = |cluster: &mut Cluster, hung| {
        for id in &zone {
            cluster.workers.get_mut(id).expect("a worker").is_hung = hung;
        }
    };
    let any_released = |cluster: &Cluster, of: &[MachineId]| {
        of.iter().any(|id| cluster.released_machines.contains(id))
    };
    hang(&mut cluster, true);
    cluster.run(15_000);
    assert!(!any_released(&cluster, &zone), "a zone");
    hang(&mut cluster, false);
    cluster.until("all replicas running again", 60_000, |cluster| {
        replicas(cluster) == 4
    });
    cluster.run(10_000);
    let busy = busy(&cluster);
    let other = (cluster.leader() + 1) % 3;
    cluster.faults.cut_from_workers.insert(other);
    cluster.run(15_000);
    assert!(
        !any_released(&cluster, &busy),
        "a controller cut from its workers"
    );
    cluster.check();
}

#[test]
fn services_that_can_never_run_are_rejected() {
    let mut cluster = ready();
    let mut large = service(1, 9);
    large["Cuadrilla"] = json!("red");
    assert_eq!(
        cluster.submit(0, &large).status,
        422,
        "9 of at most 8 processors"
    );
    large["Piezas"] = json!(8);
    assert_eq!(cluster.submit(0, &large).status, 201);
    let mut waiting = service(2, 1);
    waiting["Cuadrilla"] = json!("red");
    assert_eq!(
        cluster.submit(1, &waiting).status,
        201,
        "accepted, and waits"
    );
    cluster.until("the limit", 30_000, |cluster| cluster.running().len() == 8);
    cluster.run(5_000);
    assert_eq!(cluster.state(2, 2), (200, "pending".into()));
    let bad = [
        ("Oficio", json!("gang")),
        ("Oficio", json!(null)),
        ("Piezas", json!(0)),
        ("CalculoS", json!(-1.0)),
        ("Turno", json!("soon")),
    ];
    for (field, value) in bad {
        let mut wrong = service(9, 1);
        wrong[field] = value;
        assert_eq!(cluster.submit(0, &wrong).status, 400, "{field}");
    }
    cluster.check();
}
