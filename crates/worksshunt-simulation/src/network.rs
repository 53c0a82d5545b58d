//! What passes between controllers, services and workers, and when.

use worksshunt_core::constants::partition_sync::{MAX_FRAME_BYTES, SYNC_DEADLINE_MS};
use worksshunt_core::constants::timers::TICK_MS;
use worksshunt_core::constants::workers::DIRECT_COMMAND_DEADLINE_MS;
use worksshunt_core::controller::{Action, Event, KvRequest};
use worksshunt_core::job_api::RequestId;
use worksshunt_core::machines::DirectCommandsOutcome;
use worksshunt_core::time::Time;
use worksshunt_wire::peer::{PeerRequest, PeerResponse};
use worksshunt_wire::MachineId;

use super::*;

impl Cluster {
    pub(super) fn perform(&mut self, node: usize, incarnation: u64, steady: Time, action: Action) {
        if let Some(digest) = &mut self.digest {
            digest.sent(self.now, node, &action);
        }
        match action {
            Action::CallKeyValueStore(tag, op, deadline_ms) => {
                let what = SimulationEvent::KeyValueRequestArrives(
                    node,
                    incarnation,
                    tag,
                    op,
                    steady,
                    self.now + deadline_ms,
                );
                let arrives = self.arrival_time(Link::Other);
                self.schedule_at(arrives, what);
            }
            Action::CallCloud(request) => {
                let arrives = self.arrival_time(Link::Other) + 100;
                self.schedule_at(
                    arrives,
                    SimulationEvent::CloudRequestArrives(node, incarnation, request),
                );
            }
            Action::SendCommands(orders) => {
                self.usage.orders += 1;
                let until = self.now + DIRECT_COMMAND_DEADLINE_MS;
                let arrives = self.arrival_time(Link::Worker(node));
                if arrives > until {
                    self.commands_timed_out(node, incarnation, orders.clone(), until);
                    self.schedule_at(arrives, SimulationEvent::LateCommandsArrive(node, orders));
                } else {
                    self.schedule_at(
                        arrives,
                        SimulationEvent::CommandsArrive(node, incarnation, orders, until),
                    );
                }
            }
            Action::SendToPeer(to, request) => {
                let to: usize = to.0[1..].parse().expect("a number");
                let id = self.request();
                if let PeerRequest::Sync(_) = request {
                    let silence = SimulationEvent::PeerDeadline(node, incarnation, id.0);
                    self.schedule_at(self.now + SYNC_DEADLINE_MS, silence);
                    if self.usage.sync(&request) > MAX_FRAME_BYTES {
                        // Its reader refuses it, and it is not answered.
                        self.usage.frames_dropped += 1;
                        let event = Box::new(Event::PeerResponse(None));
                        let when = self.now + SYNC_DEADLINE_MS;
                        self.schedule_at(when, SimulationEvent::Dispatch(node, incarnation, event));
                        return;
                    }
                }
                let arrives = self.arrival_time(Link::Other);
                self.schedule_at(
                    arrives,
                    SimulationEvent::PeerRequestArrives(node, incarnation, to, id, request),
                );
            }
            Action::RespondToPeer(request, answer) => {
                self.answer_peer(node, incarnation, request, answer)
            }
            Action::Respond(request, reply) => {
                match self.pending_requests.remove(&(node, incarnation, request)) {
                    Some(PendingRequest::User(slot, question)) => {
                        self.user_answered(slot, &question, reply)
                    }
                    Some(PendingRequest::Heartbeat(machine, incarnation, sequence, sent)) => {
                        let arrives = self.arrival_time(Link::Worker(node));
                        let what = SimulationEvent::HeartbeatResponseArrives(
                            machine,
                            incarnation,
                            sequence,
                            sent,
                            reply,
                        );
                        self.schedule_at(arrives, what);
                    }
                    _ => {}
                }
            }
        }
    }

    pub(super) fn node_in_cut_zone(&self, node: usize) -> bool {
        let cut = self.faults.partitioned_zone.as_ref();
        cut.is_some_and(|(_, inside)| inside.contains(&node))
    }

    /// Whether packets pass between a machine and a controller.
    pub(super) fn linked(&self, id: &MachineId, node: usize) -> bool {
        let Some((zone, inside)) = &self.faults.partitioned_zone else {
            return true;
        };
        let in_zone = self.workers.get(id).is_some_and(|w| w.zone == *zone);
        in_zone == inside.contains(&node)
    }

    /// A controller hears by its deadline that its orders were not answered.
    fn commands_timed_out(
        &mut self,
        node: usize,
        incarnation: u64,
        orders: DirectCommands,
        until: u64,
    ) {
        let event = Box::new(Event::CommandsAnswered(
            orders,
            DirectCommandsOutcome::NoAnswer,
        ));
        self.schedule_at(until, SimulationEvent::Dispatch(node, incarnation, event));
    }

    pub(super) fn answer_peer(
        &mut self,
        node: usize,
        incarnation: u64,
        request: RequestId,
        answer: PeerResponse,
    ) {
        if let Some(PendingRequest::Peer(asker, asker_life, _)) =
            self.pending_requests.remove(&(node, incarnation, request))
        {
            let event = Box::new(match answer {
                PeerResponse::KeyValueHealth(well) => Event::PeerKeyValueHealth(well),
                PeerResponse::KnownEpoch(known) => {
                    Event::PeerKnownEpoch(format!("n{node}").as_str().into(), known)
                }
                answer => Event::PeerResponse(Some(answer)),
            });
            let what = SimulationEvent::Dispatch(asker, asker_life, event);
            let arrives = self.arrival_time(Link::Other);
            self.schedule_at(arrives, what);
        }
    }

    pub(super) fn apply_event(&mut self, what: SimulationEvent) {
        match what {
            SimulationEvent::Tick(node, incarnation) => {
                let alive = self.nodes[node]
                    .as_ref()
                    .is_some_and(|n| n.incarnation == incarnation);
                if alive {
                    self.dispatch(node, incarnation, Event::Tick);
                    self.schedule_at(self.now + TICK_MS, SimulationEvent::Tick(node, incarnation));
                }
            }
            SimulationEvent::Dispatch(node, incarnation, event) => {
                self.dispatch(node, incarnation, *event)
            }
            SimulationEvent::KeyValueRequestArrives(node, incarnation, tag, op, sent, until) => {
                self.key_value_request(node, incarnation, tag, op, sent, until);
            }
            SimulationEvent::CloudRequestArrives(node, incarnation, request) => {
                let reply = self.cloud_request(&request);
                let event = Box::new(Event::CloudResponse(request, reply));
                let arrives = self.arrival_time(Link::Other);
                self.schedule_at(arrives, SimulationEvent::Dispatch(node, incarnation, event));
            }
            SimulationEvent::PeerRequestArrives(node, incarnation, to, id, request) => {
                let cut = &self.faults.cut_from_peers;
                let reached = !cut.contains(&node)
                    && !cut.contains(&to)
                    && self.node_in_cut_zone(node) == self.node_in_cut_zone(to);
                let to_life = self.nodes[to].as_ref().map(|n| n.incarnation);
                let Some(to_life) = to_life.filter(|_| reached) else {
                    if let PeerRequest::Sync(_) = request {
                        let event = Box::new(Event::PeerResponse(None));
                        let when = self.now + SYNC_DEADLINE_MS;
                        self.schedule_at(when, SimulationEvent::Dispatch(node, incarnation, event));
                    }
                    return;
                };
                self.pending_requests.insert(
                    (to, to_life, id),
                    PendingRequest::Peer(node, incarnation, id.0),
                );
                self.dispatch(to, to_life, Event::PeerRequest(id, request));
            }
            SimulationEvent::PeerDeadline(node, incarnation, id) => {
                let lost = self
                    .pending_requests
                    .iter()
                    .find(|(_, w)| matches!(w, PendingRequest::Peer(n, l, i) if (*n, *l, *i) == (node, incarnation, id)))
                    .map(|(key, _)| *key);
                if let Some(key) = lost {
                    self.pending_requests.remove(&key);
                    self.dispatch(node, incarnation, Event::PeerResponse(None));
                }
            }
            SimulationEvent::CommandsArrive(node, incarnation, orders, until) => {
                self.commands_sent_to.push(orders.machine.clone());
                let linked = self.linked(&orders.machine, node);
                let reply = if self.faults.cut_from_workers.contains(&node) || !linked {
                    DirectCommandsOutcome::NoAnswer
                } else if self.faults.hold_commands {
                    self.held_commands.push(orders.clone());
                    DirectCommandsOutcome::NoAnswer
                } else {
                    match self.execute_commands(&orders) {
                        Some(heartbeat) => DirectCommandsOutcome::Answered(heartbeat),
                        None => DirectCommandsOutcome::NoAnswer,
                    }
                };
                let arrives = self.arrival_time(Link::Worker(node));
                if arrives > until {
                    self.commands_timed_out(node, incarnation, orders, until);
                } else {
                    let event = Box::new(Event::CommandsAnswered(orders, reply));
                    self.schedule_at(arrives, SimulationEvent::Dispatch(node, incarnation, event));
                }
            }
            SimulationEvent::LateCommandsArrive(node, orders) => {
                let reached = !self.faults.cut_from_workers.contains(&node);
                if reached && self.linked(&orders.machine, node) {
                    self.record_effect("late orders");
                    self.execute_commands(&orders);
                }
            }
            SimulationEvent::WorkerStep(id) => self.step_worker(&id),
            SimulationEvent::HeartbeatArrives(node, id, heartbeat, sent) => {
                if self.faults.hold_heartbeats.contains(&id) {
                    self.held_heartbeats.push(heartbeat);
                    return;
                }
                if self.faults.silent_machines.contains(&id) || !self.linked(&id, node) {
                    self.record_effect("unheard report");
                    return;
                }
                let reached = !self.faults.cut_from_workers.contains(&node);
                let Some(incarnation) = self.nodes[node]
                    .as_ref()
                    .map(|n| n.incarnation)
                    .filter(|_| reached)
                else {
                    if self.awaits_response(&id, heartbeat.incarnation.0, heartbeat.sequence) {
                        self.next_node(&id);
                    }
                    return;
                };
                let request = self.request();
                let waiting = PendingRequest::Heartbeat(
                    id,
                    heartbeat.incarnation.0,
                    heartbeat.sequence,
                    sent,
                );
                self.pending_requests
                    .insert((node, incarnation, request), waiting);
                let body = serde_json::to_vec(&heartbeat).expect("JSON");
                self.dispatch(node, incarnation, Event::Heartbeat(request, body));
            }
            SimulationEvent::CopyArrives(node, heartbeat) => {
                if let Some(incarnation) = self.nodes[node].as_ref().map(|n| n.incarnation) {
                    self.record_effect("copy");
                    let request = self.request();
                    let body = serde_json::to_vec(&heartbeat).expect("JSON");
                    self.dispatch(node, incarnation, Event::Heartbeat(request, body));
                }
            }
            SimulationEvent::HeartbeatResponseArrives(id, incarnation, sequence, sent, reply) => {
                self.heartbeat_answered(&id, incarnation, sequence, sent, &reply);
            }
            SimulationEvent::HeartbeatDeadline(id, incarnation, sequence) => {
                let hung = self.workers.get(&id).map(|worker| worker.hung);
                match hung.filter(|_| self.awaits_response(&id, incarnation, sequence)) {
                    // It notices when it goes on.
                    Some(true) => {
                        self.schedule_at(
                            self.now + LOOK_MS,
                            SimulationEvent::HeartbeatDeadline(id, incarnation, sequence),
                        );
                    }
                    Some(false) => self.next_node(&id),
                    None => {}
                }
            }
            SimulationEvent::LateWriteArrives(write) => {
                self.record_effect("late write");
                self.key_value_store
                    .apply(self.now, &KvRequest::CompareAndSwap(write));
                self.wake_watches();
            }
            SimulationEvent::Inspect => self.inspect(),
            SimulationEvent::RunAction(scene) => scene(self),
        }
    }
}
