//! An in-memory deployment on virtual time: key-value store, cloud, workers, network and controllers.
//!
//! Scenarios, random days and measurements create a [`Cluster`], set and clear its [`Faults`], which combine in any
//! way, and let time pass. The cluster checks the [`invariants`] all the time. A run is deterministic: all random
//! numbers come from the cluster's seed.

mod cloud;
mod commands;
mod controllers;
mod digest;
mod events;
mod failure;
mod faults;
mod fixtures;
mod heartbeats;
mod inspection;
pub mod invariants;
mod job_audit;
mod key_value_service;
mod key_value_store;
mod links;
mod network;
mod peers;
pub mod random_day;
mod resource_usage;
mod users;
mod verdict;
mod worker;
mod workers;

use std::collections::BTreeMap;

use worksshunt_core::machines::DirectCommands;
use worksshunt_core::time::TokenBucket;
use worksshunt_wire::settings::Settings;
use worksshunt_wire::worker::Heartbeat;
use worksshunt_wire::{Attempt, MachineId};

pub use digest::{DayDigest, TrafficDigest};
pub use failure::Failure;
pub use faults::{
    CloudFaults, DelayRange, Faults, HeartbeatFaults, KeyValueFaults, KeyValueLimits, LateWrites,
    ZonePartition,
};
pub use fixtures::{job, large_settings, long_job, service, settings};
pub use key_value_service::KeyValueRates;
pub use key_value_store::Store;
pub use links::SlowLinks;
pub use resource_usage::ResourceUsage;
pub use worker::Worker;
pub use workers::TaskStart;

use cloud::CloudRecords;
use controllers::Controllers;
use events::{EventQueue, SimulationEvent};
use invariants::Invariants;
use job_audit::JobAudit;
use key_value_service::KeyValueService;
use network::PendingRequests;
use users::Users;
use workers::Launch;

/// Controllers of a cluster.
const CONTROLLERS: usize = 3;
/// Workers' lease, ms; as in the settings of the scenarios.
const LEASE_MS: u64 = 16_000;
/// Interval of heartbeats, ms.
const HEARTBEAT_INTERVAL_MS: u64 = 2_500;
/// How long a worker waits for the response to a heartbeat, ms.
const HEARTBEAT_TIMEOUT_MS: u64 = 4_000;
/// Processors of a machine.
const MACHINE_CPUS: f64 = 4.0;
/// Interval at which the cluster inspects itself, ms.
const INSPECTION_INTERVAL_MS: u64 = 100;

/// A deployment on virtual time.
pub struct Cluster {
    /// Milliseconds since its start.
    pub now: u64,
    event_queue: EventQueue,
    rng: fastrand::Rng,

    /// Settings of its controllers.
    pub settings: Vec<Settings>,
    controllers: Controllers,
    pending_requests: PendingRequests,
    users: Users,
    key_value: KeyValueService,
    cloud: CloudRecords,
    /// Machines provisioned, booted or not.
    pub workers: BTreeMap<MachineId, Worker>,

    /// Rates of the key-value store; none: unlimited.
    pub key_value_rates: Option<KeyValueRates>,
    /// Rate of the cloud, calls a second; none: unlimited.
    pub cloud_rate: Option<TokenBucket>,
    /// Machines boot at multiples of so many ms, so that thousands of workers act at few moments.
    pub worker_step_ms: u64,
    /// Machines that the cloud has.
    pub capacity: usize,
    /// How long a task runs, ms.
    pub task_run_ms: u64,
    /// How much longer each task runs than the one before it, in groups of eight, ms.
    pub run_spread_ms: u64,
    /// The boot time in the catalogue, seconds. Machines take five.
    pub nominal_boot_s: f64,
    /// One way over the network, ms.
    pub link_delay_ms: u64,
    /// The most that a message takes longer, drawn for each, ms.
    pub jitter_ms: u64,
    /// How long machines take to boot, ms.
    pub boot_ms: u64,
    /// How long a new machine is missing from the list, ms.
    pub list_lag_ms: u64,

    /// How it departs from a quiet day.
    pub faults: Faults,
    /// How often each fault took effect, by its name.
    pub fault_effects: BTreeMap<&'static str, usize>,
    /// Direct commands held back until released.
    held_commands: Vec<DirectCommands>,
    /// Heartbeats held back until released.
    held_heartbeats: Vec<Heartbeat>,
    /// Copies of heartbeats kept for the next leader.
    copies_for_next_leader: Vec<Heartbeat>,
    /// The epoch in which they are kept.
    copies_epoch: u64,

    /// The checker of the protocol's rules.
    pub invariants: Invariants,
    /// What is on machines, as of the starts at this moment.
    job_audit: Option<JobAudit>,
    /// Counts of the traffic between its members.
    pub usage: ResourceUsage,
    /// Transactions that the key-value store found too large.
    pub too_large: usize,
    /// Every start of a task.
    pub task_starts: Vec<TaskStart>,
    /// Machines returned to the cloud.
    pub released_machines: Vec<MachineId>,
    /// Every attempt launched.
    launched: BTreeMap<Attempt, Launch>,
    /// The receiver of each direct command request.
    commands_sent_to: Vec<MachineId>,
    /// A digest of all messages that controllers send and receive, if it is wanted.
    pub digest: Option<TrafficDigest>,
}

impl Default for Cluster {
    fn default() -> Cluster {
        Cluster::new()
    }
}

impl Cluster {
    /// Three controllers with the settings of the scenarios and nothing else yet.
    pub fn new() -> Cluster {
        Cluster::with_settings(settings)
    }

    /// Three controllers with these settings and nothing else yet.
    pub fn with_settings(settings: impl Fn(usize) -> Settings) -> Cluster {
        let mut cluster = Cluster::without_controllers((0..CONTROLLERS).map(settings).collect());
        for controller in 0..CONTROLLERS {
            cluster.start(controller);
        }
        cluster.schedule_at(0, SimulationEvent::Inspect);
        cluster
    }

    fn without_controllers(settings: Vec<Settings>) -> Cluster {
        Cluster {
            now: 0,
            event_queue: EventQueue::default(),
            rng: fastrand::Rng::with_seed(1),
            settings,
            controllers: Controllers::default(),
            pending_requests: PendingRequests::default(),
            users: Users::default(),
            key_value: KeyValueService::default(),
            cloud: CloudRecords::default(),
            workers: BTreeMap::new(),
            key_value_rates: None,
            cloud_rate: None,
            worker_step_ms: 1,
            capacity: 10,
            task_run_ms: 8_000,
            run_spread_ms: 0,
            nominal_boot_s: 5.0,
            link_delay_ms: 3,
            jitter_ms: 0,
            boot_ms: 5_000,
            list_lag_ms: 0,
            faults: Faults::default(),
            fault_effects: BTreeMap::new(),
            held_commands: Vec::new(),
            held_heartbeats: Vec::new(),
            copies_for_next_leader: Vec::new(),
            copies_epoch: 0,
            invariants: Invariants::default(),
            job_audit: None,
            usage: ResourceUsage::default(),
            too_large: 0,
            task_starts: Vec::new(),
            released_machines: Vec::new(),
            launched: BTreeMap::new(),
            commands_sent_to: Vec::new(),
            digest: None,
        }
    }

    /// A deployment of so many machines with the rates of the key-value store and the cloud that its settings
    /// name. Machines boot in 20 s and tasks run for as long.
    pub fn large(machines: usize) -> Cluster {
        let mut cluster = Cluster::with_settings(|name| large_settings(name, machines));
        let facts = &cluster.settings[0].facts;
        let bucket = |rate: f64| TokenBucket::new(rate, rate);
        cluster.key_value_rates = Some(KeyValueRates {
            requests: bucket(facts.key_value_store.requests_per_s),
            changes: bucket(facts.key_value_store.changes_per_s),
        });
        cluster.cloud_rate = Some(TokenBucket::new(
            facts.cloud.requests_per_s,
            facts.cloud.requests_per_s * 2.0,
        ));
        cluster.worker_step_ms = 250;
        cluster.capacity = machines;
        cluster.nominal_boot_s = 25.0;
        cluster.boot_ms = 20_000;
        cluster.task_run_ms = 20_000;
        cluster.list_lag_ms = 5_000;
        cluster
    }

    /// Restarts the random numbers from this seed.
    pub fn seed(&mut self, seed: u64) {
        self.rng = fastrand::Rng::with_seed(seed);
    }

    /// Runs an action later, ms from now.
    pub fn schedule(&mut self, ms: u64, action: impl FnOnce(&mut Cluster) + 'static) {
        let action = SimulationEvent::RunAction(Box::new(action));
        self.schedule_at(self.now + ms, action);
    }

    /// Notes that a fault took effect.
    fn record_effect(&mut self, fault: &'static str) {
        *self.fault_effects.entry(fault).or_default() += 1;
    }

    /// How often a fault took effect.
    pub fn effects(&self, fault: &str) -> usize {
        self.fault_effects.get(fault).copied().unwrap_or_default()
    }

    /// Lets time pass.
    pub fn run(&mut self, ms: u64) {
        let until = self.now + ms;
        while let Some(scheduled) = self.event_queue.pop_due(until) {
            self.now = scheduled.due_at;
            self.apply_event(scheduled.event);
        }
        self.now = until;
    }

    /// Lets time pass until a condition holds, which is checked every 100 ms, or fails the test.
    ///
    /// # Panics
    ///
    /// It did not hold within `limit_ms` milliseconds.
    pub fn until(&mut self, what: &str, limit_ms: u64, holds: impl Fn(&Cluster) -> bool) {
        let outcome = self.wait_until(what, limit_ms, holds);
        outcome.unwrap_or_else(|failure| panic!("{failure}"));
    }

    /// Lets time pass until a condition holds, which is checked every 100 ms.
    ///
    /// # Errors
    ///
    /// It did not hold within `limit_ms` milliseconds.
    pub fn wait_until(
        &mut self,
        what: &str,
        limit_ms: u64,
        holds: impl Fn(&Cluster) -> bool,
    ) -> Result<(), Failure> {
        let end = self.now + limit_ms;
        while !holds(self) {
            if self.now >= end {
                return Err(Failure::NotInTime(what.to_owned()));
            }
            self.run(100);
        }
        Ok(())
    }
}
