//! Scaling the fleet out and in: which machines to provision and which to release.
//!
//! [`Fleet`] owns the leader's view of the provisioned machines, the provision requests without a response
//! and the offers that the cloud has refused. Only the leader has one. It feeds the fleet with the cloud's
//! machine list and responses and with what the partitions report, and sends the requests it plans.

mod capacity_supply;
mod instance_offer;
mod listing;
mod scale_in;
mod scale_out;
mod tracked_machine;
mod tracking;

use std::collections::{BTreeMap, BTreeSet};

use worksshunt_wire::cloud::{Catalog, MachineIds, ProvisionRequest};
use worksshunt_wire::settings::{CloudLimits, Workers};
use worksshunt_wire::{Epoch, MachineId};

use crate::constants::fleet::FIRST_HEARTBEAT_TIMEOUT_INTERVALS;
use crate::constants::services::SILENT_RELEASE_INTERVAL_LEASES;
use crate::resources::Resources;
use crate::scheduler::{Demand, Forecast, MachineView};
use crate::time::Time;

use capacity_supply::{
    cpus_needed, reserve_capacity, supply_from_request, unserved_demand, MachineSupply,
};
pub use instance_offer::InstanceOffer;
use listing::Listings;
use scale_out::{PendingProvision, ProvisionPlan};
use tracked_machine::{MachineStage, TrackedMachine};

/// A request to the cloud.
#[derive(Debug, Clone, PartialEq)]
pub enum CloudRequest {
    /// Provision machines.
    Provision(ProvisionRequest),
    /// Release machines.
    Release(MachineIds),
    /// Read the whole machine list.
    ListMachines,
    /// Read the catalogue.
    ReadCatalog,
}

/// The leader's view of the provisioned machines.
#[derive(Debug)]
pub struct Fleet {
    epoch: Epoch,
    /// Provision requests made in this epoch, the last of which has this number in its name.
    provision_requests: u64,
    machines: BTreeMap<MachineId, TrackedMachine>,
    /// Offers that the cloud has refused, each with the time from which on it may be requested again.
    refused_until: BTreeMap<InstanceOffer, Time>,
    /// Provision requests without a response.
    pending_provisions: Vec<PendingProvision>,
    max_pending_provisions: usize,
    release_in_flight: bool,
    /// Machines known to be terminated, and since when.
    terminated: BTreeMap<MachineId, Time>,
    listings: Listings,
    /// No machine is provisioned earlier: those of a former leader may not be listed yet.
    provision_not_before: Time,
    /// Milliseconds by which the cloud's machine list may lag.
    list_lag_ms: u64,
    /// No silent machine with replicas is released earlier.
    silent_release_not_before: Time,
    /// Minimum milliseconds between two such releases.
    silent_release_interval_ms: u64,
    /// Milliseconds for which a running machine counts as future capacity without a heartbeat.
    first_heartbeat_timeout_ms: u64,
}

impl Fleet {
    /// An empty fleet at the start of an epoch, with at most so many provision requests in flight.
    pub fn new(
        epoch: Epoch,
        now: Time,
        cloud: &CloudLimits,
        workers: &Workers,
        max_pending_provisions: usize,
    ) -> Fleet {
        let list_lag_ms = (cloud.list_lag_s * 1_000.0) as u64;
        // The first epoch has no former leader.
        let provision_delay_ms = if epoch.0 <= 1 { 0 } else { list_lag_ms };
        Fleet {
            epoch,
            provision_requests: 0,
            machines: BTreeMap::new(),
            refused_until: BTreeMap::new(),
            pending_provisions: Vec::new(),
            max_pending_provisions,
            release_in_flight: false,
            terminated: BTreeMap::new(),
            listings: Listings::default(),
            provision_not_before: now + provision_delay_ms,
            list_lag_ms,
            silent_release_not_before: Time::default(),
            silent_release_interval_ms: (workers.lease_s * 1_000.0 * SILENT_RELEASE_INTERVAL_LEASES)
                as u64,
            first_heartbeat_timeout_ms: (workers.heartbeat_interval_s
                * 1_000.0
                * FIRST_HEARTBEAT_TIMEOUT_INTERVALS) as u64,
        }
    }

    /// The epoch that it belongs to.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Number of machines it tracks.
    pub fn machine_count(&self) -> usize {
        self.machines.len()
    }

    /// Continues in the next epoch under the same leader, which knows all machines that were provisioned.
    pub fn into_next_epoch(mut self, epoch: Epoch) -> Fleet {
        self.epoch = epoch;
        self.provision_requests = 0;
        // Responses may have come while there was no leader: all requests are repeated, those to provision
        // under their names.
        for provision in &mut self.pending_provisions {
            provision.in_flight = false;
        }
        self.release_in_flight = false;
        self
    }

    /// Plans which machines to release and which to provision. Returns the requests to send to the cloud.
    pub fn plan_requests<'a>(
        &mut self,
        now: Time,
        catalog: &Catalog,
        machines: impl Iterator<Item = &'a MachineView>,
        demand: &[Demand],
        forecast: &Forecast,
    ) -> Vec<CloudRequest> {
        let machines: Vec<&MachineView> = machines.collect();
        let mut supply = self.supply(now, catalog, &machines);
        let supplied_cpus = cpus_by_offer(&supply, catalog);
        let mut unserved = unserved_demand(&mut supply, demand);
        let reservation = reserve_capacity(&mut supply, forecast, catalog);
        unserved.extend(reservation.unserved);
        self.drain_silent_machine(now, &forecast.silent_machines);
        let release = self.next_release(now, catalog, &machines, &reservation.idle_machines);
        let mut requests: Vec<CloudRequest> =
            release.map(CloudRequest::Release).into_iter().collect();
        if now >= self.provision_not_before {
            let plan = ProvisionPlan {
                now,
                catalog,
                cpus_needed: cpus_needed(demand),
                supplied_cpus,
                unserved,
            };
            let provisions = self.next_provisions(plan);
            requests.extend(provisions.into_iter().map(CloudRequest::Provision));
        }
        requests
    }

    /// Free capacity of the machines that are schedulable, boot, or have been requested.
    fn supply(
        &self,
        now: Time,
        catalog: &Catalog,
        machines: &[&MachineView],
    ) -> Vec<MachineSupply> {
        let schedulable = machines
            .iter()
            .filter(|view| view.status.is_schedulable)
            .map(|view| MachineSupply {
                offer: InstanceOffer::from(&view.status),
                free: view.free,
                idle_machine: view.idle_since.map(|_| view.status.id.clone()),
            });
        let booting = self
            .machines
            .values()
            .filter(|tracked| tracked.is_expected_to_boot(now, self.first_heartbeat_timeout_ms))
            .filter_map(|tracked| {
                let machine_type = catalog.machine_type(&tracked.offer.machine_type)?;
                Some(MachineSupply {
                    offer: tracked.offer.clone(),
                    free: Resources::of_machine_type(machine_type),
                    idle_machine: None,
                })
            });
        let pending = self.pending_provisions.iter();
        let requested = pending.flat_map(|pending| supply_from_request(&pending.request, catalog));
        schedulable.chain(booting).chain(requested).collect()
    }

    /// Machines that get no new tasks.
    pub fn draining_machines(&self) -> BTreeSet<MachineId> {
        self.machines
            .iter()
            .filter(|(_, tracked)| tracked.is_draining())
            .map(|(id, _)| id.clone())
            .collect()
    }

    /// Machines known to be terminated.
    pub fn terminated_machines(&self) -> impl Iterator<Item = &MachineId> {
        self.terminated.keys()
    }
}

/// Processors of the machines of a supply, free or not, by offer.
fn cpus_by_offer(supply: &[MachineSupply], catalog: &Catalog) -> BTreeMap<InstanceOffer, f64> {
    let mut cpus_by_offer: BTreeMap<InstanceOffer, f64> = BTreeMap::new();
    for MachineSupply { offer, .. } in supply {
        let machine_type = catalog.machine_type(&offer.machine_type);
        let cpus = machine_type.map_or(0.0, |machine_type| machine_type.cpus);
        *cpus_by_offer.entry(offer.clone()).or_default() += cpus;
    }
    cpus_by_offer
}

#[cfg(test)]
mod tests;
