//! An in-memory cluster on virtual time: state service, cloud, workers, network and controllers.
//!
//! It checks the rules by itself, all the time: see [`invariants`]. Troubles are fields of [`Faults`] that
//! scenarios set and clear, and that go together in any way. Everything in it is deterministic; what is drawn
//! is drawn from the cluster's seed.

mod cloud;
mod controllers;
mod digest;
mod failure;
mod faults;
mod fixtures;
mod inspection;
pub mod invariants;
mod job_audit;
mod key_value_store;
mod links;
mod network;
pub mod random_day;
mod resource_usage;
mod users;
mod workers;

use std::collections::{BTreeMap, BinaryHeap};

use worksshunt_core::controller::{Action, Controller, Event, KvPurpose, KvRequest, KvResponse};
use worksshunt_core::fleet::CloudRequest;
use worksshunt_core::job_api::{HttpResponse, RequestId};
use worksshunt_core::machines::DirectCommands;
use worksshunt_core::time::{Time, TokenBucket};
use worksshunt_wire::cloud::MachineIds;
use worksshunt_wire::key_value::CompareAndSwap;
use worksshunt_wire::peer::PeerRequest;
use worksshunt_wire::settings::Settings;
use worksshunt_wire::user::{JobKind, JobSpec};
use worksshunt_wire::worker::{Command, Heartbeat, TaskState};
use worksshunt_wire::{Attempt, JobId, MachineId, Revision, TaskId};

pub use digest::{DayDigest, TrafficDigest};
pub use failure::Failure;
pub use faults::{Faults, LateWrites};
use fixtures::catalog;
pub use fixtures::{job, large_settings, long_job, service, settings};
use job_audit::{JobAudit, ObservedTask};
pub use key_value_store::Store;
use links::Link;
pub use links::SlowLinks;
pub use resource_usage::ResourceUsage;
use workers::Task;
pub use workers::Worker;

use invariants::{FreeCapacity, Invariants, JobQuery, SILENT_MOST_MS};

/// Workers' lease, ms; as in the settings below.
const LEASE_MS: u64 = 16_000;
/// Interval of reports, ms.
const HEARTBEAT_INTERVAL_MS: u64 = 2_500;
/// How long a worker waits for the answer to a report, ms.
const HEARTBEAT_DEADLINE_MS: u64 = 4_000;
/// Processors of a machine.
const MACHINE_CPUS: f64 = 4.0;
/// How often the cluster looks at itself, ms.
const LOOK_MS: u64 = 100;
/// 1 January 2026 in ms.
const WALL_MS: u64 = 1_767_225_600_000;

struct SimulatedController {
    controller: Controller,
    incarnation: u64,
    started_at: u64,
}

enum SimulationEvent {
    Tick(usize, u64),
    Dispatch(usize, u64, Box<Event>),
    KeyValueRequestArrives(usize, u64, KvPurpose, KvRequest, Time, u64),
    CloudRequestArrives(usize, u64, CloudRequest),
    PeerRequestArrives(usize, u64, usize, RequestId, PeerRequest),
    PeerDeadline(usize, u64, u64),
    CommandsArrive(usize, u64, DirectCommands, u64),
    LateCommandsArrive(usize, DirectCommands),
    WorkerStep(MachineId),
    HeartbeatArrives(usize, MachineId, Heartbeat, u64),
    CopyArrives(usize, Heartbeat),
    HeartbeatResponseArrives(MachineId, u64, u64, u64, HttpResponse),
    HeartbeatDeadline(MachineId, u64, u64),
    LateWriteArrives(CompareAndSwap),
    Inspect,
    RunAction(ScheduledAction),
}

/// A controller that stands still, with what it was doing and what has come meanwhile.
#[derive(Default)]
struct PausedController {
    /// What it had decided when it stopped, which leaves when it goes on.
    decided: Option<(u64, Time, Vec<Action>)>,
    came: Vec<(u64, Event)>,
}

/// Something that a scenario lets happen later.
type ScheduledAction = Box<dyn FnOnce(&mut Cluster)>;

/// A watch that waits for changes.
struct Watch {
    node: usize,
    incarnation: u64,
    tag: KvPurpose,
    prefix: String,
    since: Revision,
    sent: Time,
    /// When it is answered although nothing has changed.
    ends: u64,
    /// When its sender gives up on it.
    until: u64,
}

enum PendingRequest {
    User(usize, JobQuery),
    Heartbeat(MachineId, u64, u64, u64),
    Peer(usize, u64, u64),
}

struct ScheduledEvent(u64, u64, SimulationEvent);

impl PartialEq for ScheduledEvent {
    fn eq(&self, other: &ScheduledEvent) -> bool {
        (self.0, self.1) == (other.0, other.1)
    }
}
impl Eq for ScheduledEvent {}
impl PartialOrd for ScheduledEvent {
    fn partial_cmp(&self, other: &ScheduledEvent) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for ScheduledEvent {
    fn cmp(&self, other: &ScheduledEvent) -> std::cmp::Ordering {
        (other.0, other.1).cmp(&(self.0, self.1))
    }
}

/// A deployment on virtual time.
pub struct Cluster {
    /// Milliseconds since its beginning.
    pub now: u64,
    /// Settings of its controllers.
    pub settings: Vec<Settings>,
    nodes: Vec<Option<SimulatedController>>,
    incarnations_started: u64,
    event_queue: BinaryHeap<ScheduledEvent>,
    next_event_order: u64,
    key_value_store: Store,
    /// The state service was down when last looked at.
    key_value_store_was_down: bool,
    watches: Vec<Watch>,
    /// Machines rented, up or not.
    pub workers: BTreeMap<MachineId, Worker>,
    /// What judges it.
    pub invariants: Invariants,
    /// What is on machines, as of the starts of this moment.
    job_audit: Option<JobAudit>,
    /// What has passed between its members.
    pub usage: ResourceUsage,
    /// What the state service takes a second, requests and changes; none: any number.
    pub state_rates: Option<(TokenBucket, TokenBucket)>,
    /// What the cloud takes a second; none: any number.
    pub cloud_rate: Option<TokenBucket>,
    /// Workers act at multiples of so many ms, so that thousands of them act at few moments.
    pub worker_step_ms: u64,
    rng: fastrand::Rng,
    /// Attempts per epoch, if fewer than there are numbers.
    attempts_most: Option<u64>,
    /// Machines that the cloud has.
    pub capacity: usize,
    /// How long a task runs.
    pub task_run_ms: u64,
    /// How much longer each task runs than the one before it, in groups of eight.
    pub run_spread_ms: u64,
    /// The boot time in the catalogue, seconds. Machines take five.
    pub nominal_boot_s: f64,
    /// One way over the network, ms.
    pub link_delay_ms: u64,
    /// How much longer a message takes at the most, drawn for each, ms.
    pub jitter_ms: u64,
    /// How long machines take to boot, ms.
    pub boot_ms: u64,
    /// How long a machine is missing from the list.
    pub list_lag_ms: u64,
    requests_sent: u64,
    pending_requests: BTreeMap<(usize, u64, RequestId), PendingRequest>,
    user_replies: Vec<Option<HttpResponse>>,
    /// How it departs from a quiet day.
    pub faults: Faults,
    held_writes: Vec<KvRequest>,
    /// Transactions that could be slow.
    write_count: u64,
    held_commands: Vec<DirectCommands>,
    held_heartbeats: Vec<Heartbeat>,
    paused: BTreeMap<usize, PausedController>,
    /// Copies kept for the next leader, and the epoch in which they are kept.
    kept_copies: Vec<Heartbeat>,
    kept_in: u64,
    /// How often each trouble took effect, by its name.
    pub fault_effects: BTreeMap<&'static str, usize>,
    /// Submissions as first sent, for repetitions.
    bodies: BTreeMap<JobId, Vec<u8>>,
    /// Transactions that the state service found too large.
    pub too_large: usize,
    /// Every start of a task: when, which, where.
    pub task_starts: Vec<(u64, TaskId, MachineId)>,
    /// Machines returned to the cloud.
    pub released_machines: Vec<MachineId>,
    provisioned: BTreeMap<String, MachineIds>,
    /// Every attempt launched, with its task and machine.
    launched: BTreeMap<Attempt, (TaskId, MachineId)>,
    commands_sent_to: Vec<MachineId>,
    machines_made: u64,
    /// A digest of all messages that controllers send and get, if it is wanted.
    pub digest: Option<TrafficDigest>,
}

impl Default for Cluster {
    fn default() -> Cluster {
        Cluster::new()
    }
}

impl Cluster {
    /// Three controllers and nothing else yet.
    pub fn new() -> Cluster {
        Cluster::with_settings(settings)
    }

    /// Three controllers with these settings and nothing else yet.
    pub fn with_settings(settings: impl Fn(usize) -> Settings) -> Cluster {
        let mut cluster = Cluster {
            now: 0,
            settings: (0..3).map(settings).collect(),
            nodes: (0..3).map(|_| None).collect(),
            incarnations_started: 0,
            event_queue: BinaryHeap::new(),
            next_event_order: 0,
            key_value_store: Store::default(),
            key_value_store_was_down: false,
            watches: Vec::new(),
            workers: BTreeMap::new(),
            invariants: Invariants::default(),
            job_audit: None,
            usage: ResourceUsage::default(),
            state_rates: None,
            cloud_rate: None,
            worker_step_ms: 1,
            rng: fastrand::Rng::with_seed(1),
            attempts_most: None,
            capacity: 10,
            task_run_ms: 8_000,
            run_spread_ms: 0,
            nominal_boot_s: 5.0,
            link_delay_ms: 3,
            jitter_ms: 0,
            boot_ms: 5_000,
            list_lag_ms: 0,
            requests_sent: 0,
            pending_requests: BTreeMap::new(),
            user_replies: Vec::new(),
            faults: Faults::default(),
            held_writes: Vec::new(),
            write_count: 0,
            held_commands: Vec::new(),
            held_heartbeats: Vec::new(),
            paused: BTreeMap::new(),
            kept_copies: Vec::new(),
            kept_in: 0,
            fault_effects: BTreeMap::new(),
            bodies: BTreeMap::new(),
            too_large: 0,
            task_starts: Vec::new(),
            released_machines: Vec::new(),
            provisioned: BTreeMap::new(),
            launched: BTreeMap::new(),
            commands_sent_to: Vec::new(),
            machines_made: 0,
            digest: None,
        };
        for node in 0..3 {
            cluster.start(node);
        }
        cluster.schedule_at(0, SimulationEvent::Inspect);
        cluster
    }

    /// A deployment of so many machines with the rates of the state service and the cloud that its settings
    /// name. Machines boot in 20 s and tasks run for as long.
    pub fn large(machines: usize) -> Cluster {
        let mut cluster = Cluster::with_settings(|name| large_settings(name, machines));
        let facts = &cluster.settings[0].facts;
        let bucket = |rate: f64| TokenBucket::new(rate, rate);
        cluster.state_rates = Some((bucket(facts.state.rps), bucket(facts.state.write_rps)));
        cluster.cloud_rate = Some(TokenBucket::new(facts.cloud.rps, facts.cloud.rps * 2.0));
        cluster.worker_step_ms = 250;
        cluster.capacity = machines;
        cluster.nominal_boot_s = 25.0;
        cluster.boot_ms = 20_000;
        cluster.task_run_ms = 20_000;
        cluster.list_lag_ms = 5_000;
        cluster
    }

    /// What is drawn from now on is drawn from this seed.
    pub fn seed(&mut self, seed: u64) {
        self.rng = fastrand::Rng::with_seed(seed);
    }

    /// Lets something happen later.
    pub fn schedule(&mut self, ms: u64, scene: impl FnOnce(&mut Cluster) + 'static) {
        self.schedule_at(self.now + ms, SimulationEvent::RunAction(Box::new(scene)));
    }

    /// Notes that a trouble took effect.
    fn record_effect(&mut self, faults: &'static str) {
        *self.fault_effects.entry(faults).or_default() += 1;
    }

    /// How often a trouble took effect.
    pub fn effects(&self, faults: &str) -> usize {
        self.fault_effects.get(faults).copied().unwrap_or_default()
    }

    fn schedule_at(&mut self, when: u64, what: SimulationEvent) {
        self.next_event_order += 1;
        self.event_queue
            .push(ScheduledEvent(when, self.next_event_order, what));
    }

    /// Lets time pass.
    pub fn run(&mut self, ms: u64) {
        let until = self.now + ms;
        while self
            .event_queue
            .peek()
            .is_some_and(|entry| entry.0 <= until)
        {
            let Some(ScheduledEvent(when, _, what)) = self.event_queue.pop() else {
                break;
            };
            self.now = when;
            self.apply_event(what);
        }
        self.now = until;
    }

    /// Lets time pass until something holds, or fails the test.
    pub fn until(&mut self, what: &str, most_ms: u64, holds: impl Fn(&Cluster) -> bool) {
        let held = self.wait_until(what, most_ms, holds);
        held.unwrap_or_else(|failure| panic!("{failure}"));
    }

    /// Lets time pass until something holds.
    ///
    /// # Errors
    ///
    /// It did not hold within `most_ms` milliseconds.
    pub fn wait_until(
        &mut self,
        what: &str,
        most_ms: u64,
        holds: impl Fn(&Cluster) -> bool,
    ) -> Result<(), Failure> {
        let end = self.now + most_ms;
        while !holds(self) {
            if self.now >= end {
                return Err(Failure::NotInTime(what.to_owned()));
            }
            self.run(100);
        }
        Ok(())
    }

    /// Delivers a report to a controller once more.
    pub fn deliver_copy(&mut self, node: usize, heartbeat: Heartbeat) {
        self.schedule_at(self.now, SimulationEvent::CopyArrives(node, heartbeat));
        self.run(10);
    }

    /// A machine's report as it would be now.
    pub fn heartbeat_of(&mut self, id: &MachineId) -> Heartbeat {
        Self::heartbeat(id, self.workers.get_mut(id).expect("a worker"))
    }

    /// The reports kept back reach these controllers now.
    pub fn release_heartbeats(&mut self, nodes: &[usize]) -> usize {
        let held = std::mem::take(&mut self.held_heartbeats);
        for heartbeat in &held {
            for node in nodes {
                self.record_effect("held report");
                self.schedule_at(
                    self.now,
                    SimulationEvent::CopyArrives(*node, heartbeat.clone()),
                );
            }
        }
        held.len()
    }

    /// A machine hangs for so long.
    pub fn hang(&mut self, id: &MachineId, ms: u64) {
        let set = |cluster: &mut Cluster, id: &MachineId, hung: bool| {
            if let Some(worker) = cluster.workers.get_mut(id) {
                worker.hung = hung;
            }
        };
        set(self, id, true);
        let id = id.clone();
        self.schedule(ms, move |cluster| set(cluster, &id, false));
    }

    /// Puts a task on a machine behind the controllers' backs.
    pub fn inject_task(&mut self, id: &MachineId, task: TaskId, attempt: u64) {
        let worker = self.workers.get_mut(id).expect("a worker");
        let attempt = Attempt(attempt);
        Self::execute(worker, &Command::Launch { task, attempt });
    }

    /// The transactions kept back are applied now, long after they were sent.
    pub fn release_writes(&mut self) -> Vec<KvResponse> {
        let held = std::mem::take(&mut self.held_writes);
        let now = self.now;
        let replies = held
            .iter()
            .map(|op| self.key_value_store.apply(now, op))
            .collect();
        self.wake_watches();
        replies
    }

    /// The orders kept back are carried out now, long after they were sent.
    pub fn release_commands(&mut self) -> usize {
        let held = std::mem::take(&mut self.held_commands);
        for orders in &held {
            self.execute_commands(orders);
        }
        held.len()
    }

    fn request(&mut self) -> RequestId {
        self.requests_sent += 1;
        RequestId(self.requests_sent)
    }

    /// What the cluster does from time to time by itself: it judges what is there, wakes watches, and delivers
    /// what was kept for a new leader.
    fn inspect(&mut self) {
        self.schedule_at(self.now + LOOK_MS, SimulationEvent::Inspect);
        self.renew_leases_after_outage();
        self.wake_watches();
        let epoch = self.epoch();
        if epoch != self.kept_in {
            self.kept_in = epoch;
            for heartbeat in std::mem::take(&mut self.kept_copies) {
                for node in 0..3 {
                    self.record_effect("copy for the next leader");
                    self.schedule_at(
                        self.now,
                        SimulationEvent::CopyArrives(node, heartbeat.clone()),
                    );
                }
            }
        }
        let mut invariants = std::mem::take(&mut self.invariants);
        if invariants.any_cancelled() {
            invariants.look(self.now, &self.observed_tasks());
        }
        if self.now.is_multiple_of(1_000) {
            let hopeless = &self.faults.failing_jobs;
            let all_up = self.nodes.iter().all(Option::is_some) && self.paused.is_empty();
            let quiet = self.faults.none() && all_up;
            let audit = JobAudit::new(self.now, &self.observed_tasks());
            invariants.look_for_waiting(self.now, quiet, &audit, &self.free(), hopeless);
        }
        self.invariants = invariants;
    }

    /// Room on machines that nothing is the matter with.
    fn free(&self) -> Vec<FreeCapacity<'_>> {
        let faults = &self.faults;
        let is_service = |spec: &JobSpec| spec.kind == JobKind::Service;
        let any_service = self.invariants.jobs.values().any(is_service);
        let well = |(id, worker): &(&MachineId, &Worker)| {
            let odd = [
                &faults.unreachable_machines,
                &faults.silent_machines,
                &faults.hold_heartbeats,
                &faults.faulty_machines,
            ];
            self.now >= worker.up_at
                && !worker.hung
                && !odd.iter().any(|set| set.contains(id))
                // Ordinary machines may be kept for services.
                && (worker.spot || !any_service)
        };
        let free = |(_, worker): (&MachineId, &Worker)| {
            let on = worker.tasks.values();
            let on = on.filter(|task| task.state != TaskState::Ended);
            let cpus = |task: &Task| {
                self.invariants
                    .jobs
                    .get(&task.task.job)
                    .map_or(1.0, |j| j.cpus)
            };
            (MACHINE_CPUS - on.map(cpus).sum::<f64>()).max(0.0)
        };
        let well = self.workers.iter().filter(well);
        well.map(|(id, worker)| FreeCapacity {
            zone: &worker.zone,
            spot: worker.spot,
            cpus: free((id, worker)),
        })
        .collect()
    }

    fn renew_leases_after_outage(&mut self) {
        if self.key_value_store_was_down && !self.faults.key_value_store_down {
            self.key_value_store.renew_all(self.now);
        }
        self.key_value_store_was_down = self.faults.key_value_store_down;
    }

    /// Ends the day, and fails the test if a rule was broken. Once troubles are over, questions about all
    /// accepted jobs are answered, by every controller.
    pub fn check(&mut self) {
        let judged = self.judge();
        judged.unwrap_or_else(|failure| panic!("{failure}"));
    }

    /// Ends the day and judges it. Once troubles are over, questions about all accepted jobs are answered, by every
    /// controller.
    ///
    /// # Errors
    ///
    /// A rule was broken.
    pub fn judge(&mut self) -> Result<(), Failure> {
        if self.faults.none() && self.nodes.iter().all(Option::is_some) && self.paused.is_empty() {
            self.query_all_accepted();
        }
        self.no_rule_broken()
    }

    fn no_rule_broken(&self) -> Result<(), Failure> {
        match self.invariants.broken.is_empty() {
            true => Ok(()),
            false => Err(Failure::RulesBroken(self.invariants.broken.clone())),
        }
    }

    /// Ends all troubles and starts all controllers, waits until whatever was accepted is done, and judges the day.
    ///
    /// # Errors
    ///
    /// A rule was broken, or jobs were not done in time.
    pub fn settle(&mut self) -> Result<(), Failure> {
        self.faults = Faults::default();
        for node in 0..3 {
            if !self.is_up(node) {
                self.start(node);
            }
        }
        self.no_rule_broken()?;
        self.task_run_ms = 5_000;
        self.wait_until("an end of all jobs", 300_000, |w| w.keys("j/").is_empty())?;
        self.judge()
    }
}
