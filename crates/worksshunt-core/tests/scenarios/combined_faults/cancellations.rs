//! Combinations of faults with cancellations, status queries and leader changes.

use worksshunt_wire::JobId;

use super::{machines_of_job, other_controllers, red_job, settle, with_running_jobs};
use crate::{long_job, ready, ready_with_boot_time};
use worksshunt_simulation::{job, Cluster, DelayRange, DelayedWrites};

// Guards against a leader that renews leases although it cannot learn of cancellations.
#[test]
fn the_store_refuses_the_leader_before_a_long_outage() {
    for outage_ms in [17_000, 24_000, 63_500] {
        for cancel_ms in (0..2_400).step_by(200) {
            let case = format!("outage {outage_ms}, cancelled after {cancel_ms}");
            let mut cluster = with_running_jobs(6, 120_000);
            let leader = cluster.leader();
            cluster.faults.key_value.refused_controllers.insert(leader);
            cluster.run(cancel_ms);
            for id in 1..=4 {
                cluster.send_cancel(other_controllers(leader)[id as usize % 2], JobId(id));
            }
            cluster.run(2_400 - cancel_ms);
            cluster.faults.key_value.is_down = true;
            cluster.schedule(12_000, |cluster| {
                cluster.faults.key_value.refused_controllers.clear()
            });
            cluster.run(outage_ms);
            assert!(
                cluster.invariants.any_cancelled(),
                "{case}: no cancellation was confirmed"
            );
            assert!(cluster.effects("refused") > 0, "{case}");
            cluster.faults.key_value.is_down = false;
            cluster.run(40_000);
            settle(&mut cluster, &case);
        }
    }
}

// Guards against a controller that renews leases while its reads of the epoch are answered, but its watch of
// cancellations is not.
#[test]
fn a_controller_whose_watch_is_never_answered_stops_renewing_leases() {
    for after_ms in [0, 700, 5_000] {
        let mut cluster = with_running_jobs(6, 200_000);
        cluster.faults.key_value.unanswered_watches_of = (0..3).collect();
        cluster.run(after_ms);
        let other_controller = other_controllers(cluster.leader())[0];
        for id in 1..=4 {
            cluster.send_cancel(other_controller, JobId(id));
        }
        cluster.run(1_000);
        assert!(cluster.invariants.any_cancelled());
        cluster.run(40_000);
        assert!(cluster.effects("unanswered watch") > 0);
        settle(&mut cluster, &format!("after {after_ms}"));
    }
}

// Guards against a controller that answers with a state older than another controller's earlier answer.
#[test]
fn users_query_rapidly_after_every_response() {
    for seed in 1..=12 {
        let mut cluster = ready();
        cluster.seed(seed);
        cluster.faults.has_rapid_status_queries = true;
        cluster.faults.cancel_at_completion = 0.5;
        for id in 1..=18 {
            cluster.send_submit(id as usize % 3, &job(id, 1 + id as u32 % 3));
            if id % 3 == 0 {
                let controller = (id as usize + seed as usize) % 3;
                cluster.schedule(5 * seed + id, move |cluster| {
                    cluster.send_cancel(controller, JobId(id));
                });
            }
            cluster.run(37 * seed);
        }
        cluster.run(4_000);
        if seed % 2 == 0 {
            let leader = cluster.leader();
            cluster.crash(leader);
            cluster.run(250);
            cluster.start(leader);
        }
        cluster.run(25_000);
        assert!(cluster.effects("rapid status query") > 100, "seed {seed}");
        assert!(cluster.effects("cancel at completion") > 0, "seed {seed}");
        settle(&mut cluster, &format!("seed {seed}"));
    }
}

// Guards against treating a write whose response was lost as not applied.
#[test]
fn responses_to_applied_writes_are_lost() {
    for seed in 1..=12 {
        let mut cluster = ready();
        cluster.seed(seed);
        cluster.faults.has_rapid_status_queries = true;
        cluster.faults.cancel_at_completion = 0.3;
        cluster.faults.key_value.delayed_writes = Some(DelayedWrites {
            share: 0.35,
            delay: DelayRange::NONE,
            key_prefix: None,
        });
        for id in 1..=15 {
            cluster.send_submit(id as usize % 3, &job(id, 1 + id as u32 % 3));
            let controller = (id as usize + 1) % 3;
            if id % 4 == 0 {
                cluster.schedule(40 * seed, move |cluster| {
                    cluster.send_cancel(controller, JobId(id));
                });
            }
            cluster.run(300);
        }
        cluster.run(20_000);
        let leader = cluster.leader();
        cluster.crash(leader);
        cluster.run(6_000);
        cluster.start(leader);
        cluster.run(20_000);
        assert!(cluster.effects("delayed write applied") > 10, "seed {seed}");
        settle(&mut cluster, &format!("seed {seed}"));
    }
}

/// Returns a cluster in which two jobs use the whole limit of team red, a third job of the team waits, and a job of
/// another team runs.
fn team_at_its_limit() -> Cluster {
    let mut cluster = ready_with_boot_time(50.0);
    cluster.capacity = 8;
    cluster.task_run_ms = 60_000;
    cluster.submit(0, &red_job(1, 4));
    cluster.submit(1, &red_job(2, 4));
    cluster.until("tasks", 30_000, |cluster| cluster.running().len() == 8);
    cluster.submit(2, &red_job(3, 8));
    cluster.submit(2, &long_job(4, 12));
    cluster.until("more tasks", 30_000, |cluster| {
        cluster.running().len() == 20
    });
    cluster
}

// Guards against a new leader that does not count tasks of cancelled jobs that still run.
#[test]
fn jobs_on_hung_machines_are_cancelled_as_the_leader_changes() {
    for all_crash in [false, true] {
        for crash_ms in (0..4_000).step_by(400) {
            let case = format!("all crash: {all_crash}, the leader crashes after {crash_ms}");
            let mut cluster = team_at_its_limit();
            let leader = cluster.leader();
            for id in machines_of_job(&cluster, 1) {
                cluster.hang(&id, 9_000);
            }
            for id in machines_of_job(&cluster, 2) {
                cluster.faults.unreachable_machines.insert(id);
            }
            cluster.run(1_000);
            for id in 1..=2 {
                cluster.send_cancel(other_controllers(leader)[0], JobId(id));
            }
            cluster.run(crash_ms);
            let crashed_controllers: Vec<usize> =
                (0..3).filter(|n| all_crash || *n == leader).collect();
            crashed_controllers
                .iter()
                .for_each(|controller| cluster.crash(*controller));
            cluster.run(300);
            crashed_controllers
                .iter()
                .for_each(|controller| cluster.start(*controller));
            let epoch = cluster.epoch();
            cluster.run(6_000);
            // Repeats requests that may not have been answered.
            for id in 1..=2 {
                cluster.send_cancel(other_controllers(leader)[0], JobId(id));
            }
            cluster.run(2_000);
            assert!(cluster.epoch() > epoch, "{case}: the leader did not change");
            cluster.faults.unreachable_machines.clear();
            cluster.run(25_000);
            assert!(cluster.invariants.any_cancelled(), "{case}");
            settle(&mut cluster, &case);
        }
    }
}

// Guards against a new leader that misses a cancellation while it reads the final states of other jobs.
#[test]
fn jobs_are_cancelled_while_a_new_leader_reads_final_states() {
    for cancel_ms in (0..300).step_by(4) {
        let case = format!("cancelled {cancel_ms} ms after the epoch began");
        let mut cluster = ready_with_boot_time(50.0);
        cluster.capacity = 8;
        cluster.task_run_ms = 40_000;
        for id in 1..=4 {
            cluster.submit(0, &red_job(id, 2));
        }
        cluster.until("tasks", 30_000, |cluster| cluster.running().len() == 8);
        cluster.submit(2, &red_job(9, 8));
        // Capacity for the job that waits for its team's limit.
        for _ in 0..3 {
            cluster.create_machine("a", true, 0);
        }
        cluster.run(4_000);
        let leader = cluster.leader();
        for id in 1..=4 {
            for machine in machines_of_job(&cluster, id) {
                cluster.faults.unreachable_machines.insert(machine);
            }
        }
        // The new leader reads the final state of job 1.
        cluster.send_cancel(other_controllers(leader)[0], JobId(1));
        cluster.run(300);
        cluster.crash(leader);
        let epoch = cluster.epoch();
        while cluster.epoch() == epoch {
            cluster.run(1);
        }
        cluster.run(cancel_ms);
        for id in 2..=4 {
            cluster.send_cancel(other_controllers(leader)[1], JobId(id));
        }
        cluster.run(8_000);
        assert!(cluster.invariants.any_cancelled(), "{case}");
        let violations = &cluster.invariants.violations;
        assert!(violations.is_empty(), "{case}: {violations:?}");
    }
}

// Guards against tasks that no controller stops because their owner changes.
#[test]
fn jobs_are_cancelled_during_a_partition_handover() {
    for is_leader in [false, true] {
        for cancel_ms in (0..9_000).step_by(450) {
            let case = format!("leader: {is_leader}, cancelled after {cancel_ms}");
            let mut cluster = with_running_jobs(6, 120_000);
            let leader = cluster.leader();
            let restarted_controller = if is_leader {
                leader
            } else {
                other_controllers(leader)[0]
            };
            let owned_machines = cluster.workers_reporting_to(restarted_controller);
            cluster.restart(restarted_controller, 2_000);
            cluster.run(cancel_ms);
            for id in 1..=6 {
                cluster.send_cancel(
                    other_controllers(restarted_controller)[id as usize % 2],
                    JobId(id),
                );
            }
            cluster.run(6_000);
            // Repeats requests that may not have been answered.
            for id in 1..=6 {
                cluster.send_cancel(
                    other_controllers(restarted_controller)[id as usize % 2],
                    JobId(id),
                );
            }
            cluster.run(45_000);
            assert!(cluster.invariants.any_cancelled(), "{case}");
            assert!(
                owned_machines > 0,
                "{case}: the controller owned no machines"
            );
            settle(&mut cluster, &case);
            assert_eq!(cluster.running(), Vec::new());
        }
    }
}

// Guards against machines and tasks that no controller tracks.
#[test]
fn new_machines_get_tasks_while_writes_lag_and_the_leader_crashes() {
    for seed in 1..=4 {
        for crash_ms in (1_200..6_000).step_by(300) {
            let case = format!("seed {seed}, the leader crashes after {crash_ms}");
            let mut cluster = ready();
            cluster.seed(seed);
            cluster.boot_ms = 1_500;
            cluster.list_lag_ms = 6_000;
            cluster.task_run_ms = 20_000;
            cluster.submit(0, &long_job(1, 16));
            cluster.faults.key_value.delayed_writes = Some(DelayedWrites {
                share: 0.4,
                delay: DelayRange {
                    min_ms: 2_000,
                    max_ms: 12_000,
                },
                key_prefix: None,
            });
            cluster.run(crash_ms);
            let leader = cluster.leader();
            cluster.crash(leader);
            cluster.run(3_000);
            cluster.start(leader);
            cluster.run(20_000);
            assert!(cluster.effects("delayed write applied") > 0, "{case}");
            settle(&mut cluster, &case);
        }
    }
}

// Guards against an epoch that starts from heartbeats of an earlier one.
#[test]
fn old_heartbeats_reach_all_controllers_as_an_epoch_begins() {
    for has_hung_machine in [false, true] {
        for crash_ms in (0..5_000).step_by(250) {
            let case =
                format!("hung machine: {has_hung_machine}, the leader crashes after {crash_ms}");
            let mut cluster = with_running_jobs(4, 14_000);
            cluster.submit(0, &long_job(9, 16));
            cluster.faults.heartbeats.is_copied_for_next_leader = true;
            cluster.run(2_500);
            if has_hung_machine {
                let id = cluster.task_starts[0].machine.clone();
                cluster.hang(&id, 12_000);
            }
            cluster.run(crash_ms);
            let leader = cluster.leader();
            cluster.crash(leader);
            cluster.run(400);
            cluster.start(leader);
            cluster.run(12_000);
            assert!(cluster.effects("copy for the next leader") > 0, "{case}");
            settle(&mut cluster, &case);
            assert!(cluster.all_done(9, 16));
        }
    }
}

// Guards against exhausted write shares, completion caches and look-ups under a stream of small jobs.
#[test]
fn a_stream_of_one_task_jobs_with_cancellations() {
    let mut cluster = ready();
    cluster.capacity = 20;
    cluster.task_run_ms = 3_000;
    cluster.seed(7);
    let jobs = 4 * 120;
    for id in 1..=jobs {
        cluster.send_submit(id as usize % 3, &job(id, 1));
        if id % 4 == 0 {
            let wait_ms = 30 + (id * 7_919) % 9_000;
            let controller = (id / 4) as usize % 3;
            cluster.schedule(wait_ms, move |cluster| {
                cluster.send_cancel(controller, JobId(id));
            });
        }
        if id == 200 {
            let leader = cluster.leader();
            cluster.restart(leader, 4_000);
        }
        cluster.run(250);
    }
    assert!(cluster.invariants.accepted_jobs().len() > jobs as usize * 9 / 10);
    assert!(cluster.invariants.any_cancelled());
    settle(&mut cluster, "a stream of small jobs");
    let starts_after_cancel = cluster.invariants.starts_after_cancel;
    assert!(
        starts_after_cancel <= 6,
        "{starts_after_cancel} starts after a confirmed cancellation"
    );
}
