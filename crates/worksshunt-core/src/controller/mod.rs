//! State machine of one controller: processes events and returns the actions to execute.
//!
//! [`Controller`] owns the complete state of a controller process. The service of the binary and the simulation call
//! [`Controller::handle`] with each event and execute the returned actions. Each submodule implements one concern, with
//! its state and its methods of [`Controller`]: membership, the job cache, user requests, partition sync with the
//! leader, leader duties, conditional writes, outages of the key-value store.

mod accept_write;
mod catalog;
mod cloud_responses;
mod epoch_start;
mod epochs;
mod events;
mod final_state_lookups;
mod heartbeats;
mod hedged_request;
mod job_cache_reads;
mod job_requests;
mod key_value_responses;
mod leader_duties;
mod loading;
mod member_lease;
mod metrics;
mod partition_sync;
mod peer_requests;
mod readiness;
mod reconciliation;
mod store_outage;
mod submissions;
mod tick;
mod write_conflicts;
mod write_contents;
mod write_outcomes;
mod write_queues;
mod writes;

use worksshunt_wire::settings::Settings;
use worksshunt_wire::{ControllerName, Epoch};

use crate::capacity::Capacity;
use crate::constants::key_value::KV_REQUEST_TIMEOUT_MS;
use crate::constants::timers::ROUND_BUDGET_MS;
use crate::fleet::Fleet;
use crate::job_api::{JobOperation, ProgressByJob};
use crate::jobs::JobCache;
use crate::machines::{DirectCommands, DirectCommandsOutcome, Partition};
use crate::membership::{MemberState, Membership};
use crate::metrics::Metrics;
use crate::placement::PlacementParameters;
use crate::quota::Quota;
use crate::scheduler::Scheduler;
use crate::time::{Budget, Now, Time};

pub use events::{
    Action, CloudResponse, Event, KvPurpose, KvRequest, KvResponse, LoadStep, WriteQueueId,
};

use catalog::CatalogState;
use job_cache_reads::JobCacheReads;
use job_requests::JobApiState;
use leader_duties::LeaderDuties;
use loading::EpochLoad;
use member_lease::MembershipTimers;
use partition_sync::PartitionSync;
use readiness::ReadinessState;
use store_outage::StoreHealth;
use tick::OverCapacitySummary;
use write_queues::WriteQueues;

/// State that only the leader of an epoch has.
struct Leader {
    scheduler: Scheduler,
    fleet: Fleet,
}

/// Epoch for which the partition was loaded.
struct PartitionEpoch {
    number: Epoch,
    /// Members of the epoch that own machines.
    owners: Vec<ControllerName>,
}

/// State of one controller.
pub struct Controller {
    settings: Settings,
    quota: Quota,
    capacity: Capacity,
    /// Maximum number of attempts in an epoch; `None` for the whole range of attempt numbers.
    attempt_limit: Option<u64>,
    membership: Membership,
    membership_timers: MembershipTimers,
    readiness: ReadinessState,
    store_health: StoreHealth,
    job_cache: JobCache,
    job_cache_reads: JobCacheReads,
    job_api: JobApiState,
    job_progress: ProgressByJob,
    catalog: CatalogState,
    epoch_load: EpochLoad,
    partition: Partition,
    /// `None` until a partition is loaded, and after the controller has left its epoch.
    partition_epoch: Option<PartitionEpoch>,
    partition_sync: PartitionSync,
    /// Number of batches of direct commands in flight, including those of earlier epochs.
    direct_commands_in_flight: usize,
    over_capacity_summary: OverCapacitySummary,
    /// Whether a malformed heartbeat has been logged; only the first one is.
    has_logged_malformed_heartbeat: bool,
    write_queues: WriteQueues,
    leader: Option<Leader>,
    leader_duties: LeaderDuties,
    metrics: Metrics,
}

impl Controller {
    /// Creates a controller that has no lease and has not read anything yet.
    pub fn new(mut settings: Settings, parameters: PlacementParameters) -> Controller {
        // An announced change of limits can take effect at any time, so the lower values apply from the start.
        settings.facts.key_value_store = settings.facts.key_value_store.lowest();
        let capacity = Capacity::new(&settings);
        let facts = &settings.facts;
        let other_controllers = settings.peers.iter().map(|peer| peer.host_name.clone());
        let cancellation_staleness_ms = job_cache_reads::cancellation_staleness_ms(&facts.workers);
        job_cache_reads::warn_of_short_cancellation_time(&facts.workers);
        let over_capacity_summary = OverCapacitySummary::new(parameters.summary_interval_ms);
        let partition = Partition::new(parameters, &facts.workers, &facts.key_value_store);
        Controller {
            quota: Quota::new(&facts.teams),
            attempt_limit: None,
            membership: Membership::new(
                settings.host_name.clone(),
                other_controllers,
                cancellation_staleness_ms,
            ),
            membership_timers: MembershipTimers::default(),
            readiness: ReadinessState::new(),
            store_health: StoreHealth::default(),
            job_cache: JobCache::default(),
            job_cache_reads: JobCacheReads::new(cancellation_staleness_ms),
            job_api: JobApiState::new(capacity.user_requests, &facts.key_value_store),
            job_progress: ProgressByJob::new(),
            catalog: CatalogState::default(),
            epoch_load: EpochLoad::default(),
            over_capacity_summary,
            metrics: Metrics::new(partition.metrics()),
            partition,
            partition_epoch: None,
            partition_sync: PartitionSync::default(),
            direct_commands_in_flight: 0,
            has_logged_malformed_heartbeat: false,
            write_queues: WriteQueues::new(&facts.key_value_store),
            leader: None,
            leader_duties: LeaderDuties::new(&facts.cloud),
            capacity,
            settings,
        }
    }

    /// Makes the leader begin a new epoch after `max_attempts` attempts, before the attempt numbers are exhausted. For
    /// tests. Applies from the next epoch that this controller leads.
    pub fn limit_attempts(&mut self, max_attempts: u64) {
        self.attempt_limit = Some(max_attempts);
    }

    /// Processes an event and returns the actions to execute. `clock` reads the steady clock; scheduling rounds use
    /// it to keep to their time budget.
    pub fn handle(&mut self, now: Now, event: Event, clock: &dyn Fn() -> Time) -> Vec<Action> {
        let mut actions = Vec::new();
        let budget = Budget {
            deadline: now.steady + ROUND_BUDGET_MS,
            clock,
        };
        self.dispatch(now, event, &budget, &mut actions);
        self.advance_job_api(now.steady, &mut actions);
        self.advance_partition(now, &budget, &mut actions);
        actions
    }

    fn dispatch(&mut self, now: Now, event: Event, budget: &Budget, actions: &mut Vec<Action>) {
        let steady = now.steady;
        match event {
            Event::Tick => self.tick(now, budget, actions),
            Event::Submit { request_id, body } => {
                self.handle_submission(now, request_id, &body, actions)
            }
            Event::Status { request_id, job_id } => {
                self.handle_job_request(steady, request_id, &job_id, JobOperation::Status, actions);
            }
            Event::Cancel { request_id, job_id } => {
                self.handle_job_request(steady, request_id, &job_id, JobOperation::Cancel, actions);
            }
            Event::Metrics(request_id) => {
                actions.push(Action::Respond(request_id, self.metrics_response()));
            }
            Event::Health(request_id) => {
                actions.push(Action::Respond(request_id, self.health_response(steady)));
            }
            Event::Heartbeat { request_id, body } => {
                actions.push(Action::Respond(
                    request_id,
                    self.handle_heartbeat(steady, &body),
                ));
            }
            Event::KeyValueResponse {
                purpose,
                sent_at,
                response,
            } => {
                self.process_key_value_response(now, purpose, sent_at, response, actions);
            }
            Event::CloudResponse(request, response) => {
                self.process_cloud_response(steady, &request, response);
            }
            Event::DirectCommandsOutcome(commands, outcome) => {
                self.process_direct_commands_outcome(steady, &commands, &outcome);
            }
            Event::PeerRequest(request, peer_request) => {
                self.handle_peer_request(now, request, peer_request, budget, actions);
            }
            Event::PeerSyncResponse(response) => self.process_sync_response(steady, response),
            Event::PeerKeyValueHealth(is_reachable) => {
                self.store_health.record_peer_report(steady, is_reachable);
            }
            Event::PeerEpochPollResponse(from, response) => {
                self.process_epoch_poll_response(&from, &response);
            }
        }
    }

    /// Reports to the leader, places queued tasks, writes their records and launches them, as far as possible now.
    fn advance_partition(&mut self, now: Now, budget: &Budget, actions: &mut Vec<Action>) {
        if self.membership.state() != MemberState::Serving {
            return;
        }
        self.sync_with_leader(now, budget, actions);
        self.partition
            .place_queued(now.steady, &self.job_cache, budget);
        if self.membership.may_act(now.steady) {
            self.advance_write_queues(now.steady, actions);
            self.send_direct_commands(now.steady, actions);
        }
    }

    fn send_direct_commands(&mut self, now: Time, actions: &mut Vec<Action>) {
        let max_batches = self
            .capacity
            .direct_commands
            .saturating_sub(self.direct_commands_in_flight);
        let batches = self.partition.next_direct_commands(now, max_batches);
        self.direct_commands_in_flight += batches.len();
        actions.extend(batches.into_iter().map(Action::SendDirectCommands));
    }

    /// Processes the outcome of direct commands. The outcome of commands of an earlier epoch only frees their slot.
    fn process_direct_commands_outcome(
        &mut self,
        now: Time,
        commands: &DirectCommands,
        outcome: &DirectCommandsOutcome,
    ) {
        self.direct_commands_in_flight = self.direct_commands_in_flight.saturating_sub(1);
        let Some(catalog) = &self.catalog.current else {
            return;
        };
        let tokens = self.membership.fencing_tokens();
        if tokens.contains(commands.batch.fencing_token) {
            self.partition
                .apply_direct_commands_outcome(now, commands, outcome, catalog);
        }
    }
}

/// Adds a request to the key-value store with the default timeout [`KV_REQUEST_TIMEOUT_MS`].
fn call_store(actions: &mut Vec<Action>, purpose: KvPurpose, request: KvRequest) {
    actions.push(Action::CallKeyValueStore {
        purpose,
        request,
        timeout_ms: KV_REQUEST_TIMEOUT_MS,
    });
}
