//! Room that there is or will be, set against what waits and what is expected.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use worksshunt_wire::cloud::{Catalog, MachineType, ProvisionRequest};
use worksshunt_wire::{MachineId, TeamName};

use crate::constants::placement::ROUNDING_TOLERANCE;
use crate::constants::services::RESERVED_CAPACITY_BOOT_TIMES;
use crate::jobs::Job;
use crate::resources::Resources;
use crate::scheduler::{Demand, ExpectedDemand};

use super::InstanceOffer;

/// A machine that takes tasks or is going to, with the room on it.
#[derive(Debug, Clone)]
pub(super) struct MachineSupply {
    pub(super) offer: InstanceOffer,
    pub(super) free: Resources,
    /// Its name, if nothing is on it.
    pub(super) empty: Option<MachineId>,
}

/// What a rental brings if it is granted in full.
pub(super) fn supply_from_request(
    request: &ProvisionRequest,
    catalog: &Catalog,
) -> Vec<MachineSupply> {
    let Some(machine_type) = catalog.get(&request.machine_type) else {
        return Vec::new();
    };
    let machine = MachineSupply {
        offer: InstanceOffer::from(request),
        free: Resources::of_machine_type(machine_type),
        empty: None,
    };
    vec![machine; request.count as usize]
}

/// Room kept for replicas that are likely to be asked for before a machine rented for them would be up, the
/// largest job at any time.
pub(super) fn reserved_capacity(expected: &ExpectedDemand, catalog: &Catalog) -> Vec<Demand> {
    let job = &expected.job;
    let offers = catalog.types.iter().flat_map(|t| {
        let allowed = t
            .zones
            .iter()
            .filter(|zone| job.allows_machine(&t.name, zone, false));
        allowed.map(|zone| (zone, t.boot_s))
    });
    let (zones, boots): (BTreeSet<&String>, Vec<f64>) = offers.unzip();
    let Some(boot_s) = boots.into_iter().min_by(f64::total_cmp) else {
        return Vec::new();
    };
    let jobs = f64::from(expected.jobs);
    let coming = jobs * 1_000.0 / expected.over_ms as f64 * boot_s * RESERVED_CAPACITY_BOOT_TIMES;
    // They come by chance: now and then there are more of them, by the root of their number or so.
    let each = f64::from(expected.lately) / jobs.max(1.0);
    let tasks = expected.largest + (each * (coming + coming.sqrt())).ceil() as u32;
    if job.spec.spread && zones.len() > 1 {
        let each = tasks.div_ceil(zones.len() as u32);
        let zones = zones.into_iter().cloned();
        zones
            .map(|zone| reserved_demand(job, Some(zone), each))
            .collect()
    } else {
        vec![reserved_demand(job, None, tasks)]
    }
}

/// So many processors of ordinary machines, in all zones, for what nothing is known of yet. They are
/// asked for as replicas that take a whole machine of the cheapest type.
pub(super) fn spare_capacity(cpus: f64, catalog: &Catalog) -> Vec<Demand> {
    let per_cpu = |t: &MachineType| t.price / t.cpus;
    let cheapest = catalog.types.iter().filter(|t| t.cpus > 0.0);
    let cheapest = cheapest.min_by(|a, b| per_cpu(a).total_cmp(&per_cpu(b)));
    let Some(machine) = cheapest.filter(|_| cpus > 0.0) else {
        return Vec::new();
    };
    let each = (cpus / machine.cpus / machine.zones.len() as f64).ceil() as u32;
    let job = Rc::new(Job::whole_machine(machine));
    let zones = machine.zones.iter().cloned();
    zones
        .map(|zone| reserved_demand(&job, Some(zone), each))
        .collect()
}

/// Room kept for so many tasks that nobody has asked for yet.
pub(super) fn reserved_demand(job: &Rc<Job>, zone: Option<String>, tasks: u32) -> Demand {
    Demand {
        job: Rc::clone(job),
        tasks,
        waiting: tasks,
        running: 0,
        running_s: 0.0,
        slack_s: 0.0,
        zone,
        full_zones: BTreeSet::new(),
        spot_only: false,
        spotless: false,
    }
}

/// Demand that the supply will not serve at once. Takes what it does serve out of the supply.
pub(super) fn unserved_demand(supply: &mut Vec<MachineSupply>, demand: &[Demand]) -> Vec<Demand> {
    let mut left = Vec::new();
    for wanted in demand {
        let need = wanted.job.resources();
        let mut tasks = wanted.tasks;
        if tasks == 0 {
            continue;
        }
        supply.retain_mut(
            |MachineSupply {
                 offer,
                 free: room,
                 empty,
             }| {
                let allowed = allows(wanted, offer);
                while tasks > 0 && allowed && room.fits(&need) {
                    room.allocate(&need);
                    tasks -= 1;
                    *empty = None;
                }
                room.cpus > ROUNDING_TOLERANCE
            },
        );
        if tasks > 0 {
            left.push(Demand {
                tasks,
                ..wanted.clone()
            });
        }
    }
    left
}

/// Processors that would get all tasks done in time, if each job were done once its turn came. It is
/// reckoned by team: where a job's last tasks end, the next job of its team takes their place. Replicas
/// give theirs up to nobody.
pub(super) fn cpus_needed(demand: &[Demand]) -> f64 {
    let mut teams: BTreeMap<&TeamName, (f64, f64)> = BTreeMap::new();
    let mut services = 0.0;
    for wanted in demand {
        let cpus = wanted.job.spec.cpus;
        if wanted.job.is_service() {
            services += cpus * f64::from(wanted.tasks + wanted.running);
            continue;
        }
        let waiting_s = f64::from(wanted.waiting) * wanted.job.spec.estimate_s;
        let (at_once, in_time) = teams.entry(&wanted.job.spec.team).or_default();
        *at_once += cpus * f64::from(wanted.tasks + wanted.running);
        *in_time += cpus * (waiting_s + wanted.running_s) / wanted.slack_s;
    }
    teams
        .values()
        .map(|(at_once, in_time)| at_once.min(*in_time))
        .sum::<f64>()
        + services
}

pub(super) fn allows(demand: &Demand, offer: &InstanceOffer) -> bool {
    let job = &demand.job;
    job.allows_machine(&offer.machine_type, &offer.zone, offer.spot)
        && demand.zone.as_ref().is_none_or(|zone| *zone == offer.zone)
        && !demand.full_zones.contains(&offer.zone)
        && (offer.spot || !demand.spot_only)
}

/// How many tasks of that need a machine holds.
pub(super) fn tasks_per_machine(room: &Resources, need: &Resources) -> f64 {
    let ratio = |all: f64, one: f64| {
        if one > 0.0 {
            (all / one + ROUNDING_TOLERANCE).floor()
        } else {
            f64::INFINITY
        }
    };
    ratio(room.cpus, need.cpus)
        .min(ratio(room.gpus, need.gpus))
        .min(ratio(room.memory_gb, need.memory_gb))
        .min(1e6)
}
