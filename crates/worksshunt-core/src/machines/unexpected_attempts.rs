//! Detection of attempts that a worker lists and should not have.
//!
//! A worker forgets a reaped attempt, so one that is listed again was started again. An attempt that has not ended is
//! tracked by its owner from before its launch; an untracked one in a message that may have been delayed is reported
//! once a later message lists it too. [`heartbeats`](super::heartbeats) checks every newer message;
//! [`heartbeat_response`](super::heartbeat_response) stops such attempts.

use std::collections::{BTreeSet, VecDeque};

use worksshunt_wire::worker::{Heartbeat, TaskState, TaskStatus};
use worksshunt_wire::AttemptId;

use crate::constants::workers::REMEMBERED_REAPS;
use crate::metrics::UnexpectedAttemptLabel;

use super::machine::Machine;
use super::partition::Partition;
use super::sequence_number::SequenceNumber;

/// Attempts that were reaped in a worker's current incarnation.
#[derive(Debug, Clone, Default)]
pub(super) struct ReapHistory {
    /// Reaps sent, of attempts that the worker's newest message lists.
    unconfirmed: BTreeSet<AttemptId>,
    /// Latest reaped attempts that a later message did not list, oldest first.
    confirmed: VecDeque<AttemptId>,
    /// Untracked attempts that had not ended in an earlier message, which may have been delayed.
    suspected: BTreeSet<AttemptId>,
    /// Unexpected attempts in the worker's newest message, which have been logged.
    logged: BTreeSet<AttemptId>,
}

impl ReapHistory {
    /// Records that a reap is sent.
    pub fn record_reap(&mut self, attempt: AttemptId) {
        self.unconfirmed.insert(attempt);
    }

    /// Confirms the reaps of all attempts that a message does not list.
    fn confirm_unlisted(&mut self, tasks: &[TaskStatus]) {
        let is_listed = |attempt: &AttemptId| tasks.iter().any(|status| status.attempt == *attempt);
        let (listed, unlisted) = std::mem::take(&mut self.unconfirmed)
            .into_iter()
            .partition::<BTreeSet<_>, _>(is_listed);
        self.unconfirmed = listed;
        self.confirmed.extend(unlisted);
        let excess = self.confirmed.len().saturating_sub(REMEMBERED_REAPS);
        self.confirmed.drain(..excess);
    }
}

impl Machine {
    /// Why the worker should not have a listed attempt; `None` if it may have it.
    fn unexpected_reason(&self, status: &TaskStatus) -> Option<UnexpectedAttemptLabel> {
        let history = &self.reap_history;
        if history.confirmed.contains(&status.attempt) {
            return Some(UnexpectedAttemptLabel::Reaped);
        }
        let has_been_active =
            status.state != TaskState::Ended || history.suspected.contains(&status.attempt);
        let is_untracked = has_been_active && !self.attempts.contains_key(&status.attempt);
        is_untracked.then_some(UnexpectedAttemptLabel::Untracked)
    }
}

impl Partition {
    /// Counts and logs the attempts that a message lists and the worker should not have, each when it is first listed.
    pub(super) fn report_unexpected_attempts(
        &mut self,
        heartbeat: &Heartbeat,
        has_current_token: bool,
    ) {
        let Some(machine) = self.machines.get_mut(&heartbeat.machine) else {
            return;
        };
        machine.reap_history.confirm_unlisted(&heartbeat.tasks);
        let may_be_delayed = !has_current_token || !machine.reachability.is_confirmed();
        let unexpected: Vec<_> = heartbeat
            .tasks
            .iter()
            .filter_map(|status| Some((status, machine.unexpected_reason(status)?)))
            .collect();
        let attempts = unexpected.iter().map(|(status, _)| status.attempt);
        if may_be_delayed {
            machine.reap_history.suspected = attempts.collect();
            return;
        }
        let attempts = attempts.collect();
        let logged = std::mem::replace(&mut machine.reap_history.logged, attempts);
        machine.reap_history.suspected.clear();
        for (status, reason) in unexpected {
            if logged.contains(&status.attempt) {
                continue;
            }
            self.metrics.count_unexpected_attempt(reason);
            tracing::error!(
                task = %status.task, attempt = %status.attempt, machine = %heartbeat.machine,
                token = %heartbeat.fencing_token, incarnation = %heartbeat.incarnation,
                sequence_number = %SequenceNumber::of(heartbeat), state = ?status.state, ?reason,
                "worker lists an attempt that it should not have; stopping it"
            );
        }
    }
}

#[cfg(test)]
mod tests;
