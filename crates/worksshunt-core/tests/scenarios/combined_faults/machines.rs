//! Faults of machines and workers that come together with others.

use serde_json::json;
use worksshunt_simulation::ZonePartition;
use worksshunt_wire::JobId;

use super::{busy, machines_of, others, red, settle, MachineFault};
use crate::{long_job, ready, ready_with_boots_of};

// Guards against a heartbeat of a former epoch that reaches a leader which has acted already.
#[test]
fn a_heartbeat_is_held_back_until_a_new_leader_has_acted() {
    for release_ms in (0..10_000).step_by(500) {
        let moment = format!("released after {release_ms}");
        let mut cluster = busy(4, 12_000);
        cluster.submit(1, &long_job(9, 12));
        let held = cluster.task_starts[0].machine.clone();
        cluster.faults.heartbeats.held_from.insert(held.clone());
        cluster.run(4_000);
        let leader = cluster.leader();
        cluster.restart(leader, 400);
        cluster.run(6_000 + release_ms);
        assert_ne!(cluster.epoch(), 1, "{moment}");
        assert!(cluster.release_heartbeats(&[0, 1, 2]) > 0, "{moment}");
        cluster.run(3_000);
        cluster.faults.heartbeats.held_from.clear();
        cluster.run(15_000);
        settle(&mut cluster, &moment);
        assert!(cluster.all_done(9, 12));
    }
}

// Guards against machines that a new leader takes for empty, or for dead before their lease is over.
#[test]
fn the_leader_crashes_while_machines_with_long_tasks_are_unreachable() {
    for fault in MachineFault::ALL {
        for crash_ms in (0..16_000).step_by(1_600) {
            let moment = format!("{fault:?}, the leader crashes after {crash_ms}");
            let mut cluster = busy(4, 45_000);
            let ids = machines_of(&cluster, 1);
            for id in &ids {
                fault.apply(&mut cluster, id, 13_000);
            }
            cluster.submit(1, &long_job(9, 8));
            cluster.run(crash_ms);
            let leader = cluster.leader();
            let epoch = cluster.epoch();
            cluster.restart(leader, 3_000);
            cluster.run(14_000);
            assert!(cluster.epoch() > epoch, "{moment}");
            cluster.faults.unreachable_machines.clear();
            cluster.faults.heartbeats.lost_from.clear();
            cluster.run(20_000);
            settle(&mut cluster, &moment);
        }
    }
}

// Guards against copies that are taken for news: of an earlier heartbeat, incarnation or attempt.
#[test]
fn old_heartbeats_arrive_after_newer_ones() {
    for after_ms in [200, 1_300, 4_000, 9_000, 15_500, 17_500, 26_000] {
        let moment = format!("copies after {after_ms}");
        let mut cluster = busy(4, 9_000);
        cluster.submit(0, &long_job(9, 30));
        cluster.faults.heartbeats.copies_after_ms = vec![after_ms, after_ms + 900];
        let lost = cluster.task_starts[0].machine.clone();
        // Its lease runs out, so that its next incarnation has other attempts at the same tasks.
        cluster.hang(&lost, 18_000);
        cluster.run(30_000);
        let leader = cluster.leader();
        cluster.restart(leader, 500);
        cluster.run(20_000);
        assert!(cluster.effects("heartbeat copy") > 100, "{moment}");
        settle(&mut cluster, &moment);
        assert!(cluster.all_done(9, 30));
    }
}

// Guards against commands that are carried out when nobody expects them any more.
#[test]
fn a_command_is_delayed_for_seconds_and_the_machine_goes_on() {
    for release_ms in (200..14_000).step_by(600) {
        let moment = format!("released after {release_ms}");
        let mut cluster = ready_with_boots_of(50.0);
        cluster.task_run_ms = 25_000;
        for _ in 0..5 {
            cluster.create_machine("a", true, 0);
        }
        cluster.run(9_000);
        cluster.faults.are_commands_held = true;
        cluster.submit(0, &long_job(1, 12));
        cluster.submit(1, &red(2, 8));
        cluster.run(2_000);
        cluster.send_cancel(0, JobId(1));
        cluster.run(release_ms);
        if release_ms % 1_200 == 200 {
            let leader = cluster.leader();
            cluster.restart(leader, 300);
            cluster.run(1_500);
        }
        assert!(cluster.release_commands() > 0, "{moment}");
        cluster.faults.are_commands_held = false;
        cluster.run(35_000);
        settle(&mut cluster, &moment);
    }
}

// Guards against zones that are forgotten with the machine, and jobs that wait for one that is gone.
#[test]
fn jobs_bound_to_one_zone_lose_machines() {
    for loss_ms in (0..10_000).step_by(1_000) {
        let moment = format!("lost after {loss_ms}");
        let mut cluster = ready();
        cluster.task_run_ms = 12_000;
        let bound = |id: u64, field: &str, value: serde_json::Value| {
            let mut bound = long_job(id, 6);
            bound[field] = value;
            bound
        };
        cluster.submit(0, &bound(1, "Patio", json!("b")));
        cluster.submit(1, &bound(2, "SamePlace", json!(true)));
        cluster.submit(2, &bound(3, "Spread", json!(true)));
        cluster.until("tasks", 40_000, |cluster| cluster.running().len() >= 12);
        cluster.run(loss_ms);
        let lost: Vec<_> = (1..=3)
            .map(|id| machines_of(&cluster, id)[0].clone())
            .collect();
        for id in lost {
            cluster.workers.remove(&id);
        }
        if loss_ms % 2_000 == 0 {
            let leader = cluster.leader();
            cluster.restart(leader, 2_000);
        }
        cluster.run(40_000);
        settle(&mut cluster, &moment);
        assert!((1..=3).all(|id| cluster.all_done(id, 6)), "{moment}");
    }
}

// Guards against machines provisioned over and over in a zone where the job that waits may not run, because its own
// has none and is refused just then (found by days of mixed faults: the cloud was never asked again in time).
#[test]
fn no_machine_is_provisioned_in_a_zone_that_may_run_no_more_of_the_waiting_tasks() {
    let mut cluster = ready();
    cluster.task_run_ms = 3_000;
    cluster.capacity = 1;
    cluster.faults.cloud.is_down = true;
    cluster.create_machine("a", true, 0);
    let mut spread = long_job(1, 6);
    spread["Spread"] = json!(true);
    cluster.submit(0, &spread);
    cluster.until("the first half", 30_000, |cluster| {
        cluster.task_starts.len() >= 3
    });
    cluster.faults.cloud.is_down = false;
    cluster.until("all tasks", 90_000, |cluster| cluster.all_done(1, 6));
    settle(&mut cluster, "spread");
}

// Guards against tasks that go on, or are placed on machines whose heartbeats do not arrive.
#[test]
fn workers_reach_no_controller_while_direct_commands_reach_them() {
    for loss_ms in (3_000..30_000).step_by(1_800) {
        let moment = format!("heartbeats lost for {loss_ms}");
        let mut cluster = busy(5, 30_000);
        cluster.faults.heartbeats.lost_from = cluster.workers.keys().cloned().collect();
        cluster.send_cancel(0, JobId(1));
        cluster.submit(1, &long_job(9, 8));
        cluster.run(loss_ms);
        assert!(cluster.effects("lost heartbeat") > 0, "{moment}");
        cluster.faults.heartbeats.lost_from.clear();
        cluster.run(30_000);
        settle(&mut cluster, &moment);
        assert!(cluster.all_done(9, 8), "{moment}");
    }
}

// Guards against a lease that is computed from the last heartbeat although the worker, reached by direct
// commands only, is in a later incarnation, whose lease began with it (found by a day of mixed faults).
#[test]
fn a_machine_whose_heartbeats_are_lost_begins_another_incarnation_and_answers_commands() {
    let mut incarnations = 0;
    for release_ms in (7_000..17_000).step_by(250) {
        let moment = format!("a heartbeat arrives after {release_ms}");
        let mut cluster = ready_with_boots_of(50.0);
        cluster.task_run_ms = 30_000;
        let id = cluster.create_machine("a", true, 0);
        cluster.run(6_000);
        cluster.faults.cloud.is_down = true;
        cluster.faults.heartbeats.held_from.insert(id.clone());
        cluster.run(release_ms);
        assert!(cluster.release_heartbeats(&[0, 1, 2]) > 0, "{moment}");
        for job in 1..=6 {
            cluster.send_submit(0, &long_job(job, 1));
            cluster.run(1_300);
        }
        // By the time at which the lease is taken to be over there is another machine.
        cluster.faults.cloud.is_down = false;
        cluster.run(22_000);
        incarnations += cluster.worker_incarnation(&id);
        cluster.faults.heartbeats.held_from.clear();
        cluster.run(5_000);
        settle(&mut cluster, &moment);
    }
    assert!(incarnations > 40, "no incarnation rose");
}

// Guards against what goes on inside a zone that nobody outside can see.
#[test]
fn a_zone_with_workers_and_a_controller_is_cut_off_for_longer_than_a_lease() {
    for inside in 0..3 {
        for cut_ms in [8_000, 15_000, 19_000, 26_000] {
            let moment = format!("{inside} inside for {cut_ms}");
            let mut cluster = ready_with_boots_of(50.0);
            cluster.task_run_ms = 60_000;
            for zone in ["a", "b", "a", "b", "a", "b"] {
                cluster.create_machine(zone, true, 0);
            }
            cluster.run(9_000);
            cluster.submit(0, &long_job(1, 12));
            cluster.submit(1, &red(2, 8));
            cluster.until("tasks", 30_000, |cluster| cluster.running().len() == 20);
            cluster.faults.partitioned_zone = Some(ZonePartition {
                zone: "b".to_owned(),
                controllers: [inside].into(),
            });
            cluster.run(2_000);
            let controller = others(inside)[0];
            cluster.send_cancel(controller, JobId(2));
            cluster.submit(controller, &red(3, 8));
            cluster.run(cut_ms);
            assert!(cluster.effects("lost heartbeat") > 0, "{moment}");
            cluster.faults.partitioned_zone = None;
            cluster.run(30_000);
            settle(&mut cluster, &moment);
            assert!(
                cluster.all_done(1, 12) && cluster.all_done(3, 8),
                "{moment}"
            );
        }
    }
}
