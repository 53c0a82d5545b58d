//! What workers say, and what they are told.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use worksshunt_wire::cloud::Catalog;
use worksshunt_wire::peer::AttemptOutcome;
use worksshunt_wire::worker::{Command, ExitReason, Heartbeat, TaskState, TaskStatus};
use worksshunt_wire::{Attempt, Epoch, Incarnation, MachineId};

use crate::constants::workers::{HEARTBEAT_HISTORY_ENTRIES, HEARTBEAT_HISTORY_MS};
use crate::placement::{Outcome, Speed};
use crate::resources::Resources;
use crate::time::Time;

use super::machine::{AttemptState, Machine, MachineInfo, Reachability};
use super::worker_lease::{Arrival, SequenceNumber};
use super::Partition;

/// The newest report seen of machines that are not in the part (any more), so that a late copy is
/// known for one whenever it comes.
#[derive(Debug, Default)]
pub(super) struct HeartbeatHistory {
    newest_by_machine: BTreeMap<MachineId, SequenceNumber>,
    /// When each was first noted, the earliest first.
    order: VecDeque<(Time, MachineId)>,
}

impl HeartbeatHistory {
    pub fn record(&mut self, id: &MachineId, newest: SequenceNumber, now: Time) {
        match self.newest_by_machine.get_mut(id) {
            Some(before) => *before = newest.max(*before),
            None => {
                self.newest_by_machine.insert(id.clone(), newest);
                self.order.push_back((now, id.clone()));
                self.forget_oldest(now);
            }
        }
    }

    /// Forgets what was noted first, if there are many and no copy of its reports can come any more.
    fn forget_oldest(&mut self, now: Time) {
        let old = |(noted, _): &(Time, MachineId)| now.since(*noted) >= HEARTBEAT_HISTORY_MS;
        while self.order.len() > HEARTBEAT_HISTORY_ENTRIES && self.order.front().is_some_and(old) {
            if let Some((_, oldest)) = self.order.pop_front() {
                self.newest_by_machine.remove(&oldest);
            }
        }
    }

    pub fn newest_message(&self, id: &MachineId) -> SequenceNumber {
        self.newest_by_machine
            .get(id)
            .copied()
            .unwrap_or((Incarnation(0), 0))
    }
}

/// What becomes of a report.
#[derive(Debug, Clone, PartialEq)]
pub enum HeartbeatOutcome {
    /// The lease counts as renewed, so the report may be answered, with these commands.
    Accepted(Vec<Command>),
    /// It was not counted, so an answer must not renew the lease.
    Rejected,
}

impl Partition {
    /// Takes in a worker's report. What an overtaken one says is older than what is known and changes nothing; a copy
    /// of one answered before changes nothing at all.
    pub fn process_heartbeat(
        &mut self,
        now: Time,
        heartbeat: &Heartbeat,
        epoch: Epoch,
        catalog: &Catalog,
    ) -> HeartbeatOutcome {
        let id = &heartbeat.machine;
        let number = (heartbeat.incarnation, heartbeat.sequence);
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
                tracing::debug!(machine = %id, ?number, ?newest, "stale report: not answered");
                return HeartbeatOutcome::Rejected;
            }
            Arrival::Overtaken => {
                tracing::info!(machine = %id, ?number, ?newest, "overtaken report: its lease counts");
                machine.lease.record_renewal(number, now);
                return HeartbeatOutcome::Accepted(Vec::new());
            }
            Arrival::Newest => machine.lease.record_renewal(number, now),
        }
        self.apply_message(now, heartbeat, epoch, catalog, false);
        let commands = self.commands_for(heartbeat, now);
        for command in &commands {
            tracing::debug!(machine = %heartbeat.machine, token = %epoch, ?number, %command, "answered with");
        }
        HeartbeatOutcome::Accepted(commands)
    }

    /// A machine that is not in the part reports to it.
    fn register(&mut self, id: &MachineId, now: Time) {
        let newest = self.heartbeat_history.newest_message(id);
        let mut machine = Machine::new(now, now, newest);
        if newest != (Incarnation(0), 0) {
            // It was here before and was given up: what comes now may be a last late word.
            machine.set_reachability(Reachability::Suspect { since: now });
        }
        self.machines.insert(id.clone(), machine);
        self.pending_updates.removed_machines.remove(id);
    }

    /// Takes in what a worker says, with a report or (`direct`) in answer to direct orders, which
    /// renews no lease but proves that the worker is reached. What is older than what is known
    /// changes nothing.
    pub(super) fn apply_message(
        &mut self,
        now: Time,
        heartbeat: &Heartbeat,
        epoch: Epoch,
        catalog: &Catalog,
        direct: bool,
    ) {
        let id = &heartbeat.machine;
        let silent_ms = self.timeouts.missed_heartbeats_ms;
        let Some(machine) = self.machines.get_mut(id) else {
            return;
        };
        let number = (heartbeat.incarnation, heartbeat.sequence);
        let before = machine.lease.newest_message;
        if number <= before {
            return;
        }
        let current = heartbeat.fencing_token >= epoch;
        if !direct {
            // A worker whose session is over was not reached by our answers; one that was given up
            // or silent for long may speak through a late copy only.
            let over = before.0 > Incarnation(0) && heartbeat.incarnation > before.0;
            let silent =
                machine.info.is_some() && now.since(machine.lease.last_message_at) > silent_ms;
            if over || silent || machine.lost {
                machine.set_reachability(Reachability::Suspect { since: now });
            }
            machine.record_shown_token(current, now);
            machine.unheeded_responses += 1;
        }
        machine
            .unreaped
            .retain(|_, incarnation| *incarnation >= heartbeat.incarnation);
        machine.lease.record_message(number, now);
        machine.lost = false;
        if machine.info.is_none() {
            machine.info = catalog.get(&heartbeat.machine_type).map(|t| MachineInfo {
                machine_type: heartbeat.machine_type.clone(),
                zone: heartbeat.zone.clone(),
                spot: heartbeat.spot,
                capacity: Resources::of_machine_type(t),
                command_address: heartbeat.addr.clone(),
            });
        }
        match heartbeat.notice_s {
            Some(left) if machine.reclaim_at.is_none() => {
                tracing::info!(machine = %id, left_s = left, "the cloud will take this machine");
                machine.reclaim_at = Some(now + (left.max(0.0) * 1_000.0) as u64);
            }
            _ => {}
        }
        self.end_attempts_of_older_incarnations(id, heartbeat.incarnation, now);
        self.apply_listed_tasks(heartbeat, now);
        // Whatever a former owner sent is refused once the worker has seen this epoch's token, so
        // from then on a task that is not listed is not there.
        self.apply_unlisted_attempts(heartbeat, current, direct, now);
        let doubtful = |m: &Machine| matches!(m.reachability, Reachability::Suspect { .. });
        if self.machines.get(id).is_some_and(doubtful) {
            self.end_unlaunched(id, now);
            self.pending_commands.insert(id.clone());
        }
        self.refresh_summary(id, now);
    }

    /// A worker kills and forgets everything when its session ends.
    fn end_attempts_of_older_incarnations(
        &mut self,
        id: &MachineId,
        incarnation: Incarnation,
        now: Time,
    ) {
        let Some(machine) = self.machines.get(id) else {
            return;
        };
        let gone: Vec<Attempt> = machine
            .attempts
            .iter()
            .filter(|(_, tracked)| {
                tracked.incarnation < incarnation && tracked.state != AttemptState::Completed
            })
            .map(|(attempt, _)| *attempt)
            .collect();
        if !gone.is_empty() {
            tracing::debug!(machine = %id, ?incarnation, ?gone, "attempts ended with their session");
        }
        for attempt in gone {
            self.end_attempt(id, attempt, AttemptOutcome::Lost, now);
        }
    }

    fn apply_listed_tasks(&mut self, heartbeat: &Heartbeat, now: Time) {
        let id = &heartbeat.machine;
        let mut ended = Vec::new();
        let Some(machine) = self.machines.get_mut(id) else {
            return;
        };
        machine.has_unknown_tasks = false;
        for listed in &heartbeat.tasks {
            let Some(tracked) = machine.attempts.get_mut(&listed.attempt) else {
                machine.has_unknown_tasks |= listed.state != TaskState::Ended;
                continue;
            };
            let before = tracked.reported_phase();
            match (listed.state, listed.reason) {
                (TaskState::Fetching, _) => tracked.advance(AttemptState::Fetching),
                (TaskState::Running, _) => tracked.advance(AttemptState::Running(now)),
                (TaskState::Saving, _) => tracked.advance(AttemptState::Saving),
                // A replica is never done: one that ends has failed, whatever it says.
                (TaskState::Ended, Some(ExitReason::Done))
                    if tracked.job.as_ref().is_some_and(|job| job.is_service()) =>
                {
                    ended.push((listed.attempt, AttemptOutcome::Failed));
                }
                (TaskState::Ended, Some(ExitReason::Done)) => {
                    if tracked.state != AttemptState::Completed {
                        machine.failing_jobs.clear();
                        tracked.advance(AttemptState::Completed);
                        if let (Some(job), false) = (&tracked.job, tracked.inherited) {
                            let held_s = now.since(tracked.placed_at) as f64 / 1_000.0;
                            let estimate_s = job.spec.estimate_s;
                            tracing::debug!(task = %tracked.task, machine = %id, held_s, estimate_s, "completed");
                            self.speeds
                                .entry(id.clone())
                                .or_insert(Speed::UNMEASURED)
                                .record_measurement(
                                    estimate_s,
                                    held_s,
                                    self.parameters.start_speed,
                                );
                        }
                        if let Some(band) = tracked.over_capacity_band.take() {
                            self.over_capacity.ended(band, Outcome::Completed);
                        }
                    }
                }
                (TaskState::Ended, Some(ExitReason::Error)) => {
                    ended.push((listed.attempt, AttemptOutcome::Failed));
                }
                (TaskState::Ended, _) => ended.push((listed.attempt, AttemptOutcome::Stopped)),
            }
            if tracked.reported_phase() != before {
                self.pending_updates.attempts.insert(listed.attempt);
            }
            if tracked.stop_grace_s.is_some() && !tracked.stop_sent {
                self.pending_commands.insert(id.clone());
            }
        }
        for (attempt, how) in ended {
            self.end_attempt(id, attempt, how, now);
        }
    }

    fn apply_unlisted_attempts(
        &mut self,
        heartbeat: &Heartbeat,
        definitive: bool,
        direct: bool,
        now: Time,
    ) {
        let id = &heartbeat.machine;
        let Some(machine) = self.machines.get_mut(id) else {
            return;
        };
        let listed: BTreeSet<Attempt> = heartbeat.tasks.iter().map(|t| t.attempt).collect();
        let mut gone = Vec::new();
        for (attempt, tracked) in &mut machine.attempts {
            if listed.contains(attempt) {
                continue;
            }
            match tracked.state {
                AttemptState::Recording | AttemptState::Recorded => {}
                // The answer that carried the launch was dropped, or this report would list it.
                AttemptState::Launched if direct => {}
                AttemptState::Launched if tracked.stop_grace_s.is_none() => {
                    tracked.advance(AttemptState::Recorded);
                    self.pending_commands.insert(id.clone());
                }
                // It can still arrive, so its absence means nothing.
                AttemptState::DirectlyLaunched => {}
                AttemptState::Completed if tracked.durable => {
                    gone.push((*attempt, AttemptOutcome::Acknowledged))
                }
                AttemptState::Completed => {}
                _ if definitive => gone.push((*attempt, AttemptOutcome::Lost)),
                _ => {}
            }
        }
        for (attempt, how) in gone {
            match how {
                AttemptOutcome::Acknowledged => {
                    self.untrack(id, attempt, how, now);
                }
                how => {
                    let (incarnation, number, token) = (
                        heartbeat.incarnation,
                        heartbeat.sequence,
                        heartbeat.fencing_token,
                    );
                    tracing::debug!(machine = %id, %attempt, ?incarnation, number, %token, direct, "not listed: gone");
                    self.end_attempt(id, attempt, how, now);
                }
            }
        }
    }

    fn commands_for(&mut self, heartbeat: &Heartbeat, now: Time) -> Vec<Command> {
        let Some(machine) = self.machines.get_mut(&heartbeat.machine) else {
            return Vec::new();
        };
        let mut commands = Vec::new();
        for TaskStatus {
            task,
            attempt,
            state,
            ..
        } in &heartbeat.tasks
        {
            let (task, attempt) = (*task, *attempt);
            let tracked = machine.attempts.get(&attempt);
            if *state == TaskState::Ended {
                // A completion is durable before the worker forgets it, and no launch of a forgotten
                // attempt may still be on its way.
                let reap = match tracked {
                    Some(tracked) => tracked.durable && !tracked.direct_launch_unanswered,
                    None => !machine.unreaped.contains_key(&attempt),
                };
                if reap {
                    commands.push(Command::Reap { task, attempt });
                }
                continue;
            }
            let grace_s = match tracked {
                None => Some(0.0),
                Some(tracked) => tracked.stop_grace_s,
            };
            match (grace_s, state) {
                (Some(grace_s), TaskState::Saving) if grace_s > 0.0 => {}
                (Some(grace_s), _) => commands.push(Command::Halt {
                    task,
                    attempt,
                    grace_s,
                }),
                (None, _) => {}
            }
        }
        let ordering = machine.commands_in_flight;
        let listed: BTreeSet<Attempt> = heartbeat.tasks.iter().map(|t| t.attempt).collect();
        let notice = machine.reclaim_at.is_some();
        for (attempt, tracked) in &mut machine.attempts {
            if tracked.incarnation != heartbeat.incarnation {
                continue;
            }
            let (task, attempt) = (tracked.task, *attempt);
            let launch = Command::Launch { task, attempt };
            match tracked.state {
                AttemptState::Recorded if tracked.stop_grace_s.is_none() && !notice => {
                    tracked.advance(AttemptState::Launched);
                    tracked.placed_at = now;
                    commands.push(launch);
                }
                // The direct launch was not answered: launched this way as well, which has no
                // effect if it did arrive. One that is no longer wanted is stopped at once; the
                // worker then knows it as ended, and the late copy has no effect either.
                AttemptState::DirectlyLaunched if !ordering && !listed.contains(&attempt) => {
                    commands.push(launch);
                    if tracked.stop_grace_s.is_some() {
                        let grace_s = 0.0;
                        commands.push(Command::Halt {
                            task,
                            attempt,
                            grace_s,
                        });
                    }
                }
                _ => {}
            }
        }
        commands
    }
}

#[cfg(test)]
mod tests;
