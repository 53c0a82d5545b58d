//! What a controller does while the state service is silent: asks its peers about their health and epoch.

use std::collections::BTreeSet;

use worksshunt_wire::peer::{KnownEpoch, PeerRequest};
use worksshunt_wire::ControllerName;

use crate::constants::key_value::{
    KV_SUSPECT_AFTER_MS, KV_UNHEALTHY_AFTER_MS, PEER_HEALTH_INTERVAL_MS, PEER_HEALTH_VALID_MS,
};
use crate::job_api::HttpResponse;
use crate::membership::MemberState;
use crate::time::Time;

use super::events::Action;
use super::Controller;

impl Controller {
    /// Whether the state service answered this controller lately.
    pub(super) fn key_value_store_answers(&self, now: Time) -> bool {
        now.since(self.key_value_answered_at) < KV_SUSPECT_AFTER_MS
    }

    /// A controller that alone has lost the state service should get no users; when all have lost
    /// it, taking them all out of service helps nobody, since coming back is slow. One that has lost
    /// its peers as well cannot know, and is unhealthy.
    pub(super) fn health(&self, now: Time) -> HttpResponse {
        let silent_ms = now.since(self.key_value_answered_at);
        let lately =
            |word: Option<Time>| word.is_some_and(|at| now.since(at) < PEER_HEALTH_VALID_MS);
        let store = self.key_value_store_answers(now)
            || (!lately(self.peer_store_healthy_at)
                && (silent_ms < KV_UNHEALTHY_AFTER_MS || lately(self.peer_store_unhealthy_at)));
        if self.job_cache.is_loaded() && self.catalog.is_some() && store {
            HttpResponse::json(200, &serde_json::json!({ "healthy": true }))
        } else {
            HttpResponse::retry_later("not ready")
        }
    }

    /// Asks the peers when the state service is silent here.
    pub(super) fn query_peer_health(&mut self, now: Time, actions: &mut Vec<Action>) {
        if !self.key_value_store_answers(now) && self.peer_health_timer.is_due(now) {
            self.peer_health_timer.next = now + PEER_HEALTH_INTERVAL_MS;
            for peer in &self.settings.known {
                let to = peer.host_name.clone();
                actions.push(Action::SendToPeer(to, PeerRequest::KeyValueHealth));
            }
            self.poll_peer_epochs(now, actions);
        }
    }

    /// Asks all other controllers whether the epoch is still the newest that they know of. While the state
    /// service answers nobody this confirms it as well as a read would.
    fn poll_peer_epochs(&mut self, now: Time, actions: &mut Vec<Action>) {
        if self.membership.state() != MemberState::Serving {
            return;
        }
        let known = self.settings.known.iter();
        let others: BTreeSet<ControllerName> = known.map(|peer| peer.host_name.clone()).collect();
        let poll = self.epoch_confirmation.begin_poll(
            now,
            self.membership.fencing_token(),
            others.clone(),
        );
        for peer in others {
            actions.push(Action::SendToPeer(peer, PeerRequest::KnownEpoch { poll }));
        }
    }

    /// What this controller knows of the epoch, for a peer that asks.
    pub(super) fn known_epoch(&self, now: Time, poll: u64) -> KnownEpoch {
        KnownEpoch {
            poll,
            epoch: self.membership.fencing_token(),
            key_value_store_reachable: self.key_value_store_answers(now),
        }
    }

    /// Takes in what a peer knows of the epoch; once all have confirmed it, authority goes on.
    pub(super) fn peer_epoch_answered(&mut self, from: &ControllerName, known: &KnownEpoch) {
        self.epoch_confirmation.record_response(from, known);
        let epoch = self.membership.fencing_token();
        let Some(sent) = self.epoch_confirmation.confirmed_at(epoch) else {
            return;
        };
        if self.epoch_confirmation.mark_confirmed() {
            tracing::info!(%epoch, "the state service is silent: all controllers confirm the epoch");
        }
        self.membership.epoch_confirmed(sent);
    }
}
