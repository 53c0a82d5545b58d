//! Direct commands on their way to workers, and their responses.

use worksshunt_core::controller::Event;
use worksshunt_core::machines::{DirectCommands, DirectCommandsOutcome};

use crate::events::ControllerRun;
use crate::links::Link;
use crate::Cluster;

impl Cluster {
    pub(crate) fn commands_arrive(
        &mut self,
        from: ControllerRun,
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
            return DirectCommandsOutcome::NoAnswer;
        }
        if self.faults.hold_commands {
            self.held_commands.push(commands.clone());
            return DirectCommandsOutcome::NoAnswer;
        }
        match self.execute_commands(commands) {
            Some(heartbeat) => DirectCommandsOutcome::Answered(heartbeat),
            None => DirectCommandsOutcome::NoAnswer,
        }
    }

    /// Commands reach a worker after their sender has given up on them.
    pub(crate) fn late_commands_arrive(&mut self, from: usize, commands: &DirectCommands) {
        let is_reached = !self.faults.cut_from_workers.contains(&from);
        if is_reached && self.is_linked(&commands.machine, from) {
            self.record_effect("late commands");
            self.execute_commands(commands);
        }
    }

    /// The sender learns at its deadline that the commands were not answered.
    pub(crate) fn commands_timed_out(
        &mut self,
        from: ControllerRun,
        commands: DirectCommands,
        deadline_at: u64,
    ) {
        let outcome = DirectCommandsOutcome::NoAnswer;
        self.deliver_at(
            deadline_at,
            from,
            Event::DirectCommandsOutcome(commands, outcome),
        );
    }

    /// The commands held back are executed now, long after they were sent. Returns how many there were.
    pub fn release_commands(&mut self) -> usize {
        let held = std::mem::take(&mut self.held_commands);
        for commands in &held {
            self.execute_commands(commands);
        }
        held.len()
    }
}
