//! Cache of the open jobs, one per controller, updated by a watch of the key-value store.
//!
//! The cache also contains the submission batches that the leader has not yet split into single jobs, and a bounded
//! number of final states and recently closed jobs. The controller updates it and answers users from it; the changes
//! it returns are applied to the leader's scheduler and to the partition.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::rc::Rc;

use serde_json::Value;
use worksshunt_wire::key_value::{Listing, WatchEvent, WatchResponse};
use worksshunt_wire::user::JobState;
use worksshunt_wire::{JobId, Revision};

use crate::constants::job_api::{MAX_CACHED_CLOSED_JOBS, MAX_CACHED_FINAL_STATES};

use super::final_state::{CachedFinalState, FinalStateEvidence};
use super::stored::{parse_job_key, read_submission_batch};
use super::{is_submission_batch_key, Job, OPEN_JOBS_PREFIX};

/// An open job in the cache.
#[derive(Debug, Clone)]
pub struct OpenJob {
    /// Job as stored.
    pub job: Rc<Job>,
    /// Version of the job's key.
    pub version: Revision,
}

/// Jobs accepted together under one key. The leader splits the batch by writing a separate key for each job.
#[derive(Debug, Clone)]
pub struct SubmissionBatch {
    /// Jobs in the order of their submission.
    pub jobs: Vec<Rc<Job>>,
    /// Version of the batch's key.
    pub version: Revision,
}

/// Change of the set of open jobs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum JobCacheChange {
    /// The job was accepted.
    Opened(JobId),
    /// The job was completed or cancelled.
    Closed(JobId),
}

/// A controller's cache of open jobs, submission batches and final states.
#[derive(Debug, Default)]
pub struct JobCache {
    open_jobs: BTreeMap<JobId, OpenJob>,
    /// Submission batches by key.
    submission_batches: BTreeMap<String, SubmissionBatch>,
    /// Open jobs whose values this version of the program cannot read. It does not schedule or change them.
    unreadable_jobs: BTreeSet<JobId>,
    /// Revision of the store that the open jobs are current at; `None` until loaded and while outdated.
    revision: Option<Revision>,
    final_states: HashMap<JobId, CachedFinalState>,
    /// Keys of `final_states`, oldest entry first, for eviction.
    final_states_order: VecDeque<JobId>,
    /// Closed jobs that were in `open_jobs`, most recently closed last.
    recently_closed_jobs: VecDeque<Rc<Job>>,
}

impl JobCache {
    /// Whether the cache is loaded and not outdated.
    pub fn is_loaded(&self) -> bool {
        self.revision.is_some()
    }

    /// Revision of the store that the cache is current at; `None` unless it is loaded.
    pub fn revision(&self) -> Option<Revision> {
        self.revision
    }

    /// Marks the cache as outdated, because the store has compacted the changes since its revision. The content stays,
    /// so that [`load`](Self::load) can return the changes.
    pub fn mark_outdated(&mut self) {
        self.revision = None;
    }

    /// The open job with this ID.
    pub fn get(&self, id: JobId) -> Option<&OpenJob> {
        self.open_jobs.get(&id)
    }

    /// Whether the job is open but this version of the program cannot read it.
    pub fn is_unreadable(&self, id: JobId) -> bool {
        self.unreadable_jobs.contains(&id)
    }

    /// All submission batches, with their keys.
    pub fn submission_batches(&self) -> impl Iterator<Item = (&String, &SubmissionBatch)> {
        self.submission_batches.iter()
    }

    /// Whether the job is in a submission batch. It may also have a key of its own by now, or be closed.
    pub fn is_in_submission_batch(&self, id: JobId) -> bool {
        let mut jobs = self
            .submission_batches
            .values()
            .flat_map(|batch| &batch.jobs);
        jobs.any(|job| job.spec.id == id)
    }

    /// All readable open jobs, in the order of their IDs.
    pub fn open_jobs(&self) -> impl Iterator<Item = (&JobId, &OpenJob)> {
        self.open_jobs.iter()
    }

    /// Whether any open job is a service.
    pub fn has_open_service(&self) -> bool {
        self.open_jobs
            .values()
            .any(|open_job| open_job.job.is_service())
    }

    /// The cached final state of a job; `None` if it is not cached, although the store may have one.
    pub fn final_state(&self, id: JobId) -> Option<JobState> {
        self.final_states.get(&id).map(|cached| cached.state)
    }

    /// Whether the cached final state of the job is newer than the cached open jobs, which may still contain it.
    pub fn has_newer_final_state(&self, id: JobId) -> bool {
        let cached = self.final_states.get(&id);
        cached.is_some_and(|cached| Some(cached.evidence.revision()) > self.revision)
    }

    /// Removes the final state of a job that is open in the store. Returns it if it was cached.
    pub fn remove_final_state(&mut self, id: JobId) -> Option<CachedFinalState> {
        self.final_states_order.retain(|cached| *cached != id);
        self.final_states.remove(&id)
    }

    /// Caches a final state. Above [`MAX_CACHED_FINAL_STATES`] entries the oldest is evicted.
    pub fn cache_final_state(&mut self, id: JobId, state: JobState, evidence: FinalStateEvidence) {
        let cached = CachedFinalState { state, evidence };
        if self.final_states.insert(id, cached).is_some() {
            return;
        }
        tracing::debug!(job = %id, ?state, ?evidence, "final state cached");
        self.final_states_order.push_back(id);
        if self.final_states_order.len() > MAX_CACHED_FINAL_STATES {
            if let Some(oldest) = self.final_states_order.pop_front() {
                self.final_states.remove(&oldest);
            }
        }
    }

    /// A job closed since this controller started, if it is among the last [`MAX_CACHED_CLOSED_JOBS`] ones.
    pub fn recently_closed_job(&self, id: JobId) -> Option<&Rc<Job>> {
        let mut newest_first = self.recently_closed_jobs.iter().rev();
        newest_first.find(|job| job.spec.id == id)
    }

    fn cache_closed_job(&mut self, open_job: OpenJob) {
        self.recently_closed_jobs.push_back(open_job.job);
        if self.recently_closed_jobs.len() > MAX_CACHED_CLOSED_JOBS {
            self.recently_closed_jobs.pop_front();
        }
    }

    /// Replaces the open jobs and submission batches by a full listing. Returns the changes of the open jobs.
    pub fn load(&mut self, listing: &Listing) -> Vec<JobCacheChange> {
        let listed = read_open_jobs(listing);
        self.unreadable_jobs = job_ids(listing)
            .filter(|id| !listed.contains_key(id))
            .collect();
        let changes = self.replace_open(listed);
        self.submission_batches = read_submission_batches(listing);
        self.revision = Some(listing.revision);
        changes
    }

    fn replace_open(&mut self, listed: BTreeMap<JobId, OpenJob>) -> Vec<JobCacheChange> {
        let previous = std::mem::replace(&mut self.open_jobs, listed);
        let opened = self
            .open_jobs
            .keys()
            .filter(|id| !previous.contains_key(id));
        let mut changes: Vec<JobCacheChange> =
            opened.map(|id| JobCacheChange::Opened(*id)).collect();
        for (id, open_job) in previous {
            if !self.open_jobs.contains_key(&id) {
                changes.push(JobCacheChange::Closed(id));
                self.cache_closed_job(open_job);
            }
        }
        changes
    }

    /// Applies a watch response and returns the changes of the open jobs. Has no effect unless the cache is loaded.
    /// Responses may overlap and arrive out of order, so events up to the cache's revision are ignored: an older
    /// response must not reopen a closed job.
    pub fn apply_changes(&mut self, response: &WatchResponse) -> Vec<JobCacheChange> {
        let Some(revision) = self.revision else {
            return Vec::new();
        };
        let changes = response
            .events
            .iter()
            .filter_map(|event| match event {
                WatchEvent::Put {
                    key,
                    value,
                    version,
                } if *version > revision => self.apply_put(key, value, *version),
                WatchEvent::Delete { key, version } if *version > revision => {
                    self.apply_delete(key)
                }
                WatchEvent::Put { .. } | WatchEvent::Delete { .. } => None,
            })
            .collect();
        self.revision = Some(revision.max(response.revision));
        changes
    }

    fn apply_put(&mut self, key: &str, value: &Value, version: Revision) -> Option<JobCacheChange> {
        if is_submission_batch_key(key) {
            let batch = read_submission_batch(key, value, version)?;
            self.submission_batches.insert(key.to_owned(), batch);
            return None;
        }
        let id = parse_job_key(key, OPEN_JOBS_PREFIX)?;
        let Some(open_job) = read_open_job(id, value, version) else {
            self.unreadable_jobs.insert(id);
            return None;
        };
        self.unreadable_jobs.remove(&id);
        let is_new = self.open_jobs.insert(id, open_job).is_none();
        is_new.then_some(JobCacheChange::Opened(id))
    }

    fn apply_delete(&mut self, key: &str) -> Option<JobCacheChange> {
        if self.submission_batches.remove(key).is_some() {
            return None;
        }
        let id = parse_job_key(key, OPEN_JOBS_PREFIX)?;
        self.unreadable_jobs.remove(&id);
        let closed = self.open_jobs.remove(&id)?;
        self.cache_closed_job(closed);
        Some(JobCacheChange::Closed(id))
    }
}

/// IDs of all open jobs in a listing, including unreadable ones.
fn job_ids(listing: &Listing) -> impl Iterator<Item = JobId> + '_ {
    let pairs = listing.pairs.iter();
    pairs.filter_map(|pair| parse_job_key(&pair.key, OPEN_JOBS_PREFIX))
}

fn read_open_jobs(listing: &Listing) -> BTreeMap<JobId, OpenJob> {
    let pairs = listing.pairs.iter();
    pairs
        .filter_map(|pair| {
            let id = parse_job_key(&pair.key, OPEN_JOBS_PREFIX)?;
            Some((id, read_open_job(id, &pair.value, pair.version)?))
        })
        .collect()
}

fn read_submission_batches(listing: &Listing) -> BTreeMap<String, SubmissionBatch> {
    let pairs = listing.pairs.iter();
    pairs
        .filter(|pair| is_submission_batch_key(&pair.key))
        .filter_map(|pair| {
            let batch = read_submission_batch(&pair.key, &pair.value, pair.version)?;
            Some((pair.key.clone(), batch))
        })
        .collect()
}

fn read_open_job(id: JobId, value: &Value, version: Revision) -> Option<OpenJob> {
    match serde_json::from_value::<Job>(value.clone()) {
        Ok(job) => Some(OpenJob {
            job: Rc::new(job),
            version,
        }),
        Err(error) => {
            tracing::error!(job = %id, %error, "open job in the store is unreadable, not scheduled");
            None
        }
    }
}
