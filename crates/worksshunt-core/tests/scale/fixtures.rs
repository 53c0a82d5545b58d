//! The deployment of the scenarios, its jobs, and users who keep sending queries.

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
/// How long users wait for a response, ms (protocol).
const USER_DEADLINE_MS: u64 = 2_000;
/// Queries a second: 600 open jobs, each queried every five seconds.
const QUERIES_PER_S: u64 = 120;

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

/// A query that has not been responded to.
struct OpenQuery {
    sent_at: u64,
    controller: usize,
    /// The controller's incarnation when the query was sent; none: it was down.
    incarnation: Option<u64>,
    /// By which the cluster finds the response.
    slot: usize,
}

/// Users who query all jobs in turn, at all controllers in turn.
#[derive(Default)]
pub struct Users {
    sent_count: u64,
    open: Vec<OpenQuery>,
    /// Queries answered with the job's state.
    pub served: usize,
    /// Queries refused.
    pub refused: usize,
}

impl Users {
    /// Lets seconds pass in which users send queries. Every controller that stays up has to answer or refuse in time.
    pub fn query_for(&mut self, cluster: &mut Cluster, seconds: u64) {
        for _ in 0..seconds {
            for _ in 0..QUERIES_PER_S {
                self.sent_count += 1;
                let controller = (self.sent_count % 3) as usize;
                let incarnation = cluster.controller_incarnation(controller);
                let slot =
                    cluster.send_status(controller, JobId(1 + self.sent_count % JOBS_AT_ONCE));
                self.open.push(OpenQuery {
                    sent_at: cluster.now,
                    controller,
                    incarnation,
                    slot,
                });
            }
            cluster.run(1_000);
            self.check_responses(cluster);
        }
    }

    fn check_responses(&mut self, cluster: &Cluster) {
        let (served, refused) = (&mut self.served, &mut self.refused);
        self.open.retain(|query| {
            if let Some(reply) = cluster.response(query.slot) {
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
            let incarnation = cluster.controller_incarnation(query.controller);
            let ended = query.incarnation.is_none() || incarnation != query.incarnation;
            let late = cluster.now > query.sent_at + USER_DEADLINE_MS;
            assert!(ended || !late, "a query was neither answered nor refused");
            !ended
        });
    }
}

/// Runs until all jobs are done, and checks the invariants.
pub fn finish(cluster: &mut Cluster, jobs: std::ops::RangeInclusive<u64>, timeout_ms: u64) {
    cluster.until("all jobs", timeout_ms, |cluster| {
        jobs.clone().all(|id| cluster.all_done(id, JOB_TASKS))
    });
    cluster.run(3_000);
    cluster.check();
}
