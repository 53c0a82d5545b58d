//! The leader's scheduler: which waiting task goes to which partition.
//!
//! It owns the open jobs' tasks, the attempts that may be on machines, the teams' quotas and the
//! zone constraints of jobs whose tasks depend on each other. A task counts from its dispatch until its
//! attempt is certainly gone. Counts are updated with every change, so that the cost of a message grows with
//! what it brings and not with the size of the fleet.
//!
//! The leading controller calls it: with every partition's status, on timers, when jobs open or close
//! and when writes are durable.

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
mod silent_machines;
mod stored_pages;
mod workload_log;
mod zone_constraints;

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use worksshunt_wire::{Attempt, ControllerName, Epoch, JobId, MachineId};

use crate::jobs::Job;
use crate::objectives::ServiceLevelObjectives;
use crate::quota::Quota;
use crate::time::Time;

use active_attempt::ActiveAttempt;
use attempt_numbers::AttemptNumbers;
pub use claim_records::{claim_key, ClaimRecord, ClaimWrite, CLAIMS_PREFIX};
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

/// The leader's state.
#[derive(Debug)]
pub struct Scheduler {
    epoch: Epoch,
    attempt_numbers: AttemptNumbers,
    quota: Quota,
    objectives: ServiceLevelObjectives,
    /// Open jobs.
    jobs: BTreeMap<JobId, JobTasks>,
    active_attempts: BTreeMap<Attempt, ActiveAttempt>,
    /// The members' partitions, by owner.
    partitions: BTreeMap<ControllerName, PartitionView>,
    claims: BTreeMap<MachineId, Claim>,
    /// Number of the next claim of this epoch.
    next_claim: u64,
    round: SchedulingRound,
    pending_writes: BTreeSet<PendingWrite>,
    pages: StoredPages,
    /// Machines that are to be returned, as the fleet has it.
    draining: BTreeSet<MachineId>,
    /// Open jobs of a form that this version does not understand, whose attempts are left alone.
    unreadable_jobs: BTreeSet<JobId>,
    services: ServiceState,
    demand_history: DemandHistory,
}

impl Scheduler {
    /// Uses at most `limit` attempt numbers in this epoch, for tests of what follows.
    pub fn limit_attempts(&mut self, limit: u64) {
        self.attempt_numbers.set_limit(limit);
    }

    /// Whether there are no more numbers for attempts in this epoch, so that the next one has to begin.
    pub fn attempts_exhausted(&self) -> bool {
        self.attempt_numbers.is_exhausted()
    }

    /// A job was accepted.
    pub fn open_job(&mut self, id: JobId, job: &Rc<Job>) {
        self.jobs
            .entry(id)
            .or_insert_with(|| JobTasks::new(Rc::clone(job), &self.objectives));
        if job.is_service() {
            self.services.open.insert(id);
        }
        self.demand_history.note_class(&job.spec.class);
        self.round.request();
    }

    /// Whether it has the job.
    pub fn has_job(&self, id: JobId) -> bool {
        self.jobs.contains_key(&id)
    }

    /// Whether attempts at the job's tasks may be on machines, ended or not.
    pub fn has_attempts_of(&self, id: JobId) -> bool {
        let mut attempts = self.active_attempts.values();
        attempts.any(|active| active.task.job == id)
    }

    /// A job is over.
    pub fn close_job(&mut self, id: JobId, now: Time) {
        let Some(closed) = self.jobs.remove(&id) else {
            return;
        };
        self.services.open.remove(&id);
        self.remove_completions(id, closed.job.spec.task_count, now);
        self.release_attempts_of_closed_job(closed);
        self.pending_writes.remove(&PendingWrite::FinishJob(id));
        self.release_claims_of(id);
        self.round.request();
    }

    /// These machines are to be returned: nothing is dispatched to them, whether or not their owners know.
    pub fn set_draining(&mut self, draining: BTreeSet<MachineId>) {
        self.draining = draining;
    }

    /// Something changed that a scheduling round may make use of.
    pub fn request_round(&mut self) {
        self.round.request();
    }

    /// All machines of all partitions.
    pub fn machines(&self) -> impl Iterator<Item = &MachineView> {
        self.partitions
            .values()
            .flat_map(|partition| partition.machines.values())
    }

    /// Whether every partition has described itself in this epoch.
    pub fn all_partitions_reported(&self) -> bool {
        self.partitions.values().all(PartitionView::has_reported)
    }

    /// Enqueues a directive for the owner of its attempt.
    fn send_directive(&mut self, directive: Directive) {
        let Some(active) = self.active_attempts.get(&directive.attempt()) else {
            return;
        };
        if let Some(partition) = self.partitions.get_mut(&active.owner) {
            partition.enqueue(directive);
        }
    }
}
