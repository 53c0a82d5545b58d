//! The life cycle of an attempt: counted from its dispatch, through its phases, until it is certainly gone;
//! and what its end means for its task and job.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use worksshunt_wire::peer::{AttemptEnded, AttemptOutcome, Phase};
use worksshunt_wire::{Attempt, JobId, TaskId};

use crate::constants::scheduling::{
    FAILURES_BEFORE_BACKOFF, FAILURE_BACKOFF_MAX_MS, FAILURE_BACKOFF_MS,
};
use crate::constants::services::{REPLICA_BACKOFF_MAX_MS, STABLE_REPLICA_MS};
use crate::jobs::{completions_key, Completions, CompletionsKey};
use crate::time::Time;

use super::active_attempt::ActiveAttempt;
use super::job_tasks::JobTasks;
use super::partition_view::Directive;
use super::{PendingWrite, Scheduler};

/// Doublings of the wait between retries are counted up to this; the wait is at its maximum long before.
const MAX_BACKOFF_DOUBLINGS: u32 = 16;

impl Scheduler {
    /// Counts an attempt and charges what it uses to its team.
    pub(super) fn insert_attempt(&mut self, attempt: Attempt, mut active: ActiveAttempt) {
        if self.active_attempts.contains_key(&attempt) {
            return;
        }
        if let Some(job_tasks) = self.jobs.get_mut(&active.task.job) {
            active.job = Some(Rc::clone(&job_tasks.job));
            job_tasks.activate(active.task.index, attempt);
        }
        if let (Some(job), false) = (&active.job, active.is_completed()) {
            self.quota.charge(job);
        }
        self.active_attempts.insert(attempt, active);
    }

    /// An attempt is certainly gone, or never reached its owner.
    pub(super) fn remove_attempt(
        &mut self,
        attempt: Attempt,
        outcome: AttemptOutcome,
        now: Time,
    ) -> Option<ActiveAttempt> {
        self.set_phase(attempt, Phase::Queued, 0, now);
        let removed = self.active_attempts.remove(&attempt)?;
        if let Some(job) = &removed.job {
            // What a completed attempt used was refunded when it completed.
            if !removed.is_completed() {
                self.quota.refund(job);
            }
            if let Some(partition) = self.partitions.get_mut(&removed.owner) {
                partition.release_reservation(removed.reserved_on.as_ref(), job);
            }
        }
        if let Some(job_tasks) = self.jobs.get_mut(&removed.task.job) {
            job_tasks.deactivate(removed.task.index, attempt);
        }
        let misleads = outcome == AttemptOutcome::Lost;
        self.pages.former_records.remove(&attempt, now, misleads);
        self.round.request();
        Some(removed)
    }

    /// The one place where an attempt's phase changes. A completed attempt stays so.
    pub(super) fn set_phase(&mut self, attempt: Attempt, phase: Phase, ran_ms: u64, now: Time) {
        let Some(active) = self.active_attempts.get_mut(&attempt) else {
            return;
        };
        if active.is_completed() || active.phase == phase {
            return;
        }
        if let Some(job_tasks) = self.jobs.get_mut(&active.task.job) {
            match (active.phase, phase) {
                (Phase::Running, _) => job_tasks.running = job_tasks.running.saturating_sub(1),
                (_, Phase::Running) => job_tasks.running += 1,
                _ => {}
            }
        }
        active.phase = phase;
        active.running_since = (phase == Phase::Running).then(|| now - ran_ms);
    }

    /// Whether an attempt at the task is still needed, as far as this version of the program knows.
    pub(super) fn is_needed(&self, task: TaskId) -> bool {
        let job_tasks = self.jobs.get(&task.job);
        job_tasks.is_some_and(|tasks| !tasks.done.contains(task.index))
            || self.unreadable_jobs.contains(&task.job)
    }

    /// Whether the completion of the task is in the store, or its job is over.
    pub(super) fn is_durable(&self, task: TaskId) -> bool {
        self.jobs.get(&task.job).is_none_or(|tasks| {
            tasks.done.contains(task.index) && !tasks.not_durable.contains(&task.index)
        })
    }

    /// An attempt completed its task, in that zone if it is known.
    pub(super) fn task_completed(&mut self, attempt: Attempt, task: TaskId, zone: Option<&str>) {
        let Some(job_tasks) = self.jobs.get_mut(&task.job) else {
            return;
        };
        if !job_tasks.mark_done(task.index) {
            return;
        }
        job_tasks.not_durable.insert(task.index);
        job_tasks.errors = 0;
        let mut completions = Completions {
            tasks: BTreeSet::from([task.index]),
            tasks_by_zone: BTreeMap::new(),
        };
        if let (true, Some(zone)) = (job_tasks.job.has_zone_constraint(), zone) {
            job_tasks.done.count_zone(zone, 1);
            completions.tasks_by_zone.insert(zone.to_owned(), 1);
        }
        let attempts = job_tasks.active.get(&task.index).cloned();
        if job_tasks.is_complete() {
            self.pending_writes
                .insert(PendingWrite::FinishJob(task.job));
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

    /// An attempt failed after running for `ran_ms`.
    pub(super) fn task_failed(&mut self, now: Time, ended: &AttemptEnded, ran_ms: u64) {
        let Some(job_tasks) = self.jobs.get_mut(&ended.task.job) else {
            return;
        };
        let is_service = job_tasks.job.is_service();
        // A replica that ran well is no sign that the next will not.
        if is_service && ran_ms >= STABLE_REPLICA_MS {
            job_tasks.errors = 0;
        }
        job_tasks.errors += 1;
        tracing::info!(task = %ended.task, machine = ?ended.machine, errors = job_tasks.errors, "task failed");
        // A job that fails everywhere must not keep machines busy with it.
        if let Some(doublings) = job_tasks.errors.checked_sub(FAILURES_BEFORE_BACKOFF) {
            let max_wait_ms = match is_service {
                true => REPLICA_BACKOFF_MAX_MS,
                false => FAILURE_BACKOFF_MAX_MS,
            };
            let wait_ms = FAILURE_BACKOFF_MS
                .saturating_mul(1 << doublings.min(MAX_BACKOFF_DOUBLINGS))
                .min(max_wait_ms);
            job_tasks.not_before = now + wait_ms;
        }
    }

    /// Stops what is left of a job that is over, and lets machines forget what completed.
    pub(super) fn release_attempts_of_closed_job(&mut self, closed: JobTasks) {
        for attempt in closed.active.into_values().flatten() {
            let active = self.active_attempts.get(&attempt);
            let is_completed = active.is_some_and(|active| active.is_completed());
            self.send_directive(match is_completed {
                true => Directive::MarkDurable(attempt),
                false => Directive::Stop(attempt),
            });
        }
    }

    /// Removes all completions of a job from the pages.
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
