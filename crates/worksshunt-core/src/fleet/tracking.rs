//! Updates the fleet's machines from the cloud's machine list and the status of the partitions.

use std::collections::BTreeSet;

use worksshunt_wire::cloud::{ListedMachine, ListedState, MachineList};
use worksshunt_wire::MachineId;

use crate::constants::fleet::FORGET_AFTER_LIST_LAGS;
use crate::scheduler::MachineView;
use crate::time::Time;

use super::{Fleet, MachineStage, TrackedMachine};

impl Fleet {
    /// Applies all pages of a machine list. A machine that was listed and is missing from a later list is terminated. A
    /// machine that was never listed is forgotten only when no partition reports it either.
    pub fn apply_machine_list(&mut self, now: Time, pages: &[MachineList]) {
        self.remove_terminated(now, pages);
        let listed = || pages.iter().flat_map(|page| &page.machines);
        for machine in listed() {
            if !self.terminated_at.contains_key(&machine.id) {
                self.track_listed(now, machine);
            }
        }
        self.forget_unlisted(now, &listed().map(|machine| &machine.id).collect());
    }

    fn remove_terminated(&mut self, now: Time, pages: &[MachineList]) {
        let mut after = None;
        for page in pages {
            for id in self.listings.apply_page(after, page) {
                if self.machines.remove(&id).is_some() {
                    tracing::info!(
                        machine = %id,
                        "machine is missing from a later machine list; treating it as terminated"
                    );
                }
                self.terminated_at.insert(id, now);
            }
            after = page.machines.last().map(|machine| &machine.id).or(after);
        }
    }

    fn track_listed(&mut self, now: Time, machine: &ListedMachine) {
        // The unreported time of a running machine counts from its first sighting: a new leader does not know the time
        // of the last heartbeat, and the partition may not have reported the machine yet.
        let first_seen_at = match machine.state {
            ListedState::Starting => now - (machine.age_s * 1_000.0) as u64,
            ListedState::Running | ListedState::Failed => now,
        };
        let tracked = self.machines.entry(machine.id.clone()).or_insert_with(|| {
            TrackedMachine::new(machine.into(), MachineStage::Booting, first_seen_at)
        });
        match machine.state {
            ListedState::Starting => {}
            ListedState::Running => tracked.mark_running(now),
            ListedState::Failed if tracked.stage() == MachineStage::Releasing => {}
            ListedState::Failed => {
                tracing::info!(machine = %machine.id, "cloud lists the machine as failed; releasing it");
                tracked.force_drain(&machine.id);
            }
        }
    }

    /// Forgets machines that have been neither listed nor reported for several times the lag of the list.
    fn forget_unlisted(&mut self, now: Time, listed: &BTreeSet<&MachineId>) {
        let timeout_ms = self.list_lag_ms * FORGET_AFTER_LIST_LAGS;
        self.machines
            .retain(|id, tracked| listed.contains(id) || tracked.unreported_ms(now) < timeout_ms);
        self.terminated_at.retain(|id, terminated_at| {
            listed.contains(id) || now.since(*terminated_at) < timeout_ms
        });
    }

    /// Applies the machine status that the partitions reported.
    pub fn update_from_partitions<'a>(
        &mut self,
        now: Time,
        machines: impl Iterator<Item = &'a MachineView>,
    ) {
        for view in machines {
            let status = &view.status;
            if status.is_lost || self.terminated_at.contains_key(&status.id) {
                continue;
            }
            let tracked = self
                .machines
                .entry(status.id.clone())
                .or_insert_with(|| TrackedMachine::new(status.into(), MachineStage::Up, now));
            tracked.mark_reported(&status.id, now);
            if status.is_unreachable && tracked.stage() == MachineStage::Up {
                tracing::info!(machine = %status.id, "machine is unreachable; draining it");
                tracked.set_stage(&status.id, MachineStage::Draining);
            }
            // A dispatched task may be a replica, which would keep a draining machine from becoming empty.
            let idle_since = view.idle_since.filter(|_| !view.has_reservations());
            tracked.set_idle_since(idle_since);
        }
    }
}
