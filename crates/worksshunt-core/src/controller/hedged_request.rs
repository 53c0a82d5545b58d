//! Hedged writes: a second copy of a write that is slow to be answered.

use worksshunt_wire::key_value::CompareAndSwap;

use crate::constants::key_value::{KV_HEDGE_DELAY_MS, KV_REQUEST_TIMEOUT_MS};
use crate::time::Time;

use super::{Action, KvPurpose, KvRequest};

/// Counts the copies in flight of one write. A second one is sent when the response is slow: now and then one
/// takes many times as long as the others, which nobody should have to wait for. Both can be applied only once,
/// by the conditions they carry.
#[derive(Debug, Default)]
pub(super) struct HedgedRequest {
    number: u64,
    sent_at: Time,
    /// Copies that are not answered.
    unanswered: u32,
    hedged: bool,
}

impl HedgedRequest {
    /// A write is sent; returns its number.
    pub fn first_sent(&mut self, now: Time) -> u64 {
        *self = HedgedRequest {
            number: self.number + 1,
            sent_at: now,
            unanswered: 1,
            hedged: false,
        };
        self.number
    }

    /// The number of the write of which a second copy is to be sent now, if any.
    pub fn hedge_due(&mut self, now: Time) -> Option<u64> {
        if self.unanswered != 1 || self.hedged || now.since(self.sent_at) < KV_HEDGE_DELAY_MS {
            return None;
        }
        self.hedged = true;
        self.unanswered += 1;
        Some(self.number)
    }

    /// A copy was answered. Returns whether that settles the write of that number: a response that leaves the
    /// outcome open does only if no other is to come, and what comes after a clear one is of no interest.
    pub fn answered(&mut self, number: u64, is_clear: bool) -> bool {
        if number != self.number || self.unanswered == 0 {
            return false;
        }
        self.unanswered -= 1;
        if is_clear {
            self.unanswered = 0;
        }
        self.unanswered == 0
    }
}

/// The second copy of a write; its deadline is that of the first.
pub(super) fn second_copy(purpose: KvPurpose, write: &CompareAndSwap) -> Action {
    let deadline_ms = KV_REQUEST_TIMEOUT_MS - KV_HEDGE_DELAY_MS;
    let request = KvRequest::CompareAndSwap(write.clone());
    Action::CallKeyValueStore {
        purpose,
        request,
        deadline_ms,
    }
}
