//! The order in which waiting jobs are placed, and preemption of running tasks for them.

use serde_json::{json, Value};
use worksshunt_wire::JobId;

use crate::{long_job, ready};
use worksshunt_simulation::{job, Cluster};

/// Returns a job of four tasks with an estimated run time and a deadline.
fn job_with_deadline(id: u64, estimate_s: f64, deadline_s: f64) -> Value {
    let mut job = job(id, 4);
    job["CalculoS"] = json!(estimate_s);
    job["EntregaS"] = json!(deadline_s);
    job
}

/// Submits the jobs while four tasks fill the only machine, and returns the one that is placed first when these
/// complete.
fn first_placed_job(cluster: &mut Cluster, waiting: &[Value; 2]) -> JobId {
    cluster.capacity = 1;
    cluster.task_run_ms = 10_000;
    cluster.submit(0, &job_with_deadline(1, 10.0, 60.0));
    cluster.until("the tasks that fill the machine", 20_000, |cluster| {
        cluster.running().len() == 4
    });
    cluster.submit(1, &waiting[0]);
    cluster.submit(2, &waiting[1]);
    cluster.until("the next task", 20_000, |cluster| {
        cluster.task_starts.len() > 4
    });
    cluster.task_starts[4].task.job
}

/// Returns a cluster whose machines are full of low-priority tasks of team blue, whose guarantee is eight CPUs.
fn full_fleet(tasks: u32) -> Cluster {
    let mut cluster = ready();
    cluster.capacity = 3;
    cluster.task_run_ms = 100_000;
    let mut low_job = long_job(1, tasks);
    low_job["Turno"] = json!("low");
    cluster.submit(0, &low_job);
    cluster.until("a full fleet", 40_000, |cluster| {
        cluster.running().len() == 12
    });
    cluster
}

#[test]
fn urgent_jobs_preempt_low_priority_jobs() {
    let mut cluster = full_fleet(12);
    let mut urgent_job = long_job(2, 2);
    urgent_job["Turno"] = json!("urgent");
    cluster.submit(0, &urgent_job);
    cluster.until("the urgent job", 10_000, |cluster| {
        cluster.running_tasks_of(2) == 2
    });
    cluster.run(20_000);
    let low_running = cluster.running_tasks_of(1);
    assert_eq!(low_running, 10, "more tasks were preempted than needed");
    cluster.check();
}

#[test]
fn a_team_reclaims_its_guarantee_and_no_more() {
    let mut cluster = full_fleet(12);
    let mut red_job = long_job(2, 8);
    red_job["Cuadrilla"] = json!("red");
    red_job["Turno"] = json!("low");
    cluster.submit(0, &red_job);
    cluster.run(30_000);
    let red_running = cluster.running_tasks_of(2);
    assert_eq!(
        red_running, 4,
        "red gets its guarantee from blue, which exceeds its own"
    );
    cluster.check();
}

// Guards against urgent jobs that wait behind low-priority ones within a guarantee, and against a guarantee that is not
// met in time.
#[test]
fn a_guarantee_precedes_urgent_jobs_only_when_it_is_at_risk() {
    let mut cluster = Cluster::new();
    for settings in &mut cluster.settings {
        let objective = json!({"kind": "guarantee", "within_s": 60.0, "share": 0.9});
        settings.facts.objectives = serde_json::from_value(json!([objective])).expect("objectives");
    }
    (0..3).for_each(|controller| cluster.start(controller));
    // Just enough capacity for both teams' guarantees of 8 and 4 CPUs.
    cluster.capacity = 3;
    cluster.task_run_ms = 10_000;
    cluster.run(3_000);
    for id in 10..25 {
        let mut urgent_job = job(id, 10);
        urgent_job["Turno"] = json!("urgent");
        cluster.submit(id as usize % 3, &urgent_job);
    }
    let mut low_job = job(1, 4);
    low_job["Cuadrilla"] = json!("red");
    low_job["Turno"] = json!("low");
    cluster.submit(0, &low_job);
    let has_started = |cluster: &Cluster| {
        cluster
            .task_starts
            .iter()
            .any(|start| start.task.job == JobId(1))
    };
    cluster.run(30_000);
    assert!(!has_started(&cluster), "urgent jobs come first");
    cluster.run(32_000);
    assert!(has_started(&cluster), "the guarantee is met in time");
    cluster.check();
}

// Guards against long jobs that wait for every shorter job submitted after them.
#[test]
fn jobs_with_an_objective_are_ordered_by_latest_start_time() {
    let mut cluster = Cluster::new();
    for settings in &mut cluster.settings {
        let objective = json!({"kind": "wait", "class": "c", "within_s": 100.0, "share": 0.9});
        settings.facts.objectives = serde_json::from_value(json!([objective])).expect("objectives");
    }
    (0..3).for_each(|controller| cluster.start(controller));
    cluster.run(3_000);
    let waiting = [
        job_with_deadline(2, 300.0, 400.0),
        job_with_deadline(3, 10.0, 150.0),
    ];
    assert_eq!(
        first_placed_job(&mut cluster, &waiting),
        JobId(2),
        "its latest start time is 40 s earlier"
    );
    cluster.check();
}

#[test]
fn jobs_do_not_preempt_jobs_of_the_same_priority() {
    let mut cluster = full_fleet(12);
    let mut low_job = long_job(2, 4);
    low_job["Turno"] = json!("low");
    cluster.submit(0, &low_job);
    cluster.run(30_000);
    assert_eq!(cluster.task_starts.len(), 12);
    cluster.check();
}

// Guards against jobs that miss their deadlines because jobs that have already missed theirs come first.
#[test]
fn a_job_that_cannot_meet_its_deadline_waits_for_one_that_can() {
    let mut cluster = ready();
    let waiting = [
        job_with_deadline(2, 10.0, 11.0),
        job_with_deadline(3, 10.0, 90.0),
    ];
    assert_eq!(
        first_placed_job(&mut cluster, &waiting),
        JobId(3),
        "the other job misses its deadline in any case"
    );
    cluster.until("the other job", 60_000, |cluster| cluster.all_done(2, 4));
    cluster.check();
}
