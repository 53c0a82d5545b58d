//! What follows from the conflict of a queued write.
//!
//! A conflict shows that the copy answered was not applied. Whether an earlier copy was has to follow from the keys, and
//! only for what those keys belong to: a job's end and a claim share a write by chance, and the key of one says
//! nothing about the other. A write counts as applied earlier only where no key of it returns to a former state, so that
//! nothing else can have changed them.

use worksshunt_wire::key_value::CompareAndSwap;

use crate::jobs::{is_submission_batch_key, job_id_of_key, open_job_key};
use crate::membership::EPOCH_KEY;
use crate::metrics::ConflictLabels;
use crate::scheduler::ClaimRecord;
use crate::time::Time;

use super::write_queues::{ClaimChange, FinalWrite};
use super::{Controller, WriteQueueId};

/// The keys that a write expects in a certain state, apart from the epoch's: those that differed and those that did not.
#[derive(Debug)]
struct ConflictKeys<'a> {
    failed: Vec<&'a str>,
    unchanged: Vec<&'a str>,
}

impl<'a> ConflictKeys<'a> {
    fn of(write: &'a CompareAndSwap, failed_keys: &[String]) -> ConflictKeys<'a> {
        let expected = write.expected.iter().map(|expected| expected.key.as_str());
        let (failed, unchanged) = expected
            .filter(|key| *key != EPOCH_KEY)
            .partition(|key| failed_keys.iter().any(|failed| failed == key));
        ConflictKeys { failed, unchanged }
    }
}

impl Controller {
    /// A copy of a write was refused, because these keys have changed.
    pub(super) fn write_conflicted(
        &mut self,
        queue_id: WriteQueueId,
        write: &CompareAndSwap,
        failed_keys: &[String],
        now: Time,
    ) {
        let keys = ConflictKeys::of(write, failed_keys);
        tracing::info!(
            queue = ?queue_id,
            epoch = %self.membership.fencing_token(),
            failed = ?keys.failed,
            unchanged = ?keys.unchanged,
            "write conflict"
        );
        let labels = ConflictLabels {
            queue: queue_id.into(),
            all_keys_changed: keys.unchanged.is_empty().into(),
        };
        self.metrics.write_conflicts.get_or_create(&labels).inc();
        match queue_id {
            WriteQueueId::AttemptRecords | WriteQueueId::LeaderPages => {
                self.pages_conflicted(queue_id, &keys, now);
            }
            WriteQueueId::FinalWrites => self.final_writes_conflicted(failed_keys),
            WriteQueueId::SubmissionBatches => self.submission_batch_conflicted(failed_keys),
        }
    }

    /// Nobody else writes a page, and a page never returns to an earlier state that a write expects: if all pages of
    /// the write differ, an earlier copy was applied. If only some do, what is in the store is not what this
    /// controller wrote, so it becomes a new member and begins with what it reads.
    fn pages_conflicted(&mut self, queue_id: WriteQueueId, keys: &ConflictKeys, now: Time) {
        if !keys.unchanged.is_empty() {
            let (failed, unchanged) = (&keys.failed, &keys.unchanged);
            tracing::error!(queue = ?queue_id, ?failed, ?unchanged, "page write conflict");
            return self.leave_epoch(now);
        }
        match queue_id {
            WriteQueueId::AttemptRecords => self.partition.records_written(None),
            _ => {
                if let Some(leader) = &mut self.leader {
                    leader.scheduler.page_writes_applied(None);
                }
            }
        }
    }

    /// Each final write is judged by its own key. What is not decided by it stays pending and is written again.
    fn final_writes_conflicted(&mut self, failed_keys: &[String]) {
        let has_failed = |key: &String| failed_keys.contains(key);
        for final_write in std::mem::take(&mut self.write_queues.final_writes_in_flight) {
            let Some(leader) = &mut self.leader else {
                return;
            };
            match final_write {
                // Its user cancelled it, or an earlier copy was applied: which of them, the final state shows when
                // the job cache has it closed.
                FinalWrite::FinishJob(id) if has_failed(&open_job_key(id)) => {
                    leader.scheduler.finish_refused(id);
                }
                // The key is this claim's alone, so it was put by an earlier copy.
                FinalWrite::UpdateClaim {
                    machine,
                    change: ClaimChange::Put { key },
                } if has_failed(&key) => {
                    let record = ClaimRecord::Exists;
                    self.metrics.claim_recorded(record);
                    leader.scheduler.claim_recorded(&machine, record);
                }
                FinalWrite::FinishJob(_)
                | FinalWrite::UpdateClaim { .. }
                | FinalWrite::RemoveKey(_) => {}
            }
        }
    }

    /// The jobs whose keys differ have a key of their own by now, or are over. The batch is handled again unless its own
    /// key has changed, which happens only when it is deleted with its last job.
    fn submission_batch_conflicted(&mut self, failed_keys: &[String]) {
        if !failed_keys.iter().any(|key| is_submission_batch_key(key)) {
            self.write_queues.handled_batch = None;
        }
        let settled = failed_keys.iter().filter_map(|key| job_id_of_key(key));
        self.write_queues.settled_jobs.extend(settled);
    }
}
