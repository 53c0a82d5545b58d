//! The exact bytes of every stored record, against files in `fixtures/`.
//!
//! `store.json` is a whole store with a record of every kind, one `"key": value` per line, as this
//! program writes them and as its first release wrote attempts (`a/MACHINE`). `written.txt` holds what
//! running controllers wrote in the scenarios below, one `key value` per line. A difference means that a controller of another
//! version no longer understands the store: the code is wrong, not the file.

mod forms;
mod scenarios;

use std::collections::BTreeMap;

use serde_json::Value;
use worksshunt_wire::key_value::KeyValue;
use worksshunt_wire::{JobId, Revision, TaskId};

/// The keys of a whole store, each with the exact text of its value.
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

fn value(text: &str) -> Value {
    serde_json::from_str(text).expect("JSON")
}

/// A record of the store.
fn stored(key: &str) -> Value {
    value(store()[key])
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
