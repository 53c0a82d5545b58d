//! Ordinary operation, and failures of controllers, machines or the key-value store.

use serde_json::json;
use worksshunt_core::controller::{Event, KvResponse};
use worksshunt_core::placement::owner;
use worksshunt_wire::{ControllerName, JobId, TaskId};

use crate::{long_job, ready, ready_with_boots_of};
use worksshunt_simulation::{job, Cluster};

#[test]
fn a_job_runs_to_its_end_and_every_controller_reports_it() {
    let mut cluster = ready();
    assert_eq!(cluster.submit(0, &job(1, 6)).status, 201);
    assert_eq!(cluster.state(1, 1), (200, "pending".into()));
    cluster.until("all tasks", 60_000, |cluster| cluster.all_done(1, 6));
    cluster.run(3_000);
    for controller in 0..3 {
        assert_eq!(cluster.state(controller, 1), (200, "done".into()));
    }
    assert_eq!(cluster.submit(2, &job(1, 6)).status, 200);
    assert_eq!(cluster.task_starts.len(), 6, "each task started once");
    assert!(cluster.stored("j/j-000001").is_none());
    cluster.check();
}

#[test]
fn idle_machines_are_released() {
    let mut cluster = ready();
    cluster.submit(0, &job(1, 3));
    cluster.until("all tasks", 60_000, |cluster| cluster.all_done(1, 3));
    cluster.until("an empty fleet", 90_000, |cluster| {
        cluster.workers.is_empty()
    });
    cluster.check();
}

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

// Guards against writes of a former epoch that are applied after the next one has begun.
#[test]
fn a_late_transaction_of_a_former_leader_is_refused() {
    let mut cluster = ready();
    cluster.submit(0, &job(1, 8));
    let leader = cluster.leader();
    cluster.until("machines", 30_000, |cluster| !cluster.workers.is_empty());
    cluster.faults.key_value.hold_writes.insert(leader);
    cluster.run(8_000);
    cluster.crash(leader);
    cluster.until("another leader", 20_000, |cluster| {
        cluster.leader() != leader
    });
    cluster.faults.key_value.hold_writes.clear();
    let replies = cluster.release_writes();
    assert!(!replies.is_empty(), "something was held back");
    for reply in replies {
        assert!(matches!(reply, KvResponse::Conflict(_)), "{reply:?}");
    }
    cluster.start(leader);
    cluster.until("all tasks", 120_000, |cluster| cluster.all_done(1, 8));
    cluster.check();
}

#[test]
fn a_controller_cut_off_from_the_key_value_store_stops_by_itself() {
    let mut cluster = ready();
    cluster.submit(0, &job(1, 8));
    cluster.until("tasks", 30_000, |cluster| !cluster.running().is_empty());
    let leader = cluster.leader();
    cluster.faults.key_value.unreachable_from.insert(leader);
    cluster.run(7_000);
    let heartbeat = json!({"Estiba": "i-000000", "Addr": "10.1.0.1:1", "Modelo": "m4", "Patio": "a",
        "Prestados": true, "Jornada": 9, "Folio": 1, "Vara": 0, "Piezas": []});
    for machine in 0..12 {
        let mut heartbeat = heartbeat.clone();
        heartbeat["Estiba"] = json!(format!("i-{machine:06}"));
        let body = heartbeat.to_string().into_bytes();
        let reply = cluster.ask(leader, |request| Event::Heartbeat(request, body));
        assert_ne!(reply.status, 200, "it answered a worker without authority");
    }
    let reply = cluster.submit(leader, &job(2, 1));
    assert_eq!((reply.status, reply.retry_after_s), (503, Some(1)));
    cluster.faults.key_value.unreachable_from.clear();
    cluster.until("all tasks", 120_000, |cluster| cluster.all_done(1, 8));
    cluster.check();
}

// Guards against users sent to the one controller that cannot serve them, and against all being
// taken out of service by an outage that none of them can help.
#[test]
fn only_a_controller_that_alone_lost_the_key_value_store_is_unhealthy() {
    let mut cluster = ready();
    cluster.faults.key_value.unreachable_from.insert(1);
    cluster.run(4_500);
    assert_eq!([0, 1, 2].map(|n| cluster.healthy(n)), [true, false, true]);
    cluster.faults.key_value.unreachable_from.clear();
    cluster.run(5_000);
    assert!(cluster.healthy(1));
    cluster.faults.key_value.down = true;
    cluster.run(40_000);
    assert_eq!([0, 1, 2].map(|n| cluster.healthy(n)), [true; 3]);
}

#[test]
fn a_short_outage_of_the_key_value_store_costs_no_lease() {
    let mut cluster = ready();
    cluster.task_run_ms = 60_000;
    cluster.submit(0, &long_job(1, 8));
    cluster.until("tasks", 30_000, |cluster| cluster.running().len() == 8);
    cluster.faults.key_value.down = true;
    cluster.run(15_000);
    let reply = cluster.submit(1, &job(2, 1));
    assert_eq!((reply.status, reply.retry_after_s), (503, Some(1)));
    cluster.faults.key_value.down = false;
    cluster.until("all tasks", 120_000, |cluster| cluster.all_done(1, 8));
    assert_eq!(cluster.task_starts.len(), 8, "no lease ran out");
    cluster.check();
}

#[test]
fn a_team_stays_within_its_limit_over_all_partitions() {
    let mut cluster = ready();
    let mut red = job(1, 40);
    red["Cuadrilla"] = json!("red");
    cluster.submit(0, &red);
    let mut most = 0;
    while !cluster.all_done(1, 40) {
        cluster.run(500);
        most = most.max(cluster.running().len());
        assert!(cluster.now < 300_000, "not in time");
    }
    assert_eq!(most, 8, "the limit is used, and kept");
    cluster.check();
}

#[test]
fn a_cancelled_job_is_gone_for_good() {
    let mut cluster = ready();
    cluster.submit(0, &job(1, 12));
    cluster.until("tasks", 30_000, |cluster| cluster.running().len() > 3);
    assert!(cluster.cancel(1, 1).body.contains("aborted"));
    cluster.until("none running", 6_000, |cluster| {
        cluster.running().is_empty()
    });
    let started = cluster.task_starts.len();
    let leader = cluster.leader();
    cluster.crash(leader);
    cluster.run(1_000);
    cluster.start(leader);
    cluster.run(30_000);
    assert_eq!(cluster.task_starts.len(), started, "none starts after that");
    for controller in 0..3 {
        assert_eq!(cluster.state(controller, 1), (200, "aborted".into()));
    }
    assert_eq!(cluster.submit(0, &job(1, 12)).status, 200);
    cluster.check();
}

#[test]
fn a_cancellation_that_races_the_launch_wins() {
    let mut cluster = ready();
    cluster.machine("a", true, 0);
    cluster.run(4_000);
    cluster.submit(0, &job(1, 4));
    cluster.cancel(2, 1);
    cluster.run(20_000);
    assert_eq!(cluster.running(), vec![]);
    cluster.check();
}

// Guards against reporting to a user what is not stored yet.
#[test]
fn a_job_is_reported_done_only_when_that_is_durable() {
    let mut cluster = ready();
    cluster.submit(0, &job(1, 2));
    cluster.until("tasks", 30_000, |cluster| cluster.running().len() == 2);
    cluster.run(6_000);
    cluster.faults.key_value.hold_writes = (0..3).collect();
    cluster.until("all tasks", 30_000, |cluster| cluster.all_done(1, 2));
    cluster.run(2_000);
    for controller in 0..3 {
        assert_ne!(cluster.state(controller, 1).1, "done");
    }
    cluster.faults.key_value.hold_writes.clear();
    cluster.run(4_000);
    assert_eq!(cluster.state(0, 1), (200, "done".into()));
    cluster.check();
}

// Guards against a worker that forgets a completion that is not stored yet.
#[test]
fn a_completion_survives_a_crash_before_it_was_durable() {
    let mut cluster = ready();
    cluster.submit(0, &job(1, 3));
    cluster.until("tasks", 30_000, |cluster| cluster.running().len() == 3);
    cluster.run(6_000);
    cluster.faults.key_value.hold_writes = (0..3).collect();
    cluster.until("all tasks", 30_000, |cluster| cluster.all_done(1, 3));
    cluster.run(4_000);
    (0..3).for_each(|controller| cluster.crash(controller));
    cluster.faults.key_value.hold_writes.clear();
    cluster.run(5_000);
    (0..3).for_each(|controller| cluster.start(controller));
    cluster.run(20_000);
    assert_eq!(cluster.state(0, 1), (200, "done".into()));
    assert_eq!(cluster.task_starts.len(), 3, "no work was repeated");
    cluster.check();
}

// Guards against an unanswered order that starts a task again after its attempt was forgotten.
#[test]
fn late_direct_commands_start_nothing_a_second_time() {
    let mut cluster = ready();
    cluster.faults.hold_commands = true;
    cluster.submit(0, &job(1, 8));
    cluster.until("all tasks", 120_000, |cluster| cluster.all_done(1, 8));
    cluster.run(5_000);
    cluster.submit(0, &job(2, 3));
    assert!(cluster.release_commands() > 0, "something was held back");
    cluster.until("all tasks", 60_000, |cluster| cluster.all_done(2, 3));
    cluster.run(10_000);
    assert_eq!(cluster.task_starts.len(), 11, "{:?}", cluster.task_starts);
    cluster.check();
}

#[test]
fn a_hung_machine_loses_its_tasks_only_after_its_lease() {
    let mut cluster = ready();
    cluster.task_run_ms = 20_000;
    cluster.submit(0, &job(1, 4));
    cluster.until("tasks", 30_000, |cluster| cluster.running().len() == 4);
    let machine = cluster.task_starts[0].2.clone();
    let hung_at = cluster.now;
    cluster.workers.get_mut(&machine).expect("a worker").hung = true;
    cluster.until("a second start", 90_000, |cluster| {
        cluster.task_starts.len() > 4
    });
    assert!(
        cluster.now > hung_at + 16_000,
        "started before the lease was over"
    );
    if let Some(worker) = cluster.workers.get_mut(&machine) {
        worker.hung = false;
    }
    cluster.until("all tasks", 120_000, |cluster| cluster.all_done(1, 4));
    cluster.check();
}

// Guards against epochs in quick succession that put off the discovery of a dead machine each time.
#[test]
fn a_dead_machine_is_detected_during_a_rolling_restart() {
    let mut cluster = ready();
    cluster.task_run_ms = 100_000;
    cluster.submit(0, &long_job(1, 24));
    cluster.until("tasks", 30_000, |cluster| cluster.running().len() == 24);
    let leader = cluster.leader();
    let other = (leader + 1) % 3;
    // A machine that is the leader's with and without the controller that restarts.
    let names: Vec<ControllerName> = (0..3).map(|n| ControllerName(format!("n{n}"))).collect();
    let rest: Vec<ControllerName> = names
        .iter()
        .filter(|n| **n != names[other])
        .cloned()
        .collect();
    let dead = cluster
        .workers
        .keys()
        .find(|id| [&names, &rest].map(|n| owner(id, n)) == [Some(&names[leader]); 2])
        .cloned()
        .expect("the leader owns one of six");
    cluster.workers.get_mut(&dead).expect("a worker").hung = true;
    for _ in 0..4 {
        cluster.crash(other);
        cluster.run(6_000);
        cluster.start(other);
        cluster.run(4_000);
    }
    assert!(
        cluster.task_starts.len() > 24,
        "nothing was given up after 40 s"
    );
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
    assert_eq!(cluster.task_starts.len(), 40, "no lease ran out");
    cluster.check();
}

#[test]
fn zones_of_dependent_tasks_are_kept() {
    let mut cluster = ready();
    for zone in ["a", "b", "a", "b"] {
        cluster.machine(zone, true, 0);
    }
    cluster.run(4_000);
    let mut together = job(1, 8);
    together["SamePlace"] = json!(true);
    let mut apart = job(2, 6);
    apart["Spread"] = json!(true);
    let mut fixed = job(3, 4);
    fixed["Patio"] = json!("b");
    for job in [&together, &apart, &fixed] {
        assert_eq!(cluster.submit(0, job).status, 201);
    }
    cluster.until("all tasks", 120_000, |cluster| {
        cluster.all_done(1, 8) && cluster.all_done(2, 6) && cluster.all_done(3, 4)
    });
    cluster.check();
}

// Guards against tasks in two zones at once, when the zone that an early task was done in becomes known only
// after the others were put elsewhere (found by a day of mixed faults).
#[test]
fn tasks_on_machines_decide_the_zone_before_tasks_that_are_done() {
    let mut cluster = ready_with_boots_of(50.0);
    cluster.faults.cloud.down = true;
    cluster.task_run_ms = 20_000;
    cluster.machine("b", true, 0);
    let mut bound = long_job(1, 6);
    bound["SamePlace"] = json!(true);
    cluster.submit(0, &bound);
    cluster.until("a full machine", 20_000, |cluster| {
        cluster.running().len() == 4
    });
    (0..3).for_each(|controller| cluster.crash(controller));
    let done = json!([["j-000001", [[5, 5]], { "a": 1 }]]);
    cluster.put("d/900", json!({ "v": 2, "done": done }));
    let other = cluster.machine("a", true, 0);
    (0..3).for_each(|controller| cluster.start(controller));
    cluster.run(12_000);
    assert_eq!(cluster.launches_on(&other), 0);
    cluster.until("the fifth task", 40_000, |cluster| {
        cluster.task_starts.len() == 5
    });
    cluster.invariants.completed(TaskId {
        job: JobId(1),
        index: 5,
    });
    cluster.faults.cloud.down = false;
    cluster.until("its end", 60_000, |cluster| cluster.keys("j/").is_empty());
    cluster.check();
}

// Guards against a limit of 0 read as a limit: every submission of such a team was refused for good.
#[test]
fn a_team_without_guarantee_and_limit_uses_what_there_is() {
    let mut cluster = ready();
    cluster.task_run_ms = 20_000;
    let mut white = long_job(1, 40);
    white["Cuadrilla"] = json!("white");
    assert_eq!(cluster.submit(0, &white).status, 201);
    cluster.until("all at once", 40_000, |cluster| {
        cluster.running().len() == 40
    });
    // What has a limit keeps to it beside that.
    let mut red = long_job(2, 9);
    red["Cuadrilla"] = json!("red");
    cluster.submit(1, &red);
    cluster.until("all tasks", 200_000, |cluster| {
        cluster.all_done(1, 40) && cluster.all_done(2, 9)
    });
    cluster.check();
}

// Guards against wide tasks that never find a whole machine while narrow ones keep coming.
#[test]
fn a_wide_task_gets_a_machine_by_a_claim() {
    let mut cluster = ready();
    cluster.capacity = 2;
    cluster.task_run_ms = 3_000;
    cluster.submit(0, &job(1, 400));
    cluster.until("a full fleet", 40_000, |cluster| {
        cluster.running().len() == 8
    });
    cluster.task_run_ms = 2_700;
    let mut wide = job(2, 1);
    wide["Cores"] = json!(4.0);
    wide["CalculoS"] = json!(3.0);
    cluster.submit(0, &wide);
    cluster.until("the wide task", 90_000, |cluster| cluster.all_done(2, 1));
    assert!(
        !cluster.all_done(1, 400),
        "the narrow ones were still coming"
    );
    cluster.check();
}

// Guards against a job that fails on every machine keeping the fleet from the others.
#[test]
fn a_job_that_always_fails_is_retried_at_growing_intervals() {
    let mut cluster = ready();
    cluster.capacity = 1;
    cluster.task_run_ms = 1_000;
    cluster.faults.failing_jobs.insert(JobId(1));
    cluster.submit(0, &job(1, 1));
    cluster.submit(1, &job(2, 30));
    cluster.until("the good job", 120_000, |cluster| cluster.all_done(2, 30));
    cluster.run(60_000);
    let tries = cluster
        .task_starts
        .iter()
        .filter(|s| s.1.job == JobId(1))
        .count();
    assert!((4..16).contains(&tries), "{tries} tries");
    assert_eq!(cluster.state(0, 1).0, 200);
}

// Guards against a faulty machine that fails tasks quickly and so attracts ever more of them.
#[test]
fn a_faulty_machine_gets_no_more_tasks_and_is_released() {
    let mut cluster = ready_with_boots_of(50.0);
    cluster.task_run_ms = 2_000;
    let faulty = cluster.machine("a", true, 0);
    cluster.machine("a", true, 0);
    cluster.faults.faulty_machines.insert(faulty.clone());
    cluster.run(4_000);
    for id in 1..=20 {
        cluster.submit(0, &job(id, 3));
    }
    cluster.until("all tasks", 90_000, |cluster| {
        (1..=20).all(|id| cluster.all_done(id, 3))
    });
    cluster.until("its return", 90_000, |cluster| {
        cluster.released_machines.contains(&faulty)
    });
    let failed = cluster.task_starts.iter().filter(|s| s.2 == faulty).count();
    assert!((3..=8).contains(&failed), "{failed} starts on it");
    cluster.check();
}

// Guards against a new leader that counts machines as silent because it has received no heartbeat yet.
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
        "no machine was taken from its tasks"
    );
    cluster.check();
}

#[test]
fn the_largest_job_runs_and_can_be_cancelled() {
    let mut cluster = ready();
    cluster.task_run_ms = 1_000;
    cluster.submit(0, &job(1, 100_000));
    cluster.until("many tasks", 120_000, |cluster| {
        cluster.task_starts.len() > 500
    });
    let mut urgent = job(2, 10);
    urgent["Turno"] = json!("urgent");
    cluster.submit(1, &urgent);
    cluster.until("the urgent job too", 120_000, |cluster| {
        cluster.all_done(2, 10)
    });
    let leader = cluster.leader();
    cluster.crash(leader);
    cluster.run(10_000);
    cluster.start(leader);
    cluster.run(10_000);
    let starts = cluster.task_starts.len();
    cluster.run(5_000);
    assert!(
        cluster.task_starts.len() > starts,
        "it goes on under another leader"
    );
    assert_eq!(cluster.cancel(leader, 1).status, 200);
    cluster.until("none running", 10_000, |cluster| {
        cluster.running().is_empty()
    });
    cluster.check();
}

// Guards against a leader that forgets what it provisioned, and waits for the list, whenever a controller
// joins or leaves.
#[test]
fn a_leader_goes_on_provisioning_when_another_controller_leaves() {
    let mut cluster = ready();
    let leader = cluster.leader();
    cluster.list_lag_ms = 5_000;
    cluster.submit(leader, &long_job(1, 8));
    cluster.until("machines", 10_000, |cluster| cluster.workers.len() == 2);
    cluster.crash((leader + 1) % 3);
    cluster.run(6_000);
    let others = (leader + 2) % 3;
    cluster.submit(others, &long_job(2, 12));
    cluster.until("more machines", 3_000, |cluster| cluster.workers.len() == 5);
    cluster.run(10_000);
    assert_eq!(cluster.workers.len(), 5, "and no more than that");
    cluster.check();
}

// Guards against a burst of submissions that takes as many changes as jobs, and against a job that is
// admitted twice, by two controllers, and runs again after its end.
#[test]
fn a_burst_of_submissions_is_admitted_in_batches() {
    let mut cluster = ready();
    let before = cluster.revision();
    let jobs: Vec<_> = (1..=40).map(|id| job(id, 1)).collect();
    let replies = cluster.submit_at_once(&[0, 1], &jobs);
    assert!(
        replies.iter().all(|r| matches!(r.status, 200 | 201)),
        "{replies:?}"
    );
    assert!(cluster.revision() - before < 30, "pages, not keys");
    for controller in 0..3 {
        assert_eq!(cluster.state(controller, 7), (200, "pending".into()));
        assert_eq!(cluster.submit(controller, &job(8, 1)).status, 200);
    }
    assert!(cluster.cancel(2, 9).body.contains("aborted"));
    cluster.until("all the others", 120_000, |cluster| {
        (1..=40).all(|id| id == 9 || cluster.all_done(id, 1))
    });
    cluster.run(5_000);
    for id in [1, 8, 40] {
        assert_eq!(cluster.state(1, id), (200, "done".into()));
    }
    assert_eq!(cluster.state(1, 9), (200, "aborted".into()));
    assert_eq!(cluster.task_starts.len(), 39);
    assert!(cluster.keys("j/").is_empty(), "{:?}", cluster.keys("j/"));
    cluster.check();
}

#[test]
fn bad_submissions_are_rejected_with_the_reason() {
    let mut cluster = ready();
    let change = |field: &str, value: serde_json::Value| {
        let mut job = job(7, 2);
        job[field] = value;
        job
    };
    let malformed = [
        json!([1]),
        json!({}),
        change("Ref", json!("job-7")),
        change("Piezas", json!(0)),
        change("Piezas", json!(100_001)),
        change("Piezas", json!(1.5)),
        change("Cores", json!(-1.0)),
        change("Oficio", json!("gang")),
        change("Spread", json!("no")),
        change("Carril", json!("c".repeat(9_000))),
    ];
    for job in &malformed {
        assert_eq!(cluster.submit(0, job).status, 400, "{job}");
    }
    let reply = cluster.ask(0, |request| Event::Submit(request, b"{not json".to_vec()));
    assert_eq!(reply.status, 400);
    let impossible = [
        change("Cuadrilla", json!("green")),
        change("Cores", json!(5.0)),
        change("Modelos", json!(["m5"])),
        change("Patio", json!("c")),
        change("Cores", json!(101.0)),
    ];
    for job in &impossible {
        assert_eq!(cluster.submit(0, job).status, 422, "{job}");
    }
    assert_eq!(cluster.state(0, 7).0, 404);
    assert_eq!(cluster.cancel(0, 7).status, 404);
    // A known job is answered with its state, whatever else the repeat says.
    assert_eq!(cluster.submit(0, &job(7, 2)).status, 201);
    assert_eq!(cluster.submit(1, &change("Piezas", json!(0))).status, 200);
    assert_eq!(
        cluster
            .submit(2, &change("Cuadrilla", json!("green")))
            .status,
        200
    );
}

// Guards against numbers of attempts that a long epoch has in common with the next one.
#[test]
fn a_new_epoch_begins_when_the_attempt_numbers_are_used_up() {
    let mut cluster = Cluster::new();
    cluster.limit_attempts(16);
    cluster.run(4_000);
    let first = cluster.epoch();
    let sessions_begun = |cluster: &Cluster| {
        cluster
            .workers
            .keys()
            .filter(|id| cluster.worker_incarnation(id) > 1)
            .count()
    };
    cluster.submit(0, &job(1, 50));
    cluster.until("all tasks", 120_000, |cluster| cluster.all_done(1, 50));
    assert_eq!(cluster.epoch(), first + 3, "16, 32 and 48 of 50 attempts");
    assert_eq!(cluster.task_starts.len(), 50, "each task started once");
    assert_eq!(sessions_begun(&cluster), 0, "no lease was lost");
    cluster.run(3_000);
    cluster.check();
}
