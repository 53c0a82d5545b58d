//! Conditional writes of an epoch.
//!
//! Each lane has one write under way, conditional on the epoch and on the version of every key it
//! changes where a late copy could do harm. A write without a clear answer is repeated unchanged:
//! whatever happens to its copies, it is applied once or never.

use worksshunt_wire::state::{Change, Condition, Txn};
use worksshunt_wire::{JobId, Revision};

use crate::constants::*;
use crate::jobs::{final_key, final_value, is_intake, job_of, open_key};
use crate::membership::EPOCH;
use crate::pages::PageWrite;
use crate::scheduler::{claim_key, Due};
use crate::time::Time;
use crate::users::Ask;

use super::lanes::{End, Lanes};
use super::{store, Action, Controller, Lane, StoreOp, StoreReply, StoreTag};
use worksshunt_wire::user::JobState;

/// What became of a write.
enum Outcome {
    /// It was applied, at that revision if it is known.
    Applied(Option<Revision>),
    /// It can never be applied: these keys have changed.
    Refuted(Vec<String>),
    /// Open, or not applied yet.
    Unclear,
}

impl Controller {
    /// Sends what has to be written now.
    pub(super) fn write_turns(&mut self, now: Time, out: &mut Vec<Action>) {
        self.refresh_turn(now, out);
        self.lane_turn(Lane::AttemptRecords, now, out);
        if self.leader.is_some() {
            self.lane_turn(Lane::FinalWrites, now, out);
            self.lane_turn(Lane::LeaderPages, now, out);
            self.lane_turn(Lane::SubmissionBatches, now, out);
        }
    }

    fn lane_turn(&mut self, lane: Lane, now: Time, out: &mut Vec<Action>) {
        let token = self.membership.token();
        let line = self.lanes.line(lane);
        if line.turn.in_flight {
            // Launches wait for records. The other lanes can wait.
            let repeat = (lane == Lane::AttemptRecords).then(|| line.copies.repeat(now));
            if let (Some(number), Some(txn)) = (repeat.flatten(), &line.under_way) {
                line.writes.take(txn.changes.len());
                let tag = StoreTag::QueuedWrite(lane, token, number);
                out.push(second_copy(tag, txn));
            }
        }
        if !line.turn.due(now) {
            return;
        }
        if line.under_way.is_none() {
            let Some(epoch) = self.membership.condition() else {
                return;
            };
            let mut txn = Txn {
                conditions: vec![epoch],
                changes: Vec::new(),
            };
            match lane {
                Lane::AttemptRecords => self.record_txn(now, &mut txn),
                Lane::LeaderPages => self.pages_txn(now, &mut txn),
                Lane::FinalWrites => self.ends_txn(now, &mut txn),
                Lane::SubmissionBatches => self.intake_txn(now, &mut txn),
            }
            if txn.changes.is_empty() {
                return;
            }
            self.lanes.line(lane).under_way = Some(txn);
        }
        let Some(txn) = self.lanes.line(lane).under_way.clone() else {
            return;
        };
        self.lanes.charge(lane, txn.changes.len(), now);
        let line = self.lanes.line(lane);
        line.turn.sent(now, 0);
        let number = line.copies.begin(now);
        store(
            out,
            StoreTag::QueuedWrite(lane, token, number),
            StoreOp::Txn(txn),
        );
    }

    fn record_txn(&mut self, now: Time, txn: &mut Txn) {
        let most = self.lanes.pages_at_once(Lane::AttemptRecords, now);
        add_pages(txn, self.part.record_write(now, most));
    }

    fn pages_txn(&mut self, now: Time, txn: &mut Txn) {
        let most = self.lanes.pages_at_once(Lane::LeaderPages, now);
        if let Some(leader) = &mut self.leader {
            add_pages(txn, leader.scheduler.pages_write(now, most));
        }
    }

    fn ends_txn(&mut self, now: Time, txn: &mut Txn) {
        let intake_waits = self.mirror.intake().next().is_some();
        let most = self.lanes.ends_at_once(now, intake_waits);
        let Some(leader) = &mut self.leader else {
            return;
        };
        let dues: Vec<Due> = leader.scheduler.due().take(most).cloned().collect();
        for due in dues {
            if txn.changes.len() + 2 > most {
                break;
            }
            match due {
                Due::Finish(id) => {
                    // The mirror knows no more of it: it is over already.
                    let Some(open) = self.mirror.get(id) else {
                        leader.scheduler.not_finished(id);
                        continue;
                    };
                    txn.conditions.push(Condition {
                        key: open_key(id),
                        version: open.version,
                    });
                    txn.changes.push(Change::Delete { key: open_key(id) });
                    txn.changes.push(Change::Put {
                        key: final_key(id),
                        value: final_value(JobState::Done),
                        lease: None,
                    });
                    self.lanes.ending.push(End::Finish(id));
                }
                Due::Claim(machine) => {
                    let key = claim_key(&machine);
                    let value = leader.scheduler.claim_value(&machine);
                    let held = value.is_some();
                    txn.changes.push(match value {
                        Some(value) => {
                            let version = Revision(0);
                            txn.conditions.push(Condition {
                                key: key.clone(),
                                version,
                            });
                            Change::Put {
                                key,
                                value,
                                lease: None,
                            }
                        }
                        None => Change::Delete { key },
                    });
                    self.lanes.ending.push(End::Claim(machine, held));
                }
                Due::Remove(key) => {
                    txn.changes.push(Change::Delete { key: key.clone() });
                    self.lanes.ending.push(End::Remove(key));
                }
            }
        }
    }

    /// Gives jobs of one page taken in together keys of their own, as many as the share allows. The page
    /// goes with the last of them: rewritten without the others it might be larger than the state
    /// service's limit by then, which was larger when it was written.
    fn intake_txn(&mut self, now: Time, txn: &mut Txn) {
        let lanes = &mut self.lanes;
        let most = lanes.intake.writes.available(now).min(lanes.txn_ops);
        let dealt_with = |key: &String, version| {
            let done = lanes.intake_done.as_ref();
            done.is_some_and(|(k, v)| k == key && *v == version)
        };
        let mut pages = self.mirror.intake();
        let Some((key, page)) = pages.find(|(key, page)| !dealt_with(key, page.version)) else {
            return;
        };
        let condition = |key: String, version| Condition { key, version };
        let mut left = page.jobs.iter().filter(|job| {
            let id = job.spec.id;
            !self.lanes.settled.contains(&id) && self.mirror.get(id).is_none()
        });
        while txn.changes.len() < most {
            let Some(job) = left.next() else {
                txn.changes.push(Change::Delete { key: key.clone() });
                self.lanes.intake_done = Some((key.clone(), page.version));
                break;
            };
            let id = job.spec.id;
            txn.conditions.push(condition(open_key(id), Revision(0)));
            txn.conditions.push(condition(final_key(id), Revision(0)));
            txn.changes.push(Change::Put {
                key: open_key(id),
                value: serde_json::json!(**job),
                lease: None,
            });
        }
        if txn.changes.is_empty() {
            return;
        }
        txn.conditions.push(condition(key.clone(), page.version));
    }

    /// A write was larger than the state service takes, which it was not announced to be: its limits have
    /// fallen. What copies of the write have done is open, so this controller becomes a new member, for
    /// whom they are void, and begins with what it reads.
    fn limits_fell(&mut self, lane: Lane, now: Time) {
        if self.lower_limits() {
            let state = &self.settings.facts.state;
            self.lanes = Lanes::new(state);
            self.part.set_limits(state);
            self.leave(now);
        } else {
            tracing::error!(?lane, "a write of the least size is too large");
            self.lanes.line(lane).turn.retry(now, STORE_RETRY_MS);
        }
    }

    /// Reckons with half of the state service's limits; false if they are the least already.
    pub(super) fn lower_limits(&mut self) -> bool {
        let state = &mut self.settings.facts.state;
        if state.value_kb <= LEAST_VALUE_KB && state.txn_ops <= LEAST_TXN_OPS {
            return false;
        }
        state.value_kb = (state.value_kb / 2.0).max(LEAST_VALUE_KB);
        state.txn_ops = (state.txn_ops / 2).max(LEAST_TXN_OPS);
        tracing::warn!(
            value_kb = state.value_kb,
            txn_ops = state.txn_ops,
            "the state service's limits have fallen"
        );
        true
    }

    /// A write was answered, or not.
    pub(super) fn lane_answer(
        &mut self,
        (lane, number): (Lane, u64),
        now: Time,
        sent: Time,
        reply: StoreReply,
    ) {
        if reply == StoreReply::Refused {
            self.lanes.refused(now);
        }
        let outcome = match reply {
            StoreReply::Committed(revision) => {
                self.membership.confirmed(sent);
                Outcome::Applied(Some(revision))
            }
            StoreReply::Conflict(failed) if failed.iter().any(|key| key == EPOCH) => {
                self.control_turn.next = now;
                Outcome::Unclear
            }
            // Nobody else writes an owner's pages, the leader's pages or its claims in its epoch, or
            // deals with pages of jobs: a copy of this write was applied before.
            StoreReply::TooLarge => return self.limits_fell(lane, now),
            StoreReply::Conflict(failed) => {
                let own = |key: &String| is_intake(key) || job_of(key).is_none();
                if failed.iter().any(own) {
                    Outcome::Applied(None)
                } else {
                    Outcome::Refuted(failed)
                }
            }
            _ => Outcome::Unclear,
        };
        let pace_ms = self.lanes.pace_ms(lane, now);
        let line = self.lanes.line(lane);
        let clearly = !matches!(outcome, Outcome::Unclear);
        if !line.copies.settled(number, clearly) {
            return;
        }
        let mut given = Vec::new();
        let wait_ms = match outcome {
            Outcome::Unclear => STORE_RETRY_MS,
            _ => {
                given = line.under_way.take().map_or(Vec::new(), |txn| opened(&txn));
                pace_ms
            }
        };
        line.turn.retry(now, wait_ms);
        match (lane, outcome) {
            (_, Outcome::Unclear) => {}
            (Lane::AttemptRecords, Outcome::Applied(revision)) => {
                self.part.recorded(revision);
            }
            (Lane::LeaderPages, Outcome::Applied(revision)) => {
                if let Some(leader) = &mut self.leader {
                    leader.scheduler.pages_written(revision);
                }
            }
            (Lane::FinalWrites, Outcome::Applied(_)) => self.ended(now),
            (Lane::FinalWrites, Outcome::Refuted(failed)) => {
                // A user cancelled the job meanwhile, or a copy of this write was applied before:
                // the mirror will tell. The rest is tried again.
                let ending = std::mem::take(&mut self.lanes.ending);
                for end in ending {
                    if let (End::Finish(id), Some(leader)) = (end, &mut self.leader) {
                        if failed.contains(&open_key(id)) {
                            leader.scheduler.not_finished(id);
                        }
                    }
                }
            }
            // The mirror will tell, later.
            (Lane::SubmissionBatches, Outcome::Applied(_)) => self.lanes.settled.extend(given),
            (Lane::SubmissionBatches, Outcome::Refuted(failed)) => {
                self.lanes.intake_done = None;
                self.lanes
                    .settled
                    .extend(failed.iter().filter_map(|key| job_of(key)));
            }
            (lane, Outcome::Refuted(keys)) => {
                tracing::error!(?lane, ?keys, "a write of pages was refuted");
            }
        }
    }

    /// The ends under way are durable.
    fn ended(&mut self, now: Time) {
        for end in std::mem::take(&mut self.lanes.ending) {
            let Some(leader) = &mut self.leader else {
                return;
            };
            match end {
                End::Finish(id) => {
                    tracing::debug!(job = %id, "job done");
                    self.mirror.remember_final(id, JobState::Done);
                    leader.scheduler.close(id, now);
                }
                End::Claim(machine, held) => leader.scheduler.claim_written(&machine, held),
                End::Remove(key) => leader.scheduler.removed(&key),
            }
        }
    }

    /// Reads the version of a page that was written at an unknown one.
    fn refresh_turn(&mut self, now: Time, out: &mut Vec<Action>) {
        if !self.lanes.refresh.due(now) {
            return;
        }
        let of_leader = self
            .leader
            .iter()
            .flat_map(|l| l.scheduler.uncertain_pages());
        if let Some(key) = self
            .part
            .uncertain_records()
            .into_iter()
            .chain(of_leader)
            .next()
        {
            self.lanes.refresh.sent(now, 0);
            let tag = StoreTag::ReadPageVersion(self.membership.token(), key.clone());
            store(out, tag, StoreOp::Get(key));
        }
    }

    /// A page's version was read, or not.
    pub(super) fn refreshed(&mut self, now: Time, key: &str, reply: StoreReply) {
        let version = match reply {
            StoreReply::Found(pair) => pair.version,
            StoreReply::Missing => Revision(0),
            _ => return self.lanes.refresh.retry(now, STORE_RETRY_MS),
        };
        self.lanes.refresh.retry(now, 0);
        self.part.record_found(key, version);
        if let Some(leader) = &mut self.leader {
            leader.scheduler.page_found(key, version);
        }
    }

    /// Writes a cancellation.
    pub(super) fn write_withdrawal(&mut self, ask: Ask, txn: Txn, out: &mut Vec<Action>) {
        self.lanes.user_writes.take(txn.changes.len());
        store(out, StoreTag::CancelJob(ask), StoreOp::Txn(txn));
    }
}

/// A second copy of a write, which is given up when the first one is.
pub(super) fn second_copy(tag: StoreTag, txn: &Txn) -> Action {
    let deadline_ms = STORE_DEADLINE_MS - STORE_SLOW_MS;
    Action::CallKeyValueStore(tag, StoreOp::Txn(txn.clone()), deadline_ms)
}

/// The jobs that a transaction gives keys of their own.
fn opened(txn: &Txn) -> Vec<JobId> {
    let put = |change: &Change| matches!(change, Change::Put { .. });
    let puts = txn.changes.iter().filter(|change| put(change));
    puts.filter_map(|change| job_of(change.key())).collect()
}

fn add_pages(txn: &mut Txn, pages: Vec<PageWrite>) {
    for page in pages {
        txn.conditions.push(page.condition);
        txn.changes.push(page.change);
    }
}
