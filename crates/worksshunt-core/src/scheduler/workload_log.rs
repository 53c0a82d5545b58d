//! The regular log line about the leader's load.

use worksshunt_wire::peer::AttemptPhase;

use super::job_tasks::JobTasks;
use super::{MachineView, Scheduler};

/// Some machines, counted.
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
    /// Logs how many jobs, tasks, attempts and machines there are, and what is free.
    pub fn log_load(&self) {
        let usable = || self.machines().filter(|view| view.status.is_schedulable);
        let all = MachineTotals::of(usable());
        let on_demand = MachineTotals::of(usable().filter(|view| !view.status.is_spot));
        let waiting: u32 = self.jobs.values().map(JobTasks::waiting).sum();
        let stuck = self.jobs.values().filter(|tasks| tasks.is_stuck()).count();
        let in_phase = |phase| {
            let attempts = self.active_attempts.values();
            attempts.filter(|attempt| attempt.phase == phase).count()
        };
        tracing::debug!(
            jobs = self.jobs.len(), waiting, stuck,
            machines = all.machines, free_cpus = all.free_cpus,
            on_demand_machines = on_demand.machines, on_demand_free_cpus = on_demand.free_cpus,
            queued = in_phase(AttemptPhase::Queued), placed = in_phase(AttemptPhase::Placed),
            running = in_phase(AttemptPhase::Running), completed = in_phase(AttemptPhase::Completed),
            used_cpus = %self.quota, claims = self.claims.len(),
            "scheduler load"
        );
    }
}
