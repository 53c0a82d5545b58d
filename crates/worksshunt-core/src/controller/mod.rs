//! One controller: processes events, keeps the state, returns the actions to carry out.
//!
//! [`Controller`] owns everything that one controller process knows. The service of the binary and the simulation
//! call [`Controller::handle`] with each event and carry out the actions it returns. What belongs together has a
//! module of its own, with its state and its methods: membership, reads of the open jobs, users' requests, the
//! partition's exchange with the leader, the leader's duties, conditional writes, outages of the key-value store.

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
mod leading;
mod loading;
mod member_lease;
mod metrics;
mod partition_sync;
mod peers;
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
use crate::constants::key_value::KV_DEADLINE_MS;
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
use leading::LeaderDuties;
use loading::EpochLoad;
use member_lease::MembershipTimers;
use partition_sync::PartitionSync;
use readiness::ReadinessState;
use store_outage::StoreHealth;
use tick::OverCapacitySummary;
use write_queues::WriteQueues;

/// What only the leader of an epoch has.
struct Leader {
    scheduler: Scheduler,
    fleet: Fleet,
}

/// The epoch that the partition was loaded for.
struct PartitionEpoch {
    number: Epoch,
    /// Members of that epoch that own machines.
    owners: Vec<ControllerName>,
}

/// One controller.
pub struct Controller {
    settings: Settings,
    quota: Quota,
    capacity: Capacity,
    /// Attempts per epoch, if fewer than there are numbers.
    attempt_limit: Option<u64>,
    membership: Membership,
    membership_timers: MembershipTimers,
    readiness: ReadinessState,
    store_health: StoreHealth,
    job_cache: JobCache,
    job_cache_reads: JobCacheReads,
    job_api: JobApiState,
    progress: ProgressByJob,
    catalog: CatalogState,
    epoch_load: EpochLoad,
    partition: Partition,
    /// None before the first partition is loaded, and after an epoch was left.
    partition_epoch: Option<PartitionEpoch>,
    partition_sync: PartitionSync,
    /// Direct commands in flight, those of former epochs among them.
    direct_commands_in_flight: usize,
    over_capacity_summary: OverCapacitySummary,
    /// A heartbeat that could not be read was logged.
    malformed_heartbeat_logged: bool,
    write_queues: WriteQueues,
    leader: Option<Leader>,
    leader_duties: LeaderDuties,
    metrics: Metrics,
}

impl Controller {
    /// A controller that has just started.
    pub fn new(mut settings: Settings, parameters: PlacementParameters) -> Controller {
        // Announced limits come without notice, so they are kept from the start.
        settings.facts.state = settings.facts.state.lowest();
        let capacity = Capacity::new(&settings);
        let facts = &settings.facts;
        let other_controllers = settings.known.iter().map(|peer| peer.host_name.clone());
        let cancellation_staleness_ms = job_cache_reads::cancellation_staleness_ms(&facts.workers);
        job_cache_reads::warn_of_short_cancellation_time(&facts.workers);
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
            job_api: JobApiState::new(capacity.user_requests, &facts.state),
            progress: ProgressByJob::new(),
            catalog: CatalogState::default(),
            epoch_load: EpochLoad::default(),
            over_capacity_summary: OverCapacitySummary::new(parameters.summary_interval_ms),
            partition: Partition::new(parameters, &facts.workers, &facts.state),
            partition_epoch: None,
            partition_sync: PartitionSync::default(),
            direct_commands_in_flight: 0,
            malformed_heartbeat_logged: false,
            write_queues: WriteQueues::new(&facts.state),
            leader: None,
            metrics: Metrics::new(),
            leader_duties: LeaderDuties::new(&facts.cloud),
            capacity,
            settings,
        }
    }

    /// Has the leader begin a new epoch after so many attempts, sooner than their numbers are used up: for tests
    /// of what follows. Counts from the next epoch on.
    pub fn limit_attempts(&mut self, max_attempts: u64) {
        self.attempt_limit = Some(max_attempts);
    }

    /// Processes an event and returns what is to be done. `clock` reads the steady clock, for the budgets of
    /// decision rounds.
    pub fn handle(&mut self, now: Now, event: Event, clock: &dyn Fn() -> Time) -> Vec<Action> {
        let mut actions = Vec::new();
        let budget = Budget {
            until: now.steady + ROUND_BUDGET_MS,
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
            Event::Submit { request_id, body } => self.submit(now, request_id, &body, actions),
            Event::Status { request_id, job_id } => {
                self.job_request(steady, request_id, &job_id, JobOperation::Status, actions);
            }
            Event::Cancel { request_id, job_id } => {
                self.job_request(steady, request_id, &job_id, JobOperation::Cancel, actions);
            }
            Event::Metrics(request_id) => {
                actions.push(Action::Respond(request_id, self.metrics_response()));
            }
            Event::Health(request_id) => {
                actions.push(Action::Respond(request_id, self.health_response(steady)));
            }
            Event::Heartbeat { request_id, body } => {
                actions.push(Action::Respond(request_id, self.heartbeat(steady, &body)));
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
            Event::CommandsAnswered(commands, outcome) => {
                self.direct_commands_answered(steady, &commands, &outcome);
            }
            Event::PeerRequest(request, peer_request) => {
                self.answer_peer(now, request, peer_request, budget, actions);
            }
            Event::PeerResponse(response) => self.sync_answered(steady, response),
            Event::PeerKeyValueHealth(reachable) => {
                self.store_health.peer_reported(steady, reachable);
            }
            Event::PeerKnownEpoch(from, known) => self.peer_epoch_answered(&from, &known),
        }
    }

    /// Moves tasks on as far as they go now: placed, recorded, launched, reported to the leader.
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
        let token = self.membership.fencing_token();
        let batches = self.partition.next_direct_commands(now, token, max_batches);
        self.direct_commands_in_flight += batches.len();
        actions.extend(batches.into_iter().map(Action::SendCommands));
    }

    /// Direct commands were answered, or not. Those of a former epoch only make way for others.
    fn direct_commands_answered(
        &mut self,
        now: Time,
        commands: &DirectCommands,
        outcome: &DirectCommandsOutcome,
    ) {
        self.direct_commands_in_flight = self.direct_commands_in_flight.saturating_sub(1);
        let token = self.membership.fencing_token();
        let Some(catalog) = &self.catalog.current else {
            return;
        };
        if commands.batch.fencing_token == token {
            self.partition
                .direct_commands_answered(now, commands, outcome, token, catalog);
        }
    }
}

/// Sends a request to the key-value store, with the usual deadline.
fn call_store(actions: &mut Vec<Action>, purpose: KvPurpose, request: KvRequest) {
    actions.push(Action::CallKeyValueStore {
        purpose,
        request,
        deadline_ms: KV_DEADLINE_MS,
    });
}
