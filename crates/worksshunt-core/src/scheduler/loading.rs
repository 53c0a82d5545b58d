//! Builds the scheduler of a new leader from the key-value store.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use worksshunt_wire::key_value::KeyValue;
use worksshunt_wire::peer::AttemptPhase;
use worksshunt_wire::settings::Facts;
use worksshunt_wire::{ControllerName, Epoch, JobId};

use crate::jobs::{read_completions, Completions, CompletionsKey, Job, JobCache};
use crate::objectives::ServiceLevelObjectives;
use crate::partitioning::partition_owner;
use crate::quota::Quota;
use crate::records::{AttemptRecord, RecordPage};
use crate::time::Time;

use super::active_attempt::ActiveAttempt;
use super::attempt_numbers::AttemptNumbers;
use super::demand::DemandHistory;
use super::partition_view::PartitionView;
use super::round::SchedulingRound;
use super::services::ServiceState;
use super::stored_pages::StoredPages;
use super::{PendingWrite, Scheduler};

/// Scheduler state that a new leader has read from the store.
#[derive(Debug, Default)]
pub struct StoredState {
    /// Pages of attempt records, reduced to the latest attempt at each task.
    pub record_pages: Vec<RecordPage>,
    /// Keys of the pages from which earlier attempts were dropped, and which have to be rewritten.
    pub stale_record_pages: BTreeSet<String>,
    /// Pages of completions.
    pub completion_pages: Vec<KeyValue>,
    /// Claim records of previous epochs.
    pub claims: Vec<KeyValue>,
    /// Cancelled jobs with recorded attempts, which are charged to quotas until they are confirmed to have ended.
    pub cancelled_jobs: BTreeMap<JobId, Rc<Job>>,
}

impl Scheduler {
    /// Builds the scheduler of a new epoch from the stored state.
    pub fn load(
        now: Time,
        epoch: Epoch,
        members: &[ControllerName],
        facts: &Facts,
        job_cache: &JobCache,
        stored: &StoredState,
    ) -> Scheduler {
        let mut scheduler = Scheduler::empty(now, epoch, members, facts);
        for (id, open_job) in job_cache.open_jobs() {
            scheduler.open_job(*id, &open_job.job);
        }
        for pair in &stored.completion_pages {
            scheduler.load_completions(now, pair);
        }
        let records = stored.record_pages.iter().flat_map(|page| &page.records);
        scheduler.unreadable_jobs = records
            .map(|record| record.task.job)
            .filter(|id| job_cache.is_unreadable(*id))
            .collect();
        for page in &stored.record_pages {
            scheduler.load_record_page(page);
            for record in &page.records {
                scheduler.load_attempt_record(now, record, members, &stored.cancelled_jobs);
            }
        }
        for key in &stored.stale_record_pages {
            scheduler
                .pages
                .previous_epoch_records
                .mark_for_rewrite(key, now);
        }
        scheduler.request_initial_writes(&stored.claims);
        scheduler
    }

    fn empty(now: Time, epoch: Epoch, members: &[ControllerName], facts: &Facts) -> Scheduler {
        Scheduler {
            epoch,
            attempt_numbers: AttemptNumbers::new(epoch),
            quota: Quota::new(&facts.teams),
            objectives: ServiceLevelObjectives::new(&facts.objectives),
            open_jobs: BTreeMap::new(),
            active_attempts: BTreeMap::new(),
            partitions: members
                .iter()
                .map(|name| (name.clone(), PartitionView::default()))
                .collect(),
            claims: BTreeMap::new(),
            next_claim_number: 0,
            round: SchedulingRound::default(),
            pending_writes: BTreeSet::new(),
            pages: StoredPages::new(&facts.key_value_store),
            draining_machines: BTreeSet::new(),
            unreadable_jobs: BTreeSet::new(),
            services: ServiceState::new(&facts.workers),
            demand_history: DemandHistory::new(now),
        }
    }

    fn load_completions(&mut self, now: Time, pair: &KeyValue) {
        let Some(entries) = read_completions(&pair.value) else {
            // The platform keeps the results of completed tasks, so these tasks run again and end at once.
            tracing::error!(
                key = pair.key,
                "completions page has an unknown format; deleting it and running its tasks again"
            );
            self.pages.completions.reserve_page_number(&pair.key);
            self.pending_writes
                .insert(PendingWrite::RemoveKey(pair.key.clone()));
            return;
        };
        let mut keys_of_closed_jobs = Vec::new();
        for (key, entry) in &entries {
            if !self.load_completions_entry(now, key, entry) {
                keys_of_closed_jobs.push(*key);
            }
        }
        self.pages
            .completions
            .add_stored_page(pair.key.clone(), pair.version, entries);
        for key in keys_of_closed_jobs {
            self.pages.completions.remove(&key, now, false);
        }
    }

    /// Marks the entry's tasks completed. Returns false if the job is closed.
    fn load_completions_entry(
        &mut self,
        now: Time,
        key: &CompletionsKey,
        entry: &Completions,
    ) -> bool {
        let Some(job_tasks) = self.open_jobs.get_mut(&key.job) else {
            return false;
        };
        for task in &entry.tasks {
            job_tasks.mark_completed(*task);
        }
        for (zone, tasks) in &entry.tasks_by_zone {
            job_tasks.completed_tasks.add_tasks_in_zone(zone, *tasks);
        }
        job_tasks.last_dispatch_at = Some(now);
        true
    }

    fn load_record_page(&mut self, page: &RecordPage) {
        let entries = page
            .records
            .iter()
            .map(|record| (record.attempt, record.clone()))
            .collect();
        self.pages.previous_epoch_records.add_stored_page(
            page.stored.key.clone(),
            page.stored.version,
            entries,
        );
    }

    fn load_attempt_record(
        &mut self,
        now: Time,
        record: &AttemptRecord,
        members: &[ControllerName],
        cancelled_jobs: &BTreeMap<JobId, Rc<Job>>,
    ) {
        let Some(owner) = partition_owner(&record.machine, members) else {
            return;
        };
        let mut active = ActiveAttempt::new(record.task, owner.clone());
        // A completed task has no other attempts, so this one completed it and uses no resources.
        let job_tasks = self.open_jobs.get(&record.task.job);
        let is_completed =
            job_tasks.is_some_and(|tasks| tasks.completed_tasks.contains(record.task.index));
        active.phase = if is_completed {
            AttemptPhase::Completed
        } else {
            AttemptPhase::Placed
        };
        active.machine = Some(record.machine.clone());
        active.job = cancelled_jobs.get(&record.task.job).cloned();
        self.insert_attempt(record.attempt, active);
        if let Some(job_tasks) = self.open_jobs.get_mut(&record.task.job) {
            job_tasks.last_dispatch_at = Some(now);
        }
    }

    /// Requests the deletion of previous epochs' claims, and the final states of jobs whose tasks are all completed.
    fn request_initial_writes(&mut self, previous_claims: &[KeyValue]) {
        let keys = previous_claims.iter().map(|pair| pair.key.clone());
        self.pending_writes
            .extend(keys.map(PendingWrite::RemoveKey));
        let completed_jobs = self
            .open_jobs
            .iter()
            .filter(|(_, tasks)| tasks.all_tasks_completed());
        self.pending_writes
            .extend(completed_jobs.map(|(id, _)| PendingWrite::CompleteJob(*id)));
    }
}
