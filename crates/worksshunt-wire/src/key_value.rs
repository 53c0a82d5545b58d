//! Interface of the consensus-backed key-value store, called the state service in the protocol.
//!
//! Values are JSON. Changes are made by compare-and-swap transactions and observed by watches.

use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::ids::Revision;

/// A key-value pair with its version.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct KeyValue {
    /// Key, with its prefix.
    #[serde(rename = "K")]
    pub key: String,
    /// Value, as JSON.
    #[serde(rename = "V")]
    pub value: Value,
    /// Store revision of the last change of the key.
    #[serde(rename = "Sello")]
    pub version: Revision,
}

/// Page of a listing of keys.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Listing {
    /// Key-value pairs, in order of their keys.
    #[serde(rename = "Pairs")]
    pub pairs: Vec<KeyValue>,
    /// Whether there are further pages.
    #[serde(rename = "More", default)]
    pub has_more: bool,
    /// Store revision of the page.
    #[serde(rename = "Corte")]
    pub revision: Revision,
}

/// Condition of a transaction on the version of a key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExpectedRevision {
    /// Key that is compared.
    #[serde(rename = "K")]
    pub key: String,
    /// Required version of the key; 0 if the key must not exist.
    #[serde(rename = "Sello")]
    pub version: Revision,
}

/// Change of a key in a transaction.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Change {
    /// Sets the value of a key.
    Put {
        /// Key to set.
        #[serde(rename = "Set")]
        key: String,
        /// New value, as JSON.
        #[serde(rename = "V")]
        value: Value,
        /// Lease that the key is attached to: the key is deleted when the lease expires.
        #[serde(rename = "Permiso", skip_serializing_if = "Option::is_none", default)]
        lease_id: Option<u64>,
    },
    /// Deletes a key.
    Delete {
        /// Key to delete.
        #[serde(rename = "Remove")]
        key: String,
    },
}

impl Change {
    /// Key that is set or deleted.
    pub fn key(&self) -> &str {
        match self {
            Change::Put { key, .. } | Change::Delete { key } => key,
        }
    }
}

/// Compare-and-swap transaction. All changes are applied atomically if all conditions hold; otherwise none is.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct CompareAndSwap {
    /// Conditions, all of which must hold.
    #[serde(rename = "If")]
    pub expected: Vec<ExpectedRevision>,
    /// Changes, applied atomically.
    #[serde(rename = "Then")]
    pub changes: Vec<Change>,
}

/// Response to a committed transaction, and to a read of a missing key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreRevision {
    /// Store revision after the transaction or at the read.
    #[serde(rename = "Corte")]
    pub revision: Revision,
}

/// Response to a transaction whose conditions did not hold.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Conflict {
    /// Keys whose condition did not hold.
    #[serde(rename = "failed")]
    pub failed_keys: Vec<String>,
}

/// Request to create a lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// Time to live without a renewal, milliseconds.
    #[serde(rename = "TtlMs")]
    pub ttl_ms: u64,
}

/// Response to a lease request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// Id of the lease.
    #[serde(rename = "Permiso")]
    pub id: u64,
}

/// Change of a key, as observed by a watch.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum WatchEvent {
    /// A key was set.
    Put {
        /// Key that was set.
        #[serde(rename = "Set")]
        key: String,
        /// New value, as JSON.
        #[serde(rename = "V")]
        value: Value,
        /// Store revision of the change.
        #[serde(rename = "Sello")]
        version: Revision,
    },
    /// A key was deleted.
    Delete {
        /// Key that was deleted.
        #[serde(rename = "Remove")]
        key: String,
        /// Store revision of the change.
        #[serde(rename = "Sello")]
        version: Revision,
    },
}

/// Response to a watch request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WatchResponse {
    /// Store revision from which the next watch continues.
    #[serde(rename = "Corte")]
    pub revision: Revision,
    /// Changes since the revision that the watch continued from; empty if the wait timed out.
    #[serde(rename = "Events", default)]
    pub events: Vec<WatchEvent>,
}
