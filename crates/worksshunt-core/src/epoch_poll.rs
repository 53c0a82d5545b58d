//! Confirmation of the epoch by the other controllers while the state service answers nobody.
//!
//! A controller acts for [`AUTHORITY_MS`](crate::constants::AUTHORITY_MS) after sending a request that
//! confirmed its epoch. Usually that is a read of the state service. A poll that *every* other controller of
//! the deployment has answered serves as well. Whoever takes machines over reckons that their former owner
//! may renew leases until `AUTHORITY_MS` after it learnt of the new epoch itself. An answer that names no
//! newer epoch shows that its sender learns of one only after the poll was sent, so the owner that asked has
//! stopped by then. A controller that was restarted has forgotten what it knew, but also every conclusion it
//! had drawn from leases that ran out, and reckons anew from the epoch that takes it in.

use std::collections::BTreeSet;

use worksshunt_wire::peer::KnownEpoch;
use worksshunt_wire::{Epoch, NodeName};

use crate::time::Time;

/// The poll under way, and the answers that are missing.
#[derive(Debug, Default)]
pub struct EpochPoll {
    number: u64,
    sent: Time,
    epoch: Epoch,
    awaited: BTreeSet<NodeName>,
    refused: bool,
    /// A poll has confirmed the epoch since the state service last answered.
    confirmed_before: bool,
}

impl EpochPoll {
    /// Begins a poll that all of these have to answer, and gives its number. Answers to earlier polls
    /// count for nothing from now on.
    pub fn begin(&mut self, now: Time, epoch: Epoch, others: BTreeSet<NodeName>) -> u64 {
        self.number += 1;
        self.sent = now;
        self.epoch = epoch;
        self.awaited = others;
        self.refused = false;
        self.number
    }

    /// Takes in an answer. The poll fails if the sender knows a newer epoch. It also fails if the sender
    /// reaches the state service: then the asker alone is cut off, and the others go on without it.
    pub fn answered(&mut self, from: &NodeName, known: &KnownEpoch) {
        if known.poll != self.number {
            return;
        }
        self.refused |= known.epoch > self.epoch || known.state_service_answers;
        self.awaited.remove(from);
    }

    /// When the poll was sent, if all have answered and thereby confirmed that epoch.
    pub fn confirmed(&self, epoch: Epoch) -> Option<Time> {
        let begun = self.number > 0 && self.epoch == epoch;
        (begun && self.awaited.is_empty() && !self.refused).then_some(self.sent)
    }

    /// Notes a confirmation, and says whether it is the first since the state service last answered.
    pub fn note_confirmation(&mut self) -> bool {
        !std::mem::replace(&mut self.confirmed_before, true)
    }

    /// The state service has answered: the next confirmation by a poll is the first of another outage.
    pub fn state_service_answered(&mut self) {
        self.confirmed_before = false;
    }
}
