//! The exchange with the partitions' owners: the leader applies what has changed in a partition and
//! answers with directives. The leading controller calls it for every message of an owner.

use std::collections::BTreeSet;

use worksshunt_wire::peer::{
    AttemptOutcome, AttemptPhase, AttemptStatus, EndedAttempt, LeaderDirectives, MachineDirectives,
    PartitionStatus,
};
use worksshunt_wire::{Attempt, ControllerName, MachineId};

use crate::time::Time;

use super::active_attempt::ActiveAttempt;
use super::job_tasks::JobTaskCounts;
use super::partition_view::Directive;
use super::Scheduler;

impl Scheduler {
    /// Applies what has changed in a partition. A message that a later one has overtaken is ignored.
    pub fn apply_status(&mut self, now: Time, status: PartitionStatus) {
        let Some(partition) = self.partitions.get_mut(&status.owner) else {
            return;
        };
        if !partition.accept_message(now, &status) {
            return;
        }
        for ended in &status.ended_attempts {
            self.apply_ended_attempt(now, ended);
        }
        for listed in &status.attempts {
            self.apply_attempt_status(now, listed, &status);
        }
        if let Some(partition) = self.partitions.get_mut(&status.owner) {
            for id in &status.removed_machines {
                partition.remove_machine(id);
            }
            for machine in status.machines {
                partition.update_machine(machine, now);
            }
        }
        self.round.request();
    }

    fn apply_ended_attempt(&mut self, now: Time, ended: &EndedAttempt) {
        let active = self.active_attempts.get(&ended.attempt);
        let ran_ms = active.map_or(0, |active| active.running_ms(now));
        let removed = self.remove_attempt(ended.attempt, ended.outcome, now);
        if removed.is_some() && ended.outcome == AttemptOutcome::Failed {
            self.task_failed(now, ended, ran_ms);
        }
    }

    /// Applies the status of an attempt that a partition lists. A completed one may be forgotten once that is
    /// durable; another that is no longer needed is to be stopped.
    fn apply_attempt_status(
        &mut self,
        now: Time,
        listed: &AttemptStatus,
        status: &PartitionStatus,
    ) {
        let attempt = listed.attempt;
        self.insert_attempt(
            attempt,
            ActiveAttempt::new(listed.task, status.owner.clone()),
        );
        self.attempt_placed(attempt, &listed.machine);
        let active = self.active_attempts.get(&attempt);
        let was_completed = active.is_some_and(ActiveAttempt::is_completed);
        self.set_phase(attempt, listed.phase, listed.running_ms, now);
        if listed.phase == AttemptPhase::Completed {
            if !was_completed {
                self.attempt_completed(attempt, status);
            }
            if self.is_durable(listed.task) {
                self.send_directive(Directive::MarkDurable(attempt));
            }
        } else if !self.is_needed(listed.task) {
            self.send_directive(Directive::Stop(attempt));
        }
    }

    /// Takes back what was dispatched to partitions whose owners' messages no longer arrive and was never
    /// sent to them, so that it can be dispatched to others.
    pub fn reassign_unsent(&mut self, now: Time) {
        let unsent: Vec<Attempt> = self
            .partitions
            .values_mut()
            .filter(|partition| !partition.is_responsive(now))
            .flat_map(|partition| partition.take_unsent_assignments())
            .collect();
        for attempt in unsent {
            self.remove_attempt(attempt, AttemptOutcome::Unplaced, now);
        }
    }

    /// An attempt's owner has chosen a machine for it.
    fn attempt_placed(&mut self, attempt: Attempt, machine: &MachineId) {
        let Some(active) = self.active_attempts.get_mut(&attempt) else {
            return;
        };
        let reserved_on = active.reserved_on.take();
        let partition = self.partitions.get_mut(&active.owner);
        if let (Some(partition), Some(job)) = (partition, &active.job) {
            partition.release_reservation(reserved_on.as_ref(), job);
            if let Some(view) = partition.machines.get(machine) {
                active.zone = Some(view.status.zone.clone());
            }
        }
        active.machine = Some(machine.clone());
        if let Some(claimed) = active.claimed_machine.take() {
            self.release_claim(&claimed);
        }
    }

    /// An attempt was reported as completed for the first time.
    fn attempt_completed(&mut self, attempt: Attempt, status: &PartitionStatus) {
        let Some(active) = self.active_attempts.get_mut(&attempt) else {
            return;
        };
        if let Some(job) = &active.job {
            self.quota.refund(job);
        }
        if active.zone.is_none() {
            // Its machine may be described in the same message.
            let described = status
                .machines
                .iter()
                .find(|machine| Some(&machine.id) == active.machine.as_ref());
            active.zone = described.map(|machine| machine.zone.clone());
        }
        let (task, zone) = (active.task, active.zone.clone());
        self.task_completed(attempt, task, zone.as_deref());
    }

    /// The answer to the message of `to` that was last processed. `terminated` are machines that are gone,
    /// as the fleet has it.
    pub fn directives_for<'a>(
        &mut self,
        now: Time,
        to: &ControllerName,
        terminated: impl Iterator<Item = &'a MachineId>,
    ) -> LeaderDirectives {
        let claimed = self.held_claims();
        let Some(partition) = self.partitions.get_mut(to) else {
            return LeaderDirectives::default();
        };
        let is_member = |id: &&MachineId| partition.machines.contains_key(id);
        let members_of =
            |ids: &BTreeSet<MachineId>| ids.iter().filter(is_member).cloned().collect();
        let machine_directives = MachineDirectives {
            draining: members_of(&self.draining),
            claimed: members_of(&claimed),
            terminated: terminated.filter(is_member).cloned().collect(),
        };
        let mut message = partition.next_message();
        message.epoch = self.epoch;
        partition.add_outbox(&self.active_attempts, &mut message);
        partition.add_machine_directives(machine_directives, &mut message);
        if partition.take_progress_due(now) {
            let counts = self.progress();
            message.progress = Some(counts.map(JobTaskCounts::to_wire).collect());
        }
        message
    }

    /// Done and running tasks of the jobs that have any.
    fn progress(&self) -> impl Iterator<Item = JobTaskCounts> + '_ {
        self.jobs
            .iter()
            .map(|(id, tasks)| tasks.counts(*id))
            .filter(JobTaskCounts::has_any)
    }
}

#[cfg(test)]
mod tests;
