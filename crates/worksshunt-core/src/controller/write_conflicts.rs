//! Processing of conflicts of queued writes.
//!
//! A conflict shows that one copy of the write was not applied. Whether another copy was applied is derived from the
//! changed keys, and only for the entity that each key belongs to: job completions and claims may share a write, and
//! the key of one proves nothing about the other. A changed key proves an earlier application only if nothing else
//! can have changed it, which holds for keys that never return to an earlier state.

use worksshunt_wire::key_value::CompareAndSwap;

use crate::jobs::{is_submission_batch_key, job_id_of_key, open_job_key};
use crate::membership::EPOCH_KEY;
use crate::metrics::ConflictLabels;
use crate::scheduler::ClaimWriteOutcome;
use crate::time::Time;

use super::write_queues::{ClaimChange, FinalWrite};
use super::{Controller, WriteQueueId};

/// Keys of a write's conditions, except the epoch key.
#[derive(Debug)]
struct ConflictKeys<'a> {
    /// Keys whose condition failed.
    changed: Vec<&'a str>,
    /// Keys whose condition held.
    unchanged: Vec<&'a str>,
}

impl<'a> ConflictKeys<'a> {
    fn new(write: &'a CompareAndSwap, failed_keys: &[String]) -> ConflictKeys<'a> {
        let expected = write.expected.iter().map(|expected| expected.key.as_str());
        let (changed, unchanged) = expected
            .filter(|key| *key != EPOCH_KEY)
            .partition(|key| failed_keys.iter().any(|failed| failed == key));
        ConflictKeys { changed, unchanged }
    }
}

impl Controller {
    /// Processes the conflict of a copy of a write. `failed_keys` are the keys whose condition failed.
    pub(super) fn process_write_conflict(
        &mut self,
        queue_id: WriteQueueId,
        write: &CompareAndSwap,
        failed_keys: &[String],
        now: Time,
    ) {
        let keys = ConflictKeys::new(write, failed_keys);
        tracing::info!(
            queue = ?queue_id,
            epoch = %self.membership.epoch_number(),
            changed_keys = ?keys.changed,
            unchanged_keys = ?keys.unchanged,
            "queued write conflicted"
        );
        let labels = ConflictLabels {
            queue: queue_id.into(),
            all_keys_changed: keys.unchanged.is_empty().into(),
        };
        self.metrics.write_conflicts.get_or_create(&labels).inc();
        match queue_id {
            WriteQueueId::AttemptRecords | WriteQueueId::LeaderPages => {
                self.process_page_conflict(queue_id, &keys, now);
            }
            WriteQueueId::FinalWrites => self.process_final_write_conflict(failed_keys),
            WriteQueueId::SubmissionBatches => self.process_submission_batch_conflict(failed_keys),
        }
    }

    /// Only this controller writes its pages, and a page never returns to an earlier version. If all pages of the
    /// write have changed, another copy was applied. If only some have, the store does not contain what this
    /// controller wrote, so it leaves the epoch and joins again to reload all records.
    fn process_page_conflict(&mut self, queue_id: WriteQueueId, keys: &ConflictKeys, now: Time) {
        if !keys.unchanged.is_empty() {
            tracing::error!(
                queue = ?queue_id,
                changed_keys = ?keys.changed,
                unchanged_keys = ?keys.unchanged,
                "only some pages of a write conflicted; leaving the epoch and joining again"
            );
            return self.leave_epoch(now);
        }
        match queue_id {
            WriteQueueId::AttemptRecords => self.partition.mark_records_durable(None),
            _ => {
                if let Some(leader) = &mut self.leader {
                    leader.scheduler.mark_pages_durable(None);
                }
            }
        }
    }

    /// Processes each final write by its own key. Final writes whose key has not changed stay pending and are sent
    /// again.
    fn process_final_write_conflict(&mut self, failed_keys: &[String]) {
        let has_failed = |key: &String| failed_keys.contains(key);
        for final_write in std::mem::take(&mut self.write_queues.final_writes_in_flight) {
            let Some(leader) = &mut self.leader else {
                return;
            };
            match final_write {
                // The user cancelled the job, or another copy was applied. The final state shows which, once the job
                // cache has the job as closed.
                FinalWrite::CompleteJob(id) if has_failed(&open_job_key(id)) => {
                    leader.scheduler.drop_job_completion(id);
                }
                // The key is unique to this claim, so another copy created it.
                FinalWrite::UpdateClaim {
                    machine,
                    change: ClaimChange::Put { key },
                } if has_failed(&key) => {
                    let outcome = ClaimWriteOutcome::Exists;
                    self.metrics.count_claim_write_outcome(outcome);
                    leader
                        .scheduler
                        .apply_claim_write_outcome(&machine, outcome);
                }
                FinalWrite::CompleteJob(_)
                | FinalWrite::UpdateClaim { .. }
                | FinalWrite::RemoveKey(_) => {}
            }
        }
    }

    /// Marks the jobs whose keys have changed as processed: they have a separate key or are closed. The batch is
    /// processed again unless its own key has changed, which only happens when it is deleted together with its last
    /// job.
    fn process_submission_batch_conflict(&mut self, failed_keys: &[String]) {
        if !failed_keys.iter().any(|key| is_submission_batch_key(key)) {
            self.write_queues.processed_batch = None;
        }
        let processed_jobs = failed_keys.iter().filter_map(|key| job_id_of_key(key));
        self.write_queues
            .processed_batch_jobs
            .extend(processed_jobs);
    }
}
