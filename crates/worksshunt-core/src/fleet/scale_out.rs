//! Scaling out: which machines to provision next, and the responses to provision requests.

use std::collections::BTreeMap;

use worksshunt_wire::cloud::{Catalog, MachineIds, MachineType, ProvisionRequest};

use crate::constants::fleet::{MAX_MACHINES_PER_PROVISION_REQUEST, REFUSED_OFFER_BACKOFF_MS};
use crate::constants::placement::ROUNDING_TOLERANCE;
use crate::resources::Resources;
use crate::scheduler::Demand;
use crate::time::Time;

use super::capacity_supply::{allows, supply_from_request, tasks_per_machine, unserved_demand};
use super::{Fleet, InstanceOffer, MachineStage, TrackedMachine};

/// A provision request without a response. It is repeated under its name until it has one.
#[derive(Debug)]
pub(super) struct PendingProvision {
    pub(super) request: ProvisionRequest,
    pub(super) in_flight: bool,
}

/// What the next provision requests are decided by.
pub(super) struct ProvisionPlan<'a> {
    pub(super) now: Time,
    pub(super) catalog: &'a Catalog,
    /// Processors that all demand needs.
    pub(super) cpus_needed: f64,
    /// Processors of the machines that are there or have been requested, by offer.
    pub(super) supplied_cpus: BTreeMap<InstanceOffer, f64>,
    /// Demand that those machines will not serve at once.
    pub(super) unserved: Vec<Demand>,
}

impl ProvisionPlan<'_> {
    /// Accounts for a request as if it had been granted in full.
    fn add_request(&mut self, request: &ProvisionRequest) {
        let mut requested = supply_from_request(request, self.catalog);
        let cpus: f64 = requested.iter().map(|supply| supply.free.cpus).sum();
        let offer = InstanceOffer::from(request);
        *self.supplied_cpus.entry(offer).or_default() += cpus;
        self.unserved = unserved_demand(&mut requested, &self.unserved);
    }

    /// How many machines of the best offer for a demand to provision, in addition to those `selected` so far
    /// for other demands.
    fn machines_for(
        &self,
        demand: &Demand,
        best: &RankedOffer,
        selected: &BTreeMap<InstanceOffer, f64>,
    ) -> f64 {
        let by_tasks = f64::from(demand.tasks_within_limit) / best.tasks_per_machine;
        // Busy machines do not become free in time for a replica.
        if demand.job.is_service() {
            return by_tasks;
        }
        let machine_type = self.catalog.machine_type(&best.offer.machine_type);
        let cpus_each = machine_type.map_or(0.0, |machine_type| machine_type.cpus);
        // Machines that are lost, suspected or silent are not in the supply and will not do the work.
        let usable_cpus: f64 = self
            .supplied_cpus
            .iter()
            .filter(|(offer, _)| allows(demand, offer))
            .map(|(_, cpus)| cpus)
            .sum();
        let selected: f64 = selected.values().sum();
        let missing = ((self.cpus_needed - usable_cpus) / cpus_each.max(1.0) - selected).max(0.0);
        by_tasks.min(missing)
    }
}

/// An offer that suits a demand, with what it is ranked by.
struct RankedOffer {
    offer: InstanceOffer,
    /// Price of a machine for each task it holds.
    cost_per_task: f64,
    /// Machines in its zone.
    zone_machines: usize,
    /// Tasks that a machine holds.
    tasks_per_machine: f64,
}

impl RankedOffer {
    /// Whether it is cheaper or, at the same cost, in a zone with fewer machines.
    fn is_better_than(&self, other: &RankedOffer) -> bool {
        (self.cost_per_task, self.zone_machines) < (other.cost_per_task, other.zone_machines)
    }
}

impl Fleet {
    /// The provision requests to send: those to be repeated, then new ones as long as more may be pending.
    pub(super) fn next_provisions(&mut self, mut plan: ProvisionPlan) -> Vec<ProvisionRequest> {
        let mut requests = Vec::new();
        for pending in &mut self.pending_provisions {
            if !pending.in_flight {
                pending.in_flight = true;
                requests.push(pending.request.clone());
            }
        }
        while self.pending_provisions.len() < self.max_pending_provisions {
            let Some(request) = self.next_provision_request(&plan) else {
                break;
            };
            plan.add_request(&request);
            self.pending_provisions.push(PendingProvision {
                request: request.clone(),
                in_flight: true,
            });
            requests.push(request);
        }
        requests
    }

    /// The next provision request, for the offer that most machines are needed of.
    ///
    /// A machine is provisioned when the demand would keep all machines busy for longer than its tasks may
    /// wait, and there are tasks that it could start at once.
    fn next_provision_request(&mut self, plan: &ProvisionPlan) -> Option<ProvisionRequest> {
        let zone_machines = self.machines_by_zone();
        let mut selected: BTreeMap<InstanceOffer, f64> = BTreeMap::new();
        for demand in &plan.unserved {
            let Some(best) = self.best_offer(plan, demand, &zone_machines) else {
                continue;
            };
            let count = plan.machines_for(demand, &best, &selected);
            *selected.entry(best.offer).or_default() += count;
        }
        selected.retain(|_, count| *count > ROUNDING_TOLERANCE);
        let (offer, count) = selected
            .into_iter()
            .max_by(|(_, a), (_, b)| a.total_cmp(b))?;
        Some(self.new_request(offer, count))
    }

    fn new_request(&mut self, offer: InstanceOffer, count: f64) -> ProvisionRequest {
        self.provision_requests += 1;
        let request = ProvisionRequest {
            request_name: format!("e{}-{}", self.epoch, self.provision_requests),
            machine_type: offer.machine_type,
            zone: offer.zone,
            is_spot: offer.is_spot,
            machine_count: (count.ceil() as u32).clamp(1, MAX_MACHINES_PER_PROVISION_REQUEST),
        };
        tracing::info!(
            request = request.request_name,
            machine_type = request.machine_type,
            zone = request.zone,
            spot = request.is_spot,
            count = request.machine_count,
            "provisioning machines"
        );
        request
    }

    /// Machines by zone, with those requested.
    fn machines_by_zone(&self) -> BTreeMap<&str, usize> {
        let mut machines: BTreeMap<&str, usize> = BTreeMap::new();
        for tracked in self.machines.values() {
            *machines.entry(tracked.offer.zone.as_str()).or_default() += 1;
        }
        for PendingProvision { request, .. } in &self.pending_provisions {
            *machines.entry(request.zone.as_str()).or_default() += request.machine_count as usize;
        }
        machines
    }

    /// The cheapest offer for a task of the demand that the cloud has not just refused. Among equals, the one
    /// in the zone with fewer machines.
    fn best_offer(
        &self,
        plan: &ProvisionPlan,
        demand: &Demand,
        zone_machines: &BTreeMap<&str, usize>,
    ) -> Option<RankedOffer> {
        let need = demand.job.resources();
        let mut best: Option<RankedOffer> = None;
        for machine_type in &plan.catalog.machine_types {
            let tasks_per_machine =
                tasks_per_machine(&Resources::of_machine_type(machine_type), &need);
            if tasks_per_machine < 1.0 {
                continue;
            }
            for (offer, price) in offers_of(machine_type) {
                let can_wait = !offer.is_spot && can_wait_for_spot(demand, machine_type);
                if can_wait || self.is_refused(&offer, plan.now) || !allows(demand, &offer) {
                    continue;
                }
                let candidate = RankedOffer {
                    cost_per_task: price / tasks_per_machine,
                    zone_machines: zone_machines.get(offer.zone.as_str()).copied().unwrap_or(0),
                    offer,
                    tasks_per_machine,
                };
                if best
                    .as_ref()
                    .is_none_or(|best| candidate.is_better_than(best))
                {
                    best = Some(candidate);
                }
            }
        }
        best
    }

    fn is_refused(&self, offer: &InstanceOffer, now: Time) -> bool {
        self.refused_until
            .get(offer)
            .is_some_and(|until| now < *until)
    }

    /// A provision request was answered with machines.
    pub fn apply_provision_response(&mut self, now: Time, request: &str, provisioned: &MachineIds) {
        let Some(request) = self.take_answered_request(request) else {
            return;
        };
        let offer = InstanceOffer::from(&request);
        if (provisioned.ids.len() as u32) < request.machine_count {
            self.mark_offer_refused(now, offer.clone());
        }
        for id in &provisioned.ids {
            self.machines
                .entry(id.clone())
                .or_insert_with(|| TrackedMachine::new(offer.clone(), MachineStage::Booting, now));
        }
    }

    /// A provision request was refused because the cloud has no such machines.
    pub fn apply_provision_refusal(&mut self, now: Time, request: &str) {
        if let Some(request) = self.take_answered_request(request) {
            self.mark_offer_refused(now, InstanceOffer::from(&request));
        }
    }

    fn mark_offer_refused(&mut self, now: Time, offer: InstanceOffer) {
        tracing::info!(
            machine_type = offer.machine_type,
            zone = offer.zone,
            spot = offer.is_spot,
            "no capacity for this offer, not requested for a while"
        );
        self.refused_until
            .insert(offer, now + REFUSED_OFFER_BACKOFF_MS);
    }

    /// A provision request got no response; it is repeated under its name.
    pub fn retry_provision(&mut self, request: &str) {
        let mut pending = self.pending_provisions.iter_mut();
        if let Some(pending) = pending.find(|pending| pending.request.request_name == request) {
            pending.in_flight = false;
        }
    }

    /// Removes the pending request of that name; `None` if the response is to a request of a former leader.
    fn take_answered_request(&mut self, request: &str) -> Option<ProvisionRequest> {
        let mut pending = self.pending_provisions.iter();
        let index = pending.position(|pending| pending.request.request_name == request)?;
        Some(self.pending_provisions.swap_remove(index).request)
    }
}

/// The offers of a machine type with their prices, by zone, spot before on-demand.
fn offers_of(machine_type: &MachineType) -> impl Iterator<Item = (InstanceOffer, f64)> + '_ {
    let prices = [
        (true, machine_type.spot_price),
        (false, Some(machine_type.on_demand_price)),
    ];
    machine_type.zones.iter().flat_map(move |zone| {
        prices.into_iter().filter_map(move |(spot, price)| {
            let offer = InstanceOffer {
                machine_type: machine_type.name.clone(),
                zone: zone.clone(),
                is_spot: spot,
            };
            Some((offer, price?))
        })
    })
}

/// Whether the demand waits for a spot machine of that type. An on-demand machine costs several times as much:
/// work that may run on a spot machine waits for one, unless it has a deadline or there are none.
fn can_wait_for_spot(demand: &Demand, machine_type: &MachineType) -> bool {
    demand.job.spec.allows_spot
        && demand.job.spec.deadline_s.is_none()
        && demand.has_spot_machines
        && machine_type.spot_price.is_some()
}
