//! The lanes in which an epoch's conditional writes leave, each within a share of the state service's limit.

use std::collections::BTreeSet;

use worksshunt_wire::key_value::CompareAndSwap;
use worksshunt_wire::settings::KeyValueLimits;
use worksshunt_wire::{JobId, MachineId, Revision};

use crate::constants::key_value::{
    FINAL_WRITE_BACKLOG_S, FINAL_WRITE_SHARE, KV_HEDGE_AFTER_MS, LEADER_PAGE_WRITE_SHARE,
    RECORD_WRITE_SHARE, SUBMISSION_BATCH_WRITE_SHARE, THROTTLED_PAGE_WRITE_INTERVAL_MS,
    USER_WRITE_SHARE, WRITE_REFUSAL_MEMORY_MS,
};
use crate::constants::pages::PAGES_PER_WRITE;
use crate::time::{Periodic, Time, TokenBucket};

use super::WriteQueueId;

/// One write among the ends.
#[derive(Debug, Clone)]
pub(super) enum FinalWrite {
    /// A job is done.
    FinishJob(JobId),
    /// A claim on a machine, held or released.
    UpdateClaim(MachineId, bool),
    /// A key of a former epoch goes.
    RemoveKey(String),
}

/// Counts the copies of the write under way. A second one is sent when the answer is slow: now and then one
/// takes many times as long as the others, which nobody should have to wait for. Both can be applied only once,
/// by the conditions they carry.
#[derive(Debug, Default)]
pub(super) struct HedgedRequest {
    number: u64,
    sent_at: Time,
    /// Copies that are not answered.
    unanswered: u32,
    hedged: bool,
}

impl HedgedRequest {
    /// A write is sent; its number.
    pub fn first_sent(&mut self, now: Time) -> u64 {
        *self = HedgedRequest {
            number: self.number + 1,
            sent_at: now,
            unanswered: 1,
            hedged: false,
        };
        self.number
    }

    /// The number of the write of which a second copy is to be sent now, if any.
    pub fn hedge_due(&mut self, now: Time) -> Option<u64> {
        if self.unanswered != 1 || self.hedged || now.since(self.sent_at) < KV_HEDGE_AFTER_MS {
            return None;
        }
        self.hedged = true;
        self.unanswered += 1;
        Some(self.number)
    }

    /// A copy was answered, `clearly` or not. Whether that settles the write of that number: an unclear
    /// answer does only if no other is to come, and what comes after a clear one is of no interest.
    pub fn answered(&mut self, number: u64, clearly: bool) -> bool {
        if number != self.number || self.unanswered == 0 {
            return false;
        }
        self.unanswered -= 1;
        if clearly {
            self.unanswered = 0;
        }
        self.unanswered == 0
    }
}

/// One write at a time, within a share of the state service's limit.
#[derive(Debug)]
pub(super) struct WriteQueue {
    /// When the next write may leave.
    pub timer: Periodic,
    /// Copies of the write under way.
    pub hedge: HedgedRequest,
    /// The write under way, repeated unchanged until its outcome is clear.
    pub in_flight: Option<CompareAndSwap>,
    /// Changes that the share allows.
    pub change_tokens: TokenBucket,
}

impl WriteQueue {
    fn new(writes: TokenBucket) -> WriteQueue {
        WriteQueue {
            timer: Periodic::default(),
            hedge: HedgedRequest::default(),
            in_flight: None,
            change_tokens: writes,
        }
    }

    /// Starts anew in an epoch.
    fn begin_epoch(&mut self) {
        self.timer = Periodic::default();
        self.in_flight = None;
    }
}

/// The lanes, and the shares of the state service's limit that they keep to.
pub(super) struct WriteQueues {
    attempt_records: WriteQueue,
    leader_pages: WriteQueue,
    final_writes: WriteQueue,
    /// Keys for jobs taken in together.
    pub submission_batches: WriteQueue,
    /// The page of jobs that was last dealt with, until the mirror shows what has become of it.
    pub handled_batch: Option<(String, Revision)>,
    /// Jobs on pages that have a key of their own by now, or are over.
    pub settled_jobs: BTreeSet<JobId>,
    /// Reading the version of an uncertain page.
    pub page_version_timer: Periodic,
    /// What the write of ends under way brings.
    pub final_writes_in_flight: Vec<FinalWrite>,
    /// More ends wait than are written in a while.
    final_writes_behind: bool,
    /// When the state service last refused a write, most likely because of its limit.
    refused_at: Option<Time>,
    write_rps: f64,
    /// Changes in a transaction.
    pub txn_ops: usize,
    /// For submissions and cancellations.
    pub user_write_tokens: TokenBucket,
}

impl WriteQueues {
    /// Nothing is under way.
    pub fn new(state: &KeyValueLimits) -> WriteQueues {
        let share =
            |share: f64, burst: usize| TokenBucket::new(state.write_rps * share, burst as f64);
        WriteQueues {
            attempt_records: WriteQueue::new(share(RECORD_WRITE_SHARE, PAGES_PER_WRITE)),
            leader_pages: WriteQueue::new(share(LEADER_PAGE_WRITE_SHARE, PAGES_PER_WRITE)),
            final_writes: WriteQueue::new(share(FINAL_WRITE_SHARE, state.txn_ops)),
            submission_batches: WriteQueue::new(share(SUBMISSION_BATCH_WRITE_SHARE, state.txn_ops)),
            handled_batch: None,
            settled_jobs: BTreeSet::new(),
            page_version_timer: Periodic::default(),
            final_writes_in_flight: Vec::new(),
            final_writes_behind: false,
            refused_at: None,
            write_rps: state.write_rps,
            txn_ops: state.txn_ops,
            user_write_tokens: share(USER_WRITE_SHARE, state.txn_ops),
        }
    }

    /// Starts anew in an epoch with so many owners.
    pub fn begin_epoch(&mut self, owners: usize) {
        let rate = self.write_rps * RECORD_WRITE_SHARE / owners.max(1) as f64;
        self.attempt_records = WriteQueue::new(TokenBucket::new(rate, PAGES_PER_WRITE as f64));
        self.leader_pages.begin_epoch();
        self.final_writes.begin_epoch();
        self.submission_batches.begin_epoch();
        self.handled_batch = None;
        self.settled_jobs.clear();
        self.page_version_timer = Periodic::default();
        self.final_writes_in_flight.clear();
    }

    /// Pages that a write of the lane may have now.
    pub fn page_allowance(&mut self, lane: WriteQueueId, now: Time) -> usize {
        let most = PAGES_PER_WRITE.min(self.txn_ops);
        self.queue(lane).change_tokens.available(now).min(most)
    }

    /// The state service has refused a write.
    pub fn write_refused(&mut self, now: Time) {
        self.refused_at = Some(now);
    }

    /// How long a lane waits between two writes. Pages take any number of entries, so where the limit of changes is
    /// used up they are written less often and fuller: what that saves is for the ends of jobs.
    pub fn write_interval_ms(&self, lane: WriteQueueId, now: Time) -> u64 {
        let lately = |at: Time| now.since(at) < WRITE_REFUSAL_MEMORY_MS;
        match lane {
            WriteQueueId::AttemptRecords | WriteQueueId::LeaderPages
                if self.refused_at.is_some_and(lately) =>
            {
                THROTTLED_PAGE_WRITE_INTERVAL_MS
            }
            _ => 0,
        }
    }

    /// Tells when more ends of jobs wait than their share writes in a while, and when that is over.
    pub fn warn_of_final_write_backlog(&mut self, waiting: usize) {
        // Each takes two changes.
        let most = self.write_rps * FINAL_WRITE_SHARE / 2.0 * FINAL_WRITE_BACKLOG_S;
        let behind = waiting as f64 > most;
        if behind == std::mem::replace(&mut self.final_writes_behind, behind) {
            return;
        }
        let write_rps = self.write_rps;
        if behind {
            tracing::warn!(
                waiting,
                write_rps,
                "ends of jobs wait for the state service's limit of changes"
            );
        } else {
            tracing::info!(waiting, "ends of jobs are written as they come again");
        }
    }

    /// Changes that a write of ends may have now. Where no jobs taken in together wait for keys of their own, ends
    /// use that share as well: with 4,000 machines more than their own comes to an end.
    pub fn final_write_allowance(&mut self, now: Time, intake_waits: bool) -> usize {
        let lent = match intake_waits {
            true => 0,
            false => self.submission_batches.change_tokens.available(now),
        };
        (self.final_writes.change_tokens.available(now) + lent).min(self.txn_ops)
    }

    /// Counts so many changes of a lane as sent: what is beyond the share of ends as lent to them.
    pub fn charge(&mut self, lane: WriteQueueId, changes: usize, now: Time) {
        let own = match lane {
            WriteQueueId::FinalWrites => {
                self.final_writes.change_tokens.available(now).min(changes)
            }
            _ => changes,
        };
        self.queue(lane).change_tokens.take(own);
        self.submission_batches.change_tokens.take(changes - own);
    }

    /// The line of a lane.
    pub fn queue(&mut self, lane: WriteQueueId) -> &mut WriteQueue {
        match lane {
            WriteQueueId::AttemptRecords => &mut self.attempt_records,
            WriteQueueId::LeaderPages => &mut self.leader_pages,
            WriteQueueId::FinalWrites => &mut self.final_writes,
            WriteQueueId::SubmissionBatches => &mut self.submission_batches,
        }
    }
}
