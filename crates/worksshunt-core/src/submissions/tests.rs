//! Tests of `submissions`.

use serde_json::json;

use super::*;

fn submission() -> Value {
    json!({
        "Ref": "j-000001", "Carril": "c", "Cuadrilla": "t", "Oficio": "array",
        "Turno": "normal", "Piezas": 1, "Cores": 1.0, "Gpus": 0.0, "RamGb": 1.0,
        "Molde": "i", "SizeGb": 1.0, "SamePlace": false, "Spread": false, "Prestados": true,
        "CalculoS": 600.0, "RespaldoS": 0.0, "GuardadoS": 0.0})
}

/// The submission with another value of one field.
fn with(field: &str, value: Value) -> Value {
    let mut submission = submission();
    submission[field] = value;
    submission
}

/// The id and the text that a user is refused with.
fn refused(body: &str) -> (Option<JobId>, String) {
    let refused = parse(body.as_bytes()).expect_err("a refusal");
    assert_eq!(refused.to_string(), refused.refusal.to_string());
    (refused.id, refused.refusal.to_string())
}

#[test]
fn a_valid_submission_is_parsed() {
    let spec = parse(submission().to_string().as_bytes()).expect("a job");
    assert_eq!((spec.id, spec.task_count), (JobId(1), 1));
}

#[test]
fn a_refusal_says_what_is_malformed_and_keeps_the_id() {
    let (id, text) = refused("{");
    assert_eq!(id, None);
    assert!(text.starts_with("malformed: not JSON: "), "{text}");
    let object = "malformed: not an object".to_owned();
    assert_eq!(refused("[1]"), (None, object));
    let cases = [
        ("Cores", json!(-1.0), "malformed: Cores is not an amount"),
        (
            "EntregaS",
            json!(-5),
            "malformed: EntregaS is not an amount",
        ),
        (
            "Piezas",
            json!(0),
            "malformed: Piezas is not from 1 to 100000",
        ),
        (
            "Piezas",
            json!(MAX_TASKS_PER_JOB + 1),
            "malformed: Piezas is not from 1 to 100000",
        ),
    ];
    for (field, value, text) in cases {
        let body = with(field, value).to_string();
        assert_eq!(refused(&body), (Some(JobId(1)), text.to_owned()));
    }
    let (id, text) = refused(&with("Cores", json!("many")).to_string());
    assert_eq!(id, Some(JobId(1)));
    assert!(
        text.starts_with("malformed: invalid type: string"),
        "{text}"
    );
}

#[test]
fn a_refusal_says_why_a_job_can_never_run() {
    let texts = [
        (Impossible::UnknownTeam, "unknown team"),
        (
            Impossible::TaskExceedsLimit,
            "one task needs more than the team's limit",
        ),
        (
            Impossible::ReplicasExceedLimit,
            "its replicas together need more than the team's limit",
        ),
        (
            Impossible::NoMachineType,
            "a task fits no allowed machine type",
        ),
    ];
    for (impossible, text) in texts {
        let refusal = Refusal::from(impossible);
        assert_eq!(refusal.to_string(), format!("can never run: {text}"));
    }
}
