//! Combinations of faults: no invariant is violated, and all accepted jobs end.
//!
//! Each scenario sweeps the times of its faults, or uses fixed seeds, and asserts that the faults took effect.
//! `docs/combined-faults.md` describes which guarantees each combination relies on.

mod cancellations;
mod controllers;
mod machines;
mod users;

use serde_json::{json, Value};
use worksshunt_wire::{JobId, MachineId};

use crate::{long_job, ready_with_boot_time};
use worksshunt_simulation::Cluster;

/// Returns a job of team red, whose limit is eight CPUs.
fn red_job(id: u64, tasks: u32) -> Value {
    let mut job = long_job(id, tasks);
    job["Cuadrilla"] = json!("red");
    job
}

/// Returns a cluster that runs all tasks of `jobs` jobs of four tasks, each for `run_ms`.
fn with_running_jobs(jobs: u64, run_ms: u64) -> Cluster {
    let mut cluster = ready_with_boot_time(50.0);
    submit_and_start(&mut cluster, jobs, run_ms);
    cluster
}

/// Submits `jobs` jobs of four tasks that run for `run_ms`, and waits until all tasks are running.
pub fn submit_and_start(cluster: &mut Cluster, jobs: u64, run_ms: u64) {
    cluster.capacity = jobs as usize + 2;
    cluster.task_run_ms = run_ms;
    for id in 1..=jobs {
        cluster.submit(id as usize % 3, &long_job(id, 4));
    }
    let tasks = jobs as usize * 4;
    cluster.until("tasks", 30_000, |cluster| cluster.running().len() == tasks);
    cluster.run(3_000);
}

/// Fault that disconnects a machine from the controllers.
#[derive(Debug, Clone, Copy)]
enum MachineFault {
    /// Its heartbeats arrive, but responses and commands do not reach it.
    Unreachable,
    /// Its heartbeats are lost, but direct commands reach it.
    HeartbeatsLost,
    /// Its worker hangs.
    Hung,
}

impl MachineFault {
    const ALL: [MachineFault; 3] = [
        MachineFault::Unreachable,
        MachineFault::HeartbeatsLost,
        MachineFault::Hung,
    ];

    /// Injects the fault. A hung worker resumes after `hang_ms`; the other faults last until they are cleared.
    fn apply(self, cluster: &mut Cluster, machine: &MachineId, hang_ms: u64) {
        match self {
            MachineFault::Unreachable => {
                let unreachable = &mut cluster.faults.unreachable_machines;
                unreachable.insert(machine.clone());
            }
            MachineFault::HeartbeatsLost => {
                let lost_from = &mut cluster.faults.heartbeats.lost_from;
                lost_from.insert(machine.clone());
            }
            MachineFault::Hung => cluster.hang(machine, hang_ms),
        }
    }
}

/// Ends all faults, waits until all accepted jobs have ended, and checks the invariants. Panics with `case` on failure.
pub fn settle(cluster: &mut Cluster, case: &str) {
    let result = cluster.settle();
    result.unwrap_or_else(|failure| panic!("{case}: {failure}"));
}

fn other_controllers(controller: usize) -> [usize; 2] {
    [(controller + 1) % 3, (controller + 2) % 3]
}

/// Returns the machines on which tasks of a job have started.
fn machines_of_job(cluster: &Cluster, job: u64) -> Vec<MachineId> {
    let mut ids: Vec<MachineId> = cluster
        .task_starts
        .iter()
        .filter(|start| start.task.job == JobId(job))
        .map(|start| start.machine.clone())
        .collect();
    ids.sort();
    ids.dedup();
    ids
}
