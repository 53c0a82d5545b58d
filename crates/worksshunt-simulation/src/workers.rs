//! Periodic steps of the workers: starting and ending tasks, sending heartbeats; and the execution of commands.
//!
//! Each worker takes a step every [`WORKER_STEP_MS`] ms.

use worksshunt_core::machines::DirectCommands;
use worksshunt_wire::user::JobKind;
use worksshunt_wire::worker::{Command, ExitReason, Heartbeat, TaskState};
use worksshunt_wire::{AttemptId, MachineId, TaskId};

use crate::events::SimulationEvent;
use crate::task_snapshot::{ObservedTask, TaskSnapshot};
use crate::worker::Relaunch;
use crate::{Cluster, CONTROLLER_COUNT, HEARTBEAT_INTERVAL_MS};

/// Interval between a worker's steps, ms.
const WORKER_STEP_MS: u64 = 250;
/// Run times of tasks depend on the task index modulo this; see [`Cluster::run_spread_ms`].
const RUN_SPREAD_GROUP_SIZE: u32 = 8;
/// Maximum delay of a cancellation that races with the job's completion, ms; covers the time until the heartbeat that
/// reports the completion is processed.
const CANCEL_AT_COMPLETION_MAX_MS: u64 = 30;

/// The start of a task on a machine.
#[derive(Debug, Clone)]
pub struct TaskStart {
    /// Time of the start, ms since the cluster was created.
    pub at: u64,
    /// The task that started.
    pub task: TaskId,
    /// The machine on which it started.
    pub machine: MachineId,
}

/// The task and the machine of a launch command.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Launch {
    task: TaskId,
    pub(crate) machine: MachineId,
}

/// State changes of a machine's tasks during one step.
#[derive(Default)]
struct TaskChanges {
    started: Vec<TaskId>,
    completed: Vec<TaskId>,
    /// Whether any task changed its state, failures included.
    has_any: bool,
}

impl Cluster {
    pub(crate) fn step_worker(&mut self, id: &MachineId) {
        let now = self.now;
        self.schedule_at(
            now + WORKER_STEP_MS,
            SimulationEvent::WorkerStep(id.clone()),
        );
        let Some(worker) = self.workers.get_mut(id).filter(|worker| !worker.is_hung) else {
            return;
        };
        worker.expire_lease(now);
        let changes = self.advance_tasks(id);
        self.heartbeat_if_due(id, changes.has_any);
        self.record_starts(id, changes.started);
        for task in changes.completed {
            self.record_completion(task);
        }
    }

    /// Starts the tasks that are being fetched and ends those that have run for their run time.
    fn advance_tasks(&mut self, id: &MachineId) -> TaskChanges {
        let mut changes = TaskChanges::default();
        let now = self.now;
        let (faults, jobs) = (&self.faults, &self.invariants.jobs);
        let is_faulty = faults.faulty_machines.contains(id);
        let Some(worker) = self.workers.get_mut(id) else {
            return changes;
        };
        for task in worker.tasks.values_mut() {
            let job = task.id.job;
            if task.state == TaskState::Fetching {
                task.state = TaskState::Running;
                let spread_ms =
                    u64::from(task.id.index % RUN_SPREAD_GROUP_SIZE) * self.run_spread_ms;
                task.ends_at = now + self.task_run_ms + spread_ms;
                changes.started.push(task.id);
                changes.has_any = true;
            } else if task.state == TaskState::Running && now >= task.ends_at {
                let spec = jobs.get(&job);
                let is_service = spec.is_some_and(|spec| spec.kind == JobKind::Service);
                if is_service && !faults.ending_services.contains(&job) && !is_faulty {
                    continue;
                }
                let has_failed = is_faulty || faults.failing_jobs.contains(&job);
                task.state = TaskState::Ended;
                task.exit_reason = Some(if has_failed {
                    ExitReason::Error
                } else {
                    ExitReason::Done
                });
                if !has_failed {
                    changes.completed.push(task.id);
                }
                changes.has_any = true;
            }
        }
        changes
    }

    /// Sends a heartbeat if one is due or a task has changed, unless another awaits its response.
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

    /// Records starts of tasks on a machine and checks the invariants for them.
    fn record_starts(&mut self, id: &MachineId, started: Vec<TaskId>) {
        let now = self.now;
        if !started.is_empty() {
            let mut invariants = std::mem::take(&mut self.invariants);
            let snapshot = self.snapshot_including(id, &started);
            for task in &started {
                invariants.record_task_start(now, *task, id, &snapshot);
            }
            self.task_snapshot = Some(snapshot);
            self.invariants = invariants;
        }
        self.task_starts
            .extend(started.into_iter().map(|task| TaskStart {
                at: now,
                task,
                machine: id.clone(),
            }));
    }

    /// Records the completion of a task. With `cancel_at_completion`, a user may cancel the job at the same time.
    fn record_completion(&mut self, task: TaskId) {
        self.invariants.record_completion(task);
        if self.invariants.all_done(task.job) && self.rng.f64() < self.faults.cancel_at_completion {
            self.record_effect("cancel at completion");
            let controller = self.rng.usize(0..CONTROLLER_COUNT);
            let delay_ms = self.rng.u64(0..CANCEL_AT_COMPLETION_MAX_MS);
            self.schedule(delay_ms, move |cluster| {
                cluster.send_cancel(controller, task.job);
            });
        }
    }

    /// Returns the snapshot of this time, including tasks that have just started on a machine.
    fn snapshot_including(&mut self, id: &MachineId, started: &[TaskId]) -> TaskSnapshot {
        match self.task_snapshot.take() {
            Some(mut snapshot) if snapshot.is_taken_at(self.now) => {
                let worker = &self.workers[id];
                for task in started {
                    snapshot.add(&ObservedTask {
                        task: *task,
                        machine: id,
                        zone: &worker.zone,
                        is_spot: worker.is_spot,
                    });
                }
                snapshot
            }
            _ => TaskSnapshot::new(self.now, &self.observed_tasks()),
        }
    }

    /// Records launch commands and checks that no attempt is reused for another task or machine.
    pub(crate) fn record_launches(&mut self, id: &MachineId, commands: &[Command]) {
        self.usage.count_commands(commands);
        for command in commands {
            let Command::Launch { task, attempt } = command else {
                continue;
            };
            let launch = Launch {
                task: *task,
                machine: id.clone(),
            };
            let launches = &mut self.launches_by_attempt;
            let first_launch = launches.entry(*attempt).or_insert(launch.clone());
            if *first_launch != launch {
                let text = format!("attempt {attempt} of {first_launch:?} reused for {launch:?}");
                self.invariants.record_violation("attempts", &text);
            }
        }
    }

    /// Delivers direct commands to a worker, which ignores them if they are stale. Returns the worker's heartbeat;
    /// `None` if it is unreachable or hangs.
    pub(crate) fn execute_commands(&mut self, commands: &DirectCommands) -> Option<Heartbeat> {
        self.record_launches(&commands.machine, &commands.batch.commands);
        self.deliver_batch(commands)
    }

    /// Delivers a batch of direct commands, which may be a copy. Returns the worker's answer, if it answers.
    pub(crate) fn deliver_batch(&mut self, commands: &DirectCommands) -> Option<Heartbeat> {
        let (id, batch) = (&commands.machine, &commands.batch);
        if self.faults.unreachable_machines.contains(id) {
            return None;
        }
        let worker = self.workers.get_mut(id).filter(|worker| !worker.is_hung)?;
        let is_current = batch.fencing_token >= worker.fencing_token
            && batch.incarnation.0 == worker.incarnation;
        if !is_current {
            let answer = worker.next_heartbeat(id);
            self.record_effect("refused commands");
            return Some(answer);
        }
        worker.fencing_token = batch.fencing_token;
        let commands = batch.commands.iter();
        let relaunched = commands
            .filter_map(|command| worker.execute(command, &self.invariants.jobs))
            .collect();
        let answer = worker.next_heartbeat(id);
        self.record_relaunches(id, relaunched);
        Some(answer)
    }

    /// Records launches of attempts that had been reaped as violations.
    pub(crate) fn record_relaunches(&mut self, id: &MachineId, relaunched: Vec<Relaunch>) {
        for Relaunch { task, attempt } in relaunched {
            let text = format!("attempt {attempt} of {task} was launched on {id} after its reap");
            self.invariants.record_violation("relaunched", &text);
        }
    }

    /// Makes a machine hang for a duration, ms.
    pub fn hang(&mut self, id: &MachineId, duration_ms: u64) {
        let set_hung = |cluster: &mut Cluster, id: &MachineId, is_hung: bool| {
            if let Some(worker) = cluster.workers.get_mut(id) {
                worker.is_hung = is_hung;
            }
        };
        set_hung(self, id, true);
        let id = id.clone();
        self.schedule(duration_ms, move |cluster| set_hung(cluster, &id, false));
    }

    /// Launches a task on a machine without a controller's command.
    ///
    /// # Panics
    ///
    /// The machine does not exist.
    pub fn inject_task(&mut self, id: &MachineId, task: TaskId, attempt: u64) {
        let worker = self.workers.get_mut(id).expect("a worker");
        worker.launch(task, AttemptId(attempt), &self.invariants.jobs);
    }
}
