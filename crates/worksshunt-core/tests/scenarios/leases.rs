//! What a controller answers to a worker, and what it has on its books about the worker's lease.

use std::collections::BTreeSet;

use serde_json::json;
use worksshunt_simulation::Cluster;
use worksshunt_wire::{JobId, MachineId};

use crate::{long_job, ready_with_boots_of};

/// How long a heartbeat is under way, ms: less than workers wait for an answer.
const HEARTBEAT_IN_FLIGHT_MS: u64 = 1_500;

/// A machine that is about to be cut off, with the jobs that have tasks there.
struct Doomed {
    machine: MachineId,
    jobs: BTreeSet<JobId>,
}

/// A cluster of two machines with five tasks that go on for minutes, each of a job of its own, and the machine
/// that has the most of them.
fn two_machines() -> (Cluster, Doomed) {
    let mut cluster = ready_with_boots_of(200.0);
    cluster.capacity = 2;
    cluster.task_run_ms = 120_000;
    for id in 1..=5 {
        cluster.submit(0, &long_job(id, 1));
    }
    cluster.until("five tasks", 60_000, |c| c.running().len() == 5);
    cluster.run(3_000);
    let doomed = most_jobs(&cluster);
    (cluster, doomed)
}

/// The machine with tasks of the most jobs.
fn most_jobs(cluster: &Cluster) -> Doomed {
    let machines = cluster.workers.keys().cloned();
    let with_jobs = machines.map(|machine| Doomed {
        jobs: cluster.jobs_on(&machine),
        machine,
    });
    let doomed = with_jobs.max_by_key(|doomed| doomed.jobs.len());
    doomed.expect("machines")
}

/// While a heartbeat of the machine is in flight, a command to it is carried out and answered. The answer is the
/// newer message and arrives first. The command stops the task of one of the jobs, whose user cancels it.
fn command_overtakes_heartbeat(cluster: &mut Cluster, doomed: &mut Doomed) {
    let machine = doomed.machine.clone();
    let slow = (machine.clone(), HEARTBEAT_IN_FLIGHT_MS);
    cluster.until("a pause between heartbeats", 5_000, |c| {
        !c.awaits_heartbeat_response(&machine)
    });
    cluster.faults.heartbeats.slow_ms.extend([slow]);
    cluster.until("a heartbeat in flight", 5_000, |c| {
        c.awaits_heartbeat_response(&machine)
    });
    let commands = cluster.commands_sent_count(&machine);
    let cancelled = doomed.jobs.pop_first().expect("a job");
    cluster.send_cancel(0, cancelled);
    cluster.until("a command", 1_000, |c| {
        c.commands_sent_count(&machine) > commands
    });
    cluster.until("a response", 4_000, |c| {
        !c.awaits_heartbeat_response(&machine)
    });
    cluster.faults.heartbeats.slow_ms.clear();
}

/// Nothing passes between the machine and controllers any more.
fn cut_off(cluster: &mut Cluster, machine: &MachineId) {
    cluster.faults.heartbeats.lost_from.insert(machine.clone());
    cluster.faults.unreachable_machines.insert(machine.clone());
}

/// After so long no invariant is violated, and what was on the machine goes on elsewhere.
fn goes_on_elsewhere(cluster: &mut Cluster, doomed: &Doomed, within_ms: u64) {
    let started = cluster.task_starts.len();
    cluster.run(within_ms);
    assert!(
        cluster.invariants.violations.is_empty(),
        "{:?}",
        cluster.invariants.violations
    );
    let again = &cluster.task_starts[started..];
    let again: BTreeSet<JobId> = again.iter().map(|start| start.task.job).collect();
    assert_eq!(again, doomed.jobs, "what was there goes on elsewhere");
}

// The incident of issue 29: the answer to a direct command overtook a heartbeat. The heartbeat was answered and so renewed
// the worker's lease, while the owner's record of that lease stayed where it was.
#[test]
fn a_heartbeat_overtaken_by_the_response_to_a_command_renews_the_lease_on_both_sides() {
    let (mut cluster, mut doomed) = two_machines();
    command_overtakes_heartbeat(&mut cluster, &mut doomed);
    cut_off(&mut cluster, &doomed.machine);
    goes_on_elsewhere(&mut cluster, &doomed, 30_000);
}

// The same twice in a row: each time the record of the lease fell back by another interval of heartbeats.
#[test]
fn heartbeats_overtaken_one_after_the_other_renew_the_lease_on_both_sides() {
    let (mut cluster, mut doomed) = two_machines();
    command_overtakes_heartbeat(&mut cluster, &mut doomed);
    command_overtakes_heartbeat(&mut cluster, &mut doomed);
    cut_off(&mut cluster, &doomed.machine);
    goes_on_elsewhere(&mut cluster, &doomed, 30_000);
}

// Part of the same incident: tasks that were counted as gone while they ran made their team exceed its limit.
#[test]
fn a_team_at_its_limit_stays_there_while_a_machine_with_its_tasks_is_cut_off() {
    const RED_LIMIT: usize = 8;
    let mut cluster = ready_with_boots_of(200.0);
    cluster.capacity = 3;
    cluster.task_run_ms = 120_000;
    cluster.submit(0, &long_job(100, 4));
    let red = |id: u64, tasks: u32| {
        let mut job = long_job(id, tasks);
        job["Cuadrilla"] = json!("red");
        job
    };
    for id in 1..=RED_LIMIT as u64 {
        cluster.submit(0, &red(id, 1));
    }
    cluster.until("all to run", 60_000, |c| c.running().len() == RED_LIMIT + 4);
    cluster.cancel(0, 100);
    cluster.submit(0, &red(9, 4));
    cluster.run(3_000);
    assert_eq!(cluster.running().len(), RED_LIMIT, "the rest waits");
    let mut doomed = most_jobs(&cluster);
    command_overtakes_heartbeat(&mut cluster, &mut doomed);
    cut_off(&mut cluster, &doomed.machine);
    let started = cluster.task_starts.len();
    cluster.run(30_000);
    assert!(
        cluster.invariants.violations.is_empty(),
        "{:?}",
        cluster.invariants.violations
    );
    assert!(cluster.task_starts.len() > started, "others go on");
}

// The other side of the fix: what renews a lease must not keep a dead machine's tasks for as long as copies of it come.
#[test]
fn copies_of_an_overtaken_heartbeat_do_not_keep_the_tasks_of_a_dead_machine() {
    let (mut cluster, mut doomed) = two_machines();
    cluster.faults.heartbeats.copies_after_ms = (4..120).map(|half| half * 500).collect();
    command_overtakes_heartbeat(&mut cluster, &mut doomed);
    cluster.faults.heartbeats.copies_after_ms.clear();
    // It is still listed, so nothing but its lease shows that its tasks are gone.
    cluster.hang(&doomed.machine, 120_000);
    goes_on_elsewhere(&mut cluster, &doomed, 20_000);
    assert!(
        cluster.effects("heartbeat copy") > 100,
        "copies came all the time"
    );
}
