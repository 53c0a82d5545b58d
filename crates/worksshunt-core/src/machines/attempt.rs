//! An attempt on a machine, and its state machine.
//!
//! A [`TrackedAttempt`] belongs to a [`Machine`](super::machine::Machine). It is created when an assignment is placed
//! or when a previous owner's record is loaded. Heartbeats, commands and durable writes change its state.

use std::rc::Rc;

use worksshunt_wire::peer::AttemptPhase;
use worksshunt_wire::{Incarnation, TaskId};

use crate::constants::services::REPLICA_STABLE_AFTER_MS;
use crate::jobs::Job;
use crate::time::Time;

/// State of an attempt on a machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum AttemptState {
    /// Placed on the machine; its record is not durable yet.
    Recording,
    /// The record is durable; the launch can be sent.
    Recorded,
    /// The launch was sent in the response to a heartbeat, or directly and the worker has answered. The worker's next
    /// heartbeat shows whether it has arrived.
    Launched,
    /// The launch was sent directly to the worker and has not been answered. It can take effect until the worker's
    /// incarnation or the fencing token changes.
    DirectlyLaunched,
    /// Loaded from a previous owner's record; no message has listed it yet.
    Inherited,
    /// Waiting for its image.
    Fetching,
    /// Running; holds the time at which it was first reported as running.
    Running(Time),
    /// Saving its checkpoint.
    Saving,
    /// Reported as completed, not necessarily durable yet.
    Completed,
}

/// A request to stop an attempt.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct StopRequest {
    /// Time allowed for a checkpoint, seconds.
    pub grace_s: f64,
    /// Whether the stop was sent directly to the worker, which is done only once.
    pub is_sent: bool,
}

/// An attempt that is, or may be, on a machine.
#[derive(Debug, Clone)]
pub(super) struct TrackedAttempt {
    pub task: TaskId,
    /// `None` for an inherited attempt whose job was not open, or not readable, when the epoch began.
    pub job: Option<Rc<Job>>,
    pub state: AttemptState,
    /// The worker's incarnation for which the attempt was placed.
    pub incarnation: Incarnation,
    /// Time of the placement, or of the last launch sent.
    pub placed_at: Time,
    /// Size band of an over-capacity placement; `None` for other placements and once the completion is counted.
    pub over_capacity_band: Option<usize>,
    /// Whether it was placed by a previous owner.
    pub is_inherited: bool,
    pub stop_request: Option<StopRequest>,
    /// Whether the completion is durable in the key-value store, or need not be because the job has ended.
    pub is_completion_durable: bool,
}

impl TrackedAttempt {
    pub fn new(
        task: TaskId,
        job: Option<Rc<Job>>,
        state: AttemptState,
        incarnation: Incarnation,
        now: Time,
    ) -> TrackedAttempt {
        TrackedAttempt {
            task,
            job,
            state,
            incarnation,
            placed_at: now,
            over_capacity_band: None,
            is_inherited: state == AttemptState::Inherited,
            stop_request: None,
            is_completion_durable: false,
        }
    }

    /// Changes the state; the only method that does.
    pub fn transition_to(&mut self, next: AttemptState) {
        self.state = match (self.state, next) {
            // Completed is final, and a running attempt keeps the time at which it was first reported running.
            (AttemptState::Completed, _) => AttemptState::Completed,
            (AttemptState::Running(since), AttemptState::Running(_)) => {
                AttemptState::Running(since)
            }
            (_, next) => next,
        };
    }

    /// Requests a stop. The shortest grace of several requests applies; a stop already sent directly is not sent again.
    pub fn request_stop(&mut self, grace_s: f64) {
        let stop = self.stop_request.get_or_insert(StopRequest {
            grace_s,
            is_sent: false,
        });
        stop.grace_s = stop.grace_s.min(grace_s);
    }

    /// Grace of the requested stop, seconds; `None` if no stop is requested.
    pub fn stop_grace_s(&self) -> Option<f64> {
        self.stop_request.map(|stop| stop.grace_s)
    }

    /// Whether a stop is requested that has not been sent directly to the worker.
    pub fn has_unsent_stop(&self) -> bool {
        self.stop_request.is_some_and(|stop| !stop.is_sent)
    }

    /// Whether no launch can have been sent, by this controller or a previous owner.
    pub fn is_unlaunched(&self) -> bool {
        matches!(self.state, AttemptState::Recording | AttemptState::Recorded)
    }

    /// Whether the launch may be sent, given whether the machine has a reclaim notice.
    pub fn is_launchable(&self, has_reclaim_notice: bool) -> bool {
        self.state == AttemptState::Recorded && self.stop_request.is_none() && !has_reclaim_notice
    }

    /// Whether it has completed and the completion is durable.
    pub fn is_durably_completed(&self) -> bool {
        self.state == AttemptState::Completed && self.is_completion_durable
    }

    /// Whether it is a replica of a service; false if the job is unknown.
    pub fn is_replica(&self) -> bool {
        self.job.as_ref().is_some_and(|job| job.is_service())
    }

    /// Whether it is a replica that has been running for at least `REPLICA_STABLE_AFTER_MS`.
    pub fn is_stable_replica(&self, now: Time) -> bool {
        self.is_replica()
            && matches!(self.state, AttemptState::Running(since) if now.since(since) >= REPLICA_STABLE_AFTER_MS)
    }

    /// Time that the task needs for a checkpoint, seconds; 0 if it makes none.
    pub fn checkpoint_grace_s(&self) -> f64 {
        self.job.as_ref().map_or(0.0, |job| {
            if job.spec.checkpoint_interval_s > 0.0 {
                job.spec.checkpoint_duration_s
            } else {
                0.0
            }
        })
    }

    /// Whether the task is running and can finish a checkpoint before a deadline.
    pub fn can_checkpoint_before(&self, deadline: Time, now: Time) -> bool {
        matches!(self.state, AttemptState::Running(_))
            && self.job.as_ref().is_some_and(|job| {
                job.spec.checkpoint_interval_s > 0.0
                    && now + (job.spec.checkpoint_duration_s * 1_000.0) as u64 <= deadline
            })
    }

    /// The phase that is reported to the leader.
    pub fn reported_phase(&self) -> AttemptPhase {
        match self.state {
            AttemptState::Running(_) => AttemptPhase::Running,
            AttemptState::Completed => AttemptPhase::Completed,
            _ => AttemptPhase::Placed,
        }
    }
}
