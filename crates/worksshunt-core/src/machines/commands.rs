//! Direct commands to workers and their outcomes.
//!
//! The controller takes the next commands from [`Partition::next_direct_commands`], sends them to the workers and
//! passes the outcome of each batch to [`Partition::direct_commands_answered`]. At most one batch to a worker is in
//! flight.

use worksshunt_wire::cloud::Catalog;
use worksshunt_wire::worker::{Command, CommandBatch, Heartbeat};
use worksshunt_wire::{Attempt, Epoch, Incarnation, MachineId};

use crate::constants::workers::{DIRECT_COMMAND_BACKOFF_MS, PROBE_INTERVAL_MS};
use crate::time::Time;

use super::attempt::{AttemptState, TrackedAttempt};
use super::heartbeats::MessageKind;
use super::machine::Machine;
use super::partition::Partition;

/// Outcome of direct commands.
#[derive(Debug, Clone, PartialEq)]
pub enum DirectCommandsOutcome {
    /// The worker answered, with its status after them.
    Answered(Heartbeat),
    /// They were never sent.
    NotSent,
    /// No answer: they may take effect at any time.
    NoAnswer,
}

/// Direct commands to a worker, to be sent by the service.
#[derive(Debug, Clone, PartialEq)]
pub struct DirectCommands {
    /// The machine.
    pub machine: MachineId,
    /// Its worker's address.
    pub address: String,
    /// The commands.
    pub batch: CommandBatch,
}

impl Partition {
    /// Launches, stops and probes that can be sent directly to workers now, for at most `max_machines` machines. Only
    /// while this controller may act. What is not sent this way goes with the response to the machine's next heartbeat.
    pub fn next_direct_commands(
        &mut self,
        now: Time,
        token: Epoch,
        max_machines: usize,
    ) -> Vec<DirectCommands> {
        let is_due = |(due_at, _): &(Time, MachineId)| *due_at <= now;
        while self.deferred_commands.first().is_some_and(is_due) {
            self.pending_commands
                .extend(self.deferred_commands.pop_first().map(|(_, id)| id));
        }
        let mut batches = Vec::new();
        while batches.len() < max_machines {
            let Some(id) = self.pending_commands.pop_first() else {
                break;
            };
            batches.extend(self.direct_commands_for(id, token, now));
        }
        batches
    }

    /// The direct commands that can be sent to a machine now, if any.
    fn direct_commands_for(
        &mut self,
        id: MachineId,
        token: Epoch,
        now: Time,
    ) -> Option<DirectCommands> {
        let machine = self.machines.get_mut(&id)?;
        let address = machine.info.as_ref()?.command_address.clone();
        let is_gone = machine.is_lost || machine.misses_heartbeats(now, self.timeouts);
        if is_gone || machine.commands.is_in_flight {
            // Its next heartbeat, or the outcome of the commands in flight, makes it pending again.
            return None;
        }
        let not_before = machine.commands.not_before;
        if now < not_before {
            self.deferred_commands.insert((not_before, id));
            return None;
        }
        let batch = machine.take_command_batch(token, now)?;
        let renewed_ago_ms = now.since(machine.lease.renewed_at);
        for command in &batch.commands {
            tracing::debug!(machine = %id, %token, incarnation = ?batch.incarnation, renewed_ago_ms, %command, "command sent directly");
        }
        Some(DirectCommands {
            machine: id,
            address,
            batch,
        })
    }

    /// Direct commands were answered, or not.
    pub fn direct_commands_answered(
        &mut self,
        now: Time,
        sent: &DirectCommands,
        outcome: &DirectCommandsOutcome,
        epoch: Epoch,
        catalog: &Catalog,
    ) {
        let id = &sent.machine;
        let Some(machine) = self.machines.get_mut(id) else {
            return;
        };
        machine.commands.is_in_flight = false;
        self.pending_commands.insert(id.clone());
        match outcome {
            DirectCommandsOutcome::Answered(heartbeat) => {
                if heartbeat.incarnation >= machine.lease.newest_message.incarnation {
                    machine.reachability.confirm();
                }
                machine.commands.not_before = now;
                self.apply_message(heartbeat, MessageKind::CommandResponse, epoch, catalog, now);
                self.settle_launches(sent, AttemptState::Launched);
            }
            DirectCommandsOutcome::NotSent => {
                machine.commands.not_before = now + DIRECT_COMMAND_BACKOFF_MS;
                self.settle_launches(sent, AttemptState::Recorded);
            }
            DirectCommandsOutcome::NoAnswer => {
                machine.reachability.suspect(now);
                machine.commands.not_before = now + PROBE_INTERVAL_MS;
                self.end_unlaunched(id, now);
                self.refresh_summary(id, now);
            }
        }
    }

    /// Commands that were answered or never sent cannot take effect later: their launches are in the state `next`.
    fn settle_launches(&mut self, sent: &DirectCommands, next: AttemptState) {
        let Some(machine) = self.machines.get_mut(&sent.machine) else {
            return;
        };
        for command in &sent.batch.commands {
            let Command::Launch { attempt, .. } = command else {
                continue;
            };
            machine.unreaped.remove(attempt);
            if let Some(tracked) = machine.attempts.get_mut(attempt) {
                tracked.has_unanswered_launch = false;
                if tracked.state == AttemptState::DirectlyLaunched {
                    tracked.advance(next);
                }
            }
        }
    }
}

impl Machine {
    /// The next batch of direct commands, which is in flight from now on; none if there is nothing to send. A worker
    /// that may not be reached gets an empty one as a probe.
    fn take_command_batch(&mut self, token: Epoch, now: Time) -> Option<CommandBatch> {
        let incarnation = self.lease.newest_message.incarnation;
        let commands = self.take_direct_commands(incarnation, now);
        let is_probe = self.reachability.is_suspect();
        if commands.is_empty() && !is_probe {
            return None;
        }
        self.commands.is_in_flight = true;
        if is_probe {
            self.commands.not_before = now + PROBE_INTERVAL_MS;
        }
        Some(CommandBatch {
            fencing_token: token,
            incarnation,
            commands,
        })
    }

    /// The direct commands that the attempts call for; they count as sent from now on.
    fn take_direct_commands(&mut self, incarnation: Incarnation, now: Time) -> Vec<Command> {
        let has_reclaim_notice = self.has_reclaim_notice();
        self.attempts
            .iter_mut()
            .filter_map(|(attempt, tracked)| {
                if tracked.incarnation == incarnation && tracked.is_launchable(has_reclaim_notice) {
                    Some(tracked.launch_directly(*attempt, now))
                } else {
                    tracked.stop_directly(*attempt)
                }
            })
            .collect()
    }
}

impl TrackedAttempt {
    fn launch_directly(&mut self, attempt: Attempt, now: Time) -> Command {
        self.advance(AttemptState::DirectlyLaunched);
        self.has_unanswered_launch = true;
        self.placed_at = now;
        Command::Launch {
            task: self.task,
            attempt,
        }
    }

    /// The stop to be sent, if one is requested, was not sent yet and the task has been seen on the machine.
    fn stop_directly(&mut self, attempt: Attempt) -> Option<Command> {
        if !matches!(
            self.state,
            AttemptState::Fetching | AttemptState::Running(_)
        ) {
            return None;
        }
        let stop = self.stop.as_mut().filter(|stop| !stop.is_sent)?;
        stop.is_sent = true;
        Some(Command::Halt {
            task: self.task,
            attempt,
            grace_s: stop.grace_s,
        })
    }
}
