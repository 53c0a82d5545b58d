//! A worker's lease, as tracked by the owner of its machine.
//!
//! Each [`Machine`](super::machine::Machine) has a [`WorkerLease`]. Heartbeats, responses to commands and losses update
//! it, and [`expiry`](super::expiry) checks whether it has expired.
//!
//! A worker whose heartbeat is answered with status 200 starts its lease at the time it sent the heartbeat. The owner
//! therefore must record the renewal here before it sends that response. The expiry computed here is then never earlier
//! than the worker's own.

use worksshunt_wire::settings::Workers;

use crate::constants::leases::{CLOCK_DRIFT_SHARE, WORKER_LEASE_MARGIN_MS};
use crate::constants::workers::HEARTBEAT_TIMEOUT_MS;
use crate::time::Time;

use super::sequence_number::SequenceNumber;

/// Upper bound of a worker lease's duration, measured by this controller's clock, milliseconds: the configured duration
/// plus clock drift and a margin for late timers.
pub fn max_worker_lease_ms(workers: &Workers) -> u64 {
    (workers.lease_s * 1_000.0 * (1.0 + CLOCK_DRIFT_SHARE)) as u64 + WORKER_LEASE_MARGIN_MS
}

/// Order of a heartbeat relative to the messages received earlier from its worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ArrivalOrder {
    /// Newer than all of them.
    Newest,
    /// Sent before a response to direct commands that has arrived first. The content is outdated, but the worker may
    /// still be waiting for the response, which renews the lease.
    OutOfOrder,
    /// A duplicate, or delayed so long that the worker no longer waits for the response.
    Stale,
}

/// Latest possible renewal of a worker's lease, and the newest messages received.
#[derive(Debug, Clone)]
pub(super) struct WorkerLease {
    /// Newest heartbeat or response to direct commands received.
    pub newest_message: SequenceNumber,
    /// Arrival of `newest_message`.
    pub last_message_at: Time,
    /// Newest heartbeat received. A worker has one heartbeat in flight at a time, so it waits for no earlier one.
    newest_heartbeat: SequenceNumber,
    /// Latest time at which the lease can have been renewed.
    pub renewed_at: Time,
    /// The last heartbeat that renewed the lease; `None` if `renewed_at` is only an upper bound.
    pub renewing_heartbeat: Option<SequenceNumber>,
}

impl WorkerLease {
    /// A lease renewed at `renewed_at` at the latest. `newest` is the newest message received before; heartbeats up to
    /// it are stale.
    pub fn new(newest: SequenceNumber, renewed_at: Time) -> WorkerLease {
        WorkerLease {
            newest_message: newest,
            last_message_at: Time::default(),
            newest_heartbeat: newest,
            renewed_at,
            renewing_heartbeat: None,
        }
    }

    /// Classifies a heartbeat that arrives now.
    pub fn classify(&self, heartbeat: SequenceNumber, now: Time) -> ArrivalOrder {
        if heartbeat > self.newest_message {
            ArrivalOrder::Newest
        } else if heartbeat > self.newest_heartbeat
            && now.since(self.last_message_at) < HEARTBEAT_TIMEOUT_MS
        {
            // It was sent before the newest message arrived, so it has been in flight for longer than the time since.
            ArrivalOrder::OutOfOrder
        } else {
            ArrivalOrder::Stale
        }
    }

    /// Records the lease renewal by a heartbeat, before that is answered.
    pub fn record_renewal(&mut self, heartbeat: SequenceNumber, now: Time) {
        self.newest_heartbeat = self.newest_heartbeat.max(heartbeat);
        self.renewed_at = self.renewed_at.max(now);
        self.renewing_heartbeat = Some(heartbeat);
    }

    /// Records a message that is newer than all received before.
    pub fn record_message(&mut self, message: SequenceNumber, now: Time) {
        if message.incarnation > self.newest_message.incarnation {
            // An incarnation begins with a lease, even if its first message is not a heartbeat.
            self.renewed_at = self.renewed_at.max(now);
        }
        self.newest_message = message;
        self.last_message_at = now;
    }

    /// Makes all messages up to `last` stale: the worker waits for the response to none of them.
    pub fn mark_stale_up_to(&mut self, last: SequenceNumber) {
        self.newest_message = last;
        self.newest_heartbeat = last;
    }

    /// Whether the lease has expired even if it was renewed at `renewed_at` and lasts `lease_ms`, its maximum duration.
    pub fn has_expired(&self, lease_ms: u64, now: Time) -> bool {
        now > self.renewed_at + lease_ms
    }
}

#[cfg(test)]
mod tests;
