//! What a new epoch leaves and takes of the machines that a controller owns.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use worksshunt_wire::peer::{End, Ended};
use worksshunt_wire::{Attempt, Epoch, MachineId, NodeName};

use crate::constants::AUTHORITY_MS;
use crate::jobs::Mirror;
use crate::pages::Pages;
use crate::records::{page_prefix, Recorded};
use crate::time::Time;

use super::exchange::Outgoing;
use super::machine::{AttemptState, Machine, Reach, Summary, TrackedAttempt};
use super::Part;

impl Part {
    /// Starts an epoch with the records found at its start. Machines that were this controller's in
    /// the epoch just before as well (`was_mine`) are kept as they are, with what is known of their
    /// workers and leases: nobody else had a say in them. Measured speeds are kept in any case.
    pub fn load(
        &mut self,
        now: Time,
        me: (Epoch, &NodeName),
        records: &[Recorded],
        mirror: &Mirror,
        is_mine: impl Fn(&MachineId) -> bool,
        was_mine: impl Fn(&MachineId) -> bool,
    ) {
        let mut before = std::mem::take(&mut self.machines);
        for (id, machine) in &before {
            self.sightings.note(id, machine.lease.newest, now);
        }
        before.retain(|id, _| is_mine(id) && was_mine(id));
        self.clear(now);
        self.pages = Pages::new(page_prefix(me.0, me.1), self.page_bytes);
        let mut by_machine: BTreeMap<&MachineId, Vec<&Recorded>> = BTreeMap::new();
        for record in records.iter().filter(|r| is_mine(&r.machine)) {
            by_machine.entry(&record.machine).or_default().push(record);
        }
        for (id, record) in by_machine {
            let machine = match before.remove(id) {
                Some(machine) => self.carried_over(now, id, machine, &record),
                // A former owner may have renewed the lease until its authority ended, which was
                // at most this long after it last saw its epoch confirmed, and so before now plus
                // this.
                None => self.inherited(now, now + AUTHORITY_MS, id, &record, mirror),
            };
            self.machines.insert(id.clone(), machine);
        }
        for (id, machine) in before {
            let machine = self.carried_over(now, &id, machine, &[]);
            self.machines.insert(id, machine);
        }
        for (id, machine) in &self.machines {
            for (attempt, tracked) in &machine.attempts {
                self.homes.insert(*attempt, id.clone());
                let attempts = self.by_job.entry(tracked.task.job).or_default();
                attempts.insert(*attempt);
                self.outgoing.attempts.insert(*attempt);
            }
        }
        let ids: Vec<MachineId> = self.machines.keys().cloned().collect();
        for id in ids {
            self.to_order.insert(id.clone());
            self.outgoing.machines.insert(id.clone());
            self.look_at(&id, now);
        }
    }

    /// A machine of a former owner.
    fn inherited(
        &mut self,
        now: Time,
        renewed: Time,
        id: &MachineId,
        record: &[&Recorded],
        mirror: &Mirror,
    ) -> Machine {
        let mut machine = Machine::new(now, renewed, self.sightings.newest(id));
        for record in record {
            let job = mirror.get(record.task.job).map(|open| Rc::clone(&open.job));
            // What a later version's job is about is not known, so it is let be.
            let over = job.is_none() && !mirror.is_odd(record.task.job);
            let stop = over.then_some(0.0);
            let mut tracked = TrackedAttempt::new(
                record.task,
                job,
                AttemptState::Inherited,
                record.session,
                now,
            );
            tracked.stop = stop;
            machine.attempts.insert(record.attempt, tracked);
        }
        machine
    }

    /// A machine that goes on into the next epoch under the same owner. What is not on the record
    /// was never launched, and the new leader knows nothing of it: it is dropped. What is on the
    /// record and not tracked is gone.
    fn carried_over(
        &mut self,
        now: Time,
        id: &MachineId,
        mut machine: Machine,
        record: &[&Recorded],
    ) -> Machine {
        let recorded: BTreeSet<Attempt> = record.iter().map(|r| r.attempt).collect();
        machine
            .attempts
            .retain(|attempt, _| recorded.contains(attempt));
        for tracked in machine.attempts.values_mut() {
            if tracked.state == AttemptState::Recording {
                tracked.step(AttemptState::Recorded);
            }
        }
        for gone in record
            .iter()
            .filter(|r| !machine.attempts.contains_key(&r.attempt))
        {
            self.outgoing.ended.push(Ended {
                task: gone.task,
                attempt: gone.attempt,
                machine: Some(id.clone()),
                how: End::Lost,
            });
        }
        // Orders under way were sent under the old token; whether they arrive stays open.
        machine.ordering = false;
        machine.draining = false;
        machine.claimed = false;
        machine.unheeded = 0;
        machine.summary = Summary::default();
        if let Reach::Unconfirmed { .. } = machine.reach {
            machine.reach(Reach::Unconfirmed { since: now });
        }
        machine
    }

    /// Drops everything: this controller is out.
    pub fn clear(&mut self, now: Time) {
        for (id, machine) in std::mem::take(&mut self.machines) {
            self.sightings.note(&id, machine.lease.newest, now);
        }
        self.homes.clear();
        self.by_job.clear();
        self.open.clear();
        self.queue.clear();
        self.to_order.clear();
        self.order_later.clear();
        self.pages = Pages::new(String::new(), self.page_bytes);
        self.outgoing = Outgoing::default();
    }
}
