//! Synchronization of a partition's owner with the leader.
//!
//! The owner sends a [`PartitionStatus`] with the changes that the leader has not acknowledged, and the leader responds
//! with [`LeaderDirectives`]. `pending_updates` holds the changes to be sent.

use std::collections::BTreeSet;

use worksshunt_wire::peer::{
    AttemptStatus, LeaderDirectives, MachineDirectives, MachineStatus, PartitionStatus,
};
use worksshunt_wire::{AttemptId, ControllerName, Epoch, MachineId};

use crate::time::Time;

use super::attempt::AttemptState;
use super::machine::{LeaderDirective, Machine};
use super::partition::Partition;

impl Partition {
    /// Whether there are changes to be sent to the leader. Those of the status in flight don't count.
    pub fn has_pending_updates(&self) -> bool {
        !self.pending_updates.is_empty()
    }

    /// Returns the next status for the leader: the changes that it has not acknowledged, up to the size limit of a
    /// status.
    pub fn next_status(
        &mut self,
        now: Time,
        epoch: Epoch,
        from: &ControllerName,
    ) -> PartitionStatus {
        self.pending_updates.requeue_unacknowledged();
        let batch = self.pending_updates.take_batch();
        let machines = batch.machines.iter();
        let removed_machines = batch.removed_machines.iter();
        let attempts = batch.attempts.iter();
        let status = PartitionStatus {
            epoch,
            owner: from.clone(),
            sequence: self.pending_updates.last_status_sequence + 1,
            acknowledged_sequence: self.pending_updates.last_directives_sequence,
            machines: machines
                .filter_map(|id| machine_status(id, self.machines.get(id)?, now))
                .collect(),
            removed_machines: removed_machines
                .filter(|id| !self.machines.contains_key(id))
                .cloned()
                .collect(),
            attempts: attempts
                .filter_map(|attempt| self.attempt_status(*attempt, now))
                .collect(),
            ended_attempts: batch.ended_attempts.clone(),
        };
        self.pending_updates.last_status_sequence += 1;
        self.pending_updates.in_flight = Some(batch);
        status
    }

    fn attempt_status(&self, attempt: AttemptId, now: Time) -> Option<AttemptStatus> {
        let (id, tracked) = self.tracked_attempt(attempt)?;
        Some(AttemptStatus {
            task: tracked.task,
            attempt,
            machine: id.clone(),
            phase: tracked.reported_phase(),
            running_ms: match tracked.state {
                AttemptState::Running(since) => now.since(since),
                _ => 0,
            },
        })
    }

    /// Requeues the changes of the status in flight, which the leader did not answer.
    pub fn requeue_unacknowledged_updates(&mut self) {
        self.pending_updates.requeue_unacknowledged();
    }

    /// Applies the leader's directives. Ignores them unless they answer the status in flight.
    pub fn apply_directives(&mut self, directives: &LeaderDirectives, now: Time) {
        if directives.request_sequence != self.pending_updates.last_status_sequence
            || self.pending_updates.in_flight.take().is_none()
        {
            return;
        }
        self.pending_updates.last_directives_sequence = directives.sequence;
        for assignment in &directives.assignments {
            self.assignment_queue.push(assignment.clone(), now);
        }
        for attempt in &directives.stop_attempts {
            self.stop_as_directed(*attempt, now);
        }
        for attempt in &directives.durable_attempts {
            if let Some((_, tracked)) = self.tracked_attempt_mut(*attempt) {
                tracked.is_completion_durable = true;
            }
        }
        if let Some(directives) = &directives.machine_directives {
            self.apply_machine_directives(directives, now);
        }
    }

    /// Returns an attempt that is on no machine yet to the leader, or stops it with the grace needed for a checkpoint.
    fn stop_as_directed(&mut self, attempt: AttemptId, now: Time) {
        if let Some(assignment) = self.assignment_queue.remove(attempt) {
            self.return_to_leader(&assignment);
        }
        if let Some((_, tracked)) = self.tracked_attempt(attempt) {
            let grace_s = tracked.checkpoint_grace_s();
            self.request_stop(attempt, grace_s, now);
        }
    }

    fn apply_machine_directives(&mut self, directives: &MachineDirectives, now: Time) {
        let draining: BTreeSet<&MachineId> = directives.draining.iter().collect();
        let claimed: BTreeSet<&MachineId> = directives.claimed.iter().collect();
        let mut changed = Vec::new();
        for (id, machine) in &mut self.machines {
            let directive = LeaderDirective {
                is_draining: draining.contains(id),
                is_claimed: claimed.contains(id),
            };
            if machine.directive != directive {
                machine.directive = directive;
                changed.push(id.clone());
            }
        }
        for id in changed {
            self.refresh_summary(&id, now);
            self.assignment_queue.request_placement();
        }
        for id in &directives.terminated {
            self.mark_terminated(id, now);
        }
    }
}

/// The machine's status for the leader; `None` if its summary is not to be reported yet.
fn machine_status(id: &MachineId, machine: &Machine, now: Time) -> Option<MachineStatus> {
    let info = machine.info.as_ref()?;
    let summary = machine.summary;
    summary.is_reported.then(|| MachineStatus {
        id: id.clone(),
        machine_type: info.machine_type.clone(),
        zone: info.zone.clone(),
        is_spot: info.is_spot,
        is_schedulable: summary.is_schedulable,
        idle_ms: machine.empty_since.map(|since| now.since(since)),
        free_cpus: summary.free.cpus,
        free_gpus: summary.free.gpus,
        free_memory_gb: summary.free.memory_gb,
        has_reclaim_notice: summary.condition.has_reclaim_notice,
        is_unreachable: summary.condition.is_unreachable,
        is_lost: summary.condition.is_lost,
    })
}
