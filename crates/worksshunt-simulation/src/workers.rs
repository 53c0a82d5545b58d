//! The steps of the workers: tasks start and end, heartbeats are sent and commands executed.
//!
//! Each worker takes a step every [`WORKER_STEP_MS`] ms. The cluster owns them in `workers`, by machine.

use worksshunt_core::machines::DirectCommands;
use worksshunt_wire::user::JobKind;
use worksshunt_wire::worker::{Command, ExitReason, Heartbeat, TaskState};
use worksshunt_wire::{Attempt, MachineId, TaskId};

use crate::events::SimulationEvent;
use crate::job_audit::{JobAudit, ObservedTask};
use crate::{Cluster, CONTROLLERS, HEARTBEAT_INTERVAL_MS};

/// Interval of a worker's steps, ms.
const WORKER_STEP_MS: u64 = 250;
/// Run times of tasks differ by their index modulo this, see [`Cluster::run_spread_ms`].
const RUN_SPREAD_GROUP: u32 = 8;
/// A user who cancels at the moment a job ends does so within so many ms: the heartbeat that reports the end takes a
/// few ms to become known.
const CANCEL_AT_COMPLETION_MS: u64 = 30;

/// A start of a task on a machine.
#[derive(Debug, Clone)]
pub struct TaskStart {
    /// When, ms since the cluster's start.
    pub at: u64,
    /// The task.
    pub task: TaskId,
    /// Its machine.
    pub machine: MachineId,
}

/// What an attempt is launched for, and where.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Launch {
    task: TaskId,
    pub(crate) machine: MachineId,
}

/// What one step changed on a machine.
#[derive(Default)]
struct TaskChanges {
    started: Vec<TaskId>,
    completed: Vec<TaskId>,
    any: bool,
}

impl Cluster {
    pub(crate) fn step_worker(&mut self, id: &MachineId) {
        let now = self.now;
        self.schedule_at(
            now + WORKER_STEP_MS,
            SimulationEvent::WorkerStep(id.clone()),
        );
        let Some(worker) = self.workers.get_mut(id).filter(|worker| !worker.hung) else {
            return;
        };
        worker.expire_lease(now);
        let changes = self.advance_tasks(id);
        self.heartbeat_if_due(id, changes.any);
        self.record_starts(id, changes.started);
        for task in changes.completed {
            self.record_completion(task);
        }
    }

    /// Starts tasks that have been fetched and ends those whose time is over.
    fn advance_tasks(&mut self, id: &MachineId) -> TaskChanges {
        let mut changes = TaskChanges::default();
        let now = self.now;
        let (faults, jobs) = (&self.faults, &self.invariants.jobs);
        let is_faulty = faults.faulty_machines.contains(id);
        let Some(worker) = self.workers.get_mut(id) else {
            return changes;
        };
        for task in worker.tasks.values_mut() {
            let job = task.task.job;
            if task.state == TaskState::Fetching {
                task.state = TaskState::Running;
                let spread_ms = u64::from(task.task.index % RUN_SPREAD_GROUP) * self.run_spread_ms;
                task.ends_at = now + self.task_run_ms + spread_ms;
                changes.started.push(task.task);
                changes.any = true;
            } else if task.state == TaskState::Running && now >= task.ends_at {
                let spec = jobs.get(&job);
                let is_service = spec.is_some_and(|spec| spec.kind == JobKind::Service);
                if is_service && !faults.ending_services.contains(&job) && !is_faulty {
                    continue;
                }
                let has_failed = is_faulty || faults.failing_jobs.contains(&job);
                task.state = TaskState::Ended;
                task.reason = Some(if has_failed {
                    ExitReason::Error
                } else {
                    ExitReason::Done
                });
                if !has_failed {
                    changes.completed.push(task.task);
                }
                changes.any = true;
            }
        }
        changes
    }

    /// Sends a heartbeat if it is time, or at once after a change.
    fn heartbeat_if_due(&mut self, id: &MachineId, has_changed: bool) {
        let now = self.now;
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        if has_changed {
            worker.next_heartbeat_at = worker.next_heartbeat_at.min(now);
        }
        if worker.heartbeat_in_flight.is_none() && now >= worker.next_heartbeat_at {
            worker.next_heartbeat_at = now + HEARTBEAT_INTERVAL_MS;
            let heartbeat = worker.next_heartbeat(id);
            worker.heartbeat_in_flight = Some(heartbeat.sequence);
            let controller = worker.controller;
            self.send_heartbeat(controller, heartbeat);
        }
    }

    /// Has the invariants judge the starts of tasks on a machine.
    fn record_starts(&mut self, id: &MachineId, started: Vec<TaskId>) {
        let now = self.now;
        if !started.is_empty() {
            let mut invariants = std::mem::take(&mut self.invariants);
            let audit = self.job_audit_with(id, &started);
            for task in &started {
                invariants.task_started(now, *task, id, &audit);
            }
            self.job_audit = Some(audit);
            self.invariants = invariants;
        }
        self.task_starts
            .extend(started.into_iter().map(|task| TaskStart {
                at: now,
                task,
                machine: id.clone(),
            }));
    }

    /// Notes that a task has completed. Users may cancel its job at that moment.
    fn record_completion(&mut self, task: TaskId) {
        self.invariants.completed(task);
        if self.invariants.all_done(task.job) && self.rng.f64() < self.faults.cancel_at_completion {
            self.record_effect("cancel at completion");
            let controller = self.rng.usize(0..CONTROLLERS);
            let wait_ms = self.rng.u64(0..CANCEL_AT_COMPLETION_MS);
            self.schedule(wait_ms, move |cluster| {
                cluster.send_cancel(controller, task.job);
            });
        }
    }

    /// All that is on machines now, with what has just started on one of them.
    fn job_audit_with(&mut self, id: &MachineId, started: &[TaskId]) -> JobAudit {
        match self.job_audit.take() {
            Some(mut audit) if audit.is_of(self.now) => {
                let worker = &self.workers[id];
                for task in started {
                    audit.add(&ObservedTask {
                        task: *task,
                        machine: id,
                        zone: &worker.zone,
                        spot: worker.spot,
                    });
                }
                audit
            }
            _ => JobAudit::new(self.now, &self.observed_tasks()),
        }
    }

    /// Checks that no attempt's number is used for another task or on another machine.
    pub(crate) fn record_launches(&mut self, id: &MachineId, commands: &[Command]) {
        self.usage.commands(commands);
        for command in commands {
            let Command::Launch { task, attempt } = command else {
                continue;
            };
            let launch = Launch {
                task: *task,
                machine: id.clone(),
            };
            let first = self.launched.entry(*attempt).or_insert(launch.clone());
            if *first != launch {
                let text = format!("attempt {attempt} of {first:?} used again for {launch:?}");
                self.invariants.record_violation("attempts", &text);
            }
        }
    }

    /// Has a worker execute direct commands, if it can be reached; its heartbeat after them.
    pub(crate) fn execute_commands(&mut self, commands: &DirectCommands) -> Option<Heartbeat> {
        let (id, batch) = (&commands.machine, &commands.batch);
        self.record_launches(id, &batch.commands);
        if self.faults.unreachable_machines.contains(id) {
            return None;
        }
        let worker = self.workers.get_mut(id).filter(|worker| !worker.hung)?;
        let is_current = batch.fencing_token >= worker.fencing_token
            && batch.incarnation.0 == worker.incarnation;
        if is_current {
            worker.fencing_token = batch.fencing_token;
            for command in &batch.commands {
                worker.execute(command);
            }
        }
        Some(worker.next_heartbeat(id))
    }

    /// A machine hangs for so long.
    pub fn hang(&mut self, id: &MachineId, ms: u64) {
        let set = |cluster: &mut Cluster, id: &MachineId, is_hung: bool| {
            if let Some(worker) = cluster.workers.get_mut(id) {
                worker.hung = is_hung;
            }
        };
        set(self, id, true);
        let id = id.clone();
        self.schedule(ms, move |cluster| set(cluster, &id, false));
    }

    /// Puts a task on a machine without any controller's command.
    ///
    /// # Panics
    ///
    /// There is no such machine.
    pub fn inject_task(&mut self, id: &MachineId, task: TaskId, attempt: u64) {
        let worker = self.workers.get_mut(id).expect("a worker");
        worker.launch(task, Attempt(attempt));
    }
}
