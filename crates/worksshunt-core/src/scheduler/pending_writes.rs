//! The leader's pending writes, and the effects once they are durable. The controller takes the next writes from here
//! and reports their outcomes.

use worksshunt_wire::{AttemptId, JobId, MachineId, Revision, TaskId};

use crate::jobs::{completions_key, CompletionsKey};
use crate::pages::PageWrite;
use crate::time::Time;

use super::partition_view::Directive;
use super::Scheduler;

/// A pending write other than of pages. The order of the variants is their priority.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum PendingWrite {
    /// Stores the final state of a job whose tasks are all completed.
    CompleteJob(JobId),
    /// Puts or deletes the claim record of the machine.
    UpdateClaim(MachineId),
    /// Deletes a key of a previous epoch.
    RemoveKey(String),
}

impl Scheduler {
    /// The pending writes other than of pages, by priority.
    pub fn pending_writes(&self) -> impl Iterator<Item = &PendingWrite> {
        self.pending_writes.iter()
    }

    /// Records that a key of a previous epoch was deleted.
    pub fn mark_key_removed(&mut self, key: &str) {
        self.pending_writes
            .remove(&PendingWrite::RemoveKey(key.to_owned()));
    }

    /// Drops the pending final state of a job that already has one: its user cancelled it first, or it is done.
    pub fn drop_job_completion(&mut self, id: JobId) {
        self.pending_writes.remove(&PendingWrite::CompleteJob(id));
    }

    /// Begins the next write of completions and of attempt records of previous epochs, of at most `max_pages` pages.
    pub fn begin_page_writes(&mut self, now: Time, max_pages: usize) -> Vec<PageWrite> {
        self.pages.begin_writes(now, max_pages)
    }

    /// Records that the page writes in flight are durable, at `revision` if that is known.
    pub fn mark_pages_durable(&mut self, revision: Option<Revision>) {
        self.pages
            .previous_epoch_records
            .mark_write_applied(revision);
        for key in self.pages.completions.mark_write_applied(revision) {
            self.mark_chunk_durable(key);
        }
    }

    /// Marks the completions of a chunk durable. Directives tell the attempts' machines to drop them.
    fn mark_chunk_durable(&mut self, key: CompletionsKey) {
        for attempt in self.take_durable_attempts(key) {
            let active = self.active_attempts.get(&attempt);
            if active.is_some_and(|active| active.is_completed()) {
                self.send_directive(Directive::MarkDurable(attempt));
            }
        }
    }

    /// Marks the written completions of a chunk durable and returns the active attempts at their tasks.
    fn take_durable_attempts(&mut self, key: CompletionsKey) -> Vec<AttemptId> {
        let job = key.job;
        // Tasks completed since the write began are pending again and not durable yet.
        let pending_entry = self.pages.completions.pending_entry(&key);
        let is_pending =
            |index: &u32| pending_entry.is_some_and(|entry| entry.tasks.contains(index));
        // The completions of such a job become durable with its final state.
        let Some(job_tasks) = self
            .open_jobs
            .get_mut(&job)
            .filter(|tasks| !tasks.all_tasks_completed())
        else {
            return Vec::new();
        };
        let in_chunk = |index: &u32| completions_key(TaskId { job, index: *index }) == key;
        let written_tasks: Vec<u32> = job_tasks
            .completions_not_durable
            .iter()
            .copied()
            .filter(|index| in_chunk(index) && !is_pending(index))
            .collect();
        let mut attempts = Vec::new();
        for index in written_tasks {
            job_tasks.completions_not_durable.remove(&index);
            attempts.extend(
                job_tasks
                    .attempts_by_task
                    .get(&index)
                    .into_iter()
                    .flatten()
                    .copied(),
            );
        }
        attempts
    }

    /// Keys of the pages whose versions have to be read.
    pub fn uncertain_pages(&self) -> Vec<String> {
        self.pages.uncertain_keys().cloned().collect()
    }

    /// Sets the version of a page, as read from the store.
    pub fn set_page_version(&mut self, key: &str, version: Revision) {
        self.pages.set_page_version(key, version);
    }
}
