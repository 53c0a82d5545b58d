//! An in-memory cluster on virtual time: state service, cloud, workers, network and controllers.
//!
//! It checks the rules by itself, all the time: see [`rules`]. Troubles are fields of [`Troubles`] that
//! scenarios set and clear, and that go together in any way. Everything in it is deterministic; what is drawn
//! is drawn from the cluster's seed.

mod cloud;
mod fixtures;
pub mod rules;
mod state_service;
mod troubles;
mod users;
mod workers;

use std::collections::{BTreeMap, BTreeSet, BinaryHeap};

use serde_json::{json, Value};
use worksshunt_core::constants::{SYNC_DEADLINE_MS, TICK_MS};
use worksshunt_core::controller::{Action, Controller, Event, StoreOp, StoreReply, StoreTag};
use worksshunt_core::fleet::CloudRequest;
use worksshunt_core::machines::{DirectOrders, OrdersReply};
use worksshunt_core::placement::Parameters;
use worksshunt_core::time::{Now, Time};
use worksshunt_core::users::{Reply, RequestId};
use worksshunt_wire::cloud::MachineNames;
use worksshunt_wire::peer::{PeerAnswer, PeerRequest};
use worksshunt_wire::settings::Settings;
use worksshunt_wire::state::{Change, Txn};
use worksshunt_wire::user::{JobKind, JobSpec};
use worksshunt_wire::worker::{Command, Report, TaskState};
use worksshunt_wire::{Attempt, JobId, MachineId, Revision, TaskId};

use fixtures::catalog;
pub use fixtures::{job, service, settings};
use state_service::Store;
pub use troubles::{LateWrites, Troubles};
use workers::Task;
pub use workers::Worker;

use rules::{Free, Question, Rules, Seen, SILENT_MOST_MS};

/// Workers' lease, ms; as in the settings below.
const LEASE_MS: u64 = 16_000;
/// Interval of reports, ms.
const REPORT_MS: u64 = 2_500;
/// How long a worker waits for the answer to a report, ms.
const REPORT_DEADLINE_MS: u64 = 4_000;
/// Processors of a machine.
const MACHINE_CPUS: f64 = 4.0;
/// How often the cluster looks at itself, ms.
const LOOK_MS: u64 = 100;
/// 1 January 2026 in ms.
const WALL_MS: u64 = 1_767_225_600_000;

struct Node {
    controller: Controller,
    life: u64,
    started: u64,
}

enum Happening {
    Tick(usize, u64),
    Dispatch(usize, u64, Box<Event>),
    Store(usize, u64, StoreTag, StoreOp, Time, u64),
    Cloud(usize, u64, CloudRequest),
    PeerAsk(usize, u64, usize, RequestId, PeerRequest),
    PeerSilence(usize, u64, u64),
    Orders(usize, u64, DirectOrders),
    Worker(MachineId),
    ReportArrives(usize, MachineId, Report, u64),
    CopyArrives(usize, Report),
    AnswerArrives(MachineId, u64, u64, u64, Reply),
    NoAnswer(MachineId, u64, u64),
    LateTxn(Txn),
    Look,
    Scene(Scene),
}

/// A controller that stands still, with what it was doing and what has come meanwhile.
#[derive(Default)]
struct Frozen {
    /// What it had decided when it stopped, which leaves when it goes on.
    decided: Option<(u64, Time, Vec<Action>)>,
    came: Vec<(u64, Event)>,
}

/// Something that a scenario lets happen later.
type Scene = Box<dyn FnOnce(&mut Cluster)>;

/// A watch that waits for changes.
struct Watch {
    node: usize,
    life: u64,
    tag: StoreTag,
    prefix: String,
    since: Revision,
    sent: Time,
    /// When it is answered although nothing has changed.
    ends: u64,
    /// When its sender gives up on it.
    until: u64,
}

enum Waiting {
    User(usize, Question),
    Report(MachineId, u64, u64, u64),
    Peer(usize, u64, u64),
}

struct Entry(u64, u64, Happening);

impl PartialEq for Entry {
    fn eq(&self, other: &Entry) -> bool {
        (self.0, self.1) == (other.0, other.1)
    }
}
impl Eq for Entry {}
impl PartialOrd for Entry {
    fn partial_cmp(&self, other: &Entry) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Entry {
    fn cmp(&self, other: &Entry) -> std::cmp::Ordering {
        (other.0, other.1).cmp(&(self.0, self.1))
    }
}

pub struct Cluster {
    pub now: u64,
    pub settings: Vec<Settings>,
    nodes: Vec<Option<Node>>,
    lives: u64,
    queue: BinaryHeap<Entry>,
    order: u64,
    store: Store,
    /// The state service was down when last looked at.
    was_down: bool,
    watches: Vec<Watch>,
    pub workers: BTreeMap<MachineId, Worker>,
    pub rules: Rules,
    rng: fastrand::Rng,
    pub capacity: usize,
    pub run_ms: u64,
    /// How much longer each task runs than the one before it, in groups of eight.
    pub run_spread_ms: u64,
    /// The boot time in the catalogue, seconds. Machines take five.
    pub ready_s: f64,
    /// One way over the network, ms.
    pub hop_ms: u64,
    /// How long machines take to boot, ms.
    pub boot_ms: u64,
    /// How long a machine is missing from the list.
    pub list_lag_ms: u64,
    requests: u64,
    waiting: BTreeMap<(usize, u64, RequestId), Waiting>,
    user_replies: Vec<Option<Reply>>,
    pub trouble: Troubles,
    held_txns: Vec<StoreOp>,
    /// Transactions that could be slow.
    txns: u64,
    held_orders: Vec<DirectOrders>,
    held_reports: Vec<Report>,
    frozen: BTreeMap<usize, Frozen>,
    /// Copies kept for the next leader, and the epoch in which they are kept.
    kept_copies: Vec<Report>,
    kept_in: u64,
    /// How often each trouble took effect, by its name.
    pub took_effect: BTreeMap<&'static str, usize>,
    /// Submissions as first sent, for repetitions.
    bodies: BTreeMap<JobId, Vec<u8>>,
    /// Transactions that the state service found too large.
    pub too_large: usize,
    /// Every start of a task: when, which, where.
    pub starts: Vec<(u64, TaskId, MachineId)>,
    pub returned: Vec<MachineId>,
    rentals: BTreeMap<String, MachineNames>,
    /// Every attempt launched, with its task and machine.
    launched: BTreeMap<Attempt, (TaskId, MachineId)>,
    orders_sent: Vec<MachineId>,
    machines_made: u64,
}

impl Cluster {
    /// Three controllers and nothing else yet.
    pub fn new() -> Cluster {
        let mut cluster = Cluster {
            now: 0,
            settings: (0..3).map(settings).collect(),
            nodes: (0..3).map(|_| None).collect(),
            lives: 0,
            queue: BinaryHeap::new(),
            order: 0,
            store: Store::default(),
            was_down: false,
            watches: Vec::new(),
            workers: BTreeMap::new(),
            rules: Rules::default(),
            rng: fastrand::Rng::with_seed(1),
            capacity: 10,
            run_ms: 8_000,
            run_spread_ms: 0,
            ready_s: 5.0,
            hop_ms: 3,
            boot_ms: 5_000,
            list_lag_ms: 0,
            requests: 0,
            waiting: BTreeMap::new(),
            user_replies: Vec::new(),
            trouble: Troubles::default(),
            held_txns: Vec::new(),
            txns: 0,
            held_orders: Vec::new(),
            held_reports: Vec::new(),
            frozen: BTreeMap::new(),
            kept_copies: Vec::new(),
            kept_in: 0,
            took_effect: BTreeMap::new(),
            bodies: BTreeMap::new(),
            too_large: 0,
            starts: Vec::new(),
            returned: Vec::new(),
            rentals: BTreeMap::new(),
            launched: BTreeMap::new(),
            orders_sent: Vec::new(),
            machines_made: 0,
        };
        for node in 0..3 {
            cluster.start(node);
        }
        cluster.at(0, Happening::Look);
        cluster
    }

    /// What is drawn from now on is drawn from this seed.
    pub fn seed(&mut self, seed: u64) {
        self.rng = fastrand::Rng::with_seed(seed);
    }

    /// Lets something happen later.
    pub fn later(&mut self, ms: u64, scene: impl FnOnce(&mut Cluster) + 'static) {
        self.at(self.now + ms, Happening::Scene(Box::new(scene)));
    }

    /// Notes that a trouble took effect.
    fn effect(&mut self, trouble: &'static str) {
        *self.took_effect.entry(trouble).or_default() += 1;
    }

    /// How often a trouble took effect.
    pub fn effects(&self, trouble: &str) -> usize {
        self.took_effect.get(trouble).copied().unwrap_or_default()
    }

    fn at(&mut self, when: u64, what: Happening) {
        self.order += 1;
        self.queue.push(Entry(when, self.order, what));
    }

    /// Starts a controller, ending its former life if there is one.
    pub fn start(&mut self, node: usize) {
        self.lives += 1;
        self.rules.keep(&self.settings[node]);
        self.frozen.remove(&node);
        self.nodes[node] = Some(Node {
            controller: Controller::new(self.settings[node].clone(), Parameters::default()),
            life: self.lives,
            started: self.now,
        });
        self.at(self.now, Happening::Tick(node, self.lives));
    }

    /// Ends a controller without a word.
    pub fn crash(&mut self, node: usize) {
        self.nodes[node] = None;
        self.frozen.remove(&node);
    }

    /// Ends a controller and starts it again after so long.
    pub fn bounce(&mut self, node: usize, ms: u64) {
        self.crash(node);
        self.later(ms, move |cluster| cluster.start(node));
    }

    /// A controller stands still for so long, in the middle of what it does next.
    pub fn freeze(&mut self, node: usize, ms: u64) {
        self.frozen.entry(node).or_default();
        self.later(ms, move |cluster| {
            let Some(frozen) = cluster.frozen.remove(&node) else {
                return;
            };
            cluster.effect("freeze");
            if let Some((life, steady, actions)) = frozen.decided {
                for action in actions {
                    cluster.perform(node, life, steady, action);
                }
            }
            for (life, event) in frozen.came {
                cluster.dispatch(node, life, event);
            }
        });
    }

    /// Whether a controller is there.
    pub fn is_up(&self, node: usize) -> bool {
        self.nodes[node].is_some()
    }

    /// How many machines report to a controller.
    pub fn reporting_to(&self, node: usize) -> usize {
        self.workers.values().filter(|w| w.node == node).count()
    }

    /// The controller that leads by the store's word.
    pub fn leader(&self) -> usize {
        let (epoch, _, _) = &self.store.keys["c/epoch"];
        let name = epoch["leader"]["name"].as_str().expect("a name");
        name[1..].parse().expect("a number")
    }

    /// A key's value in the store.
    pub fn stored(&self, key: &str) -> Option<&Value> {
        self.store.keys.get(key).map(|(value, _, _)| value)
    }

    /// Lets time pass.
    pub fn run(&mut self, ms: u64) {
        let until = self.now + ms;
        while self.queue.peek().is_some_and(|entry| entry.0 <= until) {
            let Some(Entry(when, _, what)) = self.queue.pop() else {
                break;
            };
            self.now = when;
            self.happen(what);
        }
        self.now = until;
    }

    /// Lets time pass until something holds, or fails the test.
    pub fn until(&mut self, what: &str, most_ms: u64, holds: impl Fn(&Cluster) -> bool) {
        let end = self.now + most_ms;
        while !holds(self) {
            assert!(self.now < end, "not in time: {what}");
            self.run(100);
        }
    }

    /// Delivers a report to a controller once more.
    pub fn deliver_copy(&mut self, node: usize, report: Report) {
        self.at(self.now, Happening::CopyArrives(node, report));
        self.run(10);
    }

    /// A machine's report as it would be now.
    pub fn report_of(&mut self, id: &MachineId) -> Report {
        Self::report(id, self.workers.get_mut(id).expect("a worker"))
    }

    /// Puts a value into the store, as somebody else would.
    pub fn put(&mut self, key: &str, value: Value) {
        let change = Change::Put {
            key: key.to_owned(),
            value,
            lease: None,
        };
        let txn = Txn {
            conditions: Vec::new(),
            changes: vec![change],
        };
        self.store.apply(self.now, &StoreOp::Txn(txn));
        self.wake_watches();
    }

    /// Removes a key from the store.
    pub fn remove(&mut self, key: &str) {
        let key = key.to_owned();
        let txn = Txn {
            conditions: Vec::new(),
            changes: vec![Change::Delete { key }],
        };
        self.store.apply(self.now, &StoreOp::Txn(txn));
        self.wake_watches();
    }

    /// Puts a final state into the store, as of a job long over.
    pub fn put_final(&mut self, id: u64) {
        self.put(&format!("f/{}", JobId(id)), json!({ "state": "done" }));
    }

    /// The epoch's number by the store's word.
    pub fn epoch(&self) -> u64 {
        self.stored("c/epoch")
            .and_then(|e| e["number"].as_u64())
            .unwrap_or(0)
    }

    /// How many attempts were launched on a machine, whether or not it heard of them.
    pub fn launches_on(&self, id: &MachineId) -> usize {
        self.launched
            .values()
            .filter(|launch| launch.1 == *id)
            .count()
    }

    /// How many direct orders were sent to a machine.
    pub fn orders_to(&self, id: &MachineId) -> usize {
        self.orders_sent.iter().filter(|to| *to == id).count()
    }

    /// The store's revision.
    pub fn revision(&self) -> u64 {
        self.store.revision
    }

    /// The store's keys that begin so.
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        let keys = self.store.keys.keys();
        keys.filter(|key| key.starts_with(prefix))
            .cloned()
            .collect()
    }

    /// Whether all tasks of the job have completed.
    pub fn all_done(&self, id: u64, tasks: u32) -> bool {
        (0..tasks).all(|index| {
            let job = JobId(id);
            self.rules.has_completed(TaskId { job, index })
        })
    }

    /// Tasks on machines now.
    pub fn running(&self) -> Vec<TaskId> {
        self.on_machines().map(|(_, task)| task.task).collect()
    }

    /// Whether tasks are on a machine.
    pub fn busy(&self, id: &MachineId) -> bool {
        self.on_machines().any(|(machine, _)| machine == id)
    }

    /// The session that a machine's worker is in; 0 if it is gone.
    pub fn session(&self, id: &MachineId) -> u64 {
        self.workers.get(id).map_or(0, |worker| worker.session)
    }

    /// Jobs with tasks on a machine.
    pub fn jobs_on(&self, id: &MachineId) -> BTreeSet<JobId> {
        let here = self.on_machines().filter(|(machine, _)| *machine == id);
        here.map(|(_, task)| task.task.job).collect()
    }

    /// Tasks on machines; those of a worker whose lease is over are dead, hung or not.
    fn on_machines(&self) -> impl Iterator<Item = (&MachineId, &Task)> {
        let leased = |worker: &Worker| self.now <= worker.last_answered + LEASE_MS;
        self.workers.iter().flat_map(move |(id, worker)| {
            let tasks = worker.tasks.values().filter(move |_| leased(worker));
            tasks
                .filter(|t| matches!(t.state, TaskState::Running | TaskState::Saving))
                .map(move |t| (id, t))
        })
    }

    /// What is on machines, as the rules see it.
    fn seen(&self) -> Vec<Seen<'_>> {
        let seen = |(machine, task): (_, &Task)| {
            let worker: &Worker = &self.workers[machine];
            Seen {
                task: task.task,
                machine,
                zone: &worker.zone,
                spot: worker.spot,
            }
        };
        self.on_machines().map(seen).collect()
    }

    /// The reports kept back reach these controllers now.
    pub fn release_reports(&mut self, nodes: &[usize]) -> usize {
        let held = std::mem::take(&mut self.held_reports);
        for report in &held {
            for node in nodes {
                self.effect("held report");
                self.at(self.now, Happening::CopyArrives(*node, report.clone()));
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
        self.later(ms, move |cluster| set(cluster, &id, false));
    }

    /// Puts a task on a machine behind the controllers' backs.
    pub fn smuggle(&mut self, id: &MachineId, task: TaskId, attempt: u64) {
        let worker = self.workers.get_mut(id).expect("a worker");
        let attempt = Attempt(attempt);
        Self::execute(worker, &Command::Launch { task, attempt });
    }

    /// The transactions kept back are applied now, long after they were sent.
    pub fn release_txns(&mut self) -> Vec<StoreReply> {
        let held = std::mem::take(&mut self.held_txns);
        let now = self.now;
        let replies = held.iter().map(|op| self.store.apply(now, op)).collect();
        self.wake_watches();
        replies
    }

    /// The orders kept back are carried out now, long after they were sent.
    pub fn release_orders(&mut self) -> usize {
        let held = std::mem::take(&mut self.held_orders);
        for orders in &held {
            self.execute_orders(orders);
        }
        held.len()
    }

    fn request(&mut self) -> RequestId {
        self.requests += 1;
        RequestId(self.requests)
    }

    fn dispatch(&mut self, node: usize, life: u64, event: Event) {
        let now = self.now;
        let Some(state) = self.nodes[node].as_mut().filter(|n| n.life == life) else {
            return;
        };
        let frozen = self.frozen.get_mut(&node);
        if let Some(frozen) = frozen.filter(|frozen| frozen.decided.is_some()) {
            frozen.came.push((life, event));
            return;
        }
        let steady = Time(now - state.started);
        let at = Now {
            steady,
            wall_ms: WALL_MS + now,
        };
        let actions = state.controller.handle(at, event, &|| steady);
        if let Some(frozen) = self.frozen.get_mut(&node) {
            frozen.decided = Some((life, steady, actions));
            return;
        }
        for action in actions {
            self.perform(node, life, steady, action);
        }
    }

    fn perform(&mut self, node: usize, life: u64, steady: Time, action: Action) {
        let hop = self.now + self.hop_ms;
        match action {
            Action::Store(tag, op, deadline_ms) => {
                let what = Happening::Store(node, life, tag, op, steady, self.now + deadline_ms);
                self.at(hop, what);
            }
            Action::Cloud(request) => self.at(hop + 100, Happening::Cloud(node, life, request)),
            Action::Orders(orders) => self.at(hop, Happening::Orders(node, life, orders)),
            Action::Peer(to, request) => {
                let to: usize = to.0[1..].parse().expect("a number");
                let id = self.request();
                if let PeerRequest::Sync(_) = request {
                    let silence = Happening::PeerSilence(node, life, id.0);
                    self.at(self.now + SYNC_DEADLINE_MS, silence);
                }
                self.at(hop, Happening::PeerAsk(node, life, to, id, request));
            }
            Action::PeerReply(request, answer) => self.answer_peer(node, life, request, answer),
            Action::Reply(request, reply) => match self.waiting.remove(&(node, life, request)) {
                Some(Waiting::User(slot, question)) => self.user_hears(slot, &question, reply),
                Some(Waiting::Report(machine, session, seq, sent)) => {
                    let what = Happening::AnswerArrives(machine, session, seq, sent, reply);
                    self.at(hop, what);
                }
                _ => {}
            },
        }
    }

    fn node_in_cut_zone(&self, node: usize) -> bool {
        let cut = self.trouble.zone_cut.as_ref();
        cut.is_some_and(|(_, inside)| inside.contains(&node))
    }

    /// Whether packets pass between a machine and a controller.
    fn linked(&self, id: &MachineId, node: usize) -> bool {
        let Some((zone, inside)) = &self.trouble.zone_cut else {
            return true;
        };
        let in_zone = self.workers.get(id).is_some_and(|w| w.zone == *zone);
        in_zone == inside.contains(&node)
    }

    fn answer_peer(&mut self, node: usize, life: u64, request: RequestId, answer: PeerAnswer) {
        if let Some(Waiting::Peer(asker, asker_life, _)) =
            self.waiting.remove(&(node, life, request))
        {
            let event = Box::new(match answer {
                PeerAnswer::StoreHealth(well) => Event::PeerStore(well),
                PeerAnswer::KnownEpoch(known) => {
                    Event::PeerEpoch(format!("n{node}").as_str().into(), known)
                }
                answer => Event::PeerAnswer(Some(answer)),
            });
            let what = Happening::Dispatch(asker, asker_life, event);
            self.at(self.now + self.hop_ms, what);
        }
    }

    fn happen(&mut self, what: Happening) {
        match what {
            Happening::Tick(node, life) => {
                let alive = self.nodes[node].as_ref().is_some_and(|n| n.life == life);
                if alive {
                    self.dispatch(node, life, Event::Tick);
                    self.at(self.now + TICK_MS, Happening::Tick(node, life));
                }
            }
            Happening::Dispatch(node, life, event) => self.dispatch(node, life, *event),
            Happening::Store(node, life, tag, op, sent, until) => {
                self.store_request(node, life, tag, op, sent, until);
            }
            Happening::Cloud(node, life, request) => {
                let reply = self.cloud(&request);
                let event = Box::new(Event::Cloud(request, reply));
                self.at(
                    self.now + self.hop_ms,
                    Happening::Dispatch(node, life, event),
                );
            }
            Happening::PeerAsk(node, life, to, id, request) => {
                let cut = &self.trouble.cut_from_peers;
                let reached = !cut.contains(&node)
                    && !cut.contains(&to)
                    && self.node_in_cut_zone(node) == self.node_in_cut_zone(to);
                let to_life = self.nodes[to].as_ref().map(|n| n.life);
                let Some(to_life) = to_life.filter(|_| reached) else {
                    if let PeerRequest::Sync(_) = request {
                        let event = Box::new(Event::PeerAnswer(None));
                        let when = self.now + SYNC_DEADLINE_MS;
                        self.at(when, Happening::Dispatch(node, life, event));
                    }
                    return;
                };
                self.waiting
                    .insert((to, to_life, id), Waiting::Peer(node, life, id.0));
                self.dispatch(to, to_life, Event::Peer(id, request));
            }
            Happening::PeerSilence(node, life, id) => {
                let lost = self
                    .waiting
                    .iter()
                    .find(|(_, w)| matches!(w, Waiting::Peer(n, l, i) if (*n, *l, *i) == (node, life, id)))
                    .map(|(key, _)| *key);
                if let Some(key) = lost {
                    self.waiting.remove(&key);
                    self.dispatch(node, life, Event::PeerAnswer(None));
                }
            }
            Happening::Orders(node, life, orders) => {
                self.orders_sent.push(orders.machine.clone());
                let linked = self.linked(&orders.machine, node);
                let reply = if self.trouble.cut_from_workers.contains(&node) || !linked {
                    OrdersReply::Unknown
                } else if self.trouble.hold_orders {
                    self.held_orders.push(orders.clone());
                    OrdersReply::Unknown
                } else {
                    match self.execute_orders(&orders) {
                        Some(report) => OrdersReply::Answered(report),
                        None => OrdersReply::Unknown,
                    }
                };
                let event = Box::new(Event::Ordered(orders, reply));
                self.at(
                    self.now + self.hop_ms,
                    Happening::Dispatch(node, life, event),
                );
            }
            Happening::Worker(id) => self.worker_turn(&id),
            Happening::ReportArrives(node, id, report, sent) => {
                if self.trouble.hold_reports.contains(&id) {
                    self.held_reports.push(report);
                    return;
                }
                if self.trouble.mute.contains(&id) || !self.linked(&id, node) {
                    self.effect("unheard report");
                    return;
                }
                let reached = !self.trouble.cut_from_workers.contains(&node);
                let Some(life) = self.nodes[node]
                    .as_ref()
                    .map(|n| n.life)
                    .filter(|_| reached)
                else {
                    self.next_node(&id);
                    return;
                };
                let request = self.request();
                let waiting = Waiting::Report(id, report.session.0, report.seq, sent);
                self.waiting.insert((node, life, request), waiting);
                let body = serde_json::to_vec(&report).expect("JSON");
                self.dispatch(node, life, Event::Report(request, body));
            }
            Happening::CopyArrives(node, report) => {
                if let Some(life) = self.nodes[node].as_ref().map(|n| n.life) {
                    self.effect("copy");
                    let request = self.request();
                    let body = serde_json::to_vec(&report).expect("JSON");
                    self.dispatch(node, life, Event::Report(request, body));
                }
            }
            Happening::AnswerArrives(id, session, seq, sent, reply) => {
                self.answered(&id, session, seq, sent, &reply);
            }
            Happening::NoAnswer(id, session, seq) => {
                let waits = |w: &&Worker| w.reporting == Some(seq) && w.session == session;
                match self.workers.get(&id).filter(waits).map(|w| w.hung) {
                    // It notices when it goes on.
                    Some(true) => {
                        self.at(self.now + LOOK_MS, Happening::NoAnswer(id, session, seq));
                    }
                    Some(false) => self.next_node(&id),
                    None => {}
                }
            }
            Happening::LateTxn(txn) => {
                self.effect("late write");
                self.store.apply(self.now, &StoreOp::Txn(txn));
                self.wake_watches();
            }
            Happening::Look => self.look(),
            Happening::Scene(scene) => scene(self),
        }
    }

    /// What the cluster does from time to time by itself: it judges what is there, wakes watches, and delivers
    /// what was kept for a new leader.
    fn look(&mut self) {
        self.at(self.now + LOOK_MS, Happening::Look);
        self.after_outage();
        self.wake_watches();
        let epoch = self.epoch();
        if epoch != self.kept_in {
            self.kept_in = epoch;
            for report in std::mem::take(&mut self.kept_copies) {
                for node in 0..3 {
                    self.effect("copy for the next leader");
                    self.at(self.now, Happening::CopyArrives(node, report.clone()));
                }
            }
        }
        let mut rules = std::mem::take(&mut self.rules);
        if rules.any_cancelled() {
            rules.look(self.now, &self.seen());
        }
        if self.now.is_multiple_of(1_000) {
            let hopeless = &self.trouble.failing;
            let all_up = self.nodes.iter().all(Option::is_some) && self.frozen.is_empty();
            let quiet = self.trouble.none() && all_up;
            rules.look_for_waiting(self.now, quiet, &self.seen(), &self.free(), hopeless);
        }
        self.rules = rules;
    }

    /// Room on machines that nothing is the matter with.
    fn free(&self) -> Vec<Free<'_>> {
        let trouble = &self.trouble;
        let is_service = |spec: &JobSpec| spec.kind == JobKind::Service;
        let any_stands = self.rules.jobs.values().any(is_service);
        let well = |(id, worker): &(&MachineId, &Worker)| {
            let odd = [
                &trouble.deaf,
                &trouble.mute,
                &trouble.hold_reports,
                &trouble.faulty,
            ];
            self.now >= worker.up_at
                && !worker.hung
                && !odd.iter().any(|set| set.contains(id))
                // Ordinary machines may be kept for services.
                && (worker.spot || !any_stands)
        };
        let free = |(_, worker): (&MachineId, &Worker)| {
            let on = worker.tasks.values();
            let on = on.filter(|task| task.state != TaskState::Ended);
            let cpus = |task: &Task| self.rules.jobs.get(&task.task.job).map_or(1.0, |j| j.cpus);
            (MACHINE_CPUS - on.map(cpus).sum::<f64>()).max(0.0)
        };
        let well = self.workers.iter().filter(well);
        well.map(|(id, worker)| Free {
            zone: &worker.zone,
            spot: worker.spot,
            cpus: free((id, worker)),
        })
        .collect()
    }

    fn after_outage(&mut self) {
        if self.was_down && !self.trouble.state_down {
            self.store.renew_all(self.now);
        }
        self.was_down = self.trouble.state_down;
    }

    /// Ends the day, and fails the test if a rule was broken. Once troubles are over, questions about all
    /// accepted jobs are answered, by every controller.
    pub fn check(&mut self) {
        if self.trouble.none() && self.nodes.iter().all(Option::is_some) && self.frozen.is_empty() {
            self.ask_for_all();
        }
        assert!(self.rules.broken.is_empty(), "{:?}", self.rules.broken);
    }
}
