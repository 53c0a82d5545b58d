//! An in-memory world on virtual time: state service, cloud, workers, network and controllers.
//!
//! It checks the rules by itself: every start of a task is compared with what runs elsewhere, with
//! the teams' limits and with what the job allows. Everything in it is deterministic.

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

/// One way over the network, ms.
const HOP_MS: u64 = 3;
/// Workers' lease, ms; as in the settings below.
const LEASE_MS: u64 = 16_000;
/// Interval of reports, ms.
const REPORT_MS: u64 = 2_500;
/// 1 January 2026 in ms.
const WALL_MS: u64 = 1_767_225_600_000;

#[derive(Debug, Clone, Default)]
struct Store {
    keys: BTreeMap<String, (Value, Revision, Option<u64>)>,
    revision: u64,
    log: Vec<(u64, WatchEvent)>,
    holds: BTreeMap<u64, u64>,
    last_hold: u64,
}

impl Store {
    fn expire(&mut self, now: u64) {
        let ended: Vec<u64> = self
            .holds
            .iter()
            .filter(|(_, until)| now > **until)
            .map(|(hold, _)| *hold)
            .collect();
        for hold in ended {
            self.holds.remove(&hold);
            let keys: Vec<String> = self
                .keys
                .iter()
                .filter(|(_, (_, _, h))| *h == Some(hold))
                .map(|(key, _)| key.clone())
                .collect();
            self.revision += 1;
            for key in keys {
                self.delete(&key);
            }
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
        let orphan = txn
            .changes
            .iter()
            .any(|c| matches!(c, Change::Put { hold: Some(h), .. } if !self.holds.contains_key(h)));
        if orphan {
            return StoreReply::NoSuchHold;
        }
        if !failed.is_empty() {
            return StoreReply::Conflict(failed);
        }
        self.revision += 1;
        for change in &txn.changes {
            match change {
                Change::Put { key, value, hold } => {
                    let version = Revision(self.revision);
                    self.keys
                        .insert(key.clone(), (value.clone(), version, *hold));
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
            StoreOp::NewHold => {
                self.last_hold += 1;
                let ttl = worksshunt_core::constants::HOLD_TTL_MS;
                self.holds.insert(self.last_hold, now + ttl);
                StoreReply::Hold(self.last_hold)
            }
            StoreOp::Renew(hold) => match self.holds.get_mut(hold) {
                Some(until) => {
                    *until = now + worksshunt_core::constants::HOLD_TTL_MS;
                    StoreReply::Renewed
                }
                None => StoreReply::NoSuchHold,
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
    reporting: bool,
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
}

enum Waiting {
    User(usize),
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

/// How the world departs from a quiet day.
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
    /// Standing jobs whose replicas end by themselves, as other tasks do.
    pub ending: BTreeSet<JobId>,
    /// Every report is delivered once more after each of these times, to every controller.
    pub copies_after_ms: Vec<u64>,
}

pub struct World {
    pub now: u64,
    pub settings: Vec<Settings>,
    nodes: Vec<Option<Node>>,
    lives: u64,
    queue: BinaryHeap<Entry>,
    order: u64,
    store: Store,
    watches: Vec<(usize, u64, StoreTag, String, Revision, Time, u64)>,
    pub workers: BTreeMap<MachineId, Worker>,
    pub jobs: BTreeMap<JobId, JobSpec>,
    pub capacity: usize,
    pub run_ms: u64,
    /// How much longer each task runs than the one before it, in groups of eight.
    pub run_spread_ms: u64,
    /// The boot time in the catalogue, seconds. Machines take five.
    pub ready_s: f64,
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
    /// Transactions that the state service found too large.
    pub too_large: usize,
    /// Rules that were broken.
    pub broken: Vec<String>,
    /// Every start of a task: when, which, where.
    pub starts: Vec<(u64, TaskId, MachineId)>,
    completed: BTreeSet<TaskId>,
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
                {"name": "blue", "cpus": 8.0, "cpus_max": 100.0, "gpus": 0.0, "gpus_max": 0.0}
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

/// A standing job of team blue with replicas of one processor.
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

impl World {
    /// Three controllers and nothing else yet.
    pub fn new() -> World {
        let mut world = World {
            now: 0,
            settings: (0..3).map(settings).collect(),
            nodes: (0..3).map(|_| None).collect(),
            lives: 0,
            queue: BinaryHeap::new(),
            order: 0,
            store: Store::default(),
            watches: Vec::new(),
            workers: BTreeMap::new(),
            jobs: BTreeMap::new(),
            capacity: 10,
            run_ms: 8_000,
            run_spread_ms: 0,
            ready_s: 5.0,
            list_lag_ms: 0,
            requests: 0,
            waiting: BTreeMap::new(),
            user_replies: Vec::new(),
            trouble: Troubles::default(),
            held_txns: Vec::new(),
            txns: 0,
            held_orders: Vec::new(),
            too_large: 0,
            broken: Vec::new(),
            starts: Vec::new(),
            completed: BTreeSet::new(),
            returned: Vec::new(),
            rentals: BTreeMap::new(),
            launched: BTreeMap::new(),
            orders_sent: Vec::new(),
            machines_made: 0,
        };
        for node in 0..3 {
            world.start(node);
        }
        world
    }

    fn at(&mut self, when: u64, what: Happening) {
        self.order += 1;
        self.queue.push(Entry(when, self.order, what));
    }

    /// Starts a controller, ending its former life if there is one.
    pub fn start(&mut self, node: usize) {
        self.lives += 1;
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
    pub fn until(&mut self, what: &str, most_ms: u64, holds: impl Fn(&World) -> bool) {
        let end = self.now + most_ms;
        while !holds(self) {
            assert!(self.now < end, "not in time: {what}");
            self.run(100);
        }
    }

    /// Sends a user's request and waits for its answer.
    pub fn ask(&mut self, node: usize, event: impl FnOnce(RequestId) -> Event) -> Reply {
        let slot = self.user_replies.len();
        self.user_replies.push(None);
        let request = self.request();
        let Some(life) = self.nodes[node].as_ref().map(|n| n.life) else {
            panic!("node {node} is down");
        };
        self.waiting
            .insert((node, life, request), Waiting::User(slot));
        self.dispatch(node, life, event(request));
        self.until("an answer", 3_000, |w| w.user_replies[slot].is_some());
        self.user_replies[slot].clone().expect("an answer")
    }

    /// Submits a job; remembers it for the rules if it was accepted.
    pub fn submit(&mut self, node: usize, job: &Value) -> Reply {
        let body = job.to_string().into_bytes();
        // It may start before its user has the answer.
        let spec = serde_json::from_value::<JobSpec>(job.clone()).ok();
        let before = spec.map(|spec| (spec.id, self.jobs.insert(spec.id, spec)));
        let reply = self.ask(node, |request| Event::Submit(request, body));
        if let (Some((id, before)), false) = (before, matches!(reply.status, 200 | 201)) {
            self.jobs.remove(&id);
            self.jobs.extend(before.map(|spec| (id, spec)));
        }
        reply
    }

    /// Submits all these jobs to each of these controllers at one moment.
    pub fn submit_at_once(&mut self, nodes: &[usize], jobs: &[Value]) -> Vec<Reply> {
        let first = self.user_replies.len();
        for job in jobs {
            for node in nodes {
                let slot = self.user_replies.len();
                self.user_replies.push(None);
                let request = self.request();
                let life = self.nodes[*node].as_ref().expect("a controller").life;
                let user = Waiting::User(slot);
                self.waiting.insert((*node, life, request), user);
                let body = job.to_string().into_bytes();
                self.dispatch(*node, life, Event::Submit(request, body));
            }
            let spec: JobSpec = serde_json::from_value(job.clone()).expect("a job");
            self.jobs.insert(spec.id, spec);
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
            hold: None,
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
            let slot = self.user_replies.len();
            self.user_replies.push(None);
            let request = self.request();
            let life = self.nodes[node].as_ref().expect("a controller").life;
            self.waiting
                .insert((node, life, request), Waiting::User(slot));
            let text = JobId(*id).to_string();
            self.dispatch(node, life, Event::Status(request, text));
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
            self.completed.contains(&TaskId {
                job: JobId(id),
                index,
            })
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
        let steady = Time(now - state.started);
        let at = Now {
            steady,
            wall_ms: WALL_MS + now,
        };
        let actions = state.controller.handle(at, event, &|| steady);
        for action in actions {
            self.perform(node, life, steady, action);
        }
    }

    fn perform(&mut self, node: usize, life: u64, steady: Time, action: Action) {
        let hop = self.now + HOP_MS;
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
                Some(Waiting::User(slot)) => self.user_replies[slot] = Some(reply),
                Some(Waiting::Report(machine, session, seq, sent)) => {
                    let what = Happening::AnswerArrives(machine, session, seq, sent, reply);
                    self.at(hop, what);
                }
                _ => {}
            },
        }
    }

    fn answer_peer(&mut self, node: usize, life: u64, request: RequestId, answer: PeerAnswer) {
        if let Some(Waiting::Peer(asker, asker_life, _)) =
            self.waiting.remove(&(node, life, request))
        {
            let event = Box::new(match answer {
                PeerAnswer::StoreHealth(well) => Event::PeerStore(well),
                answer => Event::PeerAnswer(Some(answer)),
            });
            let what = Happening::Dispatch(asker, asker_life, event);
            self.at(self.now + HOP_MS, what);
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
                self.at(self.now + HOP_MS, Happening::Dispatch(node, life, event));
            }
            Happening::PeerAsk(node, life, to, id, request) => {
                let cut = &self.trouble.cut_from_peers;
                let reached = !cut.contains(&node) && !cut.contains(&to);
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
                let reply = if self.trouble.cut_from_workers.contains(&node) {
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
                self.at(self.now + HOP_MS, Happening::Dispatch(node, life, event));
            }
            Happening::Worker(id) => self.worker_turn(&id),
            Happening::ReportArrives(node, id, report, sent) => {
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
                    let request = self.request();
                    let body = serde_json::to_vec(&report).expect("JSON");
                    self.dispatch(node, life, Event::Report(request, body));
                }
            }
            Happening::AnswerArrives(id, session, seq, sent, reply) => {
                self.answered(&id, session, seq, sent, &reply);
            }
        }
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
        if self.trouble.cut_from_state.contains(&node) {
            let event = Box::new(Event::Store(tag, sent, StoreReply::Unknown));
            self.at(until, Happening::Dispatch(node, life, event));
            return;
        }
        let reply = if self.trouble.state_down {
            StoreReply::Refused
        } else {
            if let StoreOp::Follow(prefix, since, wait_ms) = &op {
                let nothing = self.store.changes(prefix, *since).events.is_empty();
                if *wait_ms > 0 && nothing {
                    let ends = self.now + wait_ms;
                    self.watches
                        .push((node, life, tag, prefix.clone(), *since, sent, ends));
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
        let event = Box::new(Event::Store(tag, sent, reply));
        self.at(self.now + HOP_MS, Happening::Dispatch(node, life, event));
        self.wake_watches();
    }

    fn wake_watches(&mut self) {
        let watches = std::mem::take(&mut self.watches);
        for (node, life, tag, prefix, since, sent, ends) in watches {
            let changes = self.store.changes(&prefix, since);
            if changes.events.is_empty() && self.now < ends {
                self.watches
                    .push((node, life, tag, prefix, since, sent, ends));
                continue;
            }
            let event = Box::new(Event::Store(tag, sent, StoreReply::Changes(changes)));
            self.at(self.now + HOP_MS, Happening::Dispatch(node, life, event));
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
                    .map(|_| self.machine(&rent.zone, rent.spot, 5_000))
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
                reporting: false,
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
            worker.reporting = false;
        }
        let mut changed = false;
        let mut started = Vec::new();
        for task in worker.tasks.values_mut() {
            if task.state == TaskState::Fetching {
                task.state = TaskState::Running;
                let longer = u64::from(task.task.index % 8) * self.run_spread_ms;
                task.ends_at = now + self.run_ms + longer;
                started.push(task.task);
                changed = true;
            } else if task.state == TaskState::Running && now >= task.ends_at {
                let job = self.jobs.get(&task.task.job);
                let stands = job.is_some_and(|job| job.kind == JobKind::Standing);
                if stands
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
                    self.completed.insert(task.task);
                }
                changed = true;
            }
        }
        if changed {
            worker.next_report = worker.next_report.min(now);
        }
        if !worker.reporting && now >= worker.next_report {
            worker.reporting = true;
            worker.next_report = now + REPORT_MS;
            let node = worker.node;
            let report = Self::report(id, worker);
            for after in self.trouble.copies_after_ms.clone() {
                for node in 0..3 {
                    let copy = Happening::CopyArrives(node, report.clone());
                    self.at(now + after, copy);
                }
            }
            let what = Happening::ReportArrives(node, id.clone(), report, now);
            self.at(now + HOP_MS, what);
        }
        for task in started {
            self.started(task, id);
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
            worker.reporting = false;
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
            worker.reporting = false;
            return;
        }
        worker.reporting = false;
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
                self.broken.push(text);
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

    fn started(&mut self, task: TaskId, machine: &MachineId) {
        self.starts.push((self.now, task, machine.clone()));
        let twice = self
            .on_machines()
            .any(|(id, other)| id != machine && other.task == task);
        if twice {
            self.broken.push(format!("{task} runs twice"));
        }
        let Some(spec) = self.jobs.get(&task.job).cloned() else {
            self.broken.push(format!("{task} was never submitted"));
            return;
        };
        let worker = &self.workers[machine];
        if spec.zone.as_ref().is_some_and(|zone| *zone != worker.zone)
            || (worker.spot && !spec.spot)
        {
            self.broken.push(format!("{task} is in the wrong place"));
        }
        let mut used: BTreeMap<String, f64> = BTreeMap::new();
        let mut zones: BTreeMap<&String, u32> = BTreeMap::new();
        for (id, other) in self.on_machines() {
            if let Some(other_spec) = self.jobs.get(&other.task.job) {
                *used.entry(other_spec.team.0.clone()).or_default() += other_spec.cpus;
            }
            if other.task.job == task.job {
                *zones.entry(&self.workers[id].zone).or_default() += 1;
            }
        }
        let most = spec.tasks.div_ceil(2);
        let crowded = spec.spread && zones.values().any(|n| *n > most);
        if crowded || (spec.one_zone && zones.len() > 1) {
            self.broken.push(format!("{task} is in the wrong zone"));
        }
        for team in &self.settings[0].facts.teams {
            if used.get(&team.name.0).is_some_and(|u| *u > team.cpus_max) {
                self.broken.push(format!("{} is over its limit", team.name));
            }
        }
    }

    /// Fails the test if a rule was broken.
    pub fn check(&self) {
        assert!(self.broken.is_empty(), "{:?}", self.broken);
    }
}
