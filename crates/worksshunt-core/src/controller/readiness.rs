//! Whether this controller is ready to own machines. It publishes that in its member key, and only members
//! that are ready own machines in the next epoch.

use crate::constants::partition_sync::PARTITION_SILENCE_TIMEOUT_MS;
use crate::constants::readiness::{
    LEADER_SILENCE_TIMEOUT_MS, MAX_READINESS_RETRY_MS, MIN_LEADER_SILENCE_RECOVERY_MS,
    READINESS_RETRY_MS,
};
use crate::time::Time;

use super::Controller;

/// Whether this controller is ready to own machines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Readiness {
    /// By its own judgement.
    Ready,
    /// Workers do not reach it.
    NoHeartbeats,
    /// The leader does not answer it, so what it owns would be assigned nothing.
    NoLeaderResponse,
}

/// The readiness, and what its next change depends on.
#[derive(Debug)]
pub(super) struct ReadinessState {
    current: Readiness,
    /// Not ready again before.
    ready_not_before: Time,
    /// How long the next loss of heartbeats lasts at least; doubled each time, up to a limit.
    retry_ms: u64,
    /// When the leader last answered, or another one began to lead.
    leader_answered_at: Time,
}

impl ReadinessState {
    /// Ready until something shows the opposite.
    pub fn new() -> ReadinessState {
        ReadinessState {
            current: Readiness::Ready,
            ready_not_before: Time::default(),
            retry_ms: READINESS_RETRY_MS,
            leader_answered_at: Time::default(),
        }
    }

    /// The leader has answered, or another one has begun to lead.
    pub fn leader_answered(&mut self, now: Time) {
        self.leader_answered_at = now;
    }

    /// What the readiness should be now.
    fn next(&self, now: Time, is_leader: bool, is_unreachable: bool) -> Readiness {
        let leader_silent_ms = if is_leader {
            0
        } else {
            now.since(self.leader_answered_at)
        };
        match self.current {
            Readiness::Ready if is_unreachable => Readiness::NoHeartbeats,
            Readiness::Ready if leader_silent_ms >= LEADER_SILENCE_TIMEOUT_MS => {
                Readiness::NoLeaderResponse
            }
            Readiness::NoHeartbeats if now >= self.ready_not_before => Readiness::Ready,
            Readiness::NoLeaderResponse
                if now >= self.ready_not_before
                    && leader_silent_ms < PARTITION_SILENCE_TIMEOUT_MS =>
            {
                Readiness::Ready
            }
            unchanged => unchanged,
        }
    }

    /// The one place where the readiness changes.
    fn set(&mut self, next: Readiness, now: Time) {
        tracing::info!(from = ?self.current, to = ?next, "readiness changed");
        match next {
            Readiness::Ready => {}
            Readiness::NoHeartbeats => {
                self.ready_not_before = now + self.retry_ms;
                self.retry_ms = (self.retry_ms * 2).min(MAX_READINESS_RETRY_MS);
            }
            Readiness::NoLeaderResponse => {
                self.ready_not_before = now + MIN_LEADER_SILENCE_RECOVERY_MS
            }
        }
        self.current = next;
    }
}

impl Controller {
    /// Stops offering to own machines while workers do not reach this controller or the leader does not answer
    /// it. While workers do not reach it, it offers itself again from time to time: nothing else could show
    /// that they would.
    pub(super) fn update_readiness(&mut self, now: Time) {
        let is_leader = self.membership.is_leader();
        let is_unreachable = self.partition.is_unreachable(now);
        let next = self.readiness.next(now, is_leader, is_unreachable);
        if next != self.readiness.current {
            self.readiness.set(next, now);
            self.membership.set_ready(next == Readiness::Ready);
        }
    }
}
