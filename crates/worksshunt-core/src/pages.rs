//! Records kept many to a key.
//!
//! The state service counts changed keys, not bytes. So entries are gathered in pages, each one key
//! of at most the state service's value limit. A write puts new entries on a page and drops what
//! has become superfluous there, so it costs one change however many entries it brings.
//! A page left empty is removed.
//!
//! Only one process writes a set of pages in an epoch, one write at a time, each conditional on the
//! page's version. A write without a clear answer is repeated unchanged; when the repetition finds
//! another version, the first one was applied.

use std::collections::BTreeMap;

use serde_json::Value;
use worksshunt_wire::key_value::{Change, ExpectedRevision};
use worksshunt_wire::settings::KeyValueLimits;
use worksshunt_wire::Revision;

use crate::constants::key_value::MAX_TRANSACTION_BYTES;
use crate::constants::pages::{
    PAGES_PER_WRITE, PAGE_FREE_DIVISOR, PAGE_MARGIN_DIVISOR, PAGE_REWRITE_DELAY_MS,
    URGENT_ENTRY_WEIGHT,
};
use crate::time::Time;

/// Bytes a page may take, so that it keeps the value limit and a write of several the transaction's.
pub fn page_bytes(state: &KeyValueLimits) -> usize {
    let value = (state.value_kb * 1_024.0) as usize;
    let most = value.min(MAX_TRANSACTION_BYTES / PAGES_PER_WRITE);
    most - most / PAGE_MARGIN_DIVISOR
}

/// What pages lease.
pub trait PageEntry: Sized {
    /// What an entry is found by.
    type Key: Ord + Clone;
    /// Bytes it takes on a page, at most.
    fn size(&self, key: &Self::Key) -> usize;
    /// Takes in a later entry of the same key.
    fn join(&mut self, later: Self);
    /// A page as stored.
    fn value(entries: &BTreeMap<Self::Key, Self>) -> Value;
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum PageState {
    /// The store has it at this version.
    Stored(Revision),
    /// A write is under way.
    Writing,
    /// A write was applied, at a version that has to be read.
    Uncertain,
}

#[derive(Debug)]
struct Page<E: PageEntry> {
    key: String,
    state: PageState,
    entries: BTreeMap<E::Key, E>,
    size: usize,
    /// When the stored page should be rewritten for entries that are no longer needed.
    rewrite_at: Option<Time>,
    /// How much that would do: entries that are no longer needed, those that mislead many times over.
    stale_weight: u32,
}

/// One page to be written.
#[derive(Debug, Clone, PartialEq)]
pub struct PageWrite {
    /// The version it must have, and the new content.
    pub condition: ExpectedRevision,
    /// The change.
    pub change: Change,
}

/// A set of pages.
#[derive(Debug)]
pub struct Pages<E: PageEntry> {
    prefix: String,
    bytes: usize,
    /// Number of the next new page. None is used twice in an epoch: a late copy of a page's first
    /// write must not bring it back.
    next: u64,
    pages: Vec<Page<E>>,
    /// Entries that are on no page yet.
    pending: BTreeMap<E::Key, E>,
    /// Keys brought by the write under way.
    entries_being_written: Vec<E::Key>,
}

impl<E: PageEntry> Pages<E> {
    /// No page yet. Keys are `prefix` and a number, values take at most so many bytes.
    pub fn new(prefix: String, bytes: usize) -> Pages<E> {
        Pages {
            prefix,
            bytes,
            next: 0,
            pages: Vec::new(),
            pending: BTreeMap::new(),
            entries_being_written: Vec::new(),
        }
    }

    /// Takes over a page found in the store.
    pub fn adopt_stored_page(
        &mut self,
        key: String,
        version: Revision,
        entries: BTreeMap<E::Key, E>,
    ) {
        let size = entries.iter().map(|(key, entry)| entry.size(key)).sum();
        let number = key.strip_prefix(&self.prefix).and_then(|n| n.parse().ok());
        self.next = self
            .next
            .max(number.map_or(0, |n: u64| n.saturating_add(1)));
        self.pages.push(Page {
            key,
            state: PageState::Stored(version),
            entries,
            size,
            rewrite_at: None,
            stale_weight: 0,
        });
    }

    /// A page found in the store had entries that were dropped: it is to be rewritten at once.
    pub fn mark_for_rewrite(&mut self, key: &str, now: Time) {
        for page in self.pages.iter_mut().filter(|page| page.key == key) {
            page.rewrite_at = Some(now);
            page.stale_weight += URGENT_ENTRY_WEIGHT;
        }
    }

    /// Wants an entry recorded.
    pub fn add(&mut self, key: E::Key, entry: E) {
        match self.pending.get_mut(&key) {
            Some(before) => before.join(entry),
            None => {
                self.pending.insert(key, entry);
            }
        }
    }

    /// An entry is no longer needed. Its page is rewritten with the next entries, or for that alone
    /// after a while; at once if it would mislead (`urgent`).
    pub fn remove(&mut self, key: &E::Key, now: Time, urgent: bool) {
        self.pending.remove(key);
        let at = if urgent {
            now
        } else {
            now + PAGE_REWRITE_DELAY_MS
        };
        for page in &mut self.pages {
            if let Some(entry) = page.entries.remove(key) {
                page.size = page.size.saturating_sub(entry.size(key));
                page.rewrite_at = Some(page.rewrite_at.map_or(at, |before| before.min(at)));
                page.stale_weight += if urgent { URGENT_ENTRY_WEIGHT } else { 1 };
            }
        }
    }

    /// What waits to be written under a key.
    pub fn pending_entry(&self, key: &E::Key) -> Option<&E> {
        self.pending.get(key)
    }

    /// The next write, of at most so many pages; nothing while one is under way.
    pub fn next_writes(&mut self, now: Time, most: usize) -> Vec<PageWrite> {
        let mut writes = Vec::new();
        if self.pages.iter().any(|p| p.state == PageState::Writing) {
            return writes;
        }
        while writes.len() < most && !self.pending.is_empty() {
            let index = self.choose_page();
            self.fill_page(index);
            writes.extend(self.begin_write(index));
        }
        while writes.len() < most {
            // A page written under larger limits than today's stays as it is until what is left of it
            // keeps them: what is on it and no longer needed misleads for a while at the most.
            let due = |page: &Page<E>| {
                matches!(page.state, PageState::Stored(_))
                    && page.rewrite_at.is_some_and(|at| now >= at)
                    && page.size <= self.bytes
            };
            let Some(index) = self.pages.iter().position(due) else {
                break;
            };
            writes.extend(self.begin_write(index));
        }
        writes
    }

    /// The page that the next entries go to: of those with room, the one that most will be dropped
    /// from on the occasion.
    fn choose_page(&mut self) -> usize {
        let room = |page: &Page<E>| page.size + self.bytes / PAGE_FREE_DIVISOR <= self.bytes;
        let best = self
            .pages
            .iter()
            .enumerate()
            .filter(|(_, page)| matches!(page.state, PageState::Stored(_)) && room(page))
            .max_by_key(|(_, page)| (page.stale_weight, std::cmp::Reverse(page.size)))
            .map(|(index, _)| index);
        best.unwrap_or_else(|| {
            let key = format!("{}{}", self.prefix, self.next);
            self.adopt_stored_page(key, Revision(0), BTreeMap::new());
            self.pages.len() - 1
        })
    }

    fn fill_page(&mut self, index: usize) {
        let page = &mut self.pages[index];
        while let Some((key, entry)) = self.pending.pop_first() {
            let size = entry.size(&key);
            if page.size + size > self.bytes && !page.entries.is_empty() {
                self.pending.insert(key, entry);
                break;
            }
            self.entries_being_written.push(key.clone());
            match page.entries.get_mut(&key) {
                Some(before) => {
                    let old = before.size(&key);
                    before.join(entry);
                    page.size = page.size + before.size(&key) - old;
                }
                None => {
                    page.size += size;
                    page.entries.insert(key, entry);
                }
            }
        }
    }

    fn begin_write(&mut self, index: usize) -> Option<PageWrite> {
        let page = &mut self.pages[index];
        let PageState::Stored(version) = page.state else {
            return None;
        };
        page.state = PageState::Writing;
        page.rewrite_at = None;
        page.stale_weight = 0;
        let key = page.key.clone();
        let change = if page.entries.is_empty() {
            Change::Delete { key: key.clone() }
        } else {
            Change::Put {
                key: key.clone(),
                value: E::value(&page.entries),
                lease: None,
            }
        };
        Some(PageWrite {
            condition: ExpectedRevision { key, version },
            change,
        })
    }

    /// The write under way is durable, at that revision if it is known. Returns the keys of the
    /// entries it brought.
    pub fn write_applied(&mut self, revision: Option<Revision>) -> Vec<E::Key> {
        let needed = |page: &Page<E>| !page.entries.is_empty() || page.rewrite_at.is_some();
        // A page that was removed is gone; one that lost its entries since will be.
        self.pages
            .retain(|page| page.state != PageState::Writing || needed(page));
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
    pub fn version_read(&mut self, key: &str, version: Revision) {
        for page in &mut self.pages {
            if page.key == key && page.state == PageState::Uncertain {
                page.state = PageState::Stored(version);
            }
        }
    }
}
