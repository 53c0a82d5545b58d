//! Worker leases as tracked by the owner: a heartbeat whose response renews the worker's lease also renews the lease
//! that the owner tracks, even if it arrives out of order.

use std::collections::BTreeSet;

use serde_json::json;
use worksshunt_simulation::Cluster;
use worksshunt_wire::{JobId, MachineId};

use crate::{long_job, ready_with_boot_time};

/// Delay of a heartbeat, ms; shorter than a worker waits for the response.
const HEARTBEAT_DELAY_MS: u64 = 1_500;

/// The machine that a test disconnects, and the jobs with tasks on it.
struct TargetMachine {
    machine: MachineId,
    jobs: BTreeSet<JobId>,
}

/// Returns a cluster of two machines that run five long jobs of one task, and the machine with the most jobs.
fn two_machines_with_jobs() -> (Cluster, TargetMachine) {
    let mut cluster = ready_with_boot_time(200.0);
    cluster.capacity = 2;
    cluster.task_run_ms = 120_000;
    for id in 1..=5 {
        cluster.submit(0, &long_job(id, 1));
    }
    cluster.until("five tasks", 60_000, |c| c.running().len() == 5);
    cluster.run(3_000);
    let target = machine_with_most_jobs(&cluster);
    (cluster, target)
}

/// Returns the machine with the most jobs.
fn machine_with_most_jobs(cluster: &Cluster) -> TargetMachine {
    let machines = cluster.workers.keys().cloned();
    let targets = machines.map(|machine| TargetMachine {
        jobs: cluster.jobs_on(&machine),
        machine,
    });
    let target = targets.max_by_key(|target| target.jobs.len());
    target.expect("machines")
}

/// Makes a heartbeat arrive out of order: while it is in flight, the newer response to a direct command arrives. The
/// command stops the task of a job that is cancelled, and the job is removed from `target`.
fn delay_heartbeat_past_command_response(cluster: &mut Cluster, target: &mut TargetMachine) {
    let machine = target.machine.clone();
    let delay = (machine.clone(), HEARTBEAT_DELAY_MS);
    cluster.until("a pause between heartbeats", 5_000, |c| {
        !c.awaits_heartbeat_response(&machine)
    });
    cluster.faults.heartbeats.slow_ms.extend([delay]);
    cluster.until("a heartbeat in flight", 5_000, |c| {
        c.awaits_heartbeat_response(&machine)
    });
    let commands_before = cluster.commands_sent_count(&machine);
    let cancelled_job = target.jobs.pop_first().expect("a job");
    cluster.send_cancel(0, cancelled_job);
    cluster.until("a command", 1_000, |c| {
        c.commands_sent_count(&machine) > commands_before
    });
    cluster.until("a response", 4_000, |c| {
        !c.awaits_heartbeat_response(&machine)
    });
    cluster.faults.heartbeats.slow_ms.clear();
}

/// Drops all messages between the machine and the controllers.
fn disconnect(cluster: &mut Cluster, machine: &MachineId) {
    cluster.faults.heartbeats.lost_from.insert(machine.clone());
    cluster.faults.unreachable_machines.insert(machine.clone());
}

/// Checks that within `timeout_ms` the machine's jobs restart, and no other, without a violated invariant.
fn check_restarts(cluster: &mut Cluster, target: &TargetMachine, timeout_ms: u64) {
    let starts_before = cluster.task_starts.len();
    cluster.run(timeout_ms);
    assert!(
        cluster.invariants.violations.is_empty(),
        "{:?}",
        cluster.invariants.violations
    );
    let new_starts = &cluster.task_starts[starts_before..];
    let restarted_jobs: BTreeSet<JobId> = new_starts.iter().map(|start| start.task.job).collect();
    assert_eq!(
        restarted_jobs, target.jobs,
        "exactly the machine's jobs restart"
    );
}

// Guards against answering an out-of-order heartbeat, which renews the worker's lease, without recording the renewal.
#[test]
fn an_out_of_order_heartbeat_renews_the_tracked_lease() {
    let (mut cluster, mut target) = two_machines_with_jobs();
    delay_heartbeat_past_command_response(&mut cluster, &mut target);
    disconnect(&mut cluster, &target.machine);
    check_restarts(&mut cluster, &target, 30_000);
}

// The same with consecutive heartbeats, where the tracked lease would fall behind by one more interval each time.
#[test]
fn consecutive_out_of_order_heartbeats_renew_the_tracked_lease() {
    let (mut cluster, mut target) = two_machines_with_jobs();
    delay_heartbeat_past_command_response(&mut cluster, &mut target);
    delay_heartbeat_past_command_response(&mut cluster, &mut target);
    disconnect(&mut cluster, &target.machine);
    check_restarts(&mut cluster, &target, 30_000);
}

// Guards against exceeding a team's limit because tasks that still run are considered ended.
#[test]
fn a_team_stays_within_its_limit_when_a_machine_is_disconnected() {
    const RED_LIMIT: usize = 8;
    let mut cluster = ready_with_boot_time(200.0);
    cluster.capacity = 3;
    cluster.task_run_ms = 120_000;
    cluster.submit(0, &long_job(100, 4));
    let red_job = |id: u64, tasks: u32| {
        let mut job = long_job(id, tasks);
        job["Cuadrilla"] = json!("red");
        job
    };
    for id in 1..=RED_LIMIT as u64 {
        cluster.submit(0, &red_job(id, 1));
    }
    cluster.until("all tasks", 60_000, |c| c.running().len() == RED_LIMIT + 4);
    cluster.cancel(0, 100);
    cluster.submit(0, &red_job(9, 4));
    cluster.run(3_000);
    assert_eq!(cluster.running().len(), RED_LIMIT, "other tasks wait");
    let mut target = machine_with_most_jobs(&cluster);
    delay_heartbeat_past_command_response(&mut cluster, &mut target);
    disconnect(&mut cluster, &target.machine);
    let starts_before = cluster.task_starts.len();
    cluster.run(30_000);
    assert!(
        cluster.invariants.violations.is_empty(),
        "{:?}",
        cluster.invariants.violations
    );
    assert!(
        cluster.task_starts.len() > starts_before,
        "waiting tasks start"
    );
}

// Guards against copies of an out-of-order heartbeat that extend the tracked lease of a dead machine.
#[test]
fn copies_of_an_out_of_order_heartbeat_do_not_extend_a_lease() {
    let (mut cluster, mut target) = two_machines_with_jobs();
    cluster.faults.heartbeats.copies_after_ms =
        (4..120).map(|half_seconds| half_seconds * 500).collect();
    delay_heartbeat_past_command_response(&mut cluster, &mut target);
    cluster.faults.heartbeats.copies_after_ms.clear();
    // The cloud still lists the machine, so only the lease shows that its tasks have ended.
    cluster.hang(&target.machine, 120_000);
    check_restarts(&mut cluster, &target, 20_000);
    assert!(cluster.effects("heartbeat copy") > 100, "copies arrived");
}
