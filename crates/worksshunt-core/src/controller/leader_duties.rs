//! Periodic duties of the leader: scheduling rounds, reading the machine list, and scaling the fleet.

use worksshunt_wire::settings::CloudLimits;

use crate::constants::fleet::{CLOUD_REQUEST_SHARE, MACHINE_LIST_PAGE_SIZE};
use crate::constants::timers::{
    FLEET_PLANNING_INTERVAL_MS, MACHINE_LIST_INTERVAL_MS, WAITING_TASKS_CHECK_INTERVAL_MS,
};
use crate::fleet::CloudRequest;
use crate::time::{Budget, Now, PeriodicTimer, Time, TokenBucket};

use super::{Action, Controller, Leader};

/// Timers of the leader's duties, and the rate limit of its requests to the cloud.
#[derive(Debug)]
pub(super) struct LeaderDuties {
    /// Triggers reads of the cloud's machine list.
    pub machine_list_timer: PeriodicTimer,
    /// Triggers scaling of the fleet.
    pub fleet_timer: PeriodicTimer,
    /// Triggers claims and preemptions for waiting tasks.
    waiting_tasks_timer: PeriodicTimer,
    cloud_request_tokens: TokenBucket,
}

impl LeaderDuties {
    /// Creates timers that are all due. Requests to the cloud are limited to [`CLOUD_REQUEST_SHARE`] of its rate limit.
    pub fn new(cloud: &CloudLimits) -> LeaderDuties {
        let rate = cloud.requests_per_s * CLOUD_REQUEST_SHARE;
        LeaderDuties {
            machine_list_timer: PeriodicTimer::default(),
            fleet_timer: PeriodicTimer::default(),
            waiting_tasks_timer: PeriodicTimer::default(),
            cloud_request_tokens: TokenBucket::new(rate, rate.max(1.0)),
        }
    }

    /// Makes all timers due at the start of an epoch. The rate limit carries over, since the cloud counts across
    /// epochs.
    pub fn begin_epoch(&mut self) {
        self.machine_list_timer = PeriodicTimer::default();
        self.fleet_timer = PeriodicTimer::default();
        self.waiting_tasks_timer = PeriodicTimer::default();
    }
}

impl Controller {
    pub(super) fn run_leader_duties(
        &mut self,
        now: Now,
        budget: &Budget,
        actions: &mut Vec<Action>,
    ) {
        if !self.membership.may_act(now.steady)
            || self.leader.is_none()
            || self.catalog.current.is_none()
        {
            return;
        }
        self.review_waiting_tasks(now, budget);
        self.run_scheduling_round(now, budget);
        self.request_machine_list(now.steady, actions);
        self.scale_fleet(now, actions);
    }

    /// Claims machines for waiting tasks and preempts others, once all partitions have reported.
    fn review_waiting_tasks(&mut self, now: Now, budget: &Budget) {
        if self.leader_duties.waiting_tasks_timer.is_due(now.steady) {
            self.reconcile_open_jobs();
        }
        let is_store_unresponsive = self.store_health.is_unresponsive(now.steady);
        let Some(leader) = &mut self.leader else {
            return;
        };
        let scheduler = &mut leader.scheduler;
        let timer = &mut self.leader_duties.waiting_tasks_timer;
        let is_due = timer.is_due(now.steady) || scheduler.has_unschedulable_replica();
        if !is_due || !scheduler.have_all_partitions_reported() {
            return;
        }
        timer.next_at = now.steady + WAITING_TASKS_CHECK_INTERVAL_MS;
        scheduler.record_spot_machines(now.steady);
        scheduler.reassign_unsent_attempts(now.steady);
        scheduler.claim_machines(now.steady);
        // While no attempt records can be written, nothing can be launched on the machines that preemption frees.
        if !is_store_unresponsive {
            scheduler.preempt(now, budget);
        }
        if tracing::enabled!(tracing::Level::DEBUG) {
            scheduler.log_load();
        }
        self.write_queues
            .warn_of_final_write_backlog(scheduler.pending_writes().count());
        // Some decisions depend on time alone: jobs whose retry delay has passed, or that have waited too long.
        scheduler.request_round();
    }

    fn run_scheduling_round(&mut self, now: Now, budget: &Budget) {
        let Some(leader) = &mut self.leader else {
            return;
        };
        leader.scheduler.run_round(now, budget);
        if leader.scheduler.are_attempt_numbers_exhausted() {
            self.membership.mark_attempts_exhausted();
        }
    }

    fn request_machine_list(&mut self, now: Time, actions: &mut Vec<Action>) {
        let Some(leader) = &self.leader else {
            return;
        };
        let duties = &mut self.leader_duties;
        if duties.machine_list_timer.is_due(now) && duties.cloud_request_tokens.available(now) > 0 {
            let pages = 1 + leader.fleet.machine_count() / MACHINE_LIST_PAGE_SIZE;
            duties.cloud_request_tokens.take(pages);
            duties
                .machine_list_timer
                .mark_sent(now, MACHINE_LIST_INTERVAL_MS);
            actions.push(Action::CallCloud(CloudRequest::ListMachines));
        }
    }

    /// Scales the fleet out and in according to the demand and its forecast.
    fn scale_fleet(&mut self, now: Now, actions: &mut Vec<Action>) {
        let steady = now.steady;
        let duties = &mut self.leader_duties;
        let may_call_cloud = duties.cloud_request_tokens.available(steady) > 0;
        let is_due = duties.fleet_timer.is_due(steady) && may_call_cloud;
        let has_all_reports = |leader: &Leader| leader.scheduler.have_all_partitions_reported();
        if !is_due || !self.leader.as_ref().is_some_and(has_all_reports) {
            return;
        }
        duties.fleet_timer.next_at = steady + FLEET_PLANNING_INTERVAL_MS;
        self.store_catalog(actions);
        let (Some(leader), Some(catalog)) = (&mut self.leader, &self.catalog.current) else {
            return;
        };
        let (fleet, scheduler) = (&mut leader.fleet, &mut leader.scheduler);
        fleet.update_from_partitions(steady, scheduler.machines());
        let demand = scheduler.demand(now);
        let forecast = scheduler.forecast(now, catalog.shortest_boot_s());
        let machines = scheduler.machines();
        let requests = fleet.plan_requests(steady, catalog, machines, &demand, &forecast);
        scheduler.set_draining(fleet.draining_machines());
        for request in requests {
            self.leader_duties.cloud_request_tokens.take(1);
            actions.push(Action::CallCloud(request));
        }
    }
}
