//! How a new leader begins its epoch: the scheduler's state from what is in the key-value store.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use worksshunt_wire::key_value::KeyValue;
use worksshunt_wire::peer::Phase;
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

/// What a new leader finds in the store.
#[derive(Debug, Default)]
pub struct StoredState {
    /// Pages of attempt records, each with the latest attempts on it.
    pub record_pages: Vec<RecordPage>,
    /// Keys of those among them that list earlier attempts too.
    pub stale_record_pages: BTreeSet<String>,
    /// Pages of completions.
    pub completion_pages: Vec<KeyValue>,
    /// Claims of former leaders.
    pub claims: Vec<KeyValue>,
    /// Cancelled jobs with attempts on record, which count against quotas until they are certainly gone.
    pub cancelled_jobs: BTreeMap<JobId, Rc<Job>>,
}

impl Scheduler {
    /// Takes over at the start of an epoch, from what is in the store.
    pub fn load(
        now: Time,
        epoch: Epoch,
        members: &[ControllerName],
        facts: &Facts,
        job_cache: &JobCache,
        stored: &StoredState,
    ) -> Scheduler {
        let mut scheduler = Scheduler::empty(now, epoch, members, facts);
        for (id, open) in job_cache.open_jobs() {
            scheduler.open_job(*id, &open.job);
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
                scheduler.load_record(now, record, members, &stored.cancelled_jobs);
            }
        }
        for key in &stored.stale_record_pages {
            scheduler.pages.former_records.mark_for_rewrite(key, now);
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
            jobs: BTreeMap::new(),
            active_attempts: BTreeMap::new(),
            partitions: members
                .iter()
                .map(|name| (name.clone(), PartitionView::default()))
                .collect(),
            claims: BTreeMap::new(),
            next_claim: 0,
            round: SchedulingRound::default(),
            pending_writes: BTreeSet::new(),
            pages: StoredPages::new(&facts.state),
            draining: BTreeSet::new(),
            unreadable_jobs: BTreeSet::new(),
            services: ServiceState::new(&facts.workers),
            demand_history: DemandHistory::new(now),
        }
    }

    fn load_completions(&mut self, now: Time, pair: &KeyValue) {
        let Some(entries) = read_completions(&pair.value) else {
            // Results are kept by the platform: such tasks run once more and end at once.
            tracing::error!(
                key = pair.key,
                "completions page of another version dropped"
            );
            self.pages.completions.skip_number_of(&pair.key);
            self.pending_writes
                .insert(PendingWrite::RemoveKey(pair.key.clone()));
            return;
        };
        let mut closed_jobs_keys = Vec::new();
        for (key, entry) in &entries {
            if !self.load_completions_entry(now, key, entry) {
                closed_jobs_keys.push(*key);
            }
        }
        self.pages
            .completions
            .adopt_stored_page(pair.key.clone(), pair.version, entries);
        for key in closed_jobs_keys {
            self.pages.completions.remove(&key, now, false);
        }
    }

    /// Marks the entry's tasks done; false if its job is over.
    fn load_completions_entry(
        &mut self,
        now: Time,
        key: &CompletionsKey,
        entry: &Completions,
    ) -> bool {
        let Some(job_tasks) = self.jobs.get_mut(&key.job) else {
            return false;
        };
        for task in &entry.tasks {
            job_tasks.mark_done(*task);
        }
        for (zone, tasks) in &entry.tasks_by_zone {
            job_tasks.done.count_zone(zone, *tasks);
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
        self.pages.former_records.adopt_stored_page(
            page.stored.key.clone(),
            page.stored.version,
            entries,
        );
    }

    fn load_record(
        &mut self,
        now: Time,
        record: &AttemptRecord,
        members: &[ControllerName],
        cancelled: &BTreeMap<JobId, Rc<Job>>,
    ) {
        let Some(owner) = partition_owner(&record.machine, members) else {
            return;
        };
        let mut active = ActiveAttempt::new(record.task, owner.clone());
        // Of a task that is done no other attempt was made, and this one uses nothing any more.
        let job_tasks = self.jobs.get(&record.task.job);
        let is_done = job_tasks.is_some_and(|tasks| tasks.done.contains(record.task.index));
        active.phase = if is_done {
            Phase::Completed
        } else {
            Phase::Placed
        };
        active.machine = Some(record.machine.clone());
        active.job = cancelled.get(&record.task.job).cloned();
        self.insert_attempt(record.attempt, active);
        if let Some(job_tasks) = self.jobs.get_mut(&record.task.job) {
            job_tasks.last_dispatch_at = Some(now);
        }
    }

    /// Claims of former leaders lapse, and jobs whose tasks are all done are to be finished.
    fn request_initial_writes(&mut self, former_claims: &[KeyValue]) {
        let keys = former_claims.iter().map(|pair| pair.key.clone());
        self.pending_writes
            .extend(keys.map(PendingWrite::RemoveKey));
        let complete = self.jobs.iter().filter(|(_, tasks)| tasks.is_complete());
        self.pending_writes
            .extend(complete.map(|(id, _)| PendingWrite::FinishJob(*id)));
    }
}
