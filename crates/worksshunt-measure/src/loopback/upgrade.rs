//! The command `upgrade`: a rolling upgrade and its rollback with real controllers of two builds, in stages. Each stage
//! makes one change while jobs run, and then checks the jobs and the epoch.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{Duration, Instant};

use async_io::Timer;

use super::controllers::{Controllers, CONTROLLER_COUNT};
use super::environment::Environment;
use super::users::poll;
use super::verdict::{
    self, JobMeasurements, StageFailure, Submission, MEMBERSHIP_TIMEOUT, START_TIMEOUT,
};
use super::wait::{wait_until, POLL_INTERVAL};
use crate::{MeasureError, DEFAULT_SOCKETS_PER_MACHINE};

pub mod arguments;
mod jobs;
mod stage;

use arguments::Programs;
use stage::{find_controller, Build, Change, Stage, MAX_LEADERS_KILLED};

const TASKS_PER_JOB: u32 = 20;
/// Jobs submitted before the change of each stage.
const JOBS_BEFORE_CHANGE: usize = 2;
const TASK_DURATION: Duration = Duration::from_secs(15);
/// Time limit for the completion of a stage's tasks, after [`START_TIMEOUT`]: their duration and some heartbeats.
const COMPLETION_TIMEOUT: Duration = Duration::from_secs(30);

/// Failure to make the change of a stage.
#[derive(Debug, thiserror::Error)]
enum StageError {
    /// The controllers failed a check; the result of the stage includes the failure.
    #[error(transparent)]
    Failure(#[from] StageFailure),
    /// The upgrade cannot continue.
    #[error(transparent)]
    Measure(#[from] MeasureError),
}

struct StageResult {
    measurements: JobMeasurements,
    failures: Vec<StageFailure>,
}

struct Upgrade<'a> {
    environment: &'a Environment,
    programs: &'a Programs,
    controllers: Controllers,
    /// Build of each controller at its last start.
    builds: [Build; CONTROLLER_COUNT],
    /// All jobs so far, ordered by id; ids start at 1.
    jobs: Vec<Submission>,
}

impl Upgrade<'_> {
    fn address(&self, controller: usize) -> SocketAddr {
        self.environment.config.controllers[controller].address
    }

    /// Index of the controller with this name.
    fn controller_named(&self, name: &str) -> Option<usize> {
        let mut controllers = self.environment.config.controllers.iter();
        controllers.position(|controller| controller.name == name)
    }

    fn running_controllers(&self) -> Vec<usize> {
        let all_controllers = 0..CONTROLLER_COUNT;
        all_controllers
            .filter(|controller| self.controllers.is_started(*controller))
            .collect()
    }

    /// Leader in the stored epoch; `None` if it does not run.
    fn leader(&self) -> Option<usize> {
        let controller = self.controller_named(&self.environment.store.leader()?)?;
        self.controllers
            .is_started(controller)
            .then_some(controller)
    }

    /// Running controllers that are not members of the stored epoch.
    fn non_members(&self) -> Vec<usize> {
        let members = self.environment.store.members();
        let members: Vec<usize> = members
            .iter()
            .filter_map(|name| self.controller_named(name))
            .collect();
        verdict::non_members(&self.running_controllers(), &members)
    }

    /// Kills a controller and submits a job to the others; if it was the leader, waits for a failover.
    async fn kill(&mut self, controller: usize) -> Result<(), StageFailure> {
        let was_leader = self.leader() == Some(controller);
        self.controllers.kill(controller);
        self.submit_to(&self.running_controllers()).await;
        let has_leader = || !was_leader || self.leader().is_some();
        match wait_until(START_TIMEOUT, has_leader).await {
            Some(_) => Ok(()),
            None => Err(StageFailure::NoFailover(controller)),
        }
    }

    /// Starts a controller of a build and waits until it is ready for requests.
    async fn start(&mut self, controller: usize, build: Build) -> Result<(), StageError> {
        let program = build.program(self.programs);
        self.controllers.set_program(controller, program);
        self.builds[controller] = build;
        self.controllers.start(controller)?;
        let started_at = Instant::now();
        while started_at.elapsed() < START_TIMEOUT {
            let response = poll(self.address(controller), "/healthz").await;
            if response.is_some_and(|response| response.status == 200) {
                return Ok(());
            }
            Timer::after(POLL_INTERVAL).await;
        }
        Err(StageFailure::NotReady(controller).into())
    }

    /// Kills a controller and starts it with a build.
    async fn replace(&mut self, controller: usize, build: Build) -> Result<(), StageError> {
        self.kill(controller).await?;
        self.start(controller, build).await
    }

    /// Returns the leader once it runs this build. Until then kills the leader and restarts it with its own build, at
    /// most [`MAX_LEADERS_KILLED`] times.
    async fn fail_over_to_build(&mut self, build: Build) -> Result<usize, StageError> {
        for _ in 0..MAX_LEADERS_KILLED {
            let leader = self.leader().ok_or(StageFailure::NoLeader)?;
            if self.builds[leader] == build {
                return Ok(leader);
            }
            self.replace(leader, self.builds[leader]).await?;
        }
        Err(StageFailure::NoLeaderOfBuild(build.name()).into())
    }

    /// Makes the change of a stage. Without a change, only submits a job.
    async fn make_change(&mut self, stage: Stage) -> Result<(), StageError> {
        let Stage { change, from, to } = stage;
        let no_controller = StageFailure::NoControllerOfBuild(from.name());
        let controller = match change {
            Change::None => {
                self.submit_to(&self.running_controllers()).await;
                return Ok(());
            }
            Change::ReplaceFollower => {
                find_controller(&self.builds, from, self.leader()).ok_or(no_controller)?
            }
            Change::FailOverAndReplace => self.fail_over_to_build(from).await?,
            Change::FailOver => self.fail_over_to_build(to).await?,
            Change::ReplaceLast => {
                find_controller(&self.builds, from, None).ok_or(no_controller)?
            }
        };
        self.replace(controller, to).await
    }

    /// Waits until all running controllers are members of the epoch, and returns the failures of the epoch's checks.
    async fn check_epoch(&self) -> Vec<StageFailure> {
        wait_until(MEMBERSHIP_TIMEOUT, || self.non_members().is_empty()).await;
        verdict::epoch_failures(self.leader(), self.non_members())
    }

    /// Runs a stage: submits jobs, makes the change, submits a job to each controller, and checks jobs and epoch.
    async fn run_stage(&mut self, stage: Stage) -> Result<StageResult, MeasureError> {
        let first_job = self.jobs.len();
        self.submit_before_change().await;
        let mut failures = match self.make_change(stage).await {
            Ok(()) => Vec::new(),
            Err(StageError::Failure(failure)) => vec![failure],
            Err(StageError::Measure(error)) => return Err(error),
        };
        if failures.is_empty() {
            for controller in self.running_controllers() {
                self.submit_to(&[controller]).await;
            }
        }
        let timeout = START_TIMEOUT + COMPLETION_TIMEOUT;
        self.wait_for_jobs(first_job, timeout, Submission::is_completed)
            .await;
        let done_responses = self.poll_until_done().await;
        if failures.is_empty() {
            failures.extend(self.check_epoch().await);
        }
        let measurements = {
            let observations = self.environment.observer.observations();
            JobMeasurements::new(
                &self.jobs,
                first_job,
                &observations.histories,
                done_responses,
            )
        };
        failures.extend(measurements.failures());
        Ok(StageResult {
            measurements,
            failures,
        })
    }

    /// Formats the leader and the running controllers with their builds.
    fn describe_controllers(&self) -> String {
        let name = |controller: usize| format!("n{controller} {}", self.builds[controller].name());
        let running: Vec<String> = self.running_controllers().into_iter().map(name).collect();
        let leader = self.leader().map_or("none".to_owned(), name);
        format!("leader {leader}, running {}", running.join(", "))
    }

    async fn run_all(mut self) -> Result<(), MeasureError> {
        (0..CONTROLLER_COUNT).try_for_each(|controller| self.controllers.start(controller))?;
        let stages = stage::stages();
        for (number, stage) in (1..).zip(&stages) {
            let result = self.run_stage(*stage).await?;
            println!(
                "stage {number} of {}, {stage}: {}; {}; {}",
                stages.len(),
                self.describe_controllers(),
                result.measurements,
                verdict::describe_failures(&result.failures)
            );
            if !result.failures.is_empty() {
                return Err(MeasureError::StageFailed(number));
            }
        }
        Ok(())
    }
}

/// Runs the upgrade and the rollback with at most `machines` machines; stops at the first stage that fails. `folder` is
/// for settings and logs.
///
/// # Errors
/// The arguments are invalid, a file, port or process cannot be used, or a stage failed.
pub fn run(programs: &Programs, folder: PathBuf, machines: usize) -> Result<(), MeasureError> {
    arguments::check(programs, machines)?;
    let sockets = machines * DEFAULT_SOCKETS_PER_MACHINE;
    let controllers = Controllers::new(folder, &programs.old, machines, sockets)?;
    let environment = Environment::new(machines, TASK_DURATION)?;
    let upgrade = Upgrade {
        environment: &environment,
        programs,
        controllers,
        builds: [Build::Old; CONTROLLER_COUNT],
        jobs: Vec::new(),
    };
    async_io::block_on(environment.executor.run(upgrade.run_all()))
}
