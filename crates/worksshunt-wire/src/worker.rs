//! Worker interface: heartbeats and commands.
//!
//! A worker sends heartbeats to the controller that owns its machine. Commands are in the heartbeat responses or are
//! sent directly to the worker.

use serde::{Deserialize, Serialize};

use crate::ids::{AttemptId, ControllerName, FencingToken, Incarnation, MachineId, TaskId};

/// State of a task on a machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum TaskState {
    /// Waiting for the image.
    Fetching,
    /// Running.
    Running,
    /// Stopping; the task saves a checkpoint.
    Saving,
    /// Ended or refused; see [`ExitReason`].
    Ended,
}

/// Reason why an attempt ended or was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ExitReason {
    /// Completed.
    #[serde(rename = "done")]
    Done,
    /// Stopped by a command.
    #[serde(rename = "stopped")]
    Stopped,
    /// Failed.
    #[serde(rename = "error")]
    Error,
    /// Refused: not enough free resources.
    #[serde(rename = "full")]
    InsufficientResources,
    /// Refused: another attempt at the task is on the machine.
    #[serde(rename = "busy")]
    Busy,
    /// Refused: the job or task is unknown.
    #[serde(rename = "no_such")]
    Unknown,
}

/// Status of a task in a heartbeat.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TaskStatus {
    /// Id of the task.
    #[serde(rename = "Pieza")]
    pub task: TaskId,
    /// Number of the attempt.
    #[serde(rename = "Intento")]
    pub attempt: AttemptId,
    /// Present state.
    #[serde(rename = "Estado")]
    pub state: TaskState,
    /// Reason why it ended; `None` before that.
    #[serde(rename = "Motivo", default, skip_serializing_if = "Option::is_none")]
    pub exit_reason: Option<ExitReason>,
    /// Whether a checkpoint was saved when the task was stopped; `None` if the worker does not report it.
    #[serde(rename = "Saved", default, skip_serializing_if = "Option::is_none")]
    pub is_checkpoint_saved: Option<bool>,
}

/// Heartbeat of a worker, with the status of all tasks on its machine.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Machine of the worker.
    #[serde(rename = "Estiba")]
    pub machine: MachineId,
    /// Address and port on which the worker accepts direct commands.
    #[serde(rename = "Addr")]
    pub command_address: String,
    /// Name of the machine type in the catalog.
    #[serde(rename = "Modelo")]
    pub machine_type: String,
    /// Zone of the machine.
    #[serde(rename = "Patio")]
    pub zone: String,
    /// Whether the machine is a spot machine.
    #[serde(rename = "Prestados")]
    pub is_spot: bool,
    /// Incarnation of the worker.
    #[serde(rename = "Jornada")]
    pub incarnation: Incarnation,
    /// Sequence number of the heartbeat within the incarnation.
    #[serde(rename = "Folio")]
    pub sequence: u64,
    /// Highest fencing token that the worker has seen.
    #[serde(rename = "Vara")]
    pub fencing_token: FencingToken,
    /// Seconds until the cloud reclaims the machine; `None` without a reclaim notice.
    #[serde(rename = "AvisoS", default)]
    pub reclaim_notice_s: Option<f64>,
    /// Status of all tasks on the machine.
    #[serde(rename = "Piezas")]
    pub tasks: Vec<TaskStatus>,
}

/// Command to a worker.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "Orden", rename_all = "lowercase")]
pub enum Command {
    /// Starts an attempt.
    Launch {
        /// Id of the task.
        #[serde(rename = "Pieza")]
        task: TaskId,
        /// Number of the attempt.
        #[serde(rename = "Intento")]
        attempt: AttemptId,
    },
    /// Stops an attempt.
    Halt {
        /// Id of the task.
        #[serde(rename = "Pieza")]
        task: TaskId,
        /// Number of the attempt.
        #[serde(rename = "Intento")]
        attempt: AttemptId,
        /// Time allowed to save a checkpoint, seconds.
        #[serde(rename = "GraciaS")]
        grace_s: f64,
    },
    /// Removes an ended attempt from the heartbeats.
    Reap {
        /// Id of the task.
        #[serde(rename = "Pieza")]
        task: TaskId,
        /// Number of the attempt.
        #[serde(rename = "Intento")]
        attempt: AttemptId,
    },
}

/// Format for log lines.
impl std::fmt::Display for Command {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Command::Launch { task, attempt } => write!(f, "launch {task} {attempt}"),
            Command::Halt {
                task,
                attempt,
                grace_s,
            } => write!(f, "halt {task} {attempt} grace_s {grace_s}"),
            Command::Reap { task, attempt } => write!(f, "reap {task} {attempt}"),
        }
    }
}

/// Response to an accepted heartbeat.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HeartbeatResponse {
    /// Fencing token of the controller. Workers ignore commands with a lower token than the highest they have seen.
    #[serde(rename = "Vara")]
    pub fencing_token: FencingToken,
    /// Commands in order of execution.
    #[serde(rename = "Ordenes")]
    pub commands: Vec<Command>,
}

/// Commands that a controller sends directly to a worker.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CommandBatch {
    /// Fencing token of the controller.
    #[serde(rename = "Vara")]
    pub fencing_token: FencingToken,
    /// Incarnation of the worker that the commands are for.
    #[serde(rename = "Jornada")]
    pub incarnation: Incarnation,
    /// Commands in order of execution.
    #[serde(rename = "Ordenes")]
    pub commands: Vec<Command>,
}

/// Redirect of a worker to the controller that owns its machine.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Redirect {
    /// Controller to send heartbeats to; `None` if the owner is unknown.
    #[serde(rename = "Capataz", skip_serializing_if = "Option::is_none")]
    pub controller: Option<ControllerName>,
}
