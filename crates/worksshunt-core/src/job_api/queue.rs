//! Requests and submissions that wait for the key-value store, and the batching of submissions.

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

/// Batched jobs that a write may hold for each change that it may have: it may have four conditions for each
/// change (protocol), and a job takes two.
const BATCHED_JOBS_PER_CHANGE: usize = 2;

/// A submission that waits to be written.
#[derive(Debug, Clone)]
pub struct PendingSubmission {
    /// When it came in.
    pub received_at: Time,
    /// The client's request.
    pub request_id: RequestId,
    /// The job.
    pub job: Box<Job>,
}

/// Requests and submissions that wait for the key-value store. At most one catch-up read and one write are
/// in flight at a time.
#[derive(Debug)]
pub struct JobApi {
    /// Maximum number of requests that may wait.
    capacity: usize,
    /// Requests that wait for the next catch-up read to be sent.
    awaiting_read: Vec<JobRequest>,
    /// Requests that wait for the response of the one in flight.
    in_read: Vec<JobRequest>,
    /// Submissions that wait for the next write.
    awaiting_write: VecDeque<PendingSubmission>,
    /// Submissions in the write in flight.
    in_write: Vec<PendingSubmission>,
}

impl JobApi {
    /// Empty, for at most so many waiting requests.
    pub fn new(capacity: usize) -> JobApi {
        JobApi {
            capacity,
            awaiting_read: Vec::new(),
            in_read: Vec::new(),
            awaiting_write: VecDeque::new(),
            in_write: Vec::new(),
        }
    }

    /// Whether as many requests wait as may.
    pub fn is_full(&self) -> bool {
        self.awaiting_read.len()
            + self.in_read.len()
            + self.awaiting_write.len()
            + self.in_write.len()
            >= self.capacity
    }

    /// Queues a request for the next catch-up read.
    pub fn queue_request(&mut self, job_request: JobRequest) {
        self.awaiting_read.push(job_request);
    }

    /// Whether requests wait for a catch-up read and none is in flight.
    pub fn read_due(&self) -> bool {
        !self.awaiting_read.is_empty() && self.in_read.is_empty()
    }

    /// A catch-up read was sent for all requests that wait.
    pub fn read_sent(&mut self) {
        self.in_read = std::mem::take(&mut self.awaiting_read);
    }

    /// The catch-up read was answered. Returns its requests, to be resolved or refused.
    pub fn read_answered(&mut self) -> Vec<JobRequest> {
        std::mem::take(&mut self.in_read)
    }

    /// Queues a submission to be written.
    pub fn queue_submission(&mut self, now: Time, request_id: RequestId, job: Box<Job>) {
        self.awaiting_write.push_back(PendingSubmission {
            received_at: now,
            request_id,
            job,
        });
    }

    /// Puts submissions whose write was not executed back at the front of the queue, in their order.
    pub fn requeue_submissions(&mut self, submissions: Vec<PendingSubmission>) {
        for submission in submissions.into_iter().rev() {
            self.awaiting_write.push_front(submission);
        }
    }

    /// Removes the submissions that have waited for [`SUBMISSION_TIMEOUT_MS`]. Returns their requests, to be
    /// refused with a retry.
    pub fn take_overdue(&mut self, now: Time) -> Vec<RequestId> {
        let mut overdue = Vec::new();
        self.awaiting_write.retain(|submission| {
            let is_overdue = now.since(submission.received_at) >= SUBMISSION_TIMEOUT_MS;
            if is_overdue {
                overdue.push(submission.request_id);
            }
            !is_overdue
        });
        overdue
    }

    /// Whether submissions wait and none is being written.
    pub fn write_due(&self) -> bool {
        !self.awaiting_write.is_empty() && self.in_write.is_empty()
    }

    /// The next compare-and-swap that accepts jobs, with at most `max_changes` changes; `None` if there is
    /// nothing to write. Each job is accepted only if its id is neither open nor closed.
    ///
    /// Where many submissions wait they share keys, so that a burst of submissions is no burst of changes.
    /// `next_batch_key` returns those keys; there is none for a controller without a lease, in which case
    /// each job has a key of its own.
    pub fn next_write(
        &mut self,
        max_changes: usize,
        limits: &KeyValueLimits,
        next_batch_key: Option<impl FnMut() -> String>,
    ) -> Option<CompareAndSwap> {
        let mut write = CompareAndSwap::default();
        match next_batch_key {
            Some(mut next_batch_key) if self.awaiting_write.len() > SUBMISSION_BATCH_THRESHOLD => {
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

    /// Adds submissions to the compare-and-swap, each under a key of its own.
    fn add_single_submissions(&mut self, write: &mut CompareAndSwap, max_changes: usize) {
        while write.changes.len() < max_changes
            && self.add_next_submission(write, usize::MAX).is_some()
        {
            let Some(PendingSubmission { job, .. }) = self.in_write.last() else {
                break;
            };
            write.changes.push(Change::Put {
                key: open_job_key(job.spec.id),
                value: serde_json::json!(job),
                lease_id: None,
            });
        }
    }

    /// Adds a batch of submissions to the compare-and-swap. Returns false if none waits that can be added, or if
    /// the compare-and-swap has as many conditions as it may.
    fn add_submission_batch(
        &mut self,
        write: &mut CompareAndSwap,
        limits: &KeyValueLimits,
        next_batch_key: &mut impl FnMut() -> String,
    ) -> bool {
        // The key of each batch takes a condition as well.
        let max_jobs = (limits.max_transaction_changes * BATCHED_JOBS_PER_CHANGE)
            .saturating_sub(PAGES_PER_WRITE)
            .max(1);
        let first = self.in_write.len();
        // The first job is added whatever its size, the others as long as the page has space.
        let mut free_bytes = usize::MAX;
        while self.in_write.len() < max_jobs {
            let Some(job_bytes) = self.add_next_submission(write, free_bytes) else {
                break;
            };
            free_bytes = free_bytes
                .min(max_page_bytes(limits))
                .saturating_sub(job_bytes);
        }
        let submissions = self.in_write[first..].iter();
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

    /// Moves the next submission to those being written and adds its conditions, unless it takes more than
    /// `max_bytes` or its id is among those being written already. Returns the bytes it takes.
    fn add_next_submission(
        &mut self,
        write: &mut CompareAndSwap,
        max_bytes: usize,
    ) -> Option<usize> {
        let job = &self.awaiting_write.front()?.job;
        let id = job.spec.id;
        // One more for the comma that separates it from the next.
        let bytes = serde_json::to_string(job).map_or(usize::MAX, |text| text.len() + 1);
        if self.is_being_written(id) || bytes > max_bytes {
            return None;
        }
        self.in_write.extend(self.awaiting_write.pop_front());
        for key in [open_job_key(id), final_state_key(id)] {
            write.expected.push(ExpectedRevision {
                key,
                version: Revision(0),
            });
        }
        Some(bytes)
    }

    fn is_being_written(&self, id: JobId) -> bool {
        let mut submissions = self.in_write.iter();
        submissions.any(|submission| submission.job.spec.id == id)
    }

    /// The write in flight was answered. Returns the submissions that were in it.
    pub fn write_answered(&mut self) -> Vec<PendingSubmission> {
        std::mem::take(&mut self.in_write)
    }

    /// Removes all requests and submissions that wait and are not in flight. Returns them, to be refused.
    pub fn take_all(&mut self) -> Vec<RequestId> {
        let job_requests = self.awaiting_read.drain(..);
        let submissions = self.awaiting_write.drain(..);
        job_requests
            .map(|job_request| job_request.request_id)
            .chain(submissions.map(|submission| submission.request_id))
            .collect()
    }
}
