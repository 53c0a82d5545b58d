//! Fake of a worker that follows the protocol: heartbeats, fencing tokens, leases and direct commands. It runs on a
//! machine of the fake cloud; its tasks do no work.

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
use worksshunt_wire::{FencingToken, Incarnation, MachineId};

use super::cloud::MACHINE_TYPE;
use super::controllers::CONTROLLER_COUNT;
use super::environment::EnvironmentConfig;
use super::observer::TaskObserver;
use super::{malformed_request, ResponseFuture};

mod heartbeats;
mod tasks;

use tasks::Tasks;

/// Port of all workers; each worker has its own IP address.
const WORKER_PORT: u16 = 19_000;
/// Concurrent connections that a worker accepts.
const MAX_CONNECTIONS: usize = 8;
/// Number of values used for one byte of a worker's IP address.
const OCTET_VALUES: usize = 250;

/// State of a worker that the protocol changes.
struct WorkerState {
    incarnation: Incarnation,
    /// Sequence number of the last heartbeat in this incarnation.
    sequence: u64,
    /// Highest epoch of the commands and responses accepted so far.
    fencing_token: FencingToken,
    tasks: Tasks,
    /// Start of the lease: time at which the last answered heartbeat was sent.
    lease_renewed_at: Instant,
}

pub struct Worker {
    id: MachineId,
    address: SocketAddr,
    /// Zone of the machine.
    pub zone: String,
    /// Whether the machine is a spot instance.
    pub is_spot: bool,
    state: RefCell<WorkerState>,
    is_booted: Cell<bool>,
    is_terminated: Cell<bool>,
    /// Index of the controller to which heartbeats are sent.
    pub controller: Cell<usize>,
    /// Number of answered heartbeats.
    pub answered_heartbeats: Cell<u64>,
    /// Channel of requests for a heartbeat before the end of the interval; holds at most one.
    heartbeat_requests: (Sender<()>, Receiver<()>),
}

/// Address of the worker of a machine, by the machine's number.
fn worker_address(number: usize) -> SocketAddr {
    let octet = |n: usize| u8::try_from(n % OCTET_VALUES + 1).unwrap_or(1);
    let ip = [
        127,
        octet(number / (OCTET_VALUES * OCTET_VALUES)),
        octet(number / OCTET_VALUES),
        octet(number),
    ];
    (ip, WORKER_PORT).into()
}

impl Worker {
    /// Creates the worker of a machine, which does not run yet.
    pub fn new(id: MachineId, number: usize, request: &ProvisionRequest) -> Rc<Worker> {
        Rc::new(Worker {
            id,
            address: worker_address(number),
            zone: request.zone.clone(),
            is_spot: request.is_spot,
            state: RefCell::new(WorkerState {
                incarnation: Incarnation(1),
                sequence: 0,
                fencing_token: FencingToken(0),
                tasks: Tasks::default(),
                lease_renewed_at: Instant::now(),
            }),
            is_booted: Cell::new(false),
            is_terminated: Cell::new(false),
            controller: Cell::new(number % CONTROLLER_COUNT),
            answered_heartbeats: Cell::new(0),
            heartbeat_requests: async_channel::bounded(1),
        })
    }

    /// Whether the machine has booted.
    pub fn is_booted(&self) -> bool {
        self.is_booted.get()
    }

    /// Terminates the machine and all its tasks.
    pub fn terminate(&self, observer: &TaskObserver) {
        self.is_terminated.set(true);
        self.state.borrow_mut().tasks.remove_all(observer);
        self.request_heartbeat();
    }

    /// Requests a heartbeat before the end of the interval. A pending request is not repeated.
    fn request_heartbeat(&self) {
        let _ = self.heartbeat_requests.0.try_send(());
    }

    /// Creates the next heartbeat.
    fn next_heartbeat(&self) -> Heartbeat {
        let mut state = self.state.borrow_mut();
        state.sequence += 1;
        Heartbeat {
            tasks: state.tasks.statuses(),
            machine: self.id.clone(),
            command_address: self.address.to_string(),
            machine_type: MACHINE_TYPE.into(),
            zone: self.zone.clone(),
            is_spot: self.is_spot,
            incarnation: state.incarnation,
            sequence: state.sequence,
            fencing_token: state.fencing_token,
            reclaim_notice_s: None,
        }
    }

    /// Starts a new incarnation without tasks if the lease has expired, and completes tasks that are due.
    fn expire_lease_and_complete_tasks(&self, config: &EnvironmentConfig, observer: &TaskObserver) {
        let now = Instant::now();
        let mut state = self.state.borrow_mut();
        if now > state.lease_renewed_at + config.worker_lease {
            state.tasks.remove_all(observer);
            state.incarnation.0 += 1;
            state.sequence = 0;
            state.lease_renewed_at = now;
        }
        state.tasks.complete_due(now, observer);
    }

    /// Executes direct commands, unless they are for another incarnation or from an earlier epoch.
    fn handle_commands(
        &self,
        incoming: &HttpRequest,
        config: &EnvironmentConfig,
        observer: &TaskObserver,
    ) -> HttpResponse {
        let body = incoming.body.as_deref().unwrap_or_default();
        let Ok(batch) = serde_json::from_slice::<CommandBatch>(body) else {
            return malformed_request();
        };
        let is_accepted = {
            let state = self.state.borrow();
            batch.fencing_token >= state.fencing_token && batch.incarnation == state.incarnation
        };
        if is_accepted {
            let mut state = self.state.borrow_mut();
            state.fencing_token = batch.fencing_token;
            for command in &batch.commands {
                state.tasks.execute(command, config, observer);
            }
            self.request_heartbeat();
        }
        HttpResponse::json(if is_accepted { 200 } else { 409 }, &self.next_heartbeat())
    }
}

/// Boots the machine of a worker and runs the worker until the machine is terminated.
pub async fn run(
    worker: Rc<Worker>,
    config: Rc<EnvironmentConfig>,
    observer: Rc<TaskObserver>,
    executor: Rc<Executor>,
) {
    Timer::after(config.boot_time).await;
    let Ok(listener) = Async::<TcpListener>::bind(worker.address) else {
        return eprintln!(
            "worker {} cannot listen on {}; it does not start",
            worker.id, worker.address
        );
    };
    let handler: server::Handler = {
        let (worker, config, observer) =
            (Rc::clone(&worker), Rc::clone(&config), Rc::clone(&observer));
        Rc::new(move |incoming| -> ResponseFuture {
            let response = worker.handle_commands(&incoming, &config, &observer);
            Box::pin(async move { response })
        })
    };
    let idle_timeout = config.worker_lease;
    let serving = server::serve(
        Rc::clone(&executor),
        listener,
        MAX_CONNECTIONS,
        idle_timeout,
        handler,
    );
    let serving = executor.spawn(serving);
    worker.is_booted.set(true);
    worker.state.borrow_mut().lease_renewed_at = Instant::now();
    worker.send_heartbeats(&config, &observer).await;
    serving.cancel().await;
}
