//! The write that accepts submissions: one at a time, hedged, within the users' share of the write limit.

use worksshunt_wire::key_value::CompareAndSwap;

use crate::constants::key_value::KV_RETRY_DELAY_MS;
use crate::job_api::{
    accepted_response, HttpResponse, JobOperation, JobRequest, PendingSubmission,
};
use crate::jobs::{final_state_key, is_submission_batch, open_job_key, submission_batch_key};
use crate::time::{PeriodicTimer, Time};

use super::hedged_request::{second_copy, HedgedRequest};
use super::{call_store, Action, Controller, KvPurpose, KvRequest, KvResponse};

/// The write in flight that accepts submissions, and when the next may be sent.
#[derive(Debug, Default)]
pub(super) struct AcceptWrite {
    timer: PeriodicTimer,
    hedge: HedgedRequest,
    in_flight: CompareAndSwap,
    /// Submission batches named by this process so far, which numbers their keys.
    batches_named: u64,
}

impl Controller {
    /// Sends the second copy of a slow write, or the next write.
    pub(super) fn advance_accept_write(&mut self, now: Time, actions: &mut Vec<Action>) {
        let accept = &mut self.job_api.accept_write;
        let tokens = &mut self.write_queues.user_write_tokens;
        if let Some(number) = accept.hedge.hedge_due(now) {
            let write = &accept.in_flight;
            tokens.take(write.changes.len());
            actions.push(second_copy(KvPurpose::AcceptSubmissions(number), write));
        }
        if !accept.timer.is_due(now) || !self.job_api.requests.write_due() {
            return;
        }
        let limits = &self.settings.facts.key_value_store;
        let max_changes = tokens.available(now).min(limits.max_transaction_changes);
        let (me, batches_named) = (self.membership.name(), &mut accept.batches_named);
        let next_batch_key = self.membership.lease().map(|lease| {
            move || {
                *batches_named += 1;
                submission_batch_key(me, lease, *batches_named)
            }
        });
        let requests = &mut self.job_api.requests;
        if let Some(write) = requests.next_write(max_changes, limits, next_batch_key) {
            tokens.take(write.changes.len());
            accept.timer.mark_sent(now, 0);
            let number = accept.hedge.first_sent(now);
            accept.in_flight = write.clone();
            let request = KvRequest::CompareAndSwap(write);
            call_store(actions, KvPurpose::AcceptSubmissions(number), request);
        }
    }

    /// A copy of the write was answered, or not.
    pub(super) fn submissions_answered(
        &mut self,
        number: u64,
        now: Time,
        response: KvResponse,
        actions: &mut Vec<Action>,
    ) {
        let is_clear = matches!(
            response,
            KvResponse::Committed(_) | KvResponse::Conflict(_) | KvResponse::TooLarge
        );
        let accept = &mut self.job_api.accept_write;
        if !accept.hedge.answered(number, is_clear) {
            return;
        }
        accept.timer.schedule_next(now, 0);
        let jobs = self.job_api.requests.write_answered();
        match response {
            // Nobody else writes this process's submission batches: an earlier copy was applied.
            KvResponse::Conflict(failed) if failed.iter().any(|key| is_submission_batch(key)) => {
                accept_all(jobs, actions);
            }
            KvResponse::Committed(_) => accept_all(jobs, actions),
            KvResponse::Conflict(failed) => self.requeue_conflicting(now, jobs, &failed),
            KvResponse::TooLarge if jobs.len() > 1 => {
                self.lower_limits();
                self.retry_accept_write(now, jobs);
            }
            // Certainly not executed, most likely for the limit: there is time for another try.
            KvResponse::Refused if !self.store_health.is_silent(now) => {
                self.retry_accept_write(now, jobs);
            }
            _ => {
                ask_to_resubmit(jobs, actions);
                self.give_up_job_requests(actions);
            }
        }
    }

    /// Queues the submissions of a write that was not executed for the next one, after a pause.
    fn retry_accept_write(&mut self, now: Time, jobs: Vec<PendingSubmission>) {
        let accept = &mut self.job_api.accept_write;
        accept.timer.schedule_next(now, KV_RETRY_DELAY_MS);
        self.job_api.requests.requeue_submissions(jobs);
    }

    /// Some jobs of a write are known already: those wait for a read, the others for the next write.
    fn requeue_conflicting(
        &mut self,
        now: Time,
        jobs: Vec<PendingSubmission>,
        failed_keys: &[String],
    ) {
        for submission in jobs {
            let PendingSubmission {
                request_id, job, ..
            } = submission;
            let id = job.spec.id;
            let is_known = failed_keys.contains(&open_job_key(id))
                || failed_keys.contains(&final_state_key(id));
            if is_known {
                self.job_api.requests.queue_request(JobRequest {
                    request_id,
                    id,
                    operation: JobOperation::Submit(job),
                    seen_in_batch: false,
                });
            } else {
                self.job_api.requests.queue_submission(now, request_id, job);
            }
        }
    }
}

fn accept_all(jobs: Vec<PendingSubmission>, actions: &mut Vec<Action>) {
    for submission in jobs {
        let response = accepted_response(submission.job.spec.id);
        actions.push(Action::Respond(submission.request_id, response));
    }
}

/// Asks the users to submit again: whether the jobs were accepted is not known, and a repeated submission is safe.
fn ask_to_resubmit(jobs: Vec<PendingSubmission>, actions: &mut Vec<Action>) {
    for submission in jobs {
        let response = HttpResponse::retry_later("not accepted yet");
        actions.push(Action::Respond(submission.request_id, response));
    }
}
