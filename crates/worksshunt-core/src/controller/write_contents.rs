//! What the write queues write: conditions and changes of each kind.

use worksshunt_wire::key_value::{Change, CompareAndSwap, ExpectedRevision};
use worksshunt_wire::user::JobState;
use worksshunt_wire::{JobId, MachineId, Revision};

use crate::jobs::{final_state_key, final_state_value, open_job_key, Job};
use crate::pages::PageWrite;
use crate::scheduler::{ClaimWrite, PendingWrite};
use crate::time::Time;

use super::write_queues::{ClaimChange, FinalWrite, HandledBatch, CHANGES_PER_JOB_END};
use super::{Controller, WriteQueueId};

/// The version of a key that does not exist.
const MISSING: Revision = Revision(0);

impl Controller {
    pub(super) fn add_record_writes(&mut self, now: Time, write: &mut CompareAndSwap) {
        let max_pages = self
            .write_queues
            .page_allowance(WriteQueueId::AttemptRecords, now);
        add_pages(write, self.partition.next_record_writes(now, max_pages));
    }

    pub(super) fn add_leader_page_writes(&mut self, now: Time, write: &mut CompareAndSwap) {
        let max_pages = self
            .write_queues
            .page_allowance(WriteQueueId::LeaderPages, now);
        if let Some(leader) = &mut self.leader {
            add_pages(write, leader.scheduler.next_page_writes(now, max_pages));
        }
    }

    /// Adds ends of jobs, claims and keys to be removed, as many as the share allows.
    pub(super) fn add_final_writes(&mut self, now: Time, write: &mut CompareAndSwap) {
        let batches_wait = self.job_cache.submission_batches().next().is_some();
        let max_changes = self.write_queues.final_write_allowance(now, batches_wait);
        let Some(leader) = &self.leader else {
            return;
        };
        let pending_writes: Vec<PendingWrite> = leader
            .scheduler
            .pending_writes()
            .take(max_changes)
            .cloned()
            .collect();
        for pending_write in pending_writes {
            if write.changes.len() + CHANGES_PER_JOB_END > max_changes {
                break;
            }
            let final_write = match pending_write {
                PendingWrite::FinishJob(id) => self.add_job_end(id, write),
                PendingWrite::UpdateClaim(machine) => self.add_claim_update(machine, write),
                PendingWrite::RemoveKey(key) => {
                    write.changes.push(Change::Delete { key: key.clone() });
                    Some(FinalWrite::RemoveKey(key))
                }
            };
            let in_flight = &mut self.write_queues.final_writes_in_flight;
            in_flight.extend(final_write);
        }
    }

    fn add_job_end(&mut self, id: JobId, write: &mut CompareAndSwap) -> Option<FinalWrite> {
        let Some(open) = self.job_cache.get(id) else {
            // The job cache no longer has it: it is over already.
            if let Some(leader) = &mut self.leader {
                leader.scheduler.finish_job_refused(id);
            }
            return None;
        };
        let key = open_job_key(id);
        write.expected.push(ExpectedRevision {
            key: key.clone(),
            version: open.version,
        });
        write.changes.push(Change::Delete { key });
        write.changes.push(Change::Put {
            key: final_state_key(id),
            value: final_state_value(JobState::Done),
            lease: None,
        });
        Some(FinalWrite::FinishJob(id))
    }

    fn add_claim_update(
        &self,
        machine: MachineId,
        write: &mut CompareAndSwap,
    ) -> Option<FinalWrite> {
        let change = match self.leader.as_ref()?.scheduler.claim_write(&machine)? {
            ClaimWrite::Put { key, value } => {
                write.expected.push(expect_missing(key.clone()));
                write.changes.push(Change::Put {
                    key: key.clone(),
                    value,
                    lease: None,
                });
                ClaimChange::Put { key }
            }
            // Without a condition: the key is never put again, so a late copy deletes nothing else.
            ClaimWrite::Delete { key } => {
                write.changes.push(Change::Delete { key });
                ClaimChange::Delete
            }
        };
        Some(FinalWrite::UpdateClaim { machine, change })
    }

    /// Adds writes that store jobs of one submission batch under their own keys, as many as the share allows.
    /// The batch's key is deleted with the last of them: rewritten without the others its value might be larger
    /// than the key-value store's limit by then, which was larger when it was written.
    pub(super) fn add_submission_batch_writes(&mut self, now: Time, write: &mut CompareAndSwap) {
        let max_changes = self.write_queues.submission_batch_allowance(now);
        let queues = &mut self.write_queues;
        let is_handled = |key: &String, version| {
            let handled = queues.handled_batch.as_ref();
            handled.is_some_and(|batch| batch.key == *key && batch.version == version)
        };
        let mut batches = self.job_cache.submission_batches();
        let Some((key, batch)) = batches.find(|(key, batch)| !is_handled(key, batch.version))
        else {
            return;
        };
        let mut jobs_left = batch.jobs.iter().filter(|job| {
            let id = job.spec.id;
            !queues.settled_jobs.contains(&id) && self.job_cache.get(id).is_none()
        });
        while write.changes.len() < max_changes {
            let Some(job) = jobs_left.next() else {
                write.changes.push(Change::Delete { key: key.clone() });
                queues.handled_batch = Some(HandledBatch {
                    key: key.clone(),
                    version: batch.version,
                });
                break;
            };
            add_open_job(job, write);
        }
        if !write.changes.is_empty() {
            write.expected.push(ExpectedRevision {
                key: key.clone(),
                version: batch.version,
            });
        }
    }
}

/// Adds the write of a job's own key, unless it has one or is over.
fn add_open_job(job: &Job, write: &mut CompareAndSwap) {
    let id = job.spec.id;
    write.expected.push(expect_missing(open_job_key(id)));
    write.expected.push(expect_missing(final_state_key(id)));
    write.changes.push(Change::Put {
        key: open_job_key(id),
        value: serde_json::json!(job),
        lease: None,
    });
}

fn expect_missing(key: String) -> ExpectedRevision {
    ExpectedRevision {
        key,
        version: MISSING,
    }
}

fn add_pages(write: &mut CompareAndSwap, pages: Vec<PageWrite>) {
    for page in pages {
        write.expected.push(page.condition);
        write.changes.push(page.change);
    }
}
