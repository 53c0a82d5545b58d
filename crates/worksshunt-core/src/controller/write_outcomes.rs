//! Processing of the responses to an epoch's conditional writes.

use worksshunt_wire::key_value::{Change, CompareAndSwap};
use worksshunt_wire::user::JobState;
use worksshunt_wire::{JobId, Revision};

use crate::constants::key_value::{KV_RETRY_DELAY_MS, MIN_TRANSACTION_CHANGES, MIN_VALUE_KIB};
use crate::jobs::{job_id_of_key, FinalStateEvidence};
use crate::membership::EPOCH_KEY;
use crate::scheduler::ClaimWriteOutcome;
use crate::time::Time;

use super::key_value_responses::RequestTimes;
use super::write_queues::{ClaimChange, FinalWrite, WriteQueues};
use super::{call_store, Action, Controller, KvPurpose, KvRequest, KvResponse, WriteQueueId};

/// Outcome of one copy of a write.
#[derive(Debug)]
enum WriteOutcome {
    /// Committed at this revision.
    Committed(Revision),
    /// Not applied, because the conditions on these keys failed; this copy never will be. Another copy may have been.
    Conflict(Vec<String>),
    /// Possibly applied, or not applied but still applicable later.
    Unknown,
}

impl Controller {
    /// Processes the response to a copy of a queue's write.
    pub(super) fn process_queued_write_response(
        &mut self,
        queue_id: WriteQueueId,
        number: u64,
        times: RequestTimes,
        response: KvResponse,
    ) {
        let now = times.answered_at;
        match response {
            KvResponse::Refused => self.write_queues.record_refusal(now),
            KvResponse::TooLarge => return self.process_oversized_write(queue_id, now),
            _ => {}
        }
        let outcome = self.write_outcome(times, response);
        let is_conclusive = !matches!(outcome, WriteOutcome::Unknown);
        let interval_ms = if is_conclusive {
            self.write_queues.write_interval_ms(queue_id, now)
        } else {
            KV_RETRY_DELAY_MS
        };
        let queue = self.write_queues.queue(queue_id);
        if !queue.hedge.record_response(number, is_conclusive) {
            return;
        }
        queue.timer.schedule_next(now, interval_ms);
        match outcome {
            WriteOutcome::Unknown => {}
            WriteOutcome::Committed(revision) => {
                let write = queue.in_flight.take();
                self.process_committed_write(queue_id, revision, write, now);
            }
            WriteOutcome::Conflict(failed_keys) => {
                if let Some(write) = queue.in_flight.take() {
                    self.process_write_conflict(queue_id, &write, &failed_keys, now);
                }
            }
        }
    }

    /// Derives the outcome from a response. A commit also confirms the epoch; a conflict on the epoch key schedules a
    /// read of the control keys.
    fn write_outcome(&mut self, times: RequestTimes, response: KvResponse) -> WriteOutcome {
        match response {
            KvResponse::Committed(revision) => {
                self.membership.extend_epoch_lease(times.sent_at);
                WriteOutcome::Committed(revision)
            }
            KvResponse::Conflict(failed_keys) if failed_keys.iter().any(|key| key == EPOCH_KEY) => {
                self.read_control_keys_at(times.answered_at);
                WriteOutcome::Unknown
            }
            KvResponse::Conflict(failed_keys) => WriteOutcome::Conflict(failed_keys),
            _ => WriteOutcome::Unknown,
        }
    }

    /// Processes the commit of a copy of a write.
    fn process_committed_write(
        &mut self,
        queue_id: WriteQueueId,
        revision: Revision,
        write: Option<CompareAndSwap>,
        now: Time,
    ) {
        match queue_id {
            WriteQueueId::AttemptRecords => self.partition.mark_records_durable(Some(revision)),
            WriteQueueId::LeaderPages => {
                if let Some(leader) = &mut self.leader {
                    leader.scheduler.mark_pages_durable(Some(revision));
                }
            }
            WriteQueueId::FinalWrites => self.process_committed_final_writes(revision, now),
            // The job cache shows these jobs only after its next read.
            WriteQueueId::SubmissionBatches => {
                let opened = write.iter().flat_map(opened_jobs);
                self.write_queues.processed_batch_jobs.extend(opened);
            }
        }
    }

    /// Processes the commit of the final writes in flight.
    pub(super) fn process_committed_final_writes(&mut self, revision: Revision, now: Time) {
        for final_write in std::mem::take(&mut self.write_queues.final_writes_in_flight) {
            let Some(leader) = &mut self.leader else {
                return;
            };
            match final_write {
                FinalWrite::CompleteJob(id) => {
                    let evidence = FinalStateEvidence::Committed(revision);
                    self.metrics.count_final_state(evidence);
                    self.job_cache
                        .cache_final_state(id, JobState::Done, evidence);
                    leader.scheduler.close_job(id, now);
                }
                FinalWrite::UpdateClaim { machine, change } => {
                    let outcome = match change {
                        ClaimChange::Put { .. } => ClaimWriteOutcome::Committed(revision),
                        ClaimChange::Delete => ClaimWriteOutcome::Deleted(revision),
                    };
                    self.metrics.count_claim_write_outcome(outcome);
                    leader
                        .scheduler
                        .apply_claim_write_outcome(&machine, outcome);
                }
                FinalWrite::RemoveKey(key) => leader.scheduler.mark_key_removed(&key),
            }
        }
    }

    /// Processes a rejection as too large, which shows that the key-value store has lowered its limits unannounced.
    /// Other copies of the write may have been applied, so this controller leaves the epoch and joins again: the next
    /// epoch invalidates the copies, and all records are reloaded.
    fn process_oversized_write(&mut self, queue_id: WriteQueueId, now: Time) {
        if self.lower_limits() {
            let limits = &self.settings.facts.key_value_store;
            self.write_queues = WriteQueues::new(limits);
            self.partition.set_key_value_limits(limits);
            self.leave_epoch(now);
        } else {
            tracing::error!(queue = ?queue_id, "write rejected as too large at the minimum key-value limits; retrying");
            let queue = self.write_queues.queue(queue_id);
            queue.timer.schedule_next(now, KV_RETRY_DELAY_MS);
        }
    }

    /// Halves the assumed limits of the key-value store. Returns false if they already are at the minimum.
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
            "write rejected as too large; assumed key-value limits halved"
        );
        true
    }

    /// Reads the version of a page whose last write has an unknown revision, if there is one.
    pub(super) fn read_unknown_page_version(&mut self, now: Time, actions: &mut Vec<Action>) {
        if !self.write_queues.page_version_timer.is_due(now) {
            return;
        }
        let leader = self.leader.iter();
        let leader_pages = leader.flat_map(|leader| leader.scheduler.uncertain_pages());
        let record_pages = self.partition.uncertain_record_pages();
        if let Some(key) = record_pages.into_iter().chain(leader_pages).next() {
            self.write_queues.page_version_timer.mark_sent(now, 0);
            let purpose = KvPurpose::ReadPageVersion {
                epoch: self.membership.epoch_number(),
                key: key.clone(),
            };
            call_store(actions, purpose, KvRequest::Get(key));
        }
    }

    /// Processes the response to the read of a page's version.
    pub(super) fn process_page_version_response(
        &mut self,
        now: Time,
        key: &str,
        response: KvResponse,
    ) {
        let timer = &mut self.write_queues.page_version_timer;
        let version = match response {
            KvResponse::Found(pair) => pair.version,
            KvResponse::Missing => Revision(0),
            _ => return timer.schedule_next(now, KV_RETRY_DELAY_MS),
        };
        timer.schedule_next(now, 0);
        self.partition.set_record_page_version(key, version);
        if let Some(leader) = &mut self.leader {
            leader.scheduler.set_page_version(key, version);
        }
    }
}

/// The jobs whose separate keys a write creates.
fn opened_jobs(write: &CompareAndSwap) -> impl Iterator<Item = JobId> + '_ {
    let is_put = |change: &&Change| matches!(change, Change::Put { .. });
    let puts = write.changes.iter().filter(is_put);
    puts.filter_map(|change| job_id_of_key(change.key()))
}
