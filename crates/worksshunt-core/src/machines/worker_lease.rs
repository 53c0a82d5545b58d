//! The owner's account of a worker's lease.
//!
//! A worker that gets 200 for a report counts its lease from the moment it sent that report. So a report may be
//! answered with 200 only after it was counted here: what the worker relies on has to be on the account first. Then
//! the account is never behind the worker, and a lease that is over by it is over.

use worksshunt_wire::Incarnation;

use crate::constants::workers::HEARTBEAT_DEADLINE_MS;
use crate::time::Time;

/// Session and number of a worker's message, report or answer to orders. The newer of two is the larger.
pub(super) type SequenceNumber = (Incarnation, u64);

/// How a report stands to the messages of its worker that came before it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Arrival {
    /// It is the newest message.
    Newest,
    /// An answer to direct orders that the worker gave after sending it has come first, and the worker may still wait
    /// for its answer. What it says is outdated, but an answer renews the lease.
    Overtaken,
    /// It was counted before, or the worker has given up on it: a copy, or held up for long.
    Stale,
}

/// When a worker's lease can have been renewed last, and by what.
#[derive(Debug, Clone)]
pub(super) struct WorkerLease {
    /// Newest message seen.
    pub newest_message: SequenceNumber,
    /// When it came.
    pub last_message_at: Time,
    /// Newest report counted. A worker has one report under way at a time, so it waits for no earlier one.
    newest_heartbeat: SequenceNumber,
    /// Latest moment at which the lease can have been renewed.
    pub renewed_at: Time,
    /// The report by which it was; none if it is reckoned without one.
    pub renewed_by: Option<SequenceNumber>,
}

impl WorkerLease {
    /// An account of a worker of which `newest` was the last message known before. Reports up to that one
    /// are copies.
    pub fn new(renewed: Time, newest: SequenceNumber) -> WorkerLease {
        WorkerLease {
            newest_message: newest,
            last_message_at: Time::default(),
            newest_heartbeat: newest,
            renewed_at: renewed,
            renewed_by: None,
        }
    }

    /// Tells what a report that arrives now is.
    pub fn classify(&self, heartbeat: SequenceNumber, now: Time) -> Arrival {
        if heartbeat > self.newest_message {
            Arrival::Newest
        } else if heartbeat > self.newest_heartbeat
            && now.since(self.last_message_at) < HEARTBEAT_DEADLINE_MS
        {
            // It left before the newest message did, and so has been under way for longer than that is known.
            Arrival::Overtaken
        } else {
            Arrival::Stale
        }
    }

    /// Counts a report that is going to be answered.
    pub fn record_renewal(&mut self, heartbeat: SequenceNumber, now: Time) {
        self.newest_heartbeat = self.newest_heartbeat.max(heartbeat);
        self.renewed_at = self.renewed_at.max(now);
        self.renewed_by = Some(heartbeat);
    }

    /// Takes note of a message newer than all before it.
    pub fn record_message(&mut self, message: SequenceNumber, now: Time) {
        if message.0 > self.newest_message.0 {
            // A session has its lease from its beginning on, whoever was told of it and how.
            self.renewed_at = self.renewed_at.max(now);
        }
        self.newest_message = message;
        self.last_message_at = now;
    }

    /// Nothing that left up to the message `last` waits for an answer any more.
    pub fn close_up_to(&mut self, last: SequenceNumber) {
        self.newest_message = last;
        self.newest_heartbeat = last;
    }

    /// Whether the lease, which lasts so long, is certainly over.
    pub fn has_expired(&self, lease_ms: u64, now: Time) -> bool {
        now > self.renewed_at + lease_ms
    }
}

#[cfg(test)]
mod tests;
