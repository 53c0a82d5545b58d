//! The key-value store's responses, each dispatched to the module whose request it answers.

use crate::time::{Now, Time};

use super::{Action, Controller, KvPurpose, KvResponse};

/// When a request was sent and when it was answered.
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
            self.store_health.request_answered(answered_at);
        }
        match purpose {
            KvPurpose::GrantLease => self.lease_grant_answered(answered_at, response),
            KvPurpose::WriteMemberKey => self.member_key_write_answered(answered_at, response),
            KvPurpose::RenewLease(lease) => {
                self.lease_renewal_answered(answered_at, lease, response)
            }
            KvPurpose::ReadControlKeys => self.control_keys_answered(times, response, actions),
            KvPurpose::ProposeEpoch => self.proposal_answered(answered_at),
            KvPurpose::ListOpenJobs => self.open_jobs_answered(times, response),
            KvPurpose::WatchOpenJobs => self.watch_answered(times, response, actions),
            KvPurpose::CatchUpOpenJobs => self.catch_up_answered(times, response, actions),
            KvPurpose::LoadEpoch { .. }
            | KvPurpose::LoadFinalState { .. }
            | KvPurpose::QueuedWrite { .. }
            | KvPurpose::ReadPageVersion { .. } => {
                self.process_epoch_response(times, purpose, response, actions);
            }
            KvPurpose::LookUpFinalState(id) => self.final_state_lookup_answered(id, response),
            KvPurpose::AcceptSubmissions(number) => {
                self.submissions_answered(number, answered_at, response, actions);
            }
            KvPurpose::CancelJob(job_request) => {
                self.cancellation_answered(answered_at, job_request, response, actions);
            }
            KvPurpose::ReadFinalState(job_request) => {
                self.final_state_answered(answered_at, job_request, response, actions);
            }
            KvPurpose::ReadCatalog => self.stored_catalog_answered(response),
            KvPurpose::StoreCatalog(catalog) => self.catalog_write_answered(catalog, &response),
        }
    }

    /// Processes the response to a request made for an epoch, unless that epoch is over.
    fn process_epoch_response(
        &mut self,
        times: RequestTimes,
        purpose: KvPurpose,
        response: KvResponse,
        actions: &mut Vec<Action>,
    ) {
        let current = self.membership.fencing_token();
        match purpose {
            KvPurpose::LoadEpoch { epoch, step } if self.is_loading_epoch(epoch) => {
                self.load_step_answered(times, step, response, actions);
            }
            KvPurpose::LoadFinalState { epoch, job } if self.is_loading_epoch(epoch) => {
                self.final_state_loaded(times.answered_at, job, response, actions);
            }
            KvPurpose::QueuedWrite {
                queue,
                epoch,
                number,
            } if epoch == current => {
                self.queued_write_answered(queue, number, times, response);
            }
            KvPurpose::ReadPageVersion { epoch, key } if epoch == current => {
                self.page_version_answered(times.answered_at, &key, response);
            }
            _ => {}
        }
    }
}
