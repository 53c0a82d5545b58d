//! Delivery of heartbeats and copies of them to controllers, and of the responses to workers.

use worksshunt_core::controller::Event;
use worksshunt_core::job_api::HttpResponse;
use worksshunt_wire::worker::{Heartbeat, HeartbeatResponse, Redirect};
use worksshunt_wire::MachineId;

use crate::events::{ControllerInstance, SentHeartbeat, SimulationEvent};
use crate::links::Link;
use crate::network::PendingRequest;
use crate::worker::{JobSpecs, Relaunch, Worker};
use crate::{Cluster, CONTROLLER_COUNT, HEARTBEAT_TIMEOUT_MS, INSPECTION_INTERVAL_MS, LEASE_MS};

/// Delay of a worker's next heartbeat after it has seen a higher fencing token, ms.
const HIGHER_TOKEN_HEARTBEAT_DELAY_MS: u64 = 500;
/// Delay before a worker tries the next controller, ms.
const NEXT_CONTROLLER_DELAY_MS: u64 = 1_000;

/// HTTP status of a heartbeat response with commands.
const STATUS_OK: u16 = 200;
/// HTTP status of a redirect to another controller.
const STATUS_MISDIRECTED: u16 = 421;

impl Cluster {
    /// Sends a heartbeat to a controller, and schedules copies of it according to the faults.
    pub(crate) fn send_heartbeat(&mut self, controller: usize, heartbeat: Heartbeat) {
        let now = self.now;
        let sent = SentHeartbeat {
            machine: heartbeat.machine.clone(),
            incarnation: heartbeat.incarnation.0,
            sequence: heartbeat.sequence,
            sent_at: now,
        };
        let slow_ms = self.faults.heartbeats.slow_ms.get(&sent.machine).copied();
        let deadline = SimulationEvent::HeartbeatDeadline(sent);
        self.schedule_at(now + HEARTBEAT_TIMEOUT_MS, deadline);
        if self.faults.heartbeats.is_copied_for_next_leader {
            self.copies_for_next_leader.push(heartbeat.clone());
        }
        for after_ms in self.faults.heartbeats.copies_after_ms.clone() {
            self.schedule_copies(now + after_ms, &heartbeat);
        }
        let arrives_at = self.arrival_time(Link::Worker(controller)) + slow_ms.unwrap_or_default();
        let arrival = SimulationEvent::HeartbeatArrives {
            to: controller,
            heartbeat,
            sent_at: now,
        };
        self.schedule_at(arrives_at, arrival);
    }

    /// Schedules the delivery of a copy of a heartbeat to each controller.
    fn schedule_copies(&mut self, due_at: u64, heartbeat: &Heartbeat) {
        for to in 0..CONTROLLER_COUNT {
            let heartbeat = heartbeat.clone();
            self.schedule_at(
                due_at,
                SimulationEvent::HeartbeatCopyArrives { to, heartbeat },
            );
        }
    }

    /// Delivers the copies for the next leader to all controllers once a new epoch has begun.
    pub(crate) fn deliver_copies_to_next_leader(&mut self) {
        let epoch = self.epoch();
        if epoch == self.copies_epoch {
            return;
        }
        self.copies_epoch = epoch;
        for heartbeat in std::mem::take(&mut self.copies_for_next_leader) {
            for _ in 0..CONTROLLER_COUNT {
                self.record_effect("copy for the next leader");
            }
            self.schedule_copies(self.now, &heartbeat);
        }
    }

    pub(crate) fn heartbeat_arrives(&mut self, to: usize, heartbeat: Heartbeat, sent_at: u64) {
        let id = heartbeat.machine.clone();
        if self.faults.heartbeats.held_from.contains(&id) {
            self.held_heartbeats.push(heartbeat);
            return;
        }
        if self.faults.heartbeats.lost_from.contains(&id) || !self.is_linked(&id, to) {
            self.record_effect("lost heartbeat");
            return;
        }
        let sent = SentHeartbeat {
            machine: id,
            incarnation: heartbeat.incarnation.0,
            sequence: heartbeat.sequence,
            sent_at,
        };
        let is_reachable = !self.faults.cut_from_workers.contains(&to);
        let Some(receiver) = self.current_instance(to).filter(|_| is_reachable) else {
            if self.awaits_response(&sent) {
                self.try_next_controller(&sent.machine);
            }
            return;
        };
        self.dispatch_heartbeat(receiver, &heartbeat, Some(PendingRequest::Heartbeat(sent)));
    }

    /// Delivers a copy of a heartbeat, whose response is discarded.
    pub(crate) fn heartbeat_copy_arrives(&mut self, to: usize, heartbeat: &Heartbeat) {
        if let Some(receiver) = self.current_instance(to) {
            self.record_effect("heartbeat copy");
            self.dispatch_heartbeat(receiver, heartbeat, None);
        }
    }

    fn dispatch_heartbeat(
        &mut self,
        to: ControllerInstance,
        heartbeat: &Heartbeat,
        pending: Option<PendingRequest>,
    ) {
        let request = self.pending_requests.next_id();
        if let Some(pending) = pending {
            self.pending_requests.insert(to, request, pending);
        }
        let body = serde_json::to_vec(heartbeat).expect("JSON");
        self.dispatch(
            to,
            Event::Heartbeat {
                request_id: request,
                body,
            },
        );
    }

    /// Handles the timeout of a worker's heartbeat. A worker that hangs handles it after it resumes.
    pub(crate) fn heartbeat_deadline(&mut self, sent: SentHeartbeat) {
        let is_hung = self.workers.get(&sent.machine).map(|worker| worker.is_hung);
        match is_hung.filter(|_| self.awaits_response(&sent)) {
            Some(true) => {
                let check_at = self.now + INSPECTION_INTERVAL_MS;
                self.schedule_at(check_at, SimulationEvent::HeartbeatDeadline(sent));
            }
            Some(false) => self.try_next_controller(&sent.machine),
            None => {}
        }
    }

    /// Returns whether a worker still awaits the response to a heartbeat.
    fn awaits_response(&self, sent: &SentHeartbeat) -> bool {
        let awaits = |worker: &Worker| {
            worker.incarnation == sent.incarnation
                && worker.heartbeat_in_flight == Some(sent.sequence)
        };
        self.workers.get(&sent.machine).is_some_and(awaits)
    }

    fn try_next_controller(&mut self, id: &MachineId) {
        let now = self.now;
        if let Some(worker) = self.workers.get_mut(id) {
            worker.controller = (worker.controller + 1) % CONTROLLER_COUNT;
            worker.heartbeat_in_flight = None;
            worker.next_heartbeat_at = now + NEXT_CONTROLLER_DELAY_MS;
        }
    }

    pub(crate) fn heartbeat_response_arrives(
        &mut self,
        sent: &SentHeartbeat,
        response: &HttpResponse,
    ) {
        let id = &sent.machine;
        if let Ok(body) = serde_json::from_str::<HeartbeatResponse>(&response.body) {
            self.record_launches(id, &body.commands);
        }
        let now = self.now;
        if !self.awaits_response(sent) {
            return;
        }
        let Some(worker) = self.workers.get_mut(id).filter(|worker| !worker.is_hung) else {
            return;
        };
        worker.heartbeat_in_flight = None;
        if self.faults.unreachable_machines.contains(id) {
            // The worker sends its next heartbeat at the regular interval.
            self.record_effect("lost response");
            return;
        }
        match response.status {
            STATUS_OK => {
                let body: HeartbeatResponse = serde_json::from_str(&response.body).expect("JSON");
                let jobs = &self.invariants.jobs;
                let relaunched = worker.accept_response(now, sent.sent_at, &body, jobs);
                self.record_relaunches(id, relaunched);
            }
            STATUS_MISDIRECTED => {
                let redirect: Redirect = serde_json::from_str(&response.body).expect("JSON");
                let name = redirect.controller.expect("a controller").0;
                worker.controller = name[1..].parse().expect("a number");
                worker.next_heartbeat_at = now;
            }
            _ => self.try_next_controller(id),
        }
    }

    /// Delivers a copy of a heartbeat to a controller.
    pub fn deliver_heartbeat_copy(&mut self, controller: usize, heartbeat: Heartbeat) {
        let to = controller;
        let arrival = SimulationEvent::HeartbeatCopyArrives { to, heartbeat };
        self.schedule_at(self.now, arrival);
        self.run(10);
    }

    /// Creates a machine's next heartbeat without sending it.
    ///
    /// # Panics
    ///
    /// The machine does not exist.
    pub fn next_heartbeat_of(&mut self, id: &MachineId) -> Heartbeat {
        let worker = self.workers.get_mut(id).expect("a worker");
        worker.next_heartbeat(id)
    }

    /// Delivers the held-back heartbeats to the given controllers and returns their number.
    pub fn release_heartbeats(&mut self, controllers: &[usize]) -> usize {
        let held_heartbeats = std::mem::take(&mut self.held_heartbeats);
        for heartbeat in &held_heartbeats {
            for to in controllers {
                self.record_effect("held heartbeat");
                let arrival = SimulationEvent::HeartbeatCopyArrives {
                    to: *to,
                    heartbeat: heartbeat.clone(),
                };
                self.schedule_at(self.now, arrival);
            }
        }
        held_heartbeats.len()
    }
}

impl Worker {
    /// A higher token counts as a change at most once in half of the lease.
    fn hasten_heartbeat_for_token(&mut self, now: u64) {
        if now >= self.token_hastens_heartbeat_from {
            self.token_hastens_heartbeat_from = now + LEASE_MS / 2;
            self.next_heartbeat_at = now + HIGHER_TOKEN_HEARTBEAT_DELAY_MS;
        }
    }

    /// Renews the lease and executes the commands, unless the fencing token is stale. Returns the launches of reaped
    /// attempts.
    fn accept_response(
        &mut self,
        now: u64,
        sent_at: u64,
        response: &HeartbeatResponse,
        jobs: &JobSpecs,
    ) -> Vec<Relaunch> {
        if response.fencing_token < self.fencing_token {
            return Vec::new();
        }
        if response.fencing_token > self.fencing_token {
            self.fencing_token = response.fencing_token;
            self.hasten_heartbeat_for_token(now);
        }
        self.lease_renewed_at = self.lease_renewed_at.max(sent_at);
        let commands = response.commands.iter();
        commands
            .filter_map(|command| self.execute(command, jobs))
            .collect()
    }
}
