//! The leader's turns, and the exchange between owners and leader.

use std::collections::BTreeMap;

use worksshunt_wire::peer::{PeerRequest, SyncDown, SyncUp};
use worksshunt_wire::state::{Change, Txn};

use crate::constants::*;
use crate::fleet::CloudRequest;
use crate::time::{Budget, Now, Time};

use super::events::{Action, StoreOp, StoreTag};
use super::{store, Controller, CATALOG_KEY};

impl Controller {
    pub(super) fn lead(&mut self, now: Now, budget: &Budget, out: &mut Vec<Action>) {
        let t = now.steady;
        if !self.membership.has_authority(t) {
            return;
        }
        let store_silent = self.store_silent(t);
        let (Some(leader), Some(catalog)) = (&mut self.leader, &self.catalog) else {
            return;
        };
        let pressing = self.press_turn.due(t) || leader.scheduler.replica_stuck();
        if pressing && leader.scheduler.all_heard() {
            self.press_turn.next = t + PRESS_EVERY_MS;
            leader.scheduler.look_for_spot(t);
            leader.scheduler.take_back(t);
            leader.scheduler.claim(t);
            // Nothing can be launched in the place of what is stopped before it can be recorded.
            if !store_silent {
                leader.scheduler.preempt(now, budget);
            }
            if tracing::enabled!(tracing::Level::DEBUG) {
                leader.scheduler.log_load();
            }
            self.lanes.tell_of_ends(leader.scheduler.due().count());
            // What time alone brings about: jobs that may be tried again, or have waited too long.
            leader.scheduler.stir();
        }
        leader.scheduler.round(now, budget);
        if leader.scheduler.numbers_used_up() {
            self.membership.use_up_epoch();
        }
        if self.list_turn.due(t) && self.cloud_calls.available(t) > 0 {
            self.cloud_calls.take(1 + leader.fleet.size() / CLOUD_PAGE);
            self.list_turn.sent(t, LIST_EVERY_MS);
            out.push(Action::CallCloud(CloudRequest::ListMachines));
        }
        let may_call = self.cloud_calls.available(t) > 0;
        if self.fleet_turn.due(t) && may_call && leader.scheduler.all_heard() {
            self.fleet_turn.next = t + FLEET_EVERY_MS;
            if self.catalog_kept.is_none() {
                let txn = Txn {
                    conditions: self.membership.condition().into_iter().collect(),
                    changes: vec![Change::Put {
                        key: CATALOG_KEY.to_owned(),
                        value: serde_json::json!(catalog),
                        lease: None,
                    }],
                };
                let tag = StoreTag::StoreCatalog(catalog.clone());
                store(out, tag, StoreOp::Txn(txn));
            }
            leader.fleet.heard(t, leader.scheduler.machines());
            let demand = leader.scheduler.demand(now);
            let forecast = leader.scheduler.forecast(now, catalog.least_boot_s());
            let machines = leader.scheduler.machines();
            let requests = leader.fleet.plan(t, catalog, machines, &demand, &forecast);
            leader.scheduler.drain(leader.fleet.drains());
            for request in requests {
                self.cloud_calls.take(1);
                out.push(Action::CallCloud(request));
            }
        }
    }

    /// Takes in a part's changes as the leader; none if it does not lead the part's epoch.
    pub(super) fn lead_sync(&mut self, now: Now, up: SyncUp, budget: &Budget) -> Option<SyncDown> {
        if up.epoch != self.membership.token() || !self.membership.has_authority(now.steady) {
            return None;
        }
        let leader = self.leader.as_mut()?;
        let from = up.from.clone();
        leader.scheduler.sync(now.steady, up);
        leader.scheduler.round(now, budget);
        let gone = leader.fleet.gone();
        Some(leader.scheduler.answer(now.steady, &from, gone))
    }

    pub(super) fn sync_turn(&mut self, now: Now, budget: &Budget, out: &mut Vec<Action>) {
        let t = now.steady;
        let every_ms = if self.part.changed() {
            SYNC_PRESSING_MS
        } else {
            SYNC_EVERY_MS
        };
        if self.sync_turn.in_flight || t.since(self.sync_last) < every_ms {
            return;
        }
        let Some(leader) = self.membership.epoch().map(|e| e.leader.name.clone()) else {
            return;
        };
        self.sync_last = t;
        let me = self.membership.me().clone();
        let up = self.part.sync_up(t, self.membership.token(), &me);
        if self.membership.leads() {
            match self.lead_sync(now, up, budget) {
                Some(down) => self.apply_sync(t, down),
                None => self.part.unanswered(),
            }
        } else {
            self.sync_turn.in_flight = true;
            out.push(Action::SendToPeer(leader, PeerRequest::Sync(up)));
        }
    }

    pub(super) fn apply_sync(&mut self, now: Time, down: SyncDown) {
        self.part.apply(&down, now);
        if let Some(progress) = down.progress {
            self.progress = progress
                .into_iter()
                .map(|(id, done, running)| (id, (done, running)))
                .collect::<BTreeMap<_, _>>();
        }
    }
}
