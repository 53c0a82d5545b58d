//! Teams' guarantees and limits.

use std::collections::BTreeMap;

use worksshunt_wire::settings::Team;
use worksshunt_wire::TeamName;

use crate::constants::ROUNDING;
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
    /// Whether it lies within so much.
    fn within(&self, cpus: f64, gpus: f64) -> bool {
        self.cpus <= cpus + ROUNDING && self.gpus <= gpus + ROUNDING
    }
}

/// What teams may use and do use.
#[derive(Debug, Clone, Default)]
pub struct Quota {
    teams: BTreeMap<TeamName, Team>,
    used: BTreeMap<TeamName, Usage>,
}

impl Quota {
    /// No use yet of what the teams may have.
    pub fn new(teams: &[Team]) -> Quota {
        Quota {
            teams: teams.iter().map(|t| (t.name.clone(), t.clone())).collect(),
            used: BTreeMap::new(),
        }
    }

    /// The team of that name.
    pub fn team(&self, name: &TeamName) -> Option<&Team> {
        self.teams.get(name)
    }

    /// A team's use.
    pub fn used(&self, name: &TeamName) -> Usage {
        self.used.get(name).copied().unwrap_or_default()
    }

    /// Whether one more task of the job keeps its team within its limit.
    pub fn admits(&self, job: &Job) -> bool {
        self.fits(job, |team| (team.cpus_max, team.gpus_max))
    }

    /// Whether one more task of the job keeps its team within its guarantee.
    pub fn guarantees(&self, job: &Job) -> bool {
        self.fits(job, |team| (team.cpus, team.gpus))
    }

    fn fits(&self, job: &Job, bound: impl Fn(&Team) -> (f64, f64)) -> bool {
        let Some(team) = self.teams.get(&job.spec.team) else {
            return false;
        };
        let (cpus, gpus) = bound(team);
        let used = self.used(&job.spec.team);
        let with = Usage {
            cpus: used.cpus + job.spec.cpus,
            gpus: used.gpus + job.spec.gpus,
        };
        with.within(cpus, gpus)
    }

    /// Whether all that a team uses lies within its guarantee.
    pub fn within_guarantee(&self, name: &TeamName) -> bool {
        let used = self.used(name);
        self.teams
            .get(name)
            .is_none_or(|team| used.within(team.cpus, team.gpus))
    }

    /// Counts one more task of the job.
    pub fn take(&mut self, job: &Job) {
        let used = self.used.entry(job.spec.team.clone()).or_default();
        used.cpus += job.spec.cpus;
        used.gpus += job.spec.gpus;
    }

    /// Counts one task of the job less.
    pub fn give_back(&mut self, job: &Job) {
        let used = self.used.entry(job.spec.team.clone()).or_default();
        used.cpus = (used.cpus - job.spec.cpus).max(0.0);
        used.gpus = (used.gpus - job.spec.gpus).max(0.0);
    }
}
