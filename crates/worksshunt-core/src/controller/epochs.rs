//! Answers of the state service, and what a new epoch calls for.

use worksshunt_wire::state::{Changes, Listing};
use worksshunt_wire::user::JobState;

use crate::constants::*;
use crate::jobs::{read_final, MirrorChange};
use crate::membership::{Finding, MemberState};
use crate::time::{Now, Periodic, Time};
use crate::users::{not_final, settled, Reply};

use super::{store, Action, Controller, StoreOp, StoreReply, StoreTag};

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
        self.load = self.load.restarted(fleet);
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
}
