//! Outages of the key-value store: tracks whether it responds to this controller and to its peers, and polls the peers
//! to confirm the epoch while it does not.

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

/// Error text of HTTP responses during an outage of the key-value store, which the protocol calls the state service.
pub(super) const STORE_UNRESPONSIVE: &str = "the state service does not answer";

/// Health of the key-value store, as observed by this controller and reported by its peers.
#[derive(Debug, Default)]
pub(super) struct StoreHealth {
    last_response_at: Time,
    peer_query_timer: PeriodicTimer,
    epoch_confirmation: EpochConfirmation,
    /// When a peer last reported that it reaches the key-value store; `None` if none has.
    reachable_report_at: Option<Time>,
    /// When a peer last reported that it does not reach the key-value store; `None` if none has.
    unreachable_report_at: Option<Time>,
}

impl StoreHealth {
    /// Records a response of the key-value store to this controller.
    pub fn record_response(&mut self, now: Time) {
        self.last_response_at = now;
        self.epoch_confirmation.end_outage();
    }

    /// Records whether a peer reaches the key-value store.
    pub fn record_peer_report(&mut self, now: Time, is_reachable: bool) {
        if is_reachable {
            self.reachable_report_at = Some(now);
        } else {
            self.unreachable_report_at = Some(now);
        }
    }

    /// Whether the key-value store responded to this controller within [`KV_UNREACHABLE_AFTER_MS`].
    pub fn is_reachable(&self, now: Time) -> bool {
        now.since(self.last_response_at) < KV_UNREACHABLE_AFTER_MS
    }

    /// Whether the key-value store has not responded for [`KV_UNRESPONSIVE_AFTER_MS`], so that user requests are
    /// rejected at once.
    pub fn is_unresponsive(&self, now: Time) -> bool {
        now.since(self.last_response_at) > KV_UNRESPONSIVE_AFTER_MS
    }

    /// Whether the state of the key-value store allows user traffic to be routed to this controller.
    ///
    /// A controller is unhealthy if it cannot reach the key-value store while a peer can. If no controller reaches
    /// the store, all stay healthy: taking them out of routing has no benefit, and returning is slow. A controller that
    /// cannot reach its peers either cannot distinguish the two cases, and is unhealthy after
    /// [`KV_UNHEALTHY_AFTER_MS`].
    fn may_serve_users(&self, now: Time) -> bool {
        let since_response_ms = now.since(self.last_response_at);
        let is_recent = |reported_at: Option<Time>| {
            reported_at.is_some_and(|at| now.since(at) < PEER_HEALTH_VALIDITY_MS)
        };
        self.is_reachable(now)
            || (!is_recent(self.reachable_report_at)
                && (since_response_ms < KV_UNHEALTHY_AFTER_MS
                    || is_recent(self.unreachable_report_at)))
    }
}

impl Controller {
    /// The response to a health check: 200 if users should be routed to this controller.
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

    /// Queries the peers for their access to the key-value store and their epoch while this controller cannot reach it.
    pub(super) fn query_peer_health(&mut self, now: Time, actions: &mut Vec<Action>) {
        let health = &mut self.store_health;
        if health.is_reachable(now) || !health.peer_query_timer.is_due(now) {
            return;
        }
        health.peer_query_timer.next_at = now + PEER_HEALTH_QUERY_INTERVAL_MS;
        for peer in &self.settings.peers {
            let to = peer.host_name.clone();
            actions.push(Action::SendToPeer(to, PeerRequest::KeyValueHealth));
        }
        self.poll_peer_epochs(now, actions);
    }

    /// Polls all other controllers for the newest epoch that they have read. While no controller reaches the key-value
    /// store, agreement of all of them confirms the epoch as safely as a read of the store.
    fn poll_peer_epochs(&mut self, now: Time, actions: &mut Vec<Action>) {
        if self.membership.state() != MemberState::Serving {
            return;
        }
        let peers = self.settings.peers.iter();
        let others: BTreeSet<ControllerName> = peers.map(|peer| peer.host_name.clone()).collect();
        let epoch = self.membership.epoch_number();
        let poll_number =
            self.store_health
                .epoch_confirmation
                .begin_poll(now, epoch, others.clone());
        for peer in others {
            actions.push(Action::SendToPeer(
                peer,
                PeerRequest::EpochPoll { poll_number },
            ));
        }
    }

    /// The response to a peer's epoch poll: the newest epoch that this controller has read.
    pub(super) fn epoch_poll_response(&self, now: Time, poll_number: u64) -> EpochPollResponse {
        EpochPollResponse {
            poll_number,
            epoch: self.membership.epoch_number(),
            is_key_value_store_reachable: self.store_health.is_reachable(now),
        }
    }

    /// Processes a peer's response to an epoch poll. Extends the epoch lease once all other controllers have confirmed
    /// the epoch.
    pub(super) fn process_epoch_poll_response(
        &mut self,
        from: &ControllerName,
        response: &EpochPollResponse,
    ) {
        let confirmation = &mut self.store_health.epoch_confirmation;
        confirmation.record_response(from, response);
        let epoch = self.membership.epoch_number();
        let Some(sent_at) = confirmation.confirmed_poll_sent_at(epoch) else {
            return;
        };
        if confirmation.mark_confirmed() {
            tracing::info!(%epoch, "key-value store unavailable; epoch confirmed by all other controllers");
        }
        self.membership.extend_epoch_lease(sent_at);
    }
}
