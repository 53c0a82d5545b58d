//! History of all tasks as the workers run them, independent of the controllers' view. The workers record starts and
//! ends; the commands check them.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

use worksshunt_wire::TaskId;

/// History of one task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TaskHistory {
    /// Time of the first start.
    pub first_start: Instant,
    /// Number of starts.
    pub starts: usize,
    /// Number of completions.
    pub completions: usize,
}

/// Records of all tasks so far.
#[derive(Debug, Default, Clone)]
pub struct Observations {
    /// Running tasks, each with the number of workers that run it.
    pub running: BTreeMap<TaskId, usize>,
    /// Tasks that completed at least once.
    pub completed: BTreeSet<TaskId>,
    /// Histories of all tasks that started at least once.
    pub histories: BTreeMap<TaskId, TaskHistory>,
    /// Number of starts of all tasks.
    pub starts: usize,
    /// Number of starts of a task that was already running.
    pub concurrent_starts: usize,
}

/// Recorder of the tasks' starts and ends.
#[derive(Debug, Default)]
pub struct TaskObserver(RefCell<Observations>);

impl TaskObserver {
    /// Records so far.
    pub fn observations(&self) -> std::cell::Ref<'_, Observations> {
        self.0.borrow()
    }

    /// Records the start of a task on a worker.
    pub fn record_start(&self, task: TaskId) {
        let mut observations = self.0.borrow_mut();
        observations.starts += 1;
        let history = observations
            .histories
            .entry(task)
            .or_insert_with(|| TaskHistory {
                first_start: Instant::now(),
                starts: 0,
                completions: 0,
            });
        history.starts += 1;
        let worker_count = observations.running.entry(task).or_default();
        *worker_count += 1;
        if *worker_count > 1 {
            observations.concurrent_starts += 1;
        }
    }

    /// Records the end of a task on a worker, by completion or otherwise.
    pub fn record_end(&self, task: TaskId, is_completed: bool) {
        let mut observations = self.0.borrow_mut();
        if let Some(worker_count) = observations.running.get_mut(&task) {
            *worker_count -= 1;
            if *worker_count == 0 {
                observations.running.remove(&task);
            }
        }
        if is_completed {
            observations.completed.insert(task);
            if let Some(history) = observations.histories.get_mut(&task) {
                history.completions += 1;
            }
        }
    }
}

#[cfg(test)]
mod tests;
