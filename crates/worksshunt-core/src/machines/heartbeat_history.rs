//! Newest sequence numbers of machines that are not in the partition.
//!
//! The partition records machines that leave it, and looks up machines that send a heartbeat without being in it, so
//! that a delayed heartbeat does not add a removed machine again.

use std::collections::{BTreeMap, VecDeque};

use worksshunt_wire::MachineId;

use crate::constants::workers::{HEARTBEAT_HISTORY_ENTRIES, HEARTBEAT_HISTORY_MS};
use crate::time::Time;

use super::sequence_number::SequenceNumber;

/// A machine and the time at which it was first recorded.
#[derive(Debug)]
struct HistoryEntry {
    recorded_at: Time,
    machine: MachineId,
}

/// Newest message received from each machine that has left the partition.
#[derive(Debug, Default)]
pub(super) struct HeartbeatHistory {
    newest_by_machine: BTreeMap<MachineId, SequenceNumber>,
    /// The machines of `newest_by_machine`, the earliest recorded first.
    entries: VecDeque<HistoryEntry>,
}

impl HeartbeatHistory {
    /// Records the newest message of a machine. Has no effect if a newer one is recorded.
    pub fn record(&mut self, id: &MachineId, newest: SequenceNumber, now: Time) {
        match self.newest_by_machine.get_mut(id) {
            Some(recorded) => *recorded = newest.max(*recorded),
            None => {
                self.newest_by_machine.insert(id.clone(), newest);
                self.entries.push_back(HistoryEntry {
                    recorded_at: now,
                    machine: id.clone(),
                });
                self.evict_oldest(now);
            }
        }
    }

    /// Evicts the earliest entries while there are more than `HEARTBEAT_HISTORY_ENTRIES` and no heartbeat of their
    /// machines can still arrive.
    fn evict_oldest(&mut self, now: Time) {
        let is_evictable =
            |entry: &HistoryEntry| now.since(entry.recorded_at) >= HEARTBEAT_HISTORY_MS;
        while self.entries.len() > HEARTBEAT_HISTORY_ENTRIES
            && self.entries.front().is_some_and(is_evictable)
        {
            if let Some(oldest) = self.entries.pop_front() {
                self.newest_by_machine.remove(&oldest.machine);
            }
        }
    }

    /// The newest message recorded for a machine, or [`SequenceNumber::NONE`].
    pub fn newest_message(&self, id: &MachineId) -> SequenceNumber {
        self.newest_by_machine
            .get(id)
            .copied()
            .unwrap_or(SequenceNumber::NONE)
    }
}

#[cfg(test)]
mod tests;
