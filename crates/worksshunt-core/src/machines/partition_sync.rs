//! The exchange between a partition's owner and the leader.
//!
//! The owner sends a [`PartitionStatus`] with what changed since the leader last confirmed, and the leader answers with
//! [`LeaderDirectives`]. What the leader does not know yet is in `pending_updates`.

use std::collections::BTreeSet;

use worksshunt_wire::peer::{
    AttemptStatus, LeaderDirectives, MachineDirectives, MachineStatus, PartitionStatus,
};
use worksshunt_wire::{Attempt, ControllerName, Epoch, MachineId};

use crate::time::Time;

use super::attempt::AttemptState;
use super::machine::{LeaderDirective, Machine};
use super::partition::Partition;

impl Partition {
    /// Whether something changed that the leader should get soon.
    pub fn has_pending_updates(&self) -> bool {
        !self.pending_updates.is_empty()
    }

    /// What has changed since the leader last confirmed, as much of it as one status takes.
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
            sequence: self.pending_updates.sequence + 1,
            acknowledged_sequence: self.pending_updates.acknowledged,
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
        self.pending_updates.sequence += 1;
        self.pending_updates.in_flight = Some(batch);
        status
    }

    fn attempt_status(&self, attempt: Attempt, now: Time) -> Option<AttemptStatus> {
        let (id, tracked) = self.tracked(attempt)?;
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

    /// The leader did not answer the status in flight.
    pub fn status_unanswered(&mut self) {
        self.pending_updates.requeue_unacknowledged();
    }

    /// Applies the leader's directives. Those that answer another status than the last are ignored.
    pub fn apply_directives(&mut self, directives: &LeaderDirectives, now: Time) {
        if directives.request_sequence != self.pending_updates.sequence
            || self.pending_updates.in_flight.take().is_none()
        {
            return;
        }
        self.pending_updates.acknowledged = directives.sequence;
        for assignment in &directives.assignments {
            self.assignment_queue.push(assignment.clone(), now);
        }
        for attempt in &directives.stop_attempts {
            self.stop_as_directed(*attempt, now);
        }
        for attempt in &directives.durable_attempts {
            if let Some((_, tracked)) = self.tracked_mut(*attempt) {
                tracked.is_completion_durable = true;
            }
        }
        if let Some(directives) = &directives.machine_directives {
            self.apply_machine_directives(directives, now);
        }
    }

    /// Returns the attempt to the leader if it is on no machine yet, else stops it with the grace its task needs.
    fn stop_as_directed(&mut self, attempt: Attempt, now: Time) {
        if let Some(assignment) = self.assignment_queue.remove(attempt) {
            self.return_unplaced(&assignment);
        }
        if let Some((_, tracked)) = self.tracked(attempt) {
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
                draining: draining.contains(id),
                claimed: claimed.contains(id),
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
            self.machine_terminated(id, now);
        }
    }
}

/// The status of a machine for the leader; none before the machine is known to be there.
fn machine_status(id: &MachineId, machine: &Machine, now: Time) -> Option<MachineStatus> {
    let info = machine.info.as_ref()?;
    let summary = machine.summary;
    summary.is_known.then(|| MachineStatus {
        id: id.clone(),
        machine_type: info.machine_type.clone(),
        zone: info.zone.clone(),
        is_spot: info.spot,
        is_schedulable: summary.is_schedulable,
        idle_ms: machine.empty_since.map(|since| now.since(since)),
        free_cpus: summary.free.cpus,
        free_gpus: summary.free.gpus,
        free_memory_gb: summary.free.memory_gb,
        has_reclaim_notice: summary.condition.reclaim_notice,
        is_unreachable: summary.condition.unreachable,
        is_lost: summary.condition.lost,
    })
}
