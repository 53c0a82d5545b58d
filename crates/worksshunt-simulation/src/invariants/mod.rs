//! The protocol's rules, checked all the time: what runs where, and what users are told.
//!
//! The checker knows nothing of the controllers. The cluster reports requests and responses to it, and shows it the
//! machines as they are, whether or not any controller can reach them. [`Cluster`](crate::Cluster) owns one.

mod tasks;
mod users;

use std::collections::{BTreeMap, BTreeSet};

use worksshunt_wire::settings::{Settings, Team};
use worksshunt_wire::user::JobSpec;
use worksshunt_wire::{JobId, TaskId};

pub use tasks::{FreeCapacity, WaitingCheck};
pub use users::JobQuery;

use users::{FinalState, ReportedEnd};

/// How long a job may wait beside a machine with free capacity, ms.
pub const MAX_WAIT_MS: u64 = 90_000;
/// How long queries about an accepted job may go unanswered once faults are over, ms.
pub const MAX_SILENCE_MS: u64 = 75_000;

/// Since when a job waits beside a machine with free capacity.
#[derive(Debug, Clone, Copy)]
struct Waiting {
    since: u64,
    /// Starts of its tasks until then.
    starts: usize,
}

/// What is known of a job from what users sent and received, and from its tasks.
#[derive(Debug, Default)]
struct History {
    is_submitted: bool,
    /// A user has asked for its cancellation.
    is_withdrawn: bool,
    /// Number of the first response that said it is accepted, or over.
    known_since: Option<u64>,
    /// How it ended, by the first response that said so.
    ended: Option<ReportedEnd>,
    waiting: Option<Waiting>,
}

impl History {
    /// When a user was first told that the job is cancelled, ms.
    fn cancelled_at(&self) -> Option<u64> {
        let cancelled = self.ended.filter(|end| end.state == FinalState::Cancelled);
        cancelled.map(|end| end.at)
    }
}

/// The checker of the protocol's rules.
#[derive(Debug, Default)]
pub struct Invariants {
    /// How long tasks of a cancelled job may stay on machines, ms.
    cancel_ms: u64,
    /// Processors that a team may use at most.
    team_limits: BTreeMap<String, f64>,
    /// Jobs as first submitted.
    pub jobs: BTreeMap<JobId, JobSpec>,
    histories: BTreeMap<JobId, History>,
    completed: BTreeSet<TaskId>,
    starts: BTreeMap<JobId, usize>,
    /// Number of the last request or response; they are numbered in one order.
    last_order: u64,
    /// Violations of rules, each with what was seen.
    pub violations: Vec<String>,
    /// Starts of tasks after their user was told that the job is cancelled.
    pub starts_after_cancel: usize,
    /// Responses that named a job's state.
    pub answers: usize,
}

impl Invariants {
    /// Takes the limits to check from these settings.
    pub fn set_limits(&mut self, settings: &Settings) {
        let facts = &settings.facts;
        self.cancel_ms = (facts.workers.cancel_s * 1_000.0) as u64;
        // 0 means none.
        let limited = facts.teams.iter().filter(|team| team.max_cpus > 0.0);
        let limit = |team: &Team| (team.name.0.clone(), team.max_cpus);
        self.team_limits = limited.map(limit).collect();
    }

    /// Notes that a rule was violated, once for each text.
    pub fn record_violation(&mut self, rule: &str, what: &str) {
        let text = format!("{rule}: {what}");
        if !self.violations.contains(&text) {
            self.violations.push(text);
        }
    }

    fn history(&mut self, id: JobId) -> &mut History {
        self.histories.entry(id).or_default()
    }

    /// Jobs that were accepted, and are not over by what users know.
    pub fn open_jobs(&self) -> Vec<JobId> {
        let is_open = |history: &History| history.known_since.is_some() && history.ended.is_none();
        self.jobs_where(is_open)
    }

    /// All jobs that were accepted.
    pub fn accepted_jobs(&self) -> Vec<JobId> {
        self.jobs_where(|history| history.known_since.is_some())
    }

    fn jobs_where(&self, holds: impl Fn(&History) -> bool) -> Vec<JobId> {
        let histories = self.histories.iter();
        histories
            .filter(|(_, history)| holds(history))
            .map(|(id, _)| *id)
            .collect()
    }

    /// Whether any user was told that a job is cancelled.
    pub fn any_cancelled(&self) -> bool {
        let mut histories = self.histories.values();
        histories.any(|history| history.cancelled_at().is_some())
    }
}
