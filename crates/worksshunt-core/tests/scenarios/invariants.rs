//! The checker of the invariants finds each violation that it is there for: it is shown a deliberate one, and accepts
//! the same without the violation.

use serde_json::json;
use worksshunt_core::controller::Event;
use worksshunt_core::job_api::{HttpResponse, RequestId};
use worksshunt_wire::{JobId, MachineId, TaskId};

use crate::{long_job, ready};
use worksshunt_simulation::invariants::{Invariants, UserRequest};
use worksshunt_simulation::{job, settings, Cluster};

fn rules() -> Invariants {
    let mut rules = Invariants::default();
    rules.set_limits(&settings(0));
    rules
}

fn submission(rules: &mut Invariants, id: u64) -> UserRequest {
    let body = job(id, 1).to_string().into_bytes();
    rules.record_request(&Event::Submit {
        request_id: RequestId(1),
        body,
    })
}

fn status(rules: &mut Invariants, id: u64) -> UserRequest {
    let id = JobId(id).to_string();
    rules.record_request(&Event::Status {
        request_id: RequestId(1),
        job_id: id,
    })
}

fn withdrawal(rules: &mut Invariants, id: u64) -> UserRequest {
    let id = JobId(id).to_string();
    rules.record_request(&Event::Cancel {
        request_id: RequestId(1),
        job_id: id,
    })
}

fn job_response(state: &str) -> HttpResponse {
    HttpResponse::json(200, &json!({ "Estado": state }))
}

fn not_found() -> HttpResponse {
    HttpResponse::error(404, "no such job")
}

fn task(job: u64, index: u32) -> TaskId {
    let job = JobId(job);
    TaskId { job, index }
}

/// A checker that has seen job 1 accepted.
fn accepted() -> Invariants {
    let mut rules = rules();
    let query = submission(&mut rules, 1);
    rules.record_response(0, &query, &job_response("pending"));
    rules
}

fn is_violated(rules: &Invariants, rule: &str) -> bool {
    rules.violations.iter().any(|text| text.starts_with(rule))
}

#[test]
fn an_accepted_job_must_stay_known() {
    let mut rules = accepted();
    let before = status(&mut rules, 1);
    let query = status(&mut rules, 1);
    rules.record_response(1, &query, &HttpResponse::retry_later("busy"));
    rules.record_response(2, &before, &job_response("pending"));
    assert!(rules.violations.is_empty());
    let query = status(&mut rules, 1);
    rules.record_response(3, &query, &not_found());
    assert!(is_violated(&rules, "forgotten"));
    for status in [400, 422] {
        let mut rules = accepted();
        let query = submission(&mut rules, 1);
        rules.record_response(1, &query, &HttpResponse::error(status, "no"));
        assert!(is_violated(&rules, "forgotten"), "{status}");
    }
}

#[test]
fn a_response_to_an_earlier_query_may_be_older() {
    let mut rules = rules();
    let early = status(&mut rules, 1);
    let query = submission(&mut rules, 1);
    rules.record_response(1, &query, &job_response("pending"));
    rules.record_response(2, &early, &not_found());
    assert!(
        rules.violations.is_empty(),
        "queried before it was accepted"
    );
}

#[test]
fn a_job_that_nobody_submitted_must_be_unknown() {
    let mut rules = rules();
    let query = status(&mut rules, 2);
    rules.record_response(0, &query, &not_found());
    assert!(rules.violations.is_empty());
    let query = status(&mut rules, 2);
    rules.record_response(1, &query, &job_response("pending"));
    assert!(is_violated(&rules, "invented"));
}

#[test]
fn a_job_is_done_only_after_its_last_task() {
    let mut rules = accepted();
    let query = status(&mut rules, 1);
    rules.record_response(1, &query, &job_response("done"));
    assert!(is_violated(&rules, "not_done"));
    let mut rules = accepted();
    rules.record_completion(task(1, 0));
    let query = status(&mut rules, 1);
    rules.record_response(1, &query, &job_response("done"));
    assert!(rules.violations.is_empty());
}

#[test]
fn the_reported_end_of_a_job_must_not_change() {
    let done = || {
        let mut rules = accepted();
        rules.record_completion(task(1, 0));
        let early = status(&mut rules, 1);
        let query = status(&mut rules, 1);
        rules.record_response(1, &query, &job_response("done"));
        rules.record_response(2, &early, &job_response("running"));
        assert!(rules.violations.is_empty(), "queried before it was done");
        rules
    };
    let mut rules = done();
    let query = status(&mut rules, 1);
    rules.record_response(3, &query, &job_response("running"));
    assert!(is_violated(&rules, "went_back"));
    let mut rules = done();
    let query = withdrawal(&mut rules, 1);
    rules.record_response(3, &query, &job_response("aborted"));
    assert!(is_violated(&rules, "went_back"));
    let mut rules = accepted();
    let query = status(&mut rules, 1);
    rules.record_response(3, &query, &job_response("aborted"));
    assert!(
        is_violated(&rules, "went_back"),
        "its user did not cancel it"
    );
}

/// A cluster with machines that controllers' commands do not reach; tests inject tasks into them.
fn with_machines(count: usize, zone: &str, spot: bool) -> (Cluster, Vec<MachineId>) {
    let mut cluster = ready();
    let ids: Vec<MachineId> = (0..count)
        .map(|_| cluster.create_machine(zone, spot, 0))
        .collect();
    cluster.faults.unreachable_machines = ids.iter().cloned().collect();
    (cluster, ids)
}

#[test]
fn a_task_on_two_machines_is_found_also_when_one_hangs() {
    let (mut cluster, ids) = with_machines(2, "a", true);
    cluster.faults.cloud.is_down = true;
    cluster.submit(0, &long_job(1, 1));
    cluster.inject_task(&ids[0], task(1, 0), 7);
    cluster.run(300);
    cluster.hang(&ids[0], 20_000);
    assert!(cluster.invariants.violations.is_empty());
    cluster.inject_task(&ids[1], task(1, 0), 8);
    cluster.run(300);
    assert!(is_violated(&cluster.invariants, "ran_twice"));
}

#[test]
fn a_team_over_its_limit_is_found_also_on_hung_machines() {
    let (mut cluster, ids) = with_machines(3, "a", true);
    cluster.faults.cloud.is_down = true;
    let mut red = long_job(1, 9);
    red["Cuadrilla"] = json!("red");
    cluster.submit(0, &red);
    for index in 0..8 {
        let id = &ids[index as usize / 4];
        cluster.inject_task(id, task(1, index), 7 + u64::from(index));
    }
    cluster.run(300);
    cluster.hang(&ids[0], 20_000);
    assert!(cluster.invariants.violations.is_empty());
    cluster.inject_task(&ids[2], task(1, 8), 80);
    cluster.run(300);
    assert!(is_violated(&cluster.invariants, "quota"));
}

#[test]
fn a_task_in_the_wrong_place_is_found() {
    let is_wrong_place_found = |field: &str, value: serde_json::Value, zone: &str, spot: bool| {
        let (mut cluster, ids) = with_machines(2, zone, spot);
        cluster.faults.cloud.is_down = true;
        let mut restricted = long_job(1, 4);
        restricted[field] = value;
        cluster.submit(0, &restricted);
        for index in 0..3 {
            cluster.inject_task(&ids[0], task(1, index), 7 + u64::from(index));
        }
        cluster.run(300);
        is_violated(&cluster.invariants, "wrong_place")
    };
    assert!(is_wrong_place_found("Patio", json!("b"), "a", true));
    assert!(!is_wrong_place_found("Patio", json!("a"), "a", true));
    assert!(is_wrong_place_found("Prestados", json!(false), "a", true));
    assert!(!is_wrong_place_found("Prestados", json!(false), "a", false));
    assert!(is_wrong_place_found("Spread", json!(true), "a", true));
    assert!(!is_wrong_place_found("SamePlace", json!(true), "a", true));
}

#[test]
fn a_task_of_a_cancelled_job_is_found_once_its_time_is_over_and_its_start_at_once() {
    let (mut cluster, ids) = with_machines(1, "a", true);
    cluster.faults.cloud.is_down = true;
    cluster.task_run_ms = 100_000;
    cluster.submit(0, &long_job(1, 2));
    cluster.inject_task(&ids[0], task(1, 0), 7);
    cluster.run(300);
    assert_eq!(cluster.cancel(1, 1).status, 200);
    assert_eq!(cluster.invariants.starts_after_cancel, 0);
    cluster.inject_task(&ids[0], task(1, 1), 8);
    cluster.run(300);
    assert_eq!(cluster.invariants.starts_after_cancel, 1);
    // The machine is unreachable, so its lease ends the tasks; others are injected again.
    cluster.run(29_000);
    assert!(cluster.invariants.violations.is_empty());
    cluster.inject_task(&ids[0], task(1, 0), 9);
    cluster.run(300);
    cluster.hang(&ids[0], 3_000);
    cluster.run(4_000);
    assert!(is_violated(&cluster.invariants, "ran_cancelled"));
}

#[test]
fn a_job_that_waits_beside_free_capacity_is_found() {
    let mut cluster = ready();
    cluster.submit(0, &long_job(1, 4));
    cluster.until("tasks", 30_000, |cluster| cluster.running().len() == 4);
    let spot = cluster.task_starts[0].machine.clone();
    let unknown_job = job(9, 1).to_string().into_bytes();
    let query = cluster.invariants.record_request(&Event::Submit {
        request_id: RequestId(0),
        body: unknown_job,
    });
    let now = cluster.now;
    cluster
        .invariants
        .record_response(now, &query, &job_response("pending"));
    // Accepted according to the checker, unknown to the controllers; there is always a machine for it.
    cluster.task_run_ms = 1_000;
    for id in 10..80 {
        cluster.submit(0, &job(id, 1));
        cluster.run(1_500);
    }
    assert!(is_violated(&cluster.invariants, "waits"), "beside {spot:?}");
    let forgotten = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| cluster.check()));
    assert!(forgotten.is_err());
}

// A query that is never answered is distinguished from one that is answered late.
#[test]
fn a_job_whose_queries_are_never_answered_is_found() {
    let mut cluster = ready();
    cluster.submit(0, &job(1, 1));
    cluster.until("its end", 60_000, |cluster| cluster.all_done(1, 1));
    cluster.put("j/j-000001", json!({ "spec": "of another version" }));
    let found = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| cluster.check()));
    assert!(found.is_err());
    assert!(is_violated(&cluster.invariants, "forgotten"));
}
