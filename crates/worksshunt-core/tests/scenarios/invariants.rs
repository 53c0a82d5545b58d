//! The invariant checker detects a violation of each kind, and accepts the same steps without the violation.

use serde_json::json;
use worksshunt_core::controller::Event;
use worksshunt_core::job_api::{HttpResponse, RequestId};
use worksshunt_wire::{JobId, MachineId, TaskId};

use crate::{long_job, ready};
use worksshunt_simulation::invariants::{Invariants, UserRequest};
use worksshunt_simulation::{job, settings, Cluster};

fn new_checker() -> Invariants {
    let mut checker = Invariants::default();
    checker.set_limits(&settings(0));
    checker
}

fn record_submission(checker: &mut Invariants, id: u64) -> UserRequest {
    let body = job(id, 1).to_string().into_bytes();
    checker.record_request(&Event::Submit {
        request_id: RequestId(1),
        body,
    })
}

fn record_status_query(checker: &mut Invariants, id: u64) -> UserRequest {
    let id = JobId(id).to_string();
    checker.record_request(&Event::Status {
        request_id: RequestId(1),
        job_id: id,
    })
}

fn record_cancellation(checker: &mut Invariants, id: u64) -> UserRequest {
    let id = JobId(id).to_string();
    checker.record_request(&Event::Cancel {
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

/// Returns a checker that has recorded that job 1 was accepted.
fn checker_with_accepted_job() -> Invariants {
    let mut checker = new_checker();
    let request = record_submission(&mut checker, 1);
    checker.record_response(0, &request, &job_response("pending"));
    checker
}

fn is_violated(checker: &Invariants, invariant: &str) -> bool {
    checker
        .violations
        .iter()
        .any(|text| text.starts_with(invariant))
}

#[test]
fn a_forgotten_job_is_detected() {
    let mut checker = checker_with_accepted_job();
    let earlier_request = record_status_query(&mut checker, 1);
    let request = record_status_query(&mut checker, 1);
    checker.record_response(1, &request, &HttpResponse::retry_later("busy"));
    checker.record_response(2, &earlier_request, &job_response("pending"));
    assert!(checker.violations.is_empty());
    let request = record_status_query(&mut checker, 1);
    checker.record_response(3, &request, &not_found());
    assert!(is_violated(&checker, "forgotten"));
    for status in [400, 422] {
        let mut checker = checker_with_accepted_job();
        let request = record_submission(&mut checker, 1);
        checker.record_response(1, &request, &HttpResponse::error(status, "no"));
        assert!(is_violated(&checker, "forgotten"), "{status}");
    }
}

#[test]
fn a_response_to_an_earlier_query_may_be_outdated() {
    let mut checker = new_checker();
    let earlier_request = record_status_query(&mut checker, 1);
    let request = record_submission(&mut checker, 1);
    checker.record_response(1, &request, &job_response("pending"));
    checker.record_response(2, &earlier_request, &not_found());
    assert!(
        checker.violations.is_empty(),
        "queried before it was accepted"
    );
}

#[test]
fn a_state_of_an_unsubmitted_job_is_detected() {
    let mut checker = new_checker();
    let request = record_status_query(&mut checker, 2);
    checker.record_response(0, &request, &not_found());
    assert!(checker.violations.is_empty());
    let request = record_status_query(&mut checker, 2);
    checker.record_response(1, &request, &job_response("pending"));
    assert!(is_violated(&checker, "invented"));
}

#[test]
fn a_job_reported_done_before_its_last_task_is_detected() {
    let mut checker = checker_with_accepted_job();
    let request = record_status_query(&mut checker, 1);
    checker.record_response(1, &request, &job_response("done"));
    assert!(is_violated(&checker, "not_done"));
    let mut checker = checker_with_accepted_job();
    checker.record_completion(task(1, 0));
    let request = record_status_query(&mut checker, 1);
    checker.record_response(1, &request, &job_response("done"));
    assert!(checker.violations.is_empty());
}

#[test]
fn a_changed_final_state_is_detected() {
    let checker_with_completed_job = || {
        let mut checker = checker_with_accepted_job();
        checker.record_completion(task(1, 0));
        let earlier_request = record_status_query(&mut checker, 1);
        let request = record_status_query(&mut checker, 1);
        checker.record_response(1, &request, &job_response("done"));
        checker.record_response(2, &earlier_request, &job_response("running"));
        assert!(checker.violations.is_empty(), "queried before it was done");
        checker
    };
    let mut checker = checker_with_completed_job();
    let request = record_status_query(&mut checker, 1);
    checker.record_response(3, &request, &job_response("running"));
    assert!(is_violated(&checker, "went_back"));
    let mut checker = checker_with_completed_job();
    let request = record_cancellation(&mut checker, 1);
    checker.record_response(3, &request, &job_response("aborted"));
    assert!(is_violated(&checker, "went_back"));
    let mut checker = checker_with_accepted_job();
    let request = record_status_query(&mut checker, 1);
    checker.record_response(3, &request, &job_response("aborted"));
    assert!(
        is_violated(&checker, "went_back"),
        "its user did not cancel it"
    );
}

/// Returns a cluster and machines that the controllers' commands do not reach. Tests inject tasks into the machines.
fn with_unreachable_machines(count: usize, zone: &str, is_spot: bool) -> (Cluster, Vec<MachineId>) {
    let mut cluster = ready();
    let ids: Vec<MachineId> = (0..count)
        .map(|_| cluster.create_machine(zone, is_spot, 0))
        .collect();
    cluster.faults.unreachable_machines = ids.iter().cloned().collect();
    (cluster, ids)
}

#[test]
fn a_task_on_two_machines_is_detected_when_one_hangs() {
    let (mut cluster, ids) = with_unreachable_machines(2, "a", true);
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
fn an_exceeded_team_limit_is_detected_on_hung_machines() {
    let (mut cluster, ids) = with_unreachable_machines(3, "a", true);
    cluster.faults.cloud.is_down = true;
    let mut red_job = long_job(1, 9);
    red_job["Cuadrilla"] = json!("red");
    cluster.submit(0, &red_job);
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
fn a_task_in_a_wrong_place_is_detected() {
    let is_wrong_place_detected =
        |field: &str, value: serde_json::Value, zone: &str, is_spot: bool| {
            let (mut cluster, ids) = with_unreachable_machines(2, zone, is_spot);
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
    assert!(is_wrong_place_detected("Patio", json!("b"), "a", true));
    assert!(!is_wrong_place_detected("Patio", json!("a"), "a", true));
    assert!(is_wrong_place_detected(
        "Prestados",
        json!(false),
        "a",
        true
    ));
    assert!(!is_wrong_place_detected(
        "Prestados",
        json!(false),
        "a",
        false
    ));
    assert!(is_wrong_place_detected("Spread", json!(true), "a", true));
    assert!(!is_wrong_place_detected(
        "SamePlace",
        json!(true),
        "a",
        true
    ));
}

#[test]
fn a_task_of_a_cancelled_job_is_detected_after_the_cancel_time() {
    let (mut cluster, ids) = with_unreachable_machines(1, "a", true);
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
    // The machine is unreachable, so its lease expires and its tasks end; one is injected again.
    cluster.run(29_000);
    assert!(cluster.invariants.violations.is_empty());
    cluster.inject_task(&ids[0], task(1, 0), 9);
    cluster.run(300);
    cluster.hang(&ids[0], 3_000);
    cluster.run(4_000);
    assert!(is_violated(&cluster.invariants, "ran_cancelled"));
}

#[test]
fn a_job_waiting_beside_free_capacity_is_detected() {
    let mut cluster = ready();
    cluster.submit(0, &long_job(1, 4));
    cluster.until("tasks", 30_000, |cluster| cluster.running().len() == 4);
    let machine = cluster.task_starts[0].machine.clone();
    let unknown_job = job(9, 1).to_string().into_bytes();
    let request = cluster.invariants.record_request(&Event::Submit {
        request_id: RequestId(0),
        body: unknown_job,
    });
    let now = cluster.now;
    cluster
        .invariants
        .record_response(now, &request, &job_response("pending"));
    // The checker considers the job accepted; the controllers do not know it. Free capacity for it is always available.
    cluster.task_run_ms = 1_000;
    for id in 10..80 {
        cluster.submit(0, &job(id, 1));
        cluster.run(1_500);
    }
    assert!(
        is_violated(&cluster.invariants, "waits"),
        "beside {machine:?}"
    );
    let check_result = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| cluster.check()));
    assert!(check_result.is_err());
}

// Guards against treating a query that is never answered as one that is answered late.
#[test]
fn a_job_whose_queries_are_never_answered_is_detected() {
    let mut cluster = ready();
    cluster.submit(0, &job(1, 1));
    cluster.until("the final state", 60_000, |cluster| cluster.all_done(1, 1));
    cluster.put("j/j-000001", json!({ "spec": "of another version" }));
    let check_result = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| cluster.check()));
    assert!(check_result.is_err());
    assert!(is_violated(&cluster.invariants, "forgotten"));
}
