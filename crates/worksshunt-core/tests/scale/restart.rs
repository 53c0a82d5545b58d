//! Crashes and restarts of controllers while thousands of machines run tasks.

use std::collections::BTreeSet;

use worksshunt_core::constants::partition_sync::MAX_FRAME_BYTES;
use worksshunt_simulation::Cluster;
use worksshunt_wire::{JobId, TaskId};

use crate::fixtures::{
    complete_jobs, full_deployment, Users, FLEET_JOB_COUNT, FLEET_TASK_COUNT, MACHINE_COUNT,
};

#[test]
fn one_controller_takes_over_all_machines_and_hands_them_back() {
    let mut cluster = full_deployment(60_000);
    let mut users = Users::default();
    let starts_before = cluster.task_starts.len();
    let running_tasks: BTreeSet<TaskId> = cluster.running().into_iter().collect();
    let remaining_controller = (cluster.leader() + 1) % 3;
    let crashed_controllers: Vec<usize> = (0..3)
        .filter(|controller| *controller != remaining_controller)
        .collect();
    crashed_controllers
        .iter()
        .for_each(|controller| cluster.crash(*controller));
    users.query_for(&mut cluster, 15);
    assert!(
        cluster.workers_reporting_to(remaining_controller) >= MACHINE_COUNT * 9 / 10,
        "all workers send their heartbeats to the remaining controller"
    );
    crashed_controllers
        .iter()
        .for_each(|controller| cluster.start(*controller));
    users.query_for(&mut cluster, 20);
    let restarted = cluster.task_starts[starts_before..]
        .iter()
        .filter(|start| running_tasks.contains(&start.task));
    assert_eq!(restarted.count(), 0, "no running task was started again");
    let (max_sync_bytes, frames_dropped) =
        (cluster.usage.max_sync_bytes, cluster.usage.frames_dropped);
    assert!(
        frames_dropped == 0 && max_sync_bytes < MAX_FRAME_BYTES / 8,
        "a partition sync of {max_sync_bytes} bytes"
    );
    assert!(
        users.served_count > users.refused_count,
        "most queries are answered"
    );
    complete_jobs(&mut cluster, 1..=FLEET_JOB_COUNT + 8, 180_000);
}

/// Jobs cancelled just before all controllers crash. Their tasks keep running as orphans.
const ORPHANED_JOB_IDS: [u64; 2] = [1, 2];
/// Machines that disappear while no controller is running.
const REMOVED_MACHINE_COUNT: usize = 40;

fn is_orphaned(task: &TaskId) -> bool {
    ORPHANED_JOB_IDS.contains(&task.job.0)
}

/// Cancels jobs, and crashes all controllers as soon as the cancellations are stored, before any command is sent.
fn cancel_and_crash(cluster: &mut Cluster) {
    for id in ORPHANED_JOB_IDS {
        cluster.send_cancel(0, JobId(id));
    }
    let are_cancellations_stored = |cluster: &Cluster| {
        ORPHANED_JOB_IDS
            .iter()
            .all(|id| cluster.stored(&format!("f/{}", JobId(*id))).is_some())
    };
    while !are_cancellations_stored(cluster) {
        cluster.run(1);
    }
    (0..3).for_each(|controller| cluster.crash(controller));
}

fn remove_machines(cluster: &mut Cluster) {
    let ids = cluster.workers.keys().rev();
    let removed: Vec<_> = ids.take(REMOVED_MACHINE_COUNT).cloned().collect();
    removed
        .iter()
        .for_each(|id| drop(cluster.workers.remove(id)));
}

#[test]
fn a_restart_of_all_controllers_sends_few_redundant_commands() {
    let mut cluster = full_deployment(60_000);
    let mut users = Users::default();
    cancel_and_crash(&mut cluster);
    let running_tasks: BTreeSet<TaskId> = cluster.running().into_iter().collect();
    let orphans = running_tasks
        .iter()
        .filter(|task| is_orphaned(task))
        .count();
    assert!(orphans > 400, "{orphans} orphans");
    remove_machines(&mut cluster);
    let surviving_tasks: BTreeSet<TaskId> = cluster
        .running()
        .into_iter()
        .filter(|task| !is_orphaned(task))
        .collect();
    let lost_count = running_tasks
        .iter()
        .filter(|task| !is_orphaned(task))
        .count()
        - surviving_tasks.len();
    users.query_for(&mut cluster, 5);
    cluster.usage.reset();
    let starts_before = cluster.task_starts.len();
    (0..3).for_each(|controller| cluster.start(controller));
    users.query_for(&mut cluster, 20);
    let restarted = cluster.task_starts[starts_before..]
        .iter()
        .filter(|start| surviving_tasks.contains(&start.task));
    assert_eq!(restarted.count(), 0, "running tasks are kept");
    check_commands(&cluster, orphans, starts_before, surviving_tasks.len());
    let launches = cluster.usage.launches as usize;
    assert!(
        lost_count > 0 && launches >= lost_count,
        "lost tasks restart"
    );
    assert!(
        !cluster.running().iter().any(is_orphaned),
        "no orphan is left"
    );
    complete_jobs(&mut cluster, 3..=FLEET_JOB_COUNT + 8, 180_000);
}

/// Checks that after the first `starts_before` starts no more halts and launches were sent than the orphans and the slots
/// not used by `surviving_count` tasks need.
fn check_commands(cluster: &Cluster, orphans: usize, starts_before: usize, surviving_count: usize) {
    // Each halt is sent both in the response to a heartbeat and as a direct command.
    let halts = cluster.usage.halts as usize;
    assert!(
        halts <= orphans * 2,
        "{halts} halts for {orphans} orphans, some on removed machines"
    );
    let launches = cluster.usage.launches as usize;
    assert_eq!(
        launches,
        cluster.task_starts.len() - starts_before,
        "one launch per start"
    );
    let free_slots = FLEET_TASK_COUNT - surviving_count;
    assert!(
        launches <= free_slots,
        "{launches} launches for {free_slots} free slots"
    );
}
