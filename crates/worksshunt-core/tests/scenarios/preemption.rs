//! The order in which waiting jobs are served, and what may be preempted for them.

use serde_json::{json, Value};
use worksshunt_wire::JobId;

use crate::{long_job, ready};
use worksshunt_simulation::{job, Cluster};

/// A job of four tasks with an estimate and a deadline.
fn due(id: u64, estimate_s: f64, deadline_s: f64) -> Value {
    let mut due = job(id, 4);
    due["CalculoS"] = json!(estimate_s);
    due["EntregaS"] = json!(deadline_s);
    due
}

/// Which of these jobs gets the only machine when the four tasks end that keep it busy while they come.
fn served_first(cluster: &mut Cluster, waiting: &[Value; 2]) -> JobId {
    cluster.capacity = 1;
    cluster.task_run_ms = 10_000;
    cluster.submit(0, &due(1, 10.0, 60.0));
    cluster.until("the first", 20_000, |cluster| cluster.running().len() == 4);
    cluster.submit(1, &waiting[0]);
    cluster.submit(2, &waiting[1]);
    cluster.until("the next", 20_000, |cluster| cluster.task_starts.len() > 4);
    cluster.task_starts[4].task.job
}

/// A full fleet of two machines, run by team blue (guarantee 8) at low priority.
fn full_fleet(tasks: u32) -> Cluster {
    let mut cluster = ready();
    cluster.capacity = 3;
    cluster.task_run_ms = 100_000;
    let mut low = long_job(1, tasks);
    low["Turno"] = json!("low");
    cluster.submit(0, &low);
    cluster.until("a full fleet", 40_000, |cluster| {
        cluster.running().len() == 12
    });
    cluster
}

#[test]
fn urgent_jobs_preempt_low_ones() {
    let mut cluster = full_fleet(12);
    let mut urgent = long_job(2, 2);
    urgent["Turno"] = json!("urgent");
    cluster.submit(0, &urgent);
    cluster.until("the urgent job", 10_000, |cluster| {
        cluster.running_tasks_of(2) == 2
    });
    cluster.run(20_000);
    let low = cluster.running_tasks_of(1);
    assert_eq!(low, 10, "no more was stopped than needed");
    cluster.check();
}

#[test]
fn a_team_reclaims_its_guarantee_and_no_more() {
    let mut cluster = full_fleet(12);
    let mut red = long_job(2, 8);
    red["Cuadrilla"] = json!("red");
    red["Turno"] = json!("low");
    cluster.submit(0, &red);
    cluster.run(30_000);
    let red = cluster.running_tasks_of(2);
    assert_eq!(
        red, 4,
        "its guarantee, at blue's cost, which runs 12 of its 8"
    );
    cluster.check();
}

// Guards against urgent work that waits behind low work for as long as that is within its guarantee,
// and against a guarantee that is not kept in time.
#[test]
fn a_guarantee_precedes_urgent_jobs_only_when_it_is_at_risk() {
    let mut cluster = Cluster::new();
    for settings in &mut cluster.settings {
        let within = json!({"kind": "guarantee", "within_s": 60.0, "share": 0.9});
        settings.facts.objectives = serde_json::from_value(json!([within])).expect("objectives");
    }
    (0..3).for_each(|controller| cluster.start(controller));
    // Capacity for both teams' guarantees, 8 and 4 processors, and no more.
    cluster.capacity = 3;
    cluster.task_run_ms = 10_000;
    cluster.run(3_000);
    for id in 10..25 {
        let mut urgent = job(id, 10);
        urgent["Turno"] = json!("urgent");
        cluster.submit(id as usize % 3, &urgent);
    }
    let mut low = job(1, 4);
    low["Cuadrilla"] = json!("red");
    low["Turno"] = json!("low");
    cluster.submit(0, &low);
    let began = |cluster: &Cluster| {
        cluster
            .task_starts
            .iter()
            .any(|start| start.task.job == JobId(1))
    };
    cluster.run(30_000);
    assert!(!began(&cluster), "urgent work comes first");
    cluster.run(32_000);
    assert!(began(&cluster), "but the guarantee is kept in time");
    cluster.check();
}

// Guards against long jobs that wait for every shorter one that comes after them.
#[test]
fn among_jobs_of_one_class_with_an_objective_the_latest_start_time_decides() {
    let mut cluster = Cluster::new();
    for settings in &mut cluster.settings {
        let wait = json!({"kind": "wait", "class": "c", "within_s": 100.0, "share": 0.9});
        settings.facts.objectives = serde_json::from_value(json!([wait])).expect("objectives");
    }
    (0..3).for_each(|controller| cluster.start(controller));
    cluster.run(3_000);
    let waiting = [due(2, 300.0, 400.0), due(3, 10.0, 150.0)];
    assert_eq!(
        served_first(&mut cluster, &waiting),
        JobId(2),
        "40 s earlier than the other"
    );
    cluster.check();
}

#[test]
fn jobs_do_not_preempt_jobs_of_the_same_priority() {
    let mut cluster = full_fleet(12);
    let mut same = long_job(2, 4);
    same["Turno"] = json!("low");
    cluster.submit(0, &same);
    cluster.run(30_000);
    assert_eq!(cluster.task_starts.len(), 12);
    cluster.check();
}

// Guards against sweeps that all miss their deadline because those that have missed it already come first
// (vriesdok-noord).
#[test]
fn a_job_that_can_no_longer_meet_its_deadline_waits_for_one_that_can() {
    let mut cluster = ready();
    let waiting = [due(2, 10.0, 11.0), due(3, 10.0, 90.0)];
    assert_eq!(
        served_first(&mut cluster, &waiting),
        JobId(3),
        "the other is late anyway"
    );
    cluster.until("the last", 60_000, |cluster| cluster.all_done(2, 4));
    cluster.check();
}
