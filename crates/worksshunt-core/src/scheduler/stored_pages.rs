//! The pages that the leader keeps in the key-value store: completions, and the machines' records of
//! former epochs until nothing needs them.

use worksshunt_wire::settings::KeyValueLimits;
use worksshunt_wire::Revision;

use crate::jobs::{Completions, COMPLETIONS_PREFIX};
use crate::pages::{max_page_bytes, PageWrite, Pages};
use crate::records::{AttemptRecord, ATTEMPT_RECORDS_PREFIX};
use crate::time::Time;

/// The leader's two sets of pages.
#[derive(Debug)]
pub(super) struct StoredPages {
    pub completions: Pages<Completions>,
    /// Machines' records of former epochs, with the attempts that may still be on machines.
    pub former_records: Pages<AttemptRecord>,
    /// Whether the last write began with the former records.
    former_records_first: bool,
}

impl StoredPages {
    /// No page yet.
    pub fn new(limits: &KeyValueLimits) -> StoredPages {
        StoredPages {
            completions: Pages::new(COMPLETIONS_PREFIX.to_owned(), max_page_bytes(limits)),
            former_records: Pages::new(ATTEMPT_RECORDS_PREFIX.to_owned(), max_page_bytes(limits)),
            former_records_first: false,
        }
    }

    /// The next write, of at most `max_pages` pages. The two sets alternate in priority: under high
    /// load there are always completions to be written, and records that are not rewritten would list all
    /// attempts that have ended since to the next epoch.
    pub fn next_writes(&mut self, now: Time, max_pages: usize) -> Vec<PageWrite> {
        self.former_records_first = !self.former_records_first;
        if self.former_records_first {
            let mut writes = self.former_records.begin_writes(now, max_pages);
            let remaining = max_pages - writes.len();
            writes.extend(self.completions.begin_writes(now, remaining));
            writes
        } else {
            let mut writes = self.completions.begin_writes(now, max_pages);
            let remaining = max_pages - writes.len();
            writes.extend(self.former_records.begin_writes(now, remaining));
            writes
        }
    }

    /// Keys of the pages whose versions have to be read.
    pub fn uncertain_keys(&self) -> impl Iterator<Item = &String> {
        let completions = self.completions.uncertain_keys();
        completions.chain(self.former_records.uncertain_keys())
    }

    /// A page's version was read.
    pub fn version_read(&mut self, key: &str, version: Revision) {
        self.completions.set_page_version(key, version);
        self.former_records.set_page_version(key, version);
    }
}
