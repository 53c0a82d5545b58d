//! The order in which waiting work is served, and what may be stopped for it.

use serde_json::json;
use worksshunt_wire::JobId;

use crate::world::{job, World};
use crate::{long_job, ready};

/// A full fleet of two machines, run by team blue (guarantee 8) at low priority.
fn full_fleet(tasks: u32) -> World {
    let mut world = ready();
    world.capacity = 3;
    world.run_ms = 100_000;
    let mut low = long_job(1, tasks);
    low["Turno"] = json!("low");
    world.submit(0, &low);
    world.until("a full fleet", 40_000, |w| w.running().len() == 12);
    world
}

#[test]
fn urgent_work_stops_low_work() {
    let mut world = full_fleet(12);
    let mut urgent = long_job(2, 2);
    urgent["Turno"] = json!("urgent");
    world.submit(0, &urgent);
    world.until("the urgent job", 10_000, |w| {
        w.running().iter().filter(|t| t.job == JobId(2)).count() == 2
    });
    world.run(20_000);
    let low = world.running().iter().filter(|t| t.job == JobId(1)).count();
    assert_eq!(low, 10, "no more was stopped than needed");
    world.check();
}

#[test]
fn a_team_gets_its_guarantee_back_and_no_more() {
    let mut world = full_fleet(12);
    let mut red = long_job(2, 8);
    red["Cuadrilla"] = json!("red");
    red["Turno"] = json!("low");
    world.submit(0, &red);
    world.run(30_000);
    let red = world.running().iter().filter(|t| t.job == JobId(2)).count();
    assert_eq!(
        red, 4,
        "its guarantee, at blue's cost, which runs 12 of its 8"
    );
    world.check();
}

// Guards against urgent work that waits behind low work for as long as that is within its guarantee,
// and against a guarantee that is not kept in time.
#[test]
fn a_guarantee_comes_before_urgent_work_only_when_it_presses() {
    let mut world = World::new();
    for settings in &mut world.settings {
        let within = json!({"kind": "guarantee", "within_s": 60.0, "share": 0.9});
        settings.facts.objectives = serde_json::from_value(json!([within])).expect("objectives");
    }
    (0..3).for_each(|node| world.start(node));
    // Room for both teams' guarantees, 8 and 4 processors, and no more.
    world.capacity = 3;
    world.run_ms = 10_000;
    world.run(3_000);
    for id in 10..25 {
        let mut urgent = job(id, 10);
        urgent["Turno"] = json!("urgent");
        world.submit(id as usize % 3, &urgent);
    }
    let mut low = job(1, 4);
    low["Cuadrilla"] = json!("red");
    low["Turno"] = json!("low");
    world.submit(0, &low);
    let began = |w: &World| w.starts.iter().any(|s| s.1.job == JobId(1));
    world.run(30_000);
    assert!(!began(&world), "urgent work comes first");
    world.run(32_000);
    assert!(began(&world), "but the guarantee is kept in time");
    world.check();
}

// Guards against long jobs that wait for every shorter one that comes after them.
#[test]
fn among_equals_that_should_start_in_time_the_latest_start_decides() {
    let mut world = World::new();
    for settings in &mut world.settings {
        let wait = json!({"kind": "wait", "class": "c", "within_s": 100.0, "share": 0.9});
        settings.facts.objectives = serde_json::from_value(json!([wait])).expect("objectives");
    }
    (0..3).for_each(|node| world.start(node));
    world.run(3_000);
    world.capacity = 1;
    world.run_ms = 10_000;
    let due = |id: u64, estimate_s: f64, deadline_s: f64| {
        let mut due = job(id, 4);
        due["CalculoS"] = json!(estimate_s);
        due["EntregaS"] = json!(deadline_s);
        due
    };
    world.submit(0, &due(1, 10.0, 60.0));
    world.until("the first", 20_000, |w| w.running().len() == 4);
    world.submit(1, &due(2, 300.0, 400.0));
    world.submit(2, &due(3, 10.0, 150.0));
    world.until("the next", 20_000, |w| w.starts.len() > 4);
    assert_eq!(
        world.starts[4].1.job,
        JobId(2),
        "40 s earlier than the other"
    );
    world.check();
}

#[test]
fn work_does_not_stop_its_equals() {
    let mut world = full_fleet(12);
    let mut same = long_job(2, 4);
    same["Turno"] = json!("low");
    world.submit(0, &same);
    world.run(30_000);
    assert_eq!(world.starts.len(), 12);
    world.check();
}

// Guards against sweeps that all miss their deadline because those that have missed it already come first
// (vriesdok-noord).
#[test]
fn a_job_that_can_no_longer_meet_its_deadline_waits_for_one_that_can() {
    let mut world = ready();
    world.capacity = 1;
    world.run_ms = 10_000;
    let due = |id: u64, estimate_s: f64, deadline_s: f64| {
        let mut due = job(id, 4);
        due["CalculoS"] = json!(estimate_s);
        due["EntregaS"] = json!(deadline_s);
        due
    };
    world.submit(0, &due(1, 10.0, 60.0));
    world.until("the first", 20_000, |w| w.running().len() == 4);
    world.submit(1, &due(2, 10.0, 11.0));
    world.submit(2, &due(3, 10.0, 90.0));
    world.until("the next", 20_000, |w| w.starts.len() > 4);
    assert_eq!(world.starts[4].1.job, JobId(3), "the other is late anyway");
    world.until("the last", 60_000, |w| w.all_done(2, 4));
    world.check();
}
