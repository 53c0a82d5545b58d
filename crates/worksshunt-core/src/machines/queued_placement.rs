//! Placement of queued assignments on machines.
//!
//! The controller calls [`Partition::place_queued`] after each batch of events. An assignment that stays in the queue
//! until its timeout is returned to the leader (see [`expiry`](super::expiry)).

use std::collections::BTreeSet;
use std::rc::Rc;

use worksshunt_wire::peer::Assignment;
use worksshunt_wire::{Incarnation, JobId, MachineId};

use crate::jobs::{Job, JobCache};
use crate::placement::{choose_machine, Candidate, Choice, Speed};
use crate::records::AttemptRecord;
use crate::time::{Budget, Time};

use super::assignment_queue::QueuedAssignment;
use super::attempt::{AttemptState, TrackedAttempt};
use super::machine::Machine;
use super::partition::Partition;

/// Parameters common to all assignments of one placement round.
struct PlacementRound<'a> {
    now: Time,
    job_cache: &'a JobCache,
    /// On-demand machines are reserved for services and for jobs that may not use spot machines.
    is_on_demand_reserved: bool,
}

/// Constraints of an assignment's placement. Once one assignment was not placed in a round, others with equal
/// constraints are not tried.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct PlacementConstraints {
    job: JobId,
    zone: Option<String>,
    claimed_machine: Option<MachineId>,
}

impl PlacementConstraints {
    fn of(assignment: &Assignment) -> PlacementConstraints {
        PlacementConstraints {
            job: assignment.task.job,
            zone: assignment.zone.clone(),
            claimed_machine: assignment.claimed_machine.clone(),
        }
    }
}

/// Selects candidate machines by whether the job is among their `failing_jobs`.
#[derive(Clone, Copy, PartialEq, Eq)]
enum FailureFilter {
    WithoutFailures,
    WithFailures,
}

impl Partition {
    /// Returns the queued assignments that satisfy a condition to the leader.
    pub(super) fn return_queued_assignments_where(
        &mut self,
        condition: impl Fn(&QueuedAssignment) -> bool,
    ) {
        for assignment in self.assignment_queue.remove_where(condition) {
            self.return_to_leader(&assignment);
        }
    }

    /// Places queued assignments on machines until the time budget is exhausted. Does nothing if nothing has changed
    /// since the last complete round.
    pub fn place_queued(&mut self, now: Time, job_cache: &JobCache, budget: &Budget) {
        if !self.assignment_queue.is_placement_needed {
            return;
        }
        let round = PlacementRound {
            now,
            job_cache,
            is_on_demand_reserved: self.is_on_demand_reserved(job_cache),
        };
        let mut unplaceable_constraints = BTreeSet::new();
        for _ in 0..self.assignment_queue.assignments.len() {
            if budget.is_exhausted() {
                return;
            }
            let Some(queued) = self.assignment_queue.assignments.pop_front() else {
                break;
            };
            let constraints = PlacementConstraints::of(&queued.assignment);
            if unplaceable_constraints.contains(&constraints)
                || !self.place_assignment(&round, &queued.assignment)
            {
                unplaceable_constraints.insert(constraints);
                self.assignment_queue.assignments.push_back(queued);
            }
        }
        self.assignment_queue.is_placement_needed = false;
    }

    /// Whether on-demand machines are reserved: a service is open and this partition has schedulable spot machines. The
    /// leader applies the same reservation if another partition has some.
    fn is_on_demand_reserved(&self, job_cache: &JobCache) -> bool {
        let is_schedulable_spot = |machine: &Machine| {
            machine.summary.is_schedulable && machine.info.as_ref().is_some_and(|info| info.is_spot)
        };
        !self.assignment_queue.assignments.is_empty()
            && job_cache.has_open_service()
            && self.machines.values().any(is_schedulable_spot)
    }

    /// Places an assignment on a machine and queues its record. Returns false if none fits or the job is not open.
    fn place_assignment(&mut self, round: &PlacementRound, assignment: &Assignment) -> bool {
        let Some(open_job) = round.job_cache.get(assignment.task.job) else {
            return false;
        };
        let job = Rc::clone(&open_job.job);
        let Some(choice) = self.choose_machine(round, assignment, &job) else {
            return false;
        };
        let incarnation = self
            .machines
            .get(&choice.machine)
            .map_or(Incarnation(0), |machine| {
                machine.lease.newest_message.incarnation
            });
        let mut tracked = TrackedAttempt::new(
            assignment.task,
            Some(Rc::clone(&job)),
            AttemptState::Recording,
            incarnation,
            round.now,
        );
        if choice.is_over_capacity {
            let band = self
                .placement_parameters
                .size_band(job.spec.estimated_runtime_s);
            self.over_capacity_counts.count_placement(band);
            tracing::debug!(task = %assignment.task, machine = %choice.machine, "attempt placed over capacity");
            tracked.over_capacity_band = Some(band);
        }
        self.track(&choice.machine, assignment.attempt, tracked);
        let record = AttemptRecord {
            machine: choice.machine.clone(),
            task: assignment.task,
            attempt: assignment.attempt,
            incarnation,
        };
        self.record_pages.add(assignment.attempt, record);
        self.refresh_summary(&choice.machine, round.now);
        true
    }

    /// Chooses the machine for a task. Machines on which the job has failed are used only if no other fits.
    fn choose_machine(
        &self,
        round: &PlacementRound,
        assignment: &Assignment,
        job: &Job,
    ) -> Option<Choice> {
        let choose_with = |filter| {
            choose_machine(
                job.spec.estimated_runtime_s,
                self.candidates(round, assignment, job, filter),
            )
        };
        choose_with(FailureFilter::WithoutFailures)
            .or_else(|| choose_with(FailureFilter::WithFailures))
    }

    /// Machines that fit the task, the most utilized first.
    fn candidates<'a>(
        &'a self,
        round: &'a PlacementRound,
        assignment: &'a Assignment,
        job: &'a Job,
        filter: FailureFilter,
    ) -> impl Iterator<Item = Candidate<'a>> + 'a {
        let required_resources = job.resources();
        self.placement_order
            .machines_for(&required_resources)
            .filter_map(move |id| {
                let machine = self.machines.get(id)?;
                let info = machine.info.as_ref()?;
                let is_permitted = match &assignment.claimed_machine {
                    Some(claimed) => claimed == id,
                    None => !machine.directive.is_claimed,
                };
                let has_failed = machine.failing_jobs.contains(&job.spec.id);
                let fits = is_permitted
                    && machine.summary.free.fits(&required_resources)
                    && machine.is_schedulable(round.now, self.timeouts)
                    && has_failed == (filter == FailureFilter::WithFailures)
                    && job.allows_machine(&info.machine_type, &info.zone, info.is_spot)
                    && !job.is_excluded_by_on_demand_reservation(
                        info.is_spot,
                        round.is_on_demand_reserved,
                    )
                    && assignment
                        .zone
                        .as_ref()
                        .is_none_or(|zone| *zone == info.zone);
                let speed = self
                    .speed_by_machine
                    .get(id)
                    .copied()
                    .unwrap_or(Speed::UNMEASURED);
                fits.then(|| Candidate {
                    id,
                    capacity: self
                        .placement_parameters
                        .capacity(speed.value(self.placement_parameters.start_speed)),
                })
            })
    }
}
