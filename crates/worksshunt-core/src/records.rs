//! Attempt records in the key-value store: which attempts may be on which machine.
//!
//! `a/EPOCH.OWNER.N` is a [page](crate::pages) of attempts that an owner wrote in an epoch. Nothing is launched
//! before it is on a page. Pages of former epochs are kept by the leader, until none of their
//! attempts can be on a machine. This module has the format; the [partition](crate::machines) and the
//! [scheduler](crate::scheduler) hold the pages, and the controller reads them when an epoch begins.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use serde_json::Value;
use worksshunt_wire::key_value::KeyValue;
use worksshunt_wire::{Attempt, ControllerName, Epoch, Incarnation, MachineId, TaskId};

use crate::pages::PageEntry;

/// Prefix of the keys of attempt records.
pub const ATTEMPT_RECORDS_PREFIX: &str = "a/";

/// Version of the format of the records.
const RECORD_FORMAT_VERSION: u32 = 2;

/// Upper bound of the bytes of one stored record's punctuation: brackets, commas and the quotes of two texts.
const PUNCTUATION_BYTES: usize = 10;

/// Least number of digits in the text of a job's number.
const MIN_JOB_DIGITS: usize = 6;

/// Bytes of a task's text besides the digits of the job and the index.
const TASK_TEXT_BYTES: usize = 3;

/// Prefix of one owner's pages in an epoch.
pub fn page_prefix(epoch: Epoch, owner: &ControllerName) -> String {
    format!("{ATTEMPT_RECORDS_PREFIX}{epoch}.{owner}.")
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
    /// The worker's incarnation that it is meant for.
    pub incarnation: Incarnation,
}

/// A page as stored.
#[derive(Serialize, Deserialize)]
struct StoredPage {
    #[serde(rename = "v")]
    version: u32,
    #[serde(rename = "on")]
    records: Vec<StoredRecord>,
}

/// A record as stored on a page.
#[derive(Serialize, Deserialize)]
struct StoredRecord(MachineId, TaskId, Attempt, Incarnation);

/// A record of the first release, which kept those of one machine under one key.
#[derive(Deserialize)]
struct FirstReleaseRecord(TaskId, Attempt, Incarnation);

impl From<&AttemptRecord> for StoredRecord {
    fn from(record: &AttemptRecord) -> StoredRecord {
        StoredRecord(
            record.machine.clone(),
            record.task,
            record.attempt,
            record.incarnation,
        )
    }
}

impl From<StoredRecord> for AttemptRecord {
    fn from(StoredRecord(machine, task, attempt, incarnation): StoredRecord) -> AttemptRecord {
        AttemptRecord {
            machine,
            task,
            attempt,
            incarnation,
        }
    }
}

/// Decimal digits of a number.
fn digits(number: u64) -> usize {
    number.checked_ilog10().unwrap_or(0) as usize + 1
}

impl PageEntry for AttemptRecord {
    type Key = Attempt;

    fn size_bytes(&self, _: &Attempt) -> usize {
        let job_digits = digits(self.task.job.0).max(MIN_JOB_DIGITS);
        let task_bytes = job_digits + digits(self.task.index.into()) + TASK_TEXT_BYTES;
        let number_bytes = digits(self.attempt.0) + digits(self.incarnation.0);
        self.machine.0.len() + task_bytes + number_bytes + PUNCTUATION_BYTES
    }

    fn merge(&mut self, later: AttemptRecord) {
        *self = later;
    }

    fn encode_page(entries: &BTreeMap<Attempt, AttemptRecord>) -> Value {
        serde_json::json!(StoredPage {
            version: RECORD_FORMAT_VERSION,
            records: entries.values().map(StoredRecord::from).collect(),
        })
    }
}

/// A record that this version of the program does not understand.
#[derive(Debug, thiserror::Error, PartialEq, Eq)]
#[error("record {0} was written by another version of the program")]
pub struct UnknownRecordFormat(pub String);

/// Reads a page. The first release kept one key per machine, which is understood too.
///
/// # Errors
///
/// [`UnknownRecordFormat`] with the key, if the key or the value has neither format.
pub fn read(pair: &KeyValue) -> Result<Vec<AttemptRecord>, UnknownRecordFormat> {
    let unknown = || UnknownRecordFormat(pair.key.clone());
    let name = pair
        .key
        .strip_prefix(ATTEMPT_RECORDS_PREFIX)
        .ok_or_else(unknown)?;
    if let Ok(records) = Vec::<FirstReleaseRecord>::deserialize(&pair.value) {
        let on_machine =
            |FirstReleaseRecord(task, attempt, incarnation): FirstReleaseRecord| AttemptRecord {
                machine: name.into(),
                task,
                attempt,
                incarnation,
            };
        return Ok(records.into_iter().map(on_machine).collect());
    }
    let page = StoredPage::deserialize(&pair.value).map_err(|_| unknown())?;
    if page.version != RECORD_FORMAT_VERSION {
        return Err(unknown());
    }
    Ok(page.records.into_iter().map(AttemptRecord::from).collect())
}

/// A stored page with the records on it.
#[derive(Debug)]
pub struct RecordPage {
    /// The page's key, version and value as stored.
    pub stored: KeyValue,
    /// The records on the page.
    pub records: Vec<AttemptRecord>,
}

impl RecordPage {
    /// Reads a stored page.
    ///
    /// # Errors
    ///
    /// As [`read`].
    pub fn read(stored: KeyValue) -> Result<RecordPage, UnknownRecordFormat> {
        let records = read(&stored)?;
        Ok(RecordPage { stored, records })
    }
}

/// Drops all but the latest attempt at each task from the pages, and returns the keys of pages that
/// had others. An attempt is made only when those before it are certainly gone; until its page is
/// rewritten one may still be listed, on a machine that will never send another heartbeat.
pub fn retain_latest_attempts(pages: &mut [RecordPage]) -> BTreeSet<String> {
    let mut latest: BTreeMap<TaskId, Attempt> = BTreeMap::new();
    for record in pages.iter().flat_map(|page| &page.records) {
        let newest = latest.entry(record.task).or_insert(record.attempt);
        *newest = record.attempt.max(*newest);
    }
    let mut stale_pages = BTreeSet::new();
    for page in pages {
        let count_before = page.records.len();
        page.records
            .retain(|record| latest.get(&record.task) == Some(&record.attempt));
        if page.records.len() < count_before {
            stale_pages.insert(page.stored.key.clone());
        }
    }
    stale_pages
}

#[cfg(test)]
mod tests;
