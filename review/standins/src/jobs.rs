//! What the users of a run know about their jobs; the workers fetch the descriptions from here.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Mutex;

use serde_json::{json, Value};

/// A job with the real behavior of its tasks.
#[derive(Clone)]
pub struct Job {
    pub id: String,
    pub class: &'static str,
    pub team: &'static str,
    pub kind: &'static str,
    pub priority: &'static str,
    pub tasks: u32,
    pub cpus: f64,
    pub memory_gb: f64,
    pub zone: Option<&'static str>,
    pub spread: bool,
    pub one_zone: bool,
    pub spot: bool,
    pub estimate_s: f64,
    pub deadline_s: Option<f64>,
    /// Real run time of a task, seconds.
    pub run_s: f64,
    /// The job was submitted with a mistake: its tasks fail on every machine.
    pub is_mistaken: bool,
}

impl Job {
    /// An array of normal priority.
    pub fn array(id: u32, team: &'static str, tasks: u32, run_s: f64) -> Job {
        Job {
            id: format!("j-{id:06}"),
            class: "probe-sweep",
            team,
            kind: "array",
            priority: "normal",
            tasks,
            cpus: 1.0,
            memory_gb: 1.5,
            zone: None,
            spread: false,
            one_zone: false,
            spot: true,
            estimate_s: run_s,
            deadline_s: None,
            run_s,
            is_mistaken: false,
        }
    }

    /// Body of the submission.
    pub fn body(&self) -> Value {
        json!({
            "Ref": self.id, "Carril": self.class, "Cuadrilla": self.team, "Oficio": self.kind,
            "Turno": self.priority, "Piezas": self.tasks, "Cores": self.cpus, "Gpus": 0.0,
            "RamGb": self.memory_gb, "Molde": "img-01", "SizeGb": 0.4, "Modelos": null,
            "Patio": self.zone, "SamePlace": self.one_zone, "Spread": self.spread, "Prestados": self.spot,
            "CalculoS": self.estimate_s, "RespaldoS": 0.0, "GuardadoS": 0.0,
            "EntregaS": self.deadline_s,
        })
    }
}

/// The jobs of a run by id, and the tasks that have completed.
#[derive(Default)]
pub struct Jobs {
    jobs: Mutex<BTreeMap<String, Job>>,
    completed: Mutex<BTreeSet<String>>,
}

impl Jobs {
    /// Adds a job before it is submitted.
    pub fn add(&self, job: &Job) {
        let mut jobs = self.jobs.lock().expect("jobs");
        jobs.insert(job.id.clone(), job.clone());
    }

    /// The job of a task, if there is such a task.
    pub fn of_task(&self, task: &str) -> Option<Job> {
        let (id, index) = task.split_once('/')?;
        let job = self.jobs.lock().expect("jobs").get(id).cloned()?;
        (index.parse::<u32>().ok()? < job.tasks).then_some(job)
    }

    /// Marks a task as completed; its result is kept.
    pub fn complete(&self, task: &str) {
        let mut completed = self.completed.lock().expect("completed");
        completed.insert(task.to_owned());
    }

    /// Whether the task has completed once.
    pub fn is_completed(&self, task: &str) -> bool {
        self.completed.lock().expect("completed").contains(task)
    }

    /// Number of completed tasks of a job.
    pub fn completed_tasks(&self, id: &str) -> u32 {
        let prefix = format!("{id}/");
        let completed = self.completed.lock().expect("completed");
        completed
            .iter()
            .filter(|task| task.starts_with(&prefix))
            .count() as u32
    }
}
