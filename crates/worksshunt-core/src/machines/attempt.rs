//! One attempt on a machine and the state it is in.
//!
//! A [`TrackedAttempt`] belongs to its [`Machine`](super::machine::Machine). It is created when an assignment is placed
//! or when a former owner's record is loaded; heartbeats, commands and durable writes advance it.

use std::rc::Rc;

use worksshunt_wire::peer::AttemptPhase;
use worksshunt_wire::{Incarnation, TaskId};

use crate::constants::services::REPLICA_STABLE_AFTER_MS;
use crate::jobs::Job;
use crate::time::Time;

/// State of an attempt on a machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum AttemptState {
    /// Placed on the machine; the record is being written.
    Recording,
    /// On the durable record; the launch can be sent.
    Recorded,
    /// The launch was sent with the response to a heartbeat. The worker's next heartbeat shows the outcome.
    Launched,
    /// The launch was sent directly to the worker and was not answered, or never will be: it can take
    /// effect until the worker's incarnation or the fencing token changes.
    DirectlyLaunched,
    /// On the record of a former owner; no message about it yet.
    Inherited,
    /// Waits for its image.
    Fetching,
    /// Running, as far as known since that time.
    Running(Time),
    /// Saving its checkpoint.
    Saving,
    /// Reported as completed.
    Completed,
}

/// A requested stop of an attempt.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct StopRequest {
    /// Time that the task gets to save its checkpoint, seconds.
    pub grace_s: f64,
    /// The stop was sent directly to the worker.
    pub is_sent: bool,
}

/// An attempt on a machine.
#[derive(Debug, Clone)]
pub(super) struct TrackedAttempt {
    /// The task.
    pub task: TaskId,
    /// Unknown for an attempt whose job was over before this epoch began.
    pub job: Option<Rc<Job>>,
    /// Its state.
    pub state: AttemptState,
    /// The worker's incarnation that it was placed on.
    pub incarnation: Incarnation,
    /// When it was placed, or when its launch was last sent.
    pub placed_at: Time,
    /// Size band, if the placement was over the machine's capacity.
    pub over_capacity_band: Option<usize>,
    /// It was placed by a former owner.
    pub is_inherited: bool,
    /// Set once the attempt is to be stopped.
    pub stop: Option<StopRequest>,
    /// The completion is in the key-value store.
    pub is_completion_durable: bool,
    /// A direct launch of it was not answered and may still arrive.
    pub has_unanswered_launch: bool,
}

impl TrackedAttempt {
    /// An attempt in its first state.
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
            stop: None,
            is_completion_durable: false,
            has_unanswered_launch: false,
        }
    }

    /// The one place where an attempt's state changes.
    pub fn advance(&mut self, next: AttemptState) {
        self.state = match (self.state, next) {
            // A completed task stays so, and a running one keeps the time it was first seen running.
            (AttemptState::Completed, _) => AttemptState::Completed,
            (AttemptState::Running(since), AttemptState::Running(_)) => {
                AttemptState::Running(since)
            }
            (_, next) => next,
        };
    }

    /// Requests a stop. Of several requests the shortest grace counts; a stop already sent is not sent again.
    pub fn request_stop(&mut self, grace_s: f64) {
        let stop = self.stop.get_or_insert(StopRequest {
            grace_s,
            is_sent: false,
        });
        stop.grace_s = stop.grace_s.min(grace_s);
    }

    /// Grace of the requested stop, seconds; none while no stop is requested.
    pub fn stop_grace_s(&self) -> Option<f64> {
        self.stop.map(|stop| stop.grace_s)
    }

    /// Whether a stop is requested that was not yet sent directly to the worker.
    pub fn has_unsent_stop(&self) -> bool {
        self.stop.is_some_and(|stop| !stop.is_sent)
    }

    /// Whether its launch cannot have been sent, by this process or a former owner.
    pub fn is_unlaunched(&self) -> bool {
        matches!(self.state, AttemptState::Recording | AttemptState::Recorded)
    }

    /// Whether its launch may be sent, given whether the machine has a reclaim notice.
    pub fn is_launchable(&self, has_reclaim_notice: bool) -> bool {
        self.state == AttemptState::Recorded && self.stop.is_none() && !has_reclaim_notice
    }

    /// Whether it has completed and that is in the key-value store.
    pub fn is_settled(&self) -> bool {
        self.state == AttemptState::Completed && self.is_completion_durable
    }

    /// Whether it is a replica of a service.
    pub fn is_replica(&self) -> bool {
        self.job.as_ref().is_some_and(|job| job.is_service())
    }

    /// Whether it is a replica that has been running for long enough to count as stable.
    pub fn is_stable_replica(&self, now: Time) -> bool {
        self.is_replica()
            && matches!(self.state, AttemptState::Running(since) if now.since(since) >= REPLICA_STABLE_AFTER_MS)
    }

    /// Grace in seconds that the task needs to save its checkpoint; 0 if it saves none.
    pub fn checkpoint_grace_s(&self) -> f64 {
        self.job.as_ref().map_or(0.0, |job| {
            if job.spec.checkpoint_interval_s > 0.0 {
                job.spec.checkpoint_duration_s
            } else {
                0.0
            }
        })
    }

    /// Whether the task is running and can save its checkpoint until a deadline.
    pub fn can_checkpoint_before(&self, deadline: Time, now: Time) -> bool {
        matches!(self.state, AttemptState::Running(_))
            && self.job.as_ref().is_some_and(|job| {
                job.spec.checkpoint_interval_s > 0.0
                    && now + (job.spec.checkpoint_duration_s * 1_000.0) as u64 <= deadline
            })
    }

    /// The phase that the leader gets for it.
    pub fn reported_phase(&self) -> AttemptPhase {
        match self.state {
            AttemptState::Running(_) => AttemptPhase::Running,
            AttemptState::Completed => AttemptPhase::Completed,
            _ => AttemptPhase::Placed,
        }
    }
}
