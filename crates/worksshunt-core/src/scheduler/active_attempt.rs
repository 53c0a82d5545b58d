//! One attempt in the leader's accounting, from its dispatch until it is confirmed to have ended.
//!
//! [`Scheduler`](super::Scheduler) owns one [`ActiveAttempt`] per attempt; the `attempts` module updates them.

use std::rc::Rc;

use worksshunt_wire::peer::{Assignment, AttemptPhase};
use worksshunt_wire::{AttemptId, ControllerName, MachineId, TaskId};

use crate::jobs::Job;
use crate::time::Time;

/// An attempt that may be on a machine or on its way to one.
#[derive(Debug)]
pub(super) struct ActiveAttempt {
    pub task: TaskId,
    /// `None` if the job was closed before this epoch. Such an attempt is charged to no quota.
    pub job: Option<Rc<Job>>,
    /// The owner of the partition that the attempt was dispatched to.
    pub owner: ControllerName,
    pub phase: AttemptPhase,
    /// When it began to run; `None` unless it is running.
    pub running_since: Option<Time>,
    /// The machine it was placed on; `None` until its partition's owner reports the placement.
    pub machine: Option<MachineId>,
    /// The zone of `machine`. Before the placement: the zone that the task has to run in, if its job constrains that.
    pub zone: Option<String>,
    /// The machine on which its resources are reserved until it is placed.
    pub reserved_on: Option<MachineId>,
    /// The claimed machine on which it has to be placed. `None` once it is placed, or if no machine is claimed for it.
    pub claimed_machine: Option<MachineId>,
    /// Whether it is being stopped to free resources for another task.
    pub is_preempted: bool,
}

impl ActiveAttempt {
    /// An attempt that was dispatched to the partition of `owner` and is not placed yet.
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

    pub fn is_completed(&self) -> bool {
        self.phase == AttemptPhase::Completed
    }

    /// Milliseconds for which it has been running; 0 unless it is running.
    pub fn running_ms(&self, now: Time) -> u64 {
        self.running_since.map_or(0, |since| now.since(since))
    }

    /// The assignment for its partition's owner; `None` once it is placed.
    pub fn assignment(&self, attempt: AttemptId) -> Option<Assignment> {
        self.machine.is_none().then(|| Assignment {
            task: self.task,
            attempt,
            zone: self.zone.clone(),
            claimed_machine: self.claimed_machine.clone(),
        })
    }
}
