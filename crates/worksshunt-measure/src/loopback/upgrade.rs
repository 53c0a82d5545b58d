//! Plays an upgrade and its rollback with real controllers of two builds, one controller after the other.

use std::fmt;
use std::net::SocketAddr;
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use async_io::Timer;
use http_types::Method;
use worksshunt_net::client::HttpClient;
use worksshunt_wire::user::{JobState, JobStatus};
use worksshunt_wire::JobId;

use super::controllers::{Controllers, CONTROLLERS};
use super::verdict::{self, DoneAnswers, Measured, Shortfall, Submission, DONE_BOUND, START_BOUND};
use super::{submit, unlimited_job, until_within, Surroundings, LOOK, TASKS_EACH};
use crate::MeasureError;

/// Tasks of a job.
const JOB_TASKS: u32 = 20;
/// Jobs that run when a stage's change is made.
const JOBS_BEFORE: usize = 2;
/// How long a task runs.
const RUN: Duration = Duration::from_secs(15);
/// How long after the bound for starts all tasks of a stage must have completed: their run and some reports.
const COMPLETE_AFTER: Duration = Duration::from_secs(30);
/// How often a leader is killed until one of the wanted build leads.
const LEADERS_KILLED: usize = 4;
/// How long a user waits for the answer to a poll (protocol).
const POLL_ANSWER: Duration = Duration::from_secs(2);
/// Sockets for each worker that a controller is told it may have.
const SOCKETS_EACH: usize = 3;
/// Machines that hold all tasks of the stage with the most jobs at once.
pub const LEAST_MACHINES: usize = {
    let jobs = JOBS_BEFORE + LEADERS_KILLED + 1 + CONTROLLERS;
    (jobs * JOB_TASKS as usize).div_ceil(TASKS_EACH)
};
/// Permission bits of which a program has one.
const EXECUTABLE: u32 = 0o111;

/// The two programs.
#[derive(Debug, Clone)]
pub struct Programs {
    /// The one that is put in.
    pub new: PathBuf,
    /// The one that runs first, and again after the rollback.
    pub old: PathBuf,
}

/// Why the arguments are wrong.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub enum UsageError {
    /// A program is not one.
    #[error("{0} is not a program that can be run")]
    NotAProgram(PathBuf),
    /// The jobs would not fit.
    #[error("{0} machines are too few: at least {LEAST_MACHINES}")]
    TooFewMachines(usize),
}

fn check_program(path: &Path) -> Result<(), UsageError> {
    let runs = std::fs::metadata(path)
        .is_ok_and(|file| file.is_file() && file.permissions().mode() & EXECUTABLE != 0);
    if runs {
        Ok(())
    } else {
        Err(UsageError::NotAProgram(path.to_owned()))
    }
}

fn check(programs: &Programs, machines: usize) -> Result<(), UsageError> {
    check_program(&programs.new)?;
    check_program(&programs.old)?;
    if machines < LEAST_MACHINES {
        return Err(UsageError::TooFewMachines(machines));
    }
    Ok(())
}

/// Which program a controller runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Build {
    Old,
    New,
}

impl Build {
    fn name(self) -> &'static str {
        match self {
            Build::Old => "old",
            Build::New => "new",
        }
    }

    fn of(self, programs: &Programs) -> &Path {
        match self {
            Build::Old => &programs.old,
            Build::New => &programs.new,
        }
    }
}

/// What is changed in a stage.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Change {
    /// Nothing.
    None,
    /// A controller that does not lead gets the other build.
    ReplaceFollower,
    /// The leader, of the build that goes, is killed, and comes back with the other build.
    FailOverAndReplace,
    /// The leader, of the build that comes, is killed, and comes back with the same build.
    FailOver,
    /// The last controller of the build that goes gets the other build.
    ReplaceLast,
}

/// A stage: a change on the way from one build to the other.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Stage {
    change: Change,
    from: Build,
    to: Build,
}

impl fmt::Display for Stage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (from, to) = (self.from.name(), self.to.name());
        match self.change {
            Change::None => write!(f, "all on the {from} build"),
            Change::ReplaceFollower => write!(f, "{from} follower replaced by {to}"),
            Change::FailOverAndReplace => {
                write!(f, "mixed, {from} leader killed, replaced by {to}")
            }
            Change::FailOver => write!(f, "mixed, {to} leader killed, restarted as {to}"),
            Change::ReplaceLast => write!(f, "last {from} controller replaced by {to}"),
        }
    }
}

/// All stages: the upgrade, then the rollback.
fn stages() -> Vec<Stage> {
    let roll = |from, to| {
        let changes = [
            Change::ReplaceFollower,
            Change::FailOverAndReplace,
            Change::FailOver,
            Change::ReplaceLast,
        ];
        changes.map(|change| Stage { change, from, to })
    };
    let begin = Stage {
        change: Change::None,
        from: Build::Old,
        to: Build::Old,
    };
    let mut all = vec![begin];
    all.extend(roll(Build::Old, Build::New));
    all.extend(roll(Build::New, Build::Old));
    all
}

/// A controller of that build that is not the one left out.
fn one_of(builds: &[Build], build: Build, left_out: Option<usize>) -> Option<usize> {
    let all = builds.iter().enumerate();
    let mut found = all.filter(|(node, of)| **of == build && Some(*node) != left_out);
    found.next().map(|(node, _)| node)
}

/// Whether an answer says that a job is done.
fn says_done(status: u16, body: &[u8]) -> bool {
    let answer = serde_json::from_slice::<JobStatus>(body);
    status == 200 && answer.is_ok_and(|answer| answer.state == JobState::Done)
}

async fn get(node: SocketAddr, path: &str) -> Option<(u16, Vec<u8>)> {
    let client = HttpClient::new(node, 1);
    client.call(Method::Get, path, None, POLL_ANSWER).await.ok()
}

/// The upgrade that is played.
struct Upgrade<'a> {
    around: &'a Surroundings,
    programs: &'a Programs,
    controllers: Controllers,
    builds: [Build; CONTROLLERS],
    jobs: Vec<Submission>,
}

impl Upgrade<'_> {
    fn address(&self, node: usize) -> SocketAddr {
        self.around.plan.nodes[node].1
    }

    fn running(&self) -> Vec<usize> {
        let all = 0..CONTROLLERS;
        all.filter(|node| self.controllers.is_started(*node))
            .collect()
    }

    /// The controller that leads by the stored epoch, if it runs.
    fn leader(&self) -> Option<usize> {
        let name = self.around.state.leader()?;
        let mut nodes = self.around.plan.nodes.iter();
        let node = nodes.position(|(node, _)| *node == name)?;
        self.controllers.is_started(node).then_some(node)
    }

    /// Submits a job to one of these controllers, each in turn until one accepts it.
    async fn submit_to(&mut self, nodes: &[usize]) {
        let job = JobId(self.jobs.len() as u64 + 1);
        let new = unlimited_job(job.0, JOB_TASKS, RUN.as_secs_f64());
        let begun = Instant::now();
        let mut accepted = false;
        for node in nodes.iter().cycle() {
            accepted = submit(self.address(*node), &new).await;
            if accepted || begun.elapsed() > START_BOUND {
                break;
            }
            Timer::after(LOOK).await;
        }
        self.jobs.push(Submission {
            job,
            tasks: JOB_TASKS,
            begun,
            accepted,
        });
    }

    /// Waits until the accepted ones of the jobs from that index on are all this far.
    async fn wait_for_jobs(
        &self,
        first: usize,
        patience: Duration,
        far: impl Fn(&Submission, &verdict::Histories) -> bool,
    ) {
        let all = || {
            let seen = self.around.observer.seen();
            let mut accepted = self.jobs[first..].iter().filter(|job| job.accepted);
            accepted.all(|job| far(job, &seen.histories))
        };
        until_within(patience, all).await;
    }

    /// Submits jobs, and waits until they run.
    async fn submit_before(&mut self) {
        let first = self.jobs.len();
        for _ in 0..JOBS_BEFORE {
            self.submit_to(&self.running()).await;
        }
        let started = |job: &Submission, all: &verdict::Histories| job.started_after(all).is_some();
        self.wait_for_jobs(first, START_BOUND, started).await;
    }

    /// Kills a controller, submits a job meanwhile, and waits for the next leader if it led.
    async fn take_down(&mut self, node: usize) -> Result<(), Shortfall> {
        let led = self.leader() == Some(node);
        self.controllers.kill(node);
        self.submit_to(&self.running()).await;
        let taken = || !led || self.leader().is_some();
        match until_within(START_BOUND, taken).await {
            Some(_) => Ok(()),
            None => Err(Shortfall::NoTakeover(node)),
        }
    }

    /// Starts a controller of that build, and waits until it is ready for requests.
    async fn bring_up(&mut self, node: usize, build: Build) -> Result<(), StageError> {
        self.controllers.set_program(node, build.of(self.programs));
        self.builds[node] = build;
        self.controllers.start(node)?;
        let begun = Instant::now();
        while begun.elapsed() < START_BOUND {
            if matches!(get(self.address(node), "/healthz").await, Some((200, _))) {
                return Ok(());
            }
            Timer::after(LOOK).await;
        }
        Err(Shortfall::NotReady(node).into())
    }

    async fn replace(&mut self, node: usize, build: Build) -> Result<(), StageError> {
        self.take_down(node).await?;
        self.bring_up(node, build).await
    }

    /// The leader, after as many failovers as it takes for one of that build to lead.
    async fn leader_of(&mut self, build: Build) -> Result<usize, StageError> {
        for _ in 0..LEADERS_KILLED {
            let leader = self.leader().ok_or(Shortfall::NoLeader)?;
            if self.builds[leader] == build {
                return Ok(leader);
            }
            self.replace(leader, self.builds[leader]).await?;
        }
        Err(Shortfall::LeaderOfOtherBuild(build.name()).into())
    }

    async fn make(&mut self, stage: Stage) -> Result<(), StageError> {
        let Stage { change, from, to } = stage;
        let none = Shortfall::NothingToReplace(from.name());
        let node = match change {
            Change::None => {
                self.submit_to(&self.running()).await;
                return Ok(());
            }
            Change::ReplaceFollower => one_of(&self.builds, from, self.leader()).ok_or(none)?,
            Change::FailOverAndReplace => self.leader_of(from).await?,
            Change::FailOver => self.leader_of(to).await?,
            Change::ReplaceLast => one_of(&self.builds, from, None).ok_or(none)?,
        };
        self.replace(node, to).await
    }

    /// Asks every running controller about every completed job until it says that the job is done.
    async fn ask_whether_done(&self) -> DoneAnswers {
        let begun = Instant::now();
        let mut missing = self.expected_answers();
        let mut longest = Duration::ZERO;
        while !missing.is_empty() && begun.elapsed() <= DONE_BOUND {
            let mut still = Vec::new();
            for (node, job) in missing {
                match get(self.address(node), &format!("/v2/runs/{job}")).await {
                    Some((status, body)) if says_done(status, &body) => longest = begun.elapsed(),
                    _ => still.push((node, job)),
                }
            }
            missing = still;
            Timer::after(LOOK).await;
        }
        DoneAnswers {
            longest,
            missing: missing.len(),
        }
    }

    fn expected_answers(&self) -> Vec<(usize, JobId)> {
        let seen = self.around.observer.seen();
        let completed = self
            .jobs
            .iter()
            .filter(|job| job.accepted && job.is_completed(&seen.histories));
        let jobs: Vec<JobId> = completed.map(|job| job.job).collect();
        let of = |node| jobs.iter().map(move |job| (node, *job));
        self.running().into_iter().flat_map(of).collect()
    }

    /// Plays a stage; what it fell short of.
    async fn play(&mut self, stage: Stage) -> Result<(Measured, Vec<Shortfall>), MeasureError> {
        let first = self.jobs.len();
        self.submit_before().await;
        let mut shortfalls = match self.make(stage).await {
            Ok(()) => Vec::new(),
            Err(StageError::Short(shortfall)) => vec![shortfall],
            Err(StageError::Measure(error)) => return Err(error),
        };
        if shortfalls.is_empty() {
            for node in self.running() {
                self.submit_to(&[node]).await;
            }
        }
        let patience = START_BOUND + COMPLETE_AFTER;
        self.wait_for_jobs(first, patience, Submission::is_completed)
            .await;
        let done = self.ask_whether_done().await;
        let seen = self.around.observer.seen();
        let measured = Measured::of(&self.jobs, first, &seen.histories, done);
        if shortfalls.is_empty() && self.leader().is_none() {
            shortfalls.push(Shortfall::NoLeader);
        }
        shortfalls.extend(measured.shortfalls());
        Ok((measured, shortfalls))
    }

    /// Who leads, and which builds run.
    fn told(&self) -> String {
        let name = |node: usize| format!("n{node} {}", self.builds[node].name());
        let running: Vec<String> = self.running().into_iter().map(name).collect();
        let leader = self.leader().map_or("nobody".to_owned(), name);
        format!("{leader} leads of {}", running.join(", "))
    }

    async fn play_all(mut self) -> Result<(), MeasureError> {
        (0..CONTROLLERS).try_for_each(|node| self.controllers.start(node))?;
        let stages = stages();
        for (number, stage) in (1..).zip(&stages) {
            let (measured, shortfalls) = self.play(*stage).await?;
            println!(
                "stage {number} of {}, {stage}: {}; {measured}; {}",
                stages.len(),
                self.told(),
                verdict::told(&shortfalls)
            );
            if !shortfalls.is_empty() {
                return Err(MeasureError::Stage(number));
            }
        }
        Ok(())
    }
}

/// Why a stage's change was not made.
#[derive(Debug, thiserror::Error)]
enum StageError {
    /// The controllers fell short of something.
    #[error(transparent)]
    Short(#[from] Shortfall),
    /// The measurement could not go on.
    #[error(transparent)]
    Measure(#[from] MeasureError),
}

/// Plays the upgrade and the rollback with so many workers; stops at the first stage that fails.
pub fn run(programs: &Programs, folder: PathBuf, machines: usize) -> Result<(), MeasureError> {
    check(programs, machines)?;
    let sockets = machines * SOCKETS_EACH;
    let controllers = Controllers::new(folder, &programs.old, machines, sockets)?;
    let around = Surroundings::new(machines, RUN)?;
    let upgrade = Upgrade {
        around: &around,
        programs,
        controllers,
        builds: [Build::Old; CONTROLLERS],
        jobs: Vec::new(),
    };
    async_io::block_on(around.executor.run(upgrade.play_all()))
}

#[cfg(test)]
mod tests;
