//! Delivery of requests and responses between controllers.

use worksshunt_core::constants::partition_sync::{MAX_FRAME_BYTES, SYNC_TIMEOUT_MS};
use worksshunt_core::controller::Event;
use worksshunt_core::job_api::RequestId;
use worksshunt_wire::peer::{PeerRequest, PeerResponse};
use worksshunt_wire::ControllerName;

use crate::events::{ControllerInstance, SimulationEvent};
use crate::links::Link;
use crate::network::PendingRequest;
use crate::Cluster;

impl Cluster {
    pub(crate) fn send_to_peer(
        &mut self,
        from: ControllerInstance,
        to: &ControllerName,
        request: PeerRequest,
    ) {
        let to: usize = to.0[1..].parse().expect("a number");
        let id = self.pending_requests.next_id();
        if let PeerRequest::Sync(_) = request {
            let deadline_at = self.now + SYNC_TIMEOUT_MS;
            self.schedule_at(deadline_at, SimulationEvent::PeerDeadline { from, id });
            if self.usage.count_sync(&request) > MAX_FRAME_BYTES {
                // The receiver rejects an oversized frame without a response.
                self.usage.frames_dropped += 1;
                self.deliver_at(deadline_at, from, Event::PeerSyncResponse(None));
                return;
            }
        }
        let arrives_at = self.arrival_time(Link::Other);
        let arrival = SimulationEvent::PeerRequestArrives {
            from,
            to,
            id,
            request,
        };
        self.schedule_at(arrives_at, arrival);
    }

    pub(crate) fn peer_request_arrives(
        &mut self,
        from: ControllerInstance,
        to: usize,
        id: RequestId,
        request: PeerRequest,
    ) {
        let cut_off = &self.faults.cut_from_peers;
        let is_reachable = !cut_off.contains(&from.index)
            && !cut_off.contains(&to)
            && self.is_in_partitioned_zone(from.index) == self.is_in_partitioned_zone(to);
        let Some(receiver) = self.current_instance(to).filter(|_| is_reachable) else {
            if let PeerRequest::Sync(_) = request {
                let deadline_at = self.now + SYNC_TIMEOUT_MS;
                self.deliver_at(deadline_at, from, Event::PeerSyncResponse(None));
            }
            return;
        };
        self.repeat_peer_request_later(to, &request);
        self.pending_requests
            .insert(receiver, id, PendingRequest::Peer(from));
        self.dispatch(receiver, Event::PeerRequest(id, request));
    }

    /// Schedules a repetition of a request, according to the faults.
    fn repeat_peer_request_later(&mut self, to: usize, request: &PeerRequest) {
        let Some(repeated) = self.faults.repeated_peer_requests else {
            return;
        };
        if self.rng.f64() >= repeated.share {
            return;
        }
        let delay_ms = repeated.delay.draw(&mut self.rng);
        let request = request.clone();
        let arrival = SimulationEvent::PeerRequestArrivesAgain { to, request };
        self.schedule_at(self.now + delay_ms, arrival);
    }

    /// Delivers a repetition, whose response is discarded.
    pub(crate) fn peer_request_arrives_again(&mut self, to: usize, request: PeerRequest) {
        if let Some(receiver) = self.current_instance(to) {
            self.record_effect("repeated peer request");
            let id = self.pending_requests.next_id();
            self.dispatch(receiver, Event::PeerRequest(id, request));
        }
    }

    pub(crate) fn respond_to_peer(
        &mut self,
        from: ControllerInstance,
        request: RequestId,
        response: PeerResponse,
    ) {
        let pending = self.pending_requests.remove(from, request);
        let Some(PendingRequest::Peer(to)) = pending else {
            return;
        };
        let event = match response {
            PeerResponse::KeyValueHealth(healthy) => Event::PeerKeyValueHealth(healthy),
            PeerResponse::EpochPoll(poll_response) => Event::PeerEpochPollResponse(
                format!("n{}", from.index).as_str().into(),
                poll_response,
            ),
            response => Event::PeerSyncResponse(Some(response)),
        };
        let arrives_at = self.arrival_time(Link::Other);
        self.deliver_at(arrives_at, to, event);
    }

    /// Notifies the sender of a sync request that no response arrived in time.
    pub(crate) fn peer_deadline(&mut self, from: ControllerInstance, id: RequestId) {
        if self.pending_requests.remove_peer_request(from, id) {
            self.dispatch(from, Event::PeerSyncResponse(None));
        }
    }
}
