//! The other combined_faults that the users have seen break rules.

use serde_json::json;
use worksshunt_core::controller::Event;
use worksshunt_wire::JobId;

use super::{busy, machines_of, others, red, settle};
use crate::cluster::{job, LateWrites};
use crate::{long_job, ready, ready_with_boots_of};

// Guards against answers that come after their sender has given up, taken for none.
#[test]
fn the_state_service_answers_slowly_while_users_cancel_and_ask() {
    for slow_ms in [350, 900, 1_400, 1_600] {
        for cancel_ms in [0, 450, 2_000] {
            let moment = format!("{slow_ms} slower, cancelled after {cancel_ms}");
            let mut cluster = busy(5, 40_000);
            cluster.trouble.close_looks = true;
            cluster.trouble.state_slow_ms = slow_ms;
            cluster.run(cancel_ms);
            for id in 1..=3 {
                cluster.send_withdraw(id as usize % 3, JobId(id));
            }
            cluster.send_submit(1, &job(7, 2));
            cluster.run(9_000);
            cluster.trouble.state_slow_ms = 0;
            for id in 1..=3 {
                cluster.send_withdraw(id as usize % 3, JobId(id));
            }
            cluster.run(32_000);
            assert!(cluster.rules.any_cancelled(), "{moment}");
            assert!(cluster.effects("close look") > 0, "{moment}");
            settle(&mut cluster, &moment);
        }
    }
}

// Guards against a former epoch's words that reach a leader which has acted already.
#[test]
fn a_report_is_held_back_until_a_new_leader_has_acted() {
    for release_ms in (0..10_000).step_by(500) {
        let moment = format!("released after {release_ms}");
        let mut cluster = busy(4, 12_000);
        cluster.submit(1, &long_job(9, 12));
        let held = cluster.starts[0].2.clone();
        cluster.trouble.hold_reports.insert(held.clone());
        cluster.run(4_000);
        let leader = cluster.leader();
        cluster.bounce(leader, 400);
        cluster.run(6_000 + release_ms);
        assert_ne!(cluster.epoch(), 1, "{moment}");
        assert!(cluster.release_reports(&[0, 1, 2]) > 0, "{moment}");
        cluster.run(3_000);
        cluster.trouble.hold_reports.clear();
        cluster.run(15_000);
        settle(&mut cluster, &moment);
        assert!(cluster.all_done(9, 12));
    }
}

// Guards against machines that a new leader takes for empty, or for dead before their lease is over.
#[test]
fn a_leader_ends_while_machines_with_long_tasks_cannot_be_reached() {
    for how in ["deaf", "mute", "hung"] {
        for crash_ms in (0..16_000).step_by(1_600) {
            let moment = format!("{how}, the leader ends after {crash_ms}");
            let mut cluster = busy(4, 45_000);
            let ids = machines_of(&cluster, 1);
            for id in &ids {
                match how {
                    "deaf" => {
                        cluster.trouble.deaf.insert(id.clone());
                    }
                    "mute" => {
                        cluster.trouble.mute.insert(id.clone());
                    }
                    _ => cluster.hang(id, 13_000),
                }
            }
            cluster.submit(1, &long_job(9, 8));
            cluster.run(crash_ms);
            let leader = cluster.leader();
            let epoch = cluster.epoch();
            cluster.bounce(leader, 3_000);
            cluster.run(14_000);
            assert!(cluster.epoch() > epoch, "{moment}");
            cluster.trouble.deaf.clear();
            cluster.trouble.mute.clear();
            cluster.run(20_000);
            settle(&mut cluster, &moment);
        }
    }
}

// Guards against a fleet whose leases have all run out, taken for one that still runs, or the reverse.
#[test]
fn all_controllers_are_away_for_longer_than_a_lease() {
    for away_ms in (12_000..24_000).step_by(800) {
        let moment = format!("away for {away_ms}");
        let mut cluster = busy(5, 30_000);
        cluster.trouble.copies_after_ms = vec![away_ms + 2_000];
        cluster.run(3_000);
        let hung = cluster.starts[0].2.clone();
        cluster.hang(&hung, away_ms - 2_000);
        (0..3).for_each(|node| cluster.crash(node));
        cluster.run(away_ms);
        (0..3).for_each(|node| cluster.start(node));
        cluster.run(20_000);
        assert!(cluster.effects("copy") > 0, "{moment}");
        settle(&mut cluster, &moment);
        assert!((1..=5).all(|id| cluster.all_done(id, 4)), "{moment}");
    }
}

// Guards against former lives, and against work that two take for theirs.
#[test]
fn controllers_hand_over_and_back_all_end_and_one_returns() {
    for back_ms in [40, 130, 300, 700, 1_100, 2_500, 5_000] {
        for alone in 0..3 {
            let moment = format!("{alone} back after {back_ms}");
            let mut cluster = busy(5, 40_000);
            let leader = cluster.leader();
            cluster.bounce(leader, back_ms);
            cluster.run(back_ms + 1_500);
            let leader = cluster.leader();
            cluster.bounce(leader, back_ms);
            cluster.run(back_ms + 700);
            cluster.submit(
                (0..3).find(|n| cluster.is_up(*n)).expect("one"),
                &long_job(9, 4),
            );
            cluster.send_withdraw(alone, JobId(1));
            cluster.run(back_ms);
            (0..3).for_each(|node| cluster.crash(node));
            cluster.run(back_ms);
            cluster.start(alone);
            cluster.run(9_000);
            assert_eq!(cluster.leader(), alone, "{moment}");
            cluster.start((alone + 1) % 3);
            cluster.run(back_ms);
            cluster.start((alone + 2) % 3);
            cluster.run(20_000);
            settle(&mut cluster, &moment);
        }
    }
}

// Guards against copies that are taken for news: of an earlier report, session or attempt.
#[test]
fn old_reports_arrive_after_newer_ones() {
    for after_ms in [200, 1_300, 4_000, 9_000, 15_500, 17_500, 26_000] {
        let moment = format!("copies after {after_ms}");
        let mut cluster = busy(4, 9_000);
        cluster.submit(0, &long_job(9, 30));
        cluster.trouble.copies_after_ms = vec![after_ms, after_ms + 900];
        let lost = cluster.starts[0].2.clone();
        // Its lease runs out, so that its next session has other attempts at the same tasks.
        cluster.hang(&lost, 18_000);
        cluster.run(30_000);
        let leader = cluster.leader();
        cluster.bounce(leader, 500);
        cluster.run(20_000);
        assert!(cluster.effects("copy") > 100, "{moment}");
        settle(&mut cluster, &moment);
        assert!(cluster.all_done(9, 30));
    }
}

// Guards against commands that are carried out when nobody reckons with them any more.
#[test]
fn a_command_is_held_up_for_seconds_and_the_machine_goes_on() {
    for release_ms in (200..14_000).step_by(600) {
        let moment = format!("released after {release_ms}");
        let mut cluster = ready_with_boots_of(50.0);
        cluster.run_ms = 25_000;
        for _ in 0..5 {
            cluster.machine("a", true, 0);
        }
        cluster.run(9_000);
        cluster.trouble.hold_orders = true;
        cluster.submit(0, &long_job(1, 12));
        cluster.submit(1, &red(2, 8));
        cluster.run(2_000);
        cluster.send_withdraw(0, JobId(1));
        cluster.run(release_ms);
        if release_ms % 1_200 == 200 {
            let leader = cluster.leader();
            cluster.bounce(leader, 300);
            cluster.run(1_500);
        }
        assert!(cluster.release_orders() > 0, "{moment}");
        cluster.trouble.hold_orders = false;
        cluster.run(35_000);
        settle(&mut cluster, &moment);
    }
}

// Guards against cancellations that fall between the leader's last word and everybody's.
#[test]
fn jobs_are_cancelled_at_the_moment_the_leader_alone_is_refused() {
    for step in 0..16 {
        let cancel_ms = step * 60;
        let moment = format!("cancelled {cancel_ms} around it");
        let mut cluster = busy(6, 120_000);
        let leader = cluster.leader();
        let node = others(leader)[step as usize % 2];
        cluster.later(300, move |w| {
            w.trouble.refused.insert(leader);
        });
        cluster.later(cancel_ms, move |w| {
            for id in 1..=4 {
                w.send_withdraw(node, JobId(id));
            }
        });
        cluster.later(1_300, |w| w.trouble.state_down = true);
        cluster.run(33_000 + 1_300);
        assert!(
            cluster.rules.any_cancelled() && cluster.effects("refused") > 0,
            "{moment}"
        );
        cluster.trouble.state_down = false;
        cluster.trouble.refused.clear();
        cluster.run(35_000);
        settle(&mut cluster, &moment);
    }
}

// Guards against a team's use that a new leader counts too low before it has heard every owner.
#[test]
fn a_team_is_at_its_limit_when_the_leader_changes_and_machines_cannot_be_asked() {
    for how in ["deaf", "mute", "hung"] {
        for cancel_ms in (0..6_000).step_by(600) {
            let moment = format!("{how}, cancelled after {cancel_ms}");
            let mut cluster = ready_with_boots_of(50.0);
            cluster.run_ms = 40_000;
            cluster.submit(0, &red(1, 8));
            cluster.until("tasks", 30_000, |w| w.running().len() == 8);
            cluster.submit(1, &red(2, 8));
            cluster.run(1_000);
            for id in machines_of(&cluster, 1) {
                match how {
                    "deaf" => {
                        cluster.trouble.deaf.insert(id);
                    }
                    "mute" => {
                        cluster.trouble.mute.insert(id);
                    }
                    _ => cluster.hang(&id, 12_000),
                }
            }
            cluster.run(500);
            let leader = cluster.leader();
            cluster.crash(leader);
            let node = others(leader)[0];
            cluster.later(cancel_ms, move |w| {
                w.send_withdraw(node, JobId(1));
            });
            cluster.run(6_500);
            cluster.start(leader);
            cluster.run(7_000);
            assert!(cluster.rules.any_cancelled(), "{moment}");
            cluster.trouble.deaf.clear();
            cluster.trouble.mute.clear();
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
        let moment = format!("the leader ends after {crash_ms}");
        let mut cluster = ready();
        cluster.run_ms = 3_000;
        cluster.run_spread_ms = 6_000;
        cluster.trouble.close_looks = true;
        for id in 1..=6 {
            cluster.send_submit(id as usize % 3, &job(id, 2 + id as u32 % 2));
        }
        cluster.until("a task's end", 30_000, |w| {
            (1..=6).any(|id| w.all_done(id, 1))
        });
        cluster.run(crash_ms);
        let leader = cluster.leader();
        cluster.bounce(leader, if crash_ms % 800 == 0 { 300 } else { 5_000 });
        cluster.run(12_000);
        assert!(cluster.effects("close look") > 0, "{moment}");
        settle(&mut cluster, &moment);
        let (tasks, starts) = (15, cluster.starts.len());
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
                cluster.bounce(leader, 200 + 450 * (change % 4));
                if outage_ms > 0 && change % 3 == 1 {
                    cluster.later(600, |w| w.trouble.state_down = true);
                    cluster.later(600 + outage_ms, |w| w.trouble.state_down = false);
                }
                let node = others(leader)[0];
                cluster.send_withdraw(node, JobId(1 + change % 2));
                cluster.send_submit(node, &job(20 + change, 3));
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

// Guards against a job that is called cancelled and done, with nothing else going on.
#[test]
fn requests_meet_the_end_of_a_jobs_last_task() {
    for seed in 1..=10 {
        let mut cluster = ready();
        cluster.seed(seed);
        cluster.run_ms = 2_000;
        cluster.trouble.cancel_at_end = 1.0;
        cluster.trouble.close_looks = true;
        for id in 1..=12 {
            cluster.send_submit(id as usize % 3, &job(id, 1 + id as u32 % 4));
            cluster.run(17 * seed);
        }
        cluster.run(25_000);
        assert!(cluster.effects("cancel at end") >= 12, "seed {seed}");
        settle(&mut cluster, &format!("seed {seed}"));
    }
}

// Guards against a write that was given up and undoes newer ones of the same controller.
#[test]
fn transactions_without_an_answer_are_carried_out_after_newer_ones() {
    for seed in 1..=10 {
        let mut cluster = ready();
        cluster.seed(seed);
        cluster.run_ms = 6_000;
        cluster.trouble.close_looks = true;
        cluster.trouble.cancel_at_end = 0.3;
        cluster.trouble.late_writes = Some(LateWrites {
            share: 0.3,
            after_ms: (2_000, 12_000),
        });
        for id in 1..=15 {
            cluster.send_submit(id as usize % 3, &job(id, 1 + id as u32 % 5));
            if id % 4 == 0 {
                cluster.later(200 * seed, move |w| {
                    w.send_withdraw(id as usize % 3, JobId(id));
                });
            }
            cluster.run(400);
        }
        cluster.run(10_000);
        let leader = cluster.leader();
        cluster.bounce(leader, 700);
        cluster.run(20_000);
        assert!(cluster.effects("late write") > 20, "seed {seed}");
        settle(&mut cluster, &format!("seed {seed}"));
        cluster.run(13_000);
        cluster.check();
    }
}

// Guards against zones that are forgotten with the machine, and jobs that wait for one that is gone.
#[test]
fn jobs_bound_to_one_zone_lose_machines() {
    for loss_ms in (0..10_000).step_by(1_000) {
        let moment = format!("lost after {loss_ms}");
        let mut cluster = ready();
        cluster.run_ms = 12_000;
        let bound = |id: u64, field: &str, value: serde_json::Value| {
            let mut bound = long_job(id, 6);
            bound[field] = value;
            bound
        };
        cluster.submit(0, &bound(1, "Patio", json!("b")));
        cluster.submit(1, &bound(2, "SamePlace", json!(true)));
        cluster.submit(2, &bound(3, "Spread", json!(true)));
        cluster.until("tasks", 40_000, |w| w.running().len() >= 12);
        cluster.run(loss_ms);
        let lost: Vec<_> = (1..=3)
            .map(|id| machines_of(&cluster, id)[0].clone())
            .collect();
        for id in lost {
            cluster.workers.remove(&id);
        }
        if loss_ms % 2_000 == 0 {
            let leader = cluster.leader();
            cluster.bounce(leader, 2_000);
        }
        cluster.run(40_000);
        settle(&mut cluster, &moment);
        assert!((1..=3).all(|id| cluster.all_done(id, 6)), "{moment}");
    }
}

// Guards against machines rented over and over in a zone where the job that waits may not run, because its own
// has none and is refused just then (found by days of mixed troubles: the cloud was never asked again in time).
#[test]
fn no_machine_is_rented_in_a_zone_that_may_have_no_more_of_the_tasks_that_wait() {
    let mut cluster = ready();
    cluster.run_ms = 3_000;
    cluster.capacity = 1;
    cluster.trouble.cloud_down = true;
    cluster.machine("a", true, 0);
    let mut spread = long_job(1, 6);
    spread["Spread"] = json!(true);
    cluster.submit(0, &spread);
    cluster.until("the first half", 30_000, |w| w.starts.len() >= 3);
    cluster.trouble.cloud_down = false;
    cluster.until("all tasks", 90_000, |w| w.all_done(1, 6));
    settle(&mut cluster, "spread");
}

// Guards against a leader that only its workers and users are left to.
#[test]
fn a_leader_cut_off_keeps_its_workers_while_jobs_are_cancelled_through_the_new_one() {
    for cancel_ms in (0..14_000).step_by(700) {
        let moment = format!("cancelled after {cancel_ms}");
        let mut cluster = busy(6, 100_000);
        let leader = cluster.leader();
        cluster.trouble.cut_from_state.insert(leader);
        cluster.trouble.cut_from_peers.insert(leader);
        cluster.run(cancel_ms);
        let node = others(leader)[0];
        for id in 1..=6 {
            cluster.send_withdraw(node, JobId(id));
            cluster.send_status(leader, JobId(id));
        }
        cluster.run(6_000);
        for id in 1..=6 {
            cluster.send_withdraw(node, JobId(id));
            cluster.send_status(leader, JobId(id));
        }
        cluster.run(30_000);
        assert_ne!(cluster.leader(), leader, "{moment}");
        assert!(cluster.rules.any_cancelled(), "{moment}");
        settle(&mut cluster, &moment);
        assert_eq!(cluster.running(), Vec::new(), "{moment}");
    }
}

// Guards against tasks that go on, or go to machines that nothing is heard of.
#[test]
fn workers_reach_no_controller_while_direct_commands_reach_them() {
    for mute_ms in (3_000..30_000).step_by(1_800) {
        let moment = format!("mute for {mute_ms}");
        let mut cluster = busy(5, 30_000);
        cluster.trouble.mute = cluster.workers.keys().cloned().collect();
        cluster.send_withdraw(0, JobId(1));
        cluster.submit(1, &long_job(9, 8));
        cluster.run(mute_ms);
        assert!(cluster.effects("unheard report") > 0, "{moment}");
        cluster.trouble.mute.clear();
        cluster.run(30_000);
        settle(&mut cluster, &moment);
        assert!(cluster.all_done(9, 8), "{moment}");
    }
}

// Guards against a lease that is reckoned from the last report although the worker, heard through direct
// orders only, is in a later session, whose lease began with it (found by a day of mixed troubles).
#[test]
fn a_machine_whose_reports_are_lost_begins_another_session_and_answers_orders() {
    let mut sessions = 0;
    for release_ms in (7_000..17_000).step_by(250) {
        let moment = format!("a report arrives after {release_ms}");
        let mut cluster = ready_with_boots_of(50.0);
        cluster.run_ms = 30_000;
        let id = cluster.machine("a", true, 0);
        cluster.run(6_000);
        cluster.trouble.cloud_down = true;
        cluster.trouble.hold_reports.insert(id.clone());
        cluster.run(release_ms);
        assert!(cluster.release_reports(&[0, 1, 2]) > 0, "{moment}");
        for job in 1..=6 {
            cluster.send_submit(0, &long_job(job, 1));
            cluster.run(1_300);
        }
        // By the time at which the lease is taken to be over there is another machine.
        cluster.trouble.cloud_down = false;
        cluster.run(22_000);
        sessions += cluster.session(&id);
        cluster.trouble.hold_reports.clear();
        cluster.run(5_000);
        settle(&mut cluster, &moment);
    }
    assert!(sessions > 40, "no session rose");
}

// Guards against work that waits for ever beside other work, and links that are taken for dead.
#[test]
fn there_is_more_work_than_room_over_slow_links() {
    for slow_ms in [0, 300, 800] {
        let moment = format!("{slow_ms} slower");
        let mut cluster = ready();
        cluster.capacity = 3;
        cluster.run_ms = 4_000;
        cluster.hop_ms = 60;
        cluster.trouble.state_slow_ms = slow_ms;
        for id in 1..=24 {
            let mut job = job(id, 6);
            job["Turno"] = json!(["low", "normal", "urgent"][id as usize % 3]);
            cluster.send_submit(id as usize % 3, &job);
            cluster.run(300);
        }
        cluster.send_withdraw(1, JobId(3));
        cluster.until("a full fleet", 30_000, |w| w.running().len() >= 10);
        settle(&mut cluster, &moment);
    }
}

// Guards against what goes on inside a zone that nobody outside can see.
#[test]
fn a_zone_with_workers_and_a_controller_is_cut_off_for_longer_than_a_lease() {
    for inside in 0..3 {
        for cut_ms in [8_000, 15_000, 19_000, 26_000] {
            let moment = format!("{inside} inside for {cut_ms}");
            let mut cluster = ready_with_boots_of(50.0);
            cluster.run_ms = 60_000;
            for zone in ["a", "b", "a", "b", "a", "b"] {
                cluster.machine(zone, true, 0);
            }
            cluster.run(9_000);
            cluster.submit(0, &long_job(1, 12));
            cluster.submit(1, &red(2, 8));
            cluster.until("tasks", 30_000, |w| w.running().len() == 20);
            cluster.trouble.zone_cut = Some(("b".to_owned(), [inside].into()));
            cluster.run(2_000);
            let node = others(inside)[0];
            cluster.send_withdraw(node, JobId(2));
            cluster.submit(node, &red(3, 8));
            cluster.run(cut_ms);
            assert!(cluster.effects("unheard report") > 0, "{moment}");
            cluster.trouble.zone_cut = None;
            cluster.run(30_000);
            settle(&mut cluster, &moment);
            assert!(
                cluster.all_done(1, 12) && cluster.all_done(3, 8),
                "{moment}"
            );
        }
    }
}

// Guards against a controller that wakes in the middle of what it had decided long ago, and acts on it.
#[test]
fn a_controller_stands_still_beyond_a_lease_and_goes_on_where_it_stopped() {
    for still_ms in [1_500, 5_000, 12_000, 19_000, 27_000] {
        for step in 0..6 {
            let moment = format!("still for {still_ms} from step {step}");
            let mut cluster = busy(4, 25_000);
            let node = (cluster.leader() + step as usize) % 3;
            cluster.submit(others(node)[0], &red(8, 8));
            cluster.submit(others(node)[0], &long_job(9, 8));
            cluster.run(step * 13);
            cluster.freeze(node, still_ms);
            cluster.run(700);
            for id in [1, 8] {
                cluster.send_withdraw(others(node)[0], JobId(id));
            }
            cluster.submit(others(node)[0], &red(10, 8));
            cluster.run(still_ms);
            assert_eq!(cluster.effects("freeze"), 1, "{moment}");
            cluster.run(22_000);
            settle(&mut cluster, &moment);
            assert!(
                cluster.all_done(9, 8) && cluster.all_done(10, 8),
                "{moment}"
            );
        }
    }
}

// Guards against refusals that hit an accepted job because a node knows too little yet.
#[test]
fn bad_input_is_refused_under_troubles_and_never_hits_an_accepted_job() {
    for seed in 1..=6 {
        let mut cluster = ready();
        cluster.seed(seed);
        cluster.trouble.close_looks = true;
        cluster.submit(0, &job(1, 3));
        cluster.submit(1, &red(2, 8));
        let leader = cluster.leader();
        cluster.bounce(leader, 150 * seed);
        cluster.trouble.late_writes = Some(LateWrites {
            share: 0.3,
            after_ms: (0, 3_000),
        });
        let mut replies = Vec::new();
        for round in 0..40 {
            let node = (round + seed as usize) % 3;
            for id in [1, 2] {
                // The same id with what lacks a field, has a wrong one, or can never run.
                let mut lacks = job(id, 3);
                lacks.as_object_mut().expect("an object").remove("Cores");
                let mut wrong = job(id, 3);
                wrong["Piezas"] = json!(-3);
                let mut never = job(id, 3);
                never["Cores"] = json!(64.0);
                for odd in [lacks, wrong, never] {
                    cluster.send_submit(node, &odd);
                }
            }
            // And what nobody has submitted.
            let mut lacks = job(50, 1);
            lacks.as_object_mut().expect("an object").remove("RamGb");
            let mut never = job(51, 1);
            never["Cuadrilla"] = json!("nobody");
            replies.push((400, cluster.send_submit(node, &lacks)));
            replies.push((422, cluster.send_submit(node, &never)));
            replies.push((404, cluster.send_status(node, JobId(60))));
            replies.push((404, cluster.send_withdraw(node, JobId(61))));
            let bytes = b"{\"Ref\": ".to_vec();
            replies.push((400, cluster.send(node, |r| Event::Submit(r, bytes))));
            cluster.run(230);
        }
        cluster.run(5_000);
        let mut refused = 0;
        for (expected, slot) in replies {
            let Some(reply) = cluster.reply(slot) else {
                continue;
            };
            assert!(
                reply.status == expected || reply.status == 503,
                "{} for {expected}: {}",
                reply.status,
                reply.body
            );
            refused += usize::from(reply.status == expected);
        }
        assert!(refused > 60, "seed {seed}: {refused}");
        settle(&mut cluster, &format!("seed {seed}"));
        // What is done stays so, whoever cancels it.
        let reply = cluster.withdraw(0, 1);
        assert!(
            reply.status == 200 && reply.body.contains("done"),
            "{reply:?}"
        );
    }
}
