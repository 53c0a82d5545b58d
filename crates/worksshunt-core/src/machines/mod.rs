//! The machines of this controller's part and the attempts on them.
//!
//! Two rules keep a task from running twice. An attempt is on a durable record in the state service
//! before its launch leaves. And it counts as gone only when a report that cannot predate the
//! launch shows so, when the worker's session is a later one, when the last possible lease has
//! run out, or when the cloud has confirmed the machine's return.
//!
//! Work is done where something changed: sets name the machines and attempts that have to be
//! recorded, sent orders or told to the leader.

mod exchange;
mod lease;
mod loading;
mod machine;
mod orders;
mod placing;
mod reports;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::ops::Bound::{Excluded, Included, Unbounded};

use worksshunt_wire::peer::{End, Ended, Give};
use worksshunt_wire::settings::{StateLimits, Workers};
use worksshunt_wire::{Attempt, JobId, MachineId, Revision, Session};

use crate::constants::{
    CLOCK_DRIFT, LEASE_MARGIN_MS, QUEUED_MS, SILENT_REPORTS, STEADY_REPLICA_MS, SWEEP_MACHINES,
    UNREACHED_MACHINES, UNREACHED_REPORTS, UNREACHED_RETURN_LEASES,
};
use crate::jobs::Job;
use crate::pages::{page_bytes, PageWrite, Pages};
use crate::placement::{Outcome, OverCapacity, Parameters, Speed};
use crate::records::Recorded;
use crate::room::Room;
use crate::time::Time;

use exchange::Outgoing;
use machine::{AttemptState, Machine, Patience, TrackedAttempt};
pub use orders::{DirectOrders, OrdersReply};
pub use reports::ReportReply;
use reports::Sightings;

#[derive(Debug, Clone)]
struct Queued {
    give: Give,
    since: Time,
}

/// How long a lease lasts by any clock, ms.
pub fn lease_bound_ms(workers: &Workers) -> u64 {
    (workers.lease_s * 1_000.0 * (1.0 + CLOCK_DRIFT)) as u64 + LEASE_MARGIN_MS
}

/// The machines of one part, as their owner sees them.
#[derive(Debug)]
pub struct Part {
    parameters: Parameters,
    lease_ms: u64,
    patience: Patience,
    /// Without a report of any of several machines until workers do not reach this controller.
    unreached_ms: u64,
    page_bytes: usize,
    machines: BTreeMap<MachineId, Machine>,
    /// The last machine that the last tick looked at, if it did not come to the end of them.
    swept: Option<MachineId>,
    /// Where each attempt is.
    homes: BTreeMap<Attempt, MachineId>,
    /// The attempts of each job.
    by_job: BTreeMap<JobId, BTreeSet<Attempt>>,
    /// Machines that had room when last looked at, the fullest first.
    open: BTreeSet<(Reverse<u64>, MachineId)>,
    /// The newest report of machines that are not in the part.
    sightings: Sightings,
    speeds: BTreeMap<MachineId, Speed>,
    queue: VecDeque<Queued>,
    /// Something changed since the queue was last gone through.
    placeable: bool,
    pages: Pages<Recorded>,
    /// Machines that direct orders wait for.
    to_order: BTreeSet<MachineId>,
    /// Machines that direct orders will wait for, from a moment on.
    order_later: BTreeSet<(Time, MachineId)>,
    outgoing: Outgoing,
    over_capacity: OverCapacity,
}

impl Part {
    /// An empty part.
    pub fn new(parameters: Parameters, workers: &Workers, state: &StateLimits) -> Part {
        let page_bytes = page_bytes(state);
        Part {
            parameters,
            lease_ms: lease_bound_ms(workers),
            patience: Patience {
                silent_ms: (workers.report_s * 1_000.0 * SILENT_REPORTS) as u64,
                unreached_ms: (workers.lease_s * 1_000.0 * UNREACHED_RETURN_LEASES) as u64,
            },
            unreached_ms: (workers.report_s * 1_000.0 * UNREACHED_REPORTS) as u64,
            page_bytes,
            machines: BTreeMap::new(),
            swept: None,
            homes: BTreeMap::new(),
            by_job: BTreeMap::new(),
            open: BTreeSet::new(),
            sightings: Sightings::default(),
            speeds: BTreeMap::new(),
            queue: VecDeque::new(),
            placeable: false,
            pages: Pages::new(String::new(), page_bytes),
            to_order: BTreeSet::new(),
            order_later: BTreeSet::new(),
            outgoing: Outgoing::default(),
            over_capacity: OverCapacity::default(),
        }
    }

    /// The state service's limits have changed; counts from the next epoch on.
    pub fn set_limits(&mut self, state: &StateLimits) {
        self.page_bytes = page_bytes(state);
    }

    /// Puts an attempt on a machine.
    fn track(&mut self, id: &MachineId, attempt: Attempt, tracked: TrackedAttempt) {
        let Some(machine) = self.machines.get_mut(id) else {
            return;
        };
        let job = tracked.task.job;
        machine.attempts.insert(attempt, tracked);
        self.homes.insert(attempt, id.clone());
        self.by_job.entry(job).or_default().insert(attempt);
        self.outgoing.attempts.insert(attempt);
    }

    /// Takes an attempt off its machine for good and tells the leader how it ended.
    fn untrack(
        &mut self,
        id: &MachineId,
        attempt: Attempt,
        how: End,
        now: Time,
    ) -> Option<TrackedAttempt> {
        let tracked = self.machines.get_mut(id)?.attempts.remove(&attempt)?;
        self.homes.remove(&attempt);
        if let Some(attempts) = self.by_job.get_mut(&tracked.task.job) {
            attempts.remove(&attempt);
            if attempts.is_empty() {
                self.by_job.remove(&tracked.task.job);
            }
        }
        self.pages.remove(&attempt, now, how == End::Lost);
        self.outgoing.attempts.remove(&attempt);
        self.outgoing.ended.push(Ended {
            task: tracked.task,
            attempt,
            machine: Some(id.clone()),
            how,
        });
        Some(tracked)
    }

    /// Ends an attempt on a machine without completion.
    fn end(&mut self, id: &MachineId, attempt: Attempt, how: End, now: Time) {
        let Some(tracked) = self.untrack(id, attempt, how, now) else {
            return;
        };
        let Some(machine) = self.machines.get_mut(id) else {
            return;
        };
        // That a replica ends after running well does not speak against its machine.
        let ran_well = tracked.job.as_ref().is_some_and(|job| job.is_service())
            && matches!(tracked.state, AttemptState::Running(since) if now.since(since) >= STEADY_REPLICA_MS);
        if how == End::Failed && !ran_well && machine.failing.insert(tracked.task.job) {
            let jobs = machine.failing.len();
            tracing::info!(task = %tracked.task, machine = %id, jobs, "failed here");
        }
        if tracked.ordered {
            machine.kept.insert(attempt, tracked.session);
        }
        if let Some(band) = tracked.over_capacity {
            let outcome = match how {
                End::Failed => Outcome::Faulted,
                _ => Outcome::Aborted,
            };
            self.over_capacity.ended(band, outcome);
        }
    }

    /// Takes note of what changed about a machine: its room, and what the leader should hear.
    fn look_at(&mut self, id: &MachineId, now: Time) {
        let patience = self.patience;
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
        let rank = |machine: &Machine, free: &Room| Reverse((machine.fullness(free) * 1e9) as u64);
        self.open.remove(&(rank(machine, &before.free), id.clone()));
        if after.usable && after.free.cpus > 0.0 {
            self.open.insert((rank(machine, &after.free), id.clone()));
        }
        if after.known || before.known {
            self.outgoing.machines.insert(id.clone());
        }
        self.placeable = true;
    }

    /// Stops every attempt of a job that is over.
    pub fn stop_job(&mut self, job: JobId, now: Time) {
        let mut back = Vec::new();
        self.queue.retain(|queued| {
            let over = queued.give.task.job == job;
            if over {
                back.push(queued.give.clone());
            }
            !over
        });
        for give in back {
            self.hand_back(&give);
        }
        let attempts = self.by_job.get(&job).cloned().unwrap_or_default();
        for attempt in attempts {
            self.stop(attempt, 0.0, now);
        }
    }

    fn hand_back(&mut self, give: &Give) {
        self.outgoing.ended.push(Ended {
            task: give.task,
            attempt: give.attempt,
            machine: None,
            how: End::Unplaced,
        });
    }

    fn stop(&mut self, attempt: Attempt, grace_s: f64, now: Time) {
        let Some(id) = self.homes.get(&attempt).cloned() else {
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
            self.end(&id, attempt, End::Stopped, now);
        } else if tracked.state == AttemptState::Completed {
            // The job is over: nothing is left to be made durable.
            tracked.durable |= grace_s == 0.0;
        } else {
            tracing::debug!(task = %tracked.task, %attempt, machine = %id, grace_s, "to be stopped");
            tracked.stop = Some(tracked.stop.map_or(grace_s, |before| before.min(grace_s)));
            self.to_order.insert(id.clone());
        }
        self.look_at(&id, now);
    }

    /// The cloud has confirmed that a machine and everything on it are gone. Its name is never used
    /// again, so whatever else is heard of it is a late copy.
    fn returned(&mut self, id: &MachineId, now: Time) {
        self.lose(id, now);
        self.speeds.remove(id);
        let last = (Session(u64::MAX), u64::MAX);
        match self.machines.get_mut(id) {
            Some(machine) => machine.lease.close(last),
            None => self.sightings.note(id, last, now),
        }
    }

    /// Everything on a machine is certainly gone.
    fn lose(&mut self, id: &MachineId, now: Time) {
        let Some(machine) = self.machines.get_mut(id) else {
            return;
        };
        machine.lost = true;
        // Its worker's session is over, and with it what it waits for; only something newer says otherwise.
        machine.lease.close(machine.lease.newest);
        let attempts: Vec<Attempt> = machine
            .attempts
            .iter()
            .filter(|(_, tracked)| tracked.state != AttemptState::Completed)
            .map(|(attempt, _)| *attempt)
            .collect();
        if !attempts.is_empty() {
            let lease = &machine.lease;
            tracing::info!(
                machine = %id, tasks = attempts.len(), renewed_ago_ms = now.since(lease.renewed),
                renewed_by = ?lease.renewed_by, heard_ago_ms = now.since(lease.heard),
                newest = ?lease.newest, "machine lost with its tasks"
            );
        }
        for attempt in attempts {
            self.end(id, attempt, End::Lost, now);
        }
        self.look_at(id, now);
    }

    /// Whether several machines reported to this controller and all of them have stopped.
    pub fn unreached(&self, now: Time) -> bool {
        let mut known = 0;
        for machine in self.machines.values() {
            if machine.info.is_none() || machine.lost {
                continue;
            }
            if now.since(machine.lease.heard) <= self.unreached_ms {
                return false;
            }
            known += 1;
        }
        known >= UNREACHED_MACHINES
    }

    /// What time alone brings about: leases that have run out, machines that have fallen silent,
    /// queued tasks handed back, tasks saved before their machine is taken.
    pub fn tick(&mut self, now: Time) {
        let mut expired = Vec::new();
        let mut look = Vec::new();
        let mut forget = Vec::new();
        let mut noticed = Vec::new();
        let (lease_ms, patience) = (self.lease_ms, self.patience);
        for (id, machine) in self.sweep() {
            if !machine.lost && machine.lease.is_over(lease_ms, now) {
                expired.push(id.clone());
            } else if machine.lost {
                if machine.attempts.values().all(TrackedAttempt::settled) {
                    forget.push(id.clone());
                }
            } else if machine.summarize(now, patience) != machine.summary {
                look.push(id.clone());
            }
            if machine.notice.is_some() && !machine.attempts.is_empty() {
                noticed.push(id.clone());
            }
        }
        for id in expired {
            self.lose(&id, now);
        }
        for id in look {
            self.look_at(&id, now);
        }
        for id in forget {
            self.forget(&id, now);
        }
        for id in noticed {
            self.before_taken(&id, now);
        }
        let mut back = Vec::new();
        self.queue.retain(|queued| {
            let keep = now.since(queued.since) < QUEUED_MS;
            if !keep {
                back.push(queued.give.clone());
            }
            keep
        });
        for give in back {
            self.hand_back(&give);
        }
        self.placeable = true;
    }

    /// The machines that this tick looks at: all of a small part, some of a large one.
    fn sweep(&mut self) -> impl Iterator<Item = (&MachineId, &mut Machine)> {
        let from = self.swept.take().map_or(Unbounded, Excluded);
        let ids = self
            .machines
            .range::<MachineId, _>((from.clone(), Unbounded));
        // The last one of this tick, if others are left after it.
        let mut ids = ids.map(|(id, _)| id).skip(SWEEP_MACHINES - 1);
        let last = ids.next().filter(|_| ids.next().is_some()).cloned();
        self.swept.clone_from(&last);
        let to = last.map_or(Unbounded, Included);
        self.machines.range_mut((from, to))
    }

    /// A lost machine on which nothing matters any more.
    fn forget(&mut self, id: &MachineId, now: Time) {
        let Some(machine) = self.machines.get(id) else {
            return;
        };
        for attempt in machine.attempts.keys().copied().collect::<Vec<_>>() {
            self.untrack(id, attempt, End::Acknowledged, now);
        }
        if let Some(machine) = self.machines.remove(id) {
            self.sightings.note(id, machine.lease.newest, now);
        }
        self.to_order.remove(id);
        self.outgoing.machines.remove(id);
        self.outgoing.forgotten.insert(id.clone());
    }

    /// On a machine that will be taken, what has not been launched goes back at once, and what can
    /// save its progress in time does.
    fn before_taken(&mut self, id: &MachineId, now: Time) {
        let Some(machine) = self.machines.get_mut(id) else {
            return;
        };
        let Some(notice) = machine.notice else {
            return;
        };
        for tracked in machine.attempts.values_mut() {
            let saves = tracked.job.as_ref().is_some_and(|job| {
                job.spec.checkpoint_s > 0.0 && now + (job.spec.save_s * 1_000.0) as u64 <= notice
            });
            if saves && tracked.stop.is_none() && matches!(tracked.state, AttemptState::Running(_))
            {
                tracked.stop = tracked.job.as_ref().map(|job| grace(job));
                self.to_order.insert(id.clone());
            }
        }
        self.give_up_unlaunched(id, now);
        self.look_at(id, now);
    }

    /// What was never launched on a machine goes back: it cannot be reached, or will be taken.
    fn give_up_unlaunched(&mut self, id: &MachineId, now: Time) {
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
            self.end(id, attempt, End::Stopped, now);
        }
    }

    /// The next write of records, of at most so many pages.
    pub fn record_write(&mut self, now: Time, most: usize) -> Vec<PageWrite> {
        self.pages.write(now, most)
    }

    /// The records under way are durable: their attempts may be launched.
    pub fn recorded(&mut self, revision: Option<Revision>) {
        for attempt in self.pages.written(revision) {
            let Some(id) = self.homes.get(&attempt) else {
                continue;
            };
            let machine = self.machines.get_mut(id);
            let tracked = machine.and_then(|machine| machine.attempts.get_mut(&attempt));
            if let Some(tracked) =
                tracked.filter(|tracked| tracked.state == AttemptState::Recording)
            {
                tracked.step(AttemptState::Recorded);
                self.to_order.insert(id.clone());
            }
        }
    }

    /// Pages of records whose versions have to be read.
    pub fn uncertain_records(&self) -> Vec<String> {
        self.pages.uncertain().cloned().collect()
    }

    /// A page's version was read.
    pub fn record_found(&mut self, key: &str, version: Revision) {
        self.pages.found(key, version);
    }

    /// The over-capacity summary since the last one.
    pub fn summary(&mut self) -> String {
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
