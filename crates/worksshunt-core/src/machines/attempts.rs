//! Adding, stopping and ending attempts.
//!
//! All events of the partition (placement, heartbeats, commands, expiry, directives) use these methods, which keep the
//! indexes, the record pages and the pending updates for the leader consistent with the attempts.

use worksshunt_wire::peer::{Assignment, AttemptOutcome, EndedAttempt};
use worksshunt_wire::{AttemptId, JobId, MachineId};

use crate::placement::OverCapacityOutcome;
use crate::time::Time;

use super::attempt::{AttemptState, TrackedAttempt};
use super::partition::Partition;

impl Partition {
    /// Adds an attempt to a machine.
    pub(super) fn track(&mut self, id: &MachineId, attempt: AttemptId, tracked: TrackedAttempt) {
        let Some(machine) = self.machines.get_mut(id) else {
            return;
        };
        let job = tracked.task.job;
        machine.attempts.insert(attempt, tracked);
        self.index_attempt(id, attempt, job);
    }

    /// Adds an attempt to the indexes and queues its status for the leader.
    pub(super) fn index_attempt(&mut self, id: &MachineId, attempt: AttemptId, job: JobId) {
        self.machine_by_attempt.insert(attempt, id.clone());
        self.attempts_by_job.entry(job).or_default().insert(attempt);
        self.pending_updates.attempts.insert(attempt);
    }

    /// Removes an attempt from its machine and queues its outcome for the leader.
    pub(super) fn untrack(
        &mut self,
        id: &MachineId,
        attempt: AttemptId,
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
        self.pending_updates.ended_attempts.push(EndedAttempt {
            task: tracked.task,
            attempt,
            machine: Some(id.clone()),
            outcome,
        });
        Some(tracked)
    }

    /// Ends an attempt that has not completed.
    pub(super) fn end_attempt(
        &mut self,
        id: &MachineId,
        attempt: AttemptId,
        outcome: AttemptOutcome,
        now: Time,
    ) {
        let Some(tracked) = self.untrack(id, attempt, outcome, now) else {
            return;
        };
        let Some(machine) = self.machines.get_mut(id) else {
            return;
        };
        // The failure of a stable replica is no evidence that the machine is faulty.
        if outcome == AttemptOutcome::Failed
            && !tracked.is_stable_replica(now)
            && machine.failing_jobs.insert(tracked.task.job)
        {
            let failing_jobs = machine.failing_jobs.len();
            tracing::info!(task = %tracked.task, machine = %id, failing_jobs, "attempt failed");
        }
        if let Some(band) = tracked.over_capacity_band {
            let outcome = match outcome {
                AttemptOutcome::Failed => OverCapacityOutcome::Failed,
                _ => OverCapacityOutcome::Aborted,
            };
            self.over_capacity_counts.count_outcome(band, outcome);
        }
    }

    /// Ends the attempts that have not been launched, on a machine that may be unreachable or will be reclaimed.
    pub(super) fn end_unlaunched_attempts(&mut self, id: &MachineId, now: Time) {
        let Some(machine) = self.machines.get(id) else {
            return;
        };
        for attempt in machine.attempts_where(TrackedAttempt::is_unlaunched) {
            self.end_attempt(id, attempt, AttemptOutcome::Stopped, now);
        }
    }

    /// Stops all attempts of a job that has ended, and returns its queued assignments to the leader.
    pub fn stop_job(&mut self, job: JobId, now: Time) {
        self.return_queued_assignments_where(|queued| queued.assignment.task.job == job);
        let attempts = self.attempts_by_job.get(&job).cloned().unwrap_or_default();
        for attempt in attempts {
            self.request_stop(attempt, 0.0, now);
        }
    }

    /// Stops an attempt, with `grace_s` seconds for a checkpoint. One that has not been launched ends immediately.
    pub(super) fn request_stop(&mut self, attempt: AttemptId, grace_s: f64, now: Time) {
        let Some((id, tracked)) = self.tracked_attempt_mut(attempt) else {
            return;
        };
        let id = id.clone();
        if tracked.is_unlaunched() {
            self.end_attempt(&id, attempt, AttemptOutcome::Stopped, now);
        } else if tracked.state == AttemptState::Completed {
            // Zero grace is treated as the end of the job, after which the completion need not become durable.
            tracked.is_completion_durable |= grace_s == 0.0;
        } else {
            tracing::debug!(task = %tracked.task, %attempt, machine = %id, grace_s, "attempt stop requested");
            tracked.request_stop(grace_s);
            self.machines_with_pending_commands.insert(id.clone());
        }
        self.refresh_summary(&id, now);
    }

    /// Returns an assignment that was not placed to the leader.
    pub(super) fn return_to_leader(&mut self, assignment: &Assignment) {
        self.pending_updates.ended_attempts.push(EndedAttempt {
            task: assignment.task,
            attempt: assignment.attempt,
            machine: None,
            outcome: AttemptOutcome::Unplaced,
        });
    }
}
