//! The lanes in which an epoch's conditional writes leave, each within a share of the state service's limit.

use std::collections::BTreeSet;

use worksshunt_wire::settings::StateLimits;
use worksshunt_wire::state::Txn;
use worksshunt_wire::{JobId, MachineId, Revision};

use crate::constants::*;
use crate::time::{Bucket, Periodic, Time};

use super::Lane;

/// One write among the ends.
#[derive(Debug, Clone)]
pub(super) enum End {
    /// A job is done.
    Finish(JobId),
    /// A claim on a machine, held or released.
    Claim(MachineId, bool),
    /// A key of a former epoch goes.
    Remove(String),
}

/// Counts the copies of the write under way. A second one is sent when the answer is slow: now and then one
/// takes many times as long as the others, which nobody should have to wait for. Both can be applied only once,
/// by the conditions they carry.
#[derive(Debug, Default)]
pub(super) struct Copies {
    number: u64,
    sent: Time,
    /// Copies that are not answered.
    out: u32,
    repeated: bool,
}

impl Copies {
    /// A write is sent; its number.
    pub fn begin(&mut self, now: Time) -> u64 {
        *self = Copies {
            number: self.number + 1,
            sent: now,
            out: 1,
            repeated: false,
        };
        self.number
    }

    /// The number of the write of which a second copy is to be sent now, if any.
    pub fn repeat(&mut self, now: Time) -> Option<u64> {
        if self.out != 1 || self.repeated || now.since(self.sent) < STORE_SLOW_MS {
            return None;
        }
        self.repeated = true;
        self.out += 1;
        Some(self.number)
    }

    /// A copy was answered, `clearly` or not. Whether that settles the write of that number: an unclear
    /// answer does only if no other is to come, and what comes after a clear one is of no interest.
    pub fn settled(&mut self, number: u64, clearly: bool) -> bool {
        if number != self.number || self.out == 0 {
            return false;
        }
        self.out -= 1;
        if clearly {
            self.out = 0;
        }
        self.out == 0
    }
}

/// One write at a time, within a share of the state service's limit.
#[derive(Debug)]
pub(super) struct Line {
    /// When the next write may leave.
    pub turn: Periodic,
    /// Copies of the write under way.
    pub copies: Copies,
    /// The write under way, repeated unchanged until its outcome is clear.
    pub under_way: Option<Txn>,
    /// Changes that the share allows.
    pub writes: Bucket,
}

impl Line {
    fn new(writes: Bucket) -> Line {
        Line {
            turn: Periodic::default(),
            copies: Copies::default(),
            under_way: None,
            writes,
        }
    }

    /// Starts anew in an epoch.
    fn begin(&mut self) {
        self.turn = Periodic::default();
        self.under_way = None;
    }
}

/// The lanes, and the shares of the state service's limit that they keep to.
pub(super) struct Lanes {
    records: Line,
    pages: Line,
    ends: Line,
    /// Keys for jobs taken in together.
    pub intake: Line,
    /// The page of jobs that was last dealt with, until the mirror shows what has become of it.
    pub intake_done: Option<(String, Revision)>,
    /// Jobs on pages that have a key of their own by now, or are over.
    pub settled: BTreeSet<JobId>,
    /// Reading the version of an uncertain page.
    pub refresh: Periodic,
    /// What the write of ends under way brings.
    pub ending: Vec<End>,
    /// More ends wait than are written in a while.
    ends_behind: bool,
    /// When the state service last refused a write, most likely because of its limit.
    refused_at: Option<Time>,
    write_rps: f64,
    /// Changes in a transaction.
    pub txn_ops: usize,
    /// For submissions and cancellations.
    pub user_writes: Bucket,
}

impl Lanes {
    /// Nothing is under way.
    pub fn new(state: &StateLimits) -> Lanes {
        let share = |share: f64, burst: usize| Bucket::new(state.write_rps * share, burst as f64);
        Lanes {
            records: Line::new(share(RECORD_SHARE, PAGES_AT_ONCE)),
            pages: Line::new(share(PAGE_SHARE, PAGES_AT_ONCE)),
            ends: Line::new(share(END_SHARE, state.txn_ops)),
            intake: Line::new(share(INTAKE_SHARE, state.txn_ops)),
            intake_done: None,
            settled: BTreeSet::new(),
            refresh: Periodic::default(),
            ending: Vec::new(),
            ends_behind: false,
            refused_at: None,
            write_rps: state.write_rps,
            txn_ops: state.txn_ops,
            user_writes: share(USER_WRITE_SHARE, state.txn_ops),
        }
    }

    /// Starts anew in an epoch with so many owners.
    pub fn begin(&mut self, owners: usize) {
        let rate = self.write_rps * RECORD_SHARE / owners.max(1) as f64;
        self.records = Line::new(Bucket::new(rate, PAGES_AT_ONCE as f64));
        self.pages.begin();
        self.ends.begin();
        self.intake.begin();
        self.intake_done = None;
        self.settled.clear();
        self.refresh = Periodic::default();
        self.ending.clear();
    }

    /// Pages that a write of the lane may have now.
    pub fn pages_at_once(&mut self, lane: Lane, now: Time) -> usize {
        let most = PAGES_AT_ONCE.min(self.txn_ops);
        self.line(lane).writes.available(now).min(most)
    }

    /// The state service has refused a write.
    pub fn refused(&mut self, now: Time) {
        self.refused_at = Some(now);
    }

    /// How long a lane waits between two writes. Pages take any number of entries, so where the limit of changes is
    /// used up they are written less often and fuller: what that saves is for the ends of jobs.
    pub fn pace_ms(&self, lane: Lane, now: Time) -> u64 {
        let lately = |at: Time| now.since(at) < REFUSED_LATELY_MS;
        match lane {
            Lane::AttemptRecords | Lane::LeaderPages if self.refused_at.is_some_and(lately) => {
                PAGES_PACE_MS
            }
            _ => 0,
        }
    }

    /// Tells when more ends of jobs wait than their share writes in a while, and when that is over.
    pub fn tell_of_ends(&mut self, waiting: usize) {
        // Each takes two changes.
        let most = self.write_rps * END_SHARE / 2.0 * ENDS_BEHIND_S;
        let behind = waiting as f64 > most;
        if behind == std::mem::replace(&mut self.ends_behind, behind) {
            return;
        }
        let write_rps = self.write_rps;
        if behind {
            tracing::warn!(
                waiting,
                write_rps,
                "ends of jobs wait for the state service's limit of changes"
            );
        } else {
            tracing::info!(waiting, "ends of jobs are written as they come again");
        }
    }

    /// Changes that a write of ends may have now. Where no jobs taken in together wait for keys of their own, ends
    /// use that share as well: with 4,000 machines more than their own comes to an end.
    pub fn ends_at_once(&mut self, now: Time, intake_waits: bool) -> usize {
        let lent = match intake_waits {
            true => 0,
            false => self.intake.writes.available(now),
        };
        (self.ends.writes.available(now) + lent).min(self.txn_ops)
    }

    /// Counts so many changes of a lane as sent: what is beyond the share of ends as lent to them.
    pub fn charge(&mut self, lane: Lane, changes: usize, now: Time) {
        let own = match lane {
            Lane::FinalWrites => self.ends.writes.available(now).min(changes),
            _ => changes,
        };
        self.line(lane).writes.take(own);
        self.intake.writes.take(changes - own);
    }

    /// The line of a lane.
    pub fn line(&mut self, lane: Lane) -> &mut Line {
        match lane {
            Lane::AttemptRecords => &mut self.records,
            Lane::LeaderPages => &mut self.pages,
            Lane::FinalWrites => &mut self.ends,
            Lane::SubmissionBatches => &mut self.intake,
        }
    }
}
