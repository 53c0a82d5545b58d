//! Users' requests: what each waits for, and its answer.
//!
//! A question about a job is answered only after the mirror has caught up with the store by a read
//! sent after the question came in; one read serves all that wait. So no controller gives an older
//! answer than another gave.

use std::collections::{BTreeMap, VecDeque};

use serde::Serialize;
use worksshunt_wire::key_value::{Change, CompareAndSwap, ExpectedRevision};
use worksshunt_wire::settings::KeyValueLimits;
use worksshunt_wire::user::{JobState, JobStatus};
use worksshunt_wire::{JobId, Revision};

use crate::constants::job_api::{RETRY_AFTER_S, SUBMISSION_BATCH_THRESHOLD, SUBMISSION_TIMEOUT_MS};
use crate::constants::pages::PAGES_PER_WRITE;
use crate::jobs::{
    cancelled_state_value, final_state_key, open_job_key, submission_batch_value, Job, JobCache,
    OpenJob,
};
use crate::pages::page_bytes;
use crate::submissions::Refusal;
use crate::time::Time;

/// Names an open request of some client.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// An answer to a client.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HttpResponse {
    /// HTTP status.
    pub status: u16,
    /// JSON body.
    pub body: String,
    /// Seconds after which to come back.
    pub retry_after_s: Option<u64>,
}

impl HttpResponse {
    /// An answer with a JSON body.
    pub fn json(status: u16, body: &impl Serialize) -> HttpResponse {
        match serde_json::to_string(body) {
            Ok(body) => HttpResponse {
                status,
                body,
                retry_after_s: None,
            },
            Err(error) => HttpResponse::error(500, &error.to_string()),
        }
    }

    /// An answer that names an error.
    pub fn error(status: u16, text: &str) -> HttpResponse {
        HttpResponse {
            status,
            body: serde_json::json!({ "error": text }).to_string(),
            retry_after_s: None,
        }
    }

    /// The request cannot be served now.
    pub fn retry_later(text: &str) -> HttpResponse {
        HttpResponse {
            retry_after_s: Some(RETRY_AFTER_S),
            ..HttpResponse::error(503, text)
        }
    }

    /// A permanent refusal of a submission.
    pub fn refused(refusal: &Refusal) -> HttpResponse {
        let status = match refusal {
            Refusal::Malformed(_) => 400,
            Refusal::Impossible(_) => 422,
        };
        HttpResponse::error(status, &refusal.to_string())
    }

    fn job_state(status: u16, id: JobId, state: JobState) -> HttpResponse {
        HttpResponse::json(
            status,
            &JobStatus {
                id,
                state,
                done: None,
                running: None,
            },
        )
    }
}

/// What a request wants to know or do.
#[derive(Debug, Clone, PartialEq)]
pub enum JobOperation {
    /// A job's state.
    Status,
    /// Cancel a job.
    Cancel,
    /// Submit a job that may be known already.
    Submit(Box<Job>),
    /// Submit something unacceptable, under an id that may be known already.
    Unacceptable(Refusal),
}

/// A request about a job.
#[derive(Debug, Clone, PartialEq)]
pub struct JobRequest {
    /// The request.
    pub request_id: RequestId,
    /// The job.
    pub id: JobId,
    /// What is wanted.
    pub operation: JobOperation,
    /// It was seen on a page of jobs taken in together, and so is known.
    pub seen_in_batch: bool,
}

/// What follows from an ask.
#[derive(Debug, Clone, PartialEq)]
pub enum JobRequestStep {
    /// The answer.
    Respond(RequestId, HttpResponse),
    /// Look whether the job has a final state.
    LookUpFinal(JobRequest),
    /// Write the cancellation.
    Cancel(JobRequest, CompareAndSwap),
    /// Resolve it anew from a later mirror.
    ResolveAgain(JobRequest),
    /// Try to accept it.
    Accept(RequestId, Box<Job>),
}

/// Done and running tasks for display.
pub type Progress = BTreeMap<JobId, (u32, u32)>;

/// The cancellation of an open job, or of one that has no key of its own yet.
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
            lease: None,
        }],
    };
    if open.is_some() {
        write.changes.push(Change::Delete {
            key: open_job_key(id),
        });
    }
    write
}

/// Answers an ask from an up-to-date mirror.
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
            let (done, running) = progress.get(&id).copied().unwrap_or_default();
            let state = if running > 0 {
                JobState::Running
            } else {
                JobState::Pending
            };
            let status = JobStatus {
                id,
                state,
                done: Some(done),
                running: Some(running),
            };
            JobRequestStep::Respond(job_request.request_id, HttpResponse::json(200, &status))
        }
    }
}

/// Answers an ask about a job that has no final state. One that was taken in is pending, if it has
/// no key of its own yet; otherwise the mirror has to be asked again.
pub fn resolve_without_final_state(
    job_request: JobRequest,
    job_cache: &JobCache,
) -> JobRequestStep {
    let id = job_request.id;
    if !job_request.seen_in_batch {
        return unknown(job_request);
    }
    if job_cache.get(id).is_some() || !job_cache.is_in_batch(id) {
        return JobRequestStep::ResolveAgain(job_request);
    }
    match job_request.operation {
        JobOperation::Cancel => JobRequestStep::Cancel(job_request, cancellation_write(id, None)),
        _ => JobRequestStep::Respond(
            job_request.request_id,
            HttpResponse::job_state(200, id, JobState::Pending),
        ),
    }
}

/// Answers an ask about a job that is neither open nor final.
fn unknown(job_request: JobRequest) -> JobRequestStep {
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

/// The answer about a job that is over.
pub fn final_state_response(job_request: &JobRequest, state: JobState) -> HttpResponse {
    HttpResponse::job_state(200, job_request.id, state)
}

/// The answer to an accepted submission.
pub fn accepted_response(id: JobId) -> HttpResponse {
    HttpResponse::job_state(201, id, JobState::Pending)
}

/// A submission that waits to be written, and since when.
pub type PendingSubmission = (Time, RequestId, Box<Job>);

/// Requests that wait for the state service.
#[derive(Debug)]
pub struct JobApi {
    /// Requests that may wait.
    capacity: usize,
    /// Waiting for the next catch-up read to be sent.
    awaiting_read: Vec<JobRequest>,
    /// Waiting for the answer of the one under way.
    in_read: Vec<JobRequest>,
    /// Submissions with the time they came in.
    awaiting_write: VecDeque<PendingSubmission>,
    in_write: Vec<PendingSubmission>,
}

impl JobApi {
    /// Nobody waits; so many requests may.
    pub fn new(most: usize) -> JobApi {
        JobApi {
            capacity: most,
            awaiting_read: Vec::new(),
            in_read: Vec::new(),
            awaiting_write: VecDeque::new(),
            in_write: Vec::new(),
        }
    }

    /// Whether another request would be one too many.
    pub fn is_full(&self) -> bool {
        self.awaiting_read.len()
            + self.in_read.len()
            + self.awaiting_write.len()
            + self.in_write.len()
            >= self.capacity
    }

    /// An ask waits for the next catch-up read.
    pub fn queue_request(&mut self, job_request: JobRequest) {
        self.awaiting_read.push(job_request);
    }

    /// Whether a catch-up read is wanted and none is under way.
    pub fn read_due(&self) -> bool {
        !self.awaiting_read.is_empty() && self.in_read.is_empty()
    }

    /// A catch-up read is sent for all that wait.
    pub fn read_sent(&mut self) {
        self.in_read = std::mem::take(&mut self.awaiting_read);
    }

    /// The catch-up read is answered: these asks can be resolved, or refused.
    pub fn read_answered(&mut self) -> Vec<JobRequest> {
        std::mem::take(&mut self.in_read)
    }

    /// A submission waits to be written.
    pub fn queue_submission(&mut self, now: Time, request: RequestId, job: Box<Job>) {
        self.awaiting_write.push_back((now, request, job));
    }

    /// Submissions whose write was not executed wait for the next one.
    pub fn requeue_submissions(&mut self, submissions: Vec<PendingSubmission>) {
        for submission in submissions.into_iter().rev() {
            self.awaiting_write.push_front(submission);
        }
    }

    /// Submissions that have waited so long that their users should rather come back.
    pub fn take_overdue(&mut self, now: Time) -> Vec<RequestId> {
        let mut overdue = Vec::new();
        self.awaiting_write.retain(|(since, request, _)| {
            let late = now.since(*since) >= SUBMISSION_TIMEOUT_MS;
            if late {
                overdue.push(*request);
            }
            !late
        });
        overdue
    }

    /// Whether submissions wait and none is being written.
    pub fn write_due(&self) -> bool {
        !self.awaiting_write.is_empty() && self.in_write.is_empty()
    }

    /// The next transaction that accepts jobs, with at most so many changes. Each job is accepted
    /// only if its id is neither open nor final. Where many wait they share keys, which `intake`
    /// names if it can, so that a burst of submissions is no burst of changes.
    pub fn next_write(
        &mut self,
        most: usize,
        limits: &KeyValueLimits,
        intake: Option<impl FnMut() -> String>,
    ) -> Option<CompareAndSwap> {
        let mut write = CompareAndSwap::default();
        match intake {
            Some(mut name) if self.awaiting_write.len() > SUBMISSION_BATCH_THRESHOLD => {
                while write.changes.len() < most.min(PAGES_PER_WRITE) {
                    if !self.add_submission_batch(&mut write, limits, &mut name) {
                        break;
                    }
                }
            }
            _ => {
                while write.changes.len() < most
                    && self.add_next_submission(&mut write, usize::MAX).is_some()
                {
                    let Some((_, _, job)) = self.in_write.last() else {
                        break;
                    };
                    write.changes.push(Change::Put {
                        key: open_job_key(job.spec.id),
                        value: serde_json::json!(job),
                        lease: None,
                    });
                }
            }
        }
        (!write.changes.is_empty()).then_some(write)
    }

    /// Adds a page of jobs to the transaction; false if there is none, or no room for conditions.
    fn add_submission_batch(
        &mut self,
        write: &mut CompareAndSwap,
        limits: &KeyValueLimits,
        name: &mut impl FnMut() -> String,
    ) -> bool {
        // Two conditions a job and one a page, of four a change (protocol).
        let most = (limits.txn_ops * 2).saturating_sub(PAGES_PER_WRITE).max(1);
        let first = self.in_write.len();
        let mut room = usize::MAX;
        while self.in_write.len() < most {
            let Some(size) = self.add_next_submission(write, room) else {
                break;
            };
            room = room.min(page_bytes(limits)).saturating_sub(size);
        }
        let jobs: Vec<&Job> = self.in_write[first..].iter().map(|s| &*s.2).collect();
        if jobs.is_empty() {
            return false;
        }
        let key = name();
        write.expected.push(ExpectedRevision {
            key: key.clone(),
            version: Revision(0),
        });
        write.changes.push(Change::Put {
            key,
            value: submission_batch_value(&jobs),
            lease: None,
        });
        true
    }

    /// Moves the next submission to those being accepted, with its conditions, if it takes at most so
    /// many bytes and is not among them already. Returns what it takes.
    fn add_next_submission(&mut self, write: &mut CompareAndSwap, room: usize) -> Option<usize> {
        let (_, _, job) = self.awaiting_write.front()?;
        let id = job.spec.id;
        let size = serde_json::to_string(job).map_or(usize::MAX, |text| text.len() + 1);
        let twice = self
            .in_write
            .iter()
            .any(|(_, _, other)| other.spec.id == id);
        if twice || size > room {
            return None;
        }
        self.in_write.extend(self.awaiting_write.pop_front());
        for key in [open_job_key(id), final_state_key(id)] {
            write.expected.push(ExpectedRevision {
                key,
                version: Revision(0),
            });
        }
        Some(size)
    }

    /// The transaction under way is answered: these submissions were in it.
    pub fn write_answered(&mut self) -> Vec<PendingSubmission> {
        std::mem::take(&mut self.in_write)
    }

    /// Gives up on everything that waits.
    pub fn take_all(&mut self) -> Vec<RequestId> {
        let job_requests = self
            .awaiting_read
            .drain(..)
            .map(|job_request| job_request.request_id);
        job_requests
            .chain(self.awaiting_write.drain(..).map(|(_, request, _)| request))
            .collect()
    }
}

#[cfg(test)]
mod tests;
