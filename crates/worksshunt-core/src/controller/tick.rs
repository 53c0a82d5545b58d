//! The periodic tick: runs every timer that is due.

use crate::job_api::HttpResponse;
use crate::membership::MemberState;
use crate::time::{Budget, Now, Time};

use super::{Action, Controller};

/// Timer of the log summary of over-capacity placements.
pub(super) struct OverCapacitySummary {
    last_logged_at: Time,
    interval_ms: u64,
}

impl OverCapacitySummary {
    /// Creates a timer for one summary per `interval_ms`.
    pub fn new(interval_ms: u64) -> OverCapacitySummary {
        OverCapacitySummary {
            last_logged_at: Time::default(),
            interval_ms,
        }
    }

    /// Returns whether a summary is due, and if so starts the next interval.
    fn start_interval_if_due(&mut self, now: Time) -> bool {
        let is_due = now.since(self.last_logged_at) >= self.interval_ms;
        if is_due {
            self.last_logged_at = now;
        }
        is_due
    }
}

impl Controller {
    pub(super) fn tick(&mut self, now: Now, budget: &Budget, actions: &mut Vec<Action>) {
        let steady = now.steady;
        self.advance_membership(steady, actions);
        self.advance_job_cache(steady, actions);
        self.query_peer_health(steady, actions);
        self.expire_job_requests(steady, actions);
        self.refresh_catalog(steady, actions);
        match self.membership.state() {
            MemberState::Loading if self.epoch_load.is_retry_due(steady) => {
                self.request_load_step(steady, actions);
            }
            MemberState::Serving => {
                if self.membership.may_act(steady) {
                    self.partition.tick(steady);
                    self.update_readiness(steady);
                }
                self.run_leader_duties(now, budget, actions);
            }
            _ => {}
        }
        self.log_over_capacity_summary(steady);
    }

    /// Rejects submissions that have waited too long, and all pending requests while the key-value store is
    /// unresponsive.
    fn expire_job_requests(&mut self, now: Time, actions: &mut Vec<Action>) {
        for request in self.job_api.queues.take_overdue_submissions(now) {
            let response = HttpResponse::retry_later("not accepted yet");
            actions.push(Action::Respond(request, response));
        }
        if self.store_health.is_unresponsive(now) {
            self.fail_job_requests(actions);
        }
    }

    fn log_over_capacity_summary(&mut self, now: Time) {
        if self.over_capacity_summary.start_interval_if_due(now) {
            let summary = self.partition.take_over_capacity_summary();
            if summary != "none" {
                tracing::info!(summary, "over-capacity placements since the last summary");
            }
        }
    }
}
