//! Periodic checks of the invariants, and the verdict at the end of a simulated run.

use std::collections::BTreeMap;

use worksshunt_wire::user::{JobKind, JobSpec};
use worksshunt_wire::{JobId, MachineId};

use crate::events::SimulationEvent;
use crate::invariants::{FreeCapacity, WaitingCheck};
use crate::task_snapshot::TaskSnapshot;
use crate::worker::Worker;
use crate::{Cluster, Failure, Faults, CONTROLLER_COUNT, INSPECTION_INTERVAL_MS};

/// Interval between the checks for jobs that wait despite free capacity, ms.
const WAITING_CHECK_INTERVAL_MS: u64 = 1_000;
/// Run time of tasks after the faults of a run have been cleared, ms.
const SETTLING_TASK_RUN_MS: u64 = 5_000;
/// Time within which all jobs have to end after the faults of a run have been cleared, ms.
const SETTLING_TIMEOUT_MS: u64 = 300_000;

impl Cluster {
    /// Checks the invariants on running and waiting tasks, wakes watches, and delivers the copies for the next leader.
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
                is_progress_expected: self.faults.allow_progress()
                    && self.controllers.are_all_active(),
                snapshot: &TaskSnapshot::new(self.now, &self.observed_tasks()),
                free_capacity: &free_capacity,
                failing_jobs: &self.faults.failing_jobs,
            });
        }
        self.invariants = invariants;
    }

    /// Returns the free capacity of the machines without faults. `jobs` are the specs of all jobs.
    fn free_capacity(&self, jobs: &BTreeMap<JobId, JobSpec>) -> Vec<FreeCapacity<'_>> {
        let is_service = |spec: &JobSpec| spec.kind == JobKind::Service;
        let has_service = jobs.values().any(is_service);
        let workers = self.workers.iter();
        workers
            .filter(|(id, worker)| self.is_available(id, worker))
            // On-demand machines may be reserved for services.
            .filter(|(_, worker)| worker.is_spot || !has_service)
            .map(|(_, worker)| FreeCapacity {
                zone: &worker.zone,
                is_spot: worker.is_spot,
                resources: worker.free(jobs),
            })
            .collect()
    }

    /// Returns whether a machine has booted and is not affected by a fault.
    fn is_available(&self, id: &MachineId, worker: &Worker) -> bool {
        let faults = &self.faults;
        let affected = [
            &faults.unreachable_machines,
            &faults.heartbeats.lost_from,
            &faults.heartbeats.held_from,
            &faults.faulty_machines,
        ];
        self.now >= worker.booted_at
            && !worker.is_hung
            && !affected.iter().any(|machines| machines.contains(id))
    }

    /// Ends the run and panics if an invariant was violated. Without remaining faults, also checks that every
    /// controller answers queries about all accepted jobs.
    ///
    /// # Panics
    ///
    /// An invariant was violated.
    pub fn check(&mut self) {
        let verdict = self.try_check();
        verdict.unwrap_or_else(|failure| panic!("{failure}"));
    }

    /// Ends the run and checks the invariants. Without remaining faults, also checks that every controller answers
    /// queries about all accepted jobs.
    ///
    /// # Errors
    ///
    /// An invariant was violated.
    pub fn try_check(&mut self) -> Result<(), Failure> {
        if self.faults.allow_progress() && self.controllers.are_all_active() {
            self.query_all_accepted();
        }
        self.check_violations()
    }

    /// Returns the violations recorded up to now, if any, as an error.
    fn check_violations(&self) -> Result<(), Failure> {
        let violations = &self.invariants.violations;
        match violations.is_empty() {
            true => Ok(()),
            false => Err(Failure::InvariantsViolated(violations.clone())),
        }
    }

    /// Clears all faults, starts the controllers that are down, waits until all jobs have ended, and checks the
    /// invariants.
    ///
    /// # Errors
    ///
    /// An invariant was violated, or jobs did not end in time.
    pub fn settle(&mut self) -> Result<(), Failure> {
        self.faults = Faults::default();
        for controller in 0..CONTROLLER_COUNT {
            if !self.is_up(controller) {
                self.start(controller);
            }
        }
        self.check_violations()?;
        self.task_run_ms = SETTLING_TASK_RUN_MS;
        let is_settled = |cluster: &Cluster| cluster.keys("j/").is_empty();
        self.wait_until("the end of all jobs", SETTLING_TIMEOUT_MS, is_settled)?;
        self.try_check()
    }
}
