//! The newest messages of machines that are not in the partition.
//!
//! The partition enters machines that leave it and looks up machines that send a heartbeat without being in it, so
//! that a late copy is recognized whenever it comes.

use std::collections::{BTreeMap, VecDeque};

use worksshunt_wire::MachineId;

use crate::constants::workers::{HEARTBEAT_HISTORY_ENTRIES, HEARTBEAT_HISTORY_MS};
use crate::time::Time;

use super::sequence_number::SequenceNumber;

/// A machine and when it was first recorded.
#[derive(Debug)]
struct HistoryEntry {
    recorded_at: Time,
    machine: MachineId,
}

/// The newest message seen of machines that are not in the partition (any more).
#[derive(Debug, Default)]
pub(super) struct HeartbeatHistory {
    newest_by_machine: BTreeMap<MachineId, SequenceNumber>,
    /// The machines as they were first recorded, the earliest first.
    entries: VecDeque<HistoryEntry>,
}

impl HeartbeatHistory {
    /// Records the newest message of a machine; an older one than known changes nothing.
    pub fn record(&mut self, id: &MachineId, newest: SequenceNumber, now: Time) {
        match self.newest_by_machine.get_mut(id) {
            Some(known) => *known = newest.max(*known),
            None => {
                self.newest_by_machine.insert(id.clone(), newest);
                self.entries.push_back(HistoryEntry {
                    recorded_at: now,
                    machine: id.clone(),
                });
                self.forget_oldest(now);
            }
        }
    }

    /// Forgets what was recorded first, if there are many entries and no copy of its heartbeats can come any more.
    fn forget_oldest(&mut self, now: Time) {
        let is_outdated =
            |entry: &HistoryEntry| now.since(entry.recorded_at) >= HEARTBEAT_HISTORY_MS;
        while self.entries.len() > HEARTBEAT_HISTORY_ENTRIES
            && self.entries.front().is_some_and(is_outdated)
        {
            if let Some(oldest) = self.entries.pop_front() {
                self.newest_by_machine.remove(&oldest.machine);
            }
        }
    }

    /// The newest message known of a machine; [`SequenceNumber::NONE`] if there is none.
    pub fn newest_message(&self, id: &MachineId) -> SequenceNumber {
        self.newest_by_machine
            .get(id)
            .copied()
            .unwrap_or(SequenceNumber::NONE)
    }
}

#[cfg(test)]
mod tests;
