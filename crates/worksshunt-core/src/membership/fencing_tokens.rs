//! The fencing tokens of an epoch.
//!
//! The number of an epoch is its last token, and its first one follows the number of the preceding epoch. Tokens of
//! different epochs are therefore disjoint, also if a version that has one token per epoch writes some of them.

use worksshunt_wire::{Epoch, FencingToken};

use crate::constants::leases::{FENCING_TOKENS_PER_EPOCH, MAX_EPOCH_BEFORE_TOKEN_RANGE};

/// Range of the fencing tokens of one epoch.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct FencingTokens {
    /// Lowest token.
    pub first: FencingToken,
    /// Highest token.
    pub last: FencingToken,
}

impl FencingTokens {
    /// Tokens of the epoch that follows `previous`; a single one unless all members support several.
    pub(super) fn after(previous: Epoch, is_range_supported: bool) -> FencingTokens {
        let has_range = is_range_supported && previous <= MAX_EPOCH_BEFORE_TOKEN_RANGE;
        let count = match has_range {
            true => FENCING_TOKENS_PER_EPOCH,
            false => 1,
        };
        FencingTokens {
            first: FencingToken(previous.0 + 1),
            last: FencingToken(previous.0 + count),
        }
    }

    /// Whether a token belongs to the epoch.
    pub fn contains(&self, token: FencingToken) -> bool {
        (self.first..=self.last).contains(&token)
    }
}
