//! Checks at the end of each stage of an upgrade: the jobs, as users and workers see them, and the stored epoch.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::time::{Duration, Instant};

use worksshunt_wire::{JobId, TaskId};

use super::observer::TaskHistory;

/// Time limit for the start of all tasks of a job, from its first submission; also for a failover and for the readiness
/// of a started controller.
pub const START_TIMEOUT: Duration = Duration::from_secs(40);
/// Time limit for all running controllers to report all completed jobs as done, after the tasks of the stage.
pub const DONE_TIMEOUT: Duration = Duration::from_secs(30);
/// Time limit for all running controllers to be members of the epoch, after the checks of the jobs.
pub const MEMBERSHIP_TIMEOUT: Duration = Duration::from_secs(10);

#[derive(Debug, Clone, Copy)]
pub struct Submission {
    pub job: JobId,
    pub task_count: u32,
    /// Time of the first submission to a controller.
    pub submission_started_at: Instant,
    pub is_accepted: bool,
}

/// Histories of all tasks that started at least once.
pub type TaskHistories = BTreeMap<TaskId, TaskHistory>;

impl Submission {
    /// History of each task of the job; `None` for those that have not started.
    fn task_histories<'a>(
        &self,
        histories: &'a TaskHistories,
    ) -> impl Iterator<Item = Option<&'a TaskHistory>> + 'a {
        let job = self.job;
        (0..self.task_count).map(move |index| histories.get(&TaskId { job, index }))
    }

    /// Time from the first submission to the first start of the last task; `None` until all tasks have started.
    pub fn time_to_last_start(&self, histories: &TaskHistories) -> Option<Duration> {
        let starts = self.task_histories(histories).map(|task| {
            Some(
                task?
                    .first_start
                    .saturating_duration_since(self.submission_started_at),
            )
        });
        starts.collect::<Option<Vec<_>>>()?.into_iter().max()
    }

    /// Whether all tasks completed.
    pub fn is_completed(&self, histories: &TaskHistories) -> bool {
        self.task_histories(histories)
            .all(|task| task.is_some_and(|task| task.completions > 0))
    }

    /// Number of tasks that started or completed more than once.
    pub fn repeated_task_count(&self, histories: &TaskHistories) -> usize {
        let is_repeated = |task: &&TaskHistory| task.starts > 1 || task.completions > 1;
        self.task_histories(histories)
            .flatten()
            .filter(is_repeated)
            .count()
    }
}

/// Failed check of a stage.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum StageFailure {
    /// The epoch has no leader that runs.
    #[error("no running controller is leader")]
    NoLeader,
    /// No other controller became leader after this one was killed.
    #[error("no failover from n{0} in {n} s", n = START_TIMEOUT.as_secs())]
    NoFailover(usize),
    /// No controller of the required build became leader.
    #[error("no controller of the {0} build became leader")]
    NoLeaderOfBuild(&'static str),
    /// No controller runs the build to replace.
    #[error("no controller of the {0} build to replace")]
    NoControllerOfBuild(&'static str),
    /// A started controller did not become ready for requests.
    #[error("n{0} was not ready for requests in {n} s", n = START_TIMEOUT.as_secs())]
    NotReady(usize),
    /// Number of jobs that no controller accepted.
    #[error("{0} jobs not accepted")]
    JobsNotAccepted(usize),
    /// Number of accepted jobs with a task that did not start.
    #[error("{0} accepted jobs not started")]
    JobsNotStarted(usize),
    /// Number of jobs whose last task started after [`START_TIMEOUT`].
    #[error("{0} jobs started later than {n} s", n = START_TIMEOUT.as_secs())]
    JobsStartedLate(usize),
    /// Number of accepted jobs with a task that did not complete.
    #[error("{0} accepted jobs not completed")]
    JobsNotCompleted(usize),
    /// Number of tasks that started or completed more than once.
    #[error("{0} tasks ran more than once")]
    TasksRepeated(usize),
    /// Controllers that did not report a completed job as done.
    #[error("{missing} done responses missing {n} s after the last task ({counts})",
        missing = .0.len(), n = DONE_TIMEOUT.as_secs(), counts = counts_by_controller(.0))]
    DoneResponsesMissing(Vec<ControllerJob>),
    /// Running controllers that are not members of the epoch.
    #[error("{count} running controllers not members of the epoch ({names})",
        count = .0.len(), names = controller_names(.0))]
    NotMembers(Vec<usize>),
}

/// Controller and a job for which it is polled.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct ControllerJob {
    /// Index of the controller.
    pub controller: usize,
    pub job: JobId,
}

fn controller_names(controllers: &[usize]) -> String {
    let names: Vec<String> = controllers
        .iter()
        .map(|controller| format!("n{controller}"))
        .collect();
    names.join(", ")
}

/// Formats the number of pairs of each controller.
fn counts_by_controller(pairs: &[ControllerJob]) -> String {
    let mut counts: BTreeMap<usize, usize> = BTreeMap::new();
    for pair in pairs {
        *counts.entry(pair.controller).or_default() += 1;
    }
    let counts: Vec<String> = counts
        .iter()
        .map(|(controller, count)| format!("n{controller}: {count}"))
        .collect();
    counts.join(", ")
}

/// Running controllers that are not members, in the order of `running`.
pub fn non_members(running: &[usize], members: &[usize]) -> Vec<usize> {
    let members: BTreeSet<&usize> = members.iter().collect();
    let missing = running
        .iter()
        .filter(|controller| !members.contains(controller));
    missing.copied().collect()
}

/// Checks that the stored epoch has a running leader and that all running controllers are members. A successful
/// response of `/healthz` shows neither.
pub fn epoch_failures(leader: Option<usize>, non_members: Vec<usize>) -> Vec<StageFailure> {
    let no_leader = leader.is_none().then_some(StageFailure::NoLeader);
    let not_members = (!non_members.is_empty()).then_some(StageFailure::NotMembers(non_members));
    no_leader.into_iter().chain(not_members).collect()
}

/// Result of polling every running controller for every completed job.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct DoneResponses {
    /// Time from the first poll to the last response that reported a job as done.
    pub longest_wait: Duration,
    /// Pairs without such a response in time.
    pub missing: Vec<ControllerJob>,
}

/// Measurements of the jobs of a stage.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct JobMeasurements {
    /// Number of jobs submitted in the stage, whether accepted or not.
    pub submitted: usize,
    /// Number of accepted jobs.
    pub accepted: usize,
    /// Number of accepted jobs with all tasks started.
    pub started: usize,
    /// Number of accepted jobs with all tasks started within [`START_TIMEOUT`].
    pub started_in_time: usize,
    /// Number of accepted jobs with all tasks completed.
    pub completed: usize,
    /// Longest time from the first submission of a job to the start of its last task.
    pub longest_start: Duration,
    /// Number of tasks of this and earlier stages that started or completed more than once.
    pub repeated_tasks: usize,
    /// Responses of the controllers for completed jobs of this and earlier stages.
    pub done_responses: DoneResponses,
}

impl JobMeasurements {
    /// Measures the jobs from the index `first_job` on; repeated tasks and done responses include earlier jobs.
    pub fn new(
        jobs: &[Submission],
        first_job: usize,
        histories: &TaskHistories,
        done_responses: DoneResponses,
    ) -> JobMeasurements {
        let stage_jobs = &jobs[first_job..];
        let accepted: Vec<&Submission> = stage_jobs.iter().filter(|job| job.is_accepted).collect();
        let start_times = accepted
            .iter()
            .filter_map(|job| job.time_to_last_start(histories));
        let start_times: Vec<Duration> = start_times.collect();
        let completed = accepted.iter().filter(|job| job.is_completed(histories));
        JobMeasurements {
            submitted: stage_jobs.len(),
            accepted: accepted.len(),
            started: start_times.len(),
            started_in_time: start_times
                .iter()
                .filter(|time| **time <= START_TIMEOUT)
                .count(),
            completed: completed.count(),
            longest_start: start_times.iter().copied().max().unwrap_or_default(),
            repeated_tasks: jobs
                .iter()
                .map(|job| job.repeated_task_count(histories))
                .sum(),
            done_responses,
        }
    }

    /// Failed checks of the jobs; empty if they passed.
    pub fn failures(&self) -> Vec<StageFailure> {
        let positive = |count: usize| (count > 0).then_some(count);
        let failures = [
            positive(self.submitted - self.accepted).map(StageFailure::JobsNotAccepted),
            positive(self.accepted - self.started).map(StageFailure::JobsNotStarted),
            positive(self.started - self.started_in_time).map(StageFailure::JobsStartedLate),
            positive(self.accepted - self.completed).map(StageFailure::JobsNotCompleted),
            positive(self.repeated_tasks).map(StageFailure::TasksRepeated),
            (!self.done_responses.missing.is_empty())
                .then(|| StageFailure::DoneResponsesMissing(self.done_responses.missing.clone())),
        ];
        failures.into_iter().flatten().collect()
    }
}

impl fmt::Display for JobMeasurements {
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
            self.done_responses.longest_wait.as_secs_f64(),
        )
    }
}

/// Formats the verdict on a stage: `pass`, or `FAIL` with all failed checks.
pub fn describe_failures(failures: &[StageFailure]) -> String {
    if failures.is_empty() {
        return "pass".to_owned();
    }
    let reasons: Vec<String> = failures.iter().map(StageFailure::to_string).collect();
    format!("FAIL: {}", reasons.join(", "))
}

#[cfg(test)]
mod tests;
