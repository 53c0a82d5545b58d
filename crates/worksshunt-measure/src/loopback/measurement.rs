//! Measures three real controllers: filling the machines, the steady state, one controller alone, and recovery. It owns
//! the controllers' processes; the command `loopback` calls it.

use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use async_io::Timer;

use super::controllers::{Controllers, CONTROLLERS};
use super::process::Usage;
use super::surroundings::Surroundings;
use super::users::{submit, unlimited_job};
use super::wait::{describe_wait, wait_until, POLL_INTERVAL};
use super::TASKS_PER_MACHINE;
use crate::MeasureError;

pub mod arguments;

/// Tasks of a job.
const JOB_TASKS: u32 = 200;
/// How long a task runs.
const TASK_RUN: Duration = Duration::from_secs(40);
/// Run time that a job's owner estimates for a task, seconds.
const ESTIMATE_S: f64 = 60.0;
/// How long a phase may take.
const PHASE_TIMEOUT: Duration = Duration::from_secs(180);
/// Time over which resource usage is measured.
const USAGE_WINDOW: Duration = Duration::from_secs(15);
/// The controller that is left alone.
const REMAINING: usize = 2;

/// The measurement that is running.
struct Measurement<'a> {
    surroundings: &'a Surroundings,
    controllers: Controllers,
    jobs: u64,
}

impl Measurement<'_> {
    fn tasks_on_full_machines(&self) -> usize {
        self.surroundings.plan.machines * TASKS_PER_MACHINE
    }

    /// Submits all jobs, each until a controller accepts it.
    async fn submit_jobs(&self) {
        let nodes = &self.surroundings.plan.nodes;
        for id in 1..=self.jobs {
            let request = unlimited_job(id, JOB_TASKS, ESTIMATE_S);
            let address = nodes[id as usize % CONTROLLERS].address;
            while !submit(address, &request).await {
                Timer::after(POLL_INTERVAL).await;
            }
        }
    }

    async fn print_usage(&self, phase: &str) {
        let before = self.controllers.usage();
        Timer::after(USAGE_WINDOW).await;
        let now = self.controllers.usage();
        for (node, (now, before)) in now.iter().zip(&before).enumerate() {
            if is_running(now) {
                println!(
                    "{phase}: n{node} {}",
                    now.describe_since(before, USAGE_WINDOW)
                );
            }
        }
    }

    /// Fills the machines with jobs, and measures the steady state.
    async fn fill(&self) {
        self.submit_jobs().await;
        let Surroundings {
            plan,
            cloud,
            observer,
            ..
        } = self.surroundings;
        let is_full =
            || observer.observations().running.len() >= self.tasks_on_full_machines() * 9 / 10;
        println!(
            "{} machines, nine tenths full: {}",
            plan.machines,
            describe_wait(wait_until(PHASE_TIMEOUT, is_full).await)
        );
        let booted = {
            let machines = cloud.machines.borrow();
            let booted = machines.values().filter(|m| m.worker.is_booted());
            booted.count()
        };
        println!("workers up: {booted}");
        self.print_usage("three controllers").await;
    }

    /// How many heartbeats of each worker were answered.
    fn answered_heartbeats(&self) -> Vec<u64> {
        let machines = self.surroundings.cloud.machines.borrow();
        let workers = machines.values().map(|machine| &machine.worker);
        workers.map(|w| w.answered_heartbeats.get()).collect()
    }

    /// Whether the remaining controller has answered 99% of the workers since an earlier count.
    fn is_answered_by_remaining(&self, before: &[u64]) -> bool {
        let machines = self.surroundings.cloud.machines.borrow();
        let workers = machines.values().map(|machine| &machine.worker);
        let answered = workers.zip(before).filter(|(worker, before)| {
            worker.controller.get() == REMAINING && worker.answered_heartbeats.get() > **before
        });
        answered.count() >= machines.len() * 99 / 100
    }

    /// Kills two controllers, and measures the remaining one; when they were killed.
    async fn leave_one_alone(&mut self) -> Instant {
        for node in (0..CONTROLLERS).filter(|node| *node != REMAINING) {
            self.controllers.kill(node);
        }
        let killed_at = Instant::now();
        let before = self.answered_heartbeats();
        let is_answered = || self.is_answered_by_remaining(&before);
        println!(
            "one controller answers 99% of the workers: {}",
            describe_wait(wait_until(PHASE_TIMEOUT, is_answered).await)
        );
        self.print_usage("one alone").await;
        killed_at
    }

    /// Restarts the killed controllers, and waits until all tasks have completed.
    async fn recover(&mut self, killed_at: Instant) -> Result<(), MeasureError> {
        for node in (0..CONTROLLERS).filter(|node| *node != REMAINING) {
            self.controllers.start(node)?;
        }
        let observer = &self.surroundings.observer;
        let tasks = self.jobs as usize * JOB_TASKS as usize;
        let is_done = || observer.observations().completed.len() >= tasks;
        println!(
            "all {tasks} tasks completed: {}",
            describe_wait(wait_until(PHASE_TIMEOUT, is_done).await)
        );
        let observations = observer.observations();
        println!(
            "starts {}, completed {}, ran twice {}, {:.0} s after the two ended",
            observations.starts,
            observations.completed.len(),
            observations.concurrent_starts,
            killed_at.elapsed().as_secs_f64()
        );
        Ok(())
    }

    async fn run_all(mut self) -> Result<(), MeasureError> {
        (0..CONTROLLERS).try_for_each(|node| self.controllers.start(node))?;
        self.fill().await;
        let killed_at = self.leave_one_alone().await;
        self.recover(killed_at).await
    }
}

/// Whether that is the usage of a process that runs.
fn is_running(usage: &Usage) -> bool {
    usage.memory_mb > 0.0
}

/// Measures three controllers of a program with at most `machines` workers. `folder` is for settings and logs; each
/// controller's settings allow it `sockets` sockets.
///
/// # Errors
/// Too few sockets, or a file, port or process that cannot be used.
pub fn run(
    program: &Path,
    folder: PathBuf,
    machines: usize,
    sockets: usize,
) -> Result<(), MeasureError> {
    arguments::check_sockets(sockets)?;
    let controllers = Controllers::new(folder, program, machines, sockets)?;
    let surroundings = Surroundings::new(machines, TASK_RUN)?;
    let tasks = machines * TASKS_PER_MACHINE * 2;
    let measurement = Measurement {
        surroundings: &surroundings,
        controllers,
        jobs: tasks.div_ceil(JOB_TASKS as usize) as u64,
    };
    async_io::block_on(surroundings.executor.run(measurement.run_all()))
}
