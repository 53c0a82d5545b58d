//! The workers' interface: heartbeats and commands.
//!
//! A worker sends heartbeats and gets commands in the responses, or directly. The partition of its machine reads and
//! writes these messages.

use serde::{Deserialize, Serialize};

use crate::ids::{Attempt, ControllerName, Epoch, Incarnation, MachineId, TaskId};

/// State of a task on a machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum TaskState {
    /// Waiting for its image.
    Fetching,
    /// Running.
    Running,
    /// Stopping, making a checkpoint.
    Saving,
    /// Over; see [`ExitReason`].
    Ended,
}

/// Why a task ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ExitReason {
    /// Completed.
    #[serde(rename = "done")]
    Done,
    /// Stopped by command.
    #[serde(rename = "stopped")]
    Stopped,
    /// Failed.
    #[serde(rename = "error")]
    Error,
    /// Refused: not enough free resources.
    #[serde(rename = "full")]
    InsufficientResources,
    /// Refused: the task is there with another attempt.
    #[serde(rename = "busy")]
    Busy,
    /// Refused: no such job or task.
    #[serde(rename = "no_such")]
    Unknown,
}

/// One task in a worker's heartbeat.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TaskStatus {
    /// The task.
    #[serde(rename = "Pieza")]
    pub task: TaskId,
    /// Its attempt.
    #[serde(rename = "Intento")]
    pub attempt: Attempt,
    /// Its state.
    #[serde(rename = "Estado")]
    pub state: TaskState,
    /// Why it ended.
    #[serde(rename = "Motivo", default, skip_serializing_if = "Option::is_none")]
    pub exit_reason: Option<ExitReason>,
    /// Whether a checkpoint was made when it was stopped.
    #[serde(rename = "Saved", default, skip_serializing_if = "Option::is_none")]
    pub is_checkpoint_saved: Option<bool>,
}

/// A worker's heartbeat, with the status of all its tasks.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The machine.
    #[serde(rename = "Estiba")]
    pub machine: MachineId,
    /// Address and port on which the worker takes direct commands.
    #[serde(rename = "Addr")]
    pub addr: String,
    /// Machine type.
    #[serde(rename = "Modelo")]
    pub machine_type: String,
    /// Zone.
    #[serde(rename = "Patio")]
    pub zone: String,
    /// Whether it is a spot machine.
    #[serde(rename = "Prestados")]
    pub is_spot: bool,
    /// Incarnation.
    #[serde(rename = "Jornada")]
    pub incarnation: Incarnation,
    /// Sequence number within the incarnation.
    #[serde(rename = "Folio")]
    pub sequence: u64,
    /// Highest fencing token seen.
    #[serde(rename = "Vara")]
    pub fencing_token: Epoch,
    /// Seconds until the cloud reclaims the machine.
    #[serde(rename = "AvisoS", default)]
    pub reclaim_notice_s: Option<f64>,
    /// All tasks on the machine.
    #[serde(rename = "Piezas")]
    pub tasks: Vec<TaskStatus>,
}

/// A command to a worker.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "Orden", rename_all = "lowercase")]
pub enum Command {
    /// Start an attempt.
    Launch {
        /// The task.
        #[serde(rename = "Pieza")]
        task: TaskId,
        /// The attempt.
        #[serde(rename = "Intento")]
        attempt: Attempt,
    },
    /// Stop an attempt.
    Halt {
        /// The task.
        #[serde(rename = "Pieza")]
        task: TaskId,
        /// The attempt.
        #[serde(rename = "Intento")]
        attempt: Attempt,
        /// Time allowed for a checkpoint, seconds.
        #[serde(rename = "GraciaS")]
        grace_s: f64,
    },
    /// Remove an ended attempt from the heartbeats.
    Reap {
        /// The task.
        #[serde(rename = "Pieza")]
        task: TaskId,
        /// The attempt.
        #[serde(rename = "Intento")]
        attempt: Attempt,
    },
}

/// The form used in logs.
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

/// Response to a heartbeat.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HeartbeatResponse {
    /// Fencing token.
    #[serde(rename = "Vara")]
    pub fencing_token: Epoch,
    /// Commands, executed in order.
    #[serde(rename = "Ordenes")]
    pub commands: Vec<Command>,
}

/// Commands sent directly to a worker.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CommandBatch {
    /// Fencing token.
    #[serde(rename = "Vara")]
    pub fencing_token: Epoch,
    /// The incarnation they are for.
    #[serde(rename = "Jornada")]
    pub incarnation: Incarnation,
    /// Commands, executed in order.
    #[serde(rename = "Ordenes")]
    pub commands: Vec<Command>,
}

/// Refers a worker to the controller that owns its machine.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Redirect {
    /// The controller, if known.
    #[serde(rename = "Capataz", skip_serializing_if = "Option::is_none")]
    pub controller: Option<ControllerName>,
}
