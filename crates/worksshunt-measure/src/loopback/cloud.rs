//! Stand-in of the cloud provider, over HTTP on the loopback interface. It owns the machines, which are workers in this
//! process, each with an address of its own; the controllers send it requests.

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

use super::observer::Observer;
use super::surroundings::Plan;
use super::worker::{self, Worker};
use super::{malformed, Handled, TASKS_PER_MACHINE};

/// Machines in one page of the list (protocol).
const PAGE: usize = 500;
/// The only machine type.
pub const MACHINE_TYPE: &str = "m4";

/// A machine that is provisioned.
pub struct Machine {
    /// Its worker.
    pub worker: Rc<Worker>,
    provisioned_at: Instant,
}

/// The cloud and its machines.
pub struct Cloud {
    plan: Rc<Plan>,
    executor: Rc<Executor>,
    observer: Rc<Observer>,
    /// How many machines were ever provisioned.
    provisioned: Cell<usize>,
    /// Machines that exist.
    pub machines: RefCell<BTreeMap<MachineId, Machine>>,
}

impl Cloud {
    /// A cloud that provisions at most as many machines as the plan says.
    pub fn new(plan: Rc<Plan>, executor: Rc<Executor>, observer: Rc<Observer>) -> Rc<Cloud> {
        Rc::new(Cloud {
            plan,
            executor,
            observer,
            provisioned: Cell::new(0),
            machines: RefCell::new(BTreeMap::new()),
        })
    }

    fn provision(&self, request: &ProvisionRequest) -> HttpResponse {
        let free = self
            .plan
            .machines
            .saturating_sub(self.machines.borrow().len());
        let count = free.min(request.machine_count as usize);
        if count == 0 {
            return HttpResponse::error(503, "no capacity");
        }
        let mut machines = Vec::new();
        for _ in 0..count {
            let number = self.provisioned.get();
            self.provisioned.set(number + 1);
            let id = MachineId(format!("i-{number:06}"));
            let worker = Worker::new(id.clone(), number, request);
            let machine = Machine {
                worker: Rc::clone(&worker),
                provisioned_at: Instant::now(),
            };
            self.machines.borrow_mut().insert(id.clone(), machine);
            let (plan, observer) = (Rc::clone(&self.plan), Rc::clone(&self.observer));
            let running = worker::run(worker, plan, observer, Rc::clone(&self.executor));
            self.executor.spawn(running).detach();
            machines.push(id);
        }
        HttpResponse::json(200, &MachineIds { ids: machines })
    }

    fn terminate(&self, request: &MachineIds) -> HttpResponse {
        for id in &request.ids {
            if let Some(machine) = self.machines.borrow_mut().remove(id) {
                machine.worker.terminate(&self.observer);
            }
        }
        HttpResponse::json(200, &())
    }

    fn list(&self, since: &str) -> HttpResponse {
        let all = self.machines.borrow();
        let listed = |(id, machine): (&MachineId, &Machine)| ListedMachine {
            id: id.clone(),
            machine_type: MACHINE_TYPE.into(),
            zone: machine.worker.zone.clone(),
            is_spot: machine.worker.spot,
            state: if machine.worker.is_booted() {
                ListedState::Running
            } else {
                ListedState::Starting
            },
            age_s: machine.provisioned_at.elapsed().as_secs_f64(),
        };
        let after = all.iter().filter(|(id, _)| id.0.as_str() > since);
        let mut machines: Vec<ListedMachine> = after.take(PAGE + 1).map(listed).collect();
        let more = machines.len() > PAGE;
        machines.truncate(PAGE);
        HttpResponse::json(
            200,
            &MachineList {
                machines,
                has_more: more,
            },
        )
    }

    /// Answers a request.
    pub fn handle(self: Rc<Self>, incoming: HttpRequest) -> Handled {
        Box::pin(async move {
            let body = incoming.body.as_deref().unwrap_or_default();
            match (incoming.method, incoming.path.as_str()) {
                (Method::Get, "/catalog") => HttpResponse::json(200, &catalog()),
                (Method::Get, "/machines") => {
                    self.list(incoming.query_value("Since").unwrap_or(""))
                }
                (Method::Post, "/machines") => match serde_json::from_slice(body) {
                    Ok(request) => self.provision(&request),
                    Err(_) => malformed(),
                },
                (Method::Post, "/machines/return") => match serde_json::from_slice(body) {
                    Ok(request) => self.terminate(&request),
                    Err(_) => malformed(),
                },
                _ => malformed(),
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
