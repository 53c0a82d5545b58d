//! Updates attempts from the tasks that a worker's message lists, and from those that it does not list.
//!
//! [`heartbeats`](super::heartbeats) calls [`Partition::apply_listed_tasks`] and
//! [`Partition::apply_unlisted_attempts`] for every message newer than the last one applied.

use std::collections::BTreeSet;

use worksshunt_wire::peer::AttemptOutcome;
use worksshunt_wire::worker::{ExitReason, Heartbeat, TaskState, TaskStatus};
use worksshunt_wire::{AttemptId, MachineId};

use crate::placement::{OverCapacityOutcome, Speed};
use crate::time::Time;

use super::attempt::{AttemptState, TrackedAttempt};
use super::heartbeats::MessageKind;
use super::partition::Partition;
use super::sequence_number::SequenceNumber;

/// Effect of a listed task's status on its attempt.
enum StatusEffect {
    /// Nothing to do beyond the update of the state.
    StateUpdated,
    /// Completion reported for the first time.
    Completed,
    /// Ended without completion.
    Ended(AttemptOutcome),
}

/// Effect on an attempt of a message that does not list it.
enum UnlistedEffect {
    Unchanged,
    /// The launch did not arrive and is to be sent again.
    Relaunch,
    /// The attempt is no longer on the machine.
    Ended(AttemptOutcome),
}

impl Partition {
    /// Applies the status of the tasks that a message lists.
    pub(super) fn apply_listed_tasks(&mut self, heartbeat: &Heartbeat, now: Time) {
        let id = &heartbeat.machine;
        let mut completed_attempts = Vec::new();
        let mut ended_attempts = Vec::new();
        let Some(machine) = self.machines.get_mut(id) else {
            return;
        };
        machine.has_unknown_tasks = false;
        for status in &heartbeat.tasks {
            let Some(tracked) = machine.attempts.get_mut(&status.attempt) else {
                machine.has_unknown_tasks |= status.state != TaskState::Ended;
                continue;
            };
            let phase_before = tracked.reported_phase();
            match tracked.apply_status(status, now) {
                StatusEffect::StateUpdated => {}
                StatusEffect::Completed => completed_attempts.push(status.attempt),
                StatusEffect::Ended(outcome) => ended_attempts.push((status.attempt, outcome)),
            }
            if tracked.reported_phase() != phase_before {
                self.pending_updates.attempts.insert(status.attempt);
            }
            if tracked.has_unsent_stop() {
                self.machines_with_pending_commands.insert(id.clone());
            }
        }
        for attempt in completed_attempts {
            self.record_completion(id, attempt, now);
        }
        for (attempt, outcome) in ended_attempts {
            self.end_attempt(id, attempt, outcome, now);
        }
    }

    /// Records a completion on a machine: resets the machine's failing jobs and updates its measured speed.
    fn record_completion(&mut self, id: &MachineId, attempt: AttemptId, now: Time) {
        let Some(machine) = self.machines.get_mut(id) else {
            return;
        };
        machine.failing_jobs.clear();
        let Some(tracked) = machine.attempts.get_mut(&attempt) else {
            return;
        };
        if let (Some(job), false) = (&tracked.job, tracked.is_inherited) {
            let allocated_s = now.since(tracked.placed_at) as f64 / 1_000.0;
            let estimate_s = job.spec.estimated_runtime_s;
            tracing::debug!(task = %tracked.task, machine = %id, allocated_s, estimate_s, "attempt completed");
            self.speed_by_machine
                .entry(id.clone())
                .or_insert(Speed::UNMEASURED)
                .record_measurement(
                    estimate_s,
                    allocated_s,
                    self.placement_parameters.start_speed,
                );
        }
        if let Some(band) = tracked.over_capacity_band.take() {
            self.over_capacity_counts
                .count_outcome(band, OverCapacityOutcome::Completed);
        }
    }

    /// Updates the attempts that a message does not list. `has_current_token`: it carries this epoch's fencing token.
    pub(super) fn apply_unlisted_attempts(
        &mut self,
        heartbeat: &Heartbeat,
        has_current_token: bool,
        kind: MessageKind,
        now: Time,
    ) {
        let id = &heartbeat.machine;
        let Some(machine) = self.machines.get_mut(id) else {
            return;
        };
        let listed = listed_attempts(heartbeat);
        let mut ended_attempts = Vec::new();
        for (attempt, tracked) in &mut machine.attempts {
            if listed.contains(attempt) {
                continue;
            }
            match tracked.unlisted_effect(has_current_token, kind) {
                UnlistedEffect::Unchanged => {}
                UnlistedEffect::Relaunch => {
                    tracked.transition_to(AttemptState::Recorded);
                    self.machines_with_pending_commands.insert(id.clone());
                }
                UnlistedEffect::Ended(outcome) => ended_attempts.push((*attempt, outcome)),
            }
        }
        for (attempt, outcome) in ended_attempts {
            if outcome == AttemptOutcome::Acknowledged {
                self.untrack(id, attempt, outcome, now);
            } else {
                let (sequence_number, token) =
                    (SequenceNumber::of(heartbeat), heartbeat.fencing_token);
                tracing::debug!(machine = %id, %attempt, %sequence_number, %token, ?kind, "attempt lost: its worker does not list it");
                self.end_attempt(id, attempt, outcome, now);
            }
        }
    }
}

impl TrackedAttempt {
    fn apply_status(&mut self, status: &TaskStatus, now: Time) -> StatusEffect {
        match (status.state, status.exit_reason) {
            (TaskState::Fetching, _) => self.transition_to(AttemptState::Fetching),
            (TaskState::Running, _) => self.transition_to(AttemptState::Running(now)),
            (TaskState::Saving, _) => self.transition_to(AttemptState::Saving),
            // A replica never completes, so one that exits as done has failed.
            (TaskState::Ended, Some(ExitReason::Done)) if self.is_replica() => {
                return StatusEffect::Ended(AttemptOutcome::Failed);
            }
            (TaskState::Ended, Some(ExitReason::Done)) => {
                if self.state != AttemptState::Completed {
                    self.transition_to(AttemptState::Completed);
                    return StatusEffect::Completed;
                }
            }
            (TaskState::Ended, Some(ExitReason::Error)) => {
                return StatusEffect::Ended(AttemptOutcome::Failed);
            }
            (TaskState::Ended, _) => return StatusEffect::Ended(AttemptOutcome::Stopped),
        }
        StatusEffect::StateUpdated
    }

    /// Effect of a message of this kind that does not list the attempt. `has_current_token`: it carries this epoch's
    /// fencing token.
    fn unlisted_effect(&self, has_current_token: bool, kind: MessageKind) -> UnlistedEffect {
        match self.state {
            AttemptState::Recording | AttemptState::Recorded => UnlistedEffect::Unchanged,
            // The heartbeat response with the launch may still be in flight.
            AttemptState::Launched if kind == MessageKind::CommandResponse => {
                UnlistedEffect::Unchanged
            }
            // The response was lost; otherwise this heartbeat would list the attempt.
            AttemptState::Launched if self.stop_request.is_none() => UnlistedEffect::Relaunch,
            // The launch may still arrive.
            AttemptState::DirectlyLaunched => UnlistedEffect::Unchanged,
            AttemptState::Completed if self.is_completion_durable => {
                UnlistedEffect::Ended(AttemptOutcome::Acknowledged)
            }
            AttemptState::Completed => UnlistedEffect::Unchanged,
            _ if has_current_token => UnlistedEffect::Ended(AttemptOutcome::Lost),
            _ => UnlistedEffect::Unchanged,
        }
    }
}

/// The attempts of the tasks that a message lists.
pub(super) fn listed_attempts(heartbeat: &Heartbeat) -> BTreeSet<AttemptId> {
    heartbeat
        .tasks
        .iter()
        .map(|status| status.attempt)
        .collect()
}
