//! Stopping tasks to make room for others.

use std::collections::BTreeMap;
use std::rc::Rc;

use worksshunt_wire::peer::{MachineStatus, Phase};
use worksshunt_wire::user::Priority;
use worksshunt_wire::{Attempt, MachineId, TeamName};

use crate::constants::scheduling::PREEMPT_AFTER_MS;
use crate::constants::services::REPLICA_PREEMPTION_COST_MS;
use crate::jobs::Job;
use crate::quota::Quota;
use crate::resources::Resources;
use crate::time::{Budget, Now};

use super::job_tasks::{JobTasks, Rank};
use super::partitions::Directive;
use super::Scheduler;

/// What a job may claim of its team's guarantee.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Guarantee {
    /// Its team has used it up.
    UsedUp,
    /// It comes before others of its priority.
    AmongEquals,
    /// It comes before all others.
    First,
}

/// A task that may be stopped for another.
struct PreemptibleAttempt {
    /// The work that would be lost, milliseconds.
    loses_ms: u64,
    attempt: Attempt,
    job: Rc<Job>,
    /// Index of its class.
    class: usize,
}

/// What decides whether a task may be stopped for another one, apart from how much of its team's guarantee is used.
type Class = (TeamName, Priority);

fn class_of(job: &Job) -> Class {
    (job.spec.team.clone(), job.spec.priority)
}

/// The machines that room can be made on, and the classes of tasks there.
struct Grounds<'a> {
    machines: BTreeMap<MachineId, Ground<'a>>,
    /// A job of each class, by index.
    classes: Vec<Rc<Job>>,
}

impl Grounds<'_> {
    /// Which classes of tasks may be stopped for the job as long as none is.
    fn stoppable(&self, job: &Job, guarantee: Guarantee, quota: &Quota) -> Vec<bool> {
        let may = |other: &Rc<Job>| {
            let over = quota.over_guarantee_without(&other.spec.team, std::iter::empty());
            may_stop(other, over, job, guarantee)
        };
        self.classes.iter().map(may).collect()
    }

    /// Whether room for the job can be there at all: on some machine as it is, or where tasks may be stopped. Most
    /// jobs that wait on a full fleet are answered for by this, without a look at what runs on each machine.
    fn may_have_room(&self, job: &Job, stoppable: &[bool]) -> bool {
        let need = job.resources();
        let mut machines = self.machines.values();
        stoppable.contains(&true) || machines.any(|ground| ground.room.fits(&need))
    }
}

/// A machine with the room that is or will be free there, and what runs on it.
struct Ground<'a> {
    machine: &'a MachineStatus,
    room: Resources,
    /// Least loss first.
    victims: Vec<PreemptibleAttempt>,
}

/// A job that waits for room, in order of service.
type Stuck = (Rank, Rc<Job>, u32);

impl Scheduler {
    /// Stops tasks to make room for waiting ones that have found none for a while: work of lower
    /// priority, and work that another team runs beyond its guarantee for a team within its own.
    /// What would be served before the waiting task anyway is never stopped for it, so nothing is
    /// stopped twice in a row.
    pub fn preempt(&mut self, now: Now, budget: &Budget) {
        self.replica_stuck = false;
        let waits = |work: &&JobTasks| {
            let long = |since| now.steady.since(since) >= PREEMPT_AFTER_MS;
            let is_service = work.job.is_service();
            work.stuck_since
                .is_some_and(|since| is_service || long(since))
                && (is_service || !work.job.has_zone_constraint())
                && !work.job.spec.one_zone
                && self.quota.admits_one_more(&work.job)
                && self.is_at_risk(&work.job, now, self.quota.guarantees_one_more(&work.job))
        };
        let mut stuck: Vec<Stuck> = self
            .jobs
            .values()
            .filter(waits)
            .map(|work| (work.rank(now.wall_ms), Rc::clone(&work.job), work.waiting()))
            .collect();
        if stuck.is_empty() {
            return;
        }
        stuck.sort_by_key(|(rank, _, _)| *rank);
        let chosen = self.choose_victims(&stuck, now, budget);
        for attempt in chosen {
            if let Some(out) = self.active_attempts.get_mut(&attempt) {
                out.preempted = true;
            }
            self.send_directive(attempt, |_| Directive::Stop(attempt));
        }
    }

    fn is_at_risk(&self, job: &Job, now: Now, guaranteed: bool) -> bool {
        job.is_service() || self.objectives.at_risk(job, now.wall_ms, guaranteed)
    }

    fn choose_victims(&self, stuck: &[Stuck], now: Now, budget: &Budget) -> Vec<Attempt> {
        let mut grounds = self.preemption_candidates(now);
        let mut quota = self.quota.clone();
        let mut chosen = Vec::new();
        for (_, job, waiting) in stuck {
            let mut zones = self.zone_allowance(job);
            for _ in 0..*waiting {
                let guaranteed = quota.guarantees_one_more(job);
                let guarantee = match (guaranteed, self.round.is_at_risk(job)) {
                    (true, true) => Guarantee::First,
                    (true, false) => Guarantee::AmongEquals,
                    (false, _) => Guarantee::UsedUp,
                };
                if budget.exhausted() {
                    return chosen;
                }
                if !quota.admits_one_more(job) || !self.is_at_risk(job, now, guaranteed) {
                    break;
                }
                let stoppable = grounds.stoppable(job, guarantee, &quota);
                if !grounds.may_have_room(job, &stoppable) {
                    break;
                }
                let zone = make_room(
                    job,
                    (guarantee, &stoppable),
                    zones.as_ref(),
                    &mut quota,
                    &mut grounds.machines,
                    &mut chosen,
                );
                let Some(zone) = zone else { break };
                if let Some(left) = zones.as_mut().and_then(|zones| zones.get_mut(&zone)) {
                    *left -= 1;
                }
            }
        }
        chosen
    }

    fn preemption_candidates(&self, now: Now) -> Grounds<'_> {
        let mut indices: BTreeMap<Class, usize> = BTreeMap::new();
        let mut classes: Vec<Rc<Job>> = Vec::new();
        let mut grounds: BTreeMap<MachineId, Ground> = self
            .machines()
            .filter(|view| view.status.schedulable && !view.status.reclaim_notice)
            .filter(|view| !self.claims.contains_key(&view.status.id))
            .map(|view| {
                let ground = Ground {
                    machine: &view.status,
                    room: view.free,
                    victims: Vec::new(),
                };
                (view.status.id.clone(), ground)
            })
            .collect();
        for (attempt, out) in &self.active_attempts {
            let (Some(id), Some(job)) = (&out.machine, &out.job) else {
                continue;
            };
            let Some(ground) = grounds.get_mut(id) else {
                continue;
            };
            if out.phase == Phase::Completed {
                continue;
            }
            if out.preempted {
                // Room that earlier stops will leave.
                ground.room.release(&job.resources());
                continue;
            }
            let ran_ms = out.running_ms(now.steady);
            let loses_ms = match job.spec.checkpoint_s {
                // What a replica is there for ends with every stop, so it is stopped last.
                _ if job.is_service() => REPLICA_PREEMPTION_COST_MS,
                every if every > 0.0 => ran_ms.min((every * 1_000.0) as u64),
                _ => ran_ms,
            };
            let class = *indices.entry(class_of(job)).or_insert_with(|| {
                classes.push(Rc::clone(job));
                classes.len() - 1
            });
            ground.victims.push(PreemptibleAttempt {
                loses_ms,
                attempt: *attempt,
                job: Rc::clone(job),
                class,
            });
        }
        for ground in grounds.values_mut() {
            ground.victims.sort_by_key(|v| (v.loses_ms, v.attempt));
        }
        Grounds {
            machines: grounds,
            classes,
        }
    }
}

/// Makes room for one task of the job where that loses least work, in a zone that may have more of them;
/// the zone, if there is one.
fn make_room(
    job: &Job,
    (guarantee, stoppable): (Guarantee, &[bool]),
    zones: Option<&BTreeMap<String, u32>>,
    quota: &mut Quota,
    grounds: &mut BTreeMap<MachineId, Ground>,
    chosen: &mut Vec<Attempt>,
) -> Option<String> {
    let need = job.resources();
    let mut best: Option<(u64, MachineId, Vec<usize>)> = None;
    for (id, ground) in grounds.iter() {
        let machine = ground.machine;
        let open = |zones: &BTreeMap<String, u32>| zones.get(&machine.zone).is_some_and(|n| *n > 0);
        if !job.allows_machine(&machine.machine_type, &machine.zone, machine.spot)
            || !zones.is_none_or(open)
        {
            continue;
        }
        let mut room = ground.room;
        let mut cost = 0;
        let mut stopped: Vec<usize> = Vec::new();
        for (index, victim) in ground.victims.iter().enumerate() {
            if room.fits(&need) {
                break;
            }
            if !stoppable[victim.class] {
                continue;
            }
            // Those before it may have brought its team back within its guarantee.
            let same_team = stopped
                .iter()
                .map(|i| &ground.victims[*i].job)
                .filter(|other| other.spec.team == victim.job.spec.team);
            let over = quota.over_guarantee_without(&victim.job.spec.team, same_team);
            if may_stop(&victim.job, over, job, guarantee) {
                room.release(&victim.job.resources());
                cost += victim.loses_ms;
                stopped.push(index);
            }
        }
        if room.fits(&need) && best.as_ref().is_none_or(|(least, _, _)| cost < *least) {
            best = Some((cost, id.clone(), stopped));
            if cost == 0 {
                break;
            }
        }
    }
    let (lost_ms, id, stopped) = best?;
    quota.charge(job);
    let ground = grounds.get_mut(&id)?;
    for index in stopped.into_iter().rev() {
        let victim = ground.victims.remove(index);
        ground.room.release(&victim.job.resources());
        quota.refund(&victim.job);
        tracing::debug!(attempt = %victim.attempt, machine = %id, lost_ms, job = %job.spec.id, "preempted");
        chosen.push(victim.attempt);
    }
    ground.room.allocate(&need);
    Some(ground.machine.zone.clone())
}

/// Whether a task of `other`, whose team is `over` its guarantee or not, may be stopped for one of
/// `job`: never what would be served before it.
fn may_stop(other: &Job, over: bool, job: &Job, guarantee: Guarantee) -> bool {
    let lower = other.spec.priority < job.spec.priority;
    let for_team = over && other.spec.team != job.spec.team;
    match guarantee {
        Guarantee::First => for_team || lower,
        Guarantee::AmongEquals => (for_team && other.spec.priority <= job.spec.priority) || lower,
        // A replica cannot wait for work of its own team either.
        Guarantee::UsedUp => {
            lower && (over || (job.is_service() && other.spec.team == job.spec.team))
        }
    }
}
