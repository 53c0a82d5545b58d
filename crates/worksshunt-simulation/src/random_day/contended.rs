//! Contended days: wide tasks that need claims beside many small jobs on few machines, and writes of claims and of jobs'
//! ends that are carried out late. One seed in [`CONTENDED_SEEDS`] is such a day.
//!
//! The order in which random numbers are drawn decides what a seed stands for, as in `faults`.

use serde_json::json;

use super::DayRng;
use crate::{job, Cluster, DelayRange, LateWrites, MACHINE_CPUS};

/// One in so many seeds is a contended day.
const CONTENDED_SEEDS: u64 = 4;
/// One job in so many is wide.
const WIDE_JOBS: u32 = 4;

/// Steps of a day to each other fault, on average: few, since a claim comes back only within its epoch.
pub(super) const STEPS_PER_FAULT: u32 = 40;
/// Writes of claims that are carried out long after they were sent, when another claim may be there.
const LATE_CLAIMS: LateWrites = LateWrites {
    share: 0.8,
    delay: DelayRange {
        min_ms: 2_000,
        max_ms: 12_000,
    },
    key_prefix: Some("k/"),
};
/// Writes of jobs' ends that lose their answers, so that ends and claims wait for the same write.
const UNANSWERED_ENDS: LateWrites = LateWrites {
    share: 0.5,
    delay: DelayRange::NONE,
    key_prefix: Some("f/"),
};
/// Writes of any kind that are carried out long after they were sent.
const LATE_WRITES: LateWrites = LateWrites {
    share: 0.3,
    delay: LATE_CLAIMS.delay,
    key_prefix: None,
};

/// Whether the day of a seed is contended.
pub(super) fn is_contended(seed: u64) -> bool {
    seed.is_multiple_of(CONTENDED_SEEDS)
}

/// Few machines and short tasks, and users who look closely.
pub(super) fn configure(cluster: &mut Cluster, rng: &mut DayRng) {
    cluster.capacity = rng.0.usize(2..5);
    cluster.task_run_ms = rng.ms(2_000..6_000);
    cluster.faults.rapid_status_queries = true;
}

/// Submits jobs of one task each, some of them wide. The id of the last one.
pub(super) fn submit(cluster: &mut Cluster, rng: &mut DayRng, mut last_id: u64) -> u64 {
    for _ in 0..rng.0.usize(1..4) {
        last_id += 1;
        let mut new = job(last_id, 1);
        if rng.0.u32(0..WIDE_JOBS) == 0 {
            new["Cores"] = json!(MACHINE_CPUS);
        }
        let controller = rng.controller();
        cluster.send_submit(controller, &new);
    }
    last_id
}

/// Now and then a share of the writes of claims, of ends, or of all, is carried out late for some seconds.
pub(super) fn delay_writes(cluster: &mut Cluster, rng: &mut DayRng) {
    if rng.0.u32(0..4) != 0 {
        return;
    }
    let late_writes = rng.one_of(&[LATE_CLAIMS, UNANSWERED_ENDS, LATE_WRITES]);
    cluster.faults.key_value.late_writes = Some(late_writes);
    let duration_ms = rng.ms(1_000..8_000);
    cluster.schedule(duration_ms, |cluster| {
        cluster.faults.key_value.late_writes = None;
    });
}
