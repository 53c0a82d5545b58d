//! Rules about tasks on machines: where they start, team limits, cancelled jobs and jobs that wait for no reason.

use std::collections::{BTreeMap, BTreeSet};

use worksshunt_wire::user::JobSpec;
use worksshunt_wire::{JobId, MachineId, TaskId};

use super::{Invariants, Waiting, MAX_WAIT_MS};
use crate::job_audit::{AuditedTask, JobAudit, ObservedTask};

/// Free capacity of a machine that could take a task.
#[derive(Debug)]
pub struct FreeCapacity<'a> {
    /// The machine's zone.
    pub zone: &'a str,
    /// Whether it is a spot machine.
    pub spot: bool,
    /// Free processors.
    pub cpus: f64,
}

/// The input of a check for waiting jobs.
#[derive(Debug)]
pub struct WaitingCheck<'a> {
    /// The time of the check, ms.
    pub now: u64,
    /// Whether there is no fault that would excuse a job that waits.
    pub is_undisturbed: bool,
    /// What is on machines.
    pub audit: &'a JobAudit,
    /// Free capacity of machines that no fault concerns.
    pub free_capacity: &'a [FreeCapacity<'a>],
    /// Jobs whose tasks the scenario lets fail.
    pub failing_jobs: &'a BTreeSet<JobId>,
}

impl Invariants {
    /// A task has completed.
    pub fn completed(&mut self, task: TaskId) {
        self.completed.insert(task);
    }

    /// Whether a task has completed.
    pub fn has_completed(&self, task: TaskId) -> bool {
        self.completed.contains(&task)
    }

    /// Whether all tasks of the job have completed.
    pub fn all_done(&self, id: JobId) -> bool {
        let Some(spec) = self.jobs.get(&id) else {
            return false;
        };
        (0..spec.task_count).all(|index| self.has_completed(TaskId { job: id, index }))
    }

    fn cancelled_at(&self, id: JobId) -> Option<u64> {
        self.histories.get(&id)?.cancelled_at()
    }

    /// A task starts; `audit` is all that is on machines, itself included.
    pub fn task_started(&mut self, now: u64, task: TaskId, machine: &MachineId, audit: &JobAudit) {
        *self.starts.entry(task.job).or_default() += 1;
        let on_machines = audit.of_job(task.job);
        let runs_elsewhere = |other: &AuditedTask| other.machine != *machine && other.task == task;
        if on_machines.iter().any(runs_elsewhere) {
            self.record_violation("ran_twice", &format!("{task}"));
        }
        let Some(spec) = self.jobs.get(&task.job).cloned() else {
            self.record_violation("invented", &format!("{task} was never submitted"));
            return;
        };
        if self.cancelled_at(task.job).is_some_and(|at| now > at) {
            self.starts_after_cancel += 1;
        }
        self.check_place(task, machine, &spec, on_machines);
        self.check_team_limits(now, audit);
    }

    /// Checks the zones of a job's tasks, and the zone and the kind of the machine on which one has started.
    fn check_place(
        &mut self,
        task: TaskId,
        machine: &MachineId,
        spec: &JobSpec,
        on_machines: &[AuditedTask],
    ) {
        let mut zones: BTreeMap<&str, u32> = BTreeMap::new();
        for other in on_machines {
            *zones.entry(&other.zone).or_default() += 1;
            let is_wrong_zone = spec.zone.as_ref().is_some_and(|zone| *zone != other.zone);
            if other.machine == *machine && (is_wrong_zone || (other.spot && !spec.allows_spot)) {
                self.record_violation("wrong_place", &format!("{task}"));
            }
        }
        let max_per_zone = spec.task_count.div_ceil(2);
        let is_crowded =
            spec.needs_zone_spread && zones.values().any(|tasks| *tasks > max_per_zone);
        if is_crowded || (spec.needs_single_zone && zones.len() > 1) {
            self.record_violation("wrong_place", &format!("{task}: zones {zones:?}"));
        }
    }

    fn check_team_limits(&mut self, now: u64, audit: &JobAudit) {
        for (team, used) in self.used_cpus(audit) {
            let limit = self.team_limits.get(&team);
            if limit.is_some_and(|limit| used > *limit) {
                self.record_violation("quota", &format!("{team} uses {used} at {now}"));
            }
        }
    }

    /// Processors that each team uses.
    fn used_cpus(&self, audit: &JobAudit) -> BTreeMap<String, f64> {
        let mut used: BTreeMap<String, f64> = BTreeMap::new();
        for (job, tasks) in audit.jobs() {
            if let Some(spec) = self.jobs.get(job) {
                *used.entry(spec.team.0.clone()).or_default() += spec.cpus * tasks as f64;
            }
        }
        used
    }

    /// Checks that no task of a cancelled job is on a machine once the time for its end is over.
    pub fn check_cancelled(&mut self, now: u64, on_machines: &[ObservedTask]) {
        for on_machine in on_machines {
            let task = on_machine.task;
            let Some(cancelled_at) = self.cancelled_at(task.job) else {
                continue;
            };
            if now > cancelled_at + self.cancel_ms {
                let after_ms = now - cancelled_at;
                let text = format!("{task} is on a machine {after_ms} ms after");
                self.record_violation("ran_cancelled", &text);
            }
        }
    }

    /// Checks that no job waits for long beside a machine with free capacity while nothing excuses it.
    pub fn check_waiting(&mut self, check: &WaitingCheck) {
        let used_cpus = self.used_cpus(check.audit);
        let mut too_long = Vec::new();
        for id in self.open_jobs() {
            let Some(spec) = self.jobs.get(&id) else {
                continue;
            };
            let team_cpus = used_cpus.get(&spec.team.0).copied().unwrap_or_default();
            let is_stuck = check.is_undisturbed
                && self.has_waiting_task(id, spec, check.audit)
                && self.is_within_limit(spec, team_cpus)
                && fits(spec, check.free_capacity)
                && self.has_to_progress(id, spec, check.failing_jobs);
            if self.waits_since(id, is_stuck, check.now) + MAX_WAIT_MS <= check.now {
                too_long.push(id);
            }
        }
        for id in too_long {
            let text = format!("{id} beside a machine with room");
            self.record_violation("waits", &text);
        }
    }

    fn has_waiting_task(&self, id: JobId, spec: &JobSpec, audit: &JobAudit) -> bool {
        let on_machines = audit.of_job(id).iter();
        let on_machines: BTreeSet<u32> = on_machines.map(|on| on.task.index).collect();
        (0..spec.task_count).any(|index| {
            !on_machines.contains(&index) && !self.has_completed(TaskId { job: id, index })
        })
    }

    /// Whether the limit of the job's team allows one more task.
    fn is_within_limit(&self, spec: &JobSpec, team_cpus: f64) -> bool {
        let limit = self.team_limits.get(&spec.team.0);
        limit.is_none_or(|limit| team_cpus + spec.cpus <= *limit)
    }

    /// Whether the job's tasks have to start wherever they fit: their zones are free, no user has cancelled them and
    /// the scenario does not let them fail.
    fn has_to_progress(&self, id: JobId, spec: &JobSpec, failing_jobs: &BTreeSet<JobId>) -> bool {
        let zones_matter = spec.needs_single_zone || spec.needs_zone_spread;
        let history = self.histories.get(&id);
        let is_withdrawn = history.is_some_and(|history| history.is_withdrawn);
        !zones_matter && !is_withdrawn && !failing_jobs.contains(&id)
    }

    /// Since when a job waits beside free capacity without a start of its tasks; now, if it does not.
    fn waits_since(&mut self, id: JobId, is_stuck: bool, now: u64) -> u64 {
        let starts = self.starts.get(&id).copied().unwrap_or_default();
        let history = self.history(id);
        let unchanged = history.waiting.filter(|waiting| waiting.starts == starts);
        let waiting = unchanged.unwrap_or(Waiting { since: now, starts });
        history.waiting = is_stuck.then_some(waiting);
        history.waiting.map_or(now, |waiting| waiting.since)
    }
}

/// Whether a task of the job fits any free capacity.
fn fits(spec: &JobSpec, free_capacity: &[FreeCapacity]) -> bool {
    free_capacity.iter().any(|free| {
        free.cpus >= spec.cpus
            && (spec.allows_spot || !free.spot)
            && spec.zone.as_ref().is_none_or(|zone| zone == free.zone)
    })
}
