//! The first minutes: the fleet is scaled out, boots together, and is scaled in.

use worksshunt_simulation::{Cluster, ResourceUsage};

use crate::fixtures::{finish, submit_jobs, Users, JOB_TASKS, MACHINES, TASKS_AT_ONCE};

#[test]
fn tasks_for_twice_the_fleet_wait_from_the_first_second() {
    let mut cluster = Cluster::large(MACHINES);
    let mut users = Users::default();
    cluster.run(2_000);
    submit_jobs(&mut cluster, 1..=64);
    cluster.run(3_000);
    users.query_for(&mut cluster, 13);
    assert_eq!(cluster.workers.len(), MACHINES, "provisioned within 16 s");
    users.query_for(&mut cluster, 24);
    let running = cluster.running().len();
    assert!(running >= TASKS_AT_ONCE * 9 / 10, "{running} run");
    finish(&mut cluster, 1..=64, 90_000);
    let tasks = 64 * JOB_TASKS as usize;
    assert_eq!(cluster.task_starts.len(), tasks, "each task started once");
    assert_eq!(cluster.usage.launches, tasks as u64);
    check_usage(&cluster.usage, tasks as u64);
    // Kept for half a boot time, then 40 requests of 100 at most.
    cluster.until("an empty fleet", 30_000, |cluster| {
        cluster.workers.is_empty()
    });
    assert_eq!(users.refused, 0);
    cluster.check();
}

/// What it took to run so many tasks stays within the limits.
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
        "within the rates of the key-value store and the cloud"
    );
}
