//! The tasks of a worker: executes commands on them, stops them, and completes them in time. It owns what the worker
//! reports of each attempt until a controller reaps it; `worker` calls it.

use std::collections::BTreeMap;
use std::time::Instant;

use worksshunt_wire::worker::{Command, ExitReason, TaskState, TaskStatus};
use worksshunt_wire::{Attempt, TaskId};

use crate::loopback::observer::Observer;
use crate::loopback::surroundings::Plan;
use crate::loopback::TASKS_PER_MACHINE;

struct Task {
    task: TaskId,
    /// Why it ended; none while it runs.
    reason: Option<ExitReason>,
    completes_at: Instant,
}

impl Task {
    fn is_running(&self) -> bool {
        self.reason.is_none()
    }
}

/// Tasks by their attempts.
#[derive(Default)]
pub struct Tasks(BTreeMap<Attempt, Task>);

impl Tasks {
    /// Executes a controller's command.
    pub fn execute(&mut self, command: &Command, plan: &Plan, observer: &Observer) {
        match command {
            Command::Launch { task, attempt } => self.launch(*task, *attempt, plan, observer),
            Command::Halt { attempt, .. } => self.halt(*attempt, observer),
            Command::Reap { attempt, .. } => self.reap(*attempt),
        }
    }

    fn launch(&mut self, task: TaskId, attempt: Attempt, plan: &Plan, observer: &Observer) {
        let running = self.0.values().filter(|task| task.is_running()).count();
        let is_full = running >= TASKS_PER_MACHINE;
        self.0.entry(attempt).or_insert_with(|| {
            if !is_full {
                observer.started(task);
            }
            Task {
                task,
                reason: is_full.then_some(ExitReason::InsufficientResources),
                completes_at: Instant::now() + plan.task_run,
            }
        });
    }

    fn halt(&mut self, attempt: Attempt, observer: &Observer) {
        let running = self.0.get_mut(&attempt).filter(|task| task.is_running());
        if let Some(task) = running {
            task.reason = Some(ExitReason::Stopped);
            observer.ended(task.task, false);
        }
    }

    fn reap(&mut self, attempt: Attempt) {
        if self.0.get(&attempt).is_some_and(|task| !task.is_running()) {
            self.0.remove(&attempt);
        }
    }

    /// Ends all tasks without a trace.
    pub fn clear(&mut self, observer: &Observer) {
        for task in std::mem::take(&mut self.0).into_values() {
            if task.is_running() {
                observer.ended(task.task, false);
            }
        }
    }

    /// Completes the tasks that have run long enough.
    pub fn complete_due(&mut self, now: Instant, observer: &Observer) {
        for task in self.0.values_mut() {
            if task.is_running() && now >= task.completes_at {
                task.reason = Some(ExitReason::Done);
                observer.ended(task.task, true);
            }
        }
    }

    /// When the next task completes; none if none runs.
    pub fn next_completion_at(&self) -> Option<Instant> {
        let running = self.0.values().filter(|task| task.is_running());
        running.map(|task| task.completes_at).min()
    }

    /// The status of every attempt, for a heartbeat.
    pub fn statuses(&self) -> Vec<TaskStatus> {
        let status = |(attempt, task): (&Attempt, &Task)| TaskStatus {
            task: task.task,
            attempt: *attempt,
            state: if task.is_running() {
                TaskState::Running
            } else {
                TaskState::Ended
            },
            exit_reason: task.reason,
            is_checkpoint_saved: None,
        };
        self.0.iter().map(status).collect()
    }
}

#[cfg(test)]
mod tests;
