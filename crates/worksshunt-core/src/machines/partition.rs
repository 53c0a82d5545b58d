//! State of a partition, shared by the modules that change it.
//!
//! This module defines the [`Partition`], refreshes the summaries of its machines and writes the record pages. The
//! events are handled in [`attempts`](super::attempts), [`heartbeats`](super::heartbeats),
//! [`commands`](super::commands), [`expiry`](super::expiry) and the other modules beside it.

use std::collections::{BTreeMap, BTreeSet};

use worksshunt_wire::settings::{KeyValueLimits, Workers};
use worksshunt_wire::{AttemptId, JobId, MachineId, Revision};

use crate::membership::FencingTokens;
use crate::metrics::WorkerMetrics;
use crate::pages::{max_page_bytes, PageWrite, Pages};
use crate::placement::{OverCapacityCounts, PlacementParameters, Speed};
use crate::records::AttemptRecord;
use crate::time::Time;

use super::assignment_queue::AssignmentQueue;
use super::attempt::{AttemptState, TrackedAttempt};
use super::heartbeat_history::HeartbeatHistory;
use super::machine::{Machine, MachineTimeouts};
use super::pending_updates::PendingUpdates;
use super::placement_order::PlacementOrder;

/// The machines of one partition and the attempts on them, as their owner knows them.
#[derive(Debug)]
pub struct Partition {
    pub(super) placement_parameters: PlacementParameters,
    pub(super) timeouts: MachineTimeouts,
    /// Fencing tokens of the epoch.
    pub(super) fencing_tokens: FencingTokens,
    /// Maximum bytes of a page of records; a change applies from the next epoch on.
    pub(super) page_bytes: usize,
    pub(super) machines: BTreeMap<MachineId, Machine>,
    /// The last machine that the previous tick examined; `None` if the next tick starts from the first machine.
    pub(super) sweep_cursor: Option<MachineId>,
    pub(super) machine_by_attempt: BTreeMap<AttemptId, MachineId>,
    pub(super) attempts_by_job: BTreeMap<JobId, BTreeSet<AttemptId>>,
    pub(super) placement_order: PlacementOrder,
    pub(super) heartbeat_history: HeartbeatHistory,
    pub(super) speed_by_machine: BTreeMap<MachineId, Speed>,
    pub(super) assignment_queue: AssignmentQueue,
    pub(super) record_pages: Pages<AttemptRecord>,
    /// Machines to be checked for direct commands to send.
    pub(super) machines_with_pending_commands: BTreeSet<MachineId>,
    /// Machines that return to `machines_with_pending_commands` at the given time.
    pub(super) machines_with_deferred_commands: BTreeSet<(Time, MachineId)>,
    pub(super) pending_updates: PendingUpdates,
    pub(super) over_capacity_counts: OverCapacityCounts,
    pub(super) metrics: WorkerMetrics,
}

impl Partition {
    pub fn new(
        parameters: PlacementParameters,
        workers: &Workers,
        limits: &KeyValueLimits,
    ) -> Partition {
        let page_bytes = max_page_bytes(limits);
        Partition {
            placement_parameters: parameters,
            timeouts: MachineTimeouts::new(workers),
            fencing_tokens: FencingTokens::default(),
            page_bytes,
            machines: BTreeMap::new(),
            sweep_cursor: None,
            machine_by_attempt: BTreeMap::new(),
            attempts_by_job: BTreeMap::new(),
            placement_order: PlacementOrder::default(),
            heartbeat_history: HeartbeatHistory::default(),
            speed_by_machine: BTreeMap::new(),
            assignment_queue: AssignmentQueue::default(),
            record_pages: Pages::new(String::new(), page_bytes),
            machines_with_pending_commands: BTreeSet::new(),
            machines_with_deferred_commands: BTreeSet::new(),
            pending_updates: PendingUpdates::default(),
            over_capacity_counts: OverCapacityCounts::default(),
            metrics: WorkerMetrics::default(),
        }
    }

    /// Sets the limits of the key-value store, which apply from the next epoch on.
    pub fn set_key_value_limits(&mut self, limits: &KeyValueLimits) {
        self.page_bytes = max_page_bytes(limits);
    }

    /// Metrics of the workers of this controller's partitions, in this and earlier epochs.
    pub fn metrics(&self) -> &WorkerMetrics {
        &self.metrics
    }

    /// Returns an attempt and the machine it is on.
    pub(super) fn tracked_attempt(
        &self,
        attempt: AttemptId,
    ) -> Option<(&MachineId, &TrackedAttempt)> {
        let id = self.machine_by_attempt.get(&attempt)?;
        let tracked = self.machines.get(id)?.attempts.get(&attempt)?;
        Some((id, tracked))
    }

    pub(super) fn tracked_attempt_mut(
        &mut self,
        attempt: AttemptId,
    ) -> Option<(&MachineId, &mut TrackedAttempt)> {
        let id = self.machine_by_attempt.get(&attempt)?;
        let tracked = self.machines.get_mut(id)?.attempts.get_mut(&attempt)?;
        Some((id, tracked))
    }

    /// Recomputes a machine's summary. If it has changed, updates the machine's rank for placement and queues its
    /// status for the leader.
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
        self.placement_order.update(id, machine, &before, &after);
        if after.is_reported || before.is_reported {
            self.pending_updates.machines.insert(id.clone());
        }
        self.assignment_queue.request_placement();
    }

    /// Begins the next write of record pages and returns its pages, at most `max_pages`. Returns none while a write is
    /// in flight.
    pub fn begin_record_writes(&mut self, now: Time, max_pages: usize) -> Vec<PageWrite> {
        self.record_pages.begin_writes(now, max_pages)
    }

    /// Marks the records of the write in flight as durable, so that their attempts may be launched. `revision` is that
    /// of the write, if known.
    pub fn mark_records_durable(&mut self, revision: Option<Revision>) {
        for attempt in self.record_pages.mark_write_applied(revision) {
            let Some((id, tracked)) = self.tracked_attempt_mut(attempt) else {
                continue;
            };
            if tracked.state == AttemptState::Recording {
                tracked.transition_to(AttemptState::Recorded);
                let id = id.clone();
                self.machines_with_pending_commands.insert(id);
            }
        }
    }

    /// Keys of the record pages whose version is uncertain and has to be read.
    pub fn uncertain_record_pages(&self) -> Vec<String> {
        self.record_pages.uncertain_keys().cloned().collect()
    }

    /// Sets the version of a record page as read from the key-value store.
    pub fn set_record_page_version(&mut self, key: &str, version: Revision) {
        self.record_pages.set_page_version(key, version);
    }

    /// Returns one line of counts of over-capacity placements and resets the counts.
    pub fn take_over_capacity_summary(&mut self) -> String {
        self.over_capacity_counts
            .take_summary(&self.placement_parameters)
    }
}
