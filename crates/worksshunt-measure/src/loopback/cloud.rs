//! Stand-in of the cloud: machines that are workers in this process, each with an address of its own.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Instant;

use http_types::Method;
use serde_json::json;
use worksshunt_core::job_api::HttpResponse;
use worksshunt_net::server::HttpRequest;
use worksshunt_net::Executor;
use worksshunt_wire::cloud::{
    ListedMachine, ListedState, MachineIds, MachineList, ProvisionRequest,
};
use worksshunt_wire::MachineId;

use super::observer::Observer;
use super::worker::{self, Worker};
use super::{malformed, query, Handled, Plan, TASKS_EACH};

/// Machines in one page of the list (protocol).
const PAGE: usize = 500;

/// The cloud and its machines.
pub struct Cloud {
    plan: Rc<Plan>,
    executor: Rc<Executor>,
    observer: Rc<Observer>,
    made: Cell<usize>,
    /// Machines that are there, with their workers and the moment of their rental.
    pub machines: RefCell<BTreeMap<MachineId, (Rc<Worker>, Instant)>>,
}

impl Cloud {
    /// A cloud with as many machines as the plan says.
    pub fn new(plan: Rc<Plan>, executor: Rc<Executor>, observer: Rc<Observer>) -> Rc<Cloud> {
        Rc::new(Cloud {
            plan,
            executor,
            observer,
            made: Cell::new(0),
            machines: RefCell::new(BTreeMap::new()),
        })
    }

    fn rent(&self, request: &ProvisionRequest) -> HttpResponse {
        let free = self
            .plan
            .machines
            .saturating_sub(self.machines.borrow().len());
        let count = free.min(request.count as usize);
        if count == 0 {
            return HttpResponse::error(503, "no capacity");
        }
        let mut machines = Vec::new();
        for _ in 0..count {
            let number = self.made.get();
            self.made.set(number + 1);
            let id = MachineId(format!("i-{number:06}"));
            let worker = Worker::new(id.clone(), number, request);
            self.machines
                .borrow_mut()
                .insert(id.clone(), (Rc::clone(&worker), Instant::now()));
            let (plan, observer) = (Rc::clone(&self.plan), Rc::clone(&self.observer));
            let running = worker::run(worker, plan, observer, Rc::clone(&self.executor));
            self.executor.spawn(running).detach();
            machines.push(id);
        }
        HttpResponse::json(200, &MachineIds { machines })
    }

    fn give_back(&self, names: &MachineIds) -> HttpResponse {
        for id in &names.machines {
            if let Some((worker, _)) = self.machines.borrow_mut().remove(id) {
                worker.end(&self.observer);
            }
        }
        HttpResponse::json(200, &())
    }

    fn list(&self, since: &str) -> HttpResponse {
        let all = self.machines.borrow();
        let listed = |(id, (worker, rented)): (&MachineId, &(Rc<Worker>, Instant))| ListedMachine {
            id: id.clone(),
            machine_type: "m4".into(),
            zone: worker.zone.clone(),
            spot: worker.spot,
            state: match worker.is_up() {
                true => ListedState::Running,
                false => ListedState::Starting,
            },
            age_s: rented.elapsed().as_secs_f64(),
        };
        let after = all.iter().filter(|(id, _)| id.0.as_str() > since);
        let mut machines: Vec<ListedMachine> = after.take(PAGE + 1).map(listed).collect();
        let more = machines.len() > PAGE;
        machines.truncate(PAGE);
        HttpResponse::json(200, &MachineList { machines, more })
    }

    /// Answers a request.
    pub fn handle(self: Rc<Self>, incoming: HttpRequest) -> Handled {
        Box::pin(async move {
            let body = incoming.body.as_deref().unwrap_or_default();
            match (incoming.method, incoming.path.as_str()) {
                (Method::Get, "/catalog") => HttpResponse::json(
                    200,
                    &json!({"Modelos": [{"Name": "m4", "Cores": TASKS_EACH, "Gpus": 0, "RamGb": 16,
                        "Rate": 1.0, "LowPrice": 0.4, "ReadyS": 25.0, "PullGbPerS": 1.0,
                        "Patios": ["a", "b"]}]}),
                ),
                (Method::Get, "/machines") => self.list(query(&incoming, "Since").unwrap_or("")),
                (Method::Post, "/machines") => match serde_json::from_slice(body) {
                    Ok(request) => self.rent(&request),
                    Err(_) => malformed(),
                },
                (Method::Post, "/machines/return") => match serde_json::from_slice(body) {
                    Ok(names) => self.give_back(&names),
                    Err(_) => malformed(),
                },
                _ => malformed(),
            }
        })
    }
}
