//! The command `loopback`: measures three real controllers while they fill the machines, in the steady state, with two
//! of them killed, and during recovery.

use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use async_io::Timer;

use super::controllers::{Controllers, CONTROLLER_COUNT};
use super::environment::Environment;
use super::process::ProcessUsage;
use super::users::{submit, unlimited_job};
use super::wait::{describe_wait, wait_until, POLL_INTERVAL};
use super::TASKS_PER_MACHINE;
use crate::MeasureError;

pub mod arguments;

const TASKS_PER_JOB: u32 = 200;
const TASK_DURATION: Duration = Duration::from_secs(40);
/// Estimated duration of a task, as submitted with a job.
const TASK_ESTIMATE_S: f64 = 60.0;
/// Time limit of a phase.
const PHASE_TIMEOUT: Duration = Duration::from_secs(180);
/// Duration of a measurement of resource usage.
const USAGE_WINDOW: Duration = Duration::from_secs(15);
/// Controller that is not killed.
const REMAINING_CONTROLLER: usize = 2;

struct Measurement<'a> {
    environment: &'a Environment,
    controllers: Controllers,
    /// Number of jobs to submit.
    job_count: u64,
}

impl Measurement<'_> {
    /// Tasks that fit on all machines.
    fn task_capacity(&self) -> usize {
        self.environment.config.max_machines * TASKS_PER_MACHINE
    }

    /// Submits all jobs, each to one of the controllers in turn; retries until the job is accepted.
    async fn submit_jobs(&self) {
        let controllers = &self.environment.config.controllers;
        for id in 1..=self.job_count {
            let request = unlimited_job(id, TASKS_PER_JOB, TASK_ESTIMATE_S);
            let address = controllers[id as usize % CONTROLLER_COUNT].address;
            while !submit(address, &request).await {
                Timer::after(POLL_INTERVAL).await;
            }
        }
    }

    /// Measures and prints the resource usage of the running controllers.
    async fn print_usage(&self, phase: &str) {
        let before = self.controllers.usage();
        Timer::after(USAGE_WINDOW).await;
        let after = self.controllers.usage();
        for (controller, (after, before)) in after.iter().zip(&before).enumerate() {
            if is_running(after) {
                println!(
                    "{phase}: n{controller} {}",
                    after.describe_since(before, USAGE_WINDOW)
                );
            }
        }
    }

    /// Submits the jobs, waits until the machines are 90% full, and measures the steady state.
    async fn fill_machines(&self) {
        self.submit_jobs().await;
        let Environment {
            config,
            cloud,
            observer,
            ..
        } = self.environment;
        let is_full = || observer.observations().running.len() >= self.task_capacity() * 9 / 10;
        println!(
            "{} machines, nine tenths full: {}",
            config.max_machines,
            describe_wait(wait_until(PHASE_TIMEOUT, is_full).await)
        );
        let booted_count = {
            let machines = cloud.machines.borrow();
            let booted = machines.values().filter(|m| m.worker.is_booted());
            booted.count()
        };
        println!("workers up: {booted_count}");
        self.print_usage("three controllers").await;
    }

    /// Number of answered heartbeats of each worker.
    fn answered_heartbeats(&self) -> Vec<u64> {
        let machines = self.environment.cloud.machines.borrow();
        let workers = machines.values().map(|machine| &machine.worker);
        workers.map(|w| w.answered_heartbeats.get()).collect()
    }

    /// Whether 99% of the workers send their heartbeats to the remaining controller and got a response since `before`
    /// was counted.
    fn has_remaining_controller_answered_workers(&self, before: &[u64]) -> bool {
        let machines = self.environment.cloud.machines.borrow();
        let workers = machines.values().map(|machine| &machine.worker);
        let answered = workers.zip(before).filter(|(worker, before)| {
            worker.controller.get() == REMAINING_CONTROLLER
                && worker.answered_heartbeats.get() > **before
        });
        answered.count() >= machines.len() * 99 / 100
    }

    /// Kills two controllers and measures the remaining one. Returns the time of the kill.
    async fn measure_remaining_controller(&mut self) -> Instant {
        for controller in
            (0..CONTROLLER_COUNT).filter(|controller| *controller != REMAINING_CONTROLLER)
        {
            self.controllers.kill(controller);
        }
        let killed_at = Instant::now();
        let before = self.answered_heartbeats();
        let has_answered = || self.has_remaining_controller_answered_workers(&before);
        println!(
            "one controller answers 99% of the workers: {}",
            describe_wait(wait_until(PHASE_TIMEOUT, has_answered).await)
        );
        self.print_usage("one alone").await;
        killed_at
    }

    /// Restarts the killed controllers, waits until all tasks have completed, and prints the counts of tasks.
    async fn recover(&mut self, killed_at: Instant) -> Result<(), MeasureError> {
        for controller in
            (0..CONTROLLER_COUNT).filter(|controller| *controller != REMAINING_CONTROLLER)
        {
            self.controllers.start(controller)?;
        }
        let observer = &self.environment.observer;
        let task_count = self.job_count as usize * TASKS_PER_JOB as usize;
        let is_done = || observer.observations().completed.len() >= task_count;
        println!(
            "all {task_count} tasks completed: {}",
            describe_wait(wait_until(PHASE_TIMEOUT, is_done).await)
        );
        let observations = observer.observations();
        println!(
            "starts {}, completed {}, ran twice {}, {:.0} s after the two were killed",
            observations.starts,
            observations.completed.len(),
            observations.concurrent_starts,
            killed_at.elapsed().as_secs_f64()
        );
        Ok(())
    }

    async fn run_all(mut self) -> Result<(), MeasureError> {
        (0..CONTROLLER_COUNT).try_for_each(|controller| self.controllers.start(controller))?;
        self.fill_machines().await;
        let killed_at = self.measure_remaining_controller().await;
        self.recover(killed_at).await
    }
}

/// Whether the usage was read from a running process.
fn is_running(usage: &ProcessUsage) -> bool {
    usage.memory_mb > 0.0
}

/// Measures three controllers that run `program`, with at most `machines` machines. `folder` is for settings and logs,
/// `sockets` is the limit of sockets in each controller's settings.
///
/// # Errors
/// `sockets` is too low, or a file, port or process cannot be used.
pub fn run(
    program: &Path,
    folder: PathBuf,
    machines: usize,
    sockets: usize,
) -> Result<(), MeasureError> {
    arguments::check_sockets(sockets)?;
    let controllers = Controllers::new(folder, program, machines, sockets)?;
    let environment = Environment::new(machines, TASK_DURATION)?;
    let task_count = machines * TASKS_PER_MACHINE * 2;
    let measurement = Measurement {
        environment: &environment,
        controllers,
        job_count: task_count.div_ceil(TASKS_PER_JOB as usize) as u64,
    };
    async_io::block_on(environment.executor.run(measurement.run_all()))
}
