//! One controller: takes events in, keeps the state, gives actions out.

use std::collections::{BTreeMap, BTreeSet};

use worksshunt_wire::cloud::{Catalog, MachineList, MachineNames};
use worksshunt_wire::peer::{PeerAnswer, PeerRequest, SyncDown, SyncUp};
use worksshunt_wire::settings::Settings;
use worksshunt_wire::state::{Change, Changes, Condition, Listing, Pair, Txn};
use worksshunt_wire::user::JobState;
use worksshunt_wire::worker::{Redirect, Report, ReportAnswer};
use worksshunt_wire::{Attempt, Epoch, JobId, MachineId, NodeName, Revision};

use crate::allotment::{claim_key, Allotment, Due, CLAIMS};
use crate::constants::*;
use crate::fleet::{CloudRequest, Fleet};
use crate::jobs::{
    check_possible, done_key, final_key, final_value, open_key, parse, read_final, Job, Mirror,
    MirrorChange, Refusal, DONE, OPEN,
};
use crate::machines::{record_key, DirectOrders, OrdersReply, Part, RECORDS};
use crate::membership::{Finding, Membership, Standing, CONTROL, EPOCH};
use crate::placement::{owner, Parameters};
use crate::quota::Quota;
use crate::time::{Bucket, Budget, Now, Time};
use crate::users::{
    accepted, resolve, settled, unknown, Ask, Progress, Question, Reply, RequestId, Step, Users,
};

/// A request to the state service.
#[derive(Debug, Clone, PartialEq)]
pub enum StoreOp {
    /// A new hold.
    NewHold,
    /// Renew a hold.
    Renew(u64),
    /// Read one key.
    Get(String),
    /// Read all keys of a prefix.
    List(String),
    /// Write.
    Txn(Txn),
    /// Changes of a prefix after a revision; waits so many milliseconds for the first.
    Follow(String, Revision, u64),
}

/// The state service's answer.
#[derive(Debug, Clone, PartialEq)]
pub enum StoreReply {
    /// The hold granted.
    Hold(u64),
    /// The hold was renewed.
    Renewed,
    /// There is no such hold.
    NoSuchHold,
    /// A key's value.
    Found(Pair),
    /// There is no such key.
    Missing,
    /// All keys of the prefix, at the revision of the first page.
    Listing(Listing),
    /// The transaction was applied.
    Committed(Revision),
    /// Conditions of the transaction did not hold.
    Conflict(Vec<String>),
    /// The changes.
    Changes(Changes),
    /// The revision lies too far back.
    TooOld,
    /// Not executed.
    Refused,
    /// No answer that tells whether it was executed.
    Unknown,
}

/// What a state service request is for.
#[derive(Debug, Clone, PartialEq)]
pub enum StoreTag {
    /// The controller's hold.
    NewHold,
    /// Its renewal.
    Renew(u64),
    /// The member key.
    Join,
    /// The control keys.
    Control,
    /// The next epoch.
    Propose,
    /// The first reading of the open jobs.
    Open,
    /// The long watch of the open jobs.
    Follow,
    /// The catch-up read of the open jobs.
    CatchUp,
    /// Records at the start of an epoch.
    Load(Epoch, Loading),
    /// The write under way.
    Batch(Epoch),
    /// A key whose version has become uncertain.
    Refresh(Epoch, String),
    /// Submissions.
    Accept,
    /// A cancellation.
    Withdraw(Ask),
    /// A final state.
    Final(Ask),
    /// The catalogue as the service last knew it.
    Catalog,
    /// Keeping the catalogue.
    KeepCatalog(Catalog),
}

/// Steps of loading an epoch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Loading {
    /// The machines' records.
    Records,
    /// Completed tasks (leader).
    Done,
    /// Claims (leader).
    Claims,
    /// The open jobs, read after the records: a job on a record but not open is over.
    Mirror,
}

/// The cloud's answer.
#[derive(Debug, Clone, PartialEq)]
pub enum CloudReply {
    /// Machines rented, or returned.
    Machines(MachineNames),
    /// None to be had.
    NoCapacity,
    /// The machine list.
    List(MachineList),
    /// The catalogue.
    Catalog(Catalog),
    /// No answer that helps.
    Failed,
}

/// What happens to a controller.
#[derive(Debug)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// A submission.
    Submit(RequestId, Vec<u8>),
    /// A question about a job; the id as the user wrote it.
    Status(RequestId, String),
    /// A cancellation.
    Withdraw(RequestId, String),
    /// A health check.
    Health(RequestId),
    /// A worker's report.
    Report(RequestId, Vec<u8>),
    /// The state service answered a request sent at that time.
    Store(StoreTag, Time, StoreReply),
    /// The cloud answered.
    Cloud(CloudRequest, CloudReply),
    /// Direct orders to a worker were answered, or not.
    Ordered(DirectOrders, OrdersReply),
    /// A peer asks.
    Peer(RequestId, PeerRequest),
    /// A peer answered an exchange; none: it did not.
    PeerAnswer(Option<PeerAnswer>),
    /// A peer told whether it reaches the state service.
    PeerStore(bool),
}

/// What a controller does.
#[derive(Debug, PartialEq)]
pub enum Action {
    /// Answer a client.
    Reply(RequestId, Reply),
    /// Ask the state service, within so many milliseconds.
    Store(StoreTag, StoreOp, u64),
    /// Ask the cloud.
    Cloud(CloudRequest),
    /// Send orders straight to a worker.
    Orders(DirectOrders),
    /// Ask a peer.
    Peer(NodeName, PeerRequest),
    /// Answer a peer.
    PeerReply(RequestId, PeerAnswer),
}

/// One write of a batch, to be acted on when the batch is durable.
#[derive(Debug, Clone)]
enum Note {
    Record(MachineId, BTreeSet<Attempt>),
    Done(JobId, u32, BTreeSet<u32>),
    Finish(JobId),
    Claim(MachineId, bool),
}

/// Something done at intervals and repeated sooner when it fails.
#[derive(Debug, Clone, Copy, Default)]
struct Periodic {
    next: Time,
    in_flight: bool,
}

impl Periodic {
    fn due(&self, now: Time) -> bool {
        !self.in_flight && now >= self.next
    }

    fn sent(&mut self, now: Time, every_ms: u64) {
        self.in_flight = true;
        self.next = now + every_ms;
    }

    fn retry(&mut self, now: Time, after_ms: u64) {
        self.in_flight = false;
        self.next = now + after_ms;
    }
}

/// Loading under way.
#[derive(Debug, Default)]
struct Load {
    step: Option<Loading>,
    records: Vec<Pair>,
    done: Vec<Pair>,
    claims: Vec<Pair>,
}

struct Leader {
    allotment: Allotment,
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
    part: Part,
    /// The epoch the part was loaded for, and its members.
    part_of: Option<(Epoch, Vec<NodeName>)>,
    leader: Option<Leader>,
    load: Load,
    load_retry: Periodic,
    catalog: Option<Catalog>,
    /// The catalogue as it is in the store, where known.
    catalog_kept: Option<Catalog>,
    progress: Progress,
    versions: BTreeMap<String, Revision>,
    uncertain: BTreeSet<String>,
    batch: Vec<Note>,
    batch_keys: Vec<(String, bool)>,
    batch_turn: Periodic,
    writes: Bucket,
    reads: Bucket,
    store_heard: Time,
    doubt_turn: Periodic,
    /// When a peer last said that the state service answers it, and that it does not.
    peer_well: Option<Time>,
    peer_unwell: Option<Time>,
    reach_retry: Time,
    reach_retry_ms: u64,
    hold_turn: Periodic,
    control_turn: Periodic,
    propose_turn: Periodic,
    open_turn: Periodic,
    follow_turn: Periodic,
    catch_up_turn: Periodic,
    accept_turn: Periodic,
    sync_turn: Periodic,
    sync_last: Time,
    catalog_turn: Periodic,
    list_turn: Periodic,
    fleet_turn: Periodic,
    summary_at: Time,
    summary_every_ms: u64,
    cloud_calls: Bucket,
}

impl Controller {
    /// A controller that has just started.
    pub fn new(settings: Settings, parameters: Parameters) -> Controller {
        let facts = &settings.facts;
        let write_rate = facts.state.write_rps * WRITE_SHARE;
        let cloud_rate = facts.cloud.rps * CLOUD_SHARE;
        Controller {
            quota: Quota::new(&facts.teams),
            membership: Membership::new(settings.host_name.clone()),
            mirror: Mirror::default(),
            users: Users::default(),
            summary_every_ms: parameters.summary_every_ms,
            part: Part::new(parameters, &facts.workers),
            part_of: None,
            leader: None,
            load: Load::default(),
            load_retry: Periodic::default(),
            catalog: None,
            catalog_kept: None,
            progress: Progress::new(),
            versions: BTreeMap::new(),
            uncertain: BTreeSet::new(),
            batch: Vec::new(),
            batch_keys: Vec::new(),
            batch_turn: Periodic::default(),
            writes: Bucket::new(write_rate, write_rate.max(facts.state.txn_ops as f64)),
            reads: Bucket::new(
                facts.state.rps * READ_SHARE,
                (facts.state.rps * READ_SHARE).max(1.0),
            ),
            store_heard: Time::default(),
            doubt_turn: Periodic::default(),
            peer_well: None,
            peer_unwell: None,
            reach_retry: Time::default(),
            reach_retry_ms: REACH_RETRY_MS,
            hold_turn: Periodic::default(),
            control_turn: Periodic::default(),
            propose_turn: Periodic::default(),
            open_turn: Periodic::default(),
            follow_turn: Periodic::default(),
            catch_up_turn: Periodic::default(),
            accept_turn: Periodic::default(),
            sync_turn: Periodic::default(),
            sync_last: Time::default(),
            catalog_turn: Periodic::default(),
            list_turn: Periodic::default(),
            fleet_turn: Periodic::default(),
            summary_at: Time::default(),
            cloud_calls: Bucket::new(cloud_rate, cloud_rate.max(1.0)),
            settings,
        }
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
            Event::Withdraw(request, id) => {
                self.ask(now, request, &id, Question::Withdraw, &mut out);
            }
            Event::Health(request) => {
                let reply = self.health(now.steady);
                out.push(Action::Reply(request, reply));
            }
            Event::Report(request, body) => {
                let reply = self.report(now.steady, &body);
                out.push(Action::Reply(request, reply));
            }
            Event::Store(tag, sent, reply) => self.store(now, tag, sent, reply, &mut out),
            Event::Cloud(request, reply) => self.cloud(now.steady, &request, reply),
            Event::Ordered(orders, reply) => {
                if let (true, Some(catalog)) = (
                    orders.orders.token == self.membership.token(),
                    &self.catalog,
                ) {
                    let token = orders.orders.token;
                    self.part
                        .ordered(now.steady, &orders, &reply, token, catalog);
                }
            }
            Event::Peer(request, PeerRequest::Sync(up)) => {
                let answer = match self.lead_sync(now, up, &budget) {
                    Some(down) => PeerAnswer::Sync(down),
                    None => PeerAnswer::NotLeader,
                };
                out.push(Action::PeerReply(request, answer));
            }
            Event::Peer(request, PeerRequest::StoreHealth) => {
                let well = now.steady.since(self.store_heard) < STORE_DOUBT_MS;
                out.push(Action::PeerReply(request, PeerAnswer::StoreHealth(well)));
            }
            Event::PeerStore(well) => {
                let word = if well {
                    &mut self.peer_well
                } else {
                    &mut self.peer_unwell
                };
                *word = Some(now.steady);
            }
            Event::PeerAnswer(answer) => {
                self.sync_turn.in_flight = false;
                match answer {
                    Some(PeerAnswer::Sync(down)) if down.epoch == self.membership.token() => {
                        self.apply_sync(now.steady, &down);
                    }
                    _ => {}
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
        if self.membership.standing() != Standing::Serving {
            return;
        }
        self.sync_turn(now, budget, out);
        self.part.place(t, &self.mirror, budget);
        if self.membership.has_authority(t) {
            self.write_turn(t, out);
            for orders in self.part.direct_orders(t, self.membership.token()) {
                out.push(Action::Orders(orders));
            }
        }
    }

    /// A controller that alone has lost the state service should get no users; when all have lost
    /// it, taking them all out of service helps nobody, since coming back is slow.
    fn health(&self, now: Time) -> Reply {
        let silent_ms = now.since(self.store_heard);
        let lately = |word: Option<Time>| word.is_some_and(|at| now.since(at) < STORE_WORD_MS);
        let store = silent_ms < STORE_DOUBT_MS
            || (!lately(self.peer_well)
                && (silent_ms < HEALTH_STORE_MS || lately(self.peer_unwell)));
        if self.mirror.loaded() && self.catalog.is_some() && store {
            Reply::json(200, &serde_json::json!({ "healthy": true }))
        } else {
            Reply::later("not ready")
        }
    }

    /// Asks the peers when the state service is silent here.
    fn doubt_turn(&mut self, now: Time, out: &mut Vec<Action>) {
        if now.since(self.store_heard) >= STORE_DOUBT_MS && self.doubt_turn.due(now) {
            self.doubt_turn.next = now + STORE_ASK_MS;
            for peer in &self.settings.known {
                let to = peer.host_name.clone();
                out.push(Action::Peer(to, PeerRequest::StoreHealth));
            }
        }
    }

    // --- time -----------------------------------------------------------------------------------

    fn tick(&mut self, now: Now, budget: &Budget, out: &mut Vec<Action>) {
        let t = now.steady;
        self.membership_turns(t, out);
        self.mirror_turns(t, out);
        self.doubt_turn(t, out);
        if self.catalog_turn.due(t) {
            if self.catalog.is_none() {
                store(out, StoreTag::Catalog, StoreOp::Get(CATALOG_KEY.to_owned()));
            }
            self.catalog_turn.sent(t, CATALOG_EVERY_MS);
            out.push(Action::Cloud(CloudRequest::Catalog));
        }
        match self.membership.standing() {
            Standing::Loading if self.load_retry.due(t) => self.load_step(t, out),
            Standing::Serving => {
                if self.membership.has_authority(t) {
                    self.part.tick(t);
                    self.reach_turn(t);
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
        if self.hold_turn.due(now) {
            match (self.membership.standing(), self.membership.hold()) {
                (Standing::Homeless, _) | (_, None) => {
                    self.hold_turn.sent(now, STORE_RETRY_MS);
                    store(out, StoreTag::NewHold, StoreOp::NewHold);
                }
                (_, Some(_)) if self.membership.has_to_write_key() => {
                    if let Some(txn) = self.membership.join_txn() {
                        self.hold_turn.sent(now, STORE_RETRY_MS);
                        store(out, StoreTag::Join, StoreOp::Txn(txn));
                    }
                }
                (_, Some(hold)) => {
                    self.hold_turn.sent(now, RENEW_EVERY_MS);
                    store(out, StoreTag::Renew(hold), StoreOp::Renew(hold));
                }
            }
        }
        if self.control_turn.due(now) {
            self.control_turn.sent(now, CONTROL_EVERY_MS);
            store(out, StoreTag::Control, StoreOp::List(CONTROL.to_owned()));
        }
    }

    /// Steps back from owning machines while workers do not reach this controller, and offers itself
    /// again from time to time: nothing else could show that they would.
    fn reach_turn(&mut self, now: Time) {
        if self.membership.reached() {
            if self.part.unreached(now) {
                self.membership.set_reached(false);
                self.reach_retry = now + self.reach_retry_ms;
                self.reach_retry_ms = (self.reach_retry_ms * 2).min(REACH_RETRY_MAX_MS);
            }
        } else if now >= self.reach_retry {
            self.membership.set_reached(true);
        }
    }

    fn mirror_turns(&mut self, now: Time, out: &mut Vec<Action>) {
        match self.mirror.revision() {
            None if self.open_turn.due(now) => {
                self.open_turn.sent(now, STORE_RETRY_MS);
                store(out, StoreTag::Open, StoreOp::List(OPEN.to_owned()));
            }
            Some(since) if self.follow_turn.due(now) => {
                self.follow_turn.sent(now, 0);
                let op = StoreOp::Follow(OPEN.to_owned(), since, FOLLOW_WAIT_MS);
                let deadline_ms = FOLLOW_WAIT_MS + STORE_DEADLINE_MS;
                out.push(Action::Store(StoreTag::Follow, op, deadline_ms));
            }
            _ => {}
        }
    }

    /// Sends what users' requests wait for, as soon as it can leave.
    fn user_turns(&mut self, now: Time, out: &mut Vec<Action>) {
        let may_read = self.reads.available(now) > 0;
        if self.catch_up_turn.due(now) && self.users.wants_read() && may_read {
            if let Some(since) = self.mirror.revision() {
                self.users.reading();
                self.reads.take(1);
                self.catch_up_turn.sent(now, 0);
                let op = StoreOp::Follow(OPEN.to_owned(), since, 0);
                store(out, StoreTag::CatchUp, op);
            }
        }
        if self.accept_turn.due(now) {
            let most = self
                .writes
                .available(now)
                .min(self.settings.facts.state.txn_ops);
            if let Some(txn) = self.users.accept_txn(most) {
                self.writes.take(txn.changes.len());
                self.accept_turn.sent(now, 0);
                store(out, StoreTag::Accept, StoreOp::Txn(txn));
            }
        }
    }

    // --- users ----------------------------------------------------------------------------------

    /// Whether the state service has been silent so long that asking it would only cost time.
    fn store_silent(&self, now: Time) -> bool {
        now.since(self.store_heard) > STORE_SILENT_MS
    }

    fn ask(
        &mut self,
        now: Now,
        request: RequestId,
        id: &str,
        question: Question,
        out: &mut Vec<Action>,
    ) {
        let reply = match id.parse::<JobId>() {
            Err(_) => Reply::error(404, "no such job"),
            Ok(id) => {
                let ask = Ask {
                    request,
                    id,
                    question,
                };
                match self.mirror.final_state(id) {
                    Some(state) => settled(&ask, state),
                    None => match self.queue(now.steady, ask) {
                        Ok(()) => return,
                        Err(reply) => reply,
                    },
                }
            }
        };
        out.push(Action::Reply(request, reply));
    }

    fn queue(&mut self, now: Time, ask: Ask) -> Result<(), Reply> {
        if !self.mirror.loaded() {
            return Err(Reply::later("starting"));
        }
        if self.store_silent(now) {
            return Err(Reply::later("the state service does not answer"));
        }
        if self.users.full() {
            return Err(Reply::later("too many requests wait"));
        }
        self.users.wait(ask);
        Ok(())
    }

    fn submit(&mut self, now: Now, request: RequestId, body: &[u8], out: &mut Vec<Action>) {
        let most = (self.settings.facts.state.value_kb * 1_024.0) as usize;
        let checked = parse(body).and_then(|spec| {
            let id = Some(spec.id);
            let kept = serde_json::to_string(&spec).map_or(usize::MAX, |text| text.len());
            if kept.saturating_add(JOB_FRAME_BYTES) > most {
                let text = "longer than the state service keeps".to_owned();
                return Err((id, Refusal::Malformed(text)));
            }
            match &self.catalog {
                None => Ok(None),
                Some(catalog) => check_possible(&spec, catalog, &self.quota)
                    .map(|()| Some(spec))
                    .map_err(|refusal| (id, refusal)),
            }
        });
        let reply = match checked {
            Ok(None) => Reply::later("machine types not known yet"),
            Ok(Some(spec)) => {
                let id = spec.id;
                let known = self.mirror.get(id).is_some();
                let job = Box::new(Job {
                    spec,
                    accepted_ms: now.wall_ms,
                });
                let ask = Ask {
                    request,
                    id,
                    question: Question::Submit(job),
                };
                if let Some(state) = self.mirror.final_state(id) {
                    settled(&ask, state)
                } else if known {
                    match self.queue(now.steady, ask) {
                        Ok(()) => return,
                        Err(reply) => reply,
                    }
                } else if !self.mirror.loaded() || self.store_silent(now.steady) {
                    Reply::later("the state service does not answer")
                } else if self.users.full() {
                    Reply::later("too many requests wait")
                } else {
                    if let Question::Submit(job) = ask.question {
                        self.users.accept(request, job);
                    }
                    return;
                }
            }
            Err((None, refusal)) => Reply::refusal(&refusal),
            Err((Some(id), refusal)) => {
                let ask = Ask {
                    request,
                    id,
                    question: Question::Unacceptable(refusal),
                };
                match self.queue(now.steady, ask) {
                    Ok(()) => return,
                    Err(reply) => reply,
                }
            }
        };
        out.push(Action::Reply(request, reply));
    }

    fn step(&mut self, now: Time, step: Step, out: &mut Vec<Action>) {
        match step {
            Step::Answer(request, reply) => out.push(Action::Reply(request, reply)),
            Step::LookUpFinal(ask) if self.reads.available(now) == 0 => {
                let reply = Reply::later("too many questions at once");
                out.push(Action::Reply(ask.request, reply));
            }
            Step::LookUpFinal(ask) => {
                self.reads.take(1);
                let op = StoreOp::Get(final_key(ask.id));
                store(out, StoreTag::Final(ask), op);
            }
            Step::Withdraw(ask, txn) => {
                self.writes.take(txn.changes.len());
                store(out, StoreTag::Withdraw(ask), StoreOp::Txn(txn));
            }
            Step::Accept(request, job) => self.users.accept(request, job),
        }
    }

    fn resolve(&mut self, now: Time, asks: Vec<Ask>, out: &mut Vec<Action>) {
        for ask in asks {
            let open = self.mirror.get(ask.id);
            let known_final = self.mirror.final_state(ask.id);
            let step = resolve(ask, open, known_final, &self.progress);
            self.step(now, step, out);
        }
    }

    // --- workers --------------------------------------------------------------------------------

    fn report(&mut self, now: Time, body: &[u8]) -> Reply {
        let report: Report = match serde_json::from_slice(body) {
            Ok(report) => report,
            Err(error) => return Reply::error(400, &error.to_string()),
        };
        let names = self.membership.epoch().map(|epoch| epoch.owners());
        let names = names.unwrap_or_default();
        match (owner(&report.machine, &names), &self.catalog) {
            (Some(name), _) if name != self.membership.me() => Reply::json(
                421,
                &Redirect {
                    report_to: Some(name.clone()),
                },
            ),
            (Some(_), Some(catalog)) if self.membership.has_authority(now) => {
                let token = self.membership.token();
                let commands = self.part.report(now, &report, token, catalog);
                Reply::json(200, &ReportAnswer { token, commands })
            }
            _ => Reply::later("not entitled to act now"),
        }
    }

    // --- leader and owners ----------------------------------------------------------------------

    fn lead(&mut self, now: Now, budget: &Budget, out: &mut Vec<Action>) {
        let t = now.steady;
        if !self.membership.has_authority(t) {
            return;
        }
        let (Some(leader), Some(catalog)) = (&mut self.leader, &self.catalog) else {
            return;
        };
        leader.allotment.round(now, budget);
        leader.allotment.claim(t);
        if self.list_turn.due(t) && self.cloud_calls.available(t) > 0 {
            self.cloud_calls.take(1);
            self.list_turn.sent(t, LIST_EVERY_MS);
            out.push(Action::Cloud(CloudRequest::List));
        }
        if self.fleet_turn.due(t) && leader.allotment.all_heard() {
            self.fleet_turn.next = t + FLEET_EVERY_MS;
            leader.allotment.preempt(now);
            if self.catalog_kept.is_none() {
                let txn = Txn {
                    conditions: self.membership.condition().into_iter().collect(),
                    changes: vec![Change::Put {
                        key: CATALOG_KEY.to_owned(),
                        value: serde_json::json!(catalog),
                        hold: None,
                    }],
                };
                let tag = StoreTag::KeepCatalog(catalog.clone());
                store(out, tag, StoreOp::Txn(txn));
            }
            leader.fleet.heard(t, leader.allotment.machines());
            let demand = leader.allotment.demand(now);
            let requests = leader
                .fleet
                .plan(t, catalog, leader.allotment.rooms(), &demand);
            for request in requests {
                self.cloud_calls.take(1);
                out.push(Action::Cloud(request));
            }
        }
    }

    /// Takes in a part's state as the leader; none if it does not lead the part's epoch.
    fn lead_sync(&mut self, now: Now, up: SyncUp, budget: &Budget) -> Option<SyncDown> {
        if up.epoch != self.membership.token() || !self.membership.has_authority(now.steady) {
            return None;
        }
        let leader = self.leader.as_mut()?;
        let from = up.from.clone();
        leader.allotment.sync(now.steady, up);
        leader.allotment.round(now, budget);
        let mut down = leader.allotment.answer(&from);
        down.drains = leader.fleet.drains();
        down.gone = leader.fleet.gone();
        Some(down)
    }

    fn sync_turn(&mut self, now: Now, budget: &Budget, out: &mut Vec<Action>) {
        let t = now.steady;
        let every_ms = if self.part.changed() {
            SYNC_PRESSING_MS
        } else {
            SYNC_EVERY_MS
        };
        if self.sync_turn.in_flight || t.since(self.sync_last) < every_ms {
            return;
        }
        let Some(leader) = self.membership.epoch().map(|e| e.leader.name.clone()) else {
            return;
        };
        self.sync_last = t;
        let me = self.membership.me().clone();
        let up = self.part.sync_up(t, self.membership.token(), &me);
        if self.membership.leads() {
            if let Some(down) = self.lead_sync(now, up, budget) {
                self.apply_sync(t, &down);
            }
        } else {
            self.sync_turn.in_flight = true;
            out.push(Action::Peer(leader, PeerRequest::Sync(up)));
        }
    }

    fn apply_sync(&mut self, now: Time, down: &SyncDown) {
        self.part.apply(down, now);
        self.progress = down
            .progress
            .iter()
            .map(|(id, done, running)| (*id, (*done, *running)))
            .collect();
    }

    // --- epochs ---------------------------------------------------------------------------------

    fn new_epoch(&mut self, now: Time, out: &mut Vec<Action>) {
        self.leader = None;
        self.load = Load::default();
        self.load_retry = Periodic::default();
        self.versions.clear();
        self.uncertain.clear();
        self.batch.clear();
        self.batch_keys.clear();
        self.batch_turn = Periodic::default();
        self.sync_turn = Periodic::default();
        self.list_turn = Periodic::default();
        self.fleet_turn = Periodic::default();
        if self.membership.standing() == Standing::Loading {
            self.load_step(now, out);
        } else {
            self.forget_part();
        }
    }

    fn forget_part(&mut self) {
        self.part.clear();
        self.part_of = None;
    }

    fn load_step(&mut self, now: Time, out: &mut Vec<Action>) {
        let step = *self.load.step.get_or_insert(Loading::Records);
        let tag = StoreTag::Load(self.membership.token(), step);
        let op = match (step, self.mirror.revision()) {
            (Loading::Records, _) => StoreOp::List(RECORDS.to_owned()),
            (Loading::Done, _) => StoreOp::List(DONE.to_owned()),
            (Loading::Claims, _) => StoreOp::List(CLAIMS.to_owned()),
            (Loading::Mirror, Some(since)) => StoreOp::Follow(OPEN.to_owned(), since, 0),
            (Loading::Mirror, None) => {
                // The first reading is under way.
                self.load_retry.retry(now, STORE_RETRY_MS);
                return;
            }
        };
        self.load_retry.sent(now, 0);
        store(out, tag, op);
    }

    fn load_answer(&mut self, now: Time, step: Loading, reply: StoreReply, out: &mut Vec<Action>) {
        if self.load.step != Some(step) {
            return;
        }
        let next = match (step, reply) {
            (Loading::Records, StoreReply::Listing(listing)) => {
                self.load.records = listing.pairs;
                if self.membership.leads() {
                    Loading::Done
                } else {
                    Loading::Mirror
                }
            }
            (Loading::Done, StoreReply::Listing(listing)) => {
                self.load.done = listing.pairs;
                Loading::Claims
            }
            (Loading::Claims, StoreReply::Listing(listing)) => {
                self.load.claims = listing.pairs;
                Loading::Mirror
            }
            (Loading::Mirror, StoreReply::Changes(changes)) => {
                self.changed(now, &changes);
                self.finish_loading(now);
                return;
            }
            (Loading::Mirror, StoreReply::TooOld) => {
                self.mirror.outdated();
                Loading::Mirror
            }
            _ => {
                self.load_retry.retry(now, STORE_RETRY_MS);
                return;
            }
        };
        self.load.step = Some(next);
        self.load_step(now, out);
    }

    fn finish_loading(&mut self, now: Time) {
        let load = std::mem::take(&mut self.load);
        let Some(epoch) = self.membership.epoch().cloned() else {
            return;
        };
        let names = epoch.owners();
        for pair in [&load.records, &load.done, &load.claims]
            .into_iter()
            .flatten()
        {
            self.versions.insert(pair.key.clone(), pair.version);
        }
        let me = self.membership.me();
        let just_before = Epoch(epoch.number.0 - 1);
        let before = self
            .part_of
            .take()
            .filter(|(number, _)| *number == just_before)
            .map_or(Vec::new(), |(_, names)| names);
        self.part.load(
            now,
            load.records.iter(),
            &self.mirror,
            |machine| owner(machine, &names) == Some(me),
            |machine| owner(machine, &before) == Some(me),
        );
        self.part_of = Some((epoch.number, names.clone()));
        if self.membership.leads() {
            self.leader = Some(Leader {
                allotment: Allotment::load(
                    epoch.number,
                    &names,
                    &self.settings.facts,
                    &self.mirror,
                    &load.records,
                    &load.done,
                    &load.claims,
                ),
                fleet: Fleet::new(epoch.number, now, self.settings.facts.cloud.list_lag_s),
            });
            tracing::info!(epoch = %epoch.number, members = names.len(), "leading");
        }
        self.membership.loaded();
    }

    // --- writes ---------------------------------------------------------------------------------

    fn version(&self, key: &str) -> Revision {
        self.versions.get(key).copied().unwrap_or_default()
    }

    /// Sends the next batch of conditional writes, if none is under way.
    fn write_turn(&mut self, now: Time, out: &mut Vec<Action>) {
        if !self.batch_turn.due(now) {
            return;
        }
        let Some(epoch) = self.membership.condition() else {
            return;
        };
        let most = self
            .writes
            .available(now)
            .min(self.settings.facts.state.txn_ops);
        let mut txn = Txn {
            conditions: vec![epoch],
            changes: Vec::new(),
        };
        let mut bytes = 0;
        let mut nothing_to_do = Vec::new();
        let dues = self.leader.iter().flat_map(|l| l.allotment.due().cloned());
        let dues: Vec<Due> = dues.take(most).collect();
        for due in dues {
            let Some(leader) = &self.leader else { break };
            let (note, changes, condition) = match due {
                Due::Finish(id) => {
                    let Some(open) = self.mirror.get(id) else {
                        continue;
                    };
                    let condition = Condition {
                        key: open_key(id),
                        version: open.version,
                    };
                    let mut changes = vec![
                        Change::Delete { key: open_key(id) },
                        Change::Put {
                            key: final_key(id),
                            value: final_value(JobState::Done),
                            hold: None,
                        },
                    ];
                    for chunk in 0..leader.allotment.chunks(id) {
                        let key = done_key(id, chunk);
                        if self.version(&key) != Revision(0) {
                            changes.push(Change::Delete { key });
                        }
                    }
                    (Note::Finish(id), changes, Some(condition))
                }
                Due::Done(id, chunk) => {
                    let key = done_key(id, chunk);
                    let (value, tasks) = leader.allotment.done_value(id, chunk);
                    let change = self.change(key, value);
                    (Note::Done(id, chunk, tasks), change, None)
                }
                Due::Claim(machine) => {
                    let value = leader.allotment.claim_value(&machine);
                    let held = value.is_some();
                    let change = self.change(claim_key(&machine), value);
                    (Note::Claim(machine, held), change, None)
                }
            };
            if changes.is_empty() {
                nothing_to_do.push(note);
                continue;
            }
            if !self.add_to_batch(&mut txn, &mut bytes, most, note, changes, condition) {
                break;
            }
        }
        for machine in self.part.records_due(now) {
            let (value, attempts) = self.part.record(&machine);
            let changes = self.change(record_key(&machine), value);
            let note = Note::Record(machine, attempts);
            if changes.is_empty() {
                nothing_to_do.push(note);
            } else if !self.add_to_batch(&mut txn, &mut bytes, most, note, changes, None) {
                break;
            }
        }
        for note in nothing_to_do {
            self.durable(note);
        }
        if txn.changes.is_empty() {
            return;
        }
        self.writes.take(txn.changes.len());
        self.batch_turn.sent(now, 0);
        let tag = StoreTag::Batch(self.membership.token());
        store(out, tag, StoreOp::Txn(txn));
    }

    /// The change that gives a key that value; none if it has to be removed and does not exist.
    fn change(&self, key: String, value: Option<serde_json::Value>) -> Vec<Change> {
        match value {
            Some(value) => vec![Change::Put {
                key,
                value,
                hold: None,
            }],
            None if self.version(&key) == Revision(0) => Vec::new(),
            None => vec![Change::Delete { key }],
        }
    }

    /// Adds one write; false if the batch is full. A write whose keys are uncertain is left for a
    /// later batch.
    fn add_to_batch(
        &mut self,
        txn: &mut Txn,
        bytes: &mut usize,
        most: usize,
        note: Note,
        changes: Vec<Change>,
        condition: Option<Condition>,
    ) -> bool {
        if changes.iter().any(|c| self.uncertain.contains(c.key())) {
            return true;
        }
        let size: usize = changes
            .iter()
            .map(|change| serde_json::to_string(change).map_or(0, |text| text.len()) + 100)
            .sum();
        if txn.changes.len() + changes.len() > most || *bytes + size > TXN_BYTES {
            return false;
        }
        *bytes += size;
        for change in &changes {
            let key = change.key().to_owned();
            let version = match &condition {
                Some(condition) if condition.key == key => condition.version,
                _ => self.version(&key),
            };
            let put = matches!(change, Change::Put { .. });
            self.batch_keys.push((key.clone(), put));
            txn.conditions.push(Condition { key, version });
        }
        txn.changes.extend(changes);
        self.batch.push(note);
        true
    }

    fn durable(&mut self, note: Note) {
        match note {
            Note::Record(machine, attempts) => self.part.recorded(&machine, attempts),
            Note::Done(id, chunk, tasks) => {
                if let Some(leader) = &mut self.leader {
                    leader.allotment.done_written(id, chunk, &tasks);
                }
            }
            Note::Finish(id) => {
                tracing::debug!(job = %id, "job done");
                self.mirror.remember_final(id, JobState::Done);
                if let Some(leader) = &mut self.leader {
                    leader.allotment.close(id);
                }
            }
            Note::Claim(machine, held) => {
                if let Some(leader) = &mut self.leader {
                    leader.allotment.claim_written(&machine, held);
                }
            }
        }
    }

    fn batch_answer(&mut self, now: Time, sent: Time, reply: StoreReply, out: &mut Vec<Action>) {
        let notes = std::mem::take(&mut self.batch);
        let keys = std::mem::take(&mut self.batch_keys);
        match reply {
            StoreReply::Committed(revision) => {
                self.batch_turn.retry(now, 0);
                self.membership.confirmed(sent);
                for (key, put) in keys {
                    if put {
                        self.versions.insert(key, revision);
                    } else {
                        self.versions.remove(&key);
                    }
                }
                for note in notes {
                    self.durable(note);
                }
            }
            StoreReply::Conflict(failed) => {
                self.batch_turn.retry(now, STORE_RETRY_MS);
                if failed.iter().any(|key| key == EPOCH) {
                    self.control_turn.next = now;
                }
                self.refresh(failed, out);
            }
            StoreReply::Refused => self.batch_turn.retry(now, STORE_RETRY_MS),
            _ => {
                // It may have been applied, or may still be: every version is read again, and a
                // late application fails on the version of whatever is written next.
                self.batch_turn.retry(now, STORE_RETRY_MS);
                self.refresh(keys.into_iter().map(|(key, _)| key).collect(), out);
            }
        }
    }

    fn refresh(&mut self, keys: Vec<String>, out: &mut Vec<Action>) {
        for key in keys {
            // Control keys and open jobs have readers of their own.
            if key.starts_with(CONTROL) || key.starts_with(OPEN) {
                continue;
            }
            self.uncertain.insert(key.clone());
            let tag = StoreTag::Refresh(self.membership.token(), key.clone());
            store(out, tag, StoreOp::Get(key));
        }
    }

    // --- answers of the state service -----------------------------------------------------------

    fn changed(&mut self, now: Time, changes: &Changes) {
        let changes = self.mirror.apply(changes);
        self.mirror_changed(now, changes);
    }

    fn mirror_changed(&mut self, now: Time, changes: Vec<MirrorChange>) {
        for change in changes {
            match change {
                MirrorChange::Opened(id) => {
                    if let (Some(leader), Some(open)) = (&mut self.leader, self.mirror.get(id)) {
                        leader.allotment.open(id, &open.job);
                    }
                }
                MirrorChange::Closed(id) => {
                    self.part.stop_job(id, now);
                    if let Some(leader) = &mut self.leader {
                        leader.allotment.close(id);
                    }
                }
            }
        }
    }

    fn store(
        &mut self,
        now: Now,
        tag: StoreTag,
        sent: Time,
        reply: StoreReply,
        out: &mut Vec<Action>,
    ) {
        let t = now.steady;
        let answered = !matches!(reply, StoreReply::Refused | StoreReply::Unknown);
        if answered {
            self.store_heard = t;
        }
        match tag {
            StoreTag::NewHold => {
                self.hold_turn
                    .retry(t, if answered { 0 } else { STORE_RETRY_MS });
                if let StoreReply::Hold(hold) = reply {
                    self.membership.granted(hold);
                }
            }
            StoreTag::Join => match reply {
                StoreReply::Committed(_) => {
                    self.hold_turn.retry(t, 0);
                    self.control_turn.next = t;
                    self.membership.joined();
                }
                StoreReply::NoSuchHold => {
                    self.hold_turn.retry(t, 0);
                    self.membership.lost_hold();
                }
                _ => self.hold_turn.retry(t, STORE_RETRY_MS),
            },
            StoreTag::Renew(hold) => {
                self.hold_turn.in_flight = false;
                match reply {
                    StoreReply::NoSuchHold if self.membership.hold() == Some(hold) => {
                        tracing::info!(hold, "the hold ran out");
                        self.hold_turn.next = t;
                        self.leave();
                    }
                    StoreReply::Renewed => {}
                    _ => self.hold_turn.next = t + STORE_RETRY_MS,
                }
            }
            StoreTag::Control => {
                self.control_turn.in_flight = false;
                match reply {
                    StoreReply::Listing(listing) => self.control(t, sent, &listing, out),
                    _ => self.control_turn.next = t + STORE_RETRY_MS,
                }
            }
            StoreTag::Propose => {
                self.propose_turn.retry(t, 0);
                self.control_turn.next = t;
            }
            StoreTag::Open => {
                self.open_turn.retry(t, STORE_RETRY_MS);
                if let StoreReply::Listing(listing) = reply {
                    if !self.mirror.loaded() {
                        let changes = self.mirror.load(&listing);
                        self.mirror_changed(t, changes);
                    }
                }
            }
            StoreTag::Follow => match reply {
                StoreReply::Changes(changes) => {
                    self.follow_turn.retry(t, FOLLOW_PAUSE_MS);
                    self.changed(t, &changes);
                }
                StoreReply::TooOld => {
                    self.follow_turn.retry(t, 0);
                    self.reload_mirror(out);
                }
                _ => self.follow_turn.retry(t, STORE_RETRY_MS),
            },
            StoreTag::CatchUp => self.caught_up(t, reply, out),
            StoreTag::Load(epoch, step) => {
                let loading = self.membership.standing() == Standing::Loading;
                if loading && epoch == self.membership.token() {
                    self.load_answer(t, step, reply, out);
                }
            }
            StoreTag::Batch(epoch) => {
                if epoch == self.membership.token() && self.batch_turn.in_flight {
                    self.batch_answer(t, sent, reply, out);
                }
            }
            StoreTag::Refresh(epoch, key) => {
                if epoch != self.membership.token() || !self.uncertain.contains(&key) {
                    return;
                }
                match reply {
                    StoreReply::Found(pair) => {
                        self.versions.insert(key.clone(), pair.version);
                        self.uncertain.remove(&key);
                    }
                    StoreReply::Missing => {
                        self.versions.remove(&key);
                        self.uncertain.remove(&key);
                    }
                    _ => {
                        let tag = StoreTag::Refresh(epoch, key.clone());
                        store(out, tag, StoreOp::Get(key));
                    }
                }
            }
            StoreTag::Accept => self.accept_answer(t, reply, out),
            StoreTag::Withdraw(ask) => match reply {
                StoreReply::Committed(_) => {
                    let id = ask.id;
                    self.mirror.remember_final(id, JobState::Cancelled);
                    self.mirror_changed(t, vec![MirrorChange::Closed(id)]);
                    out.push(Action::Reply(
                        ask.request,
                        settled(&ask, JobState::Cancelled),
                    ));
                }
                StoreReply::Conflict(_) => self.users.wait(ask),
                _ => out.push(Action::Reply(
                    ask.request,
                    Reply::later("not cancelled yet"),
                )),
            },
            StoreTag::Final(ask) => match reply {
                StoreReply::Found(pair) => match read_final(&pair.value) {
                    Some(state) => {
                        self.mirror.remember_final(ask.id, state);
                        out.push(Action::Reply(ask.request, settled(&ask, state)));
                    }
                    None => {
                        tracing::error!(key = pair.key, "final state cannot be read");
                        out.push(Action::Reply(ask.request, Reply::later("unreadable state")));
                    }
                },
                StoreReply::Missing => self.step(t, unknown(ask), out),
                _ => out.push(Action::Reply(
                    ask.request,
                    Reply::later("the state service does not answer"),
                )),
            },
            StoreTag::Catalog => {
                if let (StoreReply::Found(pair), None) = (reply, &self.catalog) {
                    self.catalog = serde_json::from_value(pair.value).ok();
                    self.catalog_kept.clone_from(&self.catalog);
                }
            }
            StoreTag::KeepCatalog(catalog) => {
                if let StoreReply::Committed(_) = reply {
                    self.catalog_kept = Some(catalog);
                }
            }
        }
    }

    fn reload_mirror(&mut self, out: &mut Vec<Action>) {
        self.mirror.outdated();
        for ask in self.users.read() {
            out.push(Action::Reply(
                ask.request,
                Reply::later("reading jobs again"),
            ));
        }
    }

    fn control(&mut self, now: Time, sent: Time, listing: &Listing, out: &mut Vec<Action>) {
        match self.membership.control_read(sent, listing) {
            Finding::Steady => {}
            Finding::Evicted => {
                tracing::info!("the member key is gone");
                self.leave();
            }
            Finding::NewEpoch => {
                self.new_epoch(now, out);
            }
            Finding::Propose(txn) => {
                if self.propose_turn.due(now) {
                    self.propose_turn.sent(now, 0);
                    store(out, StoreTag::Propose, StoreOp::Txn(txn));
                }
            }
        }
    }

    fn leave(&mut self) {
        self.membership.lost_hold();
        self.leader = None;
        self.forget_part();
    }

    fn caught_up(&mut self, now: Time, reply: StoreReply, out: &mut Vec<Action>) {
        self.catch_up_turn.retry(now, 0);
        match reply {
            StoreReply::Changes(changes) if self.mirror.loaded() => {
                self.changed(now, &changes);
                let asks = self.users.read();
                self.resolve(now, asks, out);
            }
            StoreReply::TooOld => self.reload_mirror(out),
            _ => {
                for ask in self.users.read() {
                    let reply = Reply::later("the state service does not answer");
                    out.push(Action::Reply(ask.request, reply));
                }
            }
        }
    }

    fn accept_answer(&mut self, now: Time, reply: StoreReply, out: &mut Vec<Action>) {
        self.accept_turn.retry(now, 0);
        let jobs = self.users.accept_answered();
        match reply {
            StoreReply::Committed(_) => {
                for (request, job) in jobs {
                    out.push(Action::Reply(request, accepted(job.spec.id)));
                }
            }
            StoreReply::Conflict(failed) => {
                for (request, job) in jobs {
                    let id = job.spec.id;
                    if failed.contains(&open_key(id)) || failed.contains(&final_key(id)) {
                        self.users.wait(Ask {
                            request,
                            id,
                            question: Question::Submit(job),
                        });
                    } else {
                        self.users.accept(request, job);
                    }
                }
            }
            _ => {
                for (request, _) in jobs {
                    out.push(Action::Reply(request, Reply::later("not accepted yet")));
                }
                for request in self.users.refuse_all() {
                    let reply = Reply::later("the state service does not answer");
                    out.push(Action::Reply(request, reply));
                }
            }
        }
    }

    // --- answers of the cloud -------------------------------------------------------------------

    fn cloud(&mut self, now: Time, request: &CloudRequest, reply: CloudReply) {
        match (request, reply) {
            (CloudRequest::Catalog, CloudReply::Catalog(catalog)) => {
                self.catalog_turn.in_flight = false;
                self.catalog = Some(catalog);
            }
            (CloudRequest::Catalog, _) => self.catalog_turn.retry(now, CATALOG_RETRY_MS),
            (CloudRequest::List, reply) => {
                self.list_turn.in_flight = false;
                if let (CloudReply::List(list), Some(leader)) = (reply, &mut self.leader) {
                    leader.fleet.listed(now, &list.machines);
                }
            }
            (CloudRequest::Rent(request), reply) => {
                let Some(leader) = &mut self.leader else {
                    return;
                };
                match reply {
                    CloudReply::Machines(names) => {
                        leader.fleet.rented(now, &request.request, &names);
                    }
                    CloudReply::NoCapacity => leader.fleet.rent_refused(now, &request.request),
                    _ => leader.fleet.rent_unanswered(&request.request),
                }
            }
            (CloudRequest::Return(names), reply) => {
                let Some(leader) = &mut self.leader else {
                    return;
                };
                let gone = matches!(reply, CloudReply::Machines(_)).then_some(names);
                leader.fleet.returned(now, gone);
            }
        }
    }
}

fn store(out: &mut Vec<Action>, tag: StoreTag, op: StoreOp) {
    out.push(Action::Store(tag, op, STORE_DEADLINE_MS));
}
