//! Crashes, restarts and partitions of controllers, and changes of the leader and the epoch.

use worksshunt_core::controller::KvResponse;

use crate::{long_job, ready, ready_with_boot_time};
use worksshunt_simulation::{job, Cluster};

#[test]
fn no_task_runs_twice_when_the_leader_crashes() {
    let mut cluster = ready();
    cluster.submit(0, &job(1, 20));
    cluster.until("tasks", 30_000, |cluster| cluster.running().len() > 4);
    let leader = cluster.leader();
    cluster.crash(leader);
    cluster.run(2_000);
    cluster.start(leader);
    cluster.until("all tasks", 120_000, |cluster| cluster.all_done(1, 20));
    cluster.check();
    assert_eq!(cluster.task_starts.len(), 20, "nothing was started again");
}

#[test]
fn jobs_survive_the_crash_of_all_controllers() {
    let mut cluster = ready();
    cluster.submit(0, &job(1, 12));
    cluster.until("tasks", 30_000, |cluster| !cluster.running().is_empty());
    (0..3).for_each(|controller| cluster.crash(controller));
    cluster.run(5_000);
    (0..3).for_each(|controller| cluster.start(controller));
    cluster.until("all tasks", 120_000, |cluster| cluster.all_done(1, 12));
    cluster.run(3_000);
    assert_eq!(cluster.state(0, 1), (200, "done".into()));
    cluster.check();
}

// Guards against writes of an earlier epoch that are applied after the next one has begun.
#[test]
fn a_late_write_of_an_earlier_leader_is_rejected() {
    let mut cluster = ready();
    cluster.submit(0, &job(1, 8));
    let leader = cluster.leader();
    cluster.until("machines", 30_000, |cluster| !cluster.workers.is_empty());
    cluster.faults.key_value.writes_held_from.insert(leader);
    cluster.run(8_000);
    cluster.crash(leader);
    cluster.until("another leader", 20_000, |cluster| {
        cluster.leader() != leader
    });
    cluster.faults.key_value.writes_held_from.clear();
    let responses = cluster.release_writes();
    assert!(!responses.is_empty(), "no write was held back");
    for response in responses {
        assert!(matches!(response, KvResponse::Conflict(_)), "{response:?}");
    }
    cluster.start(leader);
    cluster.until("all tasks", 120_000, |cluster| cluster.all_done(1, 8));
    cluster.check();
}

// Guards against a controller that keeps machines whose heartbeats do not reach it.
#[test]
fn a_controller_that_workers_do_not_reach_releases_its_machines() {
    let mut cluster = ready();
    cluster.task_run_ms = 60_000;
    cluster.submit(0, &long_job(1, 40));
    cluster.until("tasks", 30_000, |cluster| cluster.running().len() == 40);
    cluster.run(5_000);
    cluster.faults.cut_from_workers.insert(1);
    cluster.run(30_000);
    cluster.faults.cut_from_workers.clear();
    cluster.until("all tasks", 120_000, |cluster| cluster.all_done(1, 40));
    assert_eq!(cluster.task_starts.len(), 40, "no lease expired");
    cluster.check();
}

// Guards against a controller that keeps commanding its workers while it reaches nothing else, and against routing
// users to it.
#[test]
fn a_controller_that_reaches_only_its_workers_releases_them() {
    let mut cluster = ready();
    cluster.task_run_ms = 60_000;
    cluster.submit(0, &long_job(1, 24));
    cluster.until("tasks", 30_000, |cluster| cluster.running().len() == 24);
    cluster.run(3_000);
    let (leader, epochs) = (cluster.leader(), cluster.epoch_count());
    cluster.faults.key_value.unreachable_from.insert(leader);
    cluster.faults.cut_from_peers.insert(leader);
    cluster.run(7_000);
    assert!(
        !cluster.is_healthy(leader),
        "users are routed to an isolated controller"
    );
    cluster.until("another leader", 10_000, |cluster| {
        cluster.leader() != leader
    });
    cluster.run(20_000);
    cluster.faults.key_value.unreachable_from.clear();
    cluster.faults.cut_from_peers.clear();
    cluster.until("all tasks", 120_000, |cluster| cluster.all_done(1, 24));
    assert_eq!(cluster.task_starts.len(), 24, "no lease expired");
    assert_eq!(
        cluster.epoch_count(),
        epochs + 2,
        "one epoch without the controller, one with it again"
    );
    cluster.check();
}

#[test]
fn no_job_is_lost_when_all_controllers_reach_only_their_workers() {
    let mut cluster = ready();
    cluster.task_run_ms = 30_000;
    cluster.submit(0, &long_job(1, 12));
    cluster.until("tasks", 30_000, |cluster| cluster.running().len() == 12);
    cluster.faults.key_value.unreachable_from = (0..3).collect();
    cluster.faults.cut_from_peers = (0..3).collect();
    cluster.run(30_000);
    cluster.faults.key_value.unreachable_from.clear();
    cluster.faults.cut_from_peers.clear();
    cluster.until("all tasks", 120_000, |cluster| cluster.all_done(1, 12));
    cluster.run(3_000);
    assert_eq!(cluster.state(2, 1), (200, "done".into()));
    cluster.check();
}

// Guards against idle partitions, and a leader that provisions nothing, while connections between controllers are
// refused.
#[test]
fn the_leader_takes_over_partitions_whose_owners_do_not_reach_it() {
    let mut cluster = ready_with_boot_time(50.0);
    cluster.task_run_ms = 30_000;
    for _ in 0..9 {
        cluster.create_machine("a", true, 0);
    }
    cluster.run(10_000);
    let leader = cluster.leader();
    cluster.faults.cut_from_peers = (0..3).filter(|controller| *controller != leader).collect();
    cluster.crash(leader);
    cluster.start(leader);
    cluster.run(5_000);
    cluster.submit(leader, &long_job(1, 36));
    cluster.until("all tasks at once", 25_000, |cluster| {
        cluster.running().len() == 36
    });
    let epochs = cluster.epoch_count();
    cluster.submit(leader, &long_job(2, 4));
    cluster.until("another machine", 10_000, |cluster| {
        cluster.workers.len() > 9
    });
    cluster.faults.cut_from_peers.clear();
    cluster.run(20_000);
    assert!(
        (epochs + 1..=epochs + 2).contains(&cluster.epoch_count()),
        "both controllers have rejoined"
    );
    cluster.until("all tasks", 60_000, |cluster| {
        cluster.all_done(1, 36) && cluster.all_done(2, 4)
    });
    assert_eq!(cluster.task_starts.len(), 40, "no task started twice");
    cluster.check();
}

// Guards against a new leader that treats machines as silent because it has received no heartbeat yet.
#[test]
fn a_new_leader_keeps_machines_older_than_any_boot() {
    let mut cluster = ready();
    cluster.task_run_ms = 120_000;
    cluster.submit(0, &long_job(1, 40));
    cluster.until("tasks", 30_000, |cluster| cluster.running().len() == 40);
    cluster.run(60_000);
    let leader = cluster.leader();
    cluster.crash(leader);
    cluster.run(10_000);
    cluster.start(leader);
    cluster.until("all tasks", 120_000, |cluster| cluster.all_done(1, 40));
    assert_eq!(
        cluster.task_starts.len(),
        40,
        "no machine with tasks was released"
    );
    cluster.check();
}

// Guards against a leader that loses track of its provisioning requests, and waits for the cloud's listing, whenever a
// controller joins or leaves.
#[test]
fn a_leader_keeps_provisioning_when_another_controller_leaves() {
    let mut cluster = ready();
    let leader = cluster.leader();
    cluster.list_lag_ms = 5_000;
    cluster.submit(leader, &long_job(1, 8));
    cluster.until("machines", 10_000, |cluster| cluster.workers.len() == 2);
    cluster.crash((leader + 1) % 3);
    cluster.run(6_000);
    let remaining_controller = (leader + 2) % 3;
    cluster.submit(remaining_controller, &long_job(2, 12));
    cluster.until("more machines", 3_000, |cluster| cluster.workers.len() == 5);
    cluster.run(10_000);
    assert_eq!(cluster.workers.len(), 5, "more machines than needed");
    cluster.check();
}

// Guards against confusing incarnations of a controller while the lease of the earlier one has not expired.
#[test]
fn rapidly_restarted_controllers_rejoin_and_no_task_starts_twice() {
    let mut cluster = ready();
    cluster.task_run_ms = 30_000;
    cluster.submit(0, &long_job(1, 16));
    cluster.until("tasks", 30_000, |cluster| cluster.running().len() == 16);
    for round in 0..4 {
        let leader = cluster.leader();
        cluster.faults.key_value.writes_held_from.insert(leader);
        cluster.run(300);
        cluster.crash(leader);
        cluster.run(200);
        cluster.faults.key_value.writes_held_from.clear();
        cluster.start(leader);
        cluster.run(400);
        // During the election that follows, another controller or all of them restart, and late writes of the earlier
        // incarnation are applied.
        cluster.crash((leader + 1) % 3);
        cluster.start((leader + 1) % 3);
        if round % 2 == 1 {
            (0..3).for_each(|controller| cluster.crash(controller));
            (0..3).for_each(|controller| cluster.start(controller));
        }
        cluster.release_writes();
        cluster.run(7_000);
        let members = &cluster.stored("c/epoch").expect("an epoch")["members"];
        assert_eq!(
            members.as_array().map(Vec::len),
            Some(3),
            "all controllers have rejoined"
        );
    }
    cluster.until("all tasks", 200_000, |cluster| cluster.all_done(1, 16));
    assert_eq!(cluster.task_starts.len(), 16, "no lease expired");
    cluster.check();
}

// Guards against a late member key of an earlier incarnation that overwrites the current one.
#[test]
fn a_late_write_of_an_earlier_incarnation_causes_no_epoch() {
    let mut cluster = ready();
    let other_controller = (cluster.leader() + 1) % 3;
    cluster.crash(other_controller);
    cluster.run(8_000);
    cluster
        .faults
        .key_value
        .writes_held_from
        .insert(other_controller);
    cluster.start(other_controller);
    cluster.run(400);
    cluster.crash(other_controller);
    cluster.faults.key_value.writes_held_from.clear();
    cluster.start(other_controller);
    cluster.until("an epoch with all controllers", 3_000, |cluster| {
        let members = &cluster.stored("c/epoch").expect("an epoch")["members"];
        members.as_array().map(Vec::len) == Some(3)
    });
    let epoch = cluster.epoch();
    assert!(
        !cluster.release_writes().is_empty(),
        "no write was held back"
    );
    cluster.run(10_000);
    assert_eq!(cluster.epoch(), epoch);
}

// Guards against records of earlier epochs that are never rewritten because writes of completions have precedence. The
// next epoch would load attempts that have ended as active ones.
#[test]
fn records_of_earlier_epochs_are_rewritten_while_tasks_complete() {
    let mut cluster = Cluster::new();
    for settings in &mut cluster.settings {
        settings.facts.key_value_store.changes_per_s = 6.0;
    }
    (0..3).for_each(|controller| cluster.start(controller));
    cluster.run(4_000);
    cluster.task_run_ms = 2_000;
    cluster.submit(0, &long_job(1, 4_000));
    cluster.until("tasks", 30_000, |cluster| cluster.running().len() == 40);
    cluster.run(10_000);
    (0..3).for_each(|controller| cluster.crash(controller));
    (0..3).for_each(|controller| cluster.start(controller));
    let earlier_records_prefix = format!("a/{}.", cluster.epoch());
    let starts_before = cluster.task_starts.len();
    cluster.run(20_000);
    assert_eq!(cluster.keys(&earlier_records_prefix), Vec::<String>::new());
    assert!(
        cluster.task_starts.len() > starts_before + 100,
        "tasks keep starting"
    );
    cluster.check();
}

// Guards against attempt numbers of a long epoch that overlap with those of the next one.
#[test]
fn a_new_epoch_begins_when_attempt_numbers_are_exhausted() {
    let mut cluster = Cluster::new();
    cluster.limit_attempts(16);
    cluster.run(4_000);
    let first_epochs = cluster.epoch_count();
    let workers_with_new_incarnations = |cluster: &Cluster| {
        cluster
            .workers
            .keys()
            .filter(|id| cluster.worker_incarnation(id) > 1)
            .count()
    };
    cluster.submit(0, &job(1, 50));
    cluster.until("all tasks", 120_000, |cluster| cluster.all_done(1, 50));
    assert_eq!(
        cluster.epoch_count(),
        first_epochs + 3,
        "16, 32 and 48 of 50 attempts"
    );
    assert_eq!(cluster.task_starts.len(), 50, "each task started once");
    assert_eq!(
        workers_with_new_incarnations(&cluster),
        0,
        "no lease expired"
    );
    cluster.run(3_000);
    cluster.check();
}
