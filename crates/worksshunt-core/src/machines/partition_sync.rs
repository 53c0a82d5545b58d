//! What a part's owner and the leader tell each other.

use std::collections::BTreeSet;

use worksshunt_wire::peer::{
    AttemptEnded, AttemptStatus, LeaderDirectives, MachineStatus, PartitionStatus,
};
use worksshunt_wire::{Attempt, ControllerName, Epoch, MachineId};

use crate::constants::partition_sync::{SYNC_MAX_CHANGES, SYNC_MAX_MACHINES};
use crate::time::Time;

use super::machine::{AttemptState, Machine};
use super::{grace, Partition, Queued};

/// What the leader does not know yet, and what it is being told.
#[derive(Debug, Default)]
pub(super) struct PendingUpdates {
    pub machines: BTreeSet<MachineId>,
    pub removed_machines: BTreeSet<MachineId>,
    pub attempts: BTreeSet<Attempt>,
    pub ended_attempts: Vec<AttemptEnded>,
    /// Number of the last message.
    sequence: u64,
    /// Number of the last answer acted on.
    acknowledged: u64,
    /// What the message under way tells.
    in_flight: Option<UpdateBatch>,
}

#[derive(Debug, Default)]
struct UpdateBatch {
    machines: BTreeSet<MachineId>,
    removed_machines: BTreeSet<MachineId>,
    attempts: BTreeSet<Attempt>,
    ended_attempts: Vec<AttemptEnded>,
}

/// Takes out the first entries of a set, so many at the most.
fn take_first<T: Ord>(set: &mut BTreeSet<T>, most: usize) -> BTreeSet<T> {
    if set.len() <= most {
        return std::mem::take(set);
    }
    let mut first = BTreeSet::new();
    while first.len() < most {
        let Some(entry) = set.pop_first() else { break };
        first.insert(entry);
    }
    first
}

impl PendingUpdates {
    /// Takes out what the next message tells. What is too much for one message is left for the next.
    fn take_batch(&mut self) -> UpdateBatch {
        let ended = self.ended_attempts.len().min(SYNC_MAX_CHANGES);
        UpdateBatch {
            machines: take_first(&mut self.machines, SYNC_MAX_MACHINES),
            removed_machines: take_first(&mut self.removed_machines, SYNC_MAX_MACHINES),
            attempts: take_first(&mut self.attempts, SYNC_MAX_CHANGES),
            ended_attempts: self.ended_attempts.drain(..ended).collect(),
        }
    }

    /// The message under way was not answered: all of it has to be told again.
    fn requeue_unacknowledged(&mut self) {
        if let Some(told) = self.in_flight.take() {
            self.machines.extend(told.machines);
            self.removed_machines.extend(told.removed_machines);
            self.attempts.extend(told.attempts);
            // What was told first is told first again.
            let later = std::mem::replace(&mut self.ended_attempts, told.ended_attempts);
            self.ended_attempts.extend(later);
        }
    }
}

impl Partition {
    /// Whether something changed that the leader should hear of soon.
    pub fn has_pending_updates(&self) -> bool {
        let o = &self.pending_updates;
        !(o.machines.is_empty()
            && o.removed_machines.is_empty()
            && o.attempts.is_empty()
            && o.ended_attempts.is_empty())
    }

    /// What has changed since the leader last confirmed, as much of it as one message tells.
    pub fn next_status(
        &mut self,
        now: Time,
        epoch: Epoch,
        from: &ControllerName,
    ) -> PartitionStatus {
        self.pending_updates.requeue_unacknowledged();
        let told = self.pending_updates.take_batch();
        let machines = told.machines.iter();
        let attempts = told.attempts.iter();
        let status = PartitionStatus {
            epoch,
            from: from.clone(),
            sequence: self.pending_updates.sequence + 1,
            acknowledged: self.pending_updates.acknowledged,
            machines: machines
                .filter_map(|id| machine_up(id, self.machines.get(id)?, now))
                .collect(),
            removed_machines: told
                .removed_machines
                .iter()
                .filter(|id| !self.machines.contains_key(id))
                .cloned()
                .collect(),
            attempts: attempts
                .filter_map(|attempt| self.attempt_status(*attempt, now))
                .collect(),
            ended_attempts: told.ended_attempts.clone(),
        };
        self.pending_updates.sequence += 1;
        self.pending_updates.in_flight = Some(told);
        status
    }

    fn attempt_status(&self, attempt: Attempt, now: Time) -> Option<AttemptStatus> {
        let id = self.machine_by_attempt.get(&attempt)?;
        let tracked = self.machines.get(id)?.attempts.get(&attempt)?;
        Some(AttemptStatus {
            task: tracked.task,
            attempt,
            machine: id.clone(),
            phase: tracked.reported_phase(),
            running_ms: match tracked.state {
                AttemptState::Running(since) => now.since(since),
                _ => 0,
            },
        })
    }

    /// The leader did not answer.
    pub fn status_unanswered(&mut self) {
        self.pending_updates.requeue_unacknowledged();
    }

    /// Takes in the leader's answer. One that belongs to another message is ignored.
    pub fn apply_directives(&mut self, directives: &LeaderDirectives, now: Time) {
        if directives.in_reply_to != self.pending_updates.sequence
            || self.pending_updates.in_flight.take().is_none()
        {
            return;
        }
        self.pending_updates.acknowledged = directives.sequence;
        for assignment in &directives.assignments {
            self.queue.push_back(Queued {
                assignment: assignment.clone(),
                queued_at: now,
            });
            self.placement_needed = true;
        }
        for attempt in &directives.stop_attempts {
            let queued = self
                .queue
                .iter()
                .position(|q| q.assignment.attempt == *attempt);
            if let Some(queued) = queued.and_then(|index| self.queue.remove(index)) {
                self.return_unplaced(&queued.assignment);
            }
            let job = self.machine_by_attempt.get(attempt).and_then(|id| {
                let tracked = self.machines.get(id)?.attempts.get(attempt)?;
                tracked.job.clone()
            });
            self.request_stop(*attempt, job.map_or(0.0, |job| grace(&job)), now);
        }
        for attempt in &directives.durable_attempts {
            let machine = self
                .machine_by_attempt
                .get(attempt)
                .and_then(|id| self.machines.get_mut(id));
            if let Some(tracked) = machine.and_then(|machine| machine.attempts.get_mut(attempt)) {
                tracked.durable = true;
            }
        }
        let Some(directives) = &directives.machine_directives else {
            return;
        };
        let drains: BTreeSet<&MachineId> = directives.draining.iter().collect();
        let claims: BTreeSet<&MachineId> = directives.claimed.iter().collect();
        let mut changed = Vec::new();
        for (id, machine) in &mut self.machines {
            let (draining, claimed) = (drains.contains(id), claims.contains(id));
            if (machine.draining, machine.claimed) != (draining, claimed) {
                machine.draining = draining;
                machine.claimed = claimed;
                changed.push(id.clone());
            }
        }
        for id in changed {
            self.refresh_summary(&id, now);
            self.placement_needed = true;
        }
        for id in &directives.terminated {
            self.machine_terminated(id, now);
        }
    }
}

/// What the leader is told of a machine; nothing before it is known to be there.
fn machine_up(id: &MachineId, machine: &Machine, now: Time) -> Option<MachineStatus> {
    let info = machine.info.as_ref()?;
    let summary = machine.summary;
    summary.known.then(|| MachineStatus {
        id: id.clone(),
        machine_type: info.machine_type.clone(),
        zone: info.zone.clone(),
        spot: info.spot,
        schedulable: summary.schedulable,
        idle_ms: machine.empty_since.map(|since| now.since(since)),
        cpus: summary.free.cpus,
        gpus: summary.free.gpus,
        memory_gb: summary.free.memory_gb,
        reclaim_notice: summary.reclaim_notice,
        unreachable: summary.unreachable,
        lost: summary.lost,
    })
}

#[cfg(test)]
mod tests;
