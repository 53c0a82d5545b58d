//! Keys and values of jobs in the key-value store.

use std::rc::Rc;

use serde::{Deserialize, Serialize};
use serde_json::Value;
use worksshunt_wire::user::JobState;
use worksshunt_wire::{ControllerName, JobId, Revision};

use super::{Job, SubmissionBatch};

/// Prefix of the keys of open jobs and of submission batches.
pub const OPEN_JOBS_PREFIX: &str = "j/";
/// Prefix of the keys of final states.
pub const FINAL_STATES_PREFIX: &str = "f/";
/// Prefix of the keys of pages of completed tasks.
pub const COMPLETIONS_PREFIX: &str = "d/";

/// Prefix of the keys of submission batches. It extends [`OPEN_JOBS_PREFIX`], so that one watch covers both.
const SUBMISSION_BATCH_PREFIX: &str = "j/+";

/// Format version of submission batches.
const SUBMISSION_BATCH_FORMAT_VERSION: u32 = 1;

/// Key of an open job.
pub fn open_job_key(id: JobId) -> String {
    format!("{OPEN_JOBS_PREFIX}{id}")
}

/// Key of a final state.
pub fn final_state_key(id: JobId) -> String {
    format!("{FINAL_STATES_PREFIX}{id}")
}

/// Key of a submission batch. The lease ID identifies the controller's incarnation, within which `number` is unique.
pub fn submission_batch_key(controller: &ControllerName, lease_id: u64, number: u64) -> String {
    format!("{SUBMISSION_BATCH_PREFIX}{controller}.{lease_id}.{number}")
}

/// Whether the key belongs to a submission batch.
pub fn is_submission_batch_key(key: &str) -> bool {
    key.starts_with(SUBMISSION_BATCH_PREFIX)
}

/// ID of the job whose open job or final state has this key; `None` for other keys.
pub fn job_id_of_key(key: &str) -> Option<JobId> {
    parse_job_key(key, OPEN_JOBS_PREFIX).or_else(|| parse_job_key(key, FINAL_STATES_PREFIX))
}

/// Job ID in a key that consists of `prefix` and the ID; `None` for other keys.
pub(super) fn parse_job_key(key: &str, prefix: &str) -> Option<JobId> {
    key.strip_prefix(prefix)?.parse().ok()
}

/// Stored form of a submission batch.
#[derive(Serialize, Deserialize)]
struct StoredSubmissionBatch<J> {
    #[serde(rename = "v")]
    format_version: u32,
    jobs: Vec<J>,
}

/// Value of a submission batch.
pub fn submission_batch_value(jobs: &[&Job]) -> Value {
    serde_json::json!(StoredSubmissionBatch {
        format_version: SUBMISSION_BATCH_FORMAT_VERSION,
        jobs: jobs.to_vec(),
    })
}

/// Reads a submission batch; `None` if its format is unknown, in which case the batch is not split.
pub(super) fn read_submission_batch(
    key: &str,
    value: &Value,
    version: Revision,
) -> Option<SubmissionBatch> {
    match StoredSubmissionBatch::<Job>::deserialize(value) {
        Ok(stored) if stored.format_version == SUBMISSION_BATCH_FORMAT_VERSION => {
            Some(SubmissionBatch {
                jobs: stored.jobs.into_iter().map(Rc::new).collect(),
                version,
            })
        }
        _ => {
            tracing::error!(
                key,
                "submission batch in the store is unreadable, not split"
            );
            None
        }
    }
}

/// Value of a final state.
pub fn final_state_value(state: JobState) -> Value {
    serde_json::json!({ "state": state })
}

/// Value of the final state of a cancelled job, with the job itself if available. Its tasks use resources until they
/// have stopped; a later leader, for which the job was never open, needs the job to count them.
pub fn cancelled_state_value(job: Option<&Job>) -> Value {
    let mut value = final_state_value(JobState::Cancelled);
    if let Some(job) = job {
        value["job"] = serde_json::json!(job);
    }
    value
}

/// Reads the job stored with its final state; `None` if the value contains none.
pub fn read_cancelled_job(value: &Value) -> Option<Job> {
    serde_json::from_value(value.get("job")?.clone()).ok()
}

/// Reads a final state; `None` if the value is malformed.
pub fn read_final_state(value: &Value) -> Option<JobState> {
    serde_json::from_value(value.get("state")?.clone()).ok()
}
