//! Processing of reads of the control keys: the live members and the current epoch.

use serde_json::Value;
use worksshunt_wire::key_value::{KeyValue, Listing};
use worksshunt_wire::Revision;

use crate::time::Time;

use super::records::{
    member_key, EpochRecord, Member, EPOCH_KEY, FIRST_RELEASE_MEMBERS_PREFIX, LEASE_FIELD,
    MEMBERS_PREFIX, READY_FIELD, SERVICES_FIELD, TOKEN_RANGE_FIELD,
};
use super::{MemberState, Membership, MembershipAction, StoredEpoch};

/// Members whose member keys exist, in the order of the keys.
#[derive(Debug, Default)]
pub(super) struct LiveMembers {
    pub all: Vec<Member>,
    /// Members among them that are not ready to own machines; empty if none is ready.
    pub without_partition: Vec<Member>,
    /// Whether all of them support epochs with several fencing tokens.
    pub all_support_token_range: bool,
}

/// Comparison of the epoch in a listing with the current epoch.
enum EpochRead {
    /// The listing is older than the current epoch.
    Outdated,
    /// The listing holds a newer epoch, which became the current one.
    New,
    /// The listing holds the current epoch, or none.
    Unchanged,
}

impl Membership {
    /// Processes a read of all control keys that was sent at `sent_at`.
    pub fn process_control_keys(&mut self, sent_at: Time, listing: &Listing) -> MembershipAction {
        if self.predates_member_key(listing) {
            return MembershipAction::Unchanged;
        }
        self.read_member_key_version(listing);
        if matches!(self.state, MemberState::NoLease | MemberState::Joining)
            || self.contains_first_release_members(listing)
        {
            return MembershipAction::Unchanged;
        }
        let Some(own_member) = self.own_member() else {
            return MembershipAction::Unchanged;
        };
        let live = self.read_members(listing);
        if !live.all.contains(&own_member) {
            return MembershipAction::MemberKeyMissing;
        }
        match self.process_epoch(sent_at, listing, &own_member) {
            EpochRead::Outdated => MembershipAction::Unchanged,
            EpochRead::New => MembershipAction::NewEpoch,
            EpochRead::Unchanged => self
                .propose_epoch(&own_member, &live)
                .map_or(MembershipAction::Unchanged, MembershipAction::Propose),
        }
    }

    /// Whether the listing is older than the last write of this controller's member key.
    fn predates_member_key(&self, listing: &Listing) -> bool {
        self.member_key_version
            .is_some_and(|version| listing.revision < version)
    }

    /// Takes the version of this controller's member key from the listing, if the next write needs it.
    fn read_member_key_version(&mut self, listing: &Listing) {
        if self.member_key_version.is_none() && self.lease_id.is_some() {
            let pair = find_pair(listing, &member_key(&self.name));
            self.member_key_version = Some(pair.map_or(Revision(0), |pair| pair.version));
        }
    }

    /// Whether the listing contains members of the first release. Logs every change.
    fn contains_first_release_members(&mut self, listing: &Listing) -> bool {
        let is_first_release = |pair: &KeyValue| pair.key.starts_with(FIRST_RELEASE_MEMBERS_PREFIX);
        let is_present = listing.pairs.iter().any(is_first_release);
        if is_present != std::mem::replace(&mut self.has_first_release_members, is_present) {
            tracing::warn!(
                present = is_present,
                "presence of first-release members changed; no epoch is entered or proposed while they are present"
            );
        }
        is_present
    }

    /// Returns the live members, and records which controllers support services.
    fn read_members(&mut self, listing: &Listing) -> LiveMembers {
        let mut live = LiveMembers {
            all_support_token_range: true,
            ..LiveMembers::default()
        };
        for pair in &listing.pairs {
            let Some(member) = read_member(pair) else {
                continue;
            };
            if pair.value.get(SERVICES_FIELD) == Some(&Value::Bool(true)) {
                self.service_supporters.insert(member.name.clone());
            } else {
                self.service_supporters.remove(&member.name);
            }
            if pair.value.get(READY_FIELD) == Some(&Value::Bool(false)) {
                live.without_partition.push(member.clone());
            }
            live.all_support_token_range &=
                pair.value.get(TOKEN_RANGE_FIELD) == Some(&Value::Bool(true));
            live.all.push(member);
        }
        if live.without_partition.len() == live.all.len() {
            // At least one member has to own machines.
            live.without_partition.clear();
        }
        live
    }

    /// Applies the epoch in the listing.
    fn process_epoch(
        &mut self,
        sent_at: Time,
        listing: &Listing,
        own_member: &Member,
    ) -> EpochRead {
        let Some(stored) = read_epoch(listing) else {
            return EpochRead::Unchanged;
        };
        let current_version = self.epoch.as_ref().map(|epoch| epoch.version);
        // Responses may arrive out of order: an older one must not restore an earlier epoch.
        if current_version.is_some_and(|version| stored.version < version) {
            return EpochRead::Outdated;
        }
        if current_version != Some(stored.version) {
            self.enter_epoch(sent_at, stored, own_member);
            return EpochRead::New;
        }
        self.extend_epoch_lease(sent_at);
        tracing::debug!(
            epoch = %self.epoch_number(), is_leader = self.is_leader(), revision = ?listing.revision, ?sent_at,
            "epoch confirmed by a read of the control keys"
        );
        EpochRead::Unchanged
    }

    fn enter_epoch(&mut self, sent_at: Time, stored: StoredEpoch, own_member: &Member) {
        let record = &stored.record;
        tracing::info!(
            epoch = %record.number, first_token = %record.fencing_tokens().first, leader = %record.leader.name,
            members = record.members.len(), accepts_services = record.accepts_services, "new epoch read"
        );
        let is_member = record.members.contains(own_member);
        self.epoch = Some(stored);
        self.epoch_lease_until = Time::default();
        // Records are loaded anew in every epoch, also after Loading or Serving.
        let next_state = if is_member {
            MemberState::Loading
        } else {
            MemberState::NotInEpoch
        };
        self.set_state(next_state);
        self.extend_epoch_lease(sent_at);
    }
}

fn find_pair<'a>(listing: &'a Listing, key: &str) -> Option<&'a KeyValue> {
    listing.pairs.iter().find(|pair| pair.key == key)
}

/// Reads a member key; `None` for other keys and values without a lease.
fn read_member(pair: &KeyValue) -> Option<Member> {
    Some(Member {
        name: pair.key.strip_prefix(MEMBERS_PREFIX)?.into(),
        lease_id: pair.value.get(LEASE_FIELD)?.as_u64()?,
    })
}

/// Reads the epoch; `None` if it is missing or malformed.
fn read_epoch(listing: &Listing) -> Option<StoredEpoch> {
    let pair = find_pair(listing, EPOCH_KEY)?;
    let record: EpochRecord = serde_json::from_value(pair.value.clone()).ok()?;
    Some(StoredEpoch {
        record,
        version: pair.version,
    })
}
