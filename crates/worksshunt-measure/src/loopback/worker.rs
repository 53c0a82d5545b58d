//! Stand-in of a worker, by the protocol: reports, tokens, leases and direct orders.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};
use async_io::{Async, Timer};
use http_types::Method;
use worksshunt_core::job_api::HttpResponse;
use worksshunt_net::client::HttpClient;
use worksshunt_net::server::{self, HttpRequest};
use worksshunt_net::{within, Executor};
use worksshunt_wire::cloud::ProvisionRequest;
use worksshunt_wire::worker::{
    Command, CommandBatch, ExitReason, Heartbeat, HeartbeatResponse, Redirect, TaskState,
    TaskStatus,
};
use worksshunt_wire::{Attempt, Epoch, Incarnation, MachineId, TaskId};

use super::observer::Observer;
use super::{malformed, Handled, Plan, TASKS_EACH};

/// How long a worker waits for an answer, and before it tries the next controller (protocol).
const ANSWER: Duration = Duration::from_secs(4);
const NEXT: Duration = Duration::from_secs(1);
/// Least time between reports (protocol).
const BETWEEN: Duration = Duration::from_millis(500);
/// Port of every worker; each has an address of its own.
const PORT: u16 = 19_000;

struct Task {
    task: TaskId,
    reason: Option<ExitReason>,
    ends: Instant,
}

struct Inside {
    session: u64,
    seq: u64,
    token: Epoch,
    tasks: BTreeMap<Attempt, Task>,
    /// When the last report that was answered was sent.
    renewed: Instant,
}

/// A worker.
pub struct Worker {
    id: MachineId,
    addr: SocketAddr,
    /// Its machine's zone.
    pub zone: String,
    /// Whether its machine is a spot one.
    pub spot: bool,
    inside: RefCell<Inside>,
    up: Cell<bool>,
    ended: Cell<bool>,
    /// The controller that answered it last, and how often one did.
    pub node: Cell<usize>,
    pub answered: Cell<u64>,
    changed: (Sender<()>, Receiver<()>),
}

impl Worker {
    /// The worker of the machine of that number.
    pub fn new(id: MachineId, number: usize, request: &ProvisionRequest) -> Rc<Worker> {
        let octet = |n: usize| u8::try_from(n % 250 + 1).unwrap_or(1);
        let ip = [
            127,
            octet(number / 62_500),
            octet(number / 250),
            octet(number),
        ];
        Rc::new(Worker {
            id,
            addr: (ip, PORT).into(),
            zone: request.zone.clone(),
            spot: request.spot,
            inside: RefCell::new(Inside {
                session: 1,
                seq: 0,
                token: Epoch(0),
                tasks: BTreeMap::new(),
                renewed: Instant::now(),
            }),
            up: Cell::new(false),
            ended: Cell::new(false),
            node: Cell::new(number % 3),
            answered: Cell::new(0),
            changed: async_channel::bounded(1),
        })
    }

    /// Whether it has booted.
    pub fn is_up(&self) -> bool {
        self.up.get()
    }

    /// Its machine is gone.
    pub fn end(&self, observer: &Observer) {
        self.ended.set(true);
        self.kill_all(observer);
        let _ = self.changed.0.try_send(());
    }

    fn kill_all(&self, observer: &Observer) {
        for task in std::mem::take(&mut self.inside.borrow_mut().tasks).into_values() {
            if task.reason.is_none() {
                observer.ended(task.task, false);
            }
        }
    }

    fn report(&self) -> Heartbeat {
        let mut inside = self.inside.borrow_mut();
        inside.seq += 1;
        let tasks = inside.tasks.iter().map(|(attempt, task)| TaskStatus {
            task: task.task,
            attempt: *attempt,
            state: match task.reason {
                None => TaskState::Running,
                Some(_) => TaskState::Ended,
            },
            reason: task.reason,
            saved: None,
        });
        Heartbeat {
            tasks: tasks.collect(),
            machine: self.id.clone(),
            addr: self.addr.to_string(),
            machine_type: "m4".into(),
            zone: self.zone.clone(),
            spot: self.spot,
            incarnation: Incarnation(inside.session),
            sequence: inside.seq,
            fencing_token: inside.token,
            notice_s: None,
        }
    }

    fn execute(&self, command: &Command, plan: &Plan, observer: &Observer) {
        let mut inside = self.inside.borrow_mut();
        match command {
            Command::Launch { task, attempt } => {
                let on = inside.tasks.values().filter(|t| t.reason.is_none());
                let full = on.count() >= TASKS_EACH;
                inside.tasks.entry(*attempt).or_insert_with(|| {
                    if !full {
                        observer.started(*task);
                    }
                    Task {
                        task: *task,
                        reason: full.then_some(ExitReason::InsufficientResources),
                        ends: Instant::now() + plan.run,
                    }
                });
            }
            Command::Halt { attempt, .. } => {
                if let Some(task) = inside.tasks.get_mut(attempt) {
                    if task.reason.is_none() {
                        task.reason = Some(ExitReason::Stopped);
                        observer.ended(task.task, false);
                    }
                }
            }
            Command::Reap { attempt, .. } => {
                let ended = inside
                    .tasks
                    .get(attempt)
                    .is_some_and(|t| t.reason.is_some());
                if ended {
                    inside.tasks.remove(attempt);
                }
            }
        }
    }

    /// What time brings about: a lease that has run out, tasks that complete.
    fn pass_time(&self, plan: &Plan, observer: &Observer) {
        let now = Instant::now();
        if now > self.inside.borrow().renewed + plan.lease {
            self.kill_all(observer);
            let mut inside = self.inside.borrow_mut();
            inside.session += 1;
            inside.seq = 0;
            inside.renewed = now;
        }
        for task in self.inside.borrow_mut().tasks.values_mut() {
            if task.reason.is_none() && now >= task.ends {
                task.reason = Some(ExitReason::Done);
                observer.ended(task.task, true);
            }
        }
    }

    /// How long until a task completes.
    fn next_end(&self) -> Option<Duration> {
        let inside = self.inside.borrow();
        let running = inside.tasks.values().filter(|t| t.reason.is_none());
        let next = running.map(|task| task.ends).min()?;
        Some(next.saturating_duration_since(Instant::now()))
    }

    /// Takes in the answer to a report; how long to wait with the next one, if that is settled.
    fn answer(
        &self,
        sent: Instant,
        session: u64,
        answer: (u16, &[u8]),
        plan: &Plan,
        observer: &Observer,
    ) -> Option<Duration> {
        match answer {
            (200, body) => {
                let answer: HeartbeatResponse = serde_json::from_slice(body).ok()?;
                {
                    let mut inside = self.inside.borrow_mut();
                    if inside.session != session || answer.fencing_token < inside.token {
                        return None;
                    }
                    inside.token = answer.fencing_token;
                    inside.renewed = inside.renewed.max(sent);
                }
                self.answered.set(self.answered.get() + 1);
                for command in &answer.commands {
                    self.execute(command, plan, observer);
                }
                None
            }
            (421, body) => {
                let to = serde_json::from_slice::<Redirect>(body).ok();
                let name = to.and_then(|to| to.report_to).map(|name| name.0);
                let named = plan
                    .nodes
                    .iter()
                    .position(|(n, _)| Some(n) == name.as_ref());
                match named.filter(|node| *node != self.node.get()) {
                    Some(node) => {
                        self.node.set(node);
                        Some(Duration::ZERO)
                    }
                    None => Some(self.next_node(plan)),
                }
            }
            _ => Some(self.next_node(plan)),
        }
    }

    fn next_node(&self, plan: &Plan) -> Duration {
        self.node.set((self.node.get() + 1) % plan.nodes.len());
        NEXT
    }

    fn orders(&self, incoming: &HttpRequest, plan: &Plan, observer: &Observer) -> HttpResponse {
        let body = incoming.body.as_deref().unwrap_or_default();
        let Ok(orders) = serde_json::from_slice::<CommandBatch>(body) else {
            return malformed();
        };
        let matches = {
            let inside = self.inside.borrow();
            orders.fencing_token >= inside.token && orders.incarnation.0 == inside.session
        };
        if matches {
            self.inside.borrow_mut().token = orders.fencing_token;
            for command in &orders.commands {
                self.execute(command, plan, observer);
            }
            let _ = self.changed.0.try_send(());
        }
        HttpResponse::json(if matches { 200 } else { 409 }, &self.report())
    }
}

/// Boots a worker and lets it work until its machine is gone.
pub async fn run(
    worker: Rc<Worker>,
    plan: Rc<Plan>,
    observer: Rc<Observer>,
    executor: Rc<Executor>,
) {
    Timer::after(plan.boot).await;
    let Ok(listener) = Async::<TcpListener>::bind(worker.addr) else {
        return eprintln!("no socket for {}", worker.id);
    };
    let handler: server::Handler = {
        let (worker, plan, observer) = (Rc::clone(&worker), Rc::clone(&plan), Rc::clone(&observer));
        Rc::new(move |incoming| -> Handled {
            let reply = worker.orders(&incoming, &plan, &observer);
            Box::pin(async move { reply })
        })
    };
    let serving = server::serve(Rc::clone(&executor), listener, 8, plan.lease, handler);
    let serving = executor.spawn(serving);
    worker.up.set(true);
    worker.inside.borrow_mut().renewed = Instant::now();
    let mut client = (
        worker.node.get(),
        HttpClient::new(plan.nodes[worker.node.get()].1, 1),
    );
    while !worker.ended.get() {
        if client.0 != worker.node.get() {
            client = (
                worker.node.get(),
                HttpClient::new(plan.nodes[worker.node.get()].1, 1),
            );
        }
        worker.pass_time(&plan, &observer);
        let sent = Instant::now();
        let report = worker.report();
        let session = report.incarnation.0;
        let body = serde_json::to_string(&report).unwrap_or_default();
        let answer = client
            .1
            .call(Method::Post, "/checkin", Some(body), ANSWER)
            .await;
        let wait = match &answer {
            Ok((status, body)) => {
                let answer = (*status, body.as_slice());
                worker.answer(sent, session, answer, &plan, &observer)
            }
            Err(_) => Some(worker.next_node(&plan)),
        };
        let wait = wait.unwrap_or_else(|| {
            let ends = worker.next_end().unwrap_or(plan.report);
            ends.clamp(BETWEEN, plan.report)
        });
        let _ = within(wait, worker.changed.1.recv()).await;
        Timer::at((sent + BETWEEN).min(Instant::now() + wait)).await;
    }
    serving.cancel().await;
}
