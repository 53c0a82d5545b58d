//! Conditions and changes of the writes of each queue.

use worksshunt_wire::key_value::{Change, CompareAndSwap, ExpectedRevision};
use worksshunt_wire::user::JobState;
use worksshunt_wire::{JobId, MachineId, Revision};

use crate::jobs::{final_state_key, final_state_value, open_job_key, Job};
use crate::pages::PageWrite;
use crate::scheduler::{ClaimWrite, PendingWrite};
use crate::time::Time;

use super::write_queues::{ClaimChange, FinalWrite, ProcessedBatch, CHANGES_PER_JOB_COMPLETION};
use super::{Controller, WriteQueueId};

/// The version of a key that does not exist.
const MISSING_KEY_VERSION: Revision = Revision(0);

impl Controller {
    pub(super) fn add_record_writes(&mut self, now: Time, write: &mut CompareAndSwap) {
        let max_pages = self
            .write_queues
            .page_allowance(WriteQueueId::AttemptRecords, now);
        add_pages(write, self.partition.begin_record_writes(now, max_pages));
    }

    pub(super) fn add_leader_page_writes(&mut self, now: Time, write: &mut CompareAndSwap) {
        let max_pages = self
            .write_queues
            .page_allowance(WriteQueueId::LeaderPages, now);
        if let Some(leader) = &mut self.leader {
            add_pages(write, leader.scheduler.begin_page_writes(now, max_pages));
        }
    }

    /// Adds job completions, claim updates and key deletions, as many as the rate limit allows.
    pub(super) fn add_final_writes(&mut self, now: Time, write: &mut CompareAndSwap) {
        let has_waiting_batches = self.job_cache.submission_batches().next().is_some();
        let max_changes = self
            .write_queues
            .final_write_allowance(now, has_waiting_batches);
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
            if write.changes.len() + CHANGES_PER_JOB_COMPLETION > max_changes {
                break;
            }
            let final_write = match pending_write {
                PendingWrite::CompleteJob(id) => self.add_job_completion(id, write),
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

    fn add_job_completion(&mut self, id: JobId, write: &mut CompareAndSwap) -> Option<FinalWrite> {
        let Some(open_job) = self.job_cache.get(id) else {
            // The job is no longer open, so there is nothing to complete.
            if let Some(leader) = &mut self.leader {
                leader.scheduler.drop_job_completion(id);
            }
            return None;
        };
        let key = open_job_key(id);
        write.expected.push(ExpectedRevision {
            key: key.clone(),
            version: open_job.version,
        });
        write.changes.push(Change::Delete { key });
        write.changes.push(Change::Put {
            key: final_state_key(id),
            value: final_state_value(JobState::Done),
            lease_id: None,
        });
        Some(FinalWrite::CompleteJob(id))
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
                    lease_id: None,
                });
                ClaimChange::Put { key }
            }
            // Needs no condition: the key is never created again, so a delayed copy cannot delete another claim.
            ClaimWrite::Delete { key } => {
                write.changes.push(Change::Delete { key });
                ClaimChange::Delete
            }
        };
        Some(FinalWrite::UpdateClaim { machine, change })
    }

    /// Adds writes that store the jobs of one submission batch under separate keys, as many as the rate limit allows.
    /// The key of the batch is deleted together with the last of them. It is not rewritten in between, because its
    /// value could exceed a value limit that was lowered after it was written.
    pub(super) fn add_submission_batch_writes(&mut self, now: Time, write: &mut CompareAndSwap) {
        let max_changes = self.write_queues.submission_batch_allowance(now);
        let queues = &mut self.write_queues;
        let is_processed = |key: &String, version| {
            let processed = queues.processed_batch.as_ref();
            processed.is_some_and(|batch| batch.key == *key && batch.version == version)
        };
        let mut batches = self.job_cache.submission_batches();
        let Some((key, batch)) = batches.find(|(key, batch)| !is_processed(key, batch.version))
        else {
            return;
        };
        let mut unprocessed_jobs = batch.jobs.iter().filter(|job| {
            let id = job.spec.id;
            !queues.processed_batch_jobs.contains(&id) && self.job_cache.get(id).is_none()
        });
        while write.changes.len() < max_changes {
            let Some(job) = unprocessed_jobs.next() else {
                write.changes.push(Change::Delete { key: key.clone() });
                queues.processed_batch = Some(ProcessedBatch {
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

/// Adds the creation of a job's own key, conditional on the job being neither open nor closed.
fn add_open_job(job: &Job, write: &mut CompareAndSwap) {
    let id = job.spec.id;
    write.expected.push(expect_missing(open_job_key(id)));
    write.expected.push(expect_missing(final_state_key(id)));
    write.changes.push(Change::Put {
        key: open_job_key(id),
        value: serde_json::json!(job),
        lease_id: None,
    });
}

fn expect_missing(key: String) -> ExpectedRevision {
    ExpectedRevision {
        key,
        version: MISSING_KEY_VERSION,
    }
}

fn add_pages(write: &mut CompareAndSwap, pages: Vec<PageWrite>) {
    for page in pages {
        write.expected.push(page.condition);
        write.changes.push(page.change);
    }
}
