//! Format of attempt records in the key-value store: which attempts may be on which machine.
//!
//! `a/EPOCH.OWNER.N` is a [page](crate::pages) of attempts that a partition owner wrote in an epoch. No attempt is
//! launched before it is on a stored page. The leader deletes pages of previous epochs once none of their attempts can
//! be on a machine. The [partition](crate::machines) and the [scheduler](crate::scheduler) hold the pages; the
//! controller reads them when an epoch begins.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use serde_json::Value;
use worksshunt_wire::key_value::KeyValue;
use worksshunt_wire::{AttemptId, ControllerName, Epoch, Incarnation, MachineId, TaskId};

use crate::pages::PageEntry;

/// Prefix of the keys of attempt records.
pub const ATTEMPT_RECORDS_PREFIX: &str = "a/";

/// Version of the page format that is written.
const RECORD_FORMAT_VERSION: u32 = 2;

/// Upper bound of the punctuation bytes of a stored record: brackets, commas and the quotes of two strings.
const PUNCTUATION_BYTES: usize = 10;

/// Minimum number of digits in a job id.
const MIN_JOB_DIGITS: usize = 6;

/// Bytes of a task id besides the digits of the job and the index: `j-` and `/`.
const TASK_ID_PUNCTUATION_BYTES: usize = 3;

/// Key prefix of the pages that an owner writes in an epoch.
pub fn page_prefix(epoch: Epoch, owner: &ControllerName) -> String {
    format!("{ATTEMPT_RECORDS_PREFIX}{epoch}.{owner}.")
}

/// A durable record that an attempt may be on a machine.
#[derive(Debug, Clone, PartialEq)]
pub struct AttemptRecord {
    /// Machine that the attempt may be on.
    pub machine: MachineId,
    /// Task of the attempt.
    pub task: TaskId,
    /// Number of the attempt.
    pub attempt: AttemptId,
    /// Incarnation of the worker that the attempt is launched on.
    pub incarnation: Incarnation,
}

/// A page in its stored form.
#[derive(Serialize, Deserialize)]
struct StoredPage {
    #[serde(rename = "v")]
    version: u32,
    #[serde(rename = "on")]
    records: Vec<StoredRecord>,
}

/// A record in its stored form.
#[derive(Serialize, Deserialize)]
struct StoredRecord(MachineId, TaskId, AttemptId, Incarnation);

/// A record in format version 1, which has one key per machine.
#[derive(Deserialize)]
struct RecordV1(TaskId, AttemptId, Incarnation);

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

/// Number of decimal digits.
fn digits(number: u64) -> usize {
    number.checked_ilog10().unwrap_or(0) as usize + 1
}

impl PageEntry for AttemptRecord {
    type Key = AttemptId;

    fn size_bytes(&self, _: &AttemptId) -> usize {
        let job_digits = digits(self.task.job.0).max(MIN_JOB_DIGITS);
        let task_bytes = job_digits + digits(self.task.index.into()) + TASK_ID_PUNCTUATION_BYTES;
        let number_bytes = digits(self.attempt.0) + digits(self.incarnation.0);
        self.machine.0.len() + task_bytes + number_bytes + PUNCTUATION_BYTES
    }

    fn merge(&mut self, later: AttemptRecord) {
        *self = later;
    }

    fn encode_page(entries: &BTreeMap<AttemptId, AttemptRecord>) -> Value {
        serde_json::json!(StoredPage {
            version: RECORD_FORMAT_VERSION,
            records: entries.values().map(StoredRecord::from).collect(),
        })
    }
}

/// Error for a stored page in an unknown format, with the key of the page.
#[derive(Debug, thiserror::Error, PartialEq, Eq)]
#[error("record {0} has an unknown format; another version of the program may have written it")]
pub struct UnknownRecordFormat(pub String);

/// Decodes a stored page of the present format or of format version 1.
///
/// # Errors
///
/// [`UnknownRecordFormat`] if the key or the value has neither format.
pub fn read(pair: &KeyValue) -> Result<Vec<AttemptRecord>, UnknownRecordFormat> {
    let unknown_format = || UnknownRecordFormat(pair.key.clone());
    let key_suffix = pair
        .key
        .strip_prefix(ATTEMPT_RECORDS_PREFIX)
        .ok_or_else(unknown_format)?;
    if let Ok(records) = Vec::<RecordV1>::deserialize(&pair.value) {
        let on_machine = |RecordV1(task, attempt, incarnation): RecordV1| AttemptRecord {
            machine: key_suffix.into(),
            task,
            attempt,
            incarnation,
        };
        return Ok(records.into_iter().map(on_machine).collect());
    }
    let page = StoredPage::deserialize(&pair.value).map_err(|_| unknown_format())?;
    if page.version != RECORD_FORMAT_VERSION {
        return Err(unknown_format());
    }
    Ok(page.records.into_iter().map(AttemptRecord::from).collect())
}

/// A stored page with its decoded records.
#[derive(Debug)]
pub struct RecordPage {
    /// Key, version and value in the store.
    pub stored: KeyValue,
    /// Decoded records.
    pub records: Vec<AttemptRecord>,
}

impl RecordPage {
    /// Decodes a stored page.
    ///
    /// # Errors
    ///
    /// Same as [`read`].
    pub fn read(stored: KeyValue) -> Result<RecordPage, UnknownRecordFormat> {
        let records = read(&stored)?;
        Ok(RecordPage { stored, records })
    }
}

/// Removes all but the latest attempt at each task from the pages. Returns the keys of the pages that contained others.
///
/// An attempt is made only after all earlier attempts at the task are confirmed to have ended. Their records remain
/// until the pages are rewritten, and may name machines that no longer exist.
pub fn retain_latest_attempts(pages: &mut [RecordPage]) -> BTreeSet<String> {
    let mut latest: BTreeMap<TaskId, AttemptId> = BTreeMap::new();
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
