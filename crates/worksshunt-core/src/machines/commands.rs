//! Direct commands to workers, and their outcomes.
//!
//! The controller gets the commands from [`Partition::next_direct_commands`], sends them to the workers and passes the
//! outcome of each batch to [`Partition::apply_direct_commands_outcome`]. Each worker has at most one batch in flight.

use worksshunt_wire::cloud::Catalog;
use worksshunt_wire::worker::{Command, CommandBatch, Heartbeat};
use worksshunt_wire::{AttemptId, Incarnation, MachineId};

use crate::constants::workers::{DIRECT_COMMAND_BACKOFF_MS, PROBE_INTERVAL_MS};
use crate::metrics::DeliveryLabel;
use crate::time::Time;

use super::attempt::{AttemptState, TrackedAttempt};
use super::heartbeats::MessageKind;
use super::machine::Machine;
use super::partition::Partition;

/// Outcome of a batch of direct commands.
#[derive(Debug, Clone, PartialEq)]
pub enum DirectCommandsOutcome {
    /// The worker responded with its status, after it executed or rejected them.
    Answered(Heartbeat),
    /// The batch was not sent, so it cannot take effect.
    NotSent,
    /// No response arrived; the commands may have taken effect or still take effect later.
    Unknown,
}

/// Format for log lines.
impl std::fmt::Display for DirectCommandsOutcome {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            DirectCommandsOutcome::Answered(heartbeat) => write!(
                f,
                "answered incarnation {} sequence {} token {}",
                heartbeat.incarnation, heartbeat.sequence, heartbeat.fencing_token
            ),
            DirectCommandsOutcome::NotSent => f.write_str("not sent"),
            DirectCommandsOutcome::Unknown => f.write_str("unknown"),
        }
    }
}

/// A batch of direct commands and its destination.
#[derive(Debug, Clone, PartialEq)]
pub struct DirectCommands {
    /// Machine of the worker.
    pub machine: MachineId,
    /// Address and port of the worker.
    pub address: String,
    /// Body of the request.
    pub batch: CommandBatch,
}

impl Partition {
    /// Returns the launches, stops and probes that can be sent directly to workers now, for at most `max_machines`
    /// machines, and marks them as sent. To be called only while `Membership::may_act` holds. The responses to
    /// heartbeats deliver launches and stops that are not sent directly.
    pub fn next_direct_commands(&mut self, now: Time, max_machines: usize) -> Vec<DirectCommands> {
        let is_due = |(due_at, _): &(Time, MachineId)| *due_at <= now;
        while self
            .machines_with_deferred_commands
            .first()
            .is_some_and(is_due)
        {
            self.machines_with_pending_commands.extend(
                self.machines_with_deferred_commands
                    .pop_first()
                    .map(|(_, id)| id),
            );
        }
        let mut batches = Vec::new();
        while batches.len() < max_machines {
            let Some(id) = self.machines_with_pending_commands.pop_first() else {
                break;
            };
            batches.extend(self.direct_commands_for(id, now));
        }
        batches
    }

    /// The direct commands that can be sent to one machine now, if any.
    fn direct_commands_for(&mut self, id: MachineId, now: Time) -> Option<DirectCommands> {
        let machine = self.machines.get_mut(&id)?;
        let address = machine.info.as_ref()?.command_address.clone();
        let is_unavailable = machine.is_lost || machine.has_missed_heartbeats(now, self.timeouts);
        if is_unavailable || machine.command_channel.has_batch_in_flight {
            // The next heartbeat, or the outcome of the batch in flight, makes the machine pending again.
            return None;
        }
        let not_before = machine.command_channel.not_before;
        if now < not_before {
            self.machines_with_deferred_commands
                .insert((not_before, id));
            return None;
        }
        let batch = machine.take_command_batch(now)?;
        let token = batch.fencing_token;
        let renewed_ago_ms = now.since(machine.lease.renewed_at);
        for command in &batch.commands {
            self.metrics.count_command(command, DeliveryLabel::Direct);
            tracing::debug!(machine = %id, %token, incarnation = ?batch.incarnation, renewed_ago_ms, %command, "command sent directly");
        }
        Some(DirectCommands {
            machine: id,
            address,
            batch,
        })
    }

    /// Applies the outcome of a batch of direct commands.
    pub fn apply_direct_commands_outcome(
        &mut self,
        now: Time,
        sent: &DirectCommands,
        outcome: &DirectCommandsOutcome,
        catalog: &Catalog,
    ) {
        let id = &sent.machine;
        let Some(machine) = self.machines.get_mut(id) else {
            return;
        };
        tracing::debug!(machine = %id, token = %sent.batch.fencing_token, %outcome, "outcome of direct commands");
        machine.command_channel.has_batch_in_flight = false;
        self.machines_with_pending_commands.insert(id.clone());
        match outcome {
            DirectCommandsOutcome::Answered(heartbeat) => {
                if heartbeat.incarnation >= machine.lease.newest_message.incarnation {
                    machine.reachability.confirm();
                }
                machine.command_channel.not_before = now;
                self.apply_message(heartbeat, MessageKind::CommandResponse, catalog, now);
                self.resolve_direct_launches(sent, AttemptState::Launched);
            }
            DirectCommandsOutcome::NotSent => {
                machine.command_channel.not_before = now + DIRECT_COMMAND_BACKOFF_MS;
                self.resolve_direct_launches(sent, AttemptState::Recorded);
            }
            DirectCommandsOutcome::Unknown => {
                machine.reachability.mark_suspect(now);
                machine.command_channel.not_before = now + PROBE_INTERVAL_MS;
                self.end_unlaunched_attempts(id, now);
                self.refresh_summary(id, now);
            }
        }
    }

    /// Sets the attempts that a batch launched to the state `next`, after the batch was answered or not sent.
    fn resolve_direct_launches(&mut self, sent: &DirectCommands, next: AttemptState) {
        let Some(machine) = self.machines.get_mut(&sent.machine) else {
            return;
        };
        for command in &sent.batch.commands {
            let Command::Launch { attempt, .. } = command else {
                continue;
            };
            let tracked = machine.attempts.get_mut(attempt);
            if let Some(tracked) =
                tracked.filter(|tracked| tracked.state == AttemptState::DirectlyLaunched)
            {
                tracked.transition_to(next);
            }
        }
    }
}

impl Machine {
    /// Returns the next batch of direct commands and marks it as in flight; `None` if there is nothing to send. A
    /// suspect worker gets a batch even if it is empty, as a probe.
    fn take_command_batch(&mut self, now: Time) -> Option<CommandBatch> {
        let incarnation = self.lease.newest_message.incarnation;
        let commands = self.take_direct_commands(incarnation, now);
        let is_probe = self.reachability.is_suspect();
        if commands.is_empty() && !is_probe {
            return None;
        }
        self.command_channel.has_batch_in_flight = true;
        if is_probe {
            self.command_channel.not_before = now + PROBE_INTERVAL_MS;
        }
        Some(CommandBatch {
            fencing_token: self.token.current(),
            incarnation,
            commands,
        })
    }

    /// Returns the launches and stops to be sent directly, and marks them as sent.
    fn take_direct_commands(&mut self, incarnation: Incarnation, now: Time) -> Vec<Command> {
        let has_reclaim_notice = self.has_reclaim_notice();
        let allows_launch = self.token.allows_direct_launch();
        let commands: Vec<Command> = self
            .attempts
            .iter_mut()
            .filter_map(|(attempt, tracked)| {
                let is_launchable =
                    tracked.incarnation == incarnation && tracked.is_launchable(has_reclaim_notice);
                match is_launchable {
                    true => allows_launch.then(|| tracked.launch_directly(*attempt, now)),
                    false => tracked.stop_directly(*attempt),
                }
            })
            .collect();
        let is_launch = |command: &Command| matches!(command, Command::Launch { .. });
        if commands.iter().any(is_launch) {
            self.token.record_direct_launch();
        }
        commands
    }
}

impl TrackedAttempt {
    fn launch_directly(&mut self, attempt: AttemptId, now: Time) -> Command {
        self.transition_to(AttemptState::DirectlyLaunched);
        self.placed_at = now;
        Command::Launch {
            task: self.task,
            attempt,
        }
    }

    /// The stop command, if a stop is requested and unsent, and the worker has listed the task as fetching or running.
    fn stop_directly(&mut self, attempt: AttemptId) -> Option<Command> {
        if !matches!(
            self.state,
            AttemptState::Fetching | AttemptState::Running(_)
        ) {
            return None;
        }
        let stop = self.stop_request.as_mut().filter(|stop| !stop.is_sent)?;
        stop.is_sent = true;
        Some(Command::Halt {
            task: self.task,
            attempt,
            grace_s: stop.grace_s,
        })
    }
}
