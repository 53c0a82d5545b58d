//! Reconciliation of the leader's scheduler with the open jobs in the store.
//!
//! The scheduler closes a job once its final state is known to be stored. If the job is nevertheless open in the
//! store, no tasks of it would run until the next epoch, so it is opened again in the scheduler.

use worksshunt_wire::JobId;

use super::Controller;

impl Controller {
    /// Opens jobs again in the scheduler that are open in the store and missing from the scheduler.
    pub(super) fn reconcile_open_jobs(&mut self) {
        let Some(cache_revision) = self.job_cache.revision() else {
            return;
        };
        for id in self.unscheduled_open_jobs() {
            self.metrics.reconciled_jobs.inc();
            let removed_final_state = self.job_cache.remove_final_state(id);
            tracing::error!(
                job = %id,
                epoch = %self.membership.epoch_number(),
                %cache_revision,
                ?removed_final_state,
                "job closed by the scheduler is still open in the store; scheduling it again"
            );
            if let (Some(leader), Some(open_job)) = (&mut self.leader, self.job_cache.get(id)) {
                leader.scheduler.open_job(id, &open_job.job);
            }
        }
    }

    /// Open jobs in the job cache that are missing from the scheduler. Excludes jobs that were closed after the last
    /// read of the cache, and jobs with attempts that may be on machines, since a second attempt could run beside
    /// them.
    fn unscheduled_open_jobs(&self) -> Vec<JobId> {
        let Some(leader) = &self.leader else {
            return Vec::new();
        };
        let scheduler = &leader.scheduler;
        let open_ids = self.job_cache.open_jobs().map(|(id, _)| *id);
        open_ids
            .filter(|id| !scheduler.has_job(*id))
            .filter(|id| !self.job_cache.has_newer_final_state(*id))
            .filter(|id| !scheduler.has_attempts_of(*id))
            .collect()
    }
}
