//! Responses to an epoch's conditional writes, and what follows from their outcomes.

use worksshunt_wire::key_value::{Change, CompareAndSwap};
use worksshunt_wire::user::JobState;
use worksshunt_wire::{JobId, Revision};

use crate::constants::key_value::{KV_RETRY_MS, MIN_TRANSACTION_CHANGES, MIN_VALUE_KIB};
use crate::jobs::{is_submission_batch, job_of_key, open_job_key};
use crate::membership::EPOCH_KEY;
use crate::time::Time;

use super::key_value_responses::RequestTimes;
use super::write_queues::{FinalWrite, WriteQueues};
use super::{call_store, Action, Controller, KvPurpose, KvRequest, KvResponse, WriteQueueId};

/// The outcome of a write.
#[derive(Debug)]
enum WriteOutcome {
    /// It was applied, at that revision if it is known.
    Applied(Option<Revision>),
    /// It can never be applied: these keys have changed.
    Refuted(Vec<String>),
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
            KV_RETRY_MS
        };
        let queue = self.write_queues.queue(queue_id);
        if !queue.hedge.answered(number, is_clear) {
            return;
        }
        queue.timer.schedule_retry(now, interval_ms);
        match outcome {
            WriteOutcome::Unclear => {}
            WriteOutcome::Applied(revision) => {
                let write = queue.in_flight.take();
                self.write_applied(queue_id, revision, write, now);
            }
            WriteOutcome::Refuted(failed_keys) => {
                queue.in_flight = None;
                self.write_refuted(queue_id, &failed_keys);
            }
        }
    }

    /// The outcome that a response shows. Whether the epoch is still the one known is noted as well.
    fn write_outcome(&mut self, times: RequestTimes, response: KvResponse) -> WriteOutcome {
        match response {
            KvResponse::Committed(revision) => {
                self.membership.epoch_confirmed(times.sent_at);
                WriteOutcome::Applied(Some(revision))
            }
            KvResponse::Conflict(failed) if failed.iter().any(|key| key == EPOCH_KEY) => {
                self.read_control_keys_at(times.answered_at);
                WriteOutcome::Unclear
            }
            KvResponse::Conflict(failed) => {
                // Nobody else writes an owner's pages, the leader's pages or its claims in its epoch, or handles
                // submission batches: a copy of this write was applied before.
                let is_own = |key: &String| is_submission_batch(key) || job_of_key(key).is_none();
                if failed.iter().any(is_own) {
                    WriteOutcome::Applied(None)
                } else {
                    WriteOutcome::Refuted(failed)
                }
            }
            _ => WriteOutcome::Unclear,
        }
    }

    /// A write was applied, now or by an earlier copy.
    fn write_applied(
        &mut self,
        queue_id: WriteQueueId,
        revision: Option<Revision>,
        write: Option<CompareAndSwap>,
        now: Time,
    ) {
        match queue_id {
            WriteQueueId::AttemptRecords => self.partition.records_written(revision),
            WriteQueueId::LeaderPages => {
                if let Some(leader) = &mut self.leader {
                    leader.scheduler.page_writes_applied(revision);
                }
            }
            WriteQueueId::FinalWrites => self.final_writes_applied(now),
            // The job cache shows it later.
            WriteQueueId::SubmissionBatches => {
                let opened = write.iter().flat_map(opened_jobs);
                self.write_queues.settled_jobs.extend(opened);
            }
        }
    }

    /// The final writes in flight are durable.
    fn final_writes_applied(&mut self, now: Time) {
        for final_write in std::mem::take(&mut self.write_queues.final_writes_in_flight) {
            let Some(leader) = &mut self.leader else {
                return;
            };
            match final_write {
                FinalWrite::FinishJob(id) => {
                    tracing::debug!(job = %id, "job done");
                    self.job_cache.remember_final(id, JobState::Done);
                    leader.scheduler.close_job(id, now);
                }
                FinalWrite::UpdateClaim { machine, is_held } => {
                    leader.scheduler.claim_written(&machine, is_held);
                }
                FinalWrite::RemoveKey(key) => leader.scheduler.key_removed(&key),
            }
        }
    }

    /// A write can never be applied, because these keys have changed.
    fn write_refuted(&mut self, queue_id: WriteQueueId, failed_keys: &[String]) {
        match queue_id {
            WriteQueueId::FinalWrites => self.final_writes_refuted(failed_keys),
            WriteQueueId::SubmissionBatches => {
                self.write_queues.handled_batch = None;
                let settled = failed_keys.iter().filter_map(|key| job_of_key(key));
                self.write_queues.settled_jobs.extend(settled);
            }
            WriteQueueId::AttemptRecords | WriteQueueId::LeaderPages => {
                tracing::error!(queue = ?queue_id, keys = ?failed_keys, "page write conflict");
            }
        }
    }

    /// A user cancelled a job meanwhile, or a copy of the write was applied before: the job cache will show it.
    /// The other final writes are tried again.
    fn final_writes_refuted(&mut self, failed_keys: &[String]) {
        for final_write in std::mem::take(&mut self.write_queues.final_writes_in_flight) {
            if let (FinalWrite::FinishJob(id), Some(leader)) = (final_write, &mut self.leader) {
                if failed_keys.contains(&open_job_key(id)) {
                    leader.scheduler.finish_refused(id);
                }
            }
        }
    }

    /// A write was larger than the key-value store takes, which it was not announced to be: its limits have
    /// fallen. What copies of the write have done is not known, so this controller becomes a new member, for
    /// whom they are void, and begins with what it reads.
    fn write_too_large(&mut self, queue_id: WriteQueueId, now: Time) {
        if self.lower_limits() {
            let limits = &self.settings.facts.state;
            self.write_queues = WriteQueues::new(limits);
            self.partition.set_key_value_limits(limits);
            self.leave_epoch(now);
        } else {
            tracing::error!(queue = ?queue_id, "write of minimum size refused as too large");
            let queue = self.write_queues.queue(queue_id);
            queue.timer.schedule_retry(now, KV_RETRY_MS);
        }
    }

    /// Assumes half of the key-value store's limits from now on; false if they are at the minimum already.
    pub(super) fn lower_limits(&mut self) -> bool {
        let limits = &mut self.settings.facts.state;
        if limits.value_kb <= MIN_VALUE_KIB && limits.txn_ops <= MIN_TRANSACTION_CHANGES {
            return false;
        }
        limits.value_kb = (limits.value_kb / 2.0).max(MIN_VALUE_KIB);
        limits.txn_ops = (limits.txn_ops / 2).max(MIN_TRANSACTION_CHANGES);
        tracing::warn!(
            value_kb = limits.value_kb,
            txn_ops = limits.txn_ops,
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
            _ => return timer.schedule_retry(now, KV_RETRY_MS),
        };
        timer.schedule_retry(now, 0);
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
