//! What a read of the control keys calls for: entering a new epoch, leaving one, proposing the next.

use worksshunt_wire::key_value::Listing;

use crate::membership::{MemberState, MembershipAction};
use crate::time::Time;

use super::key_value_responses::RequestTimes;
use super::{call_store, Action, Controller, KvPurpose, KvRequest};

impl Controller {
    /// Processes a read of the control keys.
    pub(super) fn process_control_keys(
        &mut self,
        times: RequestTimes,
        listing: &Listing,
        actions: &mut Vec<Action>,
    ) {
        let now = times.answered_at;
        match self.membership.process_control_keys(times.sent_at, listing) {
            MembershipAction::Unchanged => {}
            MembershipAction::MemberKeyMissing => {
                tracing::info!("member key missing, joining again");
                self.leave_epoch(now);
            }
            MembershipAction::NewEpoch => self.enter_epoch(now, actions),
            MembershipAction::Propose(write) => {
                let timer = &mut self.membership_timers.proposal;
                if timer.is_due(now) {
                    timer.mark_sent(now, 0);
                    let request = KvRequest::CompareAndSwap(write);
                    call_store(actions, KvPurpose::ProposeEpoch, request);
                }
            }
        }
    }

    /// Gives up the lease, and with it leadership and partition.
    pub(super) fn leave_epoch(&mut self, now: Time) {
        self.membership.lease_lost();
        self.leader = None;
        self.drop_partition(now);
    }

    fn enter_epoch(&mut self, now: Time, actions: &mut Vec<Action>) {
        let fleet = self.leader.take().map(|leader| leader.fleet);
        self.epoch_load = self.epoch_load.restarted(fleet);
        self.readiness.leader_answered(now);
        let owners = self
            .membership
            .epoch()
            .map_or(0, |epoch| epoch.partition_owners().len());
        self.write_queues.begin_epoch(owners);
        self.partition_sync.begin_epoch();
        self.leader_duties.begin_epoch();
        if self.membership.state() == MemberState::Loading {
            self.request_load_step(now, actions);
        } else {
            self.drop_partition(now);
        }
    }

    fn drop_partition(&mut self, now: Time) {
        self.partition.clear(now);
        self.partition_epoch = None;
    }
}
