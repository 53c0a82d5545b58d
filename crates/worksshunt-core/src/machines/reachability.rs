//! Whether the responses and commands of this controller reach a worker.
//!
//! Each [`Machine`](super::machine::Machine) owns a [`WorkerReachability`]. Receiving heartbeats proves nothing:
//! they may arrive while every response is lost, and a heartbeat may be a late copy of one sent long ago.

use crate::constants::workers::UNCONFIRMED_RESPONSES_BEFORE_SUSPECT;
use crate::time::Time;

/// What is known about whether a worker is reached.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Reachability {
    /// Its heartbeats do not show this epoch's fencing token yet, so none of them need be of this epoch.
    Unconfirmed { since: Time },
    /// It has acted on a message of this owner.
    Confirmed,
    /// There is evidence against it; commands that change nothing (probes) are sent until one is answered.
    Suspect { since: Time },
}

/// Reachability of one worker and the evidence for it.
#[derive(Debug, Clone)]
pub(super) struct WorkerReachability {
    state: Reachability,
    /// Responses sent since the worker's heartbeats last showed this epoch's fencing token.
    unconfirmed_responses: u32,
}

impl WorkerReachability {
    /// Nothing is known yet.
    pub fn unconfirmed(now: Time) -> WorkerReachability {
        WorkerReachability {
            state: Reachability::Unconfirmed { since: now },
            unconfirmed_responses: 0,
        }
    }

    /// A new epoch begins under the same owner.
    pub fn begin_epoch(&mut self, now: Time) {
        self.unconfirmed_responses = 0;
        if let Reachability::Unconfirmed { since } = &mut self.state {
            *since = now;
        }
    }

    /// The worker has acted on a message of this owner.
    pub fn confirm(&mut self) {
        self.state = Reachability::Confirmed;
        self.unconfirmed_responses = 0;
    }

    /// There is evidence that the worker is not reached. The time without confirmation continues from when it began.
    pub fn suspect(&mut self, now: Time) {
        let since = self.unproven_since().unwrap_or(now);
        self.state = Reachability::Suspect { since };
    }

    /// Evaluates the fencing token that a heartbeat shows (`is_current` if it is this epoch's) and counts the
    /// response that is sent to it.
    pub fn record_heartbeat(&mut self, is_current: bool, now: Time) {
        if is_current {
            self.unconfirmed_responses = 0;
            if matches!(self.state, Reachability::Unconfirmed { .. }) {
                self.confirm();
            }
        } else if self.unconfirmed_responses >= UNCONFIRMED_RESPONSES_BEFORE_SUSPECT
            && self.state == Reachability::Confirmed
        {
            self.suspect(now);
        }
        self.unconfirmed_responses += 1;
    }

    /// Whether the worker has acted on a message of this owner and there is no evidence against it since.
    pub fn is_confirmed(&self) -> bool {
        self.state == Reachability::Confirmed
    }

    /// Whether there is evidence that the worker is not reached.
    pub fn is_suspect(&self) -> bool {
        matches!(self.state, Reachability::Suspect { .. })
    }

    /// Since when there is no proof that the worker is reached; none while it is confirmed.
    pub fn unproven_since(&self) -> Option<Time> {
        match self.state {
            Reachability::Confirmed => None,
            Reachability::Unconfirmed { since } | Reachability::Suspect { since } => Some(since),
        }
    }
}

#[cfg(test)]
mod tests;
