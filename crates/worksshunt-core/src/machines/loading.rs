//! How a partition starts and leaves an epoch.
//!
//! The controller calls [`Partition::begin_epoch`] with what it has read from the key-value store, and
//! [`Partition::clear`] when it is no longer in the epoch.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use worksshunt_wire::peer::{AttemptOutcome, EndedAttempt};
use worksshunt_wire::{Attempt, ControllerName, Epoch, MachineId};

use crate::constants::leases::EPOCH_LEASE_MS;
use crate::jobs::JobCache;
use crate::pages::Pages;
use crate::records::{page_prefix, AttemptRecord};
use crate::time::Time;

use super::attempt::{AttemptState, TrackedAttempt};
use super::machine::{LeaderDirective, Machine, MachineSummary};
use super::partition::Partition;
use super::pending_updates::PendingUpdates;

/// What a partition starts an epoch with.
#[derive(Debug, Clone, Copy)]
pub struct EpochStart<'a> {
    /// The epoch.
    pub epoch: Epoch,
    /// This controller, the owner of the partition.
    pub controller: &'a ControllerName,
    /// The records found in the key-value store.
    pub records: &'a [AttemptRecord],
    /// The open jobs.
    pub job_cache: &'a JobCache,
}

impl Partition {
    /// Starts an epoch with the records found at its start. Machines that were this controller's in
    /// the epoch just before as well (`was_owned`) are kept as they are, with what is known of their
    /// workers and leases: no other controller acted on them. Measured speeds are kept in any case.
    pub fn begin_epoch(
        &mut self,
        now: Time,
        start: &EpochStart,
        is_owned: impl Fn(&MachineId) -> bool,
        was_owned: impl Fn(&MachineId) -> bool,
    ) {
        let mut carried_over = std::mem::take(&mut self.machines);
        for (id, machine) in &carried_over {
            self.heartbeat_history
                .record(id, machine.lease.newest_message, now);
        }
        carried_over.retain(|id, _| is_owned(id) && was_owned(id));
        self.clear(now);
        self.record_pages = Pages::new(page_prefix(start.epoch, start.controller), self.page_bytes);
        let mut records_by_machine: BTreeMap<&MachineId, Vec<&AttemptRecord>> = BTreeMap::new();
        let owned = start.records.iter().filter(|r| is_owned(&r.machine));
        for record in owned {
            let records = records_by_machine.entry(&record.machine).or_default();
            records.push(record);
        }
        for (id, records) in records_by_machine {
            let machine = match carried_over.remove(id) {
                Some(machine) => self.carry_machine_over(id, machine, &records, now),
                // A former owner may have renewed the lease until its epoch lease expired, which was
                // at most this long after it last saw its epoch confirmed, and so before now plus
                // this.
                None => {
                    self.inherit_machine(id, &records, start.job_cache, now + EPOCH_LEASE_MS, now)
                }
            };
            self.machines.insert(id.clone(), machine);
        }
        for (id, machine) in carried_over {
            let machine = self.carry_machine_over(&id, machine, &[], now);
            self.machines.insert(id, machine);
        }
        self.index_machines(now);
    }

    /// Builds the indexes of all machines; the leader will get all of it.
    fn index_machines(&mut self, now: Time) {
        let mut tracked = Vec::new();
        for (id, machine) in &self.machines {
            for (attempt, on_machine) in &machine.attempts {
                tracked.push((id.clone(), *attempt, on_machine.task.job));
            }
        }
        for (id, attempt, job) in tracked {
            self.index_attempt(&id, attempt, job);
        }
        let ids: Vec<MachineId> = self.machines.keys().cloned().collect();
        for id in ids {
            self.pending_commands.insert(id.clone());
            self.pending_updates.machines.insert(id.clone());
            self.refresh_summary(&id, now);
        }
    }

    /// A machine of a former owner, which may have renewed its worker's lease until `renewed_at`.
    fn inherit_machine(
        &self,
        id: &MachineId,
        records: &[&AttemptRecord],
        job_cache: &JobCache,
        renewed_at: Time,
        now: Time,
    ) -> Machine {
        let newest = self.heartbeat_history.newest_message(id);
        let mut machine = Machine::new(newest, renewed_at, now);
        for record in records {
            let job = job_cache
                .get(record.task.job)
                .map(|open| Rc::clone(&open.job));
            // A job that a later version wrote cannot be read; whether it is over is not known, so its
            // attempts are left running.
            let is_over = job.is_none() && !job_cache.is_unreadable(record.task.job);
            let mut tracked = TrackedAttempt::new(
                record.task,
                job,
                AttemptState::Inherited,
                record.incarnation,
                now,
            );
            if is_over {
                tracked.request_stop(0.0);
            }
            machine.attempts.insert(record.attempt, tracked);
        }
        machine
    }

    /// A machine that is carried over into the next epoch under the same owner. What is not on the record
    /// was never launched, and the new leader does not know of it: it is dropped. What is on the
    /// record and not tracked is gone.
    fn carry_machine_over(
        &mut self,
        id: &MachineId,
        mut machine: Machine,
        records: &[&AttemptRecord],
        now: Time,
    ) -> Machine {
        let recorded: BTreeSet<Attempt> = records.iter().map(|record| record.attempt).collect();
        machine
            .attempts
            .retain(|attempt, _| recorded.contains(attempt));
        for tracked in machine.attempts.values_mut() {
            if tracked.state == AttemptState::Recording {
                tracked.advance(AttemptState::Recorded);
            }
        }
        let is_gone = |record: &&&AttemptRecord| !machine.attempts.contains_key(&record.attempt);
        for gone in records.iter().filter(is_gone) {
            self.pending_updates.ended_attempts.push(EndedAttempt {
                task: gone.task,
                attempt: gone.attempt,
                machine: Some(id.clone()),
                outcome: AttemptOutcome::Lost,
            });
        }
        // Commands in flight were sent under the old token; whether they arrive remains open.
        machine.commands.is_in_flight = false;
        machine.directive = LeaderDirective::default();
        machine.summary = MachineSummary::default();
        machine.reachability.begin_epoch(now);
        machine
    }

    /// Drops everything: this controller is no longer in the epoch.
    pub fn clear(&mut self, now: Time) {
        for (id, machine) in std::mem::take(&mut self.machines) {
            self.heartbeat_history
                .record(&id, machine.lease.newest_message, now);
        }
        self.machine_by_attempt.clear();
        self.attempts_by_job.clear();
        self.machines_with_free_capacity.clear();
        self.assignment_queue.clear();
        self.pending_commands.clear();
        self.deferred_commands.clear();
        self.record_pages = Pages::new(String::new(), self.page_bytes);
        self.pending_updates = PendingUpdates::default();
    }
}
