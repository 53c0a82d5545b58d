//! The leader's scheduler: dispatches waiting tasks to partitions.
//!
//! It owns the tasks of the open jobs, the active attempts, the usage of the teams' quotas and the zone constraints of
//! jobs. An attempt is active from its dispatch until it is confirmed to have ended; it is charged to its team's quota
//! until then, or until it completes. All counts are updated incrementally: the cost of a message depends on its size,
//! not on the size of the fleet.
//!
//! The leading controller calls it for every partition status, on timers, when jobs open or close, and when writes
//! become durable.

mod active_attempt;
mod attempt_numbers;
mod attempts;
mod claim_records;
mod claims;
mod demand;
mod dispatch;
mod forecast;
mod job_tasks;
mod loading;
mod machine_view;
mod partition_sync;
mod partition_view;
mod pending_writes;
mod placement_targets;
mod preempt;
mod preemption_candidates;
mod round;
mod services;
mod stored_pages;
mod unresponsive_machines;
mod workload_log;
mod zone_constraints;

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use worksshunt_wire::{AttemptId, ControllerName, Epoch, JobId, MachineId};

use crate::jobs::Job;
use crate::objectives::ServiceLevelObjectives;
use crate::quota::Quota;
use crate::time::Time;

use active_attempt::ActiveAttempt;
use attempt_numbers::AttemptNumbers;
pub use claim_records::{claim_key, ClaimWrite, ClaimWriteOutcome, CLAIMS_PREFIX};
use claims::Claim;
pub use demand::Demand;
use demand::DemandHistory;
pub use forecast::{ExpectedDemand, Forecast};
use job_tasks::JobTasks;
pub use loading::StoredState;
pub use machine_view::MachineView;
use partition_view::{Directive, PartitionView};
pub use pending_writes::PendingWrite;
use round::SchedulingRound;
use services::ServiceState;
use stored_pages::StoredPages;

/// State of the leader's scheduler in one epoch.
#[derive(Debug)]
pub struct Scheduler {
    epoch: Epoch,
    attempt_numbers: AttemptNumbers,
    quota: Quota,
    objectives: ServiceLevelObjectives,
    open_jobs: BTreeMap<JobId, JobTasks>,
    active_attempts: BTreeMap<AttemptId, ActiveAttempt>,
    /// Partitions by owner, one for each member of the epoch.
    partitions: BTreeMap<ControllerName, PartitionView>,
    claims: BTreeMap<MachineId, Claim>,
    /// Number of the next claim. No number is used twice in an epoch.
    next_claim_number: u64,
    round: SchedulingRound,
    pending_writes: BTreeSet<PendingWrite>,
    pages: StoredPages,
    /// Machines that the fleet is about to release. Nothing is dispatched to them.
    draining_machines: BTreeSet<MachineId>,
    /// Open jobs stored in a format that this version cannot read. Their attempts are left running.
    unreadable_jobs: BTreeSet<JobId>,
    services: ServiceState,
    demand_history: DemandHistory,
}

impl Scheduler {
    /// Limits the epoch to `limit` attempt numbers, to test what happens when an epoch has no numbers left.
    pub fn limit_attempts(&mut self, limit: u64) {
        self.attempt_numbers.set_limit(limit);
    }

    /// Whether the epoch has no attempt numbers left, so that the next epoch has to begin.
    pub fn are_attempt_numbers_exhausted(&self) -> bool {
        self.attempt_numbers.is_exhausted()
    }

    /// Adds an accepted job. A job that is open already is not replaced.
    pub fn open_job(&mut self, id: JobId, job: &Rc<Job>) {
        self.open_jobs
            .entry(id)
            .or_insert_with(|| JobTasks::new(Rc::clone(job), &self.objectives));
        if job.is_service() {
            self.services.open_jobs.insert(id);
        }
        self.demand_history.record_class(&job.spec.class);
        self.round.request();
    }

    /// Whether the job is open in the scheduler.
    pub fn has_job(&self, id: JobId) -> bool {
        self.open_jobs.contains_key(&id)
    }

    /// Whether the job has active attempts, completed ones included.
    pub fn has_attempts_of(&self, id: JobId) -> bool {
        let mut attempts = self.active_attempts.values();
        attempts.any(|active| active.task.job == id)
    }

    /// Removes a job that has reached its final state, and stops its remaining attempts.
    pub fn close_job(&mut self, id: JobId, now: Time) {
        let Some(closed) = self.open_jobs.remove(&id) else {
            return;
        };
        self.services.open_jobs.remove(&id);
        self.remove_completions(id, closed.job.spec.task_count, now);
        self.release_attempts_of_closed_job(closed);
        self.pending_writes.remove(&PendingWrite::CompleteJob(id));
        self.release_claims_of_job(id);
        self.round.request();
    }

    /// Sets the machines that are to be released. Nothing more is dispatched to them, even before their partitions'
    /// owners know.
    pub fn set_draining(&mut self, draining: BTreeSet<MachineId>) {
        self.draining_machines = draining;
    }

    /// Requests a scheduling round, after a change that may allow more dispatches.
    pub fn request_round(&mut self) {
        self.round.request();
    }

    /// The machines of all partitions.
    pub fn machines(&self) -> impl Iterator<Item = &MachineView> {
        self.partitions
            .values()
            .flat_map(|partition| partition.machines.values())
    }

    /// Whether every partition's owner has sent its status in this epoch.
    pub fn have_all_partitions_reported(&self) -> bool {
        self.partitions.values().all(PartitionView::has_reported)
    }

    /// Enqueues a directive for the owner of the attempt's partition.
    fn send_directive(&mut self, directive: Directive) {
        let Some(active) = self.active_attempts.get(&directive.attempt()) else {
            return;
        };
        if let Some(partition) = self.partitions.get_mut(&active.owner) {
            partition.enqueue(directive);
        }
    }
}
