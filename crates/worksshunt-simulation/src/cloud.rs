//! The simulated cloud: its rate limit, its machines and the responses to controllers' requests.

use std::collections::BTreeMap;

use worksshunt_core::constants::fleet::MACHINE_LIST_PAGE_SIZE;
use worksshunt_core::controller::{CloudResponse, Event};
use worksshunt_core::fleet::CloudRequest;
use worksshunt_core::time::Time;
use worksshunt_wire::cloud::{
    ListedMachine, ListedState, MachineIds, MachineList, ProvisionRequest,
};
use worksshunt_wire::MachineId;

use crate::events::{ControllerInstance, SimulationEvent};
use crate::fixtures::catalog;
use crate::links::Link;
use crate::worker::Worker;
use crate::Cluster;

/// State of the cloud except for the machines, which are in [`Cluster::workers`].
#[derive(Default)]
pub(crate) struct CloudRecords {
    /// Machines provisioned by each request, by request name: requests are idempotent.
    provisioned: BTreeMap<String, MachineIds>,
    machines_created: u64,
}

impl Cluster {
    pub(crate) fn cloud_request_arrives(
        &mut self,
        from: ControllerInstance,
        request: CloudRequest,
    ) {
        let response = self.cloud_response(&request);
        let arrives_at = self.arrival_time(Link::Other);
        self.deliver_at(arrives_at, from, Event::CloudResponse(request, response));
    }

    fn cloud_response(&mut self, request: &CloudRequest) -> CloudResponse {
        if self.faults.cloud.is_down || !self.cloud_rate_allows(request) {
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
        if request.is_spot && self.faults.cloud.has_no_spot_capacity {
            return CloudResponse::NoCapacity;
        }
        let available = self.capacity.saturating_sub(self.workers.len());
        let count = available.min(request.machine_count as usize);
        if count == 0 {
            return CloudResponse::NoCapacity;
        }
        let machines = (0..count)
            .map(|_| self.create_machine(&request.zone, request.is_spot, self.boot_ms))
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

    /// Returns whether the cloud's rate limit admits a request. Each page of a list counts as one call.
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
            self.usage.refused_requests += 1;
        }
        is_admitted
    }

    /// Returns the pages of the machine list, which omits machines provisioned less than `list_lag_ms` ago.
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
            Some(last_page) => last_page.has_more = false,
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
            is_spot: worker.is_spot,
            state: if self.now >= worker.booted_at {
                ListedState::Running
            } else {
                ListedState::Starting
            },
            age_s: (self.now - worker.provisioned_at) as f64 / 1_000.0,
        }
    }

    /// Creates a machine that takes `boot_ms` to boot.
    pub fn create_machine(&mut self, zone: &str, is_spot: bool, boot_ms: u64) -> MachineId {
        let id = MachineId(format!("i-{:06}", self.cloud.machines_created));
        self.cloud.machines_created += 1;
        let booted_at = (self.now + boot_ms).next_multiple_of(self.boot_granularity_ms);
        let worker = Worker::new(zone, is_spot, self.now, booted_at);
        self.workers.insert(id.clone(), worker);
        self.schedule_at(booted_at, SimulationEvent::WorkerStep(id.clone()));
        id
    }
}
