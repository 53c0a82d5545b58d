//! Jobs that were submitted with a mistake fail on all machines, and are cancelled.

use std::time::Duration;

use crate::cluster::{Cluster, Plan};
use crate::jobs::Job;
use crate::waiting::{watch, Verdict};

use super::{submit_and_wait, wait_for, EINDHOVEN};

/// Two machines of Eindhoven.
pub const PLAN: Plan = EINDHOVEN;

/// Number of sound jobs before the mistaken ones, of which there are three: 4% of all jobs, as in the site's file.
const SOUND_JOBS: u32 = 72;

/// Three mistaken jobs fail on the machines and are cancelled; then a sound job is submitted.
pub fn run(cluster: &Cluster, is_troubled: bool) -> Option<Verdict> {
    let sound: Vec<Job> = (0..SOUND_JOBS)
        .map(|id| Job::array(100 + id, "firmware", 1, 0.5))
        .collect();
    for job in &sound {
        cluster.submit(job).then_some(())?;
    }
    wait_for(cluster, "the first jobs", || {
        sound
            .iter()
            .all(|job| cluster.jobs.completed_tasks(&job.id) == 1)
    })?;
    let mut long = Job::array(1, "calibratie", 2, 150.0);
    long.cpus = 5.0;
    submit_and_wait(cluster, &long)?;
    if is_troubled {
        let bad: Vec<Job> = (11..14)
            .map(|id| {
                let mut job = Job::array(id, "firmware", 4, 20.0);
                job.is_mistaken = true;
                job
            })
            .collect();
        for job in &bad {
            cluster.submit(job).then_some(())?;
        }
        std::thread::sleep(Duration::from_secs(6));
        for job in &bad {
            cluster.cancel(&job.id).then_some(())?;
        }
        std::thread::sleep(Duration::from_secs(1));
    }
    let mut job = Job::array(21, "koelwacht", 2, 5.0);
    job.priority = "urgent";
    cluster.submit(&job).then_some(())?;
    Some(watch(cluster, &job))
}
