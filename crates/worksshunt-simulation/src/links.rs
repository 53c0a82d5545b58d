//! How long messages take.
//!
//! Every message's delay is drawn on its own. On one connection there is one request at a time, and one that is
//! given up is closed, so nothing else has to keep messages of one connection in order. Messages on different
//! connections overtake each other.

use super::*;

/// Between whom a message passes.
#[derive(Debug, Clone, Copy)]
pub(super) enum Link {
    /// A controller and a machine, either way.
    Worker(usize),
    /// Anything else.
    Other,
}

/// Messages between controllers and machines that take much longer than others.
#[derive(Debug, Clone, Copy)]
pub struct SlowLinks {
    /// The share of these messages.
    pub share: f64,
    /// How much longer they take at the most, ms.
    pub most_ms: u64,
}

/// Spread of the arrivals of messages that were held back, ms.
const RELEASE_SPREAD_MS: u64 = 20;

impl Cluster {
    /// When a message that is sent now arrives.
    pub(super) fn arrival_time(&mut self, link: Link) -> u64 {
        let mut at = self.now + self.link_delay_ms;
        if self.jitter_ms > 0 {
            at += self.rng.u64(0..=self.jitter_ms);
        }
        let Link::Worker(node) = link else {
            return at;
        };
        if let Some(slow) = self.faults.slow_links {
            if self.rng.f64() < slow.share {
                self.record_effect("slow message");
                at += self.rng.u64(0..=slow.most_ms);
            }
        }
        let held_until = self.faults.held_until.get(&node).copied();
        if let Some(until) = held_until.filter(|until| at < *until) {
            self.record_effect("held message");
            at = until + self.rng.u64(0..=RELEASE_SPREAD_MS);
        }
        at
    }
}
