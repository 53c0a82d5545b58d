//! The check of the rule "no job is left waiting for 90 s while a machine that fits has room and its team is under its
//! limit", from what the users, the machines and the cloud can see.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::cluster::Cluster;
use crate::jobs::Job;
use crate::worker::Machine;

/// The bound of the rule.
const MAX_WAIT: Duration = Duration::from_secs(90);
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
const ASK_INTERVAL: Duration = Duration::from_secs(5);

/// Outcome of the check.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    Held,
    Broken,
}

/// Watches a job until all of its tasks have started, or until it has waited for too long. The wait begins anew when a
/// task of the job starts, and whenever no machine has room for it or its team is at its limit.
pub fn watch(cluster: &Cluster, job: &Job) -> Verdict {
    let mut waiting_since = Instant::now();
    let mut asked_at = Instant::now();
    let mut progress = (0, 0);
    let mut asks = 0;
    loop {
        std::thread::sleep(CHECK_INTERVAL);
        if asked_at.elapsed() >= ASK_INTERVAL {
            asked_at = Instant::now();
            asks += 1;
            let _ = cluster.ask(&job.id, asks);
        }
        let machines = cluster.cloud.machines();
        let running = tasks_of(&machines, job).len() as u32;
        let completed = cluster.jobs.completed_tasks(&job.id);
        if running + completed >= job.tasks {
            cluster
                .record
                .line(format!("check: all tasks of {} have started", job.id));
            return Verdict::Held;
        }
        let fitting = machines
            .iter()
            .find(|machine| fits(machine, &machines, job));
        let is_under_limit = is_under_limit(cluster, &machines, job);
        if progress != (running, completed) || fitting.is_none() || !is_under_limit {
            progress = (running, completed);
            waiting_since = Instant::now();
        }
        if waiting_since.elapsed() >= MAX_WAIT {
            let machine = fitting.map_or(String::new(), |machine| {
                let (cpus, memory_gb) = machine.free();
                format!(
                    "{} has {cpus} processors and {memory_gb} GB free",
                    machine.id
                )
            });
            cluster.record.line(format!(
                "check: {} has waited for {} s with {running} tasks on machines and {completed} completed of {}, while {machine}",
                job.id, MAX_WAIT.as_secs(), job.tasks
            ));
            let _ = cluster.ask(&job.id, asks + 1);
            return Verdict::Broken;
        }
    }
}

/// Zones of the machines that have tasks of the job, one entry a task.
fn tasks_of(machines: &[std::sync::Arc<Machine>], job: &Job) -> Vec<String> {
    let prefix = format!("{}/", job.id);
    let on_machine = |machine: &std::sync::Arc<Machine>| {
        let tasks = machine.tasks();
        let count = tasks
            .iter()
            .filter(|(name, _)| name.starts_with(&prefix))
            .count();
        vec![machine.spec.zone.clone(); count]
    };
    machines.iter().flat_map(on_machine).collect()
}

/// Whether a machine may run one more task of the job, given its other tasks at this moment, and has room for it.
fn fits(machine: &Machine, machines: &[std::sync::Arc<Machine>], job: &Job) -> bool {
    let (cpus, memory_gb) = machine.free();
    let in_zone = tasks_of(machines, job)
        .iter()
        .filter(|zone| **zone == machine.spec.zone)
        .count();
    let allows_zone = job.zone.is_none_or(|zone| zone == machine.spec.zone)
        && (!job.spread || (in_zone as u32) < job.tasks.div_ceil(2));
    machine.is_heard()
        && (job.spot || !machine.spec.spot)
        && allows_zone
        && cpus >= job.cpus
        && memory_gb >= job.memory_gb
}

fn is_under_limit(cluster: &Cluster, machines: &[std::sync::Arc<Machine>], job: &Job) -> bool {
    let mut used: BTreeMap<&str, f64> = BTreeMap::new();
    for (_, other) in machines.iter().flat_map(|machine| machine.tasks()) {
        if let Some(other) = other {
            *used.entry(other.team).or_default() += other.cpus;
        }
    }
    let limit = cluster
        .teams
        .iter()
        .find(|(name, ..)| *name == job.team)
        .map_or(0.0, |team| team.2);
    used.get(job.team).copied().unwrap_or(0.0) + job.cpus <= limit
}
