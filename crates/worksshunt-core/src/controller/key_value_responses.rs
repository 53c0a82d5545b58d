//! Answers of the state service, each to the part that asked.

use worksshunt_wire::cloud::Catalog;
use worksshunt_wire::user::JobState;
use worksshunt_wire::JobId;

use crate::constants::key_value::{KV_RETRY_MS, WATCH_PAUSE_MS};
use crate::job_api::{final_state_response, resolve_without_final_state, HttpResponse, JobRequest};
use crate::jobs::{read_final_state, JobCacheChange};
use crate::time::{Now, Time};

use super::{Action, Controller, KvPurpose, KvResponse};

impl Controller {
    /// Takes in an answer of the state service to a request sent at `sent`.
    pub(super) fn process_key_value_response(
        &mut self,
        now: Now,
        tag: KvPurpose,
        sent: Time,
        reply: KvResponse,
        actions: &mut Vec<Action>,
    ) {
        let t = now.steady;
        if reply.is_definite() {
            self.key_value_answered_at = t;
            self.epoch_confirmation.key_value_store_answered();
        }
        match tag {
            KvPurpose::GrantLease => self.lease_grant_answered(t, reply),
            KvPurpose::WriteMemberKey => self.member_key_write_answered(t, reply),
            KvPurpose::RenewLease(lease) => self.lease_renewal_answered(t, lease, reply),
            KvPurpose::ReadControlKeys => self.control_keys_answered((t, sent), reply, actions),
            KvPurpose::ProposeEpoch => {
                self.proposal_timer.schedule_retry(t, 0);
                self.control_keys_timer.next = t;
            }
            KvPurpose::ListOpenJobs => self.open_jobs_answered((t, sent), reply),
            KvPurpose::WatchOpenJobs => self.watch_answered((t, sent), reply, actions),
            KvPurpose::CatchUpOpenJobs => self.catch_up_answered(t, sent, reply, actions),
            KvPurpose::LoadEpoch(epoch, step) if self.is_loading_epoch(epoch) => {
                self.load_step_answered((t, sent), step, reply, actions);
            }
            KvPurpose::LoadFinalState(epoch, id) if self.is_loading_epoch(epoch) => {
                self.final_state_loaded(t, id, reply, actions);
            }
            KvPurpose::QueuedWrite(lane, epoch, number)
                if epoch == self.membership.fencing_token() =>
            {
                self.queued_write_answered((lane, number), t, sent, reply);
            }
            KvPurpose::ReadPageVersion(epoch, key) if epoch == self.membership.fencing_token() => {
                self.page_version_answered(t, &key, reply);
            }
            // Of an epoch that is over.
            KvPurpose::LoadEpoch(..)
            | KvPurpose::LoadFinalState(..)
            | KvPurpose::QueuedWrite(..)
            | KvPurpose::ReadPageVersion(..) => {}
            KvPurpose::LookUpFinalState(id) => self.final_state_lookup_answered(id, reply),
            KvPurpose::AcceptSubmissions(number) => {
                self.submissions_answered(number, t, reply, actions)
            }
            KvPurpose::CancelJob(job_request) => {
                self.cancellation_answered(t, job_request, reply, actions)
            }
            KvPurpose::ReadFinalState(job_request) => {
                self.final_state_answered(t, job_request, reply, actions)
            }
            KvPurpose::ReadCatalog => self.catalog_read_answered(reply),
            KvPurpose::StoreCatalog(catalog) => self.catalog_stored(catalog, &reply),
        }
    }

    fn lease_grant_answered(&mut self, now: Time, reply: KvResponse) {
        let pause_ms = if reply.is_definite() { 0 } else { KV_RETRY_MS };
        self.lease_timer.schedule_retry(now, pause_ms);
        if let KvResponse::LeaseGranted(lease) = reply {
            self.membership.lease_granted(lease);
            self.control_keys_timer.next = now;
        }
    }

    fn member_key_write_answered(&mut self, now: Time, reply: KvResponse) {
        match reply {
            KvResponse::Committed(version) => {
                self.lease_timer.schedule_retry(now, 0);
                self.control_keys_timer.next = now;
                self.membership.member_key_written(version);
            }
            KvResponse::Conflict(_) => {
                self.lease_timer.schedule_retry(now, KV_RETRY_MS);
                self.control_keys_timer.next = now;
                self.membership.member_key_conflict();
            }
            KvResponse::NoSuchLease => {
                self.lease_timer.schedule_retry(now, 0);
                self.membership.lease_lost();
            }
            _ => self.lease_timer.schedule_retry(now, KV_RETRY_MS),
        }
    }

    fn lease_renewal_answered(&mut self, now: Time, lease: u64, reply: KvResponse) {
        self.lease_timer.in_flight = false;
        match reply {
            KvResponse::NoSuchLease if self.membership.lease() == Some(lease) => {
                tracing::info!(lease, "the lease ran out");
                self.lease_timer.next = now;
                self.leave_epoch(now);
            }
            KvResponse::LeaseRenewed => {}
            _ => self.lease_timer.next = now + KV_RETRY_MS,
        }
    }

    fn control_keys_answered(
        &mut self,
        (now, sent): (Time, Time),
        reply: KvResponse,
        actions: &mut Vec<Action>,
    ) {
        self.control_keys_timer.in_flight = false;
        match reply {
            KvResponse::Listing(listing) => self.process_control_keys(now, sent, &listing, actions),
            _ => self.control_keys_timer.next = now + KV_RETRY_MS,
        }
    }

    fn open_jobs_answered(&mut self, (now, sent): (Time, Time), reply: KvResponse) {
        self.open_jobs_timer.schedule_retry(now, KV_RETRY_MS);
        if let KvResponse::Listing(listing) = reply {
            if !self.job_cache.is_loaded() {
                self.membership.open_jobs_read(sent);
                let changes = self.job_cache.load(&listing);
                self.apply_job_changes(now, changes);
            }
        }
    }

    fn watch_answered(
        &mut self,
        (now, sent): (Time, Time),
        reply: KvResponse,
        actions: &mut Vec<Action>,
    ) {
        match reply {
            KvResponse::WatchResponse(changes) => {
                self.watch_timer.schedule_retry(now, WATCH_PAUSE_MS);
                self.open_jobs_changed(now, sent, &changes);
            }
            KvResponse::RevisionCompacted => {
                self.watch_timer.schedule_retry(now, 0);
                self.reload_job_cache(actions);
            }
            _ => self.watch_timer.schedule_retry(now, KV_RETRY_MS),
        }
    }

    fn final_state_lookup_answered(&mut self, id: JobId, reply: KvResponse) {
        match reply {
            KvResponse::Found(pair) => {
                self.final_states_in_lookup.remove(&id);
                if let Some(state) = read_final_state(&pair.value) {
                    self.job_cache.remember_final(id, state);
                }
            }
            KvResponse::Missing => {
                self.final_states_in_lookup.remove(&id);
            }
            _ => self.final_state_lookups.push_back(id),
        }
    }

    fn cancellation_answered(
        &mut self,
        now: Time,
        job_request: JobRequest,
        reply: KvResponse,
        actions: &mut Vec<Action>,
    ) {
        match reply {
            KvResponse::Committed(_) => {
                let id = job_request.id;
                self.job_cache.remember_final(id, JobState::Cancelled);
                self.apply_job_changes(now, vec![JobCacheChange::Closed(id)]);
                let reply = final_state_response(&job_request, JobState::Cancelled);
                actions.push(Action::Respond(job_request.request_id, reply));
            }
            KvResponse::Conflict(_) => self.job_api.queue_request(job_request),
            _ => actions.push(Action::Respond(
                job_request.request_id,
                HttpResponse::retry_later("not cancelled yet"),
            )),
        }
    }

    fn final_state_answered(
        &mut self,
        now: Time,
        job_request: JobRequest,
        reply: KvResponse,
        actions: &mut Vec<Action>,
    ) {
        let reply = match reply {
            KvResponse::Found(pair) => match read_final_state(&pair.value) {
                Some(state) => {
                    self.job_cache.remember_final(job_request.id, state);
                    final_state_response(&job_request, state)
                }
                None => {
                    tracing::error!(key = pair.key, "final state cannot be read");
                    HttpResponse::retry_later("unreadable state")
                }
            },
            KvResponse::Missing => {
                let step = resolve_without_final_state(job_request, &self.job_cache);
                return self.apply_job_request_step(now, step, actions);
            }
            _ => HttpResponse::retry_later("the state service does not answer"),
        };
        actions.push(Action::Respond(job_request.request_id, reply));
    }

    fn catalog_read_answered(&mut self, reply: KvResponse) {
        if let (KvResponse::Found(pair), None) = (reply, &self.catalog) {
            self.catalog = serde_json::from_value(pair.value).ok();
            self.stored_catalog.clone_from(&self.catalog);
        }
    }

    fn catalog_stored(&mut self, catalog: Catalog, reply: &KvResponse) {
        // One that is larger than a value may be is done without.
        if let KvResponse::Committed(_) | KvResponse::TooLarge = reply {
            self.stored_catalog = Some(catalog);
        }
    }
}
