//! What a new epoch reads before its controllers act: records, completions, claims, open jobs and ends.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;

use worksshunt_wire::state::Pair;
use worksshunt_wire::user::JobState;
use worksshunt_wire::{Epoch, JobId};

use crate::constants::*;
use crate::fleet::Fleet;
use crate::jobs::{final_key, read_cancelled, read_final, Job, DONE, OPEN};
use crate::membership::MemberState;
use crate::placement::owner;
use crate::records::{self, Recorded, UnknownForm, RECORDS};
use crate::scheduler::{Found, Scheduler, CLAIMS};
use crate::time::Time;

use super::{store, Action, Controller, Leader, Loading, StoreOp, StoreReply, StoreTag};

/// Loading under way.
#[derive(Debug, Default)]
pub(super) struct Load {
    step: Option<Loading>,
    pages: Vec<(Pair, Vec<Recorded>)>,
    done: Vec<Pair>,
    claims: Vec<Pair>,
    /// Jobs on record and not open, whose ends are still to be asked for, and those asked for.
    to_ask: VecDeque<JobId>,
    asked: BTreeSet<JobId>,
    answered: BTreeSet<JobId>,
    /// The cancelled ones among them: their tasks may be on machines and use what they use.
    cancelled: BTreeMap<JobId, Rc<Job>>,
    /// The fleet as this controller knew it when it led the last epoch it led.
    fleet: Option<Fleet>,
}

impl Load {
    /// Begins anew, with the fleet as this controller knows it if it led until now.
    pub fn restarted(&mut self, led: Option<Fleet>) -> Load {
        Load {
            fleet: led.or(self.fleet.take()),
            ..Load::default()
        }
    }
}

impl Controller {
    pub(super) fn load_step(&mut self, now: Time, out: &mut Vec<Action>) {
        let step = *self.load.step.get_or_insert(Loading::AttemptRecords);
        let tag = StoreTag::LoadEpoch(self.membership.token(), step);
        let op = match (step, self.mirror.revision()) {
            (Loading::AttemptRecords, _) => StoreOp::List(RECORDS.to_owned()),
            (Loading::Completions, _) => StoreOp::List(DONE.to_owned()),
            (Loading::Claims, _) => StoreOp::List(CLAIMS.to_owned()),
            (Loading::OpenJobs, Some(since)) => StoreOp::Watch(OPEN.to_owned(), since, 0),
            (Loading::OpenJobs, None) => {
                // The first reading is under way.
                self.load_retry.retry(now, STORE_RETRY_MS);
                return;
            }
            (Loading::FinalStates, _) => {
                self.load_retry.sent(now, 0);
                self.ask_for_ends(out);
                return;
            }
        };
        self.load_retry.sent(now, 0);
        store(out, tag, op);
    }

    /// Whether it is that epoch's records that are being read.
    pub(super) fn loads(&self, epoch: Epoch) -> bool {
        self.membership.state() == MemberState::Loading && epoch == self.membership.token()
    }

    /// Asks how jobs on record that are not open have ended, some at a time.
    fn ask_for_ends(&mut self, out: &mut Vec<Action>) {
        while self.load.asked.len() < LOAD_FINALS_AT_ONCE {
            let Some(id) = self.load.to_ask.pop_front() else {
                break;
            };
            self.load.asked.insert(id);
            let tag = StoreTag::LoadFinalState(self.membership.token(), id);
            store(out, tag, StoreOp::Get(final_key(id)));
        }
    }

    /// Jobs on record that are not open, and not known to be done. One that is done uses nothing any more:
    /// no other attempt is made at a task that has completed.
    fn ends_to_ask_for(&self) -> VecDeque<JobId> {
        let on = self.load.pages.iter().flat_map(|(_, on)| on);
        let jobs: BTreeSet<JobId> = on.map(|record| record.task.job).collect();
        let open = |id: &JobId| self.mirror.get(*id).is_some() || self.mirror.is_odd(*id);
        let done = |id: &JobId| self.mirror.final_state(*id) == Some(JobState::Done);
        let answered = &self.load.answered;
        jobs.into_iter()
            .filter(|id| !open(id) && !done(id) && !answered.contains(id))
            .collect()
    }

    /// It was told how a job on record has ended, or not.
    pub(super) fn end_answer(
        &mut self,
        now: Time,
        id: JobId,
        reply: StoreReply,
        out: &mut Vec<Action>,
    ) {
        if !self.load.asked.remove(&id) {
            return;
        }
        match reply {
            StoreReply::Found(pair) => {
                let state = read_final(&pair.value);
                if let Some(state) = state {
                    self.mirror.remember_final(id, state);
                }
                if state != Some(JobState::Done) {
                    // Production keeps no job along.
                    let kept = read_cancelled(&pair.value).map(Rc::new);
                    let job = kept.or_else(|| self.mirror.closed(id).cloned());
                    self.load.cancelled.extend(job.map(|job| (id, job)));
                }
            }
            StoreReply::Missing => {}
            _ => {
                self.load.to_ask.push_back(id);
                if self.load.asked.is_empty() {
                    self.load_retry.retry(now, STORE_RETRY_MS);
                }
                return;
            }
        }
        self.load.answered.insert(id);
        if self.load.asked.is_empty() && self.load.to_ask.is_empty() {
            // Others may have ended meanwhile.
            self.load.to_ask = self.ends_to_ask_for();
        }
        self.ask_for_ends(out);
        if self.load.asked.is_empty() {
            self.finish_loading(now);
        }
    }

    pub(super) fn load_answer(
        &mut self,
        (now, sent): (Time, Time),
        step: Loading,
        reply: StoreReply,
        out: &mut Vec<Action>,
    ) {
        if self.load.step != Some(step) {
            return;
        }
        let next = match (step, reply) {
            (Loading::AttemptRecords, StoreReply::Listing(listing)) => {
                let read = |pair: Pair| {
                    let records = records::read(&pair)?;
                    Ok((pair, records))
                };
                let pages: Result<Vec<_>, UnknownForm> =
                    listing.pairs.into_iter().map(read).collect();
                match pages {
                    Ok(pages) => self.load.pages = pages,
                    Err(error) => {
                        // Acting without knowing what may run would run tasks twice.
                        tracing::error!(%error, "cannot serve");
                        self.load_retry.retry(now, UNREADABLE_PAUSE_MS);
                        return;
                    }
                }
                if self.membership.leads() {
                    Loading::Completions
                } else {
                    Loading::OpenJobs
                }
            }
            (Loading::Completions, StoreReply::Listing(listing)) => {
                self.load.done = listing.pairs;
                Loading::Claims
            }
            (Loading::Claims, StoreReply::Listing(listing)) => {
                self.load.claims = listing.pairs;
                Loading::OpenJobs
            }
            (Loading::OpenJobs, StoreReply::Changes(changes)) => {
                self.changed(now, sent, &changes);
                if self.membership.leads() {
                    self.load.to_ask = self.ends_to_ask_for();
                }
                if self.load.to_ask.is_empty() {
                    return self.finish_loading(now);
                }
                Loading::FinalStates
            }
            (Loading::OpenJobs, StoreReply::RevisionCompacted) => {
                self.mirror.outdated();
                Loading::OpenJobs
            }
            _ => {
                self.load_retry.retry(now, STORE_RETRY_MS);
                return;
            }
        };
        self.load.step = Some(next);
        self.load_step(now, out);
    }

    fn finish_loading(&mut self, now: Time) {
        let Some(epoch) = self.membership.epoch().cloned() else {
            return;
        };
        let load = std::mem::take(&mut self.load);
        let mut pages = load.pages;
        let stale = records::keep_latest(&mut pages);
        let names = epoch.owners();
        let me = self.membership.me();
        let just_before = Epoch(epoch.number.0 - 1);
        let before = self
            .part_of
            .take()
            .filter(|(number, _)| *number == just_before)
            .map_or(Vec::new(), |(_, names)| names);
        let on: Vec<Recorded> = pages.iter().flat_map(|(_, on)| on.clone()).collect();
        self.part.load(
            now,
            (epoch.number, me),
            &on,
            &self.mirror,
            |machine| owner(machine, &names) == Some(me),
            |machine| owner(machine, &before) == Some(me),
        );
        self.part_of = Some((epoch.number, names.clone()));
        if self.membership.leads() {
            let found = Found {
                records: pages,
                stale,
                done: load.done,
                claims: load.claims,
                cancelled: load.cancelled,
            };
            let facts = &self.settings.facts;
            let mut scheduler =
                Scheduler::load(now, epoch.number, &names, facts, &self.mirror, &found);
            let fleet = match load.fleet {
                Some(fleet) if fleet.epoch() == just_before => fleet.carried_over(epoch.number),
                _ => {
                    let rentals = self.capacity.rentals;
                    Fleet::new(epoch.number, now, &facts.cloud, &facts.workers, rentals)
                }
            };
            scheduler.drain(fleet.drains());
            if let Some(most) = self.attempts_most {
                scheduler.limit_attempts(most);
            }
            self.leader = Some(Leader { scheduler, fleet });
            tracing::info!(epoch = %epoch.number, members = names.len(), "leading");
        }
        self.membership.loaded();
    }
}
