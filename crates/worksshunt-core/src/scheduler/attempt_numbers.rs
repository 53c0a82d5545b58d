//! The numbers of the attempts of one epoch. They rise from epoch to epoch, so that a later attempt
//! always has the greater number.

use worksshunt_wire::{Attempt, Epoch};

use crate::constants::leases::ATTEMPTS_PER_EPOCH;

/// The attempt numbers of an epoch, and how many of them are used.
#[derive(Debug)]
pub(super) struct AttemptNumbers {
    epoch: Epoch,
    used: u64,
    limit: u64,
}

impl AttemptNumbers {
    /// All numbers of the epoch, none used yet.
    pub fn new(epoch: Epoch) -> AttemptNumbers {
        AttemptNumbers {
            epoch,
            used: 0,
            limit: ATTEMPTS_PER_EPOCH - 1,
        }
    }

    /// Lowers the limit to at most `limit` numbers.
    pub fn set_limit(&mut self, limit: u64) {
        self.limit = limit.min(ATTEMPTS_PER_EPOCH - 1);
    }

    /// Whether all numbers are used. Those of the next epoch must not be used in this one.
    pub fn is_exhausted(&self) -> bool {
        self.used >= self.limit
    }

    /// The next number; the caller has checked that there is one.
    pub fn allocate(&mut self) -> Attempt {
        self.used += 1;
        Attempt(self.epoch.0 * ATTEMPTS_PER_EPOCH + self.used)
    }
}
