//! The leader's work: which waiting task goes to which part.
//!
//! It keeps the open jobs' tasks, the teams' limits and the zones of jobs whose tasks depend on
//! each other. A task counts from hand-out until its attempt is certainly gone. Counts are kept as
//! things change, so an exchange costs what it brings and not what there is.

mod claims;
mod handout;
mod parts;
mod preempt;
mod work;

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use worksshunt_wire::peer::{End, Ended, Phase};
use worksshunt_wire::settings::Facts;
use worksshunt_wire::state::Pair;
use worksshunt_wire::{Attempt, Epoch, JobId, MachineId, NodeName, Revision, TaskId};

use crate::constants::{
    ERRORS_BEFORE_BACKOFF, ERROR_BACKOFF_MAX_MS, ERROR_BACKOFF_MS, LATELY_LEAST_MS, LATELY_MS,
    LEFT_AT_LEAST, REPLICA_BACKOFF_MAX_MS, SILENT_RETURN_LEAST_MS, SILENT_RETURN_REPORTS,
    SPOT_PATIENCE_MS, STANDBY_SHARE, STEADY_REPLICA_MS,
};
use crate::jobs::{completions_key, read_completions, Completions, Job, Mirror, DONE};
use crate::objectives::Objectives;
use crate::pages::{page_bytes, PageWrite, Pages};
use crate::placement::owner;
use crate::quota::Quota;
use crate::records::{Recorded, RECORDS};
use crate::time::{Now, Time};

use claims::Claim;
pub use claims::{claim_key, CLAIMS};
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

/// What the leader wants written apart from completions, the most useful first.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum Due {
    /// All tasks of the job are done.
    Finish(JobId),
    /// A claim on a machine, or its end.
    Claim(MachineId),
    /// A key of a former epoch that nothing needs any more.
    Remove(String),
}

/// A group of waiting tasks, for the fleet.
#[derive(Debug, Clone)]
pub struct Demand {
    /// The job.
    pub job: Rc<Job>,
    /// Tasks that wait and that its team's limit lets run beside those that run.
    pub tasks: u32,
    /// All tasks that wait.
    pub waiting: u32,
    /// Tasks handed out.
    pub running: u32,
    /// Estimated seconds the tasks handed out still take, summed up.
    pub running_s: f64,
    /// Seconds its tasks may wait.
    pub slack_s: f64,
    /// The zone they must be in.
    pub zone: Option<String>,
    /// Zones that they must not be in.
    pub full_zones: BTreeSet<String>,
    /// Whether they leave ordinary machines to others.
    pub spot_only: bool,
    /// Whether there are no spot machines to wait for.
    pub spotless: bool,
}

/// What is likely to be asked for next and has to start within seconds.
#[derive(Debug, Clone, Default)]
pub struct Forecast {
    /// By class of services.
    pub classes: Vec<Expected>,
    /// Processors to stand by for what nothing is known of yet.
    pub standby_cpus: f64,
    /// Silent machines with replicas on them, for which nobody should wait until their leases end.
    pub silent: Vec<MachineId>,
}

/// What is likely to be asked for next of a class of services.
#[derive(Debug, Clone)]
pub struct Expected {
    /// One of the jobs.
    pub job: Rc<Job>,
    /// Replicas of the largest.
    pub largest: u32,
    /// Those that came within [`LATELY_MS`].
    pub jobs: u32,
    /// Their replicas.
    pub lately: u32,
    /// Since when they have been coming, milliseconds; that at the most.
    pub over_ms: u64,
}

/// The leader's state.
#[derive(Debug)]
pub struct Scheduler {
    epoch: Epoch,
    attempts: u64,
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
                Phase::Completed => Down::Durable(attempt),
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

    // --- what is written ------------------------------------------------------------------------

    /// What waits to be written apart from completions, the most useful first.
    pub fn due(&self) -> impl Iterator<Item = &Due> {
        self.due.iter()
    }

    /// A key of a former epoch is gone.
    pub fn removed(&mut self, key: &str) {
        self.due.remove(&Due::Remove(key.to_owned()));
    }

    /// A job could not be called done: its user was faster, or it is done already.
    pub fn not_finished(&mut self, id: JobId) {
        self.due.remove(&Due::Finish(id));
    }

    /// The next write of completions, and of records of former epochs, of at most so many pages. They
    /// take turns at being first: on a busy day there are always completions to be written, and records
    /// that nothing is dropped from mislead the next epoch by all that has ended since.
    pub fn pages_write(&mut self, now: Time, most: usize) -> Vec<PageWrite> {
        self.former_first = !self.former_first;
        let mut writes = Vec::new();
        if self.former_first {
            writes = self.former.write(now, most);
        }
        writes.extend(self.pages.write(now, most - writes.len()));
        if !self.former_first {
            writes.extend(self.former.write(now, most - writes.len()));
        }
        writes
    }

    /// The pages under way are durable.
    pub fn pages_written(&mut self, revision: Option<Revision>) {
        self.former.written(revision);
        for (job, chunk) in self.pages.written(revision) {
            self.chunk_durable(job, chunk);
        }
    }

    fn chunk_durable(&mut self, job: JobId, chunk: u32) {
        // What completed since the write began is pending again and stays undurable.
        let pending = self
            .pages
            .waiting(&(job, chunk))
            .cloned()
            .unwrap_or_default();
        // All of a complete job becomes durable with its end.
        let Some(work) = self.jobs.get_mut(&job).filter(|work| !work.complete()) else {
            return;
        };
        let in_chunk = |index: &u32| completions_key(TaskId { job, index: *index }).1 == chunk;
        let written: Vec<u32> = work
            .undurable
            .iter()
            .copied()
            .filter(|index| in_chunk(index) && !pending.tasks.contains(index))
            .collect();
        let mut attempts = Vec::new();
        for index in written {
            work.undurable.remove(&index);
            attempts.extend(work.active.get(&index).into_iter().flatten().copied());
        }
        for attempt in attempts {
            if self
                .outs
                .get(&attempt)
                .is_some_and(|o| o.phase == Phase::Completed)
            {
                self.tell(attempt, |_| Down::Durable(attempt));
            }
        }
    }

    /// Pages whose versions have to be read.
    pub fn uncertain_pages(&self) -> Vec<String> {
        let uncertain = self.pages.uncertain().chain(self.former.uncertain());
        uncertain.cloned().collect()
    }

    /// A page's version was read.
    pub fn page_found(&mut self, key: &str, version: Revision) {
        self.pages.found(key, version);
        self.former.found(key, version);
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

    // --- what the fleet asks --------------------------------------------------------------------

    /// Open jobs in order of service, with as many waiting tasks as the teams' limits let run.
    pub fn demand(&self, now: Now) -> Vec<Demand> {
        let mut quota = self.quota.clone();
        let mut works: Vec<&Work> = self
            .jobs
            .values()
            .filter(|work| work.not_before <= now.steady)
            .collect();
        works.sort_by_cached_key(|work| work.rank(now.wall_ms));
        let mut ran: BTreeMap<JobId, (u32, f64)> = BTreeMap::new();
        for out in self.outs.values().filter(|o| o.phase != Phase::Completed) {
            let Some(job) = &out.job else { continue };
            let estimate_s = job.spec.estimate_s;
            let ran_s = out.ran_ms(now.steady) as f64 / 1_000.0;
            let left = (estimate_s - ran_s).max(estimate_s * LEFT_AT_LEAST);
            let sum = ran.entry(out.task.job).or_default();
            sum.0 += 1;
            sum.1 += left;
        }
        let has_spot = self.has_spot(now.steady);
        let kept = self.keeps_ordinary(now.steady);
        let mut demand = Vec::new();
        for work in works {
            let (running, running_s) = ran.get(&work.job.spec.id).copied().unwrap_or_default();
            let waiting = work.waiting();
            let tasks = waiting.min(quota.admitted(&work.job));
            quota.take_many(&work.job, tasks);
            if waiting + running > 0 {
                // Not only where there are machines: a zone may have lost its last one.
                let bounds = self.zone_bounds(&work.job);
                let only = bounds.as_ref().and_then(|bounds| bounds.only.as_ref());
                let zone = only.and_then(|zones| zones.first().cloned());
                demand.push(Demand {
                    job: Rc::clone(&work.job),
                    tasks,
                    waiting,
                    running,
                    running_s,
                    slack_s: self.objectives.slack_s(&work.job),
                    zone,
                    full_zones: bounds.map_or(BTreeSet::new(), |bounds| bounds.full()),
                    spot_only: work.job.leaves(false, kept),
                    spotless: !has_spot,
                });
            }
        }
        demand
    }

    /// Notes whether any spot machine takes tasks.
    pub fn look_for_spot(&mut self, now: Time) {
        if self.machines().any(|view| view.up.spot && view.up.usable) {
            self.spot_seen = now;
        }
    }

    /// Whether there are spot machines, or may be soon.
    fn has_spot(&self, now: Time) -> bool {
        now.since(self.spot_seen) < SPOT_PATIENCE_MS
    }

    /// Whether ordinary machines are left to services by work that has others.
    fn keeps_ordinary(&self, now: Time) -> bool {
        !self.services.is_empty() && self.has_spot(now)
    }

    /// Whether a replica has newly found no room.
    pub fn replica_stuck(&self) -> bool {
        self.replica_stuck
    }

    /// What is likely to be asked for next, judged by the services that are open. Before anything of
    /// a class was seen whose tasks should start sooner than a machine boots, it may be a service.
    pub fn forecast(&self, now: Now, boot_s: f64) -> Forecast {
        let mut soon = self.objectives.start_within(boot_s);
        let unseen = soon.any(|class| !self.seen.contains(class));
        let share = if unseen { STANDBY_SHARE } else { 0.0 };
        Forecast {
            classes: self.expected(now),
            standby_cpus: self.quota.guaranteed_cpus() * share,
            silent: self.silent_with_replicas(now.steady),
        }
    }

    fn expected(&self, now: Now) -> Vec<Expected> {
        let mut classes: BTreeMap<&str, Expected> = BTreeMap::new();
        let works = self.services.iter().filter_map(|id| self.jobs.get(id));
        for Work { job, .. } in works {
            let class = classes.entry(&job.spec.class).or_insert(Expected {
                job: Rc::clone(job),
                largest: 0,
                lately: 0,
                jobs: 0,
                over_ms: LATELY_LEAST_MS,
            });
            class.largest = class.largest.max(job.spec.tasks);
            let age_ms = now.wall_ms.saturating_sub(job.accepted_ms);
            class.over_ms = class.over_ms.max(age_ms.min(LATELY_MS));
            if age_ms < LATELY_MS {
                class.lately += job.spec.tasks;
                class.jobs += 1;
            }
        }
        classes.into_values().collect()
    }
}
