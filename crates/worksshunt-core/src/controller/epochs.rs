//! Epoch transitions after a read of the control keys: entering a new epoch, leaving one, proposing the next.

use worksshunt_wire::key_value::Listing;

use crate::membership::{MemberState, MembershipAction};
use crate::time::Time;

use super::key_value_responses::RequestTimes;
use super::{call_store, Action, Controller, KvPurpose, KvRequest};

impl Controller {
    /// Processes a listing of the control keys.
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
                tracing::info!("own member key not found; joining again with a new lease");
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

    /// Gives up the lease, the leadership and the partition. The controller then joins again as a new member.
    pub(super) fn leave_epoch(&mut self, now: Time) {
        self.membership.drop_lease();
        self.leader = None;
        self.drop_partition(now);
    }

    /// Starts loading a new epoch, or drops the partition if this controller is not a member of it.
    fn enter_epoch(&mut self, now: Time, actions: &mut Vec<Action>) {
        let current_fleet = self.leader.take().map(|leader| leader.fleet);
        self.epoch_load = self.epoch_load.restart(current_fleet);
        self.readiness.record_leader_response(now);
        let owner_count = self
            .membership
            .epoch()
            .map_or(0, |epoch| epoch.partition_owners().len());
        self.write_queues.begin_epoch(owner_count);
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
