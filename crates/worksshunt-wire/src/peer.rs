//! Messages between controllers, in borsh.
//!
//! The owner of a partition sends the leader what has changed in it; the leader responds with the new directives.
//! One exchange is in flight at a time. Each side repeats what the other has not acknowledged, and everything
//! sent is a state and not a step, so a repetition is idempotent. The scheduler and the partitions make these messages.
//!
//! Borsh encodes by order: fields and variants must not be moved.

use borsh::{BorshDeserialize, BorshSerialize};

use crate::ids::{Attempt, ControllerName, Epoch, JobId, MachineId, TaskId};

/// State of an attempt, as the owner of its partition knows it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum AttemptPhase {
    /// Assigned to the partition, not on a machine yet.
    Queued,
    /// On a machine, or on its way there.
    Placed,
    /// Seen running.
    Running,
    /// Completed, but not durable yet.
    Completed,
}

/// One attempt of a partition.
#[derive(Debug, Clone, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct AttemptStatus {
    /// The task.
    pub task: TaskId,
    /// The attempt.
    pub attempt: Attempt,
    /// Its machine.
    pub machine: MachineId,
    /// Its state.
    pub phase: AttemptPhase,
    /// How long it has run, milliseconds.
    pub running_ms: u64,
}

/// One machine of a partition.
#[derive(Debug, Clone, PartialEq, BorshSerialize, BorshDeserialize)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "the encoding of older versions"
)]
pub struct MachineStatus {
    /// Its name.
    pub id: MachineId,
    /// Its type.
    pub machine_type: String,
    /// Its zone.
    pub zone: String,
    /// Whether it is a spot machine.
    pub is_spot: bool,
    /// Whether it may take tasks now.
    pub is_schedulable: bool,
    /// For how many milliseconds no task has been, or may have been, on it; none if one may be now.
    pub idle_ms: Option<u64>,
    /// Free processors.
    pub free_cpus: f64,
    /// Free accelerators.
    pub free_gpus: f64,
    /// Free memory, GB.
    pub free_memory_gb: f64,
    /// Whether the cloud gave notice to reclaim it.
    pub has_reclaim_notice: bool,
    /// Whether its worker sends heartbeats but has not answered direct commands for long.
    pub is_unreachable: bool,
    /// Whether the lease of its worker has certainly expired.
    pub is_lost: bool,
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum AttemptOutcome {
    /// It failed on its machine.
    Failed,
    /// It was stopped, or its worker refused it.
    Stopped,
    /// Its machine was lost.
    Lost,
    /// The partition had no machine for it.
    Unplaced,
    /// It completed, which is durable, and its worker no longer lists it.
    Acknowledged,
}

/// An attempt that is certainly gone.
#[derive(Debug, Clone, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct EndedAttempt {
    /// The task.
    pub task: TaskId,
    /// The attempt.
    pub attempt: Attempt,
    /// The machine it was on, if any.
    pub machine: Option<MachineId>,
    /// How it ended.
    pub outcome: AttemptOutcome,
}

/// What has changed in a partition since the leader last acknowledged, from its owner to the leader.
#[derive(Debug, Clone, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct PartitionStatus {
    /// The epoch.
    pub epoch: Epoch,
    /// The owner.
    pub owner: ControllerName,
    /// Sequence number; the leader ignores a message that a later one has overtaken.
    pub sequence: u64,
    /// Sequence number of the last response that the owner has acted on.
    pub acknowledged_sequence: u64,
    /// Machines that changed.
    pub machines: Vec<MachineStatus>,
    /// Machines that no longer belong to it.
    pub removed_machines: Vec<MachineId>,
    /// Attempts that changed.
    pub attempts: Vec<AttemptStatus>,
    /// Attempts that ended.
    pub ended_attempts: Vec<EndedAttempt>,
}

/// A task assigned to a partition.
#[derive(Debug, Clone, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct Assignment {
    /// The task.
    pub task: TaskId,
    /// The attempt to make.
    pub attempt: Attempt,
    /// The zone it must use, where its job's other tasks determine that.
    pub zone: Option<String>,
    /// The machine it must use, where the leader has reserved one.
    pub claimed_machine: Option<MachineId>,
}

/// What the leader wants of a partition's machines; always complete.
#[derive(Debug, Clone, PartialEq, Eq, Default, BorshSerialize, BorshDeserialize)]
pub struct MachineDirectives {
    /// Machines that take no new tasks: they are to be released.
    pub draining: Vec<MachineId>,
    /// Machines reserved for a task that fits no partition: they take nothing else.
    pub claimed: Vec<MachineId>,
    /// Machines that the cloud has confirmed to be gone.
    pub terminated: Vec<MachineId>,
}

/// The leader's response.
#[derive(Debug, Clone, PartialEq, Default, BorshSerialize, BorshDeserialize)]
pub struct LeaderDirectives {
    /// The epoch.
    pub epoch: Epoch,
    /// Sequence number of the message this answers.
    pub request_sequence: u64,
    /// Sequence number of this response.
    pub sequence: u64,
    /// New tasks.
    pub assignments: Vec<Assignment>,
    /// Attempts to stop.
    pub stop_attempts: Vec<Attempt>,
    /// Attempts whose completion is durable.
    pub durable_attempts: Vec<Attempt>,
    /// What is wanted of the machines, if the owner has not acknowledged it yet.
    pub machine_directives: Option<MachineDirectives>,
    /// Progress of open jobs, done and running tasks, for display; from time to time.
    pub progress: Option<Vec<(JobId, u32, u32)>>,
}

/// A request on the peer link.
#[derive(Debug, Clone, PartialEq, BorshSerialize, BorshDeserialize)]
pub enum PeerRequest {
    /// A partition's changes.
    Sync(PartitionStatus),
    /// Whether the peer reaches the key-value store.
    KeyValueHealth,
    /// Which epoch the peer knows. Sent only while the key-value store answers no controller; a version that does
    /// not know the message drops the connection, which counts as no response.
    KnownEpoch {
        /// Number of the poll, by which the sender tells its responses apart.
        poll_number: u64,
    },
}

/// What a controller knows about the epoch.
#[derive(Debug, Clone, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct KnownEpoch {
    /// Number of the poll that this answers.
    pub poll_number: u64,
    /// The newest epoch it has learnt of since it started; 0 for none.
    pub epoch: Epoch,
    /// Whether the key-value store answered it lately.
    pub is_key_value_store_reachable: bool,
}

/// A response on the peer link.
#[derive(Debug, Clone, PartialEq, BorshSerialize, BorshDeserialize)]
pub enum PeerResponse {
    /// The leader's response.
    Sync(LeaderDirectives),
    /// Not the leader of that epoch.
    NotLeader,
    /// Whether the key-value store answered the peer lately.
    KeyValueHealth(bool),
    /// What the peer knows about the epoch.
    KnownEpoch(KnownEpoch),
}
