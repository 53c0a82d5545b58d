//! Scaling in: selects the machines to drain and to release, and applies the responses to release requests.

use std::collections::BTreeSet;

use worksshunt_wire::cloud::{Catalog, MachineIds};
use worksshunt_wire::MachineId;

use crate::constants::fleet::MAX_MACHINES_PER_RELEASE_REQUEST;
use crate::scheduler::MachineView;
use crate::time::Time;

use super::{Fleet, MachineStage};

impl Fleet {
    /// Drains the first of the `unresponsive` machines that is up, so that its replicas are replaced. At most one
    /// machine is drained per release interval.
    pub(super) fn drain_unresponsive_machine(&mut self, now: Time, unresponsive: &[MachineId]) {
        // The release has to be sent in the same step: the partition's next status marks the machine as reported again.
        if now < self.unresponsive_release_not_before || self.is_release_in_flight {
            return;
        }
        for id in unresponsive {
            let tracked = self.machines.get_mut(id);
            let Some(tracked) = tracked.filter(|tracked| tracked.stage() == MachineStage::Up)
            else {
                continue;
            };
            tracing::info!(machine = %id, "machine with replicas missed heartbeats; releasing it");
            tracked.force_drain(id);
            self.unresponsive_release_not_before = now + self.unresponsive_release_interval_ms;
            return;
        }
    }

    /// Drains idle machines and those whose report is overdue, and returns the next release request. Idle machines in
    /// `reserved` are not drained. Returns `None` while a request is in flight or if no machine can be released.
    pub(super) fn next_release(
        &mut self,
        now: Time,
        catalog: &Catalog,
        machines: &[&MachineView],
        reserved: &BTreeSet<MachineId>,
    ) -> Option<MachineIds> {
        let mut ids = self.drain_and_select(now, catalog, machines, reserved);
        ids.truncate(MAX_MACHINES_PER_RELEASE_REQUEST);
        if ids.is_empty() || self.is_release_in_flight {
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
        self.is_release_in_flight = true;
        Some(MachineIds { ids })
    }

    /// Drains idle machines and those whose report is overdue. Returns the machines that can be released.
    fn drain_and_select(
        &mut self,
        now: Time,
        catalog: &Catalog,
        machines: &[&MachineView],
        reserved: &BTreeSet<MachineId>,
    ) -> Vec<MachineId> {
        // A machine that is still schedulable may get a task after its partition reported it empty.
        let empty_unschedulable: BTreeSet<&MachineId> = machines
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
                MachineStage::Booting | MachineStage::Up
                    if tracked.is_report_overdue(now, boot_s) =>
                {
                    tracing::info!(
                        machine = %id, stage = ?tracked.stage(),
                        "machine missed heartbeats; releasing it"
                    );
                    tracked.force_drain(id);
                }
                MachineStage::Draining
                    if !tracked.is_reported() || empty_unschedulable.contains(id) =>
                {
                    selected.push(id.clone());
                }
                MachineStage::Releasing if !self.is_release_in_flight => selected.push(id.clone()),
                _ => {}
            }
        }
        selected
    }

    /// Applies the response to a release request. `released` are the terminated machines, or `None` if the request
    /// failed; it is then sent again.
    pub fn apply_release_response(&mut self, now: Time, released: Option<&MachineIds>) {
        self.is_release_in_flight = false;
        for id in released.iter().flat_map(|released| &released.ids) {
            self.machines.remove(id);
            self.terminated_at.insert(id.clone(), now);
        }
    }
}
