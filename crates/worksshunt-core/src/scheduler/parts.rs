//! The leader's view of the parts: their machines, the room there, and what their owners have to
//! be told.

use std::collections::{BTreeMap, BTreeSet};

use worksshunt_wire::peer::{End, Give, MachineUp, Phase, SyncDown, SyncUp, Wishes};
use worksshunt_wire::{Attempt, MachineId, NodeName};

use crate::constants::{PART_SILENT_MS, PROGRESS_EVERY_MS, ROUNDING, SILENT_SHARE, SYNC_CHANGES};
use crate::jobs::Job;
use crate::room::Room;
use crate::time::Time;

use super::{Out, Scheduler};

/// One machine, with the room left after what was handed out and not placed yet.
#[derive(Debug)]
pub struct MachineView {
    /// As its owner last described it.
    pub up: MachineUp,
    /// Since when it is empty.
    pub idle_since: Option<Time>,
    /// Since when it takes no tasks.
    pub unusable_since: Option<Time>,
    /// What is taken from it for tasks on their way.
    reserved: Room,
    /// What is left.
    pub room: Room,
}

impl MachineView {
    /// Whether tasks are on their way to it.
    pub fn awaits(&self) -> bool {
        self.reserved.cpus > ROUNDING
    }

    fn reckon(&mut self) {
        self.room = Room::default();
        if self.up.usable {
            self.room = Room {
                cpus: self.up.cpus,
                gpus: self.up.gpus,
                memory_gb: self.up.memory_gb,
            };
            self.room.take(&self.reserved);
        }
    }
}

/// Free processors of a machine, as they are ordered by.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct FreeCpus(u64);

impl FreeCpus {
    /// The bits of numbers from 0 up are in the order of the numbers.
    fn of(cpus: f64) -> FreeCpus {
        FreeCpus(cpus.max(0.0).to_bits())
    }
}

/// Something an owner has to be told once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Down {
    Assign(Attempt),
    Stop(Attempt),
    MarkDurable(Attempt),
}

/// Number of an answer that was not given yet.
const UNSENT: u64 = u64::MAX;

/// A part as its owner describes it.
#[derive(Debug, Default)]
pub(super) struct PartView {
    /// Answers given to its owner.
    answers: u64,
    /// Number of its owner's last message.
    number: u64,
    /// Number of the last answer its owner has acted on.
    seen: u64,
    /// When its owner was last heard.
    heard: Time,
    pub machines: BTreeMap<MachineId, MachineView>,
    /// Machines with room, those with fewest free processors first.
    open: BTreeSet<(FreeCpus, MachineId)>,
    /// What its owner has to be told, each with the number of the answer that said it last. It is there
    /// once, however often an owner that is not answered in time gives cause for it.
    outbox: BTreeMap<Down, u64>,
    /// What its owner was last told of its machines, and in which answer.
    wishes: Option<(u64, Wishes)>,
    progress_at: Option<Time>,
}

impl PartView {
    pub fn post(&mut self, down: Down) {
        self.outbox.insert(down, UNSENT);
    }

    /// Whether its owner speaks with the leader.
    pub fn speaks(&self, now: Time) -> bool {
        now.since(self.heard) < PART_SILENT_MS
    }

    /// Takes a task's room out of a machine.
    pub fn reserve(&mut self, id: &MachineId, job: &Job) {
        self.adjust(id, |view| view.reserved.give_back(&job.room()));
    }

    /// Gives reserved room back.
    pub fn unreserve(&mut self, id: Option<&MachineId>, job: &Job) {
        if let Some(id) = id {
            self.adjust(id, |view| view.reserved.take(&job.room()));
        }
    }

    /// Machines with at least so many free processors, those with fewest first.
    pub fn with_room(&self, cpus: f64) -> impl Iterator<Item = &MachineView> {
        let from = (FreeCpus::of(cpus - ROUNDING), MachineId(String::new()));
        let ids = self.open.range(from..).map(|(_, id)| id);
        ids.filter_map(|id| self.machines.get(id))
    }

    fn adjust(&mut self, id: &MachineId, change: impl FnOnce(&mut MachineView)) {
        let Some(view) = self.machines.get_mut(id) else {
            return;
        };
        let before = FreeCpus::of(view.room.cpus);
        change(view);
        view.reckon();
        let after = FreeCpus::of(view.room.cpus);
        let has_room = view.room.cpus > ROUNDING;
        if before != after {
            self.open.remove(&(before, id.clone()));
        }
        if has_room {
            self.open.insert((after, id.clone()));
        } else {
            self.open.remove(&(after, id.clone()));
        }
    }

    fn describe(&mut self, up: MachineUp, now: Time) {
        let id = up.id.clone();
        let idle_since = up.idle_ms.map(|idle| now - idle);
        if !self.machines.contains_key(&id) {
            // Its owner knows nothing of what was wanted of it before.
            self.wishes = None;
        }
        let view = self.machines.entry(id.clone()).or_insert(MachineView {
            up: up.clone(),
            idle_since,
            unusable_since: None,
            reserved: Room::default(),
            room: Room::default(),
        });
        view.unusable_since = match up.usable {
            true => None,
            false => view.unusable_since.or(Some(now)),
        };
        view.up = up;
        view.idle_since = idle_since;
        self.adjust(&id, |_| {});
    }

    fn forget(&mut self, id: &MachineId) {
        if let Some(view) = self.machines.remove(id) {
            let free = FreeCpus::of(view.room.cpus);
            self.open.remove(&(free, id.clone()));
        }
    }
}

impl Scheduler {
    /// Takes in what has changed in a part. A message that a later one has overtaken is ignored.
    pub fn sync(&mut self, now: Time, up: SyncUp) {
        let Some(part) = self.parts.get_mut(&up.from) else {
            return;
        };
        if up.number <= part.number {
            return;
        }
        part.number = up.number;
        part.seen = up.seen;
        part.heard = now;
        part.outbox
            .retain(|_, sent| *sent == UNSENT || *sent > up.seen);
        for ended in &up.ended {
            let ran_ms = self.outs.get(&ended.attempt).map_or(0, |o| o.ran_ms(now));
            let known = self.remove_out(ended.attempt, ended.how, now).is_some();
            if known && ended.how == End::Failed {
                self.failed(now, ended, ran_ms);
            }
        }
        for listed in &up.attempts {
            if !self.outs.contains_key(&listed.attempt) {
                self.insert_out(listed.attempt, Out::new(listed.task, up.from.clone()));
            }
            self.placed(listed.attempt, &listed.machine);
            let was = self.outs.get(&listed.attempt).map(|out| out.phase);
            self.set_phase(listed.attempt, listed.phase, listed.ran_ms, now);
            if listed.phase == Phase::Completed {
                if was != Some(Phase::Completed) {
                    self.complete_out(listed.attempt, &up);
                }
                if self.is_durable(listed.task) {
                    self.tell(listed.attempt, |_| Down::MarkDurable(listed.attempt));
                }
            } else if !self.wanted(listed.task) {
                self.tell(listed.attempt, |_| Down::Stop(listed.attempt));
            }
        }
        if let Some(part) = self.parts.get_mut(&up.from) {
            for id in &up.forgotten {
                part.forget(id);
            }
            for machine in up.machines {
                part.describe(machine, now);
            }
        }
        self.round.stir();
    }

    /// Takes back what was handed to parts whose owners do not speak with the leader and was never
    /// told them, for the others to do.
    pub fn take_back(&mut self, now: Time) {
        let mut untold = Vec::new();
        for part in self.parts.values_mut().filter(|part| !part.speaks(now)) {
            part.outbox.retain(|message, sent| match (*sent, message) {
                (UNSENT, Down::Assign(attempt)) => {
                    untold.push(*attempt);
                    false
                }
                _ => true,
            });
        }
        for attempt in untold {
            self.remove_out(attempt, End::Unplaced, now);
        }
    }

    /// Its owner has chosen a machine for an attempt.
    fn placed(&mut self, attempt: Attempt, machine: &MachineId) {
        let Some(out) = self.outs.get_mut(&attempt) else {
            return;
        };
        let reserved = out.reserved.take();
        let part = self.parts.get_mut(&out.part);
        if let (Some(part), Some(job)) = (part, &out.job) {
            part.unreserve(reserved.as_ref(), job);
            if let Some(view) = part.machines.get(machine) {
                out.zone = Some(view.up.zone.clone());
            }
        }
        out.machine = Some(machine.clone());
        if let Some(claimed) = out.claimed.take() {
            self.release(&claimed);
        }
    }

    /// An attempt was reported as completed for the first time.
    fn complete_out(&mut self, attempt: Attempt, up: &SyncUp) {
        let Some(out) = self.outs.get_mut(&attempt) else {
            return;
        };
        if let Some(job) = &out.job {
            self.quota.give_back(job);
        }
        if out.zone.is_none() {
            // Its machine may be described in the same message.
            let described = up
                .machines
                .iter()
                .find(|m| Some(&m.id) == out.machine.as_ref());
            out.zone = described.map(|m| m.zone.clone());
        }
        let (task, zone) = (out.task, out.zone.clone());
        self.completed(attempt, task, zone.as_deref());
    }

    /// The answer to a part's message last taken in. `gone` is the fleet's.
    pub fn answer<'a>(
        &mut self,
        now: Time,
        to: &NodeName,
        gone: impl Iterator<Item = &'a MachineId>,
    ) -> SyncDown {
        let progress = self.progress_due(now, to).then(|| self.progress());
        let held = self.held_claims();
        let Some(part) = self.parts.get_mut(to) else {
            return SyncDown::default();
        };
        part.answers += 1;
        let mut down = SyncDown {
            epoch: self.epoch,
            number: part.number,
            seq: part.answers,
            progress,
            ..SyncDown::default()
        };
        for (message, sent) in &mut part.outbox {
            // What is too much for one answer is left for the next; stops do not wait behind gives.
            let of_kind = match message {
                Down::Assign(_) => down.gives.len(),
                Down::Stop(_) => down.stops.len(),
                Down::MarkDurable(_) => down.durable.len(),
            };
            if of_kind >= SYNC_CHANGES {
                continue;
            }
            *sent = part.answers;
            match message {
                Down::Assign(attempt) => {
                    if let Some(out) = self.outs.get(attempt).filter(|o| o.machine.is_none()) {
                        down.gives.push(Give {
                            task: out.task,
                            attempt: *attempt,
                            zone: out.zone.clone(),
                            claimed: out.claimed.clone(),
                        });
                    }
                }
                Down::Stop(attempt) => down.stops.push(*attempt),
                Down::MarkDurable(attempt) => down.durable.push(*attempt),
            }
        }
        let here = |id: &&MachineId| part.machines.contains_key(id);
        let wishes = Wishes {
            drains: self.drains.iter().filter(here).cloned().collect(),
            claims: held.iter().filter(here).cloned().collect(),
            gone: gone.filter(here).cloned().collect(),
        };
        let confirmed = |(seq, told): &(u64, Wishes)| *told == wishes && *seq <= part.seen;
        if !part.wishes.as_ref().is_some_and(confirmed) {
            part.wishes = Some((part.answers, wishes.clone()));
            down.wishes = Some(wishes);
        }
        down
    }

    fn progress_due(&mut self, now: Time, to: &NodeName) -> bool {
        let Some(part) = self.parts.get_mut(to) else {
            return false;
        };
        let due = part
            .progress_at
            .is_none_or(|at| now.since(at) >= PROGRESS_EVERY_MS);
        if due {
            part.progress_at = Some(now);
        }
        due
    }

    /// Machines with replicas on them that have been without a word for so long that they are to be
    /// returned: the cloud's answer says that nothing is on them any more, well before their leases say
    /// it. What looks like a dead machine may be a controller cut from its workers, a zone cut off or a slow
    /// state service, but then it is not alone; so only a few are given up, where nearly all others speak.
    pub fn silent_with_replicas(&self, now: Time) -> Vec<MachineId> {
        if self.services.is_empty() {
            return Vec::new();
        }
        let replicas: BTreeSet<&MachineId> = self
            .outs
            .values()
            .filter(|out| out.job.as_ref().is_some_and(|job| job.is_service()))
            .filter_map(|out| out.machine.as_ref())
            .collect();
        let mut silent = Vec::new();
        let mut zones: BTreeMap<&String, (usize, usize)> = BTreeMap::new();
        for part in self.parts.values().filter(|part| part.speaks(now)) {
            for view in part.machines.values() {
                let (all, unusable) = zones.entry(&view.up.zone).or_default();
                *all += 1;
                let Some(since) = view.unusable_since else {
                    continue;
                };
                *unusable += 1;
                let long = now.since(since) >= self.silent_return_ms;
                if long && !view.up.noticed && replicas.contains(&view.up.id) {
                    silent.push((&view.up.zone, &view.up.id));
                }
            }
        }
        let alone = |zone: &String| {
            let counts = zones.get(zone).copied();
            counts.is_some_and(|(all, unusable)| unusable * SILENT_SHARE <= all)
        };
        let few = silent.into_iter().filter(|(zone, _)| alone(zone));
        few.map(|(_, id)| id.clone()).collect()
    }

    /// All machines of all parts.
    pub fn machines(&self) -> impl Iterator<Item = &MachineView> {
        self.parts.values().flat_map(|part| part.machines.values())
    }

    /// Whether every part has described itself in this epoch.
    pub fn all_heard(&self) -> bool {
        self.parts.values().all(|part| part.answers > 0)
    }
}

#[cfg(test)]
mod tests;
