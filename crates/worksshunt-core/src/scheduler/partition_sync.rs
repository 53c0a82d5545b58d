//! The exchange with the partitions' owners: applies the status of a partition and responds with directives. The
//! leading controller calls it for every message from an owner.

use std::collections::BTreeSet;

use worksshunt_wire::peer::{
    AttemptOutcome, AttemptPhase, AttemptStatus, EndedAttempt, LeaderDirectives, MachineDirectives,
    PartitionStatus,
};
use worksshunt_wire::{AttemptId, ControllerName, MachineId};

use crate::time::Time;

use super::active_attempt::ActiveAttempt;
use super::job_tasks::JobTaskCounts;
use super::partition_view::Directive;
use super::Scheduler;

impl Scheduler {
    /// Applies the changes in a partition. Returns false for a message that is ignored: its owner has no partition, or it
    /// is a copy or arrives after a later one. Such a message must get no directives. They would count as sent with a
    /// later message than the one that the owner acknowledges, and would be sent again after their execution.
    #[must_use]
    pub fn apply_status(&mut self, now: Time, status: PartitionStatus) -> bool {
        let Some(partition) = self.partitions.get_mut(&status.owner) else {
            return false;
        };
        if !partition.accept_message(now, &status) {
            return false;
        }
        for ended_attempt in &status.ended_attempts {
            self.apply_ended_attempt(now, ended_attempt);
        }
        for reported in &status.attempts {
            self.apply_attempt_status(now, reported, &status);
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
        true
    }

    fn apply_ended_attempt(&mut self, now: Time, ended_attempt: &EndedAttempt) {
        let active = self.active_attempts.get(&ended_attempt.attempt);
        let ran_ms = active.map_or(0, |active| active.running_ms(now));
        let removed = self.remove_attempt(ended_attempt.attempt, ended_attempt.outcome, now);
        if removed.is_some() && ended_attempt.outcome == AttemptOutcome::Failed {
            self.record_task_failure(now, ended_attempt, ran_ms);
        }
    }

    /// Applies the status of an attempt that a partition lists. Sends the directive that follows: a completed attempt
    /// is marked durable once its completion is stored, any other that is no longer needed is stopped.
    fn apply_attempt_status(
        &mut self,
        now: Time,
        reported: &AttemptStatus,
        status: &PartitionStatus,
    ) {
        let attempt = reported.attempt;
        self.insert_attempt(
            attempt,
            ActiveAttempt::new(reported.task, status.owner.clone()),
        );
        self.record_placement(attempt, &reported.machine);
        let active = self.active_attempts.get(&attempt);
        let was_completed = active.is_some_and(ActiveAttempt::is_completed);
        self.set_phase(attempt, reported.phase, reported.running_ms, now);
        if reported.phase == AttemptPhase::Completed {
            if !was_completed {
                self.record_completion(attempt, status);
            }
            if self.is_completion_durable(reported.task) {
                self.send_directive(Directive::MarkDurable(attempt));
            }
        } else if !self.needs_attempt(reported.task) {
            self.send_directive(Directive::Stop(attempt));
        }
    }

    /// Cancels the assignments that were never sent to partitions whose owners are unresponsive, so that their tasks
    /// can be dispatched to other partitions.
    pub fn reassign_unsent_attempts(&mut self, now: Time) {
        let unsent: Vec<AttemptId> = self
            .partitions
            .values_mut()
            .filter(|partition| !partition.is_responsive(now))
            .flat_map(|partition| partition.take_unsent_assignments())
            .collect();
        for attempt in unsent {
            self.remove_attempt(attempt, AttemptOutcome::Unplaced, now);
        }
    }

    /// Records the machine on which an attempt was placed.
    fn record_placement(&mut self, attempt: AttemptId, machine: &MachineId) {
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

    /// Records a completion that was reported for the first time.
    fn record_completion(&mut self, attempt: AttemptId, status: &PartitionStatus) {
        let Some(active) = self.active_attempts.get_mut(&attempt) else {
            return;
        };
        if let Some(job) = &active.job {
            self.quota.refund(job);
        }
        if active.zone.is_none() {
            // The same message may contain the status of its machine.
            let machine_status = status
                .machines
                .iter()
                .find(|machine| Some(&machine.id) == active.machine.as_ref());
            active.zone = machine_status.map(|machine| machine.zone.clone());
        }
        let (task, zone) = (active.task, active.zone.clone());
        self.record_task_completion(attempt, task, zone.as_deref());
    }

    /// The response to the last message from `to`. `terminated` are the machines that the fleet knows to be
    /// terminated.
    pub fn directives_for<'a>(
        &mut self,
        now: Time,
        to: &ControllerName,
        terminated: impl Iterator<Item = &'a MachineId>,
    ) -> LeaderDirectives {
        let claimed = self.machines_with_held_claims();
        let Some(partition) = self.partitions.get_mut(to) else {
            return LeaderDirectives::default();
        };
        let is_in_partition = |id: &&MachineId| partition.machines.contains_key(id);
        let in_partition =
            |ids: &BTreeSet<MachineId>| ids.iter().filter(is_in_partition).cloned().collect();
        let machine_directives = MachineDirectives {
            draining: in_partition(&self.draining_machines),
            claimed: in_partition(&claimed),
            terminated: terminated.filter(is_in_partition).cloned().collect(),
        };
        let mut message = partition.next_message();
        message.epoch = self.epoch;
        partition.add_directives(&self.active_attempts, &mut message);
        partition.add_machine_directives(machine_directives, &mut message);
        if partition.mark_progress_sent_if_due(now) {
            let counts = self.job_task_counts();
            message.progress = Some(counts.map(JobTaskCounts::to_wire).collect());
        }
        message
    }

    /// Task counts of the jobs with completed or running tasks.
    fn job_task_counts(&self) -> impl Iterator<Item = JobTaskCounts> + '_ {
        self.open_jobs
            .iter()
            .map(|(id, tasks)| tasks.counts(*id))
            .filter(JobTaskCounts::has_any)
    }
}

#[cfg(test)]
mod tests;
