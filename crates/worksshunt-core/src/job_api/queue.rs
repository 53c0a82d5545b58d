//! Queues of requests and submissions that wait for the key-value store, and the batching of submissions.

use std::collections::VecDeque;

use worksshunt_wire::key_value::{Change, CompareAndSwap, ExpectedRevision};
use worksshunt_wire::settings::KeyValueLimits;
use worksshunt_wire::{JobId, Revision};

use crate::constants::job_api::{SUBMISSION_BATCH_THRESHOLD, SUBMISSION_TIMEOUT_MS};
use crate::constants::pages::PAGES_PER_WRITE;
use crate::jobs::{final_state_key, open_job_key, submission_batch_value, Job};
use crate::pages::max_page_bytes;
use crate::time::Time;

use super::{JobRequest, RequestId};

/// Maximum number of batched jobs in a write per change that the write may have: the protocol allows four conditions
/// per change, and each job takes two.
const BATCHED_JOBS_PER_CHANGE: usize = 2;

/// A submission that is not written yet.
#[derive(Debug, Clone)]
pub struct PendingSubmission {
    /// Time at which it was queued; [`SUBMISSION_TIMEOUT_MS`] counts from here.
    pub queued_at: Time,
    /// Request to respond to.
    pub request_id: RequestId,
    /// Job to accept.
    pub job: Box<Job>,
}

/// Queues of requests and submissions. At most one catch-up read and one write are in flight at a time.
#[derive(Debug)]
pub struct JobApiQueues {
    /// Maximum number of requests and submissions, queued or in flight.
    capacity: usize,
    /// Requests queued for the next catch-up read.
    queued_requests: Vec<JobRequest>,
    /// Requests waiting for the catch-up read in flight.
    requests_in_read: Vec<JobRequest>,
    /// Submissions queued for the next write.
    queued_submissions: VecDeque<PendingSubmission>,
    /// Submissions in the write in flight.
    submissions_in_write: Vec<PendingSubmission>,
}

impl JobApiQueues {
    /// Empty queues for at most `capacity` requests and submissions together.
    pub fn new(capacity: usize) -> JobApiQueues {
        JobApiQueues {
            capacity,
            queued_requests: Vec::new(),
            requests_in_read: Vec::new(),
            queued_submissions: VecDeque::new(),
            submissions_in_write: Vec::new(),
        }
    }

    /// Whether the queues are at capacity. The caller refuses further requests.
    pub fn is_full(&self) -> bool {
        self.queued_requests.len()
            + self.requests_in_read.len()
            + self.queued_submissions.len()
            + self.submissions_in_write.len()
            >= self.capacity
    }

    /// Queues a request for the next catch-up read.
    pub fn queue_request(&mut self, job_request: JobRequest) {
        self.queued_requests.push(job_request);
    }

    /// Whether a catch-up read should be sent: requests are queued for one, and none is in flight.
    pub fn needs_read(&self) -> bool {
        !self.queued_requests.is_empty() && self.requests_in_read.is_empty()
    }

    /// Records that a catch-up read was sent for all queued requests.
    pub fn start_read(&mut self) {
        self.requests_in_read = std::mem::take(&mut self.queued_requests);
    }

    /// Records that the catch-up read was answered or failed. Returns its requests, to be resolved or refused.
    pub fn finish_read(&mut self) -> Vec<JobRequest> {
        std::mem::take(&mut self.requests_in_read)
    }

    /// Queues a submission for the next write.
    pub fn queue_submission(&mut self, now: Time, request_id: RequestId, job: Box<Job>) {
        self.queued_submissions.push_back(PendingSubmission {
            queued_at: now,
            request_id,
            job,
        });
    }

    /// Returns submissions whose write was not executed to the front of the queue, in their original order.
    pub fn requeue_submissions(&mut self, submissions: Vec<PendingSubmission>) {
        for submission in submissions.into_iter().rev() {
            self.queued_submissions.push_front(submission);
        }
    }

    /// Removes submissions queued for [`SUBMISSION_TIMEOUT_MS`] or longer. Returns their requests, to be answered with
    /// a retry.
    pub fn take_overdue_submissions(&mut self, now: Time) -> Vec<RequestId> {
        let mut overdue = Vec::new();
        self.queued_submissions.retain(|submission| {
            let is_overdue = now.since(submission.queued_at) >= SUBMISSION_TIMEOUT_MS;
            if is_overdue {
                overdue.push(submission.request_id);
            }
            !is_overdue
        });
        overdue
    }

    /// Whether a write should be sent: submissions are queued for one, and none is in flight.
    pub fn needs_write(&self) -> bool {
        !self.queued_submissions.is_empty() && self.submissions_in_write.is_empty()
    }

    /// Next compare-and-swap that accepts jobs, with at most `max_changes` changes; `None` if there is nothing to
    /// write. It is conditional on every job's ID being neither open nor closed.
    ///
    /// Above [`SUBMISSION_BATCH_THRESHOLD`] queued submissions the jobs are batched under shared keys, which saves
    /// changes. `next_batch_key` returns the key of the next batch; without it (a controller without a lease) every job
    /// is written under its own key.
    pub fn next_write(
        &mut self,
        max_changes: usize,
        limits: &KeyValueLimits,
        next_batch_key: Option<impl FnMut() -> String>,
    ) -> Option<CompareAndSwap> {
        let mut write = CompareAndSwap::default();
        match next_batch_key {
            Some(mut next_batch_key)
                if self.queued_submissions.len() > SUBMISSION_BATCH_THRESHOLD =>
            {
                while write.changes.len() < max_changes.min(PAGES_PER_WRITE) {
                    if !self.add_submission_batch(&mut write, limits, &mut next_batch_key) {
                        break;
                    }
                }
            }
            _ => self.add_single_submissions(&mut write, max_changes),
        }
        (!write.changes.is_empty()).then_some(write)
    }

    /// Adds submissions to the compare-and-swap, each under its own key.
    fn add_single_submissions(&mut self, write: &mut CompareAndSwap, max_changes: usize) {
        while write.changes.len() < max_changes
            && self.add_next_submission(write, usize::MAX).is_some()
        {
            let Some(PendingSubmission { job, .. }) = self.submissions_in_write.last() else {
                break;
            };
            write.changes.push(Change::Put {
                key: open_job_key(job.spec.id),
                value: serde_json::json!(job),
                lease_id: None,
            });
        }
    }

    /// Adds a batch of submissions to the compare-and-swap. Returns false if no queued submission can be added, or if
    /// the compare-and-swap has reached its maximum number of conditions.
    fn add_submission_batch(
        &mut self,
        write: &mut CompareAndSwap,
        limits: &KeyValueLimits,
        next_batch_key: &mut impl FnMut() -> String,
    ) -> bool {
        // The key of each batch takes one more condition.
        let max_jobs = (limits.max_transaction_changes * BATCHED_JOBS_PER_CHANGE)
            .saturating_sub(PAGES_PER_WRITE)
            .max(1);
        let first = self.submissions_in_write.len();
        // The first job is added regardless of its size, the others while the page has space.
        let mut free_bytes = usize::MAX;
        while self.submissions_in_write.len() < max_jobs {
            let Some(job_bytes) = self.add_next_submission(write, free_bytes) else {
                break;
            };
            free_bytes = free_bytes
                .min(max_page_bytes(limits))
                .saturating_sub(job_bytes);
        }
        let submissions = self.submissions_in_write[first..].iter();
        let jobs: Vec<&Job> = submissions.map(|submission| &*submission.job).collect();
        if jobs.is_empty() {
            return false;
        }
        let key = next_batch_key();
        write.expected.push(ExpectedRevision {
            key: key.clone(),
            version: Revision(0),
        });
        write.changes.push(Change::Put {
            key,
            value: submission_batch_value(&jobs),
            lease_id: None,
        });
        true
    }

    /// Moves the next queued submission into the write and adds its conditions. Returns its size in bytes; `None` if
    /// none is queued, its size exceeds `max_bytes`, or a job with the same ID is in the write.
    fn add_next_submission(
        &mut self,
        write: &mut CompareAndSwap,
        max_bytes: usize,
    ) -> Option<usize> {
        let job = &self.queued_submissions.front()?.job;
        let id = job.spec.id;
        // One more byte for the comma between jobs.
        let bytes = serde_json::to_string(job).map_or(usize::MAX, |text| text.len() + 1);
        if self.is_being_written(id) || bytes > max_bytes {
            return None;
        }
        self.submissions_in_write
            .extend(self.queued_submissions.pop_front());
        for key in [open_job_key(id), final_state_key(id)] {
            write.expected.push(ExpectedRevision {
                key,
                version: Revision(0),
            });
        }
        Some(bytes)
    }

    fn is_being_written(&self, id: JobId) -> bool {
        let mut submissions = self.submissions_in_write.iter();
        submissions.any(|submission| submission.job.spec.id == id)
    }

    /// Records that the write was answered or failed. Returns its submissions.
    pub fn finish_write(&mut self) -> Vec<PendingSubmission> {
        std::mem::take(&mut self.submissions_in_write)
    }

    /// Removes all requests and submissions that are not in flight. Returns their request IDs, to be answered with a
    /// retry.
    pub fn take_queued(&mut self) -> Vec<RequestId> {
        let job_requests = self.queued_requests.drain(..);
        let submissions = self.queued_submissions.drain(..);
        job_requests
            .map(|job_request| job_request.request_id)
            .chain(submissions.map(|submission| submission.request_id))
            .collect()
    }
}
