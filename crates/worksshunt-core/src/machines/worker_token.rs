//! The fencing token that an owner uses for one worker.
//!
//! A direct command may reach its worker once more at any later time, also after it was answered. A repeated launch has
//! no effect while the worker lists the attempt, and is refused once the worker has seen a higher token. Therefore a
//! reap, after which the attempt is not listed, is sent only under a higher token than every direct launch sent before.

use worksshunt_wire::FencingToken;

use crate::membership::FencingTokens;

/// Fencing token of the messages to one worker. It rises within the epoch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct WorkerToken {
    current: FencingToken,
    /// The epoch's last token. No direct launch is sent under it.
    last: FencingToken,
    /// Whether a direct launch may have been sent under the current token.
    has_direct_launch: bool,
}

impl WorkerToken {
    /// The epoch's first token.
    pub fn new(tokens: FencingTokens) -> WorkerToken {
        WorkerToken {
            current: tokens.first,
            last: tokens.last,
            has_direct_launch: false,
        }
    }

    /// Token of the next message to the worker.
    pub fn current(&self) -> FencingToken {
        self.current
    }

    /// Whether the epoch has a higher token, under which the attempt of a direct launch can be reaped.
    pub fn allows_direct_launch(&self) -> bool {
        self.current < self.last
    }

    /// Records that a direct launch is sent under the current token.
    pub fn record_direct_launch(&mut self) {
        self.has_direct_launch = true;
    }

    /// Whether the token has to be raised before a reap is sent.
    pub fn needs_raise_for_reap(&self) -> bool {
        self.has_direct_launch
    }

    /// Raises the token above that of every direct launch.
    pub fn raise_for_reap(&mut self) {
        if self.has_direct_launch {
            self.current.0 += 1;
            self.has_direct_launch = false;
        }
    }

    /// Records the highest token that the worker has seen. It is higher than the current one if the machine has left the
    /// partition and returned within the epoch; launches may have been sent under it.
    pub fn observe(&mut self, seen: FencingToken) {
        if self.current < seen && seen <= self.last {
            self.current = seen;
            self.has_direct_launch = self.allows_direct_launch();
        }
    }
}

#[cfg(test)]
mod tests;
