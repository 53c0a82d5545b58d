//! Dispatch of the key-value store's responses by purpose.

use crate::time::{Now, Time};

use super::{Action, Controller, KvPurpose, KvResponse};

/// Times of a request and of its response.
#[derive(Debug, Clone, Copy)]
pub(super) struct RequestTimes {
    pub sent_at: Time,
    pub answered_at: Time,
}

impl Controller {
    /// Processes the response to a request sent at `sent_at`.
    pub(super) fn process_key_value_response(
        &mut self,
        now: Now,
        purpose: KvPurpose,
        sent_at: Time,
        response: KvResponse,
        actions: &mut Vec<Action>,
    ) {
        let answered_at = now.steady;
        let times = RequestTimes {
            sent_at,
            answered_at,
        };
        if response.is_definite() {
            self.store_health.record_response(answered_at);
        }
        match purpose {
            KvPurpose::GrantLease => self.process_lease_grant_response(answered_at, response),
            KvPurpose::WriteMemberKey => {
                self.process_member_key_write_response(answered_at, response)
            }
            KvPurpose::RenewLease(lease_id) => {
                self.process_lease_renewal_response(answered_at, lease_id, response)
            }
            KvPurpose::ReadControlKeys => {
                self.process_control_keys_response(times, response, actions)
            }
            KvPurpose::ProposeEpoch => self.process_proposal_response(answered_at),
            KvPurpose::ListOpenJobs => self.process_open_jobs_listing(times, response),
            KvPurpose::WatchOpenJobs => self.process_watch_response(times, response, actions),
            KvPurpose::CatchUpOpenJobs => self.process_catch_up_response(times, response, actions),
            KvPurpose::LoadEpoch { .. }
            | KvPurpose::LoadFinalState { .. }
            | KvPurpose::QueuedWrite { .. }
            | KvPurpose::ReadPageVersion { .. } => {
                self.process_epoch_response(times, purpose, response, actions);
            }
            KvPurpose::CacheFinalState(id) => self.process_deferred_lookup_response(id, response),
            KvPurpose::AcceptSubmissions(number) => {
                self.process_accept_write_response(number, answered_at, response, actions);
            }
            KvPurpose::CancelJob(job_request) => {
                self.process_cancellation_response(answered_at, job_request, response, actions);
            }
            KvPurpose::ReadFinalState(job_request) => {
                self.process_final_state_response(answered_at, job_request, response, actions);
            }
            KvPurpose::ReadCatalog => self.process_stored_catalog(response),
            KvPurpose::StoreCatalog(catalog) => {
                self.process_catalog_write_response(catalog, &response)
            }
        }
    }

    /// Processes the response to a request of an epoch. Responses for an earlier epoch are ignored.
    fn process_epoch_response(
        &mut self,
        times: RequestTimes,
        purpose: KvPurpose,
        response: KvResponse,
        actions: &mut Vec<Action>,
    ) {
        let current = self.membership.epoch_number();
        match purpose {
            KvPurpose::LoadEpoch { epoch, step } if self.is_loading_epoch(epoch) => {
                self.process_load_step_response(times, step, response, actions);
            }
            KvPurpose::LoadFinalState { epoch, job } if self.is_loading_epoch(epoch) => {
                self.process_loaded_final_state(times.answered_at, job, response, actions);
            }
            KvPurpose::QueuedWrite {
                queue,
                epoch,
                number,
            } if epoch == current => {
                self.process_queued_write_response(queue, number, times, response);
            }
            KvPurpose::ReadPageVersion { epoch, key } if epoch == current => {
                self.process_page_version_response(times.answered_at, &key, response);
            }
            _ => {}
        }
    }
}
