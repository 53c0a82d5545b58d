//! Decides how many machines to provision for a demand, from the present and pending capacity.

use std::collections::BTreeMap;

use worksshunt_wire::cloud::{Catalog, MachineType, ProvisionRequest};

use crate::constants::fleet::{MAX_SLACK_S, SLOW_BOOT_FACTOR};
use crate::constants::placement::ROUNDING_TOLERANCE;
use crate::resources::Resources;
use crate::scheduler::Demand;
use crate::time::Time;

use super::capacity_supply::{allows, supply_from_request, unserved_demand};
use super::scale_out::RankedOffer;
use super::InstanceOffer;

/// Input for the next provision requests.
pub(super) struct ProvisionPlan<'a> {
    pub(super) now: Time,
    pub(super) catalog: &'a Catalog,
    /// Processors needed to complete all demand in time.
    pub(super) cpus_needed: f64,
    /// Processors of schedulable, booting and requested machines, by offer.
    pub(super) supplied_cpus: BTreeMap<InstanceOffer, f64>,
    /// Demand that does not fit the free capacity of those machines.
    pub(super) unserved: Vec<Demand>,
}

impl ProvisionPlan<'_> {
    /// Logs what decides how many machines are provisioned. `refused_offers` is the number of offers that the cloud
    /// refused recently.
    pub(super) fn log(&self, refused_offers: usize) {
        let unserved_tasks: u32 = self
            .unserved
            .iter()
            .map(|demand| demand.tasks_within_limit)
            .sum();
        let supplied_cpus = self
            .supplied_cpus
            .values()
            .fold(0.0, |sum, cpus| sum + cpus);
        tracing::debug!(
            unserved_demands = self.unserved.len(),
            unserved_tasks,
            cpus_needed = self.cpus_needed,
            supplied_cpus,
            refused_offers,
            "provisioning planned"
        );
    }

    /// Adds the machines of a request to the supply, as if it were granted in full.
    pub(super) fn add_request(&mut self, request: &ProvisionRequest) {
        let mut requested = supply_from_request(request, self.catalog);
        let cpus: f64 = requested.iter().map(|supply| supply.free.cpus).sum();
        let offer = InstanceOffer::from(request);
        *self.supplied_cpus.entry(offer).or_default() += cpus;
        self.unserved = unserved_demand(&mut requested, &self.unserved);
    }

    /// Number of machines of the best offer to provision for a demand, in addition to those `selected` for other
    /// demands.
    ///
    /// The users' estimates limit how many machines share the work, but not whether there is one at all: they say
    /// nothing about a job without an estimate, and are often wrong. They don't apply to [overdue](is_overdue)
    /// demand.
    pub(super) fn machines_to_provision(
        &self,
        demand: &Demand,
        best: &RankedOffer,
        selected: &BTreeMap<InstanceOffer, f64>,
    ) -> f64 {
        let machines_for_tasks = f64::from(demand.tasks_within_limit) / best.tasks_per_machine;
        // A replica cannot wait until a task on a busy machine ends.
        if demand.job.is_service() || is_overdue(demand, best.machine_type) {
            return machines_for_tasks;
        }
        let min_machines = match self.has_usable_machine(demand, selected) {
            true => 0.0,
            false => machines_for_tasks.min(1.0),
        };
        machines_for_tasks
            .min(self.missing_machines(demand, best, selected))
            .max(min_machines)
    }

    /// Number of machines of the best offer that are missing to complete all demand in time, in addition to those
    /// `selected` for other demands.
    fn missing_machines(
        &self,
        demand: &Demand,
        best: &RankedOffer,
        selected: &BTreeMap<InstanceOffer, f64>,
    ) -> f64 {
        // Machines that are lost, unreachable or miss heartbeats are not in the supply.
        let usable_cpus: f64 = self
            .supplied_cpus
            .iter()
            .filter(|(offer, _)| self.is_usable(demand, offer))
            .map(|(_, cpus)| cpus)
            .sum();
        let selected_machines: f64 = selected.values().sum();
        let missing_machines =
            (self.cpus_needed - usable_cpus) / best.machine_type.cpus.max(1.0) - selected_machines;
        if missing_machines > ROUNDING_TOLERANCE {
            missing_machines
        } else {
            0.0
        }
    }

    /// Whether there is a machine that can run the demand's tasks once it has room: one that is schedulable, booting,
    /// requested or selected.
    fn has_usable_machine(&self, demand: &Demand, selected: &BTreeMap<InstanceOffer, f64>) -> bool {
        let selected_offers = selected.iter().filter(|(_, count)| **count > 0.0);
        self.supplied_cpus
            .keys()
            .chain(selected_offers.map(|(offer, _)| offer))
            .any(|offer| self.is_usable(demand, offer))
    }

    /// Whether the constraints of the demand allow machines of the offer, and its tasks fit an empty one.
    fn is_usable(&self, demand: &Demand, offer: &InstanceOffer) -> bool {
        let machine_type = self.catalog.machine_type(&offer.machine_type);
        let capacity = machine_type.map_or(Resources::default(), Resources::of_machine_type);
        capacity.fits(&demand.job.resources()) && allows(demand, offer)
    }
}

/// Whether the demand's tasks have fitted no machine for longer than the slowest usual boot of the machine type and the
/// maximum slack. If the estimates were right, present and requested machines would have served them by then.
fn is_overdue(demand: &Demand, machine_type: &MachineType) -> bool {
    let limit_s = machine_type.boot_s * SLOW_BOOT_FACTOR + MAX_SLACK_S;
    demand.unschedulable_ms >= (limit_s * 1_000.0) as u64
}
