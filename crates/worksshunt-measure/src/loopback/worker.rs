//! Stand-in of a worker, by the protocol: heartbeats, fencing tokens, leases and direct commands. It owns the worker's
//! tasks and what it knows of the controllers; the cloud creates it and runs it.

use std::cell::{Cell, RefCell};
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::time::Instant;

use async_channel::{Receiver, Sender};
use async_io::{Async, Timer};
use worksshunt_core::job_api::HttpResponse;
use worksshunt_net::server::{self, HttpRequest};
use worksshunt_net::Executor;
use worksshunt_wire::cloud::ProvisionRequest;
use worksshunt_wire::worker::{CommandBatch, Heartbeat};
use worksshunt_wire::{Epoch, Incarnation, MachineId};

use super::cloud::MACHINE_TYPE;
use super::controllers::CONTROLLERS;
use super::observer::Observer;
use super::surroundings::Plan;
use super::{malformed, Handled};

mod heartbeats;
mod tasks;

use tasks::Tasks;

/// Port of every worker; each has an address of its own.
const PORT: u16 = 19_000;
/// Connections that a worker accepts at once.
const MAX_CONNECTIONS: usize = 8;
/// Values of one byte of a worker's address.
const OCTET_VALUES: usize = 250;

/// What changes while a worker runs.
struct WorkerState {
    incarnation: Incarnation,
    /// Sequence number of the last heartbeat in this incarnation.
    sequence: u64,
    fencing_token: Epoch,
    tasks: Tasks,
    /// When the last heartbeat that was answered was sent.
    lease_renewed_at: Instant,
}

/// A worker.
pub struct Worker {
    id: MachineId,
    address: SocketAddr,
    /// Its machine's zone.
    pub zone: String,
    /// Whether its machine is a spot one.
    pub spot: bool,
    state: RefCell<WorkerState>,
    booted: Cell<bool>,
    terminated: Cell<bool>,
    /// Number of the controller that gets its heartbeats.
    pub controller: Cell<usize>,
    /// How many of its heartbeats were answered.
    pub answered_heartbeats: Cell<u64>,
    /// Asks for a heartbeat before the interval is over.
    wake: (Sender<()>, Receiver<()>),
}

/// The address of the worker with that number.
fn worker_address(number: usize) -> SocketAddr {
    let octet = |n: usize| u8::try_from(n % OCTET_VALUES + 1).unwrap_or(1);
    let ip = [
        127,
        octet(number / (OCTET_VALUES * OCTET_VALUES)),
        octet(number / OCTET_VALUES),
        octet(number),
    ];
    (ip, PORT).into()
}

impl Worker {
    /// The worker of the machine of that number.
    pub fn new(id: MachineId, number: usize, request: &ProvisionRequest) -> Rc<Worker> {
        Rc::new(Worker {
            id,
            address: worker_address(number),
            zone: request.zone.clone(),
            spot: request.is_spot,
            state: RefCell::new(WorkerState {
                incarnation: Incarnation(1),
                sequence: 0,
                fencing_token: Epoch(0),
                tasks: Tasks::default(),
                lease_renewed_at: Instant::now(),
            }),
            booted: Cell::new(false),
            terminated: Cell::new(false),
            controller: Cell::new(number % CONTROLLERS),
            answered_heartbeats: Cell::new(0),
            wake: async_channel::bounded(1),
        })
    }

    /// Whether its machine has booted.
    pub fn is_booted(&self) -> bool {
        self.booted.get()
    }

    /// Terminates its machine, and all tasks with it.
    pub fn terminate(&self, observer: &Observer) {
        self.terminated.set(true);
        self.state.borrow_mut().tasks.clear(observer);
        self.request_heartbeat();
    }

    /// Ends the wait for the next heartbeat. If one is requested already, the request is not repeated.
    fn request_heartbeat(&self) {
        let _ = self.wake.0.try_send(());
    }

    fn heartbeat(&self) -> Heartbeat {
        let mut state = self.state.borrow_mut();
        state.sequence += 1;
        Heartbeat {
            tasks: state.tasks.statuses(),
            machine: self.id.clone(),
            command_address: self.address.to_string(),
            machine_type: MACHINE_TYPE.into(),
            zone: self.zone.clone(),
            is_spot: self.spot,
            incarnation: state.incarnation,
            sequence: state.sequence,
            fencing_token: state.fencing_token,
            reclaim_notice_s: None,
        }
    }

    /// Lets a lease expire, which begins another incarnation, and tasks complete.
    fn advance(&self, plan: &Plan, observer: &Observer) {
        let now = Instant::now();
        let mut state = self.state.borrow_mut();
        if now > state.lease_renewed_at + plan.lease {
            state.tasks.clear(observer);
            state.incarnation.0 += 1;
            state.sequence = 0;
            state.lease_renewed_at = now;
        }
        state.tasks.complete_due(now, observer);
    }

    /// Executes direct commands if they are for this incarnation and not from an earlier epoch.
    fn handle_commands(
        &self,
        incoming: &HttpRequest,
        plan: &Plan,
        observer: &Observer,
    ) -> HttpResponse {
        let body = incoming.body.as_deref().unwrap_or_default();
        let Ok(batch) = serde_json::from_slice::<CommandBatch>(body) else {
            return malformed();
        };
        let is_accepted = {
            let state = self.state.borrow();
            batch.fencing_token >= state.fencing_token && batch.incarnation == state.incarnation
        };
        if is_accepted {
            let mut state = self.state.borrow_mut();
            state.fencing_token = batch.fencing_token;
            for command in &batch.commands {
                state.tasks.execute(command, plan, observer);
            }
            self.request_heartbeat();
        }
        HttpResponse::json(if is_accepted { 200 } else { 409 }, &self.heartbeat())
    }
}

/// Boots a worker and runs it until its machine is terminated.
pub async fn run(
    worker: Rc<Worker>,
    plan: Rc<Plan>,
    observer: Rc<Observer>,
    executor: Rc<Executor>,
) {
    Timer::after(plan.boot_time).await;
    let Ok(listener) = Async::<TcpListener>::bind(worker.address) else {
        return eprintln!("no socket for {}", worker.id);
    };
    let handler: server::Handler = {
        let (worker, plan, observer) = (Rc::clone(&worker), Rc::clone(&plan), Rc::clone(&observer));
        Rc::new(move |incoming| -> Handled {
            let response = worker.handle_commands(&incoming, &plan, &observer);
            Box::pin(async move { response })
        })
    };
    let lease = plan.lease;
    let serving = server::serve(
        Rc::clone(&executor),
        listener,
        MAX_CONNECTIONS,
        lease,
        handler,
    );
    let serving = executor.spawn(serving);
    worker.booted.set(true);
    worker.state.borrow_mut().lease_renewed_at = Instant::now();
    worker.send_heartbeats(&plan, &observer).await;
    serving.cancel().await;
}
