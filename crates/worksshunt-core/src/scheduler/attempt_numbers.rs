//! Allocation of attempt numbers. The numbers of an epoch are greater than those of all epochs before, so a later
//! attempt always has the greater number.

use worksshunt_wire::{AttemptId, Epoch};

use crate::constants::leases::ATTEMPTS_PER_EPOCH;

/// The attempt numbers of one epoch.
#[derive(Debug)]
pub(super) struct AttemptNumbers {
    epoch: Epoch,
    allocated: u64,
    limit: u64,
}

impl AttemptNumbers {
    /// All numbers of the epoch, none of them allocated.
    pub fn new(epoch: Epoch) -> AttemptNumbers {
        AttemptNumbers {
            epoch,
            allocated: 0,
            limit: ATTEMPTS_PER_EPOCH - 1,
        }
    }

    /// Limits the epoch to `limit` numbers, or to `ATTEMPTS_PER_EPOCH - 1` if that is less.
    pub fn set_limit(&mut self, limit: u64) {
        self.limit = limit.min(ATTEMPTS_PER_EPOCH - 1);
    }

    /// Whether no number is left. The numbers that follow belong to the next epoch.
    pub fn is_exhausted(&self) -> bool {
        self.allocated >= self.limit
    }

    /// Allocates the next number. The caller has checked [`is_exhausted`](Self::is_exhausted).
    pub fn allocate(&mut self) -> AttemptId {
        self.allocated += 1;
        AttemptId(self.epoch.0 * ATTEMPTS_PER_EPOCH + self.allocated)
    }
}
