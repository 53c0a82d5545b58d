//! The jobs of an upgrade: submits them to the controllers, waits for their tasks, and polls the controllers about
//! them. The state is `Upgrade`'s; its stages call this.

use std::time::{Duration, Instant};

use async_io::Timer;
use worksshunt_wire::user::{JobState, JobStatus};
use worksshunt_wire::JobId;

use super::{Upgrade, JOBS_BEFORE, JOB_TASKS, TASK_RUN};
use crate::loopback::users::{poll, submit, unlimited_job};
use crate::loopback::verdict::{
    ControllerJob, DoneAnswers, Histories, Submission, DONE_BOUND, START_BOUND,
};
use crate::loopback::wait::{wait_until, POLL_INTERVAL};

/// Whether an answer to a poll says that a job is done.
fn is_done_answer(status: u16, body: &[u8]) -> bool {
    let answer = serde_json::from_slice::<JobStatus>(body);
    status == 200 && answer.is_ok_and(|answer| answer.state == JobState::Done)
}

impl Upgrade<'_> {
    /// Submits a job to one of these controllers, each in turn until one accepts it.
    pub(super) async fn submit_to(&mut self, nodes: &[usize]) {
        let job = JobId(self.jobs.len() as u64 + 1);
        let request = unlimited_job(job.0, JOB_TASKS, TASK_RUN.as_secs_f64());
        let begun_at = Instant::now();
        let mut accepted = false;
        for node in nodes.iter().cycle() {
            accepted = submit(self.address(*node), &request).await;
            if accepted || begun_at.elapsed() > START_BOUND {
                break;
            }
            Timer::after(POLL_INTERVAL).await;
        }
        self.jobs.push(Submission {
            job,
            tasks: JOB_TASKS,
            begun_at,
            accepted,
        });
    }

    /// Waits until a condition holds for all accepted jobs from that index on.
    pub(super) async fn wait_for_jobs(
        &self,
        first: usize,
        timeout: Duration,
        condition: impl Fn(&Submission, &Histories) -> bool,
    ) {
        let holds_for_all = || {
            let observations = self.surroundings.observer.observations();
            let mut accepted = self.jobs[first..].iter().filter(|job| job.accepted);
            accepted.all(|job| condition(job, &observations.histories))
        };
        wait_until(timeout, holds_for_all).await;
    }

    /// Submits the jobs that run when the stage's change is made, and waits until they have started.
    pub(super) async fn submit_before(&mut self) {
        let first = self.jobs.len();
        for _ in 0..JOBS_BEFORE {
            self.submit_to(&self.running_nodes()).await;
        }
        let has_started =
            |job: &Submission, histories: &Histories| job.time_to_last_start(histories).is_some();
        self.wait_for_jobs(first, START_BOUND, has_started).await;
    }

    /// Asks every running controller about every completed job until it answers that the job is done.
    pub(super) async fn poll_until_done(&self) -> DoneAnswers {
        let begun_at = Instant::now();
        let mut missing = self.expected_done_answers();
        let mut longest = Duration::ZERO;
        while !missing.is_empty() && begun_at.elapsed() <= DONE_BOUND {
            let mut still_missing = Vec::new();
            for expected in missing {
                let path = format!("/v2/runs/{}", expected.job);
                match poll(self.address(expected.node), &path).await {
                    Some(response) if is_done_answer(response.status, &response.body) => {
                        longest = begun_at.elapsed();
                    }
                    _ => still_missing.push(expected),
                }
            }
            missing = still_missing;
            Timer::after(POLL_INTERVAL).await;
        }
        DoneAnswers { longest, missing }
    }

    fn expected_done_answers(&self) -> Vec<ControllerJob> {
        let observations = self.surroundings.observer.observations();
        let completed = self
            .jobs
            .iter()
            .filter(|job| job.accepted && job.is_completed(&observations.histories));
        let jobs: Vec<JobId> = completed.map(|job| job.job).collect();
        let of_node = |node| {
            jobs.iter()
                .map(move |job| ControllerJob { node, job: *job })
        };
        self.running_nodes().into_iter().flat_map(of_node).collect()
    }
}

#[cfg(test)]
mod tests;
