//! What every controller knows of the open jobs and of those that are over, kept up by a watch.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::rc::Rc;

use serde_json::Value;
use worksshunt_wire::key_value::{Listing, WatchEvent, WatchResponse};
use worksshunt_wire::user::JobState;
use worksshunt_wire::{JobId, Revision};

use crate::constants::job_api::{CLOSED_JOBS_CACHED, FINAL_STATES_CACHED};

use super::{id_of, is_submission_batch, read_submission_batch, Job, OPEN};

/// An open job as the store has it.
#[derive(Debug, Clone)]
pub struct OpenJob {
    /// The job.
    pub job: Rc<Job>,
    /// Revision of its key.
    pub version: Revision,
}

/// A page of jobs taken in together.
#[derive(Debug, Clone)]
pub struct SubmissionBatch {
    /// The jobs.
    pub jobs: Vec<Rc<Job>>,
    /// Revision of its key.
    pub version: Revision,
}

/// What changed in the mirror.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum JobCacheChange {
    /// A job was accepted.
    Opened(JobId),
    /// A job is over.
    Closed(JobId),
}

/// A controller's copy of the open jobs, never newer than the store, and the final states it
/// happened to learn.
#[derive(Debug, Default)]
pub struct JobCache {
    open: BTreeMap<JobId, OpenJob>,
    /// Jobs accepted many at a time, each of which the leader gives a key of its own.
    submission_batches: BTreeMap<String, SubmissionBatch>,
    /// Open jobs in a form that this version does not understand. They are left as they are.
    unreadable: BTreeSet<JobId>,
    revision: Option<Revision>,
    finals: HashMap<JobId, JobState>,
    finals_order: VecDeque<JobId>,
    /// Jobs that were open here and are over, the latest last.
    closed: VecDeque<Rc<Job>>,
}

impl JobCache {
    /// Whether it has been read at all.
    pub fn is_loaded(&self) -> bool {
        self.revision.is_some()
    }

    /// Store revision it is known to be current at.
    pub fn revision(&self) -> Option<Revision> {
        self.revision
    }

    /// The store no longer has the changes since then: the jobs must be listed again. What was
    /// known stays, so that the listing shows what has changed.
    pub fn mark_outdated(&mut self) {
        self.revision = None;
    }

    /// An open job.
    pub fn get(&self, id: JobId) -> Option<&OpenJob> {
        self.open.get(&id)
    }

    /// Whether there is such a job that this version cannot read.
    pub fn is_unreadable(&self, id: JobId) -> bool {
        self.unreadable.contains(&id)
    }

    /// Pages of jobs taken in together.
    pub fn submission_batches(&self) -> impl Iterator<Item = (&String, &SubmissionBatch)> {
        self.submission_batches.iter()
    }

    /// Whether the job is on such a page. It may have become an open job, and be over, since.
    pub fn is_in_batch(&self, id: JobId) -> bool {
        let mut jobs = self.submission_batches.values().flat_map(|page| &page.jobs);
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

    /// A final state, if it is still in memory.
    pub fn final_state(&self, id: JobId) -> Option<JobState> {
        self.finals.get(&id).copied()
    }

    /// Remembers a final state. It never changes, so it may be kept and dropped at will.
    pub fn remember_final(&mut self, id: JobId, state: JobState) {
        if self.finals.insert(id, state).is_none() {
            self.finals_order.push_back(id);
            if self.finals_order.len() > FINAL_STATES_CACHED {
                if let Some(oldest) = self.finals_order.pop_front() {
                    self.finals.remove(&oldest);
                }
            }
        }
    }

    /// A job that was open here, if it was not long ago.
    pub fn recently_closed(&self, id: JobId) -> Option<&Rc<Job>> {
        self.closed.iter().rev().find(|job| job.spec.id == id)
    }

    fn remember_closed(&mut self, open: OpenJob) {
        self.closed.push_back(open.job);
        if self.closed.len() > CLOSED_JOBS_CACHED {
            self.closed.pop_front();
        }
    }

    /// Takes over a full listing of the open jobs.
    pub fn load(&mut self, listing: &Listing) -> Vec<JobCacheChange> {
        let mut changes = Vec::new();
        let listed: BTreeMap<JobId, OpenJob> = listing
            .pairs
            .iter()
            .filter_map(|pair| {
                let id = id_of(&pair.key, OPEN)?;
                Some((id, read_open(id, &pair.value, pair.version)?))
            })
            .collect();
        let ids = listing.pairs.iter().filter_map(|p| id_of(&p.key, OPEN));
        self.unreadable = ids.filter(|id| !listed.contains_key(id)).collect();
        let known = std::mem::take(&mut self.open);
        for id in listed.keys().filter(|id| !known.contains_key(id)) {
            changes.push(JobCacheChange::Opened(*id));
        }
        for (id, open) in known {
            if !listed.contains_key(&id) {
                changes.push(JobCacheChange::Closed(id));
                self.remember_closed(open);
            }
        }
        let intake = listing
            .pairs
            .iter()
            .filter(|pair| is_submission_batch(&pair.key));
        self.submission_batches = intake
            .filter_map(|pair| {
                let page = read_submission_batch(&pair.key, &pair.value, pair.version)?;
                Some((pair.key.clone(), page))
            })
            .collect();
        self.open = listed;
        self.revision = Some(listing.revision);
        changes
    }

    /// Applies a watch's answer. Answers may overlap and overtake each other: the version of each
    /// key decides.
    pub fn apply_changes(&mut self, changes: &WatchResponse) -> Vec<JobCacheChange> {
        let mut out = Vec::new();
        let Some(revision) = self.revision else {
            return out;
        };
        for event in &changes.events {
            match event {
                WatchEvent::Put {
                    key,
                    value,
                    version,
                } => {
                    // An answer from before the last one must not bring back a closed job.
                    if *version <= revision {
                        continue;
                    }
                    if is_submission_batch(key) {
                        if let Some(page) = read_submission_batch(key, value, *version) {
                            self.submission_batches.insert(key.clone(), page);
                        }
                    } else if let Some(id) = id_of(key, OPEN) {
                        match read_open(id, value, *version) {
                            Some(open) => {
                                self.unreadable.remove(&id);
                                if self.open.insert(id, open).is_none() {
                                    out.push(JobCacheChange::Opened(id));
                                }
                            }
                            None => {
                                self.unreadable.insert(id);
                            }
                        }
                    }
                }
                WatchEvent::Delete { key, version } => {
                    if *version <= revision {
                        continue;
                    }
                    if self.submission_batches.remove(key).is_some() {
                        continue;
                    }
                    if let Some(id) = id_of(key, OPEN) {
                        self.unreadable.remove(&id);
                        if let Some(open) = self.open.remove(&id) {
                            self.remember_closed(open);
                            out.push(JobCacheChange::Closed(id));
                        }
                    }
                }
            }
        }
        self.revision = Some(revision.max(changes.revision));
        out
    }
}

fn read_open(id: JobId, value: &Value, version: Revision) -> Option<OpenJob> {
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
