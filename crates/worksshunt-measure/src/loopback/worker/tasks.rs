//! Tasks of a worker: executes commands, completes tasks after their duration, and reports each attempt until a
//! controller reaps it.

use std::collections::BTreeMap;
use std::time::Instant;

use worksshunt_wire::worker::{Command, ExitReason, TaskState, TaskStatus};
use worksshunt_wire::{AttemptId, TaskId};

use crate::loopback::environment::EnvironmentConfig;
use crate::loopback::observer::TaskObserver;
use crate::loopback::TASKS_PER_MACHINE;

struct Task {
    task: TaskId,
    /// Reason of the end; `None` while the task runs.
    exit_reason: Option<ExitReason>,
    completes_at: Instant,
}

impl Task {
    fn is_running(&self) -> bool {
        self.exit_reason.is_none()
    }
}

/// Running and ended tasks by attempt.
#[derive(Default)]
pub struct Tasks(BTreeMap<AttemptId, Task>);

impl Tasks {
    /// Executes a controller's command.
    pub fn execute(
        &mut self,
        command: &Command,
        config: &EnvironmentConfig,
        observer: &TaskObserver,
    ) {
        match command {
            Command::Launch { task, attempt } => self.launch(*task, *attempt, config, observer),
            Command::Halt { attempt, .. } => self.halt(*attempt, observer),
            Command::Reap { attempt, .. } => self.reap(*attempt),
        }
    }

    /// Starts a task, or records its failure if the machine is full. An attempt that is already recorded is unchanged.
    fn launch(
        &mut self,
        task: TaskId,
        attempt: AttemptId,
        config: &EnvironmentConfig,
        observer: &TaskObserver,
    ) {
        let running_count = self.0.values().filter(|task| task.is_running()).count();
        let is_full = running_count >= TASKS_PER_MACHINE;
        self.0.entry(attempt).or_insert_with(|| {
            if !is_full {
                observer.record_start(task);
            }
            Task {
                task,
                exit_reason: is_full.then_some(ExitReason::InsufficientResources),
                completes_at: Instant::now() + config.task_duration,
            }
        });
    }

    fn halt(&mut self, attempt: AttemptId, observer: &TaskObserver) {
        let running = self.0.get_mut(&attempt).filter(|task| task.is_running());
        if let Some(task) = running {
            task.exit_reason = Some(ExitReason::Stopped);
            observer.record_end(task.task, false);
        }
    }

    /// Removes an attempt that has ended.
    fn reap(&mut self, attempt: AttemptId) {
        if self.0.get(&attempt).is_some_and(|task| !task.is_running()) {
            self.0.remove(&attempt);
        }
    }

    /// Ends all running tasks and removes all attempts, so that they are no longer reported.
    pub fn remove_all(&mut self, observer: &TaskObserver) {
        for task in std::mem::take(&mut self.0).into_values() {
            if task.is_running() {
                observer.record_end(task.task, false);
            }
        }
    }

    /// Completes the running tasks whose duration has passed.
    pub fn complete_due(&mut self, now: Instant, observer: &TaskObserver) {
        for task in self.0.values_mut() {
            if task.is_running() && now >= task.completes_at {
                task.exit_reason = Some(ExitReason::Done);
                observer.record_end(task.task, true);
            }
        }
    }

    /// Time of the next completion; `None` if no task runs.
    pub fn next_completion_at(&self) -> Option<Instant> {
        let running = self.0.values().filter(|task| task.is_running());
        running.map(|task| task.completes_at).min()
    }

    /// Status of every attempt, for a heartbeat.
    pub fn statuses(&self) -> Vec<TaskStatus> {
        let status = |(attempt, task): (&AttemptId, &Task)| TaskStatus {
            task: task.task,
            attempt: *attempt,
            state: if task.is_running() {
                TaskState::Running
            } else {
                TaskState::Ended
            },
            exit_reason: task.exit_reason,
            is_checkpoint_saved: None,
        };
        self.0.iter().map(status).collect()
    }
}

#[cfg(test)]
mod tests;
