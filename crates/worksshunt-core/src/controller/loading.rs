//! What a new epoch reads before its controllers act: records, completions, claims, open jobs and ends.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;

use worksshunt_wire::key_value::KeyValue;
use worksshunt_wire::user::JobState;
use worksshunt_wire::{Epoch, JobId};

use crate::constants::key_value::{FINAL_STATE_LOADS_IN_FLIGHT, KV_RETRY_MS};
use crate::constants::timers::UNREADABLE_RECORDS_RETRY_MS;
use crate::fleet::Fleet;
use crate::jobs::{final_state_key, read_cancelled, read_final_state, Job, DONE, OPEN};
use crate::machines::EpochStart;
use crate::membership::MemberState;
use crate::placement::owner;
use crate::records::{self, AttemptRecord, UnknownRecordFormat, RECORDS};
use crate::scheduler::{Scheduler, StoredState, CLAIMS};
use crate::time::Time;

use super::{store, Action, Controller, KvPurpose, KvRequest, KvResponse, Leader, LoadStep};

/// Loading under way.
#[derive(Debug, Default)]
pub(super) struct EpochLoad {
    step: Option<LoadStep>,
    pages: Vec<(KeyValue, Vec<AttemptRecord>)>,
    done: Vec<KeyValue>,
    claims: Vec<KeyValue>,
    /// Jobs on record and not open, whose ends are still to be asked for, and those asked for.
    to_ask: VecDeque<JobId>,
    asked: BTreeSet<JobId>,
    answered: BTreeSet<JobId>,
    /// The cancelled ones among them: their tasks may be on machines and use what they use.
    cancelled: BTreeMap<JobId, Rc<Job>>,
    /// The fleet as this controller knew it when it led the last epoch it led.
    fleet: Option<Fleet>,
}

impl EpochLoad {
    /// Begins anew, with the fleet as this controller knows it if it led until now.
    pub fn restarted(&mut self, led: Option<Fleet>) -> EpochLoad {
        EpochLoad {
            fleet: led.or(self.fleet.take()),
            ..EpochLoad::default()
        }
    }
}

impl Controller {
    pub(super) fn request_load_step(&mut self, now: Time, actions: &mut Vec<Action>) {
        let step = *self.epoch_load.step.get_or_insert(LoadStep::AttemptRecords);
        let tag = KvPurpose::LoadEpoch(self.membership.fencing_token(), step);
        let op = match (step, self.job_cache.revision()) {
            (LoadStep::AttemptRecords, _) => KvRequest::List(RECORDS.to_owned()),
            (LoadStep::Completions, _) => KvRequest::List(DONE.to_owned()),
            (LoadStep::Claims, _) => KvRequest::List(CLAIMS.to_owned()),
            (LoadStep::OpenJobs, Some(since)) => KvRequest::Watch(OPEN.to_owned(), since, 0),
            (LoadStep::OpenJobs, None) => {
                // The first reading is under way.
                self.load_retry.schedule_retry(now, KV_RETRY_MS);
                return;
            }
            (LoadStep::FinalStates, _) => {
                self.load_retry.mark_sent(now, 0);
                self.request_final_states(actions);
                return;
            }
        };
        self.load_retry.mark_sent(now, 0);
        store(actions, tag, op);
    }

    /// Whether it is that epoch's records that are being read.
    pub(super) fn is_loading_epoch(&self, epoch: Epoch) -> bool {
        self.membership.state() == MemberState::Loading && epoch == self.membership.fencing_token()
    }

    /// Asks how jobs on record that are not open have ended, some at a time.
    fn request_final_states(&mut self, actions: &mut Vec<Action>) {
        while self.epoch_load.asked.len() < FINAL_STATE_LOADS_IN_FLIGHT {
            let Some(id) = self.epoch_load.to_ask.pop_front() else {
                break;
            };
            self.epoch_load.asked.insert(id);
            let tag = KvPurpose::LoadFinalState(self.membership.fencing_token(), id);
            store(actions, tag, KvRequest::Get(final_state_key(id)));
        }
    }

    /// Jobs on record that are not open, and not known to be done. One that is done uses nothing any more:
    /// no other attempt is made at a task that has completed.
    fn final_states_to_load(&self) -> VecDeque<JobId> {
        let on = self.epoch_load.pages.iter().flat_map(|(_, on)| on);
        let jobs: BTreeSet<JobId> = on.map(|record| record.task.job).collect();
        let open =
            |id: &JobId| self.job_cache.get(*id).is_some() || self.job_cache.is_unreadable(*id);
        let done = |id: &JobId| self.job_cache.final_state(*id) == Some(JobState::Done);
        let answered = &self.epoch_load.answered;
        jobs.into_iter()
            .filter(|id| !open(id) && !done(id) && !answered.contains(id))
            .collect()
    }

    /// It was told how a job on record has ended, or not.
    pub(super) fn final_state_loaded(
        &mut self,
        now: Time,
        id: JobId,
        reply: KvResponse,
        actions: &mut Vec<Action>,
    ) {
        if !self.epoch_load.asked.remove(&id) {
            return;
        }
        match reply {
            KvResponse::Found(pair) => {
                let state = read_final_state(&pair.value);
                if let Some(state) = state {
                    self.job_cache.remember_final(id, state);
                }
                if state != Some(JobState::Done) {
                    // Production keeps no job along.
                    let kept = read_cancelled(&pair.value).map(Rc::new);
                    let job = kept.or_else(|| self.job_cache.recently_closed(id).cloned());
                    self.epoch_load.cancelled.extend(job.map(|job| (id, job)));
                }
            }
            KvResponse::Missing => {}
            _ => {
                self.epoch_load.to_ask.push_back(id);
                if self.epoch_load.asked.is_empty() {
                    self.load_retry.schedule_retry(now, KV_RETRY_MS);
                }
                return;
            }
        }
        self.epoch_load.answered.insert(id);
        if self.epoch_load.asked.is_empty() && self.epoch_load.to_ask.is_empty() {
            // Others may have ended meanwhile.
            self.epoch_load.to_ask = self.final_states_to_load();
        }
        self.request_final_states(actions);
        if self.epoch_load.asked.is_empty() {
            self.finish_loading(now);
        }
    }

    pub(super) fn load_step_answered(
        &mut self,
        (now, sent): (Time, Time),
        step: LoadStep,
        reply: KvResponse,
        actions: &mut Vec<Action>,
    ) {
        if self.epoch_load.step != Some(step) {
            return;
        }
        let next = match (step, reply) {
            (LoadStep::AttemptRecords, KvResponse::Listing(listing)) => {
                let read = |pair: KeyValue| {
                    let records = records::read(&pair)?;
                    Ok((pair, records))
                };
                let pages: Result<Vec<_>, UnknownRecordFormat> =
                    listing.pairs.into_iter().map(read).collect();
                match pages {
                    Ok(pages) => self.epoch_load.pages = pages,
                    Err(error) => {
                        // Acting without knowing what may run would run tasks twice.
                        tracing::error!(%error, "cannot serve");
                        self.load_retry
                            .schedule_retry(now, UNREADABLE_RECORDS_RETRY_MS);
                        return;
                    }
                }
                if self.membership.is_leader() {
                    LoadStep::Completions
                } else {
                    LoadStep::OpenJobs
                }
            }
            (LoadStep::Completions, KvResponse::Listing(listing)) => {
                self.epoch_load.done = listing.pairs;
                LoadStep::Claims
            }
            (LoadStep::Claims, KvResponse::Listing(listing)) => {
                self.epoch_load.claims = listing.pairs;
                LoadStep::OpenJobs
            }
            (LoadStep::OpenJobs, KvResponse::WatchResponse(changes)) => {
                self.open_jobs_changed(now, sent, &changes);
                if self.membership.is_leader() {
                    self.epoch_load.to_ask = self.final_states_to_load();
                }
                if self.epoch_load.to_ask.is_empty() {
                    return self.finish_loading(now);
                }
                LoadStep::FinalStates
            }
            (LoadStep::OpenJobs, KvResponse::RevisionCompacted) => {
                self.job_cache.mark_outdated();
                LoadStep::OpenJobs
            }
            _ => {
                self.load_retry.schedule_retry(now, KV_RETRY_MS);
                return;
            }
        };
        self.epoch_load.step = Some(next);
        self.request_load_step(now, actions);
    }

    fn finish_loading(&mut self, now: Time) {
        let Some(epoch) = self.membership.epoch().cloned() else {
            return;
        };
        let load = std::mem::take(&mut self.epoch_load);
        let mut pages = load.pages;
        let stale = records::retain_latest_attempts(&mut pages);
        let names = epoch.partition_owners();
        let me = self.membership.name();
        let just_before = Epoch(epoch.number.0 - 1);
        let before = self
            .partition_epoch
            .take()
            .filter(|(number, _)| *number == just_before)
            .map_or(Vec::new(), |(_, names)| names);
        let on: Vec<AttemptRecord> = pages.iter().flat_map(|(_, on)| on.clone()).collect();
        self.partition.begin_epoch(
            now,
            &EpochStart {
                epoch: epoch.number,
                controller: me,
                records: &on,
                job_cache: &self.job_cache,
            },
            |machine| owner(machine, &names) == Some(me),
            |machine| owner(machine, &before) == Some(me),
        );
        self.partition_epoch = Some((epoch.number, names.clone()));
        if self.membership.is_leader() {
            let found = StoredState {
                record_pages: pages,
                stale_record_pages: stale,
                completion_pages: load.done,
                claims: load.claims,
                cancelled: load.cancelled,
            };
            let facts = &self.settings.facts;
            let mut scheduler =
                Scheduler::load(now, epoch.number, &names, facts, &self.job_cache, &found);
            let fleet = match load.fleet {
                Some(fleet) if fleet.epoch() == just_before => fleet.carried_over(epoch.number),
                _ => {
                    let rentals = self.capacity.rentals;
                    Fleet::new(epoch.number, now, &facts.cloud, &facts.workers, rentals)
                }
            };
            scheduler.set_draining(fleet.draining());
            if let Some(most) = self.attempt_limit {
                scheduler.limit_attempts(most);
            }
            self.leader = Some(Leader { scheduler, fleet });
            tracing::info!(epoch = %epoch.number, members = names.len(), "leading");
        }
        self.membership.epoch_loaded();
    }
}
