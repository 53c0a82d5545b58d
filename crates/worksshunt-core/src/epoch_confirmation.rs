//! Confirmation of the epoch by the peers during an outage of the key-value store.
//!
//! A controller acts for [`EPOCH_LEASE_MS`](crate::constants::leases::EPOCH_LEASE_MS) after sending a request that
//! confirmed its epoch. Normally that request is a read of the key-value store; a poll answered by *every* other
//! controller of the deployment is equivalent. It is safe because a new owner of machines assumes that their previous
//! owner may renew worker leases until `EPOCH_LEASE_MS` after the new owner itself read the new epoch. A peer that
//! answers without a newer epoch reads one only after the poll was sent, so the epoch lease of the polling controller
//! has expired before that peer takes over. A restarted peer has lost the epochs it had read, but also every
//! conclusion from expired worker leases, and waits again from the epoch that admits it.
//!
//! [`EpochConfirmation`] tracks the poll in flight; the controller sends the poll and passes the responses to it.

use std::collections::BTreeSet;

use worksshunt_wire::peer::EpochPollResponse;
use worksshunt_wire::{ControllerName, Epoch};

use crate::time::Time;

/// State of the last poll of the peers.
#[derive(Debug, Default)]
pub struct EpochConfirmation {
    poll_number: u64,
    sent_at: Time,
    epoch: Epoch,
    /// Controllers that have not answered the poll.
    pending_peers: BTreeSet<ControllerName>,
    /// Whether a response has made the poll fail.
    has_failed: bool,
    /// Whether a poll has confirmed the epoch since the key-value store last answered.
    is_confirmed_in_outage: bool,
}

impl EpochConfirmation {
    /// Begins a poll that all of `others` have to answer, and returns its number. Responses to earlier polls no longer
    /// count.
    pub fn begin_poll(&mut self, now: Time, epoch: Epoch, others: BTreeSet<ControllerName>) -> u64 {
        self.poll_number += 1;
        self.sent_at = now;
        self.epoch = epoch;
        self.pending_peers = others;
        self.has_failed = false;
        self.poll_number
    }

    /// Processes a response. The poll fails if the peer has read a newer epoch or can reach the key-value store: in the
    /// latter case only the polling controller is disconnected, and the others may begin an epoch without it.
    pub fn record_response(&mut self, from: &ControllerName, response: &EpochPollResponse) {
        if response.poll_number != self.poll_number {
            return;
        }
        self.has_failed |= response.epoch > self.epoch || response.is_key_value_store_reachable;
        self.pending_peers.remove(from);
    }

    /// Time at which the last poll was sent, if it was about `epoch` and all peers have confirmed it.
    pub fn confirmed_poll_sent_at(&self, epoch: Epoch) -> Option<Time> {
        let is_polled = self.poll_number > 0 && self.epoch == epoch;
        let is_confirmed = is_polled && self.pending_peers.is_empty() && !self.has_failed;
        is_confirmed.then_some(self.sent_at)
    }

    /// Records a confirmation. Returns whether it is the first since the key-value store last answered, so that the
    /// controller logs it once per outage.
    pub fn mark_confirmed(&mut self) -> bool {
        !std::mem::replace(&mut self.is_confirmed_in_outage, true)
    }

    /// Records a response of the key-value store, which ends the outage.
    pub fn end_outage(&mut self) {
        self.is_confirmed_in_outage = false;
    }
}

#[cfg(test)]
mod tests;
