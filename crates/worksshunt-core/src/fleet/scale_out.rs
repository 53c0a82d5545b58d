//! Scaling out: selects the machines to provision, and applies the responses to provision requests.

use std::collections::BTreeMap;

use worksshunt_wire::cloud::{MachineIds, MachineType, ProvisionRequest};

use crate::constants::fleet::{
    MAX_MACHINES_PER_PROVISION_REQUEST, MAX_SPOT_WAIT_MS, REFUSED_OFFER_BACKOFF_MS,
};
use crate::resources::Resources;
use crate::scheduler::Demand;
use crate::time::Time;

use super::capacity_supply::{allows, tasks_per_machine};
use super::provision_plan::ProvisionPlan;
use super::{Fleet, InstanceOffer, MachineStage, TrackedMachine};

/// A provision request without a response. It is sent again with the same name until it has one.
#[derive(Debug)]
pub(super) struct PendingProvision {
    pub(super) request: ProvisionRequest,
    pub(super) is_in_flight: bool,
}

/// An offer that satisfies a demand, with its ranking criteria.
pub(super) struct RankedOffer<'a> {
    pub(super) offer: InstanceOffer,
    pub(super) machine_type: &'a MachineType,
    /// Hourly price of a machine divided by the number of tasks that fit it.
    cost_per_task: f64,
    /// Number of machines in its zone, with requested ones.
    zone_machines: usize,
    /// Number of tasks that fit an empty machine.
    pub(super) tasks_per_machine: f64,
}

impl RankedOffer<'_> {
    /// Whether it costs less per task or, at the same cost, is in a zone with fewer machines.
    fn is_better_than(&self, other: &RankedOffer) -> bool {
        (self.cost_per_task, self.zone_machines) < (other.cost_per_task, other.zone_machines)
    }
}

impl Fleet {
    /// Returns the provision requests to send: first the pending ones to send again, then new ones up to the limit of
    /// pending requests.
    pub(super) fn next_provisions(&mut self, mut plan: ProvisionPlan) -> Vec<ProvisionRequest> {
        let mut requests = Vec::new();
        for pending in &mut self.pending_provisions {
            if !pending.is_in_flight {
                pending.is_in_flight = true;
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
                is_in_flight: true,
            });
            requests.push(request);
        }
        requests
    }

    /// Creates the next provision request, for the offer of which the most machines are missing.
    ///
    /// Machines are provisioned if the present ones cannot complete the demand within the slack of its tasks, or cannot
    /// run it at all, but not more than the waiting tasks within their teams' limits can use.
    fn next_provision_request(&mut self, plan: &ProvisionPlan) -> Option<ProvisionRequest> {
        let zone_machines = self.machines_by_zone();
        let mut selected: BTreeMap<InstanceOffer, f64> = BTreeMap::new();
        for demand in &plan.unserved {
            let Some(best) = self.best_offer(plan, demand, &zone_machines) else {
                continue;
            };
            let count = plan.machines_to_provision(demand, &best, &selected);
            *selected.entry(best.offer).or_default() += count;
        }
        selected.retain(|_, count| *count > 0.0);
        let (offer, count) = selected
            .into_iter()
            .max_by(|(_, a), (_, b)| a.total_cmp(b))?;
        Some(self.create_provision_request(offer, count))
    }

    fn create_provision_request(&mut self, offer: InstanceOffer, count: f64) -> ProvisionRequest {
        self.provision_request_count += 1;
        let request = ProvisionRequest {
            request_name: format!("e{}-{}", self.epoch, self.provision_request_count),
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

    /// Number of machines by zone, with requested ones.
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

    /// The best offer for a task of the demand, without offers that the cloud refused recently.
    fn best_offer<'a>(
        &self,
        plan: &ProvisionPlan<'a>,
        demand: &Demand,
        zone_machines: &BTreeMap<&str, usize>,
    ) -> Option<RankedOffer<'a>> {
        let task_resources = demand.job.resources();
        let mut best: Option<RankedOffer> = None;
        for machine_type in &plan.catalog.machine_types {
            let tasks_per_machine =
                tasks_per_machine(&Resources::of_machine_type(machine_type), &task_resources);
            if tasks_per_machine < 1.0 {
                continue;
            }
            for (offer, price) in offers_of(machine_type) {
                let waits_for_spot = !offer.is_spot && should_wait_for_spot(demand, machine_type);
                if waits_for_spot || self.is_refused(&offer, plan.now) || !allows(demand, &offer) {
                    continue;
                }
                let candidate = RankedOffer {
                    cost_per_task: price / tasks_per_machine,
                    zone_machines: zone_machines.get(offer.zone.as_str()).copied().unwrap_or(0),
                    offer,
                    machine_type,
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

    /// Number of offers that the cloud refused recently.
    pub(super) fn refused_offers(&self, now: Time) -> usize {
        let refused = self.refused_until.values();
        refused.filter(|until| now < **until).count()
    }

    fn is_refused(&self, offer: &InstanceOffer, now: Time) -> bool {
        self.refused_until
            .get(offer)
            .is_some_and(|until| now < *until)
    }

    /// Applies a response with provisioned machines. If there are fewer than requested, the offer counts as refused.
    pub fn apply_provision_response(
        &mut self,
        now: Time,
        request_name: &str,
        provisioned: &MachineIds,
    ) {
        let Some(request) = self.remove_pending_request(request_name) else {
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

    /// Applies a refusal for lack of capacity: the offer is not requested again before a backoff.
    pub fn apply_provision_refusal(&mut self, now: Time, request_name: &str) {
        if let Some(request) = self.remove_pending_request(request_name) {
            self.mark_offer_refused(now, InstanceOffer::from(&request));
        }
    }

    fn mark_offer_refused(&mut self, now: Time, offer: InstanceOffer) {
        tracing::info!(
            machine_type = offer.machine_type,
            zone = offer.zone,
            spot = offer.is_spot,
            "cloud has no capacity for this offer; retrying after a backoff"
        );
        self.refused_until
            .insert(offer, now + REFUSED_OFFER_BACKOFF_MS);
    }

    /// Marks an unanswered provision request to be sent again with the same name.
    pub fn retry_provision(&mut self, request_name: &str) {
        let mut pending = self.pending_provisions.iter_mut();
        if let Some(pending) = pending.find(|pending| pending.request.request_name == request_name)
        {
            pending.is_in_flight = false;
        }
    }

    /// Removes and returns the pending request of that name. Returns `None` if a previous leader sent it.
    fn remove_pending_request(&mut self, request_name: &str) -> Option<ProvisionRequest> {
        let mut pending = self.pending_provisions.iter();
        let index = pending.position(|pending| pending.request.request_name == request_name)?;
        Some(self.pending_provisions.swap_remove(index).request)
    }
}

/// Offers of a machine type with their hourly prices, by zone, spot before on-demand.
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

/// Whether the demand waits for a spot machine of that type instead of using an on-demand one, which costs several times
/// as much. It doesn't if the job has a deadline, if spot capacity is unavailable, or after [`MAX_SPOT_WAIT_MS`]: there
/// may be spot machines of other types, or in other zones, only.
fn should_wait_for_spot(demand: &Demand, machine_type: &MachineType) -> bool {
    demand.job.spec.allows_spot
        && demand.job.spec.deadline_s.is_none()
        && demand.is_spot_available
        && demand.unschedulable_ms < MAX_SPOT_WAIT_MS
        && machine_type.spot_price.is_some()
}
