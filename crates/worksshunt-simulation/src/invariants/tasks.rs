//! Invariants on running tasks: placement, team limits, cancelled jobs, and jobs that wait despite free capacity.

use std::collections::{BTreeMap, BTreeSet};

use worksshunt_core::resources::Resources;
use worksshunt_wire::user::JobSpec;
use worksshunt_wire::{JobId, MachineId, TaskId};

use super::{Invariants, WaitingPeriod, MAX_WAIT_MS};
use crate::task_snapshot::{ObservedTask, SnapshotTask, TaskSnapshot};

/// Free capacity of a machine.
#[derive(Debug)]
pub struct FreeCapacity<'a> {
    /// The machine's zone.
    pub zone: &'a str,
    /// Whether the machine is a spot instance.
    pub is_spot: bool,
    /// Free resources.
    pub resources: Resources,
}

/// Input of the check for waiting jobs.
#[derive(Debug)]
pub struct WaitingCheck<'a> {
    /// The time of the check, ms.
    pub now: u64,
    /// Whether no fault in effect may delay a waiting job.
    pub is_progress_expected: bool,
    /// The running tasks.
    pub snapshot: &'a TaskSnapshot,
    /// Free capacity of the machines without faults.
    pub free_capacity: &'a [FreeCapacity<'a>],
    /// Jobs whose tasks fail because of an injected fault.
    pub failing_jobs: &'a BTreeSet<JobId>,
}

impl Invariants {
    /// Records the completion of a task.
    pub fn record_completion(&mut self, task: TaskId) {
        self.completed.insert(task);
    }

    /// Returns whether a task has completed.
    pub fn has_completed(&self, task: TaskId) -> bool {
        self.completed.contains(&task)
    }

    /// Returns whether the job was submitted and all its tasks have completed.
    pub fn all_done(&self, id: JobId) -> bool {
        let Some(spec) = self.jobs.get(&id) else {
            return false;
        };
        (0..spec.task_count).all(|index| self.has_completed(TaskId { job: id, index }))
    }

    fn cancelled_at(&self, id: JobId) -> Option<u64> {
        self.histories.get(&id)?.cancelled_at()
    }

    /// Records the start of a task and checks its placement and the team limits. The snapshot includes the task.
    pub fn record_task_start(
        &mut self,
        now: u64,
        task: TaskId,
        machine: &MachineId,
        snapshot: &TaskSnapshot,
    ) {
        *self.start_counts.entry(task.job).or_default() += 1;
        let running_tasks = snapshot.tasks_of(task.job);
        let runs_elsewhere = |other: &SnapshotTask| other.machine != *machine && other.task == task;
        if running_tasks.iter().any(runs_elsewhere) {
            self.record_violation("ran_twice", &format!("{task}"));
        }
        let Some(spec) = self.jobs.get(&task.job).cloned() else {
            self.record_violation("invented", &format!("{task} was never submitted"));
            return;
        };
        if self.cancelled_at(task.job).is_some_and(|at| now > at) {
            self.starts_after_cancel += 1;
        }
        self.check_placement(task, machine, &spec, running_tasks);
        self.check_team_limits(now, snapshot);
    }

    /// Checks the zones of a job's running tasks, and the zone and the kind of the machine on which one has started.
    fn check_placement(
        &mut self,
        task: TaskId,
        machine: &MachineId,
        spec: &JobSpec,
        running_tasks: &[SnapshotTask],
    ) {
        let mut tasks_by_zone: BTreeMap<&str, u32> = BTreeMap::new();
        for other in running_tasks {
            *tasks_by_zone.entry(&other.zone).or_default() += 1;
            let is_wrong_zone = spec.zone.as_ref().is_some_and(|zone| *zone != other.zone);
            if other.machine == *machine && (is_wrong_zone || (other.is_spot && !spec.allows_spot))
            {
                self.record_violation("wrong_place", &format!("{task}"));
            }
        }
        let max_per_zone = spec.task_count.div_ceil(2);
        let exceeds_zone_limit =
            spec.needs_zone_spread && tasks_by_zone.values().any(|tasks| *tasks > max_per_zone);
        if exceeds_zone_limit || (spec.needs_single_zone && tasks_by_zone.len() > 1) {
            self.record_violation("wrong_place", &format!("{task}: zones {tasks_by_zone:?}"));
        }
    }

    fn check_team_limits(&mut self, now: u64, snapshot: &TaskSnapshot) {
        for (team, used_cpus) in self.used_cpus(snapshot) {
            let limit = self.team_limits.get(&team);
            if limit.is_some_and(|limit| used_cpus > *limit) {
                self.record_violation(
                    "quota",
                    &format!("{team} uses {used_cpus} CPUs at {now} ms"),
                );
            }
        }
    }

    /// Returns the CPUs used by each team.
    fn used_cpus(&self, snapshot: &TaskSnapshot) -> BTreeMap<String, f64> {
        let mut used_cpus: BTreeMap<String, f64> = BTreeMap::new();
        for (job, tasks) in snapshot.task_counts() {
            if let Some(spec) = self.jobs.get(job) {
                *used_cpus.entry(spec.team.0.clone()).or_default() += spec.cpus * tasks as f64;
            }
        }
        used_cpus
    }

    /// Checks that the tasks of cancelled jobs have ended within the cancellation timeout.
    pub fn check_cancelled(&mut self, now: u64, running_tasks: &[ObservedTask]) {
        for running_task in running_tasks {
            let task = running_task.task;
            let Some(cancelled_at) = self.cancelled_at(task.job) else {
                continue;
            };
            if now > cancelled_at + self.cancel_timeout_ms {
                let after_ms = now - cancelled_at;
                let text = format!("{task} still runs {after_ms} ms after its cancellation");
                self.record_violation("ran_cancelled", &text);
            }
        }
    }

    /// Checks that no job waits for longer than [`MAX_WAIT_MS`] despite free capacity while progress is expected.
    pub fn check_waiting(&mut self, check: &WaitingCheck) {
        let used_cpus = self.used_cpus(check.snapshot);
        let mut overdue_jobs = Vec::new();
        for id in self.open_jobs() {
            let Some(spec) = self.jobs.get(&id) else {
                continue;
            };
            let team_cpus = used_cpus.get(&spec.team.0).copied().unwrap_or_default();
            let waits_despite_capacity = check.is_progress_expected
                && self.has_waiting_task(id, spec, check.snapshot)
                && self.is_within_limit(spec, team_cpus)
                && fits(spec, check.free_capacity)
                && self.must_start_where_it_fits(id, spec, check.failing_jobs);
            let waiting_since = self.update_waiting_period(id, waits_despite_capacity, check.now);
            if waiting_since + MAX_WAIT_MS <= check.now {
                overdue_jobs.push(id);
            }
        }
        for id in overdue_jobs {
            let text = format!("{id} waits despite free capacity");
            self.record_violation("waits", &text);
        }
    }

    fn has_waiting_task(&self, id: JobId, spec: &JobSpec, snapshot: &TaskSnapshot) -> bool {
        let running_tasks = snapshot.tasks_of(id).iter();
        let running_indexes: BTreeSet<u32> =
            running_tasks.map(|running| running.task.index).collect();
        (0..spec.task_count).any(|index| {
            !running_indexes.contains(&index) && !self.has_completed(TaskId { job: id, index })
        })
    }

    /// Returns whether the limit of the job's team allows one more task.
    fn is_within_limit(&self, spec: &JobSpec, team_cpus: f64) -> bool {
        let limit = self.team_limits.get(&spec.team.0);
        limit.is_none_or(|limit| team_cpus + spec.cpus <= *limit)
    }

    /// Returns whether the job's tasks have to start on any machine with enough free capacity: the job has no
    /// constraint on zones that depends on other tasks, no user has cancelled it, and no injected fault lets its tasks
    /// fail.
    fn must_start_where_it_fits(
        &self,
        id: JobId,
        spec: &JobSpec,
        failing_jobs: &BTreeSet<JobId>,
    ) -> bool {
        let has_zone_constraint = spec.needs_single_zone || spec.needs_zone_spread;
        let history = self.histories.get(&id);
        let is_cancel_requested = history.is_some_and(|history| history.is_cancel_requested);
        !has_zone_constraint && !is_cancel_requested && !failing_jobs.contains(&id)
    }

    /// Updates a job's waiting period, which ends when a task starts. Returns its start; `now` if there is none.
    fn update_waiting_period(&mut self, id: JobId, waits_despite_capacity: bool, now: u64) -> u64 {
        let start_count = self.start_counts.get(&id).copied().unwrap_or_default();
        let history = self.history(id);
        let continued = history
            .waiting_period
            .filter(|period| period.start_count == start_count);
        let period = continued.unwrap_or(WaitingPeriod {
            since: now,
            start_count,
        });
        history.waiting_period = waits_despite_capacity.then_some(period);
        history.waiting_period.map_or(now, |period| period.since)
    }
}

/// Returns whether a task of the job fits on any of the machines.
fn fits(spec: &JobSpec, free_capacity: &[FreeCapacity]) -> bool {
    let required = Resources::of_task(spec);
    free_capacity.iter().any(|free| {
        free.resources.fits(&required)
            && (spec.allows_spot || !free.is_spot)
            && spec.zone.as_ref().is_none_or(|zone| zone == free.zone)
    })
}
