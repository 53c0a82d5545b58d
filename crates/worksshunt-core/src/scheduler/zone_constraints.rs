//! Zone constraints: the zones that a job's next task may run in, if its other tasks constrain that.

use std::collections::{BTreeMap, BTreeSet};

use worksshunt_wire::AttemptId;

use crate::jobs::Job;

use super::job_tasks::JobTasks;
use super::Scheduler;

/// Constraints that a job's other tasks put on the zone of its next task, whether or not a zone has machines.
#[derive(Debug)]
pub(super) struct ZoneConstraints {
    /// The only zones allowed; `None` if all are.
    pub allowed_zones: Option<BTreeSet<String>>,
    /// Active and completed tasks of the job by zone.
    tasks_by_zone: BTreeMap<String, u32>,
    /// Active tasks whose zones are unknown.
    tasks_in_unknown_zones: u32,
    max_tasks_per_zone: u32,
}

impl ZoneConstraints {
    /// How many more of the job's tasks may run in the zone.
    fn remaining_tasks(&self, zone: &str) -> u32 {
        let contains_zone = |zones: &BTreeSet<String>| zones.contains(zone);
        if !self.allowed_zones.as_ref().is_none_or(contains_zone) {
            return 0;
        }
        let tasks_in_zone = self.tasks_by_zone.get(zone).copied().unwrap_or(0);
        self.max_tasks_per_zone
            .saturating_sub(tasks_in_zone + self.tasks_in_unknown_zones)
    }

    /// Zones that may have no more of the job's tasks.
    pub fn full_zones(&self) -> BTreeSet<String> {
        let zones = self.tasks_by_zone.keys();
        zones
            .filter(|zone| self.remaining_tasks(zone) == 0)
            .cloned()
            .collect()
    }
}

/// Zones of the attempts at a job's incomplete tasks.
#[derive(Default)]
struct ActiveZones {
    tasks_by_zone: BTreeMap<String, u32>,
    /// Attempts whose zones are unknown.
    tasks_in_unknown_zones: u32,
}

impl Scheduler {
    /// The zones that the job's next task may run in; `None` if its other tasks don't constrain that.
    pub(super) fn allowed_zones(&self, job: &Job) -> Option<BTreeSet<String>> {
        Some(self.remaining_tasks_by_zone(job)?.into_keys().collect())
    }

    /// How many more of the job's tasks may run in each zone that has machines. Zones that may have none are omitted.
    /// `None` if the job's other tasks don't constrain that.
    pub(super) fn remaining_tasks_by_zone(&self, job: &Job) -> Option<BTreeMap<String, u32>> {
        let constraints = self.zone_constraints(job)?;
        let zones: BTreeSet<&String> = self.machines().map(|view| &view.status.zone).collect();
        let remaining = zones
            .into_iter()
            .map(|zone| (zone.clone(), constraints.remaining_tasks(zone)));
        Some(remaining.filter(|(_, tasks)| *tasks > 0).collect())
    }

    /// The constraints on the zone of the job's next task; `None` if its other tasks don't constrain that.
    pub(super) fn zone_constraints(&self, job: &Job) -> Option<ZoneConstraints> {
        if !job.has_zone_constraint() {
            return None;
        }
        let job_tasks = self.open_jobs.get(&job.spec.id)?;
        let ActiveZones {
            mut tasks_by_zone,
            tasks_in_unknown_zones,
        } = self.active_zones(job_tasks);
        let completed_by_zone = job_tasks.completed_tasks.tasks_by_zone();
        // Active attempts determine the zone, even if other tasks completed elsewhere: the zone of a completion may
        // become known only after others were placed. Completed tasks determine it if there are no active attempts.
        let constraining_zones = match tasks_by_zone.is_empty() {
            true => completed_by_zone,
            false => &tasks_by_zone,
        };
        let allowed_zones = match job.spec.needs_single_zone {
            // An attempt from a previous epoch whose machine is not reported yet may be in any zone.
            true if tasks_in_unknown_zones > 0 => Some(BTreeSet::new()),
            true if !constraining_zones.is_empty() => {
                Some(constraining_zones.keys().cloned().collect())
            }
            _ => None,
        };
        for (zone, tasks) in completed_by_zone {
            *tasks_by_zone.entry(zone.clone()).or_default() += tasks;
        }
        Some(ZoneConstraints {
            allowed_zones,
            tasks_by_zone,
            tasks_in_unknown_zones,
            max_tasks_per_zone: job.max_tasks_per_zone(),
        })
    }

    fn active_zones(&self, job_tasks: &JobTasks) -> ActiveZones {
        let mut zones = ActiveZones::default();
        let active = job_tasks.attempts_by_task.iter();
        let incomplete_tasks =
            active.filter(|(index, _)| !job_tasks.completed_tasks.contains(**index));
        for attempt in incomplete_tasks.flat_map(|(_, attempts)| attempts) {
            match self.zone_of_attempt(*attempt) {
                Some(zone) => *zones.tasks_by_zone.entry(zone).or_default() += 1,
                None => zones.tasks_in_unknown_zones += 1,
            }
        }
        zones
    }

    fn zone_of_attempt(&self, attempt: AttemptId) -> Option<String> {
        let active = self.active_attempts.get(&attempt)?;
        // The machine may have been reported only after the attempt.
        let machine_zone = || self.zone_of(&active.owner, active.machine.as_ref()?);
        active.zone.clone().or_else(machine_zone)
    }
}
