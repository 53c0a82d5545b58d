//! The cloud of the cluster.

use std::collections::BTreeMap;

use worksshunt_core::constants::fleet::MACHINE_LIST_PAGE;
use worksshunt_core::controller::CloudResponse;
use worksshunt_core::fleet::CloudRequest;
use worksshunt_wire::cloud::{ListedMachine, ListedState, MachineIds, MachineList};
use worksshunt_wire::{Epoch, MachineId};

use super::*;

impl Cluster {
    pub(super) fn cloud_request(&mut self, request: &CloudRequest) -> CloudResponse {
        if self.faults.cloud_down || !self.cloud_rate_allows(request) {
            return CloudResponse::NoAnswer;
        }
        match request {
            CloudRequest::ReadCatalog => CloudResponse::Catalog(catalog(self.nominal_boot_s)),
            CloudRequest::ListMachines => CloudResponse::List(self.machine_list()),
            CloudRequest::Provision(rent) => {
                if let Some(names) = self.provisioned.get(&rent.request_name) {
                    return CloudResponse::Machines(names.clone());
                }
                if rent.spot && self.faults.no_spot {
                    return CloudResponse::NoCapacity;
                }
                let free = self.capacity.saturating_sub(self.workers.len());
                let count = free.min(rent.count as usize);
                if count == 0 {
                    return CloudResponse::NoCapacity;
                }
                let machines = (0..count)
                    .map(|_| self.machine(&rent.zone, rent.spot, self.boot_ms))
                    .collect();
                let names = MachineIds { machines };
                self.provisioned
                    .insert(rent.request_name.clone(), names.clone());
                CloudResponse::Machines(names)
            }
            CloudRequest::Release(names) => {
                for id in &names.machines {
                    if self.workers.remove(id).is_some() {
                        self.released_machines.push(id.clone());
                    }
                }
                CloudResponse::Machines(names.clone())
            }
        }
    }

    /// Whether the cloud's rate admits a request. A list is as many calls as it has pages.
    fn cloud_rate_allows(&mut self, request: &CloudRequest) -> bool {
        let calls = match request {
            CloudRequest::ListMachines => self.workers.len() / MACHINE_LIST_PAGE + 1,
            _ => 1,
        };
        self.usage.cloud_calls += calls as u64;
        let Some(rate) = &mut self.cloud_rate else {
            return true;
        };
        let admitted = rate.available(Time(self.now)) >= calls;
        if admitted {
            rate.take(calls);
        } else {
            self.usage.refused += 1;
        }
        admitted
    }

    fn machine_list(&self) -> Vec<MachineList> {
        let listed =
            |(_, worker): &(&MachineId, &Worker)| self.now >= worker.rented_at + self.list_lag_ms;
        let machines = self.workers.iter().filter(listed);
        let machines: Vec<ListedMachine> = machines
            .map(|(id, worker)| ListedMachine {
                id: id.clone(),
                machine_type: "m4".into(),
                zone: worker.zone.clone(),
                spot: worker.spot,
                state: if self.now >= worker.up_at {
                    ListedState::Running
                } else {
                    ListedState::Starting
                },
                age_s: (self.now - worker.rented_at) as f64 / 1_000.0,
            })
            .collect();
        let mut pages: Vec<MachineList> = machines
            .chunks(MACHINE_LIST_PAGE)
            .map(|page| MachineList {
                machines: page.to_vec(),
                more: true,
            })
            .collect();
        match pages.last_mut() {
            Some(last) => last.more = false,
            None => pages.push(MachineList {
                machines: Vec::new(),
                more: false,
            }),
        }
        pages
    }

    /// Makes a machine that is up after so long.
    pub fn machine(&mut self, zone: &str, spot: bool, boot_ms: u64) -> MachineId {
        let id = MachineId(format!("i-{:06}", self.machines_made));
        self.machines_made += 1;
        let up_at = (self.now + boot_ms).next_multiple_of(self.worker_step_ms);
        self.workers.insert(
            id.clone(),
            Worker {
                zone: zone.to_owned(),
                spot,
                incarnation: 1,
                sequence: 0,
                fencing_token: Epoch(0),
                tasks: BTreeMap::new(),
                controller: 0,
                last_answered_at: up_at,
                heartbeat_in_flight: None,
                next_heartbeat_at: up_at,
                hung: false,
                up_at,
                rented_at: self.now,
            },
        );
        self.schedule_at(up_at, SimulationEvent::WorkerStep(id.clone()));
        id
    }
}
