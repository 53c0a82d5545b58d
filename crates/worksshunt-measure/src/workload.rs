//! The workload of a run on a simulated cluster: a fleet is filled and kept full, one controller is left alone, and all
//! restart. It owns the cluster and the submissions of the run; the command `run` calls it.

use std::collections::BTreeMap;
use std::time::Duration;

use serde_json::json;
use stats_alloc::Region;
use worksshunt_simulation::{job, Cluster};

use crate::series::Run;

/// Tasks of a job.
const JOB_TASKS: u32 = 200;
/// Tasks that a machine holds.
const TASKS_PER_MACHINE: usize = 4;
/// Controllers of the cluster.
const CONTROLLERS: usize = 3;
/// How long a task runs, ms.
const TASK_RUN_MS: u64 = 20_000;
/// Run time that a job's owner estimates for a task, seconds.
const ESTIMATE_S: f64 = 60.0;
/// Tasks that are submitted at first, as a multiple of those that the fleet holds: the surplus waits.
const INITIAL_LOAD: f64 = 1.25;
/// How long the full fleet is measured, ms.
const STEADY_MS: u64 = 20_000;
/// How long one controller alone is measured, ms.
const ALONE_MS: u64 = 10_000;
/// How long the cluster runs before the first submission, ms.
const STARTUP_MS: u64 = 2_000;
/// Interval of submissions, ms.
const STEP_MS: u64 = 250;
/// How long a phase may take, ms.
const PHASE_TIMEOUT_MS: u64 = 120_000;

/// Submits jobs at the rate at which a full fleet completes them.
struct Submissions {
    jobs_per_step: f64,
    /// Jobs that are due but not submitted yet.
    due: f64,
    submitted: u64,
}

impl Submissions {
    fn new(machines: usize) -> Submissions {
        let capacity = (machines * TASKS_PER_MACHINE) as f64;
        let tasks_per_step = capacity * STEP_MS as f64 / TASK_RUN_MS as f64;
        let initial_tasks = capacity * INITIAL_LOAD;
        Submissions {
            jobs_per_step: tasks_per_step / f64::from(JOB_TASKS),
            due: (initial_tasks / f64::from(JOB_TASKS)).ceil(),
            submitted: 0,
        }
    }

    fn submit(&mut self, cluster: &mut Cluster, node: usize) {
        while self.due >= 1.0 {
            self.due -= 1.0;
            self.submitted += 1;
            let mut request = job(self.submitted, JOB_TASKS);
            request["Cuadrilla"] = json!("white");
            request["CalculoS"] = json!(ESTIMATE_S);
            cluster.send_submit(node, &request);
        }
    }

    /// Runs the cluster while jobs are submitted to the first controller that is up.
    fn run(&mut self, cluster: &mut Cluster, duration_ms: u64) {
        let ends_at = cluster.now + duration_ms;
        while cluster.now < ends_at {
            self.due += self.jobs_per_step;
            let node = (0..CONTROLLERS)
                .find(|node| cluster.is_up(*node))
                .unwrap_or(0);
            self.submit(cluster, node);
            cluster.run(STEP_MS);
        }
    }

    /// Runs the cluster until a condition holds.
    fn run_until(&mut self, cluster: &mut Cluster, condition: impl Fn(&Cluster) -> bool) {
        let deadline = cluster.now + PHASE_TIMEOUT_MS;
        while !condition(cluster) {
            assert!(cluster.now < deadline, "a phase does not end in time");
            self.run(cluster, STEP_MS);
        }
    }
}

fn milliseconds(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1_000.0
}

/// Crashes a controller; how much memory that frees, MB.
fn crash_and_measure_memory_mb(cluster: &mut Cluster, node: usize) -> f64 {
    let region = Region::new(crate::ALLOCATOR);
    cluster.crash(node);
    let change = region.change();
    (change.bytes_deallocated as f64 - change.bytes_allocated as f64) / 1e6
}

/// Ends the measurement of times; the processor time of each event, by kind.
fn take_times(cluster: &mut Cluster) -> BTreeMap<&'static str, Vec<Duration>> {
    cluster.usage.handling_times.take().unwrap_or_default()
}

fn start_measuring(cluster: &mut Cluster) {
    cluster.usage.counts_bytes = true;
    cluster.usage.handling_times = Some(BTreeMap::new());
    cluster.usage.reset();
}

/// Measures the steady state: times by kind of event, messages and bytes.
fn measure_steady(run: &mut Run, cluster: &mut Cluster, jobs: &mut Submissions) {
    start_measuring(cluster);
    jobs.run(cluster, STEADY_MS);
    let seconds = STEADY_MS as f64 / 1_000.0;
    let times = take_times(cluster);
    let all: Duration = times.values().flatten().sum();
    run.record(
        "processor, ms a second, three controllers",
        milliseconds(all) / seconds,
    );
    for (kind, times) in times {
        record_times(run, kind, times, seconds);
    }
    let usage = &cluster.usage;
    for (name, count) in [
        ("state service: requests a second", usage.key_value_requests),
        ("state service: changes a second", usage.changed_keys),
        ("state service: bytes a second", usage.value_bytes),
        ("exchanges: bytes a second", usage.sync_bytes),
        ("direct orders a second", usage.command_requests),
    ] {
        run.record(name, count as f64 / seconds);
    }
    run.record("exchanges: largest, bytes", usage.max_sync_bytes as f64);
}

/// Records median, longest and sum of the times of one kind of event.
fn record_times(run: &mut Run, kind: &str, mut times: Vec<Duration>, seconds: f64) {
    times.sort();
    let median = times.get(times.len() / 2).copied().unwrap_or_default();
    run.record(
        &format!("{kind}: median, us"),
        milliseconds(median) * 1_000.0,
    );
    let longest = times.last().copied().unwrap_or_default();
    run.record(&format!("{kind}: longest, ms"), milliseconds(longest));
    let sum: Duration = times.iter().sum();
    run.record(&format!("{kind}: ms a second"), milliseconds(sum) / seconds);
}

/// Measures one controller that is left alone with all machines.
fn measure_alone(run: &mut Run, cluster: &mut Cluster, jobs: &mut Submissions) {
    let leader = cluster.leader();
    let remaining = (leader + 1) % CONTROLLERS;
    let memory_mb = crash_and_measure_memory_mb(cluster, leader);
    run.record("memory of the leader, MB", memory_mb);
    cluster.crash((remaining + 1) % CONTROLLERS);
    jobs.run_until(cluster, |cluster| {
        cluster.workers.keys().count() * 9 / 10 <= cluster.workers_reporting_to(remaining)
    });
    start_measuring(cluster);
    jobs.run(cluster, ALONE_MS);
    let all: Duration = take_times(cluster).values().flatten().sum();
    let seconds = ALONE_MS as f64 / 1_000.0;
    run.record(
        "processor, ms a second, one alone",
        milliseconds(all) / seconds,
    );
    let memory_mb = crash_and_measure_memory_mb(cluster, remaining);
    run.record("memory of one alone, MB", memory_mb);
}

/// Measures the time from a restart of all controllers until they answer a worker.
fn measure_restart(run: &mut Run, cluster: &mut Cluster) {
    start_measuring(cluster);
    let restarted_at = cluster.now;
    let former_epoch = cluster.epoch();
    (0..CONTROLLERS).for_each(|node| cluster.start(node));
    let deadline = restarted_at + PHASE_TIMEOUT_MS;
    while cluster.workers_with_epoch(former_epoch + 1) == 0 && cluster.now < deadline {
        cluster.run(STEP_MS);
    }
    let all: Duration = take_times(cluster).values().flatten().sum();
    run.record("load after a restart, ms of processor", milliseconds(all));
    run.record(
        "until a worker is answered after a restart, s",
        (cluster.now - restarted_at) as f64 / 1_000.0,
    );
}

/// Runs the workload on a fleet of that size.
///
/// # Panics
/// A phase does not end in time, or the cluster breaks an invariant.
pub fn run(machines: usize) -> Run {
    let mut run = Run::new(machines);
    let mut cluster = Cluster::large(machines);
    cluster.task_run_ms = TASK_RUN_MS;
    let mut jobs = Submissions::new(machines);
    cluster.run(STARTUP_MS);
    let is_full =
        |cluster: &Cluster| cluster.running().len() >= machines * TASKS_PER_MACHINE * 9 / 10;
    jobs.run_until(&mut cluster, is_full);
    measure_steady(&mut run, &mut cluster, &mut jobs);
    measure_alone(&mut run, &mut cluster, &mut jobs);
    measure_restart(&mut run, &mut cluster);
    assert!(
        cluster.invariants.violations.is_empty(),
        "{:?}",
        cluster.invariants.violations
    );
    run
}
