//! The exact bytes of every kind of stored record, compared with the files in `fixtures/`.
//!
//! `store.json` holds a record of every kind, one `"key": value` per line, including attempt records of the first
//! release (`a/MACHINE`). `written.txt` holds records written by the scenarios below, one `key value` per line. A
//! difference means that controllers of other versions cannot read the records: change the code, not the file. Numbers of
//! epochs, and fields that other versions ignore, may change on purpose.

mod formats;
mod scenarios;

use std::collections::BTreeMap;

use serde_json::Value;
use worksshunt_wire::key_value::KeyValue;
use worksshunt_wire::{JobId, Revision, TaskId};

/// Returns the keys of the fixture's store, with the exact text of each value.
fn store() -> BTreeMap<&'static str, &'static str> {
    let file = include_str!("fixtures/store.json");
    let lines = file.lines().filter(|line| !matches!(*line, "{" | "}"));
    let entry = |line: &'static str| {
        let line = line.strip_suffix(',').unwrap_or(line);
        let (key, value) = line.split_once("\": ").expect("a key and a value");
        (key.strip_prefix('"').expect("a key in quotes"), value)
    };
    lines.map(entry).collect()
}

fn parse_value(text: &str) -> Value {
    serde_json::from_str(text).expect("JSON")
}

/// Returns the value of a key of the fixture's store.
fn stored(key: &str) -> Value {
    parse_value(store()[key])
}

fn pair(key: &str) -> KeyValue {
    KeyValue {
        key: key.to_owned(),
        value: stored(key),
        version: Revision(1),
    }
}

fn task(job: u64, index: u32) -> TaskId {
    TaskId {
        job: JobId(job),
        index,
    }
}
