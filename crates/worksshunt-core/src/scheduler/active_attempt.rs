//! One attempt as the leader counts it: from its dispatch until it is certainly gone.
//!
//! [`Scheduler`](super::Scheduler) owns one [`ActiveAttempt`] per attempt; `attempts` changes them.

use std::rc::Rc;

use worksshunt_wire::peer::{Assignment, AttemptPhase};
use worksshunt_wire::{Attempt, ControllerName, MachineId, TaskId};

use crate::jobs::Job;
use crate::time::Time;

/// An attempt that may be on a machine or on its way to one.
#[derive(Debug)]
pub(super) struct ActiveAttempt {
    pub task: TaskId,
    /// None for an attempt of a job that was done before this epoch, and so uses nothing.
    pub job: Option<Rc<Job>>,
    /// The controller that owns the partition it was dispatched to.
    pub owner: ControllerName,
    pub phase: AttemptPhase,
    /// Since when it runs, once it was reported as running.
    pub running_since: Option<Time>,
    /// The machine its owner has placed it on.
    pub machine: Option<MachineId>,
    /// The zone of that machine; before that the zone it is bound to.
    pub zone: Option<String>,
    /// The machine its resources are reserved on until its owner has placed it.
    pub reserved_on: Option<MachineId>,
    /// The claimed machine it has to use.
    pub claimed_machine: Option<MachineId>,
    /// It is being stopped to free resources for another task.
    pub is_preempted: bool,
}

impl ActiveAttempt {
    /// An attempt that was dispatched to the partition of `owner` and not placed yet.
    pub fn new(task: TaskId, owner: ControllerName) -> ActiveAttempt {
        ActiveAttempt {
            task,
            job: None,
            owner,
            phase: AttemptPhase::Queued,
            running_since: None,
            machine: None,
            zone: None,
            reserved_on: None,
            claimed_machine: None,
            is_preempted: false,
        }
    }

    /// Whether its task completed.
    pub fn is_completed(&self) -> bool {
        self.phase == AttemptPhase::Completed
    }

    /// Milliseconds it has been running for; 0 before it runs.
    pub fn running_ms(&self, now: Time) -> u64 {
        self.running_since.map_or(0, |since| now.since(since))
    }

    /// The message that assigns it to its owner; none once it is placed.
    pub fn assignment(&self, attempt: Attempt) -> Option<Assignment> {
        self.machine.is_none().then(|| Assignment {
            task: self.task,
            attempt,
            zone: self.zone.clone(),
            claimed_machine: self.claimed_machine.clone(),
        })
    }
}
