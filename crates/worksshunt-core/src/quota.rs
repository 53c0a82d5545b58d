//! Teams' guarantees and limits.

use std::collections::BTreeMap;
use std::rc::Rc;

use worksshunt_wire::settings::Team;
use worksshunt_wire::TeamName;

use crate::constants::placement::ROUNDING_TOLERANCE;
use crate::jobs::Job;

/// Processors and accelerators in use.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Usage {
    /// Processors.
    pub cpus: f64,
    /// Accelerators.
    pub gpus: f64,
}

impl Usage {
    /// Counts so many tasks of the job in.
    fn add(&mut self, job: &Job, tasks: u32) {
        self.cpus += job.spec.cpus * f64::from(tasks);
        self.gpus += job.spec.gpus * f64::from(tasks);
    }

    /// Counts one task of the job out.
    fn remove(&mut self, job: &Job) {
        self.cpus = (self.cpus - job.spec.cpus).max(0.0);
        self.gpus = (self.gpus - job.spec.gpus).max(0.0);
    }
}

/// What teams may use and do use.
#[derive(Debug, Clone, Default)]
pub struct Quota {
    teams: BTreeMap<TeamName, Team>,
    used: BTreeMap<TeamName, Usage>,
    /// What is kept free for tasks that come first.
    reserved: BTreeMap<TeamName, Usage>,
}

/// Processors in use by team.
impl std::fmt::Display for Quota {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        for (i, (name, used)) in self.used.iter().enumerate() {
            let gap = if i > 0 { " " } else { "" };
            write!(f, "{gap}{name}:{:.1}", used.cpus)?;
        }
        Ok(())
    }
}

impl Quota {
    /// No use yet of what the teams may have.
    pub fn new(teams: &[Team]) -> Quota {
        Quota {
            teams: teams.iter().map(|t| (t.name.clone(), t.clone())).collect(),
            used: BTreeMap::new(),
            reserved: BTreeMap::new(),
        }
    }

    /// The team of that name.
    pub fn team(&self, name: &TeamName) -> Option<&Team> {
        self.teams.get(name)
    }

    /// A team's use.
    fn used(&self, name: &TeamName) -> Usage {
        self.used.get(name).copied().unwrap_or_default()
    }

    /// Processors guaranteed to all teams together.
    pub fn guaranteed_cpus(&self) -> f64 {
        self.teams.values().map(|team| team.cpus).sum()
    }

    /// Whether one more task of the job keeps its team within its limit.
    pub fn admits_one_more(&self, job: &Job) -> bool {
        self.tasks_within_limit(job) > 0
    }

    /// How many more tasks of the job its team's limit admits beside what is kept.
    pub fn tasks_within_limit(&self, job: &Job) -> u32 {
        let kept = self
            .reserved
            .get(&job.spec.team)
            .copied()
            .unwrap_or_default();
        self.remaining_tasks(job, kept, Team::limits)
    }

    /// How many more tasks of a job that something is kept for its team's limit admits.
    pub fn tasks_within_limit_ignoring_reservations(&self, job: &Job) -> u32 {
        let nothing = Usage::default();
        self.remaining_tasks(job, nothing, Team::limits)
    }

    /// Keeps room for one task of the job within its team's limit.
    pub fn reserve(&mut self, job: &Job) {
        let kept = self.reserved.entry(job.spec.team.clone()).or_default();
        kept.add(job, 1);
    }

    /// Nothing has to be kept for the job any more.
    pub fn cancel_reservation(&mut self, job: &Job) {
        let kept = self.reserved.entry(job.spec.team.clone()).or_default();
        kept.remove(job);
    }

    /// Keeps room for none any more.
    pub fn clear_reservations(&mut self) {
        self.reserved.clear();
    }

    /// Whether one more task of the job keeps its team within its guarantee.
    pub fn guarantees_one_more(&self, job: &Job) -> bool {
        self.tasks_within_guarantee(job) > 0
    }

    /// How many more tasks of the job lie within its team's guarantee.
    pub fn tasks_within_guarantee(&self, job: &Job) -> u32 {
        let kept = self
            .reserved
            .get(&job.spec.team)
            .copied()
            .unwrap_or_default();
        self.remaining_tasks(job, kept, |team| (team.cpus, team.gpus))
    }

    fn remaining_tasks(&self, job: &Job, kept: Usage, bound: impl Fn(&Team) -> (f64, f64)) -> u32 {
        let Some(team) = self.teams.get(&job.spec.team) else {
            return 0;
        };
        let (cpus, gpus) = bound(team);
        let mut used = self.used(&job.spec.team);
        used.cpus += kept.cpus;
        used.gpus += kept.gpus;
        let times = |free: f64, each: f64| match each {
            each if each > 0.0 => ((free + ROUNDING_TOLERANCE) / each).max(0.0) as u32,
            // What it does not take cannot run out, but may have.
            _ if free + ROUNDING_TOLERANCE >= 0.0 => u32::MAX,
            _ => 0,
        };
        times(cpus - used.cpus, job.spec.cpus).min(times(gpus - used.gpus, job.spec.gpus))
    }

    /// The teams with nothing in use.
    pub fn without_usage(&self) -> Quota {
        Quota {
            teams: self.teams.clone(),
            ..Quota::default()
        }
    }

    /// Counts all tasks of the job in; whether they fit into the team's guarantee beside what was
    /// counted before.
    pub fn charge_all_within_guarantee(&mut self, job: &Job) -> bool {
        let fits = self.tasks_within_guarantee(job) >= job.spec.tasks;
        self.charge_many(job, job.spec.tasks);
        fits
    }

    /// Whether a team uses more than its guarantee even without some of its tasks.
    pub fn over_guarantee_without<'a>(
        &self,
        name: &TeamName,
        without: impl Iterator<Item = &'a Rc<Job>>,
    ) -> bool {
        let mut used = self.used(name);
        for job in without {
            used.remove(job);
        }
        let over = |team: &Team| {
            used.cpus > team.cpus + ROUNDING_TOLERANCE || used.gpus > team.gpus + ROUNDING_TOLERANCE
        };
        self.teams.get(name).is_some_and(over)
    }

    /// Counts one more task of the job.
    pub fn charge(&mut self, job: &Job) {
        self.charge_many(job, 1);
    }

    /// Counts more tasks of the job.
    pub fn charge_many(&mut self, job: &Job, tasks: u32) {
        let used = self.used.entry(job.spec.team.clone()).or_default();
        used.add(job, tasks);
    }

    /// Counts one task of the job less.
    pub fn refund(&mut self, job: &Job) {
        let used = self.used.entry(job.spec.team.clone()).or_default();
        used.remove(job);
    }
}
