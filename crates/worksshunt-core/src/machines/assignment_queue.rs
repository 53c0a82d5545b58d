//! The assignments of the leader that wait for a machine.
//!
//! The leader's directives put assignments into the queue; `queued_placement` takes them out.

use std::collections::VecDeque;

use worksshunt_wire::peer::Assignment;
use worksshunt_wire::Attempt;

use crate::time::Time;

/// An assignment that waits for a machine.
#[derive(Debug, Clone)]
pub(super) struct QueuedAssignment {
    pub assignment: Assignment,
    pub queued_at: Time,
}

/// The assignments of a partition that are on no machine yet.
#[derive(Debug, Default)]
pub(super) struct AssignmentQueue {
    pub queued: VecDeque<QueuedAssignment>,
    /// Something changed since placement was last tried for the whole queue.
    pub is_placement_needed: bool,
}

impl AssignmentQueue {
    /// Adds an assignment of the leader.
    pub fn push(&mut self, assignment: Assignment, now: Time) {
        self.queued.push_back(QueuedAssignment {
            assignment,
            queued_at: now,
        });
        self.is_placement_needed = true;
    }

    /// Something changed by which a queued assignment may find a machine.
    pub fn request_placement(&mut self) {
        self.is_placement_needed = true;
    }

    /// Takes out one attempt's assignment.
    pub fn remove(&mut self, attempt: Attempt) -> Option<Assignment> {
        let index = self
            .queued
            .iter()
            .position(|queued| queued.assignment.attempt == attempt)?;
        Some(self.queued.remove(index)?.assignment)
    }

    /// Takes out the assignments that fulfil a condition, in their order.
    pub fn remove_where(
        &mut self,
        condition: impl Fn(&QueuedAssignment) -> bool,
    ) -> Vec<Assignment> {
        let mut removed = Vec::new();
        self.queued.retain(|queued| {
            let remove = condition(queued);
            if remove {
                removed.push(queued.assignment.clone());
            }
            !remove
        });
        removed
    }

    /// Drops all assignments.
    pub fn clear(&mut self) {
        self.queued.clear();
    }
}
