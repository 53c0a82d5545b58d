//! Short outages, slow responses and limited rates of the key-value store.

use std::collections::BTreeSet;

use serde_json::json;
use worksshunt_core::controller::Event;

use crate::{long_job, ready, ready_with_boot_time};
use worksshunt_simulation::job;

#[test]
fn a_controller_without_the_key_value_store_stops_serving() {
    let mut cluster = ready();
    cluster.submit(0, &job(1, 8));
    cluster.until("tasks", 30_000, |cluster| !cluster.running().is_empty());
    let leader = cluster.leader();
    cluster.faults.key_value.unreachable_from.insert(leader);
    cluster.run(7_000);
    let heartbeat = json!({"Estiba": "i-000000", "Addr": "10.1.0.1:1", "Modelo": "m4", "Patio": "a",
        "Prestados": true, "Jornada": 9, "Folio": 1, "Vara": 0, "Piezas": []});
    for machine in 0..12 {
        let mut heartbeat = heartbeat.clone();
        heartbeat["Estiba"] = json!(format!("i-{machine:06}"));
        let body = heartbeat.to_string().into_bytes();
        let response =
            cluster.send_and_wait(leader, |request_id| Event::Heartbeat { request_id, body });
        assert_ne!(
            response.status, 200,
            "the controller answered a worker after its epoch lease had expired"
        );
    }
    let response = cluster.submit(leader, &job(2, 1));
    assert_eq!((response.status, response.retry_after_s), (503, Some(1)));
    cluster.faults.key_value.unreachable_from.clear();
    cluster.until("all tasks", 120_000, |cluster| cluster.all_done(1, 8));
    cluster.check();
}

// Guards against routing users to a controller that alone cannot reach the store, and against taking all controllers
// out of routing in an outage that affects all of them.
#[test]
fn only_a_controller_that_alone_loses_the_store_is_unhealthy() {
    let mut cluster = ready();
    cluster.faults.key_value.unreachable_from.insert(1);
    cluster.run(4_500);
    assert_eq!(
        [0, 1, 2].map(|n| cluster.is_healthy(n)),
        [true, false, true]
    );
    cluster.faults.key_value.unreachable_from.clear();
    cluster.run(5_000);
    assert!(cluster.is_healthy(1));
    cluster.faults.key_value.is_down = true;
    cluster.run(40_000);
    assert_eq!([0, 1, 2].map(|n| cluster.is_healthy(n)), [true; 3]);
}

#[test]
fn no_lease_expires_in_a_short_store_outage() {
    let mut cluster = ready();
    cluster.task_run_ms = 60_000;
    cluster.submit(0, &long_job(1, 8));
    cluster.until("tasks", 30_000, |cluster| cluster.running().len() == 8);
    cluster.faults.key_value.is_down = true;
    cluster.run(15_000);
    let response = cluster.submit(1, &job(2, 1));
    assert_eq!((response.status, response.retry_after_s), (503, Some(1)));
    cluster.faults.key_value.is_down = false;
    cluster.until("all tasks", 120_000, |cluster| cluster.all_done(1, 8));
    assert_eq!(cluster.task_starts.len(), 8, "no lease expired");
    cluster.check();
}

// Guards against submissions and launches that wait for one slow response, and against confusing a repeated write with
// another one.
#[test]
fn slow_writes_block_no_submission() {
    let mut cluster = ready_with_boot_time(50.0);
    for _ in 0..9 {
        cluster.create_machine("a", true, 0);
    }
    cluster.run(10_000);
    cluster.faults.key_value.slow_writes_ms = 1_200;
    let mut longest_ms = 0;
    for id in 1..=12 {
        let submitted_at = cluster.now;
        let response = cluster.submit(id as usize % 3, &job(id, 3));
        assert!(matches!(response.status, 200 | 201), "{response:?}");
        longest_ms = longest_ms.max(cluster.now - submitted_at);
    }
    assert!(longest_ms < 800, "a submission took {longest_ms} ms");
    cluster.until("all tasks", 60_000, |cluster| {
        (1..=12).all(|id| cluster.all_done(id, 3))
    });
    assert_eq!(cluster.task_starts.len(), 36, "each task started once");
    cluster.check();
}

// Guards against starvation of queries if users poll in the same order every time and the first queries use up the
// share of reads.
#[test]
fn queries_beyond_the_share_of_reads_are_all_answered() {
    let mut cluster = ready();
    let ids: Vec<u64> = (1..=900).collect();
    ids.iter().for_each(|id| cluster.put_final_state(*id));
    (0..3).for_each(|controller| cluster.crash(controller));
    (0..3).for_each(|controller| cluster.start(controller));
    cluster.run(5_000);
    let started_at = cluster.now;
    let mut answered = BTreeSet::new();
    while answered.len() < ids.len() {
        assert!(
            cluster.now < started_at + 45_000,
            "{} answered",
            answered.len()
        );
        answered.extend(cluster.answered_queries(1, &ids));
        cluster.run(3_000);
    }
}
