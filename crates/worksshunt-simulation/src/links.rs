//! Network delays of messages.
//!
//! The delay of every message is drawn independently, so messages may be reordered. Within a connection no order has to
//! be enforced: it carries one request at a time and is closed when the request times out.

use crate::Cluster;

/// The endpoints of a connection.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Link {
    /// Between the controller with this index and a machine, in either direction.
    Worker(usize),
    /// Between any other endpoints.
    Other,
}

/// Additional delay of a share of the messages between controllers and machines.
#[derive(Debug, Clone, Copy)]
pub struct SlowLinks {
    /// Share of delayed messages, 0 to 1.
    pub share: f64,
    /// Maximum additional delay, drawn for each of them, ms.
    pub max_extra_ms: u64,
}

/// Maximum delay of a held-back message after its release, ms; reorders such messages.
const RELEASE_SPREAD_MS: u64 = 20;

impl Cluster {
    /// Draws the time at which a message sent now arrives, ms.
    pub(crate) fn arrival_time(&mut self, link: Link) -> u64 {
        let mut arrives_at = self.now + self.link_delay_ms;
        if self.jitter_ms > 0 {
            arrives_at += self.rng.u64(0..=self.jitter_ms);
        }
        let Link::Worker(controller) = link else {
            return arrives_at;
        };
        if let Some(slow_links) = self.faults.slow_links {
            if self.rng.f64() < slow_links.share {
                self.record_effect("slow message");
                arrives_at += self.rng.u64(0..=slow_links.max_extra_ms);
            }
        }
        let held_until = self.faults.messages_held_until.get(&controller).copied();
        if let Some(released_at) = held_until.filter(|released_at| arrives_at < *released_at) {
            self.record_effect("held message");
            arrives_at = released_at + self.rng.u64(0..=RELEASE_SPREAD_MS);
        }
        arrives_at
    }
}
