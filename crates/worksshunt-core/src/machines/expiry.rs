//! What the passing of time changes: expired leases, missing heartbeats, timed-out assignments, reclaim notices.
//!
//! The controller calls [`Partition::tick`] at intervals. A tick examines a bounded number of machines; the cursor in
//! the partition is where the next one continues.

use std::ops::Bound::{Excluded, Included, Unbounded};

use worksshunt_wire::peer::AttemptOutcome;
use worksshunt_wire::MachineId;

use crate::constants::partition_sync::ASSIGNMENT_QUEUE_TIMEOUT_MS;
use crate::constants::readiness::MIN_UNREACHABLE_MACHINES;
use crate::constants::workers::MACHINES_CHECKED_PER_TICK;
use crate::time::Time;

use super::attempt::{AttemptState, TrackedAttempt};
use super::machine::Machine;
use super::partition::Partition;
use super::sequence_number::SequenceNumber;

/// Machines that a sweep found something to do for.
#[derive(Debug, Default)]
struct SweepFindings {
    lease_expired: Vec<MachineId>,
    summary_changed: Vec<MachineId>,
    /// Lost, and none of their attempts matters any more.
    forgettable: Vec<MachineId>,
    reclaim_noticed: Vec<MachineId>,
}

impl Partition {
    /// Applies what time alone changes: leases that have expired, machines whose heartbeats are missing,
    /// queued assignments returned, checkpoints saved before their machine is reclaimed.
    pub fn tick(&mut self, now: Time) {
        let findings = self.sweep_findings(now);
        for id in findings.lease_expired {
            self.mark_lost(&id, now);
        }
        for id in findings.summary_changed {
            self.refresh_summary(&id, now);
        }
        for id in findings.forgettable {
            self.forget_machine(&id, now);
        }
        for id in findings.reclaim_noticed {
            self.prepare_for_reclaim(&id, now);
        }
        self.return_queued_where(|queued| {
            now.since(queued.queued_at) >= ASSIGNMENT_QUEUE_TIMEOUT_MS
        });
        self.assignment_queue.request_placement();
    }

    fn sweep_findings(&mut self, now: Time) -> SweepFindings {
        let timeouts = self.timeouts;
        let mut findings = SweepFindings::default();
        for (id, machine) in self.sweep() {
            if !machine.is_lost && machine.lease.has_expired(timeouts.lease_ms, now) {
                findings.lease_expired.push(id.clone());
            } else if machine.is_lost {
                if machine.attempts.values().all(TrackedAttempt::is_settled) {
                    findings.forgettable.push(id.clone());
                }
            } else if machine.summarize(now, timeouts) != machine.summary {
                findings.summary_changed.push(id.clone());
            }
            if machine.has_reclaim_notice() && !machine.attempts.is_empty() {
                findings.reclaim_noticed.push(id.clone());
            }
        }
        findings
    }

    /// The machines that this tick examines: all of a small partition, some of a large one.
    fn sweep(&mut self) -> impl Iterator<Item = (&MachineId, &Machine)> {
        let start = self.sweep_cursor.take().map_or(Unbounded, Excluded);
        let ids = self
            .machines
            .range::<MachineId, _>((start.clone(), Unbounded));
        // The last one of this tick, if others are left after it.
        let mut ids = ids.map(|(id, _)| id).skip(MACHINES_CHECKED_PER_TICK - 1);
        let last = ids.next().filter(|_| ids.next().is_some()).cloned();
        self.sweep_cursor.clone_from(&last);
        let end = last.map_or(Unbounded, Included);
        self.machines.range((start, end))
    }

    /// The cloud has confirmed that a machine and everything on it are gone. Its name is never used
    /// again, so any further message of it is a late copy.
    pub(super) fn machine_terminated(&mut self, id: &MachineId, now: Time) {
        self.mark_lost(id, now);
        self.speeds.remove(id);
        match self.machines.get_mut(id) {
            Some(machine) => machine.lease.close_up_to(SequenceNumber::MAX),
            None => self.heartbeat_history.record(id, SequenceNumber::MAX, now),
        }
    }

    /// Everything on a machine is certainly gone.
    pub(super) fn mark_lost(&mut self, id: &MachineId, now: Time) {
        let Some(machine) = self.machines.get_mut(id) else {
            return;
        };
        machine.is_lost = true;
        // Its worker's incarnation is over, and with it what it waits for; only something newer shows otherwise.
        machine.lease.close_up_to(machine.lease.newest_message);
        let attempts = machine.attempts_where(|tracked| tracked.state != AttemptState::Completed);
        if !attempts.is_empty() {
            log_lost(id, machine, attempts.len(), now);
        }
        for attempt in attempts {
            self.end_attempt(id, attempt, AttemptOutcome::Lost, now);
        }
        self.refresh_summary(id, now);
    }

    /// Whether several machines sent heartbeats to this controller and all of them have stopped.
    pub fn is_unreachable(&self, now: Time) -> bool {
        let mut without_heartbeats = 0;
        for machine in self.machines.values() {
            if machine.info.is_none() || machine.is_lost {
                continue;
            }
            if now.since(machine.lease.last_message_at) <= self.timeouts.no_heartbeats_ms {
                return false;
            }
            without_heartbeats += 1;
        }
        without_heartbeats >= MIN_UNREACHABLE_MACHINES
    }

    /// Removes a lost machine on which nothing matters any more.
    fn forget_machine(&mut self, id: &MachineId, now: Time) {
        let Some(machine) = self.machines.get(id) else {
            return;
        };
        for attempt in machine.attempts_where(|_| true) {
            self.untrack(id, attempt, AttemptOutcome::Acknowledged, now);
        }
        if let Some(machine) = self.machines.remove(id) {
            self.heartbeat_history
                .record(id, machine.lease.newest_message, now);
        }
        self.pending_commands.remove(id);
        self.pending_updates.machines.remove(id);
        self.pending_updates.removed_machines.insert(id.clone());
    }

    /// On a machine that will be reclaimed, attempts that have not been launched end at once, and tasks that
    /// can save their checkpoint in time are stopped to do so.
    fn prepare_for_reclaim(&mut self, id: &MachineId, now: Time) {
        let Some(machine) = self.machines.get_mut(id) else {
            return;
        };
        let Some(reclaim_at) = machine.reclaim_at else {
            return;
        };
        for tracked in machine.attempts.values_mut() {
            if tracked.stop.is_none() && tracked.can_checkpoint_before(reclaim_at, now) {
                tracked.request_stop(tracked.checkpoint_grace_s());
                self.pending_commands.insert(id.clone());
            }
        }
        self.end_unlaunched(id, now);
        self.refresh_summary(id, now);
    }
}

fn log_lost(id: &MachineId, machine: &Machine, attempts: usize, now: Time) {
    let lease = &machine.lease;
    let renewed_ago_ms = now.since(lease.renewed_at);
    let last_message_ago_ms = now.since(lease.last_message_at);
    let renewed_by = lease.renewed_by.map(tracing::field::display);
    tracing::info!(
        machine = %id, tasks = attempts, renewed_ago_ms, renewed_by, last_message_ago_ms,
        newest = %lease.newest_message, "machine lost, tasks rescheduled"
    );
}

#[cfg(test)]
mod tests;
