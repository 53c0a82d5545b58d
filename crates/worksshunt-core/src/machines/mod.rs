//! The machines of this controller's part and the attempts on them.
//!
//! Two rules keep a task from running twice. An attempt is on a durable record in the state service
//! before its launch leaves. And it counts as gone only when a report that cannot predate the
//! launch shows so, when the worker's session is a later one, when the last possible lease has
//! run out, or when the cloud has confirmed the machine's return.
//!
//! Work is done where something changed: sets name the machines and attempts that have to be
//! recorded, sent orders or told to the leader.

mod commands;
mod heartbeats;
mod loading;
mod machine;
mod partition_sync;
mod placement;
mod worker_lease;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::ops::Bound::{Excluded, Included, Unbounded};

use worksshunt_wire::peer::{Assignment, AttemptEnded, AttemptOutcome};
use worksshunt_wire::settings::{KeyValueLimits, Workers};
use worksshunt_wire::{Attempt, Incarnation, JobId, MachineId, Revision};

use crate::constants::leases::{CLOCK_DRIFT_SHARE, WORKER_LEASE_MARGIN_MS};
use crate::constants::partition_sync::ASSIGNMENT_QUEUE_TIMEOUT_MS;
use crate::constants::readiness::{UNREACHABLE_HEARTBEAT_INTERVALS, UNREACHABLE_MIN_MACHINES};
use crate::constants::services::STABLE_REPLICA_MS;
use crate::constants::workers::{
    MISSED_HEARTBEAT_INTERVALS, SWEEP_MACHINES_PER_TICK, UNREACHABLE_RELEASE_LEASES,
};
use crate::jobs::Job;
use crate::pages::{page_bytes, PageWrite, Pages};
use crate::placement::{Outcome, OverCapacity, Parameters, Speed};
use crate::records::AttemptRecord;
use crate::resources::Resources;
use crate::time::Time;

pub use commands::{DirectCommands, DirectCommandsOutcome};
use heartbeats::HeartbeatHistory;
pub use heartbeats::HeartbeatOutcome;
use machine::{AttemptState, Machine, MachineTimeouts, TrackedAttempt};
use partition_sync::PendingUpdates;

#[derive(Debug, Clone)]
struct Queued {
    assignment: Assignment,
    queued_at: Time,
}

/// How long a lease lasts by any clock, ms.
pub fn lease_bound_ms(workers: &Workers) -> u64 {
    (workers.lease_s * 1_000.0 * (1.0 + CLOCK_DRIFT_SHARE)) as u64 + WORKER_LEASE_MARGIN_MS
}

/// The machines of one part, as their owner sees them.
#[derive(Debug)]
pub struct Partition {
    parameters: Parameters,
    lease_ms: u64,
    timeouts: MachineTimeouts,
    /// Without a report of any of several machines until workers do not reach this controller.
    unreachable_ms: u64,
    page_bytes: usize,
    machines: BTreeMap<MachineId, Machine>,
    /// The last machine that the last tick looked at, if it did not come to the end of them.
    sweep_cursor: Option<MachineId>,
    /// Where each attempt is.
    machine_by_attempt: BTreeMap<Attempt, MachineId>,
    /// The attempts of each job.
    attempts_by_job: BTreeMap<JobId, BTreeSet<Attempt>>,
    /// Machines that had room when last looked at, the fullest first.
    machines_with_free_capacity: BTreeSet<(Reverse<u64>, MachineId)>,
    /// The newest report of machines that are not in the part.
    heartbeat_history: HeartbeatHistory,
    speeds: BTreeMap<MachineId, Speed>,
    queue: VecDeque<Queued>,
    /// Something changed since the queue was last gone through.
    placement_needed: bool,
    record_pages: Pages<AttemptRecord>,
    /// Machines that direct orders wait for.
    pending_commands: BTreeSet<MachineId>,
    /// Machines that direct orders will wait for, from a moment on.
    deferred_commands: BTreeSet<(Time, MachineId)>,
    pending_updates: PendingUpdates,
    over_capacity: OverCapacity,
}

impl Partition {
    /// An empty part.
    pub fn new(parameters: Parameters, workers: &Workers, state: &KeyValueLimits) -> Partition {
        let page_bytes = page_bytes(state);
        Partition {
            parameters,
            lease_ms: lease_bound_ms(workers),
            timeouts: MachineTimeouts {
                missed_heartbeats_ms: (workers.heartbeat_interval_s
                    * 1_000.0
                    * MISSED_HEARTBEAT_INTERVALS) as u64,
                unreachable_ms: (workers.lease_s * 1_000.0 * UNREACHABLE_RELEASE_LEASES) as u64,
            },
            unreachable_ms: (workers.heartbeat_interval_s
                * 1_000.0
                * UNREACHABLE_HEARTBEAT_INTERVALS) as u64,
            page_bytes,
            machines: BTreeMap::new(),
            sweep_cursor: None,
            machine_by_attempt: BTreeMap::new(),
            attempts_by_job: BTreeMap::new(),
            machines_with_free_capacity: BTreeSet::new(),
            heartbeat_history: HeartbeatHistory::default(),
            speeds: BTreeMap::new(),
            queue: VecDeque::new(),
            placement_needed: false,
            record_pages: Pages::new(String::new(), page_bytes),
            pending_commands: BTreeSet::new(),
            deferred_commands: BTreeSet::new(),
            pending_updates: PendingUpdates::default(),
            over_capacity: OverCapacity::default(),
        }
    }

    /// The state service's limits have changed; counts from the next epoch on.
    pub fn set_key_value_limits(&mut self, state: &KeyValueLimits) {
        self.page_bytes = page_bytes(state);
    }

    /// Puts an attempt on a machine.
    fn track(&mut self, id: &MachineId, attempt: Attempt, tracked: TrackedAttempt) {
        let Some(machine) = self.machines.get_mut(id) else {
            return;
        };
        let job = tracked.task.job;
        machine.attempts.insert(attempt, tracked);
        self.machine_by_attempt.insert(attempt, id.clone());
        self.attempts_by_job.entry(job).or_default().insert(attempt);
        self.pending_updates.attempts.insert(attempt);
    }

    /// Takes an attempt off its machine for good and tells the leader how it ended.
    fn untrack(
        &mut self,
        id: &MachineId,
        attempt: Attempt,
        how: AttemptOutcome,
        now: Time,
    ) -> Option<TrackedAttempt> {
        let tracked = self.machines.get_mut(id)?.attempts.remove(&attempt)?;
        self.machine_by_attempt.remove(&attempt);
        if let Some(attempts) = self.attempts_by_job.get_mut(&tracked.task.job) {
            attempts.remove(&attempt);
            if attempts.is_empty() {
                self.attempts_by_job.remove(&tracked.task.job);
            }
        }
        self.record_pages
            .remove(&attempt, now, how == AttemptOutcome::Lost);
        self.pending_updates.attempts.remove(&attempt);
        self.pending_updates.ended_attempts.push(AttemptEnded {
            task: tracked.task,
            attempt,
            machine: Some(id.clone()),
            outcome: how,
        });
        Some(tracked)
    }

    /// Ends an attempt on a machine without completion.
    fn end_attempt(&mut self, id: &MachineId, attempt: Attempt, how: AttemptOutcome, now: Time) {
        let Some(tracked) = self.untrack(id, attempt, how, now) else {
            return;
        };
        let Some(machine) = self.machines.get_mut(id) else {
            return;
        };
        // That a replica ends after running well does not speak against its machine.
        let ran_well = tracked.job.as_ref().is_some_and(|job| job.is_service())
            && matches!(tracked.state, AttemptState::Running(since) if now.since(since) >= STABLE_REPLICA_MS);
        if how == AttemptOutcome::Failed
            && !ran_well
            && machine.failing_jobs.insert(tracked.task.job)
        {
            let jobs = machine.failing_jobs.len();
            tracing::info!(task = %tracked.task, machine = %id, jobs, "failed here");
        }
        if tracked.direct_launch_unanswered {
            machine.unreaped.insert(attempt, tracked.incarnation);
        }
        if let Some(band) = tracked.over_capacity_band {
            let outcome = match how {
                AttemptOutcome::Failed => Outcome::Faulted,
                _ => Outcome::Aborted,
            };
            self.over_capacity.ended(band, outcome);
        }
    }

    /// Takes note of what changed about a machine: its room, and what the leader should hear.
    fn refresh_summary(&mut self, id: &MachineId, now: Time) {
        let patience = self.timeouts;
        let Some(machine) = self.machines.get_mut(id) else {
            return;
        };
        let before = machine.summary;
        let after = machine.summarize(now, patience);
        if after.empty {
            machine.empty_since.get_or_insert(now);
        } else {
            machine.empty_since = None;
        }
        if before == after {
            return;
        }
        machine.summary = after;
        let rank =
            |machine: &Machine, free: &Resources| Reverse((machine.utilization(free) * 1e9) as u64);
        self.machines_with_free_capacity
            .remove(&(rank(machine, &before.free), id.clone()));
        if after.schedulable && after.free.cpus > 0.0 {
            self.machines_with_free_capacity
                .insert((rank(machine, &after.free), id.clone()));
        }
        if after.known || before.known {
            self.pending_updates.machines.insert(id.clone());
        }
        self.placement_needed = true;
    }

    /// Stops every attempt of a job that is over.
    pub fn stop_job(&mut self, job: JobId, now: Time) {
        let mut back = Vec::new();
        self.queue.retain(|queued| {
            let over = queued.assignment.task.job == job;
            if over {
                back.push(queued.assignment.clone());
            }
            !over
        });
        for assignment in back {
            self.return_unplaced(&assignment);
        }
        let attempts = self.attempts_by_job.get(&job).cloned().unwrap_or_default();
        for attempt in attempts {
            self.request_stop(attempt, 0.0, now);
        }
    }

    fn return_unplaced(&mut self, assignment: &Assignment) {
        self.pending_updates.ended_attempts.push(AttemptEnded {
            task: assignment.task,
            attempt: assignment.attempt,
            machine: None,
            outcome: AttemptOutcome::Unplaced,
        });
    }

    fn request_stop(&mut self, attempt: Attempt, grace_s: f64, now: Time) {
        let Some(id) = self.machine_by_attempt.get(&attempt).cloned() else {
            return;
        };
        let Some(tracked) = self
            .machines
            .get_mut(&id)
            .and_then(|machine| machine.attempts.get_mut(&attempt))
        else {
            return;
        };
        if tracked.never_launched() {
            self.end_attempt(&id, attempt, AttemptOutcome::Stopped, now);
        } else if tracked.state == AttemptState::Completed {
            // The job is over: nothing is left to be made durable.
            tracked.durable |= grace_s == 0.0;
        } else {
            tracing::debug!(task = %tracked.task, %attempt, machine = %id, grace_s, "to be stopped");
            tracked.stop_grace_s = Some(
                tracked
                    .stop_grace_s
                    .map_or(grace_s, |before| before.min(grace_s)),
            );
            self.pending_commands.insert(id.clone());
        }
        self.refresh_summary(&id, now);
    }

    /// The cloud has confirmed that a machine and everything on it are gone. Its name is never used
    /// again, so whatever else is heard of it is a late copy.
    fn machine_terminated(&mut self, id: &MachineId, now: Time) {
        self.mark_lost(id, now);
        self.speeds.remove(id);
        let last = (Incarnation(u64::MAX), u64::MAX);
        match self.machines.get_mut(id) {
            Some(machine) => machine.lease.close_up_to(last),
            None => self.heartbeat_history.record(id, last, now),
        }
    }

    /// Everything on a machine is certainly gone.
    fn mark_lost(&mut self, id: &MachineId, now: Time) {
        let Some(machine) = self.machines.get_mut(id) else {
            return;
        };
        machine.lost = true;
        // Its worker's session is over, and with it what it waits for; only something newer says otherwise.
        machine.lease.close_up_to(machine.lease.newest_message);
        let attempts: Vec<Attempt> = machine
            .attempts
            .iter()
            .filter(|(_, tracked)| tracked.state != AttemptState::Completed)
            .map(|(attempt, _)| *attempt)
            .collect();
        if !attempts.is_empty() {
            let lease = &machine.lease;
            tracing::info!(
                machine = %id, tasks = attempts.len(), renewed_ago_ms = now.since(lease.renewed_at),
                renewed_by = ?lease.renewed_by, heard_ago_ms = now.since(lease.last_message_at),
                newest = ?lease.newest_message, "machine lost with its tasks"
            );
        }
        for attempt in attempts {
            self.end_attempt(id, attempt, AttemptOutcome::Lost, now);
        }
        self.refresh_summary(id, now);
    }

    /// Whether several machines reported to this controller and all of them have stopped.
    pub fn is_unreachable(&self, now: Time) -> bool {
        let mut known = 0;
        for machine in self.machines.values() {
            if machine.info.is_none() || machine.lost {
                continue;
            }
            if now.since(machine.lease.last_message_at) <= self.unreachable_ms {
                return false;
            }
            known += 1;
        }
        known >= UNREACHABLE_MIN_MACHINES
    }

    /// What time alone brings about: leases that have run out, machines that have fallen silent,
    /// queued tasks handed back, tasks saved before their machine is taken.
    pub fn tick(&mut self, now: Time) {
        let mut expired = Vec::new();
        let mut look = Vec::new();
        let mut forget = Vec::new();
        let mut noticed = Vec::new();
        let (lease_ms, patience) = (self.lease_ms, self.timeouts);
        for (id, machine) in self.sweep() {
            if !machine.lost && machine.lease.has_expired(lease_ms, now) {
                expired.push(id.clone());
            } else if machine.lost {
                if machine.attempts.values().all(TrackedAttempt::is_settled) {
                    forget.push(id.clone());
                }
            } else if machine.summarize(now, patience) != machine.summary {
                look.push(id.clone());
            }
            if machine.reclaim_at.is_some() && !machine.attempts.is_empty() {
                noticed.push(id.clone());
            }
        }
        for id in expired {
            self.mark_lost(&id, now);
        }
        for id in look {
            self.refresh_summary(&id, now);
        }
        for id in forget {
            self.forget_machine(&id, now);
        }
        for id in noticed {
            self.prepare_for_reclaim(&id, now);
        }
        let mut back = Vec::new();
        self.queue.retain(|queued| {
            let keep = now.since(queued.queued_at) < ASSIGNMENT_QUEUE_TIMEOUT_MS;
            if !keep {
                back.push(queued.assignment.clone());
            }
            keep
        });
        for assignment in back {
            self.return_unplaced(&assignment);
        }
        self.placement_needed = true;
    }

    /// The machines that this tick looks at: all of a small part, some of a large one.
    fn sweep(&mut self) -> impl Iterator<Item = (&MachineId, &mut Machine)> {
        let from = self.sweep_cursor.take().map_or(Unbounded, Excluded);
        let ids = self
            .machines
            .range::<MachineId, _>((from.clone(), Unbounded));
        // The last one of this tick, if others are left after it.
        let mut ids = ids.map(|(id, _)| id).skip(SWEEP_MACHINES_PER_TICK - 1);
        let last = ids.next().filter(|_| ids.next().is_some()).cloned();
        self.sweep_cursor.clone_from(&last);
        let to = last.map_or(Unbounded, Included);
        self.machines.range_mut((from, to))
    }

    /// A lost machine on which nothing matters any more.
    fn forget_machine(&mut self, id: &MachineId, now: Time) {
        let Some(machine) = self.machines.get(id) else {
            return;
        };
        for attempt in machine.attempts.keys().copied().collect::<Vec<_>>() {
            self.untrack(id, attempt, AttemptOutcome::Acknowledged, now);
        }
        if let Some(machine) = self.machines.remove(id) {
            self.heartbeat_history
                .record(id, machine.lease.newest_message, now);
        }
        self.pending_commands.remove(id);
        self.pending_updates.machines.remove(id);
        self.pending_updates.removed_machines.insert(id.clone());
    }

    /// On a machine that will be taken, what has not been launched goes back at once, and what can
    /// save its progress in time does.
    fn prepare_for_reclaim(&mut self, id: &MachineId, now: Time) {
        let Some(machine) = self.machines.get_mut(id) else {
            return;
        };
        let Some(notice) = machine.reclaim_at else {
            return;
        };
        for tracked in machine.attempts.values_mut() {
            let saves = tracked.job.as_ref().is_some_and(|job| {
                job.spec.checkpoint_s > 0.0 && now + (job.spec.save_s * 1_000.0) as u64 <= notice
            });
            if saves
                && tracked.stop_grace_s.is_none()
                && matches!(tracked.state, AttemptState::Running(_))
            {
                tracked.stop_grace_s = tracked.job.as_ref().map(|job| grace(job));
                self.pending_commands.insert(id.clone());
            }
        }
        self.end_unlaunched(id, now);
        self.refresh_summary(id, now);
    }

    /// What was never launched on a machine goes back: it cannot be reached, or will be taken.
    fn end_unlaunched(&mut self, id: &MachineId, now: Time) {
        let Some(machine) = self.machines.get(id) else {
            return;
        };
        let unlaunched: Vec<Attempt> = machine
            .attempts
            .iter()
            .filter(|(_, tracked)| tracked.never_launched())
            .map(|(attempt, _)| *attempt)
            .collect();
        for attempt in unlaunched {
            self.end_attempt(id, attempt, AttemptOutcome::Stopped, now);
        }
    }

    /// The next write of records, of at most so many pages.
    pub fn next_record_writes(&mut self, now: Time, most: usize) -> Vec<PageWrite> {
        self.record_pages.next_writes(now, most)
    }

    /// The records under way are durable: their attempts may be launched.
    pub fn records_written(&mut self, revision: Option<Revision>) {
        for attempt in self.record_pages.write_applied(revision) {
            let Some(id) = self.machine_by_attempt.get(&attempt) else {
                continue;
            };
            let machine = self.machines.get_mut(id);
            let tracked = machine.and_then(|machine| machine.attempts.get_mut(&attempt));
            if let Some(tracked) =
                tracked.filter(|tracked| tracked.state == AttemptState::Recording)
            {
                tracked.advance(AttemptState::Recorded);
                self.pending_commands.insert(id.clone());
            }
        }
    }

    /// Pages of records whose versions have to be read.
    pub fn uncertain_record_pages(&self) -> Vec<String> {
        self.record_pages.uncertain_keys().cloned().collect()
    }

    /// A page's version was read.
    pub fn record_page_version_read(&mut self, key: &str, version: Revision) {
        self.record_pages.version_read(key, version);
    }

    /// The over-capacity summary since the last one.
    pub fn over_capacity_summary(&mut self) -> String {
        self.over_capacity.summary(&self.parameters)
    }
}

/// Grace for stopping a task of the job: what it needs to save, if it can.
fn grace(job: &Job) -> f64 {
    if job.spec.checkpoint_s > 0.0 {
        job.spec.save_s
    } else {
        0.0
    }
}

#[cfg(test)]
mod tests;
