//! A page of entries with its state in the store. [`Pages`](super::Pages) decides when it is written.

use std::collections::BTreeMap;

use worksshunt_wire::key_value::{Change, ExpectedRevision};
use worksshunt_wire::Revision;

use crate::time::Time;

use super::{PageEntry, PageWrite};

/// State of a page in the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum PageState {
    /// Stored at this version; zero if it doesn't exist in the store yet.
    Stored(Revision),
    /// Being written.
    Writing,
    /// Written at a version that has to be read from the store.
    Uncertain,
}

/// A page of entries.
#[derive(Debug)]
pub(super) struct Page<E: PageEntry> {
    pub key: String,
    pub state: PageState,
    entries: BTreeMap<E::Key, E>,
    /// Upper bound of the bytes that its entries take.
    pub size_bytes: usize,
    /// Time from which the stored page is rewritten to remove stale entries; `None` if it has none.
    pub rewrite_at: Option<Time>,
    /// Number of stale entries on the stored page, with urgent ones weighted by
    /// [`URGENT_ENTRY_WEIGHT`](crate::constants::pages::URGENT_ENTRY_WEIGHT).
    pub stale_weight: u32,
}

impl<E: PageEntry> Page<E> {
    /// Creates a page that is stored at `version`.
    pub fn new(key: String, version: Revision, entries: BTreeMap<E::Key, E>) -> Page<E> {
        let size_bytes = entries
            .iter()
            .map(|(key, entry)| entry.size_bytes(key))
            .sum();
        Page {
            key,
            state: PageState::Stored(version),
            entries,
            size_bytes,
            rewrite_at: None,
            stale_weight: 0,
        }
    }

    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    pub fn is_stored(&self) -> bool {
        matches!(self.state, PageState::Stored(_))
    }

    /// Whether the page should be rewritten even without new entries.
    pub fn is_rewrite_due(&self, now: Time) -> bool {
        self.rewrite_at.is_some_and(|at| now >= at)
    }

    /// Schedules a rewrite at `at`, unless an earlier one is scheduled, and adds to the weight of the stale entries.
    pub fn request_rewrite(&mut self, at: Time, weight: u32) {
        self.rewrite_at = Some(self.rewrite_at.map_or(at, |earlier| earlier.min(at)));
        self.stale_weight += weight;
    }

    /// Adds an entry, or merges it into an earlier one of the same key.
    pub fn insert(&mut self, key: E::Key, entry: E) {
        match self.entries.get_mut(&key) {
            Some(existing) => {
                let size_before = existing.size_bytes(&key);
                existing.merge(entry);
                self.size_bytes = self.size_bytes + existing.size_bytes(&key) - size_before;
            }
            None => {
                self.size_bytes += entry.size_bytes(&key);
                self.entries.insert(key, entry);
            }
        }
    }

    /// Removes an entry. Returns whether the page contained it.
    pub fn remove(&mut self, key: &E::Key) -> bool {
        let removed = self.entries.remove(key);
        if let Some(entry) = &removed {
            self.size_bytes = self.size_bytes.saturating_sub(entry.size_bytes(key));
        }
        removed.is_some()
    }

    /// Begins a write of the page. Returns `None` unless the page is stored at a known version.
    pub fn begin_write(&mut self) -> Option<PageWrite> {
        let PageState::Stored(version) = self.state else {
            return None;
        };
        self.state = PageState::Writing;
        self.rewrite_at = None;
        self.stale_weight = 0;
        let key = self.key.clone();
        let change = if self.entries.is_empty() {
            Change::Delete { key: key.clone() }
        } else {
            Change::Put {
                key: key.clone(),
                value: E::encode_page(&self.entries),
                lease_id: None,
            }
        };
        Some(PageWrite {
            condition: ExpectedRevision { key, version },
            change,
        })
    }
}
