//! An open job with the state of its tasks. [`Scheduler`](super::Scheduler) owns one [`JobTasks`] per
//! open job.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use worksshunt_wire::user::Priority;
use worksshunt_wire::{Attempt, JobId};

use crate::jobs::{CompletedTasks, Job};
use crate::objectives::ServiceLevelObjectives;
use crate::time::Time;

/// A job's place in the order of service; the least comes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Rank {
    priority: Reverse<Priority>,
    /// Whether waiting tasks can meet none of the job's objectives any more. Served before others of
    /// its priority it would only make them miss theirs too.
    has_missed_objectives: bool,
    /// Deadline or latest start.
    ordering_time_ms: u64,
    accepted_ms: u64,
    id: JobId,
}

/// Tasks of a job, counted for the owners' answers to users.
#[derive(Debug, Clone, Copy)]
pub(super) struct JobTaskCounts {
    job: JobId,
    done: u32,
    running: u32,
}

impl JobTaskCounts {
    /// Whether any task is done or running.
    pub(super) fn has_any(&self) -> bool {
        self.done + self.running > 0
    }

    /// As in [`LeaderDirectives`](worksshunt_wire::peer::LeaderDirectives): job, done and running tasks.
    pub(super) fn to_wire(self) -> (JobId, u32, u32) {
        (self.job, self.done, self.running)
    }
}

/// An open job's tasks.
#[derive(Debug)]
pub(super) struct JobTasks {
    pub(super) job: Rc<Job>,
    /// When its tasks have to start or be done, milliseconds since 1970; `u64::MAX` if nothing requires that.
    ordering_time_ms: u64,
    /// After this its waiting tasks can meet none of its objectives, milliseconds since 1970; `u64::MAX` if
    /// it has none.
    last_start_ms: u64,
    /// Tasks known to be done, durable or not.
    pub(super) done: CompletedTasks,
    /// Those of them that are not in the store yet.
    pub(super) not_durable: BTreeSet<u32>,
    /// Attempts that may be on a machine or are dispatched, by task.
    pub(super) active: BTreeMap<u32, Vec<Attempt>>,
    /// How many of those tasks are not done.
    active_undone: u32,
    /// Attempts reported as running.
    pub(super) running: u32,
    /// Every task below is done or active, so a search for waiting ones starts here.
    first_waiting: u32,
    /// Failures since a task last completed.
    pub(super) errors: u32,
    /// No task is dispatched before this.
    pub(super) not_before: Time,
    /// When a task of it was last dispatched.
    pub(super) last_dispatch_at: Option<Time>,
    /// Since when it has had waiting tasks that found no free resources in any partition.
    pub(super) stuck_since: Option<Time>,
}

impl JobTasks {
    /// A job that was accepted, with no task dispatched.
    pub(super) fn new(job: Rc<Job>, objectives: &ServiceLevelObjectives) -> JobTasks {
        JobTasks {
            last_start_ms: objectives.last_start_ms(&job).unwrap_or(u64::MAX),
            ordering_time_ms: objectives.ordering_time_ms(&job).unwrap_or(u64::MAX),
            done: CompletedTasks::new(job.spec.task_count),
            job,
            not_durable: BTreeSet::new(),
            active: BTreeMap::new(),
            active_undone: 0,
            running: 0,
            first_waiting: 0,
            errors: 0,
            not_before: Time::default(),
            last_dispatch_at: None,
            stuck_since: None,
        }
    }

    /// Its place in the order of service.
    pub(super) fn rank(&self, wall_ms: u64) -> Rank {
        Rank {
            priority: Reverse(self.job.spec.priority),
            has_missed_objectives: wall_ms > self.last_start_ms,
            ordering_time_ms: self.ordering_time_ms,
            accepted_ms: self.job.accepted_ms,
            id: self.job.spec.id,
        }
    }

    /// How many tasks are done, and attempts running. `id` is the job's.
    pub(super) fn counts(&self, id: JobId) -> JobTaskCounts {
        JobTaskCounts {
            job: id,
            done: self.done.count(),
            running: self.running,
        }
    }

    /// How many tasks are neither done nor dispatched.
    pub(super) fn waiting(&self) -> u32 {
        (self.job.spec.task_count - self.done.count()).saturating_sub(self.active_undone)
    }

    /// Whether waiting tasks have found no free resources.
    pub(super) fn is_stuck(&self) -> bool {
        self.stuck_since.is_some()
    }

    /// The first task that is neither done nor dispatched.
    pub(super) fn next_waiting(&mut self) -> Option<u32> {
        while self.first_waiting < self.job.spec.task_count {
            let index = self.first_waiting;
            if !self.done.contains(index) && !self.active.contains_key(&index) {
                return Some(index);
            }
            self.first_waiting += 1;
        }
        None
    }

    /// An attempt at a task was dispatched.
    pub(super) fn activate(&mut self, index: u32, attempt: Attempt) {
        let attempts = self.active.entry(index).or_default();
        if attempts.is_empty() && !self.done.contains(index) {
            self.active_undone += 1;
        }
        attempts.push(attempt);
    }

    /// An attempt at a task is certainly gone.
    pub(super) fn deactivate(&mut self, index: u32, attempt: Attempt) {
        let Some(attempts) = self.active.get_mut(&index) else {
            return;
        };
        attempts.retain(|other| *other != attempt);
        if attempts.is_empty() {
            self.active.remove(&index);
            if !self.done.contains(index) {
                self.active_undone = self.active_undone.saturating_sub(1);
                self.first_waiting = self.first_waiting.min(index);
            }
        }
    }

    /// Marks a task done; false if it was already.
    pub(super) fn mark_done(&mut self, index: u32) -> bool {
        let is_new = self.done.insert(index);
        if is_new && self.active.contains_key(&index) {
            self.active_undone = self.active_undone.saturating_sub(1);
        }
        is_new
    }

    /// Whether all tasks are done.
    pub(super) fn is_complete(&self) -> bool {
        self.done.count() == self.job.spec.task_count
    }
}
