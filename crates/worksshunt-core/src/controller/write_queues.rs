//! Queues of an epoch's conditional writes, each limited to a share of the key-value store's write limit.
//!
//! [`WriteQueues`] owns the writes in flight and the token buckets. `writes` sends the writes, and `write_outcomes`
//! processes their responses.

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

/// Number of changes that complete a job, the maximum of all kinds of final writes.
pub(super) const CHANGES_PER_JOB_COMPLETION: usize = 2;

/// A change of a claim record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum ClaimChange {
    /// Creates the record under this key.
    Put { key: String },
    /// Deletes the record.
    Delete,
}

/// A write of [`WriteQueueId::FinalWrites`].
#[derive(Debug, Clone)]
pub(super) enum FinalWrite {
    /// Completes a job: deletes its open key and writes its final state.
    CompleteJob(JobId),
    /// Changes the claim record of a machine.
    UpdateClaim {
        machine: MachineId,
        change: ClaimChange,
    },
    /// Deletes an obsolete key of an earlier epoch.
    RemoveKey(String),
}

/// The submission batch whose deletion was last written, at the version that was read.
#[derive(Debug)]
pub(super) struct ProcessedBatch {
    pub key: String,
    pub version: Revision,
}

/// A queue with at most one write in flight, limited to a share of the key-value store's write limit.
#[derive(Debug)]
pub(super) struct WriteQueue {
    /// Triggers the next write, or a retry.
    pub timer: PeriodicTimer,
    /// Tracks the copies of the write in flight.
    pub hedge: HedgedRequest,
    /// The write in flight, repeated unchanged until its outcome is known; `None` if there is none.
    pub in_flight: Option<CompareAndSwap>,
    /// Rate limit, in changes.
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

    /// Drops the write in flight at the start of an epoch.
    fn begin_epoch(&mut self) {
        self.timer = PeriodicTimer::default();
        self.in_flight = None;
    }
}

/// All write queues of this controller, and the state that their writes share.
pub(super) struct WriteQueues {
    attempt_records: WriteQueue,
    leader_pages: WriteQueue,
    final_writes: WriteQueue,
    /// Writes separate keys for the jobs of submission batches.
    submission_batches: WriteQueue,
    /// The last submission batch that was processed, to be skipped while the job cache still contains it.
    pub processed_batch: Option<ProcessedBatch>,
    /// Jobs of submission batches that have a separate key or are closed.
    pub processed_batch_jobs: BTreeSet<JobId>,
    /// Triggers reads of the version of a page whose last write has an unknown revision.
    pub page_version_timer: PeriodicTimer,
    /// Contents of the write in flight of [`WriteQueueId::FinalWrites`].
    pub final_writes_in_flight: Vec<FinalWrite>,
    /// Whether more final writes are pending than are written in [`FINAL_WRITE_BACKLOG_S`].
    has_final_write_backlog: bool,
    /// When the key-value store last refused a write, most likely because of its rate limit; `None` if it has not.
    last_refusal_at: Option<Time>,
    /// Write limit of the key-value store, in changes per second.
    changes_per_s: f64,
    /// Maximum number of changes in a transaction.
    max_transaction_changes: usize,
    /// Rate limit of submissions and cancellations, in changes.
    pub user_write_tokens: TokenBucket,
}

impl WriteQueues {
    /// Creates queues without writes in flight.
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
            processed_batch: None,
            processed_batch_jobs: BTreeSet::new(),
            page_version_timer: PeriodicTimer::default(),
            final_writes_in_flight: Vec::new(),
            has_final_write_backlog: false,
            last_refusal_at: None,
            changes_per_s: limits.changes_per_s,
            max_transaction_changes: limits.max_transaction_changes,
            user_write_tokens: share(USER_WRITE_SHARE, limits.max_transaction_changes),
        }
    }

    /// Drops all writes in flight at the start of an epoch. The share of attempt records is divided by `owner_count`,
    /// the number of partition owners.
    pub fn begin_epoch(&mut self, owner_count: usize) {
        let rate = self.changes_per_s * ATTEMPT_RECORD_WRITE_SHARE / owner_count.max(1) as f64;
        self.attempt_records = WriteQueue::new(TokenBucket::new(rate, PAGES_PER_WRITE as f64));
        self.leader_pages.begin_epoch();
        self.final_writes.begin_epoch();
        self.submission_batches.begin_epoch();
        self.processed_batch = None;
        self.processed_batch_jobs.clear();
        self.page_version_timer = PeriodicTimer::default();
        self.final_writes_in_flight.clear();
    }

    /// Maximum number of pages in a write of the queue now.
    pub fn page_allowance(&mut self, queue_id: WriteQueueId, now: Time) -> usize {
        let max_pages = PAGES_PER_WRITE.min(self.max_transaction_changes);
        let tokens = &mut self.queue(queue_id).change_tokens;
        tokens.available(now).min(max_pages)
    }

    /// Maximum number of changes in a write of submission batches now.
    pub fn submission_batch_allowance(&mut self, now: Time) -> usize {
        let tokens = &mut self.submission_batches.change_tokens;
        tokens.available(now).min(self.max_transaction_changes)
    }

    /// Records that the key-value store refused a write.
    pub fn record_refusal(&mut self, now: Time) {
        self.last_refusal_at = Some(now);
    }

    /// Minimum interval between two writes of a queue, in milliseconds. After a recent refusal pages are written less
    /// often and with more entries each, which leaves more of the write limit to job completions.
    pub fn write_interval_ms(&self, queue_id: WriteQueueId, now: Time) -> u64 {
        let is_recent = |at: Time| now.since(at) < THROTTLE_AFTER_REFUSED_WRITE_MS;
        match queue_id {
            WriteQueueId::AttemptRecords | WriteQueueId::LeaderPages
                if self.last_refusal_at.is_some_and(is_recent) =>
            {
                THROTTLED_PAGE_WRITE_INTERVAL_MS
            }
            _ => 0,
        }
    }

    /// Logs when the backlog of final writes exceeds [`FINAL_WRITE_BACKLOG_S`], and when it no longer does.
    pub fn warn_of_final_write_backlog(&mut self, pending: usize) {
        let writes_per_s =
            self.changes_per_s * FINAL_WRITE_SHARE / CHANGES_PER_JOB_COMPLETION as f64;
        let has_backlog = pending as f64 > writes_per_s * FINAL_WRITE_BACKLOG_S;
        let had_backlog = std::mem::replace(&mut self.has_final_write_backlog, has_backlog);
        let write_rps = self.changes_per_s;
        match (had_backlog, has_backlog) {
            (false, true) => {
                tracing::warn!(
                    pending,
                    write_rps,
                    "final writes delayed by the key-value store's write limit"
                );
            }
            (true, false) => tracing::info!(pending, "final writes no longer delayed"),
            _ => {}
        }
    }

    /// Maximum number of changes in a final write now. Final writes also use the share of submission batches while none
    /// are waiting, because large fleets need more than their own share.
    pub fn final_write_allowance(&mut self, now: Time, has_waiting_batches: bool) -> usize {
        let borrowed = if has_waiting_batches {
            0
        } else {
            self.submission_batches.change_tokens.available(now)
        };
        (self.final_writes.change_tokens.available(now) + borrowed)
            .min(self.max_transaction_changes)
    }

    /// Takes tokens for the changes of a write. The changes of a final write that exceed its own share are taken from
    /// the share of submission batches.
    pub fn take_tokens(&mut self, queue_id: WriteQueueId, changes: usize, now: Time) {
        let own_changes = match queue_id {
            WriteQueueId::FinalWrites => {
                self.final_writes.change_tokens.available(now).min(changes)
            }
            _ => changes,
        };
        self.queue(queue_id).change_tokens.take(own_changes);
        self.submission_batches
            .change_tokens
            .take(changes - own_changes);
    }

    /// The queue with this ID.
    pub fn queue(&mut self, queue_id: WriteQueueId) -> &mut WriteQueue {
        match queue_id {
            WriteQueueId::AttemptRecords => &mut self.attempt_records,
            WriteQueueId::LeaderPages => &mut self.leader_pages,
            WriteQueueId::FinalWrites => &mut self.final_writes,
            WriteQueueId::SubmissionBatches => &mut self.submission_batches,
        }
    }
}
