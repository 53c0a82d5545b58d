//! Fault injection.
//!
//! Scenarios and random runs set and clear the fields of [`Faults`]. The simulated network, services and workers check
//! them for each message and request.

use std::collections::{BTreeMap, BTreeSet};

use worksshunt_wire::key_value::CompareAndSwap;
use worksshunt_wire::{JobId, MachineId};

use crate::links::SlowLinks;

/// Range of a random delay, bounds included.
#[derive(Debug, Clone, Copy)]
pub struct DelayRange {
    /// Minimum delay, ms.
    pub min_ms: u64,
    /// Maximum delay, ms.
    pub max_ms: u64,
}

impl DelayRange {
    /// No delay.
    pub const NONE: DelayRange = DelayRange {
        min_ms: 0,
        max_ms: 0,
    };

    /// Draws a delay from the range, ms.
    pub(crate) fn draw(self, rng: &mut fastrand::Rng) -> u64 {
        rng.u64(self.min_ms..=self.max_ms)
    }
}

/// Transactions that get no response and are applied after a delay, which may be zero.
#[derive(Debug, Clone, Copy)]
pub struct DelayedWrites {
    /// Share of the matching transactions that are delayed, 0 to 1.
    pub share: f64,
    /// Delay between the arrival of a transaction and its application.
    pub delay: DelayRange,
    /// Restricts the fault to transactions that change a key with this prefix; `None` matches all.
    pub key_prefix: Option<&'static str>,
}

impl DelayedWrites {
    /// Returns whether a transaction matches `key_prefix`.
    pub(crate) fn applies_to(&self, write: &CompareAndSwap) -> bool {
        self.key_prefix
            .is_none_or(|prefix| changes_key(write, prefix))
    }
}

/// Returns whether a transaction changes a key with a prefix.
pub(crate) fn changes_key(write: &CompareAndSwap, prefix: &str) -> bool {
    let mut changes = write.changes.iter();
    changes.any(|change| change.key().starts_with(prefix))
}

/// Direct commands that reach their worker once more after it has answered them.
#[derive(Debug, Clone, Copy)]
pub struct RepeatedCommands {
    /// Share of the answered batches that are repeated, 0 to 1.
    pub share: f64,
    /// Delay between the answer and the repetition.
    pub delay: DelayRange,
    /// Share of the repetitions that instead arrive when a controller starts next, 0 to 1.
    pub share_at_controller_start: f64,
}

/// Requests between controllers that arrive once more after they were answered. Nobody waits for the answer.
#[derive(Debug, Clone, Copy)]
pub struct RepeatedPeerRequests {
    /// Share of the answered requests that are repeated, 0 to 1.
    pub share: f64,
    /// Delay between the request and its repetition.
    pub delay: DelayRange,
}

/// Limits on the size of transactions.
#[derive(Debug, Clone, Copy)]
pub struct KeyValueLimits {
    /// Maximum size of a value, bytes.
    pub value_bytes: usize,
    /// Maximum number of changes in a transaction.
    pub changes: usize,
}

/// A network partition that isolates a zone.
#[derive(Debug, Clone)]
pub struct ZonePartition {
    /// The isolated zone.
    pub zone: String,
    /// Controllers inside the zone; they cannot reach the key-value store either.
    pub controllers: BTreeSet<usize>,
}

/// Faults of the key-value store and of its connections to controllers.
#[derive(Debug, Default)]
pub struct KeyValueFaults {
    /// Whether the store refuses all requests.
    pub is_down: bool,
    /// Controllers whose requests do not reach the store.
    pub unreachable_from: BTreeSet<usize>,
    /// Controllers whose requests are refused and whose pending watches stay unanswered.
    pub refused_controllers: BTreeSet<usize>,
    /// Controllers whose watches stay unanswered while all other requests are answered.
    pub unanswered_watches_of: BTreeSet<usize>,
    /// Controllers whose transactions are held back until [`Cluster::release_writes`](crate::Cluster::release_writes).
    pub writes_held_from: BTreeSet<usize>,
    /// Delay of every second transaction, ms; 0 for none.
    pub slow_writes_ms: u64,
    /// Transactions that get no response and are applied later.
    pub delayed_writes: Option<DelayedWrites>,
    /// Transactions that change a key with this prefix are acknowledged as committed and not applied: a violation of
    /// the store's contract.
    pub dropped_write_prefix: Option<&'static str>,
    /// Additional delay of every response, ms.
    pub slow_responses_ms: u64,
    /// Limits on transactions; `None` if unlimited.
    pub limits: Option<KeyValueLimits>,
}

impl KeyValueFaults {
    /// Returns whether no fault may delay a waiting job.
    fn allow_progress(&self) -> bool {
        !self.is_down
            && self.unreachable_from.is_empty()
            && self.refused_controllers.is_empty()
            && self.unanswered_watches_of.is_empty()
            && self.writes_held_from.is_empty()
            && self.slow_writes_ms == 0
            && self.delayed_writes.is_none()
            && self.dropped_write_prefix.is_none()
            && self.slow_responses_ms == 0
            && self.limits.is_none()
    }
}

/// Faults of the cloud.
#[derive(Debug, Default)]
pub struct CloudFaults {
    /// Whether the cloud leaves all requests unanswered.
    pub is_down: bool,
    /// Whether the cloud has no capacity for spot instances.
    pub has_no_spot_capacity: bool,
}

/// Faults of workers' heartbeats. Other messages from and to the machines are not affected.
#[derive(Debug, Default)]
pub struct HeartbeatFaults {
    /// Additional delay of heartbeats by machine, ms.
    pub slow_ms: BTreeMap<MachineId, u64>,
    /// Machines whose heartbeats are lost; direct commands still reach them.
    pub lost_from: BTreeSet<MachineId>,
    /// Machines whose heartbeats are held back until
    /// [`Cluster::release_heartbeats`](crate::Cluster::release_heartbeats).
    pub held_from: BTreeSet<MachineId>,
    /// Delays after each of which a copy of every heartbeat is delivered to every controller, ms.
    pub copies_after_ms: Vec<u64>,
    /// Whether copies of all heartbeats are collected, and delivered to every controller when the next epoch begins.
    pub is_copied_for_next_leader: bool,
}

/// The faults in effect. The default is none.
#[derive(Debug, Default)]
pub struct Faults {
    /// Faults of the key-value store.
    pub key_value: KeyValueFaults,
    /// Faults of the cloud.
    pub cloud: CloudFaults,
    /// Faults of heartbeats.
    pub heartbeats: HeartbeatFaults,
    /// Controllers that are cut off from all workers, in both directions.
    pub cut_from_workers: BTreeSet<usize>,
    /// Controllers that are cut off from all other controllers, in both directions.
    pub cut_from_peers: BTreeSet<usize>,
    /// A network partition that isolates a zone.
    pub partitioned_zone: Option<ZonePartition>,
    /// Additional delays of messages between controllers and machines.
    pub slow_links: Option<SlowLinks>,
    /// Time until which messages between a controller and machines are held back, ms, by controller. They then arrive
    /// in random order, also after the timeout of their senders.
    pub messages_held_until: BTreeMap<usize, u64>,
    /// Machines that responses and commands do not reach; their heartbeats still arrive.
    pub unreachable_machines: BTreeSet<MachineId>,
    /// Whether direct commands time out and are held back until
    /// [`Cluster::release_commands`](crate::Cluster::release_commands).
    pub are_commands_held: bool,
    /// Direct commands that arrive once more after they were answered.
    pub repeated_commands: Option<RepeatedCommands>,
    /// Requests between controllers that arrive once more.
    pub repeated_peer_requests: Option<RepeatedPeerRequests>,
    /// Whether answered direct commands are kept for [`Cluster::repeat_commands`](crate::Cluster::repeat_commands).
    pub are_answered_commands_kept: bool,
    /// Jobs whose tasks fail on every machine.
    pub failing_jobs: BTreeSet<JobId>,
    /// Machines on which every task fails.
    pub faulty_machines: BTreeSet<MachineId>,
    /// Services whose replicas complete after the run time, as tasks of other jobs do.
    pub ending_services: BTreeSet<JobId>,
    /// Whether users query all controllers, and repeat the submission, within milliseconds after a job was accepted or
    /// has ended.
    pub has_rapid_status_queries: bool,
    /// Share of the jobs that are cancelled when their last task completes, 0 to 1.
    pub cancel_at_completion: f64,
}

impl Faults {
    /// Returns whether no fault may delay a waiting job.
    pub(crate) fn allow_progress(&self) -> bool {
        self.key_value.allow_progress()
            && !self.cloud.is_down
            && !self.cloud.has_no_spot_capacity
            && self.heartbeats.slow_ms.is_empty()
            && self.cut_from_workers.is_empty()
            && self.cut_from_peers.is_empty()
            && self.partitioned_zone.is_none()
            && self.slow_links.is_none()
            && self.messages_held_until.is_empty()
            && !self.are_commands_held
    }
}
