//! Heartbeats and commands that arrive late, more than once, or malformed.

use serde_json::json;
use worksshunt_core::controller::Event;

use crate::{long_job, ready};
use worksshunt_simulation::job;

// Guards against an unanswered command that starts a task again after its attempt was forgotten.
#[test]
fn late_direct_commands_start_nothing_a_second_time() {
    let mut cluster = ready();
    cluster.faults.are_commands_held = true;
    cluster.submit(0, &job(1, 8));
    cluster.until("all tasks", 120_000, |cluster| cluster.all_done(1, 8));
    cluster.run(5_000);
    cluster.submit(0, &job(2, 3));
    assert!(cluster.release_commands() > 0, "something was held back");
    cluster.until("all tasks", 60_000, |cluster| cluster.all_done(2, 3));
    cluster.run(10_000);
    assert_eq!(cluster.task_starts.len(), 11, "{:?}", cluster.task_starts);
    cluster.check();
}

// Guards against every use of a heartbeat that a late copy could mislead: as a lease renewal, as proof that
// an attempt is gone, as a completion, as a machine to be used.
#[test]
fn late_copies_of_heartbeats_change_nothing() {
    let mut cluster = ready();
    cluster.task_run_ms = 9_000;
    cluster.faults.heartbeats.copies_after_ms = vec![700, 6_000, 17_000, 40_000];
    cluster.submit(0, &job(1, 40));
    cluster.until("tasks", 30_000, |cluster| cluster.running().len() > 8);
    let hung = cluster.task_starts[0].machine.clone();
    cluster.workers.get_mut(&hung).expect("a worker").is_hung = true;
    cluster.run(8_000);
    (0..3).for_each(|controller| cluster.crash(controller));
    cluster.run(3_000);
    (0..3).for_each(|controller| cluster.start(controller));
    cluster.run(30_000);
    if let Some(worker) = cluster.workers.get_mut(&hung) {
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

// Guards against copies that keep a dead machine alive.
#[test]
fn a_late_copy_is_no_sign_of_life() {
    let mut cluster = ready();
    cluster.task_run_ms = 60_000;
    cluster.faults.heartbeats.copies_after_ms = vec![3_000, 9_000, 15_000, 21_000];
    cluster.submit(0, &long_job(1, 8));
    cluster.until("tasks", 30_000, |cluster| cluster.running().len() == 8);
    let dead = cluster.task_starts[0].machine.clone();
    cluster.run(25_000);
    cluster.workers.get_mut(&dead).expect("a worker").is_hung = true;
    cluster.until("other starts", 30_000, |cluster| {
        cluster.task_starts.len() > 8
    });
    cluster.check();
}

// Guards against a machine long returned that is taken for capacity again, by its old owner or by one
// that never owned it.
#[test]
fn a_heartbeat_copy_from_a_released_machine_revives_nothing() {
    let mut cluster = ready();
    cluster.submit(0, &job(1, 3));
    cluster.until("tasks", 30_000, |cluster| !cluster.running().is_empty());
    let id = cluster.task_starts[0].machine.clone();
    cluster.run(3_000);
    let mut copy = cluster.next_heartbeat_of(&id);
    // The last one it sent, which never arrived itself.
    copy.sequence += 1_000;
    copy.tasks.clear();
    cluster.until("an empty fleet", 120_000, |cluster| {
        cluster.workers.is_empty()
    });
    cluster.run(2_000);
    let before = cluster.commands_sent_count(&id);
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
            before,
            "no command is sent to it"
        );
        (0..3).for_each(|controller| cluster.crash(controller));
        (0..3).for_each(|controller| cluster.start(controller));
        cluster.run(10_000);
    }
    cluster.check();
}

/// A heartbeat that is well formed.
fn good_heartbeat() -> serde_json::Value {
    json!({"Estiba": "i-000001", "Addr": "10.1.0.1:1", "Modelo": "m4", "Patio": "a",
        "Prestados": true, "Jornada": 1, "Folio": 1, "Vara": 0, "Piezas": []})
}

/// The text of that heartbeat with another value of one field.
fn with(field: &str, value: serde_json::Value) -> String {
    let mut heartbeat = good_heartbeat();
    heartbeat[field] = value;
    heartbeat.to_string()
}

// Guards against malformed heartbeats: they change nothing and stop nothing.
#[test]
fn malformed_heartbeats_are_rejected() {
    let mut cluster = ready();
    let malformed = [
        "{\"Estiba\": \"i-0".to_owned(),
        "[]".to_owned(),
        with("Estiba", json!("i 1")),
        with("Estiba", json!("")),
        with("Estiba", json!("x".repeat(300))),
        with("Folio", json!(-1)),
        with(
            "Piezas",
            json!([{"Pieza": "j-1", "Intento": 1, "Estado": "running"}]),
        ),
        with(
            "Piezas",
            json!([{"Pieza": "j-000001/0", "Intento": 1, "Estado": "flying"}]),
        ),
    ];
    for body in malformed {
        let bytes = body.clone().into_bytes();
        let reply = cluster.send_and_wait(0, |request_id| Event::Heartbeat {
            request_id,
            body: bytes,
        });
        assert_eq!(reply.status, 400, "{body}");
    }
    // An unknown type of machine, with a task that nobody launched: the heartbeat is accepted, the machine not used.
    let mut unknown_type = good_heartbeat();
    unknown_type["Modelo"] = json!("m9");
    unknown_type["Piezas"] = json!([{"Pieza": "j-000001/0", "Intento": 1, "Estado": "running"}]);
    for controller in 0..3 {
        let bytes = unknown_type.to_string().into_bytes();
        let reply = cluster.send_and_wait(controller, |request_id| Event::Heartbeat {
            request_id,
            body: bytes,
        });
        assert!(matches!(reply.status, 200 | 421), "{}", reply.status);
    }
    cluster.submit(0, &job(1, 4));
    cluster.until("all tasks", 60_000, |cluster| cluster.all_done(1, 4));
    cluster.check();
}
