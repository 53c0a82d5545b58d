//! Faults that come together, one scenario for each.
//!
//! Faults interact at particular moments, so each scenario runs over a sweep of moments, with fixed seeds. Each asserts
//! that its faults took effect. `docs/combined-faults.md` says what the code relies on in each.

mod controllers;
mod machines;
mod requested;
mod users;

use serde_json::{json, Value};
use worksshunt_wire::{JobId, MachineId};

use crate::{long_job, ready_with_boots_of};
use worksshunt_simulation::Cluster;

/// A job of team red, whose limit is eight processors.
fn red(id: u64, tasks: u32) -> Value {
    let mut red = long_job(id, tasks);
    red["Cuadrilla"] = json!("red");
    red
}

/// A cluster in which all tasks of so many jobs of four tasks each run, for so long.
fn busy(jobs: u64, run_ms: u64) -> Cluster {
    let mut cluster = ready_with_boots_of(50.0);
    fill(&mut cluster, jobs, run_ms);
    cluster
}

/// Has all tasks of so many jobs of four tasks each run, for so long.
pub fn fill(cluster: &mut Cluster, jobs: u64, run_ms: u64) {
    cluster.capacity = jobs as usize + 2;
    cluster.task_run_ms = run_ms;
    for id in 1..=jobs {
        cluster.submit(id as usize % 3, &long_job(id, 4));
    }
    let tasks = jobs as usize * 4;
    cluster.until("tasks", 30_000, |cluster| cluster.running().len() == tasks);
    cluster.run(3_000);
}

/// How a machine and the controllers lose contact.
#[derive(Debug, Clone, Copy)]
enum MachineFault {
    /// Its heartbeats arrive, responses and commands do not reach it.
    Unreachable,
    /// Its heartbeats are lost, direct commands reach it.
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

    /// Begins the fault. A hung worker resumes after `hang_ms`; the other faults last until they are cleared.
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

/// All faults are over: whatever was accepted gets done, and the invariants are checked.
pub fn settle(cluster: &mut Cluster, moment: &str) {
    let ended = cluster.settle();
    ended.unwrap_or_else(|failure| panic!("{moment}: {failure}"));
}

fn others(controller: usize) -> [usize; 2] {
    [(controller + 1) % 3, (controller + 2) % 3]
}

fn machines_of(cluster: &Cluster, job: u64) -> Vec<MachineId> {
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
