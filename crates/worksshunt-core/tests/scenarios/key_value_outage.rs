//! Outages of the key-value store that are longer than a lease.

use worksshunt_wire::JobId;

use crate::combined_faults::{settle, submit_and_start};
use worksshunt_simulation::Cluster;

/// Worker lease plus epoch lease, ms. If the epoch is not confirmed during an outage of this duration, all worker
/// leases expire.
const WORKER_AND_EPOCH_LEASE_MS: u64 = 20_000;

/// Duration of an outage in which all tasks end unless leases are renewed during it, ms.
const LONG_OUTAGE_MS: u64 = WORKER_AND_EPOCH_LEASE_MS + 4_000;

/// Time within which a cancellation takes effect, seconds. Long enough that the controllers' knowledge of cancellations
/// stays valid during every outage of these scenarios.
const CANCEL_S: f64 = 45.0;

/// Returns a cluster with eight tasks that run for longer than any outage of these scenarios.
fn with_eight_running_tasks() -> Cluster {
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
    submit_and_start(&mut cluster, 2, 120_000);
    cluster
}

fn run_outage(cluster: &mut Cluster, ms: u64) {
    cluster.faults.key_value.is_down = true;
    cluster.run(ms);
    cluster.faults.key_value.is_down = false;
}

/// Returns the number of starts of the eight tasks.
fn start_count(cluster: &Cluster) -> usize {
    let is_counted = |id: &JobId| id.0 <= 2;
    cluster
        .task_starts
        .iter()
        .filter(|start| is_counted(&start.task.job))
        .count()
}

// Guards against leases that expire in an outage although all controllers confirm the epoch.
#[test]
fn tasks_survive_a_long_outage_if_all_controllers_confirm_the_epoch() {
    let mut cluster = with_eight_running_tasks();
    run_outage(&mut cluster, LONG_OUTAGE_MS);
    cluster.run(10_000);
    assert_eq!(start_count(&cluster), 8, "no task started twice");
    assert_eq!(cluster.running().len(), 8);
    settle(&mut cluster, "after the outage");
}

// Guards against leases that expire because all controllers restart shortly before the end of an outage.
#[test]
fn tasks_survive_an_outage_with_a_restart_of_all_controllers() {
    let mut cluster = with_eight_running_tasks();
    cluster.faults.key_value.is_down = true;
    cluster.run(LONG_OUTAGE_MS - 6_000);
    for controller in 0..3 {
        cluster.restart(controller, 3_000);
    }
    cluster.run(6_000);
    cluster.faults.key_value.is_down = false;
    cluster.run(10_000);
    assert_eq!(start_count(&cluster), 8, "no task started twice");
    settle(&mut cluster, "after the outage");
}

// A controller that does not answer may know a newer epoch, so the epoch is not confirmed without its answer.
#[test]
fn leases_expire_if_one_controller_does_not_answer_the_poll() {
    let mut cluster = with_eight_running_tasks();
    cluster.faults.cut_from_peers.insert(2);
    run_outage(&mut cluster, LONG_OUTAGE_MS);
    assert_eq!(cluster.running().len(), 0, "all leases have expired");
    settle(&mut cluster, "after the outage");
}

// Guards against a controller that keeps its workers while the others continue without it.
#[test]
fn a_controller_that_only_the_store_refuses_releases_its_workers() {
    let mut cluster = with_eight_running_tasks();
    let refused_controller = (0..3)
        .find(|n| *n != cluster.leader())
        .expect("a controller that does not lead");
    cluster
        .faults
        .key_value
        .refused_controllers
        .insert(refused_controller);
    cluster.run(WORKER_AND_EPOCH_LEASE_MS);
    assert_eq!(cluster.workers_reporting_to(refused_controller), 0);
    assert_eq!(start_count(&cluster), 8, "no task started twice");
    settle(&mut cluster, "after the refusals");
}

/// Isolates a controller from the key-value store and its peers, which continue without it. After a delay no controller
/// reaches the store, and the isolated one can poll its peers again, which may have restarted.
fn isolated_owner_polls_its_peers(delay_ms: u64, peers_restart: bool) {
    let mut cluster = with_eight_running_tasks();
    let isolated_controller = (0..3)
        .find(|n| *n != cluster.leader())
        .expect("a controller that does not lead");
    let peers: Vec<usize> = (0..3).filter(|n| *n != isolated_controller).collect();
    cluster
        .faults
        .key_value
        .refused_controllers
        .insert(isolated_controller);
    cluster.faults.cut_from_peers.insert(isolated_controller);
    // Its workers' heartbeats reach no other controller.
    cluster.faults.cut_from_workers.extend(&peers);
    cluster.run(5_000 + delay_ms);
    cluster.faults.key_value.is_down = true;
    cluster.faults.cut_from_peers.clear();
    if peers_restart {
        for controller in peers {
            cluster.restart(controller, 100);
        }
    }
    cluster.run(WORKER_AND_EPOCH_LEASE_MS);
    cluster.faults.key_value.is_down = false;
    cluster.run(3_000);
    let case = format!("polled after {delay_ms} ms, peers restart: {peers_restart}");
    settle(&mut cluster, &case);
}

// Guards against a previous owner that renews leases while its tasks have restarted on other machines.
#[test]
fn peers_with_a_newer_epoch_do_not_confirm_a_previous_owner() {
    for delay_ms in (0..24_000).step_by(1_500) {
        isolated_owner_polls_its_peers(delay_ms, false);
    }
}

// The same with peers that have lost the newer epoch in a restart.
#[test]
fn restarted_peers_cause_no_duplicate_tasks() {
    for delay_ms in (0..24_000).step_by(1_500) {
        isolated_owner_polls_its_peers(delay_ms, true);
    }
}
