//! The life cycle of a job: submission, cancellation and completion, and jobs that are rejected or always fail.

use serde_json::json;
use worksshunt_core::controller::Event;
use worksshunt_wire::JobId;

use crate::ready;
use worksshunt_simulation::job;

#[test]
fn a_job_completes_and_every_controller_reports_it_done() {
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
fn a_cancelled_job_stays_cancelled() {
    let mut cluster = ready();
    cluster.submit(0, &job(1, 12));
    cluster.until("tasks", 30_000, |cluster| cluster.running().len() > 3);
    assert!(cluster.cancel(1, 1).body.contains("aborted"));
    cluster.until("no running tasks", 6_000, |cluster| {
        cluster.running().is_empty()
    });
    let starts_before = cluster.task_starts.len();
    let leader = cluster.leader();
    cluster.crash(leader);
    cluster.run(1_000);
    cluster.start(leader);
    cluster.run(30_000);
    assert_eq!(
        cluster.task_starts.len(),
        starts_before,
        "a task started after the cancellation"
    );
    for controller in 0..3 {
        assert_eq!(cluster.state(controller, 1), (200, "aborted".into()));
    }
    assert_eq!(cluster.submit(0, &job(1, 12)).status, 200);
    cluster.check();
}

#[test]
fn a_cancellation_that_races_with_the_launch_takes_effect() {
    let mut cluster = ready();
    cluster.create_machine("a", true, 0);
    cluster.run(4_000);
    cluster.submit(0, &job(1, 4));
    cluster.cancel(2, 1);
    cluster.run(20_000);
    assert_eq!(cluster.running(), vec![]);
    cluster.check();
}

// Guards against reporting a final state to users before it is stored.
#[test]
fn a_job_is_reported_done_only_after_its_final_state_is_durable() {
    let mut cluster = ready();
    cluster.submit(0, &job(1, 2));
    cluster.until("tasks", 30_000, |cluster| cluster.running().len() == 2);
    cluster.run(6_000);
    cluster.faults.key_value.writes_held_from = (0..3).collect();
    cluster.until("all tasks", 30_000, |cluster| cluster.all_done(1, 2));
    cluster.run(2_000);
    for controller in 0..3 {
        assert_ne!(cluster.state(controller, 1).1, "done");
    }
    cluster.faults.key_value.writes_held_from.clear();
    cluster.run(4_000);
    assert_eq!(cluster.state(0, 1), (200, "done".into()));
    cluster.check();
}

// Guards against a worker that discards a completion that is not stored yet.
#[test]
fn a_completion_survives_a_crash_before_it_is_durable() {
    let mut cluster = ready();
    cluster.submit(0, &job(1, 3));
    cluster.until("tasks", 30_000, |cluster| cluster.running().len() == 3);
    cluster.run(6_000);
    cluster.faults.key_value.writes_held_from = (0..3).collect();
    cluster.until("all tasks", 30_000, |cluster| cluster.all_done(1, 3));
    cluster.run(4_000);
    (0..3).for_each(|controller| cluster.crash(controller));
    cluster.faults.key_value.writes_held_from.clear();
    cluster.run(5_000);
    (0..3).for_each(|controller| cluster.start(controller));
    cluster.run(20_000);
    assert_eq!(cluster.state(0, 1), (200, "done".into()));
    assert_eq!(cluster.task_starts.len(), 3, "no task started twice");
    cluster.check();
}

// Guards against a job that fails on every machine and starves other jobs.
#[test]
fn a_job_that_always_fails_is_retried_at_growing_intervals() {
    let mut cluster = ready();
    cluster.capacity = 1;
    cluster.task_run_ms = 1_000;
    cluster.faults.failing_jobs.insert(JobId(1));
    cluster.submit(0, &job(1, 1));
    cluster.submit(1, &job(2, 30));
    cluster.until("the job that does not fail", 120_000, |cluster| {
        cluster.all_done(2, 30)
    });
    cluster.run(60_000);
    let attempts = cluster
        .task_starts
        .iter()
        .filter(|start| start.task.job == JobId(1))
        .count();
    assert!((4..16).contains(&attempts), "{attempts} attempts");
    assert_eq!(cluster.state(0, 1).0, 200);
}

#[test]
fn the_largest_job_runs_and_can_be_cancelled() {
    let mut cluster = ready();
    cluster.task_run_ms = 1_000;
    cluster.submit(0, &job(1, 100_000));
    cluster.until("many tasks", 120_000, |cluster| {
        cluster.task_starts.len() > 500
    });
    let mut urgent_job = job(2, 10);
    urgent_job["Turno"] = json!("urgent");
    cluster.submit(1, &urgent_job);
    cluster.until("the urgent job", 120_000, |cluster| cluster.all_done(2, 10));
    let leader = cluster.leader();
    cluster.crash(leader);
    cluster.run(10_000);
    cluster.start(leader);
    cluster.run(10_000);
    let starts = cluster.task_starts.len();
    cluster.run(5_000);
    assert!(
        cluster.task_starts.len() > starts,
        "tasks keep starting under another leader"
    );
    assert_eq!(cluster.cancel(leader, 1).status, 200);
    cluster.until("no running tasks", 10_000, |cluster| {
        cluster.running().is_empty()
    });
    cluster.check();
}

// Guards against a burst of submissions that needs one change per job, and against a job that two controllers accept
// and that runs again after its final state.
#[test]
fn a_burst_of_submissions_is_stored_in_batches() {
    let mut cluster = ready();
    let revision_before = cluster.revision();
    let jobs: Vec<_> = (1..=40).map(|id| job(id, 1)).collect();
    let responses = cluster.submit_at_once(&[0, 1], &jobs);
    assert!(
        responses
            .iter()
            .all(|response| matches!(response.status, 200 | 201)),
        "{responses:?}"
    );
    assert!(
        cluster.revision() - revision_before < 30,
        "as many changes as with one key per job"
    );
    for controller in 0..3 {
        assert_eq!(cluster.state(controller, 7), (200, "pending".into()));
        assert_eq!(cluster.submit(controller, &job(8, 1)).status, 200);
    }
    assert!(cluster.cancel(2, 9).body.contains("aborted"));
    cluster.until("all other jobs", 120_000, |cluster| {
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

/// Returns job 7, of two tasks, with `field` replaced.
fn job_with(field: &str, value: serde_json::Value) -> serde_json::Value {
    let mut job = job(7, 2);
    job[field] = value;
    job
}

#[test]
fn invalid_submissions_are_rejected() {
    let mut cluster = ready();
    let malformed = [
        json!([1]),
        json!({}),
        job_with("Ref", json!("job-7")),
        job_with("Piezas", json!(0)),
        job_with("Piezas", json!(100_001)),
        job_with("Piezas", json!(1.5)),
        job_with("Cores", json!(-1.0)),
        job_with("Oficio", json!("gang")),
        job_with("Spread", json!("no")),
        job_with("Carril", json!("c".repeat(9_000))),
    ];
    for job in &malformed {
        assert_eq!(cluster.submit(0, job).status, 400, "{job}");
    }
    let response = cluster.send_and_wait(0, |request_id| Event::Submit {
        request_id,
        body: b"{not json".to_vec(),
    });
    assert_eq!(response.status, 400);
    let infeasible = [
        job_with("Cuadrilla", json!("green")),
        job_with("Cores", json!(5.0)),
        job_with("Modelos", json!(["m5"])),
        job_with("Patio", json!("c")),
        job_with("Cores", json!(101.0)),
    ];
    for job in &infeasible {
        assert_eq!(cluster.submit(0, job).status, 422, "{job}");
    }
    assert_eq!(cluster.state(0, 7).0, 404);
    assert_eq!(cluster.cancel(0, 7).status, 404);
    // The resubmission of an accepted job returns the job's state, whatever else it contains.
    assert_eq!(cluster.submit(0, &job(7, 2)).status, 201);
    assert_eq!(cluster.submit(1, &job_with("Piezas", json!(0))).status, 200);
    assert_eq!(
        cluster
            .submit(2, &job_with("Cuadrilla", json!("green")))
            .status,
        200
    );
}

// Guards against a job that the leader considers ended and the store does not, so that it would not be served for the
// rest of the epoch. The fault is injected as a committed write that the store drops.
#[test]
fn a_job_without_its_stored_final_state_is_reconciled() {
    let mut cluster = ready();
    cluster.faults.key_value.dropped_write_prefix = Some("f/");
    cluster.submit(0, &job(1, 3));
    cluster.until("a dropped final state", 60_000, |cluster| {
        cluster.effects("write dropped") > 0
    });
    assert!(cluster.stored("f/j-000001").is_none());
    let leader = cluster.leader();
    cluster.faults.key_value.dropped_write_prefix = None;
    let epoch = cluster.epoch();
    cluster.until("the stored final state", 30_000, |cluster| {
        cluster.stored("f/j-000001").is_some()
    });
    assert_eq!(cluster.epoch(), epoch);
    for controller in [leader, (leader + 1) % 3] {
        assert_eq!(cluster.state(controller, 1), (200, "done".into()));
    }
    cluster.check();
}
