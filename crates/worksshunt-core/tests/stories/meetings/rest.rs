//! The other meetings that the users have seen break rules.

use serde_json::json;
use worksshunt_core::controller::Event;
use worksshunt_wire::JobId;

use super::{busy, machines_of, others, red, settle};
use crate::world::{job, LateWrites};
use crate::{long_job, ready, ready_with_boots_of};

// Guards against answers that come after their sender has given up, taken for none.
#[test]
fn the_state_service_answers_slowly_while_users_cancel_and_ask() {
    for slow_ms in [350, 900, 1_400, 1_600] {
        for cancel_ms in [0, 450, 2_000] {
            let moment = format!("{slow_ms} slower, cancelled after {cancel_ms}");
            let mut world = busy(5, 40_000);
            world.trouble.close_looks = true;
            world.trouble.state_slow_ms = slow_ms;
            world.run(cancel_ms);
            for id in 1..=3 {
                world.send_withdraw(id as usize % 3, JobId(id));
            }
            world.send_submit(1, &job(7, 2));
            world.run(9_000);
            world.trouble.state_slow_ms = 0;
            for id in 1..=3 {
                world.send_withdraw(id as usize % 3, JobId(id));
            }
            world.run(32_000);
            assert!(world.rules.any_cancelled(), "{moment}");
            assert!(world.effects("close look") > 0, "{moment}");
            settle(&mut world, &moment);
        }
    }
}

// Guards against a former epoch's words that reach a leader which has acted already.
#[test]
fn a_report_is_held_back_until_a_new_leader_has_acted() {
    for release_ms in (0..10_000).step_by(500) {
        let moment = format!("released after {release_ms}");
        let mut world = busy(4, 12_000);
        world.submit(1, &long_job(9, 12));
        let held = world.starts[0].2.clone();
        world.trouble.hold_reports.insert(held.clone());
        world.run(4_000);
        let leader = world.leader();
        world.bounce(leader, 400);
        world.run(6_000 + release_ms);
        assert_ne!(world.epoch(), 1, "{moment}");
        assert!(world.release_reports(&[0, 1, 2]) > 0, "{moment}");
        world.run(3_000);
        world.trouble.hold_reports.clear();
        world.run(15_000);
        settle(&mut world, &moment);
        assert!(world.all_done(9, 12));
    }
}

// Guards against machines that a new leader takes for empty, or for dead before their lease is over.
#[test]
fn a_leader_ends_while_machines_with_long_tasks_cannot_be_reached() {
    for how in ["deaf", "mute", "hung"] {
        for crash_ms in (0..16_000).step_by(1_600) {
            let moment = format!("{how}, the leader ends after {crash_ms}");
            let mut world = busy(4, 45_000);
            let ids = machines_of(&world, 1);
            for id in &ids {
                match how {
                    "deaf" => {
                        world.trouble.deaf.insert(id.clone());
                    }
                    "mute" => {
                        world.trouble.mute.insert(id.clone());
                    }
                    _ => world.hang(id, 13_000),
                }
            }
            world.submit(1, &long_job(9, 8));
            world.run(crash_ms);
            let leader = world.leader();
            let epoch = world.epoch();
            world.bounce(leader, 3_000);
            world.run(14_000);
            assert!(world.epoch() > epoch, "{moment}");
            world.trouble.deaf.clear();
            world.trouble.mute.clear();
            world.run(20_000);
            settle(&mut world, &moment);
        }
    }
}

// Guards against a fleet whose leases have all run out, taken for one that still runs, or the reverse.
#[test]
fn all_controllers_are_away_for_longer_than_a_lease() {
    for away_ms in (12_000..24_000).step_by(800) {
        let moment = format!("away for {away_ms}");
        let mut world = busy(5, 30_000);
        world.trouble.copies_after_ms = vec![away_ms + 2_000];
        world.run(3_000);
        let hung = world.starts[0].2.clone();
        world.hang(&hung, away_ms - 2_000);
        (0..3).for_each(|node| world.crash(node));
        world.run(away_ms);
        (0..3).for_each(|node| world.start(node));
        world.run(20_000);
        assert!(world.effects("copy") > 0, "{moment}");
        settle(&mut world, &moment);
        assert!((1..=5).all(|id| world.all_done(id, 4)), "{moment}");
    }
}

// Guards against former lives, and against work that two take for theirs.
#[test]
fn controllers_hand_over_and_back_all_end_and_one_returns() {
    for back_ms in [40, 130, 300, 700, 1_100, 2_500, 5_000] {
        for alone in 0..3 {
            let moment = format!("{alone} back after {back_ms}");
            let mut world = busy(5, 40_000);
            let leader = world.leader();
            world.bounce(leader, back_ms);
            world.run(back_ms + 1_500);
            let leader = world.leader();
            world.bounce(leader, back_ms);
            world.run(back_ms + 700);
            world.submit(
                (0..3).find(|n| world.is_up(*n)).expect("one"),
                &long_job(9, 4),
            );
            world.send_withdraw(alone, JobId(1));
            world.run(back_ms);
            (0..3).for_each(|node| world.crash(node));
            world.run(back_ms);
            world.start(alone);
            world.run(9_000);
            assert_eq!(world.leader(), alone, "{moment}");
            world.start((alone + 1) % 3);
            world.run(back_ms);
            world.start((alone + 2) % 3);
            world.run(20_000);
            settle(&mut world, &moment);
        }
    }
}

// Guards against copies that are taken for news: of an earlier report, session or attempt.
#[test]
fn old_reports_arrive_after_newer_ones() {
    for after_ms in [200, 1_300, 4_000, 9_000, 15_500, 17_500, 26_000] {
        let moment = format!("copies after {after_ms}");
        let mut world = busy(4, 9_000);
        world.submit(0, &long_job(9, 30));
        world.trouble.copies_after_ms = vec![after_ms, after_ms + 900];
        let lost = world.starts[0].2.clone();
        // Its lease runs out, so that its next session has other attempts at the same tasks.
        world.hang(&lost, 18_000);
        world.run(30_000);
        let leader = world.leader();
        world.bounce(leader, 500);
        world.run(20_000);
        assert!(world.effects("copy") > 100, "{moment}");
        settle(&mut world, &moment);
        assert!(world.all_done(9, 30));
    }
}

// Guards against commands that are carried out when nobody reckons with them any more.
#[test]
fn a_command_is_held_up_for_seconds_and_the_machine_goes_on() {
    for release_ms in (200..14_000).step_by(600) {
        let moment = format!("released after {release_ms}");
        let mut world = ready_with_boots_of(50.0);
        world.run_ms = 25_000;
        for _ in 0..5 {
            world.machine("a", true, 0);
        }
        world.run(9_000);
        world.trouble.hold_orders = true;
        world.submit(0, &long_job(1, 12));
        world.submit(1, &red(2, 8));
        world.run(2_000);
        world.send_withdraw(0, JobId(1));
        world.run(release_ms);
        if release_ms % 1_200 == 200 {
            let leader = world.leader();
            world.bounce(leader, 300);
            world.run(1_500);
        }
        assert!(world.release_orders() > 0, "{moment}");
        world.trouble.hold_orders = false;
        world.run(35_000);
        settle(&mut world, &moment);
    }
}

// Guards against cancellations that fall between the leader's last word and everybody's.
#[test]
fn jobs_are_cancelled_at_the_moment_the_leader_alone_is_refused() {
    for step in 0..16 {
        let cancel_ms = step * 60;
        let moment = format!("cancelled {cancel_ms} around it");
        let mut world = busy(6, 120_000);
        let leader = world.leader();
        let node = others(leader)[step as usize % 2];
        world.later(300, move |w| {
            w.trouble.refused.insert(leader);
        });
        world.later(cancel_ms, move |w| {
            for id in 1..=4 {
                w.send_withdraw(node, JobId(id));
            }
        });
        world.later(1_300, |w| w.trouble.state_down = true);
        world.run(33_000 + 1_300);
        assert!(
            world.rules.any_cancelled() && world.effects("refused") > 0,
            "{moment}"
        );
        world.trouble.state_down = false;
        world.trouble.refused.clear();
        world.run(35_000);
        settle(&mut world, &moment);
    }
}

// Guards against a team's use that a new leader counts too low before it has heard every owner.
#[test]
fn a_team_is_at_its_limit_when_the_leader_changes_and_machines_cannot_be_asked() {
    for how in ["deaf", "mute", "hung"] {
        for cancel_ms in (0..6_000).step_by(600) {
            let moment = format!("{how}, cancelled after {cancel_ms}");
            let mut world = ready_with_boots_of(50.0);
            world.run_ms = 40_000;
            world.submit(0, &red(1, 8));
            world.until("tasks", 30_000, |w| w.running().len() == 8);
            world.submit(1, &red(2, 8));
            world.run(1_000);
            for id in machines_of(&world, 1) {
                match how {
                    "deaf" => {
                        world.trouble.deaf.insert(id);
                    }
                    "mute" => {
                        world.trouble.mute.insert(id);
                    }
                    _ => world.hang(&id, 12_000),
                }
            }
            world.run(500);
            let leader = world.leader();
            world.crash(leader);
            let node = others(leader)[0];
            world.later(cancel_ms, move |w| {
                w.send_withdraw(node, JobId(1));
            });
            world.run(6_500);
            world.start(leader);
            world.run(7_000);
            assert!(world.rules.any_cancelled(), "{moment}");
            world.trouble.deaf.clear();
            world.trouble.mute.clear();
            world.run(30_000);
            settle(&mut world, &moment);
            assert!(world.all_done(2, 8), "{moment}");
        }
    }
}

// Guards against a completion that a change of leaders forgets, or takes for the job's end.
#[test]
fn tasks_of_small_jobs_end_far_apart_across_a_change_of_leader() {
    for crash_ms in (0..12_000).step_by(400) {
        let moment = format!("the leader ends after {crash_ms}");
        let mut world = ready();
        world.run_ms = 3_000;
        world.run_spread_ms = 6_000;
        world.trouble.close_looks = true;
        for id in 1..=6 {
            world.send_submit(id as usize % 3, &job(id, 2 + id as u32 % 2));
        }
        world.until("a task's end", 30_000, |w| {
            (1..=6).any(|id| w.all_done(id, 1))
        });
        world.run(crash_ms);
        let leader = world.leader();
        world.bounce(leader, if crash_ms % 800 == 0 { 300 } else { 5_000 });
        world.run(12_000);
        assert!(world.effects("close look") > 0, "{moment}");
        settle(&mut world, &moment);
        let (tasks, starts) = (15, world.starts.len());
        assert_eq!(starts, tasks, "{moment}: each task ran once");
    }
}

// Guards against epochs that end before they have begun.
#[test]
fn leaders_change_ten_times_in_two_minutes_also_inside_an_outage() {
    for outage_ms in [0, 3_000, 9_000] {
        for every_ms in [4_000, 7_300, 12_000] {
            let moment = format!("every {every_ms}, outages of {outage_ms}");
            let mut world = busy(5, 60_000);
            let first = world.epoch();
            for change in 0..10 {
                let leader = world.leader();
                world.bounce(leader, 200 + 450 * (change % 4));
                if outage_ms > 0 && change % 3 == 1 {
                    world.later(600, |w| w.trouble.state_down = true);
                    world.later(600 + outage_ms, |w| w.trouble.state_down = false);
                }
                let node = others(leader)[0];
                world.send_withdraw(node, JobId(1 + change % 2));
                world.send_submit(node, &job(20 + change, 3));
                world.run(every_ms);
            }
            world.run(10_000);
            assert!(world.epoch() >= first + 5, "{moment}: {}", world.epoch());
            settle(&mut world, &moment);
        }
    }
}

// Guards against a job that is called cancelled and done, with nothing else going on.
#[test]
fn requests_meet_the_end_of_a_jobs_last_task() {
    for seed in 1..=10 {
        let mut world = ready();
        world.seed(seed);
        world.run_ms = 2_000;
        world.trouble.cancel_at_end = 1.0;
        world.trouble.close_looks = true;
        for id in 1..=12 {
            world.send_submit(id as usize % 3, &job(id, 1 + id as u32 % 4));
            world.run(17 * seed);
        }
        world.run(25_000);
        assert!(world.effects("cancel at end") >= 12, "seed {seed}");
        settle(&mut world, &format!("seed {seed}"));
    }
}

// Guards against a write that was given up and undoes newer ones of the same controller.
#[test]
fn transactions_without_an_answer_are_carried_out_after_newer_ones() {
    for seed in 1..=10 {
        let mut world = ready();
        world.seed(seed);
        world.run_ms = 6_000;
        world.trouble.close_looks = true;
        world.trouble.cancel_at_end = 0.3;
        world.trouble.late_writes = Some(LateWrites {
            share: 0.3,
            after_ms: (2_000, 12_000),
        });
        for id in 1..=15 {
            world.send_submit(id as usize % 3, &job(id, 1 + id as u32 % 5));
            if id % 4 == 0 {
                world.later(200 * seed, move |w| {
                    w.send_withdraw(id as usize % 3, JobId(id));
                });
            }
            world.run(400);
        }
        world.run(10_000);
        let leader = world.leader();
        world.bounce(leader, 700);
        world.run(20_000);
        assert!(world.effects("late write") > 20, "seed {seed}");
        settle(&mut world, &format!("seed {seed}"));
        world.run(13_000);
        world.check();
    }
}

// Guards against zones that are forgotten with the machine, and jobs that wait for one that is gone.
#[test]
fn jobs_bound_to_one_zone_lose_machines() {
    for loss_ms in (0..10_000).step_by(1_000) {
        let moment = format!("lost after {loss_ms}");
        let mut world = ready();
        world.run_ms = 12_000;
        let bound = |id: u64, field: &str, value: serde_json::Value| {
            let mut bound = long_job(id, 6);
            bound[field] = value;
            bound
        };
        world.submit(0, &bound(1, "Patio", json!("b")));
        world.submit(1, &bound(2, "SamePlace", json!(true)));
        world.submit(2, &bound(3, "Spread", json!(true)));
        world.until("tasks", 40_000, |w| w.running().len() >= 12);
        world.run(loss_ms);
        let lost: Vec<_> = (1..=3)
            .map(|id| machines_of(&world, id)[0].clone())
            .collect();
        for id in lost {
            world.workers.remove(&id);
        }
        if loss_ms % 2_000 == 0 {
            let leader = world.leader();
            world.bounce(leader, 2_000);
        }
        world.run(40_000);
        settle(&mut world, &moment);
        assert!((1..=3).all(|id| world.all_done(id, 6)), "{moment}");
    }
}

// Guards against machines rented over and over in a zone where the job that waits may not run, because its own
// has none and is refused just then (found by days of mixed troubles: the cloud was never asked again in time).
#[test]
fn no_machine_is_rented_in_a_zone_that_may_have_no_more_of_the_tasks_that_wait() {
    let mut world = ready();
    world.run_ms = 3_000;
    world.capacity = 1;
    world.trouble.cloud_down = true;
    world.machine("a", true, 0);
    let mut spread = long_job(1, 6);
    spread["Spread"] = json!(true);
    world.submit(0, &spread);
    world.until("the first half", 30_000, |w| w.starts.len() >= 3);
    world.trouble.cloud_down = false;
    world.until("all tasks", 90_000, |w| w.all_done(1, 6));
    settle(&mut world, "spread");
}

// Guards against a leader that only its workers and users are left to.
#[test]
fn a_leader_cut_off_keeps_its_workers_while_jobs_are_cancelled_through_the_new_one() {
    for cancel_ms in (0..14_000).step_by(700) {
        let moment = format!("cancelled after {cancel_ms}");
        let mut world = busy(6, 100_000);
        let leader = world.leader();
        world.trouble.cut_from_state.insert(leader);
        world.trouble.cut_from_peers.insert(leader);
        world.run(cancel_ms);
        let node = others(leader)[0];
        for id in 1..=6 {
            world.send_withdraw(node, JobId(id));
            world.send_status(leader, JobId(id));
        }
        world.run(6_000);
        for id in 1..=6 {
            world.send_withdraw(node, JobId(id));
            world.send_status(leader, JobId(id));
        }
        world.run(30_000);
        assert_ne!(world.leader(), leader, "{moment}");
        assert!(world.rules.any_cancelled(), "{moment}");
        settle(&mut world, &moment);
        assert_eq!(world.running(), Vec::new(), "{moment}");
    }
}

// Guards against tasks that go on, or go to machines that nothing is heard of.
#[test]
fn workers_reach_no_controller_while_direct_commands_reach_them() {
    for mute_ms in (3_000..30_000).step_by(1_800) {
        let moment = format!("mute for {mute_ms}");
        let mut world = busy(5, 30_000);
        world.trouble.mute = world.workers.keys().cloned().collect();
        world.send_withdraw(0, JobId(1));
        world.submit(1, &long_job(9, 8));
        world.run(mute_ms);
        assert!(world.effects("unheard report") > 0, "{moment}");
        world.trouble.mute.clear();
        world.run(30_000);
        settle(&mut world, &moment);
        assert!(world.all_done(9, 8), "{moment}");
    }
}

// Guards against a lease that is reckoned from the last report although the worker, heard through direct
// orders only, is in a later session, whose lease began with it (found by a day of mixed troubles).
#[test]
fn a_machine_whose_reports_are_lost_begins_another_session_and_answers_orders() {
    let mut sessions = 0;
    for release_ms in (7_000..17_000).step_by(250) {
        let moment = format!("a report arrives after {release_ms}");
        let mut world = ready_with_boots_of(50.0);
        world.run_ms = 30_000;
        let id = world.machine("a", true, 0);
        world.run(6_000);
        world.trouble.cloud_down = true;
        world.trouble.hold_reports.insert(id.clone());
        world.run(release_ms);
        assert!(world.release_reports(&[0, 1, 2]) > 0, "{moment}");
        for job in 1..=6 {
            world.send_submit(0, &long_job(job, 1));
            world.run(1_300);
        }
        // By the time at which the lease is taken to be over there is another machine.
        world.trouble.cloud_down = false;
        world.run(22_000);
        sessions += world.session(&id);
        world.trouble.hold_reports.clear();
        world.run(5_000);
        settle(&mut world, &moment);
    }
    assert!(sessions > 40, "no session rose");
}

// Guards against work that waits for ever beside other work, and links that are taken for dead.
#[test]
fn there_is_more_work_than_room_over_slow_links() {
    for slow_ms in [0, 300, 800] {
        let moment = format!("{slow_ms} slower");
        let mut world = ready();
        world.capacity = 3;
        world.run_ms = 4_000;
        world.hop_ms = 60;
        world.trouble.state_slow_ms = slow_ms;
        for id in 1..=24 {
            let mut job = job(id, 6);
            job["Turno"] = json!(["low", "normal", "urgent"][id as usize % 3]);
            world.send_submit(id as usize % 3, &job);
            world.run(300);
        }
        world.send_withdraw(1, JobId(3));
        world.until("a full fleet", 30_000, |w| w.running().len() >= 10);
        settle(&mut world, &moment);
    }
}

// Guards against what goes on inside a zone that nobody outside can see.
#[test]
fn a_zone_with_workers_and_a_controller_is_cut_off_for_longer_than_a_lease() {
    for inside in 0..3 {
        for cut_ms in [8_000, 15_000, 19_000, 26_000] {
            let moment = format!("{inside} inside for {cut_ms}");
            let mut world = ready_with_boots_of(50.0);
            world.run_ms = 60_000;
            for zone in ["a", "b", "a", "b", "a", "b"] {
                world.machine(zone, true, 0);
            }
            world.run(9_000);
            world.submit(0, &long_job(1, 12));
            world.submit(1, &red(2, 8));
            world.until("tasks", 30_000, |w| w.running().len() == 20);
            world.trouble.zone_cut = Some(("b".to_owned(), [inside].into()));
            world.run(2_000);
            let node = others(inside)[0];
            world.send_withdraw(node, JobId(2));
            world.submit(node, &red(3, 8));
            world.run(cut_ms);
            assert!(world.effects("unheard report") > 0, "{moment}");
            world.trouble.zone_cut = None;
            world.run(30_000);
            settle(&mut world, &moment);
            assert!(world.all_done(1, 12) && world.all_done(3, 8), "{moment}");
        }
    }
}

// Guards against a controller that wakes in the middle of what it had decided long ago, and acts on it.
#[test]
fn a_controller_stands_still_beyond_a_lease_and_goes_on_where_it_stopped() {
    for still_ms in [1_500, 5_000, 12_000, 19_000, 27_000] {
        for step in 0..6 {
            let moment = format!("still for {still_ms} from step {step}");
            let mut world = busy(4, 25_000);
            let node = (world.leader() + step as usize) % 3;
            world.submit(others(node)[0], &red(8, 8));
            world.submit(others(node)[0], &long_job(9, 8));
            world.run(step * 13);
            world.freeze(node, still_ms);
            world.run(700);
            for id in [1, 8] {
                world.send_withdraw(others(node)[0], JobId(id));
            }
            world.submit(others(node)[0], &red(10, 8));
            world.run(still_ms);
            assert_eq!(world.effects("freeze"), 1, "{moment}");
            world.run(22_000);
            settle(&mut world, &moment);
            assert!(world.all_done(9, 8) && world.all_done(10, 8), "{moment}");
        }
    }
}

// Guards against refusals that hit an accepted job because a node knows too little yet.
#[test]
fn bad_input_is_refused_under_troubles_and_never_hits_an_accepted_job() {
    for seed in 1..=6 {
        let mut world = ready();
        world.seed(seed);
        world.trouble.close_looks = true;
        world.submit(0, &job(1, 3));
        world.submit(1, &red(2, 8));
        let leader = world.leader();
        world.bounce(leader, 150 * seed);
        world.trouble.late_writes = Some(LateWrites {
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
                    world.send_submit(node, &odd);
                }
            }
            // And what nobody has submitted.
            let mut lacks = job(50, 1);
            lacks.as_object_mut().expect("an object").remove("RamGb");
            let mut never = job(51, 1);
            never["Cuadrilla"] = json!("nobody");
            replies.push((400, world.send_submit(node, &lacks)));
            replies.push((422, world.send_submit(node, &never)));
            replies.push((404, world.send_status(node, JobId(60))));
            replies.push((404, world.send_withdraw(node, JobId(61))));
            let bytes = b"{\"Ref\": ".to_vec();
            replies.push((400, world.send(node, |r| Event::Submit(r, bytes))));
            world.run(230);
        }
        world.run(5_000);
        let mut refused = 0;
        for (expected, slot) in replies {
            let Some(reply) = world.reply(slot) else {
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
        settle(&mut world, &format!("seed {seed}"));
        // What is done stays so, whoever cancels it.
        let reply = world.withdraw(0, 1);
        assert!(
            reply.status == 200 && reply.body.contains("done"),
            "{reply:?}"
        );
    }
}
