//! One day: a fleet is filled and kept full, one controller is left alone, and all restart.

use std::collections::BTreeMap;
use std::time::Duration;

use serde_json::json;
use stats_alloc::Region;
use worksshunt_simulation::{job, Cluster};

use crate::series::Day;

/// Tasks of a job.
const JOB_TASKS: u32 = 200;
/// Tasks that a machine holds.
const TASKS_EACH: usize = 4;
/// How long a task runs, ms.
const RUN_MS: u64 = 20_000;
/// How long the full fleet is watched, ms, and one controller alone.
const STEADY_MS: u64 = 20_000;
const ALONE_MS: u64 = 10_000;
/// How often jobs are submitted, ms.
const STEP_MS: u64 = 250;
/// Milliseconds in which everything that is waited for has to come about.
const PATIENCE_MS: u64 = 120_000;

/// Submits jobs at the rate at which a full fleet completes them.
struct Submissions {
    jobs_per_step: f64,
    owed: f64,
    submitted: u64,
}

impl Submissions {
    fn new(machines: usize) -> Submissions {
        let tasks_per_step = (machines * TASKS_EACH) as f64 * STEP_MS as f64 / RUN_MS as f64;
        let waiting = (machines * TASKS_EACH) as f64 * 1.25;
        Submissions {
            jobs_per_step: tasks_per_step / f64::from(JOB_TASKS),
            owed: (waiting / f64::from(JOB_TASKS)).ceil(),
            submitted: 0,
        }
    }

    fn submit(&mut self, cluster: &mut Cluster, node: usize) {
        while self.owed >= 1.0 {
            self.owed -= 1.0;
            self.submitted += 1;
            let mut new = job(self.submitted, JOB_TASKS);
            new["Cuadrilla"] = json!("white");
            new["CalculoS"] = json!(60.0);
            cluster.send_submit(node, &new);
        }
    }

    /// Lets time pass while jobs come in at controllers that are up.
    fn run(&mut self, cluster: &mut Cluster, ms: u64) {
        let ends = cluster.now + ms;
        while cluster.now < ends {
            self.owed += self.jobs_per_step;
            let node = (0..3).find(|node| cluster.is_up(*node)).unwrap_or(0);
            self.submit(cluster, node);
            cluster.run(STEP_MS);
        }
    }

    fn run_until(&mut self, cluster: &mut Cluster, holds: impl Fn(&Cluster) -> bool) {
        let ends = cluster.now + PATIENCE_MS;
        while !holds(cluster) {
            assert!(cluster.now < ends, "it does not come about");
            self.run(cluster, STEP_MS);
        }
    }
}

fn milliseconds(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1_000.0
}

/// Ends a controller and tells how many bytes it held.
fn held_by(cluster: &mut Cluster, node: usize) -> f64 {
    let region = Region::new(crate::ALLOCATOR);
    cluster.crash(node);
    let change = region.change();
    change.bytes_deallocated as f64 - change.bytes_allocated as f64
}

fn took(cluster: &mut Cluster) -> BTreeMap<&'static str, Vec<Duration>> {
    cluster.usage.took.take().unwrap_or_default()
}

fn begin_to_measure(cluster: &mut Cluster) {
    cluster.usage.bytes = true;
    cluster.usage.took = Some(BTreeMap::new());
    cluster.usage.reset();
}

/// What the steady state takes: times by kind of event, messages and bytes.
fn steady(day: &mut Day, cluster: &mut Cluster, jobs: &mut Submissions) {
    begin_to_measure(cluster);
    jobs.run(cluster, STEADY_MS);
    let seconds = STEADY_MS as f64 / 1_000.0;
    let times = took(cluster);
    let all: Duration = times.values().flatten().sum();
    day.put(
        "processor, ms a second, three controllers",
        milliseconds(all) / seconds,
    );
    for (kind, mut times) in times {
        times.sort();
        let median = times.get(times.len() / 2).copied().unwrap_or_default();
        day.put(
            &format!("{kind}: median, us"),
            milliseconds(median) * 1_000.0,
        );
        let longest = times.last().copied().unwrap_or_default();
        day.put(&format!("{kind}: longest, ms"), milliseconds(longest));
        let sum: Duration = times.iter().sum();
        day.put(&format!("{kind}: ms a second"), milliseconds(sum) / seconds);
    }
    let meter = &cluster.usage;
    for (name, count) in [
        ("state service: requests a second", meter.requests),
        ("state service: changes a second", meter.changes),
        ("state service: bytes a second", meter.value_bytes),
        ("exchanges: bytes a second", meter.sync_bytes),
        ("direct orders a second", meter.command_requests),
    ] {
        day.put(name, count as f64 / seconds);
    }
    day.put("exchanges: largest, bytes", meter.max_sync_bytes as f64);
}

/// What one controller takes with all machines.
fn alone(day: &mut Day, cluster: &mut Cluster, jobs: &mut Submissions) {
    let left = (cluster.leader() + 1) % 3;
    let leader = cluster.leader();
    let held = held_by(cluster, leader);
    day.put("memory of the leader, MB", held / 1e6);
    cluster.crash((left + 1) % 3);
    jobs.run_until(cluster, |w| {
        w.workers.keys().count() * 9 / 10 <= w.reporting_to(left)
    });
    begin_to_measure(cluster);
    jobs.run(cluster, ALONE_MS);
    let all: Duration = took(cluster).values().flatten().sum();
    let seconds = ALONE_MS as f64 / 1_000.0;
    day.put(
        "processor, ms a second, one alone",
        milliseconds(all) / seconds,
    );
    day.put("memory of one alone, MB", held_by(cluster, left) / 1e6);
}

/// What it takes until restarted controllers serve.
fn restart(day: &mut Day, cluster: &mut Cluster) {
    begin_to_measure(cluster);
    let begun = cluster.now;
    let former = cluster.epoch();
    (0..3).for_each(|node| cluster.start(node));
    while cluster.answered_in(former + 1) == 0 && cluster.now < begun + PATIENCE_MS {
        cluster.run(STEP_MS);
    }
    let all: Duration = took(cluster).values().flatten().sum();
    day.put("load after a restart, ms of processor", milliseconds(all));
    day.put(
        "until a worker is answered after a restart, s",
        (cluster.now - begun) as f64 / 1_000.0,
    );
}

/// Plays a day of a fleet of that size.
pub fn play(machines: usize) -> Day {
    let mut day = Day::new(machines);
    let mut cluster = Cluster::large(machines);
    cluster.task_run_ms = RUN_MS;
    let mut jobs = Submissions::new(machines);
    cluster.run(2_000);
    let full = |w: &Cluster| w.running().len() >= machines * TASKS_EACH * 9 / 10;
    jobs.run_until(&mut cluster, full);
    steady(&mut day, &mut cluster, &mut jobs);
    alone(&mut day, &mut cluster, &mut jobs);
    restart(&mut day, &mut cluster);
    assert!(
        cluster.invariants.violations.is_empty(),
        "{:?}",
        cluster.invariants.violations
    );
    day
}
