//! Fake of the cloud provider with an HTTP interface for the controllers. Its machines are workers in this process,
//! each with its own address.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Instant;

use http_types::Method;
use serde_json::{json, Value};
use worksshunt_core::job_api::HttpResponse;
use worksshunt_net::server::HttpRequest;
use worksshunt_net::Executor;
use worksshunt_wire::cloud::{
    ListedMachine, ListedState, MachineIds, MachineList, ProvisionRequest,
};
use worksshunt_wire::MachineId;

use super::environment::EnvironmentConfig;
use super::observer::TaskObserver;
use super::worker::{self, Worker};
use super::{malformed_request, ResponseFuture, TASKS_PER_MACHINE};

/// Maximum number of machines in a page of the machine list (protocol).
const MACHINE_LIST_PAGE_SIZE: usize = 500;
/// Name of the only machine type.
pub const MACHINE_TYPE: &str = "m4";

pub struct Machine {
    pub worker: Rc<Worker>,
    provisioned_at: Instant,
}

/// Fake cloud and its machines.
pub struct Cloud {
    config: Rc<EnvironmentConfig>,
    executor: Rc<Executor>,
    observer: Rc<TaskObserver>,
    /// Number of machines provisioned so far, including terminated ones.
    provisioned_count: Cell<usize>,
    /// Machines that are not terminated.
    pub machines: RefCell<BTreeMap<MachineId, Machine>>,
}

impl Cloud {
    /// Creates a cloud without machines.
    pub fn new(
        config: Rc<EnvironmentConfig>,
        executor: Rc<Executor>,
        observer: Rc<TaskObserver>,
    ) -> Rc<Cloud> {
        Rc::new(Cloud {
            config,
            executor,
            observer,
            provisioned_count: Cell::new(0),
            machines: RefCell::new(BTreeMap::new()),
        })
    }

    /// Provisions the requested machines as far as the maximum allows, and starts their workers.
    fn provision(&self, request: &ProvisionRequest) -> HttpResponse {
        let available = self
            .config
            .max_machines
            .saturating_sub(self.machines.borrow().len());
        let count = available.min(request.machine_count as usize);
        if count == 0 {
            return HttpResponse::error(503, "no capacity");
        }
        let mut ids = Vec::new();
        for _ in 0..count {
            let number = self.provisioned_count.get();
            self.provisioned_count.set(number + 1);
            let id = MachineId(format!("i-{number:06}"));
            let worker = Worker::new(id.clone(), number, request);
            let machine = Machine {
                worker: Rc::clone(&worker),
                provisioned_at: Instant::now(),
            };
            self.machines.borrow_mut().insert(id.clone(), machine);
            let (config, observer) = (Rc::clone(&self.config), Rc::clone(&self.observer));
            let worker_run = worker::run(worker, config, observer, Rc::clone(&self.executor));
            self.executor.spawn(worker_run).detach();
            ids.push(id);
        }
        HttpResponse::json(200, &MachineIds { ids })
    }

    fn terminate(&self, request: &MachineIds) -> HttpResponse {
        for id in &request.ids {
            if let Some(machine) = self.machines.borrow_mut().remove(id) {
                machine.worker.terminate(&self.observer);
            }
        }
        HttpResponse::json(200, &())
    }

    /// One page of the machine list, with the machines whose ids follow `since`.
    fn list(&self, since: &str) -> HttpResponse {
        let all_machines = self.machines.borrow();
        let listed = |(id, machine): (&MachineId, &Machine)| ListedMachine {
            id: id.clone(),
            machine_type: MACHINE_TYPE.into(),
            zone: machine.worker.zone.clone(),
            is_spot: machine.worker.is_spot,
            state: if machine.worker.is_booted() {
                ListedState::Running
            } else {
                ListedState::Starting
            },
            age_s: machine.provisioned_at.elapsed().as_secs_f64(),
        };
        let following = all_machines.iter().filter(|(id, _)| id.0.as_str() > since);
        let mut machines: Vec<ListedMachine> = following
            .take(MACHINE_LIST_PAGE_SIZE + 1)
            .map(listed)
            .collect();
        let has_more = machines.len() > MACHINE_LIST_PAGE_SIZE;
        machines.truncate(MACHINE_LIST_PAGE_SIZE);
        HttpResponse::json(200, &MachineList { machines, has_more })
    }

    /// Handles a request of a controller.
    pub fn handle(self: Rc<Self>, incoming: HttpRequest) -> ResponseFuture {
        Box::pin(async move {
            let body = incoming.body.as_deref().unwrap_or_default();
            match (incoming.method, incoming.path.as_str()) {
                (Method::Get, "/catalog") => HttpResponse::json(200, &catalog()),
                (Method::Get, "/machines") => {
                    self.list(incoming.query_value("Since").unwrap_or(""))
                }
                (Method::Post, "/machines") => match serde_json::from_slice(body) {
                    Ok(request) => self.provision(&request),
                    Err(_) => malformed_request(),
                },
                (Method::Post, "/machines/return") => match serde_json::from_slice(body) {
                    Ok(request) => self.terminate(&request),
                    Err(_) => malformed_request(),
                },
                _ => malformed_request(),
            }
        })
    }
}

fn catalog() -> Value {
    json!({"Modelos": [{
        "Name": MACHINE_TYPE, "Cores": TASKS_PER_MACHINE, "Gpus": 0, "RamGb": 16, "Rate": 1.0,
        "LowPrice": 0.4, "ReadyS": 25.0, "PullGbPerS": 1.0, "Patios": ["a", "b"],
    }]})
}
