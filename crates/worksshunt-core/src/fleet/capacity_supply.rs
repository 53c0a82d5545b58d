//! Compares the present and pending capacity with the demand and reserves capacity for expected demand.
//!
//! Pure functions, used when the fleet plans its requests.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use worksshunt_wire::cloud::{Catalog, MachineType, ProvisionRequest};
use worksshunt_wire::{MachineId, TeamName};

use crate::constants::placement::ROUNDING_TOLERANCE;
use crate::constants::services::RESERVED_CAPACITY_BOOT_TIMES;
use crate::jobs::Job;
use crate::resources::Resources;
use crate::scheduler::{Demand, ExpectedDemand, Forecast};

use super::InstanceOffer;

/// Upper bound of the tasks on a machine, for tasks without resource requirements.
const MAX_TASKS_PER_MACHINE: f64 = 1e6;

/// Free capacity of a machine that is schedulable, booting or requested.
#[derive(Debug, Clone)]
pub(super) struct MachineSupply {
    pub(super) offer: InstanceOffer,
    pub(super) free: Resources,
    /// Id of the machine while it is idle; `None` if it is booting or requested, or has tasks on it or planned for it.
    pub(super) idle_machine: Option<MachineId>,
}

/// Supply from a provision request that is granted in full.
pub(super) fn supply_from_request(
    request: &ProvisionRequest,
    catalog: &Catalog,
) -> Vec<MachineSupply> {
    let Some(machine_type) = catalog.machine_type(&request.machine_type) else {
        return Vec::new();
    };
    let machine = MachineSupply {
        offer: InstanceOffer::from(request),
        free: Resources::of_machine_type(machine_type),
        idle_machine: None,
    };
    vec![machine; request.machine_count as usize]
}

/// Capacity reserved for expected demand.
pub(super) struct Reservation {
    /// Idle machines that must not be released.
    pub(super) idle_machines: BTreeSet<MachineId>,
    /// Expected demand for which machines have to be provisioned.
    pub(super) unserved: Vec<Demand>,
}

/// Reserves capacity for expected demand and removes it from the supply. Machines with the fewest free processors are
/// used first, so that as few idle machines as possible are reserved.
pub(super) fn reserve_capacity(
    supply: &mut Vec<MachineSupply>,
    forecast: &Forecast,
    catalog: &Catalog,
) -> Reservation {
    let classes = forecast.classes.iter();
    let mut expected: Vec<Demand> = classes
        .flat_map(|class| reserved_capacity(class, catalog))
        .collect();
    expected.extend(spare_capacity(forecast.spare_cpus, catalog));
    supply.sort_by(|a, b| a.free.cpus.total_cmp(&b.free.cpus));
    let mut idle_machines = idle_machines(supply);
    let unserved = unserved_demand(supply, &expected);
    for unreserved in self::idle_machines(supply) {
        idle_machines.remove(&unreserved);
    }
    Reservation {
        idle_machines,
        unserved,
    }
}

fn idle_machines(supply: &[MachineSupply]) -> BTreeSet<MachineId> {
    let machines = supply.iter();
    machines
        .filter_map(|machine| machine.idle_machine.clone())
        .collect()
}

/// Demand to reserve for a class: replicas that are likely to be submitted before a machine provisioned for them has
/// booted, and the largest job.
fn reserved_capacity(expected: &ExpectedDemand, catalog: &Catalog) -> Vec<Demand> {
    let job = &expected.sample_job;
    let offers = catalog.machine_types.iter().flat_map(|machine_type| {
        let zones = machine_type.zones.iter();
        zones
            .filter(|zone| job.allows_machine(&machine_type.name, zone, false))
            .map(|zone| (zone, machine_type.boot_s))
    });
    let (zones, boot_times): (BTreeSet<&String>, Vec<f64>) = offers.unzip();
    let Some(boot_s) = boot_times.into_iter().min_by(f64::total_cmp) else {
        return Vec::new();
    };
    let tasks = expected_tasks(expected, boot_s);
    if job.spec.needs_zone_spread && zones.len() > 1 {
        let tasks_per_zone = tasks.div_ceil(zones.len() as u32);
        let zones = zones.into_iter().cloned();
        zones
            .map(|zone| reserved_demand(job, Some(zone), tasks_per_zone))
            .collect()
    } else {
        vec![reserved_demand(job, None, tasks)]
    }
}

/// Number of tasks of a class to reserve capacity for. `boot_s` is the shortest boot time of the allowed machine types.
fn expected_tasks(expected: &ExpectedDemand, boot_s: f64) -> u32 {
    let jobs = f64::from(expected.recent_jobs);
    let arrivals =
        jobs * 1_000.0 / expected.arrival_window_ms as f64 * boot_s * RESERVED_CAPACITY_BOOT_TIMES;
    // One standard deviation above the mean of a Poisson process.
    let max_arrivals = arrivals + arrivals.sqrt();
    let tasks_per_job = f64::from(expected.recent_replicas) / jobs.max(1.0);
    expected.max_replicas + (tasks_per_job * max_arrivals).ceil() as u32
}

/// Spare capacity of `cpus` processors on on-demand machines, spread over all zones, for demand without a forecast. It
/// is expressed as replicas that each take a whole machine of the type with the lowest price per processor.
fn spare_capacity(cpus: f64, catalog: &Catalog) -> Vec<Demand> {
    let price_per_cpu =
        |machine_type: &MachineType| machine_type.on_demand_price / machine_type.cpus;
    let types = catalog
        .machine_types
        .iter()
        .filter(|machine_type| machine_type.cpus > 0.0);
    let cheapest = types.min_by(|a, b| price_per_cpu(a).total_cmp(&price_per_cpu(b)));
    let Some(machine_type) = cheapest.filter(|_| cpus > 0.0) else {
        return Vec::new();
    };
    let zones = machine_type.zones.len() as f64;
    let machines_per_zone = (cpus / machine_type.cpus / zones).ceil() as u32;
    let job = Rc::new(Job::whole_machine_service(machine_type));
    let zones = machine_type.zones.iter().cloned();
    zones
        .map(|zone| reserved_demand(&job, Some(zone), machines_per_zone))
        .collect()
}

/// Demand for tasks that no user has submitted yet.
fn reserved_demand(job: &Rc<Job>, zone: Option<String>, tasks: u32) -> Demand {
    Demand {
        job: Rc::clone(job),
        tasks_within_limit: tasks,
        waiting_tasks: tasks,
        running_tasks: 0,
        running_remaining_s: 0.0,
        unschedulable_ms: 0,
        slack_s: 0.0,
        zone,
        full_zones: BTreeSet::new(),
        is_spot_only: false,
        is_spot_available: true,
    }
}

/// Allocates the supply to the demand and returns the demand that does not fit. The allocated capacity is removed from
/// the supply.
pub(super) fn unserved_demand(supply: &mut Vec<MachineSupply>, demand: &[Demand]) -> Vec<Demand> {
    let mut unserved = Vec::new();
    for demand in demand.iter().filter(|demand| demand.tasks_within_limit > 0) {
        let task_resources = demand.job.resources();
        let mut tasks = demand.tasks_within_limit;
        supply.retain_mut(|machine| {
            let allowed = allows(demand, &machine.offer);
            while tasks > 0 && allowed && machine.free.fits(&task_resources) {
                machine.free.allocate(&task_resources);
                tasks -= 1;
                machine.idle_machine = None;
            }
            machine.free.cpus > ROUNDING_TOLERANCE
        });
        if tasks > 0 {
            unserved.push(Demand {
                tasks_within_limit: tasks,
                ..demand.clone()
            });
        }
    }
    unserved
}

/// Processors that a team's demand needs.
#[derive(Default)]
struct TeamDemand {
    /// Processors to run all its tasks at the same time.
    cpus_at_once: f64,
    /// Processors to complete its remaining work within the slack of its tasks.
    cpus_in_time: f64,
}

/// Processors needed to complete all demand in time. They are computed by team, because jobs of a team reuse the
/// processors that earlier jobs of the team release. Replicas never release theirs, so all replicas are counted.
pub(super) fn cpus_needed(demand: &[Demand]) -> f64 {
    let mut teams: BTreeMap<&TeamName, TeamDemand> = BTreeMap::new();
    let mut service_cpus = 0.0;
    for demand in demand {
        let cpus = demand.job.spec.cpus;
        if demand.job.is_service() {
            service_cpus += cpus * f64::from(demand.tasks_within_limit + demand.running_tasks);
            continue;
        }
        let waiting_s = f64::from(demand.waiting_tasks) * demand.job.spec.estimated_runtime_s;
        let team = teams.entry(&demand.job.spec.team).or_default();
        team.cpus_at_once += cpus * f64::from(demand.tasks_within_limit + demand.running_tasks);
        team.cpus_in_time += cpus * (waiting_s + demand.running_remaining_s) / demand.slack_s;
    }
    teams
        .values()
        .map(|team| team.cpus_at_once.min(team.cpus_in_time))
        .sum::<f64>()
        + service_cpus
}

/// Whether the constraints of the demand allow machines of the offer.
pub(super) fn allows(demand: &Demand, offer: &InstanceOffer) -> bool {
    let job = &demand.job;
    job.allows_machine(&offer.machine_type, &offer.zone, offer.is_spot)
        && demand.zone.as_ref().is_none_or(|zone| *zone == offer.zone)
        && !demand.full_zones.contains(&offer.zone)
        && (offer.is_spot || !demand.is_spot_only)
}

/// Number of tasks that fit an empty machine, from the machine's capacity and the resources of each task.
pub(super) fn tasks_per_machine(capacity: &Resources, task_resources: &Resources) -> f64 {
    let ratio = |capacity: f64, per_task: f64| {
        if per_task > 0.0 {
            (capacity / per_task + ROUNDING_TOLERANCE).floor()
        } else {
            f64::INFINITY
        }
    };
    ratio(capacity.cpus, task_resources.cpus)
        .min(ratio(capacity.gpus, task_resources.gpus))
        .min(ratio(capacity.memory_gb, task_resources.memory_gb))
        .min(MAX_TASKS_PER_MACHINE)
}
