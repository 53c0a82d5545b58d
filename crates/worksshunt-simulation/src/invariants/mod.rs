//! The protocol's invariants on running tasks and on responses to users.
//!
//! The checker is independent of the controllers' state. [`Cluster`](crate::Cluster) owns one, and passes it the users'
//! requests and responses and the actual state of the machines, including those that no controller can reach.
//!
//! Names of the invariants, and when each is violated. Digests and the search's table contain the names.
//! - `attempts`: an attempt is launched for a second task or on a second machine.
//! - `forgotten`: an accepted job is reported as unknown or rejected, or queries about it stay unanswered without
//!   faults.
//! - `invented`: a task starts, or a state is reported, of a job that no user has submitted.
//! - `not_done`: a job is reported as done before all its tasks have completed.
//! - `quota`: a team's tasks use more CPUs than its limit.
//! - `ran_cancelled`: a task still runs when the cancellation timeout of its job has passed.
//! - `ran_twice`: a task starts on a machine while it runs on another.
//! - `waits`: a job waits for too long despite free capacity.
//! - `went_back`: a reported final state changes, or a job is reported as cancelled without a user's request.
//! - `wrong_place`: a task runs on a machine of a kind or in a zone that its job excludes, or the zones of the job's
//!   tasks violate its constraint.

mod tasks;
mod users;

use std::collections::{BTreeMap, BTreeSet};

use worksshunt_wire::settings::{Settings, Team};
use worksshunt_wire::user::JobSpec;
use worksshunt_wire::{JobId, TaskId};

pub use tasks::{FreeCapacity, WaitingCheck};
pub use users::UserRequest;

use users::{FinalState, ReportedFinalState};

/// Maximum time that a job may wait despite free capacity, ms.
pub const MAX_WAIT_MS: u64 = 90_000;
/// Maximum time that queries about an accepted job may stay unanswered without faults, ms.
pub const MAX_UNANSWERED_MS: u64 = 75_000;

/// A period in which a job waits despite free capacity and none of its tasks starts.
#[derive(Debug, Clone, Copy)]
struct WaitingPeriod {
    /// Start of the period, ms.
    since: u64,
    /// Number of starts of the job's tasks before the period; it ends when this changes.
    start_count: usize,
}

/// A job's history according to users' requests and responses and to its tasks.
#[derive(Debug, Default)]
struct History {
    is_submitted: bool,
    /// Whether a user has requested its cancellation.
    is_cancel_requested: bool,
    /// Sequence number of the first response that reported the job as accepted or ended.
    accepted_sequence: Option<u64>,
    /// The final state according to the first response that reported one.
    reported_final_state: Option<ReportedFinalState>,
    waiting_period: Option<WaitingPeriod>,
}

impl History {
    /// Returns when a response first reported the job as cancelled, ms.
    fn cancelled_at(&self) -> Option<u64> {
        let reported = self.reported_final_state;
        let cancelled = reported.filter(|reported| reported.state == FinalState::Cancelled);
        cancelled.map(|reported| reported.received_at)
    }
}

/// Checker of the protocol's invariants.
#[derive(Debug, Default)]
pub struct Invariants {
    /// Time within which the tasks of a cancelled job have to end, ms.
    cancel_timeout_ms: u64,
    /// Maximum CPUs by team; teams without a limit are absent.
    team_limits: BTreeMap<String, f64>,
    /// Specs of all submitted jobs, according to the first submission of each.
    pub jobs: BTreeMap<JobId, JobSpec>,
    histories: BTreeMap<JobId, History>,
    completed: BTreeSet<TaskId>,
    /// Number of starts of tasks by job.
    start_counts: BTreeMap<JobId, usize>,
    /// Sequence number of the last request or response; both share one sequence.
    last_sequence: u64,
    /// Violations as `INVARIANT: DETAILS`, each text once.
    pub violations: Vec<String>,
    /// Number of starts of tasks after a response had reported their job as cancelled.
    pub starts_after_cancel: usize,
    /// Number of responses that reported a job's state or that it does not exist.
    pub state_responses: usize,
}

impl Invariants {
    /// Sets the team limits and the cancellation timeout from a controller's settings.
    pub fn set_limits(&mut self, settings: &Settings) {
        let facts = &settings.facts;
        self.cancel_timeout_ms = (facts.workers.cancel_s * 1_000.0) as u64;
        // A maximum of 0 means no limit.
        let limited = facts.teams.iter().filter(|team| team.max_cpus > 0.0);
        let limit = |team: &Team| (team.name.0.clone(), team.max_cpus);
        self.team_limits = limited.map(limit).collect();
    }

    /// Records a violation of an invariant, given by its name, unless the same text is recorded already.
    pub fn record_violation(&mut self, invariant: &str, details: &str) {
        let text = format!("{invariant}: {details}");
        if !self.violations.contains(&text) {
            self.violations.push(text);
        }
    }

    fn history(&mut self, id: JobId) -> &mut History {
        self.histories.entry(id).or_default()
    }

    /// Returns the jobs that were reported as accepted and not as ended.
    pub fn open_jobs(&self) -> Vec<JobId> {
        let is_open = |history: &History| {
            history.accepted_sequence.is_some() && history.reported_final_state.is_none()
        };
        self.jobs_where(is_open)
    }

    /// Returns all jobs that were reported as accepted, ended ones included.
    pub fn accepted_jobs(&self) -> Vec<JobId> {
        self.jobs_where(|history| history.accepted_sequence.is_some())
    }

    fn jobs_where(&self, predicate: impl Fn(&History) -> bool) -> Vec<JobId> {
        let histories = self.histories.iter();
        histories
            .filter(|(_, history)| predicate(history))
            .map(|(id, _)| *id)
            .collect()
    }

    /// Returns whether any response reported a job as cancelled.
    pub fn any_cancelled(&self) -> bool {
        let mut histories = self.histories.values();
        histories.any(|history| history.cancelled_at().is_some())
    }
}
