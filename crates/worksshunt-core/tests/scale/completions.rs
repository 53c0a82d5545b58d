//! Ends of jobs, several a second.

use serde_json::json;
use worksshunt_simulation::{job, Cluster};

/// Jobs that come in a second: their ends take 18 changes, three quarters of it from the share of intake.
const JOBS_PER_S: u64 = 9;

// Guards against jobs that are all done and not called so, because their ends have a fifth of the limit only.
#[test]
fn jobs_end_as_fast_as_they_are_submitted() {
    let mut cluster = Cluster::large(1_000);
    cluster.boot_ms = 2_000;
    cluster.task_run_ms = 8_000;
    cluster.run(2_000);
    let mut submitted = 0;
    let mut submit = |cluster: &mut Cluster, jobs: u64| {
        for _ in 0..jobs {
            submitted += 1;
            let mut new = job(submitted, 20);
            new["Cuadrilla"] = json!("white");
            cluster.send_submit((submitted % 3) as usize, &new);
        }
    };
    submit(&mut cluster, 300);
    for _ in 0..90 {
        submit(&mut cluster, JOBS_PER_S);
        cluster.run(1_000);
    }
    // Those that run now, and a second's worth of ends.
    let open = cluster.keys("j/j").len() as u64;
    assert!(open <= JOBS_PER_S * 10, "{open} jobs are open");
    cluster.check();
}
