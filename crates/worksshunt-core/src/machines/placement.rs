//! Which machine of the part takes a task.

use std::collections::BTreeSet;
use std::rc::Rc;

use worksshunt_wire::peer::Assignment;
use worksshunt_wire::{Incarnation, JobId, MachineId};

use crate::jobs::{Job, JobCache};
use crate::placement::{choose, Candidate, Speed};
use crate::records::AttemptRecord;
use crate::time::{Budget, Time};

use super::machine::{AttemptState, Machine, TrackedAttempt};
use super::Partition;

impl Partition {
    /// Puts queued tasks on machines by the design, as far as the budget goes.
    pub fn place_queued(&mut self, now: Time, job_cache: &JobCache, budget: &Budget) {
        if !self.placement_needed {
            return;
        }
        // The leader, which knows of all parts, hands out nothing for ordinary machines that are kept.
        let spot_up =
            |m: &Machine| m.summary.schedulable && m.info.as_ref().is_some_and(|i| i.spot);
        let kept = !self.queue.is_empty()
            && job_cache.any_service()
            && self.machines.values().any(spot_up);
        // Equal tasks of a job find no machine either.
        let mut in_vain: BTreeSet<(JobId, Option<String>, Option<MachineId>)> = BTreeSet::new();
        for _ in 0..self.queue.len() {
            if budget.exhausted() {
                return;
            }
            let Some(queued) = self.queue.pop_front() else {
                break;
            };
            let assignment = &queued.assignment;
            let shape = (
                assignment.task.job,
                assignment.zone.clone(),
                assignment.claimed.clone(),
            );
            if in_vain.contains(&shape) || !self.place_assignment(now, job_cache, kept, assignment)
            {
                in_vain.insert(shape);
                self.queue.push_back(queued);
            }
        }
        self.placement_needed = false;
    }

    fn place_assignment(
        &mut self,
        now: Time,
        job_cache: &JobCache,
        kept: bool,
        assignment: &Assignment,
    ) -> bool {
        let Some(open) = job_cache.get(assignment.task.job) else {
            return false;
        };
        let job = Rc::clone(&open.job);
        let estimate_s = job.spec.estimate_s;
        // A machine on which the job has failed gets it again only if no other fits.
        let choice = choose(
            estimate_s,
            self.candidates(now, assignment, &job, kept, false),
        )
        .or_else(|| {
            choose(
                estimate_s,
                self.candidates(now, assignment, &job, kept, true),
            )
        });
        let Some(choice) = choice else {
            return false;
        };
        let band = choice
            .over_capacity
            .then(|| self.parameters.band(estimate_s));
        if let Some(band) = band {
            self.over_capacity.placed(band);
            tracing::debug!(task = %assignment.task, machine = %choice.machine, "placed over capacity");
        }
        let incarnation = self
            .machines
            .get(&choice.machine)
            .map_or(Incarnation(0), |machine| machine.lease.newest_message.0);
        let mut tracked = TrackedAttempt::new(
            assignment.task,
            Some(job),
            AttemptState::Recording,
            incarnation,
            now,
        );
        tracked.over_capacity_band = band;
        self.track(&choice.machine, assignment.attempt, tracked);
        let record = AttemptRecord {
            machine: choice.machine.clone(),
            task: assignment.task,
            attempt: assignment.attempt,
            incarnation,
        };
        self.record_pages.add(assignment.attempt, record);
        self.refresh_summary(&choice.machine, now);
        true
    }

    /// Machines that fit the task, the fullest first.
    fn candidates<'a>(
        &'a self,
        now: Time,
        assignment: &'a Assignment,
        job: &'a Job,
        kept: bool,
        again: bool,
    ) -> impl Iterator<Item = Candidate<'a>> + 'a {
        let need = job.resources();
        self.machines_with_free_capacity
            .iter()
            .filter_map(move |(_, id)| {
                let machine = self.machines.get(id)?;
                let info = machine.info.as_ref()?;
                let mine = match &assignment.claimed {
                    Some(claimed) => claimed == id,
                    None => !machine.claimed,
                };
                let fits = mine
                    && machine.summary.free.fits(&need)
                    && machine.is_schedulable(now, self.timeouts)
                    && again == machine.failing_jobs.contains(&job.spec.id)
                    && job.allows_machine(&info.machine_type, &info.zone, info.spot)
                    && !job.leaves_machine_to_others(info.spot, kept)
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
