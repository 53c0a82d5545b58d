//! Reads of final states for user requests about jobs that are not open.
//!
//! These reads are limited to a share of the key-value store's request limit. A request that exceeds it is rejected,
//! and its lookup is queued, so that the retried request finds the final state in the job cache. Without the queue,
//! other requests could use up the share each time and starve it.

use std::collections::{BTreeSet, VecDeque};

use worksshunt_wire::JobId;

use crate::constants::job_api::MAX_CACHED_FINAL_STATES;
use crate::job_api::{final_state_response, resolve_without_final_state, HttpResponse, JobRequest};
use crate::jobs::{final_state_key, read_final_state, FinalStateEvidence};
use crate::time::Time;

use super::store_outage::STORE_UNRESPONSIVE;
use super::{call_store, Action, Controller, KvPurpose, KvRequest, KvResponse};

/// Lookups deferred by the read limit.
#[derive(Debug, Default)]
pub(super) struct FinalStateLookups {
    /// Jobs whose lookup waits for the read limit, in the order of the requests.
    queued: VecDeque<JobId>,
    /// Jobs whose lookup is queued or in flight.
    pending: BTreeSet<JobId>,
}

impl FinalStateLookups {
    /// Queues a lookup, unless one is pending for the job or [`MAX_CACHED_FINAL_STATES`] are queued.
    fn queue(&mut self, id: JobId) {
        if self.queued.len() < MAX_CACHED_FINAL_STATES && self.pending.insert(id) {
            self.queued.push_back(id);
        }
    }

    /// Removes a lookup that has a result.
    fn complete(&mut self, id: JobId) {
        self.pending.remove(&id);
    }

    /// Queues a failed lookup again.
    fn retry(&mut self, id: JobId) {
        self.queued.push_back(id);
    }
}

impl Controller {
    /// Sends deferred lookups, as many as the read limit allows.
    pub(super) fn advance_final_state_lookups(&mut self, now: Time, actions: &mut Vec<Action>) {
        let job_api = &mut self.job_api;
        while job_api.read_tokens.available(now) > 0 {
            let Some(id) = job_api.final_state_lookups.queued.pop_front() else {
                break;
            };
            job_api.read_tokens.take(1);
            let request = KvRequest::Get(final_state_key(id));
            call_store(actions, KvPurpose::CacheFinalState(id), request);
        }
    }

    /// Reads the final state for a request. If the read limit is exhausted, defers the lookup and rejects the request.
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

    /// Processes the response to a deferred lookup: caches the final state, or queues the lookup again after a failure.
    pub(super) fn process_deferred_lookup_response(&mut self, id: JobId, response: KvResponse) {
        let lookups = &mut self.job_api.final_state_lookups;
        match response {
            KvResponse::Found(pair) => {
                lookups.complete(id);
                if let Some(state) = read_final_state(&pair.value) {
                    let evidence = FinalStateEvidence::Read(pair.version);
                    self.metrics.count_final_state(evidence);
                    self.job_cache.cache_final_state(id, state, evidence);
                }
            }
            KvResponse::Missing => lookups.complete(id),
            _ => lookups.retry(id),
        }
    }

    /// Processes the response to the lookup that a request waits for.
    pub(super) fn process_final_state_response(
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
                    self.metrics.count_final_state(evidence);
                    self.job_cache
                        .cache_final_state(job_request.id, state, evidence);
                    final_state_response(&job_request, state)
                }
                None => {
                    tracing::error!(
                        key = pair.key,
                        "cannot read a final state in the store; asking the client to retry"
                    );
                    HttpResponse::retry_later("unreadable state")
                }
            },
            KvResponse::Missing => {
                let step = resolve_without_final_state(job_request, &self.job_cache);
                return self.apply_job_request_step(now, step, actions);
            }
            _ => HttpResponse::retry_later(STORE_UNRESPONSIVE),
        };
        actions.push(Action::Respond(job_request.request_id, response));
    }
}
