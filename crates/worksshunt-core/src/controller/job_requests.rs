//! User requests about jobs, from the request to the response.
//!
//! A request waits for a read of the open jobs that is sent after its arrival ([`crate::job_api`]), so the response
//! reflects all earlier writes; one read serves all waiting requests. Submissions are accepted in `submissions` and
//! `accept_write`.

use worksshunt_wire::key_value::CompareAndSwap;
use worksshunt_wire::settings::KeyValueLimits;
use worksshunt_wire::user::JobState;
use worksshunt_wire::JobId;

use crate::constants::key_value::USER_READ_SHARE;
use crate::job_api::{
    final_state_response, resolve, HttpResponse, JobApiQueues, JobOperation, JobRequest,
    JobRequestStep, RequestId,
};
use crate::jobs::{FinalStateEvidence, JobCacheChange, OPEN_JOBS_PREFIX};
use crate::time::{PeriodicTimer, Time, TokenBucket};

use super::accept_write::AcceptWrite;
use super::final_state_lookups::FinalStateLookups;
use super::key_value_responses::RequestTimes;
use super::store_outage::STORE_UNRESPONSIVE;
use super::{call_store, Action, Controller, KvPurpose, KvRequest, KvResponse};

/// Pending user requests, and the state of the requests to the key-value store that serve them.
#[derive(Debug)]
pub(super) struct JobApiState {
    /// Requests that wait for the key-value store.
    pub queues: JobApiQueues,
    /// Whether the limit of pending requests was reached at the last check.
    was_full: bool,
    /// Rate limit of reads for users, [`USER_READ_SHARE`] of the key-value store's request limit.
    pub read_tokens: TokenBucket,
    catch_up_timer: PeriodicTimer,
    pub final_state_lookups: FinalStateLookups,
    pub accept_write: AcceptWrite,
}

impl JobApiState {
    /// Creates an empty state for at most `max_requests` pending requests.
    pub fn new(max_requests: usize, limits: &KeyValueLimits) -> JobApiState {
        let read_rate = limits.requests_per_s * USER_READ_SHARE;
        JobApiState {
            queues: JobApiQueues::new(max_requests),
            was_full: false,
            read_tokens: TokenBucket::new(read_rate, read_rate.max(1.0)),
            catch_up_timer: PeriodicTimer::default(),
            final_state_lookups: FinalStateLookups::default(),
            accept_write: AcceptWrite::default(),
        }
    }
}

impl Controller {
    /// Sends the reads and writes that user requests wait for, as far as the rate limits allow.
    pub(super) fn advance_job_api(&mut self, now: Time, actions: &mut Vec<Action>) {
        self.advance_catch_up_read(now, actions);
        self.advance_final_state_lookups(now, actions);
        self.advance_accept_write(now, actions);
    }

    fn advance_catch_up_read(&mut self, now: Time, actions: &mut Vec<Action>) {
        let job_api = &mut self.job_api;
        let may_read = job_api.read_tokens.available(now) > 0;
        if !job_api.catch_up_timer.is_due(now) || !job_api.queues.needs_read() || !may_read {
            return;
        }
        if let Some(since) = self.job_cache.revision() {
            job_api.queues.start_read();
            job_api.read_tokens.take(1);
            job_api.catch_up_timer.mark_sent(now, 0);
            let request = KvRequest::Watch {
                prefix: OPEN_JOBS_PREFIX.to_owned(),
                since,
                wait_ms: 0,
            };
            call_store(actions, KvPurpose::CatchUpOpenJobs, request);
        }
    }

    /// Processes a status request or a cancellation. `id` is the text from the request path.
    pub(super) fn handle_job_request(
        &mut self,
        now: Time,
        request_id: RequestId,
        id: &str,
        operation: JobOperation,
        actions: &mut Vec<Action>,
    ) {
        let response = match id.parse::<JobId>() {
            Err(_) => Some(HttpResponse::error(404, "no such job")),
            Ok(id) => {
                let job_request = JobRequest {
                    request_id,
                    id,
                    operation,
                    was_in_batch: false,
                };
                match self.job_cache.final_state(id) {
                    Some(state) => Some(final_state_response(&job_request, state)),
                    None => self.queue_job_request(now, job_request).err(),
                }
            }
        };
        if let Some(response) = response {
            actions.push(Action::Respond(request_id, response));
        }
    }

    /// Queues a request for the next read of the open jobs.
    ///
    /// # Errors
    ///
    /// The response to send at once, if the request cannot be queued.
    pub(super) fn queue_job_request(
        &mut self,
        now: Time,
        job_request: JobRequest,
    ) -> Result<(), HttpResponse> {
        if !self.job_cache.is_loaded() {
            return Err(HttpResponse::retry_later("starting"));
        }
        if self.store_health.is_unresponsive(now) {
            return Err(HttpResponse::retry_later(STORE_UNRESPONSIVE));
        }
        if self.is_job_api_full() {
            return Err(HttpResponse::retry_later("too many requests wait"));
        }
        self.job_api.queues.queue_request(job_request);
        Ok(())
    }

    /// Whether the limit of pending requests is reached. Logs when it becomes so.
    pub(super) fn is_job_api_full(&mut self) -> bool {
        let is_full = self.job_api.queues.is_full();
        let was_full = std::mem::replace(&mut self.job_api.was_full, is_full);
        if is_full && !was_full {
            let limit = self.capacity.user_requests;
            tracing::warn!(
                limit,
                "limit of pending user requests reached; rejecting new ones"
            );
        }
        is_full
    }

    /// Processes the response to the catch-up read: resolves the requests that waited for it, or rejects them after a
    /// failure.
    pub(super) fn process_catch_up_response(
        &mut self,
        times: RequestTimes,
        response: KvResponse,
        actions: &mut Vec<Action>,
    ) {
        let now = times.answered_at;
        self.job_api.catch_up_timer.schedule_next(now, 0);
        match response {
            KvResponse::WatchResponse(changes) if self.job_cache.is_loaded() => {
                self.apply_watch_response(times, &changes);
                for job_request in self.job_api.queues.finish_read() {
                    let step = resolve(job_request, &self.job_cache, &self.job_progress);
                    self.apply_job_request_step(now, step, actions);
                }
            }
            KvResponse::RevisionCompacted => self.reload_job_cache(actions),
            _ => {
                for job_request in self.job_api.queues.finish_read() {
                    let response = HttpResponse::retry_later(STORE_UNRESPONSIVE);
                    actions.push(Action::Respond(job_request.request_id, response));
                }
            }
        }
    }

    /// Executes the next step of a request.
    pub(super) fn apply_job_request_step(
        &mut self,
        now: Time,
        step: JobRequestStep,
        actions: &mut Vec<Action>,
    ) {
        match step {
            JobRequestStep::Respond(request_id, response) => {
                actions.push(Action::Respond(request_id, response));
            }
            JobRequestStep::LookUpFinalState(job_request) => {
                self.look_up_final_state(now, job_request, actions);
            }
            JobRequestStep::Cancel(job_request, write) => {
                self.write_cancellation(job_request, write, actions);
            }
            JobRequestStep::ResolveAgain(job_request) => {
                self.job_api.queues.queue_request(job_request);
            }
            JobRequestStep::Accept(request_id, job) => {
                self.job_api.queues.queue_submission(now, request_id, job);
            }
        }
    }

    fn write_cancellation(
        &mut self,
        job_request: JobRequest,
        write: CompareAndSwap,
        actions: &mut Vec<Action>,
    ) {
        let tokens = &mut self.write_queues.user_write_tokens;
        tokens.take(write.changes.len());
        let request = KvRequest::CompareAndSwap(write);
        call_store(actions, KvPurpose::CancelJob(job_request), request);
    }

    /// Processes the response to the write of a cancellation. After a conflict the request is resolved again.
    pub(super) fn process_cancellation_response(
        &mut self,
        now: Time,
        job_request: JobRequest,
        response: KvResponse,
        actions: &mut Vec<Action>,
    ) {
        match response {
            KvResponse::Committed(revision) => {
                let id = job_request.id;
                let evidence = FinalStateEvidence::Committed(revision);
                self.metrics.count_final_state(evidence);
                self.job_cache
                    .cache_final_state(id, JobState::Cancelled, evidence);
                self.apply_job_changes(now, vec![JobCacheChange::Closed(id)]);
                let response = final_state_response(&job_request, JobState::Cancelled);
                actions.push(Action::Respond(job_request.request_id, response));
            }
            KvResponse::Conflict(_) => self.job_api.queues.queue_request(job_request),
            _ => actions.push(Action::Respond(
                job_request.request_id,
                HttpResponse::retry_later("not cancelled yet"),
            )),
        }
    }

    /// Rejects all pending requests because the key-value store does not respond.
    pub(super) fn fail_job_requests(&mut self, actions: &mut Vec<Action>) {
        for request in self.job_api.queues.take_queued() {
            let response = HttpResponse::retry_later(STORE_UNRESPONSIVE);
            actions.push(Action::Respond(request, response));
        }
    }
}
