//! Machines that hang, die, fail tasks, are unreachable or are idle.

use worksshunt_core::partitioning::partition_owner;
use worksshunt_wire::{ControllerName, MachineId};

use crate::{long_job, ready, ready_with_boot_time};
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
fn tasks_of_a_hung_machine_restart_only_after_its_lease_expires() {
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
        "restarted before the lease expired"
    );
    if let Some(worker) = cluster.workers.get_mut(&machine) {
        worker.is_hung = false;
    }
    cluster.until("all tasks", 120_000, |cluster| cluster.all_done(1, 4));
    cluster.check();
}

// Guards against short epochs that each postpone the detection of a dead machine.
#[test]
fn a_dead_machine_is_detected_during_a_rolling_restart() {
    let mut cluster = ready();
    cluster.task_run_ms = 100_000;
    cluster.submit(0, &long_job(1, 24));
    cluster.until("tasks", 30_000, |cluster| cluster.running().len() == 24);
    let leader = cluster.leader();
    let restarting = (leader + 1) % 3;
    // A machine that the leader owns with and without the restarting controller.
    let names: Vec<ControllerName> = (0..3).map(|n| ControllerName(format!("n{n}"))).collect();
    let remaining_names: Vec<ControllerName> = names
        .iter()
        .filter(|n| **n != names[restarting])
        .cloned()
        .collect();
    let dead_machine = cluster
        .workers
        .keys()
        .find(|id| {
            [&names, &remaining_names].map(|n| partition_owner(id, n)) == [Some(&names[leader]); 2]
        })
        .cloned()
        .expect("a machine of the leader");
    cluster
        .workers
        .get_mut(&dead_machine)
        .expect("a worker")
        .is_hung = true;
    for _ in 0..4 {
        cluster.crash(restarting);
        cluster.run(6_000);
        cluster.start(restarting);
        cluster.run(4_000);
    }
    assert!(
        cluster.task_starts.len() > 24,
        "the machine was not detected as lost within 40 s"
    );
    cluster.check();
}

// Guards against a faulty machine that is always free for more tasks because it fails them quickly.
#[test]
fn a_faulty_machine_gets_no_more_tasks_and_is_released() {
    let mut cluster = ready_with_boot_time(50.0);
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
    cluster.until("the release of the faulty machine", 90_000, |cluster| {
        cluster.released_machines.contains(&faulty)
    });
    let starts = cluster
        .task_starts
        .iter()
        .filter(|start| start.machine == faulty)
        .count();
    assert!(
        (3..=8).contains(&starts),
        "{starts} starts on the faulty machine"
    );
    cluster.check();
}

fn starts_on(cluster: &Cluster, id: &MachineId) -> usize {
    cluster
        .task_starts
        .iter()
        .filter(|start| start.machine == *id)
        .count()
}

// Guards against placing tasks on machines whose heartbeats arrive but which commands do not reach.
#[test]
fn an_unreachable_machine_gets_no_tasks_and_is_released() {
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
    let launches_before = cluster.launches_on(&unreachable);
    cluster.submit(1, &long_job(2, 24));
    cluster.until("all tasks", 150_000, |cluster| {
        cluster.all_done(1, 8) && cluster.all_done(2, 24)
    });
    assert_eq!(
        cluster.launches_on(&unreachable),
        launches_before,
        "tasks were placed on the unreachable machine"
    );
    let commands = cluster.commands_sent_count(&unreachable);
    assert!(commands < 40, "{commands} commands instead of a few probes");
    cluster.until(
        "the release of the unreachable machine",
        90_000,
        |cluster| cluster.released_machines.contains(&unreachable),
    );
    cluster.check();
}

// Guards against an unreachable machine to which no command was sent: only its incarnations show the fault.
#[test]
fn an_idle_machine_with_new_incarnations_gets_no_tasks() {
    let mut cluster = ready_with_boot_time(50.0);
    let unreachable = cluster.create_machine("a", true, 0);
    cluster.run(4_000);
    cluster
        .faults
        .unreachable_machines
        .insert(unreachable.clone());
    cluster.run(18_500);
    assert!(
        !cluster.released_machines.contains(&unreachable),
        "released too early"
    );
    cluster.submit(0, &long_job(1, 8));
    cluster.until("all tasks", 60_000, |cluster| cluster.all_done(1, 8));
    assert_eq!(cluster.launches_on(&unreachable), 0);
    cluster.check();
}

#[test]
fn a_machine_that_is_reachable_again_gets_tasks_again() {
    let mut cluster = ready_with_boot_time(50.0);
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
    let starts_before = starts_on(&cluster, &unreachable);
    cluster.until("new tasks on the machine", 15_000, |cluster| {
        starts_on(cluster, &unreachable) > starts_before
    });
    cluster.until("all tasks", 200_000, |cluster| cluster.all_done(1, 60));
    cluster.check();
}

// Guards against machines that are never released because a worker keeps an attempt while an unanswered command about
// it could still arrive.
#[test]
fn a_machine_with_an_unanswered_command_is_released() {
    let mut cluster = ready();
    cluster.faults.are_commands_held = true;
    cluster.submit(0, &job(1, 8));
    cluster.until("all tasks", 60_000, |cluster| cluster.all_done(1, 8));
    cluster.faults.are_commands_held = false;
    cluster.until("an empty fleet", 60_000, |cluster| {
        cluster.workers.is_empty()
    });
    assert!(cluster.release_commands() > 0, "no command was held back");
    cluster.check();
}

// Guards against tasks that wait for the lease of a machine that the cloud has reclaimed without notice.
#[test]
fn tasks_of_an_unlisted_machine_restart_before_its_lease_expires() {
    let mut cluster = ready_with_boot_time(50.0);
    cluster.task_run_ms = 60_000;
    cluster.submit(0, &long_job(1, 12));
    cluster.until("tasks", 30_000, |cluster| cluster.running().len() == 12);
    cluster.run(5_000);
    let TaskStart {
        task,
        machine: reclaimed,
        ..
    } = cluster.task_starts[0].clone();
    cluster.workers.remove(&reclaimed);
    cluster.run(14_000);
    let start_count = cluster
        .task_starts
        .iter()
        .filter(|start| start.task == task)
        .count();
    assert_eq!(
        start_count, 2,
        "the task restarts 2 s before the lease expires"
    );
    cluster.check();
}

/// Returns a cluster with `machines` machines in two zones, filled by twenty jobs of 400 tasks, and the ids of the
/// machines.
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

// Guards against cost that grows faster than the fleet when a third of it hangs beyond its leases and all controllers
// crash meanwhile.
#[test]
fn a_large_fleet_recovers_after_a_third_of_it_hangs() {
    let machines = 1_850;
    let (mut cluster, ids) = large_full_fleet(machines);
    let set_hung = |cluster: &mut Cluster, is_hung: bool| {
        for id in ids.iter().step_by(3) {
            if let Some(worker) = cluster.workers.get_mut(id) {
                worker.is_hung = is_hung;
            }
        }
    };
    set_hung(&mut cluster, true);
    (0..3).for_each(|controller| cluster.crash(controller));
    cluster.run(2_000);
    (0..3).for_each(|controller| cluster.start(controller));
    let started_at = cluster.now;
    let starts_before = cluster.task_starts.len();
    cluster.until("another start", 12_000, |cluster| {
        cluster.task_starts.len() > starts_before
    });
    cluster.run(20_000);
    set_hung(&mut cluster, false);
    cluster.until("all tasks", 90_000, |cluster| {
        (1..=20).all(|id| cluster.all_done(id, 400))
    });
    assert!(cluster.now < started_at + 110_000);
    assert!(
        cluster.epoch_count() <= 6,
        "{} epochs",
        cluster.epoch_count()
    );
    let extra_starts = cluster.task_starts.len() - 8_000;
    assert!(
        extra_starts < 2 * 4 * machines / 3,
        "{extra_starts} starts more than needed"
    );
    cluster.run(30_000);
    assert_eq!(
        cluster.keys("a/"),
        Vec::<String>::new(),
        "no attempt records are left"
    );
    cluster.check();
}
