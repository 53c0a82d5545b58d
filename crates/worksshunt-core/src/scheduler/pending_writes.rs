//! What the leader wants written, and what follows once it is durable.

use worksshunt_wire::peer::Phase;
use worksshunt_wire::{JobId, MachineId, Revision, TaskId};

use crate::jobs::{completions_key, CompletionsKey};
use crate::pages::PageWrite;
use crate::time::Time;

use super::partitions::Directive;
use super::Scheduler;

/// What the leader wants written apart from completions, the most useful first.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum PendingWrite {
    /// All tasks of the job are done.
    FinishJob(JobId),
    /// A claim on a machine, or its end.
    UpdateClaim(MachineId),
    /// A key of a former epoch that nothing needs any more.
    RemoveKey(String),
}

impl Scheduler {
    /// What waits to be written apart from completions, the most useful first.
    pub fn pending_writes(&self) -> impl Iterator<Item = &PendingWrite> {
        self.pending_writes.iter()
    }

    /// A key of a former epoch is gone.
    pub fn key_removed(&mut self, key: &str) {
        self.pending_writes
            .remove(&PendingWrite::RemoveKey(key.to_owned()));
    }

    /// A job could not be called done: its user was faster, or it is done already.
    pub fn finish_refused(&mut self, id: JobId) {
        self.pending_writes.remove(&PendingWrite::FinishJob(id));
    }

    /// The next write of completions, and of records of former epochs, of at most so many pages. They
    /// take turns at being first: on a busy day there are always completions to be written, and records
    /// that nothing is dropped from mislead the next epoch by all that has ended since.
    pub fn next_page_writes(&mut self, now: Time, most: usize) -> Vec<PageWrite> {
        self.former_records_first = !self.former_records_first;
        let mut writes = Vec::new();
        if self.former_records_first {
            writes = self.former_record_pages.next_writes(now, most);
        }
        writes.extend(self.completion_pages.next_writes(now, most - writes.len()));
        if !self.former_records_first {
            writes.extend(
                self.former_record_pages
                    .next_writes(now, most - writes.len()),
            );
        }
        writes
    }

    /// The pages under way are durable.
    pub fn page_writes_applied(&mut self, revision: Option<Revision>) {
        self.former_record_pages.write_applied(revision);
        for key in self.completion_pages.write_applied(revision) {
            self.chunk_durable(key);
        }
    }

    fn chunk_durable(&mut self, key: CompletionsKey) {
        // What completed since the write began is pending again and stays undurable.
        let pending = self
            .completion_pages
            .pending_entry(&key)
            .cloned()
            .unwrap_or_default();
        // All of a complete job becomes durable with its end.
        let Some(work) = self
            .jobs
            .get_mut(&key.job)
            .filter(|work| !work.is_complete())
        else {
            return;
        };
        let task = |index: &u32| TaskId {
            job: key.job,
            index: *index,
        };
        let in_chunk = |index: &u32| completions_key(task(index)) == key;
        let written: Vec<u32> = work
            .not_durable
            .iter()
            .copied()
            .filter(|index| in_chunk(index) && !pending.tasks.contains(index))
            .collect();
        let mut attempts = Vec::new();
        for index in written {
            work.not_durable.remove(&index);
            attempts.extend(work.active.get(&index).into_iter().flatten().copied());
        }
        for attempt in attempts {
            if self
                .active_attempts
                .get(&attempt)
                .is_some_and(|o| o.phase == Phase::Completed)
            {
                self.send_directive(attempt, |_| Directive::MarkDurable(attempt));
            }
        }
    }

    /// Pages whose versions have to be read.
    pub fn uncertain_pages(&self) -> Vec<String> {
        let uncertain = self
            .completion_pages
            .uncertain_keys()
            .chain(self.former_record_pages.uncertain_keys());
        uncertain.cloned().collect()
    }

    /// A page's version was read.
    pub fn page_version_read(&mut self, key: &str, version: Revision) {
        self.completion_pages.version_read(key, version);
        self.former_record_pages.version_read(key, version);
    }
}
