//! Names and values of the control keys.

use serde::{Deserialize, Serialize};
use serde_json::Value;
use worksshunt_wire::key_value::{Change, CompareAndSwap, ExpectedRevision};
use worksshunt_wire::{ControllerName, Epoch, FencingToken, Revision};

use super::fencing_tokens::FencingTokens;

/// Prefix of the control keys.
pub const CONTROL_KEYS_PREFIX: &str = "c/";
/// Key of the epoch.
pub const EPOCH_KEY: &str = "c/epoch";
/// Prefix of the member keys.
pub(super) const MEMBERS_PREFIX: &str = "c/n/";
/// Prefix of the member keys of the first release, whose records and messages are incompatible. A controller of this
/// release joins no epoch while such keys exist.
pub(super) const FIRST_RELEASE_MEMBERS_PREFIX: &str = "c/m/";

/// Field of a member key: the ID of the lease that it is attached to.
pub(super) const LEASE_FIELD: &str = "hold";
/// Field of a member key: whether the controller is ready to own machines.
pub(super) const READY_FIELD: &str = "reached";
/// Field of a member key: whether the controller supports services.
pub(super) const SERVICES_FIELD: &str = "standing";

/// Field of a member key: whether the controller supports epochs with several fencing tokens.
pub(super) const TOKEN_RANGE_FIELD: &str = "token_range";

/// Member key of a controller.
pub fn member_key(name: &ControllerName) -> String {
    format!("{MEMBERS_PREFIX}{name}")
}

/// Compare-and-swap that writes one key if its version is still `version`, which is 0 for a key that must not exist.
/// Attaches the key to the lease `lease_id`, if any.
pub(super) fn put_if_unchanged(
    key: String,
    version: Revision,
    value: Value,
    lease_id: Option<u64>,
) -> CompareAndSwap {
    CompareAndSwap {
        expected: vec![ExpectedRevision {
            key: key.clone(),
            version,
        }],
        changes: vec![Change::Put {
            key,
            value,
            lease_id,
        }],
    }
}

/// One incarnation of a controller.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Member {
    /// Controller name.
    pub name: ControllerName,
    /// ID of the lease that the member key is attached to.
    #[serde(rename = "hold")]
    pub lease_id: u64,
}

/// Stored form of an epoch.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EpochRecord {
    /// Number of the epoch, which is the last of its fencing tokens.
    pub number: Epoch,
    /// First fencing token of the epoch, the number of the preceding epoch plus one; `None` if `number` is the only one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub first_token: Option<FencingToken>,
    /// Leader, also listed in `members`.
    pub leader: Member,
    /// All members, ordered by name.
    pub members: Vec<Member>,
    /// Members that own no machines, because workers cannot reach them or the leader does not answer them.
    #[serde(default, rename = "unreached")]
    pub without_partition: Vec<Member>,
    /// Whether jobs of kind service are accepted, because every controller of the deployment supports them. A leader of
    /// a version without this field omits it from the next epoch, which then accepts no services.
    #[serde(
        default,
        rename = "standing",
        skip_serializing_if = "std::ops::Not::not"
    )]
    pub accepts_services: bool,
}

impl EpochRecord {
    /// Fencing tokens of the epoch.
    pub fn fencing_tokens(&self) -> FencingTokens {
        let last = FencingToken(self.number.0);
        FencingTokens {
            first: self.first_token.unwrap_or(last).min(last),
            last,
        }
    }

    /// Number of the preceding epoch; 0 for the first one.
    pub fn previous_number(&self) -> Epoch {
        Epoch(self.fencing_tokens().first.0.saturating_sub(1))
    }

    /// Names of the members that own machines, in the order of `members`.
    pub fn partition_owners(&self) -> Vec<ControllerName> {
        self.members
            .iter()
            .filter(|member| !self.without_partition.contains(member))
            .map(|member| member.name.clone())
            .collect()
    }
}
