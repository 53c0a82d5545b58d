//! Confirmation of the epoch by the other controllers while the state service answers nobody.
//!
//! A controller acts for [`EPOCH_LEASE_MS`](crate::constants::AUTHORITY_MS) after sending a request that
//! confirmed its epoch. Usually that is a read of the state service. A poll that *every* other controller of
//! the deployment has answered serves as well. Whoever takes machines over reckons that their former owner
//! may renew leases until `EPOCH_LEASE_MS` after it learnt of the new epoch itself. An answer that names no
//! newer epoch shows that its sender learns of one only after the poll was sent, so the owner that asked has
//! stopped by then. A controller that was restarted has forgotten what it knew, but also every conclusion it
//! had drawn from leases that ran out, and reckons anew from the epoch that takes it in.

use std::collections::BTreeSet;

use worksshunt_wire::peer::KnownEpoch;
use worksshunt_wire::{ControllerName, Epoch};

use crate::time::Time;

/// The poll under way, and the answers that are missing.
#[derive(Debug, Default)]
pub struct EpochConfirmation {
    poll_number: u64,
    sent_at: Time,
    epoch: Epoch,
    awaiting: BTreeSet<ControllerName>,
    contradicted: bool,
    /// A poll has confirmed the epoch since the state service last answered.
    confirmed_before: bool,
}

impl EpochConfirmation {
    /// Begins a poll that all of these have to answer, and gives its number. Answers to earlier polls
    /// count for nothing from now on.
    pub fn begin_poll(&mut self, now: Time, epoch: Epoch, others: BTreeSet<ControllerName>) -> u64 {
        self.poll_number += 1;
        self.sent_at = now;
        self.epoch = epoch;
        self.awaiting = others;
        self.contradicted = false;
        self.poll_number
    }

    /// Takes in an answer. The poll fails if the sender knows a newer epoch. It also fails if the sender
    /// reaches the state service: then the asker alone is cut off, and the others go on without it.
    pub fn record_response(&mut self, from: &ControllerName, known: &KnownEpoch) {
        if known.poll != self.poll_number {
            return;
        }
        self.contradicted |= known.epoch > self.epoch || known.key_value_store_reachable;
        self.awaiting.remove(from);
    }

    /// When the poll was sent, if all have answered and thereby confirmed that epoch.
    pub fn confirmed_at(&self, epoch: Epoch) -> Option<Time> {
        let begun = self.poll_number > 0 && self.epoch == epoch;
        (begun && self.awaiting.is_empty() && !self.contradicted).then_some(self.sent_at)
    }

    /// Notes a confirmation, and says whether it is the first since the state service last answered.
    pub fn mark_confirmed(&mut self) -> bool {
        !std::mem::replace(&mut self.confirmed_before, true)
    }

    /// The state service has answered: the next confirmation by a poll is the first of another outage.
    pub fn key_value_store_answered(&mut self) {
        self.confirmed_before = false;
    }
}
