//! The leader's pending writes, and what follows once they are durable. The controller asks for the next
//! writes and reports the results.

use worksshunt_wire::{Attempt, JobId, MachineId, Revision, TaskId};

use crate::jobs::{completions_key, CompletionsKey};
use crate::pages::PageWrite;
use crate::time::Time;

use super::partition_view::Directive;
use super::Scheduler;

/// A pending write apart from pages; the most useful kind comes first.
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
    /// The pending writes apart from pages, the most useful first.
    pub fn pending_writes(&self) -> impl Iterator<Item = &PendingWrite> {
        self.pending_writes.iter()
    }

    /// A key of a former epoch is gone.
    pub fn key_removed(&mut self, key: &str) {
        self.pending_writes
            .remove(&PendingWrite::RemoveKey(key.to_owned()));
    }

    /// The store refused a job's final state: its user cancelled it first, or it is done already.
    pub fn finish_refused(&mut self, id: JobId) {
        self.pending_writes.remove(&PendingWrite::FinishJob(id));
    }

    /// The next write of completions, and of records of former epochs, of at most `max_pages` pages.
    pub fn next_page_writes(&mut self, now: Time, max_pages: usize) -> Vec<PageWrite> {
        self.pages.next_writes(now, max_pages)
    }

    /// The pages under way are durable, at `revision` if it is known.
    pub fn page_writes_applied(&mut self, revision: Option<Revision>) {
        self.pages.former_records.mark_write_applied(revision);
        for key in self.pages.completions.mark_write_applied(revision) {
            self.chunk_durable(key);
        }
    }

    /// Completions of one chunk of a job's tasks are durable: their machines may forget them.
    fn chunk_durable(&mut self, key: CompletionsKey) {
        for attempt in self.take_durable_attempts(key) {
            let active = self.active_attempts.get(&attempt);
            if active.is_some_and(|active| active.is_completed()) {
                self.send_directive(Directive::MarkDurable(attempt));
            }
        }
    }

    /// Marks the written tasks of a chunk durable; the attempts at them.
    fn take_durable_attempts(&mut self, key: CompletionsKey) -> Vec<Attempt> {
        let job = key.job;
        // What completed since the write began is pending again and is not durable yet.
        let pending = self.pages.completions.pending_entry(&key);
        let is_pending = |index: &u32| pending.is_some_and(|entry| entry.tasks.contains(index));
        // All of a complete job becomes durable with its end.
        let Some(job_tasks) = self.jobs.get_mut(&job).filter(|tasks| !tasks.is_complete()) else {
            return Vec::new();
        };
        let in_chunk = |index: &u32| completions_key(TaskId { job, index: *index }) == key;
        let written: Vec<u32> = job_tasks
            .not_durable
            .iter()
            .copied()
            .filter(|index| in_chunk(index) && !is_pending(index))
            .collect();
        let mut attempts = Vec::new();
        for index in written {
            job_tasks.not_durable.remove(&index);
            attempts.extend(job_tasks.active.get(&index).into_iter().flatten().copied());
        }
        attempts
    }

    /// Keys of the pages whose versions have to be read.
    pub fn uncertain_pages(&self) -> Vec<String> {
        self.pages.uncertain_keys().cloned().collect()
    }

    /// A page's version was read.
    pub fn page_version_read(&mut self, key: &str, version: Revision) {
        self.pages.version_read(key, version);
    }
}
