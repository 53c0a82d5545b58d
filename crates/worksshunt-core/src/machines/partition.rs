//! The state of a partition, shared by the modules that change it.
//!
//! The [`Partition`] is owned by the controller. This module has the state itself, the summaries of its machines and
//! the record pages; [`attempts`](super::attempts), [`heartbeats`](super::heartbeats), [`commands`](super::commands),
//! [`expiry`](super::expiry) and their siblings have the events that change it.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

use worksshunt_wire::settings::{KeyValueLimits, Workers};
use worksshunt_wire::{Attempt, JobId, MachineId, Revision};

use crate::pages::{page_bytes, PageWrite, Pages};
use crate::placement::{OverCapacityCounts, PlacementParameters, Speed};
use crate::records::AttemptRecord;
use crate::resources::Resources;
use crate::time::Time;

use super::assignment_queue::AssignmentQueue;
use super::attempt::{AttemptState, TrackedAttempt};
use super::heartbeat_history::HeartbeatHistory;
use super::machine::{Machine, MachineSummary, MachineTimeouts};
use super::pending_updates::PendingUpdates;

/// Order in which machines are tried for a task: the most utilized first, equals by name.
type UtilizationRank = (Reverse<u64>, MachineId);

/// The machines of one partition, as their owner knows them.
#[derive(Debug)]
pub struct Partition {
    pub(super) parameters: PlacementParameters,
    pub(super) timeouts: MachineTimeouts,
    /// Bytes that a page of records may take, from the next epoch on.
    pub(super) page_bytes: usize,
    pub(super) machines: BTreeMap<MachineId, Machine>,
    /// The last machine that the last tick examined, if it did not reach the end of them.
    pub(super) sweep_cursor: Option<MachineId>,
    /// The machine that each attempt is on.
    pub(super) machine_by_attempt: BTreeMap<Attempt, MachineId>,
    /// The attempts of each job.
    pub(super) attempts_by_job: BTreeMap<JobId, BTreeSet<Attempt>>,
    /// Machines that had free capacity when last summarized.
    pub(super) machines_with_free_capacity: BTreeSet<UtilizationRank>,
    /// The newest message of machines that are not in the partition.
    pub(super) heartbeat_history: HeartbeatHistory,
    pub(super) speeds: BTreeMap<MachineId, Speed>,
    pub(super) assignment_queue: AssignmentQueue,
    pub(super) record_pages: Pages<AttemptRecord>,
    /// Machines that direct commands are waiting for.
    pub(super) pending_commands: BTreeSet<MachineId>,
    /// Machines that direct commands will be waiting for, from that time on.
    pub(super) deferred_commands: BTreeSet<(Time, MachineId)>,
    pub(super) pending_updates: PendingUpdates,
    pub(super) over_capacity: OverCapacityCounts,
}

impl Partition {
    /// An empty partition.
    pub fn new(
        parameters: PlacementParameters,
        workers: &Workers,
        limits: &KeyValueLimits,
    ) -> Partition {
        let page_bytes = page_bytes(limits);
        Partition {
            parameters,
            timeouts: MachineTimeouts::new(workers),
            page_bytes,
            machines: BTreeMap::new(),
            sweep_cursor: None,
            machine_by_attempt: BTreeMap::new(),
            attempts_by_job: BTreeMap::new(),
            machines_with_free_capacity: BTreeSet::new(),
            heartbeat_history: HeartbeatHistory::default(),
            speeds: BTreeMap::new(),
            assignment_queue: AssignmentQueue::default(),
            record_pages: Pages::new(String::new(), page_bytes),
            pending_commands: BTreeSet::new(),
            deferred_commands: BTreeSet::new(),
            pending_updates: PendingUpdates::default(),
            over_capacity: OverCapacityCounts::default(),
        }
    }

    /// The limits of the key-value store have changed; they apply from the next epoch on.
    pub fn set_key_value_limits(&mut self, limits: &KeyValueLimits) {
        self.page_bytes = page_bytes(limits);
    }

    /// A tracked attempt and the machine it is on.
    pub(super) fn tracked(&self, attempt: Attempt) -> Option<(&MachineId, &TrackedAttempt)> {
        let id = self.machine_by_attempt.get(&attempt)?;
        let tracked = self.machines.get(id)?.attempts.get(&attempt)?;
        Some((id, tracked))
    }

    /// A tracked attempt, to be changed, and the machine it is on.
    pub(super) fn tracked_mut(
        &mut self,
        attempt: Attempt,
    ) -> Option<(&MachineId, &mut TrackedAttempt)> {
        let id = self.machine_by_attempt.get(&attempt)?;
        let tracked = self.machines.get_mut(id)?.attempts.get_mut(&attempt)?;
        Some((id, tracked))
    }

    /// Computes a machine's summary anew. If it changed, its rank for placement follows and the leader will get it.
    pub(super) fn refresh_summary(&mut self, id: &MachineId, now: Time) {
        let timeouts = self.timeouts;
        let Some(machine) = self.machines.get_mut(id) else {
            return;
        };
        let before = machine.summary;
        let after = machine.summarize(now, timeouts);
        if after.is_empty {
            machine.empty_since.get_or_insert(now);
        } else {
            machine.empty_since = None;
        }
        if before == after {
            return;
        }
        machine.summary = after;
        let rank_before = utilization_rank(id, machine, &before);
        let rank_after = utilization_rank(id, machine, &after);
        self.machines_with_free_capacity.remove(&rank_before);
        if after.is_schedulable && after.free.cpus > 0.0 {
            self.machines_with_free_capacity.insert(rank_after);
        }
        if after.is_known || before.is_known {
            self.pending_updates.machines.insert(id.clone());
        }
        self.assignment_queue.request_placement();
    }

    /// The next write of records, of at most `max_pages` pages.
    pub fn next_record_writes(&mut self, now: Time, max_pages: usize) -> Vec<PageWrite> {
        self.record_pages.next_writes(now, max_pages)
    }

    /// The records being written are durable, at that revision if it is known: their attempts may be launched.
    pub fn records_written(&mut self, revision: Option<Revision>) {
        for attempt in self.record_pages.write_applied(revision) {
            let Some((id, tracked)) = self.tracked_mut(attempt) else {
                continue;
            };
            if tracked.state == AttemptState::Recording {
                tracked.advance(AttemptState::Recorded);
                let id = id.clone();
                self.pending_commands.insert(id);
            }
        }
    }

    /// Keys of the pages of records whose versions have to be read.
    pub fn uncertain_record_pages(&self) -> Vec<String> {
        self.record_pages.uncertain_keys().cloned().collect()
    }

    /// A page's version was read.
    pub fn record_page_version_read(&mut self, key: &str, version: Revision) {
        self.record_pages.version_read(key, version);
    }

    /// One line about the placements over capacity since the last summary.
    pub fn over_capacity_summary(&mut self) -> String {
        self.over_capacity.take_summary(&self.parameters)
    }
}

fn utilization_rank(
    id: &MachineId,
    machine: &Machine,
    summary: &MachineSummary,
) -> UtilizationRank {
    /// Utilization is a share; ranks are integers, to be totally ordered.
    const RANKS_PER_UNIT: f64 = 1e9;
    let free: &Resources = &summary.free;
    let rank = (machine.utilization(free) * RANKS_PER_UNIT) as u64;
    (Reverse(rank), id.clone())
}
