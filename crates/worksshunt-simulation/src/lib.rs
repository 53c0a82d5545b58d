//! An in-memory deployment on virtual time: key-value store, cloud, workers, network and controllers.
//!
//! Scenarios, random runs and measurements create a [`Cluster`], inject and clear [`Faults`] in any combination, and
//! advance the virtual clock. The cluster checks the [`invariants`] throughout. A run is deterministic: all random
//! numbers come from seeded generators.

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
mod key_value_service;
mod key_value_store;
mod links;
mod network;
mod peers;
pub mod random_run;
mod resource_usage;
mod task_snapshot;
mod users;
mod verdict;
mod worker;
mod workers;

use std::collections::BTreeMap;

use worksshunt_core::machines::DirectCommands;
use worksshunt_core::resources::Resources;
use worksshunt_core::time::TokenBucket;
use worksshunt_wire::settings::Settings;
use worksshunt_wire::worker::Heartbeat;
use worksshunt_wire::{AttemptId, MachineId};

pub use digest::{RunDigest, TrafficDigest};
pub use failure::Failure;
pub use faults::{
    CloudFaults, DelayRange, DelayedWrites, Faults, HeartbeatFaults, KeyValueFaults,
    KeyValueLimits, RepeatedCommands, RepeatedPeerRequests, ZonePartition,
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
use key_value_service::KeyValueService;
use network::PendingRequests;
use task_snapshot::TaskSnapshot;
use users::Users;
use workers::Launch;

/// Number of controllers in a cluster.
const CONTROLLER_COUNT: usize = 3;
/// Duration of a worker's lease, ms; equals `lease_s` of [`settings`].
const LEASE_MS: u64 = 16_000;
/// Interval between a worker's heartbeats, ms; equals `report_s` of [`settings`].
const HEARTBEAT_INTERVAL_MS: u64 = 2_500;
/// Timeout of a worker's heartbeat, ms.
const HEARTBEAT_TIMEOUT_MS: u64 = 4_000;
/// CPUs of a machine; equals the catalog's offer.
const MACHINE_CPUS: f64 = 4.0;
/// Resources of an empty machine; equal the catalog's offer.
const MACHINE_CAPACITY: Resources = Resources {
    cpus: MACHINE_CPUS,
    gpus: 0.0,
    memory_gb: 16.0,
};
/// Interval between inspections of the whole cluster, ms.
const INSPECTION_INTERVAL_MS: u64 = 100;

/// A simulated deployment with its virtual clock and fault injection.
pub struct Cluster {
    /// The virtual clock, ms since the cluster was created.
    pub now: u64,
    event_queue: EventQueue,
    rng: fastrand::Rng,

    /// Settings by controller index.
    pub settings: Vec<Settings>,
    controllers: Controllers,
    pending_requests: PendingRequests,
    users: Users,
    key_value: KeyValueService,
    cloud: CloudRecords,
    /// Machines that exist, booting ones included.
    pub workers: BTreeMap<MachineId, Worker>,

    /// Rate limits of the key-value store; `None` if unlimited.
    pub key_value_rates: Option<KeyValueRates>,
    /// Rate limit of the cloud in calls per second; `None` if unlimited.
    pub cloud_rate: Option<TokenBucket>,
    /// Boot times are rounded up to a multiple of this, ms: fewer distinct event times make large clusters faster.
    pub boot_granularity_ms: u64,
    /// Maximum number of machines that the cloud provisions.
    pub capacity: usize,
    /// Run time of the first task of each group of eight, ms; see [`Cluster::run_spread_ms`].
    pub task_run_ms: u64,
    /// Additional run time per task index within a group of eight, ms.
    pub run_spread_ms: u64,
    /// Boot time according to the catalog, seconds; the actual one is [`Cluster::boot_ms`].
    pub nominal_boot_s: f64,
    /// One-way network delay, ms.
    pub link_delay_ms: u64,
    /// Maximum additional delay, drawn for each message, ms.
    pub jitter_ms: u64,
    /// Actual boot time of a machine, ms.
    pub boot_ms: u64,
    /// Delay until a new machine appears in the cloud's machine list, ms.
    pub list_lag_ms: u64,

    /// Faults in effect.
    pub faults: Faults,
    /// How often each fault took effect, by effect name.
    pub fault_effects: BTreeMap<&'static str, usize>,
    /// Direct commands held back until released.
    held_commands: Vec<DirectCommands>,
    /// Answered direct commands, kept for [`Cluster::repeat_commands`].
    answered_commands: Vec<DirectCommands>,
    /// Answered direct commands that arrive once more when a controller starts.
    commands_repeated_at_start: Vec<DirectCommands>,
    /// Heartbeats held back until released.
    held_heartbeats: Vec<Heartbeat>,
    /// Heartbeat copies to deliver when the next epoch begins.
    copies_for_next_leader: Vec<Heartbeat>,
    /// The epoch in which these copies were collected.
    copies_epoch: u64,

    /// Checker of the protocol's invariants.
    pub invariants: Invariants,
    /// Cached snapshot of the running tasks, valid for the time at which it was taken.
    task_snapshot: Option<TaskSnapshot>,
    /// Traffic counts and event handling times.
    pub usage: ResourceUsage,
    /// Number of transactions that the key-value store rejected as too large.
    pub too_large_writes: usize,
    /// Starts of tasks, in order of time.
    pub task_starts: Vec<TaskStart>,
    /// Machines that controllers released, in order of time.
    pub released_machines: Vec<MachineId>,
    /// Launch commands sent, by attempt.
    launches_by_attempt: BTreeMap<AttemptId, Launch>,
    /// Target machine of each direct command request, in order of arrival.
    commands_sent_to: Vec<MachineId>,
    /// Digest of all messages that controllers send and receive; `None` if not requested.
    pub digest: Option<TrafficDigest>,
}

impl Default for Cluster {
    fn default() -> Cluster {
        Cluster::new()
    }
}

impl Cluster {
    /// Creates a cluster of three controllers with [`settings`] and no machines.
    pub fn new() -> Cluster {
        Cluster::with_settings(settings)
    }

    /// Creates a cluster of three controllers, with settings by controller index, and no machines.
    pub fn with_settings(settings: impl Fn(usize) -> Settings) -> Cluster {
        let mut cluster =
            Cluster::without_controllers((0..CONTROLLER_COUNT).map(settings).collect());
        for controller in 0..CONTROLLER_COUNT {
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
            boot_granularity_ms: 1,
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
            answered_commands: Vec::new(),
            commands_repeated_at_start: Vec::new(),
            held_heartbeats: Vec::new(),
            copies_for_next_leader: Vec::new(),
            copies_epoch: 0,
            invariants: Invariants::default(),
            task_snapshot: None,
            usage: ResourceUsage::default(),
            too_large_writes: 0,
            task_starts: Vec::new(),
            released_machines: Vec::new(),
            launches_by_attempt: BTreeMap::new(),
            commands_sent_to: Vec::new(),
            digest: None,
        }
    }

    /// Creates a cluster with a capacity of `machines` that enforces the rate limits of [`large_settings`]. Machines
    /// boot within 20 s and tasks run for 20 s.
    pub fn large(machines: usize) -> Cluster {
        let mut cluster = Cluster::with_settings(|controller| large_settings(controller, machines));
        let facts = &cluster.settings[0].facts;
        let one_second_bucket = |rate: f64| TokenBucket::new(rate, rate);
        cluster.key_value_rates = Some(KeyValueRates {
            requests: one_second_bucket(facts.key_value_store.requests_per_s),
            changes: one_second_bucket(facts.key_value_store.changes_per_s),
        });
        cluster.cloud_rate = Some(TokenBucket::new(
            facts.cloud.requests_per_s,
            facts.cloud.requests_per_s * 2.0,
        ));
        cluster.boot_granularity_ms = 250;
        cluster.capacity = machines;
        cluster.nominal_boot_s = 25.0;
        cluster.boot_ms = 20_000;
        cluster.task_run_ms = 20_000;
        cluster.list_lag_ms = 5_000;
        cluster
    }

    /// Reseeds the cluster's random number generator.
    pub fn seed(&mut self, seed: u64) {
        self.rng = fastrand::Rng::with_seed(seed);
    }

    /// Schedules an action to run after a delay, ms.
    pub fn schedule(&mut self, delay_ms: u64, action: impl FnOnce(&mut Cluster) + 'static) {
        let action = SimulationEvent::RunAction(Box::new(action));
        self.schedule_at(self.now + delay_ms, action);
    }

    /// Counts that a fault took effect.
    fn record_effect(&mut self, effect: &'static str) {
        *self.fault_effects.entry(effect).or_default() += 1;
    }

    /// Returns how often a fault took effect, by effect name.
    pub fn effects(&self, effect: &str) -> usize {
        self.fault_effects.get(effect).copied().unwrap_or_default()
    }

    /// Advances the virtual clock and applies the events that fall due.
    pub fn run(&mut self, duration_ms: u64) {
        let ends_at = self.now + duration_ms;
        while let Some(scheduled) = self.event_queue.pop_due(ends_at) {
            self.now = scheduled.due_at;
            self.apply_event(scheduled.event);
        }
        self.now = ends_at;
    }

    /// Runs until the condition holds, which is checked every 100 ms, and panics after the timeout.
    ///
    /// # Panics
    ///
    /// The condition did not hold within `timeout_ms`.
    pub fn until(&mut self, description: &str, timeout_ms: u64, holds: impl Fn(&Cluster) -> bool) {
        let outcome = self.wait_until(description, timeout_ms, holds);
        outcome.unwrap_or_else(|failure| panic!("{failure}"));
    }

    /// Runs until the condition holds, which is checked every 100 ms.
    ///
    /// # Errors
    ///
    /// The condition did not hold within `timeout_ms`.
    pub fn wait_until(
        &mut self,
        description: &str,
        timeout_ms: u64,
        holds: impl Fn(&Cluster) -> bool,
    ) -> Result<(), Failure> {
        let deadline = self.now + timeout_ms;
        while !holds(self) {
            if self.now >= deadline {
                return Err(Failure::TimedOut(description.to_owned()));
            }
            self.run(100);
        }
        Ok(())
    }
}
