//! What a new epoch reads before its members act: records, completions, claims, open jobs and final states.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;

use worksshunt_wire::key_value::{KeyValue, WatchResponse};
use worksshunt_wire::user::JobState;
use worksshunt_wire::{Epoch, JobId};

use crate::constants::key_value::{KV_RETRY_DELAY_MS, MAX_FINAL_STATE_LOADS_IN_FLIGHT};
use crate::constants::timers::UNREADABLE_RECORDS_RETRY_DELAY_MS;
use crate::fleet::Fleet;
use crate::jobs::{
    final_state_key, read_cancelled, read_final_state, FinalStateEvidence, Job, COMPLETIONS_PREFIX,
    OPEN_JOBS_PREFIX,
};
use crate::membership::MemberState;
use crate::records::{RecordPage, UnknownRecordFormat, ATTEMPT_RECORDS_PREFIX};
use crate::scheduler::CLAIMS_PREFIX;
use crate::time::{PeriodicTimer, Time};

use super::key_value_responses::RequestTimes;
use super::{call_store, Action, Controller, KvPurpose, KvRequest, KvResponse, LoadStep};

/// What was read so far, and what is in flight.
#[derive(Debug, Default)]
pub(super) struct EpochLoad {
    retry_timer: PeriodicTimer,
    step: Option<LoadStep>,
    /// Pages of attempt records.
    pub record_pages: Vec<RecordPage>,
    pub completion_pages: Vec<KeyValue>,
    pub claims: Vec<KeyValue>,
    /// Jobs on record and not open, whose final states are still to be requested.
    final_states_to_request: VecDeque<JobId>,
    /// Those whose final states are requested and not answered.
    final_states_in_flight: BTreeSet<JobId>,
    /// Those whose final states are read.
    final_states_read: BTreeSet<JobId>,
    /// The cancelled ones among them: their tasks may be on machines and use what they use.
    pub cancelled_jobs: BTreeMap<JobId, Rc<Job>>,
    /// The fleet as this controller knew it when it led the last epoch it led.
    pub previous_fleet: Option<Fleet>,
}

impl EpochLoad {
    /// Begins anew, with the fleet as this controller knows it if it led until now.
    pub fn restarted(&mut self, fleet_until_now: Option<Fleet>) -> EpochLoad {
        EpochLoad {
            previous_fleet: fleet_until_now.or(self.previous_fleet.take()),
            ..EpochLoad::default()
        }
    }

    /// Whether the step is to be requested again.
    pub fn is_retry_due(&self, now: Time) -> bool {
        self.retry_timer.is_due(now)
    }
}

impl Controller {
    /// Sends the request of the step that is next.
    pub(super) fn request_load_step(&mut self, now: Time, actions: &mut Vec<Action>) {
        let step = *self.epoch_load.step.get_or_insert(LoadStep::AttemptRecords);
        let request = match (step, self.job_cache.revision()) {
            (LoadStep::AttemptRecords, _) => KvRequest::List(ATTEMPT_RECORDS_PREFIX.to_owned()),
            (LoadStep::Completions, _) => KvRequest::List(COMPLETIONS_PREFIX.to_owned()),
            (LoadStep::Claims, _) => KvRequest::List(CLAIMS_PREFIX.to_owned()),
            (LoadStep::OpenJobs, Some(since)) => KvRequest::Watch {
                prefix: OPEN_JOBS_PREFIX.to_owned(),
                since,
                wait_ms: 0,
            },
            (LoadStep::OpenJobs, None) => {
                // The first listing is in flight.
                return self.retry_load_step(now, KV_RETRY_DELAY_MS);
            }
            (LoadStep::FinalStates, _) => {
                self.epoch_load.retry_timer.mark_sent(now, 0);
                return self.request_final_states(actions);
            }
        };
        self.epoch_load.retry_timer.mark_sent(now, 0);
        let epoch = self.membership.fencing_token();
        let purpose = KvPurpose::LoadEpoch { epoch, step };
        call_store(actions, purpose, request);
    }

    fn retry_load_step(&mut self, now: Time, wait_ms: u64) {
        self.epoch_load.retry_timer.schedule_next(now, wait_ms);
    }

    /// Whether it is that epoch's records that are being read.
    pub(super) fn is_loading_epoch(&self, epoch: Epoch) -> bool {
        self.membership.state() == MemberState::Loading && epoch == self.membership.fencing_token()
    }

    /// A step was answered, or not.
    pub(super) fn load_step_answered(
        &mut self,
        times: RequestTimes,
        step: LoadStep,
        response: KvResponse,
        actions: &mut Vec<Action>,
    ) {
        if self.epoch_load.step != Some(step) {
            return;
        }
        let now = times.answered_at;
        let next = match (step, response) {
            (LoadStep::AttemptRecords, KvResponse::Listing(listing)) => {
                self.attempt_records_loaded(now, listing.pairs)
            }
            (LoadStep::Completions, KvResponse::Listing(listing)) => {
                self.epoch_load.completion_pages = listing.pairs;
                Some(LoadStep::Claims)
            }
            (LoadStep::Claims, KvResponse::Listing(listing)) => {
                self.epoch_load.claims = listing.pairs;
                Some(LoadStep::OpenJobs)
            }
            (LoadStep::OpenJobs, KvResponse::WatchResponse(changes)) => {
                self.open_jobs_loaded(times, &changes)
            }
            (LoadStep::OpenJobs, KvResponse::RevisionCompacted) => {
                self.job_cache.mark_outdated();
                Some(LoadStep::OpenJobs)
            }
            _ => {
                self.retry_load_step(now, KV_RETRY_DELAY_MS);
                None
            }
        };
        if next.is_some() {
            self.epoch_load.step = next;
            self.request_load_step(now, actions);
        }
    }

    /// Keeps the attempt records that were read. The next step; none if a record cannot be read.
    fn attempt_records_loaded(&mut self, now: Time, pairs: Vec<KeyValue>) -> Option<LoadStep> {
        let pages: Result<Vec<_>, UnknownRecordFormat> =
            pairs.into_iter().map(RecordPage::read).collect();
        match pages {
            Ok(pages) => self.epoch_load.record_pages = pages,
            Err(error) => {
                // Acting without knowing what may run would run tasks twice.
                tracing::error!(%error, "unreadable attempt record, not serving");
                self.retry_load_step(now, UNREADABLE_RECORDS_RETRY_DELAY_MS);
                return None;
            }
        }
        if self.membership.is_leader() {
            Some(LoadStep::Completions)
        } else {
            Some(LoadStep::OpenJobs)
        }
    }

    /// Applies the changes of the open jobs. The next step; none if this was the last.
    fn open_jobs_loaded(
        &mut self,
        times: RequestTimes,
        changes: &WatchResponse,
    ) -> Option<LoadStep> {
        self.open_jobs_changed(times, changes);
        if self.membership.is_leader() {
            self.epoch_load.final_states_to_request = self.final_states_to_load();
        }
        if self.epoch_load.final_states_to_request.is_empty() {
            self.begin_serving(times.answered_at);
            return None;
        }
        Some(LoadStep::FinalStates)
    }

    /// Jobs on record that are not open, and not known to be done. One that is done uses nothing any more:
    /// no other attempt is made at a task that has completed.
    fn final_states_to_load(&self) -> VecDeque<JobId> {
        let pages = self.epoch_load.record_pages.iter();
        let records = pages.flat_map(|page| &page.records);
        let jobs: BTreeSet<JobId> = records.map(|record| record.task.job).collect();
        let is_open =
            |id: &JobId| self.job_cache.get(*id).is_some() || self.job_cache.is_unreadable(*id);
        let is_done = |id: &JobId| self.job_cache.final_state(*id) == Some(JobState::Done);
        let already_read = &self.epoch_load.final_states_read;
        jobs.into_iter()
            .filter(|id| !is_open(id) && !is_done(id) && !already_read.contains(id))
            .collect()
    }

    /// Requests final states of jobs on record that are not open, some at a time.
    fn request_final_states(&mut self, actions: &mut Vec<Action>) {
        let epoch = self.membership.fencing_token();
        let load = &mut self.epoch_load;
        while load.final_states_in_flight.len() < MAX_FINAL_STATE_LOADS_IN_FLIGHT {
            let Some(id) = load.final_states_to_request.pop_front() else {
                break;
            };
            load.final_states_in_flight.insert(id);
            let request = KvRequest::Get(final_state_key(id));
            call_store(
                actions,
                KvPurpose::LoadFinalState { epoch, job: id },
                request,
            );
        }
    }

    /// The final state of a job on record was read, or not.
    pub(super) fn final_state_loaded(
        &mut self,
        now: Time,
        id: JobId,
        response: KvResponse,
        actions: &mut Vec<Action>,
    ) {
        if !self.epoch_load.final_states_in_flight.remove(&id) {
            return;
        }
        match response {
            KvResponse::Found(pair) => self.keep_final_state(id, &pair),
            KvResponse::Missing => {}
            _ => {
                self.epoch_load.final_states_to_request.push_back(id);
                if self.epoch_load.final_states_in_flight.is_empty() {
                    self.retry_load_step(now, KV_RETRY_DELAY_MS);
                }
                return;
            }
        }
        let load = &mut self.epoch_load;
        load.final_states_read.insert(id);
        if load.final_states_in_flight.is_empty() && load.final_states_to_request.is_empty() {
            // Other jobs may have ended meanwhile.
            self.epoch_load.final_states_to_request = self.final_states_to_load();
        }
        self.request_final_states(actions);
        if self.epoch_load.final_states_in_flight.is_empty() {
            self.begin_serving(now);
        }
    }

    /// Remembers a final state, and the job itself if it was cancelled.
    fn keep_final_state(&mut self, id: JobId, pair: &KeyValue) {
        let state = read_final_state(&pair.value);
        if let Some(state) = state {
            let evidence = FinalStateEvidence::Read(pair.version);
            self.metrics.final_state_learnt(evidence);
            self.job_cache.remember_final(id, state, evidence);
        }
        if state != Some(JobState::Done) {
            // Final states of the release in production do not contain the job.
            let stored = read_cancelled(&pair.value).map(Rc::new);
            let job = stored.or_else(|| self.job_cache.recently_closed(id).cloned());
            let cancelled = &mut self.epoch_load.cancelled_jobs;
            cancelled.extend(job.map(|job| (id, job)));
        }
    }
}
