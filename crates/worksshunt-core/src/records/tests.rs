//! Tests of the format of attempt records.

use worksshunt_wire::{JobId, Revision};

use super::*;

fn pair(value: Value) -> KeyValue {
    KeyValue {
        key: "a/i-000007".to_owned(),
        value,
        version: Revision(1),
    }
}

#[test]
fn records_round_trip_within_estimated_size() {
    let entries: BTreeMap<AttemptId, AttemptRecord> = (0..300u64)
        .map(|n| {
            let record = AttemptRecord {
                machine: MachineId(format!("i-{n:06}")),
                task: TaskId {
                    job: JobId(n * n * n),
                    index: n as u32 * 300,
                },
                attempt: AttemptId(n << 40),
                incarnation: Incarnation(n),
            };
            (record.attempt, record)
        })
        .collect();
    let value = AttemptRecord::encode_page(&entries);
    let size: usize = entries
        .iter()
        .map(|(key, entry)| entry.size_bytes(key))
        .sum();
    assert!(value.to_string().len() <= size + 32);
    let read = read(&pair(value)).expect("records");
    assert_eq!(read, entries.into_values().collect::<Vec<_>>());
}

// Guards against ended attempts that count against their team's limit until the leases of terminated machines expire.
#[test]
fn only_latest_attempt_of_a_task_is_retained() {
    let record = |machine: &str, index, attempt| AttemptRecord {
        machine: machine.into(),
        task: TaskId {
            job: JobId(1),
            index,
        },
        attempt: AttemptId(attempt),
        incarnation: Incarnation(1),
    };
    let page = |records| RecordPage {
        stored: pair(Value::Null),
        records,
    };
    let mut pages = vec![
        page(vec![record("i-1", 0, 5), record("i-1", 1, 6)]),
        page(vec![record("i-2", 0, 9)]),
    ];
    pages[1].stored.key = "a/2".to_owned();
    let stale = retain_latest_attempts(&mut pages);
    assert_eq!(stale, BTreeSet::from(["a/i-000007".to_owned()]));
    assert_eq!(pages[0].records, [record("i-1", 1, 6)]);
    assert_eq!(pages[1].records, [record("i-2", 0, 9)]);
}

// Guards against treating records of an unknown format as empty, which would run their tasks twice.
#[test]
fn version_1_records_are_read_and_unknown_formats_rejected() {
    let version_1 = serde_json::json!([["j-000412/3", 16777217, 2]]);
    let records = read(&pair(version_1)).expect("records");
    assert_eq!(records[0].machine, "i-000007".into());
    assert_eq!(records[0].attempt, AttemptId(16_777_217));
    let unknown = [
        serde_json::json!({"v": 3, "on": []}),
        serde_json::json!({"v": 2, "on": [["i-000001"]]}),
        serde_json::json!("?"),
    ];
    for value in unknown {
        assert_eq!(
            read(&pair(value)),
            Err(UnknownRecordFormat("a/i-000007".into()))
        );
    }
}
