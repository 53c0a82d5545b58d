//! Changes in a partition that are to be sent to the leader.
//!
//! The modules of the partition add them, and [`partition_sync`](super::partition_sync) sends them.

use std::collections::BTreeSet;

use worksshunt_wire::peer::EndedAttempt;
use worksshunt_wire::{AttemptId, MachineId};

use crate::constants::partition_sync::{MAX_CHANGES_PER_SYNC, MAX_MACHINES_PER_SYNC};

/// Changes that the leader has not acknowledged, and the state of the exchange with it.
#[derive(Debug, Default)]
pub(super) struct PendingUpdates {
    pub machines: BTreeSet<MachineId>,
    pub removed_machines: BTreeSet<MachineId>,
    pub attempts: BTreeSet<AttemptId>,
    pub ended_attempts: Vec<EndedAttempt>,
    /// Sequence number of the last status sent.
    pub last_status_sequence: u64,
    /// Sequence number of the last directives applied.
    pub last_directives_sequence: u64,
    /// Changes in the status in flight; `None` if no status is unanswered.
    pub in_flight: Option<UpdateBatch>,
}

/// The changes in one status.
#[derive(Debug, Default)]
pub(super) struct UpdateBatch {
    pub machines: BTreeSet<MachineId>,
    pub removed_machines: BTreeSet<MachineId>,
    pub attempts: BTreeSet<AttemptId>,
    pub ended_attempts: Vec<EndedAttempt>,
}

/// Removes and returns the first entries of a set, at most `limit`.
fn take_first<T: Ord>(set: &mut BTreeSet<T>, limit: usize) -> BTreeSet<T> {
    if set.len() <= limit {
        return std::mem::take(set);
    }
    let mut first = BTreeSet::new();
    while first.len() < limit {
        let Some(entry) = set.pop_first() else { break };
        first.insert(entry);
    }
    first
}

impl PendingUpdates {
    pub fn is_empty(&self) -> bool {
        self.machines.is_empty()
            && self.removed_machines.is_empty()
            && self.attempts.is_empty()
            && self.ended_attempts.is_empty()
    }

    /// Removes and returns the changes for the next status, up to its size limits.
    pub fn take_batch(&mut self) -> UpdateBatch {
        let ended_count = self.ended_attempts.len().min(MAX_CHANGES_PER_SYNC);
        UpdateBatch {
            machines: take_first(&mut self.machines, MAX_MACHINES_PER_SYNC),
            removed_machines: take_first(&mut self.removed_machines, MAX_MACHINES_PER_SYNC),
            attempts: take_first(&mut self.attempts, MAX_CHANGES_PER_SYNC),
            ended_attempts: self.ended_attempts.drain(..ended_count).collect(),
        }
    }

    /// Requeues all changes of the status in flight, if any, ahead of later ones.
    pub fn requeue_unacknowledged(&mut self) {
        if let Some(batch) = self.in_flight.take() {
            self.machines.extend(batch.machines);
            self.removed_machines.extend(batch.removed_machines);
            self.attempts.extend(batch.attempts);
            let later_entries = std::mem::replace(&mut self.ended_attempts, batch.ended_attempts);
            self.ended_attempts.extend(later_entries);
        }
    }
}

#[cfg(test)]
mod tests;
