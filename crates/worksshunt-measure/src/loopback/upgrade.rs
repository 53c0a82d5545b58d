//! Runs an upgrade and its rollback with real controllers of two builds, one controller after the other. It owns the
//! controllers' processes and the jobs that were submitted; the command `upgrade` calls it.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{Duration, Instant};

use async_io::Timer;

use super::controllers::{Controllers, CONTROLLERS};
use super::surroundings::Surroundings;
use super::users::poll;
use super::verdict::{self, Measured, Shortfall, Submission, MEMBERSHIP_BOUND, START_BOUND};
use super::wait::{wait_until, POLL_INTERVAL};
use crate::{MeasureError, DEFAULT_SOCKETS_PER_MACHINE};

pub mod arguments;
mod jobs;
mod stage;

use arguments::Programs;
use stage::{controller_of, Build, Change, Stage, MAX_LEADERS_KILLED};

/// Tasks of a job.
const JOB_TASKS: u32 = 20;
/// Jobs that run when a stage's change is made.
const JOBS_BEFORE: usize = 2;
/// How long a task runs.
const TASK_RUN: Duration = Duration::from_secs(15);
/// How long after the bound for starts all tasks of a stage must have completed: their run and some heartbeats.
const COMPLETE_AFTER: Duration = Duration::from_secs(30);

/// Why a stage's change was not made.
#[derive(Debug, thiserror::Error)]
enum StageError {
    /// The controllers fell short of something.
    #[error(transparent)]
    Short(#[from] Shortfall),
    /// The run cannot go on.
    #[error(transparent)]
    Measure(#[from] MeasureError),
}

/// What a stage came to.
struct StageResult {
    measured: Measured,
    shortfalls: Vec<Shortfall>,
}

/// The upgrade that is running.
struct Upgrade<'a> {
    surroundings: &'a Surroundings,
    programs: &'a Programs,
    controllers: Controllers,
    /// The build of each controller's last start.
    builds: [Build; CONTROLLERS],
    /// All jobs so far, in the order of their ids, which begin with 1.
    jobs: Vec<Submission>,
}

impl Upgrade<'_> {
    fn address(&self, node: usize) -> SocketAddr {
        self.surroundings.plan.nodes[node].address
    }

    fn node_named(&self, name: &str) -> Option<usize> {
        let mut nodes = self.surroundings.plan.nodes.iter();
        nodes.position(|node| node.name == name)
    }

    fn running_nodes(&self) -> Vec<usize> {
        let all = 0..CONTROLLERS;
        all.filter(|node| self.controllers.is_started(*node))
            .collect()
    }

    /// The controller that leads by the stored epoch, if it runs.
    fn leader(&self) -> Option<usize> {
        let node = self.node_named(&self.surroundings.store.leader()?)?;
        self.controllers.is_started(node).then_some(node)
    }

    /// Running controllers that the stored epoch does not name as members.
    fn non_members(&self) -> Vec<usize> {
        let members = self.surroundings.store.members();
        let members: Vec<usize> = members
            .iter()
            .filter_map(|name| self.node_named(name))
            .collect();
        verdict::non_members(&self.running_nodes(), &members)
    }

    /// Kills a controller, submits a job meanwhile, and waits for the next leader if it led.
    async fn kill(&mut self, node: usize) -> Result<(), Shortfall> {
        let was_leader = self.leader() == Some(node);
        self.controllers.kill(node);
        self.submit_to(&self.running_nodes()).await;
        let has_leader = || !was_leader || self.leader().is_some();
        match wait_until(START_BOUND, has_leader).await {
            Some(_) => Ok(()),
            None => Err(Shortfall::NoTakeover(node)),
        }
    }

    /// Starts a controller of that build, and waits until it is ready for requests.
    async fn start(&mut self, node: usize, build: Build) -> Result<(), StageError> {
        let program = build.program(self.programs);
        self.controllers.set_program(node, program);
        self.builds[node] = build;
        self.controllers.start(node)?;
        let begun_at = Instant::now();
        while begun_at.elapsed() < START_BOUND {
            let response = poll(self.address(node), "/healthz").await;
            if response.is_some_and(|response| response.status == 200) {
                return Ok(());
            }
            Timer::after(POLL_INTERVAL).await;
        }
        Err(Shortfall::NotReady(node).into())
    }

    async fn replace(&mut self, node: usize, build: Build) -> Result<(), StageError> {
        self.kill(node).await?;
        self.start(node, build).await
    }

    /// The leader, after as many failovers as it takes for one of that build to lead.
    async fn leader_of(&mut self, build: Build) -> Result<usize, StageError> {
        for _ in 0..MAX_LEADERS_KILLED {
            let leader = self.leader().ok_or(Shortfall::NoLeader)?;
            if self.builds[leader] == build {
                return Ok(leader);
            }
            self.replace(leader, self.builds[leader]).await?;
        }
        Err(Shortfall::LeaderOfOtherBuild(build.name()).into())
    }

    /// Makes a stage's change.
    async fn make_change(&mut self, stage: Stage) -> Result<(), StageError> {
        let Stage { change, from, to } = stage;
        let none = Shortfall::NothingToReplace(from.name());
        let node = match change {
            Change::None => {
                self.submit_to(&self.running_nodes()).await;
                return Ok(());
            }
            Change::ReplaceFollower => {
                controller_of(&self.builds, from, self.leader()).ok_or(none)?
            }
            Change::FailOverAndReplace => self.leader_of(from).await?,
            Change::FailOver => self.leader_of(to).await?,
            Change::ReplaceLast => controller_of(&self.builds, from, None).ok_or(none)?,
        };
        self.replace(node, to).await
    }

    /// What the running controllers fall short of at the end of a stage: a leader, and membership of all.
    async fn check_epoch(&self) -> Vec<Shortfall> {
        wait_until(MEMBERSHIP_BOUND, || self.non_members().is_empty()).await;
        verdict::epoch_shortfalls(self.leader(), self.non_members())
    }

    async fn run_stage(&mut self, stage: Stage) -> Result<StageResult, MeasureError> {
        let first = self.jobs.len();
        self.submit_before().await;
        let mut shortfalls = match self.make_change(stage).await {
            Ok(()) => Vec::new(),
            Err(StageError::Short(shortfall)) => vec![shortfall],
            Err(StageError::Measure(error)) => return Err(error),
        };
        if shortfalls.is_empty() {
            for node in self.running_nodes() {
                self.submit_to(&[node]).await;
            }
        }
        let timeout = START_BOUND + COMPLETE_AFTER;
        self.wait_for_jobs(first, timeout, Submission::is_completed)
            .await;
        let done = self.poll_until_done().await;
        if shortfalls.is_empty() {
            shortfalls.extend(self.check_epoch().await);
        }
        let measured = {
            let observations = self.surroundings.observer.observations();
            Measured::of(&self.jobs, first, &observations.histories, done)
        };
        shortfalls.extend(measured.shortfalls());
        Ok(StageResult {
            measured,
            shortfalls,
        })
    }

    /// Who leads, and which builds run.
    fn describe_controllers(&self) -> String {
        let name = |node: usize| format!("n{node} {}", self.builds[node].name());
        let running: Vec<String> = self.running_nodes().into_iter().map(name).collect();
        let leader = self.leader().map_or("nobody".to_owned(), name);
        format!("{leader} leads of {}", running.join(", "))
    }

    async fn run_all(mut self) -> Result<(), MeasureError> {
        (0..CONTROLLERS).try_for_each(|node| self.controllers.start(node))?;
        let stages = stage::stages();
        for (number, stage) in (1..).zip(&stages) {
            let result = self.run_stage(*stage).await?;
            println!(
                "stage {number} of {}, {stage}: {}; {}; {}",
                stages.len(),
                self.describe_controllers(),
                result.measured,
                verdict::describe(&result.shortfalls)
            );
            if !result.shortfalls.is_empty() {
                return Err(MeasureError::Stage(number));
            }
        }
        Ok(())
    }
}

/// Runs the upgrade and the rollback with at most `machines` workers; stops at the first stage that fails. `folder` is
/// for settings and logs.
///
/// # Errors
/// Wrong arguments, a file or process that cannot be used, or the stage that failed.
pub fn run(programs: &Programs, folder: PathBuf, machines: usize) -> Result<(), MeasureError> {
    arguments::check(programs, machines)?;
    let sockets = machines * DEFAULT_SOCKETS_PER_MACHINE;
    let controllers = Controllers::new(folder, &programs.old, machines, sockets)?;
    let surroundings = Surroundings::new(machines, TASK_RUN)?;
    let upgrade = Upgrade {
        surroundings: &surroundings,
        programs,
        controllers,
        builds: [Build::Old; CONTROLLERS],
        jobs: Vec::new(),
    };
    async_io::block_on(surroundings.executor.run(upgrade.run_all()))
}
