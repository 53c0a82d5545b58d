//! The exchange between a partition's owner and the leader: status up, directives down.

use std::collections::BTreeMap;

use worksshunt_wire::peer::{LeaderDirectives, PartitionStatus, PeerRequest, PeerResponse};

use crate::constants::partition_sync::{SYNC_BUSY_INTERVAL_MS, SYNC_IDLE_INTERVAL_MS};
use crate::job_api::JobProgress;
use crate::time::{Budget, Now, Time};

use super::{Action, Controller};

/// The exchange of this controller's partition with the leader.
#[derive(Debug, Default)]
pub(super) struct PartitionSync {
    in_flight: bool,
    /// When the status was last sent, also in a former epoch.
    last_sent_at: Time,
}

impl PartitionSync {
    /// In a new epoch the status may be sent at once, whether or not the former leader has answered.
    pub fn begin_epoch(&mut self) {
        self.in_flight = false;
    }
}

impl Controller {
    /// Sends the partition's status to the leader when it is due, sooner if something has changed.
    pub(super) fn sync_with_leader(
        &mut self,
        now: Now,
        budget: &Budget,
        actions: &mut Vec<Action>,
    ) {
        let interval_ms = if self.partition.has_pending_updates() {
            SYNC_BUSY_INTERVAL_MS
        } else {
            SYNC_IDLE_INTERVAL_MS
        };
        let sync = &mut self.partition_sync;
        if sync.in_flight || now.steady.since(sync.last_sent_at) < interval_ms {
            return;
        }
        let Some(leader) = self.membership.epoch().map(|e| e.leader.name.clone()) else {
            return;
        };
        sync.last_sent_at = now.steady;
        let token = self.membership.fencing_token();
        let status = self
            .partition
            .next_status(now.steady, token, self.membership.name());
        if self.membership.is_leader() {
            match self.apply_partition_status(now, status, budget) {
                Some(directives) => self.apply_leader_directives(now.steady, directives),
                None => self.partition.status_unanswered(),
            }
        } else {
            self.partition_sync.in_flight = true;
            actions.push(Action::SendToPeer(leader, PeerRequest::Sync(status)));
        }
    }

    /// Processes a partition's status as the leader; none if it does not lead the partition's epoch.
    pub(super) fn apply_partition_status(
        &mut self,
        now: Now,
        status: PartitionStatus,
        budget: &Budget,
    ) -> Option<LeaderDirectives> {
        if status.epoch != self.membership.fencing_token() || !self.membership.may_act(now.steady) {
            return None;
        }
        let leader = self.leader.as_mut()?;
        let from = status.owner.clone();
        leader.scheduler.apply_status(now.steady, status);
        leader.scheduler.run_round(now, budget);
        let terminated = leader.fleet.terminated_machines();
        let directives = leader
            .scheduler
            .directives_for(now.steady, &from, terminated);
        Some(directives)
    }

    /// The leader has answered the status; none: it has not.
    pub(super) fn sync_answered(&mut self, now: Time, response: Option<PeerResponse>) {
        self.partition_sync.in_flight = false;
        if response.is_some() {
            self.readiness.leader_answered(now);
        }
        match response {
            Some(PeerResponse::Sync(directives))
                if directives.epoch == self.membership.fencing_token() =>
            {
                self.apply_leader_directives(now, directives);
            }
            _ => self.partition.status_unanswered(),
        }
    }

    fn apply_leader_directives(&mut self, now: Time, directives: LeaderDirectives) {
        self.partition.apply_directives(&directives, now);
        if let Some(progress) = directives.progress {
            self.progress = progress
                .into_iter()
                .map(|(id, done, running)| (id, JobProgress { done, running }))
                .collect::<BTreeMap<_, _>>();
        }
    }
}
