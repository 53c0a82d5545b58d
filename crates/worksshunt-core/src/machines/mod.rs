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
mod machine;
mod reports;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;

use worksshunt_wire::peer::{End, Ended, Give};
use worksshunt_wire::settings::{StateLimits, Workers};
use worksshunt_wire::{Attempt, Epoch, JobId, MachineId, NodeName, Revision, Session};

use crate::constants::{
    AUTHORITY_MS, CLOCK_DRIFT, LEASE_MARGIN_MS, QUEUED_MS, SILENT_REPORTS, STEADY_REPLICA_MS,
    UNREACHED_MACHINES, UNREACHED_REPORTS, UNREACHED_RETURN_LEASES,
};
use crate::jobs::{Job, Mirror};
use crate::pages::{page_bytes, PageWrite, Pages};
use crate::placement::{choose, Candidate, Outcome, OverCapacity, Parameters, Room, Speed};
use crate::records::{page_prefix, Recorded};
use crate::time::{Budget, Time};

use exchange::Outgoing;
use machine::{AttemptState, Machine, Patience, Reach, Summary, TrackedAttempt};
use reports::Sightings;
pub use reports::{DirectOrders, OrdersReply};

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

    /// Starts an epoch with the records found at its start. Machines that were this controller's in
    /// the epoch just before as well (`was_mine`) are kept as they are, with what is known of their
    /// workers and leases: nobody else had a say in them. Measured speeds are kept in any case.
    pub fn load(
        &mut self,
        now: Time,
        me: (Epoch, &NodeName),
        records: &[Recorded],
        mirror: &Mirror,
        is_mine: impl Fn(&MachineId) -> bool,
        was_mine: impl Fn(&MachineId) -> bool,
    ) {
        let mut before = std::mem::take(&mut self.machines);
        for (id, machine) in &before {
            self.sightings.note(id, machine.newest);
        }
        before.retain(|id, _| is_mine(id) && was_mine(id));
        self.clear();
        self.pages = Pages::new(page_prefix(me.0, me.1), self.page_bytes);
        let mut by_machine: BTreeMap<&MachineId, Vec<&Recorded>> = BTreeMap::new();
        for record in records.iter().filter(|r| is_mine(&r.machine)) {
            by_machine.entry(&record.machine).or_default().push(record);
        }
        for (id, record) in by_machine {
            let machine = match before.remove(id) {
                Some(machine) => self.carried_over(now, id, machine, &record),
                // A former owner may have renewed the lease until its authority ended, which was
                // at most this long after it last saw its epoch confirmed, and so before now plus
                // this.
                None => self.inherited(now, now + AUTHORITY_MS, id, &record, mirror),
            };
            self.machines.insert(id.clone(), machine);
        }
        for (id, machine) in before {
            let machine = self.carried_over(now, &id, machine, &[]);
            self.machines.insert(id, machine);
        }
        for (id, machine) in &self.machines {
            for (attempt, held) in &machine.attempts {
                self.homes.insert(*attempt, id.clone());
                let attempts = self.by_job.entry(held.task.job).or_default();
                attempts.insert(*attempt);
                self.outgoing.attempts.insert(*attempt);
            }
        }
        let ids: Vec<MachineId> = self.machines.keys().cloned().collect();
        for id in ids {
            self.to_order.insert(id.clone());
            self.outgoing.machines.insert(id.clone());
            self.look_at(&id, now);
        }
    }

    /// A machine of a former owner.
    fn inherited(
        &mut self,
        now: Time,
        renewed: Time,
        id: &MachineId,
        record: &[&Recorded],
        mirror: &Mirror,
    ) -> Machine {
        let mut machine = Machine::new(now, renewed);
        machine.newest = self.sightings.newest(id);
        for record in record {
            let job = mirror.get(record.task.job).map(|open| Rc::clone(&open.job));
            // What a later version's job is about is not known, so it is let be.
            let over = job.is_none() && !mirror.is_odd(record.task.job);
            let stop = over.then_some(0.0);
            let mut held = TrackedAttempt::new(
                record.task,
                job,
                AttemptState::Inherited,
                record.session,
                now,
            );
            held.stop = stop;
            machine.attempts.insert(record.attempt, held);
        }
        machine
    }

    /// A machine that goes on into the next epoch under the same owner. What is not on the record
    /// was never launched, and the new leader knows nothing of it: it is dropped. What is on the
    /// record and not held is gone.
    fn carried_over(
        &mut self,
        now: Time,
        id: &MachineId,
        mut machine: Machine,
        record: &[&Recorded],
    ) -> Machine {
        let recorded: BTreeSet<Attempt> = record.iter().map(|r| r.attempt).collect();
        machine
            .attempts
            .retain(|attempt, _| recorded.contains(attempt));
        for held in machine.attempts.values_mut() {
            if held.state == AttemptState::Recording {
                held.step(AttemptState::Recorded);
            }
        }
        for gone in record
            .iter()
            .filter(|r| !machine.attempts.contains_key(&r.attempt))
        {
            self.outgoing.ended.push(Ended {
                task: gone.task,
                attempt: gone.attempt,
                machine: Some(id.clone()),
                how: End::Lost,
            });
        }
        // Orders under way were sent under the old token; whether they arrive stays open.
        machine.ordering = false;
        machine.draining = false;
        machine.claimed = false;
        machine.unheeded = 0;
        machine.summary = Summary::default();
        if let Reach::Unproven { .. } = machine.reach {
            machine.reach(Reach::Unproven { since: now });
        }
        machine
    }

    /// Drops everything: this controller is out.
    pub fn clear(&mut self) {
        for (id, machine) in std::mem::take(&mut self.machines) {
            self.sightings.note(&id, machine.newest);
        }
        self.homes.clear();
        self.by_job.clear();
        self.open.clear();
        self.queue.clear();
        self.to_order.clear();
        self.order_later.clear();
        self.pages = Pages::new(String::new(), self.page_bytes);
        self.outgoing = Outgoing::default();
    }

    /// Puts an attempt on a machine.
    fn track(&mut self, id: &MachineId, attempt: Attempt, held: TrackedAttempt) {
        let Some(machine) = self.machines.get_mut(id) else {
            return;
        };
        let job = held.task.job;
        machine.attempts.insert(attempt, held);
        self.homes.insert(attempt, id.clone());
        self.by_job.entry(job).or_default().insert(attempt);
        self.outgoing.attempts.insert(attempt);
    }

    /// Takes an attempt off its machine for good and tells the leader how it ended.
    fn drop_held(
        &mut self,
        id: &MachineId,
        attempt: Attempt,
        how: End,
        now: Time,
    ) -> Option<TrackedAttempt> {
        let held = self.machines.get_mut(id)?.attempts.remove(&attempt)?;
        self.homes.remove(&attempt);
        if let Some(attempts) = self.by_job.get_mut(&held.task.job) {
            attempts.remove(&attempt);
            if attempts.is_empty() {
                self.by_job.remove(&held.task.job);
            }
        }
        self.pages.remove(&attempt, now, how == End::Lost);
        self.outgoing.attempts.remove(&attempt);
        self.outgoing.ended.push(Ended {
            task: held.task,
            attempt,
            machine: Some(id.clone()),
            how,
        });
        Some(held)
    }

    /// Ends an attempt on a machine without completion.
    fn end(&mut self, id: &MachineId, attempt: Attempt, how: End, now: Time) {
        let Some(held) = self.drop_held(id, attempt, how, now) else {
            return;
        };
        let Some(machine) = self.machines.get_mut(id) else {
            return;
        };
        // That a replica ends after running well does not speak against its machine.
        let ran_well = held.job.as_ref().is_some_and(|job| job.is_service())
            && matches!(held.state, AttemptState::Running(since) if now.since(since) >= STEADY_REPLICA_MS);
        if how == End::Error && !ran_well && machine.failing.insert(held.task.job) {
            let jobs = machine.failing.len();
            tracing::info!(task = %held.task, machine = %id, jobs, "failed here");
        }
        if held.ordered {
            machine.kept.insert(attempt, held.session);
        }
        if let Some(band) = held.over_capacity {
            let outcome = match how {
                End::Error => Outcome::Faulted,
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
            how: End::HandedBack,
        });
    }

    fn stop(&mut self, attempt: Attempt, grace_s: f64, now: Time) {
        let Some(id) = self.homes.get(&attempt).cloned() else {
            return;
        };
        let Some(held) = self
            .machines
            .get_mut(&id)
            .and_then(|machine| machine.attempts.get_mut(&attempt))
        else {
            return;
        };
        if held.never_launched() {
            self.end(&id, attempt, End::Stopped, now);
        } else if held.state == AttemptState::Completed {
            // The job is over: nothing is left to be made durable.
            held.durable |= grace_s == 0.0;
        } else {
            held.stop = Some(held.stop.map_or(grace_s, |before| before.min(grace_s)));
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
            Some(machine) => machine.newest = last,
            None => self.sightings.note(id, last),
        }
    }

    /// Everything on a machine is certainly gone.
    fn lose(&mut self, id: &MachineId, now: Time) {
        let Some(machine) = self.machines.get_mut(id) else {
            return;
        };
        machine.lost = true;
        let attempts: Vec<Attempt> = machine
            .attempts
            .iter()
            .filter(|(_, held)| held.state != AttemptState::Completed)
            .map(|(attempt, _)| *attempt)
            .collect();
        if !attempts.is_empty() {
            tracing::info!(machine = %id, tasks = attempts.len(), "machine lost with its tasks");
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
            if now.since(machine.heard) <= self.unreached_ms {
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
        for (id, machine) in &mut self.machines {
            if !machine.lost && now > machine.renewed + self.lease_ms {
                expired.push(id.clone());
            } else if machine.lost {
                if machine.attempts.values().all(TrackedAttempt::settled) {
                    forget.push(id.clone());
                }
            } else if machine.summarize(now, self.patience) != machine.summary {
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

    /// A lost machine on which nothing matters any more.
    fn forget(&mut self, id: &MachineId, now: Time) {
        let Some(machine) = self.machines.get(id) else {
            return;
        };
        for attempt in machine.attempts.keys().copied().collect::<Vec<_>>() {
            self.drop_held(id, attempt, End::Settled, now);
        }
        if let Some(machine) = self.machines.remove(id) {
            self.sightings.note(id, machine.newest);
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
        for held in machine.attempts.values_mut() {
            let saves = held.job.as_ref().is_some_and(|job| {
                job.spec.checkpoint_s > 0.0 && now + (job.spec.save_s * 1_000.0) as u64 <= notice
            });
            if saves && held.stop.is_none() && matches!(held.state, AttemptState::Running(_)) {
                held.stop = held.job.as_ref().map(|job| grace(job));
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
            .filter(|(_, held)| held.never_launched())
            .map(|(attempt, _)| *attempt)
            .collect();
        for attempt in unlaunched {
            self.end(id, attempt, End::Stopped, now);
        }
    }

    /// Puts queued tasks on machines by the design, as far as the budget goes.
    pub fn place(&mut self, now: Time, mirror: &Mirror, budget: &Budget) {
        if !self.placeable {
            return;
        }
        // The leader, which knows of all parts, hands out nothing for ordinary machines that are kept.
        let spot_up = |m: &Machine| m.summary.usable && m.info.as_ref().is_some_and(|i| i.spot);
        let kept =
            !self.queue.is_empty() && mirror.any_stands() && self.machines.values().any(spot_up);
        // Equal tasks of a job find no machine either.
        let mut in_vain: BTreeSet<(JobId, Option<String>, Option<MachineId>)> = BTreeSet::new();
        for _ in 0..self.queue.len() {
            if budget.spent() {
                return;
            }
            let Some(queued) = self.queue.pop_front() else {
                break;
            };
            let give = &queued.give;
            let shape = (give.task.job, give.zone.clone(), give.claimed.clone());
            if in_vain.contains(&shape) || !self.place_one(now, mirror, kept, give) {
                in_vain.insert(shape);
                self.queue.push_back(queued);
            }
        }
        self.placeable = false;
    }

    fn place_one(&mut self, now: Time, mirror: &Mirror, kept: bool, give: &Give) -> bool {
        let Some(open) = mirror.get(give.task.job) else {
            return false;
        };
        let job = Rc::clone(&open.job);
        let estimate_s = job.spec.estimate_s;
        // A machine on which the job has failed gets it again only if no other fits.
        let choice = choose(estimate_s, self.candidates(now, give, &job, kept, false))
            .or_else(|| choose(estimate_s, self.candidates(now, give, &job, kept, true)));
        let Some(choice) = choice else {
            return false;
        };
        let band = choice
            .over_capacity
            .then(|| self.parameters.band(estimate_s));
        if let Some(band) = band {
            self.over_capacity.placed(band);
            tracing::debug!(task = %give.task, machine = %choice.machine, "placed over capacity");
        }
        let session = self
            .machines
            .get(&choice.machine)
            .map_or(Session(0), |machine| machine.newest.0);
        let mut held =
            TrackedAttempt::new(give.task, Some(job), AttemptState::Recording, session, now);
        held.over_capacity = band;
        self.track(&choice.machine, give.attempt, held);
        let record = Recorded {
            machine: choice.machine.clone(),
            task: give.task,
            attempt: give.attempt,
            session,
        };
        self.pages.add(give.attempt, record);
        self.look_at(&choice.machine, now);
        true
    }

    /// Machines that fit the task, the fullest first.
    fn candidates<'a>(
        &'a self,
        now: Time,
        give: &'a Give,
        job: &'a Job,
        kept: bool,
        again: bool,
    ) -> impl Iterator<Item = Candidate<'a>> + 'a {
        let need = Room::of_job(job);
        self.open.iter().filter_map(move |(_, id)| {
            let machine = self.machines.get(id)?;
            let info = machine.info.as_ref()?;
            let mine = match &give.claimed {
                Some(claimed) => claimed == id,
                None => !machine.claimed,
            };
            let fits = mine
                && machine.summary.free.holds(&need)
                && machine.usable(now, self.patience)
                && again == machine.failing.contains(&job.spec.id)
                && job.allows(&info.machine_type, &info.zone, info.spot)
                && !job.leaves(info.spot, kept)
                && give.zone.as_ref().is_none_or(|zone| *zone == info.zone);
            let speed = self.speeds.get(id).copied().unwrap_or(Speed::UNMEASURED);
            fits.then(|| Candidate {
                id,
                capacity: self
                    .parameters
                    .capacity(speed.value(self.parameters.start_speed)),
            })
        })
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
            let held = machine.and_then(|machine| machine.attempts.get_mut(&attempt));
            if let Some(held) = held.filter(|held| held.state == AttemptState::Recording) {
                held.step(AttemptState::Recorded);
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
