//! The cloud, its machines with their workers, and the tasks that run there, checked against the rules.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, Weak};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{serve, Client, Request, Response};
use crate::json::Json;
use crate::record::Record;

/// The longest body of a request and line of a response.
pub const MAX_MESSAGE_BYTES: usize = 64 * 1024;

#[derive(Clone)]
pub struct MachineType {
    pub name: String,
    pub cpus: f64,
    pub gpus: f64,
    pub ram_gb: f64,
    pub rate: f64,
    pub low_price: f64,
    pub ready_s: f64,
    pub pull_gb_per_s: f64,
    pub zones: Vec<String>,
}

pub struct Config {
    pub types: Vec<MachineType>,
    /// Number of machines that can be rented, by type, zone and kind.
    pub capacity: BTreeMap<(String, String, bool), usize>,
    /// The shortest and the longest time that a rented machine takes to come up.
    pub boot: (Duration, Duration),
    pub list_lag: Duration,
    pub report: Duration,
    pub lease: Duration,
    /// Limits of the teams in processors.
    pub limits: BTreeMap<String, f64>,
}

/// What a user uploads for the workers.
#[derive(Clone)]
pub struct JobDescription {
    pub team: String,
    pub tasks: u64,
    pub cpus: f64,
    pub gpus: f64,
    pub ram_gb: f64,
    pub image_gb: f64,
    pub run: Duration,
    pub save: Duration,
    pub has_checkpoints: bool,
}

#[derive(Default)]
struct Observed {
    /// Machines on which each task is.
    on: BTreeMap<String, BTreeSet<String>>,
    used: BTreeMap<String, f64>,
    done: BTreeSet<String>,
    starts: usize,
    starts_by_job: BTreeMap<String, usize>,
    killed_by_lease: usize,
    broken: Vec<String>,
}

pub struct World {
    pub config: Config,
    pub record: Arc<Record>,
    /// Names and addresses of the controllers, for the workers.
    nodes: Mutex<Vec<(String, SocketAddr)>>,
    jobs: Mutex<BTreeMap<String, JobDescription>>,
    machines: Mutex<BTreeMap<String, Arc<Machine>>>,
    rented: Mutex<BTreeMap<String, Vec<String>>>,
    snapshots: Mutex<Vec<(Instant, Vec<Json>)>>,
    observed: Mutex<Observed>,
    next_machine: AtomicUsize,
    rental_requests: AtomicUsize,
    me: Weak<World>,
}

struct Machine {
    id: String,
    kind: MachineType,
    zone: String,
    is_spot: bool,
    rented: Instant,
    up: Mutex<Option<SocketAddr>>,
    gone: AtomicBool,
    worker: Mutex<Worker>,
}

struct Task {
    job: JobDescription,
    state: State,
    /// When the present state ends.
    until: Instant,
}

#[derive(Clone, Copy, PartialEq)]
enum State {
    Fetching,
    Running,
    Saving,
    Ended(&'static str, bool),
}

struct Worker {
    session: u64,
    folio: u64,
    token: u64,
    lease_from: Instant,
    tasks: BTreeMap<(String, u64), Task>,
    images: BTreeMap<String, Instant>,
    changed: bool,
    /// Size of the largest report in this session.
    largest: usize,
}

impl World {
    pub fn start(config: Config, record: Arc<Record>) -> (Arc<World>, SocketAddr) {
        let world = Arc::new_cyclic(|me| World {
            config,
            record,
            nodes: Mutex::default(),
            jobs: Mutex::default(),
            machines: Mutex::default(),
            rented: Mutex::default(),
            snapshots: Mutex::default(),
            observed: Mutex::default(),
            next_machine: AtomicUsize::new(1),
            rental_requests: AtomicUsize::new(0),
            me: me.clone(),
        });
        let this = Arc::clone(&world);
        let address = serve(Arc::new(move |request| Some(this.handle(request))));
        let this = Arc::clone(&world);
        thread::spawn(move || loop {
            this.take_snapshot();
            thread::sleep(Duration::from_millis(500));
        });
        (world, address)
    }

    pub fn set_nodes(&self, nodes: Vec<(String, SocketAddr)>) {
        *self.nodes.lock().unwrap() = nodes;
    }

    pub fn upload(&self, job: &str, description: JobDescription) {
        self.jobs
            .lock()
            .unwrap()
            .insert(job.to_owned(), description);
    }

    pub fn broken(&self) -> Vec<String> {
        self.observed.lock().unwrap().broken.clone()
    }
    /// Tasks that have completed, starts, and tasks killed because a lease ran out.
    pub fn counts(&self) -> (usize, usize, usize) {
        let o = self.observed.lock().unwrap();
        (o.done.len(), o.starts, o.killed_by_lease)
    }
    pub fn rental_requests(&self) -> usize {
        self.rental_requests.load(Ordering::SeqCst)
    }
    /// Number of machines with a running task.
    pub fn machines_in_use(&self) -> usize {
        let o = self.observed.lock().unwrap();
        o.on.values().flatten().collect::<BTreeSet<_>>().len()
    }
    pub fn running(&self) -> usize {
        self.observed
            .lock()
            .unwrap()
            .on
            .values()
            .filter(|m| !m.is_empty())
            .count()
    }
    pub fn starts_of(&self, job: &str) -> usize {
        self.observed
            .lock()
            .unwrap()
            .starts_by_job
            .get(job)
            .copied()
            .unwrap_or(0)
    }
    pub fn done_tasks_of(&self, job: &str) -> u64 {
        let prefix = format!("{job}/");
        let o = self.observed.lock().unwrap();
        o.done.iter().filter(|t| t.starts_with(&prefix)).count() as u64
    }
    pub fn break_rule(&self, text: String) {
        self.record.say(&format!("BROKEN {text}"));
        self.observed.lock().unwrap().broken.push(text);
    }

    /// Adds machines that are up already.
    pub fn add_machines(&self, kind: &str, zone: &str, is_spot: bool, count: usize) {
        for _ in 0..count {
            self.rent(kind, zone, is_spot, Duration::ZERO);
        }
    }

    pub fn machine_ids(&self) -> Vec<String> {
        let machines = self.machines.lock().unwrap();
        let alive = machines.values().filter(|m| !m.gone.load(Ordering::SeqCst));
        alive.map(|m| m.id.clone()).collect()
    }

    /// Boot times are spread evenly between the shortest and the longest.
    fn boot_time(&self) -> Duration {
        let (shortest, longest) = self.config.boot;
        let number = self.next_machine.load(Ordering::SeqCst) as f64;
        shortest + (longest - shortest).mul_f64((number * 0.618_034).fract())
    }

    fn rent(&self, kind: &str, zone: &str, is_spot: bool, boot: Duration) -> String {
        let number = self.next_machine.fetch_add(1, Ordering::SeqCst);
        let id = format!("i-{number:06}");
        let kind = self
            .config
            .types
            .iter()
            .find(|t| t.name == kind)
            .expect("a type")
            .clone();
        let now = Instant::now();
        let machine = Arc::new(Machine {
            id: id.clone(),
            kind,
            zone: zone.to_owned(),
            is_spot,
            rented: now,
            up: Mutex::new(None),
            gone: AtomicBool::new(false),
            worker: Mutex::new(Worker {
                session: 1,
                folio: 0,
                token: 0,
                lease_from: now,
                tasks: BTreeMap::new(),
                images: BTreeMap::new(),
                changed: false,
                largest: 0,
            }),
        });
        self.machines
            .lock()
            .unwrap()
            .insert(id.clone(), Arc::clone(&machine));
        let world = self.me.upgrade().expect("the world");
        thread::spawn(move || {
            thread::sleep(boot);
            if !machine.gone.load(Ordering::SeqCst) {
                world.run_worker(&machine);
            }
        });
        id
    }

    /// Takes a machine away with everything on it.
    pub fn take(&self, id: &str, why: &str) {
        let machine = self.machines.lock().unwrap().remove(id);
        if let Some(machine) = machine {
            machine.gone.store(true, Ordering::SeqCst);
            let mut worker = machine.worker.lock().unwrap();
            let tasks = std::mem::take(&mut worker.tasks);
            self.record.line(&format!(
                "cloud: {id} gone with {} tasks: {why}",
                tasks.len()
            ));
            for ((task, _), held) in tasks {
                self.off(&task, id, &held);
            }
        }
    }

    fn take_snapshot(&self) {
        let now = Instant::now();
        let machines = self.machines.lock().unwrap();
        let list = machines
            .values()
            .map(|m| {
                let up = *m.up.lock().unwrap();
                Json::obj(&[
                    ("Ref", Json::str(&m.id)),
                    (
                        "Addr",
                        Json::str(&up.map_or(String::new(), |a| a.to_string())),
                    ),
                    ("Modelo", Json::str(&m.kind.name)),
                    ("Patio", Json::str(&m.zone)),
                    ("Prestados", Json::Bool(m.is_spot)),
                    (
                        "Estado",
                        Json::str(if up.is_some() { "running" } else { "starting" }),
                    ),
                    (
                        "AgeS",
                        Json::Num(now.duration_since(m.rented).as_secs_f64()),
                    ),
                ])
            })
            .collect();
        let mut snapshots = self.snapshots.lock().unwrap();
        snapshots.push((now, list));
        snapshots.retain(|(at, _)| now.duration_since(*at) < Duration::from_secs(40));
    }

    fn handle(&self, request: &Request) -> Response {
        match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/catalog") => Response::new(200, self.catalog()),
            ("GET", "/machines") => self.list(request),
            ("POST", "/machines") => self.handle_rental(&request.body),
            ("POST", "/machines/return") => {
                let body = Json::parse(&request.body).unwrap_or(Json::Null);
                for id in body.list("Estibas") {
                    if let Json::Str(id) = id {
                        self.take(id, "returned");
                    }
                }
                Response::new(200, "{}")
            }
            _ => Response::new(400, "{}"),
        }
    }

    fn catalog(&self) -> String {
        let types = self.config.types.iter().map(|t| {
            Json::obj(&[
                ("Name", Json::str(&t.name)),
                ("Cores", Json::Num(t.cpus)),
                ("Gpus", Json::Num(t.gpus)),
                ("RamGb", Json::Num(t.ram_gb)),
                ("LocalGb", Json::Num(200.0)),
                ("PullGbPerS", Json::Num(t.pull_gb_per_s)),
                ("Rate", Json::Num(t.rate)),
                ("LowPrice", Json::Num(t.low_price)),
                ("ReadyS", Json::Num(t.ready_s)),
                (
                    "Patios",
                    Json::Arr(t.zones.iter().map(|z| Json::str(z)).collect()),
                ),
            ])
        });
        Json::obj(&[("Modelos", Json::Arr(types.collect()))]).encode()
    }

    fn list(&self, request: &Request) -> Response {
        let most = request
            .param("Most")
            .and_then(|m| m.parse().ok())
            .unwrap_or(500)
            .min(500);
        let since = request.param("Since").unwrap_or("");
        let now = Instant::now();
        let snapshots = self.snapshots.lock().unwrap();
        let old = snapshots
            .iter()
            .rev()
            .find(|(at, _)| now.duration_since(*at) >= self.config.list_lag);
        let all: Vec<Json> = old.map_or(Vec::new(), |(_, list)| list.clone());
        let rest: Vec<Json> = all.into_iter().filter(|m| m.text("Ref") > since).collect();
        let more = rest.len() > most;
        let page = rest.into_iter().take(most).collect();
        let body = Json::obj(&[("Estibas", Json::Arr(page)), ("More", Json::Bool(more))]);
        Response::new(200, body.encode())
    }

    fn handle_rental(&self, body: &[u8]) -> Response {
        self.rental_requests.fetch_add(1, Ordering::SeqCst);
        let Some(body) = Json::parse(body) else {
            return Response::new(400, "{}");
        };
        let (name, kind, zone) = (body.text("Pedido"), body.text("Modelo"), body.text("Patio"));
        let is_spot = body.is_true("Prestados");
        let answer = |ids: &[String]| {
            let ids = ids.iter().map(|id| Json::str(id)).collect();
            Response::new(200, Json::obj(&[("Estibas", Json::Arr(ids))]).encode())
        };
        let mut rented = self.rented.lock().unwrap();
        if let Some(ids) = rented.get(name) {
            return answer(ids);
        }
        let present = self
            .machines
            .lock()
            .unwrap()
            .values()
            .filter(|m| m.kind.name == kind && m.zone == zone && m.is_spot == is_spot)
            .count();
        let key = (kind.to_owned(), zone.to_owned(), is_spot);
        let capacity = self.config.capacity.get(&key).copied().unwrap_or(0);
        let number =
            (body.int("Number").unwrap_or(0) as usize).min(capacity.saturating_sub(present));
        if number == 0 {
            return Response::new(503, "{\"error\":\"no capacity\"}");
        }
        let ids: Vec<String> = (0..number)
            .map(|_| self.rent(kind, zone, is_spot, self.boot_time()))
            .collect();
        self.record
            .line(&format!("cloud: rented {ids:?} for {name}"));
        let response = answer(&ids);
        rented.insert(name.to_owned(), ids);
        response
    }

    /// A task has its image and starts on a machine.
    fn on(&self, task: &str, machine: &str, job: &JobDescription) {
        let mut broken = Vec::new();
        {
            let mut o = self.observed.lock().unwrap();
            o.starts += 1;
            let job_id = task.split('/').next().unwrap_or(task).to_owned();
            *o.starts_by_job.entry(job_id).or_default() += 1;
            let places = o.on.entry(task.to_owned()).or_default();
            if !places.is_empty() {
                broken.push(format!(
                    "ran_twice: {task} starts on {machine} while it is on {places:?}"
                ));
            }
            places.insert(machine.to_owned());
            let used = o.used.entry(job.team.clone()).or_default();
            *used += job.cpus;
            let limit = self
                .config
                .limits
                .get(&job.team)
                .copied()
                .unwrap_or(f64::INFINITY);
            if *used > limit + 1e-6 {
                broken.push(format!("quota: {} uses {used} of {limit}", job.team));
            }
        }
        self.record.line(&format!("{machine}: {task} starts"));
        for text in broken {
            self.break_rule(text);
        }
    }

    /// A task is no longer on its machine, if it was.
    fn off(&self, task: &str, machine: &str, held: &Task) {
        if !matches!(held.state, State::Running | State::Saving) {
            return;
        }
        let mut o = self.observed.lock().unwrap();
        if let Some(places) = o.on.get_mut(task) {
            places.remove(machine);
        }
        *o.used.entry(held.job.team.clone()).or_default() -= held.job.cpus;
    }

    fn run_worker(self: &Arc<World>, machine: &Arc<Machine>) {
        let (world, this) = (Arc::clone(self), Arc::clone(machine));
        let address = serve(Arc::new(move |request| world.handle_orders(&this, request)));
        *machine.up.lock().unwrap() = Some(address);
        machine.worker.lock().unwrap().lease_from = Instant::now();
        let mut node = 0;
        let mut client: Option<Client> = None;
        let mut next_report = Instant::now();
        let mut last_report = Instant::now() - self.config.report;
        while !machine.gone.load(Ordering::SeqCst) {
            thread::sleep(Duration::from_millis(20));
            let now = Instant::now();
            let mut worker = machine.worker.lock().unwrap();
            self.advance(machine, &mut worker, now);
            let is_early = now.duration_since(last_report) < Duration::from_millis(500);
            if is_early || (now < next_report && !worker.changed) {
                continue;
            }
            let (body, session) = (self.report(machine, &mut worker), worker.session);
            worker.changed = false;
            worker.largest = worker.largest.max(body.len());
            drop(worker);
            last_report = now;
            next_report = now + self.config.report;
            if body.len() > MAX_MESSAGE_BYTES {
                // No request body may be that long, and a report lists all tasks: it cannot be sent.
                self.record.line(&format!(
                    "{}: report of {} bytes, over {MAX_MESSAGE_BYTES}, cannot be sent",
                    machine.id,
                    body.len()
                ));
                continue;
            }
            let nodes = self.nodes.lock().unwrap().clone();
            if nodes.is_empty() {
                continue;
            }
            node %= nodes.len();
            let connection = client.get_or_insert_with(|| Client::new(nodes[node].1));
            let response = connection.call("POST", "/checkin", Some(&body), Duration::from_secs(4));
            if machine.gone.load(Ordering::SeqCst) {
                return;
            }
            match response {
                Some(r) if r.status == 200 => self.apply_response(machine, session, now, &r.body),
                Some(r) if r.status == 421 => {
                    let named =
                        Json::parse(r.body.as_bytes()).map(|b| b.text("Capataz").to_owned());
                    let other = named.and_then(|name| nodes.iter().position(|(n, _)| *n == name));
                    client = None;
                    match other {
                        Some(other) if other != node => {
                            node = other;
                            next_report = Instant::now();
                        }
                        _ => {
                            node += 1;
                            next_report = Instant::now() + Duration::from_secs(1);
                        }
                    }
                }
                other => {
                    if !matches!(&other, Some(r) if r.status == 503) {
                        let status = other.map(|r| r.status);
                        self.record.line(&format!(
                            "{}: report of {} bytes answered {status:?}",
                            machine.id,
                            body.len()
                        ));
                    }
                    client = None;
                    node += 1;
                    next_report = Instant::now() + Duration::from_secs(1);
                    last_report = Instant::now();
                }
            }
        }
    }

    fn apply_response(&self, machine: &Machine, session: u64, sent: Instant, body: &str) {
        if body.len() > MAX_MESSAGE_BYTES {
            self.break_rule(format!(
                "message_size: {} gets a response line of {} bytes, {MAX_MESSAGE_BYTES} allowed",
                machine.id,
                body.len()
            ));
            return;
        }
        let Some(response) = Json::parse(body.as_bytes()) else {
            return;
        };
        let mut worker = machine.worker.lock().unwrap();
        let token = response.int("Vara").unwrap_or(0);
        if worker.session != session || token < worker.token || response.get("Vara").is_none() {
            return;
        }
        worker.token = token;
        worker.lease_from = worker.lease_from.max(sent);
        self.execute(machine, &mut worker, response.list("Ordenes"));
    }

    fn handle_orders(&self, machine: &Machine, request: &Request) -> Option<Response> {
        if machine.gone.load(Ordering::SeqCst) {
            return None;
        }
        let mut worker = machine.worker.lock().unwrap();
        self.advance(machine, &mut worker, Instant::now());
        if request.method == "GET" {
            return Some(Response::new(200, self.report(machine, &mut worker)));
        }
        if request.body.len() > MAX_MESSAGE_BYTES {
            let bytes = request.body.len();
            drop(worker);
            self.break_rule(format!(
                "message_size: {} gets a request of {bytes} bytes, {MAX_MESSAGE_BYTES} allowed",
                machine.id
            ));
            return Some(Response::new(400, "{}"));
        }
        let body = Json::parse(&request.body)?;
        let (Some(token), Some(session)) = (body.int("Vara"), body.int("Jornada")) else {
            return Some(Response::new(400, "{}"));
        };
        if token < worker.token || session != worker.session {
            return Some(Response::new(409, self.report(machine, &mut worker)));
        }
        worker.token = token;
        self.execute(machine, &mut worker, body.list("Ordenes"));
        Some(Response::new(200, self.report(machine, &mut worker)))
    }

    fn execute(&self, machine: &Machine, worker: &mut Worker, orders: &[Json]) {
        let now = Instant::now();
        for order in orders {
            let (task, attempt) = (
                order.text("Pieza").to_owned(),
                order.int("Intento").unwrap_or(0),
            );
            let key = (task.clone(), attempt);
            match order.text("Orden") {
                "launch" if !worker.tasks.contains_key(&key) => {
                    let held = self.launch(machine, worker, &task, now);
                    worker.tasks.insert(key, held);
                    worker.changed = true;
                }
                "halt" => {
                    let grace = order.num("GraciaS");
                    let Some(held) = worker.tasks.get_mut(&key) else {
                        continue;
                    };
                    worker.changed = true;
                    let saves = held.job.has_checkpoints && grace >= held.job.save.as_secs_f64();
                    match held.state {
                        State::Running if saves => {
                            held.state = State::Saving;
                            held.until = now + held.job.save;
                        }
                        State::Saving if grace > 0.0 => {}
                        State::Fetching | State::Running | State::Saving => {
                            self.off(&task, &machine.id, held);
                            held.state = State::Ended("stopped", false);
                        }
                        State::Ended(..) => {}
                    }
                }
                "reap" => {
                    let ended = matches!(worker.tasks.get(&key), Some(t) if matches!(t.state, State::Ended(..)));
                    if ended {
                        worker.tasks.remove(&key);
                        worker.changed = true;
                    }
                }
                _ => {}
            }
        }
    }

    fn launch(&self, machine: &Machine, worker: &mut Worker, task: &str, now: Instant) -> Task {
        let (job_id, index) = task.split_once('/').unwrap_or((task, "x"));
        let job = self.jobs.lock().unwrap().get(job_id).cloned();
        let index: u64 = index.parse().unwrap_or(u64::MAX);
        let nothing = JobDescription {
            team: String::new(),
            tasks: 0,
            cpus: 0.0,
            gpus: 0.0,
            ram_gb: 0.0,
            image_gb: 0.0,
            run: Duration::ZERO,
            save: Duration::ZERO,
            has_checkpoints: false,
        };
        let refuse = |job, why| Task {
            job,
            state: State::Ended(why, false),
            until: now,
        };
        let Some(job) = job.filter(|job| index < job.tasks) else {
            return refuse(nothing, "no_such");
        };
        let active = |t: &&Task| !matches!(t.state, State::Ended(..));
        if worker
            .tasks
            .iter()
            .any(|((t, _), held)| t == task && active(&held))
        {
            return refuse(job, "busy");
        }
        let used = worker
            .tasks
            .values()
            .filter(active)
            .fold((0.0, 0.0, 0.0), |u, t| {
                (u.0 + t.job.cpus, u.1 + t.job.gpus, u.2 + t.job.ram_gb)
            });
        let kind = &machine.kind;
        if used.0 + job.cpus > kind.cpus + 1e-6
            || used.1 + job.gpus > kind.gpus + 1e-6
            || used.2 + job.ram_gb > kind.ram_gb + 1e-6
        {
            return refuse(job, "full");
        }
        let pull = Duration::from_secs_f64(job.image_gb / kind.pull_gb_per_s);
        let image = format!("{}", job.image_gb);
        let until = *worker.images.entry(image).or_insert(now + pull);
        Task {
            job,
            state: State::Fetching,
            until,
        }
    }

    /// Brings the tasks and the lease of a worker up to date.
    fn advance(&self, machine: &Machine, worker: &mut Worker, now: Instant) {
        if now.duration_since(worker.lease_from) > self.config.lease {
            let tasks = std::mem::take(&mut worker.tasks);
            let active = tasks
                .values()
                .filter(|t| !matches!(t.state, State::Ended(..)))
                .count();
            self.record.line(&format!(
                "{}: lease of session {} expired, {active} tasks killed; largest report {} bytes",
                machine.id, worker.session, worker.largest
            ));
            self.observed.lock().unwrap().killed_by_lease += active;
            for ((task, _), held) in tasks {
                self.off(&task, &machine.id, &held);
            }
            worker.session += 1;
            worker.lease_from = now;
            worker.largest = 0;
            worker.changed = true;
        }
        let mut done = Vec::new();
        for ((task, _), held) in &mut worker.tasks {
            if held.state == State::Fetching && now >= held.until {
                held.state = State::Running;
                held.until = now + held.job.run;
                worker.changed = true;
                self.on(task, &machine.id, &held.job);
            }
            if matches!(held.state, State::Running | State::Saving) && now >= held.until {
                let is_done = held.state == State::Running;
                self.off(task, &machine.id, held);
                held.state = match is_done {
                    true => State::Ended("done", false),
                    false => State::Ended("stopped", true),
                };
                worker.changed = true;
                if is_done {
                    done.push(task.clone());
                }
            }
        }
        if !done.is_empty() {
            for task in &done {
                self.record.line(&format!("{}: {task} done", machine.id));
            }
            self.observed.lock().unwrap().done.extend(done);
        }
    }

    fn report(&self, machine: &Machine, worker: &mut Worker) -> String {
        worker.folio += 1;
        let tasks = worker.tasks.iter().map(|((task, attempt), held)| {
            let state = match held.state {
                State::Fetching => "fetching",
                State::Running => "running",
                State::Saving => "saving",
                State::Ended(..) => "ended",
            };
            let mut text =
                format!("{{\"Pieza\":\"{task}\",\"Intento\":{attempt},\"Estado\":\"{state}\"");
            if let State::Ended(why, saved) = held.state {
                text.push_str(&format!(",\"Motivo\":\"{why}\""));
                if saved {
                    text.push_str(",\"Saved\":true");
                }
            }
            text + "}"
        });
        let address = machine
            .up
            .lock()
            .unwrap()
            .map_or(String::new(), |a| a.to_string());
        format!(
            "{{\"Estiba\":\"{}\",\"Addr\":\"{address}\",\"Modelo\":\"{}\",\"Patio\":\"{}\",\"Prestados\":{},\"Jornada\":{},\"Folio\":{},\"Vara\":{},\"AvisoS\":null,\"Piezas\":[{}]}}",
            machine.id, machine.kind.name, machine.zone, machine.is_spot, worker.session, worker.folio, worker.token,
            tasks.collect::<Vec<_>>().join(",")
        )
    }
}
