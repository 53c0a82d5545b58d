//! Scale-out, boot and scale-in of the whole fleet.

use worksshunt_simulation::{Cluster, ResourceUsage};

use crate::fixtures::{
    complete_jobs, submit_jobs, Users, FLEET_TASK_COUNT, JOB_TASKS, MACHINE_COUNT,
};

#[test]
fn tasks_for_twice_the_fleet_complete_from_a_cold_start() {
    let mut cluster = Cluster::large(MACHINE_COUNT);
    let mut users = Users::default();
    cluster.run(2_000);
    submit_jobs(&mut cluster, 1..=64);
    cluster.run(3_000);
    users.query_for(&mut cluster, 13);
    assert_eq!(
        cluster.workers.len(),
        MACHINE_COUNT,
        "not all machines were provisioned within 16 s"
    );
    users.query_for(&mut cluster, 24);
    let running = cluster.running().len();
    assert!(
        running >= FLEET_TASK_COUNT * 9 / 10,
        "{running} tasks are running"
    );
    complete_jobs(&mut cluster, 1..=64, 90_000);
    let tasks = 64 * JOB_TASKS as usize;
    assert_eq!(cluster.task_starts.len(), tasks, "each task started once");
    assert_eq!(cluster.usage.launches, tasks as u64);
    check_usage(&cluster.usage, tasks as u64);
    // Idle machines are kept for half the boot time, then released by 40 requests of at most 100 machines.
    cluster.until("an empty fleet", 30_000, |cluster| {
        cluster.workers.is_empty()
    });
    assert_eq!(users.refused_count, 0);
    cluster.check();
}

/// Checks the resources used to run `tasks` tasks.
fn check_usage(usage: &ResourceUsage, tasks: u64) {
    assert!(
        usage.changed_keys <= tasks / 20,
        "{} changes",
        usage.changed_keys
    );
    assert!(
        usage.sync_bytes <= tasks * 200,
        "{} bytes",
        usage.sync_bytes
    );
    assert!(
        usage.cloud_calls <= 400,
        "{} calls to the cloud",
        usage.cloud_calls
    );
    assert_eq!(
        usage.refused_requests, 0,
        "requests exceeded the rates of the key-value store or the cloud"
    );
}
