//! Conditional writes of an epoch.
//!
//! Each lane has one write under way, conditional on the epoch and on the version of every key it
//! changes where a late copy could do harm. A write without a clear answer is repeated unchanged:
//! whatever happens to its copies, it is applied once or never.

use worksshunt_wire::key_value::{Change, CompareAndSwap, ExpectedRevision};
use worksshunt_wire::{JobId, Revision};

use crate::constants::key_value::{
    KV_DEADLINE_MS, KV_HEDGE_AFTER_MS, KV_RETRY_MS, MIN_TRANSACTION_CHANGES, MIN_VALUE_KIB,
};
use crate::job_api::JobRequest;
use crate::jobs::{
    final_state_key, final_state_value, is_submission_batch, job_of_key, open_job_key,
};
use crate::membership::EPOCH;
use crate::pages::PageWrite;
use crate::scheduler::{claim_key, PendingWrite};
use crate::time::Time;

use super::write_queues::{FinalWrite, WriteQueues};
use super::{store, Action, Controller, KvPurpose, KvRequest, KvResponse, WriteQueueId};
use worksshunt_wire::user::JobState;

/// What became of a write.
enum Outcome {
    /// It was applied, at that revision if it is known.
    Applied(Option<Revision>),
    /// It can never be applied: these keys have changed.
    Refuted(Vec<String>),
    /// Open, or not applied yet.
    Unclear,
}

impl Controller {
    /// Sends what has to be written now.
    pub(super) fn advance_write_queues(&mut self, now: Time, actions: &mut Vec<Action>) {
        self.read_uncertain_page(now, actions);
        self.advance_write_queue(WriteQueueId::AttemptRecords, now, actions);
        if self.leader.is_some() {
            self.advance_write_queue(WriteQueueId::FinalWrites, now, actions);
            self.advance_write_queue(WriteQueueId::LeaderPages, now, actions);
            self.advance_write_queue(WriteQueueId::SubmissionBatches, now, actions);
        }
    }

    fn advance_write_queue(&mut self, lane: WriteQueueId, now: Time, actions: &mut Vec<Action>) {
        let token = self.membership.fencing_token();
        let line = self.write_queues.queue(lane);
        if line.timer.in_flight {
            // Launches wait for records. The other lanes can wait.
            let repeat = (lane == WriteQueueId::AttemptRecords).then(|| line.hedge.hedge_due(now));
            if let (Some(number), Some(write)) = (repeat.flatten(), &line.in_flight) {
                line.change_tokens.take(write.changes.len());
                let tag = KvPurpose::QueuedWrite(lane, token, number);
                actions.push(hedge_request(tag, write));
            }
        }
        if !line.timer.is_due(now) {
            return;
        }
        if line.in_flight.is_none() {
            let Some(epoch) = self.membership.epoch_unchanged() else {
                return;
            };
            let mut write = CompareAndSwap {
                expected: vec![epoch],
                changes: Vec::new(),
            };
            match lane {
                WriteQueueId::AttemptRecords => self.add_record_writes(now, &mut write),
                WriteQueueId::LeaderPages => self.add_leader_page_writes(now, &mut write),
                WriteQueueId::FinalWrites => self.add_final_writes(now, &mut write),
                WriteQueueId::SubmissionBatches => {
                    self.add_submission_batch_writes(now, &mut write)
                }
            }
            if write.changes.is_empty() {
                return;
            }
            self.write_queues.queue(lane).in_flight = Some(write);
        }
        let Some(write) = self.write_queues.queue(lane).in_flight.clone() else {
            return;
        };
        self.write_queues.charge(lane, write.changes.len(), now);
        let line = self.write_queues.queue(lane);
        line.timer.mark_sent(now, 0);
        let number = line.hedge.first_sent(now);
        store(
            actions,
            KvPurpose::QueuedWrite(lane, token, number),
            KvRequest::CompareAndSwap(write),
        );
    }

    fn add_record_writes(&mut self, now: Time, write: &mut CompareAndSwap) {
        let most = self
            .write_queues
            .page_allowance(WriteQueueId::AttemptRecords, now);
        add_pages(write, self.partition.next_record_writes(now, most));
    }

    fn add_leader_page_writes(&mut self, now: Time, write: &mut CompareAndSwap) {
        let most = self
            .write_queues
            .page_allowance(WriteQueueId::LeaderPages, now);
        if let Some(leader) = &mut self.leader {
            add_pages(write, leader.scheduler.next_page_writes(now, most));
        }
    }

    fn add_final_writes(&mut self, now: Time, write: &mut CompareAndSwap) {
        let intake_waits = self.job_cache.submission_batches().next().is_some();
        let most = self.write_queues.final_write_allowance(now, intake_waits);
        let Some(leader) = &mut self.leader else {
            return;
        };
        let dues: Vec<PendingWrite> = leader
            .scheduler
            .pending_writes()
            .take(most)
            .cloned()
            .collect();
        for due in dues {
            if write.changes.len() + 2 > most {
                break;
            }
            match due {
                PendingWrite::FinishJob(id) => {
                    // The mirror knows no more of it: it is over already.
                    let Some(open) = self.job_cache.get(id) else {
                        leader.scheduler.finish_refused(id);
                        continue;
                    };
                    write.expected.push(ExpectedRevision {
                        key: open_job_key(id),
                        version: open.version,
                    });
                    write.changes.push(Change::Delete {
                        key: open_job_key(id),
                    });
                    write.changes.push(Change::Put {
                        key: final_state_key(id),
                        value: final_state_value(JobState::Done),
                        lease: None,
                    });
                    self.write_queues
                        .final_writes_in_flight
                        .push(FinalWrite::FinishJob(id));
                }
                PendingWrite::UpdateClaim(machine) => {
                    let key = claim_key(&machine);
                    let value = leader.scheduler.claim_value(&machine);
                    let held = value.is_some();
                    write.changes.push(match value {
                        Some(value) => {
                            let version = Revision(0);
                            write.expected.push(ExpectedRevision {
                                key: key.clone(),
                                version,
                            });
                            Change::Put {
                                key,
                                value,
                                lease: None,
                            }
                        }
                        None => Change::Delete { key },
                    });
                    self.write_queues
                        .final_writes_in_flight
                        .push(FinalWrite::UpdateClaim(machine, held));
                }
                PendingWrite::RemoveKey(key) => {
                    write.changes.push(Change::Delete { key: key.clone() });
                    self.write_queues
                        .final_writes_in_flight
                        .push(FinalWrite::RemoveKey(key));
                }
            }
        }
    }

    /// Gives jobs of one page taken in together keys of their own, as many as the share allows. The page
    /// goes with the last of them: rewritten without the others it might be larger than the state
    /// service's limit by then, which was larger when it was written.
    fn add_submission_batch_writes(&mut self, now: Time, write: &mut CompareAndSwap) {
        let lanes = &mut self.write_queues;
        let most = lanes
            .submission_batches
            .change_tokens
            .available(now)
            .min(lanes.txn_ops);
        let dealt_with = |key: &String, version| {
            let done = lanes.handled_batch.as_ref();
            done.is_some_and(|(k, v)| k == key && *v == version)
        };
        let mut pages = self.job_cache.submission_batches();
        let Some((key, page)) = pages.find(|(key, page)| !dealt_with(key, page.version)) else {
            return;
        };
        let condition = |key: String, version| ExpectedRevision { key, version };
        let mut left = page.jobs.iter().filter(|job| {
            let id = job.spec.id;
            !self.write_queues.settled_jobs.contains(&id) && self.job_cache.get(id).is_none()
        });
        while write.changes.len() < most {
            let Some(job) = left.next() else {
                write.changes.push(Change::Delete { key: key.clone() });
                self.write_queues.handled_batch = Some((key.clone(), page.version));
                break;
            };
            let id = job.spec.id;
            write
                .expected
                .push(condition(open_job_key(id), Revision(0)));
            write
                .expected
                .push(condition(final_state_key(id), Revision(0)));
            write.changes.push(Change::Put {
                key: open_job_key(id),
                value: serde_json::json!(**job),
                lease: None,
            });
        }
        if write.changes.is_empty() {
            return;
        }
        write.expected.push(condition(key.clone(), page.version));
    }

    /// A write was larger than the state service takes, which it was not announced to be: its limits have
    /// fallen. What copies of the write have done is open, so this controller becomes a new member, for
    /// whom they are void, and begins with what it reads.
    fn write_too_large(&mut self, lane: WriteQueueId, now: Time) {
        if self.lower_limits() {
            let state = &self.settings.facts.state;
            self.write_queues = WriteQueues::new(state);
            self.partition.set_key_value_limits(state);
            self.leave_epoch(now);
        } else {
            tracing::error!(?lane, "a write of the least size is too large");
            self.write_queues
                .queue(lane)
                .timer
                .schedule_retry(now, KV_RETRY_MS);
        }
    }

    /// Reckons with half of the state service's limits; false if they are the least already.
    pub(super) fn lower_limits(&mut self) -> bool {
        let state = &mut self.settings.facts.state;
        if state.value_kb <= MIN_VALUE_KIB && state.txn_ops <= MIN_TRANSACTION_CHANGES {
            return false;
        }
        state.value_kb = (state.value_kb / 2.0).max(MIN_VALUE_KIB);
        state.txn_ops = (state.txn_ops / 2).max(MIN_TRANSACTION_CHANGES);
        tracing::warn!(
            value_kb = state.value_kb,
            txn_ops = state.txn_ops,
            "the state service's limits have fallen"
        );
        true
    }

    /// A write was answered, or not.
    pub(super) fn queued_write_answered(
        &mut self,
        (lane, number): (WriteQueueId, u64),
        now: Time,
        sent: Time,
        reply: KvResponse,
    ) {
        if reply == KvResponse::Refused {
            self.write_queues.write_refused(now);
        }
        let outcome = match reply {
            KvResponse::Committed(revision) => {
                self.membership.epoch_confirmed(sent);
                Outcome::Applied(Some(revision))
            }
            KvResponse::Conflict(failed) if failed.iter().any(|key| key == EPOCH) => {
                self.control_keys_timer.next = now;
                Outcome::Unclear
            }
            // Nobody else writes an owner's pages, the leader's pages or its claims in its epoch, or
            // deals with pages of jobs: a copy of this write was applied before.
            KvResponse::TooLarge => return self.write_too_large(lane, now),
            KvResponse::Conflict(failed) => {
                let own = |key: &String| is_submission_batch(key) || job_of_key(key).is_none();
                if failed.iter().any(own) {
                    Outcome::Applied(None)
                } else {
                    Outcome::Refuted(failed)
                }
            }
            _ => Outcome::Unclear,
        };
        let pace_ms = self.write_queues.write_interval_ms(lane, now);
        let line = self.write_queues.queue(lane);
        let clearly = !matches!(outcome, Outcome::Unclear);
        if !line.hedge.answered(number, clearly) {
            return;
        }
        let mut given = Vec::new();
        let wait_ms = match outcome {
            Outcome::Unclear => KV_RETRY_MS,
            _ => {
                given = line
                    .in_flight
                    .take()
                    .map_or(Vec::new(), |write| opened(&write));
                pace_ms
            }
        };
        line.timer.schedule_retry(now, wait_ms);
        match (lane, outcome) {
            (_, Outcome::Unclear) => {}
            (WriteQueueId::AttemptRecords, Outcome::Applied(revision)) => {
                self.partition.records_written(revision);
            }
            (WriteQueueId::LeaderPages, Outcome::Applied(revision)) => {
                if let Some(leader) = &mut self.leader {
                    leader.scheduler.page_writes_applied(revision);
                }
            }
            (WriteQueueId::FinalWrites, Outcome::Applied(_)) => self.final_writes_applied(now),
            (WriteQueueId::FinalWrites, Outcome::Refuted(failed)) => {
                // A user cancelled the job meanwhile, or a copy of this write was applied before:
                // the mirror will tell. The rest is tried again.
                let ending = std::mem::take(&mut self.write_queues.final_writes_in_flight);
                for end in ending {
                    if let (FinalWrite::FinishJob(id), Some(leader)) = (end, &mut self.leader) {
                        if failed.contains(&open_job_key(id)) {
                            leader.scheduler.finish_refused(id);
                        }
                    }
                }
            }
            // The mirror will tell, later.
            (WriteQueueId::SubmissionBatches, Outcome::Applied(_)) => {
                self.write_queues.settled_jobs.extend(given)
            }
            (WriteQueueId::SubmissionBatches, Outcome::Refuted(failed)) => {
                self.write_queues.handled_batch = None;
                self.write_queues
                    .settled_jobs
                    .extend(failed.iter().filter_map(|key| job_of_key(key)));
            }
            (lane, Outcome::Refuted(keys)) => {
                tracing::error!(?lane, ?keys, "a write of pages was refuted");
            }
        }
    }

    /// The ends under way are durable.
    fn final_writes_applied(&mut self, now: Time) {
        for end in std::mem::take(&mut self.write_queues.final_writes_in_flight) {
            let Some(leader) = &mut self.leader else {
                return;
            };
            match end {
                FinalWrite::FinishJob(id) => {
                    tracing::debug!(job = %id, "job done");
                    self.job_cache.remember_final(id, JobState::Done);
                    leader.scheduler.close_job(id, now);
                }
                FinalWrite::UpdateClaim(machine, held) => {
                    leader.scheduler.claim_written(&machine, held)
                }
                FinalWrite::RemoveKey(key) => leader.scheduler.key_removed(&key),
            }
        }
    }

    /// Reads the version of a page that was written at an unknown one.
    fn read_uncertain_page(&mut self, now: Time, actions: &mut Vec<Action>) {
        if !self.write_queues.page_version_timer.is_due(now) {
            return;
        }
        let of_leader = self
            .leader
            .iter()
            .flat_map(|l| l.scheduler.uncertain_pages());
        if let Some(key) = self
            .partition
            .uncertain_record_pages()
            .into_iter()
            .chain(of_leader)
            .next()
        {
            self.write_queues.page_version_timer.mark_sent(now, 0);
            let tag = KvPurpose::ReadPageVersion(self.membership.fencing_token(), key.clone());
            store(actions, tag, KvRequest::Get(key));
        }
    }

    /// A page's version was read, or not.
    pub(super) fn page_version_answered(&mut self, now: Time, key: &str, reply: KvResponse) {
        let version = match reply {
            KvResponse::Found(pair) => pair.version,
            KvResponse::Missing => Revision(0),
            _ => {
                return self
                    .write_queues
                    .page_version_timer
                    .schedule_retry(now, KV_RETRY_MS)
            }
        };
        self.write_queues.page_version_timer.schedule_retry(now, 0);
        self.partition.record_page_version_read(key, version);
        if let Some(leader) = &mut self.leader {
            leader.scheduler.page_version_read(key, version);
        }
    }

    /// Writes a cancellation.
    pub(super) fn write_cancellation(
        &mut self,
        job_request: JobRequest,
        write: CompareAndSwap,
        actions: &mut Vec<Action>,
    ) {
        self.write_queues
            .user_write_tokens
            .take(write.changes.len());
        store(
            actions,
            KvPurpose::CancelJob(job_request),
            KvRequest::CompareAndSwap(write),
        );
    }
}

/// A second copy of a write, which is given up when the first one is.
pub(super) fn hedge_request(tag: KvPurpose, write: &CompareAndSwap) -> Action {
    let deadline_ms = KV_DEADLINE_MS - KV_HEDGE_AFTER_MS;
    Action::CallKeyValueStore(tag, KvRequest::CompareAndSwap(write.clone()), deadline_ms)
}

/// The jobs that a transaction gives keys of their own.
fn opened(write: &CompareAndSwap) -> Vec<JobId> {
    let put = |change: &Change| matches!(change, Change::Put { .. });
    let puts = write.changes.iter().filter(|change| put(change));
    puts.filter_map(|change| job_of_key(change.key())).collect()
}

fn add_pages(write: &mut CompareAndSwap, pages: Vec<PageWrite>) {
    for page in pages {
        write.expected.push(page.condition);
        write.changes.push(page.change);
    }
}
