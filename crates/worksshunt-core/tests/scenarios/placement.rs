//! Placement of tasks: team limits, zones, wide tasks and low priorities under load.

use serde_json::json;
use worksshunt_wire::{JobId, TaskId};

use crate::{long_job, ready, ready_with_boot_time};
use worksshunt_simulation::{job, Cluster};

#[test]
fn a_team_stays_within_its_limit_across_partitions() {
    let mut cluster = ready();
    let mut red_job = job(1, 40);
    red_job["Cuadrilla"] = json!("red");
    cluster.submit(0, &red_job);
    let mut max_running = 0;
    while !cluster.all_done(1, 40) {
        cluster.run(500);
        max_running = max_running.max(cluster.running().len());
        assert!(cluster.now < 300_000, "the job did not complete in time");
    }
    assert_eq!(max_running, 8, "the limit is used fully and not exceeded");
    cluster.check();
}

// Guards against a configured limit of 0 that rejects all submissions of a team instead of meaning no limit.
#[test]
fn a_team_without_guarantee_and_limit_uses_all_capacity() {
    let mut cluster = ready();
    cluster.task_run_ms = 20_000;
    let mut unlimited_job = long_job(1, 40);
    unlimited_job["Cuadrilla"] = json!("white");
    assert_eq!(cluster.submit(0, &unlimited_job).status, 201);
    cluster.until("all tasks at once", 40_000, |cluster| {
        cluster.running().len() == 40
    });
    // The limit of another team still applies.
    let mut red_job = long_job(2, 9);
    red_job["Cuadrilla"] = json!("red");
    cluster.submit(1, &red_job);
    cluster.until("all tasks", 200_000, |cluster| {
        cluster.all_done(1, 40) && cluster.all_done(2, 9)
    });
    cluster.check();
}

#[test]
fn zone_constraints_are_met() {
    let mut cluster = ready();
    for zone in ["a", "b", "a", "b"] {
        cluster.create_machine(zone, true, 0);
    }
    cluster.run(4_000);
    let mut single_zone_job = job(1, 8);
    single_zone_job["SamePlace"] = json!(true);
    let mut spread_job = job(2, 6);
    spread_job["Spread"] = json!(true);
    let mut zone_b_job = job(3, 4);
    zone_b_job["Patio"] = json!("b");
    for job in [&single_zone_job, &spread_job, &zone_b_job] {
        assert_eq!(cluster.submit(0, job).status, 201);
    }
    cluster.until("all tasks", 120_000, |cluster| {
        cluster.all_done(1, 8) && cluster.all_done(2, 6) && cluster.all_done(3, 4)
    });
    cluster.check();
}

// Guards against tasks of a single-zone job in two zones, if the zone of a completed task becomes known only after
// other tasks were placed.
#[test]
fn zones_of_running_tasks_take_precedence_over_completed_ones() {
    let mut cluster = ready_with_boot_time(50.0);
    cluster.faults.cloud.is_down = true;
    cluster.task_run_ms = 20_000;
    cluster.create_machine("b", true, 0);
    let mut single_zone_job = long_job(1, 6);
    single_zone_job["SamePlace"] = json!(true);
    cluster.submit(0, &single_zone_job);
    cluster.until("a full machine", 20_000, |cluster| {
        cluster.running().len() == 4
    });
    (0..3).for_each(|controller| cluster.crash(controller));
    let completed_tasks = json!([["j-000001", [[5, 5]], { "a": 1 }]]);
    cluster.put("d/900", json!({ "v": 2, "done": completed_tasks }));
    let empty_machine = cluster.create_machine("a", true, 0);
    (0..3).for_each(|controller| cluster.start(controller));
    cluster.run(12_000);
    assert_eq!(cluster.launches_on(&empty_machine), 0);
    cluster.until("the fifth task", 40_000, |cluster| {
        cluster.task_starts.len() == 5
    });
    cluster.invariants.record_completion(TaskId {
        job: JobId(1),
        index: 5,
    });
    cluster.faults.cloud.is_down = false;
    cluster.until("the final state", 60_000, |cluster| {
        cluster.keys("j/").is_empty()
    });
    cluster.check();
}

// Guards against tasks assigned to an owner that the leader cannot reach while other owners have free capacity.
#[test]
fn tasks_are_placed_on_machines_whose_owner_the_leader_reaches() {
    let mut cluster = ready_with_boot_time(50.0);
    let leader = cluster.leader();
    cluster.task_run_ms = 2_000;
    for _ in 0..9 {
        cluster.create_machine("a", true, 0);
    }
    cluster.run(10_000);
    cluster.faults.cut_from_peers = (0..3).filter(|controller| *controller != leader).collect();
    cluster.run(1_000);
    cluster.submit(leader, &job(1, 36));
    cluster.until("all tasks", 20_000, |cluster| cluster.all_done(1, 36));
    cluster.faults.cut_from_peers.clear();
    cluster.run(10_000);
    cluster.check();
}

// Guards against starvation of wide tasks by a stream of narrow ones.
#[test]
fn a_wide_task_gets_a_machine_by_a_claim() {
    let mut cluster = ready();
    cluster.capacity = 2;
    cluster.task_run_ms = 3_000;
    cluster.submit(0, &job(1, 400));
    cluster.until("a full fleet", 40_000, |cluster| {
        cluster.running().len() == 8
    });
    cluster.task_run_ms = 2_700;
    let mut wide_job = job(2, 1);
    wide_job["Cores"] = json!(4.0);
    wide_job["CalculoS"] = json!(3.0);
    cluster.submit(0, &wide_job);
    cluster.until("the wide task", 90_000, |cluster| cluster.all_done(2, 1));
    assert!(!cluster.all_done(1, 400), "narrow tasks were still waiting");
    cluster.check();
}

// Guards against starvation of wide tasks by narrow ones of their team: the quota that one of these releases suffices
// only for another narrow task.
#[test]
fn a_wide_job_completes_beside_narrow_jobs_of_its_team() {
    let mut cluster = ready();
    cluster.task_run_ms = 7_000;
    cluster.run_spread_ms = 900;
    let red_job = |id: u64, tasks: u32| {
        let mut red_job = job(id, tasks);
        red_job["Cuadrilla"] = json!("red");
        red_job
    };
    let mut wide_job = red_job(1, 4);
    wide_job["Turno"] = json!("low");
    wide_job["Cores"] = json!(4.0);
    cluster.submit(0, &red_job(2, 400));
    cluster.run(20_000);
    cluster.submit(1, &wide_job);
    let submitted_at = cluster.now;
    cluster.until("the first task of the wide job", 130_000, |cluster| {
        cluster
            .task_starts
            .iter()
            .any(|start| start.task.job == JobId(1))
    });
    cluster.until("all tasks of the wide job", 250_000, |cluster| {
        cluster.all_done(1, 4)
    });
    assert!(cluster.now < submitted_at + 330_000);
    assert!(!cluster.all_done(2, 400), "narrow tasks were still waiting");
    cluster.check();
}

/// Returns a job of forty tasks with the highest priority and a deadline of 20 s.
fn urgent_job(id: u64) -> serde_json::Value {
    let mut job = job(id, 40);
    job["Turno"] = json!("urgent");
    job["EntregaS"] = json!(20.0);
    job
}

// Guards against starvation of a large low-priority job by a burst of urgent ones.
#[test]
fn a_large_low_priority_job_starts_in_time_under_a_burst() {
    let mut cluster = ready();
    cluster.capacity = 2;
    cluster.task_run_ms = 5_000;
    let mut large_job = job(1, 200);
    large_job["Turno"] = json!("low");
    large_job["EntregaS"] = json!(5_000.0);
    cluster.submit(0, &urgent_job(2));
    cluster.submit(1, &large_job);
    let submitted_at = cluster.now;
    let has_started = |cluster: &Cluster| {
        cluster
            .task_starts
            .iter()
            .any(|start| start.task.job == JobId(1))
    };
    for id in 3.. {
        if has_started(&cluster) {
            break;
        }
        assert!(
            cluster.now < submitted_at + 240_000,
            "the job did not start within four minutes"
        );
        cluster.submit(id as usize % 3, &urgent_job(id));
        cluster.run(8_000);
    }
    let first_task = TaskId {
        job: JobId(1),
        index: 0,
    };
    assert!(
        cluster
            .task_starts
            .iter()
            .any(|start| start.task == first_task),
        "its first task has started"
    );
    let urgent_starts = cluster
        .task_starts
        .iter()
        .filter(|start| start.task.job != JobId(1))
        .count();
    assert!(urgent_starts > 80, "urgent tasks kept starting");
    cluster.check();
}

// Guards against missing demand for machines: if the quota reserved for starved jobs were counted in addition to their
// own demand, it would use up the team's limit.
#[test]
fn starved_jobs_beyond_their_teams_limit_get_machines() {
    let mut cluster = ready();
    cluster.capacity = 0;
    for id in 1..=40 {
        let mut wide_job = job(id, 1);
        wide_job["Cores"] = json!(4.0);
        assert_eq!(cluster.submit(id as usize % 3, &wide_job).status, 201);
    }
    cluster.run(130_000);
    cluster.capacity = 10;
    cluster.until("the final states of all jobs", 90_000, |cluster| {
        cluster.keys("j/").is_empty()
    });
    cluster.check();
}
