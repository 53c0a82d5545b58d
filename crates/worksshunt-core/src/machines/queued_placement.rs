//! Placement of the assignments that wait for a machine.
//!
//! The controller calls [`Partition::place_queued`] after each batch of events. An assignment that fits no machine is
//! returned to the leader after a while (see [`expiry`](super::expiry)).

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

/// What one placement round uses for every assignment.
struct PlacementRound<'a> {
    now: Time,
    job_cache: &'a JobCache,
    /// On-demand machines are kept for services: batch jobs that may use spot machines leave them free.
    is_on_demand_kept: bool,
}

/// What a placement needs; equal assignments find no machine either after one of them found none.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct PlacementNeed {
    job: JobId,
    zone: Option<String>,
    claimed: Option<MachineId>,
}

impl PlacementNeed {
    fn of(assignment: &Assignment) -> PlacementNeed {
        PlacementNeed {
            job: assignment.task.job,
            zone: assignment.zone.clone(),
            claimed: assignment.claimed.clone(),
        }
    }
}

/// Which machines a task is tried on, by its job's history there.
#[derive(Clone, Copy, PartialEq, Eq)]
enum JobHistory {
    /// Machines on which the job has not failed.
    NoFailure,
    /// Machines on which it has.
    Failed,
}

impl Partition {
    /// Returns the queued assignments that fulfil a condition to the leader.
    pub(super) fn return_queued_where(&mut self, condition: impl Fn(&QueuedAssignment) -> bool) {
        for assignment in self.assignment_queue.remove_where(condition) {
            self.return_unplaced(&assignment);
        }
    }

    /// Puts queued assignments on machines by the design's rules, as far as the budget goes.
    pub fn place_queued(&mut self, now: Time, job_cache: &JobCache, budget: &Budget) {
        if !self.assignment_queue.is_placement_needed {
            return;
        }
        let round = PlacementRound {
            now,
            job_cache,
            is_on_demand_kept: self.is_on_demand_kept(job_cache),
        };
        let mut unplaceable = BTreeSet::new();
        for _ in 0..self.assignment_queue.queued.len() {
            if budget.exhausted() {
                return;
            }
            let Some(queued) = self.assignment_queue.queued.pop_front() else {
                break;
            };
            let need = PlacementNeed::of(&queued.assignment);
            if unplaceable.contains(&need) || !self.place_assignment(&round, &queued.assignment) {
                unplaceable.insert(need);
                self.assignment_queue.queued.push_back(queued);
            }
        }
        self.assignment_queue.is_placement_needed = false;
    }

    /// Whether on-demand machines are kept for services. The leader, which knows all partitions, assigns nothing
    /// to on-demand machines that are kept.
    fn is_on_demand_kept(&self, job_cache: &JobCache) -> bool {
        let is_schedulable_spot = |machine: &Machine| {
            machine.summary.is_schedulable && machine.info.as_ref().is_some_and(|info| info.spot)
        };
        !self.assignment_queue.queued.is_empty()
            && job_cache.has_open_service()
            && self.machines.values().any(is_schedulable_spot)
    }

    /// Whether a machine took the assignment.
    fn place_assignment(&mut self, round: &PlacementRound, assignment: &Assignment) -> bool {
        let Some(open) = round.job_cache.get(assignment.task.job) else {
            return false;
        };
        let job = Rc::clone(&open.job);
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
            let band = self.parameters.size_band(job.spec.estimate_s);
            self.over_capacity.count_placement(band);
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

    /// The machine for a task. One on which the job has failed gets it only if no other fits.
    fn choose_machine(
        &self,
        round: &PlacementRound,
        assignment: &Assignment,
        job: &Job,
    ) -> Option<Choice> {
        let choose_by = |history| {
            choose_machine(
                job.spec.estimate_s,
                self.candidates(round, assignment, job, history),
            )
        };
        choose_by(JobHistory::NoFailure).or_else(|| choose_by(JobHistory::Failed))
    }

    /// Machines that fit the task, the most utilized first.
    fn candidates<'a>(
        &'a self,
        round: &'a PlacementRound,
        assignment: &'a Assignment,
        job: &'a Job,
        history: JobHistory,
    ) -> impl Iterator<Item = Candidate<'a>> + 'a {
        let required = job.resources();
        self.machines_with_free_capacity
            .iter()
            .filter_map(move |(_, id)| {
                let machine = self.machines.get(id)?;
                let info = machine.info.as_ref()?;
                let is_permitted = match &assignment.claimed {
                    Some(claimed) => claimed == id,
                    None => !machine.directive.claimed,
                };
                let has_failed = machine.failing_jobs.contains(&job.spec.id);
                let fits = is_permitted
                    && machine.summary.free.fits(&required)
                    && machine.is_schedulable(round.now, self.timeouts)
                    && has_failed == (history == JobHistory::Failed)
                    && job.allows_machine(&info.machine_type, &info.zone, info.spot)
                    && !job.leaves_machine_to_services(info.spot, round.is_on_demand_kept)
                    && assignment
                        .zone
                        .as_ref()
                        .is_none_or(|zone| *zone == info.zone);
                let speed = self.speeds.get(id).copied().unwrap_or(Speed::UNMEASURED);
                fits.then(|| Candidate {
                    id,
                    capacity: self
                        .parameters
                        .capacity(speed.value(self.parameters.start_speed)),
                })
            })
    }
}
