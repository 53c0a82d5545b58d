//! Dispatch of the cloud's responses by request, and their processing.

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
                self.process_cloud_catalog(now, catalog);
            }
            CloudRequest::ListMachines => {
                let pages = match response {
                    CloudResponse::List(pages) => Some(pages),
                    _ => None,
                };
                self.process_machine_list(now, pages);
            }
            CloudRequest::Provision(request) => {
                self.process_provision_response(now, &request.request_name, response);
            }
            CloudRequest::Release(names) => {
                let released = matches!(response, CloudResponse::Machines(_)).then_some(names);
                self.process_release_response(now, released);
            }
        }
    }

    fn process_machine_list(&mut self, now: Time, pages: Option<Vec<MachineList>>) {
        self.leader_duties.machine_list_timer.is_in_flight = false;
        if let (Some(pages), Some(leader)) = (pages, &mut self.leader) {
            leader.fleet.apply_machine_list(now, &pages);
            leader
                .scheduler
                .set_draining(leader.fleet.draining_machines());
        }
    }

    fn process_provision_response(
        &mut self,
        now: Time,
        request_name: &str,
        response: CloudResponse,
    ) {
        let Some(leader) = &mut self.leader else {
            return;
        };
        match response {
            CloudResponse::Machines(names) => {
                leader
                    .fleet
                    .apply_provision_response(now, request_name, &names);
                // More machines may be needed than one request provisions.
                self.leader_duties.fleet_timer.next_at = now;
            }
            CloudResponse::NoCapacity => leader.fleet.apply_provision_refusal(now, request_name),
            _ => leader.fleet.retry_provision(request_name),
        }
    }

    /// Processes a release response. `released` is `None` if the outcome is unknown.
    fn process_release_response(&mut self, now: Time, released: Option<&MachineIds>) {
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
            // More machines may have to be released than one request can contain.
            self.leader_duties.fleet_timer.next_at = now;
        }
    }
}
