//! What every controller knows of the open jobs and of those that are over, kept up by a watch.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::rc::Rc;

use serde_json::Value;
use worksshunt_wire::state::{Changes, Listing, WatchEvent};
use worksshunt_wire::user::JobState;
use worksshunt_wire::{JobId, Revision};

use crate::constants::{CLOSED_KEPT, FINALS_KEPT};

use super::{id_of, is_intake, read_intake, Job, OPEN};

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
pub struct Intake {
    /// The jobs.
    pub jobs: Vec<Rc<Job>>,
    /// Revision of its key.
    pub version: Revision,
}

/// What changed in the mirror.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MirrorChange {
    /// A job was accepted.
    Opened(JobId),
    /// A job is over.
    Closed(JobId),
}

/// A controller's copy of the open jobs, never newer than the store, and the final states it
/// happened to learn.
#[derive(Debug, Default)]
pub struct Mirror {
    open: BTreeMap<JobId, OpenJob>,
    /// Jobs accepted many at a time, each of which the leader gives a key of its own.
    intake: BTreeMap<String, Intake>,
    /// Open jobs in a form that this version does not understand. They are left as they are.
    odd: BTreeSet<JobId>,
    revision: Option<Revision>,
    finals: HashMap<JobId, JobState>,
    finals_order: VecDeque<JobId>,
    /// Jobs that were open here and are over, the latest last.
    closed: VecDeque<Rc<Job>>,
}

impl Mirror {
    /// Whether it has been read at all.
    pub fn loaded(&self) -> bool {
        self.revision.is_some()
    }

    /// Store revision it is known to be current at.
    pub fn revision(&self) -> Option<Revision> {
        self.revision
    }

    /// The store no longer has the changes since then: the jobs must be listed again. What was
    /// known stays, so that the listing shows what has changed.
    pub fn outdated(&mut self) {
        self.revision = None;
    }

    /// An open job.
    pub fn get(&self, id: JobId) -> Option<&OpenJob> {
        self.open.get(&id)
    }

    /// Whether there is such a job that this version cannot read.
    pub fn is_odd(&self, id: JobId) -> bool {
        self.odd.contains(&id)
    }

    /// Pages of jobs taken in together.
    pub fn intake(&self) -> impl Iterator<Item = (&String, &Intake)> {
        self.intake.iter()
    }

    /// Whether the job is on such a page. It may have become an open job, and be over, since.
    pub fn taken_in(&self, id: JobId) -> bool {
        let mut jobs = self.intake.values().flat_map(|page| &page.jobs);
        jobs.any(|job| job.spec.id == id)
    }

    /// All open jobs.
    pub fn open(&self) -> impl Iterator<Item = (&JobId, &OpenJob)> {
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
            if self.finals_order.len() > FINALS_KEPT {
                if let Some(oldest) = self.finals_order.pop_front() {
                    self.finals.remove(&oldest);
                }
            }
        }
    }

    /// A job that was open here, if it was not long ago.
    pub fn closed(&self, id: JobId) -> Option<&Rc<Job>> {
        self.closed.iter().rev().find(|job| job.spec.id == id)
    }

    fn remember_closed(&mut self, open: OpenJob) {
        self.closed.push_back(open.job);
        if self.closed.len() > CLOSED_KEPT {
            self.closed.pop_front();
        }
    }

    /// Takes over a full listing of the open jobs.
    pub fn load(&mut self, listing: &Listing) -> Vec<MirrorChange> {
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
        self.odd = ids.filter(|id| !listed.contains_key(id)).collect();
        let known = std::mem::take(&mut self.open);
        for id in listed.keys().filter(|id| !known.contains_key(id)) {
            changes.push(MirrorChange::Opened(*id));
        }
        for (id, open) in known {
            if !listed.contains_key(&id) {
                changes.push(MirrorChange::Closed(id));
                self.remember_closed(open);
            }
        }
        let intake = listing.pairs.iter().filter(|pair| is_intake(&pair.key));
        self.intake = intake
            .filter_map(|pair| {
                let page = read_intake(&pair.key, &pair.value, pair.version)?;
                Some((pair.key.clone(), page))
            })
            .collect();
        self.open = listed;
        self.revision = Some(listing.revision);
        changes
    }

    /// Applies a watch's answer. Answers may overlap and overtake each other: the version of each
    /// key decides.
    pub fn apply(&mut self, changes: &Changes) -> Vec<MirrorChange> {
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
                    if is_intake(key) {
                        if let Some(page) = read_intake(key, value, *version) {
                            self.intake.insert(key.clone(), page);
                        }
                    } else if let Some(id) = id_of(key, OPEN) {
                        match read_open(id, value, *version) {
                            Some(open) => {
                                self.odd.remove(&id);
                                if self.open.insert(id, open).is_none() {
                                    out.push(MirrorChange::Opened(id));
                                }
                            }
                            None => {
                                self.odd.insert(id);
                            }
                        }
                    }
                }
                WatchEvent::Delete { key, version } => {
                    if *version <= revision {
                        continue;
                    }
                    if self.intake.remove(key).is_some() {
                        continue;
                    }
                    if let Some(id) = id_of(key, OPEN) {
                        self.odd.remove(&id);
                        if let Some(open) = self.open.remove(&id) {
                            self.remember_closed(open);
                            out.push(MirrorChange::Closed(id));
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
