//! Judges a stage of an upgrade by what its users, an observer of the workers and the stored epoch show. It owns no
//! state; `upgrade` calls it at the end of each stage.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::time::{Duration, Instant};

use worksshunt_wire::{JobId, TaskId};

use super::observer::TaskHistory;

/// How long after the first attempt to submit a job its last task may start.
pub const START_BOUND: Duration = Duration::from_secs(40);
/// How long after the last task of a stage every controller must answer that all its jobs are done.
pub const DONE_BOUND: Duration = Duration::from_secs(30);
/// How long after that the epoch must name every running controller as a member.
pub const MEMBERSHIP_BOUND: Duration = Duration::from_secs(10);

/// A job that was submitted.
#[derive(Debug, Clone, Copy)]
pub struct Submission {
    /// Its id.
    pub job: JobId,
    /// Number of its tasks.
    pub tasks: u32,
    /// When its user first tried to submit it.
    pub begun_at: Instant,
    /// Whether a controller accepted it.
    pub accepted: bool,
}

/// All tasks that ever started.
pub type Histories = BTreeMap<TaskId, TaskHistory>;

impl Submission {
    fn histories<'a>(
        &self,
        all: &'a Histories,
    ) -> impl Iterator<Item = Option<&'a TaskHistory>> + 'a {
        let job = self.job;
        (0..self.tasks).map(move |index| all.get(&TaskId { job, index }))
    }

    /// Time from the first attempt to submit it to the start of its last task; none while one has not started.
    pub fn time_to_last_start(&self, all: &Histories) -> Option<Duration> {
        let starts = self
            .histories(all)
            .map(|task| Some(task?.first_start.saturating_duration_since(self.begun_at)));
        starts.collect::<Option<Vec<_>>>()?.into_iter().max()
    }

    /// Whether all its tasks completed.
    pub fn is_completed(&self, all: &Histories) -> bool {
        self.histories(all)
            .all(|task| task.is_some_and(|task| task.completions > 0))
    }

    /// Tasks of it that started or completed more than once.
    pub fn repeated_tasks(&self, all: &Histories) -> usize {
        let repeated = |task: &&TaskHistory| task.starts > 1 || task.completions > 1;
        self.histories(all).flatten().filter(repeated).count()
    }
}

/// What a stage fell short of.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum Shortfall {
    /// The epoch names no leader that runs.
    #[error("no running controller leads")]
    NoLeader,
    /// No other controller took over from a leader that was killed.
    #[error("nobody took over from n{0} in {n} s", n = START_BOUND.as_secs())]
    NoTakeover(usize),
    /// No controller of the build that the stage asks for came to lead.
    #[error("no controller of the {0} build came to lead")]
    LeaderOfOtherBuild(&'static str),
    /// No controller runs the build that the stage replaces.
    #[error("no controller of the {0} build to replace")]
    NothingToReplace(&'static str),
    /// A controller that was started did not become ready for requests.
    #[error("n{0} was not ready for requests in {n} s", n = START_BOUND.as_secs())]
    NotReady(usize),
    /// Jobs were not accepted.
    #[error("{0} jobs not accepted")]
    NotAccepted(usize),
    /// Accepted jobs did not start with all their tasks.
    #[error("{0} accepted jobs not started")]
    NotStarted(usize),
    /// Jobs started late.
    #[error("{0} jobs started later than {n} s", n = START_BOUND.as_secs())]
    StartedLate(usize),
    /// Accepted jobs did not complete.
    #[error("{0} accepted jobs not completed")]
    NotCompleted(usize),
    /// Tasks started or completed more than once.
    #[error("{0} tasks ran more than once")]
    Repeated(usize),
    /// Controllers did not answer that completed jobs are done.
    #[error("{missing} answers not done {n} s after the last task ({counts})",
        missing = .0.len(), n = DONE_BOUND.as_secs(), counts = counts_by_controller(.0))]
    NotAnsweredDone(Vec<ControllerJob>),
    /// The epoch does not name running controllers as members.
    #[error("{count} running controllers not members of the epoch ({names})",
        count = .0.len(), names = controller_names(.0))]
    NotMembers(Vec<usize>),
}

/// A controller and a job that it is asked about.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct ControllerJob {
    /// Number of the controller.
    pub node: usize,
    /// The job.
    pub job: JobId,
}

fn controller_names(nodes: &[usize]) -> String {
    let names: Vec<String> = nodes.iter().map(|node| format!("n{node}")).collect();
    names.join(", ")
}

/// How many pairs each controller has, by controller.
fn counts_by_controller(pairs: &[ControllerJob]) -> String {
    let mut counts: BTreeMap<usize, usize> = BTreeMap::new();
    for pair in pairs {
        *counts.entry(pair.node).or_default() += 1;
    }
    let counts: Vec<String> = counts
        .iter()
        .map(|(node, count)| format!("n{node}: {count}"))
        .collect();
    counts.join(", ")
}

/// Running controllers that are not among the members, in the order given.
pub fn non_members(running: &[usize], members: &[usize]) -> Vec<usize> {
    let members: BTreeSet<&usize> = members.iter().collect();
    let missing = running.iter().filter(|node| !members.contains(node));
    missing.copied().collect()
}

/// What the stored epoch falls short of: a leader that runs, and membership of all running controllers.
/// That a controller answers `/healthz` shows neither.
pub fn epoch_shortfalls(leader: Option<usize>, non_members: Vec<usize>) -> Vec<Shortfall> {
    let no_leader = leader.is_none().then_some(Shortfall::NoLeader);
    let not_members = (!non_members.is_empty()).then_some(Shortfall::NotMembers(non_members));
    no_leader.into_iter().chain(not_members).collect()
}

/// The result of asking every running controller about every completed job.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct DoneAnswers {
    /// Time from the last task to the last answer that a job is done.
    pub longest: Duration,
    /// The pairs without that answer in time.
    pub missing: Vec<ControllerJob>,
}

/// What was measured of the jobs of a stage.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Measured {
    /// Jobs that users tried to submit.
    pub submitted: usize,
    /// Those of them that a controller accepted.
    pub accepted: usize,
    /// Accepted jobs all tasks of which started.
    pub started: usize,
    /// Accepted jobs all tasks of which started within [`START_BOUND`].
    pub started_in_time: usize,
    /// Accepted jobs all tasks of which completed.
    pub completed: usize,
    /// The longest time from a submission to the start of the job's last task.
    pub longest_start: Duration,
    /// Tasks of this stage and of those before it that started or completed more than once.
    pub repeated_tasks: usize,
    /// The controllers' answers about completed jobs of this stage and of those before it.
    pub done: DoneAnswers,
}

impl Measured {
    /// Measures the jobs from that index on; repeated tasks and answers count for the earlier ones too.
    pub fn of(
        jobs: &[Submission],
        first: usize,
        histories: &Histories,
        done: DoneAnswers,
    ) -> Measured {
        let stage = &jobs[first..];
        let accepted: Vec<&Submission> = stage.iter().filter(|job| job.accepted).collect();
        let starts = accepted
            .iter()
            .filter_map(|job| job.time_to_last_start(histories));
        let starts: Vec<Duration> = starts.collect();
        let completed = accepted.iter().filter(|job| job.is_completed(histories));
        Measured {
            submitted: stage.len(),
            accepted: accepted.len(),
            started: starts.len(),
            started_in_time: starts.iter().filter(|after| **after <= START_BOUND).count(),
            completed: completed.count(),
            longest_start: starts.iter().copied().max().unwrap_or_default(),
            repeated_tasks: jobs.iter().map(|job| job.repeated_tasks(histories)).sum(),
            done,
        }
    }

    /// What the jobs of the stage fell short of; nothing if they passed.
    pub fn shortfalls(&self) -> Vec<Shortfall> {
        let some = |count: usize| (count > 0).then_some(count);
        let all = [
            some(self.submitted - self.accepted).map(Shortfall::NotAccepted),
            some(self.accepted - self.started).map(Shortfall::NotStarted),
            some(self.started - self.started_in_time).map(Shortfall::StartedLate),
            some(self.accepted - self.completed).map(Shortfall::NotCompleted),
            some(self.repeated_tasks).map(Shortfall::Repeated),
            (!self.done.missing.is_empty())
                .then(|| Shortfall::NotAnsweredDone(self.done.missing.clone())),
        ];
        all.into_iter().flatten().collect()
    }
}

impl fmt::Display for Measured {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "jobs {} submitted, {} accepted, {} started, {} completed; longest start {:.1} s, \
             all answered done after {:.1} s",
            self.submitted,
            self.accepted,
            self.started,
            self.completed,
            self.longest_start.as_secs_f64(),
            self.done.longest.as_secs_f64(),
        )
    }
}

/// The verdict on a stage, for its line.
pub fn describe(shortfalls: &[Shortfall]) -> String {
    if shortfalls.is_empty() {
        return "pass".to_owned();
    }
    let reasons: Vec<String> = shortfalls.iter().map(Shortfall::to_string).collect();
    format!("FAIL: {}", reasons.join(", "))
}

#[cfg(test)]
mod tests;
