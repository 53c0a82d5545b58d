//! The owner's account of a worker's lease.
//!
//! A worker that gets 200 for a report counts its lease from the moment it sent that report. So a report may be
//! answered with 200 only after it was counted here: what the worker relies on has to be on the account first. Then
//! the account is never behind the worker, and a lease that is over by it is over.

use worksshunt_wire::Session;

use crate::constants::REPORT_DEADLINE_MS;
use crate::time::Time;

/// Session and number of a worker's message, report or answer to orders. The newer of two is the larger.
pub(super) type MessageNumber = (Session, u64);

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
pub(super) struct LeaseAccount {
    /// Newest message seen.
    pub newest: MessageNumber,
    /// When it came.
    pub heard: Time,
    /// Newest report counted. A worker has one report under way at a time, so it waits for no earlier one.
    newest_report: MessageNumber,
    /// Latest moment at which the lease can have been renewed.
    pub renewed: Time,
    /// The report by which it was; none if it is reckoned without one.
    pub renewed_by: Option<MessageNumber>,
}

impl LeaseAccount {
    /// An account of a worker of which `newest` was the last message known before. Reports up to that one
    /// are copies.
    pub fn new(renewed: Time, newest: MessageNumber) -> LeaseAccount {
        LeaseAccount {
            newest,
            heard: Time::default(),
            newest_report: newest,
            renewed,
            renewed_by: None,
        }
    }

    /// Tells what a report that arrives now is.
    pub fn arrival(&self, report: MessageNumber, now: Time) -> Arrival {
        if report > self.newest {
            Arrival::Newest
        } else if report > self.newest_report && now.since(self.heard) < REPORT_DEADLINE_MS {
            // It left before the newest message did, and so has been under way for longer than that is known.
            Arrival::Overtaken
        } else {
            Arrival::Stale
        }
    }

    /// Counts a report that is going to be answered.
    pub fn count(&mut self, report: MessageNumber, now: Time) {
        self.newest_report = self.newest_report.max(report);
        self.renewed = self.renewed.max(now);
        self.renewed_by = Some(report);
    }

    /// Takes note of a message newer than all before it.
    pub fn hear(&mut self, message: MessageNumber, now: Time) {
        if message.0 > self.newest.0 {
            // A session has its lease from its beginning on, whoever was told of it and how.
            self.renewed = self.renewed.max(now);
        }
        self.newest = message;
        self.heard = now;
    }

    /// Nothing that left up to the message `last` waits for an answer any more.
    pub fn close(&mut self, last: MessageNumber) {
        self.newest = last;
        self.newest_report = last;
    }

    /// Whether the lease, which lasts so long, is certainly over.
    pub fn is_over(&self, lease_ms: u64, now: Time) -> bool {
        now > self.renewed + lease_ms
    }
}

#[cfg(test)]
mod tests;
