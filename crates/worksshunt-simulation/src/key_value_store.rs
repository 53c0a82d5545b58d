//! An in-memory key-value store: keys, leases and the change log that watches read.
//!
//! A [`Store`] only applies requests. `key_value_service.rs` adds the simulated network and faults; the loopback
//! measurements serve a store over HTTP.

use std::collections::BTreeMap;

use serde_json::Value;
use worksshunt_core::constants::leases::MEMBER_LEASE_TTL_MS;
use worksshunt_core::controller::{KvRequest, KvResponse};
use worksshunt_wire::key_value::{
    Change, CompareAndSwap, KeyValue, Listing, WatchEvent, WatchResponse,
};
use worksshunt_wire::Revision;

/// A key's value and the revision that wrote it. The key is deleted when its lease, if it has one, expires.
#[derive(Debug, Clone)]
pub(crate) struct StoredValue {
    pub(crate) value: Value,
    revision: Revision,
    lease: Option<u64>,
}

impl StoredValue {
    fn to_key_value(&self, key: &str) -> KeyValue {
        KeyValue {
            key: key.to_owned(),
            value: self.value.clone(),
            version: self.revision,
        }
    }
}

/// A change in the form in which watches return it.
#[derive(Debug, Clone)]
struct LoggedChange {
    revision: u64,
    event: WatchEvent,
}

/// An in-memory key-value store with compare-and-swap, leases and watches.
#[derive(Debug, Clone, Default)]
pub struct Store {
    pub(crate) keys: BTreeMap<String, StoredValue>,
    revision: u64,
    /// All changes, ordered by revision.
    change_log: Vec<LoggedChange>,
    /// Expiry time of each lease, ms.
    leases: BTreeMap<u64, u64>,
    last_lease: u64,
}

impl Store {
    /// Removes expired leases and deletes their keys.
    fn expire_leases(&mut self, now: u64) {
        let leases = self.leases.iter();
        let expired: Vec<u64> = leases
            .filter(|(_, expires_at)| now > **expires_at)
            .map(|(lease, _)| *lease)
            .collect();
        for lease in expired {
            self.leases.remove(&lease);
            let keys = self.keys.iter();
            let keys: Vec<String> = keys
                .filter(|(_, stored)| stored.lease == Some(lease))
                .map(|(key, _)| key.clone())
                .collect();
            self.revision += 1;
            for key in keys {
                self.delete(&key);
            }
        }
    }

    /// Renews every lease, as after an outage of the store.
    pub(crate) fn renew_all_leases(&mut self, now: u64) {
        for expires_at in self.leases.values_mut() {
            *expires_at = now + MEMBER_LEASE_TTL_MS;
        }
    }

    fn delete(&mut self, key: &str) {
        if self.keys.remove(key).is_some() {
            self.log_change(WatchEvent::Delete {
                key: key.to_owned(),
                version: Revision(self.revision),
            });
        }
    }

    fn log_change(&mut self, event: WatchEvent) {
        let revision = self.revision;
        self.change_log.push(LoggedChange { revision, event });
    }

    fn put(&mut self, key: &str, value: &Value, lease: Option<u64>) {
        let revision = Revision(self.revision);
        let stored = StoredValue {
            value: value.clone(),
            revision,
            lease,
        };
        self.keys.insert(key.to_owned(), stored);
        self.log_change(WatchEvent::Put {
            key: key.to_owned(),
            value: value.clone(),
            version: revision,
        });
    }

    /// Returns the number of writes of a key.
    pub(crate) fn write_count(&self, key: &str) -> usize {
        let is_write = |change: &&LoggedChange| matches!(&change.event, WatchEvent::Put { key: written, .. } if written == key);
        self.change_log.iter().filter(is_write).count()
    }

    /// Returns the revision that wrote a key; 0 if the key does not exist.
    fn key_revision(&self, key: &str) -> Revision {
        self.keys
            .get(key)
            .map_or(Revision(0), |stored| stored.revision)
    }

    fn compare_and_swap(&mut self, write: &CompareAndSwap) -> KvResponse {
        let expected = write.expected.iter();
        let conflicts: Vec<String> = expected
            .filter(|expected| self.key_revision(&expected.key) != expected.version)
            .map(|expected| expected.key.clone())
            .collect();
        let has_unknown_lease = |change: &Change| matches!(change, Change::Put { lease_id: Some(lease), .. } if !self.leases.contains_key(lease));
        if write.changes.iter().any(has_unknown_lease) {
            return KvResponse::NoSuchLease;
        }
        if !conflicts.is_empty() {
            return KvResponse::Conflict(conflicts);
        }
        self.revision += 1;
        for change in &write.changes {
            match change {
                Change::Put {
                    key,
                    value,
                    lease_id: lease,
                } => self.put(key, value, *lease),
                Change::Delete { key } => self.delete(key),
            }
        }
        KvResponse::Committed(Revision(self.revision))
    }

    /// Returns the changes of keys with a prefix since a revision, which is excluded.
    pub(crate) fn changes(&self, prefix: &str, since: Revision) -> WatchResponse {
        let has_prefix = |event: &WatchEvent| match event {
            WatchEvent::Put { key, .. } | WatchEvent::Delete { key, .. } => key.starts_with(prefix),
        };
        let first_index = self
            .change_log
            .partition_point(|change| change.revision <= since.0);
        let events = self.change_log[first_index..]
            .iter()
            .map(|change| &change.event);
        WatchResponse {
            revision: Revision(self.revision),
            events: events.filter(|event| has_prefix(event)).cloned().collect(),
        }
    }

    /// Returns the revision of the last change; 0 if there was none.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Applies a request at a time, ms. A watch returns immediately, also without changes.
    pub fn apply(&mut self, now: u64, request: &KvRequest) -> KvResponse {
        self.expire_leases(now);
        match request {
            KvRequest::GrantLease => self.grant_lease(now),
            KvRequest::RenewLease(lease) => self.renew_lease(now, *lease),
            KvRequest::Get(key) => self.get(key),
            KvRequest::List(prefix) => KvResponse::Listing(self.list(prefix)),
            KvRequest::CompareAndSwap(write) => self.compare_and_swap(write),
            KvRequest::Watch { prefix, since, .. } => {
                KvResponse::WatchResponse(self.changes(prefix, *since))
            }
        }
    }

    fn grant_lease(&mut self, now: u64) -> KvResponse {
        self.last_lease += 1;
        self.leases
            .insert(self.last_lease, now + MEMBER_LEASE_TTL_MS);
        KvResponse::LeaseGranted(self.last_lease)
    }

    fn renew_lease(&mut self, now: u64, lease: u64) -> KvResponse {
        match self.leases.get_mut(&lease) {
            Some(expires_at) => {
                *expires_at = now + MEMBER_LEASE_TTL_MS;
                KvResponse::LeaseRenewed
            }
            None => KvResponse::NoSuchLease,
        }
    }

    fn get(&self, key: &str) -> KvResponse {
        match self.keys.get(key) {
            Some(stored) => KvResponse::Found(stored.to_key_value(key)),
            None => KvResponse::Missing,
        }
    }

    fn list(&self, prefix: &str) -> Listing {
        let keys = self.keys.iter();
        Listing {
            pairs: keys
                .filter(|(key, _)| key.starts_with(prefix))
                .map(|(key, stored)| stored.to_key_value(key))
                .collect(),
            has_more: false,
            revision: Revision(self.revision),
        }
    }
}
