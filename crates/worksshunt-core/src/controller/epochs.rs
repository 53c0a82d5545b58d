//! What reads of the open jobs and of the control keys bring, and what a new epoch calls for.

use worksshunt_wire::state::{Changes, Listing};

use crate::jobs::MirrorChange;
use crate::membership::{Finding, MemberState};
use crate::time::{Periodic, Time};
use crate::users::Reply;

use super::{store, Action, Controller, StoreOp, StoreTag};

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

    pub(super) fn reload_mirror(&mut self, out: &mut Vec<Action>) {
        self.mirror.outdated();
        for ask in self.users.read() {
            out.push(Action::Respond(
                ask.request,
                Reply::later("reading jobs again"),
            ));
        }
    }

    pub(super) fn control(
        &mut self,
        now: Time,
        sent: Time,
        listing: &Listing,
        out: &mut Vec<Action>,
    ) {
        match self.membership.control_read(sent, listing) {
            Finding::Unchanged => {}
            Finding::MemberKeyGone => {
                tracing::info!("the member key is gone");
                self.leave(now);
            }
            Finding::NewEpoch => {
                self.new_epoch(now, out);
            }
            Finding::Propose(txn) => {
                if self.propose_turn.due(now) {
                    self.propose_turn.sent(now, 0);
                    store(out, StoreTag::ProposeEpoch, StoreOp::Txn(txn));
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
