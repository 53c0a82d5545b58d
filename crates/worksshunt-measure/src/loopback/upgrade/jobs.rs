//! Jobs of an upgrade: submits them, waits for their tasks, and polls the controllers for their states.

use std::time::{Duration, Instant};

use async_io::Timer;
use worksshunt_wire::user::{JobState, JobStatus};
use worksshunt_wire::JobId;

use super::{Upgrade, JOBS_BEFORE_CHANGE, TASKS_PER_JOB, TASK_DURATION};
use crate::loopback::users::{poll, submit, unlimited_job};
use crate::loopback::verdict::{
    ControllerJob, DoneResponses, Submission, TaskHistories, DONE_TIMEOUT, START_TIMEOUT,
};
use crate::loopback::wait::{wait_until, POLL_INTERVAL};

/// Whether the response to a poll reports a job as done.
fn is_done_response(status: u16, body: &[u8]) -> bool {
    let job_status = serde_json::from_slice::<JobStatus>(body);
    status == 200 && job_status.is_ok_and(|job_status| job_status.state == JobState::Done)
}

impl Upgrade<'_> {
    /// Submits a job to these controllers in turn until one accepts it or [`START_TIMEOUT`] has passed.
    pub(super) async fn submit_to(&mut self, controllers: &[usize]) {
        let job = JobId(self.jobs.len() as u64 + 1);
        let request = unlimited_job(job.0, TASKS_PER_JOB, TASK_DURATION.as_secs_f64());
        let started_at = Instant::now();
        let mut is_accepted = false;
        for controller in controllers.iter().cycle() {
            is_accepted = submit(self.address(*controller), &request).await;
            if is_accepted || started_at.elapsed() > START_TIMEOUT {
                break;
            }
            Timer::after(POLL_INTERVAL).await;
        }
        self.jobs.push(Submission {
            job,
            task_count: TASKS_PER_JOB,
            submission_started_at: started_at,
            is_accepted,
        });
    }

    /// Waits until a condition holds for all accepted jobs from the index `first_job` on, or until the timeout.
    pub(super) async fn wait_for_jobs(
        &self,
        first_job: usize,
        timeout: Duration,
        condition: impl Fn(&Submission, &TaskHistories) -> bool,
    ) {
        let holds_for_all = || {
            let observations = self.environment.observer.observations();
            let mut accepted_jobs = self.jobs[first_job..].iter().filter(|job| job.is_accepted);
            accepted_jobs.all(|job| condition(job, &observations.histories))
        };
        wait_until(timeout, holds_for_all).await;
    }

    /// Submits the jobs that run during the change of a stage, and waits until all their tasks have started.
    pub(super) async fn submit_before_change(&mut self) {
        let first_job = self.jobs.len();
        for _ in 0..JOBS_BEFORE_CHANGE {
            self.submit_to(&self.running_controllers()).await;
        }
        let has_started = |job: &Submission, histories: &TaskHistories| {
            job.time_to_last_start(histories).is_some()
        };
        self.wait_for_jobs(first_job, START_TIMEOUT, has_started)
            .await;
    }

    /// Polls every running controller for every completed job until it reports the job as done, or until
    /// [`DONE_TIMEOUT`] has passed.
    pub(super) async fn poll_until_done(&self) -> DoneResponses {
        let started_at = Instant::now();
        let mut missing = self.expected_done_responses();
        let mut longest_wait = Duration::ZERO;
        while !missing.is_empty() && started_at.elapsed() <= DONE_TIMEOUT {
            let mut still_missing = Vec::new();
            for expected in missing {
                let path = format!("/v2/runs/{}", expected.job);
                match poll(self.address(expected.controller), &path).await {
                    Some(response) if is_done_response(response.status, &response.body) => {
                        longest_wait = started_at.elapsed();
                    }
                    _ => still_missing.push(expected),
                }
            }
            missing = still_missing;
            Timer::after(POLL_INTERVAL).await;
        }
        DoneResponses {
            longest_wait,
            missing,
        }
    }

    /// Pairs of each running controller and each accepted job that has completed.
    fn expected_done_responses(&self) -> Vec<ControllerJob> {
        let observations = self.environment.observer.observations();
        let completed_jobs = self
            .jobs
            .iter()
            .filter(|job| job.is_accepted && job.is_completed(&observations.histories));
        let jobs: Vec<JobId> = completed_jobs.map(|job| job.job).collect();
        let pairs_of_controller = |controller| {
            jobs.iter().map(move |job| ControllerJob {
                controller,
                job: *job,
            })
        };
        self.running_controllers()
            .into_iter()
            .flat_map(pairs_of_controller)
            .collect()
    }
}

#[cfg(test)]
mod tests;
