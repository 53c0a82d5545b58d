//! The order of the messages of one worker.
//!
//! Heartbeats and responses to direct commands carry the worker's incarnation and a number that grows within it. The
//! lease and the heartbeat handling of this module distinguish new messages from late copies by it.

use std::fmt;

use worksshunt_wire::worker::Heartbeat;
use worksshunt_wire::Incarnation;

/// Position of a message among all messages of its worker. The newer of two is the larger: the incarnation counts
/// before the number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct SequenceNumber {
    /// Incarnation of the worker that sent the message.
    pub incarnation: Incarnation,
    /// Number of the message within the incarnation.
    pub number: u64,
}

impl SequenceNumber {
    /// Before every message: no message is known.
    pub const NONE: SequenceNumber = SequenceNumber::new(Incarnation(0), 0);
    /// After every message: all that can come is stale.
    pub const MAX: SequenceNumber = SequenceNumber::new(Incarnation(u64::MAX), u64::MAX);

    /// The message of that number in an incarnation.
    pub const fn new(incarnation: Incarnation, number: u64) -> SequenceNumber {
        SequenceNumber {
            incarnation,
            number,
        }
    }

    /// The sequence number that a message shows.
    pub fn of(heartbeat: &Heartbeat) -> SequenceNumber {
        SequenceNumber::new(heartbeat.incarnation, heartbeat.sequence)
    }
}

impl fmt::Display for SequenceNumber {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}/{}", self.incarnation.0, self.number)
    }
}

#[cfg(test)]
mod tests;
