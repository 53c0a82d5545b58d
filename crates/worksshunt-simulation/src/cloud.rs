//! The cloud of the cluster: its rate, its machines and the responses to controllers' requests.

use std::collections::BTreeMap;

use worksshunt_core::constants::fleet::MACHINE_LIST_PAGE_SIZE;
use worksshunt_core::controller::{CloudResponse, Event};
use worksshunt_core::fleet::CloudRequest;
use worksshunt_core::time::Time;
use worksshunt_wire::cloud::{
    ListedMachine, ListedState, MachineIds, MachineList, ProvisionRequest,
};
use worksshunt_wire::MachineId;

use crate::events::{ControllerRun, SimulationEvent};
use crate::fixtures::catalog;
use crate::links::Link;
use crate::worker::Worker;
use crate::Cluster;

/// What the cloud remembers beside the machines themselves.
#[derive(Default)]
pub(crate) struct CloudRecords {
    /// Machines provisioned by each request, by its name; a repeated request gets the same ones.
    provisioned: BTreeMap<String, MachineIds>,
    machines_created: u64,
}

impl Cluster {
    pub(crate) fn cloud_request_arrives(&mut self, from: ControllerRun, request: CloudRequest) {
        let response = self.cloud_response(&request);
        let arrives_at = self.arrival_time(Link::Other);
        self.deliver_at(arrives_at, from, Event::CloudResponse(request, response));
    }

    fn cloud_response(&mut self, request: &CloudRequest) -> CloudResponse {
        if self.faults.cloud.down || !self.cloud_rate_allows(request) {
            return CloudResponse::Failed;
        }
        match request {
            CloudRequest::ReadCatalog => CloudResponse::Catalog(catalog(self.nominal_boot_s)),
            CloudRequest::ListMachines => CloudResponse::List(self.machine_list()),
            CloudRequest::Provision(request) => self.provision(request),
            CloudRequest::Release(released) => self.release_machines(released),
        }
    }

    fn provision(&mut self, request: &ProvisionRequest) -> CloudResponse {
        if let Some(provisioned) = self.cloud.provisioned.get(&request.request_name) {
            return CloudResponse::Machines(provisioned.clone());
        }
        if request.is_spot && self.faults.cloud.no_spot {
            return CloudResponse::NoCapacity;
        }
        let free = self.capacity.saturating_sub(self.workers.len());
        let count = free.min(request.machine_count as usize);
        if count == 0 {
            return CloudResponse::NoCapacity;
        }
        let machines = (0..count)
            .map(|_| self.machine(&request.zone, request.is_spot, self.boot_ms))
            .collect();
        let provisioned = MachineIds { ids: machines };
        self.cloud
            .provisioned
            .insert(request.request_name.clone(), provisioned.clone());
        CloudResponse::Machines(provisioned)
    }

    fn release_machines(&mut self, released: &MachineIds) -> CloudResponse {
        for id in &released.ids {
            if self.workers.remove(id).is_some() {
                self.released_machines.push(id.clone());
            }
        }
        CloudResponse::Machines(released.clone())
    }

    /// Whether the cloud's rate admits a request. A list is as many calls as it has pages.
    fn cloud_rate_allows(&mut self, request: &CloudRequest) -> bool {
        let calls = match request {
            CloudRequest::ListMachines => self.workers.len() / MACHINE_LIST_PAGE_SIZE + 1,
            _ => 1,
        };
        self.usage.cloud_calls += calls as u64;
        let Some(rate) = &mut self.cloud_rate else {
            return true;
        };
        let is_admitted = rate.available(Time(self.now)) >= calls;
        if is_admitted {
            rate.take(calls);
        } else {
            self.usage.refused += 1;
        }
        is_admitted
    }

    /// The pages of the list of machines. Machines are missing from it for a while after they were provisioned.
    fn machine_list(&self) -> Vec<MachineList> {
        let workers = self.workers.iter();
        let machines: Vec<ListedMachine> = workers
            .filter(|(_, worker)| self.now >= worker.provisioned_at + self.list_lag_ms)
            .map(|(id, worker)| self.listed_machine(id, worker))
            .collect();
        let page = |machines: &[ListedMachine]| MachineList {
            machines: machines.to_vec(),
            has_more: true,
        };
        let mut pages: Vec<MachineList> =
            machines.chunks(MACHINE_LIST_PAGE_SIZE).map(page).collect();
        match pages.last_mut() {
            Some(last) => last.has_more = false,
            None => pages.push(MachineList {
                machines: Vec::new(),
                has_more: false,
            }),
        }
        pages
    }

    fn listed_machine(&self, id: &MachineId, worker: &Worker) -> ListedMachine {
        ListedMachine {
            id: id.clone(),
            machine_type: "m4".into(),
            zone: worker.zone.clone(),
            is_spot: worker.spot,
            state: if self.now >= worker.up_at {
                ListedState::Running
            } else {
                ListedState::Starting
            },
            age_s: (self.now - worker.provisioned_at) as f64 / 1_000.0,
        }
    }

    /// Creates a machine that has booted after so long.
    pub fn machine(&mut self, zone: &str, spot: bool, boot_ms: u64) -> MachineId {
        let id = MachineId(format!("i-{:06}", self.cloud.machines_created));
        self.cloud.machines_created += 1;
        let up_at = (self.now + boot_ms).next_multiple_of(self.worker_step_ms);
        let worker = Worker::new(zone, spot, self.now, up_at);
        self.workers.insert(id.clone(), worker);
        self.schedule_at(up_at, SimulationEvent::WorkerStep(id.clone()));
        id
    }
}
