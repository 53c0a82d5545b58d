//! Messages that controllers send: what each of their actions puts on its way, and the requests that wait for a
//! response of a controller.
//!
//! [`Cluster::dispatch`] calls [`Cluster::perform`] for each action. How long a message takes is in `links.rs`; what
//! happens on its arrival is in the file of its receiver.

use std::collections::BTreeMap;

use worksshunt_core::constants::workers::DIRECT_COMMAND_TIMEOUT_MS;
use worksshunt_core::controller::Action;
use worksshunt_core::job_api::{HttpResponse, RequestId};
use worksshunt_core::machines::DirectCommands;
use worksshunt_core::time::Time;
use worksshunt_wire::MachineId;

use crate::events::{ControllerRun, KeyValueCaller, SentHeartbeat, SimulationEvent};
use crate::invariants::JobQuery;
use crate::links::Link;
use crate::Cluster;

/// How long the cloud takes beside the time on the network, ms.
const CLOUD_PROCESSING_MS: u64 = 100;

/// Who waits for a controller's response to a request.
pub(crate) enum PendingRequest {
    /// A user; the response goes to this slot.
    User { slot: usize, query: JobQuery },
    /// A worker.
    Heartbeat(SentHeartbeat),
    /// Another controller.
    Peer(ControllerRun),
}

/// A request that a controller has received.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct ReceivedRequest {
    pub(crate) by: ControllerRun,
    pub(crate) id: RequestId,
}

/// Requests that controllers have received and not responded to.
#[derive(Default)]
pub(crate) struct PendingRequests {
    last_id: u64,
    waiting: BTreeMap<ReceivedRequest, PendingRequest>,
}

impl PendingRequests {
    /// An identifier that no other request of the cluster has.
    pub(crate) fn next_id(&mut self) -> RequestId {
        self.last_id += 1;
        RequestId(self.last_id)
    }

    pub(crate) fn insert(&mut self, by: ControllerRun, id: RequestId, request: PendingRequest) {
        self.waiting.insert(ReceivedRequest { by, id }, request);
    }

    pub(crate) fn remove(&mut self, by: ControllerRun, id: RequestId) -> Option<PendingRequest> {
        self.waiting.remove(&ReceivedRequest { by, id })
    }

    /// Removes the request with that identifier that a peer sent; whether it was there.
    pub(crate) fn remove_peer_request(&mut self, from: ControllerRun, id: RequestId) -> bool {
        let sent_by_peer = |(key, request): &(&ReceivedRequest, &PendingRequest)| {
            key.id == id && matches!(request, PendingRequest::Peer(sender) if *sender == from)
        };
        let found = self.waiting.iter().find(sent_by_peer).map(|(key, _)| *key);
        found.is_some_and(|key| self.waiting.remove(&key).is_some())
    }
}

impl Cluster {
    /// Carries out what a controller has decided. `clock` is its own time when it did.
    pub(crate) fn perform(&mut self, from: ControllerRun, clock: Time, action: Action) {
        if let Some(digest) = &mut self.digest {
            digest.sent(self.now, from.index, &action);
        }
        match action {
            Action::CallKeyValueStore {
                purpose,
                request,
                deadline_ms,
            } => {
                let caller = KeyValueCaller {
                    run: from,
                    purpose,
                    sent_at: clock,
                    deadline_at: self.now + deadline_ms,
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
            Action::SendCommands(commands) => self.send_commands(from, commands),
            Action::SendToPeer(to, request) => self.send_to_peer(from, &to, request),
            Action::RespondToPeer(request, answer) => self.respond_to_peer(from, request, answer),
            Action::Respond(request, response) => self.respond(from, request, response),
        }
    }

    fn send_commands(&mut self, from: ControllerRun, commands: DirectCommands) {
        self.usage.command_requests += 1;
        let deadline_at = self.now + DIRECT_COMMAND_TIMEOUT_MS;
        let arrives_at = self.arrival_time(Link::Worker(from.index));
        if arrives_at > deadline_at {
            self.commands_timed_out(from, commands.clone(), deadline_at);
            let from = from.index;
            let arrival = SimulationEvent::LateCommandsArrive { from, commands };
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

    /// A response to a user or to a worker's heartbeat.
    fn respond(&mut self, from: ControllerRun, request: RequestId, response: HttpResponse) {
        match self.pending_requests.remove(from, request) {
            Some(PendingRequest::User { slot, query }) => {
                self.user_answered(slot, &query, response);
            }
            Some(PendingRequest::Heartbeat(to)) => {
                let arrives_at = self.arrival_time(Link::Worker(from.index));
                let arrival = SimulationEvent::HeartbeatResponseArrives { to, response };
                self.schedule_at(arrives_at, arrival);
            }
            Some(PendingRequest::Peer(_)) | None => {}
        }
    }

    /// Whether a controller is inside a zone that is partitioned from the rest.
    pub(crate) fn is_in_partitioned_zone(&self, controller: usize) -> bool {
        let partition = self.faults.partitioned_zone.as_ref();
        partition.is_some_and(|partition| partition.controllers.contains(&controller))
    }

    /// Whether a partition of a zone lets packets pass between a machine and a controller.
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
