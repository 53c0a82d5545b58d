//! Direct commands and requests between controllers that arrive once more after they were executed and answered.

use serde_json::json;
use worksshunt_core::constants::leases::MAX_EPOCH_BEFORE_TOKEN_RANGE;
use worksshunt_wire::{JobId, MachineId};

use crate::claims::metric;
use crate::combined_faults::settle;
use crate::long_job;
use crate::services::with_running_service;
use worksshunt_simulation::{
    job, service, Cluster, DelayRange, RepeatedCommands, RepeatedPeerRequests,
};

/// Returns a cluster in which an epoch has begun and answered commands are kept for repetition.
fn ready() -> Cluster {
    let mut cluster = crate::ready();
    cluster.faults.are_answered_commands_kept = true;
    cluster
}

/// Delivers all answered commands once more, every 100 ms for a duration, ms.
fn repeat_for(cluster: &mut Cluster, duration_ms: u64) {
    let ends_at = cluster.now + duration_ms;
    while cluster.now < ends_at {
        cluster.run(100);
        assert!(cluster.repeat_commands() > 0, "no command was answered");
    }
}

/// Repeats the commands for a duration, ms, waits until all jobs have ended, and checks the invariants, of which one is
/// that no reaped attempt is launched again.
fn repeat_and_check(cluster: &mut Cluster, duration_ms: u64, case: &str) {
    repeat_for(cluster, duration_ms);
    assert!(cluster.effects("repeated commands") > 0, "{case}");
    settle(cluster, case);
}

fn machine_of_first_start(cluster: &Cluster) -> MachineId {
    let first = cluster.task_starts.first().expect("a start");
    first.machine.clone()
}

#[test]
fn a_repeated_launch_starts_no_task_that_failed_and_runs_elsewhere() {
    let mut cluster = ready();
    cluster.task_run_ms = 4_000;
    cluster.submit(0, &long_job(1, 8));
    cluster.until("tasks", 30_000, |cluster| cluster.running().len() == 8);
    let machine = machine_of_first_start(&cluster);
    cluster.faults.faulty_machines.insert(machine);
    cluster.task_run_ms = 30_000;
    let has_moved = |cluster: &Cluster| cluster.task_starts.len() >= 12;
    cluster.until("tasks that have moved", 30_000, has_moved);
    repeat_and_check(&mut cluster, 20_000, "failed");
}

#[test]
fn a_repeated_launch_starts_no_task_that_was_preempted() {
    let mut cluster = ready();
    cluster.capacity = 3;
    cluster.task_run_ms = 60_000;
    let mut low_job = long_job(1, 12);
    low_job["Turno"] = json!("low");
    cluster.submit(0, &low_job);
    cluster.until("a full fleet", 40_000, |cluster| {
        cluster.running().len() == 12
    });
    let mut urgent_job = long_job(2, 2);
    urgent_job["Turno"] = json!("urgent");
    cluster.submit(0, &urgent_job);
    cluster.until("the urgent job", 10_000, |cluster| {
        cluster.running_tasks_of(2) == 2
    });
    cluster.capacity = 4;
    cluster.until("preempted tasks elsewhere", 60_000, |cluster| {
        cluster.running_tasks_of(1) == 12
    });
    repeat_and_check(&mut cluster, 20_000, "preempted");
}

#[test]
fn a_repeated_launch_starts_no_task_of_a_cancelled_job() {
    for repeated_at_once in [false, true] {
        let mut cluster = ready();
        cluster.task_run_ms = 60_000;
        cluster.submit(0, &long_job(1, 8));
        cluster.submit(1, &long_job(2, 4));
        cluster.until("tasks", 30_000, |cluster| cluster.running().len() == 12);
        assert_eq!(cluster.cancel(1, 1).status, 200);
        if !repeated_at_once {
            cluster.run(10_000);
        }
        repeat_and_check(&mut cluster, 20_000, "cancelled");
        assert_eq!(cluster.task_starts.len(), 12, "{:?}", cluster.task_starts);
    }
}

#[test]
fn a_repeated_launch_starts_no_task_that_has_completed() {
    for capacity in [1, 10] {
        let mut cluster = ready();
        cluster.capacity = capacity;
        // With one machine the job is open for minutes after its first tasks have completed.
        cluster.submit(0, &long_job(1, 24));
        cluster.until("a completion", 60_000, |cluster| {
            cluster.task_starts.len() > 4 || cluster.all_done(1, 24)
        });
        repeat_and_check(&mut cluster, 90_000, &format!("capacity {capacity}"));
        assert_eq!(cluster.task_starts.len(), 24, "capacity {capacity}");
    }
}

#[test]
fn a_repeated_launch_starts_no_replica_that_has_ended() {
    let mut cluster = with_running_service(&service(1, 6), 6);
    cluster.faults.are_answered_commands_kept = true;
    cluster.task_run_ms = 5_000;
    cluster.faults.ending_services.insert(JobId(1));
    cluster.run(60_000);
    cluster.faults.ending_services.clear();
    repeat_for(&mut cluster, 30_000);
    assert_eq!(cluster.cancel(2, 1).status, 200);
    repeat_and_check(&mut cluster, 20_000, "replicas");
}

#[test]
fn a_repeated_launch_starts_no_task_on_a_drained_machine() {
    let mut cluster = ready();
    cluster.submit(0, &job(1, 16));
    cluster.until("all tasks", 60_000, |cluster| cluster.all_done(1, 16));
    let mut waited_ms = 0;
    while !cluster.workers.is_empty() && waited_ms < 120_000 {
        repeat_for(&mut cluster, 1_000);
        waited_ms += 1_000;
    }
    assert!(cluster.workers.is_empty(), "machines were not released");
    assert_eq!(cluster.task_starts.len(), 16, "{:?}", cluster.task_starts);
    repeat_and_check(&mut cluster, 1_000, "drained");
}

// Guards against copies that arrive before the worker has heard of the new epoch.
#[test]
fn a_repeated_launch_starts_no_task_while_a_controller_or_machine_returns() {
    for restart_ms in [30, 300, 900, 5_000] {
        for has_hung_machine in [false, true] {
            let case = format!("back after {restart_ms} ms, machine hangs: {has_hung_machine}");
            let mut cluster = ready();
            cluster.task_run_ms = 3_000;
            cluster.run_spread_ms = 2_000;
            for id in 1..=4 {
                cluster.submit(id as usize % 3, &long_job(id, 8));
            }
            cluster.run(12_000);
            for controller in [cluster.leader(), 0, 1, 2] {
                if has_hung_machine {
                    let machine = machine_of_first_start(&cluster);
                    cluster.hang(&machine, restart_ms.min(900));
                }
                cluster.restart(controller, restart_ms);
                repeat_for(&mut cluster, 6_000);
            }
            repeat_and_check(&mut cluster, 10_000, &case);
        }
    }
}

#[test]
fn a_repeated_batch_with_launches_and_stops_changes_no_task_that_runs() {
    let mut cluster = ready();
    cluster.capacity = 3;
    cluster.task_run_ms = 4_000;
    cluster.run_spread_ms = 3_000;
    cluster.submit(0, &long_job(10, 4));
    cluster.until("tasks", 30_000, |cluster| cluster.running().len() == 4);
    for id in 1..=9 {
        let mut new_job = long_job(id, 8);
        new_job["Turno"] = json!(if id % 3 == 0 { "urgent" } else { "low" });
        cluster.submit(id as usize % 3, &new_job);
        repeat_for(&mut cluster, 5_000);
        if id % 4 == 0 {
            cluster.send_cancel(1, JobId(id));
        }
    }
    repeat_and_check(&mut cluster, 60_000, "batches");
}

#[test]
fn a_repetition_of_a_refused_batch_is_refused() {
    for pause_ms in [6_000, 9_000] {
        let mut cluster = ready();
        cluster.task_run_ms = 3_000;
        cluster.submit(0, &long_job(1, 40));
        cluster.until("tasks", 30_000, |cluster| cluster.running().len() > 8);
        for controller in 0..3 {
            // The controller has decided on commands and sends them only after the next epoch has begun.
            cluster.pause(controller, pause_ms);
            repeat_for(&mut cluster, pause_ms + 4_000);
        }
        assert!(cluster.effects("refused commands") > 0, "pause {pause_ms}");
        repeat_and_check(&mut cluster, 30_000, &format!("pause {pause_ms}"));
    }
}

#[test]
fn repeated_commands_beside_restarts_start_no_task_again() {
    for seed in 1..=12 {
        let mut cluster = crate::ready();
        cluster.seed(seed);
        cluster.task_run_ms = 2_000;
        cluster.run_spread_ms = 1_500;
        cluster.faults.repeated_commands = Some(RepeatedCommands {
            share: 0.9,
            delay: DelayRange {
                min_ms: 2_000,
                max_ms: 120_000,
            },
            share_at_controller_start: 0.5,
        });
        for id in 1..=24 {
            cluster.submit(id as usize % 3, &long_job(id, 1 + (id + seed) as u32 % 6));
            if id % 3 == 0 {
                cluster.restart((id + seed) as usize % 3, 30 + 90 * seed);
            }
            if id % 5 == 0 {
                cluster.send_cancel(1, JobId(id));
            }
            cluster.run(3_000);
        }
        cluster.run(130_000);
        assert!(cluster.effects("repeated commands") > 10, "seed {seed}");
        settle(&mut cluster, &format!("seed {seed}"));
    }
}

/// Returns the number of direct launches that the controllers have counted since they started.
fn direct_launches(cluster: &mut Cluster) -> u64 {
    let name = "worksshunt_commands_total{command=\"Launch\",delivery=\"Direct\"}";
    (0..3)
        .map(|controller| metric(cluster, controller, name))
        .sum()
}

/// Returns the number of unexpected attempts that the controllers have counted since they started.
fn unexpected_attempts(cluster: &mut Cluster) -> u64 {
    let mut count = 0;
    for reason in ["Reaped", "Untracked"] {
        let name = format!("worksshunt_unexpected_attempts_total{{reason=\"{reason}\"}}");
        for controller in 0..3 {
            count += metric(cluster, controller, &name);
        }
    }
    count
}

// Guards against direct launches whose attempts cannot be reaped under a higher token.
#[test]
fn an_epoch_with_a_single_token_launches_only_with_responses() {
    let mut cluster = Cluster::new();
    (0..3).for_each(|controller| cluster.crash(controller));
    let former_leader = json!({ "name": "n9", "hold": 9_999 });
    let members = [former_leader.clone()];
    let record = json!({ "number": MAX_EPOCH_BEFORE_TOKEN_RANGE.0 + 1, "leader": former_leader, "members": members });
    cluster.put("c/epoch", record);
    cluster.faults.are_answered_commands_kept = true;
    (0..3).for_each(|controller| cluster.start(controller));
    cluster.run(6_000);
    cluster.submit(0, &long_job(1, 24));
    cluster.until("all tasks", 120_000, |cluster| cluster.all_done(1, 24));
    assert_eq!(direct_launches(&mut cluster), 0);
    assert_eq!(cluster.task_starts.len(), 24);
    cluster.check();
}

#[test]
fn an_attempt_that_no_owner_has_launched_is_counted_as_unexpected() {
    let mut cluster = ready();
    cluster.submit(0, &long_job(1, 4));
    cluster.until("all tasks", 60_000, |cluster| cluster.all_done(1, 4));
    cluster.submit(0, &long_job(2, 3));
    cluster.until("other tasks", 60_000, |cluster| {
        cluster.running_tasks_of(2) == 3
    });
    assert!(direct_launches(&mut cluster) > 0);
    assert_eq!(unexpected_attempts(&mut cluster), 0);
    let last = cluster.task_starts.last().expect("a start").clone();
    cluster.inject_task(&last.machine, last.task, u64::from(u32::MAX));
    cluster.run(6_000);
    assert_eq!(unexpected_attempts(&mut cluster), 1);
}

// Guards against a leader that answers a copy of an owner's status and so assigns an attempt a second time.
#[test]
fn repeated_requests_between_controllers_place_no_attempt_twice() {
    for seed in 1..=40 {
        let mut cluster = crate::ready();
        cluster.seed(seed);
        cluster.capacity = 4;
        cluster.jitter_ms = 60;
        cluster.task_run_ms = 2_000;
        cluster.run_spread_ms = 700;
        cluster.faults.repeated_peer_requests = Some(RepeatedPeerRequests {
            share: 0.5,
            delay: DelayRange {
                min_ms: 0,
                max_ms: 100,
            },
        });
        for id in 1..=40 {
            let mut new_job = long_job(id, 1 + (id + seed) as u32 % 6);
            new_job["Turno"] = json!(["urgent", "normal", "low"][id as usize % 3]);
            cluster.submit(id as usize % 3, &new_job);
            if id % 5 == 0 {
                cluster.restart((id + seed) as usize % 3, 30 + 90 * (seed % 12));
            }
            if id % 7 == 0 {
                let machine = cluster.workers.keys().nth((id % 3) as usize).cloned();
                machine
                    .iter()
                    .for_each(|machine| cluster.hang(machine, 4_000));
            }
            cluster.run(500 + 90 * (seed % 12));
        }
        cluster.run(30_000);
        assert!(cluster.effects("repeated peer request") > 10, "seed {seed}");
        settle(&mut cluster, &format!("seed {seed}"));
    }
}
