//! Submissions of jobs: validates them, and queues new jobs for the write that accepts them. A submission whose job
//! ID may already exist waits for a read of the open jobs instead.

use worksshunt_wire::user::JobSpec;

use crate::constants::job_api::STORED_JOB_OVERHEAD_BYTES;
use crate::job_api::{final_state_response, HttpResponse, JobOperation, JobRequest, RequestId};
use crate::jobs::Job;
use crate::submissions::{check_schedulable, parse_submission, Malformed, RefusedSubmission};
use crate::time::{Now, Time};

use super::store_outage::STORE_UNRESPONSIVE;
use super::{Action, Controller};

impl Controller {
    /// Processes a submission.
    pub(super) fn handle_submission(
        &mut self,
        now: Now,
        request_id: RequestId,
        body: &[u8],
        actions: &mut Vec<Action>,
    ) {
        let response = match self.check_submission(body) {
            Ok(Some(spec)) => self.submit_job(now, request_id, spec),
            Ok(None) => Some(HttpResponse::retry_later("machine types not known yet")),
            Err(RefusedSubmission { id: None, refusal }) => Some(HttpResponse::refused(&refusal)),
            Err(RefusedSubmission {
                id: Some(id),
                refusal,
            }) => {
                let job_request = JobRequest {
                    request_id,
                    id,
                    operation: JobOperation::SubmitInvalid(refusal),
                    was_in_batch: false,
                };
                self.queue_job_request(now.steady, job_request).err()
            }
        };
        if let Some(response) = response {
            actions.push(Action::Respond(request_id, response));
        }
    }

    /// Parses and validates a submission. Returns `None` while there is no catalog to validate it against.
    ///
    /// # Errors
    ///
    /// The reason for the refusal, and the job's ID if it is readable: if a job with that ID exists, the response is
    /// its state.
    fn check_submission(&self, body: &[u8]) -> Result<Option<JobSpec>, RefusedSubmission> {
        let spec = parse_submission(body)?;
        let id = Some(spec.id);
        let max_bytes = (self.settings.facts.key_value_store.max_value_kib * 1_024.0) as usize;
        let spec_bytes = serde_json::to_string(&spec).map_or(usize::MAX, |text| text.len());
        if spec_bytes.saturating_add(STORED_JOB_OVERHEAD_BYTES) > max_bytes {
            let refusal = Malformed::TooLarge.into();
            return Err(RefusedSubmission { id, refusal });
        }
        let Some(catalog) = &self.catalog.current else {
            return Ok(None);
        };
        check_schedulable(&spec, catalog, &self.quota)
            .map_err(|refusal| RefusedSubmission { id, refusal })?;
        Ok(Some(spec))
    }

    /// Queues a valid job. Returns the response if it does not have to wait for the key-value store.
    fn submit_job(
        &mut self,
        now: Now,
        request_id: RequestId,
        spec: JobSpec,
    ) -> Option<HttpResponse> {
        let id = spec.id;
        let job = Box::new(Job {
            spec,
            accepted_ms: now.wall_ms,
        });
        let final_state = self.job_cache.final_state(id);
        let may_exist =
            self.job_cache.get(id).is_some() || self.job_cache.is_in_submission_batch(id);
        if final_state.is_none() && !may_exist {
            let rejection = self.new_job_rejection(now.steady, job.is_service());
            if rejection.is_none() {
                let queues = &mut self.job_api.queues;
                queues.queue_submission(now.steady, request_id, job);
            }
            return rejection;
        }
        let job_request = JobRequest {
            request_id,
            id,
            operation: JobOperation::Submit(job),
            was_in_batch: false,
        };
        match final_state {
            Some(state) => Some(final_state_response(&job_request, state)),
            None => self.queue_job_request(now.steady, job_request).err(),
        }
    }

    /// The response that rejects a new job, if it cannot be queued now.
    fn new_job_rejection(&mut self, now: Time, is_service: bool) -> Option<HttpResponse> {
        let reason = if is_service && !self.membership.accepts_services() {
            // A controller of a release without services would report the job as unknown.
            "controllers that do not know services may be left"
        } else if !self.job_cache.is_loaded() || self.store_health.is_unresponsive(now) {
            STORE_UNRESPONSIVE
        } else if self.is_job_api_full() {
            "too many requests wait"
        } else {
            return None;
        };
        Some(HttpResponse::retry_later(reason))
    }
}
