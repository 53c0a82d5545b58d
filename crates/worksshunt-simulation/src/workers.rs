//! The machines of the cluster and their workers.

use std::collections::BTreeMap;

use worksshunt_core::job_api::HttpResponse;
use worksshunt_core::machines::DirectCommands;
use worksshunt_wire::user::JobKind;
use worksshunt_wire::worker::{
    Command, ExitReason, Heartbeat, HeartbeatResponse, Redirect, TaskState, TaskStatus,
};
use worksshunt_wire::{Attempt, Epoch, Incarnation, MachineId, TaskId};

use super::*;

#[derive(Debug, Clone)]
pub(super) struct Task {
    pub(super) task: TaskId,
    pub(super) state: TaskState,
    pub(super) reason: Option<ExitReason>,
    pub(super) ends_at: u64,
}

/// A machine and its worker.
#[derive(Debug, Clone)]
pub struct Worker {
    /// Its machine's zone.
    pub zone: String,
    /// Whether its machine is a spot one.
    pub spot: bool,
    pub(super) incarnation: u64,
    pub(super) sequence: u64,
    pub(super) fencing_token: Epoch,
    pub(super) tasks: BTreeMap<Attempt, Task>,
    pub(super) controller: usize,
    pub(super) last_answered_at: u64,
    /// Number of the report that waits for its answer.
    pub(super) heartbeat_in_flight: Option<u64>,
    pub(super) next_heartbeat_at: u64,
    /// Whether it stands still.
    pub hung: bool,
    pub(super) up_at: u64,
    pub(super) rented_at: u64,
}

impl Cluster {
    pub(super) fn step_worker(&mut self, id: &MachineId) {
        let now = self.now;
        self.schedule_at(now + 250, SimulationEvent::WorkerStep(id.clone()));
        let Some(worker) = self.workers.get_mut(id).filter(|w| !w.hung) else {
            return;
        };
        if now > worker.last_answered_at + LEASE_MS {
            worker.tasks.clear();
            worker.incarnation += 1;
            worker.sequence = 0;
            worker.last_answered_at = now;
            worker.heartbeat_in_flight = None;
        }
        let mut changed = false;
        let mut started = Vec::new();
        let mut completed = Vec::new();
        for task in worker.tasks.values_mut() {
            if task.state == TaskState::Fetching {
                task.state = TaskState::Running;
                let longer = u64::from(task.task.index % 8) * self.run_spread_ms;
                task.ends_at = now + self.task_run_ms + longer;
                started.push(task.task);
                changed = true;
            } else if task.state == TaskState::Running && now >= task.ends_at {
                let job = self.invariants.jobs.get(&task.task.job);
                let is_service = job.is_some_and(|job| job.kind == JobKind::Service);
                if is_service
                    && !self.faults.ending_services.contains(&task.task.job)
                    && !self.faults.faulty_machines.contains(id)
                {
                    continue;
                }
                let fails = self.faults.failing_jobs.contains(&task.task.job)
                    || self.faults.faulty_machines.contains(id);
                task.state = TaskState::Ended;
                task.reason = Some(if fails {
                    ExitReason::Error
                } else {
                    ExitReason::Done
                });
                if !fails {
                    completed.push(task.task);
                }
                changed = true;
            }
        }
        if changed {
            worker.next_heartbeat_at = worker.next_heartbeat_at.min(now);
        }
        if worker.heartbeat_in_flight.is_none() && now >= worker.next_heartbeat_at {
            worker.next_heartbeat_at = now + HEARTBEAT_INTERVAL_MS;
            let node = worker.controller;
            let heartbeat = Self::heartbeat(id, worker);
            worker.heartbeat_in_flight = Some(heartbeat.sequence);
            let (incarnation, sequence) = (worker.incarnation, heartbeat.sequence);
            let gives_up = SimulationEvent::HeartbeatDeadline(id.clone(), incarnation, sequence);
            self.schedule_at(now + HEARTBEAT_DEADLINE_MS, gives_up);
            if self.faults.heartbeat_copies_for_next_leader {
                self.kept_copies.push(heartbeat.clone());
            }
            for after in self.faults.heartbeat_copies_after_ms.clone() {
                for node in 0..3 {
                    let copy = SimulationEvent::CopyArrives(node, heartbeat.clone());
                    self.schedule_at(now + after, copy);
                }
            }
            let what = SimulationEvent::HeartbeatArrives(node, id.clone(), heartbeat, now);
            let slow_ms = self.faults.slow_heartbeats_ms.get(id).copied();
            let arrives = self.arrival_time(Link::Worker(node)) + slow_ms.unwrap_or_default();
            self.schedule_at(arrives, what);
        }
        if !started.is_empty() {
            let mut invariants = std::mem::take(&mut self.invariants);
            let audit = self.job_audit_with(id, &started);
            for task in &started {
                invariants.started(now, *task, id, &audit);
            }
            self.job_audit = Some(audit);
            self.invariants = invariants;
        }
        let started = started.into_iter().map(|task| (now, task, id.clone()));
        self.task_starts.extend(started);
        for task in completed {
            self.invariants.completed(task);
            if self.invariants.all_done(task.job)
                && self.rng.f64() < self.faults.cancel_at_completion
            {
                self.record_effect("cancel at end");
                let node = self.rng.usize(0..3);
                // The answer to the report that brings the end takes a few ms to become known.
                let ms = self.rng.u64(0..30);
                self.schedule(ms, move |cluster| {
                    cluster.send_cancel(node, task.job);
                });
            }
        }
    }

    pub(super) fn heartbeat(id: &MachineId, worker: &mut Worker) -> Heartbeat {
        worker.sequence += 1;
        Heartbeat {
            machine: id.clone(),
            addr: "10.1.0.1:9000".into(),
            machine_type: "m4".into(),
            zone: worker.zone.clone(),
            spot: worker.spot,
            incarnation: Incarnation(worker.incarnation),
            sequence: worker.sequence,
            fencing_token: worker.fencing_token,
            notice_s: None,
            tasks: worker
                .tasks
                .iter()
                .map(|(attempt, task)| TaskStatus {
                    task: task.task,
                    attempt: *attempt,
                    state: task.state,
                    reason: task.reason,
                    saved: None,
                })
                .collect(),
        }
    }

    /// Whether a worker still waits for the answer to that report.
    pub(super) fn awaits_response(&self, id: &MachineId, incarnation: u64, sequence: u64) -> bool {
        let waits = |worker: &Worker| {
            worker.incarnation == incarnation && worker.heartbeat_in_flight == Some(sequence)
        };
        self.workers.get(id).is_some_and(waits)
    }

    pub(super) fn next_node(&mut self, id: &MachineId) {
        let now = self.now;
        if let Some(worker) = self.workers.get_mut(id) {
            worker.controller = (worker.controller + 1) % 3;
            worker.heartbeat_in_flight = None;
            worker.next_heartbeat_at = now + 1_000;
        }
    }

    pub(super) fn heartbeat_answered(
        &mut self,
        id: &MachineId,
        incarnation: u64,
        sequence: u64,
        sent: u64,
        reply: &HttpResponse,
    ) {
        if let Ok(answer) = serde_json::from_str::<HeartbeatResponse>(&reply.body) {
            self.record_launches(id, &answer.commands);
        }
        let now = self.now;
        if !self.awaits_response(id, incarnation, sequence) {
            return;
        }
        let Some(worker) = self.workers.get_mut(id).filter(|worker| !worker.hung) else {
            return;
        };
        if self.faults.unreachable_machines.contains(id) {
            // The answer is lost; the worker gives up on it after a while.
            worker.heartbeat_in_flight = None;
            self.record_effect("lost answer");
            return;
        }
        worker.heartbeat_in_flight = None;
        match reply.status {
            200 => {
                let answer: HeartbeatResponse = serde_json::from_str(&reply.body).expect("JSON");
                if answer.fencing_token < worker.fencing_token {
                    return;
                }
                if answer.fencing_token > worker.fencing_token {
                    worker.fencing_token = answer.fencing_token;
                    worker.next_heartbeat_at = now + 500;
                }
                worker.last_answered_at = worker.last_answered_at.max(sent);
                for command in &answer.commands {
                    Self::execute(worker, command);
                }
            }
            421 => {
                let to: Redirect = serde_json::from_str(&reply.body).expect("JSON");
                let name = to.report_to.expect("a node").0;
                worker.controller = name[1..].parse().expect("a number");
                worker.next_heartbeat_at = now;
            }
            _ => self.next_node(id),
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
    pub(super) fn record_launches(&mut self, id: &MachineId, commands: &[Command]) {
        self.usage.commands(commands);
        for command in commands {
            let Command::Launch { task, attempt } = command else {
                continue;
            };
            let launch = (*task, id.clone());
            let first = self.launched.entry(*attempt).or_insert(launch.clone());
            if *first != launch {
                let text = format!("attempt {attempt} of {first:?} used again for {launch:?}");
                self.invariants.broke("attempts", &text);
            }
        }
    }

    pub(super) fn execute_commands(&mut self, orders: &DirectCommands) -> Option<Heartbeat> {
        self.record_launches(&orders.machine, &orders.batch.commands);
        if self.faults.unreachable_machines.contains(&orders.machine) {
            return None;
        }
        let worker = self.workers.get_mut(&orders.machine)?;
        if worker.hung {
            return None;
        }
        let (fencing_token, incarnation) = (orders.batch.fencing_token, orders.batch.incarnation.0);
        if fencing_token >= worker.fencing_token && incarnation == worker.incarnation {
            worker.fencing_token = fencing_token;
            for command in &orders.batch.commands {
                Self::execute(worker, command);
            }
        }
        Some(Self::heartbeat(&orders.machine, worker))
    }

    pub(super) fn execute(worker: &mut Worker, command: &Command) {
        match command {
            Command::Launch { task, attempt } => {
                let full = worker
                    .tasks
                    .values()
                    .filter(|t| t.state != TaskState::Ended)
                    .count()
                    >= 4;
                worker.tasks.entry(*attempt).or_insert(Task {
                    task: *task,
                    state: if full {
                        TaskState::Ended
                    } else {
                        TaskState::Fetching
                    },
                    reason: full.then_some(ExitReason::InsufficientResources),
                    ends_at: 0,
                });
            }
            Command::Halt { attempt, .. } => {
                if let Some(task) = worker.tasks.get_mut(attempt) {
                    if task.state != TaskState::Ended {
                        task.state = TaskState::Ended;
                        task.reason = Some(ExitReason::Stopped);
                    }
                }
            }
            Command::Reap { attempt, .. } => {
                if worker
                    .tasks
                    .get(attempt)
                    .is_some_and(|t| t.state == TaskState::Ended)
                {
                    worker.tasks.remove(attempt);
                }
            }
        }
    }
}
