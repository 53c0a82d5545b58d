//! Heartbeats and commands that arrive late, more than once, or malformed.

use serde_json::json;
use worksshunt_core::controller::Event;

use crate::{long_job, ready};
use worksshunt_simulation::job;

// Guards against an unanswered command that starts a task again after the worker has removed the attempt.
#[test]
fn late_direct_commands_start_no_task_again() {
    let mut cluster = ready();
    cluster.faults.are_commands_held = true;
    cluster.submit(0, &job(1, 8));
    cluster.until("all tasks", 120_000, |cluster| cluster.all_done(1, 8));
    cluster.run(5_000);
    cluster.submit(0, &job(2, 3));
    assert!(cluster.release_commands() > 0, "no command was held back");
    cluster.until("all tasks", 60_000, |cluster| cluster.all_done(2, 3));
    cluster.run(10_000);
    assert_eq!(cluster.task_starts.len(), 11, "{:?}", cluster.task_starts);
    cluster.check();
}

// Guards against late copies that renew a lease, end an attempt, complete a task or add a machine.
#[test]
fn late_copies_of_heartbeats_change_nothing() {
    let mut cluster = ready();
    cluster.task_run_ms = 9_000;
    cluster.faults.heartbeats.copies_after_ms = vec![700, 6_000, 17_000, 40_000];
    cluster.submit(0, &job(1, 40));
    cluster.until("tasks", 30_000, |cluster| cluster.running().len() > 8);
    let hung_machine = cluster.task_starts[0].machine.clone();
    cluster
        .workers
        .get_mut(&hung_machine)
        .expect("a worker")
        .is_hung = true;
    cluster.run(8_000);
    (0..3).for_each(|controller| cluster.crash(controller));
    cluster.run(3_000);
    (0..3).for_each(|controller| cluster.start(controller));
    cluster.run(30_000);
    if let Some(worker) = cluster.workers.get_mut(&hung_machine) {
        worker.is_hung = false;
    }
    let leader = cluster.leader();
    cluster.crash(leader);
    cluster.run(500);
    cluster.start(leader);
    cluster.until("all tasks", 200_000, |cluster| cluster.all_done(1, 40));
    cluster.run(4_000);
    assert_eq!(cluster.state(0, 1), (200, "done".into()));
    cluster.until("an empty fleet", 120_000, |cluster| {
        cluster.workers.is_empty()
    });
    cluster.run(60_000);
    cluster.check();
}

// Guards against copies of heartbeats that extend the lease of a dead machine.
#[test]
fn a_late_heartbeat_copy_extends_no_lease() {
    let mut cluster = ready();
    cluster.task_run_ms = 60_000;
    cluster.faults.heartbeats.copies_after_ms = vec![3_000, 9_000, 15_000, 21_000];
    cluster.submit(0, &long_job(1, 8));
    cluster.until("tasks", 30_000, |cluster| cluster.running().len() == 8);
    let dead_machine = cluster.task_starts[0].machine.clone();
    cluster.run(25_000);
    cluster
        .workers
        .get_mut(&dead_machine)
        .expect("a worker")
        .is_hung = true;
    cluster.until("restarted tasks", 30_000, |cluster| {
        cluster.task_starts.len() > 8
    });
    cluster.check();
}

// Guards against a copy of a heartbeat that adds a released machine to the capacity, at its owner or at another
// controller.
#[test]
fn a_heartbeat_copy_restores_no_released_machine() {
    let mut cluster = ready();
    cluster.submit(0, &job(1, 3));
    cluster.until("tasks", 30_000, |cluster| !cluster.running().is_empty());
    let id = cluster.task_starts[0].machine.clone();
    cluster.run(3_000);
    let mut copy = cluster.next_heartbeat_of(&id);
    // A copy of the machine's last heartbeat, whose original never arrived: newer than all received ones.
    copy.sequence += 1_000;
    copy.tasks.clear();
    cluster.until("an empty fleet", 120_000, |cluster| {
        cluster.workers.is_empty()
    });
    cluster.run(2_000);
    let commands_before = cluster.commands_sent_count(&id);
    for round in 0..2 {
        for controller in 0..3 {
            cluster.deliver_heartbeat_copy(controller, copy.clone());
        }
        cluster.run(500);
        let job_id = 2 + round;
        let tasks = 20 + 20 * round as u32;
        cluster.submit(0, &job(job_id, tasks));
        cluster.until("another job", 60_000, |cluster| {
            cluster.all_done(job_id, tasks)
        });
        assert_eq!(
            cluster.commands_sent_count(&id),
            commands_before,
            "a command was sent to the released machine"
        );
        (0..3).for_each(|controller| cluster.crash(controller));
        (0..3).for_each(|controller| cluster.start(controller));
        cluster.run(10_000);
    }
    cluster.check();
}

/// Returns a well-formed heartbeat.
fn valid_heartbeat() -> serde_json::Value {
    json!({"Estiba": "i-000001", "Addr": "10.1.0.1:1", "Modelo": "m4", "Patio": "a",
        "Prestados": true, "Jornada": 1, "Folio": 1, "Vara": 0, "Piezas": []})
}

/// Returns the text of a well-formed heartbeat with `field` replaced.
fn heartbeat_with(field: &str, value: serde_json::Value) -> String {
    let mut heartbeat = valid_heartbeat();
    heartbeat[field] = value;
    heartbeat.to_string()
}

// Guards against malformed heartbeats that change state or stop the controller.
#[test]
fn malformed_heartbeats_are_rejected() {
    let mut cluster = ready();
    let malformed = [
        "{\"Estiba\": \"i-0".to_owned(),
        "[]".to_owned(),
        heartbeat_with("Estiba", json!("i 1")),
        heartbeat_with("Estiba", json!("")),
        heartbeat_with("Estiba", json!("x".repeat(300))),
        heartbeat_with("Folio", json!(-1)),
        heartbeat_with(
            "Piezas",
            json!([{"Pieza": "j-1", "Intento": 1, "Estado": "running"}]),
        ),
        heartbeat_with(
            "Piezas",
            json!([{"Pieza": "j-000001/0", "Intento": 1, "Estado": "flying"}]),
        ),
    ];
    for body in malformed {
        let bytes = body.clone().into_bytes();
        let response = cluster.send_and_wait(0, |request_id| Event::Heartbeat {
            request_id,
            body: bytes,
        });
        assert_eq!(response.status, 400, "{body}");
    }
    // An unknown machine type and a task that was never launched: the heartbeat is accepted, but the machine is not
    // used.
    let mut unknown_type = valid_heartbeat();
    unknown_type["Modelo"] = json!("m9");
    unknown_type["Piezas"] = json!([{"Pieza": "j-000001/0", "Intento": 1, "Estado": "running"}]);
    for controller in 0..3 {
        let bytes = unknown_type.to_string().into_bytes();
        let response = cluster.send_and_wait(controller, |request_id| Event::Heartbeat {
            request_id,
            body: bytes,
        });
        assert!(matches!(response.status, 200 | 421), "{}", response.status);
    }
    cluster.submit(0, &job(1, 4));
    cluster.until("all tasks", 60_000, |cluster| cluster.all_done(1, 4));
    cluster.check();
}
