//! Meetings of troubles, one story for each.
//!
//! Troubles meet at a moment, so each story is told over a sweep of moments, with fixed seeds. Each asserts
//! that its troubles took effect. `docs/meetings.md` says what the code relies on in each.

mod first;
mod rest;

use serde_json::{json, Value};
use worksshunt_wire::{JobId, MachineId};

use crate::world::{Troubles, World};
use crate::{long_job, ready_with_boots_of};

/// A job of team red, whose limit is eight processors.
fn red(id: u64, tasks: u32) -> Value {
    let mut red = long_job(id, tasks);
    red["Cuadrilla"] = json!("red");
    red
}

/// A world in which all tasks of so many jobs of four tasks each run, for so long.
fn busy(jobs: u64, run_ms: u64) -> World {
    let mut world = ready_with_boots_of(50.0);
    world.capacity = jobs as usize + 2;
    world.run_ms = run_ms;
    for id in 1..=jobs {
        world.submit(id as usize % 3, &long_job(id, 4));
    }
    let tasks = jobs as usize * 4;
    world.until("tasks", 30_000, |w| w.running().len() == tasks);
    world.run(3_000);
    world
}

/// All troubles are over: whatever was accepted gets done, and the day is judged.
pub fn settle(world: &mut World, moment: &str) {
    world.trouble = Troubles::default();
    for node in 0..3 {
        if !world.is_up(node) {
            world.start(node);
        }
    }
    let broken = &world.rules.broken;
    assert!(broken.is_empty(), "{moment}: {broken:?}");
    world.run_ms = 5_000;
    let what = format!("{moment}: an end of all jobs");
    world.until(&what, 300_000, |w| w.keys("j/").is_empty());
    world.check();
}

fn others(node: usize) -> [usize; 2] {
    [(node + 1) % 3, (node + 2) % 3]
}

fn machines_of(world: &World, job: u64) -> Vec<MachineId> {
    let mut ids: Vec<MachineId> = world
        .starts
        .iter()
        .filter(|s| s.1.job == JobId(job))
        .map(|s| s.2.clone())
        .collect();
    ids.sort();
    ids.dedup();
    ids
}
