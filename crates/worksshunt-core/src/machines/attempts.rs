//! How attempts come onto machines, are stopped and end.
//!
//! The events of the partition (placement, heartbeats, commands, expiry, directives) call these methods, so that the
//! indexes, the record pages and the updates for the leader always change together with an attempt.

use worksshunt_wire::peer::{Assignment, AttemptEnded, AttemptOutcome};
use worksshunt_wire::{Attempt, JobId, MachineId};

use crate::placement::OverCapacityOutcome;
use crate::time::Time;

use super::attempt::{AttemptState, TrackedAttempt};
use super::partition::Partition;

impl Partition {
    /// Puts an attempt on a machine.
    pub(super) fn track(&mut self, id: &MachineId, attempt: Attempt, tracked: TrackedAttempt) {
        let Some(machine) = self.machines.get_mut(id) else {
            return;
        };
        let job = tracked.task.job;
        machine.attempts.insert(attempt, tracked);
        self.index_attempt(id, attempt, job);
    }

    /// Enters an attempt of a machine in the indexes; the leader will get its status.
    pub(super) fn index_attempt(&mut self, id: &MachineId, attempt: Attempt, job: JobId) {
        self.machine_by_attempt.insert(attempt, id.clone());
        self.attempts_by_job.entry(job).or_default().insert(attempt);
        self.pending_updates.attempts.insert(attempt);
    }

    /// Removes an attempt from its machine; the leader will get its outcome.
    pub(super) fn untrack(
        &mut self,
        id: &MachineId,
        attempt: Attempt,
        outcome: AttemptOutcome,
        now: Time,
    ) -> Option<TrackedAttempt> {
        let tracked = self.machines.get_mut(id)?.attempts.remove(&attempt)?;
        self.machine_by_attempt.remove(&attempt);
        if let Some(attempts) = self.attempts_by_job.get_mut(&tracked.task.job) {
            attempts.remove(&attempt);
            if attempts.is_empty() {
                self.attempts_by_job.remove(&tracked.task.job);
            }
        }
        self.record_pages
            .remove(&attempt, now, outcome == AttemptOutcome::Lost);
        self.pending_updates.attempts.remove(&attempt);
        self.pending_updates.ended_attempts.push(AttemptEnded {
            task: tracked.task,
            attempt,
            machine: Some(id.clone()),
            outcome,
        });
        Some(tracked)
    }

    /// Ends an attempt on a machine without completion.
    pub(super) fn end_attempt(
        &mut self,
        id: &MachineId,
        attempt: Attempt,
        outcome: AttemptOutcome,
        now: Time,
    ) {
        let Some(tracked) = self.untrack(id, attempt, outcome, now) else {
            return;
        };
        let Some(machine) = self.machines.get_mut(id) else {
            return;
        };
        // A replica that fails after running well is no evidence against its machine.
        if outcome == AttemptOutcome::Failed
            && !tracked.is_stable_replica(now)
            && machine.failing_jobs.insert(tracked.task.job)
        {
            let failing_jobs = machine.failing_jobs.len();
            tracing::info!(task = %tracked.task, machine = %id, failing_jobs, "attempt failed");
        }
        if tracked.has_unanswered_launch {
            machine.unreaped.insert(attempt, tracked.incarnation);
        }
        if let Some(band) = tracked.over_capacity_band {
            let outcome = match outcome {
                AttemptOutcome::Failed => OverCapacityOutcome::Failed,
                _ => OverCapacityOutcome::Aborted,
            };
            self.over_capacity.count_outcome(band, outcome);
        }
    }

    /// Ends the attempts on a machine that were never launched: it may not be reached, or will be reclaimed.
    pub(super) fn end_unlaunched(&mut self, id: &MachineId, now: Time) {
        let Some(machine) = self.machines.get(id) else {
            return;
        };
        for attempt in machine.attempts_where(TrackedAttempt::is_unlaunched) {
            self.end_attempt(id, attempt, AttemptOutcome::Stopped, now);
        }
    }

    /// Stops every attempt of a job that is over.
    pub fn stop_job(&mut self, job: JobId, now: Time) {
        self.return_queued_where(|queued| queued.assignment.task.job == job);
        let attempts = self.attempts_by_job.get(&job).cloned().unwrap_or_default();
        for attempt in attempts {
            self.request_stop(attempt, 0.0, now);
        }
    }

    /// Stops an attempt, which gets `grace_s` seconds to save its checkpoint.
    pub(super) fn request_stop(&mut self, attempt: Attempt, grace_s: f64, now: Time) {
        let Some((id, tracked)) = self.tracked_mut(attempt) else {
            return;
        };
        let id = id.clone();
        if tracked.is_unlaunched() {
            self.end_attempt(&id, attempt, AttemptOutcome::Stopped, now);
        } else if tracked.state == AttemptState::Completed {
            // The job is over: there is nothing left to be made durable.
            tracked.is_completion_durable |= grace_s == 0.0;
        } else {
            tracing::debug!(task = %tracked.task, %attempt, machine = %id, grace_s, "attempt stop requested");
            tracked.request_stop(grace_s);
            self.pending_commands.insert(id.clone());
        }
        self.refresh_summary(&id, now);
    }

    /// Returns an assignment to the leader that no machine took.
    pub(super) fn return_unplaced(&mut self, assignment: &Assignment) {
        self.pending_updates.ended_attempts.push(AttemptEnded {
            task: assignment.task,
            attempt: assignment.attempt,
            machine: None,
            outcome: AttemptOutcome::Unplaced,
        });
    }
}
