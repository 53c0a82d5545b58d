//! Quotas of teams: guarantee, limit and usage.
//!
//! The leader's scheduler has a [`Quota`] and charges every active attempt to it; it evaluates preemptions and demand
//! on copies. Every controller has a [`Quota`] without usage for the validation of submissions.

use std::collections::BTreeMap;
use std::rc::Rc;

use worksshunt_wire::settings::Team;
use worksshunt_wire::TeamName;

use crate::constants::placement::ROUNDING_TOLERANCE;
use crate::jobs::Job;

/// Resources that count against quotas.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
struct QuotaResources {
    cpus: f64,
    gpus: f64,
}

impl QuotaResources {
    fn guarantee_of(team: &Team) -> QuotaResources {
        QuotaResources {
            cpus: team.guaranteed_cpus,
            gpus: team.guaranteed_gpus,
        }
    }

    /// The team's limit; infinite for resources without one.
    fn limit_of(team: &Team) -> QuotaResources {
        let limits = team.limits();
        QuotaResources {
            cpus: limits.cpus,
            gpus: limits.gpus,
        }
    }

    /// Adds the resources of `tasks` tasks of the job.
    fn add(&mut self, job: &Job, tasks: u32) {
        self.cpus += job.spec.cpus * f64::from(tasks);
        self.gpus += job.spec.gpus * f64::from(tasks);
    }

    /// Subtracts the resources of one task of the job, down to zero.
    fn subtract(&mut self, job: &Job) {
        self.cpus = (self.cpus - job.spec.cpus).max(0.0);
        self.gpus = (self.gpus - job.spec.gpus).max(0.0);
    }

    /// Whether any of the resources exceeds its maximum.
    fn exceeds(&self, maximum: &QuotaResources) -> bool {
        self.cpus > maximum.cpus + ROUNDING_TOLERANCE
            || self.gpus > maximum.gpus + ROUNDING_TOLERANCE
    }
}

/// Quotas of all teams, with their usage and reservations.
#[derive(Debug, Clone, Default)]
pub struct Quota {
    teams: BTreeMap<TeamName, Team>,
    usage: BTreeMap<TeamName, QuotaResources>,
    /// Resources reserved for starved tasks.
    reserved: BTreeMap<TeamName, QuotaResources>,
}

/// Formats the processors in use by team, for logs.
impl std::fmt::Display for Quota {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        for (index, (name, usage)) in self.usage.iter().enumerate() {
            let separator = if index > 0 { " " } else { "" };
            write!(f, "{separator}{name}:{:.1}", usage.cpus)?;
        }
        Ok(())
    }
}

impl Quota {
    /// Quotas of the teams in the settings, without usage.
    pub fn new(teams: &[Team]) -> Quota {
        Quota {
            teams: teams
                .iter()
                .map(|team| (team.name.clone(), team.clone()))
                .collect(),
            ..Quota::default()
        }
    }

    /// The same quotas without usage and reservations.
    pub fn without_usage(&self) -> Quota {
        Quota {
            teams: self.teams.clone(),
            ..Quota::default()
        }
    }

    /// Settings of the team; `None` if it is unknown.
    pub fn team(&self, name: &TeamName) -> Option<&Team> {
        self.teams.get(name)
    }

    /// Sum of the processors guaranteed to the teams.
    pub fn guaranteed_cpus(&self) -> f64 {
        self.teams.values().map(|team| team.guaranteed_cpus).sum()
    }

    /// Whether the team's limit admits one more task of the job.
    pub fn admits_one_more(&self, job: &Job) -> bool {
        self.tasks_within_limit(job) > 0
    }

    /// Number of further tasks of the job that its team's limit admits, in addition to usage and reservations.
    pub fn tasks_within_limit(&self, job: &Job) -> u32 {
        let reserved = self.reservation_of(&job.spec.team);
        self.remaining_tasks(job, reserved, QuotaResources::limit_of)
    }

    /// Number of further tasks of the job that its team's limit admits, in addition to usage only. For a job that
    /// has a reservation itself.
    pub fn tasks_within_limit_ignoring_reservations(&self, job: &Job) -> u32 {
        let no_reservation = QuotaResources::default();
        self.remaining_tasks(job, no_reservation, QuotaResources::limit_of)
    }

    /// Whether the team's guarantee covers one more task of the job.
    pub fn guarantees_one_more(&self, job: &Job) -> bool {
        self.tasks_within_guarantee(job) > 0
    }

    /// Number of further tasks of the job that its team's guarantee covers, in addition to usage and reservations.
    pub fn tasks_within_guarantee(&self, job: &Job) -> u32 {
        let reserved = self.reservation_of(&job.spec.team);
        self.remaining_tasks(job, reserved, QuotaResources::guarantee_of)
    }

    /// Number of further tasks of the job that fit into the team's maximum, in addition to its usage and `reserved`; 0
    /// for an unknown team.
    fn remaining_tasks(
        &self,
        job: &Job,
        reserved: QuotaResources,
        maximum_of: impl Fn(&Team) -> QuotaResources,
    ) -> u32 {
        let Some(team) = self.teams.get(&job.spec.team) else {
            return 0;
        };
        let maximum = maximum_of(team);
        let mut usage = self.usage_of(&job.spec.team);
        usage.cpus += reserved.cpus;
        usage.gpus += reserved.gpus;
        let by_cpus = tasks_that_fit(maximum.cpus - usage.cpus, job.spec.cpus);
        let by_gpus = tasks_that_fit(maximum.gpus - usage.gpus, job.spec.gpus);
        by_cpus.min(by_gpus)
    }

    fn usage_of(&self, team: &TeamName) -> QuotaResources {
        self.usage.get(team).copied().unwrap_or_default()
    }

    fn reservation_of(&self, team: &TeamName) -> QuotaResources {
        self.reserved.get(team).copied().unwrap_or_default()
    }

    /// Whether the team's usage exceeds its guarantee even after one task of each of `stopped_jobs` has ended.
    pub fn is_over_guarantee_without<'a>(
        &self,
        name: &TeamName,
        stopped_jobs: impl Iterator<Item = &'a Rc<Job>>,
    ) -> bool {
        let mut usage = self.usage_of(name);
        for job in stopped_jobs {
            usage.subtract(job);
        }
        let team = self.teams.get(name);
        team.is_some_and(|team| usage.exceeds(&QuotaResources::guarantee_of(team)))
    }

    /// Reserves the resources of one task of the job within its team's quota.
    pub fn reserve(&mut self, job: &Job) {
        let reserved = self.reserved.entry(job.spec.team.clone()).or_default();
        reserved.add(job, 1);
    }

    /// Releases the reservation for one task of the job.
    pub fn cancel_reservation(&mut self, job: &Job) {
        let reserved = self.reserved.entry(job.spec.team.clone()).or_default();
        reserved.subtract(job);
    }

    /// Releases all reservations.
    pub fn clear_reservations(&mut self) {
        self.reserved.clear();
    }

    /// Charges one task of the job to its team.
    pub fn charge(&mut self, job: &Job) {
        self.charge_many(job, 1);
    }

    /// Charges `tasks` tasks of the job to its team.
    pub fn charge_many(&mut self, job: &Job, tasks: u32) {
        let usage = self.usage.entry(job.spec.team.clone()).or_default();
        usage.add(job, tasks);
    }

    /// Charges all tasks of the job to its team. Returns whether the team's guarantee covers them in addition to
    /// earlier charges.
    pub fn charge_all_within_guarantee(&mut self, job: &Job) -> bool {
        let is_covered = self.tasks_within_guarantee(job) >= job.spec.task_count;
        self.charge_many(job, job.spec.task_count);
        is_covered
    }

    /// Reverses the charge of one task of the job.
    pub fn refund(&mut self, job: &Job) {
        let usage = self.usage.entry(job.spec.team.clone()).or_default();
        usage.subtract(job);
    }
}

/// Number of tasks that fit into the `free` amount of a resource if each uses `per_task` of it.
fn tasks_that_fit(free: f64, per_task: f64) -> u32 {
    if per_task > 0.0 {
        ((free + ROUNDING_TOLERANCE) / per_task).max(0.0) as u32
    } else if free + ROUNDING_TOLERANCE >= 0.0 {
        u32::MAX
    } else {
        // The usage exceeds the maximum, so no task is admitted, not even one that uses none of this resource.
        0
    }
}
