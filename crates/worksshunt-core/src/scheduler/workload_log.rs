//! The periodic log message about the leader's load.

use worksshunt_wire::peer::AttemptPhase;

use super::job_tasks::JobTasks;
use super::{MachineView, Scheduler};

/// Count and total free processors of some machines.
#[derive(Default)]
struct MachineTotals {
    machines: usize,
    free_cpus: f64,
}

impl MachineTotals {
    fn of<'a>(views: impl Iterator<Item = &'a MachineView>) -> MachineTotals {
        views.fold(MachineTotals::default(), |totals, view| MachineTotals {
            machines: totals.machines + 1,
            free_cpus: totals.free_cpus + view.free.cpus,
        })
    }
}

impl Scheduler {
    /// Logs counts of jobs, tasks, attempts and machines, and the free processors.
    pub fn log_load(&self) {
        let schedulable = || self.machines().filter(|view| view.status.is_schedulable);
        let all = MachineTotals::of(schedulable());
        let on_demand = MachineTotals::of(schedulable().filter(|view| !view.status.is_spot));
        let waiting_tasks: u32 = self.open_jobs.values().map(JobTasks::waiting_tasks).sum();
        let unschedulable_jobs = self
            .open_jobs
            .values()
            .filter(|tasks| tasks.is_unschedulable())
            .count();
        let in_phase = |phase| {
            let attempts = self.active_attempts.values();
            attempts.filter(|attempt| attempt.phase == phase).count()
        };
        tracing::debug!(
            open_jobs = self.open_jobs.len(), waiting_tasks, unschedulable_jobs,
            schedulable_machines = all.machines, free_cpus = all.free_cpus,
            on_demand_machines = on_demand.machines, on_demand_free_cpus = on_demand.free_cpus,
            queued_attempts = in_phase(AttemptPhase::Queued), placed_attempts = in_phase(AttemptPhase::Placed),
            running_attempts = in_phase(AttemptPhase::Running), completed_attempts = in_phase(AttemptPhase::Completed),
            used_cpus_by_team = %self.quota, claims = self.claims.len(),
            "scheduler load"
        );
    }
}
