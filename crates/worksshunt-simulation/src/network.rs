//! Execution of controllers' actions, and the requests that await a controller's response.
//!
//! [`Cluster::dispatch`] calls [`Cluster::perform`] for each action. `links.rs` determines a message's delay; its
//! arrival is handled in the file of the receiver.

use std::collections::BTreeMap;

use worksshunt_core::constants::workers::DIRECT_COMMAND_TIMEOUT_MS;
use worksshunt_core::controller::Action;
use worksshunt_core::job_api::{HttpResponse, RequestId};
use worksshunt_core::machines::DirectCommands;
use worksshunt_core::time::Time;
use worksshunt_wire::MachineId;

use crate::events::{ControllerInstance, KeyValueCaller, SentHeartbeat, SimulationEvent};
use crate::invariants::UserRequest;
use crate::links::Link;
use crate::Cluster;

/// Processing time of a cloud request, ms, in addition to the network delay.
const CLOUD_PROCESSING_MS: u64 = 100;

/// The origin of a request to a controller, to which the response is delivered.
pub(crate) enum PendingRequest {
    /// A user's request; `slot` is the index of its response.
    User { slot: usize, request: UserRequest },
    /// A worker's heartbeat.
    Heartbeat(SentHeartbeat),
    /// A request from another controller.
    Peer(ControllerInstance),
}

/// Identifies a request by its receiver and number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct ReceivedRequest {
    pub(crate) receiver: ControllerInstance,
    pub(crate) id: RequestId,
}

/// Requests that controllers have received and not responded to yet.
#[derive(Default)]
pub(crate) struct PendingRequests {
    last_id: u64,
    requests: BTreeMap<ReceivedRequest, PendingRequest>,
}

impl PendingRequests {
    /// Returns a request id that is unique in the cluster.
    pub(crate) fn next_id(&mut self) -> RequestId {
        self.last_id += 1;
        RequestId(self.last_id)
    }

    pub(crate) fn insert(
        &mut self,
        receiver: ControllerInstance,
        id: RequestId,
        request: PendingRequest,
    ) {
        self.requests
            .insert(ReceivedRequest { receiver, id }, request);
    }

    pub(crate) fn remove(
        &mut self,
        receiver: ControllerInstance,
        id: RequestId,
    ) -> Option<PendingRequest> {
        self.requests.remove(&ReceivedRequest { receiver, id })
    }

    /// Removes a peer's request and returns whether it was pending.
    pub(crate) fn remove_peer_request(&mut self, from: ControllerInstance, id: RequestId) -> bool {
        let is_request = |(key, request): &(&ReceivedRequest, &PendingRequest)| {
            key.id == id && matches!(request, PendingRequest::Peer(sender) if *sender == from)
        };
        let key = self.requests.iter().find(is_request).map(|(key, _)| *key);
        key.is_some_and(|key| self.requests.remove(&key).is_some())
    }
}

impl Cluster {
    /// Performs an action that a controller returned. `clock` is the controller's clock at that time.
    pub(crate) fn perform(&mut self, from: ControllerInstance, clock: Time, action: Action) {
        if let Some(digest) = &mut self.digest {
            digest.add_sent(self.now, from.index, &action);
        }
        match action {
            Action::CallKeyValueStore {
                purpose,
                request,
                timeout_ms,
            } => {
                let caller = KeyValueCaller {
                    instance: from,
                    purpose,
                    sent_at: clock,
                    deadline_at: self.now + timeout_ms,
                };
                let arrives_at = self.arrival_time(Link::Other);
                let arrival = SimulationEvent::KeyValueRequestArrives { caller, request };
                self.schedule_at(arrives_at, arrival);
            }
            Action::CallCloud(request) => {
                let arrives_at = self.arrival_time(Link::Other) + CLOUD_PROCESSING_MS;
                let arrival = SimulationEvent::CloudRequestArrives { from, request };
                self.schedule_at(arrives_at, arrival);
            }
            Action::SendDirectCommands(commands) => self.send_commands(from, commands),
            Action::SendToPeer(to, request) => self.send_to_peer(from, &to, request),
            Action::RespondToPeer(request, response) => {
                self.respond_to_peer(from, request, response);
            }
            Action::Respond(request, response) => self.respond(from, request, response),
        }
    }

    fn send_commands(&mut self, from: ControllerInstance, commands: DirectCommands) {
        self.usage.command_requests += 1;
        let deadline_at = self.now + DIRECT_COMMAND_TIMEOUT_MS;
        let arrives_at = self.arrival_time(Link::Worker(from.index));
        if arrives_at > deadline_at {
            self.commands_timed_out(from, commands.clone(), deadline_at);
            let from = from.index;
            let arrival = SimulationEvent::CommandsArriveAfterDeadline { from, commands };
            self.schedule_at(arrives_at, arrival);
        } else {
            let arrival = SimulationEvent::CommandsArrive {
                from,
                commands,
                deadline_at,
            };
            self.schedule_at(arrives_at, arrival);
        }
    }

    /// Sends a response to a user's request or to a worker's heartbeat.
    fn respond(&mut self, from: ControllerInstance, request: RequestId, response: HttpResponse) {
        match self.pending_requests.remove(from, request) {
            Some(PendingRequest::User { slot, request }) => {
                self.user_response_arrives(slot, &request, response);
            }
            Some(PendingRequest::Heartbeat(to)) => {
                let arrives_at = self.arrival_time(Link::Worker(from.index));
                let arrival = SimulationEvent::HeartbeatResponseArrives { to, response };
                self.schedule_at(arrives_at, arrival);
            }
            Some(PendingRequest::Peer(_)) | None => {}
        }
    }

    /// Returns whether a controller is inside the zone that is cut off from the rest of the network.
    pub(crate) fn is_in_partitioned_zone(&self, controller: usize) -> bool {
        let partition = self.faults.partitioned_zone.as_ref();
        partition.is_some_and(|partition| partition.controllers.contains(&controller))
    }

    /// Returns whether a machine and a controller are on the same side of a zone partition, if there is one.
    pub(crate) fn is_linked(&self, id: &MachineId, controller: usize) -> bool {
        let Some(partition) = &self.faults.partitioned_zone else {
            return true;
        };
        let in_zone = self
            .workers
            .get(id)
            .is_some_and(|worker| worker.zone == partition.zone);
        in_zone == partition.controllers.contains(&controller)
    }
}
