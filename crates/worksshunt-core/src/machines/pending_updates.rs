//! What the owner of a partition has to tell the leader. The partition owns it, and all its modules add to it;
//! `partition_sync` sends it.

use std::collections::BTreeSet;

use worksshunt_wire::peer::EndedAttempt;
use worksshunt_wire::{Attempt, MachineId};

use crate::constants::partition_sync::{MAX_CHANGES_PER_SYNC, MAX_MACHINES_PER_SYNC};

/// What the leader does not know yet, and what is in flight to it.
#[derive(Debug, Default)]
pub(super) struct PendingUpdates {
    pub machines: BTreeSet<MachineId>,
    pub removed_machines: BTreeSet<MachineId>,
    pub attempts: BTreeSet<Attempt>,
    pub ended_attempts: Vec<EndedAttempt>,
    /// Number of the last status sent.
    pub sequence: u64,
    /// Number of the last directives applied.
    pub acknowledged: u64,
    /// The updates in the status that is in flight.
    pub in_flight: Option<UpdateBatch>,
}

/// The updates that go into one status.
#[derive(Debug, Default)]
pub(super) struct UpdateBatch {
    pub machines: BTreeSet<MachineId>,
    pub removed_machines: BTreeSet<MachineId>,
    pub attempts: BTreeSet<Attempt>,
    pub ended_attempts: Vec<EndedAttempt>,
}

/// Takes the first entries out of a set, at most `limit`.
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

    /// Takes out the updates of the next status. What is too much for one status is left for the next.
    pub fn take_batch(&mut self) -> UpdateBatch {
        let ended = self.ended_attempts.len().min(MAX_CHANGES_PER_SYNC);
        UpdateBatch {
            machines: take_first(&mut self.machines, MAX_MACHINES_PER_SYNC),
            removed_machines: take_first(&mut self.removed_machines, MAX_MACHINES_PER_SYNC),
            attempts: take_first(&mut self.attempts, MAX_CHANGES_PER_SYNC),
            ended_attempts: self.ended_attempts.drain(..ended).collect(),
        }
    }

    /// The status in flight was not answered: all its updates have to be sent again.
    pub fn requeue_unacknowledged(&mut self) {
        if let Some(batch) = self.in_flight.take() {
            self.machines.extend(batch.machines);
            self.removed_machines.extend(batch.removed_machines);
            self.attempts.extend(batch.attempts);
            // What was sent first is sent first again.
            let later = std::mem::replace(&mut self.ended_attempts, batch.ended_attempts);
            self.ended_attempts.extend(later);
        }
    }
}

#[cfg(test)]
mod tests;
