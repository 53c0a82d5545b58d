//! Stand-in of a machine with its worker: reports, commands, tokens, leases and tasks, as the protocol says.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use serde_json::{json, Value};

use crate::http::{bind, call, serve, Handler};
use crate::jobs::{Job, Jobs};
use crate::observer::Observer;
use crate::record::Record;
use crate::state::Link;

/// Time for a response to a report (protocol).
const REPORT_TIMEOUT: Duration = Duration::from_secs(4);
/// Pause before the next node is tried (protocol).
const NEXT_NODE_DELAY: Duration = Duration::from_secs(1);
/// Reports are never sent more often (protocol).
const MIN_REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// Interval at which tasks and the lease are checked.
const STEP: Duration = Duration::from_millis(20);
/// Time until a mistaken task fails.
const FAILURE_AFTER_S: f64 = 0.3;

/// What all workers of a run have in common.
pub struct Site {
    pub nodes: Vec<(String, SocketAddr)>,
    pub report_s: f64,
    pub lease_s: f64,
    pub jobs: Arc<Jobs>,
    pub record: Arc<Record>,
    pub observer: Arc<Observer>,
    /// Connections of the nodes, for those that are cut off.
    pub links: Vec<Arc<Link>>,
}

/// Type, zone and kind of a machine.
#[derive(Clone)]
pub struct MachineSpec {
    pub machine_type: String,
    pub zone: String,
    pub spot: bool,
    pub cpus: f64,
    pub memory_gb: f64,
    pub fetch_gb_per_s: f64,
}

#[derive(Clone, Copy, PartialEq)]
enum Phase {
    Fetching,
    Running,
    Ended(&'static str),
}

struct Task {
    job: Option<Job>,
    phase: Phase,
    since: Instant,
}

impl Task {
    fn is_on_machine(&self) -> bool {
        !matches!(self.phase, Phase::Ended(_))
    }
}

struct Inner {
    is_gone: bool,
    session: u64,
    number: u64,
    token: u64,
    leased_at: Instant,
    tasks: BTreeMap<(String, u64), Task>,
    has_image: bool,
    has_changed: bool,
    notice_s: Option<f64>,
    /// Until then the machine hangs.
    hangs_until: Option<Instant>,
    /// Until then no response or command reaches the worker.
    deaf_until: Option<Instant>,
    /// Until then no report leaves the worker.
    mute_until: Option<Instant>,
}

/// Whether a time is set and not past.
fn is_ahead(until: Option<Instant>) -> bool {
    until.is_some_and(|until| Instant::now() < until)
}

/// A machine with its worker.
pub struct Machine {
    pub id: String,
    pub spec: MachineSpec,
    pub address: SocketAddr,
    site: Arc<Site>,
    inner: Mutex<Inner>,
}

impl Machine {
    /// Starts the worker of a machine that is up.
    pub fn start(id: String, spec: MachineSpec, site: Arc<Site>) -> Arc<Machine> {
        let listener = bind();
        let address = listener.local_addr().expect("address");
        let inner = Inner {
            is_gone: false,
            session: 1,
            number: 0,
            token: 0,
            leased_at: Instant::now(),
            tasks: BTreeMap::new(),
            has_image: false,
            has_changed: false,
            notice_s: None,
            hangs_until: None,
            deaf_until: None,
            mute_until: None,
        };
        let machine = Arc::new(Machine {
            id,
            spec,
            address,
            site,
            inner: Mutex::new(inner),
        });
        machine.note(&format!(
            "up zone={} spot={}",
            machine.spec.zone, machine.spec.spot
        ));
        serve(listener, machine.command_handler());
        let reporting = Arc::clone(&machine);
        std::thread::spawn(move || reporting.report_loop());
        let stepping = Arc::clone(&machine);
        std::thread::spawn(move || {
            while stepping.step() {
                std::thread::sleep(STEP);
            }
        });
        machine
    }

    fn note(&self, text: &str) {
        self.site.record.line(format!("machine {} {text}", self.id));
    }

    /// The machine is taken or returned: it and everything on it are gone.
    pub fn remove(&self, why: &str) {
        let mut inner = self.inner.lock().expect("worker");
        if !inner.is_gone {
            self.end_all(&mut inner, why);
            inner.is_gone = true;
            self.note(&format!("gone: {why}"));
        }
    }

    /// The machine hangs for a time: it runs, reports and answers nothing.
    pub fn hang(&self, time: Duration) {
        self.note(&format!("hangs for {} s", time.as_secs_f64()));
        self.inner.lock().expect("worker").hangs_until = Some(Instant::now() + time);
    }

    /// Responses and commands to the worker are lost for a time.
    pub fn deafen(&self, time: Duration) {
        self.note(&format!("hears nothing for {} s", time.as_secs_f64()));
        self.inner.lock().expect("worker").deaf_until = Some(Instant::now() + time);
    }

    /// No report leaves the worker for a time.
    pub fn mute(&self, time: Duration) {
        self.note(&format!("reports nothing for {} s", time.as_secs_f64()));
        self.inner.lock().expect("worker").mute_until = Some(Instant::now() + time);
    }

    /// Tasks on the machine that have not ended, with their jobs.
    pub fn tasks(&self) -> Vec<(String, Option<Job>)> {
        let inner = self.inner.lock().expect("worker");
        let tasks = inner.tasks.iter().filter(|(_, task)| task.is_on_machine());
        tasks
            .map(|((name, _), task)| (name.clone(), task.job.clone()))
            .collect()
    }

    /// Whether the machine is up and its worker's last report was answered within half a lease.
    pub fn is_heard(&self) -> bool {
        let inner = self.inner.lock().expect("worker");
        !inner.is_gone && inner.leased_at.elapsed().as_secs_f64() < self.site.lease_s / 2.0
    }

    /// Processors and memory that no task has.
    pub fn free(&self) -> (f64, f64) {
        self.free_of(&self.inner.lock().expect("worker"))
    }

    fn free_of(&self, inner: &Inner) -> (f64, f64) {
        let mut free = (self.spec.cpus, self.spec.memory_gb);
        for task in inner.tasks.values().filter(|task| task.is_on_machine()) {
            if let Some(job) = &task.job {
                free = (free.0 - job.cpus, free.1 - job.memory_gb);
            }
        }
        free
    }

    fn end_all(&self, inner: &mut Inner, why: &str) {
        for ((name, attempt), task) in std::mem::take(&mut inner.tasks) {
            if task.is_on_machine() {
                self.site.observer.ended(&name, &self.id);
                self.note(&format!("killed {name} attempt={attempt}: {why}"));
            }
        }
    }

    /// Advances tasks and the lease. Returns false once the machine is gone.
    fn step(&self) -> bool {
        let mut inner = self.inner.lock().expect("worker");
        if inner.is_gone {
            return false;
        }
        if inner.leased_at.elapsed().as_secs_f64() > self.site.lease_s {
            self.end_all(&mut inner, "lease ended");
            inner.session += 1;
            inner.leased_at = Instant::now();
            inner.has_changed = true;
        }
        if is_ahead(inner.hangs_until) {
            for task in inner.tasks.values_mut() {
                task.since += STEP;
            }
            return true;
        }
        let Inner {
            tasks,
            has_image,
            has_changed,
            ..
        } = &mut *inner;
        for ((name, attempt), task) in tasks {
            let Some(job) = &task.job else { continue };
            let elapsed_s = task.since.elapsed().as_secs_f64();
            let run_s = if job.is_mistaken {
                FAILURE_AFTER_S
            } else {
                job.run_s
            };
            let next = match task.phase {
                Phase::Fetching if *has_image || elapsed_s * self.spec.fetch_gb_per_s >= 0.4 => {
                    *has_image = true;
                    if self.site.jobs.is_completed(name) {
                        Phase::Ended("done")
                    } else {
                        Phase::Running
                    }
                }
                Phase::Running if elapsed_s >= run_s && job.is_mistaken => Phase::Ended("error"),
                Phase::Running if elapsed_s >= run_s && job.kind == "array" => {
                    self.site.jobs.complete(name);
                    Phase::Ended("done")
                }
                _ => continue,
            };
            let text = match next {
                Phase::Ended(why) => format!("ended: {why}"),
                _ => "started".to_owned(),
            };
            self.note(&format!("{name} attempt={attempt} {text}"));
            match next {
                Phase::Running => self.site.observer.started(job, name, &self.id, &self.spec),
                _ => self.site.observer.ended(name, &self.id),
            }
            (task.phase, task.since) = (next, Instant::now());
            *has_changed = true;
        }
        true
    }

    /// The worker's report.
    fn report(&self, inner: &mut Inner) -> Value {
        inner.number += 1;
        let tasks = inner
            .tasks
            .iter()
            .map(|((name, attempt), task)| match task.phase {
                Phase::Fetching => json!({"Pieza": name, "Intento": attempt, "Estado": "fetching"}),
                Phase::Running => json!({"Pieza": name, "Intento": attempt, "Estado": "running"}),
                Phase::Ended(why) => {
                    json!({"Pieza": name, "Intento": attempt, "Estado": "ended", "Motivo": why})
                }
            });
        json!({
            "Estiba": self.id, "Addr": self.address.to_string(), "Modelo": self.spec.machine_type,
            "Patio": self.spec.zone, "Prestados": self.spec.spot, "Jornada": inner.session,
            "Folio": inner.number, "Vara": inner.token, "AvisoS": inner.notice_s,
            "Piezas": tasks.collect::<Vec<_>>(),
        })
    }

    fn report_loop(&self) {
        let nodes = &self.site.nodes;
        let seed: usize = self.id.bytes().map(usize::from).sum();
        let mut node = seed % nodes.len();
        let mut sent_at = Instant::now() - Duration::from_secs(60);
        let mut turn = seed;
        loop {
            turn += 1;
            // Give or take a quarter.
            let share = 0.75 + 0.5 * ((turn * 37 % 101) as f64 / 101.0);
            let due = Duration::from_secs_f64(self.site.report_s * share);
            let (report, session) = loop {
                std::thread::sleep(STEP);
                let mut inner = self.inner.lock().expect("worker");
                if inner.is_gone {
                    return;
                }
                let elapsed = sent_at.elapsed();
                if is_ahead(inner.hangs_until) || is_ahead(inner.mute_until) {
                    continue;
                }
                if elapsed >= due || (inner.has_changed && elapsed >= MIN_REPORT_INTERVAL) {
                    inner.has_changed = false;
                    break (self.report(&mut inner), inner.session);
                }
            };
            sent_at = Instant::now();
            let address = nodes[node].1;
            if self.site.links[node].is_cut() {
                std::thread::sleep(REPORT_TIMEOUT + NEXT_NODE_DELAY);
                node = (node + 1) % nodes.len();
                continue;
            }
            let response = call(address, "POST", "/checkin", Some(&report), REPORT_TIMEOUT);
            let is_in_time = sent_at.elapsed() < REPORT_TIMEOUT;
            match response {
                Some((200, body)) if is_in_time => self.accept_response(session, sent_at, &body),
                Some((421, body)) if is_in_time => {
                    let named = body["Capataz"].as_str();
                    let named = nodes
                        .iter()
                        .position(|(name, _)| Some(name.as_str()) == named);
                    match named {
                        Some(index) if index != node => {
                            node = index;
                            sent_at = Instant::now() - Duration::from_secs(60);
                        }
                        _ => {
                            std::thread::sleep(NEXT_NODE_DELAY);
                            node = (node + 1) % nodes.len();
                        }
                    }
                }
                _ => {
                    std::thread::sleep(NEXT_NODE_DELAY);
                    node = (node + 1) % nodes.len();
                }
            }
        }
    }

    fn accept_response(&self, session: u64, sent_at: Instant, body: &Value) {
        let mut inner = self.inner.lock().expect("worker");
        let Some(token) = body["Vara"].as_u64() else {
            return;
        };
        if is_ahead(inner.hangs_until) || is_ahead(inner.deaf_until) {
            return;
        }
        if inner.is_gone || inner.session != session || token < inner.token {
            return;
        }
        inner.has_changed |= token > inner.token;
        inner.token = token;
        inner.leased_at = sent_at;
        self.execute(&mut inner, &body["Ordenes"]);
    }

    fn command_handler(self: &Arc<Machine>) -> Handler {
        let machine = Arc::clone(self);
        Arc::new(move |request| {
            let body = request.json();
            let mut inner = loop {
                let inner = machine.inner.lock().expect("worker");
                if inner.is_gone || is_ahead(inner.deaf_until) {
                    return None;
                }
                if !is_ahead(inner.hangs_until) {
                    break inner;
                }
                drop(inner);
                std::thread::sleep(STEP);
            };
            let status = match (
                request.path.as_str(),
                body["Vara"].as_u64(),
                body["Jornada"].as_u64(),
            ) {
                ("/inspect", ..) => 200,
                ("/orders", Some(token), Some(session)) => {
                    if token < inner.token || session != inner.session {
                        409
                    } else {
                        inner.has_changed |= token > inner.token;
                        inner.token = token;
                        machine.execute(&mut inner, &body["Ordenes"]);
                        200
                    }
                }
                _ => return Some((400, json!({"error": "malformed"}))),
            };
            Some((status, machine.report(&mut inner)))
        })
    }

    fn execute(&self, inner: &mut Inner, commands: &Value) {
        for command in commands.as_array().into_iter().flatten() {
            let (Some(name), Some(attempt)) =
                (command["Pieza"].as_str(), command["Intento"].as_u64())
            else {
                continue;
            };
            let key = (name.to_owned(), attempt);
            inner.has_changed = true;
            match command["Orden"].as_str() {
                Some("launch") if !inner.tasks.contains_key(&key) => self.launch(inner, key),
                Some("halt") => {
                    // No job of these runs saves checkpoints, so every task exits at once.
                    if let Some(task) = inner
                        .tasks
                        .get_mut(&key)
                        .filter(|task| task.is_on_machine())
                    {
                        (task.phase, task.since) = (Phase::Ended("stopped"), Instant::now());
                        self.site.observer.ended(name, &self.id);
                        self.note(&format!("{name} attempt={attempt} ended: stopped"));
                    }
                }
                Some("reap")
                    if inner
                        .tasks
                        .get(&key)
                        .is_some_and(|task| !task.is_on_machine()) =>
                {
                    inner.tasks.remove(&key);
                }
                _ => {}
            }
        }
    }

    fn launch(&self, inner: &mut Inner, key: (String, u64)) {
        let job = self.site.jobs.of_task(&key.0);
        let is_here = inner
            .tasks
            .iter()
            .any(|((name, _), task)| *name == key.0 && task.is_on_machine());
        let free = self.free_of(inner);
        let phase = match &job {
            None => Phase::Ended("no_such"),
            Some(_) if is_here => Phase::Ended("busy"),
            Some(job) if job.cpus > free.0 + 1e-9 || job.memory_gb > free.1 + 1e-9 => {
                Phase::Ended("full")
            }
            Some(_) => Phase::Fetching,
        };
        let text = match phase {
            Phase::Ended(why) => format!("refused: {why}"),
            _ => "launched".to_owned(),
        };
        self.note(&format!("{} attempt={} {text}", key.0, key.1));
        let since = Instant::now();
        inner.tasks.insert(key, Task { job, phase, since });
    }
}
