//! What workers say, and what they are told.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use worksshunt_wire::cloud::Catalog;
use worksshunt_wire::peer::End;
use worksshunt_wire::worker::{Command, ExitReason, Report, ReportedTask, TaskState};
use worksshunt_wire::{Attempt, Epoch, MachineId, Session};

use crate::constants::{SIGHTINGS_KEPT, SIGHTINGS_KEPT_MS};
use crate::placement::{Outcome, Speed};
use crate::room::Room;
use crate::time::Time;

use super::lease::{Arrival, MessageNumber};
use super::machine::{AttemptState, Info, Machine, Reach};
use super::Part;

/// The newest report seen of machines that are not in the part (any more), so that a late copy is
/// known for one whenever it comes.
#[derive(Debug, Default)]
pub(super) struct Sightings {
    newest: BTreeMap<MachineId, MessageNumber>,
    /// When each was first noted, the earliest first.
    order: VecDeque<(Time, MachineId)>,
}

impl Sightings {
    pub fn note(&mut self, id: &MachineId, newest: MessageNumber, now: Time) {
        match self.newest.get_mut(id) {
            Some(before) => *before = newest.max(*before),
            None => {
                self.newest.insert(id.clone(), newest);
                self.order.push_back((now, id.clone()));
                self.forget_oldest(now);
            }
        }
    }

    /// Forgets what was noted first, if there are many and no copy of its reports can come any more.
    fn forget_oldest(&mut self, now: Time) {
        let old = |(noted, _): &(Time, MachineId)| now.since(*noted) >= SIGHTINGS_KEPT_MS;
        while self.order.len() > SIGHTINGS_KEPT && self.order.front().is_some_and(old) {
            if let Some((_, oldest)) = self.order.pop_front() {
                self.newest.remove(&oldest);
            }
        }
    }

    pub fn newest(&self, id: &MachineId) -> MessageNumber {
        self.newest.get(id).copied().unwrap_or((Session(0), 0))
    }
}

/// What becomes of a report.
#[derive(Debug, Clone, PartialEq)]
pub enum ReportReply {
    /// The lease counts as renewed, so the report may be answered, with these commands.
    Counted(Vec<Command>),
    /// It was not counted, so an answer must not renew the lease.
    Stale,
}

impl Part {
    /// Takes in a worker's report. What an overtaken one says is older than what is known and changes nothing; a copy
    /// of one answered before changes nothing at all.
    pub fn report(
        &mut self,
        now: Time,
        report: &Report,
        epoch: Epoch,
        catalog: &Catalog,
    ) -> ReportReply {
        let id = &report.machine;
        let number = (report.session, report.seq);
        let arrival = match self.machines.get(id) {
            Some(machine) => machine.lease.arrival(number, now),
            None if number > self.sightings.newest(id) => {
                self.meet(id, now);
                Arrival::Newest
            }
            None => Arrival::Stale,
        };
        let Some(machine) = self.machines.get_mut(id) else {
            return ReportReply::Stale;
        };
        let newest = machine.lease.newest;
        match arrival {
            Arrival::Stale => {
                tracing::debug!(machine = %id, ?number, ?newest, "stale report: not answered");
                return ReportReply::Stale;
            }
            Arrival::Overtaken => {
                tracing::info!(machine = %id, ?number, ?newest, "overtaken report: its lease counts");
                machine.lease.count(number, now);
                return ReportReply::Counted(Vec::new());
            }
            Arrival::Newest => machine.lease.count(number, now),
        }
        self.take_in(now, report, epoch, catalog, false);
        let commands = self.commands(report, now);
        for command in &commands {
            tracing::debug!(machine = %report.machine, token = %epoch, ?number, %command, "answered with");
        }
        ReportReply::Counted(commands)
    }

    /// A machine that is not in the part reports to it.
    fn meet(&mut self, id: &MachineId, now: Time) {
        let newest = self.sightings.newest(id);
        let mut machine = Machine::new(now, now, newest);
        if newest != (Session(0), 0) {
            // It was here before and was given up: what comes now may be a last late word.
            machine.reach(Reach::Suspect { since: now });
        }
        self.machines.insert(id.clone(), machine);
        self.outgoing.forgotten.remove(id);
    }

    /// Takes in what a worker says, with a report or (`direct`) in answer to direct orders, which
    /// renews no lease but proves that the worker is reached. What is older than what is known
    /// changes nothing.
    pub(super) fn take_in(
        &mut self,
        now: Time,
        report: &Report,
        epoch: Epoch,
        catalog: &Catalog,
        direct: bool,
    ) {
        let id = &report.machine;
        let silent_ms = self.patience.silent_ms;
        let Some(machine) = self.machines.get_mut(id) else {
            return;
        };
        let number = (report.session, report.seq);
        let before = machine.lease.newest;
        if number <= before {
            return;
        }
        let current = report.token >= epoch;
        if !direct {
            // A worker whose session is over was not reached by our answers; one that was given up
            // or silent for long may speak through a late copy only.
            let over = before.0 > Session(0) && report.session > before.0;
            let silent = machine.info.is_some() && now.since(machine.lease.heard) > silent_ms;
            if over || silent || machine.lost {
                machine.reach(Reach::Suspect { since: now });
            }
            machine.token_shown(current, now);
            machine.unheeded += 1;
        }
        machine.kept.retain(|_, session| *session >= report.session);
        machine.lease.hear(number, now);
        machine.lost = false;
        if machine.info.is_none() {
            machine.info = catalog.get(&report.machine_type).map(|t| Info {
                machine_type: report.machine_type.clone(),
                zone: report.zone.clone(),
                spot: report.spot,
                room: Room::of_type(t),
                addr: report.addr.clone(),
            });
        }
        match report.notice_s {
            Some(left) if machine.notice.is_none() => {
                tracing::info!(machine = %id, left_s = left, "the cloud will take this machine");
                machine.notice = Some(now + (left.max(0.0) * 1_000.0) as u64);
            }
            _ => {}
        }
        self.gone_by_session(id, report.session, now);
        self.listed(report, now);
        // Whatever a former owner sent is refused once the worker has seen this epoch's token, so
        // from then on a task that is not listed is not there.
        self.not_listed(report, current, direct, now);
        let doubtful = |m: &Machine| matches!(m.reach, Reach::Suspect { .. });
        if self.machines.get(id).is_some_and(doubtful) {
            self.give_up_unlaunched(id, now);
            self.to_order.insert(id.clone());
        }
        self.look_at(id, now);
    }

    /// A worker kills and forgets everything when its session ends.
    fn gone_by_session(&mut self, id: &MachineId, session: Session, now: Time) {
        let Some(machine) = self.machines.get(id) else {
            return;
        };
        let gone: Vec<Attempt> = machine
            .attempts
            .iter()
            .filter(|(_, tracked)| {
                tracked.session < session && tracked.state != AttemptState::Completed
            })
            .map(|(attempt, _)| *attempt)
            .collect();
        if !gone.is_empty() {
            tracing::debug!(machine = %id, ?session, ?gone, "attempts ended with their session");
        }
        for attempt in gone {
            self.end(id, attempt, End::Lost, now);
        }
    }

    fn listed(&mut self, report: &Report, now: Time) {
        let id = &report.machine;
        let mut ended = Vec::new();
        let Some(machine) = self.machines.get_mut(id) else {
            return;
        };
        machine.foreign = false;
        for listed in &report.tasks {
            let Some(tracked) = machine.attempts.get_mut(&listed.attempt) else {
                machine.foreign |= listed.state != TaskState::Ended;
                continue;
            };
            let before = tracked.phase();
            match (listed.state, listed.reason) {
                (TaskState::Fetching, _) => tracked.step(AttemptState::Fetching),
                (TaskState::Running, _) => tracked.step(AttemptState::Running(now)),
                (TaskState::Saving, _) => tracked.step(AttemptState::Saving),
                // A replica is never done: one that ends has failed, whatever it says.
                (TaskState::Ended, Some(ExitReason::Done))
                    if tracked.job.as_ref().is_some_and(|job| job.is_service()) =>
                {
                    ended.push((listed.attempt, End::Failed));
                }
                (TaskState::Ended, Some(ExitReason::Done)) => {
                    if tracked.state != AttemptState::Completed {
                        machine.failing.clear();
                        tracked.step(AttemptState::Completed);
                        if let (Some(job), false) = (&tracked.job, tracked.inherited) {
                            let held_s = now.since(tracked.placed_at) as f64 / 1_000.0;
                            let estimate_s = job.spec.estimate_s;
                            tracing::debug!(task = %tracked.task, machine = %id, held_s, estimate_s, "completed");
                            self.speeds
                                .entry(id.clone())
                                .or_insert(Speed::UNMEASURED)
                                .learn(estimate_s, held_s, self.parameters.start_speed);
                        }
                        if let Some(band) = tracked.over_capacity.take() {
                            self.over_capacity.ended(band, Outcome::Completed);
                        }
                    }
                }
                (TaskState::Ended, Some(ExitReason::Error)) => {
                    ended.push((listed.attempt, End::Failed));
                }
                (TaskState::Ended, _) => ended.push((listed.attempt, End::Stopped)),
            }
            if tracked.phase() != before {
                self.outgoing.attempts.insert(listed.attempt);
            }
            if tracked.stop.is_some() && !tracked.stop_sent {
                self.to_order.insert(id.clone());
            }
        }
        for (attempt, how) in ended {
            self.end(id, attempt, how, now);
        }
    }

    fn not_listed(&mut self, report: &Report, definitive: bool, direct: bool, now: Time) {
        let id = &report.machine;
        let Some(machine) = self.machines.get_mut(id) else {
            return;
        };
        let listed: BTreeSet<Attempt> = report.tasks.iter().map(|t| t.attempt).collect();
        let mut gone = Vec::new();
        for (attempt, tracked) in &mut machine.attempts {
            if listed.contains(attempt) {
                continue;
            }
            match tracked.state {
                AttemptState::Recording | AttemptState::Recorded => {}
                // The answer that carried the launch was dropped, or this report would list it.
                AttemptState::Launched if direct => {}
                AttemptState::Launched if tracked.stop.is_none() => {
                    tracked.step(AttemptState::Recorded);
                    self.to_order.insert(id.clone());
                }
                // It can still arrive, so its absence means nothing.
                AttemptState::DirectlyLaunched => {}
                AttemptState::Completed if tracked.durable => {
                    gone.push((*attempt, End::Acknowledged))
                }
                AttemptState::Completed => {}
                _ if definitive => gone.push((*attempt, End::Lost)),
                _ => {}
            }
        }
        for (attempt, how) in gone {
            match how {
                End::Acknowledged => {
                    self.untrack(id, attempt, how, now);
                }
                how => {
                    let (session, number, token) = (report.session, report.seq, report.token);
                    tracing::debug!(machine = %id, %attempt, ?session, number, %token, direct, "not listed: gone");
                    self.end(id, attempt, how, now);
                }
            }
        }
    }

    fn commands(&mut self, report: &Report, now: Time) -> Vec<Command> {
        let Some(machine) = self.machines.get_mut(&report.machine) else {
            return Vec::new();
        };
        let mut commands = Vec::new();
        for ReportedTask {
            task,
            attempt,
            state,
            ..
        } in &report.tasks
        {
            let (task, attempt) = (*task, *attempt);
            let tracked = machine.attempts.get(&attempt);
            if *state == TaskState::Ended {
                // A completion is durable before the worker forgets it, and no launch of a forgotten
                // attempt may still be on its way.
                let reap = match tracked {
                    Some(tracked) => tracked.durable && !tracked.ordered,
                    None => !machine.kept.contains_key(&attempt),
                };
                if reap {
                    commands.push(Command::Reap { task, attempt });
                }
                continue;
            }
            let grace_s = match tracked {
                None => Some(0.0),
                Some(tracked) => tracked.stop,
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
        let ordering = machine.ordering;
        let listed: BTreeSet<Attempt> = report.tasks.iter().map(|t| t.attempt).collect();
        let notice = machine.notice.is_some();
        for (attempt, tracked) in &mut machine.attempts {
            if tracked.session != report.session {
                continue;
            }
            let (task, attempt) = (tracked.task, *attempt);
            let launch = Command::Launch { task, attempt };
            match tracked.state {
                AttemptState::Recorded if tracked.stop.is_none() && !notice => {
                    tracked.step(AttemptState::Launched);
                    tracked.placed_at = now;
                    commands.push(launch);
                }
                // The direct launch was not answered: launched this way as well, which has no
                // effect if it did arrive. One that is no longer wanted is stopped at once; the
                // worker then knows it as ended, and the late copy has no effect either.
                AttemptState::DirectlyLaunched if !ordering && !listed.contains(&attempt) => {
                    commands.push(launch);
                    if tracked.stop.is_some() {
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
