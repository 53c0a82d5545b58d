//! Direct orders to workers, and what became of them.

use worksshunt_wire::cloud::Catalog;
use worksshunt_wire::worker::{Command, CommandBatch, Heartbeat};
use worksshunt_wire::{Attempt, Epoch, Incarnation, MachineId};

use crate::constants::workers::{DIRECT_COMMAND_BACKOFF_MS, PROBE_INTERVAL_MS};
use crate::time::Time;

use super::machine::{AttemptState, Reachability, TrackedAttempt};
use super::Partition;

/// What became of direct orders.
#[derive(Debug, Clone, PartialEq)]
pub enum DirectCommandsOutcome {
    /// The worker answered, with its report after them.
    Answered(Heartbeat),
    /// They never left.
    NotSent,
    /// No answer: they may be carried out at any time.
    NoAnswer,
}

/// Direct orders to a worker, to be sent by the service.
#[derive(Debug, Clone, PartialEq)]
pub struct DirectCommands {
    /// The machine.
    pub machine: MachineId,
    /// Its worker's address.
    pub address: String,
    /// The orders.
    pub batch: CommandBatch,
}

impl Partition {
    /// Launches, stops and probes that can go straight to workers now, for at most so many machines. Only
    /// with authority. What finds no place goes with the answer to the machine's next report.
    pub fn next_direct_commands(
        &mut self,
        now: Time,
        token: Epoch,
        most: usize,
    ) -> Vec<DirectCommands> {
        let mut all = Vec::new();
        while self
            .deferred_commands
            .first()
            .is_some_and(|(at, _)| *at <= now)
        {
            self.pending_commands
                .extend(self.deferred_commands.pop_first().map(|(_, id)| id));
        }
        while all.len() < most {
            let Some(id) = self.pending_commands.pop_first() else {
                break;
            };
            let Some(machine) = self.machines.get_mut(&id) else {
                continue;
            };
            let Some(info) = &machine.info else { continue };
            if machine.lost
                || now.since(machine.lease.last_message_at) > self.timeouts.missed_heartbeats_ms
            {
                // The next report of it puts it back here.
                continue;
            }
            if machine.commands_in_flight {
                // So does what becomes of the orders under way.
                continue;
            }
            if now < machine.commands_not_before {
                self.deferred_commands
                    .insert((machine.commands_not_before, id));
                continue;
            }
            let incarnation = machine.lease.newest_message.0;
            let probe = matches!(machine.reachability, Reachability::Suspect { .. });
            let notice = machine.reclaim_at.is_some();
            let commands: Vec<Command> = machine
                .attempts
                .iter_mut()
                .filter_map(|(attempt, tracked)| order(*attempt, tracked, incarnation, notice, now))
                .collect();
            if commands.is_empty() && !probe {
                continue;
            }
            let renewed_ago_ms = now.since(machine.lease.renewed_at);
            for command in &commands {
                tracing::debug!(machine = %id, %token, ?incarnation, renewed_ago_ms, %command, "direct order");
            }
            machine.commands_in_flight = true;
            if probe {
                machine.commands_not_before = now + PROBE_INTERVAL_MS;
            }
            all.push(DirectCommands {
                machine: id.clone(),
                address: info.command_address.clone(),
                batch: CommandBatch {
                    fencing_token: token,
                    incarnation,
                    commands,
                },
            });
        }
        all
    }

    /// Direct orders were answered, or not.
    pub fn direct_commands_answered(
        &mut self,
        now: Time,
        sent: &DirectCommands,
        reply: &DirectCommandsOutcome,
        epoch: Epoch,
        catalog: &Catalog,
    ) {
        let id = &sent.machine;
        let Some(machine) = self.machines.get_mut(id) else {
            return;
        };
        machine.commands_in_flight = false;
        self.pending_commands.insert(id.clone());
        // Whatever was answered, or never left, cannot take effect later.
        let after = match reply {
            DirectCommandsOutcome::Answered(heartbeat) => {
                if heartbeat.incarnation >= machine.lease.newest_message.0 {
                    machine.set_reachability(Reachability::Confirmed);
                }
                machine.commands_not_before = now;
                self.apply_message(now, heartbeat, epoch, catalog, true);
                AttemptState::Launched
            }
            DirectCommandsOutcome::NotSent => {
                machine.commands_not_before = now + DIRECT_COMMAND_BACKOFF_MS;
                AttemptState::Recorded
            }
            DirectCommandsOutcome::NoAnswer => {
                machine.set_reachability(Reachability::Suspect { since: now });
                machine.commands_not_before = now + PROBE_INTERVAL_MS;
                self.end_unlaunched(id, now);
                self.refresh_summary(id, now);
                return;
            }
        };
        let Some(machine) = self.machines.get_mut(id) else {
            return;
        };
        for command in &sent.batch.commands {
            let Command::Launch { attempt, .. } = command else {
                continue;
            };
            machine.unreaped.remove(attempt);
            if let Some(tracked) = machine.attempts.get_mut(attempt) {
                tracked.direct_launch_unanswered = false;
                if tracked.state == AttemptState::DirectlyLaunched {
                    tracked.advance(after);
                }
            }
        }
    }
}

/// The order that an attempt calls for, if any.
fn order(
    attempt: Attempt,
    tracked: &mut TrackedAttempt,
    incarnation: Incarnation,
    notice: bool,
    now: Time,
) -> Option<Command> {
    let task = tracked.task;
    let launch = tracked.state == AttemptState::Recorded
        && tracked.stop_grace_s.is_none()
        && !notice
        && tracked.incarnation == incarnation;
    if launch {
        tracked.advance(AttemptState::DirectlyLaunched);
        tracked.direct_launch_unanswered = true;
        tracked.placed_at = now;
        return Some(Command::Launch { task, attempt });
    }
    match (tracked.stop_grace_s, tracked.state) {
        (Some(grace_s), AttemptState::Fetching | AttemptState::Running(_))
            if !tracked.stop_sent =>
        {
            tracked.stop_sent = true;
            Some(Command::Halt {
                task,
                attempt,
                grace_s,
            })
        }
        _ => None,
    }
}
