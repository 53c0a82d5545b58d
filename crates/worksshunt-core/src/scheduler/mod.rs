//! The leader's work: which waiting task goes to which part.
//!
//! It keeps the open jobs' tasks, the teams' limits and the zones of jobs whose tasks depend on
//! each other. A task counts from hand-out until its attempt is certainly gone. Counts are kept as
//! things change, so an exchange costs what it brings and not what there is.

mod claims;
mod demand;
mod durability;
mod handout;
mod parts;
mod preempt;
mod work;

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use worksshunt_wire::peer::{End, Ended, Phase};
use worksshunt_wire::settings::Facts;
use worksshunt_wire::state::Pair;
use worksshunt_wire::{Attempt, Epoch, JobId, MachineId, NodeName, TaskId};

use crate::constants::{
    ATTEMPTS_PER_EPOCH, ERRORS_BEFORE_BACKOFF, ERROR_BACKOFF_MAX_MS, ERROR_BACKOFF_MS,
    REPLICA_BACKOFF_MAX_MS, SILENT_RETURN_LEAST_MS, SILENT_RETURN_REPORTS, STEADY_REPLICA_MS,
};
use crate::jobs::{completions_key, read_completions, Completions, Job, Mirror, DONE};
use crate::objectives::Objectives;
use crate::pages::{page_bytes, Pages};
use crate::placement::owner;
use crate::quota::Quota;
use crate::records::{Recorded, RECORDS};
use crate::time::Time;

use claims::Claim;
pub use claims::{claim_key, CLAIMS};
pub use demand::{Demand, Expected, Forecast};
pub use durability::Due;
use handout::Round;
pub use parts::MachineView;
use parts::{Down, PartView};
use work::Work;

/// An attempt that may be on a machine or on its way to one.
#[derive(Debug)]
struct Out {
    task: TaskId,
    /// None for an attempt of a job that was done before this epoch, and so uses nothing.
    job: Option<Rc<Job>>,
    part: NodeName,
    phase: Phase,
    /// Since when it runs, once it was seen running.
    running_since: Option<Time>,
    machine: Option<MachineId>,
    zone: Option<String>,
    /// The machine its room is taken from until its owner has chosen one.
    reserved: Option<MachineId>,
    claimed: Option<MachineId>,
    /// It is to be stopped, to make room.
    preempted: bool,
}

impl Out {
    fn new(task: TaskId, part: NodeName) -> Out {
        Out {
            task,
            job: None,
            part,
            phase: Phase::Queued,
            running_since: None,
            machine: None,
            zone: None,
            reserved: None,
            claimed: None,
            preempted: false,
        }
    }

    fn ran_ms(&self, now: Time) -> u64 {
        self.running_since.map_or(0, |since| now.since(since))
    }
}

/// The leader's state.
#[derive(Debug)]
pub struct Scheduler {
    epoch: Epoch,
    /// Attempts numbered in this epoch, and how many there may be.
    attempts: u64,
    attempts_most: u64,
    quota: Quota,
    objectives: Objectives,
    jobs: BTreeMap<JobId, Work>,
    outs: BTreeMap<Attempt, Out>,
    parts: BTreeMap<NodeName, PartView>,
    claims: BTreeMap<MachineId, Claim>,
    round: Round,
    due: BTreeSet<Due>,
    pages: Pages<Completions>,
    /// Machines' records of former epochs, with the attempts that may still be on machines.
    former: Pages<Recorded>,
    /// Which of the two was first in the last write.
    former_first: bool,
    /// How long a machine with replicas takes no tasks before it is given up.
    silent_return_ms: u64,
    /// Machines that are to go back, as the fleet has it.
    drains: BTreeSet<MachineId>,
    /// When a spot machine last took tasks; the beginning of the epoch before that.
    spot_seen: Time,
    /// Open jobs of a form that this version does not understand, whose attempts are let be.
    odd: BTreeSet<JobId>,
    /// Open services.
    services: BTreeSet<JobId>,
    /// Classes of which there has been a job.
    seen: BTreeSet<String>,
    /// A replica has found no room since others were last stopped.
    replica_stuck: bool,
}

/// What a new leader finds in the store.
#[derive(Debug, Default)]
pub struct Found {
    /// Pages of machines' records.
    pub records: Vec<(Pair, Vec<Recorded>)>,
    /// Keys of those among them that list more than that.
    pub stale: BTreeSet<String>,
    /// Pages of completions.
    pub done: Vec<Pair>,
    /// Claims.
    pub claims: Vec<Pair>,
    /// Jobs on record that were cancelled. Until their attempts are certainly gone those use what they use.
    pub cancelled: BTreeMap<JobId, Rc<Job>>,
}

impl Scheduler {
    /// Takes over at the start of an epoch, from what is in the store.
    pub fn load(
        now: Time,
        epoch: Epoch,
        members: &[NodeName],
        facts: &Facts,
        mirror: &Mirror,
        found: &Found,
    ) -> Scheduler {
        let mut this = Scheduler {
            epoch,
            attempts: 0,
            attempts_most: ATTEMPTS_PER_EPOCH - 1,
            quota: Quota::new(&facts.teams),
            objectives: Objectives::new(&facts.objectives),
            jobs: BTreeMap::new(),
            outs: BTreeMap::new(),
            parts: members
                .iter()
                .map(|name| (name.clone(), PartView::default()))
                .collect(),
            claims: BTreeMap::new(),
            round: Round::default(),
            due: BTreeSet::new(),
            pages: Pages::new(DONE.to_owned(), page_bytes(&facts.state)),
            former: Pages::new(RECORDS.to_owned(), page_bytes(&facts.state)),
            former_first: false,
            silent_return_ms: ((facts.workers.report_s * 1_000.0 * SILENT_RETURN_REPORTS) as u64)
                .max(SILENT_RETURN_LEAST_MS),
            drains: BTreeSet::new(),
            spot_seen: now,
            odd: BTreeSet::new(),
            services: BTreeSet::new(),
            seen: BTreeSet::new(),
            replica_stuck: false,
        };
        for (id, open) in mirror.open() {
            this.open(*id, &open.job);
        }
        for pair in &found.done {
            this.load_completions(now, pair);
        }
        let recorded = found.records.iter().flat_map(|(_, records)| records);
        let ids = recorded.map(|record| record.task.job);
        this.odd = ids.filter(|id| mirror.is_odd(*id)).collect();
        for (pair, records) in &found.records {
            this.load_records(now, pair, records, members, &found.cancelled);
        }
        for key in &found.stale {
            this.former.rewrite(key, now);
        }
        // Claims of former leaders lapse.
        for pair in &found.claims {
            this.due.insert(Due::Remove(pair.key.clone()));
        }
        let complete: Vec<JobId> = this
            .jobs
            .iter()
            .filter(|(_, work)| work.complete())
            .map(|(id, _)| *id)
            .collect();
        this.due.extend(complete.into_iter().map(Due::Finish));
        this
    }

    fn load_completions(&mut self, now: Time, pair: &Pair) {
        let Some(entries) = read_completions(&pair.value) else {
            // Results are kept by the platform: such tasks run once more and end at once.
            tracing::error!(key = pair.key, "completions of another version are dropped");
            self.due.insert(Due::Remove(pair.key.clone()));
            return;
        };
        let mut over = Vec::new();
        for (key, entry) in &entries {
            let Some(work) = self.jobs.get_mut(&key.0) else {
                over.push(*key);
                continue;
            };
            for task in &entry.tasks {
                work.finish(*task);
            }
            for (zone, tasks) in &entry.zones {
                work.done.count_zone(zone, *tasks);
            }
            work.served = Some(now);
        }
        self.pages.adopt(pair.key.clone(), pair.version, entries);
        for key in over {
            self.pages.remove(&key, now, false);
        }
    }

    fn load_records(
        &mut self,
        now: Time,
        pair: &Pair,
        records: &[Recorded],
        members: &[NodeName],
        cancelled: &BTreeMap<JobId, Rc<Job>>,
    ) {
        let entries = records.iter().map(|r| (r.attempt, r.clone())).collect();
        self.former.adopt(pair.key.clone(), pair.version, entries);
        for record in records {
            let Some(part) = owner(&record.machine, members) else {
                continue;
            };
            let mut out = Out::new(record.task, part.clone());
            // Of a task that is done no other attempt was made, and this one uses nothing any more.
            let done = self.jobs.get(&record.task.job);
            let done = done.is_some_and(|work| work.done.contains(record.task.index));
            out.phase = if done {
                Phase::Completed
            } else {
                Phase::Placed
            };
            out.machine = Some(record.machine.clone());
            out.job = cancelled.get(&record.task.job).cloned();
            self.insert_out(record.attempt, out);
            if let Some(work) = self.jobs.get_mut(&record.task.job) {
                work.served = Some(now);
            }
        }
    }

    /// Numbers at most so many attempts, for tests of what follows.
    pub fn limit_attempts(&mut self, most: u64) {
        self.attempts_most = most.min(ATTEMPTS_PER_EPOCH - 1);
    }

    /// Whether there are no more numbers for attempts in this epoch. The next one's must not be used in it.
    pub fn numbers_used_up(&self) -> bool {
        self.attempts >= self.attempts_most
    }

    /// A job was accepted.
    pub fn open(&mut self, id: JobId, job: &Rc<Job>) {
        self.jobs
            .entry(id)
            .or_insert_with(|| Work::new(Rc::clone(job), &self.objectives));
        if job.is_service() {
            self.services.insert(id);
        }
        if !self.seen.contains(&job.spec.class) {
            self.seen.insert(job.spec.class.clone());
        }
        self.round.stir();
    }

    /// These machines are to go back: nothing is handed out to them, whether or not their owners know.
    pub fn drain(&mut self, drains: BTreeSet<MachineId>) {
        self.drains = drains;
    }

    /// Another round may hand something out.
    pub fn stir(&mut self) {
        self.round.stir();
    }

    /// A job is over.
    pub fn close(&mut self, id: JobId, now: Time) {
        let Some(work) = self.jobs.remove(&id) else {
            return;
        };
        self.services.remove(&id);
        let last = completions_key(TaskId {
            job: id,
            index: work.job.spec.tasks - 1,
        });
        for chunk in 0..=last.1 {
            self.pages.remove(&(id, chunk), now, false);
        }
        for attempt in work.active.into_values().flatten() {
            self.tell(attempt, |phase| match phase {
                Phase::Completed => Down::MarkDurable(attempt),
                _ => Down::Stop(attempt),
            });
        }
        self.due.remove(&Due::Finish(id));
        self.release_claims_of(id);
        self.round.stir();
    }

    /// Leaves word for the owner of an attempt.
    fn tell(&mut self, attempt: Attempt, what: impl FnOnce(Phase) -> Down) {
        if let Some(out) = self.outs.get(&attempt) {
            if let Some(part) = self.parts.get_mut(&out.part) {
                part.post(what(out.phase));
            }
        }
    }

    fn insert_out(&mut self, attempt: Attempt, mut out: Out) {
        if self.outs.contains_key(&attempt) {
            return;
        }
        if let Some(work) = self.jobs.get_mut(&out.task.job) {
            out.job = Some(Rc::clone(&work.job));
            work.activate(out.task.index, attempt);
        }
        if let (Some(job), true) = (&out.job, out.phase != Phase::Completed) {
            self.quota.take(job);
        }
        self.outs.insert(attempt, out);
    }

    /// An attempt is certainly gone, or never left.
    fn remove_out(&mut self, attempt: Attempt, how: End, now: Time) -> Option<Out> {
        self.set_phase(attempt, Phase::Queued, 0, now);
        let out = self.outs.remove(&attempt)?;
        if let Some(job) = &out.job {
            // A completed attempt gave its share back when it completed.
            if out.phase != Phase::Completed {
                self.quota.give_back(job);
            }
        }
        if let (Some(part), Some(job)) = (self.parts.get_mut(&out.part), &out.job) {
            part.unreserve(out.reserved.as_ref(), job);
        }
        if let Some(work) = self.jobs.get_mut(&out.task.job) {
            work.deactivate(out.task.index, attempt);
        }
        self.former.remove(&attempt, now, how == End::Lost);
        self.round.stir();
        Some(out)
    }

    /// The one place where an attempt's phase changes. A completed attempt stays so.
    fn set_phase(&mut self, attempt: Attempt, phase: Phase, ran_ms: u64, now: Time) {
        let Some(out) = self.outs.get_mut(&attempt) else {
            return;
        };
        if out.phase == Phase::Completed || out.phase == phase {
            return;
        }
        if let Some(work) = self.jobs.get_mut(&out.task.job) {
            match (out.phase, phase) {
                (Phase::Running, _) => work.running = work.running.saturating_sub(1),
                (_, Phase::Running) => work.running += 1,
                _ => {}
            }
        }
        out.phase = phase;
        out.running_since = (phase == Phase::Running).then(|| now - ran_ms);
    }

    /// Done and running tasks of the jobs that have any.
    pub fn progress(&self) -> Vec<(JobId, u32, u32)> {
        self.jobs
            .iter()
            .map(|(id, work)| (*id, work.done.count(), work.running))
            .filter(|(_, done, running)| done + running > 0)
            .collect()
    }

    fn wanted(&self, task: TaskId) -> bool {
        let work = self.jobs.get(&task.job);
        work.is_some_and(|work| !work.done.contains(task.index)) || self.odd.contains(&task.job)
    }

    fn is_durable(&self, task: TaskId) -> bool {
        self.jobs.get(&task.job).is_none_or(|work| {
            work.done.contains(task.index) && !work.undurable.contains(&task.index)
        })
    }

    fn completed(&mut self, attempt: Attempt, task: TaskId, zone: Option<&str>) {
        let Some(work) = self.jobs.get_mut(&task.job) else {
            return;
        };
        if !work.finish(task.index) {
            return;
        }
        work.undurable.insert(task.index);
        work.errors = 0;
        let mut entry = Completions {
            tasks: BTreeSet::from([task.index]),
            zones: BTreeMap::new(),
        };
        if let (true, Some(zone)) = (work.job.zones_matter(), zone) {
            work.done.count_zone(zone, 1);
            entry.zones.insert(zone.to_owned(), 1);
        }
        let others = work.active.get(&task.index).cloned().unwrap_or_default();
        if work.complete() {
            self.due.insert(Due::Finish(task.job));
        } else {
            self.pages.add(completions_key(task), entry);
        }
        for other in others.into_iter().filter(|other| *other != attempt) {
            self.tell(other, |_| Down::Stop(other));
        }
    }

    /// An attempt failed after running so long.
    fn failed(&mut self, now: Time, ended: &Ended, ran_ms: u64) {
        let Some(work) = self.jobs.get_mut(&ended.task.job) else {
            return;
        };
        let is_service = work.job.is_service();
        // A replica that ran well is no sign that the next will not.
        if is_service && ran_ms >= STEADY_REPLICA_MS {
            work.errors = 0;
        }
        work.errors += 1;
        tracing::info!(task = %ended.task, machine = ?ended.machine, errors = work.errors, "task failed");
        // A job that fails everywhere must not keep machines busy with it.
        if let Some(doublings) = work.errors.checked_sub(ERRORS_BEFORE_BACKOFF) {
            let most = match is_service {
                true => REPLICA_BACKOFF_MAX_MS,
                false => ERROR_BACKOFF_MAX_MS,
            };
            let wait = ERROR_BACKOFF_MS
                .saturating_mul(1 << doublings.min(16))
                .min(most);
            work.not_before = now + wait;
        }
    }

    /// Writes what is going on to the log.
    pub fn log_load(&self) {
        let usable = self.machines().filter(|view| view.up.usable);
        let (machines, free) =
            usable.fold((0, 0.0), |(n, free), view| (n + 1, free + view.room.cpus));
        let ordinary = self
            .machines()
            .filter(|view| view.up.usable && !view.up.spot);
        let (ordinary, ordinary_free) =
            ordinary.fold((0, 0.0), |(n, free), view| (n + 1, free + view.room.cpus));
        let waiting: u32 = self.jobs.values().map(Work::waiting).sum();
        let stuck = self
            .jobs
            .values()
            .filter(|w| w.stuck_since.is_some())
            .count();
        let in_phase = |phase| self.outs.values().filter(|o| o.phase == phase).count();
        tracing::debug!(
            jobs = self.jobs.len(), waiting, stuck, machines, free, ordinary, ordinary_free,
            queued = in_phase(Phase::Queued), placed = in_phase(Phase::Placed),
            running = in_phase(Phase::Running), completed = in_phase(Phase::Completed),
            used = %self.quota, claims = self.claims.len(),
            "load"
        );
    }
}
