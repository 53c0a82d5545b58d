//! Answers of the state service, and what a new epoch calls for.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;

use worksshunt_wire::state::{Changes, Listing, Pair};
use worksshunt_wire::user::JobState;
use worksshunt_wire::{Epoch, JobId};

use crate::constants::*;
use crate::fleet::Fleet;
use crate::jobs::{final_key, read_cancelled, read_final, Job, MirrorChange, DONE, OPEN};
use crate::membership::{Finding, MemberState};
use crate::placement::owner;
use crate::records::{self, Recorded, UnknownForm, RECORDS};
use crate::scheduler::{Found, Scheduler, CLAIMS};
use crate::time::{Now, Periodic, Time};
use crate::users::{not_final, settled, Reply};

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

impl Controller {
    /// Takes in an answer about the open jobs to a request sent at `sent`.
    pub(super) fn changed(&mut self, now: Time, sent: Time, changes: &Changes) {
        if self.mirror.loaded() {
            self.membership.jobs_read(sent);
        }
        let changes = self.mirror.apply(changes);
        self.mirror_changed(now, changes);
    }

    pub(super) fn mirror_changed(&mut self, now: Time, changes: Vec<MirrorChange>) {
        for change in changes {
            match change {
                MirrorChange::Opened(id) => {
                    if let (Some(leader), Some(open)) = (&mut self.leader, self.mirror.get(id)) {
                        leader.scheduler.open(id, &open.job);
                    }
                }
                MirrorChange::Closed(id) => {
                    self.part.stop_job(id, now);
                    if let Some(leader) = &mut self.leader {
                        leader.scheduler.close(id, now);
                    }
                }
            }
        }
    }

    pub(super) fn store(
        &mut self,
        now: Now,
        tag: StoreTag,
        sent: Time,
        reply: StoreReply,
        out: &mut Vec<Action>,
    ) {
        let t = now.steady;
        let answered = !matches!(reply, StoreReply::Refused | StoreReply::Unknown);
        if answered {
            self.store_heard = t;
            self.epoch_poll.state_service_answered();
        }
        match tag {
            StoreTag::NewLease => {
                self.lease_turn
                    .retry(t, if answered { 0 } else { STORE_RETRY_MS });
                if let StoreReply::Lease(lease) = reply {
                    self.membership.granted(lease);
                    self.control_turn.next = t;
                }
            }
            StoreTag::Join => match reply {
                StoreReply::Committed(version) => {
                    self.lease_turn.retry(t, 0);
                    self.control_turn.next = t;
                    self.membership.joined(version);
                }
                StoreReply::Conflict(_) => {
                    self.lease_turn.retry(t, STORE_RETRY_MS);
                    self.control_turn.next = t;
                    self.membership.key_overtaken();
                }
                StoreReply::NoSuchLease => {
                    self.lease_turn.retry(t, 0);
                    self.membership.lost_lease();
                }
                _ => self.lease_turn.retry(t, STORE_RETRY_MS),
            },
            StoreTag::Renew(lease) => {
                self.lease_turn.in_flight = false;
                match reply {
                    StoreReply::NoSuchLease if self.membership.lease() == Some(lease) => {
                        tracing::info!(lease, "the lease ran out");
                        self.lease_turn.next = t;
                        self.leave(t);
                    }
                    StoreReply::Renewed => {}
                    _ => self.lease_turn.next = t + STORE_RETRY_MS,
                }
            }
            StoreTag::Control => {
                self.control_turn.in_flight = false;
                match reply {
                    StoreReply::Listing(listing) => {
                        self.control(t, sent, &listing, out);
                    }
                    _ => self.control_turn.next = t + STORE_RETRY_MS,
                }
            }
            StoreTag::Propose => {
                self.propose_turn.retry(t, 0);
                self.control_turn.next = t;
            }
            StoreTag::Open => {
                self.open_turn.retry(t, STORE_RETRY_MS);
                if let StoreReply::Listing(listing) = reply {
                    if !self.mirror.loaded() {
                        self.membership.jobs_read(sent);
                        let changes = self.mirror.load(&listing);
                        self.mirror_changed(t, changes);
                    }
                }
            }
            StoreTag::Follow => match reply {
                StoreReply::Changes(changes) => {
                    self.follow_turn.retry(t, FOLLOW_PAUSE_MS);
                    self.changed(t, sent, &changes);
                }
                StoreReply::TooOld => {
                    self.follow_turn.retry(t, 0);
                    self.reload_mirror(out);
                }
                _ => self.follow_turn.retry(t, STORE_RETRY_MS),
            },
            StoreTag::CatchUp => self.caught_up(t, sent, reply, out),
            StoreTag::Load(epoch, step) => {
                if self.loads(epoch) {
                    self.load_answer((t, sent), step, reply, out);
                }
            }
            StoreTag::LoadEnd(epoch, id) => {
                if self.loads(epoch) {
                    self.end_answer(t, id, reply, out);
                }
            }
            StoreTag::Write(lane, epoch, number) => {
                if epoch == self.membership.token() {
                    self.lane_answer((lane, number), t, sent, reply);
                }
            }
            StoreTag::Refresh(epoch, key) => {
                if epoch == self.membership.token() {
                    self.refreshed(t, &key, reply);
                }
            }
            StoreTag::Learn(id) => match reply {
                StoreReply::Found(pair) => {
                    self.learning.remove(&id);
                    if let Some(state) = read_final(&pair.value) {
                        self.mirror.remember_final(id, state);
                    }
                }
                StoreReply::Missing => {
                    self.learning.remove(&id);
                }
                _ => self.to_learn.push_back(id),
            },
            StoreTag::Accept(number) => self.accept_answer(number, t, reply, out),
            StoreTag::Withdraw(ask) => match reply {
                StoreReply::Committed(_) => {
                    let id = ask.id;
                    self.mirror.remember_final(id, JobState::Cancelled);
                    self.mirror_changed(t, vec![MirrorChange::Closed(id)]);
                    out.push(Action::Reply(
                        ask.request,
                        settled(&ask, JobState::Cancelled),
                    ));
                }
                StoreReply::Conflict(_) => self.users.wait(ask),
                _ => out.push(Action::Reply(
                    ask.request,
                    Reply::later("not cancelled yet"),
                )),
            },
            StoreTag::Final(ask) => match reply {
                StoreReply::Found(pair) => match read_final(&pair.value) {
                    Some(state) => {
                        self.mirror.remember_final(ask.id, state);
                        out.push(Action::Reply(ask.request, settled(&ask, state)));
                    }
                    None => {
                        tracing::error!(key = pair.key, "final state cannot be read");
                        out.push(Action::Reply(ask.request, Reply::later("unreadable state")));
                    }
                },
                StoreReply::Missing => {
                    let step = not_final(ask, &self.mirror);
                    self.step(t, step, out);
                }
                _ => out.push(Action::Reply(
                    ask.request,
                    Reply::later("the state service does not answer"),
                )),
            },
            StoreTag::Catalog => {
                if let (StoreReply::Found(pair), None) = (reply, &self.catalog) {
                    self.catalog = serde_json::from_value(pair.value).ok();
                    self.catalog_kept.clone_from(&self.catalog);
                }
            }
            StoreTag::KeepCatalog(catalog) => {
                // One that is larger than a value may be is done without.
                if let StoreReply::Committed(_) | StoreReply::TooLarge = reply {
                    self.catalog_kept = Some(catalog);
                }
            }
        }
    }

    pub(super) fn reload_mirror(&mut self, out: &mut Vec<Action>) {
        self.mirror.outdated();
        for ask in self.users.read() {
            out.push(Action::Reply(
                ask.request,
                Reply::later("reading jobs again"),
            ));
        }
    }

    fn control(&mut self, now: Time, sent: Time, listing: &Listing, out: &mut Vec<Action>) {
        match self.membership.control_read(sent, listing) {
            Finding::Steady => {}
            Finding::Evicted => {
                tracing::info!("the member key is gone");
                self.leave(now);
            }
            Finding::NewEpoch => {
                self.new_epoch(now, out);
            }
            Finding::Propose(txn) => {
                if self.propose_turn.due(now) {
                    self.propose_turn.sent(now, 0);
                    store(out, StoreTag::Propose, StoreOp::Txn(txn));
                }
            }
        }
    }

    pub(super) fn leave(&mut self, now: Time) {
        self.membership.lost_lease();
        self.leader = None;
        self.forget_part(now);
    }

    fn new_epoch(&mut self, now: Time, out: &mut Vec<Action>) {
        let fleet = self.leader.take().map(|leader| leader.fleet);
        self.load = Load {
            fleet: fleet.or(self.load.fleet.take()),
            ..Load::default()
        };
        self.load_retry = Periodic::default();
        self.leader_heard = now;
        let owners = self
            .membership
            .epoch()
            .map_or(0, |epoch| epoch.owners().len());
        self.lanes.begin(owners);
        self.sync_turn = Periodic::default();
        self.list_turn = Periodic::default();
        self.fleet_turn = Periodic::default();
        self.press_turn = Periodic::default();
        if self.membership.state() == MemberState::Loading {
            self.load_step(now, out);
        } else {
            self.forget_part(now);
        }
    }

    fn forget_part(&mut self, now: Time) {
        self.part.clear(now);
        self.part_of = None;
    }

    pub(super) fn load_step(&mut self, now: Time, out: &mut Vec<Action>) {
        let step = *self.load.step.get_or_insert(Loading::Records);
        let tag = StoreTag::Load(self.membership.token(), step);
        let op = match (step, self.mirror.revision()) {
            (Loading::Records, _) => StoreOp::List(RECORDS.to_owned()),
            (Loading::Done, _) => StoreOp::List(DONE.to_owned()),
            (Loading::Claims, _) => StoreOp::List(CLAIMS.to_owned()),
            (Loading::Mirror, Some(since)) => StoreOp::Follow(OPEN.to_owned(), since, 0),
            (Loading::Mirror, None) => {
                // The first reading is under way.
                self.load_retry.retry(now, STORE_RETRY_MS);
                return;
            }
            (Loading::Ends, _) => {
                self.load_retry.sent(now, 0);
                self.ask_for_ends(out);
                return;
            }
        };
        self.load_retry.sent(now, 0);
        store(out, tag, op);
    }

    /// Whether it is that epoch's records that are being read.
    fn loads(&self, epoch: Epoch) -> bool {
        self.membership.state() == MemberState::Loading && epoch == self.membership.token()
    }

    /// Asks how jobs on record that are not open have ended, some at a time.
    fn ask_for_ends(&mut self, out: &mut Vec<Action>) {
        while self.load.asked.len() < LOAD_FINALS_AT_ONCE {
            let Some(id) = self.load.to_ask.pop_front() else {
                break;
            };
            self.load.asked.insert(id);
            let tag = StoreTag::LoadEnd(self.membership.token(), id);
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
    fn end_answer(&mut self, now: Time, id: JobId, reply: StoreReply, out: &mut Vec<Action>) {
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

    fn load_answer(
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
            (Loading::Records, StoreReply::Listing(listing)) => {
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
                    Loading::Done
                } else {
                    Loading::Mirror
                }
            }
            (Loading::Done, StoreReply::Listing(listing)) => {
                self.load.done = listing.pairs;
                Loading::Claims
            }
            (Loading::Claims, StoreReply::Listing(listing)) => {
                self.load.claims = listing.pairs;
                Loading::Mirror
            }
            (Loading::Mirror, StoreReply::Changes(changes)) => {
                self.changed(now, sent, &changes);
                if self.membership.leads() {
                    self.load.to_ask = self.ends_to_ask_for();
                }
                if self.load.to_ask.is_empty() {
                    return self.finish_loading(now);
                }
                Loading::Ends
            }
            (Loading::Mirror, StoreReply::TooOld) => {
                self.mirror.outdated();
                Loading::Mirror
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
