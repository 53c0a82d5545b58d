//! The queues of an epoch's conditional writes, each within a share of the key-value store's write limit.
//!
//! [`WriteQueues`] owns the writes in flight and the tokens of the shares; `writes` fills the queues and
//! `write_outcomes` empties them.

use std::collections::BTreeSet;

use worksshunt_wire::key_value::CompareAndSwap;
use worksshunt_wire::settings::KeyValueLimits;
use worksshunt_wire::{JobId, MachineId, Revision};

use crate::constants::key_value::{
    ATTEMPT_RECORD_WRITE_SHARE, FINAL_WRITE_BACKLOG_S, FINAL_WRITE_SHARE, LEADER_PAGE_WRITE_SHARE,
    SUBMISSION_BATCH_WRITE_SHARE, THROTTLED_PAGE_WRITE_INTERVAL_MS,
    THROTTLE_AFTER_REFUSED_WRITE_MS, USER_WRITE_SHARE,
};
use crate::constants::pages::PAGES_PER_WRITE;
use crate::time::{PeriodicTimer, Time, TokenBucket};

use super::hedged_request::HedgedRequest;
use super::WriteQueueId;

/// Changes that the end of a job takes, which are the most that one final write takes.
pub(super) const CHANGES_PER_JOB_END: usize = 2;

/// A change of a claim's record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum ClaimChange {
    /// It is put under this key.
    Put { key: String },
    /// It is deleted.
    Delete,
}

/// One of the final writes.
#[derive(Debug, Clone)]
pub(super) enum FinalWrite {
    /// A job is done.
    FinishJob(JobId),
    /// The record of a claim on a machine changes.
    UpdateClaim {
        machine: MachineId,
        change: ClaimChange,
    },
    /// A key of a former epoch is removed.
    RemoveKey(String),
}

/// The submission batch that was last handled, at the version that was read.
#[derive(Debug)]
pub(super) struct HandledBatch {
    pub key: String,
    pub version: Revision,
}

/// One write at a time, within a share of the key-value store's write limit.
#[derive(Debug)]
pub(super) struct WriteQueue {
    /// When the next write may be sent.
    pub timer: PeriodicTimer,
    /// Copies of the write in flight.
    pub hedge: HedgedRequest,
    /// The write in flight, repeated unchanged until its outcome is clear.
    pub in_flight: Option<CompareAndSwap>,
    /// Changes that the share allows.
    pub change_tokens: TokenBucket,
}

impl WriteQueue {
    fn new(change_tokens: TokenBucket) -> WriteQueue {
        WriteQueue {
            timer: PeriodicTimer::default(),
            hedge: HedgedRequest::default(),
            in_flight: None,
            change_tokens,
        }
    }

    /// Starts anew in an epoch.
    fn begin_epoch(&mut self) {
        self.timer = PeriodicTimer::default();
        self.in_flight = None;
    }
}

/// The queues, and the shares of the key-value store's write limit that they keep to.
pub(super) struct WriteQueues {
    attempt_records: WriteQueue,
    leader_pages: WriteQueue,
    final_writes: WriteQueue,
    /// Keys of their own for jobs of submission batches.
    submission_batches: WriteQueue,
    /// The submission batch that was last handled; the job cache may still show it.
    pub handled_batch: Option<HandledBatch>,
    /// Jobs of submission batches that have a key of their own by now, or are over.
    pub settled_jobs: BTreeSet<JobId>,
    /// Reading the version of an uncertain page.
    pub page_version_timer: PeriodicTimer,
    /// What the final write in flight consists of.
    pub final_writes_in_flight: Vec<FinalWrite>,
    /// More final writes wait than are written in [`FINAL_WRITE_BACKLOG_S`].
    final_writes_behind: bool,
    /// When the key-value store last refused a write, most likely because of its limit.
    refused_at: Option<Time>,
    /// Changes a second that the key-value store takes.
    write_rps: f64,
    /// Changes in a transaction.
    txn_ops: usize,
    /// For submissions and cancellations.
    pub user_write_tokens: TokenBucket,
}

impl WriteQueues {
    /// Nothing is in flight.
    pub fn new(limits: &KeyValueLimits) -> WriteQueues {
        let share =
            |share: f64, burst: usize| TokenBucket::new(limits.changes_per_s * share, burst as f64);
        WriteQueues {
            attempt_records: WriteQueue::new(share(ATTEMPT_RECORD_WRITE_SHARE, PAGES_PER_WRITE)),
            leader_pages: WriteQueue::new(share(LEADER_PAGE_WRITE_SHARE, PAGES_PER_WRITE)),
            final_writes: WriteQueue::new(share(FINAL_WRITE_SHARE, limits.max_transaction_changes)),
            submission_batches: WriteQueue::new(share(
                SUBMISSION_BATCH_WRITE_SHARE,
                limits.max_transaction_changes,
            )),
            handled_batch: None,
            settled_jobs: BTreeSet::new(),
            page_version_timer: PeriodicTimer::default(),
            final_writes_in_flight: Vec::new(),
            final_writes_behind: false,
            refused_at: None,
            write_rps: limits.changes_per_s,
            txn_ops: limits.max_transaction_changes,
            user_write_tokens: share(USER_WRITE_SHARE, limits.max_transaction_changes),
        }
    }

    /// Starts anew in an epoch with so many owners.
    pub fn begin_epoch(&mut self, owners: usize) {
        let rate = self.write_rps * ATTEMPT_RECORD_WRITE_SHARE / owners.max(1) as f64;
        self.attempt_records = WriteQueue::new(TokenBucket::new(rate, PAGES_PER_WRITE as f64));
        self.leader_pages.begin_epoch();
        self.final_writes.begin_epoch();
        self.submission_batches.begin_epoch();
        self.handled_batch = None;
        self.settled_jobs.clear();
        self.page_version_timer = PeriodicTimer::default();
        self.final_writes_in_flight.clear();
    }

    /// Pages that a write of the queue may have now.
    pub fn page_allowance(&mut self, queue_id: WriteQueueId, now: Time) -> usize {
        let max_pages = PAGES_PER_WRITE.min(self.txn_ops);
        let tokens = &mut self.queue(queue_id).change_tokens;
        tokens.available(now).min(max_pages)
    }

    /// Changes that a write of submission batches may have now.
    pub fn submission_batch_allowance(&mut self, now: Time) -> usize {
        let tokens = &mut self.submission_batches.change_tokens;
        tokens.available(now).min(self.txn_ops)
    }

    /// The key-value store has refused a write.
    pub fn write_refused(&mut self, now: Time) {
        self.refused_at = Some(now);
    }

    /// How long a queue waits between two writes. Pages take any number of entries, so where the limit of changes is
    /// used up they are written less often and fuller: what that saves is for the ends of jobs.
    pub fn write_interval_ms(&self, queue_id: WriteQueueId, now: Time) -> u64 {
        let is_recent = |at: Time| now.since(at) < THROTTLE_AFTER_REFUSED_WRITE_MS;
        match queue_id {
            WriteQueueId::AttemptRecords | WriteQueueId::LeaderPages
                if self.refused_at.is_some_and(is_recent) =>
            {
                THROTTLED_PAGE_WRITE_INTERVAL_MS
            }
            _ => 0,
        }
    }

    /// Logs when more final writes wait than their share writes in a while, and when that is over.
    pub fn warn_of_final_write_backlog(&mut self, pending: usize) {
        let writes_per_s = self.write_rps * FINAL_WRITE_SHARE / CHANGES_PER_JOB_END as f64;
        let is_behind = pending as f64 > writes_per_s * FINAL_WRITE_BACKLOG_S;
        let was_behind = std::mem::replace(&mut self.final_writes_behind, is_behind);
        let write_rps = self.write_rps;
        match (was_behind, is_behind) {
            (false, true) => {
                tracing::warn!(pending, write_rps, "job completions delayed by write limit");
            }
            (true, false) => tracing::info!(pending, "job completions no longer delayed"),
            _ => {}
        }
    }

    /// Changes that a final write may have now. Where no submission batches wait, final writes use their share as
    /// well: with 4,000 machines more than their own is needed.
    pub fn final_write_allowance(&mut self, now: Time, batches_wait: bool) -> usize {
        let lent = if batches_wait {
            0
        } else {
            self.submission_batches.change_tokens.available(now)
        };
        (self.final_writes.change_tokens.available(now) + lent).min(self.txn_ops)
    }

    /// Counts so many changes of a queue as sent. What exceeds the share of final writes is counted as lent to them
    /// by that of submission batches.
    pub fn charge(&mut self, queue_id: WriteQueueId, changes: usize, now: Time) {
        let own = match queue_id {
            WriteQueueId::FinalWrites => {
                self.final_writes.change_tokens.available(now).min(changes)
            }
            _ => changes,
        };
        self.queue(queue_id).change_tokens.take(own);
        self.submission_batches.change_tokens.take(changes - own);
    }

    /// The queue of that name.
    pub fn queue(&mut self, queue_id: WriteQueueId) -> &mut WriteQueue {
        match queue_id {
            WriteQueueId::AttemptRecords => &mut self.attempt_records,
            WriteQueueId::LeaderPages => &mut self.leader_pages,
            WriteQueueId::FinalWrites => &mut self.final_writes,
            WriteQueueId::SubmissionBatches => &mut self.submission_batches,
        }
    }
}
