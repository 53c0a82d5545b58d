//! Resolution of requests about jobs: from a job cache that has caught up with the store to the next step.
//! Pure functions; the controller takes the step they return.

use std::collections::BTreeMap;

use worksshunt_wire::key_value::{Change, CompareAndSwap, ExpectedRevision};
use worksshunt_wire::user::{JobState, JobStatus};
use worksshunt_wire::{JobId, Revision};

use crate::jobs::{cancelled_state_value, final_state_key, open_job_key, Job, JobCache, OpenJob};
use crate::submissions::Refusal;

use super::{final_state_response, HttpResponse, RequestId};

/// The operation that a request asks for.
#[derive(Debug, Clone, PartialEq)]
pub enum JobOperation {
    /// Read a job's state.
    Status,
    /// Cancel a job.
    Cancel,
    /// Submit a job whose id may be known already.
    Submit(Box<Job>),
    /// A submission that is refused unless its id is known already.
    Unacceptable(Refusal),
}

/// A request about a job.
#[derive(Debug, Clone, PartialEq)]
pub struct JobRequest {
    /// The client's request.
    pub request_id: RequestId,
    /// The job.
    pub id: JobId,
    /// What to do.
    pub operation: JobOperation,
    /// Whether the job was seen in a submission batch, and so is known.
    pub seen_in_batch: bool,
}

/// The next step for a request.
#[derive(Debug, Clone, PartialEq)]
pub enum JobRequestStep {
    /// Send the response.
    Respond(RequestId, HttpResponse),
    /// Look up whether the job has a final state.
    LookUpFinal(JobRequest),
    /// Write the cancellation.
    Cancel(JobRequest, CompareAndSwap),
    /// Resolve it again once the cache has caught up once more.
    ResolveAgain(JobRequest),
    /// Write the job to accept it.
    Accept(RequestId, Box<Job>),
}

/// Progress of an open job, for display.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct JobProgress {
    /// Completed tasks.
    pub done: u32,
    /// Running tasks.
    pub running: u32,
}

/// Progress by job, as the leader last sent it.
pub type Progress = BTreeMap<JobId, JobProgress>;

/// Resolves a request from a cache that has caught up with the store.
pub fn resolve(
    mut job_request: JobRequest,
    job_cache: &JobCache,
    progress: &Progress,
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
            HttpResponse::retry_later("another version's job"),
        );
    }
    let Some(open) = job_cache.get(id) else {
        job_request.seen_in_batch |= job_cache.is_in_batch(id);
        return JobRequestStep::LookUpFinal(job_request);
    };
    match &job_request.operation {
        JobOperation::Cancel => {
            let write = cancellation_write(id, Some(open));
            JobRequestStep::Cancel(job_request, write)
        }
        JobOperation::Status | JobOperation::Submit(_) | JobOperation::Unacceptable(_) => {
            let progress = progress.get(&id).copied().unwrap_or_default();
            JobRequestStep::Respond(job_request.request_id, open_job_response(id, progress))
        }
    }
}

/// Resolves a request about a job that has no final state. A job seen in a submission batch is pending if it
/// has no key of its own yet; otherwise it has been opened since, so the cache has to catch up once more.
pub fn resolve_without_final_state(
    job_request: JobRequest,
    job_cache: &JobCache,
) -> JobRequestStep {
    let id = job_request.id;
    if !job_request.seen_in_batch {
        return resolve_unknown(job_request);
    }
    if job_cache.get(id).is_some() || !job_cache.is_in_batch(id) {
        return JobRequestStep::ResolveAgain(job_request);
    }
    match job_request.operation {
        JobOperation::Cancel => JobRequestStep::Cancel(job_request, cancellation_write(id, None)),
        JobOperation::Status | JobOperation::Submit(_) | JobOperation::Unacceptable(_) => {
            JobRequestStep::Respond(
                job_request.request_id,
                HttpResponse::job_state(200, id, JobState::Pending),
            )
        }
    }
}

/// Resolves a request about a job that is neither open nor closed.
fn resolve_unknown(job_request: JobRequest) -> JobRequestStep {
    match job_request.operation {
        JobOperation::Status | JobOperation::Cancel => JobRequestStep::Respond(
            job_request.request_id,
            HttpResponse::error(404, "no such job"),
        ),
        JobOperation::Submit(job) => JobRequestStep::Accept(job_request.request_id, job),
        JobOperation::Unacceptable(refusal) => {
            JobRequestStep::Respond(job_request.request_id, HttpResponse::refused(&refusal))
        }
    }
}

fn open_job_response(id: JobId, progress: JobProgress) -> HttpResponse {
    let state = if progress.running > 0 {
        JobState::Running
    } else {
        JobState::Pending
    };
    let status = JobStatus {
        id,
        state,
        done_tasks: Some(progress.done),
        running_tasks: Some(progress.running),
    };
    HttpResponse::json(200, &status)
}

/// The cancellation of an open job, or of one in a submission batch that has no key of its own yet.
fn cancellation_write(id: JobId, open: Option<&OpenJob>) -> CompareAndSwap {
    let version = open.map_or(Revision(0), |open| open.version);
    let condition = |key: String, version| ExpectedRevision { key, version };
    let mut write = CompareAndSwap {
        expected: vec![
            condition(open_job_key(id), version),
            condition(final_state_key(id), Revision(0)),
        ],
        changes: vec![Change::Put {
            key: final_state_key(id),
            value: cancelled_state_value(open.map(|open| &*open.job)),
            lease_id: None,
        }],
    };
    if open.is_some() {
        write.changes.push(Change::Delete {
            key: open_job_key(id),
        });
    }
    write
}
