//! Tests of `users`.

use crate::constants::capacity::MIN_EXCHANGES;

use super::*;

fn users(jobs: u64) -> JobApi {
    let mut users = JobApi::new(MIN_EXCHANGES);
    for id in 1..=jobs {
        users.queue_submission(Time(0), RequestId(id), small_job(id));
    }
    users
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
fn many_submissions_share_keys_within_the_limits_of_a_transaction() {
    let mut users = users(200);
    let mut pages = 0;
    let write = users.next_write(
        20,
        &limits(),
        Some(|| {
            pages += 1;
            format!("j/+n.1.{pages}")
        }),
    );
    let write = write.expect("a transaction");
    assert!(write.changes.len() <= PAGES_PER_WRITE && write.expected.len() <= 80);
    assert!(serde_json::json!(write).to_string().len() < 64 * 1024);
    let taken = users.write_answered().len();
    assert!((30..200).contains(&taken), "{taken} at once");
    assert!(users.write_due(), "the others go on waiting");
}

// Guards against submissions that hang for ever at a controller that has just lost its lease, after
// which its pages would be named.
#[test]
fn without_a_name_for_pages_each_job_has_its_own_key() {
    let mut users = users(30);
    let write = users.next_write(20, &limits(), None::<fn() -> String>);
    assert_eq!(write.map(|write| write.changes.len()), Some(20));
    assert_eq!(users.write_answered().len(), 20);
    assert_eq!(users.take_overdue(Time(SUBMISSION_TIMEOUT_MS)).len(), 10);
}

#[test]
fn another_request_is_one_too_many_only_when_as_many_wait_as_may() {
    let mut users = users(MIN_EXCHANGES as u64 - 1);
    assert!(!users.is_full());
    users.requeue_submissions(vec![(Time(0), RequestId(0), small_job(999_999))]);
    assert!(users.is_full());
}
