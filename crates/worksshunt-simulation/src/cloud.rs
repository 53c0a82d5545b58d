//! The cloud of the cluster.

use std::collections::BTreeMap;

use worksshunt_core::constants::CLOUD_PAGE;
use worksshunt_core::controller::CloudReply;
use worksshunt_core::fleet::CloudRequest;
use worksshunt_wire::cloud::{ListedMachine, ListedState, MachineList, MachineNames};
use worksshunt_wire::{Epoch, MachineId};

use super::*;

impl Cluster {
    pub(super) fn cloud(&mut self, request: &CloudRequest) -> CloudReply {
        if self.trouble.cloud_down || !self.cloud_admits(request) {
            return CloudReply::NoAnswer;
        }
        match request {
            CloudRequest::ReadCatalog => CloudReply::Catalog(catalog(self.ready_s)),
            CloudRequest::ListMachines => CloudReply::List(self.machine_list()),
            CloudRequest::Provision(rent) => {
                if let Some(names) = self.rentals.get(&rent.request) {
                    return CloudReply::Machines(names.clone());
                }
                if rent.spot && self.trouble.no_spot {
                    return CloudReply::NoCapacity;
                }
                let free = self.capacity.saturating_sub(self.workers.len());
                let count = free.min(rent.count as usize);
                if count == 0 {
                    return CloudReply::NoCapacity;
                }
                let machines = (0..count)
                    .map(|_| self.machine(&rent.zone, rent.spot, self.boot_ms))
                    .collect();
                let names = MachineNames { machines };
                self.rentals.insert(rent.request.clone(), names.clone());
                CloudReply::Machines(names)
            }
            CloudRequest::Release(names) => {
                for id in &names.machines {
                    if self.workers.remove(id).is_some() {
                        self.returned.push(id.clone());
                    }
                }
                CloudReply::Machines(names.clone())
            }
        }
    }

    /// Whether the cloud's rate admits a request. A list is as many calls as it has pages.
    fn cloud_admits(&mut self, request: &CloudRequest) -> bool {
        let calls = match request {
            CloudRequest::ListMachines => self.workers.len() / CLOUD_PAGE + 1,
            _ => 1,
        };
        self.meter.cloud_calls += calls as u64;
        let Some(rate) = &mut self.cloud_rate else {
            return true;
        };
        let admitted = rate.available(Time(self.now)) >= calls;
        if admitted {
            rate.take(calls);
        } else {
            self.meter.refused += 1;
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
            .chunks(CLOUD_PAGE)
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
                session: 1,
                seq: 0,
                token: Epoch(0),
                tasks: BTreeMap::new(),
                node: 0,
                last_answered: up_at,
                reporting: None,
                next_report: up_at,
                hung: false,
                up_at,
                rented_at: self.now,
            },
        );
        self.at(up_at, Happening::Worker(id.clone()));
        id
    }
}
