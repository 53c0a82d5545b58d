//! Whether this controller's responses and commands reach a worker.
//!
//! Each [`Machine`](super::machine::Machine) has a [`WorkerReachability`]. Receiving heartbeats is not sufficient
//! evidence: they may arrive while all responses are lost, and a heartbeat may be a delayed duplicate.

use crate::constants::workers::UNCONFIRMED_RESPONSES_BEFORE_SUSPECT;
use crate::time::Time;

/// Reachability states of a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Reachability {
    /// No heartbeat with this epoch's fencing token has arrived, so all received ones may be from before the epoch.
    Unconfirmed { since: Time },
    /// The worker has processed a response or command of this owner.
    Confirmed,
    /// Responses or commands may not have reached the worker. Probes (empty command batches) are sent until one is
    /// answered.
    Suspect { since: Time },
}

/// Reachability of one worker.
#[derive(Debug, Clone)]
pub(super) struct WorkerReachability {
    state: Reachability,
    /// Responses sent since the last heartbeat that carried this epoch's fencing token.
    unconfirmed_responses: u32,
}

impl WorkerReachability {
    /// Initial state of a newly registered worker.
    pub fn unconfirmed(now: Time) -> WorkerReachability {
        WorkerReachability {
            state: Reachability::Unconfirmed { since: now },
            unconfirmed_responses: 0,
        }
    }

    /// Begins a new epoch with the same owner: restarts the time of an unconfirmed worker.
    pub fn begin_epoch(&mut self, now: Time) {
        self.unconfirmed_responses = 0;
        if let Reachability::Unconfirmed { since } = &mut self.state {
            *since = now;
        }
    }

    /// Records that the worker has processed a message of this owner.
    pub fn confirm(&mut self) {
        self.state = Reachability::Confirmed;
        self.unconfirmed_responses = 0;
    }

    /// Records evidence that the worker may not be reachable. If it was not confirmed before, `since` stays as it was.
    pub fn mark_suspect(&mut self, now: Time) {
        let since = self.unconfirmed_since().unwrap_or(now);
        self.state = Reachability::Suspect { since };
    }

    /// Updates the state for a heartbeat and counts its response. `has_current_token`: the heartbeat carries this
    /// epoch's fencing token.
    pub fn record_heartbeat(&mut self, has_current_token: bool, now: Time) {
        if has_current_token {
            self.unconfirmed_responses = 0;
            if matches!(self.state, Reachability::Unconfirmed { .. }) {
                self.confirm();
            }
        } else if self.unconfirmed_responses >= UNCONFIRMED_RESPONSES_BEFORE_SUSPECT
            && self.state == Reachability::Confirmed
        {
            self.mark_suspect(now);
        }
        self.unconfirmed_responses += 1;
    }

    /// Whether the worker has processed a message of this owner, without evidence to the contrary since.
    pub fn is_confirmed(&self) -> bool {
        self.state == Reachability::Confirmed
    }

    /// Whether the worker may be unreachable and is to be probed.
    pub fn is_suspect(&self) -> bool {
        matches!(self.state, Reachability::Suspect { .. })
    }

    /// Since when the worker has been unconfirmed or suspect; `None` while it is confirmed.
    pub fn unconfirmed_since(&self) -> Option<Time> {
        match self.state {
            Reachability::Confirmed => None,
            Reachability::Unconfirmed { since } | Reachability::Suspect { since } => Some(since),
        }
    }
}

#[cfg(test)]
mod tests;
