//! Membership, leadership and authority.
//!
//! `c/n/NAME` is a controller's member key, attached to a lease of the state service; `c/epoch` is
//! the epoch: number, leader, members. A member is a name together with its lease, so a controller
//! that restarts is another member. Whoever finds the leader's member key gone writes the next
//! epoch, conditional on the present one.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};
use serde_json::Value;
use worksshunt_wire::key_value::{Change, CompareAndSwap, ExpectedRevision, Listing};
use worksshunt_wire::{ControllerName, Epoch, Revision};

use crate::constants::leases::{ADMIT_AFTER_READS, EPOCH_LEASE_MS};
use crate::time::Time;

/// Prefix of the control keys.
pub const CONTROL: &str = "c/";
/// Key of the epoch.
pub const EPOCH: &str = "c/epoch";
const MEMBERS: &str = "c/n/";
/// Field of a member key by which a controller says that it understands services.
const SERVICES: &str = "standing";
/// Prefix of the member keys of the first release, whose records and messages differ. The two must
/// not act together: this one waits until no such member is left.
const FORMER_MEMBERS: &str = "c/m/";

/// Key of a controller's membership.
pub fn member_key(name: &ControllerName) -> String {
    format!("{MEMBERS}{name}")
}

/// One life of a controller.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Member {
    /// Its name.
    pub name: ControllerName,
    /// The lease of the state service that its member key is attached to.
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
    /// Whether every controller of the deployment has been seen to understand services, so that
    /// none that does not can meet one. A version that does not know the field leaves it out of the
    /// next epoch, after which no more are taken in.
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
            .filter(|m| !self.without_partition.contains(m))
            .map(|m| m.name.clone())
            .collect()
    }
}

/// A controller's state as a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MemberState {
    /// Has no lease.
    NoLease,
    /// Has a lease, but its member key is not known to be written.
    Joining,
    /// Has a member key, but the epoch does not name it.
    NotInEpoch,
    /// Is in the epoch and reads the records.
    Loading,
    /// Is in the epoch and acts.
    Serving,
}

/// What a control read calls for.
#[derive(Debug, Clone, PartialEq)]
pub enum MembershipAction {
    /// Nothing new.
    Unchanged,
    /// The own member key is gone: join again.
    MemberKeyGone,
    /// There is another epoch than the one known.
    NewEpoch,
    /// The next epoch should be written.
    Propose(CompareAndSwap),
}

/// A controller's view of the membership.
#[derive(Debug)]
pub struct Membership {
    name: ControllerName,
    state: MemberState,
    lease: Option<u64>,
    epoch: Option<(EpochRecord, Revision)>,
    epoch_lease_until: Time,
    /// Until when what this controller knows of cancellations is recent enough to act on.
    cancellations_fresh_until: Time,
    /// How long that is after the open jobs were read.
    cancellation_staleness_ms: u64,
    /// Whether this controller is fit to own machines, as far as it can tell.
    ready: bool,
    /// What the member key says of that; none if it is not known to be written.
    published_readiness: Option<bool>,
    /// What the member key that is being written says.
    readiness_being_written: bool,
    /// Version of the member key as last read; none before that. Writing it is conditional on it, so
    /// that a late copy of a former life's message cannot undo it.
    key_version: Option<Revision>,
    /// Whether members of the first release were seen last.
    first_release_members_seen: bool,
    /// Members seen alive but not in the epoch, with the reads in a row that showed them.
    members_awaiting_admission: Vec<(Member, u32)>,
    /// The last epoch that could not number any more attempts; 0 for none.
    exhausted_epoch: Epoch,
    /// All controllers of the deployment.
    deployment: BTreeSet<ControllerName>,
    /// Controllers whose last member key said that they understand services.
    understands_services: BTreeSet<ControllerName>,
}

impl Membership {
    /// A controller that has just started, in a deployment with these others.
    ///
    /// `knows_ms`: how long after a read of the open jobs it may act without another one.
    pub fn new(
        me: ControllerName,
        others: impl Iterator<Item = ControllerName>,
        knows_ms: u64,
    ) -> Membership {
        Membership {
            deployment: others.chain([me.clone()]).collect(),
            understands_services: BTreeSet::new(),
            name: me,
            state: MemberState::NoLease,
            lease: None,
            epoch: None,
            epoch_lease_until: Time::default(),
            cancellations_fresh_until: Time::default(),
            cancellation_staleness_ms: knows_ms,
            ready: true,
            published_readiness: None,
            readiness_being_written: true,
            key_version: None,
            first_release_members_seen: false,
            members_awaiting_admission: Vec::new(),
            exhausted_epoch: Epoch(0),
        }
    }

    /// The present epoch cannot number any more attempts: the leader writes the next one.
    pub fn mark_attempts_exhausted(&mut self) {
        self.exhausted_epoch = self.fencing_token();
    }

    /// Notes whether this controller is fit to own machines.
    pub fn set_ready(&mut self, fit: bool) {
        self.ready = fit;
    }

    /// Whether the member key has to be written: for the first time, or with something new.
    pub fn needs_key_write(&self) -> bool {
        self.state == MemberState::Joining
            || (self.lease.is_some() && self.published_readiness != Some(self.ready))
    }

    /// Its name.
    pub fn name(&self) -> &ControllerName {
        &self.name
    }

    /// Its state as a member.
    pub fn state(&self) -> MemberState {
        self.state
    }

    /// Its lease.
    pub fn lease(&self) -> Option<u64> {
        self.lease
    }

    /// The epoch it knows.
    pub fn epoch(&self) -> Option<&EpochRecord> {
        self.epoch.as_ref().map(|(record, _)| record)
    }

    /// Whether services may be taken in: no controller that does not understand them can be left.
    pub fn accepts_services(&self) -> bool {
        self.epoch().is_some_and(|epoch| epoch.services)
    }

    /// The token it acts under; 0 before any epoch is known.
    pub fn fencing_token(&self) -> Epoch {
        self.epoch().map_or(Epoch(0), |epoch| epoch.number)
    }

    /// The condition every write of this epoch carries.
    pub fn epoch_unchanged(&self) -> Option<ExpectedRevision> {
        self.epoch.as_ref().map(|(_, version)| ExpectedRevision {
            key: EPOCH.to_owned(),
            version: *version,
        })
    }

    /// Whether it leads the epoch it knows.
    pub fn is_leader(&self) -> bool {
        self.in_epoch()
            && self
                .epoch()
                .is_some_and(|epoch| epoch.leader.name == self.name)
    }

    fn in_epoch(&self) -> bool {
        matches!(self.state, MemberState::Loading | MemberState::Serving)
    }

    /// Whether it may act for the controllers now. The epoch alone is not enough: a controller that cannot
    /// know what was cancelled must not go on renewing leases.
    pub fn may_act(&self, now: Time) -> bool {
        self.state == MemberState::Serving
            && now < self.epoch_lease_until
            && now < self.cancellations_fresh_until
    }

    /// For how long it knows enough of the open jobs to act.
    pub fn cancellations_fresh_for_ms(&self, now: Time) -> u64 {
        self.cancellations_fresh_until.since(now)
    }

    /// A read of the open jobs sent at `sent` was answered.
    pub fn open_jobs_read(&mut self, sent: Time) {
        self.cancellations_fresh_until = self
            .cancellations_fresh_until
            .max(sent + self.cancellation_staleness_ms);
    }

    /// A request sent at `sent` has confirmed that the epoch is still the one known.
    pub fn epoch_confirmed(&mut self, sent: Time) {
        if self.in_epoch() {
            self.epoch_lease_until = self.epoch_lease_until.max(sent + EPOCH_LEASE_MS);
        }
    }

    /// The one place where the state changes.
    fn set_state(&mut self, next: MemberState) {
        if self.state != next {
            tracing::info!(from = ?self.state, to = ?next, epoch = %self.fencing_token(), "membership");
            self.state = next;
        }
        if !self.in_epoch() {
            self.epoch_lease_until = Time::default();
        }
    }

    /// A lease was granted.
    pub fn lease_granted(&mut self, lease: u64) {
        self.lease = Some(lease);
        self.key_version = None;
        self.set_state(MemberState::Joining);
    }

    /// The lease is gone, or its member key could not be written.
    pub fn lease_lost(&mut self) {
        self.lease = None;
        self.published_readiness = None;
        self.key_version = None;
        self.set_state(MemberState::NoLease);
    }

    /// The transaction that writes the member key, once its present version is known.
    pub fn member_key_write(&mut self) -> Option<CompareAndSwap> {
        let (lease, version) = (self.lease?, self.key_version?);
        self.readiness_being_written = self.ready;
        let key = member_key(&self.name);
        Some(CompareAndSwap {
            expected: vec![ExpectedRevision {
                key: key.clone(),
                version,
            }],
            changes: vec![Change::Put {
                key,
                value: serde_json::json!({
                    "hold": lease, "reached": self.readiness_being_written, SERVICES: true,
                }),
                lease: Some(lease),
            }],
        })
    }

    /// The member key is written as [`Membership::join_txn`] last gave it.
    pub fn member_key_written(&mut self, version: Revision) {
        self.published_readiness = Some(self.readiness_being_written);
        self.key_version = Some(version);
        if self.state == MemberState::Joining {
            self.set_state(MemberState::NotInEpoch);
        }
    }

    /// The member key's version is not the one known.
    pub fn member_key_conflict(&mut self) {
        self.key_version = None;
    }

    /// All records of the epoch are read.
    pub fn epoch_loaded(&mut self) {
        if self.state == MemberState::Loading {
            self.set_state(MemberState::Serving);
        }
    }

    fn member(&self) -> Option<Member> {
        self.lease.map(|lease| Member {
            name: self.name.clone(),
            lease,
        })
    }

    /// Takes in a read of all control keys that was sent at `sent`.
    pub fn process_control_keys(&mut self, sent: Time, listing: &Listing) -> MembershipAction {
        if self
            .key_version
            .is_some_and(|known| listing.revision < known)
        {
            // Read before the own member key was written, answered after.
            return MembershipAction::Unchanged;
        }
        let own_key = member_key(&self.name);
        let own = listing.pairs.iter().find(|pair| pair.key == own_key);
        if self.key_version.is_none() && self.lease.is_some() {
            self.key_version = Some(own.map_or(Revision(0), |pair| pair.version));
        }
        if matches!(self.state, MemberState::NoLease | MemberState::Joining) {
            return MembershipAction::Unchanged;
        }
        let former = listing
            .pairs
            .iter()
            .any(|pair| pair.key.starts_with(FORMER_MEMBERS));
        if former != std::mem::replace(&mut self.first_release_members_seen, former) {
            tracing::warn!(
                former,
                "controllers of another version of the program are running"
            );
        }
        if former {
            return MembershipAction::Unchanged;
        }
        let Some(me) = self.member() else {
            return MembershipAction::Unchanged;
        };
        let mut alive = Vec::new();
        let mut unreached = Vec::new();
        for pair in &listing.pairs {
            let (Some(name), Some(lease)) = (
                pair.key.strip_prefix(MEMBERS),
                pair.value.get("hold").and_then(|lease| lease.as_u64()),
            ) else {
                continue;
            };
            let member = Member {
                name: name.into(),
                lease,
            };
            match pair.value.get(SERVICES) {
                Some(Value::Bool(true)) => self.understands_services.insert(member.name.clone()),
                _ => self.understands_services.remove(&member.name),
            };
            if pair.value.get("reached") == Some(&false.into()) {
                unreached.push(member.clone());
            }
            alive.push(member);
        }
        if unreached.len() == alive.len() {
            // Somebody has to own the machines.
            unreached.clear();
        }
        if !alive.contains(&me) {
            return MembershipAction::MemberKeyGone;
        }
        let stored = listing
            .pairs
            .iter()
            .find(|pair| pair.key == EPOCH)
            .and_then(|pair| {
                let record: EpochRecord = serde_json::from_value(pair.value.clone()).ok()?;
                Some((record, pair.version))
            });
        if let Some((record, version)) = stored {
            let known = self.epoch.as_ref().map(|(_, version)| *version);
            // A read that was overtaken by a later one must not bring back an old epoch.
            if known.is_some_and(|known| version < known) {
                return MembershipAction::Unchanged;
            }
            if known != Some(version) {
                tracing::info!(
                    epoch = %record.number, leader = %record.leader.name,
                    members = record.members.len(), services = record.services, "new epoch"
                );
                let member = record.members.contains(&me);
                self.epoch = Some((record, version));
                self.epoch_lease_until = Time::default();
                // Loading starts anew in every epoch, also from Loading or Serving.
                self.set_state(if member {
                    MemberState::Loading
                } else {
                    MemberState::NotInEpoch
                });
                self.epoch_confirmed(sent);
                return MembershipAction::NewEpoch;
            }
            self.epoch_confirmed(sent);
            let (epoch, revision) = (self.fencing_token(), listing.revision);
            tracing::debug!(%epoch, leads = self.is_leader(), ?revision, ?sent, "epoch confirmed by a read");
        }
        self.propose_epoch(&me, &alive, &unreached)
            .map_or(MembershipAction::Unchanged, MembershipAction::Propose)
    }

    /// The next epoch, if this controller should write it.
    fn propose_epoch(
        &mut self,
        me: &Member,
        alive: &[Member],
        unreached: &[Member],
    ) -> Option<CompareAndSwap> {
        let all_understand = self.deployment.is_subset(&self.understands_services);
        // Somebody is going back.
        let some_do_not = alive
            .iter()
            .any(|m| !self.understands_services.contains(&m.name));
        let (number, version, services) = match &self.epoch {
            None => (Epoch(1), Revision(0), all_understand),
            Some((epoch, version)) => {
                let leader_alive = alive.contains(&epoch.leader);
                if leader_alive && epoch.leader != *me {
                    return None;
                }
                let present = &epoch.members;
                let mut waiting = Vec::new();
                for member in alive.iter().filter(|m| !present.contains(m)) {
                    let seen = self
                        .members_awaiting_admission
                        .iter()
                        .find(|(m, _)| m == member);
                    waiting.push((member.clone(), seen.map_or(1, |(_, reads)| reads + 1)));
                }
                self.members_awaiting_admission = waiting;
                let gone = present.iter().any(|m| !alive.contains(m));
                let admit = self
                    .members_awaiting_admission
                    .iter()
                    .any(|(_, n)| *n >= ADMIT_AFTER_READS);
                let known = unreached.iter().filter(|m| present.contains(m));
                let reach = !known.eq(epoch.without_partition.iter());
                let services = all_understand || (epoch.services && !some_do_not);
                let used_up = self.exhausted_epoch == epoch.number;
                let same = !gone && !admit && !reach && services == epoch.services;
                if leader_alive && same && !used_up {
                    return None;
                }
                (Epoch(epoch.number.0 + 1), *version, services)
            }
        };
        let record = EpochRecord {
            number,
            leader: me.clone(),
            members: alive.to_vec(),
            without_partition: unreached.to_vec(),
            services,
        };
        let value = serde_json::to_value(record).ok()?;
        Some(CompareAndSwap {
            expected: vec![ExpectedRevision {
                key: EPOCH.to_owned(),
                version,
            }],
            changes: vec![Change::Put {
                key: EPOCH.to_owned(),
                value,
                lease: None,
            }],
        })
    }
}

#[cfg(test)]
mod tests;
