//! The format of each kind of record: decoded field by field from the fixture, and encoded to the same bytes.

use std::collections::{BTreeMap, BTreeSet};

use serde_json::{json, Value};
use worksshunt_core::constants::pages::TASKS_PER_COMPLETIONS_ENTRY;
use worksshunt_core::jobs::{
    cancelled_state_value, final_state_key, final_state_value, is_submission_batch_key,
    job_id_of_key, open_job_key, read_cancelled_job, read_completions, read_final_state,
    submission_batch_key, submission_batch_value, Completions, CompletionsKey, Job,
};
use worksshunt_core::membership::{
    member_key, EpochRecord, Member, Membership, MembershipAction, EPOCH_KEY,
};
use worksshunt_core::pages::PageEntry;
use worksshunt_core::records::{self, page_prefix, AttemptRecord};
use worksshunt_core::scheduler::claim_key;
use worksshunt_core::time::Time;
use worksshunt_wire::cloud::{Catalog, MachineType};
use worksshunt_wire::key_value::{Change, KeyValue, Listing};
use worksshunt_wire::user::{JobKind, JobSpec, JobState, Priority};
use worksshunt_wire::{
    AttemptId, ControllerName, Epoch, FencingToken, Incarnation, JobId, Revision,
};

use crate::{pair, store, stored, task};

/// Checks that the encoded value equals the fixture's bytes.
fn check_encoded(key: &str, value: &Value) {
    assert_eq!(value.to_string(), store()[key], "{key}");
}

/// Returns a job of the fixture with every optional field set.
fn full_job(id: u64, tasks: u32) -> Job {
    let spec = JobSpec {
        id: JobId(id),
        class: format!("c{id}"),
        team: "blue".into(),
        kind: JobKind::Array,
        priority: Priority::Urgent,
        task_count: tasks,
        cpus: 1.0,
        gpus: 0.0,
        memory_gb: 1.5,
        image: format!("img{id}"),
        image_gb: 1.25,
        machine_types: Some(vec!["m4".into()]),
        zone: Some("a".into()),
        needs_single_zone: true,
        needs_zone_spread: false,
        allows_spot: true,
        estimated_runtime_s: 10.5,
        checkpoint_interval_s: 60.5,
        checkpoint_duration_s: 0.5,
        deadline_s: Some(3_600.5),
    };
    Job {
        spec,
        accepted_ms: 1_767_225_600_000 + id,
    }
}

/// Returns a job of the fixture without optional fields, spread over zones.
fn minimal_job(id: u64, tasks: u32, priority: Priority) -> Job {
    let mut job = full_job(id, tasks);
    job.spec.priority = priority;
    job.spec.machine_types = None;
    job.spec.zone = None;
    job.spec.deadline_s = None;
    job.spec.needs_single_zone = false;
    job.spec.needs_zone_spread = true;
    job
}

fn member(name: &str, lease_id: u64) -> Member {
    Member {
        name: name.into(),
        lease_id,
    }
}

fn epoch_record() -> EpochRecord {
    EpochRecord {
        number: Epoch(4),
        first_token: None,
        leader: member("n0", 71),
        members: vec![member("n0", 71), member("n1", 72), member("n2", 73)],
        without_partition: vec![member("n1", 72)],
        accepts_services: true,
    }
}

#[test]
fn the_epoch_format_is_unchanged() {
    assert_eq!(EPOCH_KEY, "c/epoch");
    let decoded: EpochRecord = serde_json::from_value(stored(EPOCH_KEY)).expect("an epoch");
    assert_eq!(decoded, epoch_record());
    check_encoded(EPOCH_KEY, &json!(epoch_record()));
    // The record of an epoch that does not accept services omits the field, as earlier versions do.
    let mut record = epoch_record();
    record.accepts_services = false;
    let mut value = stored(EPOCH_KEY);
    let fields = value.as_object_mut().expect("an object");
    fields.remove("standing");
    assert_eq!(json!(record).to_string(), value.to_string());
    let decoded: EpochRecord = serde_json::from_value(value.clone()).expect("an epoch");
    assert_eq!(decoded, record);
    let fields = value.as_object_mut().expect("an object");
    fields.remove("unreached");
    record.without_partition.clear();
    let decoded: EpochRecord = serde_json::from_value(value).expect("an epoch");
    assert_eq!(decoded, record);
}

/// Returns the key and value of the only change, which must be a put.
fn single_put(changes: &[Change]) -> (&str, &Value) {
    match changes {
        [Change::Put { key, value, .. }] => (key, value),
        other => panic!("{other:?}"),
    }
}

fn controller_name(name: &str) -> ControllerName {
    ControllerName::from(name)
}

/// Returns a listing without control keys.
fn empty_listing() -> Listing {
    Listing {
        pairs: Vec::new(),
        has_more: false,
        revision: Revision(1),
    }
}

#[test]
fn the_member_key_format_is_unchanged() {
    assert_eq!(member_key(&controller_name("n2")), "c/n/n2");
    let no_control_keys = empty_listing();
    let mut not_ready = Membership::new(
        controller_name("n2"),
        [controller_name("n0")].into_iter(),
        1_000,
    );
    not_ready.set_ready(false);
    not_ready.apply_lease_grant(73);
    not_ready.process_control_keys(Time(1), &no_control_keys);
    let write = not_ready.next_member_key_write().expect("a member key");
    let (key, value) = single_put(&write.changes);
    // The fixture's key was written by a version that does not declare support for several fencing tokens.
    let mut expected_value = stored(key);
    expected_value["token_range"] = json!(true);
    assert_eq!(value.to_string(), expected_value.to_string(), "{key}");
}

#[test]
fn an_epoch_with_several_fencing_tokens_names_the_first_one() {
    let mut record = epoch_record();
    assert_eq!(record.fencing_tokens().first, FencingToken(4));
    assert_eq!(record.previous_number(), Epoch(3));
    record.first_token = Some(FencingToken(2));
    let value = json!(record);
    assert_eq!(value["first_token"], json!(2));
    let decoded: EpochRecord = serde_json::from_value(value).expect("an epoch");
    assert_eq!(decoded, record);
    assert_eq!(record.fencing_tokens().last, FencingToken(4));
    assert_eq!(record.previous_number(), Epoch(1));
}

#[test]
fn the_member_key_of_another_controller_is_read() {
    // The read fields: whether the controller is ready, its lease, and whether it supports services.
    let no_control_keys = empty_listing();
    let mut reader = Membership::new(
        controller_name("n0"),
        [controller_name("n2")].into_iter(),
        1_000,
    );
    reader.set_ready(true);
    reader.apply_lease_grant(71);
    reader.process_control_keys(Time(1), &no_control_keys);
    let write = reader.next_member_key_write().expect("a member key");
    let (own_key, own_value) = single_put(&write.changes);
    let expected_value = r#"{"hold":71,"reached":true,"standing":true,"token_range":true}"#;
    assert_eq!(own_value.to_string(), expected_value);
    reader.record_member_key_write(Revision(2));
    let own_pair = KeyValue {
        key: own_key.to_owned(),
        value: own_value.clone(),
        version: Revision(2),
    };
    let listing = Listing {
        pairs: vec![own_pair, pair("c/n/n2")],
        has_more: false,
        revision: Revision(3),
    };
    let MembershipAction::Propose(write) = reader.process_control_keys(Time(2), &listing) else {
        panic!("no epoch is proposed");
    };
    let (key, value) = single_put(&write.changes);
    let proposed = EpochRecord {
        number: Epoch(1),
        first_token: None,
        leader: member("n0", 71),
        members: vec![member("n0", 71), member("n2", 73)],
        without_partition: vec![member("n2", 73)],
        accepts_services: true,
    };
    assert_eq!((key, value), (EPOCH_KEY, &json!(proposed)));
}

#[test]
fn open_job_formats_are_unchanged() {
    let service = || {
        let mut job = minimal_job(2, 1, Priority::Prod);
        job.spec.kind = JobKind::Service;
        job
    };
    for (key, job) in [("j/j-000001", full_job(1, 7)), ("j/j-000002", service())] {
        assert_eq!(open_job_key(job.spec.id), key);
        assert_eq!(job_id_of_key(key), Some(job.spec.id));
        let decoded: Job = serde_json::from_value(stored(key)).expect("a job");
        assert_eq!(decoded, job);
        check_encoded(key, &json!(job));
    }
    let key = "j/+n1.72.5";
    assert_eq!(submission_batch_key(&"n1".into(), 72, 5), key);
    assert!(is_submission_batch_key(key));
    let jobs = [full_job(11, 1), red_job()];
    check_encoded(key, &submission_batch_value(&[&jobs[0], &jobs[1]]));
    let decoded: Vec<Job> = serde_json::from_value(stored(key)["jobs"].clone()).expect("jobs");
    assert_eq!(decoded, jobs);
}

fn red_job() -> Job {
    let mut job = minimal_job(12, 2, Priority::Low);
    job.spec.team = "red".into();
    job
}

#[test]
fn final_state_formats_are_unchanged() {
    let done_key = "f/j-000005";
    assert_eq!(final_state_key(JobId(5)), done_key);
    assert_eq!(job_id_of_key(done_key), Some(JobId(5)));
    assert_eq!(read_final_state(&stored(done_key)), Some(JobState::Done));
    check_encoded(done_key, &final_state_value(JobState::Done));
    let key_without_job = "f/j-000006";
    assert_eq!(
        read_final_state(&stored(key_without_job)),
        Some(JobState::Cancelled)
    );
    assert_eq!(read_cancelled_job(&stored(key_without_job)), None);
    check_encoded(key_without_job, &cancelled_state_value(None));
    let key_with_job = "f/j-000007";
    assert_eq!(
        read_final_state(&stored(key_with_job)),
        Some(JobState::Cancelled)
    );
    assert_eq!(
        read_cancelled_job(&stored(key_with_job)),
        Some(full_job(7, 7))
    );
    check_encoded(key_with_job, &cancelled_state_value(Some(&full_job(7, 7))));
}

#[test]
fn attempt_record_formats_are_unchanged() {
    let attempt_record = |machine: &str, task, attempt, incarnation| AttemptRecord {
        machine: machine.into(),
        task,
        attempt: AttemptId(attempt),
        incarnation: Incarnation(incarnation),
    };
    assert_eq!(page_prefix(Epoch(4), &"n1".into()), "a/4.n1.");
    let page = [
        attempt_record("i-000001", task(2, 0), 67_108_867, 1),
        attempt_record("i-000000", task(7, 1), 67_108_868, 1),
    ];
    assert_eq!(records::read(&pair("a/4.n1.3")).expect("a page"), page);
    let by_attempt = |page: &[AttemptRecord]| -> BTreeMap<AttemptId, AttemptRecord> {
        page.iter()
            .map(|record| (record.attempt, record.clone()))
            .collect()
    };
    check_encoded("a/4.n1.3", &AttemptRecord::encode_page(&by_attempt(&page)));
    let first_release = [attempt_record("i-000001", task(1, 2), 67_108_866, 1)];
    let decoded = records::read(&pair("a/i-000001")).expect("a machine's record");
    assert_eq!(decoded, first_release);
    // An incarnation that differs from every other number in the store.
    let page = [attempt_record("i-000009", task(3, 4), 5, 6)];
    let value = AttemptRecord::encode_page(&by_attempt(&page));
    let text = r#"{"on":[["i-000009","j-000003/4",5,6]],"v":2}"#;
    assert_eq!(value.to_string(), text);
    let pair = KeyValue {
        value,
        ..pair("a/4.n1.3")
    };
    assert_eq!(records::read(&pair).expect("a page"), page);
}

#[test]
fn the_completions_format_is_unchanged() {
    let entry = Completions {
        tasks: BTreeSet::from([0, 4, 5, 6]),
        tasks_by_zone: BTreeMap::from([("a".to_owned(), 3), ("b".to_owned(), 1)]),
    };
    let key = |chunk| CompletionsKey {
        job: JobId(1),
        chunk,
    };
    let mut entries = BTreeMap::from([(key(0), entry)]);
    assert_eq!(read_completions(&stored("d/0")), Some(entries.clone()));
    check_encoded("d/0", &Completions::encode_page(&entries));
    let second_chunk = Completions {
        tasks: BTreeSet::from([TASKS_PER_COMPLETIONS_ENTRY + 1]),
        tasks_by_zone: BTreeMap::new(),
    };
    entries.insert(key(1), second_chunk);
    let value = Completions::encode_page(&entries);
    let task_index = TASKS_PER_COMPLETIONS_ENTRY + 1;
    let first_entry = r#"["j-000001",[[0,0],[4,6]],{"a":3,"b":1}]"#;
    let text = format!(
        r#"{{"done":[{first_entry},["j-000001",[[{task_index},{task_index}]],{{}}]],"v":2}}"#
    );
    assert_eq!(value.to_string(), text);
    assert_eq!(read_completions(&value), Some(entries));
}

#[test]
fn the_claim_key_and_catalog_formats_are_unchanged() {
    // The version in production uses k/i-000001. Leaders of both versions delete all claims of earlier epochs by their
    // prefix; `scenarios` tests this with the fixture's store.
    assert_eq!(
        claim_key(&"i-000001".into(), Epoch(4), 12),
        "k/i-000001.4.12"
    );
    let catalog = Catalog {
        machine_types: vec![MachineType {
            name: "m4".into(),
            cpus: 4.0,
            gpus: 0.0,
            memory_gb: 16.0,
            on_demand_price: 1.5,
            spot_price: Some(0.5),
            boot_s: 5.0,
            image_pull_gb_per_s: 1.25,
            zones: vec!["a".into(), "b".into()],
        }],
    };
    let decoded: Catalog = serde_json::from_value(stored("t/catalog")).expect("a catalog");
    assert_eq!(decoded, catalog);
    check_encoded("t/catalog", &json!(catalog));
}

// Guards against joining an epoch beside controllers of the first release.
#[test]
fn a_member_key_of_the_first_release_is_detected() {
    let key = |key: &str| KeyValue {
        key: key.to_owned(),
        ..pair("c/n/n2")
    };
    let action_with = |control_keys: &[&str]| {
        let mut reader = Membership::new("n2".into(), std::iter::empty(), 1_000);
        reader.apply_lease_grant(73);
        reader.record_member_key_write(Revision(1));
        let listing = Listing {
            pairs: control_keys.iter().map(|name| key(name)).collect(),
            has_more: false,
            revision: Revision(2),
        };
        reader.process_control_keys(Time(1), &listing)
    };
    assert!(matches!(
        action_with(&["c/n/n2"]),
        MembershipAction::Propose(_)
    ));
    assert_eq!(
        action_with(&["c/m/n1", "c/n/n2"]),
        MembershipAction::Unchanged
    );
}
