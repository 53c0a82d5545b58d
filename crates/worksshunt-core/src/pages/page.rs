//! One page, with what is known of it in the store.
//!
//! Owned by [`Pages`](super::Pages), which decides when a page is written.

use std::collections::BTreeMap;

use worksshunt_wire::key_value::{Change, ExpectedRevision};
use worksshunt_wire::Revision;

use crate::time::Time;

use super::{PageEntry, PageWrite};

/// State of a page in the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum PageState {
    /// The store has it at this version.
    Stored(Revision),
    /// A write is in flight.
    Writing,
    /// A write was applied, at a version that has to be read.
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
    /// When the stored page should be rewritten without the entries that are no longer needed.
    pub rewrite_at: Option<Time>,
    /// How much a rewrite would clean up: the number of entries that are no longer needed, where one that would
    /// mislead counts as many.
    pub stale_weight: u32,
}

impl<E: PageEntry> Page<E> {
    /// A page that the store has at a version.
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

    /// Whether the page should be rewritten now, even without new entries.
    pub fn is_rewrite_due(&self, now: Time) -> bool {
        self.rewrite_at.is_some_and(|at| now >= at)
    }

    /// Requests a rewrite at that time, if none is due before.
    pub fn request_rewrite(&mut self, at: Time, weight: u32) {
        self.rewrite_at = Some(self.rewrite_at.map_or(at, |before| before.min(at)));
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

    /// Removes an entry; whether the page had it.
    pub fn remove(&mut self, key: &E::Key) -> bool {
        let removed = self.entries.remove(key);
        if let Some(entry) = &removed {
            self.size_bytes = self.size_bytes.saturating_sub(entry.size_bytes(key));
        }
        removed.is_some()
    }

    /// The write of a stored page, which is in flight from now on.
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
