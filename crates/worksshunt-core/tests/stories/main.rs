//! Short stories about whole deployments on virtual time.

mod ordinary;
mod troubles;
mod world;

use serde_json::json;
use world::{job, World};

/// A world in which an epoch has begun.
fn ready() -> World {
    let mut world = World::new();
    world.until("an epoch", 5_000, |w| w.stored("c/epoch").is_some());
    world.run(1_000);
    world
}

/// A job of long tasks, for which machines enough for all of them are rented.
fn long_job(id: u64, tasks: u32) -> serde_json::Value {
    let mut job = job(id, tasks);
    job["CalculoS"] = json!(60.0);
    job
}
