//! Tests of `jobs`.

use std::collections::{BTreeMap, BTreeSet};

use worksshunt_wire::key_value::{Listing, WatchEvent, WatchResponse};
use worksshunt_wire::{JobId, Revision, TaskId};

use super::*;
use crate::constants::job_api::MAX_TASKS_PER_JOB;
use crate::constants::pages::TASKS_PER_COMPLETIONS_ENTRY;
use crate::pages::PageEntry;

#[test]
fn completions_are_read_as_written_within_the_estimated_size() {
    let job = JobId(7);
    let indexes = [
        0,
        1,
        2,
        7,
        TASKS_PER_COMPLETIONS_ENTRY - 1,
        TASKS_PER_COMPLETIONS_ENTRY,
        MAX_TASKS_PER_JOB - 1,
    ];
    let mut entries: BTreeMap<CompletionsKey, Completions> = BTreeMap::new();
    for index in indexes {
        let task = TaskId { job, index };
        let entry = Completions {
            tasks: BTreeSet::from([index]),
            tasks_by_zone: BTreeMap::from([("a".to_owned(), 1)]),
        };
        entries
            .entry(completions_key(task))
            .or_default()
            .merge(entry);
    }
    let value = Completions::encode_page(&entries);
    assert_eq!(read_completions(&value), Some(entries.clone()));
    let size: usize = entries
        .iter()
        .map(|(key, entry)| entry.size_bytes(key))
        .sum();
    assert!(
        value.to_string().len() <= size + 32,
        "the page is no larger than estimated"
    );
    let every_other = Completions {
        tasks: (0..TASKS_PER_COMPLETIONS_ENTRY).step_by(2).collect(),
        tasks_by_zone: BTreeMap::new(),
    };
    let min_value_bytes = (crate::constants::key_value::MIN_VALUE_KIB * 1_024.0) as usize;
    assert!(
        every_other.size_bytes(&CompletionsKey { job, chunk: 0 }) * 2 <= min_value_bytes,
        "the largest entry fits a page of the minimum value size"
    );
    assert_eq!(
        read_completions(&serde_json::json!({ "bits": "AAAA" })),
        None
    );
    let other_version = serde_json::json!({ "v": 3, "done": [["j-000007", [[0, 1]], {}]] });
    assert_eq!(read_completions(&other_version), None, "unknown version");
}

#[test]
fn the_cache_ignores_events_of_overlapping_older_responses() {
    let spec = serde_json::json!({
        "Ref": "j-000001", "Carril": "c", "Cuadrilla": "t", "Oficio": "array",
        "Turno": "normal", "Piezas": 1, "Cores": 1.0, "Gpus": 0.0, "RamGb": 1.0,
        "Molde": "i", "SizeGb": 1.0, "SamePlace": false, "Spread": false, "Prestados": true,
        "CalculoS": 600.0, "RespaldoS": 0.0, "GuardadoS": 0.0});
    let put = WatchEvent::Put {
        key: "j/j-000001".into(),
        value: serde_json::json!({ "spec": spec, "at": 0 }),
        version: Revision(5),
    };
    let delete = WatchEvent::Delete {
        key: "j/j-000001".into(),
        version: Revision(6),
    };
    let response = |revision, events: &[&WatchEvent]| WatchResponse {
        revision: Revision(revision),
        events: events.iter().map(|e| (*e).clone()).collect(),
    };
    let mut job_cache = JobCache::default();
    job_cache.load(&Listing {
        pairs: Vec::new(),
        has_more: false,
        revision: Revision(4),
    });
    let changes = job_cache.apply_changes(&response(6, &[&put, &delete]));
    assert_eq!(
        changes,
        [
            JobCacheChange::Opened(JobId(1)),
            JobCacheChange::Closed(JobId(1))
        ]
    );
    assert_eq!(job_cache.apply_changes(&response(5, &[&put])), []);
    assert!(job_cache.get(JobId(1)).is_none());
    assert_eq!(job_cache.revision(), Some(Revision(6)));
}
