//! The leader's view of one partition: its machines with what is free on them, and the directives its
//! owner has not acted on yet.
//!
//! [`Scheduler`](super::Scheduler) owns one [`PartitionView`] per member of the epoch; `partition_sync`
//! brings it up to date, `dispatch` reserves resources in it.

use std::collections::{BTreeMap, BTreeSet};

use worksshunt_wire::peer::{LeaderDirectives, MachineDirectives, MachineStatus, PartitionStatus};
use worksshunt_wire::{Attempt, MachineId};

use crate::constants::partition_sync::{
    MAX_CHANGES_PER_SYNC, PARTITION_SILENCE_TIMEOUT_MS, PROGRESS_SYNC_INTERVAL_MS,
};
use crate::constants::placement::ROUNDING_TOLERANCE;
use crate::jobs::Job;
use crate::time::Time;

use super::active_attempt::ActiveAttempt;
use super::machine_view::MachineView;

/// Free processors of a machine, as they are ordered by.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct FreeCpus(u64);

impl FreeCpus {
    /// The bits of numbers from 0 up are in the order of the numbers.
    fn of(cpus: f64) -> FreeCpus {
        FreeCpus(cpus.max(0.0).to_bits())
    }
}

/// An instruction to an owner about an attempt. It is sent again until it is acknowledged.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Directive {
    /// Place it.
    Assign(Attempt),
    /// Stop it.
    Stop(Attempt),
    /// Forget it: its completion is in the store.
    MarkDurable(Attempt),
}

impl Directive {
    /// The attempt it is about.
    pub fn attempt(self) -> Attempt {
        match self {
            Directive::Assign(attempt)
            | Directive::Stop(attempt)
            | Directive::MarkDurable(attempt) => attempt,
        }
    }

    /// How many directives of its kind a message has.
    fn count_of_kind(self, message: &LeaderDirectives) -> usize {
        match self {
            Directive::Assign(_) => message.assignments.len(),
            Directive::Stop(_) => message.stop_attempts.len(),
            Directive::MarkDurable(_) => message.durable_attempts.len(),
        }
    }
}

/// The machine directives that were last sent, and the message that had them.
#[derive(Debug)]
struct SentMachineDirectives {
    sequence: u64,
    directives: MachineDirectives,
}

/// A partition as its owner describes it.
#[derive(Debug, Default)]
pub(super) struct PartitionView {
    /// Messages sent to its owner.
    directives_sent: u64,
    /// Number of its owner's last message.
    last_sequence: u64,
    /// Number of the last message that its owner has acted on.
    acknowledged: u64,
    /// When its owner's last message came.
    last_message_at: Time,
    pub machines: BTreeMap<MachineId, MachineView>,
    /// Machines with free processors, those with fewest first.
    machines_by_free_cpus: BTreeSet<(FreeCpus, MachineId)>,
    /// Directives that its owner has not acknowledged, each with the number of the message that had it
    /// last; none before it is sent. Each is queued once, however often an owner that gets no answer in
    /// time repeats the status that caused it.
    outbox: BTreeMap<Directive, Option<u64>>,
    /// None before the first, and when a machine is new: then they are sent again.
    last_machine_directives: Option<SentMachineDirectives>,
    /// When the jobs' progress was last sent.
    progress_sent_at: Option<Time>,
}

impl PartitionView {
    /// Adds a directive to be sent.
    pub fn enqueue(&mut self, directive: Directive) {
        self.outbox.insert(directive, None);
    }

    /// Whether its owner's messages arrive.
    pub fn is_responsive(&self, now: Time) -> bool {
        now.since(self.last_message_at) < PARTITION_SILENCE_TIMEOUT_MS
    }

    /// Whether it has described itself, and was answered, in this epoch.
    pub fn has_reported(&self) -> bool {
        self.directives_sent > 0
    }

    /// Notes a message of its owner; false if a later one came before it. What it acknowledges need not be
    /// sent again.
    pub fn accept_message(&mut self, now: Time, status: &PartitionStatus) -> bool {
        if status.sequence <= self.last_sequence {
            return false;
        }
        self.last_sequence = status.sequence;
        self.acknowledged = status.acknowledged_sequence;
        self.last_message_at = now;
        self.outbox.retain(|_, sent_in| {
            sent_in.is_none_or(|sequence| sequence > status.acknowledged_sequence)
        });
        true
    }

    /// Takes the assignments that were never sent out of the outbox.
    pub fn take_unsent_assignments(&mut self) -> Vec<Attempt> {
        let mut unsent = Vec::new();
        self.outbox
            .retain(|directive, sent_in| match (directive, *sent_in) {
                (Directive::Assign(attempt), None) => {
                    unsent.push(*attempt);
                    false
                }
                _ => true,
            });
        unsent
    }

    /// Begins the next message to its owner: its number, and the one it answers.
    pub fn next_message(&mut self) -> LeaderDirectives {
        self.directives_sent += 1;
        LeaderDirectives {
            request_sequence: self.last_sequence,
            sequence: self.directives_sent,
            ..LeaderDirectives::default()
        }
    }

    /// Adds the outbox to the message begun last. What is too much for one message is left for the next;
    /// each kind has its own limit, so that stops do not wait behind assignments.
    pub fn add_outbox(
        &mut self,
        attempts: &BTreeMap<Attempt, ActiveAttempt>,
        message: &mut LeaderDirectives,
    ) {
        for (directive, sent_in) in &mut self.outbox {
            if directive.count_of_kind(message) >= MAX_CHANGES_PER_SYNC {
                continue;
            }
            *sent_in = Some(self.directives_sent);
            match *directive {
                Directive::Assign(attempt) => {
                    let active = attempts.get(&attempt);
                    let assignment = active.and_then(|active| active.assignment(attempt));
                    message.assignments.extend(assignment);
                }
                Directive::Stop(attempt) => message.stop_attempts.push(attempt),
                Directive::MarkDurable(attempt) => message.durable_attempts.push(attempt),
            }
        }
    }

    /// Adds the machine directives to the message begun last, unless its owner has acted on the same ones.
    pub fn add_machine_directives(
        &mut self,
        directives: MachineDirectives,
        message: &mut LeaderDirectives,
    ) {
        let is_confirmed = self.last_machine_directives.as_ref().is_some_and(|last| {
            last.directives == directives && last.sequence <= self.acknowledged
        });
        if !is_confirmed {
            self.last_machine_directives = Some(SentMachineDirectives {
                sequence: self.directives_sent,
                directives: directives.clone(),
            });
            message.machine_directives = Some(directives);
        }
    }

    /// Whether the jobs' progress is to be sent again; if so, notes that it is.
    pub fn take_progress_due(&mut self, now: Time) -> bool {
        let is_due = self
            .progress_sent_at
            .is_none_or(|sent_at| now.since(sent_at) >= PROGRESS_SYNC_INTERVAL_MS);
        if is_due {
            self.progress_sent_at = Some(now);
        }
        is_due
    }

    /// Reserves a machine's resources for a task on its way.
    pub fn reserve(&mut self, id: &MachineId, job: &Job) {
        self.adjust(id, |view| view.reserve(&job.resources()));
    }

    /// Ends the reservation for a task, if it has one.
    pub fn release_reservation(&mut self, id: Option<&MachineId>, job: &Job) {
        if let Some(id) = id {
            self.adjust(id, |view| view.release_reservation(&job.resources()));
        }
    }

    /// Machines with at least so many free processors, those with fewest first.
    pub fn with_free_cpus(&self, cpus: f64) -> impl Iterator<Item = &MachineView> {
        let from = (
            FreeCpus::of(cpus - ROUNDING_TOLERANCE),
            MachineId(String::new()),
        );
        let ids = self.machines_by_free_cpus.range(from..).map(|(_, id)| id);
        ids.filter_map(|id| self.machines.get(id))
    }

    /// Changes a machine and updates what is free on it, and the order by that.
    fn adjust(&mut self, id: &MachineId, change: impl FnOnce(&mut MachineView)) {
        let Some(view) = self.machines.get_mut(id) else {
            return;
        };
        let before = FreeCpus::of(view.free.cpus);
        change(view);
        let after = FreeCpus::of(view.free.cpus);
        let has_free_cpus = view.free.cpus > ROUNDING_TOLERANCE;
        if before != after {
            self.machines_by_free_cpus.remove(&(before, id.clone()));
        }
        if has_free_cpus {
            self.machines_by_free_cpus.insert((after, id.clone()));
        } else {
            self.machines_by_free_cpus.remove(&(after, id.clone()));
        }
    }

    /// Applies a machine's description by its owner.
    pub fn update_machine(&mut self, status: MachineStatus, now: Time) {
        let id = status.id.clone();
        if !self.machines.contains_key(&id) {
            // Its owner has dropped what was sent about the machine before.
            self.last_machine_directives = None;
        }
        self.machines
            .entry(id.clone())
            .or_insert_with(|| MachineView::new(status.clone()));
        self.adjust(&id, |view| view.update(status, now));
    }

    /// A machine is no longer part of the partition.
    pub fn remove_machine(&mut self, id: &MachineId) {
        if let Some(view) = self.machines.remove(id) {
            let free = FreeCpus::of(view.free.cpus);
            self.machines_by_free_cpus.remove(&(free, id.clone()));
        }
    }
}

#[cfg(test)]
mod tests;
