//! Compatibility of this version with the one in production.
//!
//! `samples/` holds data written by the version in production (commit ca48390): the store of a scenario, and one
//! message between controllers of each kind with every field in use, encoded with borsh, in hex.

use std::collections::BTreeMap;

use serde_json::{json, Value};
use worksshunt_core::jobs::{read_completions, Job};
use worksshunt_core::membership::EpochRecord;
use worksshunt_core::records;
use worksshunt_wire::key_value::KeyValue;
use worksshunt_wire::peer::{AttemptOutcome, AttemptPhase, PeerRequest, PeerResponse};
use worksshunt_wire::{JobId, Revision};

use crate::{long_job, ready};
use worksshunt_simulation::{job, service, Cluster, KeyValueLimits};

fn production_store() -> BTreeMap<String, Value> {
    serde_json::from_str(include_str!("samples/production-store.json")).expect("JSON")
}

fn production_frames() -> Vec<Vec<u8>> {
    let byte = |hex: &[u8]| {
        let text = std::str::from_utf8(hex).expect("text");
        u8::from_str_radix(text, 16).expect("hex")
    };
    include_str!("samples/production-frames.txt")
        .lines()
        .map(|line| line.as_bytes().chunks(2).map(byte).collect())
        .collect()
}

// Guards against changes of the messages between controllers, whose encoding is not extensible.
#[test]
fn frames_of_production_decode_and_encode_to_the_same_bytes() {
    let frames = production_frames();
    let requests: Vec<PeerRequest> = frames[..2]
        .iter()
        .map(|frame| borsh::from_slice(frame).expect("a request"))
        .collect();
    let responses: Vec<PeerResponse> = frames[2..]
        .iter()
        .map(|frame| borsh::from_slice(frame).expect("a response"))
        .collect();
    let PeerRequest::Sync(status) = &requests[0] else {
        panic!("{:?}", requests[0]);
    };
    assert_eq!(
        (
            status.epoch.0,
            status.sequence,
            status.acknowledged_sequence
        ),
        (7, 9, 8)
    );
    assert!(
        status.machines[0].is_lost
            && status.machines[0].is_spot
            && !status.machines[0].has_reclaim_notice
    );
    let phases: Vec<AttemptPhase> = status.attempts.iter().map(|a| a.phase).collect();
    use AttemptPhase::{Completed, Placed, Queued, Running};
    assert_eq!(phases, [Queued, Placed, Running, Completed]);
    let outcomes: Vec<AttemptOutcome> = status.ended_attempts.iter().map(|e| e.outcome).collect();
    use AttemptOutcome::{Acknowledged, Failed, Lost, Stopped, Unplaced};
    assert_eq!(outcomes, [Failed, Stopped, Lost, Unplaced, Acknowledged]);
    let PeerResponse::Sync(directives) = &responses[0] else {
        panic!("{:?}", responses[0]);
    };
    assert_eq!(directives.assignments[0].zone.as_deref(), Some("a"));
    assert_eq!(directives.progress, Some(vec![(JobId(412), 2, 5)]));
    let encoded: Vec<Vec<u8>> = requests
        .iter()
        .map(|request| borsh::to_vec(request).expect("bytes"))
        .chain(responses.iter().map(|r| borsh::to_vec(r).expect("bytes")))
        .collect();
    assert_eq!(encoded, frames);
}

/// Checks that a record of production decodes and encodes to the same value.
fn check_record_format(kind: &str, pair: &KeyValue) {
    let value = &pair.value;
    match kind {
        "a/" => {
            let records = records::read(pair).expect("records");
            let entries = records
                .into_iter()
                .map(|record| (record.attempt, record))
                .collect();
            let encoded = worksshunt_core::pages::PageEntry::encode_page(&entries);
            assert_eq!(encoded, *value);
        }
        "d/" => {
            let entries = read_completions(value).expect("completions");
            assert!(!entries.is_empty());
            assert_eq!(
                worksshunt_core::pages::PageEntry::encode_page(&entries),
                *value
            );
        }
        "j/" => {
            let jobs = value["jobs"].as_array();
            for stored_job in jobs.unwrap_or(&vec![value.clone()]) {
                let job: Job = serde_json::from_value(stored_job.clone()).expect("a job");
                assert_eq!(json!(job), *stored_job, "the encoded job");
            }
        }
        _ => {}
    }
}

// Guards against records that one of the two versions reads differently from what the other wrote.
#[test]
fn records_of_production_decode_and_encode_to_the_same_values() {
    let store = production_store();
    let mut counts = BTreeMap::new();
    for (key, value) in &store {
        let pair = KeyValue {
            key: key.clone(),
            value: value.clone(),
            version: Revision(1),
        };
        let kind = &key[..2];
        *counts.entry(kind).or_insert(0) += 1;
        check_record_format(kind, &pair);
    }
    assert!(
        counts["a/"] > 0 && counts["d/"] > 0 && counts["j/"] > 1,
        "{counts:?}"
    );
    let epoch: EpochRecord = serde_json::from_value(store["c/epoch"].clone()).expect("an epoch");
    assert!(!epoch.accepts_services);
    assert_eq!(
        json!(epoch),
        store["c/epoch"],
        "no new field before all controllers support it"
    );
}

/// Returns the field names of a stored value.
fn stored_fields(cluster: &Cluster, key: &str) -> Vec<String> {
    let value = cluster.stored(key).expect("a key").as_object();
    value.expect("an object").keys().cloned().collect()
}

/// Replaces controller 2 by the member key of a controller of the version in production.
fn replace_by_production_controller(cluster: &mut Cluster) {
    cluster.crash(2);
    cluster.run(6_000);
    cluster.put("c/n/n2", json!({ "hold": 9_999, "reached": true }));
    cluster.run(5_000);
}

/// Checks that the epoch and the member key have only fields that production reads, except for two of the member key.
fn check_fields_match_production(cluster: &Cluster) {
    let production = production_store();
    let production_fields = field_names(&production["c/epoch"]);
    assert_eq!(
        stored_fields(cluster, "c/epoch"),
        production_fields,
        "fields of the epoch that production does not read"
    );
    let mut member_fields = stored_fields(cluster, "c/n/n0");
    member_fields.retain(|field| !["standing", "token_range"].contains(&field.as_str()));
    assert_eq!(member_fields, field_names(&production["c/n/n0"]));
}

// Guards against storing a service while a controller exists that cannot read it and would stop its replicas.
#[test]
fn services_are_accepted_once_every_controller_supports_them() {
    let mut cluster = Cluster::new();
    cluster.crash(2);
    cluster.put("c/n/n2", json!({ "hold": 9_999, "reached": true }));
    cluster.until("an epoch", 5_000, |cluster| {
        cluster.stored("c/epoch").is_some()
    });
    cluster.run(5_000);
    let response = cluster.submit(0, &service(1, 2));
    assert_eq!((response.status, response.retry_after_s), (503, Some(1)));
    assert_eq!(
        cluster.submit(1, &job(2, 1)).status,
        201,
        "other jobs are accepted"
    );
    check_fields_match_production(&cluster);
    assert!(cluster.keys("j/").iter().all(|key| key != "j/j-000001"));
    cluster.remove("c/n/n2");
    cluster.run(5_000);
    let response = cluster.submit(0, &service(1, 2));
    assert_eq!(
        response.status, 503,
        "the controller may restart with the old version"
    );
    cluster.start(2);
    cluster.run(6_000);
    assert_eq!(cluster.submit(0, &service(1, 2)).status, 201);
    cluster.until("replicas", 40_000, |cluster| cluster.running().len() == 2);
    let leader = cluster.leader();
    cluster.crash(leader);
    cluster.run(6_000);
    let other_controller = (leader + 1) % 3;
    assert_eq!(
        cluster.submit(other_controller, &service(3, 1)).status,
        201,
        "the controller that is down supported services"
    );
    (0..3).for_each(|controller| cluster.crash(controller));
    cluster.run(6_000);
    (0..2).for_each(|controller| cluster.start(controller));
    cluster.run(8_000);
    let response = cluster.submit(0, &service(4, 1));
    assert_eq!(
        response.status, 201,
        "the epoch records that all controllers support services"
    );
    cluster.check();
}

fn field_names(value: &Value) -> Vec<String> {
    value
        .as_object()
        .expect("an object")
        .keys()
        .cloned()
        .collect()
}

// Guards against accepting services after a controller of the production version has rejoined: the epochs that it
// writes lack the field that records that all controllers support them.
#[test]
fn services_are_rejected_after_a_rollback() {
    let mut cluster = ready();
    cluster.run(3_000);
    assert_eq!(
        cluster
            .stored("c/epoch")
            .map(|epoch| epoch["standing"].clone()),
        Some(json!(true))
    );
    replace_by_production_controller(&mut cluster);
    assert_eq!(
        cluster.submit(0, &service(1, 2)).status,
        503,
        "a production controller has rejoined"
    );
    let mut epoch = cluster.stored("c/epoch").expect("an epoch").clone();
    epoch["number"] = json!(cluster.epoch() + 1);
    epoch["leader"] = json!({ "name": "n2", "hold": 9_999 });
    for unknown_field in ["standing", "first_token"] {
        let fields = epoch.as_object_mut().expect("an object");
        fields.remove(unknown_field);
    }
    cluster.put("c/epoch", epoch);
    cluster.run(3_000);
    assert_eq!(cluster.submit(0, &service(1, 2)).status, 503);
    cluster.check();
}

/// Limits smaller than those under which the records of production were written.
const SMALL_LIMITS: KeyValueLimits = KeyValueLimits {
    value_bytes: 2_048,
    changes: 6,
};

/// Returns a cluster with the store of production under [`SMALL_LIMITS`], which the settings announce if
/// `is_announced`.
fn with_production_store(is_announced: bool) -> Cluster {
    let mut cluster = Cluster::new();
    (0..3).for_each(|controller| cluster.crash(controller));
    let mut largest_value_bytes = 0;
    for (key, value) in production_store() {
        // Skips member keys of controllers that are not running, and a final state written after the other records.
        if key.starts_with("c/n/") || key.starts_with("f/") {
            continue;
        }
        largest_value_bytes = largest_value_bytes.max(value.to_string().len());
        let page = value["jobs"].as_array().cloned().unwrap_or_default();
        for stored_job in page.iter().chain([&value]) {
            if let Ok(job) = serde_json::from_value::<Job>(stored_job.clone()) {
                cluster.invariants.assume_accepted(job.spec);
            }
        }
        cluster.put(&key, value);
    }
    assert!(
        largest_value_bytes > SMALL_LIMITS.value_bytes,
        "the largest value, {largest_value_bytes} bytes, does not exceed the limit"
    );
    cluster.faults.key_value.limits = Some(SMALL_LIMITS);
    for controller in 0..3 {
        if is_announced {
            let value_kb = SMALL_LIMITS.value_bytes as f64 / 1_024.0;
            let announced_limits = json!({ "value_kb": value_kb, "txn_ops": SMALL_LIMITS.changes });
            let announced_limits = serde_json::from_value(announced_limits).expect("limits");
            cluster.settings[controller].facts.key_value_store.announced = Some(announced_limits);
        }
        cluster.start(controller);
    }
    cluster.until("an epoch of this version", 20_000, |cluster| {
        cluster.epoch() > 2
    });
    cluster
}

fn no_job_is_open(cluster: &Cluster) -> bool {
    cluster.keys("j/").is_empty()
}

// Guards against pages of jobs that cannot be rewritten under the new limits, and against writes that exceed the
// announced limits.
#[test]
fn jobs_of_production_complete_under_announced_limits() {
    let mut cluster = with_production_store(true);
    cluster.capacity = 30;
    let new_jobs: Vec<Value> = (100..160).map(|id| job(id, 3)).collect();
    cluster.submit_at_once(&[0], &new_jobs);
    cluster.submit(1, &long_job(200, 90));
    cluster.until("the final states of all jobs", 180_000, no_job_is_open);
    for id in [10, 29, 100, 159, 200] {
        assert_eq!(cluster.state(0, id), (200, "done".into()), "job {id}");
    }
    assert_eq!(
        cluster.too_large_writes, 0,
        "a write exceeded the announced limits"
    );
    cluster.check();
}

// Guards against repeating a too large write unchanged, or confusing its copies with its replacement, after limits were
// lowered without notice.
#[test]
fn limits_lowered_without_notice_are_detected() {
    let mut cluster = with_production_store(false);
    cluster.capacity = 30;
    let new_jobs: Vec<Value> = (100..160).map(|id| job(id, 1)).collect();
    cluster.submit_at_once(&[1], &new_jobs);
    cluster.submit(2, &long_job(200, 110));
    cluster.until("the final states of all jobs", 240_000, no_job_is_open);
    assert!(cluster.too_large_writes > 0, "the limits were exceeded");
    assert!(
        cluster.too_large_writes < 40,
        "{} rejected writes",
        cluster.too_large_writes
    );
    cluster.check();
}

// Guards against treating a job of a later version, which cannot be read, as unknown and stopping its tasks.
#[test]
fn a_job_that_cannot_be_read_is_left_unchanged() {
    let mut cluster = ready();
    cluster.task_run_ms = 100_000;
    cluster.submit(0, &long_job(1, 4));
    cluster.until("tasks", 30_000, |cluster| cluster.running().len() == 4);
    (0..3).for_each(|controller| cluster.crash(controller));
    cluster.run(2_000);
    let stored = cluster.stored("j/j-000001").expect("the job").clone();
    let mut unreadable = stored.clone();
    unreadable["spec"]["Oficio"] = json!("gang");
    cluster.put("j/j-000001", unreadable);
    (0..3).for_each(|controller| cluster.start(controller));
    cluster.run(25_000);
    assert_eq!(cluster.running().len(), 4, "its tasks keep running");
    for controller in 0..3 {
        assert_eq!(
            cluster.state(controller, 1).0,
            503,
            "the state is unknown, so users retry"
        );
    }
    assert_eq!(cluster.submit(0, &long_job(1, 4)).status, 503);
    assert_eq!(
        cluster.submit(0, &job(2, 1)).status,
        201,
        "other jobs are accepted"
    );
    cluster.put("j/j-000001", stored);
    cluster.run(2_000);
    assert_eq!(cluster.state(1, 1).0, 200, "the job is readable again");
    cluster.check();
}

// Guards against writing completions under the key of another version's page, which would be deleted with it.
#[test]
fn completions_are_not_written_to_the_key_of_another_versions_page() {
    let mut cluster = ready();
    cluster.capacity = 1;
    cluster.put("d/0", json!({ "bits": "AAAA" }));
    (0..3).for_each(|controller| cluster.crash(controller));
    (0..3).for_each(|controller| cluster.start(controller));
    cluster.run(8_000);
    cluster.submit(0, &job(1, 12));
    cluster.until("completions", 60_000, |cluster| {
        cluster.stored("d/1").is_some()
    });
    assert!(cluster.stored("d/0").is_none());
    cluster.until("all tasks", 60_000, |cluster| cluster.all_done(1, 12));
    cluster.check();
}
