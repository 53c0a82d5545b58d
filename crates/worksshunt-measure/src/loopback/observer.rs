//! What runs on the workers, as somebody sees it who knows nothing of the controllers.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

use worksshunt_wire::TaskId;

/// What has happened to one task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TaskHistory {
    /// When it started first.
    pub first_start: Instant,
    /// How often it started.
    pub starts: usize,
    /// How often it completed.
    pub completions: usize,
}

/// Counts of what has happened to tasks.
#[derive(Debug, Default, Clone)]
pub struct Seen {
    /// Tasks on workers now, and on how many.
    pub running: BTreeMap<TaskId, usize>,
    /// Tasks that completed.
    pub completed: BTreeSet<TaskId>,
    /// All tasks that ever started.
    pub histories: BTreeMap<TaskId, TaskHistory>,
    /// Starts of tasks.
    pub starts: usize,
    /// Starts of a task that was on another worker.
    pub ran_twice: usize,
}

/// The observer.
#[derive(Debug, Default)]
pub struct Observer(RefCell<Seen>);

impl Observer {
    /// What was seen.
    pub fn seen(&self) -> std::cell::Ref<'_, Seen> {
        self.0.borrow()
    }

    /// A task starts on a worker.
    pub fn started(&self, task: TaskId) {
        let mut seen = self.0.borrow_mut();
        seen.starts += 1;
        let history = seen.histories.entry(task).or_insert_with(|| TaskHistory {
            first_start: Instant::now(),
            starts: 0,
            completions: 0,
        });
        history.starts += 1;
        let on = seen.running.entry(task).or_default();
        *on += 1;
        if *on > 1 {
            seen.ran_twice += 1;
        }
    }

    /// A task is on its worker no more.
    pub fn ended(&self, task: TaskId, completed: bool) {
        let mut seen = self.0.borrow_mut();
        if let Some(on) = seen.running.get_mut(&task) {
            *on -= 1;
            if *on == 0 {
                seen.running.remove(&task);
            }
        }
        if completed {
            seen.completed.insert(task);
            if let Some(history) = seen.histories.get_mut(&task) {
                history.completions += 1;
            }
        }
    }
}

#[cfg(test)]
mod tests;
