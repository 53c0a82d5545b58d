//! The deployment of the scenarios, its jobs, and users who query them.

use serde_json::{json, Value};
use worksshunt_simulation::{job, Cluster};
use worksshunt_wire::JobId;

/// Machines of the deployment.
pub const MACHINE_COUNT: usize = 4_000;
/// Tasks that fill the deployment.
pub const FLEET_TASK_COUNT: usize = MACHINE_COUNT * 4;
/// Tasks per job.
pub const JOB_TASKS: u32 = 500;
/// Jobs that fill the deployment.
pub const FLEET_JOB_COUNT: u64 = (FLEET_TASK_COUNT / JOB_TASKS as usize) as u64;
/// Time that users wait for a response, ms; set by the protocol.
const USER_DEADLINE_MS: u64 = 2_000;
/// Queries per second: 600 open jobs, each queried every five seconds.
const QUERIES_PER_S: u64 = 120;

/// Returns a job with [`JOB_TASKS`] tasks of one CPU.
pub fn large_job(id: u64, team: &str) -> Value {
    let mut job = job(id, JOB_TASKS);
    job["Cuadrilla"] = json!(team);
    job["CalculoS"] = json!(60.0);
    job
}

/// Submits jobs of two teams to all controllers in turn. The limit of one team is half of the CPUs.
pub fn submit_jobs(cluster: &mut Cluster, jobs: std::ops::RangeInclusive<u64>) {
    for id in jobs {
        let team = if id % 2 == 0 { "blue" } else { "white" };
        cluster.send_submit((id % 3) as usize, &large_job(id, team));
    }
}

/// Returns a deployment of [`MACHINE_COUNT`] machines, filled with tasks that run for `run_ms`.
pub fn full_deployment(run_ms: u64) -> Cluster {
    let mut cluster = Cluster::large(MACHINE_COUNT);
    cluster.task_run_ms = run_ms;
    cluster.boot_ms = 2_000;
    cluster.run(2_000);
    submit_jobs(&mut cluster, 1..=FLEET_JOB_COUNT + 8);
    let is_full =
        |cluster: &Cluster| cluster.running().len() >= FLEET_TASK_COUNT - JOB_TASKS as usize;
    cluster.until("a full fleet", 90_000, is_full);
    cluster
}

/// A query without a response.
struct OpenQuery {
    sent_at: u64,
    controller: usize,
    /// The controller's incarnation when the query was sent; `None` if it was down.
    incarnation: Option<u64>,
    /// Slot in which the cluster stores the response.
    slot: usize,
}

/// Users who query all jobs and all controllers in turn.
#[derive(Default)]
pub struct Users {
    sent_count: u64,
    open_queries: Vec<OpenQuery>,
    /// Number of queries answered with the job's state.
    pub served_count: usize,
    /// Number of queries answered with status 503.
    pub refused_count: usize,
}

impl Users {
    /// Runs for `seconds` while users send queries. Every controller that stays up must answer or refuse each in time.
    pub fn query_for(&mut self, cluster: &mut Cluster, seconds: u64) {
        for _ in 0..seconds {
            for _ in 0..QUERIES_PER_S {
                self.sent_count += 1;
                let controller = (self.sent_count % 3) as usize;
                let incarnation = cluster.controller_incarnation(controller);
                let slot =
                    cluster.send_status(controller, JobId(1 + self.sent_count % FLEET_JOB_COUNT));
                self.open_queries.push(OpenQuery {
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
        let (served_count, refused_count) = (&mut self.served_count, &mut self.refused_count);
        self.open_queries.retain(|query| {
            if let Some(response) = cluster.response(query.slot) {
                match response.status {
                    200 => *served_count += 1,
                    503 => {
                        assert_eq!(response.retry_after_s, Some(1), "{response:?}");
                        *refused_count += 1;
                    }
                    _ => panic!("{response:?}"),
                }
                return false;
            }
            let incarnation = cluster.controller_incarnation(query.controller);
            let controller_restarted =
                query.incarnation.is_none() || incarnation != query.incarnation;
            let is_overdue = cluster.now > query.sent_at + USER_DEADLINE_MS;
            assert!(
                controller_restarted || !is_overdue,
                "a query was neither answered nor refused"
            );
            !controller_restarted
        });
    }
}

/// Runs until all tasks of `jobs` have completed, and checks the invariants.
pub fn complete_jobs(cluster: &mut Cluster, jobs: std::ops::RangeInclusive<u64>, timeout_ms: u64) {
    cluster.until("all jobs", timeout_ms, |cluster| {
        jobs.clone().all(|id| cluster.all_done(id, JOB_TASKS))
    });
    cluster.run(3_000);
    cluster.check();
}
