//! Reads of the open jobs into the job cache: the initial listing, then watches of their changes.

use worksshunt_wire::key_value::WatchResponse;
use worksshunt_wire::settings::Workers;

use crate::constants::key_value::{
    KV_REQUEST_TIMEOUT_MS, KV_RETRY_DELAY_MS, WATCH_MAX_WAIT_MS, WATCH_PAUSE_MS,
};
use crate::constants::leases::{EPOCH_LEASE_MS, WORKER_LEASE_MARGIN_MS};
use crate::job_api::HttpResponse;
use crate::jobs::{JobCacheChange, OPEN_JOBS_PREFIX};
use crate::machines::max_worker_lease_ms;
use crate::time::{PeriodicTimer, Time};

use super::key_value_responses::RequestTimes;
use super::{call_store, Action, Controller, KvPurpose, KvRequest, KvResponse};

/// Timers of the reads of the open jobs.
#[derive(Debug)]
pub(super) struct JobCacheReads {
    list_timer: PeriodicTimer,
    watch_timer: PeriodicTimer,
    /// Maximum wait of a watch for the first change, in milliseconds.
    watch_wait_ms: u64,
}

impl JobCacheReads {
    /// Creates timers that are due, with a watch wait that keeps the cache within `cancellation_staleness_ms`.
    pub fn new(cancellation_staleness_ms: u64) -> JobCacheReads {
        JobCacheReads {
            list_timer: PeriodicTimer::default(),
            watch_timer: PeriodicTimer::default(),
            watch_wait_ms: watch_wait_ms(cancellation_staleness_ms),
        }
    }
}

impl Controller {
    /// Lists the open jobs if the cache is not loaded or outdated, and otherwise watches their changes.
    pub(super) fn advance_job_cache(&mut self, now: Time, actions: &mut Vec<Action>) {
        let reads = &mut self.job_cache_reads;
        match self.job_cache.revision() {
            None if reads.list_timer.is_due(now) => {
                reads.list_timer.mark_sent(now, KV_RETRY_DELAY_MS);
                let request = KvRequest::List(OPEN_JOBS_PREFIX.to_owned());
                call_store(actions, KvPurpose::ListOpenJobs, request);
            }
            Some(since) if reads.watch_timer.is_due(now) => {
                reads.watch_timer.mark_sent(now, 0);
                // A watch confirms that nothing has changed only at the end of its wait. If the cache could become too
                // old to act on until then, for example after an outage, the watch does not wait.
                let max_response_ms = reads.watch_wait_ms + KV_REQUEST_TIMEOUT_MS;
                let wait_ms = if self.membership.cancellations_fresh_for_ms(now) > max_response_ms {
                    reads.watch_wait_ms
                } else {
                    0
                };
                actions.push(Action::CallKeyValueStore {
                    purpose: KvPurpose::WatchOpenJobs,
                    request: KvRequest::Watch {
                        prefix: OPEN_JOBS_PREFIX.to_owned(),
                        since,
                        wait_ms,
                    },
                    timeout_ms: wait_ms + KV_REQUEST_TIMEOUT_MS,
                });
            }
            _ => {}
        }
    }

    /// Processes the response to the listing of the open jobs.
    pub(super) fn process_open_jobs_listing(&mut self, times: RequestTimes, response: KvResponse) {
        self.job_cache_reads
            .list_timer
            .schedule_next(times.answered_at, KV_RETRY_DELAY_MS);
        if let KvResponse::Listing(listing) = response {
            if !self.job_cache.is_loaded() {
                self.membership.record_open_jobs_read(times.sent_at);
                let changes = self.job_cache.load(&listing);
                self.apply_job_changes(times.answered_at, changes);
            }
        }
    }

    /// Processes the response to the watch of the open jobs.
    pub(super) fn process_watch_response(
        &mut self,
        times: RequestTimes,
        response: KvResponse,
        actions: &mut Vec<Action>,
    ) {
        let timer = &mut self.job_cache_reads.watch_timer;
        match response {
            KvResponse::WatchResponse(changes) => {
                timer.schedule_next(times.answered_at, WATCH_PAUSE_MS);
                self.apply_watch_response(times, &changes);
            }
            KvResponse::RevisionCompacted => {
                timer.schedule_next(times.answered_at, 0);
                self.reload_job_cache(actions);
            }
            _ => timer.schedule_next(times.answered_at, KV_RETRY_DELAY_MS),
        }
    }

    /// Applies changes of the open jobs to the job cache, the partition and the scheduler.
    pub(super) fn apply_watch_response(&mut self, times: RequestTimes, changes: &WatchResponse) {
        if self.job_cache.is_loaded() {
            self.membership.record_open_jobs_read(times.sent_at);
        }
        let changes = self.job_cache.apply_changes(changes);
        self.apply_job_changes(times.answered_at, changes);
    }

    /// Applies changes of the job cache to the partition and the scheduler.
    pub(super) fn apply_job_changes(&mut self, now: Time, changes: Vec<JobCacheChange>) {
        for change in changes {
            match change {
                JobCacheChange::Opened(id) => {
                    if let (Some(leader), Some(open_job)) =
                        (&mut self.leader, self.job_cache.get(id))
                    {
                        leader.scheduler.open_job(id, &open_job.job);
                    }
                }
                JobCacheChange::Closed(id) => {
                    self.partition.stop_job(id, now);
                    if let Some(leader) = &mut self.leader {
                        leader.scheduler.close_job(id, now);
                    }
                }
            }
        }
    }

    /// Marks the job cache as outdated, so that all open jobs are listed again. Called when the store has compacted the
    /// changes after the cached revision.
    pub(super) fn reload_job_cache(&mut self, actions: &mut Vec<Action>) {
        self.job_cache.mark_outdated();
        for job_request in self.job_api.queues.finish_read() {
            let response = HttpResponse::retry_later("reading jobs again");
            actions.push(Action::Respond(job_request.request_id, response));
        }
    }
}

/// Part of `cancel_s`, the maximum duration of a cancellation, that remains after a full worker lease and its margin,
/// in milliseconds; `None` if the lease and its margin are longer.
fn cancellation_slack_ms(workers: &Workers) -> Option<u64> {
    let cancel_ms = (workers.cancel_s * 1_000.0) as u64;
    cancel_ms.checked_sub(max_worker_lease_ms(workers) + WORKER_LEASE_MARGIN_MS)
}

/// Maximum age of the last read of the open jobs at which a controller may still act, in milliseconds.
///
/// A task of a cancelled job may run until the controller of its machine learns of the cancellation, and then until the
/// worker lease expires. Both together must not exceed `cancel_s`. If `cancel_s` leaves less than an epoch lease, the
/// result is an epoch lease, and [`warn_of_short_cancellation_time`] logs a warning.
pub(super) fn cancellation_staleness_ms(workers: &Workers) -> u64 {
    cancellation_slack_ms(workers).map_or(EPOCH_LEASE_MS, |slack| slack.max(EPOCH_LEASE_MS))
}

/// Warns if `cancel_s` is too short for every acting controller to read a cancellation and for worker leases to expire.
pub(super) fn warn_of_short_cancellation_time(workers: &Workers) {
    if cancellation_slack_ms(workers).is_none_or(|slack| slack < EPOCH_LEASE_MS) {
        tracing::warn!(
            "cancel_s is too short for lease_s; cancelled tasks may run longer than cancel_s"
        );
    }
}

/// Maximum wait of a watch of the open jobs, in milliseconds: two watches and two deadlines fit into the staleness.
fn watch_wait_ms(cancellation_staleness_ms: u64) -> u64 {
    (cancellation_staleness_ms.saturating_sub(2 * KV_REQUEST_TIMEOUT_MS) / 2)
        .clamp(KV_RETRY_DELAY_MS, WATCH_MAX_WAIT_MS)
}
