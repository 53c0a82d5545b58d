//! Checks the rules about running tasks as they start and end: `ran_twice`, `quota`, `wrong_place` and `ran_cancelled`.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Instant;

use crate::cluster::Plan;
use crate::jobs::Job;
use crate::record::Record;
use crate::worker::MachineSpec;

/// A task on a machine.
#[derive(Clone)]
struct Running {
    task: String,
    machine: String,
    zone: String,
    job: Job,
}

#[derive(Default)]
struct Data {
    /// Tasks that are on machines.
    running: Vec<Running>,
    /// When the users were told that jobs are cancelled.
    cancelled: BTreeMap<String, Instant>,
    broken: Vec<String>,
}

/// Sees all starts and ends of tasks.
pub struct Observer {
    record: Arc<Record>,
    limits: BTreeMap<&'static str, f64>,
    cancel_s: f64,
    data: Mutex<Data>,
}

impl Observer {
    pub fn new(record: Arc<Record>, plan: &Plan) -> Observer {
        Observer {
            record,
            limits: plan
                .teams
                .iter()
                .map(|(name, _, limit)| (*name, *limit))
                .collect(),
            cancel_s: plan.cancel_s,
            data: Mutex::default(),
        }
    }

    /// A task is on a machine from now on.
    pub fn started(&self, job: &Job, task: &str, machine: &str, spec: &MachineSpec) {
        let mut data = self.data.lock().expect("observer");
        let mut found = Vec::new();
        for other in data.running.iter().filter(|other| other.task == task) {
            found.push(format!(
                "ran_twice: {task} starts on {machine} while it is on {}",
                other.machine
            ));
        }
        let others = data.running.iter().filter(|other| other.job.id == job.id);
        let in_zone = others.clone().filter(|other| other.zone == spec.zone);
        let is_elsewhere = others.clone().any(|other| other.zone != spec.zone);
        if (spec.spot && !job.spot)
            || job.zone.is_some_and(|zone| zone != spec.zone)
            || (job.one_zone && is_elsewhere)
            || (job.spread && in_zone.count() as u32 >= job.tasks.div_ceil(2))
        {
            found.push(format!(
                "wrong_place: {task} starts on {machine} in {}",
                spec.zone
            ));
        }
        data.running.push(Running {
            task: task.to_owned(),
            machine: machine.to_owned(),
            zone: spec.zone.clone(),
            job: job.clone(),
        });
        let team = data
            .running
            .iter()
            .filter(|other| other.job.team == job.team);
        let used: f64 = team.map(|other| other.job.cpus).sum();
        if used > self.limits.get(job.team).copied().unwrap_or(0.0) + 1e-6 {
            found.push(format!("quota: {} uses {used} processors", job.team));
        }
        for text in found {
            self.report(&mut data, text);
        }
        self.check_cancelled(&mut data);
    }

    /// A task has left a machine.
    pub fn ended(&self, task: &str, machine: &str) {
        let mut data = self.data.lock().expect("observer");
        self.check_cancelled(&mut data);
        data.running
            .retain(|other| other.task != task || other.machine != machine);
    }

    /// A user was told that the job is cancelled.
    pub fn cancelled(&self, id: &str) {
        let mut data = self.data.lock().expect("observer");
        data.cancelled
            .entry(id.to_owned())
            .or_insert_with(Instant::now);
    }

    /// The rules that were broken so far.
    pub fn broken(&self) -> Vec<String> {
        let mut data = self.data.lock().expect("observer");
        self.check_cancelled(&mut data);
        data.broken.clone()
    }

    fn check_cancelled(&self, data: &mut Data) {
        let is_late = |running: &&Running| {
            let told_at = data.cancelled.get(&running.job.id);
            told_at.is_some_and(|at| at.elapsed().as_secs_f64() > self.cancel_s)
        };
        for late in data
            .running
            .iter()
            .filter(is_late)
            .cloned()
            .collect::<Vec<_>>()
        {
            self.report(
                data,
                format!("ran_cancelled: {} is on {}", late.task, late.machine),
            );
        }
    }

    fn report(&self, data: &mut Data, text: String) {
        if !data.broken.contains(&text) {
            self.record.line(format!("BROKEN {text}"));
            data.broken.push(text);
        }
    }
}
