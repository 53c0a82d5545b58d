//! An in-memory cluster on virtual time: state service, cloud, workers, network and controllers.
//!
//! It checks the rules by itself, all the time: see [`rules`]. Troubles are fields of [`Troubles`] that
//! scenarios set and clear, and that go together in any way. Everything in it is deterministic; what is drawn
//! is drawn from the cluster's seed.

pub mod rules;

use std::collections::{BTreeMap, BTreeSet, BinaryHeap};

use serde_json::{json, Value};
use worksshunt_core::constants::{STORE_DEADLINE_MS, SYNC_DEADLINE_MS, TICK_MS};
use worksshunt_core::controller::{
    Action, CloudReply, Controller, Event, StoreOp, StoreReply, StoreTag,
};
use worksshunt_core::fleet::CloudRequest;
use worksshunt_core::machines::{DirectOrders, OrdersReply};
use worksshunt_core::placement::Parameters;
use worksshunt_core::time::{Now, Time};
use worksshunt_core::users::{Reply, RequestId};
use worksshunt_wire::cloud::{Catalog, ListedMachine, ListedState, MachineList, MachineNames};
use worksshunt_wire::peer::{PeerAnswer, PeerRequest};
use worksshunt_wire::settings::Settings;
use worksshunt_wire::state::{Change, Changes, Listing, Pair, Txn, WatchEvent};
use worksshunt_wire::user::{JobKind, JobSpec};
use worksshunt_wire::worker::{
    Command, ExitReason, Redirect, Report, ReportAnswer, ReportedTask, TaskState,
};
use worksshunt_wire::{Attempt, Epoch, JobId, MachineId, Revision, Session, TaskId};

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

#[derive(Debug, Clone, Default)]
struct Store {
    keys: BTreeMap<String, (Value, Revision, Option<u64>)>,
    revision: u64,
    log: Vec<(u64, WatchEvent)>,
    leases: BTreeMap<u64, u64>,
    last_lease: u64,
}

impl Store {
    fn expire(&mut self, now: u64) {
        let ended: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, until)| now > **until)
            .map(|(lease, _)| *lease)
            .collect();
        for lease in ended {
            self.leases.remove(&lease);
            let keys: Vec<String> = self
                .keys
                .iter()
                .filter(|(_, (_, _, h))| *h == Some(lease))
                .map(|(key, _)| key.clone())
                .collect();
            self.revision += 1;
            for key in keys {
                self.delete(&key);
            }
        }
    }

    /// After an outage every lease has its full time again.
    fn renew_all(&mut self, now: u64) {
        for until in self.leases.values_mut() {
            *until = now + worksshunt_core::constants::LEASE_TTL_MS;
        }
    }

    fn delete(&mut self, key: &str) {
        if self.keys.remove(key).is_some() {
            let event = WatchEvent::Delete {
                key: key.to_owned(),
                version: Revision(self.revision),
            };
            self.log.push((self.revision, event));
        }
    }

    fn version(&self, key: &str) -> Revision {
        self.keys.get(key).map_or(Revision(0), |(_, v, _)| *v)
    }

    fn transact(&mut self, txn: &Txn) -> StoreReply {
        let failed: Vec<String> = txn
            .conditions
            .iter()
            .filter(|c| self.version(&c.key) != c.version)
            .map(|c| c.key.clone())
            .collect();
        let orphan = txn.changes.iter().any(
            |c| matches!(c, Change::Put { lease: Some(h), .. } if !self.leases.contains_key(h)),
        );
        if orphan {
            return StoreReply::NoSuchLease;
        }
        if !failed.is_empty() {
            return StoreReply::Conflict(failed);
        }
        self.revision += 1;
        for change in &txn.changes {
            match change {
                Change::Put { key, value, lease } => {
                    let version = Revision(self.revision);
                    self.keys
                        .insert(key.clone(), (value.clone(), version, *lease));
                    let event = WatchEvent::Put {
                        key: key.clone(),
                        value: value.clone(),
                        version,
                    };
                    self.log.push((self.revision, event));
                }
                Change::Delete { key } => self.delete(key),
            }
        }
        StoreReply::Committed(Revision(self.revision))
    }

    fn changes(&self, prefix: &str, since: Revision) -> Changes {
        let key = |event: &WatchEvent| match event {
            WatchEvent::Put { key, .. } | WatchEvent::Delete { key, .. } => key.clone(),
        };
        Changes {
            revision: Revision(self.revision),
            events: self
                .log
                .iter()
                .filter(|(at, event)| *at > since.0 && key(event).starts_with(prefix))
                .map(|(_, event)| event.clone())
                .collect(),
        }
    }

    fn apply(&mut self, now: u64, op: &StoreOp) -> StoreReply {
        self.expire(now);
        match op {
            StoreOp::NewLease => {
                self.last_lease += 1;
                let ttl = worksshunt_core::constants::LEASE_TTL_MS;
                self.leases.insert(self.last_lease, now + ttl);
                StoreReply::Lease(self.last_lease)
            }
            StoreOp::Renew(lease) => match self.leases.get_mut(lease) {
                Some(until) => {
                    *until = now + worksshunt_core::constants::LEASE_TTL_MS;
                    StoreReply::Renewed
                }
                None => StoreReply::NoSuchLease,
            },
            StoreOp::Get(key) => match self.keys.get(key) {
                Some((value, version, _)) => StoreReply::Found(Pair {
                    key: key.clone(),
                    value: value.clone(),
                    version: *version,
                }),
                None => StoreReply::Missing,
            },
            StoreOp::List(prefix) => StoreReply::Listing(Listing {
                pairs: self
                    .keys
                    .iter()
                    .filter(|(key, _)| key.starts_with(prefix))
                    .map(|(key, (value, version, _))| Pair {
                        key: key.clone(),
                        value: value.clone(),
                        version: *version,
                    })
                    .collect(),
                more: false,
                revision: Revision(self.revision),
            }),
            StoreOp::Txn(txn) => self.transact(txn),
            StoreOp::Follow(prefix, since, _) => StoreReply::Changes(self.changes(prefix, *since)),
        }
    }
}

#[derive(Debug, Clone)]
struct Task {
    task: TaskId,
    state: TaskState,
    reason: Option<ExitReason>,
    ends_at: u64,
}

#[derive(Debug, Clone)]
pub struct Worker {
    pub zone: String,
    pub spot: bool,
    session: u64,
    seq: u64,
    token: Epoch,
    tasks: BTreeMap<Attempt, Task>,
    node: usize,
    last_answered: u64,
    /// Number of the report that waits for its answer.
    reporting: Option<u64>,
    next_report: u64,
    pub hung: bool,
    up_at: u64,
    rented_at: u64,
}

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

/// Transactions that get no answer and are carried out late, or at once.
#[derive(Debug, Clone, Copy)]
pub struct LateWrites {
    /// The share of all transactions.
    pub share: f64,
    /// When they are carried out, ms after they were sent: from, and to.
    pub after_ms: (u64, u64),
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

/// How the cluster departs from a quiet day.
#[derive(Default)]
pub struct Troubles {
    /// The state service is down for all.
    pub state_down: bool,
    /// Controllers whose requests never reach the state service.
    pub cut_from_state: BTreeSet<usize>,
    /// Controllers that no worker reaches, nor they any worker.
    pub cut_from_workers: BTreeSet<usize>,
    /// Controllers whose transactions are kept back until released.
    pub hold_txns: BTreeSet<usize>,
    /// Every second transaction takes so long to be carried out.
    pub slow_txns_ms: u64,
    /// Direct orders are kept back until released, and time out.
    pub hold_orders: bool,
    /// Jobs whose tasks fail on every machine.
    pub failing: BTreeSet<JobId>,
    /// Machines on which every task fails.
    pub faulty: BTreeSet<MachineId>,
    /// The cloud does not answer.
    pub cloud_down: bool,
    /// Controllers that no other controller reaches, nor they any.
    pub cut_from_peers: BTreeSet<usize>,
    /// Machines whose reports arrive while answers and orders do not reach them.
    pub deaf: BTreeSet<MachineId>,
    /// The cloud has no spot machines.
    pub no_spot: bool,
    /// Largest value the state service takes, bytes, and most changes in a transaction; none: any.
    pub state_limits: Option<(usize, usize)>,
    /// Services whose replicas end by themselves, as other tasks do.
    pub ending: BTreeSet<JobId>,
    /// Every report is delivered once more after each of these times, to every controller.
    pub copies_after_ms: Vec<u64>,
    /// Copies of all reports are kept, and reach every controller when the next leader begins.
    pub copies_for_next: bool,
    /// Controllers whose requests the state service refuses, while their watches wait.
    pub refused: BTreeSet<usize>,
    /// Transactions without an answer.
    pub late_writes: Option<LateWrites>,
    /// Every answer of the state service takes so much longer.
    pub state_slow_ms: u64,
    /// Controllers whose watches are never answered while everything else is.
    pub watchless: BTreeSet<usize>,
    /// Machines that reach no controller, while direct orders reach them.
    pub mute: BTreeSet<MachineId>,
    /// Machines whose reports are kept back until they are released.
    pub hold_reports: BTreeSet<MachineId>,
    /// A zone cut off, and the controllers inside.
    pub zone_cut: Option<(String, BTreeSet<usize>)>,
    /// Users ask all controllers within milliseconds after a job was accepted or is over, and repeat its
    /// submission.
    pub close_looks: bool,
    /// Share of the jobs that are cancelled at the moment their last task ends.
    pub cancel_at_end: f64,
}

impl Troubles {
    /// Whether there is none that would excuse a job that waits.
    fn none(&self) -> bool {
        let sets = [
            &self.cut_from_state,
            &self.cut_from_workers,
            &self.hold_txns,
            &self.cut_from_peers,
            &self.refused,
            &self.watchless,
        ];
        sets.iter().all(|set| set.is_empty())
            && !self.state_down
            && !self.hold_orders
            && !self.cloud_down
            && !self.no_spot
            && self.slow_txns_ms == 0
            && self.state_slow_ms == 0
            && self.late_writes.is_none()
            && self.zone_cut.is_none()
            && self.state_limits.is_none()
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

pub fn settings(name: usize) -> Settings {
    let peer = |n: usize| json!({"host_name": format!("n{n}"), "site": "a", "endpoint": format!("10.0.0.{n}:1")});
    let known: Vec<Value> = (0..3).filter(|n| *n != name).map(peer).collect();
    serde_json::from_value(json!({
        "host_name": format!("n{name}"), "site": "a",
        "client_listen": "10.0.0.9:1", "internal_addr": "10.0.0.9:2", "known": known,
        "services": {"cloud": "10.2.0.1:1", "state": "10.2.0.2:1"},
        "facts": {
            "teams": [
                {"name": "red", "cpus": 4.0, "cpus_max": 8.0, "gpus": 0.0, "gpus_max": 0.0},
                {"name": "blue", "cpus": 8.0, "cpus_max": 100.0, "gpus": 0.0, "gpus_max": 0.0},
                {"name": "white", "cpus": 0.0, "cpus_max": 0.0, "gpus": 0.0, "gpus_max": 0.0}
            ],
            "workers": {"report_s": 2.5, "lease_s": 16.0, "cancel_s": 30.0},
            "state": {"rps": 200.0, "write_rps": 40.0, "value_kb": 8.0, "txn_ops": 20},
            "cloud": {"rps": 5.0, "list_lag_s": 6.0},
            "limits": {"sockets": 1000}
        }
    }))
    .expect("settings")
}

fn catalog(ready_s: f64) -> Catalog {
    serde_json::from_value(json!({"Modelos": [
        {"Name": "m4", "Cores": 4, "Gpus": 0, "RamGb": 16, "Rate": 1.0, "LowPrice": 0.4,
         "ReadyS": ready_s, "PullGbPerS": 1.0, "Patios": ["a", "b"]}
    ]}))
    .expect("catalog")
}

fn too_large(txn: &Txn, bytes: usize, changes: usize) -> bool {
    let value = |change: &Change| match change {
        Change::Put { value, .. } => value.to_string().len(),
        Change::Delete { .. } => 0,
    };
    txn.changes.len() > changes
        || txn.conditions.len() > changes * 4
        || txn.changes.iter().any(|change| value(change) > bytes)
}

/// a service of team blue with replicas of one processor.
pub fn service(id: u64, replicas: u32) -> Value {
    let mut job = job(id, replicas);
    job["Oficio"] = json!("standing");
    job["Turno"] = json!("prod");
    job["Prestados"] = json!(false);
    job["CalculoS"] = json!(0.0);
    job
}

/// A job of team blue with tasks of one processor.
pub fn job(id: u64, tasks: u32) -> Value {
    json!({"Ref": JobId(id), "Carril": "c", "Cuadrilla": "blue", "Oficio": "array",
        "Turno": "normal", "Piezas": tasks, "Cores": 1.0, "Gpus": 0.0, "RamGb": 1.0,
        "Molde": "img", "SizeGb": 1.0, "Modelos": null, "Patio": null, "SamePlace": false,
        "Spread": false, "Prestados": true, "CalculoS": 10.0, "RespaldoS": 0.0, "GuardadoS": 0.0,
        "EntregaS": null})
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

    /// Sends a user's request. Its answer will be in the slot returned; one sent to a controller that is
    /// down gets none.
    pub fn send(&mut self, node: usize, event: impl FnOnce(RequestId) -> Event) -> usize {
        let slot = self.user_replies.len();
        self.user_replies.push(None);
        let request = self.request();
        let event = event(request);
        if let Event::Submit(_, body) = &event {
            let text = serde_json::from_slice::<Value>(body).unwrap_or_default();
            let id = text["Ref"].as_str().and_then(|id| id.parse().ok());
            if let Some(id) = id {
                self.bodies.entry(id).or_insert(body.clone());
            }
        }
        let question = self.rules.asked(&event);
        let Some(life) = self.nodes[node].as_ref().map(|n| n.life) else {
            return slot;
        };
        let user = Waiting::User(slot, question);
        self.waiting.insert((node, life, request), user);
        self.dispatch(node, life, event);
        slot
    }

    /// The answer in a slot, if there is one yet.
    pub fn reply(&self, slot: usize) -> Option<&Reply> {
        self.user_replies[slot].as_ref()
    }

    /// Sends a user's request and waits for its answer.
    pub fn ask(&mut self, node: usize, event: impl FnOnce(RequestId) -> Event) -> Reply {
        assert!(self.nodes[node].is_some(), "node {node} is down");
        let slot = self.send(node, event);
        self.until("an answer", 3_000, |w| w.user_replies[slot].is_some());
        self.user_replies[slot].clone().expect("an answer")
    }

    /// Asks for a job's state without waiting.
    pub fn send_status(&mut self, node: usize, id: JobId) -> usize {
        let text = id.to_string();
        self.send(node, |request| Event::Status(request, text))
    }

    /// Cancels a job without waiting.
    pub fn send_withdraw(&mut self, node: usize, id: JobId) -> usize {
        let text = id.to_string();
        self.send(node, |request| Event::Withdraw(request, text))
    }

    /// Submits a job without waiting.
    pub fn send_submit(&mut self, node: usize, job: &Value) -> usize {
        let body = job.to_string().into_bytes();
        self.send(node, |request| Event::Submit(request, body))
    }

    /// Submits a job.
    pub fn submit(&mut self, node: usize, job: &Value) -> Reply {
        let body = job.to_string().into_bytes();
        self.ask(node, |request| Event::Submit(request, body))
    }

    /// Submits all these jobs to each of these controllers at one moment.
    pub fn submit_at_once(&mut self, nodes: &[usize], jobs: &[Value]) -> Vec<Reply> {
        let first = self.user_replies.len();
        for job in jobs {
            for node in nodes {
                self.send_submit(*node, job);
            }
        }
        self.until("answers", 5_000, |w| {
            w.user_replies[first..].iter().all(Option::is_some)
        });
        self.user_replies[first..]
            .iter()
            .flatten()
            .cloned()
            .collect()
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

    /// Asks a controller about jobs at one moment and counts those it answers with 200 at once or
    /// soon after.
    pub fn answered_questions(&mut self, node: usize, ids: &[u64]) -> BTreeSet<u64> {
        let first = self.user_replies.len();
        for id in ids {
            self.send_status(node, JobId(*id));
        }
        self.run(2_000);
        let replies = self.user_replies[first..].iter().zip(ids);
        let answered = |reply: &Option<Reply>| reply.as_ref().is_some_and(|r| r.status == 200);
        replies
            .filter(|(reply, _)| answered(reply))
            .map(|(_, id)| *id)
            .collect()
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

    /// A job's state as a controller tells it.
    pub fn state(&mut self, node: usize, id: u64) -> (u16, String) {
        let text = JobId(id).to_string();
        let reply = self.ask(node, |request| Event::Status(request, text));
        let body: Value = serde_json::from_str(&reply.body).expect("JSON");
        let state = body["Estado"].as_str().unwrap_or_default().to_owned();
        (reply.status, state)
    }

    /// Whether a controller calls itself healthy.
    pub fn healthy(&mut self, node: usize) -> bool {
        self.ask(node, Event::Health).status == 200
    }

    /// Cancels a job.
    pub fn withdraw(&mut self, node: usize, id: u64) -> Reply {
        let text = JobId(id).to_string();
        self.ask(node, |request| Event::Withdraw(request, text))
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

    fn user_hears(&mut self, slot: usize, question: &Question, reply: Reply) {
        let new = self.rules.answered(self.now, question, &reply);
        self.user_replies[slot] = Some(reply);
        if let (true, true, Some(id)) = (new, self.trouble.close_looks, question.id) {
            for ms in [0, 1, 4, 9, 25, 70, 300] {
                self.later(ms, move |cluster| cluster.look_closely(id));
            }
        }
    }

    /// Users ask all controllers about a job, and repeat its submission.
    fn look_closely(&mut self, id: JobId) {
        for node in 0..3 {
            self.effect("close look");
            self.send_status(node, id);
            if let Some(body) = self.bodies.get(&id).cloned() {
                self.send(node, |request| Event::Submit(request, body));
            }
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

    // --- state service ---------------------------------------------------------------------------

    fn store_request(
        &mut self,
        node: usize,
        life: u64,
        tag: StoreTag,
        op: StoreOp,
        sent: Time,
        until: u64,
    ) {
        self.after_outage();
        let slow_ms = self.trouble.slow_txns_ms;
        if slow_ms > 0 && matches!(op, StoreOp::Txn(_)) && self.now + slow_ms < until {
            self.txns += 1;
            if self.txns.is_multiple_of(2) {
                let late = Happening::Store(node, life, tag, op, sent, until);
                self.at(self.now + slow_ms, late);
                return;
            }
        }
        if self.trouble.hold_txns.contains(&node) && matches!(op, StoreOp::Txn(_)) {
            self.held_txns.push(op);
            let event = Box::new(Event::Store(tag, sent, StoreReply::Unknown));
            let when = self.now + STORE_DEADLINE_MS;
            self.at(when, Happening::Dispatch(node, life, event));
            return;
        }
        if self.trouble.cut_from_state.contains(&node) || self.node_in_cut_zone(node) {
            let event = Box::new(Event::Store(tag, sent, StoreReply::Unknown));
            self.at(until, Happening::Dispatch(node, life, event));
            return;
        }
        let refused = self.trouble.refused.contains(&node);
        if refused {
            self.effect("refused");
        }
        let late = self.trouble.late_writes.filter(|_| !refused);
        if let (StoreOp::Txn(txn), Some(late), false) = (&op, late, self.trouble.state_down) {
            if self.rng.f64() < late.share {
                let after_ms = self.rng.u64(late.after_ms.0..=late.after_ms.1);
                self.at(self.now + after_ms, Happening::LateTxn(txn.clone()));
                let event = Box::new(Event::Store(tag, sent, StoreReply::Unknown));
                self.at(until, Happening::Dispatch(node, life, event));
                return;
            }
        }
        let reply = if self.trouble.state_down || refused {
            StoreReply::Refused
        } else {
            if let StoreOp::Follow(prefix, since, wait_ms) = &op {
                if *wait_ms > 0 {
                    self.watches.push(Watch {
                        node,
                        life,
                        tag,
                        prefix: prefix.clone(),
                        since: *since,
                        sent,
                        ends: self.now + wait_ms,
                        until,
                    });
                    self.wake_watches();
                    return;
                }
            }
            match (&op, self.trouble.state_limits) {
                (StoreOp::Txn(txn), Some((bytes, changes))) if too_large(txn, bytes, changes) => {
                    self.too_large += 1;
                    StoreReply::TooLarge
                }
                _ => self.store.apply(self.now, &op),
            }
        };
        // What is answered after its sender has given up on it is as good as not answered.
        let when = self.now + self.hop_ms + self.trouble.state_slow_ms;
        let reply = if when > until {
            StoreReply::Unknown
        } else {
            reply
        };
        let event = Box::new(Event::Store(tag, sent, reply));
        self.at(when.min(until), Happening::Dispatch(node, life, event));
        self.wake_watches();
    }

    fn wake_watches(&mut self) {
        let watches = std::mem::take(&mut self.watches);
        for watch in watches {
            let node = watch.node;
            let waits = self.trouble.state_down
                || self.trouble.refused.contains(&node)
                || self.trouble.cut_from_state.contains(&node)
                || self.trouble.watchless.contains(&node)
                || self.node_in_cut_zone(node);
            let changes = self.store.changes(&watch.prefix, watch.since);
            let answer = !waits && (!changes.events.is_empty() || self.now >= watch.ends);
            let reply = match answer {
                true => StoreReply::Changes(changes),
                false if self.now >= watch.until => {
                    self.effect("unanswered watch");
                    StoreReply::Unknown
                }
                false => {
                    self.watches.push(watch);
                    continue;
                }
            };
            let event = Box::new(Event::Store(watch.tag, watch.sent, reply));
            let when = self.now + self.hop_ms + self.trouble.state_slow_ms;
            self.at(when, Happening::Dispatch(node, watch.life, event));
        }
    }

    // --- cloud -----------------------------------------------------------------------------------

    fn cloud(&mut self, request: &CloudRequest) -> CloudReply {
        if self.trouble.cloud_down {
            return CloudReply::Failed;
        }
        match request {
            CloudRequest::Catalog => CloudReply::Catalog(catalog(self.ready_s)),
            CloudRequest::List => CloudReply::List(vec![MachineList {
                machines: self
                    .workers
                    .iter()
                    .filter(|(_, worker)| self.now >= worker.rented_at + self.list_lag_ms)
                    .map(|(id, worker)| ListedMachine {
                        id: id.clone(),
                        machine_type: "m4".into(),
                        zone: worker.zone.clone(),
                        spot: worker.spot,
                        state: if self.now >= worker.up_at {
                            ListedState::Running
                        } else {
                            ListedState::Starting
                        },
                        age_s: (self.now - worker.rented_at) as f64 / 1_000.0,
                    })
                    .collect(),
                more: false,
            }]),
            CloudRequest::Rent(rent) => {
                if let Some(names) = self.rentals.get(&rent.request) {
                    return CloudReply::Machines(names.clone());
                }
                if rent.spot && self.trouble.no_spot {
                    return CloudReply::NoCapacity;
                }
                let free = self.capacity.saturating_sub(self.workers.len());
                let count = free.min(rent.count as usize);
                if count == 0 {
                    return CloudReply::NoCapacity;
                }
                let machines = (0..count)
                    .map(|_| self.machine(&rent.zone, rent.spot, self.boot_ms))
                    .collect();
                let names = MachineNames { machines };
                self.rentals.insert(rent.request.clone(), names.clone());
                CloudReply::Machines(names)
            }
            CloudRequest::Return(names) => {
                for id in &names.machines {
                    if self.workers.remove(id).is_some() {
                        self.returned.push(id.clone());
                    }
                }
                CloudReply::Machines(names.clone())
            }
        }
    }

    /// Makes a machine that is up after so long.
    pub fn machine(&mut self, zone: &str, spot: bool, boot_ms: u64) -> MachineId {
        let id = MachineId(format!("i-{:06}", self.machines_made));
        self.machines_made += 1;
        let up_at = self.now + boot_ms;
        self.workers.insert(
            id.clone(),
            Worker {
                zone: zone.to_owned(),
                spot,
                session: 1,
                seq: 0,
                token: Epoch(0),
                tasks: BTreeMap::new(),
                node: 0,
                last_answered: up_at,
                reporting: None,
                next_report: up_at,
                hung: false,
                up_at,
                rented_at: self.now,
            },
        );
        self.at(up_at, Happening::Worker(id.clone()));
        id
    }

    // --- workers ---------------------------------------------------------------------------------

    fn worker_turn(&mut self, id: &MachineId) {
        let now = self.now;
        self.at(now + 250, Happening::Worker(id.clone()));
        let Some(worker) = self.workers.get_mut(id).filter(|w| !w.hung) else {
            return;
        };
        if now > worker.last_answered + LEASE_MS {
            worker.tasks.clear();
            worker.session += 1;
            worker.seq = 0;
            worker.last_answered = now;
            worker.reporting = None;
        }
        let mut changed = false;
        let mut started = Vec::new();
        let mut completed = Vec::new();
        for task in worker.tasks.values_mut() {
            if task.state == TaskState::Fetching {
                task.state = TaskState::Running;
                let longer = u64::from(task.task.index % 8) * self.run_spread_ms;
                task.ends_at = now + self.run_ms + longer;
                started.push(task.task);
                changed = true;
            } else if task.state == TaskState::Running && now >= task.ends_at {
                let job = self.rules.jobs.get(&task.task.job);
                let is_service = job.is_some_and(|job| job.kind == JobKind::Service);
                if is_service
                    && !self.trouble.ending.contains(&task.task.job)
                    && !self.trouble.faulty.contains(id)
                {
                    continue;
                }
                let fails = self.trouble.failing.contains(&task.task.job)
                    || self.trouble.faulty.contains(id);
                task.state = TaskState::Ended;
                task.reason = Some(if fails {
                    ExitReason::Error
                } else {
                    ExitReason::Done
                });
                if !fails {
                    completed.push(task.task);
                }
                changed = true;
            }
        }
        if changed {
            worker.next_report = worker.next_report.min(now);
        }
        if worker.reporting.is_none() && now >= worker.next_report {
            worker.next_report = now + REPORT_MS;
            let node = worker.node;
            let report = Self::report(id, worker);
            worker.reporting = Some(report.seq);
            let (session, seq) = (worker.session, report.seq);
            let gives_up = Happening::NoAnswer(id.clone(), session, seq);
            self.at(now + REPORT_DEADLINE_MS, gives_up);
            if self.trouble.copies_for_next {
                self.kept_copies.push(report.clone());
            }
            for after in self.trouble.copies_after_ms.clone() {
                for node in 0..3 {
                    let copy = Happening::CopyArrives(node, report.clone());
                    self.at(now + after, copy);
                }
            }
            let what = Happening::ReportArrives(node, id.clone(), report, now);
            self.at(now + self.hop_ms, what);
        }
        if !started.is_empty() {
            let mut rules = std::mem::take(&mut self.rules);
            let seen = self.seen();
            for task in &started {
                rules.started(now, *task, id, &seen);
            }
            self.rules = rules;
        }
        let started = started.into_iter().map(|task| (now, task, id.clone()));
        self.starts.extend(started);
        for task in completed {
            self.rules.completed(task);
            if self.rules.all_done(task.job) && self.rng.f64() < self.trouble.cancel_at_end {
                self.effect("cancel at end");
                let node = self.rng.usize(0..3);
                // The answer to the report that brings the end takes a few ms to become known.
                let ms = self.rng.u64(0..30);
                self.later(ms, move |cluster| {
                    cluster.send_withdraw(node, task.job);
                });
            }
        }
    }

    fn report(id: &MachineId, worker: &mut Worker) -> Report {
        worker.seq += 1;
        Report {
            machine: id.clone(),
            addr: "10.1.0.1:9000".into(),
            machine_type: "m4".into(),
            zone: worker.zone.clone(),
            spot: worker.spot,
            session: Session(worker.session),
            seq: worker.seq,
            token: worker.token,
            notice_s: None,
            tasks: worker
                .tasks
                .iter()
                .map(|(attempt, task)| ReportedTask {
                    task: task.task,
                    attempt: *attempt,
                    state: task.state,
                    reason: task.reason,
                    saved: None,
                })
                .collect(),
        }
    }

    fn next_node(&mut self, id: &MachineId) {
        let now = self.now;
        if let Some(worker) = self.workers.get_mut(id) {
            worker.node = (worker.node + 1) % 3;
            worker.reporting = None;
            worker.next_report = now + 1_000;
        }
    }

    fn answered(&mut self, id: &MachineId, session: u64, seq: u64, sent: u64, reply: &Reply) {
        if let Ok(answer) = serde_json::from_str::<ReportAnswer>(&reply.body) {
            self.note_launches(id, &answer.commands);
        }
        let now = self.now;
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        if worker.session != session || worker.seq < seq || worker.hung {
            return;
        }
        if self.trouble.deaf.contains(id) {
            // The answer is lost; the worker gives up on it after a while.
            worker.reporting = None;
            self.effect("lost answer");
            return;
        }
        worker.reporting = None;
        match reply.status {
            200 => {
                let answer: ReportAnswer = serde_json::from_str(&reply.body).expect("JSON");
                if answer.token < worker.token {
                    return;
                }
                if answer.token > worker.token {
                    worker.token = answer.token;
                    worker.next_report = now + 500;
                }
                worker.last_answered = worker.last_answered.max(sent);
                for command in &answer.commands {
                    Self::execute(worker, command);
                }
            }
            421 => {
                let to: Redirect = serde_json::from_str(&reply.body).expect("JSON");
                let name = to.report_to.expect("a node").0;
                worker.node = name[1..].parse().expect("a number");
                worker.next_report = now;
            }
            _ => self.next_node(id),
        }
    }

    /// Checks that no attempt's number is used for another task or on another machine.
    fn note_launches(&mut self, id: &MachineId, commands: &[Command]) {
        for command in commands {
            let Command::Launch { task, attempt } = command else {
                continue;
            };
            let launch = (*task, id.clone());
            let first = self.launched.entry(*attempt).or_insert(launch.clone());
            if *first != launch {
                let text = format!("attempt {attempt} of {first:?} used again for {launch:?}");
                self.rules.broke("attempts", &text);
            }
        }
    }

    fn execute_orders(&mut self, orders: &DirectOrders) -> Option<Report> {
        self.note_launches(&orders.machine, &orders.orders.commands);
        if self.trouble.deaf.contains(&orders.machine) {
            return None;
        }
        let worker = self.workers.get_mut(&orders.machine)?;
        if worker.hung {
            return None;
        }
        let (token, session) = (orders.orders.token, orders.orders.session.0);
        if token >= worker.token && session == worker.session {
            worker.token = token;
            for command in &orders.orders.commands {
                Self::execute(worker, command);
            }
        }
        Some(Self::report(&orders.machine, worker))
    }

    fn execute(worker: &mut Worker, command: &Command) {
        match command {
            Command::Launch { task, attempt } => {
                let full = worker
                    .tasks
                    .values()
                    .filter(|t| t.state != TaskState::Ended)
                    .count()
                    >= 4;
                worker.tasks.entry(*attempt).or_insert(Task {
                    task: *task,
                    state: if full {
                        TaskState::Ended
                    } else {
                        TaskState::Fetching
                    },
                    reason: full.then_some(ExitReason::NoRoom),
                    ends_at: 0,
                });
            }
            Command::Halt { attempt, .. } => {
                if let Some(task) = worker.tasks.get_mut(attempt) {
                    if task.state != TaskState::Ended {
                        task.state = TaskState::Ended;
                        task.reason = Some(ExitReason::Stopped);
                    }
                }
            }
            Command::Reap { attempt, .. } => {
                if worker
                    .tasks
                    .get(attempt)
                    .is_some_and(|t| t.state == TaskState::Ended)
                {
                    worker.tasks.remove(attempt);
                }
            }
        }
    }

    // --- rules -----------------------------------------------------------------------------------

    /// Ends the day, and fails the test if a rule was broken. Once troubles are over, questions about all
    /// accepted jobs are answered, by every controller.
    pub fn check(&mut self) {
        if self.trouble.none() && self.nodes.iter().all(Option::is_some) && self.frozen.is_empty() {
            self.ask_for_all();
        }
        assert!(self.rules.broken.is_empty(), "{:?}", self.rules.broken);
    }

    fn ask_for_all(&mut self) {
        let begun = self.now;
        let mut left: BTreeSet<(JobId, usize)> = BTreeSet::new();
        for id in self.rules.accepted() {
            left.extend((0..3).map(|node| (id, node)));
        }
        while !left.is_empty() {
            if self.now >= begun + SILENT_MOST_MS {
                self.rules
                    .broke("forgotten", &format!("no answer: {left:?}"));
                return;
            }
            let sent: Vec<(JobId, usize, usize)> = left
                .iter()
                .map(|(id, node)| (*id, *node))
                .collect::<Vec<_>>()
                .into_iter()
                .map(|(id, node)| (id, node, self.send_status(node, id)))
                .collect();
            self.run(2_000);
            for (id, node, slot) in sent {
                if self.reply(slot).is_some_and(|reply| reply.status == 200) {
                    left.remove(&(id, node));
                }
            }
            if !left.is_empty() {
                self.run(3_000);
            }
        }
    }
}
