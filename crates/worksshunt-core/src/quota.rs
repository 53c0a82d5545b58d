//! Teams' quotas: what each team is guaranteed, what it may use at most, and what it uses.
//!
//! The leader's scheduler owns one [`Quota`] and charges every active attempt to it; copies of it serve to
//! try out preemptions and to compute the demand. Every controller has one without usage to check submissions.

use std::collections::BTreeMap;
use std::rc::Rc;

use worksshunt_wire::settings::Team;
use worksshunt_wire::TeamName;

use crate::constants::placement::ROUNDING_TOLERANCE;
use crate::jobs::Job;

/// The resources that quotas count.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
struct QuotaResources {
    cpus: f64,
    /// Accelerators.
    gpus: f64,
}

impl QuotaResources {
    fn guarantee_of(team: &Team) -> QuotaResources {
        QuotaResources {
            cpus: team.guaranteed_cpus,
            gpus: team.guaranteed_gpus,
        }
    }

    /// Infinite where there is no limit.
    fn limit_of(team: &Team) -> QuotaResources {
        let limits = team.limits();
        QuotaResources {
            cpus: limits.cpus,
            gpus: limits.gpus,
        }
    }

    /// Adds what `tasks` tasks of the job use.
    fn add(&mut self, job: &Job, tasks: u32) {
        self.cpus += job.spec.cpus * f64::from(tasks);
        self.gpus += job.spec.gpus * f64::from(tasks);
    }

    /// Subtracts what one task of the job uses.
    fn subtract(&mut self, job: &Job) {
        self.cpus = (self.cpus - job.spec.cpus).max(0.0);
        self.gpus = (self.gpus - job.spec.gpus).max(0.0);
    }

    /// Whether it is more than `bound` of either.
    fn exceeds(&self, bound: &QuotaResources) -> bool {
        self.cpus > bound.cpus + ROUNDING_TOLERANCE || self.gpus > bound.gpus + ROUNDING_TOLERANCE
    }
}

/// What teams may use and do use.
#[derive(Debug, Clone, Default)]
pub struct Quota {
    teams: BTreeMap<TeamName, Team>,
    used: BTreeMap<TeamName, QuotaResources>,
    /// What is reserved for starved tasks.
    reserved: BTreeMap<TeamName, QuotaResources>,
}

/// Processors in use by team.
impl std::fmt::Display for Quota {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        for (i, (name, used)) in self.used.iter().enumerate() {
            let separator = if i > 0 { " " } else { "" };
            write!(f, "{separator}{name}:{:.1}", used.cpus)?;
        }
        Ok(())
    }
}

impl Quota {
    /// The teams' quotas from the settings, with nothing in use.
    pub fn new(teams: &[Team]) -> Quota {
        Quota {
            teams: teams
                .iter()
                .map(|team| (team.name.clone(), team.clone()))
                .collect(),
            ..Quota::default()
        }
    }

    /// The same quotas with nothing in use.
    pub fn without_usage(&self) -> Quota {
        Quota {
            teams: self.teams.clone(),
            ..Quota::default()
        }
    }

    /// The team of that name.
    pub fn team(&self, name: &TeamName) -> Option<&Team> {
        self.teams.get(name)
    }

    /// Processors guaranteed to all teams together.
    pub fn guaranteed_cpus(&self) -> f64 {
        self.teams.values().map(|team| team.guaranteed_cpus).sum()
    }

    /// Whether one more task of the job keeps its team within its limit.
    pub fn admits_one_more(&self, job: &Job) -> bool {
        self.tasks_within_limit(job) > 0
    }

    /// How many more tasks of the job its team's limit admits beside what is reserved.
    pub fn tasks_within_limit(&self, job: &Job) -> u32 {
        let reserved = self.reserved(&job.spec.team);
        self.remaining_tasks(job, reserved, QuotaResources::limit_of)
    }

    /// How many more tasks of the job its team's limit admits: for a job that resources are reserved for.
    pub fn tasks_within_limit_ignoring_reservations(&self, job: &Job) -> u32 {
        let reserved = QuotaResources::default();
        self.remaining_tasks(job, reserved, QuotaResources::limit_of)
    }

    /// Whether one more task of the job keeps its team within its guarantee.
    pub fn guarantees_one_more(&self, job: &Job) -> bool {
        self.tasks_within_guarantee(job) > 0
    }

    /// How many more tasks of the job its team's guarantee covers beside what is reserved.
    pub fn tasks_within_guarantee(&self, job: &Job) -> u32 {
        let reserved = self.reserved(&job.spec.team);
        self.remaining_tasks(job, reserved, QuotaResources::guarantee_of)
    }

    /// How many more tasks of the job fit below its team's bound beside what is used and reserved.
    fn remaining_tasks(
        &self,
        job: &Job,
        reserved: QuotaResources,
        bound_of: impl Fn(&Team) -> QuotaResources,
    ) -> u32 {
        let Some(team) = self.teams.get(&job.spec.team) else {
            return 0;
        };
        let bound = bound_of(team);
        let mut used = self.used(&job.spec.team);
        used.cpus += reserved.cpus;
        used.gpus += reserved.gpus;
        let by_cpus = tasks_that_fit(bound.cpus - used.cpus, job.spec.cpus);
        let by_gpus = tasks_that_fit(bound.gpus - used.gpus, job.spec.gpus);
        by_cpus.min(by_gpus)
    }

    fn used(&self, team: &TeamName) -> QuotaResources {
        self.used.get(team).copied().unwrap_or_default()
    }

    fn reserved(&self, team: &TeamName) -> QuotaResources {
        self.reserved.get(team).copied().unwrap_or_default()
    }

    /// Whether a team uses more than its guarantee even without one task of each of these jobs.
    pub fn is_over_guarantee_without<'a>(
        &self,
        name: &TeamName,
        without: impl Iterator<Item = &'a Rc<Job>>,
    ) -> bool {
        let mut used = self.used(name);
        for job in without {
            used.subtract(job);
        }
        let team = self.teams.get(name);
        team.is_some_and(|team| used.exceeds(&QuotaResources::guarantee_of(team)))
    }

    /// Reserves one task's resources for the job, below its team's limit.
    pub fn reserve(&mut self, job: &Job) {
        let reserved = self.reserved.entry(job.spec.team.clone()).or_default();
        reserved.add(job, 1);
    }

    /// Ends the reservation for the job.
    pub fn cancel_reservation(&mut self, job: &Job) {
        let reserved = self.reserved.entry(job.spec.team.clone()).or_default();
        reserved.subtract(job);
    }

    /// Ends all reservations.
    pub fn clear_reservations(&mut self) {
        self.reserved.clear();
    }

    /// Charges one task of the job to its team.
    pub fn charge(&mut self, job: &Job) {
        self.charge_many(job, 1);
    }

    /// Charges `tasks` tasks of the job to its team.
    pub fn charge_many(&mut self, job: &Job, tasks: u32) {
        let used = self.used.entry(job.spec.team.clone()).or_default();
        used.add(job, tasks);
    }

    /// Charges all tasks of the job to its team; whether the team's guarantee covers them beside what was
    /// charged before.
    pub fn charge_all_within_guarantee(&mut self, job: &Job) -> bool {
        let is_covered = self.tasks_within_guarantee(job) >= job.spec.task_count;
        self.charge_many(job, job.spec.task_count);
        is_covered
    }

    /// Takes back the charge for one task of the job.
    pub fn refund(&mut self, job: &Job) {
        let used = self.used.entry(job.spec.team.clone()).or_default();
        used.subtract(job);
    }
}

/// How many tasks that use `per_task` of a resource each fit into `free` of it.
fn tasks_that_fit(free: f64, per_task: f64) -> u32 {
    if per_task > 0.0 {
        ((free + ROUNDING_TOLERANCE) / per_task).max(0.0) as u32
    } else if free + ROUNDING_TOLERANCE >= 0.0 {
        u32::MAX
    } else {
        // More than the bound is used, so no task is admitted, even one that uses none of it.
        0
    }
}
