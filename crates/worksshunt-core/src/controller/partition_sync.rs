//! Sync between partition owners and the leader: owners send their partition's status, and the leader responds with
//! directives.

use std::collections::BTreeMap;

use worksshunt_wire::peer::{LeaderDirectives, PartitionStatus, PeerRequest, PeerResponse};

use crate::constants::partition_sync::{SYNC_BUSY_INTERVAL_MS, SYNC_IDLE_INTERVAL_MS};
use crate::job_api::JobProgress;
use crate::time::{Budget, Now, Time};

use super::{Action, Controller};

/// State of this controller's sync with the leader.
#[derive(Debug, Default)]
pub(super) struct PartitionSync {
    is_in_flight: bool,
    /// When the status was last sent, possibly in an earlier epoch.
    last_sent_at: Time,
}

impl PartitionSync {
    /// Allows a sync in a new epoch without waiting for the response of the previous leader.
    pub fn begin_epoch(&mut self) {
        self.is_in_flight = false;
    }
}

impl Controller {
    /// Sends the partition's status to the leader when due, which is sooner if updates are pending.
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
        if sync.is_in_flight || now.steady.since(sync.last_sent_at) < interval_ms {
            return;
        }
        let Some(leader) = self.membership.epoch().map(|e| e.leader.name.clone()) else {
            return;
        };
        sync.last_sent_at = now.steady;
        let epoch = self.membership.epoch_number();
        let status = self
            .partition
            .next_status(now.steady, epoch, self.membership.name());
        if self.membership.is_leader() {
            match self.apply_partition_status(now, status, budget) {
                Some(directives) => self.apply_leader_directives(now.steady, directives),
                None => self.partition.requeue_unacknowledged_updates(),
            }
        } else {
            self.partition_sync.is_in_flight = true;
            actions.push(Action::SendToPeer(leader, PeerRequest::Sync(status)));
        }
    }

    /// Processes a partition's status and returns the leader's directives; `None` if this controller is not the
    /// leader of the status's epoch, or may not act, or the status is not newer than the last one.
    pub(super) fn apply_partition_status(
        &mut self,
        now: Now,
        status: PartitionStatus,
        budget: &Budget,
    ) -> Option<LeaderDirectives> {
        if status.epoch != self.membership.epoch_number() || !self.membership.may_act(now.steady) {
            return None;
        }
        let leader = self.leader.as_mut()?;
        let owner = status.owner.clone();
        if !leader.scheduler.apply_status(now.steady, status) {
            return None;
        }
        leader.scheduler.run_round(now, budget);
        let terminated = leader.fleet.terminated_machines();
        let directives = leader
            .scheduler
            .directives_for(now.steady, &owner, terminated);
        Some(directives)
    }

    /// Processes the leader's response to the status; `None` after a failure.
    pub(super) fn process_sync_response(&mut self, now: Time, response: Option<PeerResponse>) {
        self.partition_sync.is_in_flight = false;
        if response.is_some() {
            self.readiness.record_leader_response(now);
        }
        match response {
            Some(PeerResponse::Sync(directives))
                if directives.epoch == self.membership.epoch_number() =>
            {
                self.apply_leader_directives(now, directives);
            }
            _ => self.partition.requeue_unacknowledged_updates(),
        }
    }

    /// Applies the leader's directives to the partition, and updates the progress of jobs if they contain it.
    fn apply_leader_directives(&mut self, now: Time, directives: LeaderDirectives) {
        self.partition.apply_directives(&directives, now);
        if let Some(progress) = directives.progress {
            self.job_progress = progress
                .into_iter()
                .map(|(id, completed_tasks, running_tasks)| {
                    let progress = JobProgress {
                        completed_tasks,
                        running_tasks,
                    };
                    (id, progress)
                })
                .collect::<BTreeMap<_, _>>();
        }
    }
}
