//! Rounds of handing out waiting tasks.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use worksshunt_wire::{Attempt, JobId, MachineId, NodeName, TaskId};

use crate::constants::{
    ATTEMPTS_PER_EPOCH, OLD_JOB_MS, ROUND_EVERY_MS, STARVED_MS, STARVED_OLD_MS, STARVED_SHARE,
};
use crate::jobs::Job;
use crate::room::Room;
use crate::time::{Budget, Now, Time};

use super::parts::{Down, PartView};
use super::work::Work;
use super::{Out, Scheduler};

/// What a job is served for in a round, in this order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Pass {
    /// It has had nothing for so long that it gets a share of its tasks before all others.
    Starved,
    /// Its team is within its guarantee, and it would soon have waited too long for that.
    GuaranteeAtRisk,
    /// What leaves its team within its guarantee.
    WithinGuarantee,
    /// What its team's limit admits.
    WithinLimit,
}

/// A round under way: jobs in order of service, and how far it has come.
#[derive(Debug, Default)]
pub(super) struct Round {
    order: Vec<(Pass, JobId)>,
    position: usize,
    began: Option<Time>,
    /// Something changed that another round may make use of.
    stirred: bool,
    /// Jobs that come first as long as their team is within its guarantee, as of the round's beginning.
    pressing: BTreeSet<JobId>,
}

impl Round {
    pub fn stir(&mut self) {
        self.stirred = true;
    }

    /// Whether the job comes first as long as its team is within its guarantee.
    pub fn presses(&self, job: &Job) -> bool {
        self.pressing.contains(&job.spec.id)
    }
}

/// Where a task may go: a part, a machine with room there, and the zone if it is bound to it.
struct Place {
    part: NodeName,
    machine: MachineId,
    zone: Option<String>,
    claimed: bool,
}

/// A part's machines that fit a job, the emptiest first, and the room on all of them.
struct Shelf<'a> {
    part: &'a NodeName,
    free: f64,
    machines: Vec<(Room, &'a MachineId)>,
}

impl<'a> Shelf<'a> {
    /// Takes the room of one task from the fullest machine.
    fn take(&mut self, need: &Room) -> Option<&'a MachineId> {
        let (room, id) = self.machines.last_mut()?;
        let id = *id;
        room.take(need);
        self.free -= need.cpus;
        if !room.holds(need) {
            self.free -= room.cpus;
            self.machines.pop();
        }
        Some(id)
    }
}

impl Scheduler {
    fn sort_jobs(&mut self, now: Now) {
        let mut works: Vec<&Work> = self
            .jobs
            .values()
            .filter(|work| work.not_before <= now.steady && work.waiting() > 0)
            .collect();
        works.sort_by_cached_key(|work| work.rank(now.wall_ms));
        let mut starved: Vec<&Work> = works
            .iter()
            .copied()
            .filter(|work| is_starved(work, now))
            .collect();
        starved.sort_by_key(|work| work.job.accepted_ms);
        let id = |work: &&Work| work.job.spec.id;
        let presses = |work: &&Work| self.objectives.guarantee_presses(&work.job, now.wall_ms);
        let mut pressing: Vec<&Work> = works.iter().copied().filter(presses).collect();
        if !pressing.is_empty() {
            let within = self.within_guarantees();
            pressing
                .sort_by_key(|work| (Reverse(work.job.spec.priority), !within.contains(&id(work))));
        }
        let pressing_ids = pressing.iter().map(id).collect();
        let order = |pass, works: &[&Work]| -> Vec<(Pass, JobId)> {
            works.iter().map(|work| (pass, id(work))).collect()
        };
        let mut all = order(Pass::Starved, &starved);
        all.extend(order(Pass::GuaranteeAtRisk, &pressing));
        for equals in works.chunk_by(|a, b| a.job.spec.priority == b.job.spec.priority) {
            all.extend(order(Pass::WithinGuarantee, equals));
            all.extend(order(Pass::WithinLimit, equals));
        }
        self.round.order = all;
        self.round.pressing = pressing_ids;
        self.round.position = 0;
        self.quota.keep_nothing();
        self.round.stirred = false;
        self.round.began = Some(now.steady);
    }

    /// Jobs that fit into their teams' guarantees together with the teams' earlier ones: those that users
    /// take to be within it.
    fn within_guarantees(&self) -> BTreeSet<JobId> {
        let mut works: Vec<&Work> = self.jobs.values().collect();
        works.sort_unstable_by_key(|work| (work.job.accepted_ms, work.job.spec.id));
        let mut guarantees = self.quota.unused();
        works
            .into_iter()
            .filter(|work| guarantees.fits_all(&work.job))
            .map(|work| work.job.spec.id)
            .collect()
    }

    /// Hands out waiting tasks: first to jobs that have waited too long; then what leaves its team within
    /// its guarantee and has waited nearly as long as that allows, by priority, and among equals first
    /// the jobs that users take to be within it; then by priority, among equals what leaves its team
    /// within its guarantee before the rest. Each by deadline or latest start, and age. Goes on where the last call
    /// stopped.
    pub fn round(&mut self, now: Now, budget: &Budget) {
        if self.round.position >= self.round.order.len() {
            let fresh = |began: Time| now.steady.since(began) < ROUND_EVERY_MS;
            if !self.round.stirred || self.round.began.is_some_and(fresh) {
                return;
            }
            self.sort_jobs(now);
        }
        while let Some((pass, id)) = self.round.order.get(self.round.position).copied() {
            if budget.spent() || self.numbers_used_up() {
                return;
            }
            self.hand_out(now, pass, id);
            self.round.position += 1;
        }
    }

    fn hand_out(&mut self, now: Now, pass: Pass, id: JobId) {
        let Some(work) = self.jobs.get_mut(&id) else {
            return;
        };
        let job = Rc::clone(&work.job);
        let waiting = work.waiting();
        let mut most = match pass {
            Pass::Starved => self
                .quota
                .admitted_first(&job)
                .min((waiting / STARVED_SHARE).max(1)),
            Pass::GuaranteeAtRisk | Pass::WithinGuarantee => self.quota.guaranteed(&job),
            Pass::WithinLimit => self.quota.admitted(&job),
        }
        .min(waiting);
        if waiting == 0 {
            work.stuck_since = None;
        }
        // What ends is left to a starved job: narrower tasks of its team would always forestall it.
        let mut kept = pass == Pass::Starved && waiting > 0;
        if kept {
            self.quota.keep(&job);
        }
        while most > 0 {
            // Each task of such a job decides where the next may go.
            let at_once = if job.zones_matter() { 1 } else { most };
            let places = self.places(now.steady, &job, at_once);
            let found = places.len() as u32;
            if kept && found > 0 {
                self.quota.keep_no_more(&job);
                kept = false;
            }
            for place in places {
                self.hand_out_to(now, &job, place);
            }
            if found < at_once {
                if let Some(work) = self.jobs.get_mut(&id) {
                    self.replica_stuck |= job.is_service() && work.stuck_since.is_none();
                    work.stuck_since.get_or_insert(now.steady);
                }
                return;
            }
            most -= found;
        }
    }

    fn hand_out_to(&mut self, now: Now, job: &Job, place: Place) {
        if self.numbers_used_up() {
            return;
        }
        let id = job.spec.id;
        let Some(work) = self.jobs.get_mut(&id) else {
            return;
        };
        let Some(index) = work.next_waiting() else {
            return;
        };
        if work.served.replace(now.steady).is_none() {
            let waited_ms = now.wall_ms.saturating_sub(job.accepted_ms);
            tracing::debug!(job = %id, tasks = job.spec.tasks, class = job.spec.class, waited_ms, "begins");
        }
        work.stuck_since = None;
        self.attempts += 1;
        let attempt = Attempt(self.epoch.0 * ATTEMPTS_PER_EPOCH + self.attempts);
        let mut out = Out::new(TaskId { job: id, index }, place.part.clone());
        out.zone = place.zone;
        out.claimed = place.claimed.then(|| place.machine.clone());
        if let Some(part) = self.parts.get_mut(&place.part) {
            part.reserve(&place.machine, job);
            part.post(Down::Assign(attempt));
        }
        out.reserved = Some(place.machine);
        self.insert_out(attempt, out);
    }

    /// Places for so many tasks of a job, as many as there are.
    fn places(&self, now: Time, job: &Job, most: u32) -> Vec<Place> {
        let zones = self.allowed_zones(job);
        let mut places: Vec<Place> = Vec::new();
        if let Some(place) = self.claimed_with_room(job, zones.as_ref()) {
            places.push(place);
        }
        let need = job.room();
        let mut shelves: Vec<Shelf> = self
            .parts
            .iter()
            .filter(|(_, part)| part.speaks(now))
            .map(|(name, part)| self.shelf(now, name, part, job, zones.as_ref()))
            .collect();
        while (places.len() as u32) < most {
            // The part with the most free room that fits the task.
            let roomiest = shelves
                .iter_mut()
                .filter(|shelf| !shelf.machines.is_empty())
                .reduce(|a, b| if b.free > a.free { b } else { a });
            let Some(shelf) = roomiest else { break };
            let Some(machine) = shelf.take(&need) else {
                break;
            };
            places.push(Place {
                part: shelf.part.clone(),
                machine: machine.clone(),
                zone: zones
                    .as_ref()
                    .and_then(|_| self.zone_of(shelf.part, machine)),
                claimed: false,
            });
        }
        places
    }

    fn shelf<'a>(
        &'a self,
        now: Time,
        name: &'a NodeName,
        part: &'a PartView,
        job: &Job,
        zones: Option<&BTreeSet<String>>,
    ) -> Shelf<'a> {
        let need = job.room();
        let kept = job.spec.spot && self.keeps_ordinary(now);
        let mut machines: Vec<(Room, &MachineId)> = part
            .with_room(need.cpus)
            .filter_map(|view| {
                let id = &view.up.id;
                let fits = view.room.holds(&need)
                    && !job.leaves(view.up.spot, kept)
                    && job.allows(&view.up.machine_type, &view.up.zone, view.up.spot)
                    && zones.is_none_or(|zones| zones.contains(&view.up.zone))
                    && !self.claims.contains_key(id)
                    && !self.drains.contains(id);
                fits.then_some((view.room, id))
            })
            .collect();
        machines.sort_by(|(a, _), (b, _)| b.cpus.total_cmp(&a.cpus));
        Shelf {
            part: name,
            free: machines.iter().map(|(room, _)| room.cpus).sum(),
            machines,
        }
    }

    fn zone_of(&self, part: &NodeName, machine: &MachineId) -> Option<String> {
        let view = self.parts.get(part)?.machines.get(machine)?;
        Some(view.up.zone.clone())
    }

    /// A machine claimed for the job that has room by now.
    fn claimed_with_room(&self, job: &Job, zones: Option<&BTreeSet<String>>) -> Option<Place> {
        let need = job.room();
        self.claims_for(job.spec.id).find_map(|machine| {
            let (part, view) = self
                .parts
                .iter()
                .find_map(|(name, part)| Some((name, part.machines.get(machine)?)))?;
            let fits = view.up.usable
                && view.room.holds(&need)
                && zones.is_none_or(|zones| zones.contains(&view.up.zone));
            fits.then(|| Place {
                part: part.clone(),
                machine: machine.clone(),
                zone: zones.map(|_| view.up.zone.clone()),
                claimed: true,
            })
        })
    }

    /// The zones the job's next task may be in; none where its other tasks do not decide that.
    pub(super) fn allowed_zones(&self, job: &Job) -> Option<BTreeSet<String>> {
        Some(self.zone_room(job)?.into_keys().collect())
    }

    /// How many more of the job's tasks each zone that has machines may have; none where its other tasks do
    /// not decide that.
    pub(super) fn zone_room(&self, job: &Job) -> Option<BTreeMap<String, u32>> {
        let bounds = self.zone_bounds(job)?;
        let all: BTreeSet<String> = self.machines().map(|m| m.up.zone.clone()).collect();
        Some(
            all.into_iter()
                .filter_map(|zone| {
                    let left = bounds.left(&zone);
                    (left > 0).then_some((zone, left))
                })
                .collect(),
        )
    }

    /// What the job's tasks say of the zones of those to come; none where they do not decide that.
    pub(super) fn zone_bounds(&self, job: &Job) -> Option<ZoneBounds> {
        if !job.zones_matter() {
            return None;
        }
        let work = self.jobs.get(&job.spec.id)?;
        let mut on: BTreeMap<String, u32> = BTreeMap::new();
        let mut unplaced = 0;
        for (index, attempts) in &work.active {
            if work.done.contains(*index) {
                continue;
            }
            for attempt in attempts {
                // The owner may have described the machine only after it named the attempt.
                let zone = self.outs.get(attempt).and_then(|out| {
                    let machine = out.machine.as_ref();
                    let there = || self.zone_of(&out.part, machine?);
                    out.zone.clone().or_else(there)
                });
                match zone {
                    Some(zone) => *on.entry(zone).or_default() += 1,
                    None => unplaced += 1,
                }
            }
        }
        let done = work.done.zones();
        // Tasks on machines bind those to come, whatever zone others were done in: the zone of a completion
        // may become known only when the rest is elsewhere. What is done binds when nothing else does.
        let binding = if on.is_empty() { done } else { &on };
        let only = match job.spec.one_zone {
            // An attempt somewhere unknown (inherited, its machine silent) may be in any zone.
            true if unplaced > 0 => Some(BTreeSet::new()),
            true if !binding.is_empty() => Some(binding.keys().cloned().collect()),
            _ => None,
        };
        for (zone, tasks) in done {
            *on.entry(zone.clone()).or_default() += tasks;
        }
        Some(ZoneBounds {
            only,
            taken: on,
            unplaced,
            limit: job.zone_limit(),
        })
    }
}

/// Which zones a job's next task may be in, by the others. Says nothing of where there are machines.
#[derive(Debug)]
pub(super) struct ZoneBounds {
    /// The zones that come into question; none: any.
    pub only: Option<BTreeSet<String>>,
    /// Tasks of the job in each zone, done ones included.
    taken: BTreeMap<String, u32>,
    /// Tasks in zones that are not known.
    unplaced: u32,
    /// Most tasks in one zone.
    limit: u32,
}

impl ZoneBounds {
    /// How many more tasks the zone may have.
    fn left(&self, zone: &str) -> u32 {
        let allowed = |zones: &BTreeSet<String>| zones.contains(zone);
        if !self.only.as_ref().is_none_or(allowed) {
            return 0;
        }
        let taken = self.taken.get(zone).copied().unwrap_or(0) + self.unplaced;
        self.limit.saturating_sub(taken)
    }

    /// Zones that may have no more.
    pub fn full(&self) -> BTreeSet<String> {
        let zones = self.taken.keys();
        zones.filter(|zone| self.left(zone) == 0).cloned().collect()
    }
}

/// Whether a job has had nothing for so long that its age has to win; an old job sooner.
fn is_starved(work: &Work, now: Now) -> bool {
    let age_ms = now.wall_ms.saturating_sub(work.job.accepted_ms);
    let waited_ms = work
        .served
        .map_or(age_ms, |served| now.steady.since(served));
    let patience_ms = if age_ms >= OLD_JOB_MS {
        STARVED_OLD_MS
    } else {
        STARVED_MS
    };
    waited_ms >= patience_ms
}
