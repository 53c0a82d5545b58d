//! Answers of the state service, each to the part that asked.

use worksshunt_wire::cloud::Catalog;
use worksshunt_wire::user::JobState;
use worksshunt_wire::JobId;

use crate::constants::*;
use crate::jobs::{read_final, MirrorChange};
use crate::time::{Now, Time};
use crate::users::{not_final, settled, Ask, Reply};

use super::{Action, Controller, StoreReply, StoreTag};

impl Controller {
    /// Takes in an answer of the state service to a request sent at `sent`.
    pub(super) fn store(
        &mut self,
        now: Now,
        tag: StoreTag,
        sent: Time,
        reply: StoreReply,
        out: &mut Vec<Action>,
    ) {
        let t = now.steady;
        if reply.is_answer() {
            self.store_heard = t;
            self.epoch_poll.state_service_answered();
        }
        match tag {
            StoreTag::GrantLease => self.new_lease_answer(t, reply),
            StoreTag::WriteMemberKey => self.join_answer(t, reply),
            StoreTag::RenewLease(lease) => self.renew_answer(t, lease, reply),
            StoreTag::ReadControlKeys => self.control_answer((t, sent), reply, out),
            StoreTag::ProposeEpoch => {
                self.propose_turn.retry(t, 0);
                self.control_turn.next = t;
            }
            StoreTag::ListOpenJobs => self.open_answer((t, sent), reply),
            StoreTag::WatchOpenJobs => self.follow_answer((t, sent), reply, out),
            StoreTag::CatchUpOpenJobs => self.caught_up(t, sent, reply, out),
            StoreTag::LoadEpoch(epoch, step) if self.loads(epoch) => {
                self.load_answer((t, sent), step, reply, out);
            }
            StoreTag::LoadFinalState(epoch, id) if self.loads(epoch) => {
                self.end_answer(t, id, reply, out);
            }
            StoreTag::QueuedWrite(lane, epoch, number) if epoch == self.membership.token() => {
                self.lane_answer((lane, number), t, sent, reply);
            }
            StoreTag::ReadPageVersion(epoch, key) if epoch == self.membership.token() => {
                self.refreshed(t, &key, reply);
            }
            // Of an epoch that is over.
            StoreTag::LoadEpoch(..)
            | StoreTag::LoadFinalState(..)
            | StoreTag::QueuedWrite(..)
            | StoreTag::ReadPageVersion(..) => {}
            StoreTag::LookUpFinalState(id) => self.learn_answer(id, reply),
            StoreTag::AcceptSubmissions(number) => self.accept_answer(number, t, reply, out),
            StoreTag::CancelJob(ask) => self.withdraw_answer(t, ask, reply, out),
            StoreTag::ReadFinalState(ask) => self.final_answer(t, ask, reply, out),
            StoreTag::ReadCatalog => self.catalog_answer(reply),
            StoreTag::StoreCatalog(catalog) => self.keep_catalog_answer(catalog, &reply),
        }
    }

    fn new_lease_answer(&mut self, now: Time, reply: StoreReply) {
        let pause_ms = if reply.is_answer() { 0 } else { STORE_RETRY_MS };
        self.lease_turn.retry(now, pause_ms);
        if let StoreReply::LeaseGranted(lease) = reply {
            self.membership.granted(lease);
            self.control_turn.next = now;
        }
    }

    fn join_answer(&mut self, now: Time, reply: StoreReply) {
        match reply {
            StoreReply::Committed(version) => {
                self.lease_turn.retry(now, 0);
                self.control_turn.next = now;
                self.membership.joined(version);
            }
            StoreReply::Conflict(_) => {
                self.lease_turn.retry(now, STORE_RETRY_MS);
                self.control_turn.next = now;
                self.membership.key_overtaken();
            }
            StoreReply::NoSuchLease => {
                self.lease_turn.retry(now, 0);
                self.membership.lost_lease();
            }
            _ => self.lease_turn.retry(now, STORE_RETRY_MS),
        }
    }

    fn renew_answer(&mut self, now: Time, lease: u64, reply: StoreReply) {
        self.lease_turn.in_flight = false;
        match reply {
            StoreReply::NoSuchLease if self.membership.lease() == Some(lease) => {
                tracing::info!(lease, "the lease ran out");
                self.lease_turn.next = now;
                self.leave(now);
            }
            StoreReply::LeaseRenewed => {}
            _ => self.lease_turn.next = now + STORE_RETRY_MS,
        }
    }

    fn control_answer(
        &mut self,
        (now, sent): (Time, Time),
        reply: StoreReply,
        out: &mut Vec<Action>,
    ) {
        self.control_turn.in_flight = false;
        match reply {
            StoreReply::Listing(listing) => self.control(now, sent, &listing, out),
            _ => self.control_turn.next = now + STORE_RETRY_MS,
        }
    }

    fn open_answer(&mut self, (now, sent): (Time, Time), reply: StoreReply) {
        self.open_turn.retry(now, STORE_RETRY_MS);
        if let StoreReply::Listing(listing) = reply {
            if !self.mirror.loaded() {
                self.membership.jobs_read(sent);
                let changes = self.mirror.load(&listing);
                self.mirror_changed(now, changes);
            }
        }
    }

    fn follow_answer(
        &mut self,
        (now, sent): (Time, Time),
        reply: StoreReply,
        out: &mut Vec<Action>,
    ) {
        match reply {
            StoreReply::Changes(changes) => {
                self.follow_turn.retry(now, FOLLOW_PAUSE_MS);
                self.changed(now, sent, &changes);
            }
            StoreReply::RevisionCompacted => {
                self.follow_turn.retry(now, 0);
                self.reload_mirror(out);
            }
            _ => self.follow_turn.retry(now, STORE_RETRY_MS),
        }
    }

    fn learn_answer(&mut self, id: JobId, reply: StoreReply) {
        match reply {
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
        }
    }

    fn withdraw_answer(&mut self, now: Time, ask: Ask, reply: StoreReply, out: &mut Vec<Action>) {
        match reply {
            StoreReply::Committed(_) => {
                let id = ask.id;
                self.mirror.remember_final(id, JobState::Cancelled);
                self.mirror_changed(now, vec![MirrorChange::Closed(id)]);
                let reply = settled(&ask, JobState::Cancelled);
                out.push(Action::Respond(ask.request, reply));
            }
            StoreReply::Conflict(_) => self.users.wait(ask),
            _ => out.push(Action::Respond(
                ask.request,
                Reply::later("not cancelled yet"),
            )),
        }
    }

    fn final_answer(&mut self, now: Time, ask: Ask, reply: StoreReply, out: &mut Vec<Action>) {
        let reply = match reply {
            StoreReply::Found(pair) => match read_final(&pair.value) {
                Some(state) => {
                    self.mirror.remember_final(ask.id, state);
                    settled(&ask, state)
                }
                None => {
                    tracing::error!(key = pair.key, "final state cannot be read");
                    Reply::later("unreadable state")
                }
            },
            StoreReply::Missing => {
                let step = not_final(ask, &self.mirror);
                return self.step(now, step, out);
            }
            _ => Reply::later("the state service does not answer"),
        };
        out.push(Action::Respond(ask.request, reply));
    }

    fn catalog_answer(&mut self, reply: StoreReply) {
        if let (StoreReply::Found(pair), None) = (reply, &self.catalog) {
            self.catalog = serde_json::from_value(pair.value).ok();
            self.catalog_kept.clone_from(&self.catalog);
        }
    }

    fn keep_catalog_answer(&mut self, catalog: Catalog, reply: &StoreReply) {
        // One that is larger than a value may be is done without.
        if let StoreReply::Committed(_) | StoreReply::TooLarge = reply {
            self.catalog_kept = Some(catalog);
        }
    }
}
