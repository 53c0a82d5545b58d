//! Dispatch of a job's waiting tasks: how many of them a tier admits, and the creation of their attempts.
//!
//! `round` calls it for each entry of a round; `placement_targets` determines where the tasks may go.

use std::rc::Rc;

use worksshunt_wire::{JobId, TaskId};

use crate::constants::scheduling::{MAX_RESERVATION_WITHOUT_MACHINE_MS, STARVED_TASK_DIVISOR};
use crate::jobs::Job;
use crate::time::{Now, Time};

use super::active_attempt::ActiveAttempt;
use super::partition_view::Directive;
use super::placement_targets::PlacementTarget;
use super::round::SchedulingTier;
use super::Scheduler;

impl Scheduler {
    /// Dispatches waiting tasks of a job, as many as the tier admits and free resources allow.
    pub(super) fn dispatch_job(&mut self, now: Now, tier: SchedulingTier, id: JobId) {
        let Some(job_tasks) = self.open_jobs.get_mut(&id) else {
            return;
        };
        let job = Rc::clone(&job_tasks.job);
        let waiting_tasks = job_tasks.waiting_tasks();
        if waiting_tasks == 0 {
            job_tasks.unschedulable_since = None;
        }
        let mut remaining_tasks = self
            .admitted_tasks(tier, &job, waiting_tasks)
            .min(waiting_tasks);
        // Reserves quota for a starved job, since smaller tasks of its team would always take what becomes free.
        let mut has_reservation = tier == SchedulingTier::Starved && waiting_tasks > 0;
        if has_reservation {
            self.quota.reserve(&job);
        }
        while remaining_tasks > 0 {
            // The placement of each task constrains that of the next.
            let batch_size = match job.has_zone_constraint() {
                true => 1,
                false => remaining_tasks,
            };
            let targets = self.placement_targets(now.steady, &job, batch_size);
            let targets_found = targets.len() as u32;
            if has_reservation && targets_found > 0 {
                self.quota.cancel_reservation(&job);
                has_reservation = false;
            }
            for target in targets {
                self.dispatch_task(now, &job, target);
            }
            if targets_found < batch_size {
                let unschedulable_ms = self.mark_unschedulable(now.steady, &job);
                if has_reservation && unschedulable_ms >= MAX_RESERVATION_WITHOUT_MACHINE_MS {
                    self.quota.cancel_reservation(&job);
                }
                return;
            }
            remaining_tasks -= targets_found;
        }
    }

    /// How many of a job's waiting tasks the tier admits, given the usage of its team.
    fn admitted_tasks(&self, tier: SchedulingTier, job: &Job, waiting_tasks: u32) -> u32 {
        match tier {
            SchedulingTier::Starved => self
                .quota
                .tasks_within_limit_ignoring_reservations(job)
                .min((waiting_tasks / STARVED_TASK_DIVISOR).max(1)),
            SchedulingTier::GuaranteeAtRisk | SchedulingTier::WithinGuarantee => {
                self.quota.tasks_within_guarantee(job)
            }
            SchedulingTier::WithinLimit => self.quota.tasks_within_limit(job),
        }
    }

    /// Records that no machine fits the job's next task. Returns for how long that has been so, milliseconds.
    fn mark_unschedulable(&mut self, now: Time, job: &Job) -> u64 {
        let Some(job_tasks) = self.open_jobs.get_mut(&job.spec.id) else {
            return 0;
        };
        self.services.has_unschedulable_replica |=
            job.is_service() && !job_tasks.is_unschedulable();
        job_tasks.unschedulable_since.get_or_insert(now);
        job_tasks.unschedulable_ms(now)
    }

    fn dispatch_task(&mut self, now: Now, job: &Job, target: PlacementTarget) {
        if self.are_attempt_numbers_exhausted() {
            return;
        }
        let id = job.spec.id;
        let Some(job_tasks) = self.open_jobs.get_mut(&id) else {
            return;
        };
        let Some(index) = job_tasks.next_waiting_task() else {
            return;
        };
        if job_tasks.last_dispatch_at.replace(now.steady).is_none() {
            let waited_ms = now.wall_ms.saturating_sub(job.accepted_ms);
            tracing::debug!(job = %id, tasks = job.spec.task_count, class = job.spec.class, waited_ms, "first task of job dispatched");
        }
        job_tasks.unschedulable_since = None;
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
