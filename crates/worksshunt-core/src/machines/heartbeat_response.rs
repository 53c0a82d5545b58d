//! The response to a heartbeat.
//!
//! Its commands launch recorded attempts, stop attempts that are untracked or have a stop request, and reap ended ones
//! once the worker no longer has to list them. [`heartbeats`](super::heartbeats) requests it after applying a heartbeat.

use worksshunt_wire::worker::{Command, Heartbeat, HeartbeatResponse, TaskState, TaskStatus};
use worksshunt_wire::{AttemptId, TaskId};

use crate::constants::workers::MAX_TASKS_LISTED_BY_HELD_REAPS;
use crate::time::Time;

use super::attempt::AttemptState;
use super::machine::Machine;
use super::partition::Partition;
use super::task_status::listed_attempts;

impl Partition {
    /// Returns the response to the worker that sent the heartbeat, and marks its launches as sent. `None` if the machine
    /// is not in the partition.
    pub(super) fn response(
        &mut self,
        heartbeat: &Heartbeat,
        now: Time,
    ) -> Option<HeartbeatResponse> {
        let machine = self.machines.get_mut(&heartbeat.machine)?;
        let mut commands = machine.stops(heartbeat);
        let reapable = machine.reapable_attempts(heartbeat);
        if machine.must_hold_reaps(heartbeat) {
            self.metrics.reaps_held.inc_by(reapable.len() as u64);
        } else if !reapable.is_empty() {
            machine.token.raise_for_reap();
            for (task, attempt) in reapable {
                machine.reap_history.record_reap(attempt);
                commands.push(Command::Reap { task, attempt });
            }
        }
        machine.push_launches(heartbeat, now, &mut commands);
        Some(HeartbeatResponse {
            fencing_token: machine.token.current(),
            commands,
        })
    }
}

impl Machine {
    /// Stops of the listed tasks that are to be stopped.
    fn stops(&self, heartbeat: &Heartbeat) -> Vec<Command> {
        heartbeat
            .tasks
            .iter()
            .filter_map(|status| self.stop_of(status))
            .collect()
    }

    fn stop_of(&self, status: &TaskStatus) -> Option<Command> {
        if status.state == TaskState::Ended {
            return None;
        }
        // An untracked task is stopped without grace.
        let grace_s = self
            .attempts
            .get(&status.attempt)
            .map_or(Some(0.0), |tracked| tracked.stop_grace_s())?;
        if status.state == TaskState::Saving && grace_s > 0.0 {
            return None;
        }
        Some(Command::Halt {
            task: status.task,
            attempt: status.attempt,
            grace_s,
        })
    }

    /// The listed attempts that have ended, with their tasks. A completed one must be listed until its completion is
    /// durable.
    fn reapable_attempts(&self, heartbeat: &Heartbeat) -> Vec<(TaskId, AttemptId)> {
        let is_reapable = |status: &&TaskStatus| {
            status.state == TaskState::Ended
                && self
                    .attempts
                    .get(&status.attempt)
                    .is_none_or(|tracked| tracked.is_completion_durable)
        };
        let reapable = heartbeat.tasks.iter().filter(is_reapable);
        reapable
            .map(|status| (status.task, status.attempt))
            .collect()
    }

    /// Whether reaps wait for the answer to the batch in flight, whose launches the worker would refuse after the raise
    /// of its token. They do not wait while the worker lists many tasks, which bounds its heartbeats.
    fn must_hold_reaps(&self, heartbeat: &Heartbeat) -> bool {
        self.token.needs_raise_for_reap()
            && self.command_channel.has_batch_in_flight
            && heartbeat.tasks.len() <= MAX_TASKS_LISTED_BY_HELD_REAPS
    }

    /// Adds the launches of attempts that are meant for the worker's current incarnation.
    fn push_launches(&mut self, heartbeat: &Heartbeat, now: Time, commands: &mut Vec<Command>) {
        let listed = listed_attempts(heartbeat);
        let has_reclaim_notice = self.has_reclaim_notice();
        let has_batch_in_flight = self.command_channel.has_batch_in_flight;
        for (attempt, tracked) in &mut self.attempts {
            if tracked.incarnation != heartbeat.incarnation {
                continue;
            }
            let (task, attempt) = (tracked.task, *attempt);
            let launch = Command::Launch { task, attempt };
            if tracked.is_launchable(has_reclaim_notice) {
                tracked.transition_to(AttemptState::Launched);
                tracked.placed_at = now;
                commands.push(launch);
            } else if tracked.state == AttemptState::DirectlyLaunched
                && !has_batch_in_flight
                && !listed.contains(&attempt)
            {
                // The direct launch was not answered, so the launch is repeated here; that has no effect if the first
                // one has arrived. An attempt with a stop request is stopped right after the launch: the worker then
                // lists it as ended, and the first launch has no effect if it arrives later.
                commands.push(launch);
                if tracked.stop_request.is_some() {
                    let grace_s = 0.0;
                    commands.push(Command::Halt {
                        task,
                        attempt,
                        grace_s,
                    });
                }
            }
        }
    }
}

#[cfg(test)]
mod tests;
