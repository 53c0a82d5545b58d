//! The leader's duties: decision rounds, the machine list, and scaling the fleet.

use worksshunt_wire::settings::CloudLimits;

use crate::constants::fleet::{CLOUD_REQUEST_SHARE, MACHINE_LIST_PAGE};
use crate::constants::timers::{
    FLEET_INTERVAL_MS, MACHINE_LIST_INTERVAL_MS, WAITING_TASKS_INTERVAL_MS,
};
use crate::fleet::CloudRequest;
use crate::time::{Budget, Now, Periodic, Time, TokenBucket};

use super::{Action, Controller, Leader};

/// When the leader's duties are due, and how many requests to the cloud it may make.
#[derive(Debug)]
pub(super) struct LeaderDuties {
    /// Listing the machines in the cloud.
    pub machine_list_timer: Periodic,
    /// Scaling the fleet.
    pub fleet_timer: Periodic,
    /// Reviewing the tasks that wait for machines.
    waiting_tasks_timer: Periodic,
    cloud_request_tokens: TokenBucket,
}

impl LeaderDuties {
    /// Everything is due; requests to the cloud keep to their share of its limit.
    pub fn new(cloud: &CloudLimits) -> LeaderDuties {
        let rate = cloud.rps * CLOUD_REQUEST_SHARE;
        LeaderDuties {
            machine_list_timer: Periodic::default(),
            fleet_timer: Periodic::default(),
            waiting_tasks_timer: Periodic::default(),
            cloud_request_tokens: TokenBucket::new(rate, rate.max(1.0)),
        }
    }

    /// Everything is due anew in an epoch. The cloud's rate limit applies across epochs.
    pub fn begin_epoch(&mut self) {
        self.machine_list_timer = Periodic::default();
        self.fleet_timer = Periodic::default();
        self.waiting_tasks_timer = Periodic::default();
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
        self.run_decision_round(now, budget);
        self.request_machine_list(now.steady, actions);
        self.scale_fleet(now, actions);
    }

    /// Claims and frees machines for tasks that wait, once all partitions have reported.
    fn review_waiting_tasks(&mut self, now: Now, budget: &Budget) {
        if self.leader_duties.waiting_tasks_timer.is_due(now.steady) {
            self.reconcile_open_jobs();
        }
        let store_silent = self.store_health.is_silent(now.steady);
        let Some(leader) = &mut self.leader else {
            return;
        };
        let scheduler = &mut leader.scheduler;
        let timer = &mut self.leader_duties.waiting_tasks_timer;
        let is_due = timer.is_due(now.steady) || scheduler.has_unschedulable_replica();
        if !is_due || !scheduler.have_all_partitions_reported() {
            return;
        }
        timer.next = now.steady + WAITING_TASKS_INTERVAL_MS;
        scheduler.record_spot_machines(now.steady);
        scheduler.reassign_unsent_attempts(now.steady);
        scheduler.claim_machines(now.steady);
        // Nothing can be launched in the place of what is stopped before it can be recorded.
        if !store_silent {
            scheduler.preempt(now, budget);
        }
        if tracing::enabled!(tracing::Level::DEBUG) {
            scheduler.log_load();
        }
        self.write_queues
            .warn_of_final_write_backlog(scheduler.pending_writes().count());
        // What time alone brings about: jobs that may be tried again, or have waited too long.
        scheduler.request_round();
    }

    fn run_decision_round(&mut self, now: Now, budget: &Budget) {
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
            let pages = 1 + leader.fleet.size() / MACHINE_LIST_PAGE;
            duties.cloud_request_tokens.take(pages);
            duties
                .machine_list_timer
                .mark_sent(now, MACHINE_LIST_INTERVAL_MS);
            actions.push(Action::CallCloud(CloudRequest::ListMachines));
        }
    }

    /// Scales the fleet out and in, as the demand and its forecast ask for.
    fn scale_fleet(&mut self, now: Now, actions: &mut Vec<Action>) {
        let steady = now.steady;
        let duties = &mut self.leader_duties;
        let may_call_cloud = duties.cloud_request_tokens.available(steady) > 0;
        let is_due = duties.fleet_timer.is_due(steady) && may_call_cloud;
        let reported = |leader: &Leader| leader.scheduler.have_all_partitions_reported();
        if !is_due || !self.leader.as_ref().is_some_and(reported) {
            return;
        }
        duties.fleet_timer.next = steady + FLEET_INTERVAL_MS;
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
        scheduler.set_draining(fleet.draining());
        for request in requests {
            self.leader_duties.cloud_request_tokens.take(1);
            actions.push(Action::CallCloud(request));
        }
    }
}
