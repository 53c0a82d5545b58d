//! Renting and returning machines. Only the leader does this.

mod listing;

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use worksshunt_wire::cloud::{
    Catalog, ListedMachine, ListedState, MachineList, MachineNames, MachineType, RentRequest,
};
use worksshunt_wire::peer::MachineUp;
use worksshunt_wire::settings::{CloudLimits, Workers};
use worksshunt_wire::{Epoch, MachineId, TeamName};

use crate::constants::{
    BOOT_EXTRA_S, BOOT_FACTOR, IDLE_BOOTS, IDLE_LEAST_MS, RENTALS_AT_ONCE, RENT_MOST,
    RENT_REFUSED_MS, RESERVE_BOOTS, RETURN_MOST, ROUNDING, SILENT_RETURN_LEASES, UNHEARD_REPORTS,
};
use crate::jobs::Job;
use crate::placement::Room;
use crate::scheduler::{Demand, Expected, Forecast, MachineView};
use crate::time::Time;

use listing::Listings;

/// One kind of machine that can be rented.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Offer {
    /// Machine type.
    pub machine_type: String,
    /// Zone.
    pub zone: String,
    /// Spot or ordinary.
    pub spot: bool,
}

impl From<&MachineUp> for Offer {
    fn from(up: &MachineUp) -> Offer {
        Offer {
            machine_type: up.machine_type.clone(),
            zone: up.zone.clone(),
            spot: up.spot,
        }
    }
}

impl From<&ListedMachine> for Offer {
    fn from(listed: &ListedMachine) -> Offer {
        Offer {
            machine_type: listed.machine_type.clone(),
            zone: listed.zone.clone(),
            spot: listed.spot,
        }
    }
}

impl From<&RentRequest> for Offer {
    fn from(request: &RentRequest) -> Offer {
        Offer {
            machine_type: request.machine_type.clone(),
            zone: request.zone.clone(),
            spot: request.spot,
        }
    }
}

/// Where a rented machine stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
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
struct Tracked {
    offer: Offer,
    stage: Stage,
    /// When it was rented or first seen.
    since: Time,
    /// Since when the cloud lists it as running.
    running: Option<Time>,
    /// When a part last described it.
    heard: Option<Time>,
    idle_since: Option<Time>,
}

impl Tracked {
    fn new(offer: Offer, stage: Stage, since: Time) -> Tracked {
        Tracked {
            offer,
            stage,
            since,
            running: None,
            heard: None,
            idle_since: None,
        }
    }

    /// The one place where a machine's stage changes.
    fn step(&mut self, id: &MachineId, next: Stage) {
        if self.stage != next {
            tracing::debug!(machine = %id, from = ?self.stage, to = ?next, "machine");
            self.stage = next;
        }
    }
}

/// A machine that takes tasks or is going to, with the room on it.
#[derive(Debug, Clone)]
struct Supply {
    offer: Offer,
    room: Room,
    /// Its name, if nothing is on it.
    empty: Option<MachineId>,
}

/// A request the leader wants sent to the cloud.
#[derive(Debug, Clone, PartialEq)]
pub enum CloudRequest {
    /// Rent machines.
    Rent(RentRequest),
    /// Return machines.
    Return(MachineNames),
    /// Read the whole machine list.
    List,
    /// Read the catalogue.
    Catalog,
}

/// A rental request that is not answered. It is repeated under its name until it is.
#[derive(Debug)]
struct Rental {
    request: RentRequest,
    in_flight: bool,
}

/// The leader's view of the rented machines.
#[derive(Debug)]
pub struct Fleet {
    epoch: Epoch,
    requests: u64,
    machines: BTreeMap<MachineId, Tracked>,
    refused_until: BTreeMap<Offer, Time>,
    /// The rental requests under way.
    renting: Vec<Rental>,
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
    pub fn new(epoch: Epoch, now: Time, cloud: &CloudLimits, workers: &Workers) -> Fleet {
        let lag_ms = (cloud.list_lag_s * 1_000.0) as u64;
        // The first epoch has no former leader.
        let wait = if epoch.0 <= 1 { 0 } else { lag_ms };
        Fleet {
            epoch,
            requests: 0,
            machines: BTreeMap::new(),
            refused_until: BTreeMap::new(),
            renting: Vec::new(),
            return_in_flight: false,
            gone: BTreeMap::new(),
            listings: Listings::default(),
            rent_from: now + wait,
            lag_ms,
            give_up_from: Time::default(),
            give_up_ms: (workers.lease_s * 1_000.0 * SILENT_RETURN_LEASES) as u64,
            unheard_ms: (workers.report_s * 1_000.0 * UNHEARD_REPORTS) as u64,
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
        for rental in &mut self.renting {
            rental.in_flight = false;
        }
        self.return_in_flight = false;
        self
    }

    /// Takes in the pages of the machine list. A machine that was listed and is missing from a later
    /// list is gone. One that was never listed is dropped only when it was not heard of either.
    pub fn listed(&mut self, now: Time, pages: &[MachineList]) {
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
            let tracked = self
                .machines
                .entry(machine.id.clone())
                .or_insert_with(|| Tracked::new(machine.into(), Stage::Booting, since));
            if machine.state == ListedState::Running {
                tracked.running.get_or_insert(now);
            }
            if machine.state == ListedState::Failed && tracked.stage != Stage::Returning {
                tracing::info!(machine = %machine.id, "machine failed");
                tracked.heard = None;
                tracked.step(&machine.id, Stage::Draining);
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
    pub fn heard<'a>(&mut self, now: Time, machines: impl Iterator<Item = &'a MachineView>) {
        for view in machines {
            let up = &view.up;
            if up.lost || self.gone.contains_key(&up.id) {
                continue;
            }
            let tracked = self
                .machines
                .entry(up.id.clone())
                .or_insert_with(|| Tracked::new(up.into(), Stage::Up, now));
            tracked.heard = Some(now);
            if tracked.stage == Stage::Booting {
                tracked.step(&up.id, Stage::Up);
            }
            if up.unreached && tracked.stage == Stage::Up {
                tracing::info!(machine = %up.id, "machine is heard but not reached: returned");
                tracked.step(&up.id, Stage::Draining);
            }
            // What is on its way to it may be a replica, which would keep it from going back for good.
            tracked.idle_since = view.idle_since.filter(|_| !view.awaits());
        }
    }

    /// Machines that take no new tasks.
    pub fn drains(&self) -> BTreeSet<MachineId> {
        self.machines
            .iter()
            .filter(|(_, t)| matches!(t.stage, Stage::Draining | Stage::Returning))
            .map(|(id, _)| id.clone())
            .collect()
    }

    /// Machines confirmed gone.
    pub fn gone(&self) -> BTreeSet<MachineId> {
        self.gone.keys().cloned().collect()
    }

    /// Decides what to return and what to rent.
    pub fn plan<'a>(
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
        let mut there: BTreeMap<Offer, f64> = BTreeMap::new();
        for Supply { offer, .. } in &supply {
            let cpus = catalog.get(&offer.machine_type).map_or(0.0, |t| t.cpus);
            *there.entry(offer.clone()).or_default() += cpus;
        }
        let mut left = unserved(&mut supply, demand);
        // What is expected takes what is busy already first, so that as few machines as can be stand by.
        let classes = forecast.classes.iter();
        let mut reserve: Vec<Demand> = classes.flat_map(|class| reserve(class, catalog)).collect();
        reserve.extend(standby(forecast.standby_cpus, catalog));
        supply.sort_by(|a, b| a.room.cpus.total_cmp(&b.room.cpus));
        let empty: BTreeSet<MachineId> = supply.iter().filter_map(|s| s.empty.clone()).collect();
        let beyond = unserved(&mut supply, &reserve);
        let spare: BTreeSet<&MachineId> = supply.iter().filter_map(|s| s.empty.as_ref()).collect();
        let kept = empty.iter().filter(|id| !spare.contains(id)).collect();
        left.extend(beyond);
        self.give_up_silent(now, &forecast.silent);
        if let Some(names) = self.returns(now, catalog, &machines, &kept) {
            self.return_in_flight = true;
            requests.push(CloudRequest::Return(names));
        }
        if now < self.rent_from {
            return requests;
        }
        for rental in self.renting.iter_mut().filter(|r| !r.in_flight) {
            rental.in_flight = true;
            requests.push(CloudRequest::Rent(rental.request.clone()));
        }
        while self.renting.len() < RENTALS_AT_ONCE {
            let Some(request) = self.rental(now, catalog, &there, &left, demand) else {
                break;
            };
            let mut asked = asked_for(&request, catalog);
            *there.entry(Offer::from(&request)).or_default() +=
                asked.iter().map(|supply| supply.room.cpus).sum::<f64>();
            left = unserved(&mut asked, &left);
            self.renting.push(Rental {
                request: request.clone(),
                in_flight: true,
            });
            requests.push(CloudRequest::Rent(request));
        }
        requests
    }

    /// Machines that take tasks, those that boot and those asked for, with the room on each.
    fn supply(&self, now: Time, catalog: &Catalog, machines: &[&MachineView]) -> Vec<Supply> {
        let up = machines
            .iter()
            .filter(|view| view.up.usable)
            .map(|view| Supply {
                offer: Offer::from(&view.up),
                room: view.room,
                empty: view.idle_since.map(|_| view.up.id.clone()),
            });
        let booting = self
            .machines
            .values()
            .filter(|t| t.stage == Stage::Booting)
            // One that runs and is not heard of will hardly do any work.
            .filter(|t| t.running.is_none_or(|at| now.since(at) < self.unheard_ms))
            .filter_map(|t| {
                let room = Room::of_type(catalog.get(&t.offer.machine_type)?);
                Some(Supply {
                    offer: t.offer.clone(),
                    room,
                    empty: None,
                })
            });
        let asked = self.renting.iter();
        let asked = asked.flat_map(|rental| asked_for(&rental.request, catalog));
        up.chain(booting).chain(asked).collect()
    }

    /// The next rental, for the kind of machine that most of the unserved demand wants.
    ///
    /// A machine is rented when the work at hand would keep all there are busy for longer than
    /// their tasks may wait, and there are tasks it could start at once.
    fn rental(
        &mut self,
        now: Time,
        catalog: &Catalog,
        there: &BTreeMap<Offer, f64>,
        left: &[Demand],
        demand: &[Demand],
    ) -> Option<RentRequest> {
        let needed = processors_needed(demand);
        let mut wanted: BTreeMap<Offer, f64> = BTreeMap::new();
        let mut in_zone: BTreeMap<&String, usize> = BTreeMap::new();
        for tracked in self.machines.values() {
            *in_zone.entry(&tracked.offer.zone).or_default() += 1;
        }
        for Rental { request, .. } in &self.renting {
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
        wanted.retain(|_, count| *count > ROUNDING);
        let (offer, count) = wanted.into_iter().max_by(|(_, a), (_, b)| a.total_cmp(b))?;
        self.requests += 1;
        let request = RentRequest {
            request: format!("e{}-{}", self.epoch, self.requests),
            machine_type: offer.machine_type,
            zone: offer.zone,
            spot: offer.spot,
            count: (count.ceil() as u32).clamp(1, RENT_MOST),
        };
        tracing::info!(
            request = request.request,
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
    fn best_offer(
        &self,
        now: Time,
        catalog: &Catalog,
        demand: &Demand,
        in_zone: &BTreeMap<&String, usize>,
    ) -> Option<(Offer, f64)> {
        let need = Room::of_job(&demand.job);
        let mut best: Option<(f64, usize, Offer, f64)> = None;
        for t in &catalog.types {
            let slots = slots(&Room::of_type(t), &need);
            if slots < 1.0 {
                continue;
            }
            for zone in &t.zones {
                let kinds = [(true, t.spot_price), (false, Some(t.price))];
                for (spot, price) in kinds {
                    let Some(price) = price else { continue };
                    let offer = Offer {
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

    /// Gives up a silent machine with replicas on it, one at a time.
    fn give_up_silent(&mut self, now: Time, silent: &[MachineId]) {
        // What is not returned in the same step would count as heard again.
        if now < self.give_up_from || self.return_in_flight {
            return;
        }
        for id in silent {
            if let Some(tracked) = self.machines.get_mut(id).filter(|t| t.stage == Stage::Up) {
                tracing::info!(machine = %id, "machine with replicas is silent: returned");
                tracked.heard = None;
                tracked.step(id, Stage::Draining);
                self.give_up_from = now + self.give_up_ms;
                return;
            }
        }
    }

    /// Machines to return now, after marking those that should drain.
    fn returns(
        &mut self,
        now: Time,
        catalog: &Catalog,
        machines: &[&MachineView],
        kept: &BTreeSet<&MachineId>,
    ) -> Option<MachineNames> {
        let empty: BTreeSet<&MachineId> = machines
            .iter()
            .filter(|view| view.idle_since.is_some() && !view.up.usable)
            .map(|view| &view.up.id)
            .collect();
        let mut names = Vec::new();
        for (id, tracked) in &mut self.machines {
            let boot_s = catalog
                .get(&tracked.offer.machine_type)
                .map_or(0.0, |t| t.boot_s);
            let idle_ms = ((boot_s * IDLE_BOOTS * 1_000.0) as u64).max(IDLE_LEAST_MS);
            let idle = tracked
                .idle_since
                .is_some_and(|since| now.since(since) >= idle_ms);
            let patience = ((boot_s * BOOT_FACTOR + BOOT_EXTRA_S) * 1_000.0) as u64;
            let silent = now.since(tracked.heard.unwrap_or(tracked.since)) > patience;
            match tracked.stage {
                Stage::Up if idle && !kept.contains(id) => tracked.step(id, Stage::Draining),
                Stage::Booting | Stage::Up if silent => {
                    tracing::info!(machine = %id, stage = ?tracked.stage, "machine is silent: returned");
                    tracked.heard = None;
                    tracked.step(id, Stage::Draining);
                }
                // Empty by its owner's word, given after it stopped taking tasks; or never heard of.
                Stage::Draining if tracked.heard.is_none() || empty.contains(id) => {
                    names.push(id.clone());
                }
                Stage::Returning if !self.return_in_flight => names.push(id.clone()),
                _ => {}
            }
        }
        names.truncate(RETURN_MOST);
        if names.is_empty() || self.return_in_flight {
            return None;
        }
        for id in &names {
            if let Some(tracked) = self.machines.get_mut(id) {
                if tracked.stage != Stage::Returning {
                    tracing::info!(machine = %id, "returning");
                }
                tracked.step(id, Stage::Returning);
            }
        }
        Some(MachineNames { machines: names })
    }

    /// A rental request was answered with machines.
    pub fn rented(&mut self, now: Time, request: &str, names: &MachineNames) {
        let Some(request) = self.answered(request) else {
            return;
        };
        let offer = Offer::from(&request);
        if (names.machines.len() as u32) < request.count {
            self.refuse(now, offer.clone());
        }
        for id in &names.machines {
            self.machines
                .entry(id.clone())
                .or_insert_with(|| Tracked::new(offer.clone(), Stage::Booting, now));
        }
    }

    /// A rental request was refused for want of machines.
    pub fn rent_refused(&mut self, now: Time, request: &str) {
        if let Some(request) = self.answered(request) {
            self.refuse(now, Offer::from(&request));
        }
    }

    fn refuse(&mut self, now: Time, offer: Offer) {
        tracing::info!(
            machine_type = offer.machine_type,
            zone = offer.zone,
            spot = offer.spot,
            "the cloud has no more of these for now"
        );
        self.refused_until.insert(offer, now + RENT_REFUSED_MS);
    }

    /// A rental request has no answer; it is repeated under its name.
    pub fn rent_unanswered(&mut self, request: &str) {
        let mut renting = self.renting.iter_mut();
        if let Some(rental) = renting.find(|r| r.request.request == request) {
            rental.in_flight = false;
        }
    }

    /// The request under way of that name, if the answer is not to a former leader's.
    fn answered(&mut self, request: &str) -> Option<RentRequest> {
        let mut renting = self.renting.iter();
        let index = renting.position(|r| r.request.request == request)?;
        Some(self.renting.swap_remove(index).request)
    }

    /// A return request was answered; on success the machines are gone.
    pub fn returned(&mut self, now: Time, names: Option<&MachineNames>) {
        self.return_in_flight = false;
        if let Some(names) = names {
            for id in &names.machines {
                self.machines.remove(id);
                self.gone.insert(id.clone(), now);
            }
        }
    }
}

/// What a rental brings if it is granted in full.
fn asked_for(request: &RentRequest, catalog: &Catalog) -> Vec<Supply> {
    let Some(machine_type) = catalog.get(&request.machine_type) else {
        return Vec::new();
    };
    let machine = Supply {
        offer: Offer::from(request),
        room: Room::of_type(machine_type),
        empty: None,
    };
    vec![machine; request.count as usize]
}

/// Room kept for replicas that are likely to be asked for before a machine rented for them would be up, the
/// largest job at any time.
fn reserve(expected: &Expected, catalog: &Catalog) -> Vec<Demand> {
    let job = &expected.job;
    let offers = catalog.types.iter().flat_map(|t| {
        let allowed = t
            .zones
            .iter()
            .filter(|zone| job.allows(&t.name, zone, false));
        allowed.map(|zone| (zone, t.boot_s))
    });
    let (zones, boots): (BTreeSet<&String>, Vec<f64>) = offers.unzip();
    let Some(boot_s) = boots.into_iter().min_by(f64::total_cmp) else {
        return Vec::new();
    };
    let jobs = f64::from(expected.jobs);
    let coming = jobs * 1_000.0 / expected.over_ms as f64 * boot_s * RESERVE_BOOTS;
    // They come by chance: now and then there are more of them, by the root of their number or so.
    let each = f64::from(expected.lately) / jobs.max(1.0);
    let tasks = expected.largest + (each * (coming + coming.sqrt())).ceil() as u32;
    if job.spec.spread && zones.len() > 1 {
        let each = tasks.div_ceil(zones.len() as u32);
        let zones = zones.into_iter().cloned();
        zones.map(|zone| kept_room(job, Some(zone), each)).collect()
    } else {
        vec![kept_room(job, None, tasks)]
    }
}

/// So many processors of ordinary machines, in all zones, for what nothing is known of yet. They are
/// asked for as replicas that take a whole machine of the cheapest type.
fn standby(cpus: f64, catalog: &Catalog) -> Vec<Demand> {
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
        .map(|zone| kept_room(&job, Some(zone), each))
        .collect()
}

/// Room kept for so many tasks that nobody has asked for yet.
fn kept_room(job: &Rc<Job>, zone: Option<String>, tasks: u32) -> Demand {
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
fn unserved(supply: &mut Vec<Supply>, demand: &[Demand]) -> Vec<Demand> {
    let mut left = Vec::new();
    for wanted in demand {
        let need = Room::of_job(&wanted.job);
        let mut tasks = wanted.tasks;
        supply.retain_mut(|Supply { offer, room, empty }| {
            let allowed = allows(wanted, offer);
            while tasks > 0 && allowed && room.holds(&need) {
                room.take(&need);
                tasks -= 1;
                *empty = None;
            }
            room.cpus > ROUNDING
        });
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
fn processors_needed(demand: &[Demand]) -> f64 {
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

fn allows(demand: &Demand, offer: &Offer) -> bool {
    let job = &demand.job;
    job.allows(&offer.machine_type, &offer.zone, offer.spot)
        && demand.zone.as_ref().is_none_or(|zone| *zone == offer.zone)
        && !demand.full_zones.contains(&offer.zone)
        && (offer.spot || !demand.spot_only)
}

/// How many tasks of that need a machine holds.
fn slots(room: &Room, need: &Room) -> f64 {
    let ratio = |all: f64, one: f64| {
        if one > 0.0 {
            (all / one + ROUNDING).floor()
        } else {
            f64::INFINITY
        }
    };
    ratio(room.cpus, need.cpus)
        .min(ratio(room.gpus, need.gpus))
        .min(ratio(room.memory_gb, need.memory_gb))
        .min(1e6)
}

#[cfg(test)]
mod tests {
    use super::*;

    fn catalog() -> Catalog {
        serde_json::from_value(serde_json::json!({"Modelos": [
            {"Name": "m4", "Cores": 4, "Gpus": 0, "RamGb": 16, "Rate": 1.0, "LowPrice": 0.4,
             "ReadyS": 10, "Patios": ["a"]}]}))
        .expect("catalog")
    }

    fn fleet(epoch: u64) -> Fleet {
        let cloud = serde_json::json!({"rps": 5.0, "list_lag_s": 5.0});
        let workers = serde_json::json!({"report_s": 2.5, "lease_s": 16.0, "cancel_s": 30.0});
        let cloud = serde_json::from_value(cloud).expect("limits");
        let workers = serde_json::from_value(workers).expect("workers");
        Fleet::new(Epoch(epoch), Time(0), &cloud, &workers)
    }

    fn listed(state: ListedState, age_s: f64) -> [MachineList; 1] {
        let machine = ListedMachine {
            id: "i-000001".into(),
            machine_type: "m4".into(),
            zone: "a".into(),
            spot: true,
            state,
            age_s,
        };
        [MachineList {
            machines: vec![machine],
            more: false,
        }]
    }

    fn demand(tasks: u32, deadline_s: Option<f64>) -> Vec<Demand> {
        let spec = serde_json::from_value(serde_json::json!({
            "Ref": "j-000001", "Carril": "c", "Cuadrilla": "t", "Oficio": "array",
            "Turno": "normal", "Piezas": tasks, "Cores": 1.0, "Gpus": 0.0, "RamGb": 1.0,
            "Molde": "i", "SizeGb": 1.0, "SamePlace": false, "Spread": false, "Prestados": true,
            "CalculoS": 600.0, "RespaldoS": 0.0, "GuardadoS": 0.0, "EntregaS": deadline_s}))
        .expect("a job");
        vec![Demand {
            job: Rc::new(Job {
                spec,
                accepted_ms: 0,
            }),
            tasks,
            waiting: tasks,
            running: 0,
            running_s: 0.0,
            slack_s: 20.0,
            zone: None,
            full_zones: BTreeSet::new(),
            spot_only: false,
            spotless: false,
        }]
    }

    fn plan(fleet: &mut Fleet, now: u64, demand: &[Demand]) -> Vec<CloudRequest> {
        fleet.plan(
            Time(now),
            &catalog(),
            std::iter::empty(),
            demand,
            &Forecast::default(),
        )
    }

    // Guards against machines rented over and over where the tasks that wait may not run, while the zone that
    // they need is refused (found by days of mixed troubles).
    #[test]
    fn no_machine_is_rented_in_a_zone_that_may_have_no_more_of_the_tasks() {
        let zones = |full: &[&str]| -> BTreeSet<String> {
            let mut fleet = fleet(1);
            let mut demand = demand(40, None);
            demand[0].full_zones = full.iter().map(|zone| (*zone).to_owned()).collect();
            let mut asked = BTreeSet::new();
            for now in (0..20_000).step_by(1_000) {
                for request in plan(&mut fleet, now, &demand) {
                    if let CloudRequest::Rent(rent) = request {
                        fleet.rent_refused(Time(now), &rent.request);
                        asked.insert(rent.zone);
                    }
                }
            }
            asked
        };
        assert_eq!(zones(&[]), BTreeSet::from(["a".to_owned()]));
        assert_eq!(zones(&["a"]), BTreeSet::new());
    }

    // Guards against minutes until a large fleet is there again, and against asking for it twice.
    #[test]
    fn a_large_fleet_is_asked_for_in_several_requests_at_once() {
        let mut fleet = fleet(1);
        let mut asked = 0;
        for now in (0..5_000).step_by(1_000) {
            for request in plan(&mut fleet, now, &demand(2_400, None)) {
                let CloudRequest::Rent(rent) = request else {
                    panic!("{request:?}");
                };
                asked += rent.count;
                let names = (asked - rent.count..asked).map(|n| MachineId(format!("i-{n:06}")));
                let machines = names.collect();
                fleet.rented(Time(now), &rent.request, &MachineNames { machines });
            }
        }
        assert_eq!(asked, 600, "four tasks on each");
    }

    // Guards against a new leader that returns machines for being old and not heard of yet.
    #[test]
    fn a_machine_that_is_up_counts_as_silent_only_from_its_first_sighting() {
        let mut fleet = fleet(2);
        fleet.listed(Time(500_000), &listed(ListedState::Running, 400.0));
        for now in [501_000, 520_000, 540_000] {
            assert_eq!(plan(&mut fleet, now, &[]), vec![], "at {now} ms");
        }
        plan(&mut fleet, 560_000, &[]);
        let requests = plan(&mut fleet, 561_000, &[]);
        assert!(
            matches!(&requests[..], [CloudRequest::Return(names)] if names.machines.len() == 1),
            "a machine nobody ever heard of goes back in the end: {requests:?}"
        );
    }

    #[test]
    fn a_machine_that_never_boots_goes_back() {
        let mut fleet = fleet(2);
        fleet.listed(Time(100_000), &listed(ListedState::Starting, 90.0));
        plan(&mut fleet, 100_000, &[]);
        let requests = plan(&mut fleet, 101_000, &[]);
        assert!(matches!(&requests[..], [CloudRequest::Return(_)]));
    }

    #[test]
    fn spot_machines_come_first_and_ordinary_ones_when_they_are_refused() {
        let mut fleet = fleet(1);
        let first = plan(&mut fleet, 0, &demand(8, Some(900.0)));
        let [CloudRequest::Rent(first)] = &first[..] else {
            panic!("{first:?}");
        };
        assert!(first.spot && first.count == 2);
        assert_eq!(
            plan(&mut fleet, 1_000, &demand(8, Some(900.0))),
            vec![],
            "what was asked for counts"
        );
        fleet.rent_unanswered(&first.request);
        let again = plan(&mut fleet, 2_000, &demand(8, Some(900.0)));
        assert_eq!(
            again,
            vec![CloudRequest::Rent(first.clone())],
            "same name, same request"
        );
        fleet.rent_refused(Time(3_000), &first.request);
        let patient = plan(&mut fleet, 3_500, &demand(8, None));
        assert_eq!(
            patient,
            vec![],
            "without a deadline it waits for a spot machine"
        );
        let second = plan(&mut fleet, 4_000, &demand(8, Some(900.0)));
        assert!(
            matches!(&second[..], [CloudRequest::Rent(r)] if !r.spot && r.request != first.request)
        );
    }
}
