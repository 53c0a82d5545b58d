//! Processing of workers' messages.
//!
//! The controller calls [`Partition::process_heartbeat`] for every heartbeat of a machine of the partition, and
//! [`commands`](super::commands) calls [`Partition::apply_message`] for responses to direct commands. Both update the
//! machine here and its attempts in [`task_status`](super::task_status). The commands in the response to a heartbeat
//! come from [`heartbeat_response`](super::heartbeat_response).

use worksshunt_wire::cloud::Catalog;
use worksshunt_wire::peer::AttemptOutcome;
use worksshunt_wire::worker::{Heartbeat, HeartbeatResponse};
use worksshunt_wire::{Incarnation, MachineId};

use crate::metrics::DeliveryLabel;
use crate::time::Time;

use super::attempt::AttemptState;
use super::machine::{Machine, MachineInfo, MachineTimeouts};
use super::partition::Partition;
use super::sequence_number::SequenceNumber;
use super::unexpected_attempts::ReapHistory;
use super::worker_lease::ArrivalOrder;

/// Result of processing a heartbeat; determines the response.
#[derive(Debug, Clone, PartialEq)]
pub enum HeartbeatOutcome {
    /// The lease renewal is recorded, and this response renews the lease.
    Accepted(HeartbeatResponse),
    /// No renewal is recorded; the response must not renew the lease.
    Rejected,
}

/// Kind of a worker's message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum MessageKind {
    /// A heartbeat. Its response renews the worker's lease.
    Heartbeat,
    /// The response to direct commands. It renews no lease, but proves that the worker is reachable.
    CommandResponse,
}

impl Partition {
    /// Processes a heartbeat. One that arrives out of order renews the lease, but its content is outdated and ignored;
    /// a stale one (such as a duplicate) changes nothing.
    pub fn process_heartbeat(
        &mut self,
        now: Time,
        heartbeat: &Heartbeat,
        catalog: &Catalog,
    ) -> HeartbeatOutcome {
        let id = &heartbeat.machine;
        let sequence_number = SequenceNumber::of(heartbeat);
        let arrival = match self.machines.get(id) {
            Some(machine) => machine.lease.classify(sequence_number, now),
            None if sequence_number > self.heartbeat_history.newest_message(id) => {
                self.register(id, now);
                ArrivalOrder::Newest
            }
            None => ArrivalOrder::Stale,
        };
        let Some(machine) = self.machines.get_mut(id) else {
            return HeartbeatOutcome::Rejected;
        };
        let newest_message = machine.lease.newest_message;
        match arrival {
            ArrivalOrder::Stale => {
                tracing::debug!(machine = %id, %sequence_number, %newest_message, "stale heartbeat rejected");
                return HeartbeatOutcome::Rejected;
            }
            ArrivalOrder::OutOfOrder => {
                tracing::info!(machine = %id, %sequence_number, %newest_message, "out-of-order heartbeat accepted, lease renewed");
                machine.lease.record_renewal(sequence_number, now);
                return HeartbeatOutcome::Accepted(HeartbeatResponse {
                    fencing_token: machine.token.current(),
                    commands: Vec::new(),
                });
            }
            ArrivalOrder::Newest => machine.lease.record_renewal(sequence_number, now),
        }
        self.apply_message(heartbeat, MessageKind::Heartbeat, catalog, now);
        let Some(response) = self.response(heartbeat, now) else {
            return HeartbeatOutcome::Rejected;
        };
        for command in &response.commands {
            self.metrics.count_command(command, DeliveryLabel::Response);
            tracing::debug!(machine = %heartbeat.machine, token = %response.fencing_token, %sequence_number, %command, "command sent with heartbeat response");
        }
        HeartbeatOutcome::Accepted(response)
    }

    /// Adds a machine to the partition that has sent a heartbeat and is not in it.
    fn register(&mut self, id: &MachineId, now: Time) {
        let newest = self.heartbeat_history.newest_message(id);
        let mut machine = Machine::new(newest, now, self.fencing_tokens, now);
        if newest != SequenceNumber::NONE {
            // The machine was removed earlier, so this may be a delayed message of a worker that is no longer there.
            machine.reachability.mark_suspect(now);
        }
        self.machines.insert(id.clone(), machine);
        self.pending_updates.removed_machines.remove(id);
    }

    /// Applies the status in a heartbeat or in a response to direct commands, unless a newer one has been applied.
    pub(super) fn apply_message(
        &mut self,
        heartbeat: &Heartbeat,
        kind: MessageKind,
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
        let has_current_token = heartbeat.fencing_token >= self.fencing_tokens.first;
        if kind == MessageKind::Heartbeat {
            machine.assess_reachability(heartbeat, has_current_token, timeouts, now);
        }
        machine.apply_machine_status(heartbeat, catalog, now);
        self.end_attempts_of_older_incarnations(id, heartbeat.incarnation, now);
        self.report_unexpected_attempts(heartbeat, has_current_token);
        self.apply_listed_tasks(heartbeat, now);
        // A worker that has received this epoch's token refuses all commands of previous owners, so a task that it does
        // not list is not on the machine.
        self.apply_unlisted_attempts(heartbeat, has_current_token, kind, now);
        let is_suspect = |machine: &Machine| machine.reachability.is_suspect();
        if self.machines.get(id).is_some_and(is_suspect) {
            self.end_unlaunched_attempts(id, now);
            self.machines_with_pending_commands.insert(id.clone());
        }
        self.refresh_summary(id, now);
    }

    /// Ends the attempts of older incarnations as lost: a worker kills all its tasks when its incarnation ends.
    fn end_attempts_of_older_incarnations(
        &mut self,
        id: &MachineId,
        incarnation: Incarnation,
        now: Time,
    ) {
        let Some(machine) = self.machines.get(id) else {
            return;
        };
        let lost_attempts = machine.attempts_where(|tracked| {
            tracked.incarnation < incarnation && tracked.state != AttemptState::Completed
        });
        if !lost_attempts.is_empty() {
            tracing::debug!(machine = %id, ?incarnation, ?lost_attempts, "attempts of an older incarnation lost");
        }
        for attempt in lost_attempts {
            self.end_attempt(id, attempt, AttemptOutcome::Lost, now);
        }
    }
}

impl Machine {
    /// Updates the worker's reachability for a heartbeat. `has_current_token`: it carries this epoch's fencing token.
    fn assess_reachability(
        &mut self,
        heartbeat: &Heartbeat,
        has_current_token: bool,
        timeouts: MachineTimeouts,
        now: Time,
    ) {
        // A worker whose incarnation has ended did not receive the responses. After a loss or missed heartbeats, this
        // heartbeat may be a delayed one.
        let last_incarnation = self.lease.newest_message.incarnation;
        let has_restarted =
            last_incarnation > Incarnation(0) && heartbeat.incarnation > last_incarnation;
        let has_missed_heartbeats =
            self.info.is_some() && self.has_missed_heartbeats(now, timeouts);
        if has_restarted || has_missed_heartbeats || self.is_lost {
            self.reachability.mark_suspect(now);
        }
        self.reachability.record_heartbeat(has_current_token, now);
    }

    /// Applies the part of a message that is about the machine itself.
    fn apply_machine_status(&mut self, heartbeat: &Heartbeat, catalog: &Catalog, now: Time) {
        self.token.observe(heartbeat.fencing_token);
        if heartbeat.incarnation > self.lease.newest_message.incarnation {
            self.reap_history = ReapHistory::default();
        }
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
