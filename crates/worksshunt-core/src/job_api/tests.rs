//! Tests of `job_api`.

use worksshunt_wire::settings::KeyValueLimits;
use worksshunt_wire::JobId;

use crate::constants::capacity::MIN_IN_FLIGHT_REQUEST_LIMIT;
use crate::constants::job_api::SUBMISSION_TIMEOUT_MS;
use crate::constants::pages::PAGES_PER_WRITE;
use crate::jobs::Job;
use crate::time::Time;

use super::*;

fn queues_with_submissions(count: u64) -> JobApiQueues {
    let mut queues = JobApiQueues::new(MIN_IN_FLIGHT_REQUEST_LIMIT);
    for id in 1..=count {
        queues.queue_submission(Time(0), RequestId(id), small_job(id));
    }
    queues
}

fn small_job(id: u64) -> Box<Job> {
    let spec = serde_json::from_value(serde_json::json!({
        "Ref": JobId(id), "Carril": "c", "Cuadrilla": "t", "Oficio": "array",
        "Turno": "normal", "Piezas": 1, "Cores": 1.0, "Gpus": 0.0, "RamGb": 1.0,
        "Molde": "i", "SizeGb": 1.0, "SamePlace": false, "Spread": false,
        "Prestados": true, "CalculoS": 60.0, "RespaldoS": 0.0, "GuardadoS": 0.0}))
    .expect("a job");
    Box::new(Job {
        spec,
        accepted_ms: 0,
    })
}

fn limits() -> KeyValueLimits {
    serde_json::from_value(serde_json::json!({
        "rps": 200.0, "write_rps": 25.0, "value_kb": 8.0, "txn_ops": 20}))
    .expect("limits")
}

#[test]
fn many_submissions_are_batched_within_the_transaction_limits() {
    let mut queues = queues_with_submissions(200);
    let mut batches = 0;
    let write = queues.next_write(
        20,
        &limits(),
        Some(|| {
            batches += 1;
            format!("j/+n.1.{batches}")
        }),
    );
    let write = write.expect("a transaction");
    assert!(write.changes.len() <= PAGES_PER_WRITE && write.expected.len() <= 80);
    assert!(serde_json::json!(write).to_string().len() < 64 * 1024);
    let written = queues.finish_write().len();
    assert!((30..200).contains(&written), "{written} in one write");
    assert!(queues.needs_write(), "the others are still queued");
}

// Guards against submissions that are never written by a controller without a lease, which has no batch keys.
#[test]
fn without_a_batch_key_each_job_has_its_own_key() {
    let mut queues = queues_with_submissions(30);
    let write = queues.next_write(20, &limits(), None::<fn() -> String>);
    assert_eq!(write.map(|write| write.changes.len()), Some(20));
    assert_eq!(queues.finish_write().len(), 20);
    assert_eq!(
        queues
            .take_overdue_submissions(Time(SUBMISSION_TIMEOUT_MS))
            .len(),
        10
    );
}

#[test]
fn requests_are_refused_only_at_capacity() {
    let mut queues = queues_with_submissions(MIN_IN_FLIGHT_REQUEST_LIMIT as u64 - 1);
    assert!(!queues.is_full());
    queues.requeue_submissions(vec![PendingSubmission {
        queued_at: Time(0),
        request_id: RequestId(0),
        job: small_job(999_999),
    }]);
    assert!(queues.is_full());
}
