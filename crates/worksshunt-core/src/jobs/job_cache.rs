//! A controller's cache of the open jobs, kept up to date by a watch of the key-value store.
//!
//! It also holds the submission batches that the leader has not yet split, and a bounded number of
//! final states and recently closed jobs. The controller feeds it and answers users from it; the leader's
//! scheduler follows the changes it returns.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::rc::Rc;

use serde_json::Value;
use worksshunt_wire::key_value::{Listing, WatchEvent, WatchResponse};
use worksshunt_wire::user::JobState;
use worksshunt_wire::{JobId, Revision};

use crate::constants::job_api::{MAX_CACHED_CLOSED_JOBS, MAX_CACHED_FINAL_STATES};

use super::final_state::{FinalStateEvidence, KnownFinalState};
use super::stored::{parse_job_key, read_submission_batch};
use super::{is_submission_batch, Job, OPEN_JOBS_PREFIX};

/// An open job as the store has it.
#[derive(Debug, Clone)]
pub struct OpenJob {
    /// The job.
    pub job: Rc<Job>,
    /// Revision of its key.
    pub version: Revision,
}

/// Jobs accepted together under one key. The leader then writes each a key of its own.
#[derive(Debug, Clone)]
pub struct SubmissionBatch {
    /// The jobs.
    pub jobs: Vec<Rc<Job>>,
    /// Revision of its key.
    pub version: Revision,
}

/// A change of the open jobs in the cache.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum JobCacheChange {
    /// The job was accepted.
    Opened(JobId),
    /// The job is done or cancelled.
    Closed(JobId),
}

/// A controller's copy of the open jobs, never newer than the store, and the final states that it has
/// read so far.
#[derive(Debug, Default)]
pub struct JobCache {
    open: BTreeMap<JobId, OpenJob>,
    /// Submission batches by key.
    submission_batches: BTreeMap<String, SubmissionBatch>,
    /// Open jobs in a form that this version of the program does not understand. They are left as they are.
    unreadable: BTreeSet<JobId>,
    /// Store revision that the cache is current at; `None` until it is loaded.
    revision: Option<Revision>,
    final_states: HashMap<JobId, KnownFinalState>,
    /// The jobs of `final_states`, the oldest entry first.
    final_states_order: VecDeque<JobId>,
    /// Jobs that were open here and are closed, the latest last.
    recently_closed: VecDeque<Rc<Job>>,
}

impl JobCache {
    /// Whether it has been loaded and not been outdated since.
    pub fn is_loaded(&self) -> bool {
        self.revision.is_some()
    }

    /// Store revision that it is known to be current at.
    pub fn revision(&self) -> Option<Revision> {
        self.revision
    }

    /// Marks the cache as outdated: the store no longer has the changes since its revision, so the jobs
    /// have to be listed again. The content stays, so that the listing shows what has changed.
    pub fn mark_outdated(&mut self) {
        self.revision = None;
    }

    /// An open job.
    pub fn get(&self, id: JobId) -> Option<&OpenJob> {
        self.open.get(&id)
    }

    /// Whether the job is open in a form that this version of the program cannot read.
    pub fn is_unreadable(&self, id: JobId) -> bool {
        self.unreadable.contains(&id)
    }

    /// Submission batches and their keys.
    pub fn submission_batches(&self) -> impl Iterator<Item = (&String, &SubmissionBatch)> {
        self.submission_batches.iter()
    }

    /// Whether the job is in a submission batch. It may have been opened, and even closed, since.
    pub fn is_in_batch(&self, id: JobId) -> bool {
        let mut jobs = self
            .submission_batches
            .values()
            .flat_map(|batch| &batch.jobs);
        jobs.any(|job| job.spec.id == id)
    }

    /// All open jobs.
    pub fn open_jobs(&self) -> impl Iterator<Item = (&JobId, &OpenJob)> {
        self.open.iter()
    }

    /// Whether any service is open.
    pub fn any_service(&self) -> bool {
        self.open.values().any(|open| open.job.is_service())
    }

    /// The final state of a job, if it is in the cache.
    pub fn final_state(&self, id: JobId) -> Option<JobState> {
        self.final_states.get(&id).map(|known| known.state)
    }

    /// Whether a final state is in the cache that the cached open jobs are too old to show.
    pub fn is_closed_later(&self, id: JobId) -> bool {
        let known = self.final_states.get(&id);
        known.is_some_and(|known| Some(known.evidence.revision()) > self.revision)
    }

    /// Removes a final state that the store does not have, if it is in the cache.
    pub fn forget_final(&mut self, id: JobId) -> Option<KnownFinalState> {
        self.final_states_order.retain(|known| *known != id);
        self.final_states.remove(&id)
    }

    /// Adds a final state to the cache. It never changes, so it may be evicted at any time.
    pub fn remember_final(&mut self, id: JobId, state: JobState, evidence: FinalStateEvidence) {
        let known = KnownFinalState { state, evidence };
        if self.final_states.insert(id, known).is_some() {
            return;
        }
        tracing::debug!(job = %id, ?state, ?evidence, "final state known");
        self.final_states_order.push_back(id);
        if self.final_states_order.len() > MAX_CACHED_FINAL_STATES {
            if let Some(oldest) = self.final_states_order.pop_front() {
                self.final_states.remove(&oldest);
            }
        }
    }

    /// A job that was open here until recently.
    pub fn recently_closed(&self, id: JobId) -> Option<&Rc<Job>> {
        let mut latest_first = self.recently_closed.iter().rev();
        latest_first.find(|job| job.spec.id == id)
    }

    fn remember_closed(&mut self, open: OpenJob) {
        self.recently_closed.push_back(open.job);
        if self.recently_closed.len() > MAX_CACHED_CLOSED_JOBS {
            self.recently_closed.pop_front();
        }
    }

    /// Replaces the content by a full listing of the open jobs. Returns what has changed.
    pub fn load(&mut self, listing: &Listing) -> Vec<JobCacheChange> {
        let listed = read_open_jobs(listing);
        self.unreadable = job_ids(listing)
            .filter(|id| !listed.contains_key(id))
            .collect();
        let changes = self.replace_open(listed);
        self.submission_batches = read_submission_batches(listing);
        self.revision = Some(listing.revision);
        changes
    }

    fn replace_open(&mut self, listed: BTreeMap<JobId, OpenJob>) -> Vec<JobCacheChange> {
        let previous = std::mem::replace(&mut self.open, listed);
        let opened = self.open.keys().filter(|id| !previous.contains_key(id));
        let mut changes: Vec<JobCacheChange> =
            opened.map(|id| JobCacheChange::Opened(*id)).collect();
        for (id, open) in previous {
            if !self.open.contains_key(&id) {
                changes.push(JobCacheChange::Closed(id));
                self.remember_closed(open);
            }
        }
        changes
    }

    /// Applies a watch response; no effect until the cache is loaded. Responses may overlap and overtake
    /// each other, so an event counts only if its key's version is later than the cache's revision: a
    /// response from before the last one must not bring back a closed job.
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
        if is_submission_batch(key) {
            let batch = read_submission_batch(key, value, version)?;
            self.submission_batches.insert(key.to_owned(), batch);
            return None;
        }
        let id = parse_job_key(key, OPEN_JOBS_PREFIX)?;
        let Some(open) = read_open_job(id, value, version) else {
            self.unreadable.insert(id);
            return None;
        };
        self.unreadable.remove(&id);
        let is_new = self.open.insert(id, open).is_none();
        is_new.then_some(JobCacheChange::Opened(id))
    }

    fn apply_delete(&mut self, key: &str) -> Option<JobCacheChange> {
        if self.submission_batches.remove(key).is_some() {
            return None;
        }
        let id = parse_job_key(key, OPEN_JOBS_PREFIX)?;
        self.unreadable.remove(&id);
        let closed = self.open.remove(&id)?;
        self.remember_closed(closed);
        Some(JobCacheChange::Closed(id))
    }
}

/// Ids of the open jobs in a listing, readable or not.
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
        .filter(|pair| is_submission_batch(&pair.key))
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
            tracing::error!(job = %id, %error, "open job in the store cannot be read");
            None
        }
    }
}
