//! Responses to an epoch's conditional writes, and what follows from their outcomes.

use worksshunt_wire::key_value::{Change, CompareAndSwap};
use worksshunt_wire::user::JobState;
use worksshunt_wire::{JobId, Revision};

use crate::constants::key_value::{KV_RETRY_DELAY_MS, MIN_TRANSACTION_CHANGES, MIN_VALUE_KIB};
use crate::jobs::{job_of_key, FinalStateEvidence};
use crate::membership::EPOCH_KEY;
use crate::scheduler::ClaimRecord;
use crate::time::Time;

use super::key_value_responses::RequestTimes;
use super::write_queues::{ClaimChange, FinalWrite, WriteQueues};
use super::{call_store, Action, Controller, KvPurpose, KvRequest, KvResponse, WriteQueueId};

/// What a response tells about the copy of a write that it answers.
#[derive(Debug)]
enum WriteOutcome {
    /// It was committed at that revision.
    Committed(Revision),
    /// It was not applied and never can be: these keys have changed. Earlier copies may have been.
    Conflict(Vec<String>),
    /// Not known, or not applied yet.
    Unclear,
}

impl Controller {
    /// A copy of a queue's write was answered, or not.
    pub(super) fn queued_write_answered(
        &mut self,
        queue_id: WriteQueueId,
        number: u64,
        times: RequestTimes,
        response: KvResponse,
    ) {
        let now = times.answered_at;
        match response {
            KvResponse::Refused => self.write_queues.write_refused(now),
            KvResponse::TooLarge => return self.write_too_large(queue_id, now),
            _ => {}
        }
        let outcome = self.write_outcome(times, response);
        let is_clear = !matches!(outcome, WriteOutcome::Unclear);
        let interval_ms = if is_clear {
            self.write_queues.write_interval_ms(queue_id, now)
        } else {
            KV_RETRY_DELAY_MS
        };
        let queue = self.write_queues.queue(queue_id);
        if !queue.hedge.answered(number, is_clear) {
            return;
        }
        queue.timer.schedule_next(now, interval_ms);
        match outcome {
            WriteOutcome::Unclear => {}
            WriteOutcome::Committed(revision) => {
                let write = queue.in_flight.take();
                self.write_committed(queue_id, revision, write, now);
            }
            WriteOutcome::Conflict(failed_keys) => {
                if let Some(write) = queue.in_flight.take() {
                    self.write_conflicted(queue_id, &write, &failed_keys, now);
                }
            }
        }
    }

    /// The outcome that a response shows. Whether the epoch is still the one known is noted as well.
    fn write_outcome(&mut self, times: RequestTimes, response: KvResponse) -> WriteOutcome {
        match response {
            KvResponse::Committed(revision) => {
                self.membership.epoch_confirmed(times.sent_at);
                WriteOutcome::Committed(revision)
            }
            KvResponse::Conflict(failed) if failed.iter().any(|key| key == EPOCH_KEY) => {
                self.read_control_keys_at(times.answered_at);
                WriteOutcome::Unclear
            }
            KvResponse::Conflict(failed) => WriteOutcome::Conflict(failed),
            _ => WriteOutcome::Unclear,
        }
    }

    /// A copy of a write was committed.
    fn write_committed(
        &mut self,
        queue_id: WriteQueueId,
        revision: Revision,
        write: Option<CompareAndSwap>,
        now: Time,
    ) {
        match queue_id {
            WriteQueueId::AttemptRecords => self.partition.records_written(Some(revision)),
            WriteQueueId::LeaderPages => {
                if let Some(leader) = &mut self.leader {
                    leader.scheduler.page_writes_applied(Some(revision));
                }
            }
            WriteQueueId::FinalWrites => self.final_writes_committed(revision, now),
            // The job cache shows it later.
            WriteQueueId::SubmissionBatches => {
                let opened = write.iter().flat_map(opened_jobs);
                self.write_queues.settled_jobs.extend(opened);
            }
        }
    }

    pub(super) fn final_writes_committed(&mut self, revision: Revision, now: Time) {
        for final_write in std::mem::take(&mut self.write_queues.final_writes_in_flight) {
            let Some(leader) = &mut self.leader else {
                return;
            };
            match final_write {
                FinalWrite::FinishJob(id) => {
                    let evidence = FinalStateEvidence::Committed(revision);
                    self.metrics.final_state_learnt(evidence);
                    self.job_cache.remember_final(id, JobState::Done, evidence);
                    leader.scheduler.close_job(id, now);
                }
                FinalWrite::UpdateClaim { machine, change } => {
                    let record = match change {
                        ClaimChange::Put { .. } => ClaimRecord::Committed(revision),
                        ClaimChange::Delete => ClaimRecord::Deleted(revision),
                    };
                    self.metrics.claim_recorded(record);
                    leader.scheduler.claim_recorded(&machine, record);
                }
                FinalWrite::RemoveKey(key) => leader.scheduler.key_removed(&key),
            }
        }
    }

    /// A write was larger than the key-value store takes, which it was not announced to be: its limits have
    /// fallen. What copies of the write have done is not known, so this controller becomes a new member, for
    /// whom they are void, and begins with what it reads.
    fn write_too_large(&mut self, queue_id: WriteQueueId, now: Time) {
        if self.lower_limits() {
            let limits = &self.settings.facts.key_value_store;
            self.write_queues = WriteQueues::new(limits);
            self.partition.set_key_value_limits(limits);
            self.leave_epoch(now);
        } else {
            tracing::error!(queue = ?queue_id, "write of minimum size refused as too large");
            let queue = self.write_queues.queue(queue_id);
            queue.timer.schedule_next(now, KV_RETRY_DELAY_MS);
        }
    }

    /// Assumes half of the key-value store's limits from now on; false if they are at the minimum already.
    pub(super) fn lower_limits(&mut self) -> bool {
        let limits = &mut self.settings.facts.key_value_store;
        if limits.max_value_kib <= MIN_VALUE_KIB
            && limits.max_transaction_changes <= MIN_TRANSACTION_CHANGES
        {
            return false;
        }
        limits.max_value_kib = (limits.max_value_kib / 2.0).max(MIN_VALUE_KIB);
        limits.max_transaction_changes =
            (limits.max_transaction_changes / 2).max(MIN_TRANSACTION_CHANGES);
        tracing::warn!(
            value_kb = limits.max_value_kib,
            txn_ops = limits.max_transaction_changes,
            "write refused as too large, key-value limits halved"
        );
        true
    }

    /// Reads the version of a page that was written at an unknown one.
    pub(super) fn read_uncertain_page(&mut self, now: Time, actions: &mut Vec<Action>) {
        if !self.write_queues.page_version_timer.is_due(now) {
            return;
        }
        let leader = self.leader.iter();
        let leader_pages = leader.flat_map(|leader| leader.scheduler.uncertain_pages());
        let record_pages = self.partition.uncertain_record_pages();
        if let Some(key) = record_pages.into_iter().chain(leader_pages).next() {
            self.write_queues.page_version_timer.mark_sent(now, 0);
            let purpose = KvPurpose::ReadPageVersion {
                epoch: self.membership.fencing_token(),
                key: key.clone(),
            };
            call_store(actions, purpose, KvRequest::Get(key));
        }
    }

    /// A page's version was read, or not.
    pub(super) fn page_version_answered(&mut self, now: Time, key: &str, response: KvResponse) {
        let timer = &mut self.write_queues.page_version_timer;
        let version = match response {
            KvResponse::Found(pair) => pair.version,
            KvResponse::Missing => Revision(0),
            _ => return timer.schedule_next(now, KV_RETRY_DELAY_MS),
        };
        timer.schedule_next(now, 0);
        self.partition.record_page_version_read(key, version);
        if let Some(leader) = &mut self.leader {
            leader.scheduler.page_version_read(key, version);
        }
    }
}

/// The jobs whose own keys a write creates.
fn opened_jobs(write: &CompareAndSwap) -> impl Iterator<Item = JobId> + '_ {
    let is_put = |change: &&Change| matches!(change, Change::Put { .. });
    let puts = write.changes.iter().filter(is_put);
    puts.filter_map(|change| job_of_key(change.key()))
}
