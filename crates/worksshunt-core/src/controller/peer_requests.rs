//! Processing of requests from the other controllers.

use worksshunt_wire::peer::{PeerRequest, PeerResponse};

use crate::job_api::RequestId;
use crate::time::{Budget, Now};

use super::{Action, Controller};

impl Controller {
    pub(super) fn handle_peer_request(
        &mut self,
        now: Now,
        request: RequestId,
        peer_request: PeerRequest,
        budget: &Budget,
        actions: &mut Vec<Action>,
    ) {
        let response = match peer_request {
            PeerRequest::Sync(status) => match self.apply_partition_status(now, status, budget) {
                Some(directives) => PeerResponse::Sync(directives),
                None => PeerResponse::NotLeader,
            },
            PeerRequest::KeyValueHealth => {
                PeerResponse::KeyValueHealth(self.store_health.is_reachable(now.steady))
            }
            PeerRequest::EpochPoll { poll_number } => {
                PeerResponse::EpochPoll(self.epoch_poll_response(now.steady, poll_number))
            }
        };
        actions.push(Action::RespondToPeer(request, response));
    }
}
