//! What users check at a day's end: troubles in which messages pass one way only or come late,
//! controllers come back at once, and load exceeds what there is.

use std::collections::BTreeSet;

use serde_json::json;
use worksshunt_core::controller::Event;
use worksshunt_wire::{JobId, MachineId, TaskId};

use crate::world::{job, World};
use crate::{long_job, ready, ready_with_boots_of};

fn starts_on(world: &World, id: &MachineId) -> usize {
    world.starts.iter().filter(|s| s.2 == *id).count()
}

// Guards against machines that are heard, and therefore given tasks, while nothing reaches them.
#[test]
fn a_machine_that_is_heard_but_not_reached_gets_no_tasks_and_goes_back() {
    let mut world = ready();
    world.run_ms = 20_000;
    world.submit(0, &long_job(1, 8));
    world.until("tasks", 30_000, |w| w.running().len() == 8);
    let deaf = world.starts[0].2.clone();
    world.trouble.deaf.insert(deaf.clone());
    world.run(20_000);
    let before = world.launches_on(&deaf);
    world.submit(1, &long_job(2, 24));
    world.until("all tasks", 150_000, |w| {
        w.all_done(1, 8) && w.all_done(2, 24)
    });
    assert_eq!(
        world.launches_on(&deaf),
        before,
        "it was given nothing more"
    );
    let orders = world.orders_to(&deaf);
    assert!(orders < 40, "probed, not hammered: {orders} orders");
    world.until("its return", 90_000, |w| w.returned.contains(&deaf));
    world.check();
}

// Guards against one that nothing was sent to meanwhile: only its sessions tell.
#[test]
fn an_idle_machine_whose_sessions_rise_gets_no_tasks() {
    let mut world = ready_with_boots_of(50.0);
    let deaf = world.machine("a", true, 0);
    world.run(4_000);
    world.trouble.deaf.insert(deaf.clone());
    world.run(18_500);
    assert!(!world.returned.contains(&deaf), "not yet");
    world.submit(0, &long_job(1, 8));
    world.until("all tasks", 60_000, |w| w.all_done(1, 8));
    assert_eq!(world.launches_on(&deaf), 0);
    world.check();
}

#[test]
fn a_machine_that_can_be_reached_again_serves_again() {
    let mut world = ready_with_boots_of(50.0);
    world.run_ms = 4_000;
    world.capacity = 1;
    world.submit(0, &job(1, 60));
    world.until("tasks", 30_000, |w| w.running().len() == 4);
    let deaf = world.starts[0].2.clone();
    world.trouble.deaf.insert(deaf.clone());
    world.run(25_000);
    world.trouble.deaf.clear();
    let before = starts_on(&world, &deaf);
    world.until("tasks on it again", 15_000, |w| {
        starts_on(w, &deaf) > before
    });
    world.until("all tasks", 200_000, |w| w.all_done(1, 60));
    world.check();
}

// Guards against every use of a report that a late copy could mislead: as a sign of life, as proof that
// an attempt is gone, as a completion, as a machine to be used.
#[test]
fn late_copies_of_reports_change_nothing() {
    let mut world = ready();
    world.run_ms = 9_000;
    world.trouble.copies_after_ms = vec![700, 6_000, 17_000, 40_000];
    world.submit(0, &job(1, 40));
    world.until("tasks", 30_000, |w| w.running().len() > 8);
    let hung = world.starts[0].2.clone();
    world.workers.get_mut(&hung).expect("a worker").hung = true;
    world.run(8_000);
    (0..3).for_each(|node| world.crash(node));
    world.run(3_000);
    (0..3).for_each(|node| world.start(node));
    world.run(30_000);
    if let Some(worker) = world.workers.get_mut(&hung) {
        worker.hung = false;
    }
    let leader = world.leader();
    world.crash(leader);
    world.run(500);
    world.start(leader);
    world.until("all tasks", 200_000, |w| w.all_done(1, 40));
    world.run(4_000);
    assert_eq!(world.state(0, 1), (200, "done".into()));
    world.until("an empty fleet", 120_000, |w| w.workers.is_empty());
    world.run(60_000);
    world.check();
}

// Guards against copies that keep a dead machine alive.
#[test]
fn a_late_copy_is_no_sign_of_life() {
    let mut world = ready();
    world.run_ms = 60_000;
    world.trouble.copies_after_ms = vec![3_000, 9_000, 15_000, 21_000];
    world.submit(0, &long_job(1, 8));
    world.until("tasks", 30_000, |w| w.running().len() == 8);
    let dead = world.starts[0].2.clone();
    world.run(25_000);
    world.workers.get_mut(&dead).expect("a worker").hung = true;
    world.until("other starts", 30_000, |w| w.starts.len() > 8);
    world.check();
}

// Guards against a machine long returned that is taken for capacity again, by its old owner or by one
// that never heard of it.
#[test]
fn a_copy_from_a_machine_that_was_returned_brings_nothing_back() {
    let mut world = ready();
    world.submit(0, &job(1, 3));
    world.until("tasks", 30_000, |w| !w.running().is_empty());
    let id = world.starts[0].2.clone();
    world.run(3_000);
    let mut copy = world.report_of(&id);
    // The last one it sent, which never arrived itself.
    copy.seq += 1_000;
    copy.tasks.clear();
    world.until("an empty fleet", 120_000, |w| w.workers.is_empty());
    world.run(2_000);
    let before = world.orders_to(&id);
    for round in 0..2 {
        for node in 0..3 {
            world.deliver_copy(node, copy.clone());
        }
        world.run(500);
        let job_id = 2 + round;
        let tasks = 20 + 20 * round as u32;
        world.submit(0, &job(job_id, tasks));
        world.until("another job", 60_000, |w| w.all_done(job_id, tasks));
        assert_eq!(world.orders_to(&id), before, "nobody speaks to it");
        (0..3).for_each(|node| world.crash(node));
        (0..3).for_each(|node| world.start(node));
        world.run(10_000);
    }
    world.check();
}

// Guards against a controller that goes on commanding workers when only they are left to it, and against
// users who are sent to it.
#[test]
fn a_controller_left_with_its_workers_alone_gives_them_up() {
    let mut world = ready();
    world.run_ms = 60_000;
    world.submit(0, &long_job(1, 24));
    world.until("tasks", 30_000, |w| w.running().len() == 24);
    world.run(3_000);
    let (leader, epoch) = (world.leader(), world.epoch());
    world.trouble.cut_from_state.insert(leader);
    world.trouble.cut_from_peers.insert(leader);
    world.run(7_000);
    assert!(!world.healthy(leader), "users should not be sent there");
    world.until("another leader", 10_000, |w| w.leader() != leader);
    world.run(20_000);
    world.trouble.cut_from_state.clear();
    world.trouble.cut_from_peers.clear();
    world.until("all tasks", 120_000, |w| w.all_done(1, 24));
    assert_eq!(world.starts.len(), 24, "no lease ran out");
    assert_eq!(
        world.epoch(),
        epoch + 2,
        "one epoch without it, one with it again"
    );
    world.check();
}

// Guards against machines that never go back, because the worker has to remember an attempt for as long as an
// order that was not answered might still arrive (found by a day of mixed troubles).
#[test]
fn a_machine_goes_back_although_an_order_to_it_was_never_answered() {
    let mut world = ready();
    world.trouble.hold_orders = true;
    world.submit(0, &job(1, 8));
    world.until("all tasks", 60_000, |w| w.all_done(1, 8));
    world.trouble.hold_orders = false;
    world.until("an empty fleet", 60_000, |w| w.workers.is_empty());
    assert!(world.release_orders() > 0, "none was held back");
    world.check();
}

// Guards against tasks that wait for an owner the leader cannot speak with, while others have room.
#[test]
fn tasks_go_where_the_leader_is_heard() {
    let mut world = ready_with_boots_of(50.0);
    let leader = world.leader();
    world.run_ms = 2_000;
    for _ in 0..9 {
        world.machine("a", true, 0);
    }
    world.run(10_000);
    world.trouble.cut_from_peers = (0..3).filter(|node| *node != leader).collect();
    world.run(1_000);
    world.submit(leader, &job(1, 36));
    world.until("all tasks", 20_000, |w| w.all_done(1, 36));
    world.trouble.cut_from_peers.clear();
    world.run(10_000);
    world.check();
}

// Guards against tasks that wait for the end of a lease on a machine the cloud has taken without notice.
#[test]
fn tasks_of_a_machine_that_is_no_longer_listed_run_again_before_its_lease_ends() {
    let mut world = ready_with_boots_of(50.0);
    world.run_ms = 60_000;
    world.submit(0, &long_job(1, 12));
    world.until("tasks", 30_000, |w| w.running().len() == 12);
    world.run(5_000);
    let (_, task, taken) = world.starts[0].clone();
    world.workers.remove(&taken);
    world.run(14_000);
    let again = world.starts.iter().filter(|s| s.1 == task).count();
    assert_eq!(again, 2, "it runs elsewhere, 2 s before the lease is over");
    world.check();
}

// Guards against parts that stand idle, and a leader that rents nothing, for as long as connections
// between controllers are refused.
#[test]
fn the_leader_takes_over_parts_whose_owners_do_not_reach_it() {
    let mut world = ready_with_boots_of(50.0);
    world.run_ms = 30_000;
    for _ in 0..9 {
        world.machine("a", true, 0);
    }
    world.run(10_000);
    let leader = world.leader();
    world.trouble.cut_from_peers = (0..3).filter(|node| *node != leader).collect();
    world.crash(leader);
    world.start(leader);
    world.run(5_000);
    world.submit(leader, &long_job(1, 36));
    world.until("all at once", 25_000, |w| w.running().len() == 36);
    let epoch = world.epoch();
    world.submit(leader, &long_job(2, 4));
    world.until("another machine", 10_000, |w| w.workers.len() > 9);
    world.trouble.cut_from_peers.clear();
    world.run(20_000);
    assert!(
        (epoch + 1..=epoch + 2).contains(&world.epoch()),
        "both are back"
    );
    world.until("all tasks", 60_000, |w| {
        w.all_done(1, 36) && w.all_done(2, 4)
    });
    assert_eq!(world.starts.len(), 40, "nothing was lost on the way");
    world.check();
}

#[test]
fn nothing_is_lost_when_all_controllers_are_left_with_their_workers() {
    let mut world = ready();
    world.run_ms = 30_000;
    world.submit(0, &long_job(1, 12));
    world.until("tasks", 30_000, |w| w.running().len() == 12);
    world.trouble.cut_from_state = (0..3).collect();
    world.trouble.cut_from_peers = (0..3).collect();
    world.run(30_000);
    world.trouble.cut_from_state.clear();
    world.trouble.cut_from_peers.clear();
    world.until("all tasks", 120_000, |w| w.all_done(1, 12));
    world.run(3_000);
    assert_eq!(world.state(2, 1), (200, "done".into()));
    world.check();
}

// Guards against users and launches that wait for one slow answer, and against copies that are taken for
// other writes.
#[test]
fn slow_answers_of_the_state_service_hold_nobody_up() {
    let mut world = ready_with_boots_of(50.0);
    for _ in 0..9 {
        world.machine("a", true, 0);
    }
    world.run(10_000);
    world.trouble.slow_txns_ms = 1_200;
    let mut slowest = 0;
    for id in 1..=12 {
        let asked = world.now;
        let reply = world.submit(id as usize % 3, &job(id, 3));
        assert!(matches!(reply.status, 200 | 201), "{reply:?}");
        slowest = slowest.max(world.now - asked);
    }
    assert!(slowest < 800, "one waited {slowest} ms");
    world.until("all tasks", 60_000, |w| {
        (1..=12).all(|id| w.all_done(id, 3))
    });
    assert_eq!(world.starts.len(), 36, "each ran once");
    world.check();
}

// Guards against records of former epochs that are never written anew while completions always come
// first: the next epoch takes all that has ended since for work that may still be there, and at full
// size its leader ran out of memory.
#[test]
fn records_of_former_epochs_go_while_tasks_complete() {
    let mut world = World::new();
    for settings in &mut world.settings {
        settings.facts.state.write_rps = 6.0;
    }
    (0..3).for_each(|node| world.start(node));
    world.run(4_000);
    world.run_ms = 2_000;
    world.submit(0, &long_job(1, 4_000));
    world.until("tasks", 30_000, |w| w.running().len() == 40);
    world.run(10_000);
    (0..3).for_each(|node| world.crash(node));
    (0..3).for_each(|node| world.start(node));
    let former = format!("a/{}.", world.epoch());
    let before = world.starts.len();
    world.run(20_000);
    assert_eq!(world.keys(&former), Vec::<String>::new());
    assert!(world.starts.len() > before + 100, "tasks went on");
    world.check();
}

// Guards against former lives that are taken for present ones: holds still alive, names used again.
#[test]
fn controllers_back_within_a_moment_share_one_leader_and_repeat_no_number() {
    let mut world = ready();
    world.run_ms = 30_000;
    world.submit(0, &long_job(1, 16));
    world.until("tasks", 30_000, |w| w.running().len() == 16);
    for round in 0..4 {
        let leader = world.leader();
        world.trouble.hold_txns.insert(leader);
        world.run(300);
        world.crash(leader);
        world.run(200);
        world.trouble.hold_txns.clear();
        world.start(leader);
        world.run(400);
        // In the middle of the election that follows, another goes, or all; and late copies of what
        // the former life had sent arrive.
        world.crash((leader + 1) % 3);
        world.start((leader + 1) % 3);
        if round % 2 == 1 {
            (0..3).for_each(|node| world.crash(node));
            (0..3).for_each(|node| world.start(node));
        }
        world.release_txns();
        world.run(7_000);
        let members = &world.stored("c/epoch").expect("an epoch")["members"];
        assert_eq!(members.as_array().map(Vec::len), Some(3), "all are back");
    }
    world.until("all tasks", 200_000, |w| w.all_done(1, 16));
    assert_eq!(world.starts.len(), 16, "no lease ran out");
    world.check();
}

// Guards against a late copy of a former life's joining that undoes the present one's.
#[test]
fn a_late_message_of_a_former_life_costs_no_epoch() {
    let mut world = ready();
    let other = (world.leader() + 1) % 3;
    world.crash(other);
    world.run(8_000);
    world.trouble.hold_txns.insert(other);
    world.start(other);
    world.run(400);
    world.crash(other);
    world.trouble.hold_txns.clear();
    world.start(other);
    world.until("its epoch", 3_000, |w| {
        let members = &w.stored("c/epoch").expect("an epoch")["members"];
        members.as_array().map(Vec::len) == Some(3)
    });
    let epoch = world.epoch();
    assert!(!world.release_txns().is_empty(), "something was held back");
    world.run(10_000);
    assert_eq!(world.epoch(), epoch);
}

// Guards against questions that lose to others every time: whoever came first used up the share of
// reads, so with the same order of polls some job was never answered for.
#[test]
fn every_old_job_is_answered_for_although_questions_exceed_the_share() {
    let mut world = ready();
    let ids: Vec<u64> = (1..=900).collect();
    ids.iter().for_each(|id| world.put_final(*id));
    (0..3).for_each(|node| world.crash(node));
    (0..3).for_each(|node| world.start(node));
    world.run(5_000);
    let begun = world.now;
    let mut answered = BTreeSet::new();
    while answered.len() < ids.len() {
        assert!(world.now < begun + 45_000, "{} answered", answered.len());
        answered.extend(world.answered_questions(1, &ids));
        world.run(3_000);
    }
}

// Guards against work of low priority, and its largest jobs, that never begin under a burst.
#[test]
fn the_largest_job_of_the_lowest_class_begins_in_time_under_a_burst() {
    let mut world = ready();
    world.capacity = 2;
    world.run_ms = 5_000;
    let mut large = job(1, 200);
    large["Turno"] = json!("low");
    large["EntregaS"] = json!(5_000.0);
    let urgent = |id: u64| {
        let mut urgent = job(id, 40);
        urgent["Turno"] = json!("urgent");
        urgent["EntregaS"] = json!(20.0);
        urgent
    };
    world.submit(0, &urgent(2));
    world.submit(1, &large);
    let submitted = world.now;
    let began = |w: &World| w.starts.iter().any(|s| s.1.job == JobId(1));
    for id in 3.. {
        if began(&world) {
            break;
        }
        assert!(world.now < submitted + 240_000, "four minutes are over");
        world.submit(id as usize % 3, &urgent(id));
        world.run(8_000);
    }
    let first = TaskId {
        job: JobId(1),
        index: 0,
    };
    assert!(
        world.starts.iter().any(|s| s.1 == first),
        "with some of its tasks"
    );
    let urgent = world.starts.iter().filter(|s| s.1.job != JobId(1)).count();
    assert!(urgent > 80, "the urgent work went on");
    world.check();
}

// Guards against wide tasks that their own team's narrow ones keep out: whenever one of those ends, the
// limit has room for another of them only.
#[test]
fn a_wide_job_gets_done_beside_narrow_ones_of_its_team() {
    let mut world = ready();
    world.run_ms = 7_000;
    world.run_spread_ms = 900;
    let red = |id: u64, tasks: u32| {
        let mut red = job(id, tasks);
        red["Cuadrilla"] = json!("red");
        red
    };
    let mut wide = red(1, 4);
    wide["Turno"] = json!("low");
    wide["Cores"] = json!(4.0);
    world.submit(0, &red(2, 400));
    world.run(20_000);
    world.submit(1, &wide);
    let submitted = world.now;
    world.until("its first task", 130_000, |w| {
        w.starts.iter().any(|s| s.1.job == JobId(1))
    });
    world.until("all of it", 250_000, |w| w.all_done(1, 4));
    assert!(world.now < submitted + 330_000);
    assert!(!world.all_done(2, 400), "the narrow ones were still coming");
    world.check();
}

// Guards against whatever grows faster than the fleet when a third of it falls silent, all controllers
// crash in it and the silent third comes back after its lease, at the largest size asked for.
#[test]
fn a_fleet_half_as_large_again_survives_when_a_third_of_it_falls() {
    let mut world = World::new();
    for settings in &mut world.settings {
        settings.facts.teams[1].cpus_max = 10_000.0;
        settings.facts.state.write_rps = 60.0;
    }
    (0..3).for_each(|node| world.start(node));
    let machines = 1_850;
    world.capacity = machines;
    world.run_ms = 12_000;
    world.ready_s = 50.0;
    let ids: Vec<MachineId> = (0..machines)
        .map(|n| world.machine(if n % 2 == 0 { "a" } else { "b" }, true, 0))
        .collect();
    world.run(9_000);
    for id in 1..=20 {
        world.submit(id as usize % 3, &long_job(id, 400));
    }
    world.until("a full fleet", 20_000, |w| w.running().len() > 7_000);
    let hang = |world: &mut World, hung: bool| {
        for id in ids.iter().step_by(3) {
            if let Some(worker) = world.workers.get_mut(id) {
                worker.hung = hung;
            }
        }
    };
    hang(&mut world, true);
    (0..3).for_each(|node| world.crash(node));
    world.run(2_000);
    (0..3).for_each(|node| world.start(node));
    let began = world.now;
    let before = world.starts.len();
    world.until("another start", 12_000, |w| w.starts.len() > before);
    world.run(20_000);
    hang(&mut world, false);
    world.until("all tasks", 90_000, |w| {
        (1..=20).all(|id| w.all_done(id, 400))
    });
    assert!(world.now < began + 110_000);
    assert!(world.epoch() <= 6, "epoch {}", world.epoch());
    let lost = world.starts.len() - 8_000;
    assert!(
        lost < 2 * 4 * machines / 3,
        "{lost} starts more than needed"
    );
    world.run(30_000);
    assert_eq!(world.keys("a/"), Vec::<String>::new(), "records of nothing");
    world.check();
}

// Guards against reports that cannot be right: they change nothing and stop nothing.
#[test]
fn odd_reports_are_refused() {
    let mut world = ready();
    let good = json!({"Estiba": "i-000001", "Addr": "10.1.0.1:1", "Modelo": "m4", "Patio": "a",
        "Prestados": true, "Jornada": 1, "Folio": 1, "Vara": 0, "Piezas": []});
    let with = |field: &str, value: serde_json::Value| {
        let mut report = good.clone();
        report[field] = value;
        report.to_string()
    };
    let odd = [
        "{\"Estiba\": \"i-0".to_owned(),
        "[]".to_owned(),
        with("Estiba", json!("i 1")),
        with("Estiba", json!("")),
        with("Estiba", json!("x".repeat(300))),
        with("Folio", json!(-1)),
        with(
            "Piezas",
            json!([{"Pieza": "j-1", "Intento": 1, "Estado": "running"}]),
        ),
        with(
            "Piezas",
            json!([{"Pieza": "j-000001/0", "Intento": 1, "Estado": "flying"}]),
        ),
    ];
    for body in odd {
        let bytes = body.clone().into_bytes();
        let reply = world.ask(0, |request| Event::Report(request, bytes));
        assert_eq!(reply.status, 400, "{body}");
    }
    // An unknown type of machine, with a task that nobody gave it: heard, and not used.
    let mut stranger = good.clone();
    stranger["Modelo"] = json!("m9");
    stranger["Piezas"] = json!([{"Pieza": "j-000001/0", "Intento": 1, "Estado": "running"}]);
    for node in 0..3 {
        let bytes = stranger.to_string().into_bytes();
        let reply = world.ask(node, |request| Event::Report(request, bytes));
        assert!(matches!(reply.status, 200 | 421), "{}", reply.status);
    }
    world.submit(0, &job(1, 4));
    world.until("all tasks", 60_000, |w| w.all_done(1, 4));
    world.check();
}
