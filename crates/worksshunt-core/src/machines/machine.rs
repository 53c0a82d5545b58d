//! One machine and the attempts on it, as its owner sees them.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use worksshunt_wire::peer::Phase;
use worksshunt_wire::{Attempt, JobId, Session, TaskId};

use crate::constants::{FAULTY_JOBS, UNHEEDED_ANSWERS};
use crate::jobs::Job;
use crate::room::Room;
use crate::time::Time;

use super::lease::{LeaseAccount, MessageNumber};

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
    pub session: Session,
    pub placed_at: Time,
    /// Size band, if the placement was over the machine's capacity.
    pub over_capacity: Option<usize>,
    pub inherited: bool,
    /// Grace in seconds, once the attempt is to be stopped.
    pub stop: Option<f64>,
    /// The completion is in the store.
    pub durable: bool,
    /// A direct launch of it was not answered and may yet arrive.
    pub ordered: bool,
    /// The stop was sent straight to the worker.
    pub stop_sent: bool,
}

impl TrackedAttempt {
    /// An attempt in its first state.
    pub fn new(
        task: TaskId,
        job: Option<Rc<Job>>,
        state: AttemptState,
        session: Session,
        now: Time,
    ) -> TrackedAttempt {
        TrackedAttempt {
            task,
            job,
            state,
            session,
            placed_at: now,
            over_capacity: None,
            inherited: state == AttemptState::Inherited,
            stop: None,
            durable: false,
            ordered: false,
            stop_sent: false,
        }
    }

    /// The one place where an attempt's state changes.
    pub fn step(&mut self, next: AttemptState) {
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
    pub fn settled(&self) -> bool {
        self.state == AttemptState::Completed && self.durable
    }

    /// How the leader is told of it.
    pub fn phase(&self) -> Phase {
        match self.state {
            AttemptState::Running(_) => Phase::Running,
            AttemptState::Completed => Phase::Completed,
            _ => Phase::Placed,
        }
    }
}

/// What a worker said of its machine.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct Info {
    pub machine_type: String,
    pub zone: String,
    pub spot: bool,
    pub room: Room,
    pub addr: String,
}

/// Whether answers and orders reach the worker. Hearing it proves nothing: reports may arrive while
/// nothing gets back, and a report may be a late copy of one long past.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Reach {
    /// Its reports do not show this epoch's token yet, so none of them need be of this epoch.
    Unconfirmed { since: Time },
    /// It has acted on something this owner said.
    Confirmed,
    /// Something speaks against it; orders that change nothing are sent until one is answered.
    Suspect { since: Time },
}

/// How long is waited for a machine; derived from the settings.
#[derive(Debug, Clone, Copy)]
pub(super) struct Patience {
    /// Without a report until it gets no tasks, ms.
    pub silent_ms: u64,
    /// Without proof that it is reached until it goes back, ms.
    pub unreached_ms: u64,
}

/// What the leader is told of a machine, apart from what never changes.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub(super) struct Summary {
    pub known: bool,
    pub usable: bool,
    pub empty: bool,
    pub noticed: bool,
    pub unreached: bool,
    pub lost: bool,
    pub free: Room,
}

#[derive(Debug, Clone)]
pub(super) struct Machine {
    pub info: Option<Info>,
    pub lease: LeaseAccount,
    pub lost: bool,
    pub reach: Reach,
    /// Answers given since its reports last showed this epoch's token.
    pub unheeded: u32,
    /// Direct orders are on their way.
    pub ordering: bool,
    /// No direct orders before: the last ones were not answered.
    pub order_from: Time,
    /// Ended attempts the worker must remember, because an unanswered direct launch of them would
    /// start them a second time; with the session in which that can happen.
    pub kept: BTreeMap<Attempt, Session>,
    /// When the cloud takes it, once it gave notice.
    pub notice: Option<Time>,
    pub draining: bool,
    pub claimed: bool,
    /// The worker lists tasks that are on no record.
    pub foreign: bool,
    /// Jobs whose tasks failed on it since a task last completed there.
    pub failing: BTreeSet<JobId>,
    pub attempts: BTreeMap<Attempt, TrackedAttempt>,
    /// Since when nothing is on it.
    pub empty_since: Option<Time>,
    /// As it was when last looked at.
    pub summary: Summary,
}

impl Machine {
    /// A machine whose worker's lease can have been renewed until then, and of whose messages none newer than
    /// that was seen.
    pub fn new(now: Time, renewed: Time, newest: MessageNumber) -> Machine {
        Machine {
            info: None,
            lease: LeaseAccount::new(renewed, newest),
            lost: false,
            reach: Reach::Unconfirmed { since: now },
            unheeded: 0,
            ordering: false,
            order_from: Time::default(),
            kept: BTreeMap::new(),
            notice: None,
            draining: false,
            claimed: false,
            foreign: false,
            failing: BTreeSet::new(),
            attempts: BTreeMap::new(),
            empty_since: None,
            summary: Summary::default(),
        }
    }

    /// The one place where the machine's reach changes.
    pub fn reach(&mut self, next: Reach) {
        self.reach = match (self.reach, next) {
            (Reach::Suspect { since }, Reach::Suspect { .. }) => Reach::Suspect { since },
            (Reach::Unconfirmed { since }, Reach::Suspect { .. }) => Reach::Suspect { since },
            (_, next) => next,
        };
        if self.reach == Reach::Confirmed {
            self.unheeded = 0;
        }
    }

    /// Reckons with what the token in a report shows; `current` if it is this epoch's.
    pub fn token_shown(&mut self, current: bool, now: Time) {
        if current {
            self.unheeded = 0;
            if matches!(self.reach, Reach::Unconfirmed { .. }) {
                self.reach(Reach::Confirmed);
            }
        } else if self.unheeded >= UNHEEDED_ANSWERS && self.reach == Reach::Confirmed {
            self.reach(Reach::Suspect { since: now });
        }
    }

    /// What is free now.
    pub fn free(&self) -> Room {
        let Some(info) = &self.info else {
            return Room::default();
        };
        let mut free = info.room;
        for tracked in self.attempts.values() {
            match (&tracked.job, tracked.state) {
                (_, AttemptState::Completed) => {}
                (Some(job), _) => free.take(&job.room()),
                // Of unknown size: nothing may join it.
                (None, _) => return Room::default(),
            }
        }
        free
    }

    /// Share of its resources that is taken, given what is free.
    pub fn fullness(&self, free: &Room) -> f64 {
        let Some(info) = &self.info else {
            return 1.0;
        };
        let share = |free: f64, all: f64| if all > 0.0 { 1.0 - free / all } else { 0.0 };
        share(free.cpus, info.room.cpus)
            .max(share(free.gpus, info.room.gpus))
            .max(share(free.memory_gb, info.room.memory_gb))
    }

    pub fn usable(&self, now: Time, patience: Patience) -> bool {
        self.info.is_some()
            && !self.lost
            && !self.draining
            && !self.foreign
            && self.reach == Reach::Confirmed
            && self.failing.len() < FAULTY_JOBS
            && self.notice.is_none()
            && now.since(self.lease.heard) <= patience.silent_ms
    }

    pub fn summarize(&self, now: Time, patience: Patience) -> Summary {
        let since = match self.reach {
            Reach::Confirmed => None,
            Reach::Unconfirmed { since } | Reach::Suspect { since } => Some(since),
        };
        let unreached = since.is_some_and(|since| now.since(since) >= patience.unreached_ms);
        let proven_once = !matches!(self.reach, Reach::Unconfirmed { .. });
        Summary {
            // A machine is not spoken of before it is known to be there now.
            known: self.info.is_some() && (proven_once || unreached),
            usable: self.usable(now, patience),
            // What is settled may have to be remembered by the worker for long, but keeps no machine.
            empty: self.attempts.values().all(TrackedAttempt::settled),
            noticed: self.notice.is_some(),
            unreached,
            lost: self.lost,
            free: self.free(),
        }
    }
}
