//! Combinations of faults that the users asked for first: a refused leader followed by an outage, and seven others.

use worksshunt_wire::JobId;

use super::{busy, machines_of, others, red, settle};
use crate::{long_job, ready, ready_with_boots_of};
use worksshunt_simulation::{job, Cluster, DelayRange, DelayedWrites};

// Guards against a leader that goes on renewing leases of tasks whose cancellation it cannot know.
#[test]
fn the_leader_is_refused_then_an_outage_lasts_longer_than_the_cancel_time() {
    for outage_ms in [17_000, 24_000, 63_500] {
        for cancel_ms in (0..2_400).step_by(200) {
            let moment = format!("outage {outage_ms}, cancelled after {cancel_ms}");
            let mut cluster = busy(6, 120_000);
            let leader = cluster.leader();
            cluster.faults.key_value.refused_controllers.insert(leader);
            cluster.run(cancel_ms);
            for id in 1..=4 {
                cluster.send_cancel(others(leader)[id as usize % 2], JobId(id));
            }
            cluster.run(2_400 - cancel_ms);
            cluster.faults.key_value.is_down = true;
            cluster.schedule(12_000, |cluster| {
                cluster.faults.key_value.refused_controllers.clear()
            });
            cluster.run(outage_ms);
            assert!(
                cluster.invariants.any_cancelled(),
                "{moment}: none was confirmed"
            );
            assert!(cluster.effects("refused") > 0, "{moment}");
            cluster.faults.key_value.is_down = false;
            cluster.run(40_000);
            settle(&mut cluster, &moment);
        }
    }
}

// Guards against a controller that knows the epoch, but not what was cancelled: its reads of the one are
// answered and its watch of the other is not.
#[test]
fn a_controller_whose_watch_is_never_answered_stops_renewing_leases() {
    for after_ms in [0, 700, 5_000] {
        let mut cluster = busy(6, 200_000);
        cluster.faults.key_value.unanswered_watches_of = (0..3).collect();
        cluster.run(after_ms);
        let second = others(cluster.leader())[0];
        for id in 1..=4 {
            cluster.send_cancel(second, JobId(id));
        }
        cluster.run(1_000);
        assert!(cluster.invariants.any_cancelled());
        cluster.run(40_000);
        assert!(cluster.effects("unanswered watch") > 0);
        settle(&mut cluster, &format!("after {after_ms}"));
    }
}

// Guards against a controller that answers from what it knew before another one's answer.
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

// Guards against lost responses of the key-value store that are taken for refusals: the write was applied.
#[test]
fn only_the_response_to_a_write_is_lost_while_others_read_it() {
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

/// A cluster in which two jobs use up the limit of team red, a third of that team waits, and others run.
fn team_at_its_limit() -> Cluster {
    let mut cluster = ready_with_boots_of(50.0);
    cluster.capacity = 8;
    cluster.task_run_ms = 60_000;
    cluster.submit(0, &red(1, 4));
    cluster.submit(1, &red(2, 4));
    cluster.until("tasks", 30_000, |cluster| cluster.running().len() == 8);
    cluster.submit(2, &red(3, 8));
    cluster.submit(2, &long_job(4, 12));
    cluster.until("more tasks", 30_000, |cluster| {
        cluster.running().len() == 20
    });
    cluster
}

// Guards against a new leader that takes tasks of cancelled jobs for nothing while they are still there.
#[test]
fn a_team_at_its_limit_has_jobs_cancelled_on_hung_machines_as_the_leader_changes() {
    for all in [false, true] {
        for crash_ms in (0..4_000).step_by(400) {
            let moment = format!("all {all}, the leader crashes after {crash_ms}");
            let mut cluster = team_at_its_limit();
            let leader = cluster.leader();
            for id in machines_of(&cluster, 1) {
                cluster.hang(&id, 9_000);
            }
            for id in machines_of(&cluster, 2) {
                cluster.faults.unreachable_machines.insert(id);
            }
            cluster.run(1_000);
            for id in 1..=2 {
                cluster.send_cancel(others(leader)[0], JobId(id));
            }
            cluster.run(crash_ms);
            let gone: Vec<usize> = (0..3).filter(|n| all || *n == leader).collect();
            gone.iter()
                .for_each(|controller| cluster.crash(*controller));
            cluster.run(300);
            gone.iter()
                .for_each(|controller| cluster.start(*controller));
            let epoch = cluster.epoch();
            cluster.run(6_000);
            // Whoever got no answer asks again.
            for id in 1..=2 {
                cluster.send_cancel(others(leader)[0], JobId(id));
            }
            cluster.run(2_000);
            assert!(
                cluster.epoch() > epoch,
                "{moment}: the leader did not change"
            );
            cluster.faults.unreachable_machines.clear();
            cluster.run(25_000);
            assert!(cluster.invariants.any_cancelled(), "{moment}");
            settle(&mut cluster, &moment);
        }
    }
}

// Guards against a job that is cancelled while a new leader asks how others have ended (found by a day of mixed
// faults).
#[test]
fn jobs_are_cancelled_while_a_new_leader_reads_how_others_ended() {
    for cancel_ms in (0..300).step_by(4) {
        let moment = format!("cancelled {cancel_ms} ms after the epoch began");
        let mut cluster = ready_with_boots_of(50.0);
        cluster.capacity = 8;
        cluster.task_run_ms = 40_000;
        for id in 1..=4 {
            cluster.submit(0, &red(id, 2));
        }
        cluster.until("tasks", 30_000, |cluster| cluster.running().len() == 8);
        cluster.submit(2, &red(9, 8));
        // Capacity for what waits at the limit.
        for _ in 0..3 {
            cluster.create_machine("a", true, 0);
        }
        cluster.run(4_000);
        let leader = cluster.leader();
        for id in 1..=4 {
            for machine in machines_of(&cluster, id) {
                cluster.faults.unreachable_machines.insert(machine);
            }
        }
        // The new leader looks up its final state.
        cluster.send_cancel(others(leader)[0], JobId(1));
        cluster.run(300);
        cluster.crash(leader);
        let epoch = cluster.epoch();
        while cluster.epoch() == epoch {
            cluster.run(1);
        }
        cluster.run(cancel_ms);
        for id in 2..=4 {
            cluster.send_cancel(others(leader)[1], JobId(id));
        }
        cluster.run(8_000);
        assert!(cluster.invariants.any_cancelled(), "{moment}");
        let broken = &cluster.invariants.violations;
        assert!(broken.is_empty(), "{moment}: {broken:?}");
    }
}

// Guards against tasks that lose the one who was to stop them.
#[test]
fn jobs_are_cancelled_while_a_controllers_partition_is_handed_over() {
    for leads in [false, true] {
        for cancel_ms in (0..9_000).step_by(450) {
            let moment = format!("leader {leads}, cancelled after {cancel_ms}");
            let mut cluster = busy(6, 120_000);
            let leader = cluster.leader();
            let gone = if leads { leader } else { others(leader)[0] };
            let owned = cluster.workers_reporting_to(gone);
            cluster.restart(gone, 2_000);
            cluster.run(cancel_ms);
            for id in 1..=6 {
                cluster.send_cancel(others(gone)[id as usize % 2], JobId(id));
            }
            cluster.run(6_000);
            // Whoever got no answer asks again.
            for id in 1..=6 {
                cluster.send_cancel(others(gone)[id as usize % 2], JobId(id));
            }
            cluster.run(45_000);
            assert!(cluster.invariants.any_cancelled(), "{moment}");
            assert!(owned > 0, "{moment}: it had no work");
            settle(&mut cluster, &moment);
            assert_eq!(cluster.running(), Vec::new());
        }
    }
}

// Guards against machines unknown to all controllers, with tasks unknown to all.
#[test]
fn new_machines_get_tasks_at_once_while_writes_lag_and_the_leader_crashes() {
    for seed in 1..=4 {
        for crash_ms in (1_200..6_000).step_by(300) {
            let moment = format!("seed {seed}, the leader crashes after {crash_ms}");
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
            assert!(cluster.effects("delayed write applied") > 0, "{moment}");
            settle(&mut cluster, &moment);
        }
    }
}

// Guards against a new leader's epoch that begins with what was true in another one.
#[test]
fn old_heartbeats_reach_every_controller_as_a_new_leader_begins() {
    for hung in [false, true] {
        for crash_ms in (0..5_000).step_by(250) {
            let moment = format!("hung {hung}, the leader crashes after {crash_ms}");
            let mut cluster = busy(4, 14_000);
            cluster.submit(0, &long_job(9, 16));
            cluster.faults.heartbeats.is_copied_for_next_leader = true;
            cluster.run(2_500);
            if hung {
                let id = cluster.task_starts[0].machine.clone();
                cluster.hang(&id, 12_000);
            }
            cluster.run(crash_ms);
            let leader = cluster.leader();
            cluster.crash(leader);
            cluster.run(400);
            cluster.start(leader);
            cluster.run(12_000);
            assert!(cluster.effects("copy for the next leader") > 0, "{moment}");
            settle(&mut cluster, &moment);
            assert!(cluster.all_done(9, 16));
        }
    }
}

// Guards against whatever a stream of small jobs wears out: shares of writes, memory of ends, look-ups.
#[test]
fn one_task_jobs_are_submitted_four_a_second_and_a_quarter_is_cancelled() {
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
    settle(&mut cluster, "a stream");
    let late = cluster.invariants.starts_after_cancel;
    assert!(late <= 6, "{late} starts after a confirmed cancellation");
}
