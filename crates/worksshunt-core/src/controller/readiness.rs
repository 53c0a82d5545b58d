//! Readiness of this controller to own machines. It is published in the member key, and only ready members own machines
//! in the next epoch.

use crate::constants::partition_sync::PARTITION_UNRESPONSIVE_AFTER_MS;
use crate::constants::readiness::{
    INITIAL_HEARTBEAT_LOSS_DELAY_MS, LEADER_UNRESPONSIVE_AFTER_MS, MAX_HEARTBEAT_LOSS_DELAY_MS,
    MIN_LEADER_LOSS_DELAY_MS,
};
use crate::time::Time;

use super::Controller;

/// Readiness of this controller to own machines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Readiness {
    /// No problem detected.
    Ready,
    /// No heartbeats arrive: workers cannot reach this controller.
    NoHeartbeats,
    /// The leader does not respond, so the machines of this controller would be assigned no tasks.
    NoLeaderResponse,
}

/// Current readiness, and the inputs of its next transition.
#[derive(Debug)]
pub(super) struct ReadinessState {
    current: Readiness,
    /// Earliest return to [`Readiness::Ready`].
    ready_not_before: Time,
    /// Delay before the controller becomes ready again after the next loss of heartbeats, in milliseconds. Doubles with
    /// each loss, up to [`MAX_HEARTBEAT_LOSS_DELAY_MS`].
    heartbeat_loss_delay_ms: u64,
    /// Time of the leader's last response, or of the start of the epoch if that is later.
    last_leader_response_at: Time,
}

impl ReadinessState {
    /// Creates the initial state: ready.
    pub fn new() -> ReadinessState {
        ReadinessState {
            current: Readiness::Ready,
            ready_not_before: Time::default(),
            heartbeat_loss_delay_ms: INITIAL_HEARTBEAT_LOSS_DELAY_MS,
            last_leader_response_at: Time::default(),
        }
    }

    /// Records a response of the leader, or the start of an epoch.
    pub fn record_leader_response(&mut self, now: Time) {
        self.last_leader_response_at = now;
    }

    /// Computes the readiness at `now`.
    fn next(&self, now: Time, is_leader: bool, is_unreachable: bool) -> Readiness {
        let since_leader_response_ms = if is_leader {
            0
        } else {
            now.since(self.last_leader_response_at)
        };
        match self.current {
            Readiness::Ready if is_unreachable => Readiness::NoHeartbeats,
            Readiness::Ready if since_leader_response_ms >= LEADER_UNRESPONSIVE_AFTER_MS => {
                Readiness::NoLeaderResponse
            }
            Readiness::NoHeartbeats if now >= self.ready_not_before => Readiness::Ready,
            Readiness::NoLeaderResponse
                if now >= self.ready_not_before
                    && since_leader_response_ms < PARTITION_UNRESPONSIVE_AFTER_MS =>
            {
                Readiness::Ready
            }
            unchanged => unchanged,
        }
    }

    /// Changes the readiness. The only method that does.
    fn set(&mut self, next: Readiness, now: Time) {
        tracing::info!(from = ?self.current, to = ?next, "readiness changed");
        match next {
            Readiness::Ready => {}
            Readiness::NoHeartbeats => {
                self.ready_not_before = now + self.heartbeat_loss_delay_ms;
                self.heartbeat_loss_delay_ms =
                    (self.heartbeat_loss_delay_ms * 2).min(MAX_HEARTBEAT_LOSS_DELAY_MS);
            }
            Readiness::NoLeaderResponse => self.ready_not_before = now + MIN_LEADER_LOSS_DELAY_MS,
        }
        self.current = next;
    }
}

impl Controller {
    /// Updates the readiness from the heartbeats and the leader's responses. After a loss of heartbeats the controller
    /// becomes ready again after a delay: a controller that owns no machines has no other way to detect that workers
    /// reach it.
    pub(super) fn update_readiness(&mut self, now: Time) {
        let is_leader = self.membership.is_leader();
        let is_unreachable = self.partition.is_unreachable_by_workers(now);
        let next = self.readiness.next(now, is_leader, is_unreachable);
        if next != self.readiness.current {
            self.readiness.set(next, now);
            self.membership.set_ready(next == Readiness::Ready);
        }
    }
}
