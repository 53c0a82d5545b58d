//! The leader's view of one machine. Its partition's view owns it; the fleet reads it.

use worksshunt_wire::peer::MachineStatus;

use crate::constants::placement::ROUNDING_TOLERANCE;
use crate::resources::Resources;
use crate::time::Time;

/// One machine, with what is left of it after tasks that were dispatched and not placed yet.
#[derive(Debug)]
pub struct MachineView {
    /// As its owner last described it.
    pub status: MachineStatus,
    /// Since when it is empty.
    pub idle_since: Option<Time>,
    /// Since when it takes no tasks.
    pub unusable_since: Option<Time>,
    /// What is reserved on it for tasks that are dispatched and not placed yet.
    reserved: Resources,
    /// What is free beside that; nothing while it takes no tasks.
    pub free: Resources,
}

impl MachineView {
    /// Whether resources are reserved on it for dispatched tasks.
    pub fn has_reservations(&self) -> bool {
        self.reserved.cpus > ROUNDING_TOLERANCE
    }

    /// A machine as first described, with nothing reserved.
    pub(super) fn new(status: MachineStatus) -> MachineView {
        MachineView {
            status,
            idle_since: None,
            unusable_since: None,
            reserved: Resources::default(),
            free: Resources::default(),
        }
    }

    /// Applies its description by its owner.
    pub(super) fn update(&mut self, status: MachineStatus, now: Time) {
        self.idle_since = status.idle_ms.map(|idle_ms| now - idle_ms);
        self.unusable_since = match status.is_schedulable {
            true => None,
            false => self.unusable_since.or(Some(now)),
        };
        self.status = status;
        self.recompute_free();
    }

    /// Reserves resources for a dispatched task.
    pub(super) fn reserve(&mut self, need: &Resources) {
        self.reserved += *need;
        self.recompute_free();
    }

    /// Ends the reservation for a task.
    pub(super) fn release_reservation(&mut self, need: &Resources) {
        self.reserved -= *need;
        self.recompute_free();
    }

    fn recompute_free(&mut self) {
        self.free = Resources::default();
        if self.status.is_schedulable {
            self.free = Resources {
                cpus: self.status.free_cpus,
                gpus: self.status.free_gpus,
                memory_gb: self.status.free_memory_gb,
            };
            self.free.allocate(&self.reserved);
        }
    }
}
