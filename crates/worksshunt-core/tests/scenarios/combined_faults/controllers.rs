//! Faults of controllers and of the key-value store that come together.

use worksshunt_wire::JobId;

use super::{busy, machines_of, others, red, settle, MachineFault};
use crate::{long_job, ready, ready_with_boots_of};
use worksshunt_simulation::job;

// Guards against a fleet whose leases have all run out, taken for one that still runs, or the reverse.
#[test]
fn all_controllers_are_down_for_longer_than_a_lease() {
    for down_ms in (12_000..24_000).step_by(800) {
        let moment = format!("down for {down_ms}");
        let mut cluster = busy(5, 30_000);
        cluster.faults.heartbeats.copies_after_ms = vec![down_ms + 2_000];
        cluster.run(3_000);
        let hung = cluster.task_starts[0].machine.clone();
        cluster.hang(&hung, down_ms - 2_000);
        (0..3).for_each(|controller| cluster.crash(controller));
        cluster.run(down_ms);
        (0..3).for_each(|controller| cluster.start(controller));
        cluster.run(20_000);
        assert!(cluster.effects("heartbeat copy") > 0, "{moment}");
        settle(&mut cluster, &moment);
        assert!((1..=5).all(|id| cluster.all_done(id, 4)), "{moment}");
    }
}

// Guards against former incarnations, and against work that two controllers take for theirs.
#[test]
fn leadership_changes_twice_then_all_controllers_crash_and_one_returns() {
    for restart_ms in [40, 130, 300, 700, 1_100, 2_500, 5_000] {
        for alone in 0..3 {
            let moment = format!("{alone} restarted after {restart_ms}");
            let mut cluster = busy(5, 40_000);
            let leader = cluster.leader();
            cluster.restart(leader, restart_ms);
            cluster.run(restart_ms + 1_500);
            let leader = cluster.leader();
            cluster.restart(leader, restart_ms);
            cluster.run(restart_ms + 700);
            cluster.submit(
                (0..3).find(|n| cluster.is_up(*n)).expect("one"),
                &long_job(9, 4),
            );
            cluster.send_cancel(alone, JobId(1));
            cluster.run(restart_ms);
            (0..3).for_each(|controller| cluster.crash(controller));
            cluster.run(restart_ms);
            cluster.start(alone);
            cluster.run(9_000);
            assert_eq!(cluster.leader(), alone, "{moment}");
            cluster.start((alone + 1) % 3);
            cluster.run(restart_ms);
            cluster.start((alone + 2) % 3);
            cluster.run(20_000);
            settle(&mut cluster, &moment);
        }
    }
}

// Guards against cancellations that fall between the end of the leader's access to the key-value store and everybody's.
#[test]
fn jobs_are_cancelled_at_the_moment_the_leader_alone_is_refused() {
    for step in 0..16 {
        let cancel_ms = step * 60;
        let moment = format!("cancelled {cancel_ms} around it");
        let mut cluster = busy(6, 120_000);
        let leader = cluster.leader();
        let controller = others(leader)[step as usize % 2];
        cluster.schedule(300, move |cluster| {
            cluster.faults.key_value.refused_controllers.insert(leader);
        });
        cluster.schedule(cancel_ms, move |cluster| {
            for id in 1..=4 {
                cluster.send_cancel(controller, JobId(id));
            }
        });
        cluster.schedule(1_300, |cluster| cluster.faults.key_value.is_down = true);
        cluster.run(33_000 + 1_300);
        assert!(
            cluster.invariants.any_cancelled() && cluster.effects("refused") > 0,
            "{moment}"
        );
        cluster.faults.key_value.is_down = false;
        cluster.faults.key_value.refused_controllers.clear();
        cluster.run(35_000);
        settle(&mut cluster, &moment);
    }
}

// Guards against a team's use that a new leader counts too low before every owner has sent its status.
#[test]
fn a_team_is_at_its_limit_when_the_leader_changes_and_machines_are_unreachable() {
    for fault in MachineFault::ALL {
        for cancel_ms in (0..6_000).step_by(600) {
            let moment = format!("{fault:?}, cancelled after {cancel_ms}");
            let mut cluster = ready_with_boots_of(50.0);
            cluster.task_run_ms = 40_000;
            cluster.submit(0, &red(1, 8));
            cluster.until("tasks", 30_000, |cluster| cluster.running().len() == 8);
            cluster.submit(1, &red(2, 8));
            cluster.run(1_000);
            for id in machines_of(&cluster, 1) {
                fault.apply(&mut cluster, &id, 12_000);
            }
            cluster.run(500);
            let leader = cluster.leader();
            cluster.crash(leader);
            let controller = others(leader)[0];
            cluster.schedule(cancel_ms, move |cluster| {
                cluster.send_cancel(controller, JobId(1));
            });
            cluster.run(6_500);
            cluster.start(leader);
            cluster.run(7_000);
            assert!(cluster.invariants.any_cancelled(), "{moment}");
            cluster.faults.unreachable_machines.clear();
            cluster.faults.heartbeats.lost_from.clear();
            cluster.run(30_000);
            settle(&mut cluster, &moment);
            assert!(cluster.all_done(2, 8), "{moment}");
        }
    }
}

// Guards against a completion that a change of leaders forgets, or takes for the job's end.
#[test]
fn tasks_of_small_jobs_end_far_apart_across_a_change_of_leader() {
    for crash_ms in (0..12_000).step_by(400) {
        let moment = format!("the leader crashes after {crash_ms}");
        let mut cluster = ready();
        cluster.task_run_ms = 3_000;
        cluster.run_spread_ms = 6_000;
        cluster.faults.has_rapid_status_queries = true;
        for id in 1..=6 {
            cluster.send_submit(id as usize % 3, &job(id, 2 + id as u32 % 2));
        }
        cluster.until("a task's end", 30_000, |cluster| {
            (1..=6).any(|id| cluster.all_done(id, 1))
        });
        cluster.run(crash_ms);
        let leader = cluster.leader();
        cluster.restart(leader, if crash_ms % 800 == 0 { 300 } else { 5_000 });
        cluster.run(12_000);
        assert!(cluster.effects("rapid status query") > 0, "{moment}");
        settle(&mut cluster, &moment);
        let (tasks, starts) = (15, cluster.task_starts.len());
        assert_eq!(starts, tasks, "{moment}: each task ran once");
    }
}

// Guards against epochs that end before they have begun.
#[test]
fn leaders_change_ten_times_in_two_minutes_also_inside_an_outage() {
    for outage_ms in [0, 3_000, 9_000] {
        for every_ms in [4_000, 7_300, 12_000] {
            let moment = format!("every {every_ms}, outages of {outage_ms}");
            let mut cluster = busy(5, 60_000);
            let first = cluster.epoch();
            for change in 0..10 {
                let leader = cluster.leader();
                cluster.restart(leader, 200 + 450 * (change % 4));
                if outage_ms > 0 && change % 3 == 1 {
                    cluster.schedule(600, |cluster| cluster.faults.key_value.is_down = true);
                    cluster.schedule(600 + outage_ms, |cluster| {
                        cluster.faults.key_value.is_down = false
                    });
                }
                let controller = others(leader)[0];
                cluster.send_cancel(controller, JobId(1 + change % 2));
                cluster.send_submit(controller, &job(20 + change, 3));
                cluster.run(every_ms);
            }
            cluster.run(10_000);
            assert!(
                cluster.epoch() >= first + 5,
                "{moment}: {}",
                cluster.epoch()
            );
            settle(&mut cluster, &moment);
        }
    }
}

// Guards against a leader that only its workers and users are left to.
#[test]
fn a_leader_cut_off_keeps_its_workers_while_jobs_are_cancelled_through_the_new_one() {
    for cancel_ms in (0..14_000).step_by(700) {
        let moment = format!("cancelled after {cancel_ms}");
        let mut cluster = busy(6, 100_000);
        let leader = cluster.leader();
        cluster.faults.key_value.unreachable_from.insert(leader);
        cluster.faults.cut_from_peers.insert(leader);
        cluster.run(cancel_ms);
        let controller = others(leader)[0];
        for id in 1..=6 {
            cluster.send_cancel(controller, JobId(id));
            cluster.send_status(leader, JobId(id));
        }
        cluster.run(6_000);
        for id in 1..=6 {
            cluster.send_cancel(controller, JobId(id));
            cluster.send_status(leader, JobId(id));
        }
        cluster.run(30_000);
        assert_ne!(cluster.leader(), leader, "{moment}");
        assert!(cluster.invariants.any_cancelled(), "{moment}");
        settle(&mut cluster, &moment);
        assert_eq!(cluster.running(), Vec::new(), "{moment}");
    }
}

// Guards against a controller that wakes in the middle of what it had decided long ago, and acts on it.
#[test]
fn a_controller_pauses_for_longer_than_a_lease_and_resumes_where_it_stopped() {
    for pause_ms in [1_500, 5_000, 12_000, 19_000, 27_000] {
        for step in 0..6 {
            let moment = format!("paused for {pause_ms} from step {step}");
            let mut cluster = busy(4, 25_000);
            let controller = (cluster.leader() + step as usize) % 3;
            cluster.submit(others(controller)[0], &red(8, 8));
            cluster.submit(others(controller)[0], &long_job(9, 8));
            cluster.run(step * 13);
            cluster.pause(controller, pause_ms);
            cluster.run(700);
            for id in [1, 8] {
                cluster.send_cancel(others(controller)[0], JobId(id));
            }
            cluster.submit(others(controller)[0], &red(10, 8));
            cluster.run(pause_ms);
            assert_eq!(cluster.effects("pause"), 1, "{moment}");
            cluster.run(22_000);
            settle(&mut cluster, &moment);
            assert!(
                cluster.all_done(9, 8) && cluster.all_done(10, 8),
                "{moment}"
            );
        }
    }
}
