//! Stand-in of the cloud: the catalog, rentals, returns, the machine list, and machines that are taken back.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use serde_json::{json, Value};

use crate::http::{Handler, Request, Response};
use crate::worker::{Machine, MachineSpec, Site};

/// Machines of one zone and kind that the cloud can have rented out at a time.
pub type Capacity = BTreeMap<(String, bool), usize>;

struct Rented {
    spec: MachineSpec,
    rented_at: Instant,
    machine: Option<Arc<Machine>>,
}

struct Data {
    capacity: Capacity,
    machines: BTreeMap<String, Rented>,
    answers: BTreeMap<String, Value>,
    last_id: u32,
}

/// The cloud, which offers one machine type.
pub struct Cloud {
    site: Arc<Site>,
    spec: MachineSpec,
    zones: Vec<String>,
    boot: Duration,
    data: Mutex<Data>,
}

impl Cloud {
    /// A cloud without machines. `spec` gives the type's resources.
    pub fn new(
        site: Arc<Site>,
        spec: MachineSpec,
        zones: &[&str],
        boot: Duration,
        capacity: Capacity,
    ) -> Arc<Cloud> {
        Arc::new(Cloud {
            site,
            spec,
            zones: zones.iter().map(|zone| (*zone).to_owned()).collect(),
            boot,
            data: Mutex::new(Data {
                capacity,
                machines: BTreeMap::new(),
                answers: BTreeMap::new(),
                last_id: 230,
            }),
        })
    }

    /// Handler of the cloud's requests.
    pub fn handler(self: &Arc<Cloud>) -> Handler {
        let cloud = Arc::clone(self);
        Arc::new(move |request| Some(cloud.handle(&request)))
    }

    /// Rents a machine that is up at the start.
    pub fn add(self: &Arc<Cloud>, zone: &str, spot: bool) -> String {
        let id = self.rent_one(zone, spot);
        self.boot(&id);
        id
    }

    /// The machines that are up.
    pub fn machines(&self) -> Vec<Arc<Machine>> {
        let data = self.data.lock().expect("cloud");
        data.machines
            .values()
            .filter_map(|rented| rented.machine.clone())
            .collect()
    }

    /// Takes back a cheap machine without notice. Its capacity goes to other customers.
    pub fn take_back(&self, id: &str) {
        let mut data = self.data.lock().expect("cloud");
        let Some(rented) = data.machines.remove(id) else {
            return;
        };
        let offer = (rented.spec.zone.clone(), rented.spec.spot);
        if let Some(count) = data.capacity.get_mut(&offer) {
            *count = count.saturating_sub(1);
        }
        if let Some(machine) = rented.machine {
            machine.remove("taken back by the cloud");
        }
    }

    /// The cloud has one more machine of this zone and kind to give.
    pub fn add_capacity(&self, zone: &str, spot: bool) {
        let mut data = self.data.lock().expect("cloud");
        *data.capacity.entry((zone.to_owned(), spot)).or_default() += 1;
    }

    fn handle(self: &Arc<Cloud>, request: &Request) -> Response {
        match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/catalog") => (200, self.catalog()),
            ("GET", "/machines") => (200, self.list(request)),
            ("POST", "/machines") => self.rent(&request.json()),
            ("POST", "/machines/return") => self.give_back(&request.json()),
            _ => (400, json!({"error": "malformed"})),
        }
    }

    fn catalog(&self) -> Value {
        json!({"Modelos": [{
            "Name": self.spec.machine_type, "Cores": self.spec.cpus, "Gpus": 0.0,
            "RamGb": self.spec.memory_gb, "LocalGb": 70.0, "PullGbPerS": self.spec.fetch_gb_per_s,
            "Rate": 0.63, "LowPrice": 0.2, "ReadyS": 50.0, "Patios": self.zones,
        }]})
    }

    fn list(&self, request: &Request) -> Value {
        let since = request.query.get("Since").cloned().unwrap_or_default();
        let most = request.number("Most").unwrap_or(500).min(500) as usize;
        let data = self.data.lock().expect("cloud");
        let mut after = data.machines.iter().filter(|(id, _)| **id > since);
        let page: Vec<Value> = after
            .by_ref()
            .take(most)
            .map(|(id, rented)| {
                let machine = rented.machine.as_ref();
                json!({
                    "Ref": id, "Addr": machine.map(|machine| machine.address.to_string()),
                    "Modelo": rented.spec.machine_type, "Patio": rented.spec.zone,
                    "Prestados": rented.spec.spot,
                    "Estado": if machine.is_some() { "running" } else { "starting" },
                    "AgeS": rented.rented_at.elapsed().as_secs_f64(),
                })
            })
            .collect();
        json!({"Estibas": page, "More": after.next().is_some()})
    }

    fn rent_one(&self, zone: &str, spot: bool) -> String {
        let mut data = self.data.lock().expect("cloud");
        data.last_id += 1;
        let id = format!("i-{:06}", data.last_id);
        let mut spec = self.spec.clone();
        (spec.zone, spec.spot) = (zone.to_owned(), spot);
        let rented = Rented {
            spec,
            rented_at: Instant::now(),
            machine: None,
        };
        data.machines.insert(id.clone(), rented);
        id
    }

    fn boot(&self, id: &str) {
        let mut data = self.data.lock().expect("cloud");
        if let Some(rented) = data.machines.get_mut(id) {
            let site = Arc::clone(&self.site);
            rented.machine = Some(Machine::start(id.to_owned(), rented.spec.clone(), site));
        }
    }

    fn rent(self: &Arc<Cloud>, body: &Value) -> Response {
        let (Some(name), Some(zone), Some(spot), Some(number)) = (
            body["Pedido"].as_str(),
            body["Patio"].as_str(),
            body["Prestados"].as_bool(),
            body["Number"].as_u64(),
        ) else {
            return (400, json!({"error": "malformed"}));
        };
        let available = {
            let data = self.data.lock().expect("cloud");
            if let Some(answer) = data.answers.get(name) {
                return (200, answer.clone());
            }
            let rented = data.machines.values();
            let rented =
                rented.filter(|rented| rented.spec.zone == zone && rented.spec.spot == spot);
            let capacity = data
                .capacity
                .get(&(zone.to_owned(), spot))
                .copied()
                .unwrap_or(0);
            capacity.saturating_sub(rented.count())
        };
        let granted = available.min(number.min(50) as usize);
        self.site
            .record
            .line(format!("cloud rental {body} granted={granted}"));
        if granted == 0 {
            return (503, json!({"error": "no capacity"}));
        }
        let ids: Vec<String> = (0..granted).map(|_| self.rent_one(zone, spot)).collect();
        for id in ids.clone() {
            let cloud = Arc::clone(self);
            std::thread::spawn(move || {
                std::thread::sleep(cloud.boot);
                cloud.boot(&id);
            });
        }
        let answer = json!({"Estibas": ids});
        let mut data = self.data.lock().expect("cloud");
        data.answers.insert(name.to_owned(), answer.clone());
        (200, answer)
    }

    fn give_back(&self, body: &Value) -> Response {
        let Some(ids) = body["Estibas"].as_array() else {
            return (400, json!({"error": "malformed"}));
        };
        self.site.record.line(format!("cloud return {body}"));
        let mut data = self.data.lock().expect("cloud");
        for id in ids.iter().filter_map(Value::as_str) {
            if let Some(machine) = data.machines.remove(id).and_then(|rented| rented.machine) {
                machine.remove("returned");
            }
        }
        (200, json!({}))
    }
}
