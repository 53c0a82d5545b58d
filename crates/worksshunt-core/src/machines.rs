//! The machines of this controller's part and the attempts on them.
//!
//! Two rules keep a task from running twice. An attempt is on its machine's record in the state
//! service before its launch leaves. And it counts as gone only when a report that cannot predate
//! the launch shows so, when the worker's session is a later one, when the last possible lease has
//! run out, or when the cloud has confirmed the machine's return.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;

use serde::{Deserialize, Serialize};
use serde_json::Value;
use worksshunt_wire::cloud::Catalog;
use worksshunt_wire::peer::{AttemptUp, Failure, Give, MachineUp, Phase, SyncDown, SyncUp};
use worksshunt_wire::settings::Workers;
use worksshunt_wire::state::Pair;
use worksshunt_wire::worker::{Command, ExitReason, Orders, Report, ReportedTask, TaskState};
use worksshunt_wire::{Attempt, Epoch, JobId, MachineId, NodeName, Session, TaskId};

use crate::constants::{
    AUTHORITY_MS, CLOCK_DRIFT, FAULTY_JOBS, LAZY_RECORD_MS, LEASE_MARGIN_MS, ORDERS_PAUSE_MS,
    QUEUED_MS, SILENT_REPORTS, UNREACHED_MACHINES, UNREACHED_REPORTS,
};
use crate::jobs::{Job, Mirror};
use crate::placement::{choose, Candidate, Outcome, OverCapacity, Parameters, Room, Speed};
use crate::time::{Budget, Time};

/// Prefix of the machines' records.
pub const RECORDS: &str = "a/";

/// Key of a machine's record.
pub fn record_key(machine: &MachineId) -> String {
    format!("{RECORDS}{machine}")
}

/// Reads the machine out of a record's key.
pub fn record_machine(key: &str) -> Option<MachineId> {
    key.strip_prefix(RECORDS).map(MachineId::from)
}

/// One attempt on a record.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Recorded(pub TaskId, pub Attempt, pub Session);

/// Reads a machine's record.
pub fn read_record(value: &Value) -> Vec<Recorded> {
    match serde_json::from_value(value.clone()) {
        Ok(record) => record,
        Err(error) => {
            tracing::error!(%error, "a machine's record cannot be read");
            Vec::new()
        }
    }
}

/// Where an attempt on a machine stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeldState {
    /// Chosen for the machine; the record is being written.
    Recording,
    /// On the durable record; the launch can leave.
    Recorded,
    /// The launch left with the answer to a report. The worker's next report shows the outcome.
    Launched,
    /// The launch left straight for the worker and is not answered, or never will be: it can take
    /// effect until the worker's session or the token changes.
    Ordered,
    /// On the record of a former owner; nothing heard of it yet.
    Inherited,
    /// Waits for its image.
    Fetching,
    /// Runs, as far as known since then.
    Running(Time),
    /// Saves its progress.
    Saving,
    /// Reported as completed.
    Completed,
}

#[derive(Debug, Clone)]
struct Held {
    task: TaskId,
    /// Unknown for an attempt whose job was over before this epoch began.
    job: Option<Rc<Job>>,
    state: HeldState,
    session: Session,
    placed_at: Time,
    /// Size band, if the placement was over the machine's capacity.
    over_capacity: Option<usize>,
    inherited: bool,
    /// Grace in seconds, once the attempt is to be stopped.
    stop: Option<f64>,
    /// The completion is in the store.
    durable: bool,
    /// A direct launch of it was not answered and may yet arrive.
    ordered: bool,
    /// The stop was sent straight to the worker.
    stop_sent: bool,
}

impl Held {
    /// The one place where an attempt's state changes.
    fn step(&mut self, next: HeldState) {
        self.state = match (self.state, next) {
            // A completed task stays so, and a running one keeps its first sighting.
            (HeldState::Completed, _) => HeldState::Completed,
            (HeldState::Running(since), HeldState::Running(_)) => HeldState::Running(since),
            (_, next) => next,
        };
    }

    /// Whether its launch cannot have left this process or a former owner.
    fn never_launched(&self) -> bool {
        matches!(self.state, HeldState::Recording | HeldState::Recorded)
    }
}

/// What a worker said of its machine.
#[derive(Debug, Clone, PartialEq)]
struct Info {
    machine_type: String,
    zone: String,
    spot: bool,
    room: Room,
    addr: String,
}

/// What became of direct orders.
#[derive(Debug, Clone, PartialEq)]
pub enum OrdersReply {
    /// The worker answered, with its report after them.
    Answered(Report),
    /// They never left.
    NotSent,
    /// No answer: they may be carried out at any time.
    Unknown,
}

/// Direct orders to a worker, to be sent by the service.
#[derive(Debug, Clone, PartialEq)]
pub struct DirectOrders {
    /// The machine.
    pub machine: MachineId,
    /// Its worker's address.
    pub addr: String,
    /// The orders.
    pub orders: Orders,
}

#[derive(Debug, Clone)]
struct Machine {
    info: Option<Info>,
    /// Newest report seen.
    newest: (Session, u64),
    heard: Time,
    /// Latest moment at which the worker's lease can have been renewed.
    renewed: Time,
    lost: bool,
    /// Direct orders are on their way.
    ordering: bool,
    /// No direct orders before: the last ones were not answered.
    order_from: Time,
    /// Ended attempts the worker must remember, because an unanswered direct launch of them would
    /// start them a second time; with the session in which that can happen.
    kept: BTreeMap<Attempt, Session>,
    /// When the cloud takes it, once it gave notice.
    notice: Option<Time>,
    draining: bool,
    claimed: bool,
    /// The worker lists tasks that are on no record.
    foreign: bool,
    /// Jobs whose tasks failed on it since a task last completed there.
    failing: BTreeSet<JobId>,
    held: BTreeMap<Attempt, Held>,
    /// Since when nothing is on it, as of the last exchange with the leader.
    empty_since: Option<Time>,
    /// Attempts on the durable record.
    recorded: BTreeSet<Attempt>,
    /// Since when the record lists attempts that are gone.
    stale_since: Option<Time>,
}

impl Machine {
    fn new(renewed: Time) -> Machine {
        Machine {
            info: None,
            newest: (Session(0), 0),
            heard: Time::default(),
            renewed,
            lost: false,
            ordering: false,
            order_from: Time::default(),
            kept: BTreeMap::new(),
            notice: None,
            draining: false,
            claimed: false,
            foreign: false,
            failing: BTreeSet::new(),
            held: BTreeMap::new(),
            empty_since: None,
            recorded: BTreeSet::new(),
            stale_since: None,
        }
    }

    /// A machine of a former owner.
    fn inherited(renewed: Time, now: Time, record: &[Recorded], mirror: &Mirror) -> Machine {
        let mut machine = Machine::new(renewed);
        for Recorded(task, attempt, session) in record {
            machine.recorded.insert(*attempt);
            let job = mirror.get(task.job).map(|open| Rc::clone(&open.job));
            let stop = job.is_none().then_some(0.0);
            machine.held.insert(
                *attempt,
                Held {
                    task: *task,
                    job,
                    state: HeldState::Inherited,
                    session: *session,
                    placed_at: now,
                    over_capacity: None,
                    inherited: true,
                    stop,
                    durable: false,
                    ordered: false,
                    stop_sent: false,
                },
            );
        }
        machine
    }

    /// The machine as it goes on into the next epoch under the same owner. What is not on the
    /// record was never launched, and the new leader knows nothing of it: it is dropped. What is on
    /// the record and not held is gone.
    fn carried_over(mut self, now: Time, record: &[Recorded]) -> Machine {
        self.recorded = record.iter().map(|r| r.1).collect();
        let recorded = &self.recorded;
        self.held.retain(|attempt, _| recorded.contains(attempt));
        for held in self.held.values_mut() {
            if held.state == HeldState::Recording {
                held.step(HeldState::Recorded);
            }
        }
        self.stale_since = (self.held.len() < self.recorded.len()).then_some(now);
        // Orders under way were sent under the old token; whether they arrive stays open.
        self.ordering = false;
        self.draining = false;
        self.claimed = false;
        self
    }

    /// What is free now.
    fn free(&self) -> Room {
        let Some(info) = &self.info else {
            return Room::default();
        };
        let mut free = info.room;
        for held in self.held.values() {
            match (&held.job, held.state) {
                (_, HeldState::Completed) => {}
                (Some(job), _) => free.take(&Room::of_job(job)),
                // Of unknown size: nothing may join it.
                (None, _) => return Room::default(),
            }
        }
        free
    }

    fn fullness(&self) -> f64 {
        let Some(info) = &self.info else {
            return 0.0;
        };
        let free = self.free();
        let share = |free: f64, all: f64| if all > 0.0 { 1.0 - free / all } else { 0.0 };
        share(free.cpus, info.room.cpus)
            .max(share(free.gpus, info.room.gpus))
            .max(share(free.memory_gb, info.room.memory_gb))
    }

    fn usable(&self, now: Time, silent_ms: u64) -> bool {
        self.info.is_some()
            && !self.lost
            && !self.draining
            && !self.foreign
            && self.failing.len() < FAULTY_JOBS
            && self.notice.is_none()
            && now.since(self.heard) <= silent_ms
    }

    fn needs_record(&self) -> bool {
        self.held.iter().any(|(attempt, held)| {
            held.state == HeldState::Recording && !self.recorded.contains(attempt)
        })
    }
}

#[derive(Debug, Clone)]
struct Queued {
    give: Give,
    since: Time,
}

/// The machines of one part, as their owner sees them.
#[derive(Debug)]
pub struct Part {
    parameters: Parameters,
    lease_ms: u64,
    silent_ms: u64,
    unreached_ms: u64,
    machines: BTreeMap<MachineId, Machine>,
    speeds: BTreeMap<MachineId, Speed>,
    queue: VecDeque<Queued>,
    /// Failures since the last answer of the leader, and how many of them were sent.
    failures: Vec<(TaskId, Attempt, MachineId, Failure)>,
    failures_sent: usize,
    seen: u64,
    changed: bool,
    over_capacity: OverCapacity,
}

impl Part {
    /// An empty part.
    pub fn new(parameters: Parameters, workers: &Workers) -> Part {
        Part {
            parameters,
            lease_ms: (workers.lease_s * 1_000.0 * (1.0 + CLOCK_DRIFT)) as u64 + LEASE_MARGIN_MS,
            silent_ms: (workers.report_s * 1_000.0 * SILENT_REPORTS) as u64,
            unreached_ms: (workers.report_s * 1_000.0 * UNREACHED_REPORTS) as u64,
            machines: BTreeMap::new(),
            speeds: BTreeMap::new(),
            queue: VecDeque::new(),
            failures: Vec::new(),
            failures_sent: 0,
            seen: 0,
            changed: false,
            over_capacity: OverCapacity::default(),
        }
    }

    /// Starts an epoch with the records found at its start. Machines that were this controller's in
    /// the epoch just before as well (`was_mine`) are kept as they are, with what is known of their
    /// workers and leases: nobody else had a say in them. Measured speeds are kept in any case.
    pub fn load<'a>(
        &mut self,
        now: Time,
        records: impl Iterator<Item = &'a Pair>,
        mirror: &Mirror,
        is_mine: impl Fn(&MachineId) -> bool,
        was_mine: impl Fn(&MachineId) -> bool,
    ) {
        let mut before = std::mem::take(&mut self.machines);
        before.retain(|id, _| is_mine(id) && was_mine(id));
        self.clear();
        self.changed = true;
        for pair in records {
            let Some(id) = record_machine(&pair.key).filter(|id| is_mine(id)) else {
                continue;
            };
            let record = read_record(&pair.value);
            let machine = match before.remove(&id) {
                Some(machine) => machine.carried_over(now, &record),
                // A former owner may have renewed the lease until its authority ended, which was
                // at most this long after it last saw its epoch confirmed, and so before now plus
                // this.
                None => Machine::inherited(now + AUTHORITY_MS, now, &record, mirror),
            };
            self.machines.insert(id, machine);
        }
        for (id, machine) in before {
            self.machines.insert(id, machine.carried_over(now, &[]));
        }
    }

    /// Drops everything: this controller is out.
    pub fn clear(&mut self) {
        self.machines.clear();
        self.queue.clear();
        self.failures.clear();
        self.failures_sent = 0;
        self.seen = 0;
    }

    /// Whether something changed that the leader should hear of soon.
    pub fn changed(&self) -> bool {
        self.changed
    }

    /// Ends an attempt on a machine without completion.
    fn end(&mut self, machine: &MachineId, attempt: Attempt, failure: Failure, now: Time) {
        let Some(entry) = self.machines.get_mut(machine) else {
            return;
        };
        if let Some(held) = entry.held.remove(&attempt) {
            if failure == Failure::Error && entry.failing.insert(held.task.job) {
                let jobs = entry.failing.len();
                tracing::info!(task = %held.task, machine = %machine, jobs, "failed here");
            }
            if entry.recorded.contains(&attempt) {
                entry.stale_since.get_or_insert(now);
            }
            if held.ordered {
                entry.kept.insert(attempt, held.session);
            }
            if let Some(band) = held.over_capacity {
                let outcome = match failure {
                    Failure::Error => Outcome::Faulted,
                    Failure::Stopped | Failure::Lost => Outcome::Aborted,
                };
                self.over_capacity.ended(band, outcome);
            }
            self.failures
                .push((held.task, attempt, machine.clone(), failure));
            self.changed = true;
        }
    }

    /// Takes in a worker's report and returns the commands for its answer. An old report changes
    /// nothing and gets none.
    pub fn report(
        &mut self,
        now: Time,
        report: &Report,
        epoch: Epoch,
        catalog: &Catalog,
    ) -> Vec<Command> {
        let id = report.machine.clone();
        let machine = self
            .machines
            .entry(id.clone())
            .or_insert_with(|| Machine::new(now));
        machine.renewed = machine.renewed.max(now);
        if self.take_in(now, report, epoch, catalog, false) {
            self.commands(&id, report, now)
        } else {
            Vec::new()
        }
    }

    /// Takes in what a worker says, with a report or (`direct`) in answer to direct orders, which
    /// renews no lease. False if it is older than what is known.
    fn take_in(
        &mut self,
        now: Time,
        report: &Report,
        epoch: Epoch,
        catalog: &Catalog,
        direct: bool,
    ) -> bool {
        let id = report.machine.clone();
        let Some(machine) = self.machines.get_mut(&id) else {
            return false;
        };
        let order = (report.session, report.seq);
        if order <= machine.newest {
            return false;
        }
        machine.kept.retain(|_, session| *session >= report.session);
        machine.newest = order;
        machine.heard = now;
        machine.lost = false;
        if machine.info.is_none() {
            machine.info = catalog.get(&report.machine_type).map(|t| Info {
                machine_type: report.machine_type.clone(),
                zone: report.zone.clone(),
                spot: report.spot,
                room: Room::of_type(t),
                addr: report.addr.clone(),
            });
            self.changed = true;
        }
        match report.notice_s {
            Some(left) if machine.notice.is_none() => {
                tracing::info!(machine = %id, left_s = left, "the cloud will take this machine");
                machine.notice = Some(now + (left * 1_000.0) as u64);
                self.changed = true;
            }
            _ => {}
        }
        self.gone_by_session(&id, report.session, now);
        self.listed(&id, report, now);
        // Whatever a former owner sent is refused once the worker has seen this epoch's token, so
        // from then on a task that is not listed is not there.
        let definitive = report.token >= epoch;
        self.not_listed(&id, report, definitive, direct, now);
        true
    }

    /// A worker kills and forgets everything when its session ends.
    fn gone_by_session(&mut self, id: &MachineId, session: Session, now: Time) {
        let Some(machine) = self.machines.get(id) else {
            return;
        };
        let gone: Vec<Attempt> = machine
            .held
            .iter()
            .filter(|(_, held)| held.session < session && held.state != HeldState::Completed)
            .map(|(attempt, _)| *attempt)
            .collect();
        for attempt in gone {
            self.end(id, attempt, Failure::Lost, now);
        }
    }

    fn listed(&mut self, id: &MachineId, report: &Report, now: Time) {
        let mut ended = Vec::new();
        let Some(machine) = self.machines.get_mut(id) else {
            return;
        };
        machine.foreign = false;
        for listed in &report.tasks {
            let Some(held) = machine.held.get_mut(&listed.attempt) else {
                machine.foreign |= listed.state != TaskState::Ended;
                continue;
            };
            let before = held.state;
            match (listed.state, listed.reason) {
                (TaskState::Fetching, _) => held.step(HeldState::Fetching),
                (TaskState::Running, _) => held.step(HeldState::Running(now)),
                (TaskState::Saving, _) => held.step(HeldState::Saving),
                (TaskState::Ended, Some(ExitReason::Done)) => {
                    if held.state != HeldState::Completed {
                        machine.failing.clear();
                        held.step(HeldState::Completed);
                        if let (Some(job), false) = (&held.job, held.inherited) {
                            let held_s = now.since(held.placed_at) as f64 / 1_000.0;
                            let estimate_s = job.spec.estimate_s;
                            tracing::debug!(task = %held.task, machine = %id, held_s, estimate_s, "completed");
                            self.speeds
                                .entry(id.clone())
                                .or_insert(Speed::UNMEASURED)
                                .learn(estimate_s, held_s, self.parameters.start_speed);
                        }
                        if let Some(band) = held.over_capacity.take() {
                            self.over_capacity.ended(band, Outcome::Completed);
                        }
                    }
                }
                (TaskState::Ended, Some(ExitReason::Error)) => {
                    ended.push((listed.attempt, Failure::Error));
                }
                (TaskState::Ended, _) => ended.push((listed.attempt, Failure::Stopped)),
            }
            self.changed |= held.state != before;
        }
        for (attempt, failure) in ended {
            self.end(id, attempt, failure, now);
        }
    }

    fn not_listed(
        &mut self,
        id: &MachineId,
        report: &Report,
        definitive: bool,
        direct: bool,
        now: Time,
    ) {
        let Some(machine) = self.machines.get_mut(id) else {
            return;
        };
        let listed: BTreeSet<Attempt> = report.tasks.iter().map(|t| t.attempt).collect();
        let mut gone = Vec::new();
        let mut settled = Vec::new();
        for (attempt, held) in &mut machine.held {
            if listed.contains(attempt) {
                continue;
            }
            match held.state {
                HeldState::Recording | HeldState::Recorded => {}
                // The answer that carried the launch was dropped, or this report would list it.
                HeldState::Launched if direct => {}
                HeldState::Launched if held.stop.is_none() => held.step(HeldState::Recorded),
                // It can still arrive, so its absence means nothing.
                HeldState::Ordered => {}
                HeldState::Completed if held.durable => settled.push(*attempt),
                HeldState::Completed => {}
                _ if definitive => gone.push(*attempt),
                _ => {}
            }
        }
        for attempt in settled {
            machine.held.remove(&attempt);
            machine.stale_since.get_or_insert(now);
            self.changed = true;
        }
        for attempt in gone {
            self.end(id, attempt, Failure::Lost, now);
        }
    }

    fn commands(&mut self, id: &MachineId, report: &Report, now: Time) -> Vec<Command> {
        let Some(machine) = self.machines.get_mut(id) else {
            return Vec::new();
        };
        let mut commands = Vec::new();
        for ReportedTask {
            task,
            attempt,
            state,
            ..
        } in &report.tasks
        {
            let (task, attempt) = (*task, *attempt);
            let held = machine.held.get(&attempt);
            if *state == TaskState::Ended {
                // A completion is durable before the worker forgets it, and no launch of a forgotten
                // attempt may still be on its way.
                let reap = match held {
                    Some(held) => held.durable && !held.ordered,
                    None => !machine.kept.contains_key(&attempt),
                };
                if reap {
                    commands.push(Command::Reap { task, attempt });
                }
                continue;
            }
            let grace_s = match held {
                None => Some(0.0),
                Some(held) => held.stop,
            };
            match (grace_s, state) {
                (Some(grace_s), TaskState::Saving) if grace_s > 0.0 => {}
                (Some(grace_s), _) => commands.push(Command::Halt {
                    task,
                    attempt,
                    grace_s,
                }),
                (None, _) => {}
            }
        }
        let ordering = machine.ordering;
        let listed: BTreeSet<Attempt> = report.tasks.iter().map(|t| t.attempt).collect();
        for (attempt, held) in &mut machine.held {
            if held.session != report.session {
                continue;
            }
            let (task, attempt) = (held.task, *attempt);
            let launch = Command::Launch { task, attempt };
            match held.state {
                HeldState::Recorded if held.stop.is_none() && machine.notice.is_none() => {
                    held.step(HeldState::Launched);
                    held.placed_at = now;
                    commands.push(launch);
                }
                // The direct launch was not answered: launched this way as well, which has no
                // effect if it did arrive. One that is no longer wanted is stopped at once; the
                // worker then knows it as ended, and the late copy has no effect either.
                HeldState::Ordered if !ordering && !listed.contains(&attempt) => {
                    commands.push(launch);
                    if held.stop.is_some() {
                        let grace_s = 0.0;
                        commands.push(Command::Halt {
                            task,
                            attempt,
                            grace_s,
                        });
                    }
                }
                _ => {}
            }
        }
        commands
    }

    /// Launches and stops that can go straight to workers now. Only with authority.
    pub fn direct_orders(&mut self, now: Time, token: Epoch) -> Vec<DirectOrders> {
        let mut all = Vec::new();
        for (id, machine) in &mut self.machines {
            let Some(info) = &machine.info else { continue };
            let reachable = !machine.ordering && !machine.lost && now >= machine.order_from;
            if !reachable || now.since(machine.heard) > self.silent_ms {
                continue;
            }
            let session = machine.newest.0;
            let mut commands = Vec::new();
            for (attempt, held) in &mut machine.held {
                let (task, attempt) = (held.task, *attempt);
                let launch = held.state == HeldState::Recorded
                    && held.stop.is_none()
                    && machine.notice.is_none()
                    && held.session == session;
                if launch {
                    held.step(HeldState::Ordered);
                    held.ordered = true;
                    held.placed_at = now;
                    commands.push(Command::Launch { task, attempt });
                } else if let (Some(grace_s), HeldState::Fetching | HeldState::Running(_), false) =
                    (held.stop, held.state, held.stop_sent)
                {
                    held.stop_sent = true;
                    commands.push(Command::Halt {
                        task,
                        attempt,
                        grace_s,
                    });
                }
            }
            if !commands.is_empty() {
                machine.ordering = true;
                all.push(DirectOrders {
                    machine: id.clone(),
                    addr: info.addr.clone(),
                    orders: Orders {
                        token,
                        session,
                        commands,
                    },
                });
            }
        }
        all
    }

    /// Direct orders were answered, or not.
    pub fn ordered(
        &mut self,
        now: Time,
        sent: &DirectOrders,
        reply: &OrdersReply,
        epoch: Epoch,
        catalog: &Catalog,
    ) {
        let Some(machine) = self.machines.get_mut(&sent.machine) else {
            return;
        };
        machine.ordering = false;
        // Whatever was answered, or never left, cannot take effect later.
        let after = match reply {
            OrdersReply::Answered(report) => {
                self.take_in(now, report, epoch, catalog, true);
                HeldState::Launched
            }
            OrdersReply::NotSent => HeldState::Recorded,
            OrdersReply::Unknown => {
                machine.order_from = now + ORDERS_PAUSE_MS;
                return;
            }
        };
        let Some(machine) = self.machines.get_mut(&sent.machine) else {
            return;
        };
        if after == HeldState::Recorded {
            machine.order_from = now + ORDERS_PAUSE_MS;
        }
        for command in &sent.orders.commands {
            let Command::Launch { attempt, .. } = command else {
                continue;
            };
            machine.kept.remove(attempt);
            if let Some(held) = machine.held.get_mut(attempt) {
                held.ordered = false;
                if held.state == HeldState::Ordered {
                    held.step(after);
                }
            }
        }
    }

    /// Stops every attempt of a job that is over.
    pub fn stop_job(&mut self, job: JobId, now: Time) {
        self.queue.retain(|queued| queued.give.task.job != job);
        let attempts: Vec<(MachineId, Attempt)> = self
            .machines
            .iter()
            .flat_map(|(id, m)| m.held.iter().map(move |(a, held)| (id, a, held)))
            .filter(|(_, _, held)| held.task.job == job)
            .map(|(id, attempt, _)| (id.clone(), *attempt))
            .collect();
        for (id, attempt) in attempts {
            self.stop(&id, attempt, 0.0, now);
        }
    }

    fn stop(&mut self, id: &MachineId, attempt: Attempt, grace_s: f64, now: Time) {
        let Some(held) = self
            .machines
            .get_mut(id)
            .and_then(|machine| machine.held.get_mut(&attempt))
        else {
            return;
        };
        if held.never_launched() {
            self.end(id, attempt, Failure::Stopped, now);
        } else if held.state == HeldState::Completed {
            // The job is over: nothing is left to be made durable.
            held.durable |= grace_s == 0.0;
        } else {
            held.stop = Some(held.stop.map_or(grace_s, |before| before.min(grace_s)));
        }
    }

    /// Takes in the leader's answer.
    pub fn apply(&mut self, down: &SyncDown, now: Time) {
        self.failures.drain(..self.failures_sent);
        self.failures_sent = 0;
        self.seen = down.seq;
        for give in &down.gives {
            self.queue.push_back(Queued {
                give: give.clone(),
                since: now,
            });
        }
        for attempt in &down.stops {
            self.queue.retain(|queued| queued.give.attempt != *attempt);
            let found = self.machines.iter().find_map(|(id, m)| {
                let held = m.held.get(attempt)?;
                Some((id.clone(), held.job.as_ref().map_or(0.0, |j| grace(j))))
            });
            if let Some((id, grace_s)) = found {
                self.stop(&id, *attempt, grace_s, now);
            }
        }
        for machine in self.machines.values_mut() {
            for attempt in &down.durable {
                if let Some(held) = machine.held.get_mut(attempt) {
                    held.durable = true;
                }
            }
        }
        for (id, machine) in &mut self.machines {
            machine.draining = down.drains.contains(id);
            machine.claimed = down.claims.contains(id);
        }
        for id in &down.gone {
            self.returned(id, now);
        }
    }

    /// The cloud has confirmed that a machine and everything on it are gone.
    fn returned(&mut self, id: &MachineId, now: Time) {
        self.lose(id, now);
        self.speeds.remove(id);
    }

    /// Everything on a machine is certainly gone.
    fn lose(&mut self, id: &MachineId, now: Time) {
        let Some(machine) = self.machines.get_mut(id) else {
            return;
        };
        machine.lost = true;
        let attempts: Vec<Attempt> = machine
            .held
            .iter()
            .filter(|(_, held)| held.state != HeldState::Completed)
            .map(|(attempt, _)| *attempt)
            .collect();
        if !attempts.is_empty() {
            tracing::info!(machine = %id, tasks = attempts.len(), "machine lost with its tasks");
        }
        for attempt in attempts {
            self.end(id, attempt, Failure::Lost, now);
        }
    }

    /// Whether several machines reported to this controller and all of them have stopped.
    pub fn unreached(&self, now: Time) -> bool {
        let known = self
            .machines
            .values()
            .filter(|m| m.info.is_some() && !m.lost);
        let silent: Vec<bool> = known
            .map(|m| now.since(m.heard) > self.unreached_ms)
            .collect();
        silent.len() >= UNREACHED_MACHINES && silent.iter().all(|silent| *silent)
    }

    /// What time alone brings about: leases that have run out, queued tasks handed back, tasks
    /// saved before their machine is taken.
    pub fn tick(&mut self, now: Time) {
        let lease_ms = self.lease_ms;
        let expired: Vec<MachineId> = self
            .machines
            .iter()
            .filter(|(_, m)| !m.lost && now > m.renewed + lease_ms)
            .map(|(id, _)| id.clone())
            .collect();
        for id in expired {
            self.lose(&id, now);
        }
        // A lost machine is forgotten once nothing on it matters and its record is empty.
        self.machines.retain(|_, machine| {
            if machine.lost {
                machine
                    .held
                    .retain(|_, held| !(held.state == HeldState::Completed && held.durable));
            }
            !(machine.lost && machine.held.is_empty() && machine.recorded.is_empty())
        });
        let before = self.queue.len();
        self.queue
            .retain(|queued| now.since(queued.since) < QUEUED_MS);
        self.changed |= self.queue.len() != before;
        // What has not been launched on a machine that will be taken goes back at once.
        let unlaunched: Vec<(MachineId, Attempt)> = self
            .machines
            .iter()
            .filter(|(_, machine)| machine.notice.is_some())
            .flat_map(|(id, m)| m.held.iter().map(move |(a, held)| (id, a, held)))
            .filter(|(_, _, held)| held.never_launched())
            .map(|(id, attempt, _)| (id.clone(), *attempt))
            .collect();
        for (id, attempt) in unlaunched {
            self.end(&id, attempt, Failure::Stopped, now);
        }
        for machine in self.machines.values_mut() {
            let Some(notice) = machine.notice else {
                continue;
            };
            for held in machine.held.values_mut() {
                let saves = held.job.as_ref().is_some_and(|job| {
                    job.spec.checkpoint_s > 0.0
                        && now + (job.spec.save_s * 1_000.0) as u64 <= notice
                });
                if saves && held.stop.is_none() && matches!(held.state, HeldState::Running(_)) {
                    held.stop = held.job.as_ref().map(|job| grace(job));
                }
            }
        }
    }

    /// Puts queued tasks on machines by the design. Returns whether it got through the queue.
    pub fn place(&mut self, now: Time, mirror: &Mirror, budget: &Budget) -> bool {
        for _ in 0..self.queue.len() {
            if budget.spent() {
                return false;
            }
            let Some(queued) = self.queue.pop_front() else {
                break;
            };
            if !self.place_one(now, mirror, &queued.give) {
                self.queue.push_back(queued);
            }
        }
        true
    }

    fn place_one(&mut self, now: Time, mirror: &Mirror, give: &Give) -> bool {
        let Some(open) = mirror.get(give.task.job) else {
            return false;
        };
        let job = Rc::clone(&open.job);
        let need = Room::of_job(&job);
        let (parameters, speeds, silent_ms) = (&self.parameters, &self.speeds, self.silent_ms);
        let candidates = |again: bool| {
            let (job, need) = (&job, &need);
            self.machines.iter().filter_map(move |(id, machine)| {
                let info = machine.info.as_ref()?;
                let mine = match &give.claimed {
                    Some(claimed) => claimed == id,
                    None => !machine.claimed,
                };
                let fits = mine
                    && machine.usable(now, silent_ms)
                    && again == machine.failing.contains(&job.spec.id)
                    && job.allows(&info.machine_type, &info.zone, info.spot)
                    && give.zone.as_ref().is_none_or(|zone| *zone == info.zone)
                    && machine.free().holds(need);
                let speed = speeds.get(id).copied().unwrap_or(Speed::UNMEASURED);
                fits.then(|| Candidate {
                    id,
                    fullness: machine.fullness(),
                    capacity: parameters.capacity(speed.value(parameters.start_speed)),
                })
            })
        };
        // A machine on which the job has failed gets it again only if no other fits.
        let estimate_s = job.spec.estimate_s;
        let choice =
            choose(estimate_s, candidates(false)).or_else(|| choose(estimate_s, candidates(true)));
        let Some(choice) = choice else {
            return false;
        };
        let over_capacity = choice
            .over_capacity
            .then(|| self.parameters.band(job.spec.estimate_s));
        if let Some(band) = over_capacity {
            self.over_capacity.placed(band);
            tracing::debug!(task = %give.task, machine = %choice.machine, "placed over capacity");
        }
        if let Some(machine) = self.machines.get_mut(&choice.machine) {
            machine.held.insert(
                give.attempt,
                Held {
                    task: give.task,
                    job: Some(job),
                    state: HeldState::Recording,
                    session: machine.newest.0,
                    placed_at: now,
                    over_capacity,
                    inherited: false,
                    stop: None,
                    durable: false,
                    ordered: false,
                    stop_sent: false,
                },
            );
            self.changed = true;
        }
        true
    }

    /// Machines whose record should be written now; those that hold up a launch come first.
    pub fn records_due(&self, now: Time) -> Vec<MachineId> {
        let urgent = self.machines.iter().filter(|(_, m)| m.needs_record());
        let lazy = self.machines.iter().filter(|(_, m)| {
            !m.needs_record()
                && m.stale_since
                    .is_some_and(|since| now.since(since) >= LAZY_RECORD_MS)
        });
        urgent.chain(lazy).map(|(id, _)| id.clone()).collect()
    }

    /// A machine's record as it should be: none if nothing may be on the machine.
    pub fn record(&self, id: &MachineId) -> (Option<Value>, BTreeSet<Attempt>) {
        let Some(machine) = self.machines.get(id) else {
            return (None, BTreeSet::new());
        };
        let record: Vec<Recorded> = machine
            .held
            .iter()
            .map(|(attempt, held)| Recorded(held.task, *attempt, held.session))
            .collect();
        let attempts = machine.held.keys().copied().collect();
        let value = (!record.is_empty()).then(|| serde_json::json!(record));
        (value, attempts)
    }

    /// A machine's record is durable with these attempts.
    pub fn recorded(&mut self, id: &MachineId, attempts: BTreeSet<Attempt>) {
        let Some(machine) = self.machines.get_mut(id) else {
            return;
        };
        for attempt in &attempts {
            if let Some(held) = machine.held.get_mut(attempt) {
                if held.state == HeldState::Recording {
                    held.step(HeldState::Recorded);
                }
            }
        }
        let stale = attempts.iter().any(|a| !machine.held.contains_key(a));
        machine.recorded = attempts;
        if !stale {
            machine.stale_since = None;
        }
    }

    /// The part's state for the leader.
    pub fn sync_up(&mut self, now: Time, epoch: Epoch, from: &NodeName) -> SyncUp {
        self.changed = false;
        self.failures_sent = self.failures.len();
        for machine in self.machines.values_mut() {
            if machine.held.is_empty() {
                machine.empty_since.get_or_insert(now);
            } else {
                machine.empty_since = None;
            }
        }
        let machines = self
            .machines
            .iter()
            .filter_map(|(id, machine)| {
                let info = machine.info.as_ref()?;
                let free = machine.free();
                Some(MachineUp {
                    id: id.clone(),
                    machine_type: info.machine_type.clone(),
                    zone: info.zone.clone(),
                    spot: info.spot,
                    usable: machine.usable(now, self.silent_ms),
                    idle_ms: machine.empty_since.map(|since| now.since(since)),
                    cpus: free.cpus,
                    gpus: free.gpus,
                    memory_gb: free.memory_gb,
                    noticed: machine.notice.is_some(),
                    lost: machine.lost,
                })
            })
            .collect();
        let queued = self.queue.iter().map(|queued| AttemptUp {
            task: queued.give.task,
            attempt: queued.give.attempt,
            machine: None,
            phase: Phase::Queued,
            ran_ms: 0,
        });
        let held = self.machines.iter().flat_map(|(id, machine)| {
            machine.held.iter().map(move |(attempt, held)| AttemptUp {
                task: held.task,
                attempt: *attempt,
                machine: Some(id.clone()),
                phase: match held.state {
                    HeldState::Running(_) => Phase::Running,
                    HeldState::Completed => Phase::Completed,
                    _ => Phase::Placed,
                },
                ran_ms: match held.state {
                    HeldState::Running(since) => now.since(since),
                    _ => 0,
                },
            })
        });
        SyncUp {
            epoch,
            from: from.clone(),
            seen: self.seen,
            machines,
            attempts: queued.chain(held).collect(),
            failures: self.failures.clone(),
        }
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
