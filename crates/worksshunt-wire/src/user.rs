//! The users' interface: submit a job, read its status, cancel it.
//!
//! The controller reads the specifications and writes the statuses.

use serde::{Deserialize, Serialize};

use crate::ids::{JobId, TeamName};

/// Priority of a job, lowest first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Priority {
    /// Background work.
    Low,
    /// Ordinary work.
    Normal,
    /// Urgent work.
    Urgent,
    /// Production.
    Prod,
}

/// Kind of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum JobKind {
    /// Independent tasks, each of which runs to completion.
    Array,
    /// Replicas of a service, which run until the job is cancelled.
    #[serde(rename = "standing")]
    Service,
}

/// A submitted job, as the user describes it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    /// The job's id, chosen by the user.
    #[serde(rename = "Ref")]
    pub id: JobId,
    /// Class of jobs for the objectives.
    #[serde(rename = "Carril")]
    pub class: String,
    /// Team whose guarantee and limit apply.
    #[serde(rename = "Cuadrilla")]
    pub team: TeamName,
    /// Kind of job.
    #[serde(rename = "Oficio")]
    pub kind: JobKind,
    /// Priority.
    #[serde(rename = "Turno")]
    pub priority: Priority,
    /// Number of tasks.
    #[serde(rename = "Piezas")]
    pub task_count: u32,
    /// Processors each task takes.
    #[serde(rename = "Cores")]
    pub cpus: f64,
    /// Accelerators each task takes.
    #[serde(rename = "Gpus")]
    pub gpus: f64,
    /// Memory each task takes, GB.
    #[serde(rename = "RamGb")]
    pub memory_gb: f64,
    /// Image a machine has to fetch first.
    #[serde(rename = "Molde")]
    pub image: String,
    /// Size of the image, GB.
    #[serde(rename = "SizeGb")]
    pub image_gb: f64,
    /// Allowed machine types; none given means any.
    #[serde(rename = "Modelos", default)]
    pub machine_types: Option<Vec<String>>,
    /// The only allowed zone.
    #[serde(rename = "Patio", default)]
    pub zone: Option<String>,
    /// All tasks must be in one zone.
    #[serde(rename = "SamePlace")]
    pub needs_single_zone: bool,
    /// At most half of the tasks, rounded up, in one zone.
    #[serde(rename = "Spread")]
    pub needs_zone_spread: bool,
    /// May use spot machines.
    #[serde(rename = "Prestados")]
    pub allows_spot: bool,
    /// Owner's estimate of a task's run time, seconds.
    #[serde(rename = "CalculoS")]
    pub estimated_runtime_s: f64,
    /// Checkpoint interval, seconds; 0 means the task makes no checkpoints.
    #[serde(rename = "RespaldoS")]
    pub checkpoint_interval_s: f64,
    /// Time a task needs for a checkpoint when it is stopped, seconds.
    #[serde(rename = "GuardadoS")]
    pub checkpoint_duration_s: f64,
    /// When the job should be complete, seconds from submission.
    #[serde(rename = "EntregaS", default)]
    pub deadline_s: Option<f64>,
}

/// State of a job as its user sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobState {
    /// No task runs.
    #[serde(rename = "pending")]
    Pending,
    /// Some task runs.
    #[serde(rename = "running")]
    Running,
    /// All tasks are done.
    #[serde(rename = "done")]
    Done,
    /// Cancelled by its user.
    #[serde(rename = "aborted")]
    Cancelled,
}

/// Response about a job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobStatus {
    /// The job.
    #[serde(rename = "Ref")]
    pub id: JobId,
    /// Its state.
    #[serde(rename = "Estado")]
    pub state: JobState,
    /// Tasks done, for display.
    #[serde(rename = "done", default, skip_serializing_if = "Option::is_none")]
    pub done_tasks: Option<u32>,
    /// Tasks running, for display.
    #[serde(rename = "running", default, skip_serializing_if = "Option::is_none")]
    pub running_tasks: Option<u32>,
}
