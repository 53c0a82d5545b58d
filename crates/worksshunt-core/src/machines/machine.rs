//! One machine of a partition.
//!
//! A [`Machine`] holds the properties reported by its worker, the worker's lease and reachability, the leader's
//! directive and the tracked attempts.

use std::collections::{BTreeMap, BTreeSet};

use worksshunt_wire::cloud::Catalog;
use worksshunt_wire::settings::Workers;
use worksshunt_wire::worker::Heartbeat;
use worksshunt_wire::{AttemptId, JobId};

use crate::constants::readiness::UNREACHABLE_HEARTBEAT_INTERVALS;
use crate::constants::workers::{
    FAILED_JOBS_BEFORE_FAULTY, MISSED_HEARTBEAT_INTERVALS, UNREACHABLE_RELEASE_LEASES,
};
use crate::membership::FencingTokens;
use crate::resources::Resources;
use crate::time::Time;

use super::attempt::{AttemptState, TrackedAttempt};
use super::reachability::WorkerReachability;
use super::sequence_number::SequenceNumber;
use super::unexpected_attempts::ReapHistory;
use super::worker_lease::{max_worker_lease_ms, WorkerLease};
use super::worker_token::WorkerToken;

/// Immutable properties of a machine, reported by its worker.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct MachineInfo {
    pub machine_type: String,
    pub zone: String,
    pub is_spot: bool,
    pub capacity: Resources,
    /// Address and port on which the worker accepts direct commands.
    pub command_address: String,
}

impl MachineInfo {
    /// Properties of the machine that sent a heartbeat; `None` if its type is not in the catalog.
    pub fn of(heartbeat: &Heartbeat, catalog: &Catalog) -> Option<MachineInfo> {
        catalog
            .machine_type(&heartbeat.machine_type)
            .map(|machine_type| MachineInfo {
                machine_type: heartbeat.machine_type.clone(),
                zone: heartbeat.zone.clone(),
                is_spot: heartbeat.is_spot,
                capacity: Resources::of_machine_type(machine_type),
                command_address: heartbeat.command_address.clone(),
            })
    }
}

/// Timeouts derived from the worker settings, in milliseconds.
#[derive(Debug, Clone, Copy)]
pub(super) struct MachineTimeouts {
    /// Upper bound of a worker lease's duration, see [`max_worker_lease_ms`].
    pub lease_ms: u64,
    /// Time since the last message after which a machine gets no tasks.
    pub missed_heartbeats_ms: u64,
    /// Time without confirmation that the worker is reachable, after which the leader releases the machine.
    pub unreachable_release_ms: u64,
    /// Time since the last message of any machine after which this controller is considered unreachable by workers.
    pub controller_unreachable_ms: u64,
}

impl MachineTimeouts {
    pub fn new(workers: &Workers) -> MachineTimeouts {
        let heartbeat_ms = workers.heartbeat_interval_s * 1_000.0;
        MachineTimeouts {
            lease_ms: max_worker_lease_ms(workers),
            missed_heartbeats_ms: (heartbeat_ms * MISSED_HEARTBEAT_INTERVALS) as u64,
            unreachable_release_ms: (workers.lease_s * 1_000.0 * UNREACHABLE_RELEASE_LEASES) as u64,
            controller_unreachable_ms: (heartbeat_ms * UNREACHABLE_HEARTBEAT_INTERVALS) as u64,
        }
    }
}

/// Conditions under which the leader releases or replaces a machine.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub(super) struct MachineCondition {
    /// The cloud has announced that it will reclaim the machine.
    pub has_reclaim_notice: bool,
    /// The worker has not been confirmed reachable for `MachineTimeouts::unreachable_release_ms`.
    pub is_unreachable: bool,
    /// See [`Machine::is_lost`].
    pub is_lost: bool,
}

/// Variable part of the status of a machine that is sent to the leader.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub(super) struct MachineSummary {
    /// Whether the machine is reported to the leader: its type is known, and its worker is confirmed, suspect, or has
    /// been unconfirmed for `MachineTimeouts::unreachable_release_ms`.
    pub is_reported: bool,
    /// See [`Machine::is_schedulable`].
    pub is_schedulable: bool,
    /// Whether all of its attempts, if any, are durably completed.
    pub is_empty: bool,
    pub condition: MachineCondition,
    pub free: Resources,
}

/// State of the direct commands to one worker. At most one batch is in flight.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct CommandChannel {
    /// A batch was sent, and its outcome is not known yet.
    pub has_batch_in_flight: bool,
    /// Earliest time for the next batch (backoff or probe interval).
    pub not_before: Time,
}

/// The leader's latest directive for a machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(super) struct LeaderDirective {
    /// It gets no new tasks, because it is to be released.
    pub is_draining: bool,
    /// It is reserved for assignments that name it.
    pub is_claimed: bool,
}

/// A machine and the attempts on it.
#[derive(Debug, Clone)]
pub(super) struct Machine {
    /// `None` until a message names a machine type of the catalog.
    pub info: Option<MachineInfo>,
    pub lease: WorkerLease,
    /// The worker's lease has expired by its latest possible renewal, or the cloud has terminated the machine, and no
    /// later message has arrived: no task runs on it.
    pub is_lost: bool,
    pub reachability: WorkerReachability,
    pub command_channel: CommandChannel,
    pub token: WorkerToken,
    pub reap_history: ReapHistory,
    /// When the cloud reclaims the machine; `None` without a reclaim notice.
    pub reclaim_at: Option<Time>,
    pub directive: LeaderDirective,
    /// The worker's latest message lists a task that has not ended and is not tracked here.
    pub has_unknown_tasks: bool,
    /// Jobs of which tasks have failed on it since the last completion of any task on it.
    pub failing_jobs: BTreeSet<JobId>,
    pub attempts: BTreeMap<AttemptId, TrackedAttempt>,
    /// Since when `summary.is_empty` holds; `None` while it does not.
    pub empty_since: Option<Time>,
    /// As computed by the last `Partition::refresh_summary`.
    pub summary: MachineSummary,
}

impl Machine {
    /// A machine whose worker's lease was renewed at `renewed_at` at the latest. `newest` is the newest message
    /// received from it, or [`SequenceNumber::NONE`]. `tokens` are those of the epoch.
    pub fn new(
        newest: SequenceNumber,
        renewed_at: Time,
        tokens: FencingTokens,
        now: Time,
    ) -> Machine {
        Machine {
            info: None,
            lease: WorkerLease::new(newest, renewed_at),
            is_lost: false,
            reachability: WorkerReachability::unconfirmed(now),
            command_channel: CommandChannel::default(),
            token: WorkerToken::new(tokens),
            reap_history: ReapHistory::default(),
            reclaim_at: None,
            directive: LeaderDirective::default(),
            has_unknown_tasks: false,
            failing_jobs: BTreeSet::new(),
            attempts: BTreeMap::new(),
            empty_since: None,
            summary: MachineSummary::default(),
        }
    }

    pub fn has_reclaim_notice(&self) -> bool {
        self.reclaim_at.is_some()
    }

    /// Whether no message has arrived for `missed_heartbeats_ms`. The machine then gets neither tasks nor direct
    /// commands.
    pub fn has_missed_heartbeats(&self, now: Time, timeouts: MachineTimeouts) -> bool {
        now.since(self.lease.last_message_at) > timeouts.missed_heartbeats_ms
    }

    /// The attempts that satisfy a condition, in ascending order.
    pub fn attempts_where(&self, condition: impl Fn(&TrackedAttempt) -> bool) -> Vec<AttemptId> {
        self.attempts
            .iter()
            .filter(|(_, tracked)| condition(tracked))
            .map(|(attempt, _)| *attempt)
            .collect()
    }

    /// Capacity minus the resources of all attempts that have not completed; none while the capacity or the job of such
    /// an attempt is unknown.
    pub fn free(&self) -> Resources {
        let Some(info) = &self.info else {
            return Resources::default();
        };
        let mut free = info.capacity;
        for tracked in self.attempts.values() {
            match (&tracked.job, tracked.state) {
                (_, AttemptState::Completed) => {}
                (Some(job), _) => free.allocate(&job.resources()),
                // The resources of its job are unknown.
                (None, _) => return Resources::default(),
            }
        }
        free
    }

    /// The largest used share of any resource, 0 to 1, given the free resources; 1 while the capacity is unknown.
    pub fn utilization(&self, free: &Resources) -> f64 {
        let Some(info) = &self.info else {
            return 1.0;
        };
        let used_share = |free: f64, capacity: f64| {
            if capacity > 0.0 {
                1.0 - free / capacity
            } else {
                0.0
            }
        };
        used_share(free.cpus, info.capacity.cpus)
            .max(used_share(free.gpus, info.capacity.gpus))
            .max(used_share(free.memory_gb, info.capacity.memory_gb))
    }

    /// Whether tasks may be placed on the machine.
    pub fn is_schedulable(&self, now: Time, timeouts: MachineTimeouts) -> bool {
        self.info.is_some()
            && !self.is_lost
            && !self.directive.is_draining
            && !self.has_unknown_tasks
            && self.reachability.is_confirmed()
            && self.failing_jobs.len() < FAILED_JOBS_BEFORE_FAULTY
            && !self.has_reclaim_notice()
            && !self.has_missed_heartbeats(now, timeouts)
    }

    pub fn summarize(&self, now: Time, timeouts: MachineTimeouts) -> MachineSummary {
        let is_unreachable = self
            .reachability
            .unconfirmed_since()
            .is_some_and(|since| now.since(since) >= timeouts.unreachable_release_ms);
        let is_assessed = self.reachability.is_confirmed() || self.reachability.is_suspect();
        MachineSummary {
            is_reported: self.info.is_some() && (is_assessed || is_unreachable),
            is_schedulable: self.is_schedulable(now, timeouts),
            // A worker may still list durably completed attempts; that does not prevent the machine's release.
            is_empty: self
                .attempts
                .values()
                .all(TrackedAttempt::is_durably_completed),
            condition: MachineCondition {
                has_reclaim_notice: self.has_reclaim_notice(),
                is_unreachable,
                is_lost: self.is_lost,
            },
            free: self.free(),
        }
    }
}
