//! What a new epoch leaves and takes of the machines that a controller owns.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use worksshunt_wire::peer::{AttemptEnded, AttemptOutcome};
use worksshunt_wire::{Attempt, ControllerName, Epoch, MachineId};

use crate::constants::leases::EPOCH_LEASE_MS;
use crate::jobs::JobCache;
use crate::pages::Pages;
use crate::records::{page_prefix, AttemptRecord};
use crate::time::Time;

use super::machine::{AttemptState, Machine, MachineSummary, Reachability, TrackedAttempt};
use super::partition_sync::PendingUpdates;
use super::Partition;

impl Partition {
    /// Starts an epoch with the records found at its start. Machines that were this controller's in
    /// the epoch just before as well (`was_mine`) are kept as they are, with what is known of their
    /// workers and leases: nobody else had a say in them. Measured speeds are kept in any case.
    pub fn begin_epoch(
        &mut self,
        now: Time,
        me: (Epoch, &ControllerName),
        records: &[AttemptRecord],
        job_cache: &JobCache,
        is_mine: impl Fn(&MachineId) -> bool,
        was_mine: impl Fn(&MachineId) -> bool,
    ) {
        let mut before = std::mem::take(&mut self.machines);
        for (id, machine) in &before {
            self.heartbeat_history
                .record(id, machine.lease.newest_message, now);
        }
        before.retain(|id, _| is_mine(id) && was_mine(id));
        self.clear(now);
        self.record_pages = Pages::new(page_prefix(me.0, me.1), self.page_bytes);
        let mut by_machine: BTreeMap<&MachineId, Vec<&AttemptRecord>> = BTreeMap::new();
        for record in records.iter().filter(|r| is_mine(&r.machine)) {
            by_machine.entry(&record.machine).or_default().push(record);
        }
        for (id, record) in by_machine {
            let machine = match before.remove(id) {
                Some(machine) => self.carry_machine_over(now, id, machine, &record),
                // A former owner may have renewed the lease until its authority ended, which was
                // at most this long after it last saw its epoch confirmed, and so before now plus
                // this.
                None => self.inherit_machine(now, now + EPOCH_LEASE_MS, id, &record, job_cache),
            };
            self.machines.insert(id.clone(), machine);
        }
        for (id, machine) in before {
            let machine = self.carry_machine_over(now, &id, machine, &[]);
            self.machines.insert(id, machine);
        }
        for (id, machine) in &self.machines {
            for (attempt, tracked) in &machine.attempts {
                self.machine_by_attempt.insert(*attempt, id.clone());
                let attempts = self.attempts_by_job.entry(tracked.task.job).or_default();
                attempts.insert(*attempt);
                self.pending_updates.attempts.insert(*attempt);
            }
        }
        let ids: Vec<MachineId> = self.machines.keys().cloned().collect();
        for id in ids {
            self.pending_commands.insert(id.clone());
            self.pending_updates.machines.insert(id.clone());
            self.refresh_summary(&id, now);
        }
    }

    /// A machine of a former owner.
    fn inherit_machine(
        &mut self,
        now: Time,
        renewed: Time,
        id: &MachineId,
        record: &[&AttemptRecord],
        job_cache: &JobCache,
    ) -> Machine {
        let mut machine = Machine::new(now, renewed, self.heartbeat_history.newest_message(id));
        for record in record {
            let job = job_cache
                .get(record.task.job)
                .map(|open| Rc::clone(&open.job));
            // What a later version's job is about is not known, so it is let be.
            let over = job.is_none() && !job_cache.is_unreadable(record.task.job);
            let stop = over.then_some(0.0);
            let mut tracked = TrackedAttempt::new(
                record.task,
                job,
                AttemptState::Inherited,
                record.incarnation,
                now,
            );
            tracked.stop_grace_s = stop;
            machine.attempts.insert(record.attempt, tracked);
        }
        machine
    }

    /// A machine that goes on into the next epoch under the same owner. What is not on the record
    /// was never launched, and the new leader knows nothing of it: it is dropped. What is on the
    /// record and not tracked is gone.
    fn carry_machine_over(
        &mut self,
        now: Time,
        id: &MachineId,
        mut machine: Machine,
        record: &[&AttemptRecord],
    ) -> Machine {
        let recorded: BTreeSet<Attempt> = record.iter().map(|r| r.attempt).collect();
        machine
            .attempts
            .retain(|attempt, _| recorded.contains(attempt));
        for tracked in machine.attempts.values_mut() {
            if tracked.state == AttemptState::Recording {
                tracked.advance(AttemptState::Recorded);
            }
        }
        for gone in record
            .iter()
            .filter(|r| !machine.attempts.contains_key(&r.attempt))
        {
            self.pending_updates.ended_attempts.push(AttemptEnded {
                task: gone.task,
                attempt: gone.attempt,
                machine: Some(id.clone()),
                outcome: AttemptOutcome::Lost,
            });
        }
        // Orders under way were sent under the old token; whether they arrive stays open.
        machine.commands_in_flight = false;
        machine.draining = false;
        machine.claimed = false;
        machine.unheeded_responses = 0;
        machine.summary = MachineSummary::default();
        if let Reachability::Unconfirmed { .. } = machine.reachability {
            machine.set_reachability(Reachability::Unconfirmed { since: now });
        }
        machine
    }

    /// Drops everything: this controller is out.
    pub fn clear(&mut self, now: Time) {
        for (id, machine) in std::mem::take(&mut self.machines) {
            self.heartbeat_history
                .record(&id, machine.lease.newest_message, now);
        }
        self.machine_by_attempt.clear();
        self.attempts_by_job.clear();
        self.machines_with_free_capacity.clear();
        self.queue.clear();
        self.pending_commands.clear();
        self.deferred_commands.clear();
        self.record_pages = Pages::new(String::new(), self.page_bytes);
        self.pending_updates = PendingUpdates::default();
    }
}
