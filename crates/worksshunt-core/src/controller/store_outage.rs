//! Outages of the key-value store: whether it answers this controller and its peers, and the polls by which the
//! peers confirm the epoch meanwhile.

use std::collections::BTreeSet;

use worksshunt_wire::peer::{EpochPollResponse, PeerRequest};
use worksshunt_wire::ControllerName;

use crate::constants::key_value::{
    KV_UNHEALTHY_AFTER_MS, KV_UNREACHABLE_AFTER_MS, KV_UNRESPONSIVE_AFTER_MS,
    PEER_HEALTH_QUERY_INTERVAL_MS, PEER_HEALTH_VALIDITY_MS,
};
use crate::epoch_confirmation::EpochConfirmation;
use crate::job_api::HttpResponse;
use crate::membership::MemberState;
use crate::time::{PeriodicTimer, Time};

use super::{Action, Controller};

/// Error text of the responses during an outage of the key-value store, which users know as the state service.
pub(super) const STORE_SILENT: &str = "the state service does not answer";

/// What this controller knows of the key-value store's health.
#[derive(Debug, Default)]
pub(super) struct StoreHealth {
    answered_at: Time,
    peer_query_timer: PeriodicTimer,
    epoch_confirmation: EpochConfirmation,
    /// When a peer last said that the key-value store answers it.
    peer_healthy_at: Option<Time>,
    /// When a peer last said that the key-value store does not answer it.
    peer_unhealthy_at: Option<Time>,
}

impl StoreHealth {
    /// The key-value store has answered a request of this controller.
    pub fn request_answered(&mut self, now: Time) {
        self.answered_at = now;
        self.epoch_confirmation.key_value_store_answered();
    }

    /// A peer has answered whether it reaches the key-value store.
    pub fn peer_reported(&mut self, now: Time, is_reachable: bool) {
        if is_reachable {
            self.peer_healthy_at = Some(now);
        } else {
            self.peer_unhealthy_at = Some(now);
        }
    }

    /// Whether the key-value store answered this controller lately.
    pub fn is_answering(&self, now: Time) -> bool {
        now.since(self.answered_at) < KV_UNREACHABLE_AFTER_MS
    }

    /// Whether it has not answered for so long that waiting for a response is futile.
    pub fn is_silent(&self, now: Time) -> bool {
        now.since(self.answered_at) > KV_UNRESPONSIVE_AFTER_MS
    }

    /// Whether users should be routed to this controller, as far as the key-value store is concerned.
    ///
    /// A controller that alone cannot reach the key-value store is unhealthy; when none reaches it, taking
    /// them all out of service has no benefit, since returning to service is slow. One that cannot reach its
    /// peers either cannot tell the two cases apart, and is unhealthy.
    fn may_serve_users(&self, now: Time) -> bool {
        let silent_ms = now.since(self.answered_at);
        let is_recent = |reported_at: Option<Time>| {
            reported_at.is_some_and(|at| now.since(at) < PEER_HEALTH_VALIDITY_MS)
        };
        self.is_answering(now)
            || (!is_recent(self.peer_healthy_at)
                && (silent_ms < KV_UNHEALTHY_AFTER_MS || is_recent(self.peer_unhealthy_at)))
    }
}

impl Controller {
    /// The response to a health check.
    pub(super) fn health_response(&self, now: Time) -> HttpResponse {
        let is_healthy = self.job_cache.is_loaded()
            && self.catalog.current.is_some()
            && self.store_health.may_serve_users(now);
        if is_healthy {
            HttpResponse::json(200, &serde_json::json!({ "healthy": true }))
        } else {
            HttpResponse::retry_later("not ready")
        }
    }

    /// Asks the peers for their health and epoch while the key-value store does not answer this controller.
    pub(super) fn query_peer_health(&mut self, now: Time, actions: &mut Vec<Action>) {
        let health = &mut self.store_health;
        if health.is_answering(now) || !health.peer_query_timer.is_due(now) {
            return;
        }
        health.peer_query_timer.next_at = now + PEER_HEALTH_QUERY_INTERVAL_MS;
        for peer in &self.settings.peers {
            let to = peer.host_name.clone();
            actions.push(Action::SendToPeer(to, PeerRequest::KeyValueHealth));
        }
        self.poll_peer_epochs(now, actions);
    }

    /// Asks all other controllers whether the epoch is still the newest that they know of. While the key-value
    /// store answers nobody this confirms it as well as a read would.
    fn poll_peer_epochs(&mut self, now: Time, actions: &mut Vec<Action>) {
        if self.membership.state() != MemberState::Serving {
            return;
        }
        let peers = self.settings.peers.iter();
        let others: BTreeSet<ControllerName> = peers.map(|peer| peer.host_name.clone()).collect();
        let epoch = self.membership.fencing_token();
        let poll = self
            .store_health
            .epoch_confirmation
            .begin_poll(now, epoch, others.clone());
        for peer in others {
            actions.push(Action::SendToPeer(
                peer,
                PeerRequest::EpochPoll { poll_number: poll },
            ));
        }
    }

    /// What this controller knows of the epoch, for a peer that asks.
    pub(super) fn known_epoch(&self, now: Time, poll: u64) -> EpochPollResponse {
        EpochPollResponse {
            poll_number: poll,
            epoch: self.membership.fencing_token(),
            is_key_value_store_reachable: self.store_health.is_answering(now),
        }
    }

    /// Processes what a peer knows of the epoch; once all have confirmed it, the epoch lease is extended.
    pub(super) fn peer_epoch_answered(&mut self, from: &ControllerName, known: &EpochPollResponse) {
        let confirmation = &mut self.store_health.epoch_confirmation;
        confirmation.record_response(from, known);
        let epoch = self.membership.fencing_token();
        let Some(sent_at) = confirmation.confirmed_at(epoch) else {
            return;
        };
        if confirmation.mark_confirmed() {
            tracing::info!(%epoch, "key-value store outage: epoch confirmed by all controllers");
        }
        self.membership.epoch_confirmed(sent_at);
    }
}
