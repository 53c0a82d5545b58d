//! The owner's account of a worker's lease.
//!
//! Each [`Machine`](super::machine::Machine) owns a [`WorkerLease`]; heartbeats, responses to commands and losses update
//! it, and [`expiry`](super::expiry) asks whether it has expired.
//!
//! A worker that gets 200 for a heartbeat counts its lease from the moment it sent that heartbeat. So a heartbeat may be
//! answered with 200 only after its renewal was recorded here: the worker relies on it from then on. Then the account
//! is never behind the worker, and a lease that has expired by it has expired.

use worksshunt_wire::settings::Workers;

use crate::constants::leases::{CLOCK_DRIFT_SHARE, WORKER_LEASE_MARGIN_MS};
use crate::constants::workers::HEARTBEAT_TIMEOUT_MS;
use crate::time::Time;

use super::sequence_number::SequenceNumber;

/// How long a worker's lease lasts by any clock, ms.
pub fn lease_bound_ms(workers: &Workers) -> u64 {
    (workers.lease_s * 1_000.0 * (1.0 + CLOCK_DRIFT_SHARE)) as u64 + WORKER_LEASE_MARGIN_MS
}

/// How a heartbeat relates to the messages of its worker that arrived before it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Arrival {
    /// It is the newest message.
    Newest,
    /// A response to direct commands that the worker sent after it has arrived first, and the worker may still wait for
    /// its answer. Its content is outdated, but an answer renews the lease.
    Overtaken,
    /// It was counted before, or the worker has given up on it: a copy, or delayed for long.
    Stale,
}

/// When a worker's lease can have been renewed last, and by what.
#[derive(Debug, Clone)]
pub(super) struct WorkerLease {
    /// Newest message seen.
    pub newest_message: SequenceNumber,
    /// When it arrived.
    pub last_message_at: Time,
    /// Newest heartbeat counted. A worker has one heartbeat in flight at a time, so it waits for no earlier one.
    newest_heartbeat: SequenceNumber,
    /// Latest moment at which the lease can have been renewed.
    pub renewed_at: Time,
    /// The heartbeat that renewed it; none if that time is an upper bound without one.
    pub renewed_by: Option<SequenceNumber>,
}

impl WorkerLease {
    /// The lease of a worker, renewed at `renewed_at` at the latest, of which `newest` was the last message known
    /// before. Heartbeats up to that one are copies.
    pub fn new(newest: SequenceNumber, renewed_at: Time) -> WorkerLease {
        WorkerLease {
            newest_message: newest,
            last_message_at: Time::default(),
            newest_heartbeat: newest,
            renewed_at,
            renewed_by: None,
        }
    }

    /// Classifies a heartbeat that arrives now.
    pub fn classify(&self, heartbeat: SequenceNumber, now: Time) -> Arrival {
        if heartbeat > self.newest_message {
            Arrival::Newest
        } else if heartbeat > self.newest_heartbeat
            && now.since(self.last_message_at) < HEARTBEAT_TIMEOUT_MS
        {
            // It was sent before the newest message, and so has been in flight for longer than that one is known.
            Arrival::Overtaken
        } else {
            Arrival::Stale
        }
    }

    /// Counts a heartbeat that is going to be answered.
    pub fn record_renewal(&mut self, heartbeat: SequenceNumber, now: Time) {
        self.newest_heartbeat = self.newest_heartbeat.max(heartbeat);
        self.renewed_at = self.renewed_at.max(now);
        self.renewed_by = Some(heartbeat);
    }

    /// Records a message newer than all before it.
    pub fn record_message(&mut self, message: SequenceNumber, now: Time) {
        if message.incarnation > self.newest_message.incarnation {
            // An incarnation has its lease from its beginning on, whichever message showed it first.
            self.renewed_at = self.renewed_at.max(now);
        }
        self.newest_message = message;
        self.last_message_at = now;
    }

    /// No message up to `last` waits for an answer any more.
    pub fn close_up_to(&mut self, last: SequenceNumber) {
        self.newest_message = last;
        self.newest_heartbeat = last;
    }

    /// Whether the lease, which lasts `lease_ms`, has certainly expired.
    pub fn has_expired(&self, lease_ms: u64, now: Time) -> bool {
        now > self.renewed_at + lease_ms
    }
}

#[cfg(test)]
mod tests;
