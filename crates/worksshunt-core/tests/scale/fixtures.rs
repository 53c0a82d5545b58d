//! The deployment of the scenarios, its jobs, and users who keep asking.

use serde_json::{json, Value};
use worksshunt_simulation::{job, Cluster};
use worksshunt_wire::JobId;

/// Machines of the deployment.
pub const MACHINES: usize = 4_000;
/// Tasks that it runs at a time.
pub const TASKS_AT_ONCE: usize = MACHINES * 4;
/// Tasks of a job.
pub const JOB_TASKS: u32 = 500;
/// Jobs that fill it.
pub const JOBS_AT_ONCE: u64 = (TASKS_AT_ONCE / JOB_TASKS as usize) as u64;
/// How long users wait for an answer, ms (protocol).
const USER_DEADLINE_MS: u64 = 2_000;
/// Questions a second: 600 open jobs, each asked about every five seconds.
const QUESTIONS_PER_S: u64 = 120;

/// A job of a team with [`JOB_TASKS`] tasks of one processor.
pub fn wide_job(id: u64, team: &str) -> Value {
    let mut job = job(id, JOB_TASKS);
    job["Cuadrilla"] = json!(team);
    job["CalculoS"] = json!(60.0);
    job
}

/// Submits jobs of two teams to all controllers in turn. One of the teams has a limit of half of the processors.
pub fn submit_jobs(cluster: &mut Cluster, jobs: std::ops::RangeInclusive<u64>) {
    for id in jobs {
        let team = if id % 2 == 0 { "blue" } else { "white" };
        cluster.send_submit((id % 3) as usize, &wide_job(id, team));
    }
}

/// A deployment of [`MACHINES`] machines, all full of tasks that run so long.
pub fn full_deployment(run_ms: u64) -> Cluster {
    let mut cluster = Cluster::large(MACHINES);
    cluster.task_run_ms = run_ms;
    cluster.boot_ms = 2_000;
    cluster.run(2_000);
    submit_jobs(&mut cluster, 1..=JOBS_AT_ONCE + 8);
    let full = |cluster: &Cluster| cluster.running().len() >= TASKS_AT_ONCE - JOB_TASKS as usize;
    cluster.until("a full fleet", 90_000, full);
    cluster
}

/// Users who query all jobs in turn, at all controllers in turn.
#[derive(Default)]
pub struct Users {
    asked: u64,
    open: Vec<(u64, usize, Option<u64>, usize)>,
    /// Questions answered with the job's state.
    pub served: usize,
    /// Questions refused.
    pub refused: usize,
}

impl Users {
    /// Lets seconds pass in which users ask. Every controller that stays up has to answer or refuse in time.
    pub fn ask_for(&mut self, cluster: &mut Cluster, seconds: u64) {
        for _ in 0..seconds {
            for _ in 0..QUESTIONS_PER_S {
                self.asked += 1;
                let controller = (self.asked % 3) as usize;
                let life = cluster.controller_incarnation(controller);
                let slot = cluster.send_status(controller, JobId(1 + self.asked % JOBS_AT_ONCE));
                self.open.push((cluster.now, controller, life, slot));
            }
            cluster.run(1_000);
            self.judge(cluster);
        }
    }

    fn judge(&mut self, cluster: &Cluster) {
        let (served, refused) = (&mut self.served, &mut self.refused);
        self.open.retain(|(sent, controller, life, slot)| {
            if let Some(reply) = cluster.reply(*slot) {
                match reply.status {
                    200 => *served += 1,
                    503 => {
                        assert_eq!(reply.retry_after_s, Some(1), "{reply:?}");
                        *refused += 1;
                    }
                    _ => panic!("{reply:?}"),
                }
                return false;
            }
            let ended = life.is_none() || cluster.controller_incarnation(*controller) != *life;
            let late = cluster.now > sent + USER_DEADLINE_MS;
            assert!(
                ended || !late,
                "a question was neither answered nor refused"
            );
            !ended
        });
    }
}

/// Lets the day go on until all jobs are done, and judges it.
pub fn finish(cluster: &mut Cluster, jobs: std::ops::RangeInclusive<u64>, most_ms: u64) {
    cluster.until("all jobs", most_ms, |cluster| {
        jobs.clone().all(|id| cluster.all_done(id, JOB_TASKS))
    });
    cluster.run(3_000);
    cluster.check();
}
