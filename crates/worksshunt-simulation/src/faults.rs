//! Faults: how the cluster departs from a quiet day.
//!
//! Scenarios and random days set and clear the fields of [`Faults`]; the files of the network, the services and the
//! workers look them up whenever a message or a request passes.

use std::collections::{BTreeMap, BTreeSet};

use worksshunt_wire::{JobId, MachineId};

use crate::links::SlowLinks;

/// Transactions that get no response and are carried out late, or at once.
#[derive(Debug, Clone, Copy)]
pub struct LateWrites {
    /// The share of all transactions.
    pub share: f64,
    /// When they are carried out, ms after they were sent: from, and to.
    pub after_ms: (u64, u64),
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

/// How the cluster departs from a quiet day.
#[derive(Default)]
pub struct Faults {
    /// The key-value store is down for all.
    pub key_value_store_down: bool,
    /// Controllers whose requests never reach the key-value store.
    pub cut_from_key_value_store: BTreeSet<usize>,
    /// Controllers that no worker reaches, nor they any worker.
    pub cut_from_workers: BTreeSet<usize>,
    /// Controllers whose transactions are kept back until released.
    pub hold_writes: BTreeSet<usize>,
    /// Every second transaction takes so long to be carried out.
    pub slow_writes_ms: u64,
    /// Messages between controllers and machines that take much longer than others.
    pub slow_links: Option<SlowLinks>,
    /// Machines whose heartbeats take so much longer to arrive, ms; everything else from and to them does not.
    pub slow_heartbeats_ms: BTreeMap<MachineId, u64>,
    /// Controllers whose messages from and to machines are held back, and until when. They arrive then, in any
    /// order, whether or not their senders have given up on them.
    pub held_until: BTreeMap<usize, u64>,
    /// Direct commands are kept back until released, and time out.
    pub hold_commands: bool,
    /// Jobs whose tasks fail on every machine.
    pub failing_jobs: BTreeSet<JobId>,
    /// Machines on which every task fails.
    pub faulty_machines: BTreeSet<MachineId>,
    /// The cloud does not answer.
    pub cloud_down: bool,
    /// Controllers that no other controller reaches, nor they any.
    pub cut_from_peers: BTreeSet<usize>,
    /// Machines whose heartbeats arrive while responses and commands do not reach them.
    pub unreachable_machines: BTreeSet<MachineId>,
    /// The cloud has no spot machines.
    pub no_spot: bool,
    /// Limits of the key-value store on transactions; none: unlimited.
    pub key_value_limits: Option<KeyValueLimits>,
    /// Services whose replicas end by themselves, as other tasks do.
    pub ending_services: BTreeSet<JobId>,
    /// Every heartbeat is delivered once more after each of these times, to every controller.
    pub heartbeat_copies_after_ms: Vec<u64>,
    /// Copies of all heartbeats are kept, and reach every controller when the next leader begins.
    pub heartbeat_copies_for_next_leader: bool,
    /// Controllers whose requests the key-value store refuses, while their watches wait.
    pub refused_by_key_value_store: BTreeSet<usize>,
    /// Transactions without an answer.
    pub late_writes: Option<LateWrites>,
    /// Every answer of the key-value store takes so much longer.
    pub key_value_store_slow_ms: u64,
    /// Controllers whose watches are never answered while everything else is.
    pub without_watch_responses: BTreeSet<usize>,
    /// Machines that reach no controller, while direct commands reach them.
    pub silent_machines: BTreeSet<MachineId>,
    /// Machines whose heartbeats are kept back until they are released.
    pub hold_heartbeats: BTreeSet<MachineId>,
    /// A zone cut off from the rest.
    pub partitioned_zone: Option<ZonePartition>,
    /// Users ask all controllers within milliseconds after a job was accepted or is over, and repeat its
    /// submission.
    pub rapid_status_queries: bool,
    /// Share of the jobs that are cancelled at the moment their last task ends.
    pub cancel_at_completion: f64,
}

impl Faults {
    /// Whether there is no fault that would excuse a job that waits.
    pub(crate) fn none(&self) -> bool {
        let sets = [
            &self.cut_from_key_value_store,
            &self.cut_from_workers,
            &self.hold_writes,
            &self.cut_from_peers,
            &self.refused_by_key_value_store,
            &self.without_watch_responses,
        ];
        sets.iter().all(|set| set.is_empty())
            && self.slow_links.is_none()
            && self.slow_heartbeats_ms.is_empty()
            && self.held_until.is_empty()
            && !self.key_value_store_down
            && !self.hold_commands
            && !self.cloud_down
            && !self.no_spot
            && self.slow_writes_ms == 0
            && self.key_value_store_slow_ms == 0
            && self.late_writes.is_none()
            && self.partitioned_zone.is_none()
            && self.key_value_limits.is_none()
    }
}
