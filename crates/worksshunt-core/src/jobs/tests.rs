//! Tests of `jobs`.

use std::collections::{BTreeMap, BTreeSet};

use worksshunt_wire::key_value::{Listing, WatchEvent, WatchResponse};
use worksshunt_wire::{JobId, Revision, TaskId};

use super::*;
use crate::constants::job_api::MAX_TASKS_PER_JOB;
use crate::constants::pages::TASKS_PER_COMPLETIONS_ENTRY;
use crate::pages::PageEntry;

#[test]
fn completed_tasks_survive_the_store() {
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
        let one = Completions {
            tasks: BTreeSet::from([index]),
            zones: BTreeMap::from([("a".to_owned(), 1)]),
        };
        entries.entry(completions_key(task)).or_default().merge(one);
    }
    let value = Completions::encode_page(&entries);
    assert_eq!(read_completions(&value), Some(entries.clone()));
    let size: usize = entries
        .iter()
        .map(|(key, entry)| entry.size_bytes(key))
        .sum();
    assert!(
        value.to_string().len() <= size + 32,
        "no larger than estimated"
    );
    let every_other = Completions {
        tasks: (0..TASKS_PER_COMPLETIONS_ENTRY).step_by(2).collect(),
        zones: BTreeMap::new(),
    };
    let smallest = (crate::constants::key_value::MIN_VALUE_KIB * 1_024.0) as usize;
    assert!(
        every_other.size_bytes(&CompletionsKey { job, chunk: 0 }) * 2 <= smallest,
        "the worst entry fits a page of the smallest value"
    );
    assert_eq!(
        read_completions(&serde_json::json!({ "bits": "AAAA" })),
        None
    );
    let later = serde_json::json!({ "v": 3, "done": [["j-000007", [[0, 1]], {}]] });
    assert_eq!(read_completions(&later), None, "another version's");
}

#[test]
fn the_cache_applies_overlapping_responses_in_any_order() {
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
