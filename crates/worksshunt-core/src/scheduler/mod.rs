//! The leader's work: which waiting task goes to which part.
//!
//! It keeps the open jobs' tasks, the teams' limits and the zones of jobs whose tasks depend on
//! each other. A task counts from hand-out until its attempt is certainly gone. Counts are kept as
//! things change, so an exchange costs what it brings and not what there is.

mod claims;
mod demand;
mod dispatch;
mod job_tasks;
mod partitions;
mod pending_writes;
mod preempt;

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use worksshunt_wire::key_value::KeyValue;
use worksshunt_wire::peer::{AttemptEnded, AttemptOutcome, Phase};
use worksshunt_wire::settings::Facts;
use worksshunt_wire::{Attempt, ControllerName, Epoch, JobId, MachineId, TaskId};

use crate::constants::leases::ATTEMPTS_PER_EPOCH;
use crate::constants::scheduling::{
    FAILURES_BEFORE_BACKOFF, FAILURE_BACKOFF_MAX_MS, FAILURE_BACKOFF_MS,
};
use crate::constants::services::{
    MIN_SILENT_RELEASE_MS, REPLICA_BACKOFF_MAX_MS, SILENT_RELEASE_HEARTBEAT_INTERVALS,
    STABLE_REPLICA_MS,
};
use crate::jobs::{completions_key, read_completions, Completions, Job, JobCache, DONE};
use crate::objectives::ServiceLevelObjectives;
use crate::pages::{page_bytes, Pages};
use crate::placement::owner;
use crate::quota::Quota;
use crate::records::{AttemptRecord, RECORDS};
use crate::time::Time;

use claims::Claim;
pub use claims::{claim_key, CLAIMS};
pub use demand::{Demand, ExpectedDemand, Forecast};
use dispatch::SchedulingRound;
use job_tasks::JobTasks;
pub use partitions::MachineView;
use partitions::{Directive, PartitionView};
pub use pending_writes::PendingWrite;

/// An attempt that may be on a machine or on its way to one.
#[derive(Debug)]
struct ActiveAttempt {
    task: TaskId,
    /// None for an attempt of a job that was done before this epoch, and so uses nothing.
    job: Option<Rc<Job>>,
    owner: ControllerName,
    phase: Phase,
    /// Since when it runs, once it was seen running.
    running_since: Option<Time>,
    machine: Option<MachineId>,
    zone: Option<String>,
    /// The machine its room is taken from until its owner has chosen one.
    reserved_on: Option<MachineId>,
    claimed_machine: Option<MachineId>,
    /// It is to be stopped, to make room.
    preempted: bool,
}

impl ActiveAttempt {
    fn new(task: TaskId, partition: ControllerName) -> ActiveAttempt {
        ActiveAttempt {
            task,
            job: None,
            owner: partition,
            phase: Phase::Queued,
            running_since: None,
            machine: None,
            zone: None,
            reserved_on: None,
            claimed_machine: None,
            preempted: false,
        }
    }

    fn running_ms(&self, now: Time) -> u64 {
        self.running_since.map_or(0, |since| now.since(since))
    }
}

/// The leader's state.
#[derive(Debug)]
pub struct Scheduler {
    epoch: Epoch,
    /// Attempts numbered in this epoch, and how many there may be.
    attempts_numbered: u64,
    attempt_limit: u64,
    quota: Quota,
    objectives: ServiceLevelObjectives,
    jobs: BTreeMap<JobId, JobTasks>,
    active_attempts: BTreeMap<Attempt, ActiveAttempt>,
    partitions: BTreeMap<ControllerName, PartitionView>,
    claims: BTreeMap<MachineId, Claim>,
    round: SchedulingRound,
    pending_writes: BTreeSet<PendingWrite>,
    completion_pages: Pages<Completions>,
    /// Machines' records of former epochs, with the attempts that may still be on machines.
    former_record_pages: Pages<AttemptRecord>,
    /// Which of the two was first in the last write.
    former_records_first: bool,
    /// How long a machine with replicas takes no tasks before it is given up.
    silent_release_ms: u64,
    /// Machines that are to go back, as the fleet has it.
    draining: BTreeSet<MachineId>,
    /// When a spot machine last took tasks; the beginning of the epoch before that.
    spot_last_seen: Time,
    /// Open jobs of a form that this version does not understand, whose attempts are let be.
    unreadable_jobs: BTreeSet<JobId>,
    /// Open services.
    services: BTreeSet<JobId>,
    /// Classes of which there has been a job.
    classes_seen: BTreeSet<String>,
    /// A replica has found no room since others were last stopped.
    replica_stuck: bool,
}

/// What a new leader finds in the store.
#[derive(Debug, Default)]
pub struct StoredState {
    /// Pages of machines' records.
    pub record_pages: Vec<(KeyValue, Vec<AttemptRecord>)>,
    /// Keys of those among them that list more than that.
    pub stale_record_pages: BTreeSet<String>,
    /// Pages of completions.
    pub completion_pages: Vec<KeyValue>,
    /// Claims.
    pub claims: Vec<KeyValue>,
    /// Jobs on record that were cancelled. Until their attempts are certainly gone those use what they use.
    pub cancelled: BTreeMap<JobId, Rc<Job>>,
}

impl Scheduler {
    /// Takes over at the start of an epoch, from what is in the store.
    pub fn load(
        now: Time,
        epoch: Epoch,
        members: &[ControllerName],
        facts: &Facts,
        job_cache: &JobCache,
        found: &StoredState,
    ) -> Scheduler {
        let mut this = Scheduler {
            epoch,
            attempts_numbered: 0,
            attempt_limit: ATTEMPTS_PER_EPOCH - 1,
            quota: Quota::new(&facts.teams),
            objectives: ServiceLevelObjectives::new(&facts.objectives),
            jobs: BTreeMap::new(),
            active_attempts: BTreeMap::new(),
            partitions: members
                .iter()
                .map(|name| (name.clone(), PartitionView::default()))
                .collect(),
            claims: BTreeMap::new(),
            round: SchedulingRound::default(),
            pending_writes: BTreeSet::new(),
            completion_pages: Pages::new(DONE.to_owned(), page_bytes(&facts.state)),
            former_record_pages: Pages::new(RECORDS.to_owned(), page_bytes(&facts.state)),
            former_records_first: false,
            silent_release_ms: ((facts.workers.heartbeat_interval_s
                * 1_000.0
                * SILENT_RELEASE_HEARTBEAT_INTERVALS) as u64)
                .max(MIN_SILENT_RELEASE_MS),
            draining: BTreeSet::new(),
            spot_last_seen: now,
            unreadable_jobs: BTreeSet::new(),
            services: BTreeSet::new(),
            classes_seen: BTreeSet::new(),
            replica_stuck: false,
        };
        for (id, open) in job_cache.open_jobs() {
            this.open_job(*id, &open.job);
        }
        for pair in &found.completion_pages {
            this.load_completions(now, pair);
        }
        let recorded = found.record_pages.iter().flat_map(|(_, records)| records);
        let ids = recorded.map(|record| record.task.job);
        this.unreadable_jobs = ids.filter(|id| job_cache.is_unreadable(*id)).collect();
        for (pair, records) in &found.record_pages {
            this.load_records(now, pair, records, members, &found.cancelled);
        }
        for key in &found.stale_record_pages {
            this.former_record_pages.mark_for_rewrite(key, now);
        }
        // Claims of former leaders lapse.
        for pair in &found.claims {
            this.pending_writes
                .insert(PendingWrite::RemoveKey(pair.key.clone()));
        }
        let complete: Vec<JobId> = this
            .jobs
            .iter()
            .filter(|(_, work)| work.is_complete())
            .map(|(id, _)| *id)
            .collect();
        this.pending_writes
            .extend(complete.into_iter().map(PendingWrite::FinishJob));
        this
    }

    fn load_completions(&mut self, now: Time, pair: &KeyValue) {
        let Some(entries) = read_completions(&pair.value) else {
            // Results are kept by the platform: such tasks run once more and end at once.
            tracing::error!(key = pair.key, "completions of another version are dropped");
            self.pending_writes
                .insert(PendingWrite::RemoveKey(pair.key.clone()));
            return;
        };
        let mut over = Vec::new();
        for (key, entry) in &entries {
            let Some(work) = self.jobs.get_mut(&key.0) else {
                over.push(*key);
                continue;
            };
            for task in &entry.tasks {
                work.mark_done(*task);
            }
            for (zone, tasks) in &entry.zones {
                work.done.count_zone(zone, *tasks);
            }
            work.last_dispatch = Some(now);
        }
        self.completion_pages
            .adopt_stored_page(pair.key.clone(), pair.version, entries);
        for key in over {
            self.completion_pages.remove(&key, now, false);
        }
    }

    fn load_records(
        &mut self,
        now: Time,
        pair: &KeyValue,
        records: &[AttemptRecord],
        members: &[ControllerName],
        cancelled: &BTreeMap<JobId, Rc<Job>>,
    ) {
        let entries = records.iter().map(|r| (r.attempt, r.clone())).collect();
        self.former_record_pages
            .adopt_stored_page(pair.key.clone(), pair.version, entries);
        for record in records {
            let Some(partition) = owner(&record.machine, members) else {
                continue;
            };
            let mut out = ActiveAttempt::new(record.task, partition.clone());
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
            self.insert_attempt(record.attempt, out);
            if let Some(work) = self.jobs.get_mut(&record.task.job) {
                work.last_dispatch = Some(now);
            }
        }
    }

    /// Numbers at most so many attempts, for tests of what follows.
    pub fn limit_attempts(&mut self, most: u64) {
        self.attempt_limit = most.min(ATTEMPTS_PER_EPOCH - 1);
    }

    /// Whether there are no more numbers for attempts in this epoch. The next one's must not be used in it.
    pub fn attempts_exhausted(&self) -> bool {
        self.attempts_numbered >= self.attempt_limit
    }

    /// A job was accepted.
    pub fn open_job(&mut self, id: JobId, job: &Rc<Job>) {
        self.jobs
            .entry(id)
            .or_insert_with(|| JobTasks::new(Rc::clone(job), &self.objectives));
        if job.is_service() {
            self.services.insert(id);
        }
        if !self.classes_seen.contains(&job.spec.class) {
            self.classes_seen.insert(job.spec.class.clone());
        }
        self.round.request();
    }

    /// These machines are to go back: nothing is handed out to them, whether or not their owners know.
    pub fn set_draining(&mut self, drains: BTreeSet<MachineId>) {
        self.draining = drains;
    }

    /// Another round may hand something out.
    pub fn request_round(&mut self) {
        self.round.request();
    }

    /// A job is over.
    pub fn close_job(&mut self, id: JobId, now: Time) {
        let Some(work) = self.jobs.remove(&id) else {
            return;
        };
        self.services.remove(&id);
        let last = completions_key(TaskId {
            job: id,
            index: work.job.spec.tasks - 1,
        });
        for chunk in 0..=last.1 {
            self.completion_pages.remove(&(id, chunk), now, false);
        }
        for attempt in work.active.into_values().flatten() {
            self.send_directive(attempt, |phase| match phase {
                Phase::Completed => Directive::MarkDurable(attempt),
                _ => Directive::Stop(attempt),
            });
        }
        self.pending_writes.remove(&PendingWrite::FinishJob(id));
        self.release_claims_of(id);
        self.round.request();
    }

    /// Leaves word for the owner of an attempt.
    fn send_directive(&mut self, attempt: Attempt, what: impl FnOnce(Phase) -> Directive) {
        if let Some(out) = self.active_attempts.get(&attempt) {
            if let Some(partition) = self.partitions.get_mut(&out.owner) {
                partition.enqueue(what(out.phase));
            }
        }
    }

    fn insert_attempt(&mut self, attempt: Attempt, mut out: ActiveAttempt) {
        if self.active_attempts.contains_key(&attempt) {
            return;
        }
        if let Some(work) = self.jobs.get_mut(&out.task.job) {
            out.job = Some(Rc::clone(&work.job));
            work.activate(out.task.index, attempt);
        }
        if let (Some(job), true) = (&out.job, out.phase != Phase::Completed) {
            self.quota.charge(job);
        }
        self.active_attempts.insert(attempt, out);
    }

    /// An attempt is certainly gone, or never left.
    fn remove_attempt(
        &mut self,
        attempt: Attempt,
        how: AttemptOutcome,
        now: Time,
    ) -> Option<ActiveAttempt> {
        self.set_phase(attempt, Phase::Queued, 0, now);
        let out = self.active_attempts.remove(&attempt)?;
        if let Some(job) = &out.job {
            // A completed attempt gave its share back when it completed.
            if out.phase != Phase::Completed {
                self.quota.refund(job);
            }
        }
        if let (Some(partition), Some(job)) = (self.partitions.get_mut(&out.owner), &out.job) {
            partition.unreserve(out.reserved_on.as_ref(), job);
        }
        if let Some(work) = self.jobs.get_mut(&out.task.job) {
            work.deactivate(out.task.index, attempt);
        }
        self.former_record_pages
            .remove(&attempt, now, how == AttemptOutcome::Lost);
        self.round.request();
        Some(out)
    }

    /// The one place where an attempt's phase changes. A completed attempt stays so.
    fn set_phase(&mut self, attempt: Attempt, phase: Phase, ran_ms: u64, now: Time) {
        let Some(out) = self.active_attempts.get_mut(&attempt) else {
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

    fn is_wanted(&self, task: TaskId) -> bool {
        let work = self.jobs.get(&task.job);
        work.is_some_and(|work| !work.done.contains(task.index))
            || self.unreadable_jobs.contains(&task.job)
    }

    fn is_durable(&self, task: TaskId) -> bool {
        self.jobs.get(&task.job).is_none_or(|work| {
            work.done.contains(task.index) && !work.not_durable.contains(&task.index)
        })
    }

    fn task_completed(&mut self, attempt: Attempt, task: TaskId, zone: Option<&str>) {
        let Some(work) = self.jobs.get_mut(&task.job) else {
            return;
        };
        if !work.mark_done(task.index) {
            return;
        }
        work.not_durable.insert(task.index);
        work.errors = 0;
        let mut entry = Completions {
            tasks: BTreeSet::from([task.index]),
            zones: BTreeMap::new(),
        };
        if let (true, Some(zone)) = (work.job.has_zone_constraint(), zone) {
            work.done.count_zone(zone, 1);
            entry.zones.insert(zone.to_owned(), 1);
        }
        let others = work.active.get(&task.index).cloned().unwrap_or_default();
        if work.is_complete() {
            self.pending_writes
                .insert(PendingWrite::FinishJob(task.job));
        } else {
            self.completion_pages.add(completions_key(task), entry);
        }
        for other in others.into_iter().filter(|other| *other != attempt) {
            self.send_directive(other, |_| Directive::Stop(other));
        }
    }

    /// An attempt failed after running so long.
    fn task_failed(&mut self, now: Time, ended: &AttemptEnded, ran_ms: u64) {
        let Some(work) = self.jobs.get_mut(&ended.task.job) else {
            return;
        };
        let is_service = work.job.is_service();
        // A replica that ran well is no sign that the next will not.
        if is_service && ran_ms >= STABLE_REPLICA_MS {
            work.errors = 0;
        }
        work.errors += 1;
        tracing::info!(task = %ended.task, machine = ?ended.machine, errors = work.errors, "task failed");
        // A job that fails everywhere must not keep machines busy with it.
        if let Some(doublings) = work.errors.checked_sub(FAILURES_BEFORE_BACKOFF) {
            let most = match is_service {
                true => REPLICA_BACKOFF_MAX_MS,
                false => FAILURE_BACKOFF_MAX_MS,
            };
            let wait = FAILURE_BACKOFF_MS
                .saturating_mul(1 << doublings.min(16))
                .min(most);
            work.not_before = now + wait;
        }
    }

    /// Writes what is going on to the log.
    pub fn log_load(&self) {
        let usable = self.machines().filter(|view| view.status.schedulable);
        let (machines, free) =
            usable.fold((0, 0.0), |(n, free), view| (n + 1, free + view.free.cpus));
        let ordinary = self
            .machines()
            .filter(|view| view.status.schedulable && !view.status.spot);
        let (ordinary, ordinary_free) =
            ordinary.fold((0, 0.0), |(n, free), view| (n + 1, free + view.free.cpus));
        let waiting: u32 = self.jobs.values().map(JobTasks::waiting).sum();
        let stuck = self
            .jobs
            .values()
            .filter(|w| w.stuck_since.is_some())
            .count();
        let in_phase = |phase| {
            self.active_attempts
                .values()
                .filter(|o| o.phase == phase)
                .count()
        };
        tracing::debug!(
            jobs = self.jobs.len(), waiting, stuck, machines, free, ordinary, ordinary_free,
            queued = in_phase(Phase::Queued), placed = in_phase(Phase::Placed),
            running = in_phase(Phase::Running), completed = in_phase(Phase::Completed),
            used = %self.quota, claims = self.claims.len(),
            "load"
        );
    }
}
