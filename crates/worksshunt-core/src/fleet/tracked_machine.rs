//! Life cycle of a provisioned machine, as tracked by the fleet.

use worksshunt_wire::MachineId;

use crate::constants::fleet::{
    BOOT_TIMEOUT_EXTRA_S, BOOT_TIMEOUT_FACTOR, IDLE_RELEASE_BOOT_TIMES, MIN_IDLE_RELEASE_MS,
};
use crate::time::Time;

use super::InstanceOffer;

/// Stage of a machine's life cycle.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum MachineStage {
    /// Provisioned; not yet reported by a partition.
    Booting,
    /// Reported by a partition.
    Up,
    /// Gets no new tasks and is released when it is empty.
    Draining,
    /// Named in a release request that was sent.
    Releasing,
}

/// A provisioned machine.
#[derive(Debug, Clone)]
pub(super) struct TrackedMachine {
    pub(super) offer: InstanceOffer,
    stage: MachineStage,
    /// Time at which it was provisioned or first seen.
    first_seen_at: Time,
    /// Time at which the cloud first listed it as running.
    running_since: Option<Time>,
    /// Time at which a partition last reported it. `None` before the first report, and after a forced drain until the
    /// next report.
    last_reported_at: Option<Time>,
    /// Time since which it has neither tasks nor resources reserved for dispatched tasks.
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

    /// Changes the stage and logs the change.
    pub(super) fn set_stage(&mut self, id: &MachineId, next: MachineStage) {
        if self.stage != next {
            tracing::debug!(machine = %id, from = ?self.stage, to = ?next, "machine stage changed");
            self.stage = next;
        }
    }

    /// Records that the cloud lists it as running.
    pub(super) fn mark_running(&mut self, now: Time) {
        self.running_since.get_or_insert(now);
    }

    /// Records that a partition reported it.
    pub(super) fn mark_reported(&mut self, id: &MachineId, now: Time) {
        self.last_reported_at = Some(now);
        if self.stage == MachineStage::Booting {
            self.set_stage(id, MachineStage::Up);
        }
    }

    pub(super) fn set_idle_since(&mut self, idle_since: Option<Time>) {
        self.idle_since = idle_since;
    }

    /// Drains it so that it is released without waiting for a partition to report it empty.
    pub(super) fn force_drain(&mut self, id: &MachineId) {
        self.last_reported_at = None;
        self.set_stage(id, MachineStage::Draining);
    }

    /// Whether a partition has reported it since the last forced drain.
    pub(super) fn is_reported(&self) -> bool {
        self.last_reported_at.is_some()
    }

    pub(super) fn is_draining(&self) -> bool {
        matches!(self.stage, MachineStage::Draining | MachineStage::Releasing)
    }

    /// Whether it is booting and counts as future capacity. It no longer does once the cloud has listed it as running
    /// for `first_heartbeat_timeout_ms` without a heartbeat.
    pub(super) fn is_expected_to_boot(&self, now: Time, first_heartbeat_timeout_ms: u64) -> bool {
        self.stage == MachineStage::Booting
            && self
                .running_since
                .is_none_or(|since| now.since(since) < first_heartbeat_timeout_ms)
    }

    /// Milliseconds since it was last reported, or since it was first seen if there is no report.
    pub(super) fn unreported_ms(&self, now: Time) -> u64 {
        now.since(self.last_reported_at.unwrap_or(self.first_seen_at))
    }

    /// Whether it has not been reported for longer than the boot timeout of its type.
    pub(super) fn is_report_overdue(&self, now: Time, boot_s: f64) -> bool {
        let timeout_ms = ((boot_s * BOOT_TIMEOUT_FACTOR + BOOT_TIMEOUT_EXTRA_S) * 1_000.0) as u64;
        self.unreported_ms(now) > timeout_ms
    }

    /// Whether it has been idle long enough to be released.
    pub(super) fn is_idle(&self, now: Time, boot_s: f64) -> bool {
        let release_ms = (boot_s * IDLE_RELEASE_BOOT_TIMES * 1_000.0) as u64;
        let release_ms = release_ms.max(MIN_IDLE_RELEASE_MS);
        self.idle_since
            .is_some_and(|since| now.since(since) >= release_ms)
    }
}
