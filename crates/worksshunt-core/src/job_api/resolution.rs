//! Resolution of requests about jobs: determines the next step of a request from a job cache that has caught up with
//! the store. The functions are pure; the controller carries out the step.

use std::collections::BTreeMap;

use worksshunt_wire::key_value::{Change, CompareAndSwap, ExpectedRevision};
use worksshunt_wire::user::{JobState, JobStatus};
use worksshunt_wire::{JobId, Revision};

use crate::jobs::{cancelled_state_value, final_state_key, open_job_key, Job, JobCache, OpenJob};
use crate::submissions::Refusal;

use super::{final_state_response, HttpResponse, RequestId};

/// Operation of a request about a job.
#[derive(Debug, Clone, PartialEq)]
pub enum JobOperation {
    /// Return the job's state.
    Status,
    /// Cancel the job.
    Cancel,
    /// Submit a job whose ID may exist already, in which case the request is idempotent and returns its state.
    Submit(Box<Job>),
    /// Submit an invalid job: refused, unless the ID exists, in which case the job's state is returned.
    SubmitInvalid(Refusal),
}

/// A request about a job.
#[derive(Debug, Clone, PartialEq)]
pub struct JobRequest {
    /// Request to respond to.
    pub request_id: RequestId,
    /// ID of the job.
    pub id: JobId,
    /// Operation on the job.
    pub operation: JobOperation,
    /// Whether an earlier step found the job in a submission batch, which proves that it was accepted.
    pub was_in_batch: bool,
}

/// Next step of a request.
#[derive(Debug, Clone, PartialEq)]
pub enum JobRequestStep {
    /// Send the response.
    Respond(RequestId, HttpResponse),
    /// Read the job's final state from the store, and continue with [`resolve_without_final_state`] if there is none.
    LookUpFinalState(JobRequest),
    /// Write the cancellation, and resolve the request again if the write conflicts.
    Cancel(JobRequest, CompareAndSwap),
    /// Resolve the request again after another catch-up read.
    ResolveAgain(JobRequest),
    /// Queue the job for the next write of submissions.
    Accept(RequestId, Box<Job>),
}

/// Progress of an open job, for display only.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct JobProgress {
    /// Number of completed tasks.
    pub completed_tasks: u32,
    /// Number of running tasks.
    pub running_tasks: u32,
}

/// Progress by job, as of the leader's last message.
pub type ProgressByJob = BTreeMap<JobId, JobProgress>;

/// Resolves a request from a job cache that has caught up with the store since the request arrived.
pub fn resolve(
    mut job_request: JobRequest,
    job_cache: &JobCache,
    progress: &ProgressByJob,
) -> JobRequestStep {
    let id = job_request.id;
    if let Some(state) = job_cache.final_state(id) {
        return JobRequestStep::Respond(
            job_request.request_id,
            final_state_response(&job_request, state),
        );
    }
    if job_cache.is_unreadable(id) {
        return JobRequestStep::Respond(
            job_request.request_id,
            HttpResponse::retry_later("job was written by another version of the controller"),
        );
    }
    let Some(open_job) = job_cache.get(id) else {
        job_request.was_in_batch |= job_cache.is_in_submission_batch(id);
        return JobRequestStep::LookUpFinalState(job_request);
    };
    match &job_request.operation {
        JobOperation::Cancel => {
            let write = cancellation_write(id, Some(open_job));
            JobRequestStep::Cancel(job_request, write)
        }
        JobOperation::Status | JobOperation::Submit(_) | JobOperation::SubmitInvalid(_) => {
            let progress = progress.get(&id).copied().unwrap_or_default();
            JobRequestStep::Respond(job_request.request_id, open_job_response(id, progress))
        }
    }
}

/// Resolves a request about a job that was not open and has no final state. A job from a submission batch is pending
/// as long as it is in the batch only; otherwise it has been split off since, and needs another catch-up read.
pub fn resolve_without_final_state(
    job_request: JobRequest,
    job_cache: &JobCache,
) -> JobRequestStep {
    let id = job_request.id;
    if !job_request.was_in_batch {
        return resolve_unknown(job_request);
    }
    if job_cache.get(id).is_some() || !job_cache.is_in_submission_batch(id) {
        return JobRequestStep::ResolveAgain(job_request);
    }
    match job_request.operation {
        JobOperation::Cancel => JobRequestStep::Cancel(job_request, cancellation_write(id, None)),
        JobOperation::Status | JobOperation::Submit(_) | JobOperation::SubmitInvalid(_) => {
            JobRequestStep::Respond(
                job_request.request_id,
                HttpResponse::job_state(200, id, JobState::Pending),
            )
        }
    }
}

/// Resolves a request about a job that does not exist.
fn resolve_unknown(job_request: JobRequest) -> JobRequestStep {
    match job_request.operation {
        JobOperation::Status | JobOperation::Cancel => JobRequestStep::Respond(
            job_request.request_id,
            HttpResponse::error(404, "no such job"),
        ),
        JobOperation::Submit(job) => JobRequestStep::Accept(job_request.request_id, job),
        JobOperation::SubmitInvalid(refusal) => {
            JobRequestStep::Respond(job_request.request_id, HttpResponse::refused(&refusal))
        }
    }
}

fn open_job_response(id: JobId, progress: JobProgress) -> HttpResponse {
    let state = if progress.running_tasks > 0 {
        JobState::Running
    } else {
        JobState::Pending
    };
    let status = JobStatus {
        id,
        state,
        done_tasks: Some(progress.completed_tasks),
        running_tasks: Some(progress.running_tasks),
    };
    HttpResponse::json(200, &status)
}

/// Compare-and-swap that cancels a job; `open_job` is `None` for a job that is in a submission batch only.
fn cancellation_write(id: JobId, open_job: Option<&OpenJob>) -> CompareAndSwap {
    let version = open_job.map_or(Revision(0), |open_job| open_job.version);
    let condition = |key: String, version| ExpectedRevision { key, version };
    let mut write = CompareAndSwap {
        expected: vec![
            condition(open_job_key(id), version),
            condition(final_state_key(id), Revision(0)),
        ],
        changes: vec![Change::Put {
            key: final_state_key(id),
            value: cancelled_state_value(open_job.map(|open_job| &*open_job.job)),
            lease_id: None,
        }],
    };
    if open_job.is_some() {
        write.changes.push(Change::Delete {
            key: open_job_key(id),
        });
    }
    write
}
