//! Loading of a new epoch: its members read records, completions, claims, open jobs and final states before they act.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;

use worksshunt_wire::key_value::{KeyValue, WatchResponse};
use worksshunt_wire::user::JobState;
use worksshunt_wire::{Epoch, JobId};

use crate::constants::key_value::{KV_RETRY_DELAY_MS, MAX_FINAL_STATE_LOADS_IN_FLIGHT};
use crate::constants::timers::UNREADABLE_RECORDS_RETRY_DELAY_MS;
use crate::fleet::Fleet;
use crate::jobs::{
    final_state_key, read_cancelled_job, read_final_state, FinalStateEvidence, Job,
    COMPLETIONS_PREFIX, OPEN_JOBS_PREFIX,
};
use crate::membership::MemberState;
use crate::records::{RecordPage, UnknownRecordFormat, ATTEMPT_RECORDS_PREFIX};
use crate::scheduler::CLAIMS_PREFIX;
use crate::time::{PeriodicTimer, Time};

use super::key_value_responses::RequestTimes;
use super::{call_store, Action, Controller, KvPurpose, KvRequest, KvResponse, LoadStep};

/// Progress of loading an epoch, and the data read so far.
#[derive(Debug, Default)]
pub(super) struct EpochLoad {
    retry_timer: PeriodicTimer,
    /// Current step; `None` before the first.
    step: Option<LoadStep>,
    /// Pages of attempt records.
    pub record_pages: Vec<RecordPage>,
    /// Pages of completed tasks; only read by the leader.
    pub completion_pages: Vec<KeyValue>,
    /// Claims; only read by the leader.
    pub claims: Vec<KeyValue>,
    /// Jobs that have records and are not open, whose final states are still to be requested.
    final_states_to_request: VecDeque<JobId>,
    /// Jobs whose final states are requested and not yet read.
    final_states_in_flight: BTreeSet<JobId>,
    /// Jobs whose final states have been read or found missing.
    final_states_read: BTreeSet<JobId>,
    /// Jobs that were cancelled or have no readable final state: their tasks may still use resources on machines.
    pub cancelled_jobs: BTreeMap<JobId, Rc<Job>>,
    /// Fleet of the last epoch that this controller led; `None` if it has led none.
    pub previous_fleet: Option<Fleet>,
}

impl EpochLoad {
    /// Returns the initial state for loading another epoch. `current_fleet` is the fleet of the epoch that ends, or
    /// `None` if this controller did not lead it; in that case the fleet of an earlier epoch is kept.
    pub fn restart(&mut self, current_fleet: Option<Fleet>) -> EpochLoad {
        EpochLoad {
            previous_fleet: current_fleet.or(self.previous_fleet.take()),
            ..EpochLoad::default()
        }
    }

    /// Whether the current step is to be requested again.
    pub fn is_retry_due(&self, now: Time) -> bool {
        self.retry_timer.is_due(now)
    }
}

impl Controller {
    /// Sends the request of the current step, or of the first one if loading has not begun.
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
                // The job cache is not loaded yet; its listing is in flight.
                return self.retry_load_step(now, KV_RETRY_DELAY_MS);
            }
            (LoadStep::FinalStates, _) => {
                self.epoch_load.retry_timer.mark_sent(now, 0);
                return self.request_final_states(actions);
            }
        };
        self.epoch_load.retry_timer.mark_sent(now, 0);
        let epoch = self.membership.epoch_number();
        let purpose = KvPurpose::LoadEpoch { epoch, step };
        call_store(actions, purpose, request);
    }

    fn retry_load_step(&mut self, now: Time, wait_ms: u64) {
        self.epoch_load.retry_timer.schedule_next(now, wait_ms);
    }

    /// Whether this controller is loading `epoch`.
    pub(super) fn is_loading_epoch(&self, epoch: Epoch) -> bool {
        self.membership.state() == MemberState::Loading && epoch == self.membership.epoch_number()
    }

    /// Processes the response to a load step: continues with the next step, or retries after a failure.
    pub(super) fn process_load_step_response(
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
                self.process_attempt_records(now, listing.pairs)
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
                self.process_loaded_open_jobs(times, &changes)
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

    /// Decodes and stores the attempt records. Returns the next step; `None` if a record has an unknown format.
    fn process_attempt_records(&mut self, now: Time, pairs: Vec<KeyValue>) -> Option<LoadStep> {
        let pages: Result<Vec<_>, UnknownRecordFormat> =
            pairs.into_iter().map(RecordPage::read).collect();
        match pages {
            Ok(pages) => self.epoch_load.record_pages = pages,
            Err(error) => {
                // Serving without knowing all attempts that may be running could run tasks twice.
                tracing::error!(%error, "cannot read an attempt record; not serving, reading the records again later");
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

    /// Applies the changes of the open jobs. Returns the next step; `None` if this was the last.
    fn process_loaded_open_jobs(
        &mut self,
        times: RequestTimes,
        changes: &WatchResponse,
    ) -> Option<LoadStep> {
        self.apply_watch_response(times, changes);
        if self.membership.is_leader() {
            self.epoch_load.final_states_to_request = self.final_states_to_load();
        }
        if self.epoch_load.final_states_to_request.is_empty() {
            self.begin_serving(times.answered_at);
            return None;
        }
        Some(LoadStep::FinalStates)
    }

    /// Jobs that have records and are neither open nor known to be done. A job that is done uses no resources: all its
    /// tasks have completed, and a completed task gets no further attempt.
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

    /// Requests the queued final states, at most [`MAX_FINAL_STATE_LOADS_IN_FLIGHT`] at a time.
    fn request_final_states(&mut self, actions: &mut Vec<Action>) {
        let epoch = self.membership.epoch_number();
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

    /// Processes the response to a read of a final state. Starts serving after the last one.
    pub(super) fn process_loaded_final_state(
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
            KvResponse::Found(pair) => self.record_loaded_final_state(id, &pair),
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
            // Other jobs may have been closed in the meantime.
            self.epoch_load.final_states_to_request = self.final_states_to_load();
        }
        self.request_final_states(actions);
        if self.epoch_load.final_states_in_flight.is_empty() {
            self.begin_serving(now);
        }
    }

    /// Adds a final state to the job cache, and the job to the cancelled ones unless it is done.
    fn record_loaded_final_state(&mut self, id: JobId, pair: &KeyValue) {
        let state = read_final_state(&pair.value);
        if let Some(state) = state {
            let evidence = FinalStateEvidence::Read(pair.version);
            self.metrics.count_final_state(evidence);
            self.job_cache.cache_final_state(id, state, evidence);
        }
        if state != Some(JobState::Done) {
            // Final states written by an older release do not contain the job.
            let stored = read_cancelled_job(&pair.value).map(Rc::new);
            let job = stored.or_else(|| self.job_cache.recently_closed_job(id).cloned());
            let cancelled = &mut self.epoch_load.cancelled_jobs;
            cancelled.extend(job.map(|job| (id, job)));
        }
    }
}
