//! The state of an open job's tasks. [`Scheduler`](super::Scheduler) owns one [`JobTasks`] per open job.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use worksshunt_wire::user::Priority;
use worksshunt_wire::{AttemptId, JobId};

use crate::jobs::{CompletedTasks, Job};
use crate::objectives::ServiceLevelObjectives;
use crate::time::Time;

/// A job's position in the scheduling order; the least is first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Rank {
    priority: Reverse<Priority>,
    /// Whether its waiting tasks can no longer meet any of its objectives. Such a job comes after others of its
    /// priority, which might miss their objectives otherwise.
    has_missed_objectives: bool,
    /// Deadline or latest start, milliseconds since 1970; `u64::MAX` if there is none.
    ordering_time_ms: u64,
    accepted_ms: u64,
    id: JobId,
}

/// Task counts of a job, which partitions' owners show to users.
#[derive(Debug, Clone, Copy)]
pub(super) struct JobTaskCounts {
    job: JobId,
    completed_tasks: u32,
    running_tasks: u32,
}

impl JobTaskCounts {
    /// Whether any task is completed or running.
    pub(super) fn has_any(&self) -> bool {
        self.completed_tasks + self.running_tasks > 0
    }

    /// Job, completed and running tasks, as in [`LeaderDirectives`](worksshunt_wire::peer::LeaderDirectives).
    pub(super) fn to_wire(self) -> (JobId, u32, u32) {
        (self.job, self.completed_tasks, self.running_tasks)
    }
}

/// An open job and the state of its tasks.
#[derive(Debug)]
pub(super) struct JobTasks {
    pub(super) job: Rc<Job>,
    /// Deadline or latest start, milliseconds since 1970; `u64::MAX` if there is none.
    ordering_time_ms: u64,
    /// Latest start with which a task meets at least one of the job's objectives, milliseconds since 1970; `u64::MAX`
    /// if the job has no objectives.
    latest_start_for_any_objective_ms: u64,
    /// Completed tasks, whether or not their completions are stored.
    pub(super) completed_tasks: CompletedTasks,
    /// Completed tasks whose completions are not stored yet.
    pub(super) completions_not_durable: BTreeSet<u32>,
    /// Active attempts by task index; a task without attempts has no entry.
    pub(super) attempts_by_task: BTreeMap<u32, Vec<AttemptId>>,
    /// Tasks with active attempts that are not completed.
    active_incomplete_tasks: u32,
    /// Attempts reported as running.
    pub(super) running_attempts: u32,
    /// Index where the search for a waiting task starts: all tasks below it are completed or active.
    waiting_search_start: u32,
    /// Failures since a task last completed, or since a replica ran for
    /// [`REPLICA_STABLE_AFTER_MS`](crate::constants::services::REPLICA_STABLE_AFTER_MS).
    pub(super) consecutive_failures: u32,
    /// No task is dispatched before this time.
    pub(super) backoff_until: Time,
    /// When one of its tasks was last dispatched; `None` before the first.
    pub(super) last_dispatch_at: Option<Time>,
    /// Since when its next waiting task fits the free resources of no partition; `None` if it fits or none waits.
    pub(super) unschedulable_since: Option<Time>,
}

impl JobTasks {
    /// A job without dispatched tasks.
    pub(super) fn new(job: Rc<Job>, objectives: &ServiceLevelObjectives) -> JobTasks {
        JobTasks {
            latest_start_for_any_objective_ms: objectives
                .latest_start_for_any_objective_ms(&job)
                .unwrap_or(u64::MAX),
            ordering_time_ms: objectives.ordering_time_ms(&job).unwrap_or(u64::MAX),
            completed_tasks: CompletedTasks::new(job.spec.task_count),
            job,
            completions_not_durable: BTreeSet::new(),
            attempts_by_task: BTreeMap::new(),
            active_incomplete_tasks: 0,
            running_attempts: 0,
            waiting_search_start: 0,
            consecutive_failures: 0,
            backoff_until: Time::default(),
            last_dispatch_at: None,
            unschedulable_since: None,
        }
    }

    /// Its position in the scheduling order. `wall_ms` is the wall-clock time, milliseconds since 1970.
    pub(super) fn rank(&self, wall_ms: u64) -> Rank {
        Rank {
            priority: Reverse(self.job.spec.priority),
            has_missed_objectives: wall_ms > self.latest_start_for_any_objective_ms,
            ordering_time_ms: self.ordering_time_ms,
            accepted_ms: self.job.accepted_ms,
            id: self.job.spec.id,
        }
    }

    /// Completed and running tasks. `id` is the job's.
    pub(super) fn counts(&self, id: JobId) -> JobTaskCounts {
        JobTaskCounts {
            job: id,
            completed_tasks: self.completed_tasks.count(),
            running_tasks: self.running_attempts,
        }
    }

    /// Number of tasks that are neither completed nor active.
    pub(super) fn waiting_tasks(&self) -> u32 {
        (self.job.spec.task_count - self.completed_tasks.count())
            .saturating_sub(self.active_incomplete_tasks)
    }

    /// Whether its next waiting task fits the free resources of no partition.
    pub(super) fn is_unschedulable(&self) -> bool {
        self.unschedulable_since.is_some()
    }

    /// Milliseconds for which its next waiting task has fitted the free resources of no partition; 0 if it fits.
    pub(super) fn unschedulable_ms(&self, now: Time) -> u64 {
        self.unschedulable_since.map_or(0, |since| now.since(since))
    }

    /// Index of the first task that is neither completed nor active.
    pub(super) fn next_waiting_task(&mut self) -> Option<u32> {
        while self.waiting_search_start < self.job.spec.task_count {
            let index = self.waiting_search_start;
            if !self.completed_tasks.contains(index) && !self.attempts_by_task.contains_key(&index)
            {
                return Some(index);
            }
            self.waiting_search_start += 1;
        }
        None
    }

    /// Adds an active attempt at a task.
    pub(super) fn add_attempt(&mut self, index: u32, attempt: AttemptId) {
        let attempts = self.attempts_by_task.entry(index).or_default();
        if attempts.is_empty() && !self.completed_tasks.contains(index) {
            self.active_incomplete_tasks += 1;
        }
        attempts.push(attempt);
    }

    /// Removes an attempt at a task. Unless the task is completed or has other attempts, it waits again.
    pub(super) fn remove_attempt(&mut self, index: u32, attempt: AttemptId) {
        let Some(attempts) = self.attempts_by_task.get_mut(&index) else {
            return;
        };
        attempts.retain(|other| *other != attempt);
        if attempts.is_empty() {
            self.attempts_by_task.remove(&index);
            if !self.completed_tasks.contains(index) {
                self.active_incomplete_tasks = self.active_incomplete_tasks.saturating_sub(1);
                self.waiting_search_start = self.waiting_search_start.min(index);
            }
        }
    }

    /// Marks a task completed. Returns false if it already was.
    pub(super) fn mark_completed(&mut self, index: u32) -> bool {
        let is_new = self.completed_tasks.insert(index);
        if is_new && self.attempts_by_task.contains_key(&index) {
            self.active_incomplete_tasks = self.active_incomplete_tasks.saturating_sub(1);
        }
        is_new
    }

    pub(super) fn all_tasks_completed(&self) -> bool {
        self.completed_tasks.count() == self.job.spec.task_count
    }
}
