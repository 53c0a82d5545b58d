//! Throughput of final states.

use serde_json::json;
use worksshunt_simulation::{job, Cluster};

/// Jobs submitted per second. Their final states need 18 changes per second. The write share of final states covers a
/// quarter of these; the others use the share of submissions.
const JOBS_PER_S: u64 = 9;

// Guards against a growing backlog of final states, whose write share is a fifth of the limit.
#[test]
fn final_states_are_written_as_fast_as_jobs_are_submitted() {
    let mut cluster = Cluster::large(1_000);
    cluster.boot_ms = 2_000;
    cluster.task_run_ms = 8_000;
    cluster.run(2_000);
    let mut submitted_count = 0;
    let mut submit = |cluster: &mut Cluster, jobs: u64| {
        for _ in 0..jobs {
            submitted_count += 1;
            let mut new_job = job(submitted_count, 20);
            new_job["Cuadrilla"] = json!("white");
            cluster.send_submit((submitted_count % 3) as usize, &new_job);
        }
    };
    submit(&mut cluster, 300);
    for _ in 0..90 {
        submit(&mut cluster, JOBS_PER_S);
        cluster.run(1_000);
    }
    // At most the running jobs and the jobs whose final states were pending for about one second.
    let open_jobs = cluster.keys("j/j").len() as u64;
    assert!(open_jobs <= JOBS_PER_S * 10, "{open_jobs} jobs are open");
    cluster.check();
}
