//! Machines that hang, die, fail tasks, are unreachable or are not needed any more.

use worksshunt_core::partitioning::partition_owner;
use worksshunt_wire::{ControllerName, MachineId};

use crate::{long_job, ready, ready_with_boots_of};
use worksshunt_simulation::{job, Cluster, TaskStart};

#[test]
fn idle_machines_are_released() {
    let mut cluster = ready();
    cluster.submit(0, &job(1, 3));
    cluster.until("all tasks", 60_000, |cluster| cluster.all_done(1, 3));
    cluster.until("an empty fleet", 90_000, |cluster| {
        cluster.workers.is_empty()
    });
    cluster.check();
}

#[test]
fn a_hung_machine_loses_its_tasks_only_after_its_lease() {
    let mut cluster = ready();
    cluster.task_run_ms = 20_000;
    cluster.submit(0, &job(1, 4));
    cluster.until("tasks", 30_000, |cluster| cluster.running().len() == 4);
    let machine = cluster.task_starts[0].machine.clone();
    let hung_at = cluster.now;
    cluster.workers.get_mut(&machine).expect("a worker").is_hung = true;
    cluster.until("a second start", 90_000, |cluster| {
        cluster.task_starts.len() > 4
    });
    assert!(
        cluster.now > hung_at + 16_000,
        "started before the lease was over"
    );
    if let Some(worker) = cluster.workers.get_mut(&machine) {
        worker.is_hung = false;
    }
    cluster.until("all tasks", 120_000, |cluster| cluster.all_done(1, 4));
    cluster.check();
}

// Guards against epochs in quick succession that put off the discovery of a dead machine each time.
#[test]
fn a_dead_machine_is_detected_during_a_rolling_restart() {
    let mut cluster = ready();
    cluster.task_run_ms = 100_000;
    cluster.submit(0, &long_job(1, 24));
    cluster.until("tasks", 30_000, |cluster| cluster.running().len() == 24);
    let leader = cluster.leader();
    let other = (leader + 1) % 3;
    // A machine that is the leader's with and without the controller that restarts.
    let names: Vec<ControllerName> = (0..3).map(|n| ControllerName(format!("n{n}"))).collect();
    let rest: Vec<ControllerName> = names
        .iter()
        .filter(|n| **n != names[other])
        .cloned()
        .collect();
    let dead = cluster
        .workers
        .keys()
        .find(|id| [&names, &rest].map(|n| partition_owner(id, n)) == [Some(&names[leader]); 2])
        .cloned()
        .expect("the leader owns one of six");
    cluster.workers.get_mut(&dead).expect("a worker").is_hung = true;
    for _ in 0..4 {
        cluster.crash(other);
        cluster.run(6_000);
        cluster.start(other);
        cluster.run(4_000);
    }
    assert!(
        cluster.task_starts.len() > 24,
        "no machine was counted as lost after 40 s"
    );
    cluster.check();
}

// Guards against a faulty machine that fails tasks quickly and so attracts ever more of them.
#[test]
fn a_faulty_machine_gets_no_more_tasks_and_is_released() {
    let mut cluster = ready_with_boots_of(50.0);
    cluster.task_run_ms = 2_000;
    let faulty = cluster.create_machine("a", true, 0);
    cluster.create_machine("a", true, 0);
    cluster.faults.faulty_machines.insert(faulty.clone());
    cluster.run(4_000);
    for id in 1..=20 {
        cluster.submit(0, &job(id, 3));
    }
    cluster.until("all tasks", 90_000, |cluster| {
        (1..=20).all(|id| cluster.all_done(id, 3))
    });
    cluster.until("its release", 90_000, |cluster| {
        cluster.released_machines.contains(&faulty)
    });
    let failed = cluster
        .task_starts
        .iter()
        .filter(|start| start.machine == faulty)
        .count();
    assert!((3..=8).contains(&failed), "{failed} starts on it");
    cluster.check();
}

fn starts_on(cluster: &Cluster, id: &MachineId) -> usize {
    cluster
        .task_starts
        .iter()
        .filter(|start| start.machine == *id)
        .count()
}

// Guards against machines whose heartbeats arrive, and which therefore get tasks, while nothing reaches them.
#[test]
fn a_machine_that_sends_heartbeats_but_is_unreachable_gets_no_tasks_and_is_released() {
    let mut cluster = ready();
    cluster.task_run_ms = 20_000;
    cluster.submit(0, &long_job(1, 8));
    cluster.until("tasks", 30_000, |cluster| cluster.running().len() == 8);
    let unreachable = cluster.task_starts[0].machine.clone();
    cluster
        .faults
        .unreachable_machines
        .insert(unreachable.clone());
    cluster.run(20_000);
    let before = cluster.launches_on(&unreachable);
    cluster.submit(1, &long_job(2, 24));
    cluster.until("all tasks", 150_000, |cluster| {
        cluster.all_done(1, 8) && cluster.all_done(2, 24)
    });
    assert_eq!(
        cluster.launches_on(&unreachable),
        before,
        "it got no more tasks"
    );
    let commands = cluster.commands_sent_count(&unreachable);
    assert!(commands < 40, "{commands} commands instead of a few probes");
    cluster.until("its release", 90_000, |cluster| {
        cluster.released_machines.contains(&unreachable)
    });
    cluster.check();
}

// Guards against a machine that nothing was sent to meanwhile: only its incarnations show that it is unreachable.
#[test]
fn an_idle_machine_whose_incarnations_rise_gets_no_tasks() {
    let mut cluster = ready_with_boots_of(50.0);
    let unreachable = cluster.create_machine("a", true, 0);
    cluster.run(4_000);
    cluster
        .faults
        .unreachable_machines
        .insert(unreachable.clone());
    cluster.run(18_500);
    assert!(!cluster.released_machines.contains(&unreachable), "not yet");
    cluster.submit(0, &long_job(1, 8));
    cluster.until("all tasks", 60_000, |cluster| cluster.all_done(1, 8));
    assert_eq!(cluster.launches_on(&unreachable), 0);
    cluster.check();
}

#[test]
fn a_machine_that_is_reachable_again_gets_tasks_again() {
    let mut cluster = ready_with_boots_of(50.0);
    cluster.task_run_ms = 4_000;
    cluster.capacity = 1;
    cluster.submit(0, &job(1, 60));
    cluster.until("tasks", 30_000, |cluster| cluster.running().len() == 4);
    let unreachable = cluster.task_starts[0].machine.clone();
    cluster
        .faults
        .unreachable_machines
        .insert(unreachable.clone());
    cluster.run(25_000);
    cluster.faults.unreachable_machines.clear();
    let before = starts_on(&cluster, &unreachable);
    cluster.until("tasks on it again", 15_000, |cluster| {
        starts_on(cluster, &unreachable) > before
    });
    cluster.until("all tasks", 200_000, |cluster| cluster.all_done(1, 60));
    cluster.check();
}

// Guards against machines that are never released, because the worker has to remember an attempt for as long as a
// command that was not answered might still arrive (found by a day of mixed faults).
#[test]
fn a_machine_is_released_although_a_command_to_it_was_never_answered() {
    let mut cluster = ready();
    cluster.faults.are_commands_held = true;
    cluster.submit(0, &job(1, 8));
    cluster.until("all tasks", 60_000, |cluster| cluster.all_done(1, 8));
    cluster.faults.are_commands_held = false;
    cluster.until("an empty fleet", 60_000, |cluster| {
        cluster.workers.is_empty()
    });
    assert!(cluster.release_commands() > 0, "none was held back");
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
    let TaskStart {
        task,
        machine: taken,
        ..
    } = cluster.task_starts[0].clone();
    cluster.workers.remove(&taken);
    cluster.run(14_000);
    let again = cluster
        .task_starts
        .iter()
        .filter(|start| start.task == task)
        .count();
    assert_eq!(again, 2, "it runs elsewhere, 2 s before the lease is over");
    cluster.check();
}

/// A cluster with so many machines in two zones, filled by twenty jobs of 400 tasks, and the machines.
fn large_full_fleet(machines: usize) -> (Cluster, Vec<MachineId>) {
    let mut cluster = Cluster::new();
    for settings in &mut cluster.settings {
        settings.facts.teams[1].max_cpus = 10_000.0;
        settings.facts.key_value_store.changes_per_s = 60.0;
    }
    (0..3).for_each(|controller| cluster.start(controller));
    cluster.capacity = machines;
    cluster.task_run_ms = 12_000;
    cluster.nominal_boot_s = 50.0;
    let ids: Vec<MachineId> = (0..machines)
        .map(|n| cluster.create_machine(if n % 2 == 0 { "a" } else { "b" }, true, 0))
        .collect();
    cluster.run(9_000);
    for id in 1..=20 {
        cluster.submit(id as usize % 3, &long_job(id, 400));
    }
    cluster.until("a full fleet", 20_000, |cluster| {
        cluster.running().len() > 7_000
    });
    (cluster, ids)
}

// Guards against whatever grows faster than the fleet when a third of it falls silent, all controllers
// crash in it and the silent third resumes after its lease, at the largest size asked for.
#[test]
fn a_fleet_half_as_large_again_survives_when_a_third_of_it_hangs() {
    let machines = 1_850;
    let (mut cluster, ids) = large_full_fleet(machines);
    let hang = |cluster: &mut Cluster, hung: bool| {
        for id in ids.iter().step_by(3) {
            if let Some(worker) = cluster.workers.get_mut(id) {
                worker.is_hung = hung;
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
        "no attempt records are left"
    );
    cluster.check();
}
