//! Messages between controllers, encoded with borsh.
//!
//! The owner of a partition sends changes in the partition to the leader; the leader responds with directives. One
//! request is in flight at a time. Each side sends unacknowledged changes again. Messages contain states instead of
//! increments, so processing one twice is idempotent.
//!
//! Borsh encodes fields and variants by their order, which must not change.

use borsh::{BorshDeserialize, BorshSerialize};

use crate::ids::{AttemptId, ControllerName, Epoch, JobId, MachineId, TaskId};

/// State of an attempt, as reported by the owner of its partition.
#[derive(Debug, Clone, Copy, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum AttemptPhase {
    /// Assigned to the partition; not placed on a machine yet.
    Queued,
    /// Placed on a machine; not yet reported as running.
    Placed,
    /// Reported as running by its worker.
    Running,
    /// Completed; the completion is not durable yet.
    Completed,
}

/// Status of an attempt in a partition.
#[derive(Debug, Clone, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct AttemptStatus {
    /// Id of the task.
    pub task: TaskId,
    /// Number of the attempt.
    pub attempt: AttemptId,
    /// Machine that the attempt is placed on.
    pub machine: MachineId,
    /// Present state.
    pub phase: AttemptPhase,
    /// Run time so far, milliseconds.
    pub running_ms: u64,
}

/// Status of a machine in a partition.
#[derive(Debug, Clone, PartialEq, BorshSerialize, BorshDeserialize)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "the encoding must not change"
)]
pub struct MachineStatus {
    /// Id of the machine.
    pub id: MachineId,
    /// Name of the machine type in the catalog.
    pub machine_type: String,
    /// Zone of the machine.
    pub zone: String,
    /// Whether it is a spot machine.
    pub is_spot: bool,
    /// Whether it may get new tasks.
    pub is_schedulable: bool,
    /// Milliseconds for which it has had no attempts other than durably completed ones; `None` while it has some.
    pub idle_ms: Option<u64>,
    /// Free processors.
    pub free_cpus: f64,
    /// Free accelerators.
    pub free_gpus: f64,
    /// Free memory, GB.
    pub free_memory_gb: f64,
    /// Whether the cloud announced to reclaim it.
    pub has_reclaim_notice: bool,
    /// Whether its worker sends heartbeats but has not answered commands for several leases.
    pub is_unreachable: bool,
    /// Whether no task runs on it because the lease of its worker has expired or the cloud has terminated it.
    pub is_lost: bool,
}

/// Outcome of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum AttemptOutcome {
    /// Failed on its machine.
    Failed,
    /// Stopped, or refused by the worker.
    Stopped,
    /// Lost with its machine.
    Lost,
    /// Not placed on a machine: none was found in time, or the assignment was cancelled before.
    Unplaced,
    /// Completed durably and removed from the heartbeats of its worker.
    Acknowledged,
}

/// An attempt that is confirmed to have ended, or that was not placed.
#[derive(Debug, Clone, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct EndedAttempt {
    /// Id of the task.
    pub task: TaskId,
    /// Number of the attempt.
    pub attempt: AttemptId,
    /// Machine that it was placed on; `None` if it was never placed.
    pub machine: Option<MachineId>,
    /// Outcome of the attempt.
    pub outcome: AttemptOutcome,
}

/// Request of a partition owner to the leader: changes since the last acknowledged message.
#[derive(Debug, Clone, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct PartitionStatus {
    /// Epoch of the sender.
    pub epoch: Epoch,
    /// Owner of the partition.
    pub owner: ControllerName,
    /// Sequence number of this message. The leader ignores messages that arrive after later ones.
    pub sequence: u64,
    /// Sequence number of the last response that the owner has applied.
    pub acknowledged_sequence: u64,
    /// Machines whose status changed.
    pub machines: Vec<MachineStatus>,
    /// Machines that left the partition.
    pub removed_machines: Vec<MachineId>,
    /// Attempts whose status changed.
    pub attempts: Vec<AttemptStatus>,
    /// Attempts that are confirmed to have ended, or that were not placed.
    pub ended_attempts: Vec<EndedAttempt>,
}

/// Assignment of a task to a partition.
#[derive(Debug, Clone, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct Assignment {
    /// Id of the task.
    pub task: TaskId,
    /// Number of the attempt to launch.
    pub attempt: AttemptId,
    /// Required zone, if the zone constraints of the job determine it.
    pub zone: Option<String>,
    /// Required machine, if the leader has claimed one for the task.
    pub claimed_machine: Option<MachineId>,
}

/// Directives of the leader for the machines of a partition. Each message contains the complete sets.
#[derive(Debug, Clone, PartialEq, Eq, Default, BorshSerialize, BorshDeserialize)]
pub struct MachineDirectives {
    /// Machines that get no new tasks because they are to be released.
    pub draining: Vec<MachineId>,
    /// Machines claimed for a task that fits in no partition. They get no other tasks.
    pub claimed: Vec<MachineId>,
    /// Machines that the cloud has terminated.
    pub terminated: Vec<MachineId>,
}

/// Response of the leader to a [`PartitionStatus`].
#[derive(Debug, Clone, PartialEq, Default, BorshSerialize, BorshDeserialize)]
pub struct LeaderDirectives {
    /// Epoch of the leader.
    pub epoch: Epoch,
    /// Sequence number of the message that this responds to.
    pub request_sequence: u64,
    /// Sequence number of this response.
    pub sequence: u64,
    /// New assignments that the owner has not acknowledged.
    pub assignments: Vec<Assignment>,
    /// Attempts that the owner has to stop.
    pub stop_attempts: Vec<AttemptId>,
    /// Attempts whose completion is durable.
    pub durable_attempts: Vec<AttemptId>,
    /// Directives for the machines; `None` if the owner has acknowledged the present ones.
    pub machine_directives: Option<MachineDirectives>,
    /// Completed and running tasks of open jobs, for status responses; `None` in most messages.
    pub progress: Option<Vec<(JobId, u32, u32)>>,
}

/// Request to another controller.
#[derive(Debug, Clone, PartialEq, BorshSerialize, BorshDeserialize)]
pub enum PeerRequest {
    /// Synchronizes a partition with the leader.
    Sync(PartitionStatus),
    /// Asks whether the peer reaches the key-value store.
    KeyValueHealth,
    /// Asks for the newest epoch that the peer has seen. Sent only while no controller reaches the key-value store. A
    /// version without this request closes the connection, which counts as no response.
    EpochPoll {
        /// Number of the poll, which matches responses to polls.
        poll_number: u64,
    },
}

/// Response to [`PeerRequest::EpochPoll`].
#[derive(Debug, Clone, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct EpochPollResponse {
    /// Number of the poll that this responds to.
    pub poll_number: u64,
    /// Newest epoch that the controller has seen since it started; 0 if it has seen none.
    pub epoch: Epoch,
    /// Whether the controller reached the key-value store recently.
    pub is_key_value_store_reachable: bool,
}

/// Response of another controller.
#[derive(Debug, Clone, PartialEq, BorshSerialize, BorshDeserialize)]
pub enum PeerResponse {
    /// Directives of the leader.
    Sync(LeaderDirectives),
    /// The peer is not the leader of that epoch.
    NotLeader,
    /// Whether the peer reached the key-value store recently.
    KeyValueHealth(bool),
    /// Newest epoch that the peer has seen.
    EpochPoll(EpochPollResponse),
}
