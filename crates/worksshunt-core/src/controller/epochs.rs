//! What reads of the open jobs and of the control keys bring, and what a new epoch calls for.

use worksshunt_wire::key_value::{Listing, WatchResponse};

use crate::job_api::HttpResponse;
use crate::jobs::JobCacheChange;
use crate::membership::{MemberState, MembershipAction};
use crate::time::{Periodic, Time};

use super::{store, Action, Controller, KvPurpose, KvRequest};

impl Controller {
    /// Takes in an answer about the open jobs to a request sent at `sent`.
    pub(super) fn open_jobs_changed(&mut self, now: Time, sent: Time, changes: &WatchResponse) {
        if self.job_cache.is_loaded() {
            self.membership.open_jobs_read(sent);
        }
        let changes = self.job_cache.apply_changes(changes);
        self.apply_job_changes(now, changes);
    }

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

    pub(super) fn reload_job_cache(&mut self, actions: &mut Vec<Action>) {
        self.job_cache.mark_outdated();
        for job_request in self.job_api.read_answered() {
            actions.push(Action::Respond(
                job_request.request_id,
                HttpResponse::retry_later("reading jobs again"),
            ));
        }
    }

    pub(super) fn process_control_keys(
        &mut self,
        now: Time,
        sent: Time,
        listing: &Listing,
        actions: &mut Vec<Action>,
    ) {
        match self.membership.process_control_keys(sent, listing) {
            MembershipAction::Unchanged => {}
            MembershipAction::MemberKeyGone => {
                tracing::info!("the member key is gone");
                self.leave_epoch(now);
            }
            MembershipAction::NewEpoch => {
                self.enter_epoch(now, actions);
            }
            MembershipAction::Propose(write) => {
                if self.proposal_timer.is_due(now) {
                    self.proposal_timer.mark_sent(now, 0);
                    store(
                        actions,
                        KvPurpose::ProposeEpoch,
                        KvRequest::CompareAndSwap(write),
                    );
                }
            }
        }
    }

    pub(super) fn leave_epoch(&mut self, now: Time) {
        self.membership.lease_lost();
        self.leader = None;
        self.drop_partition(now);
    }

    fn enter_epoch(&mut self, now: Time, actions: &mut Vec<Action>) {
        let fleet = self.leader.take().map(|leader| leader.fleet);
        self.epoch_load = self.epoch_load.restarted(fleet);
        self.load_retry = Periodic::default();
        self.leader_answered_at = now;
        let owners = self
            .membership
            .epoch()
            .map_or(0, |epoch| epoch.partition_owners().len());
        self.write_queues.begin_epoch(owners);
        self.sync_timer = Periodic::default();
        self.machine_list_timer = Periodic::default();
        self.fleet_timer = Periodic::default();
        self.waiting_tasks_timer = Periodic::default();
        if self.membership.state() == MemberState::Loading {
            self.request_load_step(now, actions);
        } else {
            self.drop_partition(now);
        }
    }

    fn drop_partition(&mut self, now: Time) {
        self.partition.clear(now);
        self.partition_epoch = None;
    }
}
