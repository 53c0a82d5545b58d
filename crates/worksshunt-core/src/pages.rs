//! Records kept many to a key.
//!
//! The key-value store counts changed keys, not bytes. So entries are gathered in pages, each one key
//! of at most the store's value limit. A write puts new entries on a page and drops what is no longer
//! needed there, so it costs one change however many entries it adds. A page left empty is deleted.
//!
//! Only one process writes a set of pages in an epoch, one write at a time, each conditional on the
//! page's version. A write without a clear answer is repeated unchanged; when the repetition finds
//! another version, the first one was applied.
//!
//! [`Pages`] holds the pages of one kind of entry and what waits to be written. The owner of a partition keeps its
//! [attempt records](crate::records) with it, the leader the completions and the records of former epochs.

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

/// Bytes a page may take, so that it keeps the value limit and a write of several pages the limit of a transaction.
pub fn max_page_bytes(limits: &KeyValueLimits) -> usize {
    let value_bytes = (limits.max_value_kib * 1_024.0) as usize;
    let max_bytes = value_bytes.min(MAX_TRANSACTION_BYTES / PAGES_PER_WRITE);
    max_bytes - max_bytes / PAGE_MARGIN_DIVISOR
}

/// A kind of entry that is kept on pages.
pub trait PageEntry: Sized {
    /// Identifies an entry.
    type Key: Ord + Clone;
    /// Upper bound of the bytes it takes on a page.
    fn size_bytes(&self, key: &Self::Key) -> usize;
    /// Merges a later entry of the same key into this one.
    fn merge(&mut self, later: Self);
    /// A page's value in the store.
    fn encode_page(entries: &BTreeMap<Self::Key, Self>) -> Value;
}

/// One page to be written.
#[derive(Debug, Clone, PartialEq)]
pub struct PageWrite {
    /// The version that the page must have.
    pub condition: ExpectedRevision,
    /// The new content, or the page's deletion.
    pub change: Change,
}

/// A set of pages.
#[derive(Debug)]
pub struct Pages<E: PageEntry> {
    prefix: String,
    /// Bytes that a page may take.
    max_bytes: usize,
    /// Number of the next new page. No number is used twice in an epoch: a late copy of a page's first
    /// write must not restore the page.
    next_number: u64,
    pages: Vec<Page<E>>,
    /// Entries that are on no page yet.
    pending: BTreeMap<E::Key, E>,
    /// Keys of the entries that the write in flight adds.
    entries_being_written: Vec<E::Key>,
}

impl<E: PageEntry> Pages<E> {
    /// No page yet. The pages' keys are `prefix` and a number, their values take at most `max_bytes`.
    pub fn new(prefix: String, max_bytes: usize) -> Pages<E> {
        Pages {
            prefix,
            max_bytes,
            next_number: 0,
            pages: Vec::new(),
            pending: BTreeMap::new(),
            entries_being_written: Vec::new(),
        }
    }

    /// Adds a page found in the store, with its entries.
    pub fn add_stored_page(
        &mut self,
        key: String,
        version: Revision,
        entries: BTreeMap<E::Key, E>,
    ) {
        self.reserve_page_number(&key);
        self.pages.push(Page::new(key, version, entries));
    }

    /// A page found in the store is not adopted: its number is not used for a new one. Otherwise the new page would
    /// conflict with it, which would be read as an earlier copy of the write, or be removed along with it.
    pub fn reserve_page_number(&mut self, key: &str) {
        let number = key
            .strip_prefix(&self.prefix)
            .and_then(|number| number.parse::<u64>().ok());
        self.next_number = self
            .next_number
            .max(number.map_or(0, |number| number.saturating_add(1)));
    }

    /// A page found in the store had entries that were dropped: it is to be rewritten at once.
    pub fn mark_for_rewrite(&mut self, key: &str, now: Time) {
        for page in self.pages.iter_mut().filter(|page| page.key == key) {
            page.request_rewrite(now, URGENT_ENTRY_WEIGHT);
        }
    }

    /// Adds an entry, to be written.
    pub fn add(&mut self, key: E::Key, entry: E) {
        match self.pending.get_mut(&key) {
            Some(pending) => pending.merge(entry),
            None => {
                self.pending.insert(key, entry);
            }
        }
    }

    /// An entry is no longer needed. Its page is rewritten with the next entries, or for that alone
    /// after a while; at once if the entry would mislead (`urgent`).
    pub fn remove(&mut self, key: &E::Key, now: Time, urgent: bool) {
        self.pending.remove(key);
        let (rewrite_at, weight) = if urgent {
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

    /// The entry that waits to be written under a key.
    pub fn pending_entry(&self, key: &E::Key) -> Option<&E> {
        self.pending.get(key)
    }

    /// The next write, of at most `max_pages` pages; empty while one is in flight.
    pub fn begin_writes(&mut self, now: Time, max_pages: usize) -> Vec<PageWrite> {
        let mut writes = Vec::new();
        if self.pages.iter().any(|p| p.state == PageState::Writing) {
            return writes;
        }
        while writes.len() < max_pages && !self.pending.is_empty() {
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

    /// Index of a page to be rewritten now without the entries that are no longer needed.
    ///
    /// A page written under larger limits than today's stays as it is until its remaining entries keep
    /// them: the entries on it that are no longer needed mislead for a while at the most.
    fn page_due_for_rewrite(&self, now: Time) -> Option<usize> {
        self.pages.iter().position(|page| {
            page.is_stored() && page.is_rewrite_due(now) && page.size_bytes <= self.max_bytes
        })
    }

    /// Index of the page that the next entries go to: of those with enough free bytes, the one from which a rewrite
    /// drops the most; else a new one.
    fn choose_page(&mut self) -> usize {
        let max_filled = self.max_bytes - self.max_bytes / PAGE_MIN_FREE_DIVISOR;
        let best = self
            .pages
            .iter()
            .enumerate()
            .filter(|(_, page)| page.is_stored() && page.size_bytes <= max_filled)
            .max_by_key(|(_, page)| (page.stale_weight, std::cmp::Reverse(page.size_bytes)))
            .map(|(index, _)| index);
        best.unwrap_or_else(|| {
            let key = format!("{}{}", self.prefix, self.next_number);
            self.add_stored_page(key, Revision(0), BTreeMap::new());
            self.pages.len() - 1
        })
    }

    /// Puts pending entries on a page until it is full.
    fn fill_page(&mut self, index: usize) {
        let page = &mut self.pages[index];
        while let Some((key, entry)) = self.pending.pop_first() {
            if !page.is_empty() && page.size_bytes + entry.size_bytes(&key) > self.max_bytes {
                self.pending.insert(key, entry);
                break;
            }
            self.entries_being_written.push(key.clone());
            page.insert(key, entry);
        }
    }

    /// The write in flight is durable, at that revision if it is known. Returns the keys of the
    /// entries it added.
    pub fn mark_write_applied(&mut self, revision: Option<Revision>) -> Vec<E::Key> {
        // A page that was written empty is deleted; one whose entries were removed since the write still exists.
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

    /// Keys whose versions have to be read.
    pub fn uncertain_keys(&self) -> impl Iterator<Item = &String> {
        self.pages
            .iter()
            .filter(|page| page.state == PageState::Uncertain)
            .map(|page| &page.key)
    }

    /// An uncertain page's version was read.
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
