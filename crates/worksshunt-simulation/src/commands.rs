//! Delivery of direct commands to workers and of the responses to controllers.

use worksshunt_core::controller::Event;
use worksshunt_core::machines::{DirectCommands, DirectCommandsOutcome};

use crate::events::{ControllerInstance, SimulationEvent};
use crate::links::Link;
use crate::Cluster;

/// Maximum delay of repeated commands after the start of a controller, ms.
const MAX_REPETITION_AFTER_START_MS: u64 = 1_000;

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
            Some(heartbeat) => {
                self.repeat_later(commands);
                DirectCommandsOutcome::Answered(heartbeat)
            }
            None => DirectCommandsOutcome::Unknown,
        }
    }

    /// Keeps answered commands, or schedules a repetition of them, according to the faults.
    fn repeat_later(&mut self, commands: &DirectCommands) {
        if self.faults.are_answered_commands_kept {
            self.answered_commands.push(commands.clone());
        }
        let Some(repeated) = self.faults.repeated_commands else {
            return;
        };
        if self.rng.f64() >= repeated.share {
            return;
        }
        if self.rng.f64() < repeated.share_at_controller_start {
            self.commands_repeated_at_start.push(commands.clone());
            return;
        }
        let delay_ms = repeated.delay.draw(&mut self.rng);
        let arrival = SimulationEvent::CommandsArriveAgain(commands.clone());
        self.schedule_at(self.now + delay_ms, arrival);
    }

    /// Schedules the commands that arrive once more because a controller starts, within a second.
    pub(crate) fn repeat_commands_at_start(&mut self) {
        for commands in std::mem::take(&mut self.commands_repeated_at_start) {
            let delay_ms = self.rng.u64(0..MAX_REPETITION_AFTER_START_MS);
            let arrival = SimulationEvent::CommandsArriveAgain(commands);
            self.schedule_at(self.now + delay_ms, arrival);
        }
    }

    /// Delivers commands that were answered before. Nobody waits for the answer.
    pub(crate) fn commands_arrive_again(&mut self, commands: &DirectCommands) {
        let is_answered = self.deliver_batch(commands).is_some();
        if is_answered {
            self.record_effect("repeated commands");
        }
    }

    /// Delivers all kept commands once more and returns the number of requests. They are kept for further repetitions.
    pub fn repeat_commands(&mut self) -> usize {
        let answered_commands = self.answered_commands.clone();
        for commands in &answered_commands {
            self.commands_arrive_again(commands);
        }
        answered_commands.len()
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
