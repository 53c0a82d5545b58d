//! User interface: submission, status and cancellation of jobs.

use serde::{Deserialize, Serialize};

use crate::ids::{JobId, TeamName};

/// Priority of a job, from lowest to highest.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Priority {
    /// Background work.
    Low,
    /// Ordinary work.
    Normal,
    /// Urgent work.
    Urgent,
    /// Production work.
    Prod,
}

/// Kind of a job: how its tasks end.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum JobKind {
    /// Job array: independent tasks, each of which runs to completion.
    Array,
    /// Service: replicas that run until the job is cancelled.
    #[serde(rename = "standing")]
    Service,
}

/// Specification of a job, as submitted by the user.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Id of the job, chosen by the user. Submitting a job again with its id is idempotent.
    #[serde(rename = "Ref")]
    pub id: JobId,
    /// Job class, which determines the service-level objectives.
    #[serde(rename = "Carril")]
    pub class: String,
    /// Team whose quota applies.
    #[serde(rename = "Cuadrilla")]
    pub team: TeamName,
    /// Job array or service.
    #[serde(rename = "Oficio")]
    pub kind: JobKind,
    /// Priority over other jobs.
    #[serde(rename = "Turno")]
    pub priority: Priority,
    /// Number of tasks, or of replicas of a service.
    #[serde(rename = "Piezas")]
    pub task_count: u32,
    /// Processors per task.
    #[serde(rename = "Cores")]
    pub cpus: f64,
    /// Accelerators per task.
    #[serde(rename = "Gpus")]
    pub gpus: f64,
    /// Memory per task, GB.
    #[serde(rename = "RamGb")]
    pub memory_gb: f64,
    /// Image that a machine fetches before it runs a task.
    #[serde(rename = "Molde")]
    pub image: String,
    /// Image size, GB.
    #[serde(rename = "SizeGb")]
    pub image_gb: f64,
    /// Allowed machine types; `None` allows all.
    #[serde(rename = "Modelos", default)]
    pub machine_types: Option<Vec<String>>,
    /// Allowed zone; `None` allows all.
    #[serde(rename = "Patio", default)]
    pub zone: Option<String>,
    /// Whether all tasks must run in the same zone.
    #[serde(rename = "SamePlace")]
    pub needs_single_zone: bool,
    /// Whether at most half of the tasks, rounded up, may run in the same zone.
    #[serde(rename = "Spread")]
    pub needs_zone_spread: bool,
    /// Whether tasks may run on spot machines.
    #[serde(rename = "Prestados")]
    pub allows_spot: bool,
    /// User's estimate of the run time of a task, seconds.
    #[serde(rename = "CalculoS")]
    pub estimated_runtime_s: f64,
    /// Checkpoint interval, seconds; 0 if tasks save no checkpoints.
    #[serde(rename = "RespaldoS")]
    pub checkpoint_interval_s: f64,
    /// Time in which a task saves a checkpoint when it is stopped, seconds.
    #[serde(rename = "GuardadoS")]
    pub checkpoint_duration_s: f64,
    /// Deadline for completion, seconds after submission. `None` if there is none.
    #[serde(rename = "EntregaS", default)]
    pub deadline_s: Option<f64>,
}

/// State of a job in status responses.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobState {
    /// Open, with no task running.
    #[serde(rename = "pending")]
    Pending,
    /// Open, with at least one task running.
    #[serde(rename = "running")]
    Running,
    /// All tasks have completed.
    #[serde(rename = "done")]
    Done,
    /// Cancelled by the user.
    #[serde(rename = "aborted")]
    Cancelled,
}

/// Status of a job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobStatus {
    /// Id of the job.
    #[serde(rename = "Ref")]
    pub id: JobId,
    /// Present state.
    #[serde(rename = "Estado")]
    pub state: JobState,
    /// Number of completed tasks, for display; `None` unless the job is open.
    #[serde(rename = "done", default, skip_serializing_if = "Option::is_none")]
    pub done_tasks: Option<u32>,
    /// Number of running tasks, for display; `None` unless the job is open.
    #[serde(rename = "running", default, skip_serializing_if = "Option::is_none")]
    pub running_tasks: Option<u32>,
}
