//! Short outages, slow responses and limited rates of the key-value store.

use std::collections::BTreeSet;

use serde_json::json;
use worksshunt_core::controller::Event;

use crate::{long_job, ready, ready_with_boots_of};
use worksshunt_simulation::job;

#[test]
fn a_controller_cut_off_from_the_key_value_store_stops_by_itself() {
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
        let reply =
            cluster.send_and_wait(leader, |request_id| Event::Heartbeat { request_id, body });
        assert_ne!(reply.status, 200, "it answered a worker without authority");
    }
    let reply = cluster.submit(leader, &job(2, 1));
    assert_eq!((reply.status, reply.retry_after_s), (503, Some(1)));
    cluster.faults.key_value.unreachable_from.clear();
    cluster.until("all tasks", 120_000, |cluster| cluster.all_done(1, 8));
    cluster.check();
}

// Guards against users sent to the one controller that cannot serve them, and against all being
// taken out of service by an outage that none of them can help.
#[test]
fn only_a_controller_that_alone_lost_the_key_value_store_is_unhealthy() {
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
fn a_short_outage_of_the_key_value_store_costs_no_lease() {
    let mut cluster = ready();
    cluster.task_run_ms = 60_000;
    cluster.submit(0, &long_job(1, 8));
    cluster.until("tasks", 30_000, |cluster| cluster.running().len() == 8);
    cluster.faults.key_value.is_down = true;
    cluster.run(15_000);
    let reply = cluster.submit(1, &job(2, 1));
    assert_eq!((reply.status, reply.retry_after_s), (503, Some(1)));
    cluster.faults.key_value.is_down = false;
    cluster.until("all tasks", 120_000, |cluster| cluster.all_done(1, 8));
    assert_eq!(cluster.task_starts.len(), 8, "no lease ran out");
    cluster.check();
}

// Guards against users and launches that wait for one slow answer, and against copies that are taken for
// other writes.
#[test]
fn slow_responses_of_the_key_value_store_block_nobody() {
    let mut cluster = ready_with_boots_of(50.0);
    for _ in 0..9 {
        cluster.create_machine("a", true, 0);
    }
    cluster.run(10_000);
    cluster.faults.key_value.slow_writes_ms = 1_200;
    let mut slowest = 0;
    for id in 1..=12 {
        let queried_at = cluster.now;
        let reply = cluster.submit(id as usize % 3, &job(id, 3));
        assert!(matches!(reply.status, 200 | 201), "{reply:?}");
        slowest = slowest.max(cluster.now - queried_at);
    }
    assert!(slowest < 800, "one waited {slowest} ms");
    cluster.until("all tasks", 60_000, |cluster| {
        (1..=12).all(|id| cluster.all_done(id, 3))
    });
    assert_eq!(cluster.task_starts.len(), 36, "each ran once");
    cluster.check();
}

// Guards against queries that lose to others every time: whoever came first used up the share of
// reads, so with polls always in the same order some job was never answered for.
#[test]
fn queries_about_every_old_job_are_answered_although_they_exceed_the_share() {
    let mut cluster = ready();
    let ids: Vec<u64> = (1..=900).collect();
    ids.iter().for_each(|id| cluster.put_final_state(*id));
    (0..3).for_each(|controller| cluster.crash(controller));
    (0..3).for_each(|controller| cluster.start(controller));
    cluster.run(5_000);
    let begun = cluster.now;
    let mut answered = BTreeSet::new();
    while answered.len() < ids.len() {
        assert!(cluster.now < begun + 45_000, "{} answered", answered.len());
        answered.extend(cluster.answered_queries(1, &ids));
        cluster.run(3_000);
    }
}
