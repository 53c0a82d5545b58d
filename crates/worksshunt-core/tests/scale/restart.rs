//! Controllers that end and come back while thousands of machines run tasks.

use std::collections::BTreeSet;

use worksshunt_wire::{JobId, TaskId};

use crate::fixtures::{finish, full_deployment, Users, JOBS_AT_ONCE, MACHINES};

#[test]
fn one_controller_takes_all_machines_and_gives_them_back() {
    let mut cluster = full_deployment(60_000);
    let mut users = Users::default();
    let begun = cluster.starts.len();
    let running: BTreeSet<TaskId> = cluster.running().into_iter().collect();
    let left = (cluster.leader() + 1) % 3;
    let others: Vec<usize> = (0..3).filter(|node| *node != left).collect();
    others.iter().for_each(|node| cluster.crash(*node));
    users.ask_for(&mut cluster, 15);
    assert!(
        cluster.reporting_to(left) >= MACHINES * 9 / 10,
        "all report to it"
    );
    others.iter().for_each(|node| cluster.start(*node));
    users.ask_for(&mut cluster, 20);
    let again = cluster.starts[begun..]
        .iter()
        .filter(|(_, task, _)| running.contains(task));
    assert_eq!(again.count(), 0, "nothing that ran was started again");
    println!("{:?} {} {}", cluster.meter, users.served, users.refused);
    finish(&mut cluster, 1..=JOBS_AT_ONCE + 8, 180_000);
}

#[test]
fn all_controllers_restart_amid_tasks_that_workers_remember() {
    let mut cluster = full_deployment(60_000);
    let mut users = Users::default();
    let begun = cluster.starts.len();
    let running = cluster.running().len();
    // Orphans: their attempts are on no record.
    let machines: Vec<_> = cluster.workers.keys().take(20).cloned().collect();
    for (n, id) in machines.iter().enumerate() {
        let task = TaskId {
            job: JobId(1),
            index: n as u32,
        };
        cluster.smuggle_orphan(id, task, 1 + n as u64);
    }
    (0..3).for_each(|node| cluster.crash(node));
    users.ask_for(&mut cluster, 5);
    cluster.meter.reset();
    (0..3).for_each(|node| cluster.start(node));
    users.ask_for(&mut cluster, 20);
    println!(
        "{running} {:?} {} {} new {}",
        cluster.meter,
        users.served,
        users.refused,
        cluster.starts.len() - begun
    );
    finish(&mut cluster, 1..=JOBS_AT_ONCE + 8, 180_000);
}
