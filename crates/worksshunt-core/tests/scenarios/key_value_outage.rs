//! Outages of the key-value store that are longer than a lease.

use worksshunt_wire::JobId;

use crate::combined_faults::{fill, settle};
use worksshunt_simulation::Cluster;

/// The lease of the scenarios' workers and the leader lease of an epoch that was confirmed last.
const WORKER_AND_LEADER_LEASE_MS: u64 = 20_000;

/// An outage that takes all tasks with it unless leases are renewed in the middle of it.
const LONG_OUTAGE_MS: u64 = WORKER_AND_LEADER_LEASE_MS + 4_000;

/// The time within which a cancellation takes effect, seconds: so long that knowledge of cancellations stays
/// fresh throughout every outage here that is longer than a lease.
const CANCEL_S: f64 = 45.0;

/// A cluster in which eight tasks run for longer than any outage here.
fn busy() -> Cluster {
    let mut cluster = Cluster::new();
    cluster.nominal_boot_s = 50.0;
    for controller in 0..3 {
        cluster.settings[controller].facts.workers.cancel_s = CANCEL_S;
        cluster.start(controller);
    }
    cluster.until("an epoch", 10_000, |cluster| {
        cluster.stored("c/epoch").is_some()
    });
    cluster.run(3_000);
    fill(&mut cluster, 2, 120_000);
    cluster
}

fn outage(cluster: &mut Cluster, ms: u64) {
    cluster.faults.key_value.is_down = true;
    cluster.run(ms);
    cluster.faults.key_value.is_down = false;
}

fn starts(cluster: &Cluster) -> usize {
    let ours = |id: &JobId| id.0 <= 2;
    cluster
        .task_starts
        .iter()
        .filter(|start| ours(&start.task.job))
        .count()
}

// Guards against 1,383 tasks killed by their leases in an outage of 20 s (vriesdok-noord, rough).
#[test]
fn tasks_outlive_an_outage_longer_than_a_lease_while_all_controllers_agree() {
    let mut cluster = busy();
    outage(&mut cluster, LONG_OUTAGE_MS);
    cluster.run(10_000);
    assert_eq!(starts(&cluster), 8, "none started a second time");
    assert_eq!(cluster.running().len(), 8);
    settle(&mut cluster, "after the outage");
}

// Guards against leases that end because all controllers restart just before an outage does.
#[test]
fn tasks_outlive_an_outage_that_ends_with_a_restart_of_all_controllers() {
    let mut cluster = busy();
    cluster.faults.key_value.is_down = true;
    cluster.run(LONG_OUTAGE_MS - 6_000);
    for controller in 0..3 {
        cluster.restart(controller, 3_000);
    }
    cluster.run(6_000);
    cluster.faults.key_value.is_down = false;
    cluster.run(10_000);
    assert_eq!(starts(&cluster), 8, "none started a second time");
    settle(&mut cluster, "after the outage");
}

// A controller that does not answer may know a newer epoch, so silence confirms nothing.
#[test]
fn one_controller_that_does_not_answer_lets_the_leases_of_all_expire() {
    let mut cluster = busy();
    cluster.faults.cut_from_peers.insert(2);
    outage(&mut cluster, LONG_OUTAGE_MS);
    assert_eq!(cluster.running().len(), 0, "all leases ran out");
    settle(&mut cluster, "after the outage");
}

// A controller that alone is refused must not keep its workers: the others go on without it.
#[test]
fn a_controller_that_alone_is_refused_releases_its_workers() {
    let mut cluster = busy();
    let alone = (0..3).find(|n| *n != cluster.leader()).expect("another");
    cluster.faults.key_value.refused_controllers.insert(alone);
    cluster.run(WORKER_AND_LEADER_LEASE_MS);
    assert_eq!(cluster.workers_reporting_to(alone), 0);
    assert_eq!(starts(&cluster), 8, "none started a second time");
    settle(&mut cluster, "after the refusals");
}

/// One controller is refused and cut from its peers, which go on without it and draw their conclusions from
/// its machines' silence. At some moment of that all of them lose the key-value store, and it can ask its peers
/// again, which may have been restarted and have forgotten what they knew.
fn a_former_owner_asks_again(moment: u64, peers_restart: bool) {
    let mut cluster = busy();
    let former = (0..3).find(|n| *n != cluster.leader()).expect("another");
    let others: Vec<usize> = (0..3).filter(|n| *n != former).collect();
    cluster.faults.key_value.refused_controllers.insert(former);
    cluster.faults.cut_from_peers.insert(former);
    // Its workers send heartbeats to nobody else.
    cluster.faults.cut_from_workers.extend(&others);
    cluster.run(5_000 + moment);
    cluster.faults.key_value.is_down = true;
    cluster.faults.cut_from_peers.clear();
    if peers_restart {
        for controller in others {
            cluster.restart(controller, 100);
        }
    }
    cluster.run(WORKER_AND_LEADER_LEASE_MS);
    cluster.faults.key_value.is_down = false;
    cluster.run(3_000);
    let what = format!("asked after {moment} ms, peers restart: {peers_restart}");
    settle(&mut cluster, &what);
}

// Guards against a former owner whose leases go on while the others have started its tasks elsewhere.
#[test]
fn peers_that_know_a_newer_epoch_do_not_confirm_a_former_owner() {
    for moment in (0..24_000).step_by(1_500) {
        a_former_owner_asks_again(moment, false);
    }
}

// The same with peers that have forgotten the newer epoch, and with it what they concluded from it.
#[test]
fn peers_that_have_forgotten_a_newer_epoch_revive_no_task_that_runs_elsewhere() {
    for moment in (0..24_000).step_by(1_500) {
        a_former_owner_asks_again(moment, true);
    }
}
