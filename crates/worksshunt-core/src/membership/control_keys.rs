//! What a read of all control keys shows: who is alive, and which epoch there is.

use serde_json::Value;
use worksshunt_wire::key_value::{KeyValue, Listing};
use worksshunt_wire::Revision;

use crate::time::Time;

use super::records::{
    member_key, EpochRecord, Member, EPOCH_KEY, FIRST_RELEASE_MEMBERS_PREFIX, LEASE_FIELD,
    MEMBERS_PREFIX, READY_FIELD, SERVICES_FIELD,
};
use super::{MemberState, Membership, MembershipAction, StoredEpoch};

/// Members whose member keys exist.
#[derive(Debug, Default)]
pub(super) struct LiveMembers {
    pub all: Vec<Member>,
    /// Those that are not to own machines.
    pub without_partition: Vec<Member>,
}

/// How the epoch that was read compares with the one known.
enum EpochRead {
    /// The read was overtaken by a later one.
    Outdated,
    /// There is another epoch, which is the one known from now on.
    New,
    /// It is the one known, or there is none yet.
    Unchanged,
}

impl Membership {
    /// Processes a read of all control keys that was sent at `sent_at`.
    pub fn process_control_keys(&mut self, sent_at: Time, listing: &Listing) -> MembershipAction {
        if self.predates_member_key(listing) {
            return MembershipAction::Unchanged;
        }
        self.learn_key_version(listing);
        if matches!(self.state, MemberState::NoLease | MemberState::Joining)
            || self.sees_first_release_members(listing)
        {
            return MembershipAction::Unchanged;
        }
        let Some(me) = self.member() else {
            return MembershipAction::Unchanged;
        };
        let live = self.read_members(listing);
        if !live.all.contains(&me) {
            return MembershipAction::MemberKeyGone;
        }
        match self.process_epoch(sent_at, listing, &me) {
            EpochRead::Outdated => MembershipAction::Unchanged,
            EpochRead::New => MembershipAction::NewEpoch,
            EpochRead::Unchanged => self
                .propose_epoch(&me, &live)
                .map_or(MembershipAction::Unchanged, MembershipAction::Propose),
        }
    }

    /// Whether the listing was read before the own member key was written, and answered after.
    fn predates_member_key(&self, listing: &Listing) -> bool {
        self.key_version
            .is_some_and(|version| listing.revision < version)
    }

    /// Notes the version of the own member key, if it has to be known for the next write.
    fn learn_key_version(&mut self, listing: &Listing) {
        if self.key_version.is_none() && self.lease.is_some() {
            let pair = find(listing, &member_key(&self.name));
            self.key_version = Some(pair.map_or(Revision(0), |pair| pair.version));
        }
    }

    /// Whether members of the first release are left; logged when that changes.
    fn sees_first_release_members(&mut self, listing: &Listing) -> bool {
        let is_first_release = |pair: &KeyValue| pair.key.starts_with(FIRST_RELEASE_MEMBERS_PREFIX);
        let seen = listing.pairs.iter().any(is_first_release);
        if seen != std::mem::replace(&mut self.first_release_members_seen, seen) {
            tracing::warn!(present = seen, "first-release members appeared or left");
        }
        seen
    }

    /// The members that are alive. Notes which of them support services.
    fn read_members(&mut self, listing: &Listing) -> LiveMembers {
        let mut live = LiveMembers::default();
        for pair in &listing.pairs {
            let Some(member) = read_member(pair) else {
                continue;
            };
            if pair.value.get(SERVICES_FIELD) == Some(&Value::Bool(true)) {
                self.supports_services.insert(member.name.clone());
            } else {
                self.supports_services.remove(&member.name);
            }
            if pair.value.get(READY_FIELD) == Some(&Value::Bool(false)) {
                live.without_partition.push(member.clone());
            }
            live.all.push(member);
        }
        if live.without_partition.len() == live.all.len() {
            // Somebody has to own the machines.
            live.without_partition.clear();
        }
        live
    }

    /// Applies the epoch that was read.
    fn process_epoch(&mut self, sent_at: Time, listing: &Listing, me: &Member) -> EpochRead {
        let Some(stored) = read_epoch(listing) else {
            return EpochRead::Unchanged;
        };
        let known = self.epoch.as_ref().map(|epoch| epoch.version);
        // A read that was overtaken by a later one must not bring back an old epoch.
        if known.is_some_and(|known| stored.version < known) {
            return EpochRead::Outdated;
        }
        if known != Some(stored.version) {
            self.enter_epoch(sent_at, stored, me);
            return EpochRead::New;
        }
        self.epoch_confirmed(sent_at);
        tracing::debug!(
            epoch = %self.fencing_token(), leads = self.is_leader(), revision = ?listing.revision, sent = ?sent_at,
            "epoch confirmed by a read"
        );
        EpochRead::Unchanged
    }

    fn enter_epoch(&mut self, sent_at: Time, stored: StoredEpoch, me: &Member) {
        let record = &stored.record;
        tracing::info!(
            epoch = %record.number, leader = %record.leader.name,
            members = record.members.len(), services = record.services, "new epoch"
        );
        let is_member = record.members.contains(me);
        self.epoch = Some(stored);
        self.epoch_lease_until = Time::default();
        // Loading starts anew in every epoch, also from Loading or Serving.
        let next_state = if is_member {
            MemberState::Loading
        } else {
            MemberState::NotInEpoch
        };
        self.set_state(next_state);
        self.epoch_confirmed(sent_at);
    }
}

fn find<'a>(listing: &'a Listing, key: &str) -> Option<&'a KeyValue> {
    listing.pairs.iter().find(|pair| pair.key == key)
}

/// The member that a key identifies, if it is a member key.
fn read_member(pair: &KeyValue) -> Option<Member> {
    Some(Member {
        name: pair.key.strip_prefix(MEMBERS_PREFIX)?.into(),
        lease: pair.value.get(LEASE_FIELD)?.as_u64()?,
    })
}

/// The epoch, if there is one that can be read.
fn read_epoch(listing: &Listing) -> Option<StoredEpoch> {
    let pair = find(listing, EPOCH_KEY)?;
    let record: EpochRecord = serde_json::from_value(pair.value.clone()).ok()?;
    Some(StoredEpoch {
        record,
        version: pair.version,
    })
}
