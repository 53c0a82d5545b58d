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

/// The valid submission with another value of one field.
fn submission_with(field: &str, value: Value) -> Value {
    let mut submission = submission();
    submission[field] = value;
    submission
}

/// Job ID and error text of the refusal of a body.
fn parse_error(body: &str) -> (Option<JobId>, String) {
    let refused = parse_submission(body.as_bytes()).expect_err("a refusal");
    assert_eq!(refused.to_string(), refused.refusal.to_string());
    (refused.id, refused.refusal.to_string())
}

#[test]
fn a_valid_submission_is_parsed() {
    let spec = parse_submission(submission().to_string().as_bytes()).expect("a job");
    assert_eq!((spec.id, spec.task_count), (JobId(1), 1));
}

#[test]
fn a_malformed_submission_is_refused_with_the_reason_and_the_id() {
    let (id, text) = parse_error("{");
    assert_eq!(id, None);
    assert!(text.starts_with("malformed: not JSON: "), "{text}");
    let object = "malformed: not an object".to_owned();
    assert_eq!(parse_error("[1]"), (None, object));
    let cases = [
        (
            "Cores",
            json!(-1.0),
            "malformed: Cores is negative or not finite",
        ),
        (
            "EntregaS",
            json!(-5),
            "malformed: EntregaS is negative or not finite",
        ),
        (
            "Piezas",
            json!(0),
            "malformed: Piezas is not in the range from 1 to 100000",
        ),
        (
            "Piezas",
            json!(MAX_TASKS_PER_JOB + 1),
            "malformed: Piezas is not in the range from 1 to 100000",
        ),
    ];
    for (field, value, text) in cases {
        let body = submission_with(field, value).to_string();
        assert_eq!(parse_error(&body), (Some(JobId(1)), text.to_owned()));
    }
    let (id, text) = parse_error(&submission_with("Cores", json!("many")).to_string());
    assert_eq!(id, Some(JobId(1)));
    assert!(
        text.starts_with("malformed: invalid type: string"),
        "{text}"
    );
}

#[test]
fn an_unschedulable_job_is_refused_with_the_reason() {
    let texts = [
        (Unschedulable::UnknownTeam, "unknown team"),
        (
            Unschedulable::TaskExceedsLimit,
            "one task exceeds the team's limit",
        ),
        (
            Unschedulable::ReplicasExceedLimit,
            "all replicas together exceed the team's limit",
        ),
        (
            Unschedulable::NoMachineType,
            "a task fits on no allowed machine type",
        ),
    ];
    for (reason, text) in texts {
        let refusal = Refusal::from(reason);
        assert_eq!(refusal.to_string(), format!("can never run: {text}"));
    }
}

/// A machine type with four processors and 0.5 GB, and a team with a limit of 3.5 processors.
fn deployment() -> (Catalog, Quota) {
    let catalog = json!({"Modelos": [{"Name": "m4", "Cores": 4, "Gpus": 0, "RamGb": 0.5, "Rate": 1.0,
        "ReadyS": 10, "Patios": ["a"]}]});
    let team = json!({"name": "t", "cpus": 0.0, "cpus_max": 3.5, "gpus": 0.0, "gpus_max": 0.0});
    let team = serde_json::from_value(team).expect("a team");
    let catalog = serde_json::from_value(catalog).expect("a catalog");
    (catalog, Quota::new(&[team]))
}

// Guards against jobs that are accepted because they exceed a machine by less than the tolerance for sums, and for which
// no machine is provisioned, or on which every worker refuses their tasks.
#[test]
fn a_task_that_exceeds_a_machine_or_limit_by_little_is_refused() {
    let (catalog, quota) = deployment();
    let refusal = |field: &str, value: f64| {
        let mut submission = submission_with("RamGb", json!(0.5));
        submission[field] = json!(value);
        let spec = parse_submission(submission.to_string().as_bytes()).expect("a job");
        check_schedulable(&spec, &catalog, &quota).err()
    };
    for (field, value) in [("Cores", 3.5), ("RamGb", 0.5), ("Gpus", 0.0)] {
        assert_eq!(refusal(field, value), None, "{field} {value}");
    }
    let too_large = Some(Unschedulable::NoMachineType.into());
    assert_eq!(refusal("RamGb", 0.500_000_9), too_large);
    assert_eq!(refusal("Gpus", 1e-9), too_large);
    let over_limit = Some(Unschedulable::TaskExceedsLimit.into());
    assert_eq!(refusal("Cores", 3.500_000_9), over_limit);
}
