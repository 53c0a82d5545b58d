//! Controllers that crash and restart while thousands of machines run tasks.

use std::collections::BTreeSet;

use worksshunt_core::constants::partition_sync::MAX_FRAME_BYTES;
use worksshunt_simulation::Cluster;
use worksshunt_wire::{JobId, TaskId};

use crate::fixtures::{finish, full_deployment, Users, JOBS_AT_ONCE, MACHINES, TASKS_AT_ONCE};

#[test]
fn one_controller_takes_over_all_machines_and_hands_them_back() {
    let mut cluster = full_deployment(60_000);
    let mut users = Users::default();
    let begun = cluster.task_starts.len();
    let running: BTreeSet<TaskId> = cluster.running().into_iter().collect();
    let remaining = (cluster.leader() + 1) % 3;
    let others: Vec<usize> = (0..3)
        .filter(|controller| *controller != remaining)
        .collect();
    others
        .iter()
        .for_each(|controller| cluster.crash(*controller));
    users.query_for(&mut cluster, 15);
    assert!(
        cluster.workers_reporting_to(remaining) >= MACHINES * 9 / 10,
        "all send their heartbeats to it"
    );
    others
        .iter()
        .for_each(|controller| cluster.start(*controller));
    users.query_for(&mut cluster, 20);
    let again = cluster.task_starts[begun..]
        .iter()
        .filter(|start| running.contains(&start.task));
    assert_eq!(again.count(), 0, "nothing that ran was started again");
    let (max_sync_bytes, frames_dropped) =
        (cluster.usage.max_sync_bytes, cluster.usage.frames_dropped);
    assert!(
        frames_dropped == 0 && max_sync_bytes < MAX_FRAME_BYTES / 8,
        "a partition sync of {max_sync_bytes} bytes"
    );
    assert!(users.served > users.refused, "queries are answered");
    finish(&mut cluster, 1..=JOBS_AT_ONCE + 8, 180_000);
}

/// Jobs cancelled just before all controllers crash: their tasks run on as orphans.
const ORPHANED_JOBS: [u64; 2] = [1, 2];
/// Machines that vanish while no controller is there.
const VANISHED: usize = 40;

fn orphaned(task: &TaskId) -> bool {
    ORPHANED_JOBS.contains(&task.job.0)
}

/// Cancels jobs and crashes all controllers once that is stored, before any of them has informed a worker.
fn cancel_and_crash(cluster: &mut Cluster) {
    for id in ORPHANED_JOBS {
        cluster.send_cancel(0, JobId(id));
    }
    let cancelled = |cluster: &Cluster| {
        ORPHANED_JOBS
            .iter()
            .all(|id| cluster.stored(&format!("f/{}", JobId(*id))).is_some())
    };
    while !cancelled(cluster) {
        cluster.run(1);
    }
    (0..3).for_each(|controller| cluster.crash(controller));
}

fn remove_machines(cluster: &mut Cluster) {
    let ids = cluster.workers.keys().rev();
    let vanished: Vec<_> = ids.take(VANISHED).cloned().collect();
    vanished
        .iter()
        .for_each(|id| drop(cluster.workers.remove(id)));
}

#[test]
fn all_controllers_restart_and_send_few_more_commands_than_needed() {
    let mut cluster = full_deployment(60_000);
    let mut users = Users::default();
    cancel_and_crash(&mut cluster);
    let running: BTreeSet<TaskId> = cluster.running().into_iter().collect();
    let orphans = running.iter().filter(|task| orphaned(task)).count();
    assert!(orphans > 400, "{orphans} orphans");
    remove_machines(&mut cluster);
    let kept: BTreeSet<TaskId> = cluster
        .running()
        .into_iter()
        .filter(|t| !orphaned(t))
        .collect();
    let lost = running.iter().filter(|task| !orphaned(task)).count() - kept.len();
    users.query_for(&mut cluster, 5);
    cluster.usage.reset();
    let begun = cluster.task_starts.len();
    (0..3).for_each(|controller| cluster.start(controller));
    users.query_for(&mut cluster, 20);
    let again = cluster.task_starts[begun..]
        .iter()
        .filter(|start| kept.contains(&start.task));
    assert_eq!(again.count(), 0, "running tasks are kept");
    check_commands(&cluster, orphans, begun, kept.len());
    let launches = cluster.usage.launches as usize;
    assert!(lost > 0 && launches >= lost, "what is lost starts again");
    assert!(!cluster.running().iter().any(orphaned), "no orphan is left");
    finish(&mut cluster, 3..=JOBS_AT_ONCE + 8, 180_000);
}

/// Few more commands were sent since `begun` starts than the orphans and the slots beside the `kept` tasks need.
fn check_commands(cluster: &Cluster, orphans: usize, begun: usize, kept: usize) {
    // Each halt is sent in the response to a heartbeat and directly to the worker, whichever arrives.
    let halts = cluster.usage.halts as usize;
    assert!(
        halts <= orphans * 2,
        "{halts} halts for {orphans} orphans of which some vanished"
    );
    let launches = cluster.usage.launches as usize;
    assert_eq!(
        launches,
        cluster.task_starts.len() - begun,
        "each start was commanded once"
    );
    let free_slots = TASKS_AT_ONCE - kept;
    assert!(
        launches <= free_slots,
        "{launches} launches for {free_slots} free slots"
    );
}
