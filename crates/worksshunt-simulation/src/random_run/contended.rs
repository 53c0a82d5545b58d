//! Contended runs: whole-machine tasks, which need claims, compete with many small jobs for few machines, while writes
//! of claims and final states are delayed. One seed in [`SEEDS_PER_CONTENDED_RUN`] is such a run.
//!
//! The order in which random numbers are drawn determines what a seed means, as in `faults`.

use serde_json::json;

use super::RunRng;
use crate::{job, Cluster, DelayRange, DelayedWrites, MACHINE_CPUS};

/// Number of seeds per contended run.
const SEEDS_PER_CONTENDED_RUN: u64 = 4;
/// Mean number of jobs per job with a whole-machine task.
const JOBS_PER_WHOLE_MACHINE_JOB: u32 = 4;

/// Mean number of steps per injected fault. Faults are rare, so that a delayed claim write is usually applied within
/// the epoch of the claim.
pub(super) const MEAN_STEPS_PER_FAULT: u32 = 40;
/// Delays claim writes until another claim may have replaced the record.
const DELAYED_CLAIM_WRITES: DelayedWrites = DelayedWrites {
    share: 0.8,
    delay: DelayRange {
        min_ms: 2_000,
        max_ms: 12_000,
    },
    key_prefix: Some("k/"),
};
/// Drops the responses to writes of final states, so that final states and claims queue behind the same write.
const UNANSWERED_FINAL_STATE_WRITES: DelayedWrites = DelayedWrites {
    share: 0.5,
    delay: DelayRange::NONE,
    key_prefix: Some("f/"),
};
/// Delays writes of any kind.
const DELAYED_WRITES: DelayedWrites = DelayedWrites {
    share: 0.3,
    delay: DELAYED_CLAIM_WRITES.delay,
    key_prefix: None,
};

/// Returns whether the run with a seed is contended.
pub(super) fn is_contended(seed: u64) -> bool {
    seed.is_multiple_of(SEEDS_PER_CONTENDED_RUN)
}

/// Configures few machines, short tasks and rapid status queries.
pub(super) fn configure(cluster: &mut Cluster, rng: &mut RunRng) {
    cluster.capacity = rng.0.usize(2..5);
    cluster.task_run_ms = rng.ms(2_000..6_000);
    cluster.faults.has_rapid_status_queries = true;
}

/// Submits jobs of one task each, some of which need a whole machine. Returns the id of the last job.
pub(super) fn submit(cluster: &mut Cluster, rng: &mut RunRng, mut last_id: u64) -> u64 {
    for _ in 0..rng.0.usize(1..4) {
        last_id += 1;
        let mut new_job = job(last_id, 1);
        if rng.0.u32(0..JOBS_PER_WHOLE_MACHINE_JOB) == 0 {
            new_job["Cores"] = json!(MACHINE_CPUS);
        }
        let controller = rng.controller();
        cluster.send_submit(controller, &new_job);
    }
    last_id
}

/// With a probability of 1/4, delays a share of the writes of claims, of final states, or of all kinds, for some
/// seconds.
pub(super) fn delay_writes(cluster: &mut Cluster, rng: &mut RunRng) {
    if rng.0.u32(0..4) != 0 {
        return;
    }
    let delayed_writes = rng.one_of(&[
        DELAYED_CLAIM_WRITES,
        UNANSWERED_FINAL_STATE_WRITES,
        DELAYED_WRITES,
    ]);
    cluster.faults.key_value.delayed_writes = Some(delayed_writes);
    let duration_ms = rng.ms(1_000..8_000);
    cluster.schedule(duration_ms, |cluster| {
        cluster.faults.key_value.delayed_writes = None;
    });
}
