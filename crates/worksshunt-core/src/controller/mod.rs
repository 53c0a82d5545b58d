//! One controller: takes events in, keeps the state, gives actions out.

mod epochs;
mod events;
mod key_value_responses;
mod leading;
mod loading;
mod requests;
mod store_outage;
mod write_queues;
mod writes;

use std::collections::{BTreeSet, VecDeque};

use worksshunt_wire::cloud::Catalog;
use worksshunt_wire::key_value::CompareAndSwap;
use worksshunt_wire::peer::{PeerRequest, PeerResponse};
use worksshunt_wire::settings::{Settings, Workers};
use worksshunt_wire::{ControllerName, Epoch, JobId};

use crate::capacity::Capacity;
use crate::constants::fleet::CLOUD_REQUEST_SHARE;
use crate::constants::key_value::{
    KV_DEADLINE_MS, KV_RETRY_MS, USER_READ_SHARE, WATCH_MAX_WAIT_MS,
};
use crate::constants::leases::{
    CONTROL_KEYS_INTERVAL_MS, EPOCH_LEASE_MS, MEMBER_LEASE_RENEWAL_INTERVAL_MS,
    WORKER_LEASE_MARGIN_MS,
};
use crate::constants::partition_sync::PARTITION_SILENT_MS;
use crate::constants::readiness::{
    LEADER_RETRY_MS, LEADER_SILENT_MS, READINESS_RETRY_MAX_MS, READINESS_RETRY_MS,
};
use crate::constants::timers::{CATALOG_INTERVAL_MS, ROUND_BUDGET_MS};
use crate::epoch_confirmation::EpochConfirmation;
use crate::fleet::{CloudRequest, Fleet};
use crate::job_api::{HttpResponse, JobApi, JobOperation, Progress};
use crate::jobs::{JobCache, OPEN};
use crate::machines::{lease_bound_ms, Partition};
use crate::membership::{MemberState, Membership, CONTROL};
use crate::placement::Parameters;
use crate::quota::Quota;
use crate::scheduler::Scheduler;
use crate::time::{Budget, Now, Periodic, Time, TokenBucket};

pub use events::{
    Action, CloudResponse, Event, KvPurpose, KvRequest, KvResponse, LoadStep, WriteQueueId,
};
use loading::EpochLoad;
use write_queues::{HedgedRequest, WriteQueues};

/// Whether this controller is fit to own machines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Readiness {
    /// As far as it can tell.
    Ready,
    /// Workers do not reach it.
    NoHeartbeats,
    /// The leader does not answer it, so what it owns would be handed nothing.
    NoLeaderResponse,
}

struct Leader {
    scheduler: Scheduler,
    fleet: Fleet,
}

/// Key of the catalogue kept for restarts during an outage of the cloud.
const CATALOG_KEY: &str = "t/catalog";

/// One controller.
pub struct Controller {
    settings: Settings,
    quota: Quota,
    membership: Membership,
    job_cache: JobCache,
    job_api: JobApi,
    /// The last request found too many others waiting.
    job_api_full: bool,
    capacity: Capacity,
    /// Attempts per epoch, if fewer than there are numbers.
    attempt_limit: Option<u64>,
    partition: Partition,
    /// The epoch the part was loaded for, and its members.
    partition_epoch: Option<(Epoch, Vec<ControllerName>)>,
    leader: Option<Leader>,
    epoch_load: EpochLoad,
    load_retry: Periodic,
    catalog: Option<Catalog>,
    /// Settings that fall short of the fleet were told of.
    warned_of_shortfalls: bool,
    /// The catalogue as it is in the store, where known.
    stored_catalog: Option<Catalog>,
    progress: Progress,
    write_queues: WriteQueues,
    /// Pages of jobs taken in together by this process.
    submission_batches_written: u64,
    /// Jobs whose final state is to be read as soon as the share of reads allows, in the order in
    /// which they were asked for.
    final_state_lookups: VecDeque<JobId>,
    final_states_in_lookup: BTreeSet<JobId>,
    /// A report that could not be read was logged.
    malformed_heartbeat_logged: bool,
    user_reads: TokenBucket,
    key_value_answered_at: Time,
    peer_health_timer: Periodic,
    epoch_confirmation: EpochConfirmation,
    /// When a peer last said that the state service answers it, and that it does not.
    peer_store_healthy_at: Option<Time>,
    peer_store_unhealthy_at: Option<Time>,
    /// Direct orders under way, those of former epochs among them.
    direct_commands_in_flight: usize,
    readiness: Readiness,
    /// Not fit again before.
    ready_not_before: Time,
    readiness_retry_ms: u64,
    /// When the leader last answered, or another one began to lead.
    leader_answered_at: Time,
    lease_timer: Periodic,
    control_keys_timer: Periodic,
    proposal_timer: Periodic,
    open_jobs_timer: Periodic,
    watch_timer: Periodic,
    watch_wait_ms: u64,
    catch_up_timer: Periodic,
    accept_timer: Periodic,
    accept_hedge: HedgedRequest,
    accept_in_flight: CompareAndSwap,
    sync_timer: Periodic,
    last_sync_at: Time,
    catalog_timer: Periodic,
    machine_list_timer: Periodic,
    fleet_timer: Periodic,
    waiting_tasks_timer: Periodic,
    summary_at: Time,
    summary_every_ms: u64,
    cloud_calls: TokenBucket,
}

impl Controller {
    /// A controller that has just started.
    pub fn new(mut settings: Settings, parameters: Parameters) -> Controller {
        // Announced limits come without notice, so they are kept from the start.
        settings.facts.state = settings.facts.state.lowest();
        let capacity = Capacity::new(&settings);
        let facts = &settings.facts;
        let others = settings.known.iter().map(|peer| peer.host_name.clone());
        let cloud_rate = facts.cloud.rps * CLOUD_REQUEST_SHARE;
        let read_rate = facts.state.rps * USER_READ_SHARE;
        let knows_ms = knows_ms(&facts.workers);
        if !cancels_in_time(&facts.workers) {
            tracing::warn!(
                "cancel_s is so short beside lease_s that cancelled tasks may outlive it"
            );
        }
        Controller {
            quota: Quota::new(&facts.teams),
            membership: Membership::new(settings.host_name.clone(), others, knows_ms),
            watch_wait_ms: follow_wait_ms(knows_ms),
            job_cache: JobCache::default(),
            job_api: JobApi::new(capacity.user_requests),
            job_api_full: false,
            capacity,
            attempt_limit: None,
            summary_every_ms: parameters.summary_every_ms,
            partition: Partition::new(parameters, &facts.workers, &facts.state),
            partition_epoch: None,
            leader: None,
            epoch_load: EpochLoad::default(),
            load_retry: Periodic::default(),
            catalog: None,
            warned_of_shortfalls: false,
            stored_catalog: None,
            progress: Progress::new(),
            write_queues: WriteQueues::new(&facts.state),
            submission_batches_written: 0,
            final_state_lookups: VecDeque::new(),
            final_states_in_lookup: BTreeSet::new(),
            malformed_heartbeat_logged: false,
            user_reads: TokenBucket::new(read_rate, read_rate.max(1.0)),
            key_value_answered_at: Time::default(),
            peer_health_timer: Periodic::default(),
            epoch_confirmation: EpochConfirmation::default(),
            peer_store_healthy_at: None,
            peer_store_unhealthy_at: None,
            direct_commands_in_flight: 0,
            readiness: Readiness::Ready,
            ready_not_before: Time::default(),
            readiness_retry_ms: READINESS_RETRY_MS,
            leader_answered_at: Time::default(),
            lease_timer: Periodic::default(),
            control_keys_timer: Periodic::default(),
            proposal_timer: Periodic::default(),
            open_jobs_timer: Periodic::default(),
            watch_timer: Periodic::default(),
            catch_up_timer: Periodic::default(),
            accept_timer: Periodic::default(),
            accept_hedge: HedgedRequest::default(),
            accept_in_flight: CompareAndSwap::default(),
            sync_timer: Periodic::default(),
            last_sync_at: Time::default(),
            catalog_timer: Periodic::default(),
            machine_list_timer: Periodic::default(),
            fleet_timer: Periodic::default(),
            waiting_tasks_timer: Periodic::default(),
            summary_at: Time::default(),
            cloud_calls: TokenBucket::new(cloud_rate, cloud_rate.max(1.0)),
            settings,
        }
    }

    /// Has the leader begin a new epoch after so many attempts, sooner than their numbers are used up: for tests
    /// of what follows. Counts from the next epoch on.
    pub fn limit_attempts(&mut self, most: u64) {
        self.attempt_limit = Some(most);
    }

    /// Takes in an event. `clock` reads the steady clock, for the budgets of decision rounds.
    pub fn handle(&mut self, now: Now, event: Event, clock: &dyn Fn() -> Time) -> Vec<Action> {
        let mut actions = Vec::new();
        let budget = Budget {
            until: now.steady + ROUND_BUDGET_MS,
            clock,
        };
        match event {
            Event::Tick => self.tick(now, &budget, &mut actions),
            Event::Submit(request, body) => self.submit(now, request, &body, &mut actions),
            Event::Status(request, id) => {
                self.job_request(now, request, &id, JobOperation::Status, &mut actions);
            }
            Event::Cancel(request, id) => {
                self.job_request(now, request, &id, JobOperation::Cancel, &mut actions);
            }
            Event::Health(request) => {
                let reply = self.health(now.steady);
                actions.push(Action::Respond(request, reply));
            }
            Event::Heartbeat(request, body) => {
                let reply = self.heartbeat(now.steady, &body);
                actions.push(Action::Respond(request, reply));
            }
            Event::KeyValueResponse(tag, sent, reply) => {
                self.process_key_value_response(now, tag, sent, reply, &mut actions)
            }
            Event::CloudResponse(request, reply) => {
                self.process_cloud_response(now.steady, &request, reply)
            }
            Event::CommandsAnswered(commands, reply) => {
                self.direct_commands_in_flight = self.direct_commands_in_flight.saturating_sub(1);
                if let (true, Some(catalog)) = (
                    commands.batch.fencing_token == self.membership.fencing_token(),
                    &self.catalog,
                ) {
                    let token = commands.batch.fencing_token;
                    self.partition
                        .direct_commands_answered(now.steady, &commands, &reply, token, catalog);
                }
            }
            Event::PeerRequest(request, PeerRequest::Sync(up)) => {
                let answer = match self.apply_partition_status(now, up, &budget) {
                    Some(directives) => PeerResponse::Sync(directives),
                    None => PeerResponse::NotLeader,
                };
                actions.push(Action::RespondToPeer(request, answer));
            }
            Event::PeerRequest(request, PeerRequest::KeyValueHealth) => {
                let well = self.key_value_store_answers(now.steady);
                actions.push(Action::RespondToPeer(
                    request,
                    PeerResponse::KeyValueHealth(well),
                ));
            }
            Event::PeerRequest(request, PeerRequest::KnownEpoch { poll }) => {
                let known = self.known_epoch(now.steady, poll);
                actions.push(Action::RespondToPeer(
                    request,
                    PeerResponse::KnownEpoch(known),
                ));
            }
            Event::PeerKnownEpoch(from, known) => self.peer_epoch_answered(&from, &known),
            Event::PeerKeyValueHealth(well) => {
                let word = if well {
                    &mut self.peer_store_healthy_at
                } else {
                    &mut self.peer_store_unhealthy_at
                };
                *word = Some(now.steady);
            }
            Event::PeerResponse(answer) => {
                self.sync_timer.in_flight = false;
                if answer.is_some() {
                    self.leader_answered_at = now.steady;
                }
                match answer {
                    Some(PeerResponse::Sync(directives))
                        if directives.epoch == self.membership.fencing_token() =>
                    {
                        self.apply_leader_directives(now.steady, directives);
                    }
                    _ => self.partition.status_unanswered(),
                }
            }
        }
        self.advance_job_api(now.steady, &mut actions);
        self.advance_partition(now, &budget, &mut actions);
        actions
    }

    /// Moves tasks on as far as they go now: placed, recorded, launched, reported to the leader.
    fn advance_partition(&mut self, now: Now, budget: &Budget, actions: &mut Vec<Action>) {
        let t = now.steady;
        if self.membership.state() != MemberState::Serving {
            return;
        }
        self.sync_with_leader(now, budget, actions);
        self.partition.place_queued(t, &self.job_cache, budget);
        if self.membership.may_act(t) {
            self.advance_write_queues(t, actions);
            let most = self
                .capacity
                .direct_commands
                .saturating_sub(self.direct_commands_in_flight);
            let all = self
                .partition
                .next_direct_commands(t, self.membership.fencing_token(), most);
            self.direct_commands_in_flight += all.len();
            actions.extend(all.into_iter().map(Action::SendCommands));
        }
    }

    // --- time -----------------------------------------------------------------------------------

    fn tick(&mut self, now: Now, budget: &Budget, actions: &mut Vec<Action>) {
        let t = now.steady;
        self.advance_membership(t, actions);
        self.advance_job_cache(t, actions);
        self.query_peer_health(t, actions);
        for request in self.job_api.take_overdue(t) {
            actions.push(Action::Respond(
                request,
                HttpResponse::retry_later("not accepted yet"),
            ));
        }
        if self.key_value_store_silent(t) {
            for request in self.job_api.take_all() {
                let reply = HttpResponse::retry_later("the state service does not answer");
                actions.push(Action::Respond(request, reply));
            }
        }
        if self.catalog_timer.is_due(t) {
            if self.catalog.is_none() {
                store(
                    actions,
                    KvPurpose::ReadCatalog,
                    KvRequest::Get(CATALOG_KEY.to_owned()),
                );
            }
            self.catalog_timer.mark_sent(t, CATALOG_INTERVAL_MS);
            actions.push(Action::CallCloud(CloudRequest::ReadCatalog));
        }
        match self.membership.state() {
            MemberState::Loading if self.load_retry.is_due(t) => self.request_load_step(t, actions),
            MemberState::Serving => {
                if self.membership.may_act(t) {
                    self.partition.tick(t);
                    self.update_readiness(t);
                }
                self.run_leader_duties(now, budget, actions);
            }
            _ => {}
        }
        if t.since(self.summary_at) >= self.summary_every_ms {
            self.summary_at = t;
            let summary = self.partition.over_capacity_summary();
            if summary != "none" {
                tracing::info!(summary, "over-capacity placements");
            }
        }
    }

    fn advance_membership(&mut self, now: Time, actions: &mut Vec<Action>) {
        if self.lease_timer.is_due(now) {
            match (self.membership.state(), self.membership.lease()) {
                (MemberState::NoLease, _) | (_, None) => {
                    self.lease_timer.mark_sent(now, KV_RETRY_MS);
                    store(actions, KvPurpose::GrantLease, KvRequest::GrantLease);
                }
                (_, Some(_)) if self.membership.needs_key_write() => {
                    // Nothing to send before the key's version has been read.
                    if let Some(write) = self.membership.member_key_write() {
                        self.lease_timer.mark_sent(now, KV_RETRY_MS);
                        store(
                            actions,
                            KvPurpose::WriteMemberKey,
                            KvRequest::CompareAndSwap(write),
                        );
                    }
                }
                (_, Some(lease)) => {
                    self.lease_timer
                        .mark_sent(now, MEMBER_LEASE_RENEWAL_INTERVAL_MS);
                    store(
                        actions,
                        KvPurpose::RenewLease(lease),
                        KvRequest::RenewLease(lease),
                    );
                }
            }
        }
        if self.control_keys_timer.is_due(now) {
            self.control_keys_timer
                .mark_sent(now, CONTROL_KEYS_INTERVAL_MS);
            store(
                actions,
                KvPurpose::ReadControlKeys,
                KvRequest::List(CONTROL.to_owned()),
            );
        }
    }

    /// Steps back from owning machines while workers do not reach this controller or the leader does
    /// not answer it. While workers do not reach it, it offers itself again from time to time: nothing
    /// else could show that they would.
    fn update_readiness(&mut self, now: Time) {
        let leader_silent_ms = match self.membership.is_leader() {
            true => 0,
            false => now.since(self.leader_answered_at),
        };
        let next = match self.readiness {
            Readiness::Ready if self.partition.is_unreachable(now) => Readiness::NoHeartbeats,
            Readiness::Ready if leader_silent_ms >= LEADER_SILENT_MS => Readiness::NoLeaderResponse,
            Readiness::NoHeartbeats if now >= self.ready_not_before => Readiness::Ready,
            Readiness::NoLeaderResponse
                if now >= self.ready_not_before && leader_silent_ms < PARTITION_SILENT_MS =>
            {
                Readiness::Ready
            }
            same => same,
        };
        self.set_readiness(next, now);
    }

    /// The one place where the fitness changes.
    fn set_readiness(&mut self, next: Readiness, now: Time) {
        if next == self.readiness {
            return;
        }
        tracing::info!(from = ?self.readiness, to = ?next, "fitness to own machines");
        match next {
            Readiness::Ready => {}
            Readiness::NoHeartbeats => {
                self.ready_not_before = now + self.readiness_retry_ms;
                self.readiness_retry_ms = (self.readiness_retry_ms * 2).min(READINESS_RETRY_MAX_MS);
            }
            Readiness::NoLeaderResponse => self.ready_not_before = now + LEADER_RETRY_MS,
        }
        self.readiness = next;
        self.membership.set_ready(next == Readiness::Ready);
    }

    fn advance_job_cache(&mut self, now: Time, actions: &mut Vec<Action>) {
        match self.job_cache.revision() {
            None if self.open_jobs_timer.is_due(now) => {
                self.open_jobs_timer.mark_sent(now, KV_RETRY_MS);
                store(
                    actions,
                    KvPurpose::ListOpenJobs,
                    KvRequest::List(OPEN.to_owned()),
                );
            }
            Some(since) if self.watch_timer.is_due(now) => {
                self.watch_timer.mark_sent(now, 0);
                // What is known has become old, as after an outage: a watch would tell only in a while that
                // nothing has changed.
                let long_ms = self.watch_wait_ms + KV_DEADLINE_MS;
                let wait_ms = match self.membership.cancellations_fresh_for_ms(now) > long_ms {
                    true => self.watch_wait_ms,
                    false => 0,
                };
                let op = KvRequest::Watch(OPEN.to_owned(), since, wait_ms);
                let deadline_ms = wait_ms + KV_DEADLINE_MS;
                actions.push(Action::CallKeyValueStore(
                    KvPurpose::WatchOpenJobs,
                    op,
                    deadline_ms,
                ));
            }
            _ => {}
        }
    }
}

/// What a cancellation has beyond the lease that was renewed last, ms; none if the lease takes all of it.
fn cancellation_slack_ms(workers: &Workers) -> Option<u64> {
    let cancel_ms = (workers.cancel_s * 1_000.0) as u64;
    cancel_ms.checked_sub(lease_bound_ms(workers) + WORKER_LEASE_MARGIN_MS)
}

/// How long a controller may act on what it last read of the open jobs, ms. A task of a job whose cancellation
/// was confirmed elsewhere since lives as long, and then as long as the lease that was renewed last; that
/// together is what a cancellation has. Where a lease leaves less than an epoch's authority, that is taken, and
/// the settings are warned of ([`cancels_in_time`]).
fn knows_ms(workers: &Workers) -> u64 {
    cancellation_slack_ms(workers).map_or(EPOCH_LEASE_MS, |slack| slack.max(EPOCH_LEASE_MS))
}

/// Whether a lease leaves cancellations the time in which every controller that acts has heard of them.
fn cancels_in_time(workers: &Workers) -> bool {
    cancellation_slack_ms(workers).is_some_and(|slack| slack >= EPOCH_LEASE_MS)
}

/// How long a watch of the open jobs waits for a change.
fn follow_wait_ms(knows_ms: u64) -> u64 {
    (knows_ms.saturating_sub(2 * KV_DEADLINE_MS) / 2).clamp(KV_RETRY_MS, WATCH_MAX_WAIT_MS)
}

fn store(actions: &mut Vec<Action>, tag: KvPurpose, op: KvRequest) {
    actions.push(Action::CallKeyValueStore(tag, op, KV_DEADLINE_MS));
}
