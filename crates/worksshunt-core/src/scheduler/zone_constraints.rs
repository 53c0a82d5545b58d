//! Zone constraints: which zones a job's next task may be in, where that depends on its other tasks.

use std::collections::{BTreeMap, BTreeSet};

use worksshunt_wire::Attempt;

use crate::jobs::Job;

use super::job_tasks::JobTasks;
use super::Scheduler;

/// Which zones a job's next task may be in, by the others. Takes no account of where there are machines.
#[derive(Debug)]
pub(super) struct ZoneConstraints {
    /// The only zones allowed; none: any.
    pub allowed: Option<BTreeSet<String>>,
    /// Tasks of the job in each zone, done ones included.
    tasks_by_zone: BTreeMap<String, u32>,
    /// Tasks in zones that are not known.
    unplaced_tasks: u32,
    max_tasks_per_zone: u32,
}

impl ZoneConstraints {
    /// How many more tasks the zone may have.
    fn remaining_tasks(&self, zone: &str) -> u32 {
        let contains_zone = |zones: &BTreeSet<String>| zones.contains(zone);
        if !self.allowed.as_ref().is_none_or(contains_zone) {
            return 0;
        }
        let placed = self.tasks_by_zone.get(zone).copied().unwrap_or(0);
        self.max_tasks_per_zone
            .saturating_sub(placed + self.unplaced_tasks)
    }

    /// Zones that may have no more.
    pub fn full_zones(&self) -> BTreeSet<String> {
        let zones = self.tasks_by_zone.keys();
        zones
            .filter(|zone| self.remaining_tasks(zone) == 0)
            .cloned()
            .collect()
    }
}

/// The zones of a job's tasks that are active and not done.
#[derive(Default)]
struct ActiveZones {
    tasks_by_zone: BTreeMap<String, u32>,
    /// Those in zones that are not known.
    unplaced_tasks: u32,
}

impl Scheduler {
    /// The zones the job's next task may be in; none where its other tasks do not decide that.
    pub(super) fn allowed_zones(&self, job: &Job) -> Option<BTreeSet<String>> {
        Some(self.remaining_tasks_by_zone(job)?.into_keys().collect())
    }

    /// How many more of the job's tasks each zone that has machines may have, without zones that may have
    /// none; none where its other tasks do not decide that.
    pub(super) fn remaining_tasks_by_zone(&self, job: &Job) -> Option<BTreeMap<String, u32>> {
        let constraints = self.zone_constraints(job)?;
        let zones: BTreeSet<&String> = self.machines().map(|view| &view.status.zone).collect();
        let remaining = zones
            .into_iter()
            .map(|zone| (zone.clone(), constraints.remaining_tasks(zone)));
        Some(remaining.filter(|(_, tasks)| *tasks > 0).collect())
    }

    /// The constraints that the job's tasks put on the zones of those to come; none where they do not decide that.
    pub(super) fn zone_constraints(&self, job: &Job) -> Option<ZoneConstraints> {
        if !job.has_zone_constraint() {
            return None;
        }
        let job_tasks = self.jobs.get(&job.spec.id)?;
        let ActiveZones {
            mut tasks_by_zone,
            unplaced_tasks,
        } = self.active_zones(job_tasks);
        let done_by_zone = job_tasks.done.tasks_by_zone();
        // Tasks on machines bind those to come, whatever zone others were done in: the zone of a completion
        // may become known only when the rest is elsewhere. What is done binds when nothing else does.
        let binding = match tasks_by_zone.is_empty() {
            true => done_by_zone,
            false => &tasks_by_zone,
        };
        let allowed = match job.spec.one_zone {
            // An attempt somewhere unknown (inherited, its machine silent) may be in any zone.
            true if unplaced_tasks > 0 => Some(BTreeSet::new()),
            true if !binding.is_empty() => Some(binding.keys().cloned().collect()),
            _ => None,
        };
        for (zone, tasks) in done_by_zone {
            *tasks_by_zone.entry(zone.clone()).or_default() += tasks;
        }
        Some(ZoneConstraints {
            allowed,
            tasks_by_zone,
            unplaced_tasks,
            max_tasks_per_zone: job.max_tasks_per_zone(),
        })
    }

    fn active_zones(&self, job_tasks: &JobTasks) -> ActiveZones {
        let mut zones = ActiveZones::default();
        let active = job_tasks.active.iter();
        let undone = active.filter(|(index, _)| !job_tasks.done.contains(**index));
        for attempt in undone.flat_map(|(_, attempts)| attempts) {
            match self.zone_of_attempt(*attempt) {
                Some(zone) => *zones.tasks_by_zone.entry(zone).or_default() += 1,
                None => zones.unplaced_tasks += 1,
            }
        }
        zones
    }

    fn zone_of_attempt(&self, attempt: Attempt) -> Option<String> {
        let active = self.active_attempts.get(&attempt)?;
        // The owner may have described the machine only after it listed the attempt.
        let described = || self.zone_of(&active.owner, active.machine.as_ref()?);
        active.zone.clone().or_else(described)
    }
}
