//! Periodic checks: expired leases, missed heartbeats, assignment timeouts and reclaim deadlines.
//!
//! The controller calls [`Partition::tick`] periodically. A tick checks a bounded number of machines, and the next one
//! continues from `Partition::sweep_cursor`.

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

/// Machines that need an update after a sweep.
#[derive(Debug, Default)]
struct SweepFindings {
    with_expired_lease: Vec<MachineId>,
    with_changed_summary: Vec<MachineId>,
    /// Lost, and all of their attempts are durably completed.
    removable: Vec<MachineId>,
    with_reclaim_notice: Vec<MachineId>,
}

impl Partition {
    /// Marks machines with expired leases as lost, removes lost ones, refreshes summaries, prepares machines for
    /// reclaim and returns queued assignments that have timed out.
    pub fn tick(&mut self, now: Time) {
        let findings = self.sweep_findings(now);
        for id in findings.with_expired_lease {
            self.mark_lost(&id, now);
        }
        for id in findings.with_changed_summary {
            self.refresh_summary(&id, now);
        }
        for id in findings.removable {
            self.remove_machine(&id, now);
        }
        for id in findings.with_reclaim_notice {
            self.prepare_for_reclaim(&id, now);
        }
        self.return_queued_assignments_where(|queued| {
            now.since(queued.queued_at) >= ASSIGNMENT_QUEUE_TIMEOUT_MS
        });
        self.assignment_queue.request_placement();
    }

    fn sweep_findings(&mut self, now: Time) -> SweepFindings {
        let timeouts = self.timeouts;
        let mut findings = SweepFindings::default();
        for (id, machine) in self.sweep() {
            if !machine.is_lost && machine.lease.has_expired(timeouts.lease_ms, now) {
                findings.with_expired_lease.push(id.clone());
            } else if machine.is_lost {
                if machine
                    .attempts
                    .values()
                    .all(TrackedAttempt::is_durably_completed)
                {
                    findings.removable.push(id.clone());
                }
            } else if machine.summarize(now, timeouts) != machine.summary {
                findings.with_changed_summary.push(id.clone());
            }
            if machine.has_reclaim_notice() && !machine.attempts.is_empty() {
                findings.with_reclaim_notice.push(id.clone());
            }
        }
        findings
    }

    /// Returns the next machines to check, at most `MACHINES_CHECKED_PER_TICK`, and advances the cursor.
    fn sweep(&mut self) -> impl Iterator<Item = (&MachineId, &Machine)> {
        let start = self.sweep_cursor.take().map_or(Unbounded, Excluded);
        let ids = self
            .machines
            .range::<MachineId, _>((start.clone(), Unbounded));
        // The last machine of this tick, if there are more after it.
        let mut ids = ids.map(|(id, _)| id).skip(MACHINES_CHECKED_PER_TICK - 1);
        let last = ids.next().filter(|_| ids.next().is_some()).cloned();
        self.sweep_cursor.clone_from(&last);
        let end = last.map_or(Unbounded, Included);
        self.machines.range((start, end))
    }

    /// Marks a machine as lost whose termination the cloud has confirmed. Its name is never reused, so all further
    /// messages from it are stale.
    pub(super) fn mark_terminated(&mut self, id: &MachineId, now: Time) {
        self.mark_lost(id, now);
        self.speed_by_machine.remove(id);
        match self.machines.get_mut(id) {
            Some(machine) => machine.lease.mark_stale_up_to(SequenceNumber::MAX),
            None => self.heartbeat_history.record(id, SequenceNumber::MAX, now),
        }
    }

    /// Marks a machine as lost: no task runs on it any more. Ends its attempts that have not completed.
    pub(super) fn mark_lost(&mut self, id: &MachineId, now: Time) {
        let Some(machine) = self.machines.get_mut(id) else {
            return;
        };
        machine.is_lost = true;
        // The worker's incarnation has ended, so it waits for no response; only a newer message makes the machine
        // available again.
        machine.lease.mark_stale_up_to(machine.lease.newest_message);
        let attempts = machine.attempts_where(|tracked| tracked.state != AttemptState::Completed);
        if !attempts.is_empty() {
            log_machine_lost(id, machine, attempts.len(), now);
        }
        for attempt in attempts {
            self.end_attempt(id, attempt, AttemptOutcome::Lost, now);
        }
        self.refresh_summary(id, now);
    }

    /// Whether workers seem unable to reach this controller: there are at least `MIN_UNREACHABLE_MACHINES` machines
    /// that have sent a message and are not lost, and none of them has sent one within `controller_unreachable_ms`.
    pub fn is_unreachable_by_workers(&self, now: Time) -> bool {
        let mut without_heartbeats = 0;
        for machine in self.machines.values() {
            if machine.info.is_none() || machine.is_lost {
                continue;
            }
            if now.since(machine.lease.last_message_at) <= self.timeouts.controller_unreachable_ms {
                return false;
            }
            without_heartbeats += 1;
        }
        without_heartbeats >= MIN_UNREACHABLE_MACHINES
    }

    /// Removes a lost machine, all of whose attempts are durably completed.
    fn remove_machine(&mut self, id: &MachineId, now: Time) {
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
        self.machines_with_pending_commands.remove(id);
        self.pending_updates.machines.remove(id);
        self.pending_updates.removed_machines.insert(id.clone());
    }

    /// Prepares a machine with a reclaim notice: ends attempts that have not been launched, and stops tasks that can
    /// finish a checkpoint before the machine is reclaimed.
    fn prepare_for_reclaim(&mut self, id: &MachineId, now: Time) {
        let Some(machine) = self.machines.get_mut(id) else {
            return;
        };
        let Some(reclaim_at) = machine.reclaim_at else {
            return;
        };
        for tracked in machine.attempts.values_mut() {
            if tracked.stop_request.is_none() && tracked.can_checkpoint_before(reclaim_at, now) {
                tracked.request_stop(tracked.checkpoint_grace_s());
                self.machines_with_pending_commands.insert(id.clone());
            }
        }
        self.end_unlaunched_attempts(id, now);
        self.refresh_summary(id, now);
    }
}

fn log_machine_lost(id: &MachineId, machine: &Machine, attempts: usize, now: Time) {
    let lease = &machine.lease;
    let renewed_ago_ms = now.since(lease.renewed_at);
    let last_message_ago_ms = now.since(lease.last_message_at);
    let renewing_heartbeat = lease.renewing_heartbeat.map(tracing::field::display);
    tracing::info!(
        machine = %id, tasks = attempts, renewed_ago_ms, renewing_heartbeat, last_message_ago_ms,
        newest_message = %lease.newest_message, "machine lost; its tasks will be rescheduled"
    );
}

#[cfg(test)]
mod tests;
