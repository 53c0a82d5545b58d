//! The interface of the consensus-backed key-value store, which the protocol calls the state service.
//!
//! The network client reads and writes these messages; the controller makes the transactions and caches what it
//! watches.

use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::ids::Revision;

/// A key with its value.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct KeyValue {
    /// The key.
    #[serde(rename = "K")]
    pub key: String,
    /// The value.
    #[serde(rename = "V")]
    pub value: Value,
    /// Revision of its last change.
    #[serde(rename = "Sello")]
    pub version: Revision,
}

/// One page of a listing.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Listing {
    /// The keys, in order.
    #[serde(rename = "Pairs")]
    pub pairs: Vec<KeyValue>,
    /// Whether more follow.
    #[serde(rename = "More", default)]
    pub has_more: bool,
    /// The store's revision.
    #[serde(rename = "Corte")]
    pub revision: Revision,
}

/// A condition of a transaction: the revision that a key must have.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExpectedRevision {
    /// The key.
    #[serde(rename = "K")]
    pub key: String,
    /// The version it must have; 0: it must not exist.
    #[serde(rename = "Sello")]
    pub version: Revision,
}

/// A change of a transaction.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Change {
    /// Set a key.
    Put {
        /// The key.
        #[serde(rename = "Set")]
        key: String,
        /// Its new value.
        #[serde(rename = "V")]
        value: Value,
        /// The lease it is attached to.
        #[serde(rename = "Permiso", skip_serializing_if = "Option::is_none", default)]
        lease_id: Option<u64>,
    },
    /// Remove a key.
    Delete {
        /// The key.
        #[serde(rename = "Remove")]
        key: String,
    },
}

impl Change {
    /// The key that is changed.
    pub fn key(&self) -> &str {
        match self {
            Change::Put { key, .. } | Change::Delete { key } => key,
        }
    }
}

/// A transaction: its changes are made, all together, if all conditions hold.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct CompareAndSwap {
    /// Conditions.
    #[serde(rename = "If")]
    pub expected: Vec<ExpectedRevision>,
    /// Changes.
    #[serde(rename = "Then")]
    pub changes: Vec<Change>,
}

/// The store's revision after a transaction, or with a missing key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreRevision {
    /// The revision.
    #[serde(rename = "Corte")]
    pub revision: Revision,
}

/// A transaction whose conditions did not hold.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Conflict {
    /// The keys that differed.
    #[serde(rename = "failed")]
    pub failed_keys: Vec<String>,
}

/// Request for a lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// Time to live, milliseconds.
    #[serde(rename = "TtlMs")]
    pub ttl_ms: u64,
}

/// A lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// Its id.
    #[serde(rename = "Permiso")]
    pub id: u64,
}

/// One event of a watch.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum WatchEvent {
    /// A key was set.
    Put {
        /// The key.
        #[serde(rename = "Set")]
        key: String,
        /// Its value.
        #[serde(rename = "V")]
        value: Value,
        /// Revision of the change.
        #[serde(rename = "Sello")]
        version: Revision,
    },
    /// A key was removed.
    Delete {
        /// The key.
        #[serde(rename = "Remove")]
        key: String,
        /// Revision of the change.
        #[serde(rename = "Sello")]
        version: Revision,
    },
}

/// Response of a watch.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WatchResponse {
    /// The store's revision.
    #[serde(rename = "Corte")]
    pub revision: Revision,
    /// What changed.
    #[serde(rename = "Events", default)]
    pub events: Vec<WatchEvent>,
}
