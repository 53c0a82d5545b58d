//! Scaling in: which machines to drain, which to release, and the response to a release request.

use std::collections::BTreeSet;

use worksshunt_wire::cloud::{Catalog, MachineIds};
use worksshunt_wire::MachineId;

use crate::constants::fleet::MAX_MACHINES_PER_RELEASE_REQUEST;
use crate::scheduler::MachineView;
use crate::time::Time;

use super::{Fleet, MachineStage};

impl Fleet {
    /// Drains a silent machine with replicas on it, one at a time, so that the replicas are replaced.
    pub(super) fn drain_silent_machine(&mut self, now: Time, silent: &[MachineId]) {
        // Unless it is released in the same step, its partition's next status would mark it as reported again.
        if now < self.silent_release_not_before || self.release_in_flight {
            return;
        }
        for id in silent {
            let tracked = self.machines.get_mut(id);
            let Some(tracked) = tracked.filter(|tracked| tracked.stage() == MachineStage::Up)
            else {
                continue;
            };
            tracing::info!(machine = %id, "machine with replicas missed heartbeats, scaled in");
            tracked.abandon(id);
            self.silent_release_not_before = now + self.silent_release_interval_ms;
            return;
        }
    }

    /// The next release request, after draining the machines that are idle or silent. Machines in
    /// `reserved` stay though they are idle. `None` while a request is in flight.
    pub(super) fn next_release(
        &mut self,
        now: Time,
        catalog: &Catalog,
        machines: &[&MachineView],
        reserved: &BTreeSet<MachineId>,
    ) -> Option<MachineIds> {
        let mut ids = self.drain_and_select(now, catalog, machines, reserved);
        ids.truncate(MAX_MACHINES_PER_RELEASE_REQUEST);
        if ids.is_empty() || self.release_in_flight {
            return None;
        }
        for id in &ids {
            if let Some(tracked) = self.machines.get_mut(id) {
                if tracked.stage() != MachineStage::Releasing {
                    tracing::info!(machine = %id, "releasing machine");
                }
                tracked.set_stage(id, MachineStage::Releasing);
            }
        }
        self.release_in_flight = true;
        Some(MachineIds { ids })
    }

    /// Drains the machines that are idle or silent. Returns those that can be released.
    fn drain_and_select(
        &mut self,
        now: Time,
        catalog: &Catalog,
        machines: &[&MachineView],
        reserved: &BTreeSet<MachineId>,
    ) -> Vec<MachineId> {
        // Only once it is no longer schedulable does a machine that is reported empty stay so.
        let drained: BTreeSet<&MachineId> = machines
            .iter()
            .filter(|view| view.idle_since.is_some() && !view.status.is_schedulable)
            .map(|view| &view.status.id)
            .collect();
        let mut selected = Vec::new();
        for (id, tracked) in &mut self.machines {
            let machine_type = catalog.machine_type(&tracked.offer.machine_type);
            let boot_s = machine_type.map_or(0.0, |machine_type| machine_type.boot_s);
            match tracked.stage() {
                MachineStage::Up if tracked.is_idle(now, boot_s) && !reserved.contains(id) => {
                    tracked.set_stage(id, MachineStage::Draining);
                }
                MachineStage::Booting | MachineStage::Up if tracked.is_silent(now, boot_s) => {
                    tracing::info!(
                        machine = %id, stage = ?tracked.stage(),
                        "machine missed heartbeats, scaled in"
                    );
                    tracked.abandon(id);
                }
                MachineStage::Draining if !tracked.is_reported() || drained.contains(id) => {
                    selected.push(id.clone());
                }
                MachineStage::Releasing if !self.release_in_flight => selected.push(id.clone()),
                _ => {}
            }
        }
        selected
    }

    /// A release request was answered. `released` are the machines that are terminated by it; `None` if
    /// it failed, in which case it is repeated.
    pub fn apply_release_response(&mut self, now: Time, released: Option<&MachineIds>) {
        self.release_in_flight = false;
        for id in released.iter().flat_map(|released| &released.ids) {
            self.machines.remove(id);
            self.terminated.insert(id.clone(), now);
        }
    }
}
