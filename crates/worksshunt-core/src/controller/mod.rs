//! One controller: takes events in, keeps the state, gives actions out.

mod answers;
mod epochs;
mod events;
mod lanes;
mod leading;
mod loading;
mod outage;
mod requests;
mod writes;

use std::collections::{BTreeSet, VecDeque};

use worksshunt_wire::cloud::Catalog;
use worksshunt_wire::peer::{PeerAnswer, PeerRequest};
use worksshunt_wire::settings::{Settings, Workers};
use worksshunt_wire::state::Txn;
use worksshunt_wire::{Epoch, JobId, NodeName};

use crate::capacity::Capacity;
use crate::constants::*;
use crate::epoch_poll::EpochPoll;
use crate::fleet::{CloudRequest, Fleet};
use crate::jobs::{Mirror, OPEN};
use crate::machines::{lease_bound_ms, Part};
use crate::membership::{MemberState, Membership, CONTROL};
use crate::placement::Parameters;
use crate::quota::Quota;
use crate::scheduler::Scheduler;
use crate::time::{Bucket, Budget, Now, Periodic, Time};
use crate::users::{Progress, Question, Reply, Users};

pub use events::{Action, CloudReply, Event, Lane, Loading, StoreOp, StoreReply, StoreTag};
use lanes::{Copies, Lanes};
use loading::Load;

/// Whether this controller is fit to own machines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fitness {
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
    mirror: Mirror,
    users: Users,
    /// The last request found too many others waiting.
    users_full: bool,
    capacity: Capacity,
    /// Attempts per epoch, if fewer than there are numbers.
    attempts_most: Option<u64>,
    part: Part,
    /// The epoch the part was loaded for, and its members.
    part_of: Option<(Epoch, Vec<NodeName>)>,
    leader: Option<Leader>,
    load: Load,
    load_retry: Periodic,
    catalog: Option<Catalog>,
    /// Settings that fall short of the fleet were told of.
    warned_of_shortfalls: bool,
    /// The catalogue as it is in the store, where known.
    catalog_kept: Option<Catalog>,
    progress: Progress,
    lanes: Lanes,
    /// Pages of jobs taken in together by this process.
    intake_pages: u64,
    /// Jobs whose final state is to be read as soon as the share of reads allows, in the order in
    /// which they were asked for.
    to_learn: VecDeque<JobId>,
    learning: BTreeSet<JobId>,
    /// A report that could not be read was logged.
    odd_report_logged: bool,
    reads: Bucket,
    store_heard: Time,
    doubt_turn: Periodic,
    epoch_poll: EpochPoll,
    /// When a peer last said that the state service answers it, and that it does not.
    peer_well: Option<Time>,
    peer_unwell: Option<Time>,
    /// Direct orders under way, those of former epochs among them.
    orders_out: usize,
    fitness: Fitness,
    /// Not fit again before.
    fit_from: Time,
    fit_retry_ms: u64,
    /// When the leader last answered, or another one began to lead.
    leader_heard: Time,
    lease_turn: Periodic,
    control_turn: Periodic,
    propose_turn: Periodic,
    open_turn: Periodic,
    follow_turn: Periodic,
    follow_wait_ms: u64,
    catch_up_turn: Periodic,
    accept_turn: Periodic,
    accept_copies: Copies,
    accept_under_way: Txn,
    sync_turn: Periodic,
    sync_last: Time,
    catalog_turn: Periodic,
    list_turn: Periodic,
    fleet_turn: Periodic,
    press_turn: Periodic,
    summary_at: Time,
    summary_every_ms: u64,
    cloud_calls: Bucket,
}

impl Controller {
    /// A controller that has just started.
    pub fn new(mut settings: Settings, parameters: Parameters) -> Controller {
        // Announced limits come without notice, so they are kept from the start.
        settings.facts.state = settings.facts.state.lowest();
        let capacity = Capacity::new(&settings);
        let facts = &settings.facts;
        let others = settings.known.iter().map(|peer| peer.host_name.clone());
        let cloud_rate = facts.cloud.rps * CLOUD_SHARE;
        let read_rate = facts.state.rps * READ_SHARE;
        let knows_ms = knows_ms(&facts.workers);
        if !cancels_in_time(&facts.workers) {
            tracing::warn!(
                "cancel_s is so short beside lease_s that cancelled tasks may outlive it"
            );
        }
        Controller {
            quota: Quota::new(&facts.teams),
            membership: Membership::new(settings.host_name.clone(), others, knows_ms),
            follow_wait_ms: follow_wait_ms(knows_ms),
            mirror: Mirror::default(),
            users: Users::new(capacity.user_requests),
            users_full: false,
            capacity,
            attempts_most: None,
            summary_every_ms: parameters.summary_every_ms,
            part: Part::new(parameters, &facts.workers, &facts.state),
            part_of: None,
            leader: None,
            load: Load::default(),
            load_retry: Periodic::default(),
            catalog: None,
            warned_of_shortfalls: false,
            catalog_kept: None,
            progress: Progress::new(),
            lanes: Lanes::new(&facts.state),
            intake_pages: 0,
            to_learn: VecDeque::new(),
            learning: BTreeSet::new(),
            odd_report_logged: false,
            reads: Bucket::new(read_rate, read_rate.max(1.0)),
            store_heard: Time::default(),
            doubt_turn: Periodic::default(),
            epoch_poll: EpochPoll::default(),
            peer_well: None,
            peer_unwell: None,
            orders_out: 0,
            fitness: Fitness::Ready,
            fit_from: Time::default(),
            fit_retry_ms: REACH_RETRY_MS,
            leader_heard: Time::default(),
            lease_turn: Periodic::default(),
            control_turn: Periodic::default(),
            propose_turn: Periodic::default(),
            open_turn: Periodic::default(),
            follow_turn: Periodic::default(),
            catch_up_turn: Periodic::default(),
            accept_turn: Periodic::default(),
            accept_copies: Copies::default(),
            accept_under_way: Txn::default(),
            sync_turn: Periodic::default(),
            sync_last: Time::default(),
            catalog_turn: Periodic::default(),
            list_turn: Periodic::default(),
            fleet_turn: Periodic::default(),
            press_turn: Periodic::default(),
            summary_at: Time::default(),
            cloud_calls: Bucket::new(cloud_rate, cloud_rate.max(1.0)),
            settings,
        }
    }

    /// Has the leader begin a new epoch after so many attempts, sooner than their numbers are used up: for tests
    /// of what follows. Counts from the next epoch on.
    pub fn limit_attempts(&mut self, most: u64) {
        self.attempts_most = Some(most);
    }

    /// Takes in an event. `clock` reads the steady clock, for the budgets of decision rounds.
    pub fn handle(&mut self, now: Now, event: Event, clock: &dyn Fn() -> Time) -> Vec<Action> {
        let mut out = Vec::new();
        let budget = Budget {
            until: now.steady + ROUND_BUDGET_MS,
            clock,
        };
        match event {
            Event::Tick => self.tick(now, &budget, &mut out),
            Event::Submit(request, body) => self.submit(now, request, &body, &mut out),
            Event::Status(request, id) => {
                self.ask(now, request, &id, Question::Status, &mut out);
            }
            Event::Cancel(request, id) => {
                self.ask(now, request, &id, Question::Cancel, &mut out);
            }
            Event::Health(request) => {
                let reply = self.health(now.steady);
                out.push(Action::Respond(request, reply));
            }
            Event::Heartbeat(request, body) => {
                let reply = self.report(now.steady, &body);
                out.push(Action::Respond(request, reply));
            }
            Event::KeyValueResponse(tag, sent, reply) => {
                self.store(now, tag, sent, reply, &mut out)
            }
            Event::CloudResponse(request, reply) => self.cloud(now.steady, &request, reply),
            Event::CommandsAnswered(orders, reply) => {
                self.orders_out = self.orders_out.saturating_sub(1);
                if let (true, Some(catalog)) = (
                    orders.orders.token == self.membership.token(),
                    &self.catalog,
                ) {
                    let token = orders.orders.token;
                    self.part
                        .ordered(now.steady, &orders, &reply, token, catalog);
                }
            }
            Event::PeerRequest(request, PeerRequest::Sync(up)) => {
                let answer = match self.lead_sync(now, up, &budget) {
                    Some(down) => PeerAnswer::Sync(down),
                    None => PeerAnswer::NotLeader,
                };
                out.push(Action::RespondToPeer(request, answer));
            }
            Event::PeerRequest(request, PeerRequest::KeyValueHealth) => {
                let well = self.store_answers(now.steady);
                out.push(Action::RespondToPeer(
                    request,
                    PeerAnswer::KeyValueHealth(well),
                ));
            }
            Event::PeerRequest(request, PeerRequest::KnownEpoch { poll }) => {
                let known = self.known_epoch(now.steady, poll);
                out.push(Action::RespondToPeer(
                    request,
                    PeerAnswer::KnownEpoch(known),
                ));
            }
            Event::PeerKnownEpoch(from, known) => self.epoch_poll_answer(&from, &known),
            Event::PeerKeyValueHealth(well) => {
                let word = if well {
                    &mut self.peer_well
                } else {
                    &mut self.peer_unwell
                };
                *word = Some(now.steady);
            }
            Event::PeerResponse(answer) => {
                self.sync_turn.in_flight = false;
                if answer.is_some() {
                    self.leader_heard = now.steady;
                }
                match answer {
                    Some(PeerAnswer::Sync(down)) if down.epoch == self.membership.token() => {
                        self.apply_sync(now.steady, down);
                    }
                    _ => self.part.unanswered(),
                }
            }
        }
        self.user_turns(now.steady, &mut out);
        self.part_turns(now, &budget, &mut out);
        out
    }

    /// Moves tasks on as far as they go now: placed, recorded, launched, reported to the leader.
    fn part_turns(&mut self, now: Now, budget: &Budget, out: &mut Vec<Action>) {
        let t = now.steady;
        if self.membership.state() != MemberState::Serving {
            return;
        }
        self.sync_turn(now, budget, out);
        self.part.place(t, &self.mirror, budget);
        if self.membership.has_authority(t) {
            self.write_turns(t, out);
            let most = self.capacity.orders.saturating_sub(self.orders_out);
            let all = self.part.direct_orders(t, self.membership.token(), most);
            self.orders_out += all.len();
            out.extend(all.into_iter().map(Action::SendCommands));
        }
    }

    // --- time -----------------------------------------------------------------------------------

    fn tick(&mut self, now: Now, budget: &Budget, out: &mut Vec<Action>) {
        let t = now.steady;
        self.membership_turns(t, out);
        self.mirror_turns(t, out);
        self.doubt_turn(t, out);
        for request in self.users.overdue(t) {
            out.push(Action::Respond(request, Reply::later("not accepted yet")));
        }
        if self.store_silent(t) {
            for request in self.users.refuse_all() {
                let reply = Reply::later("the state service does not answer");
                out.push(Action::Respond(request, reply));
            }
        }
        if self.catalog_turn.due(t) {
            if self.catalog.is_none() {
                store(
                    out,
                    StoreTag::ReadCatalog,
                    StoreOp::Get(CATALOG_KEY.to_owned()),
                );
            }
            self.catalog_turn.sent(t, CATALOG_EVERY_MS);
            out.push(Action::CallCloud(CloudRequest::ReadCatalog));
        }
        match self.membership.state() {
            MemberState::Loading if self.load_retry.due(t) => self.load_step(t, out),
            MemberState::Serving => {
                if self.membership.has_authority(t) {
                    self.part.tick(t);
                    self.fitness_turn(t);
                }
                self.lead(now, budget, out);
            }
            _ => {}
        }
        if t.since(self.summary_at) >= self.summary_every_ms {
            self.summary_at = t;
            let summary = self.part.summary();
            if summary != "none" {
                tracing::info!(summary, "over-capacity placements");
            }
        }
    }

    fn membership_turns(&mut self, now: Time, out: &mut Vec<Action>) {
        if self.lease_turn.due(now) {
            match (self.membership.state(), self.membership.lease()) {
                (MemberState::NoLease, _) | (_, None) => {
                    self.lease_turn.sent(now, STORE_RETRY_MS);
                    store(out, StoreTag::GrantLease, StoreOp::GrantLease);
                }
                (_, Some(_)) if self.membership.has_to_write_key() => {
                    // Nothing to send before the key's version has been read.
                    if let Some(txn) = self.membership.join_txn() {
                        self.lease_turn.sent(now, STORE_RETRY_MS);
                        store(out, StoreTag::WriteMemberKey, StoreOp::Txn(txn));
                    }
                }
                (_, Some(lease)) => {
                    self.lease_turn.sent(now, RENEW_EVERY_MS);
                    store(out, StoreTag::RenewLease(lease), StoreOp::RenewLease(lease));
                }
            }
        }
        if self.control_turn.due(now) {
            self.control_turn.sent(now, CONTROL_EVERY_MS);
            store(
                out,
                StoreTag::ReadControlKeys,
                StoreOp::List(CONTROL.to_owned()),
            );
        }
    }

    /// Steps back from owning machines while workers do not reach this controller or the leader does
    /// not answer it. While workers do not reach it, it offers itself again from time to time: nothing
    /// else could show that they would.
    fn fitness_turn(&mut self, now: Time) {
        let leader_silent_ms = match self.membership.leads() {
            true => 0,
            false => now.since(self.leader_heard),
        };
        let next = match self.fitness {
            Fitness::Ready if self.part.unreached(now) => Fitness::NoHeartbeats,
            Fitness::Ready if leader_silent_ms >= LEADER_LOST_MS => Fitness::NoLeaderResponse,
            Fitness::NoHeartbeats if now >= self.fit_from => Fitness::Ready,
            Fitness::NoLeaderResponse
                if now >= self.fit_from && leader_silent_ms < PART_SILENT_MS =>
            {
                Fitness::Ready
            }
            same => same,
        };
        self.set_fitness(next, now);
    }

    /// The one place where the fitness changes.
    fn set_fitness(&mut self, next: Fitness, now: Time) {
        if next == self.fitness {
            return;
        }
        tracing::info!(from = ?self.fitness, to = ?next, "fitness to own machines");
        match next {
            Fitness::Ready => {}
            Fitness::NoHeartbeats => {
                self.fit_from = now + self.fit_retry_ms;
                self.fit_retry_ms = (self.fit_retry_ms * 2).min(REACH_RETRY_MAX_MS);
            }
            Fitness::NoLeaderResponse => self.fit_from = now + LEADER_RETRY_MS,
        }
        self.fitness = next;
        self.membership.set_fit(next == Fitness::Ready);
    }

    fn mirror_turns(&mut self, now: Time, out: &mut Vec<Action>) {
        match self.mirror.revision() {
            None if self.open_turn.due(now) => {
                self.open_turn.sent(now, STORE_RETRY_MS);
                store(out, StoreTag::ListOpenJobs, StoreOp::List(OPEN.to_owned()));
            }
            Some(since) if self.follow_turn.due(now) => {
                self.follow_turn.sent(now, 0);
                // What is known has become old, as after an outage: a watch would tell only in a while that
                // nothing has changed.
                let long_ms = self.follow_wait_ms + STORE_DEADLINE_MS;
                let wait_ms = match self.membership.knows_for_ms(now) > long_ms {
                    true => self.follow_wait_ms,
                    false => 0,
                };
                let op = StoreOp::Watch(OPEN.to_owned(), since, wait_ms);
                let deadline_ms = wait_ms + STORE_DEADLINE_MS;
                out.push(Action::CallKeyValueStore(
                    StoreTag::WatchOpenJobs,
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
    cancel_ms.checked_sub(lease_bound_ms(workers) + LEASE_MARGIN_MS)
}

/// How long a controller may act on what it last read of the open jobs, ms. A task of a job whose cancellation
/// was confirmed elsewhere since lives as long, and then as long as the lease that was renewed last; that
/// together is what a cancellation has. Where a lease leaves less than an epoch's authority, that is taken, and
/// the settings are warned of ([`cancels_in_time`]).
fn knows_ms(workers: &Workers) -> u64 {
    cancellation_slack_ms(workers).map_or(AUTHORITY_MS, |slack| slack.max(AUTHORITY_MS))
}

/// Whether a lease leaves cancellations the time in which every controller that acts has heard of them.
fn cancels_in_time(workers: &Workers) -> bool {
    cancellation_slack_ms(workers).is_some_and(|slack| slack >= AUTHORITY_MS)
}

/// How long a watch of the open jobs waits for a change.
fn follow_wait_ms(knows_ms: u64) -> u64 {
    (knows_ms.saturating_sub(2 * STORE_DEADLINE_MS) / 2).clamp(STORE_RETRY_MS, FOLLOW_WAIT_MS)
}

fn store(out: &mut Vec<Action>, tag: StoreTag, op: StoreOp) {
    out.push(Action::CallKeyValueStore(tag, op, STORE_DEADLINE_MS));
}
