//! The leader's turns, and the exchange between owners and leader.

use std::collections::BTreeMap;

use worksshunt_wire::key_value::{Change, CompareAndSwap};
use worksshunt_wire::peer::{LeaderDirectives, PartitionStatus, PeerRequest};

use crate::constants::fleet::MACHINE_LIST_PAGE;
use crate::constants::partition_sync::{SYNC_BUSY_INTERVAL_MS, SYNC_IDLE_INTERVAL_MS};
use crate::constants::timers::{
    FLEET_INTERVAL_MS, MACHINE_LIST_INTERVAL_MS, WAITING_TASKS_INTERVAL_MS,
};
use crate::fleet::CloudRequest;
use crate::job_api::JobProgress;
use crate::time::{Budget, Now, Time};

use super::events::{Action, KvPurpose, KvRequest};
use super::{store, Controller, CATALOG_KEY};

impl Controller {
    pub(super) fn run_leader_duties(
        &mut self,
        now: Now,
        budget: &Budget,
        actions: &mut Vec<Action>,
    ) {
        let t = now.steady;
        if !self.membership.may_act(t) {
            return;
        }
        let store_silent = self.key_value_store_silent(t);
        let (Some(leader), Some(catalog)) = (&mut self.leader, &self.catalog) else {
            return;
        };
        let pressing = self.waiting_tasks_timer.is_due(t) || leader.scheduler.replica_stuck();
        if pressing && leader.scheduler.all_partitions_reported() {
            self.waiting_tasks_timer.next = t + WAITING_TASKS_INTERVAL_MS;
            leader.scheduler.note_spot_machines(t);
            leader.scheduler.reassign_unsent(t);
            leader.scheduler.claim_machines(t);
            // Nothing can be launched in the place of what is stopped before it can be recorded.
            if !store_silent {
                leader.scheduler.preempt(now, budget);
            }
            if tracing::enabled!(tracing::Level::DEBUG) {
                leader.scheduler.log_load();
            }
            self.write_queues
                .warn_of_final_write_backlog(leader.scheduler.pending_writes().count());
            // What time alone brings about: jobs that may be tried again, or have waited too long.
            leader.scheduler.request_round();
        }
        leader.scheduler.run_round(now, budget);
        if leader.scheduler.attempts_exhausted() {
            self.membership.mark_attempts_exhausted();
        }
        if self.machine_list_timer.is_due(t) && self.cloud_calls.available(t) > 0 {
            self.cloud_calls
                .take(1 + leader.fleet.size() / MACHINE_LIST_PAGE);
            self.machine_list_timer
                .mark_sent(t, MACHINE_LIST_INTERVAL_MS);
            actions.push(Action::CallCloud(CloudRequest::ListMachines));
        }
        let may_call = self.cloud_calls.available(t) > 0;
        if self.fleet_timer.is_due(t) && may_call && leader.scheduler.all_partitions_reported() {
            self.fleet_timer.next = t + FLEET_INTERVAL_MS;
            if self.stored_catalog.is_none() {
                let write = CompareAndSwap {
                    expected: self.membership.epoch_unchanged().into_iter().collect(),
                    changes: vec![Change::Put {
                        key: CATALOG_KEY.to_owned(),
                        value: serde_json::json!(catalog),
                        lease: None,
                    }],
                };
                let tag = KvPurpose::StoreCatalog(catalog.clone());
                store(actions, tag, KvRequest::CompareAndSwap(write));
            }
            leader
                .fleet
                .update_from_partitions(t, leader.scheduler.machines());
            let demand = leader.scheduler.demand(now);
            let forecast = leader.scheduler.forecast(now, catalog.shortest_boot_s());
            let machines = leader.scheduler.machines();
            let requests = leader
                .fleet
                .plan_requests(t, catalog, machines, &demand, &forecast);
            leader.scheduler.set_draining(leader.fleet.draining());
            for request in requests {
                self.cloud_calls.take(1);
                actions.push(Action::CallCloud(request));
            }
        }
    }

    /// Takes in a part's changes as the leader; none if it does not lead the part's epoch.
    pub(super) fn apply_partition_status(
        &mut self,
        now: Now,
        up: PartitionStatus,
        budget: &Budget,
    ) -> Option<LeaderDirectives> {
        if up.epoch != self.membership.fencing_token() || !self.membership.may_act(now.steady) {
            return None;
        }
        let leader = self.leader.as_mut()?;
        let from = up.from.clone();
        leader.scheduler.apply_status(now.steady, up);
        leader.scheduler.run_round(now, budget);
        let gone = leader.fleet.terminated();
        Some(leader.scheduler.directives_for(now.steady, &from, gone))
    }

    pub(super) fn sync_with_leader(
        &mut self,
        now: Now,
        budget: &Budget,
        actions: &mut Vec<Action>,
    ) {
        let t = now.steady;
        let every_ms = if self.partition.has_pending_updates() {
            SYNC_BUSY_INTERVAL_MS
        } else {
            SYNC_IDLE_INTERVAL_MS
        };
        if self.sync_timer.in_flight || t.since(self.last_sync_at) < every_ms {
            return;
        }
        let Some(leader) = self.membership.epoch().map(|e| e.leader.name.clone()) else {
            return;
        };
        self.last_sync_at = t;
        let me = self.membership.name().clone();
        let up = self
            .partition
            .next_status(t, self.membership.fencing_token(), &me);
        if self.membership.is_leader() {
            match self.apply_partition_status(now, up, budget) {
                Some(directives) => self.apply_leader_directives(t, directives),
                None => self.partition.status_unanswered(),
            }
        } else {
            self.sync_timer.in_flight = true;
            actions.push(Action::SendToPeer(leader, PeerRequest::Sync(up)));
        }
    }

    pub(super) fn apply_leader_directives(&mut self, now: Time, directives: LeaderDirectives) {
        self.partition.apply_directives(&directives, now);
        if let Some(progress) = directives.progress {
            self.progress = progress
                .into_iter()
                .map(|(id, done, running)| (id, JobProgress { done, running }))
                .collect::<BTreeMap<_, _>>();
        }
    }
}
