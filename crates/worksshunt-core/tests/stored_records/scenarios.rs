//! Records written by running controllers, and controllers that start from an existing store.

use std::collections::{BTreeMap, BTreeSet};

use serde_json::json;
use worksshunt_core::controller::Event;
use worksshunt_core::job_api::RequestId;
use worksshunt_core::jobs::{read_cancelled_job, Job};
use worksshunt_simulation::{job, service, Cluster};
use worksshunt_wire::{JobId, TaskId};

use crate::{parse_value, store, stored, task};

/// All values that each key has had.
type History = BTreeMap<String, BTreeSet<String>>;

/// Runs for `ms` and records the contents of the store every millisecond.
fn run_and_record(cluster: &mut Cluster, history: &mut History, ms: u64) {
    for _ in 0..ms {
        cluster.run(1);
        for key in cluster.keys("") {
            let text = cluster.stored(&key).expect("a value").to_string();
            history.entry(key).or_default().insert(text);
        }
    }
}

/// Returns a cluster that accepts services: every controller is known to support them.
fn ready_for_services(history: &mut History) -> Cluster {
    let mut cluster = Cluster::new();
    cluster.seed(5);
    run_and_record(&mut cluster, history, 8_000);
    let epoch = cluster.stored("c/epoch").expect("an epoch");
    assert_eq!(epoch["standing"], json!(true));
    cluster
}

/// Runs jobs with every kind of record: a job submitted alone, a batch of submissions, a service, and cancellations
/// before and after the job has its own key.
fn run_jobs_of_all_kinds(history: &mut History) {
    let mut cluster = ready_for_services(history);
    let mut spread_job = job(1, 6);
    spread_job["Spread"] = json!(true);
    assert_eq!(cluster.submit(0, &spread_job).status, 201);
    assert_eq!(cluster.submit(1, &service(2, 1)).status, 201);
    run_and_record(&mut cluster, history, 15_000);
    for id in 10..18 {
        cluster.send_submit(1, &job(id, 1));
    }
    for _ in 0..500 {
        run_and_record(&mut cluster, history, 1);
        if !cluster.keys("j/+").is_empty() {
            break;
        }
    }
    cluster.send_cancel(1, task(17, 0).job);
    run_and_record(&mut cluster, history, 5_000);
    cluster.send_cancel(0, task(2, 0).job);
    run_and_record(&mut cluster, history, 25_000);
    assert_eq!(cluster.state(0, 1), (200, "done".into()));
    assert_eq!(cluster.state(0, 2), (200, "aborted".into()));
    assert_eq!(cluster.state(0, 17), (200, "aborted".into()));
    cluster.check();
}

/// Runs a wide job that claims a machine.
fn run_claim(history: &mut History) {
    let mut cluster = ready_for_services(history);
    cluster.capacity = 2;
    cluster.task_run_ms = 3_000;
    cluster.submit(0, &job(1, 400));
    cluster.until("a full fleet", 40_000, |cluster| {
        cluster.running().len() == 8
    });
    cluster.task_run_ms = 2_700;
    let mut wide_job = job(2, 1);
    wide_job["Cores"] = json!(4.0);
    wide_job["CalculoS"] = json!(3.0);
    cluster.submit(0, &wide_job);
    for _ in 0..90_000 {
        run_and_record(&mut cluster, history, 1);
        if !cluster.keys("k/").is_empty() {
            break;
        }
    }
}

/// Returns the kind of a record, which is the prefix of its key.
fn record_kind(key: &str) -> &str {
    let kinds = [
        "c/n/",
        "c/epoch",
        "t/catalog",
        "j/+",
        "j/j-",
        "f/",
        "a/",
        "d/",
        "k/",
    ];
    let found = kinds.iter().find(|kind| key.starts_with(**kind));
    found.unwrap_or_else(|| panic!("a key of a new kind: {key}"))
}

// Guards against changed formats of records that only running controllers write.
#[test]
fn running_controllers_write_the_stored_formats() {
    let lines = include_str!("fixtures/written.txt").lines();
    let expected_records = lines.map(|line| line.split_once(' ').expect("a key and a value"));
    let expected_records: Vec<(&str, &str)> = expected_records.collect();
    let mut history = History::new();
    run_jobs_of_all_kinds(&mut history);
    run_claim(&mut history);
    for (key, value) in &expected_records {
        let values = history
            .get(*key)
            .unwrap_or_else(|| panic!("{key} is never written"));
        assert!(
            values.contains(*value),
            "{key}: {value}\nis not among\n{values:#?}"
        );
    }
    let kinds = |keys: Vec<&str>| -> BTreeSet<String> {
        keys.into_iter()
            .map(|key| record_kind(key).to_owned())
            .collect()
    };
    let recorded_kinds = kinds(history.keys().map(String::as_str).collect());
    assert_eq!(
        kinds(expected_records.iter().map(|(key, _)| *key).collect()),
        recorded_kinds,
        "kinds of records"
    );
    assert_eq!(
        kinds(store().into_keys().collect()),
        recorded_kinds,
        "kinds of records"
    );
}

/// Returns a cluster that starts from the fixture's store with two controllers. The third controller has a member key
/// and is not ready to own machines. Two machines run the attempts of the store.
fn with_stored_records() -> Cluster {
    let mut cluster = Cluster::new();
    (0..3).for_each(|controller| cluster.crash(controller));
    cluster.seed(5);
    cluster.task_run_ms = 25_000;
    for (key, text) in store() {
        let record = parse_value(text);
        let batch = record["jobs"].as_array().cloned().unwrap_or_default();
        for stored_job in batch.into_iter().chain([record.clone()]) {
            if let Ok(job) = serde_json::from_value::<Job>(stored_job) {
                cluster.invariants.assume_accepted(job.spec);
            }
        }
        cluster.put(key, record);
    }
    for index in [0, 4, 5, 6] {
        cluster.invariants.record_completion(task(1, index));
    }
    // Records in the invariant checker that job 5 has completed and that users cancelled jobs 6 and 7.
    let cancelled = read_cancelled_job(&stored("f/j-000007")).expect("a job");
    for id in [5, 6, 7] {
        let mut spec = cancelled.spec.clone();
        spec.id = JobId(id);
        cluster.invariants.assume_accepted(spec);
    }
    (0..7).for_each(|index| cluster.invariants.record_completion(task(5, index)));
    for id in [6, 7] {
        let cancellation = Event::Cancel {
            request_id: RequestId(0),
            job_id: JobId(id).to_string(),
        };
        cluster.invariants.record_request(&cancellation);
    }
    let first_machine = cluster.create_machine("a", true, 0);
    let second_machine = cluster.create_machine("a", true, 0);
    cluster.inject_task(&first_machine, task(1, 1), 67_108_865);
    cluster.inject_task(&first_machine, task(7, 1), 67_108_868);
    cluster.inject_task(&second_machine, task(1, 2), 67_108_866);
    cluster.inject_task(&second_machine, task(2, 0), 67_108_867);
    (0..2).for_each(|controller| cluster.start(controller));
    cluster
}

fn starts_of(cluster: &Cluster, task: TaskId) -> usize {
    cluster
        .task_starts
        .iter()
        .filter(|start| start.task == task)
        .count()
}

/// Checks that of job 1 only the tasks without a stored completion have started, once each, and that the replica of job
/// 2 has not restarted.
fn check_starts(cluster: &Cluster) {
    for index in 0..7 {
        let expected_starts = usize::from(matches!(index, 1..=3));
        assert_eq!(
            starts_of(cluster, task(1, index)),
            expected_starts,
            "task {index}"
        );
    }
    assert_eq!(
        starts_of(cluster, task(2, 0)),
        1,
        "the replica keeps running"
    );
}

#[test]
fn controllers_read_an_existing_store() {
    let mut cluster = with_stored_records();
    cluster.until("an epoch", 20_000, |cluster| cluster.epoch() > 4);
    let epoch = cluster.stored("c/epoch").expect("an epoch").clone();
    assert_eq!(epoch["number"], json!(5));
    assert_eq!(epoch["standing"], json!(true));
    let members = epoch["members"].as_array().expect("members");
    let third_member = json!({ "hold": 73, "name": "n2" });
    assert!(
        members.contains(&third_member),
        "the third controller is a member: {members:?}"
    );
    assert_eq!(epoch["unreached"], json!([third_member]));
    cluster.run(6_000);
    for (id, state) in [(5, "done"), (6, "aborted"), (7, "aborted")] {
        for controller in 0..2 {
            assert_eq!(
                cluster.state(controller, id),
                (200, state.into()),
                "job {id}"
            );
        }
    }
    assert_eq!(cluster.submit(1, &service(3, 1)).status, 201);
    cluster.until("the end of the cancelled task", 20_000, |cluster| {
        !cluster.running().contains(&task(7, 1))
    });
    cluster.until("the deletion of the claim", 20_000, |cluster| {
        cluster.keys("k/").is_empty()
    });
    cluster.until("the final states of all arrays", 120_000, |cluster| {
        cluster.keys("j/") == ["j/j-000002", "j/j-000003"]
    });
    for id in [1, 11, 12] {
        assert_eq!(cluster.state(0, id), (200, "done".into()), "job {id}");
    }
    assert_eq!(cluster.state(1, 2), (200, "running".into()));
    check_starts(&cluster);
    cluster.check();
}

// Guards against an unreadable stored catalog, without which no job can be accepted while the cloud does not respond.
#[test]
fn the_stored_catalog_is_used_while_the_cloud_is_down() {
    for is_catalog_stored in [true, false] {
        let mut cluster = Cluster::new();
        cluster.faults.cloud.is_down = true;
        if is_catalog_stored {
            cluster.put("t/catalog", stored("t/catalog"));
        }
        cluster.run(8_000);
        let status = cluster.submit(0, &job(1, 1)).status;
        assert_eq!(status, if is_catalog_stored { 201 } else { 503 });
    }
}
