//! The life cycle of attempts, from dispatch to their end, and the effects of completions and failures on tasks and
//! jobs.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use worksshunt_wire::peer::{AttemptOutcome, AttemptPhase, EndedAttempt};
use worksshunt_wire::{AttemptId, JobId, TaskId};

use crate::constants::scheduling::{
    FAILURES_BEFORE_BACKOFF, INITIAL_FAILURE_BACKOFF_MS, MAX_FAILURE_BACKOFF_MS,
};
use crate::constants::services::{MAX_REPLICA_BACKOFF_MS, REPLICA_STABLE_AFTER_MS};
use crate::jobs::{completions_key, Completions, CompletionsKey};
use crate::time::Time;

use super::active_attempt::ActiveAttempt;
use super::job_tasks::JobTasks;
use super::partition_view::Directive;
use super::{PendingWrite, Scheduler};

/// Upper bound of the backoff's exponent, against overflow. The backoff reaches [`MAX_FAILURE_BACKOFF_MS`] earlier.
const MAX_BACKOFF_DOUBLINGS: u32 = 16;

impl Scheduler {
    /// Adds an active attempt and charges its resources to its team's quota, unless the attempt is active already.
    pub(super) fn insert_attempt(&mut self, attempt: AttemptId, mut active: ActiveAttempt) {
        if self.active_attempts.contains_key(&attempt) {
            return;
        }
        if let Some(job_tasks) = self.open_jobs.get_mut(&active.task.job) {
            active.job = Some(Rc::clone(&job_tasks.job));
            job_tasks.add_attempt(active.task.index, attempt);
        }
        if let (Some(job), false) = (&active.job, active.is_completed()) {
            self.quota.charge(job);
        }
        self.active_attempts.insert(attempt, active);
    }

    /// Removes an attempt that is confirmed to have ended, or whose assignment was never sent.
    pub(super) fn remove_attempt(
        &mut self,
        attempt: AttemptId,
        outcome: AttemptOutcome,
        now: Time,
    ) -> Option<ActiveAttempt> {
        self.set_phase(attempt, AttemptPhase::Queued, 0, now);
        let removed = self.active_attempts.remove(&attempt)?;
        if let Some(job) = &removed.job {
            // The resources of a completed attempt were refunded at its completion.
            if !removed.is_completed() {
                self.quota.refund(job);
            }
            if let Some(partition) = self.partitions.get_mut(&removed.owner) {
                partition.release_reservation(removed.reserved_on.as_ref(), job);
            }
        }
        if let Some(job_tasks) = self.open_jobs.get_mut(&removed.task.job) {
            job_tasks.remove_attempt(removed.task.index, attempt);
        }
        let is_urgent = outcome == AttemptOutcome::Lost;
        self.pages
            .previous_epoch_records
            .remove(&attempt, now, is_urgent);
        self.round.request();
        Some(removed)
    }

    /// Changes the phase of an attempt; all changes go through here. A completed attempt stays completed.
    pub(super) fn set_phase(
        &mut self,
        attempt: AttemptId,
        phase: AttemptPhase,
        ran_ms: u64,
        now: Time,
    ) {
        let Some(active) = self.active_attempts.get_mut(&attempt) else {
            return;
        };
        if active.is_completed() || active.phase == phase {
            return;
        }
        if let Some(job_tasks) = self.open_jobs.get_mut(&active.task.job) {
            match (active.phase, phase) {
                (AttemptPhase::Running, _) => {
                    job_tasks.running_attempts = job_tasks.running_attempts.saturating_sub(1);
                }
                (_, AttemptPhase::Running) => job_tasks.running_attempts += 1,
                _ => {}
            }
        }
        active.phase = phase;
        active.running_since = (phase == AttemptPhase::Running).then(|| now - ran_ms);
    }

    /// Whether the task still has to run. True for the tasks of jobs that this version cannot read.
    pub(super) fn needs_attempt(&self, task: TaskId) -> bool {
        let job_tasks = self.open_jobs.get(&task.job);
        job_tasks.is_some_and(|tasks| !tasks.completed_tasks.contains(task.index))
            || self.unreadable_jobs.contains(&task.job)
    }

    /// Whether the completion of the task is stored, or its job is closed.
    pub(super) fn is_completion_durable(&self, task: TaskId) -> bool {
        self.open_jobs.get(&task.job).is_none_or(|tasks| {
            tasks.completed_tasks.contains(task.index)
                && !tasks.completions_not_durable.contains(&task.index)
        })
    }

    /// Records that an attempt completed its task, in `zone` if that is known.
    pub(super) fn record_task_completion(
        &mut self,
        attempt: AttemptId,
        task: TaskId,
        zone: Option<&str>,
    ) {
        let Some(job_tasks) = self.open_jobs.get_mut(&task.job) else {
            return;
        };
        if !job_tasks.mark_completed(task.index) {
            return;
        }
        job_tasks.completions_not_durable.insert(task.index);
        job_tasks.consecutive_failures = 0;
        let mut completions = Completions {
            tasks: BTreeSet::from([task.index]),
            tasks_by_zone: BTreeMap::new(),
        };
        if let (true, Some(zone)) = (job_tasks.job.has_zone_constraint(), zone) {
            job_tasks.completed_tasks.add_tasks_in_zone(zone, 1);
            completions.tasks_by_zone.insert(zone.to_owned(), 1);
        }
        let attempts = job_tasks.attempts_by_task.get(&task.index).cloned();
        if job_tasks.all_tasks_completed() {
            self.pending_writes
                .insert(PendingWrite::CompleteJob(task.job));
        } else {
            self.pages
                .completions
                .add(completions_key(task), completions);
        }
        let others = attempts.into_iter().flatten();
        for other in others.filter(|other| *other != attempt) {
            self.send_directive(Directive::Stop(other));
        }
    }

    /// Records that an attempt failed after running for `ran_ms` milliseconds, and delays retries of a failing job.
    pub(super) fn record_task_failure(
        &mut self,
        now: Time,
        ended_attempt: &EndedAttempt,
        ran_ms: u64,
    ) {
        let Some(job_tasks) = self.open_jobs.get_mut(&ended_attempt.task.job) else {
            return;
        };
        let is_service = job_tasks.job.is_service();
        // A replica that ran for this long ends the series of failures.
        if is_service && ran_ms >= REPLICA_STABLE_AFTER_MS {
            job_tasks.consecutive_failures = 0;
        }
        job_tasks.consecutive_failures += 1;
        tracing::info!(task = %ended_attempt.task, machine = ?ended_attempt.machine, consecutive_failures = job_tasks.consecutive_failures, "task failed");
        // The backoff keeps a job that fails everywhere from occupying machines.
        if let Some(doublings) = job_tasks
            .consecutive_failures
            .checked_sub(FAILURES_BEFORE_BACKOFF)
        {
            let max_wait_ms = match is_service {
                true => MAX_REPLICA_BACKOFF_MS,
                false => MAX_FAILURE_BACKOFF_MS,
            };
            let wait_ms = INITIAL_FAILURE_BACKOFF_MS
                .saturating_mul(1 << doublings.min(MAX_BACKOFF_DOUBLINGS))
                .min(max_wait_ms);
            job_tasks.backoff_until = now + wait_ms;
        }
    }

    /// Stops the remaining attempts of a closed job, and marks the completed ones durable so that workers drop them.
    pub(super) fn release_attempts_of_closed_job(&mut self, closed_job: JobTasks) {
        for attempt in closed_job.attempts_by_task.into_values().flatten() {
            let active = self.active_attempts.get(&attempt);
            let is_completed = active.is_some_and(|active| active.is_completed());
            self.send_directive(match is_completed {
                true => Directive::MarkDurable(attempt),
                false => Directive::Stop(attempt),
            });
        }
    }

    /// Removes all completions of a job with `tasks` tasks from the pages.
    pub(super) fn remove_completions(&mut self, id: JobId, tasks: u32, now: Time) {
        let last_task = TaskId {
            job: id,
            index: tasks - 1,
        };
        let last = completions_key(last_task);
        for chunk in 0..=last.chunk {
            let key = CompletionsKey { job: id, chunk };
            self.pages.completions.remove(&key, now, false);
        }
    }
}
