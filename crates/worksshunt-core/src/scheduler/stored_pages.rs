//! The pages that the leader writes to the key-value store: completions, and the attempt records of previous epochs
//! until they are no longer needed.

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
    /// Attempt records of previous epochs, for attempts that may still be on machines.
    pub previous_epoch_records: Pages<AttemptRecord>,
    /// Whether the last write began with the attempt records.
    previous_epoch_records_first: bool,
}

impl StoredPages {
    /// Two empty sets of pages.
    pub fn new(limits: &KeyValueLimits) -> StoredPages {
        StoredPages {
            completions: Pages::new(COMPLETIONS_PREFIX.to_owned(), max_page_bytes(limits)),
            previous_epoch_records: Pages::new(
                ATTEMPT_RECORDS_PREFIX.to_owned(),
                max_page_bytes(limits),
            ),
            previous_epoch_records_first: false,
        }
    }

    /// Begins the next write, of at most `max_pages` pages. The two sets take turns in going first: under high load
    /// there are always completions to write, and records that are never rewritten would list ended attempts to the
    /// next epoch.
    pub fn begin_writes(&mut self, now: Time, max_pages: usize) -> Vec<PageWrite> {
        self.previous_epoch_records_first = !self.previous_epoch_records_first;
        if self.previous_epoch_records_first {
            let mut writes = self.previous_epoch_records.begin_writes(now, max_pages);
            let remaining_pages = max_pages - writes.len();
            writes.extend(self.completions.begin_writes(now, remaining_pages));
            writes
        } else {
            let mut writes = self.completions.begin_writes(now, max_pages);
            let remaining_pages = max_pages - writes.len();
            writes.extend(
                self.previous_epoch_records
                    .begin_writes(now, remaining_pages),
            );
            writes
        }
    }

    /// Keys of the pages whose versions have to be read.
    pub fn uncertain_keys(&self) -> impl Iterator<Item = &String> {
        let completions = self.completions.uncertain_keys();
        completions.chain(self.previous_epoch_records.uncertain_keys())
    }

    /// Sets the version of a page, as read from the store.
    pub fn set_page_version(&mut self, key: &str, version: Revision) {
        self.completions.set_page_version(key, version);
        self.previous_epoch_records.set_page_version(key, version);
    }
}
