//! Final states of jobs, read for users who ask about a job that is not open.
//!
//! Such reads keep to a share of the key-value store's limit. If it went to whoever asks first, some requests could
//! always find it used up by the same others; so a read that had to be deferred is queued, and the next request for
//! that job finds its result in the job cache.

use std::collections::{BTreeSet, VecDeque};

use worksshunt_wire::JobId;

use crate::constants::job_api::FINAL_STATES_CACHED;
use crate::job_api::{final_state_response, resolve_without_final_state, HttpResponse, JobRequest};
use crate::jobs::{final_state_key, read_final_state, FinalStateEvidence};
use crate::time::Time;

use super::store_outage::STORE_SILENT;
use super::{call_store, Action, Controller, KvPurpose, KvRequest, KvResponse};

/// Lookups that were put off.
#[derive(Debug, Default)]
pub(super) struct FinalStateLookups {
    /// Jobs whose final state is to be read as soon as the share of reads allows, in the order of the requests.
    queued: VecDeque<JobId>,
    /// Those, and the ones whose read is in flight.
    unanswered: BTreeSet<JobId>,
}

impl FinalStateLookups {
    /// Queues a lookup, unless there is one for the job or too many wait.
    fn queue(&mut self, id: JobId) {
        if self.queued.len() < FINAL_STATES_CACHED && self.unanswered.insert(id) {
            self.queued.push_back(id);
        }
    }

    /// A lookup was answered clearly.
    fn answered(&mut self, id: JobId) {
        self.unanswered.remove(&id);
    }

    /// A lookup was not answered: it is made again.
    fn retry(&mut self, id: JobId) {
        self.queued.push_back(id);
    }
}

impl Controller {
    /// Sends lookups that were put off, as many as the share of reads allows.
    pub(super) fn advance_final_state_lookups(&mut self, now: Time, actions: &mut Vec<Action>) {
        let job_api = &mut self.job_api;
        while job_api.read_tokens.available(now) > 0 {
            let Some(id) = job_api.final_state_lookups.queued.pop_front() else {
                break;
            };
            job_api.read_tokens.take(1);
            let request = KvRequest::Get(final_state_key(id));
            call_store(actions, KvPurpose::LookUpFinalState(id), request);
        }
    }

    /// Reads the final state for a request, or puts that off if the share of reads is used up.
    pub(super) fn look_up_final_state(
        &mut self,
        now: Time,
        job_request: JobRequest,
        actions: &mut Vec<Action>,
    ) {
        let job_api = &mut self.job_api;
        if !job_api.final_state_lookups.queued.is_empty() || job_api.read_tokens.available(now) == 0
        {
            job_api.final_state_lookups.queue(job_request.id);
            let response = HttpResponse::retry_later("too many questions at once");
            actions.push(Action::Respond(job_request.request_id, response));
            return;
        }
        job_api.read_tokens.take(1);
        let request = KvRequest::Get(final_state_key(job_request.id));
        call_store(actions, KvPurpose::ReadFinalState(job_request), request);
    }

    /// A lookup that was put off was answered, or not.
    pub(super) fn final_state_lookup_answered(&mut self, id: JobId, response: KvResponse) {
        let lookups = &mut self.job_api.final_state_lookups;
        match response {
            KvResponse::Found(pair) => {
                lookups.answered(id);
                if let Some(state) = read_final_state(&pair.value) {
                    let evidence = FinalStateEvidence::Read(pair.version);
                    self.metrics.final_state_learnt(evidence);
                    self.job_cache.cache_final_state(id, state, evidence);
                }
            }
            KvResponse::Missing => lookups.answered(id),
            _ => lookups.retry(id),
        }
    }

    /// The final state that a request waits for was read, or not.
    pub(super) fn final_state_answered(
        &mut self,
        now: Time,
        job_request: JobRequest,
        response: KvResponse,
        actions: &mut Vec<Action>,
    ) {
        let response = match response {
            KvResponse::Found(pair) => match read_final_state(&pair.value) {
                Some(state) => {
                    let evidence = FinalStateEvidence::Read(pair.version);
                    self.metrics.final_state_learnt(evidence);
                    self.job_cache
                        .cache_final_state(job_request.id, state, evidence);
                    final_state_response(&job_request, state)
                }
                None => {
                    tracing::error!(key = pair.key, "unreadable final state");
                    HttpResponse::retry_later("unreadable state")
                }
            },
            KvResponse::Missing => {
                let step = resolve_without_final_state(job_request, &self.job_cache);
                return self.apply_job_request_step(now, step, actions);
            }
            _ => HttpResponse::retry_later(STORE_SILENT),
        };
        actions.push(Action::Respond(job_request.request_id, response));
    }
}
