//! What a part's owner and the leader tell each other.

use std::collections::BTreeSet;

use worksshunt_wire::peer::{AttemptUp, Ended, MachineUp, SyncDown, SyncUp};
use worksshunt_wire::{Attempt, Epoch, MachineId, NodeName};

use crate::constants::{SYNC_CHANGES, SYNC_MACHINES};
use crate::time::Time;

use super::machine::{AttemptState, Machine};
use super::{grace, Part, Queued};

/// What the leader does not know yet, and what it is being told.
#[derive(Debug, Default)]
pub(super) struct Outgoing {
    pub machines: BTreeSet<MachineId>,
    pub forgotten: BTreeSet<MachineId>,
    pub attempts: BTreeSet<Attempt>,
    pub ended: Vec<Ended>,
    /// Number of the last message.
    number: u64,
    /// Number of the last answer acted on.
    seen: u64,
    /// What the message under way tells.
    under_way: Option<Told>,
}

#[derive(Debug, Default)]
struct Told {
    machines: BTreeSet<MachineId>,
    forgotten: BTreeSet<MachineId>,
    attempts: BTreeSet<Attempt>,
    ended: Vec<Ended>,
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

impl Outgoing {
    /// Takes out what the next message tells. What is too much for one message is left for the next.
    fn begin(&mut self) -> Told {
        let ended = self.ended.len().min(SYNC_CHANGES);
        Told {
            machines: take_first(&mut self.machines, SYNC_MACHINES),
            forgotten: take_first(&mut self.forgotten, SYNC_MACHINES),
            attempts: take_first(&mut self.attempts, SYNC_CHANGES),
            ended: self.ended.drain(..ended).collect(),
        }
    }

    /// The message under way was not answered: all of it has to be told again.
    fn tell_again(&mut self) {
        if let Some(told) = self.under_way.take() {
            self.machines.extend(told.machines);
            self.forgotten.extend(told.forgotten);
            self.attempts.extend(told.attempts);
            // What was told first is told first again.
            let later = std::mem::replace(&mut self.ended, told.ended);
            self.ended.extend(later);
        }
    }
}

impl Part {
    /// Whether something changed that the leader should hear of soon.
    pub fn changed(&self) -> bool {
        let o = &self.outgoing;
        !(o.machines.is_empty()
            && o.forgotten.is_empty()
            && o.attempts.is_empty()
            && o.ended.is_empty())
    }

    /// What has changed since the leader last confirmed, as much of it as one message tells.
    pub fn sync_up(&mut self, now: Time, epoch: Epoch, from: &NodeName) -> SyncUp {
        self.outgoing.tell_again();
        let told = self.outgoing.begin();
        let machines = told.machines.iter();
        let attempts = told.attempts.iter();
        let up = SyncUp {
            epoch,
            from: from.clone(),
            number: self.outgoing.number + 1,
            seen: self.outgoing.seen,
            machines: machines
                .filter_map(|id| machine_up(id, self.machines.get(id)?, now))
                .collect(),
            forgotten: told
                .forgotten
                .iter()
                .filter(|id| !self.machines.contains_key(id))
                .cloned()
                .collect(),
            attempts: attempts
                .filter_map(|attempt| self.attempt_up(*attempt, now))
                .collect(),
            ended: told.ended.clone(),
        };
        self.outgoing.number += 1;
        self.outgoing.under_way = Some(told);
        up
    }

    fn attempt_up(&self, attempt: Attempt, now: Time) -> Option<AttemptUp> {
        let id = self.homes.get(&attempt)?;
        let tracked = self.machines.get(id)?.attempts.get(&attempt)?;
        Some(AttemptUp {
            task: tracked.task,
            attempt,
            machine: id.clone(),
            phase: tracked.phase(),
            ran_ms: match tracked.state {
                AttemptState::Running(since) => now.since(since),
                _ => 0,
            },
        })
    }

    /// The leader did not answer.
    pub fn unanswered(&mut self) {
        self.outgoing.tell_again();
    }

    /// Takes in the leader's answer. One that belongs to another message is ignored.
    pub fn apply(&mut self, down: &SyncDown, now: Time) {
        if down.number != self.outgoing.number || self.outgoing.under_way.take().is_none() {
            return;
        }
        self.outgoing.seen = down.seq;
        for give in &down.gives {
            self.queue.push_back(Queued {
                give: give.clone(),
                since: now,
            });
            self.placeable = true;
        }
        for attempt in &down.stops {
            let queued = self.queue.iter().position(|q| q.give.attempt == *attempt);
            if let Some(queued) = queued.and_then(|index| self.queue.remove(index)) {
                self.hand_back(&queued.give);
            }
            let job = self.homes.get(attempt).and_then(|id| {
                let tracked = self.machines.get(id)?.attempts.get(attempt)?;
                tracked.job.clone()
            });
            self.stop(*attempt, job.map_or(0.0, |job| grace(&job)), now);
        }
        for attempt in &down.durable {
            let machine = self
                .homes
                .get(attempt)
                .and_then(|id| self.machines.get_mut(id));
            if let Some(tracked) = machine.and_then(|machine| machine.attempts.get_mut(attempt)) {
                tracked.durable = true;
            }
        }
        let Some(wishes) = &down.wishes else { return };
        let drains: BTreeSet<&MachineId> = wishes.drains.iter().collect();
        let claims: BTreeSet<&MachineId> = wishes.claims.iter().collect();
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
            self.look_at(&id, now);
            self.placeable = true;
        }
        for id in &wishes.gone {
            self.returned(id, now);
        }
    }
}

/// What the leader is told of a machine; nothing before it is known to be there.
fn machine_up(id: &MachineId, machine: &Machine, now: Time) -> Option<MachineUp> {
    let info = machine.info.as_ref()?;
    let summary = machine.summary;
    summary.known.then(|| MachineUp {
        id: id.clone(),
        machine_type: info.machine_type.clone(),
        zone: info.zone.clone(),
        spot: info.spot,
        usable: summary.usable,
        idle_ms: machine.empty_since.map(|since| now.since(since)),
        cpus: summary.free.cpus,
        gpus: summary.free.gpus,
        memory_gb: summary.free.memory_gb,
        noticed: summary.noticed,
        unreached: summary.unreached,
        lost: summary.lost,
    })
}

#[cfg(test)]
mod tests;
