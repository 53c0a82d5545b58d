//! Scaling out and in: decides which machines to provision and which to release.
//!
//! [`Fleet`] holds the provisioned machines, the provision requests without a response and the offers that the cloud
//! refused. Only the leader has one. The leader updates it from the cloud's machine list, the cloud's responses and the
//! status of the partitions, and sends the requests that it plans.

mod capacity_supply;
mod instance_offer;
mod listing;
mod provision_plan;
mod scale_in;
mod scale_out;
mod tracked_machine;
mod tracking;

use std::collections::{BTreeMap, BTreeSet};

use worksshunt_wire::cloud::{Catalog, MachineIds, ProvisionRequest};
use worksshunt_wire::settings::{CloudLimits, Workers};
use worksshunt_wire::{Epoch, MachineId};

use crate::constants::fleet::FIRST_HEARTBEAT_TIMEOUT_INTERVALS;
use crate::constants::services::UNRESPONSIVE_RELEASE_INTERVAL_LEASES;
use crate::resources::Resources;
use crate::scheduler::{Demand, Forecast, MachineView};
use crate::time::Time;

use capacity_supply::{
    cpus_needed, reserve_capacity, supply_from_request, unserved_demand, MachineSupply,
};
pub use instance_offer::InstanceOffer;
use listing::Listings;
use provision_plan::ProvisionPlan;
use scale_out::PendingProvision;
use tracked_machine::{MachineStage, TrackedMachine};

/// A request to the cloud.
#[derive(Debug, Clone, PartialEq)]
pub enum CloudRequest {
    /// Provisions machines.
    Provision(ProvisionRequest),
    /// Releases machines.
    Release(MachineIds),
    /// Reads all pages of the machine list.
    ListMachines,
    /// Reads the catalog.
    ReadCatalog,
}

/// The leader's view of the provisioned machines.
#[derive(Debug)]
pub struct Fleet {
    epoch: Epoch,
    /// Number of provision requests created in this epoch. Their names contain it.
    provision_request_count: u64,
    machines: BTreeMap<MachineId, TrackedMachine>,
    /// Offers that the cloud refused, with the time from which each may be requested again.
    refused_until: BTreeMap<InstanceOffer, Time>,
    /// Provision requests without a response.
    pending_provisions: Vec<PendingProvision>,
    max_pending_provisions: usize,
    is_release_in_flight: bool,
    /// Terminated machines, with the time at which the termination was detected.
    terminated_at: BTreeMap<MachineId, Time>,
    listings: Listings,
    /// Earliest time to provision machines: those of the previous leader may not be listed before.
    provision_not_before: Time,
    /// Maximum lag of the cloud's machine list, milliseconds.
    list_lag_ms: u64,
    /// Earliest time to release the next unresponsive machine with replicas.
    unresponsive_release_not_before: Time,
    /// Minimum interval of such releases, milliseconds.
    unresponsive_release_interval_ms: u64,
    /// Milliseconds for which a running machine counts as future capacity without a heartbeat.
    first_heartbeat_timeout_ms: u64,
}

impl Fleet {
    /// Creates an empty fleet at the start of an epoch; `previous` is the epoch before, 0 if there was none. At most `max_pending_provisions` provision requests are pending
    /// at a time.
    pub fn new(
        epoch: Epoch,
        previous: Epoch,
        now: Time,
        cloud: &CloudLimits,
        workers: &Workers,
        max_pending_provisions: usize,
    ) -> Fleet {
        let list_lag_ms = (cloud.list_lag_s * 1_000.0) as u64;
        // The first epoch has no previous leader.
        let provision_delay_ms = match previous {
            Epoch(0) => 0,
            _ => list_lag_ms,
        };
        Fleet {
            epoch,
            provision_request_count: 0,
            machines: BTreeMap::new(),
            refused_until: BTreeMap::new(),
            pending_provisions: Vec::new(),
            max_pending_provisions,
            is_release_in_flight: false,
            terminated_at: BTreeMap::new(),
            listings: Listings::default(),
            provision_not_before: now + provision_delay_ms,
            list_lag_ms,
            unresponsive_release_not_before: Time::default(),
            unresponsive_release_interval_ms: (workers.lease_s
                * 1_000.0
                * UNRESPONSIVE_RELEASE_INTERVAL_LEASES)
                as u64,
            first_heartbeat_timeout_ms: (workers.heartbeat_interval_s
                * 1_000.0
                * FIRST_HEARTBEAT_TIMEOUT_INTERVALS) as u64,
        }
    }

    /// Epoch of the leader that owns the fleet.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Number of tracked machines. Terminated ones don't count.
    pub fn machine_count(&self) -> usize {
        self.machines.len()
    }

    /// Moves the fleet to the next epoch of the same leader, which knows all provisioned machines.
    pub fn into_next_epoch(mut self, epoch: Epoch) -> Fleet {
        self.epoch = epoch;
        self.provision_request_count = 0;
        // Responses may have been dropped between the epochs, so every request is sent again. Provision requests keep
        // their names, which makes them idempotent.
        for provision in &mut self.pending_provisions {
            provision.is_in_flight = false;
        }
        self.is_release_in_flight = false;
        self
    }

    /// Plans releases and provisioning. Returns the requests to send to the cloud.
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
        self.drain_unresponsive_machine(now, &forecast.unresponsive_machines);
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
            if tracing::enabled!(tracing::Level::DEBUG) {
                plan.log(self.refused_offers(now));
            }
            let provisions = self.next_provisions(plan);
            requests.extend(provisions.into_iter().map(CloudRequest::Provision));
        }
        requests
    }

    /// Free capacity of the machines that are schedulable, booting or requested.
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

    /// Machines that get no new tasks because they are to be released.
    pub fn draining_machines(&self) -> BTreeSet<MachineId> {
        self.machines
            .iter()
            .filter(|(_, tracked)| tracked.is_draining())
            .map(|(id, _)| id.clone())
            .collect()
    }

    /// Machines that the cloud has terminated, until they are forgotten.
    pub fn terminated_machines(&self) -> impl Iterator<Item = &MachineId> {
        self.terminated_at.keys()
    }
}

/// Total processors of the machines of a supply, by offer.
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
