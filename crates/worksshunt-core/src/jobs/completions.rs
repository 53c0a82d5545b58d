//! Completed tasks of a job, in memory and in their stored form.
//!
//! The leader's scheduler has a [`CompletedTasks`] for each open job and writes [`Completions`] to pages in the
//! key-value store, from which a new leader restores it.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use serde_json::Value;
use worksshunt_wire::{JobId, TaskId};

use crate::constants::job_api::MAX_TASKS_PER_JOB;
use crate::constants::pages::TASKS_PER_COMPLETIONS_ENTRY;
use crate::pages::PageEntry;

/// The completed tasks of a job; for a job with a zone constraint also the zones they ran in.
#[derive(Debug, Clone, Default)]
pub struct CompletedTasks {
    /// Bitmap with one bit per task, the lowest bit of each byte first.
    bits: Vec<u8>,
    /// Number of bits set.
    count: u32,
    tasks_by_zone: BTreeMap<String, u32>,
}

impl CompletedTasks {
    /// No completed tasks, for a job of `task_count` tasks.
    pub fn new(task_count: u32) -> CompletedTasks {
        CompletedTasks {
            bits: vec![0; task_count.div_ceil(8) as usize],
            count: 0,
            tasks_by_zone: BTreeMap::new(),
        }
    }

    /// Whether the task is completed.
    pub fn contains(&self, index: u32) -> bool {
        self.bits
            .get((index / 8) as usize)
            .is_some_and(|byte| byte >> (index % 8) & 1 == 1)
    }

    /// Marks the task as completed. Returns false if it already was, or if `index` is out of range.
    pub fn insert(&mut self, index: u32) -> bool {
        match self.bits.get_mut((index / 8) as usize) {
            Some(byte) if *byte >> (index % 8) & 1 == 0 => {
                *byte |= 1 << (index % 8);
                self.count += 1;
                true
            }
            _ => false,
        }
    }

    /// Adds `tasks` to the number of tasks completed in a zone; called for jobs with a zone constraint only.
    pub fn add_tasks_in_zone(&mut self, zone: &str, tasks: u32) {
        *self.tasks_by_zone.entry(zone.to_owned()).or_default() += tasks;
    }

    /// Number of completed tasks by zone; empty for a job without a zone constraint.
    pub fn tasks_by_zone(&self) -> &BTreeMap<String, u32> {
        &self.tasks_by_zone
    }

    /// Number of completed tasks.
    pub fn count(&self) -> u32 {
        self.count
    }
}

/// Key of an entry of [`Completions`] on a page. Ordered by job, then by chunk.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct CompletionsKey {
    /// Job that the tasks belong to.
    pub job: JobId,
    /// Index of the chunk that the entry covers; chunk N begins at task N * [`TASKS_PER_COMPLETIONS_ENTRY`].
    pub chunk: u32,
}

/// Completed tasks within one chunk of a job, as recorded on a page.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Completions {
    /// Indexes of the tasks.
    pub tasks: BTreeSet<u32>,
    /// Number of those tasks by zone; empty for a job without a zone constraint.
    pub tasks_by_zone: BTreeMap<String, u32>,
}

/// Key of the entry that records the completion of a task.
pub fn completions_key(task: TaskId) -> CompletionsKey {
    CompletionsKey {
        job: task.job,
        chunk: task.index / TASKS_PER_COMPLETIONS_ENTRY,
    }
}

/// Format version of pages of completions.
const COMPLETIONS_FORMAT_VERSION: u32 = 2;

/// Maximum bytes of an entry on a page, without its runs and zones.
const ENTRY_BASE_BYTES: usize = 40;

/// Maximum bytes of a run: two indexes of at most five digits, brackets and commas.
const RUN_BYTES: usize = 14;

/// Maximum bytes of a zone besides its name: quotes, a count and punctuation.
const ZONE_COUNT_BYTES: usize = 12;

/// A run of consecutive completed tasks: the first and the last index. Stored as an array.
type StoredRun = (u32, u32);

/// Stored form of an entry: an array of the job, the runs of completed tasks, and the number of tasks by zone.
type StoredEntry = (JobId, Vec<StoredRun>, BTreeMap<String, u32>);

/// Stored form of a page of completions.
#[derive(Serialize, Deserialize)]
struct StoredCompletions {
    #[serde(rename = "v")]
    format_version: u32,
    #[serde(rename = "done")]
    entries: Vec<StoredEntry>,
}

impl Completions {
    fn runs(&self) -> Vec<StoredRun> {
        let mut runs: Vec<StoredRun> = Vec::new();
        for task in &self.tasks {
            match runs.last_mut() {
                Some((_, last)) if *last + 1 == *task => *last = *task,
                _ => runs.push((*task, *task)),
            }
        }
        runs
    }
}

impl PageEntry for Completions {
    type Key = CompletionsKey;

    fn size_bytes(&self, _: &CompletionsKey) -> usize {
        let zones_bytes: usize = self
            .tasks_by_zone
            .keys()
            .map(|zone| zone.len() + ZONE_COUNT_BYTES)
            .sum();
        ENTRY_BASE_BYTES + RUN_BYTES * self.runs().len() + zones_bytes
    }

    fn merge(&mut self, later: Completions) {
        self.tasks.extend(later.tasks);
        for (zone, tasks) in later.tasks_by_zone {
            *self.tasks_by_zone.entry(zone).or_default() += tasks;
        }
    }

    fn encode_page(entries: &BTreeMap<CompletionsKey, Completions>) -> Value {
        let entries = entries
            .iter()
            .map(|(key, entry)| (key.job, entry.runs(), entry.tasks_by_zone.clone()))
            .collect();
        serde_json::json!(StoredCompletions {
            format_version: COMPLETIONS_FORMAT_VERSION,
            entries,
        })
    }
}

/// Reads a page of completions; `None` if its format is unknown or a task index is out of range. An entry may span
/// several chunks; it is assigned to the chunk of its first task.
pub fn read_completions(value: &Value) -> Option<BTreeMap<CompletionsKey, Completions>> {
    let stored = StoredCompletions::deserialize(value).ok()?;
    let mut entries: BTreeMap<CompletionsKey, Completions> = BTreeMap::new();
    for (job, runs, tasks_by_zone) in stored.entries {
        let last = runs.last().map_or(0, |(_, last)| *last);
        if stored.format_version != COMPLETIONS_FORMAT_VERSION || last >= MAX_TASKS_PER_JOB {
            return None;
        }
        let tasks: BTreeSet<u32> = runs
            .iter()
            .flat_map(|(first, last)| *first..=*last)
            .collect();
        let index = tasks.first().copied().unwrap_or(0);
        let key = completions_key(TaskId { job, index });
        let entry = entries.entry(key).or_default();
        entry.merge(Completions {
            tasks,
            tasks_by_zone,
        });
    }
    Some(entries)
}
