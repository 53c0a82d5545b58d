//! The commands that a heartbeat is answered with.
//!
//! [`heartbeats`](super::heartbeats) asks for them once a heartbeat is applied. They launch what is recorded, stop what
//! is to be stopped or is unknown, and let the worker forget what is durable.

use worksshunt_wire::worker::{Command, Heartbeat, TaskState, TaskStatus};

use crate::time::Time;

use super::attempt::AttemptState;
use super::machine::Machine;
use super::partition::Partition;
use super::task_status::listed_attempts;

impl Partition {
    /// The commands for the worker that sent the heartbeat.
    pub(super) fn response_commands(&mut self, heartbeat: &Heartbeat, now: Time) -> Vec<Command> {
        let Some(machine) = self.machines.get_mut(&heartbeat.machine) else {
            return Vec::new();
        };
        let mut commands: Vec<Command> = heartbeat
            .tasks
            .iter()
            .filter_map(|status| machine.command_for_listed(status))
            .collect();
        machine.push_launches(heartbeat, now, &mut commands);
        commands
    }
}

impl Machine {
    /// The command that a listed task calls for, if any.
    fn command_for_listed(&self, status: &TaskStatus) -> Option<Command> {
        let (task, attempt) = (status.task, status.attempt);
        let tracked = self.attempts.get(&attempt);
        if status.state == TaskState::Ended {
            // A completion is durable before the worker forgets it, and no launch of a forgotten
            // attempt may still be on its way.
            let is_reapable = match tracked {
                Some(tracked) => tracked.is_completion_durable && !tracked.has_unanswered_launch,
                None => !self.unreaped.contains_key(&attempt),
            };
            return is_reapable.then_some(Command::Reap { task, attempt });
        }
        // A task that is on no record is stopped at once.
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

    /// Adds the launches for the incarnation that sent the heartbeat.
    fn push_launches(&mut self, heartbeat: &Heartbeat, now: Time, commands: &mut Vec<Command>) {
        let listed = listed_attempts(heartbeat);
        let has_reclaim_notice = self.has_reclaim_notice();
        let is_in_flight = self.commands.is_in_flight;
        for (attempt, tracked) in &mut self.attempts {
            if tracked.incarnation != heartbeat.incarnation {
                continue;
            }
            let (task, attempt) = (tracked.task, *attempt);
            let launch = Command::Launch { task, attempt };
            if tracked.is_launchable(has_reclaim_notice) {
                tracked.advance(AttemptState::Launched);
                tracked.placed_at = now;
                commands.push(launch);
            } else if tracked.state == AttemptState::DirectlyLaunched
                && !is_in_flight
                && !listed.contains(&attempt)
            {
                // The direct launch was not answered: launched this way as well, which has no
                // effect if it did arrive. One that is no longer wanted is stopped at once; the
                // worker then knows it as ended, and the late copy has no effect either.
                commands.push(launch);
                if tracked.stop.is_some() {
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
