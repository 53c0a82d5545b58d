//! Observes what runs on the workers, independently of the controllers. It owns the history of every task; the workers
//! record starts and ends, and the measurements read them.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

use worksshunt_wire::TaskId;

/// History of one task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TaskHistory {
    /// When it started first.
    pub first_start: Instant,
    /// How often it started.
    pub starts: usize,
    /// How often it completed.
    pub completions: usize,
}

/// What was observed of all tasks.
#[derive(Debug, Default, Clone)]
pub struct Observations {
    /// Tasks that run now, each with the number of workers that run it.
    pub running: BTreeMap<TaskId, usize>,
    /// Tasks that completed.
    pub completed: BTreeSet<TaskId>,
    /// All tasks that ever started.
    pub histories: BTreeMap<TaskId, TaskHistory>,
    /// Starts of tasks.
    pub starts: usize,
    /// Starts of a task while another worker ran it.
    pub concurrent_starts: usize,
}

/// The observer.
#[derive(Debug, Default)]
pub struct Observer(RefCell<Observations>);

impl Observer {
    /// What was observed so far.
    pub fn observations(&self) -> std::cell::Ref<'_, Observations> {
        self.0.borrow()
    }

    /// Records that a task starts on a worker.
    pub fn started(&self, task: TaskId) {
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
        let copies = observations.running.entry(task).or_default();
        *copies += 1;
        if *copies > 1 {
            observations.concurrent_starts += 1;
        }
    }

    /// Records that a task has ended on its worker.
    pub fn ended(&self, task: TaskId, completed: bool) {
        let mut observations = self.0.borrow_mut();
        if let Some(copies) = observations.running.get_mut(&task) {
            *copies -= 1;
            if *copies == 0 {
                observations.running.remove(&task);
            }
        }
        if completed {
            observations.completed.insert(task);
            if let Some(history) = observations.histories.get_mut(&task) {
                history.completions += 1;
            }
        }
    }
}

#[cfg(test)]
mod tests;
