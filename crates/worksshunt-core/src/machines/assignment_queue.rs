//! Queue of the leader's assignments that have not been placed on a machine.
//!
//! Assignments are added by [`partition_sync`](super::partition_sync) and placed by
//! [`queued_placement`](super::queued_placement).

use std::collections::VecDeque;

use worksshunt_wire::peer::Assignment;
use worksshunt_wire::AttemptId;

use crate::time::Time;

/// An assignment and the time since which it has been queued.
#[derive(Debug, Clone)]
pub(super) struct QueuedAssignment {
    pub assignment: Assignment,
    pub queued_at: Time,
}

/// Assignments to be placed, and whether placement has to be tried again.
#[derive(Debug, Default)]
pub(super) struct AssignmentQueue {
    pub assignments: VecDeque<QueuedAssignment>,
    /// Whether assignments, machines or the time have changed since placement was last tried for the whole queue.
    pub is_placement_needed: bool,
}

impl AssignmentQueue {
    /// Appends an assignment.
    pub fn push(&mut self, assignment: Assignment, now: Time) {
        self.assignments.push_back(QueuedAssignment {
            assignment,
            queued_at: now,
        });
        self.is_placement_needed = true;
    }

    /// Requests another placement round, after a change by which a queued assignment may fit a machine.
    pub fn request_placement(&mut self) {
        self.is_placement_needed = true;
    }

    /// Removes and returns the assignment of an attempt, if it is queued.
    pub fn remove(&mut self, attempt: AttemptId) -> Option<Assignment> {
        let index = self
            .assignments
            .iter()
            .position(|queued| queued.assignment.attempt == attempt)?;
        Some(self.assignments.remove(index)?.assignment)
    }

    /// Removes and returns the assignments that satisfy a condition, in queue order.
    pub fn remove_where(
        &mut self,
        condition: impl Fn(&QueuedAssignment) -> bool,
    ) -> Vec<Assignment> {
        let mut removed = Vec::new();
        self.assignments.retain(|queued| {
            let is_removed = condition(queued);
            if is_removed {
                removed.push(queued.assignment.clone());
            }
            !is_removed
        });
        removed
    }

    pub fn clear(&mut self) {
        self.assignments.clear();
    }
}
