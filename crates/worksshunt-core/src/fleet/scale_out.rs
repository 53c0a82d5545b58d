//! Rentals: what is asked for next, and what becomes of it.

use std::collections::BTreeMap;

use worksshunt_wire::cloud::{Catalog, MachineIds, ProvisionRequest};

use crate::constants::fleet::{MAX_MACHINES_PER_PROVISION_REQUEST, REFUSED_OFFER_PAUSE_MS};
use crate::constants::placement::ROUNDING_TOLERANCE;
use crate::resources::Resources;
use crate::scheduler::Demand;
use crate::time::Time;

use super::capacity_supply::{allows, cpus_needed, tasks_per_machine};
use super::{Fleet, InstanceOffer, MachineStage, TrackedMachine};

/// A rental request that is not answered. It is repeated under its name until it is.
#[derive(Debug)]
pub(super) struct PendingProvision {
    pub(super) request: ProvisionRequest,
    pub(super) in_flight: bool,
}

impl Fleet {
    /// The next rental, for the kind of machine that most of the unserved demand wants.
    ///
    /// A machine is rented when the work at hand would keep all there are busy for longer than
    /// their tasks may wait, and there are tasks it could start at once.
    pub(super) fn next_provision_request(
        &mut self,
        now: Time,
        catalog: &Catalog,
        there: &BTreeMap<InstanceOffer, f64>,
        left: &[Demand],
        demand: &[Demand],
    ) -> Option<ProvisionRequest> {
        let needed = cpus_needed(demand);
        let mut wanted: BTreeMap<InstanceOffer, f64> = BTreeMap::new();
        let mut in_zone: BTreeMap<&String, usize> = BTreeMap::new();
        for tracked in self.machines.values() {
            *in_zone.entry(&tracked.offer.zone).or_default() += 1;
        }
        for PendingProvision { request, .. } in &self.provisioning {
            *in_zone.entry(&request.zone).or_default() += request.count as usize;
        }
        for demand in left {
            let Some((offer, slots)) = self.best_offer(now, catalog, demand, &in_zone) else {
                continue;
            };
            let each = catalog.get(&offer.machine_type).map_or(0.0, |t| t.cpus);
            // Machines that are lost, noticed or silent will not do the work.
            let there: f64 = there
                .iter()
                .filter(|(offer, _)| allows(demand, offer))
                .map(|(_, cpus)| cpus)
                .sum();
            let ordered: f64 = wanted.values().sum();
            let missing = ((needed - there) / each.max(1.0) - ordered).max(0.0);
            let by_slots = f64::from(demand.tasks) / slots;
            // What is busy does not become free in time for a replica.
            let is_service = demand.job.is_service();
            let count = if is_service {
                by_slots
            } else {
                by_slots.min(missing)
            };
            *wanted.entry(offer).or_default() += count;
        }
        wanted.retain(|_, count| *count > ROUNDING_TOLERANCE);
        let (offer, count) = wanted.into_iter().max_by(|(_, a), (_, b)| a.total_cmp(b))?;
        self.requests += 1;
        let request = ProvisionRequest {
            request_name: format!("e{}-{}", self.epoch, self.requests),
            machine_type: offer.machine_type,
            zone: offer.zone,
            spot: offer.spot,
            count: (count.ceil() as u32).clamp(1, MAX_MACHINES_PER_PROVISION_REQUEST),
        };
        tracing::info!(
            request = request.request_name,
            machine_type = request.machine_type,
            zone = request.zone,
            spot = request.spot,
            count = request.count,
            "renting"
        );
        Some(request)
    }

    /// The cheapest kind of machine for the task that the cloud has not just refused, and how many
    /// of the tasks it holds. Among equals, the zone with fewer machines.
    pub(super) fn best_offer(
        &self,
        now: Time,
        catalog: &Catalog,
        demand: &Demand,
        in_zone: &BTreeMap<&String, usize>,
    ) -> Option<(InstanceOffer, f64)> {
        let need = demand.job.resources();
        let mut best: Option<(f64, usize, InstanceOffer, f64)> = None;
        for t in &catalog.types {
            let slots = tasks_per_machine(&Resources::of_machine_type(t), &need);
            if slots < 1.0 {
                continue;
            }
            for zone in &t.zones {
                let kinds = [(true, t.spot_price), (false, Some(t.price))];
                for (spot, price) in kinds {
                    let Some(price) = price else { continue };
                    let offer = InstanceOffer {
                        machine_type: t.name.clone(),
                        zone: zone.clone(),
                        spot,
                    };
                    let refused = self.refused_until.get(&offer).is_some_and(|t| now < *t);
                    // An ordinary machine costs several times as much: work that could run on a
                    // spot machine waits for one, unless it has a deadline to meet
                    // or there are none.
                    let can_wait = !spot
                        && demand.job.spec.spot
                        && demand.job.spec.deadline_s.is_none()
                        && !demand.spotless
                        && t.spot_price.is_some();
                    if can_wait || refused || !allows(demand, &offer) {
                        continue;
                    }
                    let in_zone = in_zone.get(zone).copied().unwrap_or(0);
                    let cost = price / slots;
                    let better = best
                        .as_ref()
                        .is_none_or(|(c, n, _, _)| (cost, in_zone) < (*c, *n));
                    if better {
                        best = Some((cost, in_zone, offer, slots));
                    }
                }
            }
        }
        best.map(|(_, _, offer, slots)| (offer, slots))
    }

    /// A rental request was answered with machines.
    pub fn provisioned(&mut self, now: Time, request: &str, names: &MachineIds) {
        let Some(request) = self.take_answered_request(request) else {
            return;
        };
        let offer = InstanceOffer::from(&request);
        if (names.machines.len() as u32) < request.count {
            self.mark_offer_refused(now, offer.clone());
        }
        for id in &names.machines {
            self.machines
                .entry(id.clone())
                .or_insert_with(|| TrackedMachine::new(offer.clone(), MachineStage::Booting, now));
        }
    }

    /// A rental request was refused for want of machines.
    pub fn provision_refused(&mut self, now: Time, request: &str) {
        if let Some(request) = self.take_answered_request(request) {
            self.mark_offer_refused(now, InstanceOffer::from(&request));
        }
    }

    fn mark_offer_refused(&mut self, now: Time, offer: InstanceOffer) {
        tracing::info!(
            machine_type = offer.machine_type,
            zone = offer.zone,
            spot = offer.spot,
            "the cloud has no more of these for now"
        );
        self.refused_until
            .insert(offer, now + REFUSED_OFFER_PAUSE_MS);
    }

    /// A rental request has no answer; it is repeated under its name.
    pub fn provision_unanswered(&mut self, request: &str) {
        let mut renting = self.provisioning.iter_mut();
        if let Some(rental) = renting.find(|r| r.request.request_name == request) {
            rental.in_flight = false;
        }
    }

    /// The request under way of that name, if the answer is not to a former leader's.
    fn take_answered_request(&mut self, request: &str) -> Option<ProvisionRequest> {
        let mut renting = self.provisioning.iter();
        let index = renting.position(|r| r.request.request_name == request)?;
        Some(self.provisioning.swap_remove(index).request)
    }
}
