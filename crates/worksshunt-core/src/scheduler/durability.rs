//! What the leader wants written, and what follows once it is durable.

use worksshunt_wire::peer::Phase;
use worksshunt_wire::{JobId, MachineId, Revision, TaskId};

use crate::jobs::completions_key;
use crate::pages::PageWrite;
use crate::time::Time;

use super::parts::Down;
use super::Scheduler;

/// What the leader wants written apart from completions, the most useful first.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum Due {
    /// All tasks of the job are done.
    Finish(JobId),
    /// A claim on a machine, or its end.
    Claim(MachineId),
    /// A key of a former epoch that nothing needs any more.
    Remove(String),
}

impl Scheduler {
    /// What waits to be written apart from completions, the most useful first.
    pub fn due(&self) -> impl Iterator<Item = &Due> {
        self.due.iter()
    }

    /// A key of a former epoch is gone.
    pub fn removed(&mut self, key: &str) {
        self.due.remove(&Due::Remove(key.to_owned()));
    }

    /// A job could not be called done: its user was faster, or it is done already.
    pub fn not_finished(&mut self, id: JobId) {
        self.due.remove(&Due::Finish(id));
    }

    /// The next write of completions, and of records of former epochs, of at most so many pages. They
    /// take turns at being first: on a busy day there are always completions to be written, and records
    /// that nothing is dropped from mislead the next epoch by all that has ended since.
    pub fn pages_write(&mut self, now: Time, most: usize) -> Vec<PageWrite> {
        self.former_first = !self.former_first;
        let mut writes = Vec::new();
        if self.former_first {
            writes = self.former.write(now, most);
        }
        writes.extend(self.pages.write(now, most - writes.len()));
        if !self.former_first {
            writes.extend(self.former.write(now, most - writes.len()));
        }
        writes
    }

    /// The pages under way are durable.
    pub fn pages_written(&mut self, revision: Option<Revision>) {
        self.former.written(revision);
        for (job, chunk) in self.pages.written(revision) {
            self.chunk_durable(job, chunk);
        }
    }

    fn chunk_durable(&mut self, job: JobId, chunk: u32) {
        // What completed since the write began is pending again and stays undurable.
        let pending = self
            .pages
            .waiting(&(job, chunk))
            .cloned()
            .unwrap_or_default();
        // All of a complete job becomes durable with its end.
        let Some(work) = self.jobs.get_mut(&job).filter(|work| !work.complete()) else {
            return;
        };
        let in_chunk = |index: &u32| completions_key(TaskId { job, index: *index }).1 == chunk;
        let written: Vec<u32> = work
            .undurable
            .iter()
            .copied()
            .filter(|index| in_chunk(index) && !pending.tasks.contains(index))
            .collect();
        let mut attempts = Vec::new();
        for index in written {
            work.undurable.remove(&index);
            attempts.extend(work.active.get(&index).into_iter().flatten().copied());
        }
        for attempt in attempts {
            if self
                .outs
                .get(&attempt)
                .is_some_and(|o| o.phase == Phase::Completed)
            {
                self.tell(attempt, |_| Down::MarkDurable(attempt));
            }
        }
    }

    /// Pages whose versions have to be read.
    pub fn uncertain_pages(&self) -> Vec<String> {
        let uncertain = self.pages.uncertain().chain(self.former.uncertain());
        uncertain.cloned().collect()
    }

    /// A page's version was read.
    pub fn page_found(&mut self, key: &str, version: Revision) {
        self.pages.found(key, version);
        self.former.found(key, version);
    }
}
