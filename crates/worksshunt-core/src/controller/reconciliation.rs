//! Reconciliation of the leader's scheduler with the open jobs in the store.
//!
//! The scheduler closes a job when its end is known to be in the store. If the store has the job open all the same, nobody
//! would work on it before the next epoch, so the job is opened again.

use worksshunt_wire::JobId;

use super::Controller;

impl Controller {
    /// Opens the jobs again that the scheduler has closed and the store has not.
    pub(super) fn reconcile_open_jobs(&mut self) {
        let Some(cached_at) = self.job_cache.revision() else {
            return;
        };
        for id in self.open_jobs_not_scheduled() {
            self.metrics.reconciled_jobs.inc();
            let known = self.job_cache.remove_final_state(id);
            tracing::error!(
                job = %id,
                epoch = %self.membership.fencing_token(),
                %cached_at,
                ?known,
                "job closed by the scheduler is open in the store, scheduled again"
            );
            if let (Some(leader), Some(open)) = (&mut self.leader, self.job_cache.get(id)) {
                leader.scheduler.open_job(id, &open.job);
            }
        }
    }

    /// Open jobs that the scheduler does not have, apart from those whose end the job cache has yet to see and those
    /// with attempts that may be on machines: of their tasks, others could run beside.
    fn open_jobs_not_scheduled(&self) -> Vec<JobId> {
        let Some(leader) = &self.leader else {
            return Vec::new();
        };
        let scheduler = &leader.scheduler;
        let open = self.job_cache.open_jobs().map(|(id, _)| *id);
        open.filter(|id| !scheduler.has_job(*id))
            .filter(|id| !self.job_cache.has_newer_final_state(*id))
            .filter(|id| !scheduler.has_attempts_of(*id))
            .collect()
    }
}
