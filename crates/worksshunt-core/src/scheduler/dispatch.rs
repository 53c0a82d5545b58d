//! Dispatch of a job's waiting tasks: how many its pass admits, and their attempts.
//!
//! Called by `round` for each job's turn; `placement_targets` determines where the tasks may go.

use std::rc::Rc;

use worksshunt_wire::{JobId, TaskId};

use crate::constants::scheduling::STARVED_TASK_DIVISOR;
use crate::jobs::Job;
use crate::time::{Now, Time};

use super::active_attempt::ActiveAttempt;
use super::partition_view::Directive;
use super::placement_targets::PlacementTarget;
use super::round::Pass;
use super::Scheduler;

impl Scheduler {
    /// Dispatches as many waiting tasks of a job as the pass admits and free resources allow.
    pub(super) fn dispatch_job(&mut self, now: Now, pass: Pass, id: JobId) {
        let Some(job_tasks) = self.jobs.get_mut(&id) else {
            return;
        };
        let job = Rc::clone(&job_tasks.job);
        let waiting = job_tasks.waiting();
        if waiting == 0 {
            job_tasks.stuck_since = None;
        }
        let mut remaining = self.tasks_admitted(pass, &job, waiting).min(waiting);
        // Resources that become free are left to a starved job: smaller tasks of its team would always take
        // them first.
        let mut has_reservation = pass == Pass::Starved && waiting > 0;
        if has_reservation {
            self.quota.reserve(&job);
        }
        while remaining > 0 {
            // Each task of such a job decides where the next may go.
            let at_once = match job.has_zone_constraint() {
                true => 1,
                false => remaining,
            };
            let targets = self.placement_targets(now.steady, &job, at_once);
            let found = targets.len() as u32;
            if has_reservation && found > 0 {
                self.quota.cancel_reservation(&job);
                has_reservation = false;
            }
            for target in targets {
                self.dispatch_task(now, &job, target);
            }
            if found < at_once {
                self.note_stuck(now.steady, &job);
                return;
            }
            remaining -= found;
        }
    }

    /// How many of a job's waiting tasks the pass admits, beside those of its team that are active.
    fn tasks_admitted(&self, pass: Pass, job: &Job, waiting: u32) -> u32 {
        match pass {
            Pass::Starved => self
                .quota
                .tasks_within_limit_ignoring_reservations(job)
                .min((waiting / STARVED_TASK_DIVISOR).max(1)),
            Pass::GuaranteeAtRisk | Pass::WithinGuarantee => self.quota.tasks_within_guarantee(job),
            Pass::WithinLimit => self.quota.tasks_within_limit(job),
        }
    }

    /// A task of the job has found no machine.
    fn note_stuck(&mut self, now: Time, job: &Job) {
        let Some(job_tasks) = self.jobs.get_mut(&job.spec.id) else {
            return;
        };
        self.services.has_stuck_replica |= job.is_service() && !job_tasks.is_stuck();
        job_tasks.stuck_since.get_or_insert(now);
    }

    fn dispatch_task(&mut self, now: Now, job: &Job, target: PlacementTarget) {
        if self.attempts_exhausted() {
            return;
        }
        let id = job.spec.id;
        let Some(job_tasks) = self.jobs.get_mut(&id) else {
            return;
        };
        let Some(index) = job_tasks.next_waiting() else {
            return;
        };
        if job_tasks.last_dispatch_at.replace(now.steady).is_none() {
            let waited_ms = now.wall_ms.saturating_sub(job.accepted_ms);
            tracing::debug!(job = %id, tasks = job.spec.task_count, class = job.spec.class, waited_ms, "first task of job dispatched");
        }
        job_tasks.stuck_since = None;
        let attempt = self.attempt_numbers.allocate();
        let mut active = ActiveAttempt::new(TaskId { job: id, index }, target.owner.clone());
        active.zone = target.zone;
        active.claimed_machine = target.is_claimed.then(|| target.machine.clone());
        if let Some(partition) = self.partitions.get_mut(&target.owner) {
            partition.reserve(&target.machine, job);
            partition.enqueue(Directive::Assign(attempt));
        }
        active.reserved_on = Some(target.machine);
        self.insert_attempt(attempt, active);
    }
}
