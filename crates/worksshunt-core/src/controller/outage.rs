//! What a controller does while the state service is silent: asks its peers about their health and epoch.

use std::collections::BTreeSet;

use worksshunt_wire::peer::{KnownEpoch, PeerRequest};
use worksshunt_wire::NodeName;

use crate::constants::*;
use crate::membership::MemberState;
use crate::time::Time;
use crate::users::Reply;

use super::events::Action;
use super::Controller;

impl Controller {
    /// Whether the state service answered this controller lately.
    pub(super) fn store_answers(&self, now: Time) -> bool {
        now.since(self.store_heard) < STORE_DOUBT_MS
    }

    /// A controller that alone has lost the state service should get no users; when all have lost
    /// it, taking them all out of service helps nobody, since coming back is slow. One that has lost
    /// its peers as well cannot know, and is unhealthy.
    pub(super) fn health(&self, now: Time) -> Reply {
        let silent_ms = now.since(self.store_heard);
        let lately = |word: Option<Time>| word.is_some_and(|at| now.since(at) < STORE_WORD_MS);
        let store = self.store_answers(now)
            || (!lately(self.peer_well)
                && (silent_ms < HEALTH_STORE_MS || lately(self.peer_unwell)));
        if self.mirror.loaded() && self.catalog.is_some() && store {
            Reply::json(200, &serde_json::json!({ "healthy": true }))
        } else {
            Reply::later("not ready")
        }
    }

    /// Asks the peers when the state service is silent here.
    pub(super) fn doubt_turn(&mut self, now: Time, out: &mut Vec<Action>) {
        if !self.store_answers(now) && self.doubt_turn.due(now) {
            self.doubt_turn.next = now + STORE_ASK_MS;
            for peer in &self.settings.known {
                let to = peer.host_name.clone();
                out.push(Action::SendToPeer(to, PeerRequest::KeyValueHealth));
            }
            self.poll_epoch(now, out);
        }
    }

    /// Asks all other controllers whether the epoch is still the newest that they know of. While the state
    /// service answers nobody this confirms it as well as a read would.
    fn poll_epoch(&mut self, now: Time, out: &mut Vec<Action>) {
        if self.membership.state() != MemberState::Serving {
            return;
        }
        let known = self.settings.known.iter();
        let others: BTreeSet<NodeName> = known.map(|peer| peer.host_name.clone()).collect();
        let poll = self
            .epoch_poll
            .begin(now, self.membership.token(), others.clone());
        for peer in others {
            out.push(Action::SendToPeer(peer, PeerRequest::KnownEpoch { poll }));
        }
    }

    /// What this controller knows of the epoch, for a peer that asks.
    pub(super) fn known_epoch(&self, now: Time, poll: u64) -> KnownEpoch {
        KnownEpoch {
            poll,
            epoch: self.membership.token(),
            state_service_answers: self.store_answers(now),
        }
    }

    /// Takes in what a peer knows of the epoch; once all have confirmed it, authority goes on.
    pub(super) fn epoch_poll_answer(&mut self, from: &NodeName, known: &KnownEpoch) {
        self.epoch_poll.answered(from, known);
        let epoch = self.membership.token();
        let Some(sent) = self.epoch_poll.confirmed(epoch) else {
            return;
        };
        if self.epoch_poll.note_confirmation() {
            tracing::info!(%epoch, "the state service is silent: all controllers confirm the epoch");
        }
        self.membership.confirmed(sent);
    }
}
