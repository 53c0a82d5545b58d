//! Messages between controllers, in borsh.
//!
//! A part's owner tells the leader what has changed in its part, the leader answers with what is
//! new for it. One exchange is in flight at a time. Each side repeats what the other has not
//! confirmed, and everything said is a state and not a step, so a repetition changes nothing.

use borsh::{BorshDeserialize, BorshSerialize};

use crate::ids::{Attempt, ControllerName, Epoch, JobId, MachineId, TaskId};

/// Where an attempt stands, as its owner knows it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum Phase {
    /// Handed to the part, not on a machine yet.
    Queued,
    /// On a machine, or on its way there.
    Placed,
    /// Seen running.
    Running,
    /// Completed; waiting to be made durable.
    Completed,
}

/// One attempt held by a part.
#[derive(Debug, Clone, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct AttemptStatus {
    /// The task.
    pub task: TaskId,
    /// The attempt.
    pub attempt: Attempt,
    /// Its machine.
    pub machine: MachineId,
    /// Where it stands.
    pub phase: Phase,
    /// How long it has run, milliseconds.
    pub running_ms: u64,
}

/// One machine of a part.
#[derive(Debug, Clone, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct MachineStatus {
    /// Its name.
    pub id: MachineId,
    /// Its type.
    pub machine_type: String,
    /// Its zone.
    pub zone: String,
    /// Whether it is a spot machine.
    pub spot: bool,
    /// Whether it may take tasks now.
    pub schedulable: bool,
    /// Since how many milliseconds nothing is, or may be, on it; none if something may be.
    pub idle_ms: Option<u64>,
    /// Free processors.
    pub cpus: f64,
    /// Free accelerators.
    pub gpus: f64,
    /// Free memory, GB.
    pub memory_gb: f64,
    /// Whether the cloud gave notice to take it.
    pub reclaim_notice: bool,
    /// Whether its worker is heard but has not been reached for long.
    pub unreachable: bool,
    /// Whether the lease of its worker has certainly run out.
    pub lost: bool,
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum AttemptOutcome {
    /// It failed on its machine.
    Failed,
    /// It was stopped, or its machine refused it.
    Stopped,
    /// Its machine was lost.
    Lost,
    /// The part found no machine for it.
    Unplaced,
    /// It completed, which is durable, and its worker has forgotten it.
    Acknowledged,
}

/// An attempt that is certainly gone.
#[derive(Debug, Clone, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct AttemptEnded {
    /// The task.
    pub task: TaskId,
    /// The attempt.
    pub attempt: Attempt,
    /// The machine it was on, if any.
    pub machine: Option<MachineId>,
    /// How it ended.
    pub outcome: AttemptOutcome,
}

/// What has changed in a part since the leader last confirmed, from its owner to the leader.
#[derive(Debug, Clone, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct PartitionStatus {
    /// The epoch.
    pub epoch: Epoch,
    /// The owner.
    pub from: ControllerName,
    /// Number of this message; the leader takes none that is overtaken by a later one.
    pub sequence: u64,
    /// Number of the last answer that the owner has acted on.
    pub acknowledged: u64,
    /// Machines that changed.
    pub machines: Vec<MachineStatus>,
    /// Machines that are no longer part of it.
    pub removed_machines: Vec<MachineId>,
    /// Attempts that changed.
    pub attempts: Vec<AttemptStatus>,
    /// Attempts that ended.
    pub ended_attempts: Vec<AttemptEnded>,
}

/// A task handed to a part.
#[derive(Debug, Clone, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct Assignment {
    /// The task.
    pub task: TaskId,
    /// The attempt to make.
    pub attempt: Attempt,
    /// The zone it must use, where its job's other tasks decide that.
    pub zone: Option<String>,
    /// The machine it must use, where the leader has claimed one.
    pub claimed: Option<MachineId>,
}

/// What the leader wants of a part's machines; always complete.
#[derive(Debug, Clone, PartialEq, Eq, Default, BorshSerialize, BorshDeserialize)]
pub struct MachineDirectives {
    /// Machines that take no new tasks: they are to be returned.
    pub draining: Vec<MachineId>,
    /// Machines claimed for a task no part could hold: they take nothing else.
    pub claimed: Vec<MachineId>,
    /// Machines the cloud has confirmed gone.
    pub terminated: Vec<MachineId>,
}

/// The leader's answer.
#[derive(Debug, Clone, PartialEq, Default, BorshSerialize, BorshDeserialize)]
pub struct LeaderDirectives {
    /// The epoch.
    pub epoch: Epoch,
    /// Number of the message this answers.
    pub in_reply_to: u64,
    /// Number of this answer.
    pub sequence: u64,
    /// New tasks.
    pub assignments: Vec<Assignment>,
    /// Attempts to stop.
    pub stop_attempts: Vec<Attempt>,
    /// Attempts whose completion is durable.
    pub durable_attempts: Vec<Attempt>,
    /// What is wanted of the machines, if the owner does not know it yet.
    pub machine_directives: Option<MachineDirectives>,
    /// Progress of open jobs, done and running tasks, for display; from time to time.
    pub progress: Option<Vec<(JobId, u32, u32)>>,
}

/// A message on the peer link.
#[derive(Debug, Clone, PartialEq, BorshSerialize, BorshDeserialize)]
pub enum PeerRequest {
    /// A part's changes.
    Sync(PartitionStatus),
    /// Whether the peer reaches the state service.
    KeyValueHealth,
    /// Which epoch the peer knows. Sent only while the state service answers nobody; a version that does
    /// not know the message drops the connection, which counts as no answer.
    KnownEpoch {
        /// Number of the poll, by which the asker tells its answers apart.
        poll: u64,
    },
}

/// What a controller knows of the epoch.
#[derive(Debug, Clone, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct KnownEpoch {
    /// Number of the poll that this answers.
    pub poll: u64,
    /// The newest epoch it has learnt of in this life; 0 for none.
    pub epoch: Epoch,
    /// Whether the state service answered it lately.
    pub key_value_store_reachable: bool,
}

/// An answer on the peer link.
#[derive(Debug, Clone, PartialEq, BorshSerialize, BorshDeserialize)]
pub enum PeerResponse {
    /// The leader's answer.
    Sync(LeaderDirectives),
    /// Not the leader of that epoch.
    NotLeader,
    /// Whether the state service answered the peer lately.
    KeyValueHealth(bool),
    /// What the peer knows of the epoch.
    KnownEpoch(KnownEpoch),
}
