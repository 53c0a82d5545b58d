//! Which machine of the part takes a task.

use std::collections::BTreeSet;
use std::rc::Rc;

use worksshunt_wire::peer::Give;
use worksshunt_wire::{JobId, MachineId, Session};

use crate::jobs::{Job, Mirror};
use crate::placement::{choose, Candidate, Speed};
use crate::records::Recorded;
use crate::time::{Budget, Time};

use super::machine::{AttemptState, Machine, TrackedAttempt};
use super::Part;

impl Part {
    /// Puts queued tasks on machines by the design, as far as the budget goes.
    pub fn place(&mut self, now: Time, mirror: &Mirror, budget: &Budget) {
        if !self.placeable {
            return;
        }
        // The leader, which knows of all parts, hands out nothing for ordinary machines that are kept.
        let spot_up = |m: &Machine| m.summary.usable && m.info.as_ref().is_some_and(|i| i.spot);
        let kept =
            !self.queue.is_empty() && mirror.any_service() && self.machines.values().any(spot_up);
        // Equal tasks of a job find no machine either.
        let mut in_vain: BTreeSet<(JobId, Option<String>, Option<MachineId>)> = BTreeSet::new();
        for _ in 0..self.queue.len() {
            if budget.spent() {
                return;
            }
            let Some(queued) = self.queue.pop_front() else {
                break;
            };
            let give = &queued.give;
            let shape = (give.task.job, give.zone.clone(), give.claimed.clone());
            if in_vain.contains(&shape) || !self.place_one(now, mirror, kept, give) {
                in_vain.insert(shape);
                self.queue.push_back(queued);
            }
        }
        self.placeable = false;
    }

    fn place_one(&mut self, now: Time, mirror: &Mirror, kept: bool, give: &Give) -> bool {
        let Some(open) = mirror.get(give.task.job) else {
            return false;
        };
        let job = Rc::clone(&open.job);
        let estimate_s = job.spec.estimate_s;
        // A machine on which the job has failed gets it again only if no other fits.
        let choice = choose(estimate_s, self.candidates(now, give, &job, kept, false))
            .or_else(|| choose(estimate_s, self.candidates(now, give, &job, kept, true)));
        let Some(choice) = choice else {
            return false;
        };
        let band = choice
            .over_capacity
            .then(|| self.parameters.band(estimate_s));
        if let Some(band) = band {
            self.over_capacity.placed(band);
            tracing::debug!(task = %give.task, machine = %choice.machine, "placed over capacity");
        }
        let session = self
            .machines
            .get(&choice.machine)
            .map_or(Session(0), |machine| machine.lease.newest.0);
        let mut tracked =
            TrackedAttempt::new(give.task, Some(job), AttemptState::Recording, session, now);
        tracked.over_capacity = band;
        self.track(&choice.machine, give.attempt, tracked);
        let record = Recorded {
            machine: choice.machine.clone(),
            task: give.task,
            attempt: give.attempt,
            session,
        };
        self.pages.add(give.attempt, record);
        self.look_at(&choice.machine, now);
        true
    }

    /// Machines that fit the task, the fullest first.
    fn candidates<'a>(
        &'a self,
        now: Time,
        give: &'a Give,
        job: &'a Job,
        kept: bool,
        again: bool,
    ) -> impl Iterator<Item = Candidate<'a>> + 'a {
        let need = job.room();
        self.open.iter().filter_map(move |(_, id)| {
            let machine = self.machines.get(id)?;
            let info = machine.info.as_ref()?;
            let mine = match &give.claimed {
                Some(claimed) => claimed == id,
                None => !machine.claimed,
            };
            let fits = mine
                && machine.summary.free.holds(&need)
                && machine.usable(now, self.patience)
                && again == machine.failing.contains(&job.spec.id)
                && job.allows(&info.machine_type, &info.zone, info.spot)
                && !job.leaves(info.spot, kept)
                && give.zone.as_ref().is_none_or(|zone| *zone == info.zone);
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
