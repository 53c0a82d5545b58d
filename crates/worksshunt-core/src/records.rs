//! Machines' records: which attempts may be on which machine.
//!
//! `a/EPOCH.OWNER.N` is a page of attempts that an owner wrote in an epoch. Nothing is launched
//! before it is on a page. Pages of former epochs are kept by the leader, until none of their
//! attempts can be on a machine.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use serde_json::Value;
use worksshunt_wire::key_value::KeyValue;
use worksshunt_wire::{Attempt, ControllerName, Epoch, Incarnation, MachineId, TaskId};

use crate::pages::PageEntry;

/// Prefix of the machines' records.
pub const RECORDS: &str = "a/";

/// Version of the records' form.
const FORM: u32 = 2;

/// Prefix of one owner's pages in an epoch.
pub fn page_prefix(epoch: Epoch, owner: &ControllerName) -> String {
    format!("{RECORDS}{epoch}.{owner}.")
}

/// An attempt that may be on a machine.
#[derive(Debug, Clone, PartialEq)]
pub struct AttemptRecord {
    /// The machine.
    pub machine: MachineId,
    /// The task.
    pub task: TaskId,
    /// The attempt.
    pub attempt: Attempt,
    /// The worker's session it is meant for.
    pub incarnation: Incarnation,
}

#[derive(Serialize, Deserialize)]
struct Stored {
    v: u32,
    on: Vec<(MachineId, TaskId, Attempt, Incarnation)>,
}

impl PageEntry for AttemptRecord {
    type Key = Attempt;

    fn size(&self, _: &Attempt) -> usize {
        let digits = |number: u64| number.checked_ilog10().unwrap_or(0) as usize + 1;
        let task = digits(self.task.job.0).max(6) + digits(self.task.index.into()) + 3;
        let numbers = digits(self.attempt.0) + digits(self.incarnation.0);
        // Two texts in quotes, two numbers, and what stands between them.
        self.machine.0.len() + task + numbers + 10
    }

    fn join(&mut self, later: AttemptRecord) {
        *self = later;
    }

    fn value(entries: &BTreeMap<Attempt, AttemptRecord>) -> Value {
        let on = entries
            .values()
            .map(|r| (r.machine.clone(), r.task, r.attempt, r.incarnation))
            .collect();
        serde_json::json!(Stored { v: FORM, on })
    }
}

/// A record that this version of the program does not understand.
#[derive(Debug, thiserror::Error, PartialEq, Eq)]
#[error("record {0} was written by another version of the program")]
pub struct UnknownForm(pub String);

/// Reads a page. The first release kept one key per machine, which is understood too.
pub fn read(pair: &KeyValue) -> Result<Vec<AttemptRecord>, UnknownForm> {
    let unknown = || UnknownForm(pair.key.clone());
    let name = pair.key.strip_prefix(RECORDS).ok_or_else(unknown)?;
    if let Ok(old) = Vec::<(TaskId, Attempt, Incarnation)>::deserialize(&pair.value) {
        let on = old
            .into_iter()
            .map(|(task, attempt, incarnation)| AttemptRecord {
                machine: name.into(),
                task,
                attempt,
                incarnation,
            });
        return Ok(on.collect());
    }
    match Stored::deserialize(&pair.value) {
        Ok(Stored { v: FORM, on }) => Ok(on
            .into_iter()
            .map(|(machine, task, attempt, incarnation)| AttemptRecord {
                machine,
                task,
                attempt,
                incarnation,
            })
            .collect()),
        _ => Err(unknown()),
    }
}

/// Drops all but the latest attempt at each task from the pages, and returns the keys of pages that
/// had others. An attempt is made only when those before it are certainly gone; until its page is
/// rewritten one may still be listed, on a machine of which nothing will ever be heard.
pub fn retain_latest_attempts(pages: &mut [(KeyValue, Vec<AttemptRecord>)]) -> BTreeSet<String> {
    let mut latest: BTreeMap<TaskId, Attempt> = BTreeMap::new();
    for record in pages.iter().flat_map(|(_, records)| records) {
        let attempt = latest.entry(record.task).or_insert(record.attempt);
        *attempt = record.attempt.max(*attempt);
    }
    let mut stale = BTreeSet::new();
    for (pair, records) in pages {
        let before = records.len();
        records.retain(|record| latest.get(&record.task) == Some(&record.attempt));
        if records.len() < before {
            stale.insert(pair.key.clone());
        }
    }
    stale
}

#[cfg(test)]
mod tests;
