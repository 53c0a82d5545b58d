//! The leader's view of one partition: its machines with their free resources, and the directives that its owner has
//! not acknowledged yet.
//!
//! [`Scheduler`](super::Scheduler) owns one [`PartitionView`] per member of the epoch; `partition_sync` updates it,
//! `dispatch` reserves resources in it.

use std::collections::{BTreeMap, BTreeSet};

use worksshunt_wire::peer::{LeaderDirectives, MachineDirectives, MachineStatus, PartitionStatus};
use worksshunt_wire::{AttemptId, MachineId};

use crate::constants::partition_sync::{
    MAX_CHANGES_PER_SYNC, PARTITION_UNRESPONSIVE_AFTER_MS, PROGRESS_SYNC_INTERVAL_MS,
};
use crate::constants::placement::ROUNDING_TOLERANCE;
use crate::jobs::Job;
use crate::time::Time;

use super::active_attempt::ActiveAttempt;
use super::machine_view::MachineView;

/// Free processors of a machine, as a sort key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct FreeCpus(u64);

impl FreeCpus {
    /// The bit patterns of floating-point numbers that are not negative sort like the numbers.
    fn of(cpus: f64) -> FreeCpus {
        FreeCpus(cpus.max(0.0).to_bits())
    }
}

/// An instruction to a partition's owner about an attempt, sent until it is acknowledged.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Directive {
    /// Place the attempt.
    Assign(AttemptId),
    /// Stop the attempt.
    Stop(AttemptId),
    /// Drop the attempt, whose completion is stored.
    MarkDurable(AttemptId),
}

impl Directive {
    /// The attempt concerned.
    pub fn attempt(self) -> AttemptId {
        match self {
            Directive::Assign(attempt)
            | Directive::Stop(attempt)
            | Directive::MarkDurable(attempt) => attempt,
        }
    }

    /// Number of directives of this kind in a message.
    fn count_of_kind(self, message: &LeaderDirectives) -> usize {
        match self {
            Directive::Assign(_) => message.assignments.len(),
            Directive::Stop(_) => message.stop_attempts.len(),
            Directive::MarkDurable(_) => message.durable_attempts.len(),
        }
    }
}

/// The machine directives last sent, and the sequence number of the message that contained them.
#[derive(Debug)]
struct SentMachineDirectives {
    sequence: u64,
    directives: MachineDirectives,
}

/// A partition as last reported by its owner, and the directives for the owner.
#[derive(Debug, Default)]
pub(super) struct PartitionView {
    /// Sequence number of the last message sent to the owner; 0 before the first.
    last_sent_sequence: u64,
    /// Sequence number of the last message received from the owner; 0 before the first.
    last_received_sequence: u64,
    /// Sequence number of the last message that the owner has acknowledged.
    acknowledged_sequence: u64,
    /// When the last message from the owner was received.
    last_message_at: Time,
    pub machines: BTreeMap<MachineId, MachineView>,
    /// Schedulable machines, those with the fewest free processors first.
    machines_by_free_cpus: BTreeSet<(FreeCpus, MachineId)>,
    /// Unacknowledged directives, each with the sequence number of the last message that contained it; `None` before
    /// it is sent. Each directive is queued once, even if the owner repeats the status that caused it.
    outbox: BTreeMap<Directive, Option<u64>>,
    /// `None` before the first, and after a new machine was reported: the directives are sent again then.
    last_machine_directives: Option<SentMachineDirectives>,
    /// When the jobs' progress was last sent; `None` before the first time.
    progress_sent_at: Option<Time>,
}

impl PartitionView {
    /// Enqueues a directive. One that was sent already is sent again.
    pub fn enqueue(&mut self, directive: Directive) {
        self.outbox.insert(directive, None);
    }

    /// Whether a message from the owner was received within [`PARTITION_UNRESPONSIVE_AFTER_MS`].
    pub fn is_responsive(&self, now: Time) -> bool {
        now.since(self.last_message_at) < PARTITION_UNRESPONSIVE_AFTER_MS
    }

    /// Whether the owner has sent its status, and the leader has responded, in this epoch.
    pub fn has_reported(&self) -> bool {
        self.last_sent_sequence > 0
    }

    /// Accepts a message from the owner and removes the directives that it acknowledges. Returns false for a message
    /// that arrives after a later one.
    pub fn accept_message(&mut self, now: Time, status: &PartitionStatus) -> bool {
        if status.sequence <= self.last_received_sequence {
            return false;
        }
        self.last_received_sequence = status.sequence;
        self.acknowledged_sequence = status.acknowledged_sequence;
        self.last_message_at = now;
        self.outbox.retain(|_, sent_sequence| {
            sent_sequence.is_none_or(|sequence| sequence > status.acknowledged_sequence)
        });
        true
    }

    /// Removes the assignments that were never sent, and returns their attempts.
    pub fn take_unsent_assignments(&mut self) -> Vec<AttemptId> {
        let mut unsent = Vec::new();
        self.outbox.retain(
            |directive, sent_sequence| match (directive, *sent_sequence) {
                (Directive::Assign(attempt), None) => {
                    unsent.push(*attempt);
                    false
                }
                _ => true,
            },
        );
        unsent
    }

    /// Starts the next message to the owner.
    pub fn next_message(&mut self) -> LeaderDirectives {
        self.last_sent_sequence += 1;
        LeaderDirectives {
            request_sequence: self.last_received_sequence,
            sequence: self.last_sent_sequence,
            ..LeaderDirectives::default()
        }
    }

    /// Adds directives to the message started last. Each kind has its own limit, so that stops don't wait behind
    /// assignments; the rest is left for the next message.
    pub fn add_directives(
        &mut self,
        attempts: &BTreeMap<AttemptId, ActiveAttempt>,
        message: &mut LeaderDirectives,
    ) {
        for (directive, sent_sequence) in &mut self.outbox {
            if directive.count_of_kind(message) >= MAX_CHANGES_PER_SYNC {
                continue;
            }
            *sent_sequence = Some(self.last_sent_sequence);
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

    /// Adds the machine directives to the message started last, unless the owner has acknowledged the same ones.
    pub fn add_machine_directives(
        &mut self,
        directives: MachineDirectives,
        message: &mut LeaderDirectives,
    ) {
        let is_acknowledged = self.last_machine_directives.as_ref().is_some_and(|last| {
            last.directives == directives && last.sequence <= self.acknowledged_sequence
        });
        if !is_acknowledged {
            self.last_machine_directives = Some(SentMachineDirectives {
                sequence: self.last_sent_sequence,
                directives: directives.clone(),
            });
            message.machine_directives = Some(directives);
        }
    }

    /// Whether the jobs' progress is due to be sent; if so, marks it as sent.
    pub fn mark_progress_sent_if_due(&mut self, now: Time) -> bool {
        let is_due = self
            .progress_sent_at
            .is_none_or(|sent_at| now.since(sent_at) >= PROGRESS_SYNC_INTERVAL_MS);
        if is_due {
            self.progress_sent_at = Some(now);
        }
        is_due
    }

    /// Reserves a machine's resources for a dispatched task.
    pub fn reserve(&mut self, id: &MachineId, job: &Job) {
        self.update_view(id, |view| view.reserve(&job.resources()));
    }

    /// Releases the reservation for a task. No effect if `id` is `None`.
    pub fn release_reservation(&mut self, id: Option<&MachineId>, job: &Job) {
        if let Some(id) = id {
            self.update_view(id, |view| view.release_reservation(&job.resources()));
        }
    }

    /// Schedulable machines with at least `cpus` free processors, those with the fewest first.
    pub fn machines_with_free_cpus(&self, cpus: f64) -> impl Iterator<Item = &MachineView> {
        let lower_bound = (
            FreeCpus::of(cpus - ROUNDING_TOLERANCE),
            MachineId(String::new()),
        );
        let ids = self
            .machines_by_free_cpus
            .range(lower_bound..)
            .map(|(_, id)| id);
        ids.filter_map(|id| self.machines.get(id))
    }

    /// Changes a machine's view and keeps the order by free processors up to date.
    fn update_view(&mut self, id: &MachineId, change: impl FnOnce(&mut MachineView)) {
        let Some(view) = self.machines.get_mut(id) else {
            return;
        };
        let before = free_cpus_if_schedulable(view);
        change(view);
        let after = free_cpus_if_schedulable(view);
        if before != after {
            self.reorder(id, before, after);
        }
    }

    /// Moves a machine in the order by free processors. `None` stands for a machine that is not in it.
    fn reorder(&mut self, id: &MachineId, before: Option<FreeCpus>, after: Option<FreeCpus>) {
        if let Some(before) = before {
            self.machines_by_free_cpus.remove(&(before, id.clone()));
        }
        if let Some(after) = after {
            self.machines_by_free_cpus.insert((after, id.clone()));
        }
    }

    /// Applies a machine's status as reported by its owner.
    pub fn update_machine(&mut self, status: MachineStatus, now: Time) {
        let id = status.id.clone();
        if !self.machines.contains_key(&id) {
            // The owner has dropped the earlier directives for this machine.
            self.last_machine_directives = None;
            let view = MachineView::new(status.clone());
            self.reorder(&id, None, free_cpus_if_schedulable(&view));
            self.machines.insert(id.clone(), view);
        }
        self.update_view(&id, |view| view.update(status, now));
    }

    /// Removes a machine that no longer belongs to the partition.
    pub fn remove_machine(&mut self, id: &MachineId) {
        if let Some(view) = self.machines.remove(id) {
            self.reorder(id, free_cpus_if_schedulable(&view), None);
        }
    }
}

/// Sort key of a machine in the order by free processors; `None` if it is not schedulable.
fn free_cpus_if_schedulable(view: &MachineView) -> Option<FreeCpus> {
    view.status
        .is_schedulable
        .then(|| FreeCpus::of(view.free.cpus))
}

#[cfg(test)]
mod tests;
