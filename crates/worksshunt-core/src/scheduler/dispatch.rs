//! Rounds of handing out waiting tasks.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use worksshunt_wire::{Attempt, ControllerName, JobId, MachineId, TaskId};

use crate::constants::leases::ATTEMPTS_PER_EPOCH;
use crate::constants::scheduling::{
    OLD_JOB_MS, OLD_JOB_STARVATION_MS, STARVATION_MS, STARVED_TASK_DIVISOR,
};
use crate::constants::timers::ROUND_INTERVAL_MS;
use crate::jobs::Job;
use crate::resources::Resources;
use crate::time::{Budget, Now, Time};

use super::job_tasks::JobTasks;
use super::partitions::{Directive, PartitionView};
use super::{ActiveAttempt, Scheduler};

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
pub(super) struct SchedulingRound {
    order: Vec<(Pass, JobId)>,
    position: usize,
    began: Option<Time>,
    /// Something changed that another round may make use of.
    requested: bool,
    /// Jobs that come first as long as their team is within its guarantee, as of the round's beginning.
    at_risk: BTreeSet<JobId>,
}

impl SchedulingRound {
    pub fn request(&mut self) {
        self.requested = true;
    }

    /// Whether the job comes first as long as its team is within its guarantee.
    pub fn is_at_risk(&self, job: &Job) -> bool {
        self.at_risk.contains(&job.spec.id)
    }
}

/// Where a task may go: a part, a machine with room there, and the zone if it is bound to it.
struct PlacementTarget {
    owner: ControllerName,
    machine: MachineId,
    zone: Option<String>,
    claimed: bool,
}

/// A part's machines that fit a job, the emptiest first, and the room on all of them.
struct CandidateMachines<'a> {
    owner: &'a ControllerName,
    free_cpus: f64,
    machines: Vec<(Resources, &'a MachineId)>,
}

impl<'a> CandidateMachines<'a> {
    /// Takes the room of one task from the fullest machine.
    fn allocate(&mut self, need: &Resources) -> Option<&'a MachineId> {
        let (room, id) = self.machines.last_mut()?;
        let id = *id;
        room.allocate(need);
        self.free_cpus -= need.cpus;
        if !room.fits(need) {
            self.free_cpus -= room.cpus;
            self.machines.pop();
        }
        Some(id)
    }
}

impl Scheduler {
    fn begin_round(&mut self, now: Now) {
        let mut works: Vec<&JobTasks> = self
            .jobs
            .values()
            .filter(|work| work.not_before <= now.steady && work.waiting() > 0)
            .collect();
        works.sort_by_cached_key(|work| work.rank(now.wall_ms));
        let mut starved: Vec<&JobTasks> = works
            .iter()
            .copied()
            .filter(|work| is_starved(work, now))
            .collect();
        starved.sort_by_key(|work| work.job.accepted_ms);
        let id = |work: &&JobTasks| work.job.spec.id;
        let presses = |work: &&JobTasks| self.objectives.guarantee_at_risk(&work.job, now.wall_ms);
        let mut pressing: Vec<&JobTasks> = works.iter().copied().filter(presses).collect();
        if !pressing.is_empty() {
            let within = self.within_guarantees();
            pressing
                .sort_by_key(|work| (Reverse(work.job.spec.priority), !within.contains(&id(work))));
        }
        let pressing_ids = pressing.iter().map(id).collect();
        let order = |pass, works: &[&JobTasks]| -> Vec<(Pass, JobId)> {
            works.iter().map(|work| (pass, id(work))).collect()
        };
        let mut all = order(Pass::Starved, &starved);
        all.extend(order(Pass::GuaranteeAtRisk, &pressing));
        for equals in works.chunk_by(|a, b| a.job.spec.priority == b.job.spec.priority) {
            all.extend(order(Pass::WithinGuarantee, equals));
            all.extend(order(Pass::WithinLimit, equals));
        }
        self.round.order = all;
        self.round.at_risk = pressing_ids;
        self.round.position = 0;
        self.quota.clear_reservations();
        self.round.requested = false;
        self.round.began = Some(now.steady);
    }

    /// Jobs that fit into their teams' guarantees together with the teams' earlier ones: those that users
    /// take to be within it.
    fn within_guarantees(&self) -> BTreeSet<JobId> {
        let mut works: Vec<&JobTasks> = self.jobs.values().collect();
        works.sort_unstable_by_key(|work| (work.job.accepted_ms, work.job.spec.id));
        let mut guarantees = self.quota.without_usage();
        works
            .into_iter()
            .filter(|work| guarantees.charge_all_within_guarantee(&work.job))
            .map(|work| work.job.spec.id)
            .collect()
    }

    /// Hands out waiting tasks: first to jobs that have waited too long; then what leaves its team within
    /// its guarantee and has waited nearly as long as that allows, by priority, and among equals first
    /// the jobs that users take to be within it; then by priority, among equals what leaves its team
    /// within its guarantee before the rest. Each by deadline or latest start, and age. Goes on where the last call
    /// stopped.
    pub fn run_round(&mut self, now: Now, budget: &Budget) {
        if self.round.position >= self.round.order.len() {
            let fresh = |began: Time| now.steady.since(began) < ROUND_INTERVAL_MS;
            if !self.round.requested || self.round.began.is_some_and(fresh) {
                return;
            }
            self.begin_round(now);
        }
        while let Some((pass, id)) = self.round.order.get(self.round.position).copied() {
            if budget.exhausted() || self.attempts_exhausted() {
                return;
            }
            self.dispatch_job(now, pass, id);
            self.round.position += 1;
        }
    }

    fn dispatch_job(&mut self, now: Now, pass: Pass, id: JobId) {
        let Some(work) = self.jobs.get_mut(&id) else {
            return;
        };
        let job = Rc::clone(&work.job);
        let waiting = work.waiting();
        let mut most = match pass {
            Pass::Starved => self
                .quota
                .tasks_within_limit_ignoring_reservations(&job)
                .min((waiting / STARVED_TASK_DIVISOR).max(1)),
            Pass::GuaranteeAtRisk | Pass::WithinGuarantee => {
                self.quota.tasks_within_guarantee(&job)
            }
            Pass::WithinLimit => self.quota.tasks_within_limit(&job),
        }
        .min(waiting);
        if waiting == 0 {
            work.stuck_since = None;
        }
        // What ends is left to a starved job: narrower tasks of its team would always forestall it.
        let mut kept = pass == Pass::Starved && waiting > 0;
        if kept {
            self.quota.reserve(&job);
        }
        while most > 0 {
            // Each task of such a job decides where the next may go.
            let at_once = if job.has_zone_constraint() { 1 } else { most };
            let places = self.placement_targets(now.steady, &job, at_once);
            let found = places.len() as u32;
            if kept && found > 0 {
                self.quota.cancel_reservation(&job);
                kept = false;
            }
            for place in places {
                self.dispatch_task(now, &job, place);
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

    fn dispatch_task(&mut self, now: Now, job: &Job, place: PlacementTarget) {
        if self.attempts_exhausted() {
            return;
        }
        let id = job.spec.id;
        let Some(work) = self.jobs.get_mut(&id) else {
            return;
        };
        let Some(index) = work.next_waiting() else {
            return;
        };
        if work.last_dispatch.replace(now.steady).is_none() {
            let waited_ms = now.wall_ms.saturating_sub(job.accepted_ms);
            tracing::debug!(job = %id, tasks = job.spec.tasks, class = job.spec.class, waited_ms, "begins");
        }
        work.stuck_since = None;
        self.attempts_numbered += 1;
        let attempt = Attempt(self.epoch.0 * ATTEMPTS_PER_EPOCH + self.attempts_numbered);
        let mut out = ActiveAttempt::new(TaskId { job: id, index }, place.owner.clone());
        out.zone = place.zone;
        out.claimed_machine = place.claimed.then(|| place.machine.clone());
        if let Some(partition) = self.partitions.get_mut(&place.owner) {
            partition.reserve(&place.machine, job);
            partition.enqueue(Directive::Assign(attempt));
        }
        out.reserved_on = Some(place.machine);
        self.insert_attempt(attempt, out);
    }

    /// Places for so many tasks of a job, as many as there are.
    fn placement_targets(&self, now: Time, job: &Job, most: u32) -> Vec<PlacementTarget> {
        let zones = self.allowed_zones(job);
        let mut places: Vec<PlacementTarget> = Vec::new();
        if let Some(place) = self.claimed_with_room(job, zones.as_ref()) {
            places.push(place);
        }
        let need = job.resources();
        let mut shelves: Vec<CandidateMachines> = self
            .partitions
            .iter()
            .filter(|(_, partition)| partition.is_responsive(now))
            .map(|(name, partition)| {
                self.candidate_machines(now, name, partition, job, zones.as_ref())
            })
            .collect();
        while (places.len() as u32) < most {
            // The part with the most free room that fits the task.
            let roomiest = shelves
                .iter_mut()
                .filter(|shelf| !shelf.machines.is_empty())
                .reduce(|a, b| if b.free_cpus > a.free_cpus { b } else { a });
            let Some(shelf) = roomiest else { break };
            let Some(machine) = shelf.allocate(&need) else {
                break;
            };
            places.push(PlacementTarget {
                owner: shelf.owner.clone(),
                machine: machine.clone(),
                zone: zones
                    .as_ref()
                    .and_then(|_| self.zone_of(shelf.owner, machine)),
                claimed: false,
            });
        }
        places
    }

    fn candidate_machines<'a>(
        &'a self,
        now: Time,
        name: &'a ControllerName,
        partition: &'a PartitionView,
        job: &Job,
        zones: Option<&BTreeSet<String>>,
    ) -> CandidateMachines<'a> {
        let need = job.resources();
        let kept = job.spec.spot && self.reserves_on_demand_machines(now);
        let mut machines: Vec<(Resources, &MachineId)> = partition
            .with_free_cpus(need.cpus)
            .filter_map(|view| {
                let id = &view.status.id;
                let fits = view.free.fits(&need)
                    && !job.leaves_machine_to_others(view.status.spot, kept)
                    && job.allows_machine(
                        &view.status.machine_type,
                        &view.status.zone,
                        view.status.spot,
                    )
                    && zones.is_none_or(|zones| zones.contains(&view.status.zone))
                    && !self.claims.contains_key(id)
                    && !self.draining.contains(id);
                fits.then_some((view.free, id))
            })
            .collect();
        machines.sort_by(|(a, _), (b, _)| b.cpus.total_cmp(&a.cpus));
        CandidateMachines {
            owner: name,
            free_cpus: machines.iter().map(|(room, _)| room.cpus).sum(),
            machines,
        }
    }

    fn zone_of(&self, partition: &ControllerName, machine: &MachineId) -> Option<String> {
        let view = self.partitions.get(partition)?.machines.get(machine)?;
        Some(view.status.zone.clone())
    }

    /// A machine claimed for the job that has room by now.
    fn claimed_with_room(
        &self,
        job: &Job,
        zones: Option<&BTreeSet<String>>,
    ) -> Option<PlacementTarget> {
        let need = job.resources();
        self.claims_for(job.spec.id).find_map(|machine| {
            let (partition, view) = self
                .partitions
                .iter()
                .find_map(|(name, partition)| Some((name, partition.machines.get(machine)?)))?;
            let fits = view.status.schedulable
                && view.free.fits(&need)
                && zones.is_none_or(|zones| zones.contains(&view.status.zone));
            fits.then(|| PlacementTarget {
                owner: partition.clone(),
                machine: machine.clone(),
                zone: zones.map(|_| view.status.zone.clone()),
                claimed: true,
            })
        })
    }

    /// The zones the job's next task may be in; none where its other tasks do not decide that.
    pub(super) fn allowed_zones(&self, job: &Job) -> Option<BTreeSet<String>> {
        Some(self.zone_allowance(job)?.into_keys().collect())
    }

    /// How many more of the job's tasks each zone that has machines may have; none where its other tasks do
    /// not decide that.
    pub(super) fn zone_allowance(&self, job: &Job) -> Option<BTreeMap<String, u32>> {
        let bounds = self.zone_bounds(job)?;
        let all: BTreeSet<String> = self.machines().map(|m| m.status.zone.clone()).collect();
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
        if !job.has_zone_constraint() {
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
                let zone = self.active_attempts.get(attempt).and_then(|out| {
                    let machine = out.machine.as_ref();
                    let there = || self.zone_of(&out.owner, machine?);
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
fn is_starved(work: &JobTasks, now: Now) -> bool {
    let age_ms = now.wall_ms.saturating_sub(work.job.accepted_ms);
    let waited_ms = work
        .last_dispatch
        .map_or(age_ms, |served| now.steady.since(served));
    let patience_ms = if age_ms >= OLD_JOB_MS {
        OLD_JOB_STARVATION_MS
    } else {
        STARVATION_MS
    };
    waited_ms >= patience_ms
}
