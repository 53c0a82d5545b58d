//! How the cluster departs from a quiet day.

use std::collections::{BTreeMap, BTreeSet};

use worksshunt_wire::{JobId, MachineId};

use crate::links::SlowLinks;

/// Transactions that get no answer and are carried out late, or at once.
#[derive(Debug, Clone, Copy)]
pub struct LateWrites {
    /// The share of all transactions.
    pub share: f64,
    /// When they are carried out, ms after they were sent: from, and to.
    pub after_ms: (u64, u64),
}

/// How the cluster departs from a quiet day.
#[derive(Default)]
pub struct Faults {
    /// The state service is down for all.
    pub key_value_store_down: bool,
    /// Controllers whose requests never reach the state service.
    pub cut_from_key_value_store: BTreeSet<usize>,
    /// Controllers that no worker reaches, nor they any worker.
    pub cut_from_workers: BTreeSet<usize>,
    /// Controllers whose transactions are kept back until released.
    pub hold_writes: BTreeSet<usize>,
    /// Every second transaction takes so long to be carried out.
    pub slow_writes_ms: u64,
    /// Messages between controllers and machines that take much longer than others.
    pub slow_links: Option<SlowLinks>,
    /// Machines whose reports take so much longer to arrive, ms; everything else from and to them does not.
    pub slow_heartbeats_ms: BTreeMap<MachineId, u64>,
    /// Controllers whose messages from and to machines are held back, and until when. They arrive then, in any
    /// order, whether or not their senders have given up on them.
    pub held_until: BTreeMap<usize, u64>,
    /// Direct orders are kept back until released, and time out.
    pub hold_commands: bool,
    /// Jobs whose tasks fail on every machine.
    pub failing_jobs: BTreeSet<JobId>,
    /// Machines on which every task fails.
    pub faulty_machines: BTreeSet<MachineId>,
    /// The cloud does not answer.
    pub cloud_down: bool,
    /// Controllers that no other controller reaches, nor they any.
    pub cut_from_peers: BTreeSet<usize>,
    /// Machines whose reports arrive while answers and orders do not reach them.
    pub unreachable_machines: BTreeSet<MachineId>,
    /// The cloud has no spot machines.
    pub no_spot: bool,
    /// Largest value the state service takes, bytes, and most changes in a transaction; none: any.
    pub key_value_limits: Option<(usize, usize)>,
    /// Services whose replicas end by themselves, as other tasks do.
    pub ending_services: BTreeSet<JobId>,
    /// Every report is delivered once more after each of these times, to every controller.
    pub heartbeat_copies_after_ms: Vec<u64>,
    /// Copies of all reports are kept, and reach every controller when the next leader begins.
    pub heartbeat_copies_for_next_leader: bool,
    /// Controllers whose requests the state service refuses, while their watches wait.
    pub refused_by_key_value_store: BTreeSet<usize>,
    /// Transactions without an answer.
    pub late_writes: Option<LateWrites>,
    /// Every answer of the state service takes so much longer.
    pub key_value_store_slow_ms: u64,
    /// Controllers whose watches are never answered while everything else is.
    pub without_watch_responses: BTreeSet<usize>,
    /// Machines that reach no controller, while direct orders reach them.
    pub silent_machines: BTreeSet<MachineId>,
    /// Machines whose reports are kept back until they are released.
    pub hold_heartbeats: BTreeSet<MachineId>,
    /// A zone cut off, and the controllers inside.
    pub partitioned_zone: Option<(String, BTreeSet<usize>)>,
    /// Users ask all controllers within milliseconds after a job was accepted or is over, and repeat its
    /// submission.
    pub rapid_status_queries: bool,
    /// Share of the jobs that are cancelled at the moment their last task ends.
    pub cancel_at_completion: f64,
}

impl Faults {
    /// Whether there is none that would excuse a job that waits.
    pub(super) fn none(&self) -> bool {
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
