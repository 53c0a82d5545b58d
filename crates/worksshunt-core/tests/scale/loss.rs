//! Machines that disconnect together, and cancellations and completions during a leader change.

use std::collections::BTreeSet;

use worksshunt_simulation::ZonePartition;
use worksshunt_wire::JobId;

use crate::fixtures::{complete_jobs, full_deployment, Users, FLEET_JOB_COUNT};

#[test]
fn half_of_the_machines_disconnect_and_return_together() {
    let mut cluster = full_deployment(40_000);
    let mut users = Users::default();
    cluster.faults.heartbeats.copies_after_ms = vec![9_000, 30_000];
    cluster.run(3_000);
    cluster.faults.partitioned_zone = Some(ZonePartition {
        zone: "b".into(),
        controllers: BTreeSet::new(),
    });
    users.query_for(&mut cluster, 22);
    cluster.faults.partitioned_zone = None;
    users.query_for(&mut cluster, 20);
    cluster.faults.heartbeats.copies_after_ms.clear();
    assert!(
        cluster.effects("heartbeat copy") > 50_000,
        "late copies of all heartbeats arrived"
    );
    assert_eq!(users.refused_count, 0);
    complete_jobs(&mut cluster, 1..=FLEET_JOB_COUNT + 8, 180_000);
}

#[test]
fn the_leader_changes_amid_many_completions_and_cancellations() {
    let mut cluster = full_deployment(30_000);
    let mut users = Users::default();
    cluster.run(22_000);
    for id in 1..=8 {
        cluster.send_cancel((id % 3) as usize, JobId(id));
    }
    cluster.run(700);
    let leader = cluster.leader();
    cluster.restart(leader, 300);
    users.query_for(&mut cluster, 40);
    assert_eq!(cluster.invariants.starts_after_cancel, 0);
    assert!(
        users.served_count > users.refused_count,
        "most queries are answered"
    );
    complete_jobs(&mut cluster, 9..=FLEET_JOB_COUNT + 8, 180_000);
}
