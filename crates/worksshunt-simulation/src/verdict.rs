//! The cluster's regular inspections of itself, and the verdict at the end of a simulated day.

use std::collections::BTreeMap;

use worksshunt_wire::user::{JobKind, JobSpec};
use worksshunt_wire::worker::TaskState;
use worksshunt_wire::{JobId, MachineId};

use crate::events::SimulationEvent;
use crate::invariants::{FreeCapacity, WaitingCheck};
use crate::job_audit::JobAudit;
use crate::worker::{Task, Worker};
use crate::{Cluster, Failure, Faults, CONTROLLERS, INSPECTION_INTERVAL_MS, MACHINE_CPUS};

/// Interval of the checks for jobs that wait beside free capacity, ms.
const WAITING_CHECK_INTERVAL_MS: u64 = 1_000;
/// How long tasks run once the faults of a day are over, ms.
const SETTLING_TASK_RUN_MS: u64 = 5_000;
/// Within what time all jobs of a day are done once its faults are over, ms.
const SETTLING_LIMIT_MS: u64 = 300_000;

impl Cluster {
    /// Judges what is on machines, wakes watches, and delivers what was kept for a new leader.
    pub(crate) fn inspect(&mut self) {
        let next_at = self.now + INSPECTION_INTERVAL_MS;
        self.schedule_at(next_at, SimulationEvent::Inspect);
        self.renew_leases_after_outage();
        self.wake_watches();
        self.deliver_copies_to_next_leader();
        let mut invariants = std::mem::take(&mut self.invariants);
        if invariants.any_cancelled() {
            invariants.check_cancelled(self.now, &self.observed_tasks());
        }
        if self.now.is_multiple_of(WAITING_CHECK_INTERVAL_MS) {
            let free_capacity = self.free_capacity(&invariants.jobs);
            invariants.check_waiting(&WaitingCheck {
                now: self.now,
                is_undisturbed: self.faults.none() && self.controllers.are_all_active(),
                audit: &JobAudit::new(self.now, &self.observed_tasks()),
                free_capacity: &free_capacity,
                failing_jobs: &self.faults.failing_jobs,
            });
        }
        self.invariants = invariants;
    }

    /// Free capacity of machines that no fault concerns, given the specs of all jobs.
    fn free_capacity(&self, jobs: &BTreeMap<JobId, JobSpec>) -> Vec<FreeCapacity<'_>> {
        let is_service = |spec: &JobSpec| spec.kind == JobKind::Service;
        let any_service = jobs.values().any(is_service);
        let workers = self.workers.iter();
        workers
            .filter(|(id, worker)| self.is_undisturbed(id, worker))
            // On-demand machines may be kept for services.
            .filter(|(_, worker)| worker.spot || !any_service)
            .map(|(_, worker)| FreeCapacity {
                zone: &worker.zone,
                spot: worker.spot,
                cpus: free_cpus(worker, jobs),
            })
            .collect()
    }

    /// Whether a machine has booted and no fault concerns it.
    fn is_undisturbed(&self, id: &MachineId, worker: &Worker) -> bool {
        let faults = &self.faults;
        let disturbed = [
            &faults.unreachable_machines,
            &faults.heartbeats.lost_from,
            &faults.heartbeats.held_from,
            &faults.faulty_machines,
        ];
        self.now >= worker.up_at
            && !worker.hung
            && !disturbed.iter().any(|machines| machines.contains(id))
    }

    /// Ends the day and fails the test if an invariant was violated. If no fault is left, requests about all
    /// accepted jobs are answered by every controller.
    ///
    /// # Panics
    ///
    /// An invariant was violated.
    pub fn check(&mut self) {
        let verdict = self.judge();
        verdict.unwrap_or_else(|failure| panic!("{failure}"));
    }

    /// Ends the day and judges it. If no fault is left, requests about all accepted jobs are answered by every
    /// controller.
    ///
    /// # Errors
    ///
    /// An invariant was violated.
    pub fn judge(&mut self) -> Result<(), Failure> {
        if self.faults.none() && self.controllers.are_all_active() {
            self.query_all_accepted();
        }
        self.violations_so_far()
    }

    fn violations_so_far(&self) -> Result<(), Failure> {
        let violations = &self.invariants.violations;
        match violations.is_empty() {
            true => Ok(()),
            false => Err(Failure::InvariantsViolated(violations.clone())),
        }
    }

    /// Ends all faults and starts all controllers, waits until all accepted jobs are done, and judges the day.
    ///
    /// # Errors
    ///
    /// An invariant was violated, or jobs were not done in time.
    pub fn settle(&mut self) -> Result<(), Failure> {
        self.faults = Faults::default();
        for controller in 0..CONTROLLERS {
            if !self.is_up(controller) {
                self.start(controller);
            }
        }
        self.violations_so_far()?;
        self.task_run_ms = SETTLING_TASK_RUN_MS;
        let is_settled = |cluster: &Cluster| cluster.keys("j/").is_empty();
        self.wait_until("an end of all jobs", SETTLING_LIMIT_MS, is_settled)?;
        self.judge()
    }
}

/// Processors of a machine that its tasks leave free.
fn free_cpus(worker: &Worker, jobs: &BTreeMap<JobId, JobSpec>) -> f64 {
    let spec = |task: &Task| jobs.get(&task.task.job);
    let cpus = |task: &Task| spec(task).map_or(1.0, |spec| spec.cpus);
    let tasks = worker.tasks.values();
    let on_machine = tasks.filter(|task| task.state != TaskState::Ended);
    (MACHINE_CPUS - on_machine.map(cpus).sum::<f64>()).max(0.0)
}
