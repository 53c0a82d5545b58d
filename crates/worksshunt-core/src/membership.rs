//! Membership, leadership and the epoch lease of one controller.
//!
//! `c/n/NAME` is a controller's member key, attached to a lease of the key-value store; `c/epoch` is the epoch:
//! number, leader, members. A member is a name together with its lease, so a controller that restarts is another
//! member. Whoever finds the leader's member key gone writes the next epoch, conditional on the present one.
//!
//! [`Membership`] owns what this controller knows of that; the controller sends its requests and passes their
//! responses on.

mod control_keys;
mod proposals;
mod records;

use std::collections::BTreeSet;

use worksshunt_wire::key_value::{CompareAndSwap, ExpectedRevision};
use worksshunt_wire::{ControllerName, Epoch, Revision};

use crate::constants::leases::EPOCH_LEASE_MS;
use crate::time::Time;

pub use records::{member_key, EpochRecord, Member, CONTROL_KEYS_PREFIX, EPOCH_KEY};

use proposals::Candidate;
use records::{put_if_unchanged, LEASE_FIELD, READY_FIELD, SERVICES_FIELD};

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

/// What a read of the control keys calls for.
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

/// An epoch as it was read, and the version of its key.
#[derive(Debug)]
struct StoredEpoch {
    record: EpochRecord,
    version: Revision,
}

/// A controller's view of the membership.
#[derive(Debug)]
pub struct Membership {
    name: ControllerName,
    state: MemberState,
    lease: Option<u64>,
    epoch: Option<StoredEpoch>,
    epoch_lease_until: Time,
    /// Until when what this controller knows of cancellations is recent enough to act on.
    cancellations_fresh_until: Time,
    /// How long that is after the open jobs were read, ms.
    cancellation_staleness_ms: u64,
    /// Whether this controller is ready to own machines, by its own judgement.
    ready: bool,
    /// The readiness that the member key states; none if it is not known to be written.
    published_readiness: Option<bool>,
    /// The readiness in the member key that is being written.
    readiness_being_written: bool,
    /// Version of the member key as last read; none before that. Writing it is conditional on it, so that a late
    /// copy of a former incarnation's message cannot undo it.
    key_version: Option<Revision>,
    /// Whether members of the first release were seen last.
    first_release_members_seen: bool,
    /// Members seen alive but not in the epoch.
    candidates: Vec<Candidate>,
    /// The last epoch that could not number any more attempts; 0 for none.
    exhausted_epoch: Epoch,
    /// All controllers of the deployment.
    deployment: BTreeSet<ControllerName>,
    /// Controllers whose last member key said that they support services.
    supports_services: BTreeSet<ControllerName>,
}

impl Membership {
    /// A controller that has just started, in a deployment with these others.
    ///
    /// `cancellation_staleness_ms`: how long after a read of the open jobs it may act without another one.
    pub fn new(
        me: ControllerName,
        others: impl Iterator<Item = ControllerName>,
        cancellation_staleness_ms: u64,
    ) -> Membership {
        Membership {
            deployment: others.chain([me.clone()]).collect(),
            supports_services: BTreeSet::new(),
            name: me,
            state: MemberState::NoLease,
            lease: None,
            epoch: None,
            epoch_lease_until: Time::default(),
            cancellations_fresh_until: Time::default(),
            cancellation_staleness_ms,
            ready: true,
            published_readiness: None,
            readiness_being_written: true,
            key_version: None,
            first_release_members_seen: false,
            candidates: Vec::new(),
            exhausted_epoch: Epoch(0),
        }
    }

    /// The present epoch cannot number any more attempts: the leader writes the next one.
    pub fn mark_attempts_exhausted(&mut self) {
        self.exhausted_epoch = self.fencing_token();
    }

    /// Notes whether this controller is ready to own machines.
    pub fn set_ready(&mut self, ready: bool) {
        self.ready = ready;
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
        self.epoch.as_ref().map(|epoch| &epoch.record)
    }

    /// Whether services may be accepted: no controller that does not support them can be left.
    pub fn accepts_services(&self) -> bool {
        self.epoch().is_some_and(|epoch| epoch.services)
    }

    /// The token it acts under; 0 before any epoch is known.
    pub fn fencing_token(&self) -> Epoch {
        self.epoch().map_or(Epoch(0), |epoch| epoch.number)
    }

    /// The condition every write of this epoch carries.
    pub fn epoch_unchanged(&self) -> Option<ExpectedRevision> {
        self.epoch.as_ref().map(|epoch| ExpectedRevision {
            key: EPOCH_KEY.to_owned(),
            version: epoch.version,
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

    /// Whether it may act as a member of its epoch now. The epoch lease alone is not enough: a controller that
    /// cannot know what was cancelled must not go on renewing worker leases.
    pub fn may_act(&self, now: Time) -> bool {
        self.state == MemberState::Serving
            && now < self.epoch_lease_until
            && now < self.cancellations_fresh_until
    }

    /// For how long it knows enough of the open jobs to act, ms.
    pub fn cancellations_fresh_for_ms(&self, now: Time) -> u64 {
        self.cancellations_fresh_until.since(now)
    }

    /// A read of the open jobs sent at `sent_at` was answered.
    pub fn open_jobs_read(&mut self, sent_at: Time) {
        self.cancellations_fresh_until = self
            .cancellations_fresh_until
            .max(sent_at + self.cancellation_staleness_ms);
    }

    /// A request sent at `sent_at` has confirmed that the epoch is still the one known.
    pub fn epoch_confirmed(&mut self, sent_at: Time) {
        if self.in_epoch() {
            self.epoch_lease_until = self.epoch_lease_until.max(sent_at + EPOCH_LEASE_MS);
        }
    }

    /// The one place where the state changes.
    fn set_state(&mut self, next: MemberState) {
        if self.state != next {
            tracing::info!(from = ?self.state, to = ?next, epoch = %self.fencing_token(), "member state changed");
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

    /// The write of the member key, once its present version is known.
    pub fn member_key_write(&mut self) -> Option<CompareAndSwap> {
        let (lease, version) = (self.lease?, self.key_version?);
        self.readiness_being_written = self.ready;
        let value = serde_json::json!({
            LEASE_FIELD: lease,
            READY_FIELD: self.readiness_being_written,
            SERVICES_FIELD: true,
        });
        let key = member_key(&self.name);
        Some(put_if_unchanged(key, version, value, Some(lease)))
    }

    /// The member key is written as [`Membership::member_key_write`] last returned it.
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

    /// This incarnation of the controller; none without a lease.
    fn member(&self) -> Option<Member> {
        self.lease.map(|lease| Member {
            name: self.name.clone(),
            lease,
        })
    }
}

#[cfg(test)]
mod tests;
