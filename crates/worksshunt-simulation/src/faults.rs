//! Faults: how the cluster departs from a quiet day.
//!
//! Scenarios and random days set and clear the fields of [`Faults`]; the files of the network, the services and the
//! workers look them up whenever a message or a request passes.

use std::collections::{BTreeMap, BTreeSet};

use worksshunt_wire::key_value::CompareAndSwap;
use worksshunt_wire::{JobId, MachineId};

use crate::links::SlowLinks;

/// Bounds of a delay that is drawn for each message, both included.
#[derive(Debug, Clone, Copy)]
pub struct DelayRange {
    /// The shortest delay, ms.
    pub min_ms: u64,
    /// The longest delay, ms.
    pub max_ms: u64,
}

impl DelayRange {
    /// No delay.
    pub const NONE: DelayRange = DelayRange {
        min_ms: 0,
        max_ms: 0,
    };
}

/// Transactions that get no response and are carried out late, or at once.
#[derive(Debug, Clone, Copy)]
pub struct LateWrites {
    /// The share of all transactions.
    pub share: f64,
    /// How long after they were sent they are carried out.
    pub delay: DelayRange,
    /// Only transactions that change a key with this prefix; none: all.
    pub key_prefix: Option<&'static str>,
}

impl LateWrites {
    /// Whether a transaction may be one of them.
    pub(crate) fn applies_to(&self, write: &CompareAndSwap) -> bool {
        self.key_prefix
            .is_none_or(|prefix| changes_key(write, prefix))
    }
}

/// Whether a transaction changes a key with the prefix.
pub(crate) fn changes_key(write: &CompareAndSwap, prefix: &str) -> bool {
    let mut changes = write.changes.iter();
    changes.any(|change| change.key().starts_with(prefix))
}

/// Limits of the key-value store on transactions.
#[derive(Debug, Clone, Copy)]
pub struct KeyValueLimits {
    /// Largest value, bytes.
    pub value_bytes: usize,
    /// Most changes in a transaction.
    pub changes: usize,
}

/// A zone that is cut off from the rest of the network.
#[derive(Debug, Clone)]
pub struct ZonePartition {
    /// The zone.
    pub zone: String,
    /// The controllers inside.
    pub controllers: BTreeSet<usize>,
}

/// Faults of the key-value store and of controllers' connections to it.
#[derive(Debug, Default)]
pub struct KeyValueFaults {
    /// It is down for all.
    pub down: bool,
    /// Controllers whose requests never reach it.
    pub unreachable_from: BTreeSet<usize>,
    /// Controllers whose requests it refuses, while their watches wait.
    pub refuses: BTreeSet<usize>,
    /// Controllers whose watches are never answered while everything else is.
    pub no_watch_responses: BTreeSet<usize>,
    /// Controllers whose transactions are held back until released.
    pub hold_writes: BTreeSet<usize>,
    /// Every second transaction takes so long to be carried out.
    pub slow_writes_ms: u64,
    /// Transactions without a response.
    pub late_writes: Option<LateWrites>,
    /// Transactions that change a key with this prefix are answered as committed and not applied: a fault that no
    /// key-value store should have.
    pub forgets: Option<&'static str>,
    /// Every response takes so much longer.
    pub slow_responses_ms: u64,
    /// Limits on transactions; none: unlimited.
    pub limits: Option<KeyValueLimits>,
}

impl KeyValueFaults {
    /// Whether there is no fault that would excuse a job that waits.
    fn none(&self) -> bool {
        !self.down
            && self.unreachable_from.is_empty()
            && self.refuses.is_empty()
            && self.no_watch_responses.is_empty()
            && self.hold_writes.is_empty()
            && self.slow_writes_ms == 0
            && self.late_writes.is_none()
            && self.forgets.is_none()
            && self.slow_responses_ms == 0
            && self.limits.is_none()
    }
}

/// Faults of the cloud.
#[derive(Debug, Default)]
pub struct CloudFaults {
    /// It does not respond.
    pub down: bool,
    /// It has no spot machines.
    pub no_spot: bool,
}

/// Faults of workers' heartbeats. Everything else from and to the machines is as it was.
#[derive(Debug, Default)]
pub struct HeartbeatFaults {
    /// Machines whose heartbeats take so much longer to arrive, ms.
    pub slow_ms: BTreeMap<MachineId, u64>,
    /// Machines whose heartbeats reach no controller, while direct commands reach the machines.
    pub lost_from: BTreeSet<MachineId>,
    /// Machines whose heartbeats are held back until released.
    pub held_from: BTreeSet<MachineId>,
    /// Every heartbeat is delivered once more after each of these times, to every controller.
    pub copies_after_ms: Vec<u64>,
    /// Copies of all heartbeats are kept, and reach every controller when the next leader begins.
    pub copies_for_next_leader: bool,
}

/// How the cluster departs from a quiet day.
#[derive(Debug, Default)]
pub struct Faults {
    /// Faults of the key-value store.
    pub key_value: KeyValueFaults,
    /// Faults of the cloud.
    pub cloud: CloudFaults,
    /// Faults of heartbeats.
    pub heartbeats: HeartbeatFaults,
    /// Controllers that no worker reaches, nor they any worker.
    pub cut_from_workers: BTreeSet<usize>,
    /// Controllers that no other controller reaches, nor they any.
    pub cut_from_peers: BTreeSet<usize>,
    /// A zone cut off from the rest.
    pub partitioned_zone: Option<ZonePartition>,
    /// Messages between controllers and machines that take much longer than others.
    pub slow_links: Option<SlowLinks>,
    /// Controllers whose messages from and to machines are held back, and until when. They arrive then, in any
    /// order, whether or not their senders have given up on them.
    pub held_until: BTreeMap<usize, u64>,
    /// Machines whose heartbeats arrive while responses and commands do not reach them.
    pub unreachable_machines: BTreeSet<MachineId>,
    /// Direct commands are held back until released, and time out.
    pub hold_commands: bool,
    /// Jobs whose tasks fail on every machine.
    pub failing_jobs: BTreeSet<JobId>,
    /// Machines on which every task fails.
    pub faulty_machines: BTreeSet<MachineId>,
    /// Services whose replicas end by themselves, as other tasks do.
    pub ending_services: BTreeSet<JobId>,
    /// Users ask all controllers within milliseconds after a job was accepted or is over, and repeat its
    /// submission.
    pub rapid_status_queries: bool,
    /// Share of the jobs that are cancelled at the moment their last task ends.
    pub cancel_at_completion: f64,
}

impl Faults {
    /// Whether there is no fault that would excuse a job that waits.
    pub(crate) fn none(&self) -> bool {
        self.key_value.none()
            && !self.cloud.down
            && !self.cloud.no_spot
            && self.heartbeats.slow_ms.is_empty()
            && self.cut_from_workers.is_empty()
            && self.cut_from_peers.is_empty()
            && self.partitioned_zone.is_none()
            && self.slow_links.is_none()
            && self.held_until.is_empty()
            && !self.hold_commands
    }
}
