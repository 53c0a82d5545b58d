//! A machine and its worker: the lease, the tasks and the commands that it executes.
//!
//! The cluster owns one for each machine and steps it (`workers.rs`).

use std::collections::BTreeMap;

use worksshunt_wire::worker::{Command, ExitReason, Heartbeat, TaskState, TaskStatus};
use worksshunt_wire::{Attempt, Epoch, Incarnation, MachineId, TaskId};

use crate::LEASE_MS;

/// Tasks that a machine runs at a time.
const TASKS_PER_MACHINE: usize = 4;

/// A task on a machine.
#[derive(Debug, Clone)]
pub(crate) struct Task {
    pub(crate) task: TaskId,
    pub(crate) state: TaskState,
    pub(crate) reason: Option<ExitReason>,
    pub(crate) ends_at: u64,
}

/// A machine and its worker.
#[derive(Debug, Clone)]
pub struct Worker {
    /// Its machine's zone.
    pub zone: String,
    /// Whether its machine is a spot one.
    pub spot: bool,
    pub(crate) incarnation: u64,
    pub(crate) sequence: u64,
    pub(crate) fencing_token: Epoch,
    pub(crate) tasks: BTreeMap<Attempt, Task>,
    pub(crate) controller: usize,
    /// When the last heartbeat was sent that got a response, ms.
    pub(crate) last_answered_at: u64,
    /// Sequence number of the heartbeat that waits for its response.
    pub(crate) heartbeat_in_flight: Option<u64>,
    pub(crate) next_heartbeat_at: u64,
    /// Whether it hangs.
    pub hung: bool,
    /// When the machine has booted, ms.
    pub(crate) up_at: u64,
    pub(crate) provisioned_at: u64,
}

impl Worker {
    /// A worker that has not sent anything, on a machine that boots until `up_at`.
    pub(crate) fn new(zone: &str, spot: bool, provisioned_at: u64, up_at: u64) -> Worker {
        Worker {
            zone: zone.to_owned(),
            spot,
            incarnation: 1,
            sequence: 0,
            fencing_token: Epoch(0),
            tasks: BTreeMap::new(),
            controller: 0,
            last_answered_at: up_at,
            heartbeat_in_flight: None,
            next_heartbeat_at: up_at,
            hung: false,
            up_at,
            provisioned_at,
        }
    }

    /// Ends all tasks and begins a new incarnation if the lease has expired.
    pub(crate) fn expire_lease(&mut self, now: u64) {
        if now > self.last_answered_at + LEASE_MS {
            self.tasks.clear();
            self.incarnation += 1;
            self.sequence = 0;
            self.last_answered_at = now;
            self.heartbeat_in_flight = None;
        }
    }

    /// Its next heartbeat, with the next sequence number.
    pub(crate) fn next_heartbeat(&mut self, id: &MachineId) -> Heartbeat {
        self.sequence += 1;
        let status = |(attempt, task): (&Attempt, &Task)| TaskStatus {
            task: task.task,
            attempt: *attempt,
            state: task.state,
            exit_reason: task.reason,
            is_checkpoint_saved: None,
        };
        Heartbeat {
            machine: id.clone(),
            command_address: "10.1.0.1:9000".into(),
            machine_type: "m4".into(),
            zone: self.zone.clone(),
            is_spot: self.spot,
            incarnation: Incarnation(self.incarnation),
            sequence: self.sequence,
            fencing_token: self.fencing_token,
            reclaim_notice_s: None,
            tasks: self.tasks.iter().map(status).collect(),
        }
    }

    pub(crate) fn execute(&mut self, command: &Command) {
        match command {
            Command::Launch { task, attempt } => self.launch(*task, *attempt),
            Command::Halt { attempt, .. } => self.halt(*attempt),
            Command::Reap { attempt, .. } => self.reap(*attempt),
        }
    }

    pub(crate) fn launch(&mut self, task: TaskId, attempt: Attempt) {
        let tasks = self.tasks.values();
        let on_machine = tasks.filter(|task| task.state != TaskState::Ended).count();
        let is_full = on_machine >= TASKS_PER_MACHINE;
        let state = if is_full {
            TaskState::Ended
        } else {
            TaskState::Fetching
        };
        self.tasks.entry(attempt).or_insert(Task {
            task,
            state,
            reason: is_full.then_some(ExitReason::InsufficientResources),
            ends_at: 0,
        });
    }

    fn halt(&mut self, attempt: Attempt) {
        let task = self.tasks.get_mut(&attempt);
        if let Some(task) = task.filter(|task| task.state != TaskState::Ended) {
            task.state = TaskState::Ended;
            task.reason = Some(ExitReason::Stopped);
        }
    }

    fn reap(&mut self, attempt: Attempt) {
        let task = self.tasks.get(&attempt);
        if task.is_some_and(|task| task.state == TaskState::Ended) {
            self.tasks.remove(&attempt);
        }
    }
}
