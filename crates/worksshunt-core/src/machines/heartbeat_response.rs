//! Commands in the response to a heartbeat.
//!
//! They launch recorded attempts, stop attempts that are untracked or have a stop request, and reap ended ones once the
//! worker no longer has to list them. [`heartbeats`](super::heartbeats) requests them after applying a heartbeat.

use worksshunt_wire::worker::{Command, Heartbeat, TaskState, TaskStatus};

use crate::time::Time;

use super::attempt::AttemptState;
use super::machine::Machine;
use super::partition::Partition;
use super::task_status::listed_attempts;

impl Partition {
    /// Returns the commands for the worker that sent the heartbeat, and marks their launches as sent.
    pub(super) fn response_commands(&mut self, heartbeat: &Heartbeat, now: Time) -> Vec<Command> {
        let Some(machine) = self.machines.get_mut(&heartbeat.machine) else {
            return Vec::new();
        };
        let mut commands: Vec<Command> = heartbeat
            .tasks
            .iter()
            .filter_map(|status| machine.command_for_listed_task(status))
            .collect();
        machine.record_reaps(&commands);
        let held_reaps = heartbeat
            .tasks
            .iter()
            .filter(|status| machine.is_reap_held(status))
            .count();
        self.metrics.reaps_held.inc_by(held_reaps as u64);
        machine.push_launches(heartbeat, now, &mut commands);
        commands
    }
}

impl Machine {
    /// Whether a listed attempt has ended and is not reaped because a launch of it may still arrive.
    fn is_reap_held(&self, status: &TaskStatus) -> bool {
        let attempt = &status.attempt;
        status.state == TaskState::Ended
            && match self.attempts.get(attempt) {
                Some(tracked) => tracked.is_completion_durable && tracked.has_unanswered_launch,
                None => self.unreapable_attempts.contains_key(attempt),
            }
    }

    fn record_reaps(&mut self, commands: &[Command]) {
        for command in commands {
            if let Command::Reap { attempt, .. } = command {
                self.reap_history.record_reap(*attempt);
            }
        }
    }

    /// The stop or reap command for a listed task, if it needs one.
    fn command_for_listed_task(&self, status: &TaskStatus) -> Option<Command> {
        let (task, attempt) = (status.task, status.attempt);
        let tracked = self.attempts.get(&attempt);
        if status.state == TaskState::Ended {
            // The worker must list a completed attempt until the completion is durable, and remember any ended attempt
            // of which a launch may still arrive: it would start it again.
            let is_reapable = match tracked {
                Some(tracked) => tracked.is_completion_durable && !tracked.has_unanswered_launch,
                None => !self.unreapable_attempts.contains_key(&attempt),
            };
            return is_reapable.then_some(Command::Reap { task, attempt });
        }
        // An untracked task is stopped without grace.
        let grace_s = tracked.map_or(Some(0.0), |tracked| tracked.stop_grace_s())?;
        if status.state == TaskState::Saving && grace_s > 0.0 {
            return None;
        }
        Some(Command::Halt {
            task,
            attempt,
            grace_s,
        })
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
