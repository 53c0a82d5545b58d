//! Renting and returning machines. Only the leader does this.

mod capacity_supply;
mod instance_offer;
mod listing;
mod scale_out;

use std::collections::{BTreeMap, BTreeSet};

use worksshunt_wire::cloud::{Catalog, ListedState, MachineIds, MachineList, ProvisionRequest};
use worksshunt_wire::settings::{CloudLimits, Workers};
use worksshunt_wire::{Epoch, MachineId};

use crate::constants::fleet::{
    BOOT_TIMEOUT_EXTRA_S, BOOT_TIMEOUT_FACTOR, IDLE_RELEASE_BOOT_TIMES,
    MAX_MACHINES_PER_RELEASE_REQUEST, MIN_IDLE_RELEASE_MS, UNHEARD_HEARTBEAT_INTERVALS,
};
use crate::constants::services::SILENT_RELEASE_INTERVAL_LEASES;
use crate::resources::Resources;
use crate::scheduler::{Demand, Forecast, MachineView};
use crate::time::Time;

use capacity_supply::{
    reserved_capacity, spare_capacity, supply_from_request, unserved_demand, MachineSupply,
};
pub use instance_offer::InstanceOffer;
use listing::Listings;
use scale_out::PendingProvision;

/// Where a rented machine stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum MachineStage {
    /// Rented, its worker not heard of.
    Booting,
    /// Its worker reports to some part.
    Up,
    /// Takes no new tasks, to be returned when it is empty.
    Draining,
    /// A return request has been sent.
    Returning,
}

#[derive(Debug, Clone)]
struct TrackedMachine {
    offer: InstanceOffer,
    stage: MachineStage,
    /// When it was rented or first seen.
    since: Time,
    /// Since when the cloud lists it as running.
    running: Option<Time>,
    /// When a part last described it.
    heard: Option<Time>,
    idle_since: Option<Time>,
}

impl TrackedMachine {
    fn new(offer: InstanceOffer, stage: MachineStage, since: Time) -> TrackedMachine {
        TrackedMachine {
            offer,
            stage,
            since,
            running: None,
            heard: None,
            idle_since: None,
        }
    }

    /// The one place where a machine's stage changes.
    fn step(&mut self, id: &MachineId, next: MachineStage) {
        if self.stage != next {
            tracing::debug!(machine = %id, from = ?self.stage, to = ?next, "machine");
            self.stage = next;
        }
    }
}

/// A request the leader wants sent to the cloud.
#[derive(Debug, Clone, PartialEq)]
pub enum CloudRequest {
    /// Rent machines.
    Provision(ProvisionRequest),
    /// Return machines.
    Release(MachineIds),
    /// Read the whole machine list.
    ListMachines,
    /// Read the catalogue.
    ReadCatalog,
}

/// The leader's view of the rented machines.
#[derive(Debug)]
pub struct Fleet {
    epoch: Epoch,
    requests: u64,
    machines: BTreeMap<MachineId, TrackedMachine>,
    refused_until: BTreeMap<InstanceOffer, Time>,
    /// The rental requests under way.
    provisioning: Vec<PendingProvision>,
    /// Rentals that may be under way.
    rentals: usize,
    return_in_flight: bool,
    gone: BTreeMap<MachineId, Time>,
    listings: Listings,
    /// Nothing is rented before: machines rented by a former leader may not be listed yet.
    rent_from: Time,
    lag_ms: u64,
    /// No silent machine is given up for its replicas before.
    give_up_from: Time,
    /// How long between two of them.
    give_up_ms: u64,
    /// How long a machine that runs counts as one that will take work without having been heard of.
    unheard_ms: u64,
}

impl Fleet {
    /// Starts at the start of an epoch.
    pub fn new(
        epoch: Epoch,
        now: Time,
        cloud: &CloudLimits,
        workers: &Workers,
        rentals: usize,
    ) -> Fleet {
        let lag_ms = (cloud.list_lag_s * 1_000.0) as u64;
        // The first epoch has no former leader.
        let wait = if epoch.0 <= 1 { 0 } else { lag_ms };
        Fleet {
            epoch,
            requests: 0,
            machines: BTreeMap::new(),
            refused_until: BTreeMap::new(),
            provisioning: Vec::new(),
            rentals,
            return_in_flight: false,
            gone: BTreeMap::new(),
            listings: Listings::default(),
            rent_from: now + wait,
            lag_ms,
            give_up_from: Time::default(),
            give_up_ms: (workers.lease_s * 1_000.0 * SILENT_RELEASE_INTERVAL_LEASES) as u64,
            unheard_ms: (workers.heartbeat_interval_s * 1_000.0 * UNHEARD_HEARTBEAT_INTERVALS)
                as u64,
        }
    }

    /// The epoch it is for.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// How many machines it knows of.
    pub fn size(&self) -> usize {
        self.machines.len()
    }

    /// Goes on into the next epoch under the same leader, which knows all that was rented.
    pub fn carried_over(mut self, epoch: Epoch) -> Fleet {
        self.epoch = epoch;
        self.requests = 0;
        // Answers may have come while nobody led: both are asked for again, under their names.
        for rental in &mut self.provisioning {
            rental.in_flight = false;
        }
        self.return_in_flight = false;
        self
    }

    /// Takes in the pages of the machine list. A machine that was listed and is missing from a later
    /// list is gone. One that was never listed is dropped only when it was not heard of either.
    pub fn machine_list_read(&mut self, now: Time, pages: &[MachineList]) {
        let mut after = None;
        for page in pages {
            for id in self.listings.page(after, page) {
                if self.machines.remove(&id).is_some() {
                    tracing::info!(machine = %id, "machine is no longer listed: gone");
                }
                self.gone.insert(id, now);
            }
            after = page.machines.last().map(|machine| &machine.id).or(after);
        }
        let list = || pages.iter().flat_map(|page| &page.machines);
        for machine in list() {
            if self.gone.contains_key(&machine.id) {
                continue;
            }
            // A machine that is up counts as silent only from now on: this leader cannot know when
            // its worker was last heard, and its parts may not have spoken yet.
            let since = match machine.state {
                ListedState::Starting => now - (machine.age_s * 1_000.0) as u64,
                ListedState::Running | ListedState::Failed => now,
            };
            let tracked = self.machines.entry(machine.id.clone()).or_insert_with(|| {
                TrackedMachine::new(machine.into(), MachineStage::Booting, since)
            });
            if machine.state == ListedState::Running {
                tracked.running.get_or_insert(now);
            }
            if machine.state == ListedState::Failed && tracked.stage != MachineStage::Returning {
                tracing::info!(machine = %machine.id, "machine failed");
                tracked.heard = None;
                tracked.step(&machine.id, MachineStage::Draining);
            }
        }
        let listed: BTreeSet<&MachineId> = list().map(|m| &m.id).collect();
        let patience = self.lag_ms * 3;
        self.machines.retain(|id, tracked| {
            let last = tracked.heard.unwrap_or(tracked.since);
            listed.contains(id) || now.since(last) < patience
        });
        self.gone
            .retain(|id, since| listed.contains(id) || now.since(*since) < patience);
    }

    /// Takes in what the parts say of their machines.
    pub fn update_from_partitions<'a>(
        &mut self,
        now: Time,
        machines: impl Iterator<Item = &'a MachineView>,
    ) {
        for view in machines {
            let up = &view.status;
            if up.lost || self.gone.contains_key(&up.id) {
                continue;
            }
            let tracked = self
                .machines
                .entry(up.id.clone())
                .or_insert_with(|| TrackedMachine::new(up.into(), MachineStage::Up, now));
            tracked.heard = Some(now);
            if tracked.stage == MachineStage::Booting {
                tracked.step(&up.id, MachineStage::Up);
            }
            if up.unreachable && tracked.stage == MachineStage::Up {
                tracing::info!(machine = %up.id, "machine is heard but not reached: returned");
                tracked.step(&up.id, MachineStage::Draining);
            }
            // What is on its way to it may be a replica, which would keep it from going back for good.
            tracked.idle_since = view.idle_since.filter(|_| !view.has_reservations());
        }
    }

    /// Machines that take no new tasks.
    pub fn draining(&self) -> BTreeSet<MachineId> {
        self.machines
            .iter()
            .filter(|(_, t)| matches!(t.stage, MachineStage::Draining | MachineStage::Returning))
            .map(|(id, _)| id.clone())
            .collect()
    }

    /// Machines confirmed gone.
    pub fn terminated(&self) -> impl Iterator<Item = &MachineId> {
        self.gone.keys()
    }

    /// Decides what to return and what to rent.
    pub fn plan_requests<'a>(
        &mut self,
        now: Time,
        catalog: &Catalog,
        machines: impl Iterator<Item = &'a MachineView>,
        demand: &[Demand],
        forecast: &Forecast,
    ) -> Vec<CloudRequest> {
        let mut requests = Vec::new();
        let machines: Vec<&MachineView> = machines.collect();
        let mut supply = self.supply(now, catalog, &machines);
        let mut there: BTreeMap<InstanceOffer, f64> = BTreeMap::new();
        for MachineSupply { offer, .. } in &supply {
            let cpus = catalog.get(&offer.machine_type).map_or(0.0, |t| t.cpus);
            *there.entry(offer.clone()).or_default() += cpus;
        }
        let mut left = unserved_demand(&mut supply, demand);
        // What is expected takes what is busy already first, so that as few machines as can be stand by.
        let classes = forecast.classes.iter();
        let mut reserve: Vec<Demand> = classes
            .flat_map(|class| reserved_capacity(class, catalog))
            .collect();
        reserve.extend(spare_capacity(forecast.standby_cpus, catalog));
        supply.sort_by(|a, b| a.free.cpus.total_cmp(&b.free.cpus));
        let empty: BTreeSet<MachineId> = supply.iter().filter_map(|s| s.empty.clone()).collect();
        let beyond = unserved_demand(&mut supply, &reserve);
        let spare: BTreeSet<&MachineId> = supply.iter().filter_map(|s| s.empty.as_ref()).collect();
        let kept = empty.iter().filter(|id| !spare.contains(id)).collect();
        left.extend(beyond);
        self.scale_in_silent(now, &forecast.silent);
        if let Some(names) = self.scale_in_requests(now, catalog, &machines, &kept) {
            self.return_in_flight = true;
            requests.push(CloudRequest::Release(names));
        }
        if now < self.rent_from {
            return requests;
        }
        for rental in self.provisioning.iter_mut().filter(|r| !r.in_flight) {
            rental.in_flight = true;
            requests.push(CloudRequest::Provision(rental.request.clone()));
        }
        while self.provisioning.len() < self.rentals {
            let Some(request) = self.next_provision_request(now, catalog, &there, &left, demand)
            else {
                break;
            };
            let mut asked = supply_from_request(&request, catalog);
            *there.entry(InstanceOffer::from(&request)).or_default() +=
                asked.iter().map(|supply| supply.free.cpus).sum::<f64>();
            left = unserved_demand(&mut asked, &left);
            self.provisioning.push(PendingProvision {
                request: request.clone(),
                in_flight: true,
            });
            requests.push(CloudRequest::Provision(request));
        }
        requests
    }

    /// Machines that take tasks, those that boot and those asked for, with the room on each.
    fn supply(
        &self,
        now: Time,
        catalog: &Catalog,
        machines: &[&MachineView],
    ) -> Vec<MachineSupply> {
        let up = machines
            .iter()
            .filter(|view| view.status.schedulable)
            .map(|view| MachineSupply {
                offer: InstanceOffer::from(&view.status),
                free: view.free,
                empty: view.idle_since.map(|_| view.status.id.clone()),
            });
        let booting = self
            .machines
            .values()
            .filter(|t| t.stage == MachineStage::Booting)
            // One that runs and is not heard of will hardly do any work.
            .filter(|t| t.running.is_none_or(|at| now.since(at) < self.unheard_ms))
            .filter_map(|t| {
                let room = Resources::of_machine_type(catalog.get(&t.offer.machine_type)?);
                Some(MachineSupply {
                    offer: t.offer.clone(),
                    free: room,
                    empty: None,
                })
            });
        let asked = self.provisioning.iter();
        let asked = asked.flat_map(|rental| supply_from_request(&rental.request, catalog));
        up.chain(booting).chain(asked).collect()
    }

    /// Gives up a silent machine with replicas on it, one at a time.
    fn scale_in_silent(&mut self, now: Time, silent: &[MachineId]) {
        // What is not returned in the same step would count as heard again.
        if now < self.give_up_from || self.return_in_flight {
            return;
        }
        for id in silent {
            if let Some(tracked) = self
                .machines
                .get_mut(id)
                .filter(|t| t.stage == MachineStage::Up)
            {
                tracing::info!(machine = %id, "machine with replicas is silent: returned");
                tracked.heard = None;
                tracked.step(id, MachineStage::Draining);
                self.give_up_from = now + self.give_up_ms;
                return;
            }
        }
    }

    /// Machines to return now, after marking those that should drain.
    fn scale_in_requests(
        &mut self,
        now: Time,
        catalog: &Catalog,
        machines: &[&MachineView],
        kept: &BTreeSet<&MachineId>,
    ) -> Option<MachineIds> {
        let empty: BTreeSet<&MachineId> = machines
            .iter()
            .filter(|view| view.idle_since.is_some() && !view.status.schedulable)
            .map(|view| &view.status.id)
            .collect();
        let mut names = Vec::new();
        for (id, tracked) in &mut self.machines {
            let boot_s = catalog
                .get(&tracked.offer.machine_type)
                .map_or(0.0, |t| t.boot_s);
            let idle_ms =
                ((boot_s * IDLE_RELEASE_BOOT_TIMES * 1_000.0) as u64).max(MIN_IDLE_RELEASE_MS);
            let idle = tracked
                .idle_since
                .is_some_and(|since| now.since(since) >= idle_ms);
            let patience = ((boot_s * BOOT_TIMEOUT_FACTOR + BOOT_TIMEOUT_EXTRA_S) * 1_000.0) as u64;
            let silent = now.since(tracked.heard.unwrap_or(tracked.since)) > patience;
            match tracked.stage {
                MachineStage::Up if idle && !kept.contains(id) => {
                    tracked.step(id, MachineStage::Draining)
                }
                MachineStage::Booting | MachineStage::Up if silent => {
                    tracing::info!(machine = %id, stage = ?tracked.stage, "machine is silent: returned");
                    tracked.heard = None;
                    tracked.step(id, MachineStage::Draining);
                }
                // Empty by its owner's word, given after it stopped taking tasks; or never heard of.
                MachineStage::Draining if tracked.heard.is_none() || empty.contains(id) => {
                    names.push(id.clone());
                }
                MachineStage::Returning if !self.return_in_flight => names.push(id.clone()),
                _ => {}
            }
        }
        names.truncate(MAX_MACHINES_PER_RELEASE_REQUEST);
        if names.is_empty() || self.return_in_flight {
            return None;
        }
        for id in &names {
            if let Some(tracked) = self.machines.get_mut(id) {
                if tracked.stage != MachineStage::Returning {
                    tracing::info!(machine = %id, "returning");
                }
                tracked.step(id, MachineStage::Returning);
            }
        }
        Some(MachineIds { machines: names })
    }

    /// A return request was answered; on success the machines are gone.
    pub fn release_answered(&mut self, now: Time, names: Option<&MachineIds>) {
        self.return_in_flight = false;
        if let Some(names) = names {
            for id in &names.machines {
                self.machines.remove(id);
                self.gone.insert(id.clone(), now);
            }
        }
    }
}

#[cfg(test)]
mod tests;
