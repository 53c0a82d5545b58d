//! What users check at a day's end: faults in which messages pass one way only or come late,
//! controllers come back at once, and load exceeds what there is.

use std::collections::BTreeSet;

use serde_json::json;
use worksshunt_core::controller::Event;
use worksshunt_wire::{JobId, MachineId, TaskId};

use crate::{long_job, ready, ready_with_boots_of};
use worksshunt_simulation::{job, Cluster};

fn starts_on(cluster: &Cluster, id: &MachineId) -> usize {
    cluster.task_starts.iter().filter(|s| s.2 == *id).count()
}

// Guards against machines whose heartbeats arrive, and which therefore get tasks, while nothing reaches them.
#[test]
fn a_machine_that_sends_heartbeats_but_is_unreachable_gets_no_tasks_and_is_released() {
    let mut cluster = ready();
    cluster.task_run_ms = 20_000;
    cluster.submit(0, &long_job(1, 8));
    cluster.until("tasks", 30_000, |cluster| cluster.running().len() == 8);
    let deaf = cluster.task_starts[0].2.clone();
    cluster.faults.unreachable_machines.insert(deaf.clone());
    cluster.run(20_000);
    let before = cluster.launches_on(&deaf);
    cluster.submit(1, &long_job(2, 24));
    cluster.until("all tasks", 150_000, |cluster| {
        cluster.all_done(1, 8) && cluster.all_done(2, 24)
    });
    assert_eq!(
        cluster.launches_on(&deaf),
        before,
        "it was given nothing more"
    );
    let orders = cluster.commands_sent_count(&deaf);
    assert!(orders < 40, "probed, not hammered: {orders} orders");
    cluster.until("its return", 90_000, |cluster| {
        cluster.released_machines.contains(&deaf)
    });
    cluster.check();
}

// Guards against a machine that nothing was sent to meanwhile: only its incarnations show that it is unreachable.
#[test]
fn an_idle_machine_whose_incarnations_rise_gets_no_tasks() {
    let mut cluster = ready_with_boots_of(50.0);
    let deaf = cluster.machine("a", true, 0);
    cluster.run(4_000);
    cluster.faults.unreachable_machines.insert(deaf.clone());
    cluster.run(18_500);
    assert!(!cluster.released_machines.contains(&deaf), "not yet");
    cluster.submit(0, &long_job(1, 8));
    cluster.until("all tasks", 60_000, |cluster| cluster.all_done(1, 8));
    assert_eq!(cluster.launches_on(&deaf), 0);
    cluster.check();
}

#[test]
fn a_machine_that_is_reachable_again_gets_tasks_again() {
    let mut cluster = ready_with_boots_of(50.0);
    cluster.task_run_ms = 4_000;
    cluster.capacity = 1;
    cluster.submit(0, &job(1, 60));
    cluster.until("tasks", 30_000, |cluster| cluster.running().len() == 4);
    let deaf = cluster.task_starts[0].2.clone();
    cluster.faults.unreachable_machines.insert(deaf.clone());
    cluster.run(25_000);
    cluster.faults.unreachable_machines.clear();
    let before = starts_on(&cluster, &deaf);
    cluster.until("tasks on it again", 15_000, |cluster| {
        starts_on(cluster, &deaf) > before
    });
    cluster.until("all tasks", 200_000, |cluster| cluster.all_done(1, 60));
    cluster.check();
}

// Guards against every use of a heartbeat that a late copy could mislead: as a lease renewal, as proof that
// an attempt is gone, as a completion, as a machine to be used.
#[test]
fn late_copies_of_heartbeats_change_nothing() {
    let mut cluster = ready();
    cluster.task_run_ms = 9_000;
    cluster.faults.heartbeats.copies_after_ms = vec![700, 6_000, 17_000, 40_000];
    cluster.submit(0, &job(1, 40));
    cluster.until("tasks", 30_000, |cluster| cluster.running().len() > 8);
    let hung = cluster.task_starts[0].2.clone();
    cluster.workers.get_mut(&hung).expect("a worker").hung = true;
    cluster.run(8_000);
    (0..3).for_each(|controller| cluster.crash(controller));
    cluster.run(3_000);
    (0..3).for_each(|controller| cluster.start(controller));
    cluster.run(30_000);
    if let Some(worker) = cluster.workers.get_mut(&hung) {
        worker.hung = false;
    }
    let leader = cluster.leader();
    cluster.crash(leader);
    cluster.run(500);
    cluster.start(leader);
    cluster.until("all tasks", 200_000, |cluster| cluster.all_done(1, 40));
    cluster.run(4_000);
    assert_eq!(cluster.state(0, 1), (200, "done".into()));
    cluster.until("an empty fleet", 120_000, |cluster| {
        cluster.workers.is_empty()
    });
    cluster.run(60_000);
    cluster.check();
}

// Guards against copies that keep a dead machine alive.
#[test]
fn a_late_copy_is_no_sign_of_life() {
    let mut cluster = ready();
    cluster.task_run_ms = 60_000;
    cluster.faults.heartbeats.copies_after_ms = vec![3_000, 9_000, 15_000, 21_000];
    cluster.submit(0, &long_job(1, 8));
    cluster.until("tasks", 30_000, |cluster| cluster.running().len() == 8);
    let dead = cluster.task_starts[0].2.clone();
    cluster.run(25_000);
    cluster.workers.get_mut(&dead).expect("a worker").hung = true;
    cluster.until("other starts", 30_000, |cluster| {
        cluster.task_starts.len() > 8
    });
    cluster.check();
}

// Guards against a machine long returned that is taken for capacity again, by its old owner or by one
// that never heard of it.
#[test]
fn a_heartbeat_copy_from_a_released_machine_revives_nothing() {
    let mut cluster = ready();
    cluster.submit(0, &job(1, 3));
    cluster.until("tasks", 30_000, |cluster| !cluster.running().is_empty());
    let id = cluster.task_starts[0].2.clone();
    cluster.run(3_000);
    let mut copy = cluster.heartbeat_of(&id);
    // The last one it sent, which never arrived itself.
    copy.sequence += 1_000;
    copy.tasks.clear();
    cluster.until("an empty fleet", 120_000, |cluster| {
        cluster.workers.is_empty()
    });
    cluster.run(2_000);
    let before = cluster.commands_sent_count(&id);
    for round in 0..2 {
        for controller in 0..3 {
            cluster.deliver_copy(controller, copy.clone());
        }
        cluster.run(500);
        let job_id = 2 + round;
        let tasks = 20 + 20 * round as u32;
        cluster.submit(0, &job(job_id, tasks));
        cluster.until("another job", 60_000, |cluster| {
            cluster.all_done(job_id, tasks)
        });
        assert_eq!(
            cluster.commands_sent_count(&id),
            before,
            "nobody speaks to it"
        );
        (0..3).for_each(|controller| cluster.crash(controller));
        (0..3).for_each(|controller| cluster.start(controller));
        cluster.run(10_000);
    }
    cluster.check();
}

// Guards against a controller that goes on commanding workers when only they are left to it, and against
// users who are sent to it.
#[test]
fn a_controller_that_reaches_only_its_workers_releases_them() {
    let mut cluster = ready();
    cluster.task_run_ms = 60_000;
    cluster.submit(0, &long_job(1, 24));
    cluster.until("tasks", 30_000, |cluster| cluster.running().len() == 24);
    cluster.run(3_000);
    let (leader, epoch) = (cluster.leader(), cluster.epoch());
    cluster.faults.key_value.unreachable_from.insert(leader);
    cluster.faults.cut_from_peers.insert(leader);
    cluster.run(7_000);
    assert!(!cluster.healthy(leader), "users should not be sent there");
    cluster.until("another leader", 10_000, |cluster| {
        cluster.leader() != leader
    });
    cluster.run(20_000);
    cluster.faults.key_value.unreachable_from.clear();
    cluster.faults.cut_from_peers.clear();
    cluster.until("all tasks", 120_000, |cluster| cluster.all_done(1, 24));
    assert_eq!(cluster.task_starts.len(), 24, "no lease ran out");
    assert_eq!(
        cluster.epoch(),
        epoch + 2,
        "one epoch without it, one with it again"
    );
    cluster.check();
}

// Guards against machines that never go back, because the worker has to remember an attempt for as long as an
// command that was not answered might still arrive (found by a day of mixed faults).
#[test]
fn a_machine_is_released_although_a_command_to_it_was_never_answered() {
    let mut cluster = ready();
    cluster.faults.hold_commands = true;
    cluster.submit(0, &job(1, 8));
    cluster.until("all tasks", 60_000, |cluster| cluster.all_done(1, 8));
    cluster.faults.hold_commands = false;
    cluster.until("an empty fleet", 60_000, |cluster| {
        cluster.workers.is_empty()
    });
    assert!(cluster.release_commands() > 0, "none was held back");
    cluster.check();
}

// Guards against tasks that wait for an owner the leader cannot reach, while others have free capacity.
#[test]
fn tasks_are_placed_on_machines_whose_owner_the_leader_reaches() {
    let mut cluster = ready_with_boots_of(50.0);
    let leader = cluster.leader();
    cluster.task_run_ms = 2_000;
    for _ in 0..9 {
        cluster.machine("a", true, 0);
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

// Guards against tasks that wait for the end of a lease on a machine the cloud has taken without notice.
#[test]
fn tasks_of_a_machine_that_is_no_longer_listed_run_again_before_its_lease_ends() {
    let mut cluster = ready_with_boots_of(50.0);
    cluster.task_run_ms = 60_000;
    cluster.submit(0, &long_job(1, 12));
    cluster.until("tasks", 30_000, |cluster| cluster.running().len() == 12);
    cluster.run(5_000);
    let (_, task, taken) = cluster.task_starts[0].clone();
    cluster.workers.remove(&taken);
    cluster.run(14_000);
    let again = cluster.task_starts.iter().filter(|s| s.1 == task).count();
    assert_eq!(again, 2, "it runs elsewhere, 2 s before the lease is over");
    cluster.check();
}

// Guards against partitions that stay idle, and a leader that provisions nothing, for as long as connections
// between controllers are refused.
#[test]
fn the_leader_takes_over_partitions_whose_owners_do_not_reach_it() {
    let mut cluster = ready_with_boots_of(50.0);
    cluster.task_run_ms = 30_000;
    for _ in 0..9 {
        cluster.machine("a", true, 0);
    }
    cluster.run(10_000);
    let leader = cluster.leader();
    cluster.faults.cut_from_peers = (0..3).filter(|controller| *controller != leader).collect();
    cluster.crash(leader);
    cluster.start(leader);
    cluster.run(5_000);
    cluster.submit(leader, &long_job(1, 36));
    cluster.until("all at once", 25_000, |cluster| {
        cluster.running().len() == 36
    });
    let epoch = cluster.epoch();
    cluster.submit(leader, &long_job(2, 4));
    cluster.until("another machine", 10_000, |cluster| {
        cluster.workers.len() > 9
    });
    cluster.faults.cut_from_peers.clear();
    cluster.run(20_000);
    assert!(
        (epoch + 1..=epoch + 2).contains(&cluster.epoch()),
        "both are back"
    );
    cluster.until("all tasks", 60_000, |cluster| {
        cluster.all_done(1, 36) && cluster.all_done(2, 4)
    });
    assert_eq!(cluster.task_starts.len(), 40, "nothing was lost on the way");
    cluster.check();
}

#[test]
fn nothing_is_lost_when_all_controllers_are_left_with_their_workers() {
    let mut cluster = ready();
    cluster.task_run_ms = 30_000;
    cluster.submit(0, &long_job(1, 12));
    cluster.until("tasks", 30_000, |cluster| cluster.running().len() == 12);
    cluster.faults.key_value.unreachable_from = (0..3).collect();
    cluster.faults.cut_from_peers = (0..3).collect();
    cluster.run(30_000);
    cluster.faults.key_value.unreachable_from.clear();
    cluster.faults.cut_from_peers.clear();
    cluster.until("all tasks", 120_000, |cluster| cluster.all_done(1, 12));
    cluster.run(3_000);
    assert_eq!(cluster.state(2, 1), (200, "done".into()));
    cluster.check();
}

// Guards against users and launches that wait for one slow answer, and against copies that are taken for
// other writes.
#[test]
fn slow_responses_of_the_key_value_store_block_nobody() {
    let mut cluster = ready_with_boots_of(50.0);
    for _ in 0..9 {
        cluster.machine("a", true, 0);
    }
    cluster.run(10_000);
    cluster.faults.key_value.slow_writes_ms = 1_200;
    let mut slowest = 0;
    for id in 1..=12 {
        let asked = cluster.now;
        let reply = cluster.submit(id as usize % 3, &job(id, 3));
        assert!(matches!(reply.status, 200 | 201), "{reply:?}");
        slowest = slowest.max(cluster.now - asked);
    }
    assert!(slowest < 800, "one waited {slowest} ms");
    cluster.until("all tasks", 60_000, |cluster| {
        (1..=12).all(|id| cluster.all_done(id, 3))
    });
    assert_eq!(cluster.task_starts.len(), 36, "each ran once");
    cluster.check();
}

// Guards against records of former epochs that are never written anew while completions always come
// first: the next epoch takes all that has ended since for work that may still be there, and at full
// size its leader ran out of memory.
#[test]
fn records_of_former_epochs_go_while_tasks_complete() {
    let mut cluster = Cluster::new();
    for settings in &mut cluster.settings {
        settings.facts.state.write_rps = 6.0;
    }
    (0..3).for_each(|controller| cluster.start(controller));
    cluster.run(4_000);
    cluster.task_run_ms = 2_000;
    cluster.submit(0, &long_job(1, 4_000));
    cluster.until("tasks", 30_000, |cluster| cluster.running().len() == 40);
    cluster.run(10_000);
    (0..3).for_each(|controller| cluster.crash(controller));
    (0..3).for_each(|controller| cluster.start(controller));
    let former = format!("a/{}.", cluster.epoch());
    let before = cluster.task_starts.len();
    cluster.run(20_000);
    assert_eq!(cluster.keys(&former), Vec::<String>::new());
    assert!(cluster.task_starts.len() > before + 100, "tasks went on");
    cluster.check();
}

// Guards against former incarnations that are taken for present ones: leases still alive, names used again.
#[test]
fn controllers_restarted_within_a_moment_share_one_leader_and_repeat_no_number() {
    let mut cluster = ready();
    cluster.task_run_ms = 30_000;
    cluster.submit(0, &long_job(1, 16));
    cluster.until("tasks", 30_000, |cluster| cluster.running().len() == 16);
    for round in 0..4 {
        let leader = cluster.leader();
        cluster.faults.key_value.hold_writes.insert(leader);
        cluster.run(300);
        cluster.crash(leader);
        cluster.run(200);
        cluster.faults.key_value.hold_writes.clear();
        cluster.start(leader);
        cluster.run(400);
        // In the middle of the election that follows, another goes, or all; and late copies of what
        // the former incarnation had sent arrive.
        cluster.crash((leader + 1) % 3);
        cluster.start((leader + 1) % 3);
        if round % 2 == 1 {
            (0..3).for_each(|controller| cluster.crash(controller));
            (0..3).for_each(|controller| cluster.start(controller));
        }
        cluster.release_writes();
        cluster.run(7_000);
        let members = &cluster.stored("c/epoch").expect("an epoch")["members"];
        assert_eq!(members.as_array().map(Vec::len), Some(3), "all are back");
    }
    cluster.until("all tasks", 200_000, |cluster| cluster.all_done(1, 16));
    assert_eq!(cluster.task_starts.len(), 16, "no lease ran out");
    cluster.check();
}

// Guards against a late write by which a former incarnation joins and which undoes that of the present one.
#[test]
fn a_late_message_of_a_former_incarnation_costs_no_epoch() {
    let mut cluster = ready();
    let other = (cluster.leader() + 1) % 3;
    cluster.crash(other);
    cluster.run(8_000);
    cluster.faults.key_value.hold_writes.insert(other);
    cluster.start(other);
    cluster.run(400);
    cluster.crash(other);
    cluster.faults.key_value.hold_writes.clear();
    cluster.start(other);
    cluster.until("its epoch", 3_000, |cluster| {
        let members = &cluster.stored("c/epoch").expect("an epoch")["members"];
        members.as_array().map(Vec::len) == Some(3)
    });
    let epoch = cluster.epoch();
    assert!(
        !cluster.release_writes().is_empty(),
        "something was held back"
    );
    cluster.run(10_000);
    assert_eq!(cluster.epoch(), epoch);
}

// Guards against questions that lose to others every time: whoever came first used up the share of
// reads, so with the same order of polls some job was never answered for.
#[test]
fn queries_about_every_old_job_are_answered_although_they_exceed_the_share() {
    let mut cluster = ready();
    let ids: Vec<u64> = (1..=900).collect();
    ids.iter().for_each(|id| cluster.put_final(*id));
    (0..3).for_each(|controller| cluster.crash(controller));
    (0..3).for_each(|controller| cluster.start(controller));
    cluster.run(5_000);
    let begun = cluster.now;
    let mut answered = BTreeSet::new();
    while answered.len() < ids.len() {
        assert!(cluster.now < begun + 45_000, "{} answered", answered.len());
        answered.extend(cluster.answered_questions(1, &ids));
        cluster.run(3_000);
    }
}

// Guards against work of low priority, and its largest jobs, that never begin under a burst.
#[test]
fn the_largest_job_of_the_lowest_class_begins_in_time_under_a_burst() {
    let mut cluster = ready();
    cluster.capacity = 2;
    cluster.task_run_ms = 5_000;
    let mut large = job(1, 200);
    large["Turno"] = json!("low");
    large["EntregaS"] = json!(5_000.0);
    let urgent = |id: u64| {
        let mut urgent = job(id, 40);
        urgent["Turno"] = json!("urgent");
        urgent["EntregaS"] = json!(20.0);
        urgent
    };
    cluster.submit(0, &urgent(2));
    cluster.submit(1, &large);
    let submitted = cluster.now;
    let began = |cluster: &Cluster| cluster.task_starts.iter().any(|s| s.1.job == JobId(1));
    for id in 3.. {
        if began(&cluster) {
            break;
        }
        assert!(cluster.now < submitted + 240_000, "four minutes are over");
        cluster.submit(id as usize % 3, &urgent(id));
        cluster.run(8_000);
    }
    let first = TaskId {
        job: JobId(1),
        index: 0,
    };
    assert!(
        cluster.task_starts.iter().any(|s| s.1 == first),
        "with some of its tasks"
    );
    let urgent = cluster
        .task_starts
        .iter()
        .filter(|s| s.1.job != JobId(1))
        .count();
    assert!(urgent > 80, "the urgent work went on");
    cluster.check();
}

// Guards against wide tasks that their own team's narrow ones keep out: whenever one of those ends, the
// limit has room for another of them only.
#[test]
fn a_wide_job_gets_done_beside_narrow_ones_of_its_team() {
    let mut cluster = ready();
    cluster.task_run_ms = 7_000;
    cluster.run_spread_ms = 900;
    let red = |id: u64, tasks: u32| {
        let mut red = job(id, tasks);
        red["Cuadrilla"] = json!("red");
        red
    };
    let mut wide = red(1, 4);
    wide["Turno"] = json!("low");
    wide["Cores"] = json!(4.0);
    cluster.submit(0, &red(2, 400));
    cluster.run(20_000);
    cluster.submit(1, &wide);
    let submitted = cluster.now;
    cluster.until("its first task", 130_000, |cluster| {
        cluster.task_starts.iter().any(|s| s.1.job == JobId(1))
    });
    cluster.until("all of it", 250_000, |cluster| cluster.all_done(1, 4));
    assert!(cluster.now < submitted + 330_000);
    assert!(
        !cluster.all_done(2, 400),
        "the narrow ones were still coming"
    );
    cluster.check();
}

// Guards against whatever grows faster than the fleet when a third of it falls silent, all controllers
// crash in it and the silent third comes back after its lease, at the largest size asked for.
#[test]
fn a_fleet_half_as_large_again_survives_when_a_third_of_it_falls() {
    let mut cluster = Cluster::new();
    for settings in &mut cluster.settings {
        settings.facts.teams[1].cpus_max = 10_000.0;
        settings.facts.state.write_rps = 60.0;
    }
    (0..3).for_each(|controller| cluster.start(controller));
    let machines = 1_850;
    cluster.capacity = machines;
    cluster.task_run_ms = 12_000;
    cluster.nominal_boot_s = 50.0;
    let ids: Vec<MachineId> = (0..machines)
        .map(|n| cluster.machine(if n % 2 == 0 { "a" } else { "b" }, true, 0))
        .collect();
    cluster.run(9_000);
    for id in 1..=20 {
        cluster.submit(id as usize % 3, &long_job(id, 400));
    }
    cluster.until("a full fleet", 20_000, |cluster| {
        cluster.running().len() > 7_000
    });
    let hang = |cluster: &mut Cluster, hung: bool| {
        for id in ids.iter().step_by(3) {
            if let Some(worker) = cluster.workers.get_mut(id) {
                worker.hung = hung;
            }
        }
    };
    hang(&mut cluster, true);
    (0..3).for_each(|controller| cluster.crash(controller));
    cluster.run(2_000);
    (0..3).for_each(|controller| cluster.start(controller));
    let began = cluster.now;
    let before = cluster.task_starts.len();
    cluster.until("another start", 12_000, |cluster| {
        cluster.task_starts.len() > before
    });
    cluster.run(20_000);
    hang(&mut cluster, false);
    cluster.until("all tasks", 90_000, |cluster| {
        (1..=20).all(|id| cluster.all_done(id, 400))
    });
    assert!(cluster.now < began + 110_000);
    assert!(cluster.epoch() <= 6, "epoch {}", cluster.epoch());
    let lost = cluster.task_starts.len() - 8_000;
    assert!(
        lost < 2 * 4 * machines / 3,
        "{lost} starts more than needed"
    );
    cluster.run(30_000);
    assert_eq!(
        cluster.keys("a/"),
        Vec::<String>::new(),
        "records of nothing"
    );
    cluster.check();
}

// Guards against malformed heartbeats: they change nothing and stop nothing.
#[test]
fn malformed_heartbeats_are_rejected() {
    let mut cluster = ready();
    let good = json!({"Estiba": "i-000001", "Addr": "10.1.0.1:1", "Modelo": "m4", "Patio": "a",
        "Prestados": true, "Jornada": 1, "Folio": 1, "Vara": 0, "Piezas": []});
    let with = |field: &str, value: serde_json::Value| {
        let mut heartbeat = good.clone();
        heartbeat[field] = value;
        heartbeat.to_string()
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
        let reply = cluster.ask(0, |request| Event::Heartbeat(request, bytes));
        assert_eq!(reply.status, 400, "{body}");
    }
    // An unknown type of machine, with a task that nobody gave it: heard, and not used.
    let mut stranger = good.clone();
    stranger["Modelo"] = json!("m9");
    stranger["Piezas"] = json!([{"Pieza": "j-000001/0", "Intento": 1, "Estado": "running"}]);
    for controller in 0..3 {
        let bytes = stranger.to_string().into_bytes();
        let reply = cluster.ask(controller, |request| Event::Heartbeat(request, bytes));
        assert!(matches!(reply.status, 200 | 421), "{}", reply.status);
    }
    cluster.submit(0, &job(1, 4));
    cluster.until("all tasks", 60_000, |cluster| cluster.all_done(1, 4));
    cluster.check();
}
