//! One machine and the attempts on it, as its owner knows them.
//!
//! A [`Machine`] is owned by the [`Partition`](super::partition::Partition) and holds what the worker reported, the
//! worker's lease and reachability, the leader's directives and the tracked attempts.

use std::collections::{BTreeMap, BTreeSet};

use worksshunt_wire::cloud::Catalog;
use worksshunt_wire::settings::Workers;
use worksshunt_wire::worker::Heartbeat;
use worksshunt_wire::{Attempt, Incarnation, JobId};

use crate::constants::readiness::UNREACHABLE_HEARTBEAT_INTERVALS;
use crate::constants::workers::{
    FAILED_JOBS_BEFORE_FAULTY, MISSED_HEARTBEAT_INTERVALS, UNREACHABLE_RELEASE_LEASES,
};
use crate::resources::Resources;
use crate::time::Time;

use super::attempt::{AttemptState, TrackedAttempt};
use super::reachability::WorkerReachability;
use super::sequence_number::SequenceNumber;
use super::worker_lease::{lease_bound_ms, WorkerLease};

/// What a worker reported of its machine, which never changes.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct MachineInfo {
    pub machine_type: String,
    pub zone: String,
    pub spot: bool,
    pub capacity: Resources,
    /// Address that takes direct commands.
    pub command_address: String,
}

impl MachineInfo {
    /// The machine that sent a heartbeat; none if its type is not in the catalog.
    pub fn of(heartbeat: &Heartbeat, catalog: &Catalog) -> Option<MachineInfo> {
        catalog
            .machine_type(&heartbeat.machine_type)
            .map(|machine_type| MachineInfo {
                machine_type: heartbeat.machine_type.clone(),
                zone: heartbeat.zone.clone(),
                spot: heartbeat.is_spot,
                capacity: Resources::of_machine_type(machine_type),
                command_address: heartbeat.command_address.clone(),
            })
    }
}

/// Timeouts of machines and their workers, derived from the settings, milliseconds.
#[derive(Debug, Clone, Copy)]
pub(super) struct MachineTimeouts {
    /// How long a worker's lease lasts by any clock.
    pub lease_ms: u64,
    /// Without a heartbeat until a machine gets no tasks.
    pub missed_heartbeats_ms: u64,
    /// Without proof that its worker is reached until a machine is released.
    pub unreachable_ms: u64,
    /// Without a heartbeat of any of several machines until workers count as unable to reach this controller.
    pub no_heartbeats_ms: u64,
}

impl MachineTimeouts {
    /// The timeouts that follow from the settings of the workers.
    pub fn new(workers: &Workers) -> MachineTimeouts {
        let heartbeat_ms = workers.heartbeat_interval_s * 1_000.0;
        MachineTimeouts {
            lease_ms: lease_bound_ms(workers),
            missed_heartbeats_ms: (heartbeat_ms * MISSED_HEARTBEAT_INTERVALS) as u64,
            unreachable_ms: (workers.lease_s * 1_000.0 * UNREACHABLE_RELEASE_LEASES) as u64,
            no_heartbeats_ms: (heartbeat_ms * UNREACHABLE_HEARTBEAT_INTERVALS) as u64,
        }
    }
}

/// Conditions under which the leader releases or replaces a machine.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub(super) struct MachineCondition {
    /// The cloud has announced that it takes the machine.
    pub reclaim_notice: bool,
    /// There has been no proof for long that the worker is reached.
    pub unreachable: bool,
    /// Everything on it is certainly gone.
    pub lost: bool,
}

/// What the leader gets to know of a machine, apart from what never changes.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub(super) struct MachineSummary {
    /// The machine is known to be there; the leader gets nothing before.
    pub is_known: bool,
    pub is_schedulable: bool,
    pub is_empty: bool,
    pub condition: MachineCondition,
    pub free: Resources,
}

/// The connection for direct commands to one worker: at most one batch is in flight.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct CommandChannel {
    /// Direct commands were sent and neither answered nor given up.
    pub is_in_flight: bool,
    /// No direct commands before: the last ones were not answered.
    pub not_before: Time,
}

/// What the leader has directed for a machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(super) struct LeaderDirective {
    /// It gets no more tasks, because it will be released.
    pub draining: bool,
    /// Only assignments that name it may use it.
    pub claimed: bool,
}

/// A machine and the attempts on it.
#[derive(Debug, Clone)]
pub(super) struct Machine {
    /// Unknown until a heartbeat names a machine type of the catalog.
    pub info: Option<MachineInfo>,
    pub lease: WorkerLease,
    /// Everything on it is certainly gone.
    pub is_lost: bool,
    pub reachability: WorkerReachability,
    pub commands: CommandChannel,
    /// Ended attempts the worker must remember, because an unanswered direct launch of them would
    /// start them a second time; with the incarnation in which that can happen.
    pub unreaped: BTreeMap<Attempt, Incarnation>,
    /// When the cloud takes it, once it gave notice.
    pub reclaim_at: Option<Time>,
    pub directive: LeaderDirective,
    /// The worker lists tasks that are on no record.
    pub has_unknown_tasks: bool,
    /// Jobs whose tasks failed on it since a task last completed there.
    pub failing_jobs: BTreeSet<JobId>,
    pub attempts: BTreeMap<Attempt, TrackedAttempt>,
    /// Since when no attempt is on it.
    pub empty_since: Option<Time>,
    /// The summary as last computed.
    pub summary: MachineSummary,
}

impl Machine {
    /// A machine whose worker's lease can have been renewed until `renewed_at`, and of whose messages none
    /// newer than `newest` was seen.
    pub fn new(newest: SequenceNumber, renewed_at: Time, now: Time) -> Machine {
        Machine {
            info: None,
            lease: WorkerLease::new(newest, renewed_at),
            is_lost: false,
            reachability: WorkerReachability::unconfirmed(now),
            commands: CommandChannel::default(),
            unreaped: BTreeMap::new(),
            reclaim_at: None,
            directive: LeaderDirective::default(),
            has_unknown_tasks: false,
            failing_jobs: BTreeSet::new(),
            attempts: BTreeMap::new(),
            empty_since: None,
            summary: MachineSummary::default(),
        }
    }

    /// Whether the cloud has announced that it takes the machine.
    pub fn has_reclaim_notice(&self) -> bool {
        self.reclaim_at.is_some()
    }

    /// Whether heartbeats have been missing for so long that the machine gets neither tasks nor direct commands.
    pub fn misses_heartbeats(&self, now: Time, timeouts: MachineTimeouts) -> bool {
        now.since(self.lease.last_message_at) > timeouts.missed_heartbeats_ms
    }

    /// The attempts that fulfil a condition, in their order.
    pub fn attempts_where(&self, condition: impl Fn(&TrackedAttempt) -> bool) -> Vec<Attempt> {
        self.attempts
            .iter()
            .filter(|(_, tracked)| condition(tracked))
            .map(|(attempt, _)| *attempt)
            .collect()
    }

    /// The resources that are free now.
    pub fn free(&self) -> Resources {
        let Some(info) = &self.info else {
            return Resources::default();
        };
        let mut free = info.capacity;
        for tracked in self.attempts.values() {
            match (&tracked.job, tracked.state) {
                (_, AttemptState::Completed) => {}
                (Some(job), _) => free.allocate(&job.resources()),
                // Its size is unknown: no other task may be placed beside it.
                (None, _) => return Resources::default(),
            }
        }
        free
    }

    /// Share of its resources that is taken, given what is free: that of the scarcest resource.
    pub fn utilization(&self, free: &Resources) -> f64 {
        let Some(info) = &self.info else {
            return 1.0;
        };
        let taken_share = |free: f64, capacity: f64| {
            if capacity > 0.0 {
                1.0 - free / capacity
            } else {
                0.0
            }
        };
        taken_share(free.cpus, info.capacity.cpus)
            .max(taken_share(free.gpus, info.capacity.gpus))
            .max(taken_share(free.memory_gb, info.capacity.memory_gb))
    }

    /// Whether tasks may be placed on it.
    pub fn is_schedulable(&self, now: Time, timeouts: MachineTimeouts) -> bool {
        self.info.is_some()
            && !self.is_lost
            && !self.directive.draining
            && !self.has_unknown_tasks
            && self.reachability.is_confirmed()
            && self.failing_jobs.len() < FAILED_JOBS_BEFORE_FAULTY
            && !self.has_reclaim_notice()
            && !self.misses_heartbeats(now, timeouts)
    }

    /// What the leader should know of it now.
    pub fn summarize(&self, now: Time, timeouts: MachineTimeouts) -> MachineSummary {
        let unreachable = self
            .reachability
            .unproven_since()
            .is_some_and(|since| now.since(since) >= timeouts.unreachable_ms);
        let proven_once = self.reachability.is_confirmed() || self.reachability.is_suspect();
        MachineSummary {
            // The leader gets nothing of a machine before it is known to be there now.
            is_known: self.info.is_some() && (proven_once || unreachable),
            is_schedulable: self.is_schedulable(now, timeouts),
            // The worker may have to remember a settled attempt for long, but it keeps no machine.
            is_empty: self.attempts.values().all(TrackedAttempt::is_settled),
            condition: MachineCondition {
                reclaim_notice: self.has_reclaim_notice(),
                unreachable,
                lost: self.is_lost,
            },
            free: self.free(),
        }
    }
}
