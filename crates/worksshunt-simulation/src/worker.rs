//! A simulated machine with its worker: lease, tasks and execution of commands.
//!
//! The cluster owns one for each machine and steps it in `workers.rs`.

use std::collections::{BTreeMap, BTreeSet};

use worksshunt_core::resources::Resources;
use worksshunt_wire::user::JobSpec;
use worksshunt_wire::worker::{Command, ExitReason, Heartbeat, TaskState, TaskStatus};
use worksshunt_wire::{AttemptId, FencingToken, Incarnation, JobId, MachineId, TaskId};

use crate::{LEASE_MS, MACHINE_CAPACITY};

/// Resources of a task whose job is unknown.
const DEFAULT_TASK_RESOURCES: Resources = Resources {
    cpus: 1.0,
    gpus: 0.0,
    memory_gb: 1.0,
};

/// Specs of all submitted jobs, by which a worker knows what a task needs.
pub(crate) type JobSpecs = BTreeMap<JobId, JobSpec>;

/// A task on a machine.
#[derive(Debug, Clone)]
pub(crate) struct Task {
    pub(crate) id: TaskId,
    pub(crate) state: TaskState,
    pub(crate) exit_reason: Option<ExitReason>,
    /// When the task completes, ms; 0 before it runs.
    pub(crate) ends_at: u64,
}

/// A launch of an attempt that had been reaped on the same machine.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Relaunch {
    pub(crate) task: TaskId,
    pub(crate) attempt: AttemptId,
}

/// A machine with its worker.
#[derive(Debug, Clone)]
pub struct Worker {
    /// The machine's zone.
    pub zone: String,
    /// Whether the machine is a spot instance.
    pub is_spot: bool,
    pub(crate) incarnation: u64,
    pub(crate) sequence: u64,
    pub(crate) fencing_token: FencingToken,
    pub(crate) tasks: BTreeMap<AttemptId, Task>,
    /// Attempts that were reaped in this incarnation.
    reaped: BTreeSet<AttemptId>,
    /// Index of the controller that receives the next heartbeat.
    pub(crate) controller: usize,
    /// When the last acknowledged heartbeat was sent, ms; the lease runs from then.
    pub(crate) lease_renewed_at: u64,
    /// Sequence number of the heartbeat that awaits its response.
    pub(crate) heartbeat_in_flight: Option<u64>,
    pub(crate) next_heartbeat_at: u64,
    /// Time from which a higher fencing token causes a heartbeat again, ms.
    pub(crate) token_hastens_heartbeat_from: u64,
    /// Whether the machine hangs: it takes no steps and handles no messages.
    pub is_hung: bool,
    /// When the machine finishes booting, ms.
    pub(crate) booted_at: u64,
    pub(crate) provisioned_at: u64,
}

impl Worker {
    /// Creates a worker that sends its first heartbeat at `booted_at`.
    pub(crate) fn new(zone: &str, is_spot: bool, provisioned_at: u64, booted_at: u64) -> Worker {
        Worker {
            zone: zone.to_owned(),
            is_spot,
            incarnation: 1,
            sequence: 0,
            fencing_token: FencingToken(0),
            tasks: BTreeMap::new(),
            reaped: BTreeSet::new(),
            controller: 0,
            lease_renewed_at: booted_at,
            heartbeat_in_flight: None,
            next_heartbeat_at: booted_at,
            token_hastens_heartbeat_from: 0,
            is_hung: false,
            booted_at,
            provisioned_at,
        }
    }

    /// If the lease has expired, removes all tasks and begins a new incarnation.
    pub(crate) fn expire_lease(&mut self, now: u64) {
        if now > self.lease_renewed_at + LEASE_MS {
            self.tasks.clear();
            self.reaped.clear();
            self.incarnation += 1;
            self.sequence = 0;
            self.lease_renewed_at = now;
            self.heartbeat_in_flight = None;
        }
    }

    /// Creates the next heartbeat; increments the sequence number.
    pub(crate) fn next_heartbeat(&mut self, id: &MachineId) -> Heartbeat {
        self.sequence += 1;
        let status = |(attempt, task): (&AttemptId, &Task)| TaskStatus {
            task: task.id,
            attempt: *attempt,
            state: task.state,
            exit_reason: task.exit_reason,
            is_checkpoint_saved: None,
        };
        Heartbeat {
            machine: id.clone(),
            command_address: "10.1.0.1:9000".into(),
            machine_type: "m4".into(),
            zone: self.zone.clone(),
            is_spot: self.is_spot,
            incarnation: Incarnation(self.incarnation),
            sequence: self.sequence,
            fencing_token: self.fencing_token,
            reclaim_notice_s: None,
            tasks: self.tasks.iter().map(status).collect(),
        }
    }

    /// Resources that its tasks leave free.
    pub(crate) fn free(&self, jobs: &JobSpecs) -> Resources {
        let tasks = self.tasks.values();
        let mut free = MACHINE_CAPACITY;
        for task in tasks.filter(|task| task.state != TaskState::Ended) {
            free.allocate(&task_resources(task.id, jobs));
        }
        free
    }

    /// Executes a command. Returns the launch of an attempt that had been reaped, which no command should cause.
    pub(crate) fn execute(&mut self, command: &Command, jobs: &JobSpecs) -> Option<Relaunch> {
        match command {
            Command::Launch { task, attempt } => {
                self.launch(*task, *attempt, jobs);
                let (task, attempt) = (*task, *attempt);
                let is_relaunch = self.reaped.remove(&attempt);
                return is_relaunch.then_some(Relaunch { task, attempt });
            }
            Command::Halt { attempt, .. } => self.halt(*attempt),
            Command::Reap { attempt, .. } => self.reap(*attempt),
        }
        None
    }

    /// Adds a task; on a machine without room for it, it ends at once. A repeated launch of an attempt has no effect.
    pub(crate) fn launch(&mut self, task: TaskId, attempt: AttemptId, jobs: &JobSpecs) {
        let is_full = !self.free(jobs).fits(&task_resources(task, jobs));
        let state = if is_full {
            TaskState::Ended
        } else {
            TaskState::Fetching
        };
        self.tasks.entry(attempt).or_insert(Task {
            id: task,
            state,
            exit_reason: is_full.then_some(ExitReason::InsufficientResources),
            ends_at: 0,
        });
    }

    fn halt(&mut self, attempt: AttemptId) {
        let task = self.tasks.get_mut(&attempt);
        if let Some(task) = task.filter(|task| task.state != TaskState::Ended) {
            task.state = TaskState::Ended;
            task.exit_reason = Some(ExitReason::Stopped);
        }
    }

    fn reap(&mut self, attempt: AttemptId) {
        let task = self.tasks.get(&attempt);
        if task.is_some_and(|task| task.state == TaskState::Ended) {
            self.tasks.remove(&attempt);
            self.reaped.insert(attempt);
        }
    }
}

fn task_resources(task: TaskId, jobs: &JobSpecs) -> Resources {
    jobs.get(&task.job)
        .map_or(DEFAULT_TASK_RESOURCES, Resources::of_task)
}
