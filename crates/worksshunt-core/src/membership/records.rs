//! The control keys: their names, and the form of their values.

use serde::{Deserialize, Serialize};
use serde_json::Value;
use worksshunt_wire::key_value::{Change, CompareAndSwap, ExpectedRevision};
use worksshunt_wire::{ControllerName, Epoch, Revision};

/// Prefix of the control keys.
pub const CONTROL_KEYS_PREFIX: &str = "c/";
/// Key of the epoch.
pub const EPOCH_KEY: &str = "c/epoch";
/// Prefix of the member keys.
pub(super) const MEMBERS_PREFIX: &str = "c/n/";
/// Prefix of the member keys of the first release, whose records and messages differ. The two must
/// not act together: this one waits until no such member is left.
pub(super) const FIRST_RELEASE_MEMBERS_PREFIX: &str = "c/m/";

/// Field of a member key: the lease it is attached to.
pub(super) const LEASE_FIELD: &str = "hold";
/// Field of a member key: whether the controller is ready to own machines.
pub(super) const READY_FIELD: &str = "reached";
/// Field of a member key: whether the controller supports services.
pub(super) const SERVICES_FIELD: &str = "standing";

/// Key of a controller's membership.
pub fn member_key(name: &ControllerName) -> String {
    format!("{MEMBERS_PREFIX}{name}")
}

/// The write of one key, conditional on its version; attached to a lease, if there is one.
pub(super) fn put_if_unchanged(
    key: String,
    version: Revision,
    value: Value,
    lease: Option<u64>,
) -> CompareAndSwap {
    CompareAndSwap {
        expected: vec![ExpectedRevision {
            key: key.clone(),
            version,
        }],
        changes: vec![Change::Put {
            key,
            value,
            lease_id: lease,
        }],
    }
}

/// One incarnation of a controller.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Member {
    /// Its name.
    pub name: ControllerName,
    /// The lease of the key-value store that its member key is attached to.
    #[serde(rename = "hold")]
    pub lease: u64,
}

/// An epoch as stored.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EpochRecord {
    /// Its number, which is the fencing token.
    pub number: Epoch,
    /// The leader.
    pub leader: Member,
    /// All members, the leader among them, by name.
    pub members: Vec<Member>,
    /// Members that own no machines: workers do not reach them, or the leader does not answer them.
    #[serde(default, rename = "unreached")]
    pub without_partition: Vec<Member>,
    /// Whether every controller of the deployment has been seen to support services, so that a service cannot
    /// meet one that does not. A version that does not know the field leaves it out of the next epoch, after
    /// which no more services are accepted.
    #[serde(
        default,
        rename = "standing",
        skip_serializing_if = "std::ops::Not::not"
    )]
    pub services: bool,
}

impl EpochRecord {
    /// Names of the members that own machines.
    pub fn partition_owners(&self) -> Vec<ControllerName> {
        self.members
            .iter()
            .filter(|member| !self.without_partition.contains(member))
            .map(|member| member.name.clone())
            .collect()
    }
}
