//! The write that accepts submissions: hedged, one in flight at a time, limited to the user share of the write limit.

use worksshunt_wire::key_value::CompareAndSwap;

use crate::constants::key_value::KV_RETRY_DELAY_MS;
use crate::job_api::{
    accepted_response, HttpResponse, JobOperation, JobRequest, PendingSubmission,
};
use crate::jobs::{final_state_key, is_submission_batch_key, open_job_key, submission_batch_key};
use crate::time::{PeriodicTimer, Time};

use super::hedged_request::{hedge_action, HedgedRequest};
use super::{call_store, Action, Controller, KvPurpose, KvRequest, KvResponse};

/// State of the write that accepts submissions.
#[derive(Debug, Default)]
pub(super) struct AcceptWrite {
    timer: PeriodicTimer,
    hedge: HedgedRequest,
    /// The last write sent, for its second copy.
    last_write: CompareAndSwap,
    /// Number in the key of the last submission batch of this process; 0 before the first.
    last_batch_number: u64,
}

impl Controller {
    /// Sends the second copy of a slow write, and the next write if none is in flight.
    pub(super) fn advance_accept_write(&mut self, now: Time, actions: &mut Vec<Action>) {
        let accept = &mut self.job_api.accept_write;
        let tokens = &mut self.write_queues.user_write_tokens;
        if let Some(number) = accept.hedge.take_due_hedge(now) {
            let write = &accept.last_write;
            tokens.take(write.changes.len());
            actions.push(hedge_action(KvPurpose::AcceptSubmissions(number), write));
        }
        if !accept.timer.is_due(now) || !self.job_api.queues.needs_write() {
            return;
        }
        let limits = &self.settings.facts.key_value_store;
        let max_changes = tokens.available(now).min(limits.max_transaction_changes);
        let (own_name, last_batch_number) = (self.membership.name(), &mut accept.last_batch_number);
        let next_batch_key = self.membership.lease_id().map(|lease_id| {
            move || {
                *last_batch_number += 1;
                submission_batch_key(own_name, lease_id, *last_batch_number)
            }
        });
        let queues = &mut self.job_api.queues;
        if let Some(write) = queues.next_write(max_changes, limits, next_batch_key) {
            tokens.take(write.changes.len());
            accept.timer.mark_sent(now, 0);
            let number = accept.hedge.start_write(now);
            accept.last_write = write.clone();
            let request = KvRequest::CompareAndSwap(write);
            call_store(actions, KvPurpose::AcceptSubmissions(number), request);
        }
    }

    /// Processes the response to a copy of the write. After an unknown outcome the users are asked to submit again.
    pub(super) fn process_accept_write_response(
        &mut self,
        number: u64,
        now: Time,
        response: KvResponse,
        actions: &mut Vec<Action>,
    ) {
        let is_conclusive = matches!(
            response,
            KvResponse::Committed(_) | KvResponse::Conflict(_) | KvResponse::TooLarge
        );
        let accept = &mut self.job_api.accept_write;
        if !accept.hedge.record_response(number, is_conclusive) {
            return;
        }
        accept.timer.schedule_next(now, 0);
        let submissions = self.job_api.queues.finish_write();
        match response {
            // Only this process writes this key, so another copy of the write was applied.
            KvResponse::Conflict(failed_keys)
                if failed_keys.iter().any(|key| is_submission_batch_key(key)) =>
            {
                accept_all(submissions, actions);
            }
            KvResponse::Committed(_) => accept_all(submissions, actions),
            KvResponse::Conflict(failed_keys) => {
                self.requeue_conflicting(now, submissions, &failed_keys)
            }
            KvResponse::TooLarge if submissions.len() > 1 => {
                self.lower_limits();
                self.retry_accept_write(now, submissions);
            }
            // Not executed, most likely because of the rate limit, so it is safe to retry.
            KvResponse::Refused if !self.store_health.is_unresponsive(now) => {
                self.retry_accept_write(now, submissions);
            }
            _ => {
                ask_to_resubmit(submissions, actions);
                self.fail_job_requests(actions);
            }
        }
    }

    /// Requeues the submissions of a write that was not executed. The next write follows after [`KV_RETRY_DELAY_MS`].
    fn retry_accept_write(&mut self, now: Time, submissions: Vec<PendingSubmission>) {
        let accept = &mut self.job_api.accept_write;
        accept.timer.schedule_next(now, KV_RETRY_DELAY_MS);
        self.job_api.queues.requeue_submissions(submissions);
    }

    /// Requeues the submissions of a conflicting write. Jobs whose ID already exists wait for a read of their state,
    /// the others for the next write.
    fn requeue_conflicting(
        &mut self,
        now: Time,
        submissions: Vec<PendingSubmission>,
        failed_keys: &[String],
    ) {
        for submission in submissions {
            let PendingSubmission {
                request_id, job, ..
            } = submission;
            let id = job.spec.id;
            let exists = failed_keys.contains(&open_job_key(id))
                || failed_keys.contains(&final_state_key(id));
            if exists {
                self.job_api.queues.queue_request(JobRequest {
                    request_id,
                    id,
                    operation: JobOperation::Submit(job),
                    was_in_batch: false,
                });
            } else {
                self.job_api.queues.queue_submission(now, request_id, job);
            }
        }
    }
}

fn accept_all(submissions: Vec<PendingSubmission>, actions: &mut Vec<Action>) {
    for submission in submissions {
        let response = accepted_response(submission.job.spec.id);
        actions.push(Action::Respond(submission.request_id, response));
    }
}

/// Asks the users to submit again. Whether the jobs were accepted is unknown, but submissions are idempotent.
fn ask_to_resubmit(submissions: Vec<PendingSubmission>, actions: &mut Vec<Action>) {
    for submission in submissions {
        let response = HttpResponse::retry_later("not accepted yet");
        actions.push(Action::Respond(submission.request_id, response));
    }
}
