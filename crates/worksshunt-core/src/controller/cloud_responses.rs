//! The cloud's responses, each to what the request was for.

use worksshunt_wire::cloud::{MachineIds, MachineList};

use crate::constants::fleet::MAX_MACHINES_PER_RELEASE_REQUEST;
use crate::fleet::CloudRequest;
use crate::time::Time;

use super::{CloudResponse, Controller};

impl Controller {
    pub(super) fn process_cloud_response(
        &mut self,
        now: Time,
        request: &CloudRequest,
        response: CloudResponse,
    ) {
        match request {
            CloudRequest::ReadCatalog => {
                let catalog = match response {
                    CloudResponse::Catalog(catalog) => Some(catalog),
                    _ => None,
                };
                self.cloud_catalog_answered(now, catalog);
            }
            CloudRequest::ListMachines => {
                let pages = match response {
                    CloudResponse::List(pages) => Some(pages),
                    _ => None,
                };
                self.machine_list_answered(now, pages);
            }
            CloudRequest::Provision(request) => {
                self.provision_answered(now, &request.request_name, response);
            }
            CloudRequest::Release(names) => {
                let released = matches!(response, CloudResponse::Machines(_)).then_some(names);
                self.release_answered(now, released);
            }
        }
    }

    fn machine_list_answered(&mut self, now: Time, pages: Option<Vec<MachineList>>) {
        self.leader_duties.machine_list_timer.is_in_flight = false;
        if let (Some(pages), Some(leader)) = (pages, &mut self.leader) {
            leader.fleet.apply_machine_list(now, &pages);
            leader
                .scheduler
                .set_draining(leader.fleet.draining_machines());
        }
    }

    fn provision_answered(&mut self, now: Time, request_name: &str, response: CloudResponse) {
        let Some(leader) = &mut self.leader else {
            return;
        };
        match response {
            CloudResponse::Machines(names) => {
                leader
                    .fleet
                    .apply_provision_response(now, request_name, &names);
                // One request may not have been enough.
                self.leader_duties.fleet_timer.next_at = now;
            }
            CloudResponse::NoCapacity => leader.fleet.apply_provision_refusal(now, request_name),
            _ => leader.fleet.retry_provision(request_name),
        }
    }

    /// The cloud has released these machines; none: it is not known to have.
    fn release_answered(&mut self, now: Time, released: Option<&MachineIds>) {
        let Some(leader) = &mut self.leader else {
            return;
        };
        leader.fleet.apply_release_response(now, released);
        leader
            .scheduler
            .set_draining(leader.fleet.draining_machines());
        let is_full_request =
            |names: &MachineIds| names.ids.len() >= MAX_MACHINES_PER_RELEASE_REQUEST;
        if released.is_some_and(is_full_request) {
            // More machines may wait to be released than one request takes.
            self.leader_duties.fleet_timer.next_at = now;
        }
    }
}
