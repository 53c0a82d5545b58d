//! Delivery of direct commands to workers and of the responses to controllers.

use worksshunt_core::controller::Event;
use worksshunt_core::machines::{DirectCommands, DirectCommandsOutcome};

use crate::events::ControllerInstance;
use crate::links::Link;
use crate::Cluster;

impl Cluster {
    pub(crate) fn commands_arrive(
        &mut self,
        from: ControllerInstance,
        commands: DirectCommands,
        deadline_at: u64,
    ) {
        self.commands_sent_to.push(commands.machine.clone());
        let outcome = self.commands_outcome(from.index, &commands);
        let arrives_at = self.arrival_time(Link::Worker(from.index));
        if arrives_at > deadline_at {
            self.commands_timed_out(from, commands, deadline_at);
        } else {
            self.deliver_at(
                arrives_at,
                from,
                Event::DirectCommandsOutcome(commands, outcome),
            );
        }
    }

    fn commands_outcome(
        &mut self,
        from: usize,
        commands: &DirectCommands,
    ) -> DirectCommandsOutcome {
        let is_linked = self.is_linked(&commands.machine, from);
        if self.faults.cut_from_workers.contains(&from) || !is_linked {
            return DirectCommandsOutcome::Unknown;
        }
        if self.faults.are_commands_held {
            self.held_commands.push(commands.clone());
            return DirectCommandsOutcome::Unknown;
        }
        match self.execute_commands(commands) {
            Some(heartbeat) => DirectCommandsOutcome::Answered(heartbeat),
            None => DirectCommandsOutcome::Unknown,
        }
    }

    /// Executes commands that arrive after the sender's deadline.
    pub(crate) fn commands_arrive_after_deadline(
        &mut self,
        from: usize,
        commands: &DirectCommands,
    ) {
        let is_reached = !self.faults.cut_from_workers.contains(&from);
        if is_reached && self.is_linked(&commands.machine, from) {
            self.record_effect("commands after deadline");
            self.execute_commands(commands);
        }
    }

    /// Notifies the sender at the deadline that no response arrived.
    pub(crate) fn commands_timed_out(
        &mut self,
        from: ControllerInstance,
        commands: DirectCommands,
        deadline_at: u64,
    ) {
        let outcome = DirectCommandsOutcome::Unknown;
        self.deliver_at(
            deadline_at,
            from,
            Event::DirectCommandsOutcome(commands, outcome),
        );
    }

    /// Executes the held-back commands and returns the number of requests.
    pub fn release_commands(&mut self) -> usize {
        let held_commands = std::mem::take(&mut self.held_commands);
        for commands in &held_commands {
            self.execute_commands(commands);
        }
        held_commands.len()
    }
}
