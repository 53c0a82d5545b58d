//! Random runs: simulations with a random workload and random faults, which may overlap in any combination. A seed
//! determines the whole run.
//!
//! The search for violations, the digests and the scenario `mixed` use them.

mod contended;
mod faults;
mod repetitions;

use std::ops::Range;

use serde_json::json;
use worksshunt_wire::{JobId, MachineId};

use repetitions::Repetitions;

use crate::{job, long_job, Cluster, Failure, RunDigest, TrafficDigest, CONTROLLER_COUNT};

/// Time before the first submission, ms.
const STARTUP_MS: u64 = 3_000;
/// Time after the last injected fault, ms; longer than the longest scheduled fault.
const RECOVERY_MS: u64 = 62_000;

/// Mean number of steps per injected fault.
const MEAN_STEPS_PER_FAULT: u32 = 3;

/// The random number generator of a run's workload and faults.
struct RunRng(fastrand::Rng);

impl RunRng {
    fn controller(&mut self) -> usize {
        self.0.usize(0..CONTROLLER_COUNT)
    }

    fn ms(&mut self, range: Range<u64>) -> u64 {
        self.0.u64(range)
    }

    fn one_of<T: Copy>(&mut self, choices: &[T]) -> T {
        choices[self.0.usize(0..choices.len())]
    }

    /// Returns a random machine with running tasks, if there is one.
    fn busy_machine(&mut self, cluster: &Cluster) -> Option<MachineId> {
        let is_busy = |id: &&MachineId| cluster.is_busy(id);
        let ids: Vec<&MachineId> = cluster.workers.keys().filter(is_busy).collect();
        (!ids.is_empty()).then(|| ids[self.0.usize(0..ids.len())].clone())
    }
}

/// Submits a random job.
fn submit(cluster: &mut Cluster, rng: &mut RunRng, id: u64) {
    let tasks = 1 + rng.0.u32(0..6);
    let mut new_job = match rng.0.bool() {
        true => job(id, tasks),
        false => long_job(id, tasks),
    };
    match rng.0.u32(0..8) {
        0 => new_job["Patio"] = json!("b"),
        1 => new_job["SamePlace"] = json!(true),
        2 => new_job["Spread"] = json!(true),
        3 => new_job["Prestados"] = json!(false),
        4 | 5 => new_job["Cuadrilla"] = json!("red"),
        _ => {}
    }
    new_job["Turno"] = json!(rng.one_of(&["low", "normal", "urgent"]));
    let controller = rng.controller();
    cluster.send_submit(controller, &new_job);
}

/// Cancels a random job or queries its state.
fn cancel_or_query(cluster: &mut Cluster, rng: &mut RunRng, last_id: u64) {
    let id = JobId(rng.0.u64(1..=last_id));
    let controller = rng.controller();
    match rng.0.u32(0..4) {
        0 => cluster.send_cancel(controller, id),
        _ => cluster.send_status(controller, id),
    };
}

/// Returns a cluster with random parameters.
fn random_cluster(seed: u64, rng: &mut RunRng) -> Cluster {
    let mut cluster = Cluster::new();
    cluster.seed(seed);
    cluster.nominal_boot_s = rng.one_of(&[5.0, 50.0]);
    cluster.boot_ms = rng.ms(1_000..6_000);
    cluster.list_lag_ms = rng.ms(0..6_000);
    cluster.task_run_ms = rng.ms(2_000..25_000);
    cluster.jitter_ms = rng.one_of(&[0, 3, 60]);
    cluster.run_spread_ms = rng.ms(0..1_500);
    cluster.capacity = rng.0.usize(4..14);
    cluster.faults.has_rapid_status_queries = rng.0.bool();
    cluster.faults.cancel_at_completion = 0.2;
    cluster
}

/// Returns the digest of the run with a seed.
pub fn digest(seed: u64) -> RunDigest {
    let (mut cluster, verdict) = simulate(seed, Some(TrafficDigest::default()));
    let digest = cluster.digest.take().unwrap_or_default();
    digest.finish(&verdict)
}

/// Simulates the run with a seed and returns the cluster with the verdict. Messages are added to `digest` if it is
/// given.
pub fn simulate(seed: u64, digest: Option<TrafficDigest>) -> (Cluster, Result<(), Failure>) {
    let mut rng = RunRng(fastrand::Rng::with_seed(seed));
    let mut cluster = random_cluster(seed, &mut rng);
    cluster.digest = digest;
    let is_contended = contended::is_contended(seed);
    if is_contended {
        contended::configure(&mut cluster, &mut rng);
    }
    let mut repetitions = Repetitions::configure(&mut cluster, seed);
    cluster.run(STARTUP_MS);
    let ends_at = cluster.now + rng.ms(40_000..120_000);
    let mut last_id = 0;
    while cluster.now < ends_at {
        if is_contended {
            last_id = contended::submit(&mut cluster, &mut rng, last_id);
            contended::delay_writes(&mut cluster, &mut rng);
        } else {
            for _ in 0..rng.0.usize(0..3) {
                last_id += 1;
                submit(&mut cluster, &mut rng, last_id);
            }
        }
        if last_id > 0 {
            cancel_or_query(&mut cluster, &mut rng, last_id);
        }
        let mean_steps_per_fault = match is_contended {
            true => contended::MEAN_STEPS_PER_FAULT,
            false => MEAN_STEPS_PER_FAULT,
        };
        if rng.0.u32(0..mean_steps_per_fault) == 0 {
            faults::inject(&mut cluster, &mut rng);
        }
        if let Some(repetitions) = &mut repetitions {
            repetitions.inject_short_outage(&mut cluster);
        }
        let ms = rng.ms(50..1_800);
        cluster.run(ms);
    }
    cluster.run(RECOVERY_MS);
    let verdict = cluster.settle();
    (cluster, verdict)
}
