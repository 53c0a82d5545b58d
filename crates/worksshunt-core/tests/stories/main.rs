//! Short stories about whole deployments on virtual time.

mod meetings;
mod mixed;
mod order;
mod ordinary;
mod outage;
mod rules;
mod standing;
mod troubles;
mod upgrade;
mod world;

use serde_json::json;
use world::{job, World};

/// A world in which an epoch has begun.
fn ready() -> World {
    ready_with_boots_of(5.0)
}

/// One whose machines usually boot in so many seconds by the catalogue, and so are kept for half of
/// that while they are idle.
fn ready_with_boots_of(ready_s: f64) -> World {
    let mut world = World::new();
    world.ready_s = ready_s;
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
