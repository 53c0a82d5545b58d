//! The leader's view of one machine, owned by the view of its partition and read by the fleet.

use worksshunt_wire::peer::MachineStatus;

use crate::resources::Resources;
use crate::time::Time;

/// A machine as last reported, with the reservations for tasks that are dispatched to it and not placed yet.
#[derive(Debug)]
pub struct MachineView {
    /// The status last reported by its partition's owner.
    pub status: MachineStatus,
    /// Since when no task is on it; `None` while one is or may be.
    pub idle_since: Option<Time>,
    /// Since when it is unschedulable; `None` while it is schedulable.
    pub unschedulable_since: Option<Time>,
    /// Number of the dispatched tasks that are not placed yet.
    reserved_tasks: u32,
    /// Resources of those tasks.
    reserved: Resources,
    /// Free resources without the reserved ones; zero while it is unschedulable.
    pub free: Resources,
}

impl MachineView {
    /// Whether resources are reserved on it for dispatched tasks.
    pub fn has_reservations(&self) -> bool {
        self.reserved_tasks > 0
    }

    /// A machine without reservations. The caller applies `status` with [`update`](Self::update).
    pub(super) fn new(status: MachineStatus) -> MachineView {
        MachineView {
            status,
            idle_since: None,
            unschedulable_since: None,
            reserved_tasks: 0,
            reserved: Resources::default(),
            free: Resources::default(),
        }
    }

    /// Applies a status reported by its partition's owner.
    pub(super) fn update(&mut self, status: MachineStatus, now: Time) {
        self.idle_since = status.idle_ms.map(|idle_ms| now - idle_ms);
        self.unschedulable_since = match status.is_schedulable {
            true => None,
            false => self.unschedulable_since.or(Some(now)),
        };
        self.status = status;
        self.recompute_free();
    }

    /// Reserves the resources that a dispatched task needs.
    pub(super) fn reserve(&mut self, required: &Resources) {
        self.reserved_tasks += 1;
        self.reserved += *required;
        self.recompute_free();
    }

    /// Releases the reservation for a task.
    pub(super) fn release_reservation(&mut self, required: &Resources) {
        self.reserved_tasks = self.reserved_tasks.saturating_sub(1);
        self.reserved -= *required;
        self.recompute_free();
    }

    fn recompute_free(&mut self) {
        self.free = Resources::default();
        if self.status.is_schedulable {
            self.free = Resources::free_on(&self.status);
            self.free.allocate(&self.reserved);
        }
    }
}
