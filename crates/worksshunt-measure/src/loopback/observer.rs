//! What runs on the workers, as somebody sees it who knows nothing of the controllers.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};

use worksshunt_wire::TaskId;

/// Counts of what has happened to tasks.
#[derive(Debug, Default, Clone)]
pub struct Seen {
    /// Tasks on workers now, and on how many.
    pub running: BTreeMap<TaskId, usize>,
    /// Tasks that completed.
    pub completed: BTreeSet<TaskId>,
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
        }
    }
}
