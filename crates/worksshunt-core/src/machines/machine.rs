//! One machine and the attempts on it, as its owner sees them.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use worksshunt_wire::peer::Phase;
use worksshunt_wire::{Attempt, Incarnation, JobId, TaskId};

use crate::constants::workers::{FAULTY_MACHINE_JOBS, UNHEEDED_RESPONSES_BEFORE_SUSPECT};
use crate::jobs::Job;
use crate::resources::Resources;
use crate::time::Time;

use super::worker_lease::{SequenceNumber, WorkerLease};

/// Where an attempt on a machine stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum AttemptState {
    /// Chosen for the machine; the record is being written.
    Recording,
    /// On the durable record; the launch can leave.
    Recorded,
    /// The launch left with the answer to a report. The worker's next report shows the outcome.
    Launched,
    /// The launch left straight for the worker and is not answered, or never will be: it can take
    /// effect until the worker's session or the token changes.
    DirectlyLaunched,
    /// On the record of a former owner; nothing heard of it yet.
    Inherited,
    /// Waits for its image.
    Fetching,
    /// Runs, as far as known since then.
    Running(Time),
    /// Saves its progress.
    Saving,
    /// Reported as completed.
    Completed,
}

#[derive(Debug, Clone)]
pub(super) struct TrackedAttempt {
    pub task: TaskId,
    /// Unknown for an attempt whose job was over before this epoch began.
    pub job: Option<Rc<Job>>,
    pub state: AttemptState,
    pub incarnation: Incarnation,
    pub placed_at: Time,
    /// Size band, if the placement was over the machine's capacity.
    pub over_capacity_band: Option<usize>,
    pub inherited: bool,
    /// Grace in seconds, once the attempt is to be stopped.
    pub stop_grace_s: Option<f64>,
    /// The completion is in the store.
    pub durable: bool,
    /// A direct launch of it was not answered and may yet arrive.
    pub direct_launch_unanswered: bool,
    /// The stop was sent straight to the worker.
    pub stop_sent: bool,
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
            inherited: state == AttemptState::Inherited,
            stop_grace_s: None,
            durable: false,
            direct_launch_unanswered: false,
            stop_sent: false,
        }
    }

    /// The one place where an attempt's state changes.
    pub fn advance(&mut self, next: AttemptState) {
        self.state = match (self.state, next) {
            // A completed task stays so, and a running one keeps its first sighting.
            (AttemptState::Completed, _) => AttemptState::Completed,
            (AttemptState::Running(since), AttemptState::Running(_)) => {
                AttemptState::Running(since)
            }
            (_, next) => next,
        };
    }

    /// Whether its launch cannot have left this process or a former owner.
    pub fn never_launched(&self) -> bool {
        matches!(self.state, AttemptState::Recording | AttemptState::Recorded)
    }

    /// Whether it has completed and that is in the store.
    pub fn is_settled(&self) -> bool {
        self.state == AttemptState::Completed && self.durable
    }

    /// How the leader is told of it.
    pub fn reported_phase(&self) -> Phase {
        match self.state {
            AttemptState::Running(_) => Phase::Running,
            AttemptState::Completed => Phase::Completed,
            _ => Phase::Placed,
        }
    }
}

/// What a worker said of its machine.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct MachineInfo {
    pub machine_type: String,
    pub zone: String,
    pub spot: bool,
    pub capacity: Resources,
    pub command_address: String,
}

/// Whether answers and orders reach the worker. Hearing it proves nothing: reports may arrive while
/// nothing gets back, and a report may be a late copy of one long past.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Reachability {
    /// Its reports do not show this epoch's token yet, so none of them need be of this epoch.
    Unconfirmed { since: Time },
    /// It has acted on something this owner said.
    Confirmed,
    /// Something speaks against it; orders that change nothing are sent until one is answered.
    Suspect { since: Time },
}

/// How long is waited for a machine; derived from the settings.
#[derive(Debug, Clone, Copy)]
pub(super) struct MachineTimeouts {
    /// Without a report until it gets no tasks, ms.
    pub missed_heartbeats_ms: u64,
    /// Without proof that it is reached until it goes back, ms.
    pub unreachable_ms: u64,
}

/// What the leader is told of a machine, apart from what never changes.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub(super) struct MachineSummary {
    pub known: bool,
    pub schedulable: bool,
    pub empty: bool,
    pub reclaim_notice: bool,
    pub unreachable: bool,
    pub lost: bool,
    pub free: Resources,
}

#[derive(Debug, Clone)]
pub(super) struct Machine {
    pub info: Option<MachineInfo>,
    pub lease: WorkerLease,
    pub lost: bool,
    pub reachability: Reachability,
    /// Answers given since its reports last showed this epoch's token.
    pub unheeded_responses: u32,
    /// Direct orders are on their way.
    pub commands_in_flight: bool,
    /// No direct orders before: the last ones were not answered.
    pub commands_not_before: Time,
    /// Ended attempts the worker must remember, because an unanswered direct launch of them would
    /// start them a second time; with the session in which that can happen.
    pub unreaped: BTreeMap<Attempt, Incarnation>,
    /// When the cloud takes it, once it gave notice.
    pub reclaim_at: Option<Time>,
    pub draining: bool,
    pub claimed: bool,
    /// The worker lists tasks that are on no record.
    pub has_unknown_tasks: bool,
    /// Jobs whose tasks failed on it since a task last completed there.
    pub failing_jobs: BTreeSet<JobId>,
    pub attempts: BTreeMap<Attempt, TrackedAttempt>,
    /// Since when nothing is on it.
    pub empty_since: Option<Time>,
    /// As it was when last looked at.
    pub summary: MachineSummary,
}

impl Machine {
    /// A machine whose worker's lease can have been renewed until then, and of whose messages none newer than
    /// that was seen.
    pub fn new(now: Time, renewed: Time, newest: SequenceNumber) -> Machine {
        Machine {
            info: None,
            lease: WorkerLease::new(renewed, newest),
            lost: false,
            reachability: Reachability::Unconfirmed { since: now },
            unheeded_responses: 0,
            commands_in_flight: false,
            commands_not_before: Time::default(),
            unreaped: BTreeMap::new(),
            reclaim_at: None,
            draining: false,
            claimed: false,
            has_unknown_tasks: false,
            failing_jobs: BTreeSet::new(),
            attempts: BTreeMap::new(),
            empty_since: None,
            summary: MachineSummary::default(),
        }
    }

    /// The one place where the machine's reach changes.
    pub fn set_reachability(&mut self, next: Reachability) {
        self.reachability = match (self.reachability, next) {
            (Reachability::Suspect { since }, Reachability::Suspect { .. }) => {
                Reachability::Suspect { since }
            }
            (Reachability::Unconfirmed { since }, Reachability::Suspect { .. }) => {
                Reachability::Suspect { since }
            }
            (_, next) => next,
        };
        if self.reachability == Reachability::Confirmed {
            self.unheeded_responses = 0;
        }
    }

    /// Reckons with what the token in a report shows; `current` if it is this epoch's.
    pub fn record_shown_token(&mut self, current: bool, now: Time) {
        if current {
            self.unheeded_responses = 0;
            if matches!(self.reachability, Reachability::Unconfirmed { .. }) {
                self.set_reachability(Reachability::Confirmed);
            }
        } else if self.unheeded_responses >= UNHEEDED_RESPONSES_BEFORE_SUSPECT
            && self.reachability == Reachability::Confirmed
        {
            self.set_reachability(Reachability::Suspect { since: now });
        }
    }

    /// What is free now.
    pub fn free(&self) -> Resources {
        let Some(info) = &self.info else {
            return Resources::default();
        };
        let mut free = info.capacity;
        for tracked in self.attempts.values() {
            match (&tracked.job, tracked.state) {
                (_, AttemptState::Completed) => {}
                (Some(job), _) => free.allocate(&job.resources()),
                // Of unknown size: nothing may join it.
                (None, _) => return Resources::default(),
            }
        }
        free
    }

    /// Share of its resources that is taken, given what is free.
    pub fn utilization(&self, free: &Resources) -> f64 {
        let Some(info) = &self.info else {
            return 1.0;
        };
        let share = |free: f64, all: f64| if all > 0.0 { 1.0 - free / all } else { 0.0 };
        share(free.cpus, info.capacity.cpus)
            .max(share(free.gpus, info.capacity.gpus))
            .max(share(free.memory_gb, info.capacity.memory_gb))
    }

    pub fn is_schedulable(&self, now: Time, patience: MachineTimeouts) -> bool {
        self.info.is_some()
            && !self.lost
            && !self.draining
            && !self.has_unknown_tasks
            && self.reachability == Reachability::Confirmed
            && self.failing_jobs.len() < FAULTY_MACHINE_JOBS
            && self.reclaim_at.is_none()
            && now.since(self.lease.last_message_at) <= patience.missed_heartbeats_ms
    }

    pub fn summarize(&self, now: Time, patience: MachineTimeouts) -> MachineSummary {
        let since = match self.reachability {
            Reachability::Confirmed => None,
            Reachability::Unconfirmed { since } | Reachability::Suspect { since } => Some(since),
        };
        let unreached = since.is_some_and(|since| now.since(since) >= patience.unreachable_ms);
        let proven_once = !matches!(self.reachability, Reachability::Unconfirmed { .. });
        MachineSummary {
            // A machine is not spoken of before it is known to be there now.
            known: self.info.is_some() && (proven_once || unreached),
            schedulable: self.is_schedulable(now, patience),
            // What is settled may have to be remembered by the worker for long, but keeps no machine.
            empty: self.attempts.values().all(TrackedAttempt::is_settled),
            reclaim_notice: self.reclaim_at.is_some(),
            unreachable: unreached,
            lost: self.lost,
            free: self.free(),
        }
    }
}
