//! Confirmation of the epoch by the other controllers while the key-value store answers nobody.
//!
//! A controller acts for [`EPOCH_LEASE_MS`](crate::constants::leases::EPOCH_LEASE_MS) after sending a request that
//! confirmed its epoch. Usually that is a read of the key-value store. A poll that *every* other controller of the
//! deployment has answered serves as well. A controller that takes machines over assumes that their former owner may
//! renew worker leases until `EPOCH_LEASE_MS` after it learnt of the new epoch itself. A response that names no newer
//! epoch shows that its sender learns of one only after the poll was sent, so the owner that asked has stopped by
//! then. A controller that was restarted has forgotten what it knew, but also every conclusion it had drawn from
//! expired worker leases, and waits anew from the epoch that admits it.
//!
//! [`EpochConfirmation`] owns the poll in flight; the controller sends it and passes the responses on.

use std::collections::BTreeSet;

use worksshunt_wire::peer::EpochPollResponse;
use worksshunt_wire::{ControllerName, Epoch};

use crate::time::Time;

/// The poll in flight, and the controllers that have not answered it.
#[derive(Debug, Default)]
pub struct EpochConfirmation {
    poll_number: u64,
    sent_at: Time,
    epoch: Epoch,
    awaiting: BTreeSet<ControllerName>,
    /// An answer has shown that the epoch is not to be confirmed by a poll.
    contradicted: bool,
    /// A poll has confirmed the epoch since the key-value store last answered.
    confirmed_before: bool,
}

impl EpochConfirmation {
    /// Begins a poll that all of these have to answer, and returns its number. Answers to earlier polls are
    /// ignored from now on.
    pub fn begin_poll(&mut self, now: Time, epoch: Epoch, others: BTreeSet<ControllerName>) -> u64 {
        self.poll_number += 1;
        self.sent_at = now;
        self.epoch = epoch;
        self.awaiting = others;
        self.contradicted = false;
        self.poll_number
    }

    /// Processes an answer. The poll fails if the sender knows a newer epoch. It also fails if the sender reaches
    /// the key-value store: then the asker alone is cut off, and the others go on without it.
    pub fn record_response(&mut self, from: &ControllerName, known: &EpochPollResponse) {
        if known.poll_number != self.poll_number {
            return;
        }
        self.contradicted |= known.epoch > self.epoch || known.is_key_value_store_reachable;
        self.awaiting.remove(from);
    }

    /// When the poll was sent, if all have answered and thereby confirmed that epoch.
    pub fn confirmed_at(&self, epoch: Epoch) -> Option<Time> {
        let is_polled = self.poll_number > 0 && self.epoch == epoch;
        let is_confirmed = is_polled && self.awaiting.is_empty() && !self.contradicted;
        is_confirmed.then_some(self.sent_at)
    }

    /// Notes a confirmation. Returns whether it is the first since the key-value store last answered.
    pub fn mark_confirmed(&mut self) -> bool {
        !std::mem::replace(&mut self.confirmed_before, true)
    }

    /// The key-value store has answered: the next confirmation by a poll is the first of another outage.
    pub fn key_value_store_answered(&mut self) {
        self.confirmed_before = false;
    }
}

#[cfg(test)]
mod tests;
