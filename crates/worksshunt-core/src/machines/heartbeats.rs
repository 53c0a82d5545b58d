//! Messages of workers and what they change.
//!
//! The controller calls [`Partition::process_heartbeat`] for every heartbeat of a machine of the partition, and
//! [`commands`](super::commands) calls [`Partition::apply_message`] for responses to direct commands. Both update the
//! machine; its attempts follow in [`task_status`](super::task_status), and what a heartbeat is answered with is in
//! [`heartbeat_response`](super::heartbeat_response).

use worksshunt_wire::cloud::Catalog;
use worksshunt_wire::peer::AttemptOutcome;
use worksshunt_wire::worker::{Command, Heartbeat};
use worksshunt_wire::{Epoch, Incarnation, MachineId};

use crate::time::Time;

use super::attempt::AttemptState;
use super::machine::{Machine, MachineInfo, MachineTimeouts};
use super::partition::Partition;
use super::sequence_number::SequenceNumber;
use super::worker_lease::Arrival;

/// What is done with a heartbeat.
#[derive(Debug, Clone, PartialEq)]
pub enum HeartbeatOutcome {
    /// The lease counts as renewed, so the heartbeat may be answered, with these commands.
    Accepted(Vec<Command>),
    /// It was not counted, so an answer must not renew the lease.
    Rejected,
}

/// How a worker's message came.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum MessageKind {
    /// A heartbeat, whose response renews the worker's lease.
    Heartbeat,
    /// The response to direct commands: it renews no lease, but proves that the worker is reached.
    CommandResponse,
}

impl Partition {
    /// Applies a worker's heartbeat. What an overtaken one contains is older than what is known and changes nothing but
    /// the lease; a copy of one answered before changes nothing at all.
    pub fn process_heartbeat(
        &mut self,
        now: Time,
        heartbeat: &Heartbeat,
        epoch: Epoch,
        catalog: &Catalog,
    ) -> HeartbeatOutcome {
        let id = &heartbeat.machine;
        let number = SequenceNumber::of(heartbeat);
        let arrival = match self.machines.get(id) {
            Some(machine) => machine.lease.classify(number, now),
            None if number > self.heartbeat_history.newest_message(id) => {
                self.register(id, now);
                Arrival::Newest
            }
            None => Arrival::Stale,
        };
        let Some(machine) = self.machines.get_mut(id) else {
            return HeartbeatOutcome::Rejected;
        };
        let newest = machine.lease.newest_message;
        match arrival {
            Arrival::Stale => {
                tracing::debug!(machine = %id, %number, %newest, "stale heartbeat rejected");
                return HeartbeatOutcome::Rejected;
            }
            Arrival::Overtaken => {
                tracing::info!(machine = %id, %number, %newest, "overtaken heartbeat accepted, lease renewed");
                machine.lease.record_renewal(number, now);
                return HeartbeatOutcome::Accepted(Vec::new());
            }
            Arrival::Newest => machine.lease.record_renewal(number, now),
        }
        self.apply_message(heartbeat, MessageKind::Heartbeat, epoch, catalog, now);
        let commands = self.response_commands(heartbeat, now);
        for command in &commands {
            tracing::debug!(machine = %heartbeat.machine, token = %epoch, %number, %command, "command sent with heartbeat response");
        }
        HeartbeatOutcome::Accepted(commands)
    }

    /// Adds a machine that is not in the partition and sent it a heartbeat.
    fn register(&mut self, id: &MachineId, now: Time) {
        let newest = self.heartbeat_history.newest_message(id);
        let mut machine = Machine::new(newest, now, now);
        if newest != SequenceNumber::NONE {
            // It was here before and was given up: this may be a last late message.
            machine.reachability.suspect(now);
        }
        self.machines.insert(id.clone(), machine);
        self.pending_updates.removed_machines.remove(id);
    }

    /// Applies what a worker reports, with a heartbeat or in response to direct commands. What is older than what is
    /// known changes nothing.
    pub(super) fn apply_message(
        &mut self,
        heartbeat: &Heartbeat,
        kind: MessageKind,
        epoch: Epoch,
        catalog: &Catalog,
        now: Time,
    ) {
        let id = &heartbeat.machine;
        let timeouts = self.timeouts;
        let Some(machine) = self.machines.get_mut(id) else {
            return;
        };
        if SequenceNumber::of(heartbeat) <= machine.lease.newest_message {
            return;
        }
        let is_current = heartbeat.fencing_token >= epoch;
        if kind == MessageKind::Heartbeat {
            machine.assess_reachability(heartbeat, is_current, timeouts, now);
        }
        machine.apply_report(heartbeat, catalog, now);
        self.end_attempts_of_older_incarnations(id, heartbeat.incarnation, now);
        self.apply_listed_tasks(heartbeat, now);
        // The worker refuses all commands of a former owner once it has seen this epoch's token, so
        // from then on a task that is not listed is not there.
        self.apply_unlisted_attempts(heartbeat, is_current, kind, now);
        let is_suspect = |machine: &Machine| machine.reachability.is_suspect();
        if self.machines.get(id).is_some_and(is_suspect) {
            self.end_unlaunched(id, now);
            self.pending_commands.insert(id.clone());
        }
        self.refresh_summary(id, now);
    }

    /// A worker kills and forgets everything when its incarnation ends.
    fn end_attempts_of_older_incarnations(
        &mut self,
        id: &MachineId,
        incarnation: Incarnation,
        now: Time,
    ) {
        let Some(machine) = self.machines.get(id) else {
            return;
        };
        let gone = machine.attempts_where(|tracked| {
            tracked.incarnation < incarnation && tracked.state != AttemptState::Completed
        });
        if !gone.is_empty() {
            tracing::debug!(machine = %id, ?incarnation, ?gone, "attempts lost with their incarnation");
        }
        for attempt in gone {
            self.end_attempt(id, attempt, AttemptOutcome::Lost, now);
        }
    }
}

impl Machine {
    /// Evaluates what a heartbeat shows about whether the worker is reached; `is_current` if it shows this epoch's
    /// fencing token.
    fn assess_reachability(
        &mut self,
        heartbeat: &Heartbeat,
        is_current: bool,
        timeouts: MachineTimeouts,
        now: Time,
    ) {
        // A worker whose incarnation ended did not get the responses; the heartbeat of one that was given up
        // or missed heartbeats may be no more than a late copy.
        let known = self.lease.newest_message.incarnation;
        let has_restarted = known > Incarnation(0) && heartbeat.incarnation > known;
        let missed_heartbeats = self.info.is_some() && self.misses_heartbeats(now, timeouts);
        if has_restarted || missed_heartbeats || self.is_lost {
            self.reachability.suspect(now);
        }
        self.reachability.record_heartbeat(is_current, now);
    }

    /// Applies what a message reports of the machine itself.
    fn apply_report(&mut self, heartbeat: &Heartbeat, catalog: &Catalog, now: Time) {
        self.unreaped
            .retain(|_, incarnation| *incarnation >= heartbeat.incarnation);
        self.lease
            .record_message(SequenceNumber::of(heartbeat), now);
        self.is_lost = false;
        if self.info.is_none() {
            self.info = MachineInfo::of(heartbeat, catalog);
        }
        if let (Some(remaining_s), None) = (heartbeat.reclaim_notice_s, self.reclaim_at) {
            tracing::info!(machine = %heartbeat.machine, remaining_s, "reclaim notice received");
            self.reclaim_at = Some(now + (remaining_s.max(0.0) * 1_000.0) as u64);
        }
    }
}

#[cfg(test)]
mod tests;
