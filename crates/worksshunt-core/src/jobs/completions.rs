//! Which tasks of a job are done, in memory and as stored.
//!
//! The leader's scheduler keeps a [`CompletedTasks`] for each open job and writes [`Completions`] to pages of
//! records, of which a new leader restores it.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use serde_json::Value;
use worksshunt_wire::{JobId, TaskId};

use crate::constants::job_api::MAX_TASKS_PER_JOB;
use crate::constants::pages::TASKS_PER_COMPLETIONS_ENTRY;
use crate::pages::PageEntry;

/// The completed tasks of a job, and the zones they ran in where those matter.
#[derive(Debug, Clone, Default)]
pub struct CompletedTasks {
    /// One bit for each task, the lowest bit of a byte first.
    bits: Vec<u8>,
    /// Bits that are set.
    count: u32,
    zones: BTreeMap<String, u32>,
}

impl CompletedTasks {
    /// For a job of so many tasks, none of them done.
    pub fn new(tasks: u32) -> CompletedTasks {
        CompletedTasks {
            bits: vec![0; tasks.div_ceil(8) as usize],
            count: 0,
            zones: BTreeMap::new(),
        }
    }

    /// Whether a task is done.
    pub fn contains(&self, index: u32) -> bool {
        self.bits
            .get((index / 8) as usize)
            .is_some_and(|byte| byte >> (index % 8) & 1 == 1)
    }

    /// Marks a task done. Returns false if it already was, or if the job has no such task.
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

    /// Counts tasks done in a zone. The scheduler does so for jobs with a zone constraint only.
    pub fn count_zone(&mut self, zone: &str, tasks: u32) {
        *self.zones.entry(zone.to_owned()).or_default() += tasks;
    }

    /// Tasks done by zone, where counted.
    pub fn zones(&self) -> &BTreeMap<String, u32> {
        &self.zones
    }

    /// How many tasks are done.
    pub fn count(&self) -> u32 {
        self.count
    }
}

/// Identifies an entry of [`Completions`]. Ordered by job, then by chunk.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct CompletionsKey {
    /// The job.
    pub job: JobId,
    /// Index of the chunk of [`TASKS_PER_COMPLETIONS_ENTRY`] tasks that the entry covers.
    pub chunk: u32,
}

/// Completed tasks of one chunk of a job's tasks, as recorded.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Completions {
    /// Indexes of the tasks.
    pub tasks: BTreeSet<u32>,
    /// How many of them ran in each zone, for jobs with a zone constraint.
    pub zones: BTreeMap<String, u32>,
}

/// The entry that a task's completion belongs to.
pub fn completions_key(task: TaskId) -> CompletionsKey {
    CompletionsKey {
        job: task.job,
        chunk: task.index / TASKS_PER_COMPLETIONS_ENTRY,
    }
}

/// Format version of pages of completions.
const COMPLETIONS_FORMAT_VERSION: u32 = 2;

/// Bytes that an entry takes on a page without its runs and zones, at most.
const ENTRY_BASE_BYTES: usize = 40;

/// Bytes that a run takes, at most: two indexes of at most five digits each in brackets, and commas.
const RUN_BYTES: usize = 14;

/// Bytes that a zone takes beside its name, at most: quotes, a count and punctuation.
const ZONE_COUNT_BYTES: usize = 12;

/// The first and the last index of consecutive completed tasks. Stored as an array of the two.
type StoredRun = (u32, u32);

/// An entry as stored: an array of the job, the runs of its completed tasks, and the number of tasks
/// completed in each zone.
type StoredEntry = (JobId, Vec<StoredRun>, BTreeMap<String, u32>);

/// A page of completions as stored.
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
        let zones: usize = self
            .zones
            .keys()
            .map(|zone| zone.len() + ZONE_COUNT_BYTES)
            .sum();
        ENTRY_BASE_BYTES + RUN_BYTES * self.runs().len() + zones
    }

    fn merge(&mut self, later: Completions) {
        self.tasks.extend(later.tasks);
        for (zone, tasks) in later.zones {
            *self.zones.entry(zone).or_default() += tasks;
        }
    }

    fn encode_page(entries: &BTreeMap<CompletionsKey, Completions>) -> Value {
        let entries = entries
            .iter()
            .map(|(key, entry)| (key.job, entry.runs(), entry.zones.clone()))
            .collect();
        serde_json::json!(StoredCompletions {
            format_version: COMPLETIONS_FORMAT_VERSION,
            entries,
        })
    }
}

/// Reads a page of completions; `None` if its form is not that of this version of the program. Entries
/// may span several chunks; each goes to the chunk of its first task.
pub fn read_completions(value: &Value) -> Option<BTreeMap<CompletionsKey, Completions>> {
    let stored = StoredCompletions::deserialize(value).ok()?;
    let mut entries: BTreeMap<CompletionsKey, Completions> = BTreeMap::new();
    for (job, runs, zones) in stored.entries {
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
        entry.merge(Completions { tasks, zones });
    }
    Some(entries)
}
