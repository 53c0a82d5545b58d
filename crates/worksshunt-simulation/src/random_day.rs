//! Random days: faults of every kind come at any time, together with any others. A day follows from its seed alone.
//!
//! The search for violations, the digests and the scenario `mixed` play them.

mod contended;
mod faults;

use std::ops::Range;

use serde_json::json;
use worksshunt_wire::{JobId, MachineId};

use crate::{job, long_job, Cluster, DayDigest, Failure, TrafficDigest, CONTROLLERS};

/// How long a cluster runs before the first job, ms.
const START_MS: u64 = 3_000;
/// How long a day goes on after the last new fault, ms; faults end by themselves in that time.
const FADE_OUT_MS: u64 = 62_000;

/// Steps of a day to each fault, on average.
const STEPS_PER_FAULT: u32 = 3;

/// The random numbers of one day.
struct DayRng(fastrand::Rng);

impl DayRng {
    fn controller(&mut self) -> usize {
        self.0.usize(0..CONTROLLERS)
    }

    fn ms(&mut self, range: Range<u64>) -> u64 {
        self.0.u64(range)
    }

    fn one_of<T: Copy>(&mut self, choices: &[T]) -> T {
        choices[self.0.usize(0..choices.len())]
    }

    /// A machine with tasks on it, if there is one.
    fn busy_machine(&mut self, cluster: &Cluster) -> Option<MachineId> {
        let is_busy = |id: &&MachineId| cluster.busy(id);
        let ids: Vec<&MachineId> = cluster.workers.keys().filter(is_busy).collect();
        (!ids.is_empty()).then(|| ids[self.0.usize(0..ids.len())].clone())
    }
}

/// Submits a random job.
fn submit(cluster: &mut Cluster, rng: &mut DayRng, id: u64) {
    let tasks = 1 + rng.0.u32(0..6);
    let mut new = match rng.0.bool() {
        true => job(id, tasks),
        false => long_job(id, tasks),
    };
    match rng.0.u32(0..8) {
        0 => new["Patio"] = json!("b"),
        1 => new["SamePlace"] = json!(true),
        2 => new["Spread"] = json!(true),
        3 => new["Prestados"] = json!(false),
        4 | 5 => new["Cuadrilla"] = json!("red"),
        _ => {}
    }
    new["Turno"] = json!(rng.one_of(&["low", "normal", "urgent"]));
    let controller = rng.controller();
    cluster.send_submit(controller, &new);
}

/// Cancels a job, or asks for its state.
fn query(cluster: &mut Cluster, rng: &mut DayRng, last_id: u64) {
    let id = JobId(rng.0.u64(1..=last_id));
    let controller = rng.controller();
    match rng.0.u32(0..4) {
        0 => cluster.send_cancel(controller, id),
        _ => cluster.send_status(controller, id),
    };
}

/// A cluster with random parameters.
fn random_cluster(seed: u64, rng: &mut DayRng) -> Cluster {
    let mut cluster = Cluster::new();
    cluster.seed(seed);
    cluster.nominal_boot_s = rng.one_of(&[5.0, 50.0]);
    cluster.boot_ms = rng.ms(1_000..6_000);
    cluster.list_lag_ms = rng.ms(0..6_000);
    cluster.task_run_ms = rng.ms(2_000..25_000);
    cluster.jitter_ms = rng.one_of(&[0, 3, 60]);
    cluster.run_spread_ms = rng.ms(0..1_500);
    cluster.capacity = rng.0.usize(4..14);
    cluster.faults.rapid_status_queries = rng.0.bool();
    cluster.faults.cancel_at_completion = 0.2;
    cluster
}

/// The digest of the day of a seed.
pub fn digest(seed: u64) -> DayDigest {
    let (mut cluster, verdict) = play(seed, Some(TrafficDigest::default()));
    let digest = cluster.digest.take().unwrap_or_default();
    digest.finish(&verdict)
}

/// Plays the day of a seed to its end and returns the cluster, with the verdict on the day.
pub fn play(seed: u64, digest: Option<TrafficDigest>) -> (Cluster, Result<(), Failure>) {
    let mut rng = DayRng(fastrand::Rng::with_seed(seed));
    let mut cluster = random_cluster(seed, &mut rng);
    cluster.digest = digest;
    let is_contended = contended::is_contended(seed);
    if is_contended {
        contended::configure(&mut cluster, &mut rng);
    }
    cluster.run(START_MS);
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
            query(&mut cluster, &mut rng, last_id);
        }
        let steps_per_fault = match is_contended {
            true => contended::STEPS_PER_FAULT,
            false => STEPS_PER_FAULT,
        };
        if rng.0.u32(0..steps_per_fault) == 0 {
            faults::inject(&mut cluster, &mut rng);
        }
        let ms = rng.ms(50..1_800);
        cluster.run(ms);
    }
    cluster.run(FADE_OUT_MS);
    let verdict = cluster.settle();
    (cluster, verdict)
}
