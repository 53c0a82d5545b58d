//! Sequence numbers of a worker's messages.
//!
//! Heartbeats and responses to direct commands carry the worker's incarnation and a number that increases within it.
//! Comparing them distinguishes new messages from delayed and duplicate ones.

use std::fmt;

use worksshunt_wire::worker::Heartbeat;
use worksshunt_wire::Incarnation;

/// Sequence number of a worker's message, ordered by incarnation first. A later message has a larger one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct SequenceNumber {
    /// Incarnation of the worker when it sent the message.
    pub incarnation: Incarnation,
    /// Number within the incarnation.
    pub number: u64,
}

impl SequenceNumber {
    /// Lower than that of any message: none has been received.
    pub const NONE: SequenceNumber = SequenceNumber::new(Incarnation(0), 0);
    /// Not lower than that of any message: every further message is stale.
    pub const MAX: SequenceNumber = SequenceNumber::new(Incarnation(u64::MAX), u64::MAX);

    pub const fn new(incarnation: Incarnation, number: u64) -> SequenceNumber {
        SequenceNumber {
            incarnation,
            number,
        }
    }

    /// The sequence number in a heartbeat or a response to direct commands.
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
