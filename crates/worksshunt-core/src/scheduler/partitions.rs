//! The leader's view of the parts: their machines, the room there, and what their owners have to
//! be told.

use std::collections::{BTreeMap, BTreeSet};

use worksshunt_wire::peer::{
    Assignment, AttemptOutcome, LeaderDirectives, MachineDirectives, MachineStatus,
    PartitionStatus, Phase,
};
use worksshunt_wire::{Attempt, ControllerName, MachineId};

use crate::constants::partition_sync::{
    PARTITION_SILENT_MS, PROGRESS_INTERVAL_MS, SYNC_MAX_CHANGES,
};
use crate::constants::placement::ROUNDING_TOLERANCE;
use crate::constants::services::SILENT_RELEASE_MACHINE_DIVISOR;
use crate::jobs::Job;
use crate::resources::Resources;
use crate::time::Time;

use super::{ActiveAttempt, Scheduler};

/// One machine, with the room left after what was handed out and not placed yet.
#[derive(Debug)]
pub struct MachineView {
    /// As its owner last described it.
    pub status: MachineStatus,
    /// Since when it is empty.
    pub idle_since: Option<Time>,
    /// Since when it takes no tasks.
    pub unusable_since: Option<Time>,
    /// What is taken from it for tasks on their way.
    reserved: Resources,
    /// What is left.
    pub free: Resources,
}

impl MachineView {
    /// Whether tasks are on their way to it.
    pub fn has_reservations(&self) -> bool {
        self.reserved.cpus > ROUNDING_TOLERANCE
    }

    fn recompute_free(&mut self) {
        self.free = Resources::default();
        if self.status.schedulable {
            self.free = Resources {
                cpus: self.status.cpus,
                gpus: self.status.gpus,
                memory_gb: self.status.memory_gb,
            };
            self.free.allocate(&self.reserved);
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
pub(super) enum Directive {
    Assign(Attempt),
    Stop(Attempt),
    MarkDurable(Attempt),
}

/// Number of an answer that was not given yet.
const UNSENT: u64 = u64::MAX;

/// A part as its owner describes it.
#[derive(Debug, Default)]
pub(super) struct PartitionView {
    /// Answers given to its owner.
    directives_sent: u64,
    /// Number of its owner's last message.
    last_sequence: u64,
    /// Number of the last answer its owner has acted on.
    acknowledged: u64,
    /// When its owner was last heard.
    last_heard_at: Time,
    pub machines: BTreeMap<MachineId, MachineView>,
    /// Machines with room, those with fewest free processors first.
    machines_by_free_cpus: BTreeSet<(FreeCpus, MachineId)>,
    /// What its owner has to be told, each with the number of the answer that said it last. It is there
    /// once, however often an owner that is not answered in time gives cause for it.
    outbox: BTreeMap<Directive, u64>,
    /// What its owner was last told of its machines, and in which answer.
    last_machine_directives: Option<(u64, MachineDirectives)>,
    progress_at: Option<Time>,
}

impl PartitionView {
    pub fn enqueue(&mut self, directives: Directive) {
        self.outbox.insert(directives, UNSENT);
    }

    /// Whether its owner speaks with the leader.
    pub fn is_responsive(&self, now: Time) -> bool {
        now.since(self.last_heard_at) < PARTITION_SILENT_MS
    }

    /// Takes a task's room out of a machine.
    pub fn reserve(&mut self, id: &MachineId, job: &Job) {
        self.adjust(id, |view| view.reserved.release(&job.resources()));
    }

    /// Gives reserved room back.
    pub fn unreserve(&mut self, id: Option<&MachineId>, job: &Job) {
        if let Some(id) = id {
            self.adjust(id, |view| view.reserved.allocate(&job.resources()));
        }
    }

    /// Machines with at least so many free processors, those with fewest first.
    pub fn with_free_cpus(&self, cpus: f64) -> impl Iterator<Item = &MachineView> {
        let from = (
            FreeCpus::of(cpus - ROUNDING_TOLERANCE),
            MachineId(String::new()),
        );
        let ids = self.machines_by_free_cpus.range(from..).map(|(_, id)| id);
        ids.filter_map(|id| self.machines.get(id))
    }

    fn adjust(&mut self, id: &MachineId, change: impl FnOnce(&mut MachineView)) {
        let Some(view) = self.machines.get_mut(id) else {
            return;
        };
        let before = FreeCpus::of(view.free.cpus);
        change(view);
        view.recompute_free();
        let after = FreeCpus::of(view.free.cpus);
        let has_room = view.free.cpus > ROUNDING_TOLERANCE;
        if before != after {
            self.machines_by_free_cpus.remove(&(before, id.clone()));
        }
        if has_room {
            self.machines_by_free_cpus.insert((after, id.clone()));
        } else {
            self.machines_by_free_cpus.remove(&(after, id.clone()));
        }
    }

    fn update_machine(&mut self, status: MachineStatus, now: Time) {
        let id = status.id.clone();
        let idle_since = status.idle_ms.map(|idle| now - idle);
        if !self.machines.contains_key(&id) {
            // Its owner knows nothing of what was wanted of it before.
            self.last_machine_directives = None;
        }
        let view = self.machines.entry(id.clone()).or_insert(MachineView {
            status: status.clone(),
            idle_since,
            unusable_since: None,
            reserved: Resources::default(),
            free: Resources::default(),
        });
        view.unusable_since = match status.schedulable {
            true => None,
            false => view.unusable_since.or(Some(now)),
        };
        view.status = status;
        view.idle_since = idle_since;
        self.adjust(&id, |_| {});
    }

    fn remove_machine(&mut self, id: &MachineId) {
        if let Some(view) = self.machines.remove(id) {
            let free = FreeCpus::of(view.free.cpus);
            self.machines_by_free_cpus.remove(&(free, id.clone()));
        }
    }
}

impl Scheduler {
    /// Takes in what has changed in a part. A message that a later one has overtaken is ignored.
    pub fn apply_status(&mut self, now: Time, status: PartitionStatus) {
        let Some(partition) = self.partitions.get_mut(&status.from) else {
            return;
        };
        if status.sequence <= partition.last_sequence {
            return;
        }
        partition.last_sequence = status.sequence;
        partition.acknowledged = status.acknowledged;
        partition.last_heard_at = now;
        partition
            .outbox
            .retain(|_, sent| *sent == UNSENT || *sent > status.acknowledged);
        for ended in &status.ended_attempts {
            let ran_ms = self
                .active_attempts
                .get(&ended.attempt)
                .map_or(0, |o| o.running_ms(now));
            let known = self
                .remove_attempt(ended.attempt, ended.outcome, now)
                .is_some();
            if known && ended.outcome == AttemptOutcome::Failed {
                self.task_failed(now, ended, ran_ms);
            }
        }
        for listed in &status.attempts {
            if !self.active_attempts.contains_key(&listed.attempt) {
                self.insert_attempt(
                    listed.attempt,
                    ActiveAttempt::new(listed.task, status.from.clone()),
                );
            }
            self.attempt_placed(listed.attempt, &listed.machine);
            let was = self
                .active_attempts
                .get(&listed.attempt)
                .map(|out| out.phase);
            self.set_phase(listed.attempt, listed.phase, listed.running_ms, now);
            if listed.phase == Phase::Completed {
                if was != Some(Phase::Completed) {
                    self.attempt_completed(listed.attempt, &status);
                }
                if self.is_durable(listed.task) {
                    self.send_directive(listed.attempt, |_| Directive::MarkDurable(listed.attempt));
                }
            } else if !self.is_wanted(listed.task) {
                self.send_directive(listed.attempt, |_| Directive::Stop(listed.attempt));
            }
        }
        if let Some(partition) = self.partitions.get_mut(&status.from) {
            for id in &status.removed_machines {
                partition.remove_machine(id);
            }
            for machine in status.machines {
                partition.update_machine(machine, now);
            }
        }
        self.round.request();
    }

    /// Takes back what was handed to parts whose owners do not speak with the leader and was never
    /// told them, for the others to do.
    pub fn reassign_unsent(&mut self, now: Time) {
        let mut untold = Vec::new();
        for partition in self
            .partitions
            .values_mut()
            .filter(|partition| !partition.is_responsive(now))
        {
            partition
                .outbox
                .retain(|message, sent| match (*sent, message) {
                    (UNSENT, Directive::Assign(attempt)) => {
                        untold.push(*attempt);
                        false
                    }
                    _ => true,
                });
        }
        for attempt in untold {
            self.remove_attempt(attempt, AttemptOutcome::Unplaced, now);
        }
    }

    /// Its owner has chosen a machine for an attempt.
    fn attempt_placed(&mut self, attempt: Attempt, machine: &MachineId) {
        let Some(out) = self.active_attempts.get_mut(&attempt) else {
            return;
        };
        let reserved = out.reserved_on.take();
        let partition = self.partitions.get_mut(&out.owner);
        if let (Some(partition), Some(job)) = (partition, &out.job) {
            partition.unreserve(reserved.as_ref(), job);
            if let Some(view) = partition.machines.get(machine) {
                out.zone = Some(view.status.zone.clone());
            }
        }
        out.machine = Some(machine.clone());
        if let Some(claimed) = out.claimed_machine.take() {
            self.release_claim(&claimed);
        }
    }

    /// An attempt was reported as completed for the first time.
    fn attempt_completed(&mut self, attempt: Attempt, status: &PartitionStatus) {
        let Some(out) = self.active_attempts.get_mut(&attempt) else {
            return;
        };
        if let Some(job) = &out.job {
            self.quota.refund(job);
        }
        if out.zone.is_none() {
            // Its machine may be described in the same message.
            let described = status
                .machines
                .iter()
                .find(|m| Some(&m.id) == out.machine.as_ref());
            out.zone = described.map(|m| m.zone.clone());
        }
        let (task, zone) = (out.task, out.zone.clone());
        self.task_completed(attempt, task, zone.as_deref());
    }

    /// The answer to a part's message last taken in. `gone` is the fleet's.
    pub fn directives_for<'a>(
        &mut self,
        now: Time,
        to: &ControllerName,
        gone: impl Iterator<Item = &'a MachineId>,
    ) -> LeaderDirectives {
        let progress = self.progress_due(now, to).then(|| self.progress());
        let held = self.held_claims();
        let Some(partition) = self.partitions.get_mut(to) else {
            return LeaderDirectives::default();
        };
        partition.directives_sent += 1;
        let mut directives = LeaderDirectives {
            epoch: self.epoch,
            in_reply_to: partition.last_sequence,
            sequence: partition.directives_sent,
            progress,
            ..LeaderDirectives::default()
        };
        for (message, sent) in &mut partition.outbox {
            // What is too much for one answer is left for the next; stops do not wait behind gives.
            let of_kind = match message {
                Directive::Assign(_) => directives.assignments.len(),
                Directive::Stop(_) => directives.stop_attempts.len(),
                Directive::MarkDurable(_) => directives.durable_attempts.len(),
            };
            if of_kind >= SYNC_MAX_CHANGES {
                continue;
            }
            *sent = partition.directives_sent;
            match message {
                Directive::Assign(attempt) => {
                    if let Some(out) = self
                        .active_attempts
                        .get(attempt)
                        .filter(|o| o.machine.is_none())
                    {
                        directives.assignments.push(Assignment {
                            task: out.task,
                            attempt: *attempt,
                            zone: out.zone.clone(),
                            claimed: out.claimed_machine.clone(),
                        });
                    }
                }
                Directive::Stop(attempt) => directives.stop_attempts.push(*attempt),
                Directive::MarkDurable(attempt) => directives.durable_attempts.push(*attempt),
            }
        }
        let here = |id: &&MachineId| partition.machines.contains_key(id);
        let machine_directives = MachineDirectives {
            draining: self.draining.iter().filter(here).cloned().collect(),
            claimed: held.iter().filter(here).cloned().collect(),
            terminated: gone.filter(here).cloned().collect(),
        };
        let confirmed = |(sequence, told): &(u64, MachineDirectives)| {
            *told == machine_directives && *sequence <= partition.acknowledged
        };
        if !partition
            .last_machine_directives
            .as_ref()
            .is_some_and(confirmed)
        {
            partition.last_machine_directives =
                Some((partition.directives_sent, machine_directives.clone()));
            directives.machine_directives = Some(machine_directives);
        }
        directives
    }

    fn progress_due(&mut self, now: Time, to: &ControllerName) -> bool {
        let Some(partition) = self.partitions.get_mut(to) else {
            return false;
        };
        let due = partition
            .progress_at
            .is_none_or(|at| now.since(at) >= PROGRESS_INTERVAL_MS);
        if due {
            partition.progress_at = Some(now);
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
            .active_attempts
            .values()
            .filter(|out| out.job.as_ref().is_some_and(|job| job.is_service()))
            .filter_map(|out| out.machine.as_ref())
            .collect();
        let mut silent = Vec::new();
        let mut zones: BTreeMap<&String, (usize, usize)> = BTreeMap::new();
        for partition in self
            .partitions
            .values()
            .filter(|partition| partition.is_responsive(now))
        {
            for view in partition.machines.values() {
                let (all, unusable) = zones.entry(&view.status.zone).or_default();
                *all += 1;
                let Some(since) = view.unusable_since else {
                    continue;
                };
                *unusable += 1;
                let long = now.since(since) >= self.silent_release_ms;
                if long && !view.status.reclaim_notice && replicas.contains(&view.status.id) {
                    silent.push((&view.status.zone, &view.status.id));
                }
            }
        }
        let alone = |zone: &String| {
            let counts = zones.get(zone).copied();
            counts.is_some_and(|(all, unusable)| unusable * SILENT_RELEASE_MACHINE_DIVISOR <= all)
        };
        let few = silent.into_iter().filter(|(zone, _)| alone(zone));
        few.map(|(_, id)| id.clone()).collect()
    }

    /// All machines of all parts.
    pub fn machines(&self) -> impl Iterator<Item = &MachineView> {
        self.partitions
            .values()
            .flat_map(|partition| partition.machines.values())
    }

    /// Whether every part has described itself in this epoch.
    pub fn all_partitions_reported(&self) -> bool {
        self.partitions
            .values()
            .all(|partition| partition.directives_sent > 0)
    }
}

#[cfg(test)]
mod tests;
