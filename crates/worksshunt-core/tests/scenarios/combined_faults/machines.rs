//! Combinations of faults of machines and workers with others.

use serde_json::json;
use worksshunt_simulation::ZonePartition;
use worksshunt_wire::JobId;

use super::{machines_of_job, other_controllers, red_job, settle, with_running_jobs, MachineFault};
use crate::{long_job, ready, ready_with_boot_time};

// Guards against a delayed heartbeat of an earlier epoch that misleads a new leader.
#[test]
fn delayed_heartbeats_reach_a_new_leader_that_has_acted() {
    for release_ms in (0..10_000).step_by(500) {
        let case = format!("released after {release_ms}");
        let mut cluster = with_running_jobs(4, 12_000);
        cluster.submit(1, &long_job(9, 12));
        let held_machine = cluster.task_starts[0].machine.clone();
        cluster
            .faults
            .heartbeats
            .held_from
            .insert(held_machine.clone());
        cluster.run(4_000);
        let leader = cluster.leader();
        cluster.restart(leader, 400);
        cluster.run(6_000 + release_ms);
        assert_ne!(cluster.epoch_count(), 1, "{case}");
        assert!(cluster.release_heartbeats(&[0, 1, 2]) > 0, "{case}");
        cluster.run(3_000);
        cluster.faults.heartbeats.held_from.clear();
        cluster.run(15_000);
        settle(&mut cluster, &case);
        assert!(cluster.all_done(9, 12));
    }
}

// Guards against a new leader that treats machines as idle, or as lost before their leases have expired.
#[test]
fn the_leader_crashes_while_machines_with_long_tasks_are_unreachable() {
    for fault in MachineFault::ALL {
        for crash_ms in (0..16_000).step_by(1_600) {
            let case = format!("{fault:?}, the leader crashes after {crash_ms}");
            let mut cluster = with_running_jobs(4, 45_000);
            let ids = machines_of_job(&cluster, 1);
            for id in &ids {
                fault.apply(&mut cluster, id, 13_000);
            }
            cluster.submit(1, &long_job(9, 8));
            cluster.run(crash_ms);
            let leader = cluster.leader();
            let epoch = cluster.epoch();
            cluster.restart(leader, 3_000);
            cluster.run(14_000);
            assert!(cluster.epoch() > epoch, "{case}");
            cluster.faults.unreachable_machines.clear();
            cluster.faults.heartbeats.lost_from.clear();
            cluster.run(20_000);
            settle(&mut cluster, &case);
        }
    }
}

// Guards against applying a copy of an earlier heartbeat, incarnation or attempt as the newest status.
#[test]
fn old_heartbeats_arrive_after_newer_ones() {
    for after_ms in [200, 1_300, 4_000, 9_000, 15_500, 17_500, 26_000] {
        let case = format!("copies after {after_ms}");
        let mut cluster = with_running_jobs(4, 9_000);
        cluster.submit(0, &long_job(9, 30));
        cluster.faults.heartbeats.copies_after_ms = vec![after_ms, after_ms + 900];
        let hung_machine = cluster.task_starts[0].machine.clone();
        // Its lease expires, so that its next incarnation runs other attempts of the same tasks.
        cluster.hang(&hung_machine, 18_000);
        cluster.run(30_000);
        let leader = cluster.leader();
        cluster.restart(leader, 500);
        cluster.run(20_000);
        assert!(cluster.effects("heartbeat copy") > 100, "{case}");
        settle(&mut cluster, &case);
        assert!(cluster.all_done(9, 30));
    }
}

// Guards against commands that take effect after their sender's timeout.
#[test]
fn commands_are_delayed_for_seconds() {
    for release_ms in (200..14_000).step_by(600) {
        let case = format!("released after {release_ms}");
        let mut cluster = ready_with_boot_time(50.0);
        cluster.task_run_ms = 25_000;
        for _ in 0..5 {
            cluster.create_machine("a", true, 0);
        }
        cluster.run(9_000);
        cluster.faults.are_commands_held = true;
        cluster.submit(0, &long_job(1, 12));
        cluster.submit(1, &red_job(2, 8));
        cluster.run(2_000);
        cluster.send_cancel(0, JobId(1));
        cluster.run(release_ms);
        if release_ms % 1_200 == 200 {
            let leader = cluster.leader();
            cluster.restart(leader, 300);
            cluster.run(1_500);
        }
        assert!(cluster.release_commands() > 0, "{case}");
        cluster.faults.are_commands_held = false;
        cluster.run(35_000);
        settle(&mut cluster, &case);
    }
}

// Guards against losing the zone of a job with its machine, and against jobs that wait for a lost machine.
#[test]
fn jobs_with_zone_constraints_lose_machines() {
    for loss_ms in (0..10_000).step_by(1_000) {
        let case = format!("lost after {loss_ms}");
        let mut cluster = ready();
        cluster.task_run_ms = 12_000;
        let zone_constrained = |id: u64, field: &str, value: serde_json::Value| {
            let mut job = long_job(id, 6);
            job[field] = value;
            job
        };
        cluster.submit(0, &zone_constrained(1, "Patio", json!("b")));
        cluster.submit(1, &zone_constrained(2, "SamePlace", json!(true)));
        cluster.submit(2, &zone_constrained(3, "Spread", json!(true)));
        cluster.until("tasks", 40_000, |cluster| cluster.running().len() >= 12);
        cluster.run(loss_ms);
        let lost_machines: Vec<_> = (1..=3)
            .map(|id| machines_of_job(&cluster, id)[0].clone())
            .collect();
        for id in lost_machines {
            cluster.workers.remove(&id);
        }
        if loss_ms % 2_000 == 0 {
            let leader = cluster.leader();
            cluster.restart(leader, 2_000);
        }
        cluster.run(40_000);
        settle(&mut cluster, &case);
        assert!((1..=3).all(|id| cluster.all_done(id, 6)), "{case}");
    }
}

// Guards against provisioning machines repeatedly in a zone where the waiting job cannot run, while provisioning in
// the other zone has failed.
#[test]
fn machines_are_provisioned_only_in_zones_that_spread_allows() {
    let mut cluster = ready();
    cluster.task_run_ms = 3_000;
    cluster.capacity = 1;
    cluster.faults.cloud.is_down = true;
    cluster.create_machine("a", true, 0);
    let mut spread_job = long_job(1, 6);
    spread_job["Spread"] = json!(true);
    cluster.submit(0, &spread_job);
    cluster.until("half of the tasks", 30_000, |cluster| {
        cluster.task_starts.len() >= 3
    });
    cluster.faults.cloud.is_down = false;
    cluster.until("all tasks", 90_000, |cluster| cluster.all_done(1, 6));
    settle(&mut cluster, "spread");
}

// Guards against tasks that keep running, or are placed, on machines whose heartbeats do not arrive.
#[test]
fn heartbeats_are_lost_while_direct_commands_arrive() {
    for loss_ms in (3_000..30_000).step_by(1_800) {
        let case = format!("heartbeats lost for {loss_ms}");
        let mut cluster = with_running_jobs(5, 30_000);
        cluster.faults.heartbeats.lost_from = cluster.workers.keys().cloned().collect();
        cluster.send_cancel(0, JobId(1));
        cluster.submit(1, &long_job(9, 8));
        cluster.run(loss_ms);
        assert!(cluster.effects("lost heartbeat") > 0, "{case}");
        cluster.faults.heartbeats.lost_from.clear();
        cluster.run(30_000);
        settle(&mut cluster, &case);
        assert!(cluster.all_done(9, 8), "{case}");
    }
}

// Guards against computing a lease from the last heartbeat although direct commands have reached a later incarnation,
// which began with a new lease.
#[test]
fn a_worker_without_heartbeats_changes_incarnation_and_answers_commands() {
    let mut incarnations = 0;
    for release_ms in (7_000..17_000).step_by(250) {
        let case = format!("a heartbeat arrives after {release_ms}");
        let mut cluster = ready_with_boot_time(50.0);
        cluster.task_run_ms = 30_000;
        let id = cluster.create_machine("a", true, 0);
        cluster.run(6_000);
        cluster.faults.cloud.is_down = true;
        cluster.faults.heartbeats.held_from.insert(id.clone());
        cluster.run(release_ms);
        assert!(cluster.release_heartbeats(&[0, 1, 2]) > 0, "{case}");
        for job in 1..=6 {
            cluster.send_submit(0, &long_job(job, 1));
            cluster.run(1_300);
        }
        // Another machine is available by the time at which the lease is considered expired.
        cluster.faults.cloud.is_down = false;
        cluster.run(22_000);
        incarnations += cluster.worker_incarnation(&id);
        cluster.faults.heartbeats.held_from.clear();
        cluster.run(5_000);
        settle(&mut cluster, &case);
    }
    assert!(incarnations > 40, "incarnations did not change");
}

// Guards against tasks that run twice or exceed a limit because a partitioned zone keeps running them.
#[test]
fn a_zone_with_workers_and_a_controller_is_partitioned() {
    for partitioned_controller in 0..3 {
        for partition_ms in [8_000, 15_000, 19_000, 26_000] {
            let case =
                format!("controller {partitioned_controller} partitioned for {partition_ms}");
            let mut cluster = ready_with_boot_time(50.0);
            cluster.task_run_ms = 60_000;
            for zone in ["a", "b", "a", "b", "a", "b"] {
                cluster.create_machine(zone, true, 0);
            }
            cluster.run(9_000);
            cluster.submit(0, &long_job(1, 12));
            cluster.submit(1, &red_job(2, 8));
            cluster.until("tasks", 30_000, |cluster| cluster.running().len() == 20);
            cluster.faults.partitioned_zone = Some(ZonePartition {
                zone: "b".to_owned(),
                controllers: [partitioned_controller].into(),
            });
            cluster.run(2_000);
            let controller = other_controllers(partitioned_controller)[0];
            cluster.send_cancel(controller, JobId(2));
            cluster.submit(controller, &red_job(3, 8));
            cluster.run(partition_ms);
            assert!(cluster.effects("lost heartbeat") > 0, "{case}");
            cluster.faults.partitioned_zone = None;
            cluster.run(30_000);
            settle(&mut cluster, &case);
            assert!(cluster.all_done(1, 12) && cluster.all_done(3, 8), "{case}");
        }
    }
}
