//! Which tasks of a job are done, and how that is stored.

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
    bits: Vec<u8>,
    count: u32,
    zones: BTreeMap<String, u32>,
}

impl CompletedTasks {
    /// No task done yet.
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

    /// Marks a task done; false if it was already, or does not exist.
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

    /// Counts tasks done in a zone.
    pub fn count_zone(&mut self, zone: &str, tasks: u32) {
        *self.zones.entry(zone.to_owned()).or_default() += tasks;
    }

    /// Tasks done per zone, where counted.
    pub fn zones(&self) -> &BTreeMap<String, u32> {
        &self.zones
    }

    /// How many tasks are done.
    pub fn count(&self) -> u32 {
        self.count
    }
}

/// What a job's completions are recorded under: the job, and which `TASKS_PER_COMPLETIONS_ENTRY` of its tasks.
pub type CompletionsKey = (JobId, u32);

/// Completed tasks of one job as they are recorded, so many of its tasks to an entry.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Completions {
    /// The tasks.
    pub tasks: BTreeSet<u32>,
    /// How many of them ran in which zone, where that matters.
    pub zones: BTreeMap<String, u32>,
}

/// The entry that a task's completion belongs to.
pub fn completions_key(task: TaskId) -> CompletionsKey {
    (task.job, task.index / TASKS_PER_COMPLETIONS_ENTRY)
}

/// Version of the completions' form.
const FORM: u32 = 2;

/// Job, first and last task of every run of completed ones, zones.
type StoredEntry = (JobId, Vec<(u32, u32)>, BTreeMap<String, u32>);

#[derive(Serialize, Deserialize)]
struct StoredCompletions {
    v: u32,
    done: Vec<StoredEntry>,
}

impl Completions {
    fn runs(&self) -> Vec<(u32, u32)> {
        let mut runs: Vec<(u32, u32)> = Vec::new();
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

    fn size(&self, _: &CompletionsKey) -> usize {
        let zones: usize = self.zones.keys().map(|zone| zone.len() + 12).sum();
        // A run is two numbers of at most five digits in brackets.
        40 + 14 * self.runs().len() + zones
    }

    fn join(&mut self, later: Completions) {
        self.tasks.extend(later.tasks);
        for (zone, tasks) in later.zones {
            *self.zones.entry(zone).or_default() += tasks;
        }
    }

    fn value(entries: &BTreeMap<CompletionsKey, Completions>) -> Value {
        let done = entries
            .iter()
            .map(|((id, _), entry)| (*id, entry.runs(), entry.zones.clone()))
            .collect();
        serde_json::json!(StoredCompletions { v: FORM, done })
    }
}

/// Reads a page of completions; none if another version of the program wrote it.
pub fn read_completions(value: &Value) -> Option<BTreeMap<CompletionsKey, Completions>> {
    let stored = StoredCompletions::deserialize(value).ok()?;
    let mut entries: BTreeMap<CompletionsKey, Completions> = BTreeMap::new();
    for (job, runs, zones) in stored.done {
        let last = runs.last().map_or(0, |(_, last)| *last);
        if stored.v != FORM || last >= MAX_TASKS_PER_JOB {
            return None;
        }
        let tasks: BTreeSet<u32> = runs.iter().flat_map(|(a, b)| *a..=*b).collect();
        let index = tasks.first().copied().unwrap_or(0);
        let key = completions_key(TaskId { job, index });
        entries
            .entry(key)
            .or_default()
            .join(Completions { tasks, zones });
    }
    Some(entries)
}
