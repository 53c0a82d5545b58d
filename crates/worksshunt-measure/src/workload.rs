//! The workload of the command `run` on a simulated cluster: fills the fleet and keeps it full, crashes all controllers
//! but one, then crashes that one too and restarts all.

use std::collections::BTreeMap;
use std::time::Duration;

use serde_json::json;
use stats_alloc::Region;
use worksshunt_simulation::{job, Cluster};

use crate::series::Run;

const TASKS_PER_JOB: u32 = 200;
/// Tasks that fit on a machine.
const TASKS_PER_MACHINE: usize = 4;
const CONTROLLER_COUNT: usize = 3;
const TASK_DURATION_MS: u64 = 20_000;
/// Estimated duration of a task, as submitted with a job.
const TASK_ESTIMATE_S: f64 = 60.0;
/// Tasks submitted at the start, as a multiple of those that fit on the fleet; the excess is queued.
const INITIAL_LOAD_FACTOR: f64 = 1.25;
/// Duration of the measurement of the full fleet with all controllers.
const STEADY_STATE_MS: u64 = 20_000;
/// Duration of the measurement of a single controller.
const SINGLE_CONTROLLER_MS: u64 = 10_000;
/// Time before the first submission.
const STARTUP_MS: u64 = 2_000;
const SUBMISSION_INTERVAL_MS: u64 = 250;
/// Limit of the virtual time of a phase.
const PHASE_TIMEOUT_MS: u64 = 120_000;

/// Submits jobs at the rate at which a full fleet completes them.
struct JobSubmitter {
    jobs_per_interval: f64,
    /// Jobs due for submission, including the fraction of the next job.
    due_jobs: f64,
    submitted_jobs: u64,
}

impl JobSubmitter {
    fn new(machines: usize) -> JobSubmitter {
        let capacity = (machines * TASKS_PER_MACHINE) as f64;
        let tasks_per_interval = capacity * SUBMISSION_INTERVAL_MS as f64 / TASK_DURATION_MS as f64;
        let initial_tasks = capacity * INITIAL_LOAD_FACTOR;
        JobSubmitter {
            jobs_per_interval: tasks_per_interval / f64::from(TASKS_PER_JOB),
            due_jobs: (initial_tasks / f64::from(TASKS_PER_JOB)).ceil(),
            submitted_jobs: 0,
        }
    }

    /// Submits the due jobs to a controller.
    fn submit(&mut self, cluster: &mut Cluster, controller: usize) {
        while self.due_jobs >= 1.0 {
            self.due_jobs -= 1.0;
            self.submitted_jobs += 1;
            let mut request = job(self.submitted_jobs, TASKS_PER_JOB);
            request["Cuadrilla"] = json!("white");
            request["CalculoS"] = json!(TASK_ESTIMATE_S);
            cluster.send_submit(controller, &request);
        }
    }

    /// Runs the cluster for a time and submits jobs at each interval to the first controller that is up.
    fn run(&mut self, cluster: &mut Cluster, duration_ms: u64) {
        let ends_at = cluster.now + duration_ms;
        while cluster.now < ends_at {
            self.due_jobs += self.jobs_per_interval;
            let controller = (0..CONTROLLER_COUNT)
                .find(|controller| cluster.is_up(*controller))
                .unwrap_or(0);
            self.submit(cluster, controller);
            cluster.run(SUBMISSION_INTERVAL_MS);
        }
    }

    /// Runs the cluster and submits jobs until a condition holds.
    ///
    /// # Panics
    /// The condition does not hold within [`PHASE_TIMEOUT_MS`].
    fn run_until(&mut self, cluster: &mut Cluster, condition: impl Fn(&Cluster) -> bool) {
        let deadline = cluster.now + PHASE_TIMEOUT_MS;
        while !condition(cluster) {
            assert!(cluster.now < deadline, "phase timed out");
            self.run(cluster, SUBMISSION_INTERVAL_MS);
        }
    }
}

fn milliseconds(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1_000.0
}

/// Crashes a controller and returns the memory that this frees, in MB.
fn crash_and_measure_memory_mb(cluster: &mut Cluster, controller: usize) -> f64 {
    let region = Region::new(crate::ALLOCATOR);
    cluster.crash(controller);
    let change = region.change();
    (change.bytes_deallocated as f64 - change.bytes_allocated as f64) / 1e6
}

/// Stops measuring times. Returns the handling times of all events, by kind of event.
fn take_handling_times(cluster: &mut Cluster) -> BTreeMap<&'static str, Vec<Duration>> {
    cluster.usage.handling_times.take().unwrap_or_default()
}

/// Resets the measurement of resource usage and starts measuring handling times and bytes.
fn start_measuring(cluster: &mut Cluster) {
    cluster.usage.counts_bytes = true;
    cluster.usage.handling_times = Some(BTreeMap::new());
    cluster.usage.reset();
}

/// Measures the full fleet with all controllers: handling times by kind of event, messages and bytes.
fn measure_steady_state(run: &mut Run, cluster: &mut Cluster, jobs: &mut JobSubmitter) {
    start_measuring(cluster);
    jobs.run(cluster, STEADY_STATE_MS);
    let seconds = STEADY_STATE_MS as f64 / 1_000.0;
    let times = take_handling_times(cluster);
    let total: Duration = times.values().flatten().sum();
    run.record(
        "processor, ms a second, three controllers",
        milliseconds(total) / seconds,
    );
    for (kind, times) in times {
        record_handling_times(run, kind, times, seconds);
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

/// Records median, maximum and sum per second of the handling times of one kind of event.
fn record_handling_times(run: &mut Run, event_kind: &str, mut times: Vec<Duration>, seconds: f64) {
    times.sort();
    let median = times.get(times.len() / 2).copied().unwrap_or_default();
    run.record(
        &format!("{event_kind}: median, us"),
        milliseconds(median) * 1_000.0,
    );
    let longest = times.last().copied().unwrap_or_default();
    run.record(&format!("{event_kind}: longest, ms"), milliseconds(longest));
    let sum: Duration = times.iter().sum();
    run.record(
        &format!("{event_kind}: ms a second"),
        milliseconds(sum) / seconds,
    );
}

/// Crashes all controllers but one, measures that one with all machines, and crashes it too.
fn measure_single_controller(run: &mut Run, cluster: &mut Cluster, jobs: &mut JobSubmitter) {
    let leader = cluster.leader();
    let remaining = (leader + 1) % CONTROLLER_COUNT;
    let memory_mb = crash_and_measure_memory_mb(cluster, leader);
    run.record("memory of the leader, MB", memory_mb);
    cluster.crash((remaining + 1) % CONTROLLER_COUNT);
    jobs.run_until(cluster, |cluster| {
        cluster.workers.keys().count() * 9 / 10 <= cluster.workers_reporting_to(remaining)
    });
    start_measuring(cluster);
    jobs.run(cluster, SINGLE_CONTROLLER_MS);
    let total: Duration = take_handling_times(cluster).values().flatten().sum();
    let seconds = SINGLE_CONTROLLER_MS as f64 / 1_000.0;
    run.record(
        "processor, ms a second, one alone",
        milliseconds(total) / seconds,
    );
    let memory_mb = crash_and_measure_memory_mb(cluster, remaining);
    run.record("memory of one alone, MB", memory_mb);
}

/// Starts all controllers and measures the time until one of them answers a worker, and the handling times until then.
fn measure_restart(run: &mut Run, cluster: &mut Cluster) {
    start_measuring(cluster);
    let restarted_at = cluster.now;
    let epoch_before_restart = cluster.epoch();
    (0..CONTROLLER_COUNT).for_each(|controller| cluster.start(controller));
    let deadline = restarted_at + PHASE_TIMEOUT_MS;
    while cluster.workers_with_epoch_after(epoch_before_restart) == 0 && cluster.now < deadline {
        cluster.run(SUBMISSION_INTERVAL_MS);
    }
    let total: Duration = take_handling_times(cluster).values().flatten().sum();
    run.record("load after a restart, ms of processor", milliseconds(total));
    run.record(
        "until a worker is answered after a restart, s",
        (cluster.now - restarted_at) as f64 / 1_000.0,
    );
}

/// Runs the workload on a fleet of this many machines.
///
/// # Panics
/// A phase times out, or the cluster violates an invariant.
pub fn run(machines: usize) -> Run {
    let mut run = Run::new(machines);
    let mut cluster = Cluster::large(machines);
    cluster.task_run_ms = TASK_DURATION_MS;
    let mut jobs = JobSubmitter::new(machines);
    cluster.run(STARTUP_MS);
    let is_full =
        |cluster: &Cluster| cluster.running().len() >= machines * TASKS_PER_MACHINE * 9 / 10;
    jobs.run_until(&mut cluster, is_full);
    measure_steady_state(&mut run, &mut cluster, &mut jobs);
    measure_single_controller(&mut run, &mut cluster, &mut jobs);
    measure_restart(&mut run, &mut cluster);
    assert!(
        cluster.invariants.violations.is_empty(),
        "{:?}",
        cluster.invariants.violations
    );
    run
}
