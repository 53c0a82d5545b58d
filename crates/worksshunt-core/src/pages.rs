//! Pages: batches of records, each stored as one value in the key-value store.
//!
//! The store limits the rate of changed keys, not of bytes. Entries are therefore grouped in pages of at most the
//! store's value limit. A write adds new entries to a page and removes its stale ones, so it costs one change for any
//! number of entries. A page without entries is deleted.
//!
//! Only one process writes a set of pages in an epoch, one write at a time, each conditional on the version of the
//! page. A write without a definite response is retried unchanged; if the retry finds another version, the first one
//! was applied.
//!
//! [`Pages`] holds the pages of one kind of entry and the entries to be written. The owner of a partition uses it for
//! its [attempt records](crate::records), the leader for completions and for attempt records of previous epochs.

mod page;

use std::collections::BTreeMap;

use serde_json::Value;
use worksshunt_wire::key_value::{Change, ExpectedRevision};
use worksshunt_wire::settings::KeyValueLimits;
use worksshunt_wire::Revision;

use crate::constants::key_value::MAX_TRANSACTION_BYTES;
use crate::constants::pages::{
    PAGES_PER_WRITE, PAGE_MARGIN_DIVISOR, PAGE_MIN_FREE_DIVISOR, PAGE_REWRITE_DELAY_MS,
    URGENT_ENTRY_WEIGHT,
};
use crate::time::Time;

use page::{Page, PageState};

/// Maximum size of a page, bytes. A page fits the value limit, and [`PAGES_PER_WRITE`] pages fit a transaction.
pub fn max_page_bytes(limits: &KeyValueLimits) -> usize {
    let value_bytes = (limits.max_value_kib * 1_024.0) as usize;
    let max_bytes = value_bytes.min(MAX_TRANSACTION_BYTES / PAGES_PER_WRITE);
    max_bytes - max_bytes / PAGE_MARGIN_DIVISOR
}

/// A kind of entry that is stored on pages.
pub trait PageEntry: Sized {
    /// Identifier of an entry; unique within a set of pages.
    type Key: Ord + Clone;
    /// Upper bound of the bytes that the entry takes on a page.
    fn size_bytes(&self, key: &Self::Key) -> usize;
    /// Merges a later entry of the same key into this one.
    fn merge(&mut self, later: Self);
    /// Encodes the entries of a page as its value in the store.
    fn encode_page(entries: &BTreeMap<Self::Key, Self>) -> Value;
}

/// The conditional write of one page.
#[derive(Debug, Clone, PartialEq)]
pub struct PageWrite {
    /// Version that the page must have in the store.
    pub condition: ExpectedRevision,
    /// New content of the page, or its deletion.
    pub change: Change,
}

/// A set of pages under a common key prefix.
#[derive(Debug)]
pub struct Pages<E: PageEntry> {
    prefix: String,
    /// Maximum size of a page, bytes.
    max_bytes: usize,
    /// Number of the next new page. No number is used twice in an epoch, so that a delayed copy of a page's first write
    /// cannot restore a deleted page.
    next_page_number: u64,
    pages: Vec<Page<E>>,
    /// Entries to be written that are on no page yet.
    pending_entries: BTreeMap<E::Key, E>,
    /// Keys of the entries that the write in flight adds.
    entries_being_written: Vec<E::Key>,
}

impl<E: PageEntry> Pages<E> {
    /// Creates an empty set. The key of a page is `prefix` and a number, its value takes at most `max_bytes`.
    pub fn new(prefix: String, max_bytes: usize) -> Pages<E> {
        Pages {
            prefix,
            max_bytes,
            next_page_number: 0,
            pages: Vec::new(),
            pending_entries: BTreeMap::new(),
            entries_being_written: Vec::new(),
        }
    }

    /// Adds a page that was read from the store, with its entries.
    pub fn add_stored_page(
        &mut self,
        key: String,
        version: Revision,
        entries: BTreeMap<E::Key, E>,
    ) {
        self.reserve_page_number(&key);
        self.pages.push(Page::new(key, version, entries));
    }

    /// Excludes the number of a stored page that is not part of this set. A new page under its key would conflict with
    /// it, which would look like an earlier copy of the write, or would be deleted along with it.
    pub fn reserve_page_number(&mut self, key: &str) {
        let number = key
            .strip_prefix(&self.prefix)
            .and_then(|number| number.parse::<u64>().ok());
        self.next_page_number = self
            .next_page_number
            .max(number.map_or(0, |number| number.saturating_add(1)));
    }

    /// Schedules an immediate rewrite of a stored page that contains stale entries.
    pub fn mark_for_rewrite(&mut self, key: &str, now: Time) {
        for page in self.pages.iter_mut().filter(|page| page.key == key) {
            page.request_rewrite(now, URGENT_ENTRY_WEIGHT);
        }
    }

    /// Adds an entry to be written.
    pub fn add(&mut self, key: E::Key, entry: E) {
        match self.pending_entries.get_mut(&key) {
            Some(pending_entry) => pending_entry.merge(entry),
            None => {
                self.pending_entries.insert(key, entry);
            }
        }
    }

    /// Removes an entry. Its page is rewritten with the next new entries, or after [`PAGE_REWRITE_DELAY_MS`] without
    /// any; if `is_urgent`, as soon as possible, because the stale entry would delay a new leader.
    pub fn remove(&mut self, key: &E::Key, now: Time, is_urgent: bool) {
        self.pending_entries.remove(key);
        let (rewrite_at, weight) = if is_urgent {
            (now, URGENT_ENTRY_WEIGHT)
        } else {
            (now + PAGE_REWRITE_DELAY_MS, 1)
        };
        for page in &mut self.pages {
            if page.remove(key) {
                page.request_rewrite(rewrite_at, weight);
            }
        }
    }

    /// The pending entry of a key. `None` if it is already on a page.
    pub fn pending_entry(&self, key: &E::Key) -> Option<&E> {
        self.pending_entries.get(key)
    }

    /// Begins the next write and returns its pages, at most `max_pages`. Returns none while a write is in flight or if
    /// nothing is to be written.
    pub fn begin_writes(&mut self, now: Time, max_pages: usize) -> Vec<PageWrite> {
        let mut writes = Vec::new();
        if self
            .pages
            .iter()
            .any(|page| page.state == PageState::Writing)
        {
            return writes;
        }
        while writes.len() < max_pages && !self.pending_entries.is_empty() {
            let index = self.choose_page();
            self.fill_page(index);
            writes.extend(self.pages[index].begin_write());
        }
        while writes.len() < max_pages {
            let Some(index) = self.page_due_for_rewrite(now) else {
                break;
            };
            writes.extend(self.pages[index].begin_write());
        }
        writes
    }

    /// Index of a stored page that is due for a rewrite without its stale entries.
    ///
    /// A page larger than the present limit, written under a larger one, is not rewritten until its entries fit.
    fn page_due_for_rewrite(&self, now: Time) -> Option<usize> {
        self.pages.iter().position(|page| {
            page.is_stored() && page.is_rewrite_due(now) && page.size_bytes <= self.max_bytes
        })
    }

    /// Index of the page for the next entries: the one with the most stale entries among the pages with enough free
    /// bytes, or else a new page.
    fn choose_page(&mut self) -> usize {
        let max_used_bytes = self.max_bytes - self.max_bytes / PAGE_MIN_FREE_DIVISOR;
        let best = self
            .pages
            .iter()
            .enumerate()
            .filter(|(_, page)| page.is_stored() && page.size_bytes <= max_used_bytes)
            .max_by_key(|(_, page)| (page.stale_weight, std::cmp::Reverse(page.size_bytes)))
            .map(|(index, _)| index);
        best.unwrap_or_else(|| {
            let key = format!("{}{}", self.prefix, self.next_page_number);
            self.add_stored_page(key, Revision(0), BTreeMap::new());
            self.pages.len() - 1
        })
    }

    /// Moves pending entries to a page until it is full.
    fn fill_page(&mut self, index: usize) {
        let page = &mut self.pages[index];
        while let Some((key, entry)) = self.pending_entries.pop_first() {
            if !page.is_empty() && page.size_bytes + entry.size_bytes(&key) > self.max_bytes {
                self.pending_entries.insert(key, entry);
                break;
            }
            self.entries_being_written.push(key.clone());
            page.insert(key, entry);
        }
    }

    /// Records that the write in flight is durable, at `revision` if that is known. Returns the keys of the entries
    /// that the write added.
    pub fn mark_write_applied(&mut self, revision: Option<Revision>) -> Vec<E::Key> {
        // A page that was written without entries is deleted. A page whose entries were removed during the write still
        // exists; a rewrite of it is scheduled.
        let exists = |page: &Page<E>| !page.is_empty() || page.rewrite_at.is_some();
        self.pages
            .retain(|page| page.state != PageState::Writing || exists(page));
        for page in &mut self.pages {
            if page.state == PageState::Writing {
                page.state = revision.map_or(PageState::Uncertain, PageState::Stored);
            }
        }
        std::mem::take(&mut self.entries_being_written)
    }

    /// Keys of the pages whose versions have to be read before the next write of them.
    pub fn uncertain_keys(&self) -> impl Iterator<Item = &String> {
        self.pages
            .iter()
            .filter(|page| page.state == PageState::Uncertain)
            .map(|page| &page.key)
    }

    /// Sets the version of an uncertain page, as read from the store.
    pub fn set_page_version(&mut self, key: &str, version: Revision) {
        for page in &mut self.pages {
            if page.key == key && page.state == PageState::Uncertain {
                page.state = PageState::Stored(version);
            }
        }
    }
}

#[cfg(test)]
mod tests;
