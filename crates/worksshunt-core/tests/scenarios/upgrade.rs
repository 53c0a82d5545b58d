//! The version in production and this one side by side: what each finds of the other.
//!
//! `samples/` holds what the version in production (commit ca48390) really wrote. The store is that of a
//! scenario run with its code: an array half done, one spread over zones, a burst of submissions at one
//! controller, with its own stand-ins of the outside cluster. The frames are its messages between
//! controllers, one of each kind with every field in use, as its borsh encoding gives them, in hex.

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

// Guards against a change of the messages between controllers, which cannot grow.
#[test]
fn frames_of_production_are_read_and_written_byte_by_byte() {
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
    let ends: Vec<AttemptOutcome> = status.ended_attempts.iter().map(|e| e.outcome).collect();
    use AttemptOutcome::{Acknowledged, Failed, Lost, Stopped, Unplaced};
    assert_eq!(ends, [Failed, Stopped, Lost, Unplaced, Acknowledged]);
    let PeerResponse::Sync(directives) = &responses[0] else {
        panic!("{:?}", responses[0]);
    };
    assert_eq!(directives.assignments[0].zone.as_deref(), Some("a"));
    assert_eq!(directives.progress, Some(vec![(JobId(412), 2, 5)]));
    let written: Vec<Vec<u8>> = requests
        .iter()
        .map(|request| borsh::to_vec(request).expect("bytes"))
        .chain(responses.iter().map(|a| borsh::to_vec(a).expect("bytes")))
        .collect();
    assert_eq!(written, frames);
}

/// Reads a record of production and writes it again.
fn check_stored_form(kind: &str, pair: &KeyValue) {
    let value = &pair.value;
    match kind {
        "a/" => {
            let on = records::read(pair).expect("records");
            let entries = on.into_iter().map(|r| (r.attempt, r)).collect();
            let written = worksshunt_core::pages::PageEntry::encode_page(&entries);
            assert_eq!(written, *value);
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
            for stored in jobs.unwrap_or(&vec![value.clone()]) {
                let job: Job = serde_json::from_value(stored.clone()).expect("a job");
                assert_eq!(json!(job), *stored, "an array is written as it was");
            }
        }
        _ => {}
    }
}

// Guards against a stored form that one of the two versions does not read as the other meant it.
#[test]
fn stored_forms_of_production_are_read_and_written_alike() {
    let store = production_store();
    let mut read = BTreeMap::new();
    for (key, value) in &store {
        let pair = KeyValue {
            key: key.clone(),
            value: value.clone(),
            version: Revision(1),
        };
        let kind = &key[..2];
        *read.entry(kind).or_insert(0) += 1;
        check_stored_form(kind, &pair);
    }
    assert!(
        read["a/"] > 0 && read["d/"] > 0 && read["j/"] > 1,
        "{read:?}"
    );
    let epoch: EpochRecord = serde_json::from_value(store["c/epoch"].clone()).expect("an epoch");
    assert!(!epoch.accepts_services);
    assert_eq!(
        json!(epoch),
        store["c/epoch"],
        "nothing new before all understand it"
    );
}

/// The fields of a key in the store.
fn fields(cluster: &Cluster, key: &str) -> Vec<String> {
    let value = cluster.stored(key).expect("a key").as_object();
    value.expect("an object").keys().cloned().collect()
}

/// Puts in the place of controller 2 what one of the version in production shows of itself.
fn with_production(cluster: &mut Cluster) {
    cluster.crash(2);
    cluster.run(6_000);
    cluster.put("c/n/n2", json!({ "hold": 9_999, "reached": true }));
    cluster.run(5_000);
}

/// The epoch and the member key have no fields that production does not read, but for one of the member key.
fn check_fields_known_to_production(cluster: &Cluster) {
    let production = production_store();
    let known = store_fields(&production["c/epoch"]);
    assert_eq!(
        fields(cluster, "c/epoch"),
        known,
        "production reads nothing new"
    );
    let mut member = fields(cluster, "c/n/n0");
    member.retain(|field| field != "standing");
    assert_eq!(member, store_fields(&production["c/n/n0"]));
}

// Guards against a service in the store while a controller is left that would call it unknown and
// stop its replicas.
#[test]
fn services_are_admitted_once_every_controller_supports_them() {
    let mut cluster = Cluster::new();
    cluster.crash(2);
    cluster.put("c/n/n2", json!({ "hold": 9_999, "reached": true }));
    cluster.until("an epoch", 5_000, |cluster| {
        cluster.stored("c/epoch").is_some()
    });
    cluster.run(5_000);
    let reply = cluster.submit(0, &service(1, 2));
    assert_eq!((reply.status, reply.retry_after_s), (503, Some(1)));
    assert_eq!(
        cluster.submit(1, &job(2, 1)).status,
        201,
        "others are served"
    );
    check_fields_known_to_production(&cluster);
    assert!(cluster.keys("j/").iter().all(|key| key != "j/j-000001"));
    cluster.remove("c/n/n2");
    cluster.run(5_000);
    let reply = cluster.submit(0, &service(1, 2));
    assert_eq!(reply.status, 503, "it may restart with the old version");
    cluster.start(2);
    cluster.run(6_000);
    assert_eq!(cluster.submit(0, &service(1, 2)).status, 201);
    cluster.until("replicas", 40_000, |cluster| cluster.running().len() == 2);
    let leader = cluster.leader();
    cluster.crash(leader);
    cluster.run(6_000);
    let other = (leader + 1) % 3;
    assert_eq!(
        cluster.submit(other, &service(3, 1)).status,
        201,
        "one that is down was seen"
    );
    (0..3).for_each(|controller| cluster.crash(controller));
    cluster.run(6_000);
    (0..2).for_each(|controller| cluster.start(controller));
    cluster.run(8_000);
    let reply = cluster.submit(0, &service(4, 1));
    assert_eq!(reply.status, 201, "the epoch remembers it");
    cluster.check();
}

fn store_fields(value: &Value) -> Vec<String> {
    value
        .as_object()
        .expect("an object")
        .keys()
        .cloned()
        .collect()
}

// Guards against services accepted after a production controller has joined again: its epoch does not have the
// field that says that all support them.
#[test]
fn a_rollback_admits_no_more_services() {
    let mut cluster = ready();
    cluster.run(3_000);
    assert_eq!(
        cluster.stored("c/epoch").map(|e| e["standing"].clone()),
        Some(json!(true))
    );
    with_production(&mut cluster);
    assert_eq!(
        cluster.submit(0, &service(1, 2)).status,
        503,
        "one has joined again"
    );
    let mut epoch = cluster.stored("c/epoch").expect("an epoch").clone();
    epoch["number"] = json!(cluster.epoch() + 1);
    epoch["leader"] = json!({ "name": "n2", "hold": 9_999 });
    epoch.as_object_mut().expect("an object").remove("standing");
    cluster.put("c/epoch", epoch);
    cluster.run(3_000);
    assert_eq!(cluster.submit(0, &service(1, 2)).status, 503);
    cluster.check();
}

/// Limits smaller than those under which production wrote its records.
const SMALL_LIMITS: KeyValueLimits = KeyValueLimits {
    value_bytes: 2_048,
    changes: 6,
};

/// What production left, under [`SMALL_LIMITS`].
fn left_by_production(announced: bool) -> Cluster {
    let mut cluster = Cluster::new();
    (0..3).for_each(|controller| cluster.crash(controller));
    let mut largest = 0;
    for (key, value) in production_store() {
        // Controllers that are gone, and an end from later than the rest.
        if key.starts_with("c/n/") || key.starts_with("f/") {
            continue;
        }
        largest = largest.max(value.to_string().len());
        let page = value["jobs"].as_array().cloned().unwrap_or_default();
        for stored in page.iter().chain([&value]) {
            if let Ok(job) = serde_json::from_value::<Job>(stored.clone()) {
                cluster.invariants.assume_accepted(job.spec);
            }
        }
        cluster.put(&key, value);
    }
    assert!(
        largest > SMALL_LIMITS.value_bytes,
        "{largest} bytes are no test of the limit"
    );
    cluster.faults.key_value.limits = Some(SMALL_LIMITS);
    for controller in 0..3 {
        if announced {
            let kb = SMALL_LIMITS.value_bytes as f64 / 1_024.0;
            let next = json!({ "value_kb": kb, "txn_ops": SMALL_LIMITS.changes });
            let next = serde_json::from_value(next).expect("limits");
            cluster.settings[controller].facts.key_value_store.announced = Some(next);
        }
        cluster.start(controller);
    }
    cluster.until("an epoch of ours", 20_000, |cluster| cluster.epoch() > 2);
    cluster
}

fn all_over(cluster: &Cluster) -> bool {
    cluster.keys("j/").is_empty()
}

// Guards against jobs on a page that cannot be rewritten under the new limits, and against writes
// that the announced limits do not admit.
#[test]
fn what_production_left_is_served_under_announced_limits() {
    let mut cluster = left_by_production(true);
    cluster.capacity = 30;
    let more: Vec<Value> = (100..160).map(|id| job(id, 3)).collect();
    cluster.submit_at_once(&[0], &more);
    cluster.submit(1, &long_job(200, 90));
    cluster.until("all jobs over", 180_000, all_over);
    for id in [10, 29, 100, 159, 200] {
        assert_eq!(cluster.state(0, id), (200, "done".into()), "job {id}");
    }
    assert_eq!(
        cluster.too_large_writes, 0,
        "nothing was tried that the limits do not admit"
    );
    cluster.check();
}

// Guards against a write that is repeated unchanged for ever, or whose copies are mixed up with what is
// written in its place, when limits fall that were not announced.
#[test]
fn limits_lowered_without_notice_are_detected() {
    let mut cluster = left_by_production(false);
    cluster.capacity = 30;
    let more: Vec<Value> = (100..160).map(|id| job(id, 1)).collect();
    cluster.submit_at_once(&[1], &more);
    cluster.submit(2, &long_job(200, 110));
    cluster.until("all jobs over", 240_000, all_over);
    assert!(cluster.too_large_writes > 0, "the limits were exceeded");
    assert!(
        cluster.too_large_writes < 40,
        "{} tries in vain",
        cluster.too_large_writes
    );
    cluster.check();
}

// Guards against a job of a later version that is called unknown, and whose tasks are stopped, by one that
// cannot read it.
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
    assert_eq!(cluster.running().len(), 4, "its tasks run on");
    for controller in 0..3 {
        assert_eq!(
            cluster.state(controller, 1).0,
            503,
            "neither known nor unknown"
        );
    }
    assert_eq!(cluster.submit(0, &long_job(1, 4)).status, 503);
    assert_eq!(
        cluster.submit(0, &job(2, 1)).status,
        201,
        "others are served"
    );
    cluster.put("j/j-000001", stored);
    cluster.run(2_000);
    assert_eq!(cluster.state(1, 1).0, 200, "a form that can be read again");
    cluster.check();
}

// Guards against completions that are written over another version's page and removed along with it.
#[test]
fn completions_are_not_written_under_the_key_of_another_versions_page() {
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
