//! Combinations of faults of controllers and of the key-value store.

use worksshunt_wire::JobId;

use super::{machines_of_job, other_controllers, red_job, settle, with_running_jobs, MachineFault};
use crate::{long_job, ready, ready_with_boot_time};
use worksshunt_simulation::job;

// Guards against treating tasks as running after all leases have expired, or as ended before that.
#[test]
fn all_controllers_are_down_for_longer_than_a_lease() {
    for down_ms in (12_000..24_000).step_by(800) {
        let case = format!("down for {down_ms}");
        let mut cluster = with_running_jobs(5, 30_000);
        cluster.faults.heartbeats.copies_after_ms = vec![down_ms + 2_000];
        cluster.run(3_000);
        let hung_machine = cluster.task_starts[0].machine.clone();
        cluster.hang(&hung_machine, down_ms - 2_000);
        (0..3).for_each(|controller| cluster.crash(controller));
        cluster.run(down_ms);
        (0..3).for_each(|controller| cluster.start(controller));
        cluster.run(20_000);
        assert!(cluster.effects("heartbeat copy") > 0, "{case}");
        settle(&mut cluster, &case);
        assert!((1..=5).all(|id| cluster.all_done(id, 4)), "{case}");
    }
}

// Guards against confusing incarnations of a controller, and against two owners of the same machines.
#[test]
fn leader_changes_twice_then_all_crash_and_one_restarts() {
    for restart_ms in [40, 130, 300, 700, 1_100, 2_500, 5_000] {
        for restarted_controller in 0..3 {
            let case = format!("{restarted_controller} restarted after {restart_ms}");
            let mut cluster = with_running_jobs(5, 40_000);
            let leader = cluster.leader();
            cluster.restart(leader, restart_ms);
            cluster.run(restart_ms + 1_500);
            let leader = cluster.leader();
            cluster.restart(leader, restart_ms);
            cluster.run(restart_ms + 700);
            cluster.submit(
                (0..3)
                    .find(|n| cluster.is_up(*n))
                    .expect("a running controller"),
                &long_job(9, 4),
            );
            cluster.send_cancel(restarted_controller, JobId(1));
            cluster.run(restart_ms);
            (0..3).for_each(|controller| cluster.crash(controller));
            cluster.run(restart_ms);
            cluster.start(restarted_controller);
            cluster.run(9_000);
            assert_eq!(cluster.leader(), restarted_controller, "{case}");
            cluster.start((restarted_controller + 1) % 3);
            cluster.run(restart_ms);
            cluster.start((restarted_controller + 2) % 3);
            cluster.run(20_000);
            settle(&mut cluster, &case);
        }
    }
}

// Guards against missed cancellations between the leader's loss of the key-value store and a complete outage.
#[test]
fn jobs_are_cancelled_as_the_store_refuses_the_leader() {
    for step in 0..16 {
        let cancel_ms = step * 60;
        let case = format!("cancelled after {cancel_ms}");
        let mut cluster = with_running_jobs(6, 120_000);
        let leader = cluster.leader();
        let controller = other_controllers(leader)[step as usize % 2];
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
            "{case}"
        );
        cluster.faults.key_value.is_down = false;
        cluster.faults.key_value.refused_controllers.clear();
        cluster.run(35_000);
        settle(&mut cluster, &case);
    }
}

// Guards against a new leader that undercounts a team's use before every owner has sent its status.
#[test]
fn team_at_its_limit_with_a_leader_change_and_unreachable_machines() {
    for fault in MachineFault::ALL {
        for cancel_ms in (0..6_000).step_by(600) {
            let case = format!("{fault:?}, cancelled after {cancel_ms}");
            let mut cluster = ready_with_boot_time(50.0);
            cluster.task_run_ms = 40_000;
            cluster.submit(0, &red_job(1, 8));
            cluster.until("tasks", 30_000, |cluster| cluster.running().len() == 8);
            cluster.submit(1, &red_job(2, 8));
            cluster.run(1_000);
            for id in machines_of_job(&cluster, 1) {
                fault.apply(&mut cluster, &id, 12_000);
            }
            cluster.run(500);
            let leader = cluster.leader();
            cluster.crash(leader);
            let controller = other_controllers(leader)[0];
            cluster.schedule(cancel_ms, move |cluster| {
                cluster.send_cancel(controller, JobId(1));
            });
            cluster.run(6_500);
            cluster.start(leader);
            cluster.run(7_000);
            assert!(cluster.invariants.any_cancelled(), "{case}");
            cluster.faults.unreachable_machines.clear();
            cluster.faults.heartbeats.lost_from.clear();
            cluster.run(30_000);
            settle(&mut cluster, &case);
            assert!(cluster.all_done(2, 8), "{case}");
        }
    }
}

// Guards against a completion that is lost in a leader change or ends the whole job.
#[test]
fn tasks_of_small_jobs_complete_across_a_leader_change() {
    for crash_ms in (0..12_000).step_by(400) {
        let case = format!("the leader crashes after {crash_ms}");
        let mut cluster = ready();
        cluster.task_run_ms = 3_000;
        cluster.run_spread_ms = 6_000;
        cluster.faults.has_rapid_status_queries = true;
        for id in 1..=6 {
            cluster.send_submit(id as usize % 3, &job(id, 2 + id as u32 % 2));
        }
        cluster.until("a completed task", 30_000, |cluster| {
            (1..=6).any(|id| cluster.all_done(id, 1))
        });
        cluster.run(crash_ms);
        let leader = cluster.leader();
        cluster.restart(leader, if crash_ms % 800 == 0 { 300 } else { 5_000 });
        cluster.run(12_000);
        assert!(cluster.effects("rapid status query") > 0, "{case}");
        settle(&mut cluster, &case);
        let (task_count, start_count) = (15, cluster.task_starts.len());
        assert_eq!(start_count, task_count, "{case}: each task ran once");
    }
}

// Guards against epochs that end before their records are loaded.
#[test]
fn ten_leader_changes_in_two_minutes_with_outages() {
    for outage_ms in [0, 3_000, 9_000] {
        for interval_ms in [4_000, 7_300, 12_000] {
            let case = format!("every {interval_ms}, outages of {outage_ms}");
            let mut cluster = with_running_jobs(5, 60_000);
            let first_epochs = cluster.epoch_count();
            for change in 0..10 {
                let leader = cluster.leader();
                cluster.restart(leader, 200 + 450 * (change % 4));
                if outage_ms > 0 && change % 3 == 1 {
                    cluster.schedule(600, |cluster| cluster.faults.key_value.is_down = true);
                    cluster.schedule(600 + outage_ms, |cluster| {
                        cluster.faults.key_value.is_down = false
                    });
                }
                let controller = other_controllers(leader)[0];
                cluster.send_cancel(controller, JobId(1 + change % 2));
                cluster.send_submit(controller, &job(20 + change, 3));
                cluster.run(interval_ms);
            }
            cluster.run(10_000);
            assert!(
                cluster.epoch_count() >= first_epochs + 5,
                "{case}: {}",
                cluster.epoch_count()
            );
            settle(&mut cluster, &case);
        }
    }
}

// Guards against a leader that reaches only its workers and users and continues to act.
#[test]
fn jobs_are_cancelled_while_the_old_leader_reaches_only_its_workers() {
    for cancel_ms in (0..14_000).step_by(700) {
        let case = format!("cancelled after {cancel_ms}");
        let mut cluster = with_running_jobs(6, 100_000);
        let leader = cluster.leader();
        cluster.faults.key_value.unreachable_from.insert(leader);
        cluster.faults.cut_from_peers.insert(leader);
        cluster.run(cancel_ms);
        let controller = other_controllers(leader)[0];
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
        assert_ne!(cluster.leader(), leader, "{case}");
        assert!(cluster.invariants.any_cancelled(), "{case}");
        settle(&mut cluster, &case);
        assert_eq!(cluster.running(), Vec::new(), "{case}");
    }
}

// Guards against a controller that acts on outdated state after a pause.
#[test]
fn a_paused_controller_resumes_with_outdated_state() {
    for pause_ms in [1_500, 5_000, 12_000, 19_000, 27_000] {
        for step in 0..6 {
            let case = format!("paused for {pause_ms} from step {step}");
            let mut cluster = with_running_jobs(4, 25_000);
            let controller = (cluster.leader() + step as usize) % 3;
            cluster.submit(other_controllers(controller)[0], &red_job(8, 8));
            cluster.submit(other_controllers(controller)[0], &long_job(9, 8));
            cluster.run(step * 13);
            cluster.pause(controller, pause_ms);
            cluster.run(700);
            for id in [1, 8] {
                cluster.send_cancel(other_controllers(controller)[0], JobId(id));
            }
            cluster.submit(other_controllers(controller)[0], &red_job(10, 8));
            cluster.run(pause_ms);
            assert_eq!(cluster.effects("pause"), 1, "{case}");
            cluster.run(22_000);
            settle(&mut cluster, &case);
            assert!(cluster.all_done(9, 8) && cluster.all_done(10, 8), "{case}");
        }
    }
}
