//! Reads of the open jobs into the job cache: the first listing, and the watch that follows the changes.

use worksshunt_wire::key_value::WatchResponse;
use worksshunt_wire::settings::Workers;

use crate::constants::key_value::{
    KV_REQUEST_TIMEOUT_MS, KV_RETRY_DELAY_MS, WATCH_MAX_WAIT_MS, WATCH_PAUSE_MS,
};
use crate::constants::leases::{EPOCH_LEASE_MS, WORKER_LEASE_MARGIN_MS};
use crate::job_api::HttpResponse;
use crate::jobs::{JobCacheChange, OPEN_JOBS_PREFIX};
use crate::machines::lease_bound_ms;
use crate::time::{PeriodicTimer, Time};

use super::key_value_responses::RequestTimes;
use super::{call_store, Action, Controller, KvPurpose, KvRequest, KvResponse};

/// When the next reads of the open jobs are due.
#[derive(Debug)]
pub(super) struct JobCacheReads {
    list_timer: PeriodicTimer,
    watch_timer: PeriodicTimer,
    /// How long a watch waits for the first change.
    watch_wait_ms: u64,
}

impl JobCacheReads {
    /// Reads that keep cancellations within the staleness allowed.
    pub fn new(cancellation_staleness_ms: u64) -> JobCacheReads {
        JobCacheReads {
            list_timer: PeriodicTimer::default(),
            watch_timer: PeriodicTimer::default(),
            watch_wait_ms: watch_wait_ms(cancellation_staleness_ms),
        }
    }
}

impl Controller {
    /// Lists the open jobs if the cache is empty or outdated, and otherwise watches their changes.
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
                // After an outage, for instance, what is known is old: a watch would show only after its wait
                // that nothing has changed.
                let longest_wait_ms = reads.watch_wait_ms + KV_REQUEST_TIMEOUT_MS;
                let wait_ms = if self.membership.cancellations_fresh_for_ms(now) > longest_wait_ms {
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
                    deadline_ms: wait_ms + KV_REQUEST_TIMEOUT_MS,
                });
            }
            _ => {}
        }
    }

    /// The listing of the open jobs was answered, or not.
    pub(super) fn open_jobs_answered(&mut self, times: RequestTimes, response: KvResponse) {
        self.job_cache_reads
            .list_timer
            .schedule_next(times.answered_at, KV_RETRY_DELAY_MS);
        if let KvResponse::Listing(listing) = response {
            if !self.job_cache.is_loaded() {
                self.membership.open_jobs_read(times.sent_at);
                let changes = self.job_cache.load(&listing);
                self.apply_job_changes(times.answered_at, changes);
            }
        }
    }

    /// The watch of the open jobs was answered, or not.
    pub(super) fn watch_answered(
        &mut self,
        times: RequestTimes,
        response: KvResponse,
        actions: &mut Vec<Action>,
    ) {
        let timer = &mut self.job_cache_reads.watch_timer;
        match response {
            KvResponse::WatchResponse(changes) => {
                timer.schedule_next(times.answered_at, WATCH_PAUSE_MS);
                self.open_jobs_changed(times, &changes);
            }
            KvResponse::RevisionCompacted => {
                timer.schedule_next(times.answered_at, 0);
                self.reload_job_cache(actions);
            }
            _ => timer.schedule_next(times.answered_at, KV_RETRY_DELAY_MS),
        }
    }

    /// Applies changes of the open jobs.
    pub(super) fn open_jobs_changed(&mut self, times: RequestTimes, changes: &WatchResponse) {
        if self.job_cache.is_loaded() {
            self.membership.open_jobs_read(times.sent_at);
        }
        let changes = self.job_cache.apply_changes(changes);
        self.apply_job_changes(times.answered_at, changes);
    }

    /// Has partition and scheduler follow what has changed in the job cache.
    pub(super) fn apply_job_changes(&mut self, now: Time, changes: Vec<JobCacheChange>) {
        for change in changes {
            match change {
                JobCacheChange::Opened(id) => {
                    if let (Some(leader), Some(open)) = (&mut self.leader, self.job_cache.get(id)) {
                        leader.scheduler.open_job(id, &open.job);
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

    /// The changes since the cached revision are no longer kept: all open jobs are listed again.
    pub(super) fn reload_job_cache(&mut self, actions: &mut Vec<Action>) {
        self.job_cache.mark_outdated();
        for job_request in self.job_api.requests.read_answered() {
            let response = HttpResponse::retry_later("reading jobs again");
            actions.push(Action::Respond(job_request.request_id, response));
        }
    }
}

/// What is left of the time a cancellation may take after the worker lease that was renewed last, ms; none if the
/// lease takes more than all of it.
fn cancellation_slack_ms(workers: &Workers) -> Option<u64> {
    let cancel_ms = (workers.cancel_s * 1_000.0) as u64;
    cancel_ms.checked_sub(lease_bound_ms(workers) + WORKER_LEASE_MARGIN_MS)
}

/// How long a controller may act on what it last read of the open jobs, ms. A task of a job whose cancellation
/// was confirmed elsewhere since may run as long, and then as long as the lease that was renewed last; both
/// together have to fit into the time a cancellation may take. Where the worker lease leaves less than an epoch
/// lease, an epoch lease is taken, and a warning is logged ([`warn_of_short_cancellation_time`]).
pub(super) fn cancellation_staleness_ms(workers: &Workers) -> u64 {
    cancellation_slack_ms(workers).map_or(EPOCH_LEASE_MS, |slack| slack.max(EPOCH_LEASE_MS))
}

/// Warns if the worker lease does not leave the time in which every controller that acts has read a cancellation.
pub(super) fn warn_of_short_cancellation_time(workers: &Workers) {
    if cancellation_slack_ms(workers).is_none_or(|slack| slack < EPOCH_LEASE_MS) {
        tracing::warn!("cancel_s too short for lease_s: cancelled tasks may run longer");
    }
}

/// How long a watch of the open jobs waits for a change, ms.
fn watch_wait_ms(cancellation_staleness_ms: u64) -> u64 {
    (cancellation_staleness_ms.saturating_sub(2 * KV_REQUEST_TIMEOUT_MS) / 2)
        .clamp(KV_RETRY_DELAY_MS, WATCH_MAX_WAIT_MS)
}
