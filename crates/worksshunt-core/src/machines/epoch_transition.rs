//! Beginning and leaving an epoch.
//!
//! The controller calls [`Partition::begin_epoch`] with the records read from the key-value store, and
//! [`Partition::clear`] when it leaves the epoch.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use worksshunt_wire::peer::{AttemptOutcome, EndedAttempt};
use worksshunt_wire::{AttemptId, ControllerName, Epoch, MachineId};

use crate::constants::leases::EPOCH_LEASE_MS;
use crate::jobs::JobCache;
use crate::membership::FencingTokens;
use crate::pages::Pages;
use crate::records::{page_prefix, AttemptRecord};
use crate::time::Time;

use super::attempt::{AttemptState, TrackedAttempt};
use super::machine::{LeaderDirective, Machine, MachineSummary};
use super::partition::Partition;
use super::pending_updates::PendingUpdates;
use super::worker_token::WorkerToken;

/// Inputs for the beginning of an epoch.
#[derive(Debug, Clone, Copy)]
pub struct EpochStart<'a> {
    pub epoch: Epoch,
    pub fencing_tokens: FencingTokens,
    /// Owner of the partition in this epoch.
    pub owner: &'a ControllerName,
    /// Records of all partitions, read from the key-value store.
    pub records: &'a [AttemptRecord],
    pub job_cache: &'a JobCache,
}

impl Partition {
    /// Begins an epoch. Machines that this controller owned in the preceding epoch too (`was_owned`) keep their state,
    /// because no other controller has acted on them. For the others, inherits the attempts in the records. Measured
    /// speeds are kept for all machines.
    pub fn begin_epoch(
        &mut self,
        now: Time,
        start: &EpochStart,
        is_owned: impl Fn(&MachineId) -> bool,
        was_owned: impl Fn(&MachineId) -> bool,
    ) {
        let mut retained_machines = std::mem::take(&mut self.machines);
        for (id, machine) in &retained_machines {
            self.heartbeat_history
                .record(id, machine.lease.newest_message, now);
        }
        retained_machines.retain(|id, _| is_owned(id) && was_owned(id));
        self.clear(now);
        self.fencing_tokens = start.fencing_tokens;
        self.record_pages = Pages::new(page_prefix(start.epoch, start.owner), self.page_bytes);
        let mut records_by_machine: BTreeMap<&MachineId, Vec<&AttemptRecord>> = BTreeMap::new();
        let owned_records = start
            .records
            .iter()
            .filter(|record| is_owned(&record.machine));
        for record in owned_records {
            let records = records_by_machine.entry(&record.machine).or_default();
            records.push(record);
        }
        for (id, records) in records_by_machine {
            let machine = match retained_machines.remove(id) {
                Some(machine) => self.retain_machine(id, machine, &records, now),
                // The previous owner may have renewed the lease until its epoch lease expired, at most
                // EPOCH_LEASE_MS after its epoch was last confirmed, which was before now.
                None => {
                    self.inherit_machine(id, &records, start.job_cache, now + EPOCH_LEASE_MS, now)
                }
            };
            self.machines.insert(id.clone(), machine);
        }
        for (id, machine) in retained_machines {
            let machine = self.retain_machine(&id, machine, &[], now);
            self.machines.insert(id, machine);
        }
        self.index_machines(now);
    }

    /// Builds the indexes of all machines and queues the status of machines and attempts for the leader.
    fn index_machines(&mut self, now: Time) {
        let mut attempts = Vec::new();
        for (id, machine) in &self.machines {
            for (attempt, tracked) in &machine.attempts {
                attempts.push((id.clone(), *attempt, tracked.task.job));
            }
        }
        for (id, attempt, job) in attempts {
            self.index_attempt(&id, attempt, job);
        }
        let ids: Vec<MachineId> = self.machines.keys().cloned().collect();
        for id in ids {
            self.machines_with_pending_commands.insert(id.clone());
            self.pending_updates.machines.insert(id.clone());
            self.refresh_summary(&id, now);
        }
    }

    /// Creates a machine from the records of a previous owner, which may have renewed the worker's lease until
    /// `renewed_at`.
    fn inherit_machine(
        &self,
        id: &MachineId,
        records: &[&AttemptRecord],
        job_cache: &JobCache,
        renewed_at: Time,
        now: Time,
    ) -> Machine {
        let newest = self.heartbeat_history.newest_message(id);
        let mut machine = Machine::new(newest, renewed_at, self.fencing_tokens, now);
        for record in records {
            let job = job_cache
                .get(record.task.job)
                .map(|open_job| Rc::clone(&open_job.job));
            // A job in a newer format cannot be read. It may still be open, so its attempts continue.
            let has_ended = job.is_none() && !job_cache.is_unreadable(record.task.job);
            let mut tracked = TrackedAttempt::new(
                record.task,
                job,
                AttemptState::Inherited,
                record.incarnation,
                now,
            );
            if has_ended {
                tracked.request_stop(0.0);
            }
            machine.attempts.insert(record.attempt, tracked);
        }
        machine
    }

    /// Retains a machine that has the same owner as in the preceding epoch. Attempts without a record are dropped: they
    /// were never launched, and the new leader does not know of them. Recorded attempts that are not tracked are
    /// reported as lost.
    fn retain_machine(
        &mut self,
        id: &MachineId,
        mut machine: Machine,
        records: &[&AttemptRecord],
        now: Time,
    ) -> Machine {
        let recorded: BTreeSet<AttemptId> = records.iter().map(|record| record.attempt).collect();
        machine
            .attempts
            .retain(|attempt, _| recorded.contains(attempt));
        for tracked in machine.attempts.values_mut() {
            if tracked.state == AttemptState::Recording {
                tracked.transition_to(AttemptState::Recorded);
            }
        }
        let is_untracked =
            |record: &&&AttemptRecord| !machine.attempts.contains_key(&record.attempt);
        for record in records.iter().filter(is_untracked) {
            self.pending_updates.ended_attempts.push(EndedAttempt {
                task: record.task,
                attempt: record.attempt,
                machine: Some(id.clone()),
                outcome: AttemptOutcome::Lost,
            });
        }
        // A batch in flight carries the previous token: its outcome will not be applied, but it may still take effect.
        machine.command_channel.has_batch_in_flight = false;
        machine.token = WorkerToken::new(self.fencing_tokens);
        machine.directive = LeaderDirective::default();
        machine.summary = MachineSummary::default();
        machine.reachability.begin_epoch(now);
        machine
    }

    /// Removes all machines, attempts and pending changes when this controller leaves the epoch. Keeps the heartbeat
    /// history and measured speeds.
    pub fn clear(&mut self, now: Time) {
        for (id, machine) in std::mem::take(&mut self.machines) {
            self.heartbeat_history
                .record(&id, machine.lease.newest_message, now);
        }
        self.machine_by_attempt.clear();
        self.attempts_by_job.clear();
        self.placement_order.clear();
        self.assignment_queue.clear();
        self.machines_with_pending_commands.clear();
        self.machines_with_deferred_commands.clear();
        self.record_pages = Pages::new(String::new(), self.page_bytes);
        self.pending_updates = PendingUpdates::default();
    }
}
