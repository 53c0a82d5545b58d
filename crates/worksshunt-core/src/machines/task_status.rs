//! What the tasks in a worker's message mean for the attempts on its machine.
//!
//! [`heartbeats`](super::heartbeats) calls [`Partition::apply_listed_tasks`] and
//! [`Partition::apply_unlisted_attempts`] for every message that is newer than what is known.

use std::collections::BTreeSet;

use worksshunt_wire::peer::AttemptOutcome;
use worksshunt_wire::worker::{ExitReason, Heartbeat, TaskState, TaskStatus};
use worksshunt_wire::{Attempt, MachineId};

use crate::placement::{OverCapacityOutcome, Speed};
use crate::time::Time;

use super::attempt::{AttemptState, TrackedAttempt};
use super::heartbeats::MessageKind;
use super::partition::Partition;
use super::sequence_number::SequenceNumber;

/// What the status of a listed task means for its attempt.
enum StatusEffect {
    /// Its state may have advanced.
    Advanced,
    /// It has completed; known for the first time.
    Completed,
    /// It has ended without completion.
    Ended(AttemptOutcome),
}

/// What it means for an attempt that a message does not list it.
enum UnlistedEffect {
    Unchanged,
    /// Its launch did not arrive and is sent again.
    Relaunch,
    Gone(AttemptOutcome),
}

impl Partition {
    /// Applies the status of the tasks that a message lists.
    pub(super) fn apply_listed_tasks(&mut self, heartbeat: &Heartbeat, now: Time) {
        let id = &heartbeat.machine;
        let mut completed = Vec::new();
        let mut ended = Vec::new();
        let Some(machine) = self.machines.get_mut(id) else {
            return;
        };
        machine.has_unknown_tasks = false;
        for listed in &heartbeat.tasks {
            let Some(tracked) = machine.attempts.get_mut(&listed.attempt) else {
                machine.has_unknown_tasks |= listed.state != TaskState::Ended;
                continue;
            };
            let phase_before = tracked.reported_phase();
            match tracked.apply_status(listed, now) {
                StatusEffect::Advanced => {}
                StatusEffect::Completed => completed.push(listed.attempt),
                StatusEffect::Ended(outcome) => ended.push((listed.attempt, outcome)),
            }
            if tracked.reported_phase() != phase_before {
                self.pending_updates.attempts.insert(listed.attempt);
            }
            if tracked.has_unsent_stop() {
                self.pending_commands.insert(id.clone());
            }
        }
        for attempt in completed {
            self.record_completion(id, attempt, now);
        }
        for (attempt, outcome) in ended {
            self.end_attempt(id, attempt, outcome, now);
        }
    }

    /// A task has completed on a machine: that clears the machine of failures and measures its speed.
    fn record_completion(&mut self, id: &MachineId, attempt: Attempt, now: Time) {
        let Some(machine) = self.machines.get_mut(id) else {
            return;
        };
        machine.failing_jobs.clear();
        let Some(tracked) = machine.attempts.get_mut(&attempt) else {
            return;
        };
        if let (Some(job), false) = (&tracked.job, tracked.is_inherited) {
            let held_s = now.since(tracked.placed_at) as f64 / 1_000.0;
            let estimate_s = job.spec.estimate_s;
            tracing::debug!(task = %tracked.task, machine = %id, held_s, estimate_s, "attempt completed");
            self.speeds
                .entry(id.clone())
                .or_insert(Speed::UNMEASURED)
                .record_measurement(estimate_s, held_s, self.parameters.start_speed);
        }
        if let Some(band) = tracked.over_capacity_band.take() {
            self.over_capacity
                .count_outcome(band, OverCapacityOutcome::Completed);
        }
    }

    /// Applies that attempts are not listed; `is_current` if the message shows this epoch's fencing token.
    pub(super) fn apply_unlisted_attempts(
        &mut self,
        heartbeat: &Heartbeat,
        is_current: bool,
        kind: MessageKind,
        now: Time,
    ) {
        let id = &heartbeat.machine;
        let Some(machine) = self.machines.get_mut(id) else {
            return;
        };
        let listed = listed_attempts(heartbeat);
        let mut gone = Vec::new();
        for (attempt, tracked) in &mut machine.attempts {
            if listed.contains(attempt) {
                continue;
            }
            match tracked.unlisted_effect(is_current, kind) {
                UnlistedEffect::Unchanged => {}
                UnlistedEffect::Relaunch => {
                    tracked.advance(AttemptState::Recorded);
                    self.pending_commands.insert(id.clone());
                }
                UnlistedEffect::Gone(outcome) => gone.push((*attempt, outcome)),
            }
        }
        for (attempt, outcome) in gone {
            if outcome == AttemptOutcome::Acknowledged {
                self.untrack(id, attempt, outcome, now);
            } else {
                let (number, token) = (SequenceNumber::of(heartbeat), heartbeat.fencing_token);
                tracing::debug!(machine = %id, %attempt, %number, %token, ?kind, "attempt lost: not listed by its worker");
                self.end_attempt(id, attempt, outcome, now);
            }
        }
    }
}

impl TrackedAttempt {
    /// Applies the status that the worker reports.
    fn apply_status(&mut self, status: &TaskStatus, now: Time) -> StatusEffect {
        match (status.state, status.reason) {
            (TaskState::Fetching, _) => self.advance(AttemptState::Fetching),
            (TaskState::Running, _) => self.advance(AttemptState::Running(now)),
            (TaskState::Saving, _) => self.advance(AttemptState::Saving),
            // A replica never completes: one that ends has failed, whatever reason it reports.
            (TaskState::Ended, Some(ExitReason::Done)) if self.is_replica() => {
                return StatusEffect::Ended(AttemptOutcome::Failed);
            }
            (TaskState::Ended, Some(ExitReason::Done)) => {
                if self.state != AttemptState::Completed {
                    self.advance(AttemptState::Completed);
                    return StatusEffect::Completed;
                }
            }
            (TaskState::Ended, Some(ExitReason::Error)) => {
                return StatusEffect::Ended(AttemptOutcome::Failed);
            }
            (TaskState::Ended, _) => return StatusEffect::Ended(AttemptOutcome::Stopped),
        }
        StatusEffect::Advanced
    }

    /// What it means that a message does not list the attempt; `is_current` if it shows this epoch's fencing token.
    fn unlisted_effect(&self, is_current: bool, kind: MessageKind) -> UnlistedEffect {
        match self.state {
            AttemptState::Recording | AttemptState::Recorded => UnlistedEffect::Unchanged,
            // The heartbeat response that carries the launch may still be on its way.
            AttemptState::Launched if kind == MessageKind::CommandResponse => {
                UnlistedEffect::Unchanged
            }
            // That response was dropped, or this heartbeat would list the attempt.
            AttemptState::Launched if self.stop.is_none() => UnlistedEffect::Relaunch,
            // It can still arrive, so its absence means nothing.
            AttemptState::DirectlyLaunched => UnlistedEffect::Unchanged,
            AttemptState::Completed if self.is_completion_durable => {
                UnlistedEffect::Gone(AttemptOutcome::Acknowledged)
            }
            AttemptState::Completed => UnlistedEffect::Unchanged,
            _ if is_current => UnlistedEffect::Gone(AttemptOutcome::Lost),
            _ => UnlistedEffect::Unchanged,
        }
    }
}

/// The attempts that a message lists.
pub(super) fn listed_attempts(heartbeat: &Heartbeat) -> BTreeSet<Attempt> {
    heartbeat
        .tasks
        .iter()
        .map(|status| status.attempt)
        .collect()
}
