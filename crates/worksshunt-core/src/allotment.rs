//! The leader's work: which waiting task goes to which part.
//!
//! It keeps the open jobs' tasks, the teams' limits and the zones of jobs whose tasks depend on
//! each other. A task counts from hand-out until its attempt is certainly gone.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use serde_json::Value;
use worksshunt_wire::peer::{Failure, Give, MachineUp, Phase, SyncDown, SyncUp};
use worksshunt_wire::settings::Facts;
use worksshunt_wire::state::Pair;
use worksshunt_wire::user::Priority;
use worksshunt_wire::{Attempt, Epoch, JobId, MachineId, NodeName, TaskId};

use crate::constants::{
    ATTEMPTS_PER_EPOCH, CLAIMS_AT_ONCE, CLAIM_AFTER_MS, ERRORS_BEFORE_BACKOFF,
    ERROR_BACKOFF_MAX_MS, ERROR_BACKOFF_MS, LEFT_AT_LEAST, PREEMPT_AFTER_MS,
};
use crate::jobs::{parse_done_key, DoneSet, Job, Mirror};
use crate::machines::{read_record, record_machine};
use crate::objectives::Objectives;
use crate::placement::{owner, Room};
use crate::quota::Quota;
use crate::time::{Budget, Now, Time};

/// Prefix of the leader's claims on machines.
pub const CLAIMS: &str = "k/";

/// Key of a claim.
pub fn claim_key(machine: &MachineId) -> String {
    format!("{CLAIMS}{machine}")
}

/// An open job's tasks.
#[derive(Debug)]
struct Work {
    job: Rc<Job>,
    /// Tasks known to be done, durable or not.
    done: DoneSet,
    /// Those of them that are not in the store yet.
    undurable: BTreeSet<u32>,
    /// Attempts that may be on a machine or on their way, by task.
    active: BTreeMap<u32, Vec<Attempt>>,
    /// Every task below is done or active, so a search for waiting ones starts here.
    first_waiting: u32,
    errors: u32,
    not_before: Time,
    /// Since when it has had waiting tasks that no part had room for.
    stuck_since: Option<Time>,
}

impl Work {
    fn new(job: Rc<Job>) -> Work {
        Work {
            done: DoneSet::new(job.spec.tasks),
            job,
            undurable: BTreeSet::new(),
            active: BTreeMap::new(),
            first_waiting: 0,
            errors: 0,
            not_before: Time::default(),
            stuck_since: None,
        }
    }

    /// Order of service: by priority, deadline, age.
    fn rank(&self) -> (std::cmp::Reverse<Priority>, u64, u64, JobId) {
        (
            std::cmp::Reverse(self.job.spec.priority),
            self.job.due_ms().unwrap_or(u64::MAX),
            self.job.accepted_ms,
            self.job.spec.id,
        )
    }

    fn waiting(&self) -> u32 {
        let active_undone = self
            .active
            .keys()
            .filter(|i| !self.done.contains(**i))
            .count();
        self.job.spec.tasks - self.done.count() - active_undone as u32
    }

    fn next_waiting(&mut self) -> Option<u32> {
        while self.first_waiting < self.job.spec.tasks {
            let index = self.first_waiting;
            if !self.done.contains(index) && !self.active.contains_key(&index) {
                return Some(index);
            }
            self.first_waiting += 1;
        }
        None
    }

    fn complete(&self) -> bool {
        self.done.count() == self.job.spec.tasks
    }
}

/// An attempt that may be on a machine or on its way to one.
#[derive(Debug)]
struct Out {
    task: TaskId,
    /// None for an attempt of a job that was over before this epoch.
    job: Option<Rc<Job>>,
    part: NodeName,
    /// Number of the answer that handed it out last; `UNSENT` before.
    sent: u64,
    phase: Phase,
    ran_ms: u64,
    machine: Option<MachineId>,
    zone: Option<String>,
    claimed: Option<MachineId>,
    /// It is to be stopped, to make room.
    preempted: bool,
}

const UNSENT: u64 = u64::MAX;

/// A part as its owner last described it.
#[derive(Debug, Default)]
struct PartView {
    answers: u64,
    /// Number of the last answer its owner acted on.
    seen: u64,
    /// The attempts it listed last, until it is answered.
    attempts: Vec<(TaskId, Attempt, Phase)>,
    machines: Vec<MachineUp>,
    /// Room left on each machine after what was handed out since.
    room: Vec<Room>,
}

#[derive(Debug, Clone, PartialEq, Eq)]
enum ClaimState {
    /// The conditional write is under way.
    Writing,
    /// The machine is kept free for the job.
    Held,
    /// A task was handed out on it, or the job no longer needs it.
    Releasing,
}

#[derive(Debug, Clone)]
struct Claim {
    job: JobId,
    state: ClaimState,
}

/// A task that may be stopped for another: the work that would lose (ms), its attempt, its job.
type Victim<'a> = (u64, Attempt, &'a Rc<Job>);

/// What the leader wants written.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum Due {
    /// All tasks of the job are done.
    Finish(JobId),
    /// Completed tasks of one chunk.
    Done(JobId, u32),
    /// A claim on a machine, or its end.
    Claim(MachineId),
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
}

/// The leader's state.
#[derive(Debug)]
pub struct Allotment {
    epoch: Epoch,
    attempts: u64,
    quota: Quota,
    objectives: Objectives,
    jobs: BTreeMap<JobId, Work>,
    outs: BTreeMap<Attempt, Out>,
    parts: BTreeMap<NodeName, PartView>,
    claims: BTreeMap<MachineId, Claim>,
    /// Jobs in order of service, and how far the present round has come.
    order: Vec<JobId>,
    position: usize,
    /// Whether the present round still hands out within guarantees only.
    guaranteed_pass: bool,
    due: BTreeSet<Due>,
}

impl Allotment {
    /// Takes over at the start of an epoch, from what is in the store.
    pub fn load(
        epoch: Epoch,
        members: &[NodeName],
        facts: &Facts,
        mirror: &Mirror,
        records: &[Pair],
        done: &[Pair],
        claims: &[Pair],
    ) -> Allotment {
        let mut this = Allotment {
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
            order: Vec::new(),
            position: 0,
            guaranteed_pass: true,
            due: BTreeSet::new(),
        };
        for (id, open) in mirror.open() {
            this.jobs.insert(*id, Work::new(Rc::clone(&open.job)));
        }
        for pair in done {
            let Some((id, chunk)) = parse_done_key(&pair.key) else {
                continue;
            };
            match this.jobs.get_mut(&id) {
                Some(work) => {
                    if !work.done.load(chunk, &pair.value) {
                        tracing::error!(key = pair.key, "completion record cannot be read");
                    }
                }
                // Left behind by a job that was cancelled.
                None => {
                    this.due.insert(Due::Done(id, chunk));
                }
            }
        }
        for pair in records {
            let Some(machine) = record_machine(&pair.key) else {
                continue;
            };
            let Some(part) = owner(&machine, members) else {
                continue;
            };
            for recorded in read_record(&pair.value) {
                this.insert_out(
                    recorded.1,
                    Out {
                        task: recorded.0,
                        job: None,
                        part: part.clone(),
                        sent: 0,
                        phase: Phase::Placed,
                        ran_ms: 0,
                        machine: Some(machine.clone()),
                        zone: None,
                        claimed: None,
                        preempted: false,
                    },
                );
            }
        }
        // Claims of former leaders lapse.
        for pair in claims {
            if let Some(machine) = pair.key.strip_prefix(CLAIMS) {
                this.due.insert(Due::Claim(machine.into()));
            }
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

    /// A job was accepted.
    pub fn open(&mut self, id: JobId, job: &Rc<Job>) {
        self.jobs
            .entry(id)
            .or_insert_with(|| Work::new(Rc::clone(job)));
        self.restart_round();
    }

    /// A job is over.
    pub fn close(&mut self, id: JobId) {
        if let Some(work) = self.jobs.remove(&id) {
            for chunk in 0..work.done.chunks() {
                self.due.remove(&Due::Done(id, chunk));
                if work.done.count() > 0 {
                    self.due.insert(Due::Done(id, chunk));
                }
            }
        }
        self.due.remove(&Due::Finish(id));
        let released: Vec<MachineId> = self
            .claims
            .iter()
            .filter(|(_, claim)| claim.job == id)
            .map(|(machine, _)| machine.clone())
            .collect();
        for machine in released {
            self.release(&machine);
        }
    }

    fn insert_out(&mut self, attempt: Attempt, mut out: Out) {
        if let Some(work) = self.jobs.get_mut(&out.task.job) {
            out.job = Some(Rc::clone(&work.job));
            work.active.entry(out.task.index).or_default().push(attempt);
        }
        if let Some(job) = &out.job {
            self.quota.take(job);
        }
        if let Some(before) = self.outs.insert(attempt, out) {
            // The same attempt cannot be out twice; keep the count right all the same.
            if let Some(job) = &before.job {
                self.quota.give_back(job);
            }
        }
    }

    /// An attempt is certainly gone, or never left.
    fn remove_out(&mut self, attempt: Attempt) -> Option<Out> {
        let out = self.outs.remove(&attempt)?;
        if let Some(job) = &out.job {
            // A completed attempt gave its share back when it completed.
            if out.phase != Phase::Completed {
                self.quota.give_back(job);
            }
        }
        if let Some(work) = self.jobs.get_mut(&out.task.job) {
            if let Some(attempts) = work.active.get_mut(&out.task.index) {
                attempts.retain(|a| *a != attempt);
                if attempts.is_empty() {
                    work.active.remove(&out.task.index);
                    work.first_waiting = work.first_waiting.min(out.task.index);
                }
            }
        }
        Some(out)
    }

    /// Takes in a part's state.
    pub fn sync(&mut self, now: Time, up: SyncUp) {
        for (task, attempt, machine, failure) in &up.failures {
            if self.remove_out(*attempt).is_some() {
                self.failed(now, *task, machine, *failure);
            }
        }
        let present: BTreeSet<Attempt> = up.attempts.iter().map(|a| a.attempt).collect();
        // What the owner has been told of and does not list, it has handed back.
        let back: Vec<Attempt> = self
            .outs
            .iter()
            .filter(|(attempt, out)| {
                out.part == up.from && out.sent <= up.seen && !present.contains(attempt)
            })
            .map(|(attempt, _)| *attempt)
            .collect();
        for attempt in back {
            self.remove_out(attempt);
        }
        let zones: BTreeMap<&MachineId, &String> =
            up.machines.iter().map(|m| (&m.id, &m.zone)).collect();
        for listed in &up.attempts {
            let zone = listed
                .machine
                .as_ref()
                .and_then(|machine| zones.get(machine))
                .map(|zone| (*zone).clone());
            if !self.outs.contains_key(&listed.attempt) {
                self.insert_out(
                    listed.attempt,
                    Out {
                        task: listed.task,
                        job: None,
                        part: up.from.clone(),
                        sent: 0,
                        phase: Phase::Queued,
                        ran_ms: 0,
                        machine: None,
                        zone: None,
                        claimed: None,
                        preempted: false,
                    },
                );
            }
            let Some(out) = self.outs.get_mut(&listed.attempt) else {
                continue;
            };
            out.ran_ms = listed.ran_ms;
            out.machine.clone_from(&listed.machine);
            if zone.is_some() {
                out.zone = zone;
            }
            let completed = listed.phase == Phase::Completed && out.phase != Phase::Completed;
            out.phase = listed.phase;
            if completed {
                if let Some(job) = &out.job {
                    self.quota.give_back(job);
                }
                let zone = out.zone.clone();
                self.completed(listed.task, zone.as_deref());
            }
            let claimed = match (&listed.machine, self.outs.get(&listed.attempt)) {
                (Some(_), Some(out)) => out.claimed.clone(),
                _ => None,
            };
            if let Some(machine) = claimed {
                self.release(&machine);
            }
        }
        let part = self.parts.entry(up.from.clone()).or_default();
        part.seen = up.seen;
        part.machines = up.machines;
        part.attempts = up
            .attempts
            .iter()
            .map(|a| (a.task, a.attempt, a.phase))
            .collect();
        self.reckon_room(&up.from);
        self.restart_round();
    }

    /// The answer to a part's state last taken in.
    pub fn answer(&mut self, to: &NodeName) -> SyncDown {
        let Some(part) = self.parts.get_mut(to) else {
            return SyncDown::default();
        };
        part.answers += 1;
        let (seq, seen) = (part.answers, part.seen);
        let attempts = std::mem::take(&mut part.attempts);
        let mut durable = Vec::new();
        let mut stops = Vec::new();
        for (task, attempt, phase) in attempts {
            if phase == Phase::Completed {
                if self.is_durable(task) {
                    durable.push(attempt);
                }
            } else if !self.wanted(task) || self.outs.get(&attempt).is_some_and(|o| o.preempted) {
                // The task is done already, its job is over, or it has to make room.
                stops.push(attempt);
            }
        }
        let mut gives = Vec::new();
        for (attempt, out) in &mut self.outs {
            if out.part == *to && out.sent > seen {
                out.sent = seq;
                gives.push(Give {
                    task: out.task,
                    attempt: *attempt,
                    zone: out.zone.clone(),
                    claimed: out.claimed.clone(),
                });
            }
        }
        SyncDown {
            epoch: self.epoch,
            seq,
            gives,
            stops,
            durable,
            claims: self
                .claims
                .iter()
                .filter(|(_, claim)| claim.state == ClaimState::Held)
                .map(|(machine, _)| machine.clone())
                .collect(),
            progress: self.progress(),
            ..SyncDown::default()
        }
    }

    /// Done and running tasks of the jobs that have any.
    pub fn progress(&self) -> Vec<(JobId, u32, u32)> {
        let mut running: BTreeMap<JobId, u32> = BTreeMap::new();
        for out in self.outs.values().filter(|o| o.phase == Phase::Running) {
            *running.entry(out.task.job).or_default() += 1;
        }
        self.jobs
            .iter()
            .map(|(id, work)| {
                let running = running.get(id).copied().unwrap_or(0);
                (*id, work.done.count(), running)
            })
            .filter(|(_, done, running)| done + running > 0)
            .collect()
    }

    fn wanted(&self, task: TaskId) -> bool {
        self.jobs
            .get(&task.job)
            .is_some_and(|work| !work.done.contains(task.index))
    }

    fn is_durable(&self, task: TaskId) -> bool {
        self.jobs.get(&task.job).is_none_or(|work| {
            work.done.contains(task.index) && !work.undurable.contains(&task.index)
        })
    }

    fn completed(&mut self, task: TaskId, zone: Option<&str>) {
        let Some(work) = self.jobs.get_mut(&task.job) else {
            return;
        };
        if work.done.insert(task.index) {
            work.undurable.insert(task.index);
            work.errors = 0;
            if let (true, Some(zone)) = (work.job.zones_matter(), zone) {
                work.done.count_zone(zone);
                self.due.insert(Due::Done(task.job, 0));
            }
            if work.complete() {
                self.due.insert(Due::Finish(task.job));
            } else {
                self.due
                    .insert(Due::Done(task.job, DoneSet::chunk_of(task.index)));
            }
        }
    }

    fn failed(&mut self, now: Time, task: TaskId, machine: &MachineId, failure: Failure) {
        let Some(work) = self.jobs.get_mut(&task.job) else {
            return;
        };
        if failure == Failure::Error {
            work.errors += 1;
            tracing::info!(%task, %machine, errors = work.errors, "task failed");
            // A job that fails everywhere must not keep machines busy with it.
            if let Some(doublings) = work.errors.checked_sub(ERRORS_BEFORE_BACKOFF) {
                let wait = ERROR_BACKOFF_MS
                    .saturating_mul(1 << doublings.min(16))
                    .min(ERROR_BACKOFF_MAX_MS);
                work.not_before = now + wait;
            }
        }
    }

    /// Room of a part after everything handed out that its owner has not placed yet.
    fn reckon_room(&mut self, name: &NodeName) {
        let Some(part) = self.parts.get_mut(name) else {
            return;
        };
        part.room = part
            .machines
            .iter()
            .map(|m| {
                if m.usable {
                    Room {
                        cpus: m.cpus,
                        gpus: m.gpus,
                        memory_gb: m.memory_gb,
                    }
                } else {
                    Room::default()
                }
            })
            .collect();
        for out in self.outs.values() {
            if out.part == *name && out.machine.is_none() {
                if let Some(job) = &out.job {
                    part.reserve(job, out.zone.as_deref(), out.claimed.as_ref(), &self.claims);
                }
            }
        }
    }

    fn restart_round(&mut self) {
        self.order.clear();
    }

    fn sort_jobs(&mut self, now: Now) {
        let mut works: Vec<&Work> = self
            .jobs
            .values()
            .filter(|work| work.not_before <= now.steady && !work.complete())
            .collect();
        works.sort_by_key(|work| work.rank());
        self.order = works.iter().map(|work| work.job.spec.id).collect();
        self.position = 0;
        self.guaranteed_pass = true;
    }

    /// Hands out waiting tasks: first what lies within teams' guarantees, then the rest, each by
    /// priority, deadline and age. Goes on where the last call stopped. Returns whether anything
    /// was handed out.
    pub fn round(&mut self, now: Now, budget: &Budget) -> bool {
        if self.order.is_empty() {
            self.sort_jobs(now);
        }
        let mut any = false;
        while !budget.spent() {
            let Some(id) = self.order.get(self.position).copied() else {
                if self.guaranteed_pass {
                    self.guaranteed_pass = false;
                    self.position = 0;
                    continue;
                }
                self.restart_round();
                break;
            };
            if self.hand_out_one(now.steady, id) {
                any = true;
            } else {
                self.position += 1;
            }
        }
        any
    }

    fn hand_out_one(&mut self, now: Time, id: JobId) -> bool {
        let Some(work) = self.jobs.get_mut(&id) else {
            return false;
        };
        let job = Rc::clone(&work.job);
        let admitted = if self.guaranteed_pass {
            self.quota.guarantees(&job)
        } else {
            self.quota.admits(&job)
        };
        if !admitted {
            return false;
        }
        let Some(index) = work.next_waiting() else {
            work.stuck_since = None;
            return false;
        };
        let zones = self.allowed_zones(&job);
        let claimed = self.claimed_with_room(&job, zones.as_ref());
        let found = claimed.or_else(|| self.roomiest_part(&job, zones.as_ref()));
        let Some((part, zone, claimed)) = found else {
            if let Some(work) = self.jobs.get_mut(&id) {
                work.stuck_since.get_or_insert(now);
            }
            return false;
        };
        if let Some(work) = self.jobs.get_mut(&id) {
            work.stuck_since = None;
        }
        if let Some(view) = self.parts.get_mut(&part) {
            view.reserve(&job, zone.as_deref(), claimed.as_ref(), &self.claims);
        }
        self.attempts += 1;
        let attempt = Attempt(self.epoch.0 * ATTEMPTS_PER_EPOCH + self.attempts);
        self.insert_out(
            attempt,
            Out {
                task: TaskId { job: id, index },
                job: None,
                part,
                sent: UNSENT,
                phase: Phase::Queued,
                ran_ms: 0,
                machine: None,
                zone,
                claimed,
                preempted: false,
            },
        );
        true
    }

    /// The zones the job's next task may be in; none where its other tasks do not decide that.
    fn allowed_zones(&self, job: &Job) -> Option<BTreeSet<String>> {
        if !job.zones_matter() {
            return None;
        }
        let work = self.jobs.get(&job.spec.id)?;
        let mut counts = work.done.zones().clone();
        let mut unplaced = false;
        for (index, attempts) in &work.active {
            if work.done.contains(*index) {
                continue;
            }
            for attempt in attempts {
                match self.outs.get(attempt).and_then(|out| out.zone.clone()) {
                    Some(zone) => *counts.entry(zone).or_default() += 1,
                    None => unplaced = true,
                }
            }
        }
        // An attempt somewhere unknown (inherited, its machine silent) may be in any zone.
        if unplaced {
            return Some(BTreeSet::new());
        }
        let all: BTreeSet<String> = self
            .parts
            .values()
            .flat_map(|part| part.machines.iter().map(|m| m.zone.clone()))
            .collect();
        let fixed = job.spec.one_zone && !counts.is_empty();
        Some(
            all.into_iter()
                .filter(|zone| {
                    let count = counts.get(zone).copied().unwrap_or(0);
                    (!fixed || count > 0) && count < job.zone_limit()
                })
                .collect(),
        )
    }

    /// The part with the most free room that fits the task, by processors.
    fn roomiest_part(
        &self,
        job: &Job,
        zones: Option<&BTreeSet<String>>,
    ) -> Option<(NodeName, Option<String>, Option<MachineId>)> {
        let mut best: Option<(f64, &NodeName, &String)> = None;
        for (name, part) in &self.parts {
            let mut free = 0.0;
            let mut zone = None;
            for (machine, room) in part.machines.iter().zip(&part.room) {
                let fits = part.fits(machine, room, job, &self.claims)
                    && zones.is_none_or(|zones| zones.contains(&machine.zone));
                if fits {
                    free += room.cpus;
                    zone.get_or_insert(&machine.zone);
                }
            }
            if let Some(zone) = zone {
                if best.is_none_or(|(most, _, _)| free > most) {
                    best = Some((free, name, zone));
                }
            }
        }
        best.map(|(_, name, zone)| {
            let zone = zones.map(|_| zone.clone());
            (name.clone(), zone, None)
        })
    }

    /// A machine claimed for the job that has room by now.
    fn claimed_with_room(
        &self,
        job: &Job,
        zones: Option<&BTreeSet<String>>,
    ) -> Option<(NodeName, Option<String>, Option<MachineId>)> {
        let need = Room::of_job(job);
        let claimed = self
            .claims
            .iter()
            .filter(|(_, claim)| claim.job == job.spec.id && claim.state == ClaimState::Held);
        for (id, _) in claimed {
            let used = self
                .outs
                .values()
                .any(|out| out.claimed.as_ref() == Some(id));
            for (name, part) in &self.parts {
                for (machine, room) in part.machines.iter().zip(&part.room) {
                    if machine.id == *id
                        && !used
                        && machine.usable
                        && room.holds(&need)
                        && zones.is_none_or(|zones| zones.contains(&machine.zone))
                    {
                        let zone = zones.map(|_| machine.zone.clone());
                        return Some((name.clone(), zone, Some(id.clone())));
                    }
                }
            }
        }
        None
    }

    /// Claims machines for jobs whose next task has found room in no part for a while: the leader
    /// takes them out of their parts until the task fits.
    pub fn claim(&mut self, now: Time) {
        let mut free_claims = CLAIMS_AT_ONCE.saturating_sub(self.claims.len());
        let stuck: Vec<Rc<Job>> = self
            .jobs
            .values()
            .filter(|work| {
                work.stuck_since
                    .is_some_and(|since| now.since(since) >= CLAIM_AFTER_MS)
            })
            .map(|work| Rc::clone(&work.job))
            .collect();
        let mut narrowest: BTreeMap<MachineId, f64> = BTreeMap::new();
        for out in self.outs.values().filter(|o| o.phase != Phase::Completed) {
            if let (Some(machine), Some(job)) = (&out.machine, &out.job) {
                let least = narrowest.entry(machine.clone()).or_insert(f64::MAX);
                *least = least.min(job.spec.cpus);
            }
        }
        for job in stuck {
            if free_claims == 0 {
                return;
            }
            if self.claims.values().any(|c| c.job == job.spec.id) || !self.quota.admits(&job) {
                continue;
            }
            let zones = self.allowed_zones(&job);
            // Only a task that needs more than the next task to end will leave has to be helped;
            // the rest find room by themselves.
            let best = self
                .parts
                .values()
                .flat_map(|part| part.machines.iter())
                .filter(|m| {
                    let next = narrowest.get(&m.id).copied().unwrap_or(0.0);
                    m.usable
                        && !m.noticed
                        && m.cpus + next < job.spec.cpus
                        && !self.claims.contains_key(&m.id)
                        && job.allows(&m.machine_type, &m.zone, m.spot)
                        && zones.as_ref().is_none_or(|zones| zones.contains(&m.zone))
                })
                .max_by(|a, b| a.cpus.total_cmp(&b.cpus).then(b.id.cmp(&a.id)))
                .map(|m| m.id.clone());
            if let Some(machine) = best {
                tracing::debug!(job = %job.spec.id, %machine, "claiming a machine");
                let claim = Claim {
                    job: job.spec.id,
                    state: ClaimState::Writing,
                };
                self.claims.insert(machine.clone(), claim);
                self.due.insert(Due::Claim(machine));
                free_claims -= 1;
            }
        }
        // Claims whose machine is no longer there, or whose job has no waiting task.
        let idle: Vec<MachineId> = self
            .claims
            .iter()
            .filter(|(machine, claim)| {
                let present = self
                    .parts
                    .values()
                    .any(|part| part.machines.iter().any(|m| m.id == **machine && m.usable));
                let waiting = self.jobs.get(&claim.job).is_some_and(|w| w.waiting() > 0);
                let used = self
                    .outs
                    .values()
                    .any(|out| out.claimed.as_ref() == Some(*machine));
                !present || (!waiting && !used)
            })
            .map(|(machine, _)| machine.clone())
            .collect();
        for machine in idle {
            self.release(&machine);
        }
    }

    /// Stops tasks to make room for waiting ones that have found none for a while: work of lower
    /// priority, and work that another team runs beyond its guarantee for a team within its own.
    /// What would be served before the waiting task anyway is never stopped for it, so nothing is
    /// stopped twice in a row.
    pub fn preempt(&mut self, now: Now) {
        let mut stuck: Vec<(std::cmp::Reverse<Priority>, u64, Rc<Job>, u32)> = self
            .jobs
            .values()
            .filter(|work| {
                work.stuck_since
                    .is_some_and(|since| now.steady.since(since) >= PREEMPT_AFTER_MS)
                    && !work.job.zones_matter()
            })
            .map(|work| {
                let job = Rc::clone(&work.job);
                (
                    std::cmp::Reverse(job.spec.priority),
                    job.accepted_ms,
                    job,
                    work.waiting(),
                )
            })
            .collect();
        stuck.sort_by_key(|(priority, accepted_ms, _, _)| (*priority, *accepted_ms));
        if stuck.is_empty() {
            return;
        }
        let mut rooms: BTreeMap<MachineId, (MachineUp, Room)> = self
            .rooms()
            .filter(|(m, _)| m.usable && !m.noticed && !self.claims.contains_key(&m.id))
            .map(|(m, room)| (m.id.clone(), (m.clone(), *room)))
            .collect();
        // Room that earlier stops will leave.
        for out in self.outs.values().filter(|out| out.preempted) {
            let room = out.machine.as_ref().and_then(|id| rooms.get_mut(id));
            if let (Some((_, room)), Some(job)) = (room, &out.job) {
                if out.phase != Phase::Completed {
                    room.give_back(&Room::of_job(job));
                }
            }
        }
        let mut quota = self.quota.clone();
        for (_, _, job, waiting) in stuck {
            for _ in 0..waiting {
                let guaranteed = quota.guarantees(&job);
                if !quota.admits(&job)
                    || !self.objectives.pressing(&job, now.wall_ms, guaranteed)
                    || !self.preempt_for(&job, &mut quota, &mut rooms)
                {
                    break;
                }
            }
        }
    }

    /// Makes room for one task of the job where that loses least work; false if nothing can.
    fn preempt_for(
        &mut self,
        job: &Job,
        quota: &mut Quota,
        rooms: &mut BTreeMap<MachineId, (MachineUp, Room)>,
    ) -> bool {
        let need = Room::of_job(job);
        let guaranteed = quota.guarantees(job);
        let mut victims: BTreeMap<&MachineId, Vec<Victim>> = BTreeMap::new();
        for (attempt, out) in &self.outs {
            let (Some(machine), Some(other)) = (&out.machine, &out.job) else {
                continue;
            };
            let over = !quota.within_guarantee(&other.spec.team);
            if may_stop(other, over, job, guaranteed)
                && !out.preempted
                && out.phase != Phase::Completed
            {
                let loses_ms = match other.spec.checkpoint_s {
                    every if every > 0.0 => out.ran_ms.min((every * 1_000.0) as u64),
                    _ => out.ran_ms,
                };
                let list = victims.entry(machine).or_default();
                list.push((loses_ms, *attempt, other));
            }
        }
        let mut best: Option<(u64, MachineId, Vec<Attempt>)> = None;
        for (id, (machine, room)) in rooms.iter() {
            if !job.allows(&machine.machine_type, &machine.zone, machine.spot) {
                continue;
            }
            let mut room = *room;
            let mut cost = 0;
            let mut chosen = Vec::new();
            let mut after = quota.clone();
            let mut list = victims.remove(id).unwrap_or_default();
            list.sort_unstable_by_key(|(loses_ms, attempt, _)| (*loses_ms, *attempt));
            for (loses_ms, attempt, other) in list {
                if room.holds(&need) {
                    break;
                }
                // Those before it may have brought its team back within its guarantee.
                let over = !after.within_guarantee(&other.spec.team);
                if !may_stop(other, over, job, guaranteed) {
                    continue;
                }
                after.give_back(other);
                room.give_back(&Room::of_job(other));
                cost += loses_ms;
                chosen.push(attempt);
            }
            if room.holds(&need) && best.as_ref().is_none_or(|(least, _, _)| cost < *least) {
                best = Some((cost, id.clone(), chosen));
            }
        }
        let Some((cost, id, chosen)) = best else {
            return false;
        };
        quota.take(job);
        for attempt in chosen {
            let Some(out) = self.outs.get_mut(&attempt) else {
                continue;
            };
            out.preempted = true;
            if let (Some((_, room)), Some(other)) = (rooms.get_mut(&id), &out.job) {
                room.give_back(&Room::of_job(other));
                quota.give_back(other);
            }
            tracing::debug!(task = %out.task, machine = %id, lost_ms = cost, job = %job.spec.id, "preempted");
        }
        if let Some((_, room)) = rooms.get_mut(&id) {
            room.take(&need);
        }
        true
    }

    fn release(&mut self, machine: &MachineId) {
        if let Some(claim) = self.claims.get_mut(machine) {
            claim.state = ClaimState::Releasing;
            self.due.insert(Due::Claim(machine.clone()));
        }
    }

    /// What waits to be written, the most useful first.
    pub fn due(&self) -> impl Iterator<Item = &Due> {
        self.due.iter()
    }

    /// A claim's value as it should be stored; none: remove it.
    pub fn claim_value(&self, machine: &MachineId) -> Option<Value> {
        let claim = self.claims.get(machine)?;
        (claim.state != ClaimState::Releasing)
            .then(|| serde_json::json!({ "job": claim.job, "epoch": self.epoch }))
    }

    /// A claim, or its end, is durable.
    pub fn claim_written(&mut self, machine: &MachineId, held: bool) {
        match self.claims.get_mut(machine) {
            Some(claim) if held && claim.state == ClaimState::Writing => {
                claim.state = ClaimState::Held;
                self.due.remove(&Due::Claim(machine.clone()));
            }
            // Released while it was being written: it is still due.
            Some(_) if held => {}
            _ => {
                self.claims.remove(machine);
                self.due.remove(&Due::Claim(machine.clone()));
            }
        }
    }

    /// A completion record's value, with the tasks it makes durable; none: remove it.
    pub fn done_value(&self, id: JobId, chunk: u32) -> (Option<Value>, BTreeSet<u32>) {
        match self.jobs.get(&id) {
            Some(work) => (
                Some(work.done.record(chunk)),
                work.undurable
                    .iter()
                    .copied()
                    .filter(|index| DoneSet::chunk_of(*index) == chunk)
                    .collect(),
            ),
            None => (None, BTreeSet::new()),
        }
    }

    /// A completion record is durable.
    pub fn done_written(&mut self, id: JobId, chunk: u32, tasks: &BTreeSet<u32>) {
        self.due.remove(&Due::Done(id, chunk));
        if let Some(work) = self.jobs.get_mut(&id) {
            work.undurable.retain(|index| !tasks.contains(index));
            let more = work
                .undurable
                .iter()
                .any(|index| DoneSet::chunk_of(*index) == chunk);
            if more {
                self.due.insert(Due::Done(id, chunk));
            }
        }
    }

    /// How many completion chunks a job has.
    pub fn chunks(&self, id: JobId) -> u32 {
        self.jobs.get(&id).map_or(0, |work| work.done.chunks())
    }

    /// All machines of all parts.
    pub fn machines(&self) -> impl Iterator<Item = &MachineUp> {
        self.parts.values().flat_map(|part| part.machines.iter())
    }

    /// Machines with the room left on each.
    pub fn rooms(&self) -> impl Iterator<Item = (&MachineUp, &Room)> {
        self.parts
            .values()
            .flat_map(|part| part.machines.iter().zip(&part.room))
    }

    /// Whether every part has described itself in this epoch.
    pub fn all_heard(&self) -> bool {
        self.parts.values().all(|part| part.answers > 0)
    }

    /// Open jobs in order of service, with as many waiting tasks as the teams' limits let run.
    pub fn demand(&self, now: Now) -> Vec<Demand> {
        let mut quota = self.quota.clone();
        let mut works: Vec<&Work> = self
            .jobs
            .values()
            .filter(|work| work.not_before <= now.steady)
            .collect();
        works.sort_by_key(|work| work.rank());
        let mut ran: BTreeMap<JobId, (u32, f64)> = BTreeMap::new();
        for out in self.outs.values().filter(|o| o.phase != Phase::Completed) {
            let Some(job) = &out.job else { continue };
            let estimate_s = job.spec.estimate_s;
            let left = (estimate_s - out.ran_ms as f64 / 1_000.0).max(estimate_s * LEFT_AT_LEAST);
            let sum = ran.entry(out.task.job).or_default();
            sum.0 += 1;
            sum.1 += left;
        }
        let mut demand = Vec::new();
        for work in works {
            let (running, running_s) = ran.get(&work.job.spec.id).copied().unwrap_or_default();
            let mut tasks = 0;
            let waiting = work.waiting();
            while tasks < waiting && quota.admits(&work.job) {
                quota.take(&work.job);
                tasks += 1;
            }
            if tasks + running > 0 {
                let zone = match self.allowed_zones(&work.job) {
                    Some(zones) if zones.len() == 1 => zones.into_iter().next(),
                    _ => None,
                };
                demand.push(Demand {
                    job: Rc::clone(&work.job),
                    tasks,
                    waiting,
                    running,
                    running_s,
                    slack_s: self.objectives.slack_s(&work.job),
                    zone,
                });
            }
        }
        demand
    }
}

/// Whether a task of `other`, whose team is `over` its guarantee or not, may be stopped for one of
/// `job`, which lies within its team's guarantee (`guaranteed`) or not.
fn may_stop(other: &Job, over: bool, job: &Job, guaranteed: bool) -> bool {
    let lower = other.spec.priority < job.spec.priority;
    (guaranteed && over && other.spec.team != job.spec.team) || (lower && (guaranteed || over))
}

impl PartView {
    fn fits(
        &self,
        machine: &MachineUp,
        room: &Room,
        job: &Job,
        claims: &BTreeMap<MachineId, Claim>,
    ) -> bool {
        machine.usable
            && room.holds(&Room::of_job(job))
            && job.allows(&machine.machine_type, &machine.zone, machine.spot)
            && !claims.contains_key(&machine.id)
    }

    /// Takes a task's room out of the machine its owner will likely choose: the fullest that fits.
    fn reserve(
        &mut self,
        job: &Job,
        zone: Option<&str>,
        claimed: Option<&MachineId>,
        claims: &BTreeMap<MachineId, Claim>,
    ) {
        let mut best: Option<usize> = None;
        for (i, (machine, room)) in self.machines.iter().zip(&self.room).enumerate() {
            let fits = match claimed {
                Some(claimed) => machine.id == *claimed,
                None => {
                    self.fits(machine, room, job, claims)
                        && zone.is_none_or(|zone| zone == machine.zone)
                }
            };
            if fits && best.is_none_or(|b| room.cpus < self.room[b].cpus) {
                best = Some(i);
            }
        }
        if let Some(i) = best {
            self.room[i].take(&Room::of_job(job));
        }
    }
}
