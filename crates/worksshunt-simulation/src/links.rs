//! How long messages take; called for each message that is sent.
//!
//! The delay of every message is drawn independently. A connection carries one request at a time and is closed when
//! the request is given up, so messages of one connection need no other ordering. Messages on different connections
//! overtake each other.

use crate::Cluster;

/// The ends of a connection.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Link {
    /// A controller and a machine, in either direction.
    Worker(usize),
    /// Anything else.
    Other,
}

/// Messages between controllers and machines that take much longer than others.
#[derive(Debug, Clone, Copy)]
pub struct SlowLinks {
    /// The share of these messages.
    pub share: f64,
    /// The most that they take longer, ms.
    pub max_extra_ms: u64,
}

/// Spread of the arrivals of messages that were held back, ms.
const RELEASE_SPREAD_MS: u64 = 20;

impl Cluster {
    /// When a message that is sent now arrives.
    pub(crate) fn arrival_time(&mut self, link: Link) -> u64 {
        let mut arrives_at = self.now + self.link_delay_ms;
        if self.jitter_ms > 0 {
            arrives_at += self.rng.u64(0..=self.jitter_ms);
        }
        let Link::Worker(controller) = link else {
            return arrives_at;
        };
        if let Some(slow) = self.faults.slow_links {
            if self.rng.f64() < slow.share {
                self.record_effect("slow message");
                arrives_at += self.rng.u64(0..=slow.max_extra_ms);
            }
        }
        let held_until = self.faults.held_until.get(&controller).copied();
        if let Some(until) = held_until.filter(|until| arrives_at < *until) {
            self.record_effect("held message");
            arrives_at = until + self.rng.u64(0..=RELEASE_SPREAD_MS);
        }
        arrives_at
    }
}
