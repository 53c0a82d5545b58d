//! A provisioned machine as the fleet tracks it.

use worksshunt_wire::MachineId;

use crate::constants::fleet::{
    BOOT_TIMEOUT_EXTRA_S, BOOT_TIMEOUT_FACTOR, IDLE_RELEASE_BOOT_TIMES, MIN_IDLE_RELEASE_MS,
};
use crate::time::Time;

use super::InstanceOffer;

/// The stage of a machine's life cycle.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum MachineStage {
    /// Provisioned, no partition has reported it yet.
    Booting,
    /// A partition has reported it.
    Up,
    /// Gets no new tasks, to be released when it is empty.
    Draining,
    /// A release request has been sent.
    Releasing,
}

/// A provisioned machine.
#[derive(Debug, Clone)]
pub(super) struct TrackedMachine {
    pub(super) offer: InstanceOffer,
    stage: MachineStage,
    /// When it was provisioned or first seen.
    first_seen_at: Time,
    /// Since when the cloud lists it as running.
    running_since: Option<Time>,
    /// When a partition last reported it; `None` also once it is released without waiting for a partition's status.
    last_reported_at: Option<Time>,
    /// Since when it is empty and no dispatched task has resources reserved on it.
    idle_since: Option<Time>,
}

impl TrackedMachine {
    pub(super) fn new(
        offer: InstanceOffer,
        stage: MachineStage,
        first_seen_at: Time,
    ) -> TrackedMachine {
        TrackedMachine {
            offer,
            stage,
            first_seen_at,
            running_since: None,
            last_reported_at: None,
            idle_since: None,
        }
    }

    pub(super) fn stage(&self) -> MachineStage {
        self.stage
    }

    /// The one place where a machine's stage changes.
    pub(super) fn set_stage(&mut self, id: &MachineId, next: MachineStage) {
        if self.stage != next {
            tracing::debug!(machine = %id, from = ?self.stage, to = ?next, "machine stage changed");
            self.stage = next;
        }
    }

    /// The cloud lists it as running.
    pub(super) fn mark_running(&mut self, now: Time) {
        self.running_since.get_or_insert(now);
    }

    /// A partition reports it.
    pub(super) fn mark_reported(&mut self, id: &MachineId, now: Time) {
        self.last_reported_at = Some(now);
        if self.stage == MachineStage::Booting {
            self.set_stage(id, MachineStage::Up);
        }
    }

    pub(super) fn set_idle_since(&mut self, idle_since: Option<Time>) {
        self.idle_since = idle_since;
    }

    /// Drains it and has it released without waiting until a partition reports it empty.
    pub(super) fn abandon(&mut self, id: &MachineId) {
        self.last_reported_at = None;
        self.set_stage(id, MachineStage::Draining);
    }

    /// Whether any partition has reported it, and it has not been abandoned since.
    pub(super) fn is_reported(&self) -> bool {
        self.last_reported_at.is_some()
    }

    pub(super) fn is_draining(&self) -> bool {
        matches!(self.stage, MachineStage::Draining | MachineStage::Releasing)
    }

    /// Whether it boots and is likely to come up: not if it has been running for that long without a
    /// heartbeat.
    pub(super) fn is_expected_to_boot(&self, now: Time, first_heartbeat_timeout_ms: u64) -> bool {
        self.stage == MachineStage::Booting
            && self
                .running_since
                .is_none_or(|since| now.since(since) < first_heartbeat_timeout_ms)
    }

    /// Milliseconds since it was last reported, or first seen if it never was.
    pub(super) fn unreported_ms(&self, now: Time) -> u64 {
        now.since(self.last_reported_at.unwrap_or(self.first_seen_at))
    }

    /// Whether it has not been reported for longer than a machine of its boot time may take to boot.
    pub(super) fn is_silent(&self, now: Time, boot_s: f64) -> bool {
        let timeout_ms = ((boot_s * BOOT_TIMEOUT_FACTOR + BOOT_TIMEOUT_EXTRA_S) * 1_000.0) as u64;
        self.unreported_ms(now) > timeout_ms
    }

    /// Whether it has been empty long enough to be released.
    pub(super) fn is_idle(&self, now: Time, boot_s: f64) -> bool {
        let release_ms = (boot_s * IDLE_RELEASE_BOOT_TIMES * 1_000.0) as u64;
        let release_ms = release_ms.max(MIN_IDLE_RELEASE_MS);
        self.idle_since
            .is_some_and(|since| now.since(since) >= release_ms)
    }
}
