//! Hedged writes: sends a second copy of a write whose response is slow.

use worksshunt_wire::key_value::CompareAndSwap;

use crate::constants::key_value::{KV_HEDGE_DELAY_MS, KV_REQUEST_TIMEOUT_MS};
use crate::time::Time;

use super::{Action, KvPurpose, KvRequest};

/// Tracks the copies in flight of one write. A second copy is sent after [`KV_HEDGE_DELAY_MS`], to cut the tail latency
/// of the key-value store. The conditions of the write ensure that it is applied at most once.
#[derive(Debug, Default)]
pub(super) struct HedgedRequest {
    write_number: u64,
    sent_at: Time,
    /// Number of copies without a response. 0 once the outcome of the write is known.
    copies_in_flight: u32,
    /// Whether the second copy has been sent.
    is_hedged: bool,
}

impl HedgedRequest {
    /// Starts tracking the next write and returns its number.
    pub fn start_write(&mut self, now: Time) -> u64 {
        *self = HedgedRequest {
            write_number: self.write_number + 1,
            sent_at: now,
            copies_in_flight: 1,
            is_hedged: false,
        };
        self.write_number
    }

    /// Returns the number of the write if its second copy is due, and counts that copy as sent.
    pub fn take_due_hedge(&mut self, now: Time) -> Option<u64> {
        if self.copies_in_flight != 1
            || self.is_hedged
            || now.since(self.sent_at) < KV_HEDGE_DELAY_MS
        {
            return None;
        }
        self.is_hedged = true;
        self.copies_in_flight += 1;
        Some(self.write_number)
    }

    /// Records the response to a copy of the write. Returns whether the write is finished: after a conclusive response,
    /// which makes later ones irrelevant, or after an inconclusive one if no other copy is in flight.
    pub fn record_response(&mut self, write_number: u64, is_conclusive: bool) -> bool {
        if write_number != self.write_number || self.copies_in_flight == 0 {
            return false;
        }
        self.copies_in_flight -= 1;
        if is_conclusive {
            self.copies_in_flight = 0;
        }
        self.copies_in_flight == 0
    }
}

/// The action that sends the second copy of a write. It times out at the same time as the first copy.
pub(super) fn hedge_action(purpose: KvPurpose, write: &CompareAndSwap) -> Action {
    let timeout_ms = KV_REQUEST_TIMEOUT_MS - KV_HEDGE_DELAY_MS;
    let request = KvRequest::CompareAndSwap(write.clone());
    Action::CallKeyValueStore {
        purpose,
        request,
        timeout_ms,
    }
}
