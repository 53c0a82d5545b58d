//! Membership, leadership and the epoch lease of one controller.
//!
//! Each controller writes a member key, `c/n/NAME`, attached to a lease of the key-value store. The key `c/epoch`
//! holds the current epoch: its number, leader and members. A member is identified by its name and its lease, so a
//! restarted controller is a different member. Any member that finds the leader's member key missing writes the next
//! epoch, conditional on the revision of the current one.
//!
//! [`Membership`] is a state machine without I/O: the controller sends the requests and passes their responses to it.

mod control_keys;
mod fencing_tokens;
mod proposals;
mod records;

use std::collections::BTreeSet;

use worksshunt_wire::key_value::{CompareAndSwap, ExpectedRevision};
use worksshunt_wire::{ControllerName, Epoch, Revision};

use crate::constants::leases::EPOCH_LEASE_MS;
use crate::time::Time;

pub use fencing_tokens::FencingTokens;
pub use records::{member_key, EpochRecord, Member, CONTROL_KEYS_PREFIX, EPOCH_KEY};

use proposals::Candidate;
use records::{put_if_unchanged, LEASE_FIELD, READY_FIELD, SERVICES_FIELD, TOKEN_RANGE_FIELD};

/// Membership state of a controller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MemberState {
    /// Holds no lease.
    NoLease,
    /// Holds a lease; the write of its member key is not confirmed.
    Joining,
    /// Has a member key; the epoch does not list it.
    NotInEpoch,
    /// Is a member of the epoch and loads its records.
    Loading,
    /// Is a member of the epoch and has loaded its records.
    Serving,
}

/// Action required after a read of the control keys.
#[derive(Debug, Clone, PartialEq)]
pub enum MembershipAction {
    /// No action.
    Unchanged,
    /// This controller's member key does not exist: join again.
    MemberKeyMissing,
    /// The read returned a newer epoch, which is the current one from here on.
    NewEpoch,
    /// Write the next epoch.
    Propose(CompareAndSwap),
}

/// An epoch read from the store, with the version of its key.
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
    lease_id: Option<u64>,
    epoch: Option<StoredEpoch>,
    /// Expiry of the epoch lease.
    epoch_lease_until: Time,
    /// Time until which the last read of the open jobs, and so of cancellations, is recent enough to act on.
    cancellations_fresh_until: Time,
    /// Maximum age of the last read of the open jobs that is recent enough to act on, ms.
    cancellation_staleness_ms: u64,
    /// Whether this controller is ready to own machines; set by the controller.
    is_ready: bool,
    /// Readiness in the stored member key; `None` until a write of the key is confirmed.
    published_readiness: Option<bool>,
    /// Readiness in the last write of the member key.
    readiness_being_written: bool,
    /// Version of the member key; `None` until it is read. Writes of the key are conditional on it, so a delayed
    /// message of an earlier incarnation cannot overwrite a newer key.
    member_key_version: Option<Revision>,
    /// Whether the last read of the control keys contained members of the first release.
    has_first_release_members: bool,
    /// Live members that are not in the epoch.
    candidates: Vec<Candidate>,
    /// Number of the last epoch whose attempt numbers were used up; 0 if none was.
    exhausted_epoch: Epoch,
    /// All controllers of the deployment, including this one.
    all_controllers: BTreeSet<ControllerName>,
    /// Controllers whose last member key declares support for services.
    service_supporters: BTreeSet<ControllerName>,
}

impl Membership {
    /// State of a controller that has just started; `others` are the other controllers of the deployment.
    ///
    /// `cancellation_staleness_ms` is the time for which the controller may act after a read of the open jobs, ms.
    pub fn new(
        name: ControllerName,
        others: impl Iterator<Item = ControllerName>,
        cancellation_staleness_ms: u64,
    ) -> Membership {
        Membership {
            all_controllers: others.chain([name.clone()]).collect(),
            service_supporters: BTreeSet::new(),
            name,
            state: MemberState::NoLease,
            lease_id: None,
            epoch: None,
            epoch_lease_until: Time::default(),
            cancellations_fresh_until: Time::default(),
            cancellation_staleness_ms,
            is_ready: true,
            published_readiness: None,
            readiness_being_written: true,
            member_key_version: None,
            has_first_release_members: false,
            candidates: Vec::new(),
            exhausted_epoch: Epoch(0),
        }
    }

    /// Records that the attempt numbers of the current epoch are used up, so that the leader writes the next epoch.
    pub fn mark_attempts_exhausted(&mut self) {
        self.exhausted_epoch = self.epoch_number();
    }

    /// Sets whether this controller is ready to own machines.
    pub fn set_ready(&mut self, is_ready: bool) {
        self.is_ready = is_ready;
    }

    /// Whether the member key has to be written, for the first time or with a changed readiness.
    pub fn needs_member_key_write(&self) -> bool {
        self.state == MemberState::Joining
            || (self.lease_id.is_some() && self.published_readiness != Some(self.is_ready))
    }

    /// Name of this controller.
    pub fn name(&self) -> &ControllerName {
        &self.name
    }

    /// Membership state of this controller.
    pub fn state(&self) -> MemberState {
        self.state
    }

    /// ID of the lease that the member key is attached to; `None` in [`MemberState::NoLease`].
    pub fn lease_id(&self) -> Option<u64> {
        self.lease_id
    }

    /// The newest epoch read; `None` before the first.
    pub fn epoch(&self) -> Option<&EpochRecord> {
        self.epoch.as_ref().map(|epoch| &epoch.record)
    }

    /// Whether jobs of kind service may be accepted: every controller supports them.
    pub fn accepts_services(&self) -> bool {
        self.epoch().is_some_and(|epoch| epoch.accepts_services)
    }

    /// Number of the current epoch; 0 before the first is read.
    pub fn epoch_number(&self) -> Epoch {
        self.epoch().map_or(Epoch(0), |epoch| epoch.number)
    }

    /// Fencing tokens of the current epoch; 0 is the only one before the first epoch is read.
    pub fn fencing_tokens(&self) -> FencingTokens {
        self.epoch()
            .map_or(FencingTokens::default(), EpochRecord::fencing_tokens)
    }

    /// Condition of every write of this epoch: the epoch's key is unchanged. `None` before an epoch is read.
    pub fn epoch_condition(&self) -> Option<ExpectedRevision> {
        self.epoch.as_ref().map(|epoch| ExpectedRevision {
            key: EPOCH_KEY.to_owned(),
            version: epoch.version,
        })
    }

    /// Whether this controller is the leader of the current epoch.
    pub fn is_leader(&self) -> bool {
        self.is_in_epoch()
            && self
                .epoch()
                .is_some_and(|epoch| epoch.leader.name == self.name)
    }

    fn is_in_epoch(&self) -> bool {
        matches!(self.state, MemberState::Loading | MemberState::Serving)
    }

    /// Whether this controller may act as a member of its epoch. Besides the epoch lease it needs a recent read of the
    /// open jobs: without one it would go on renewing the worker leases of cancelled tasks.
    pub fn may_act(&self, now: Time) -> bool {
        self.state == MemberState::Serving
            && now < self.epoch_lease_until
            && now < self.cancellations_fresh_until
    }

    /// Time for which the last read of the open jobs remains recent enough to act on, ms.
    pub fn cancellations_fresh_for_ms(&self, now: Time) -> u64 {
        self.cancellations_fresh_until.since(now)
    }

    /// Records a successful read of the open jobs that was sent at `sent_at`.
    pub fn record_open_jobs_read(&mut self, sent_at: Time) {
        self.cancellations_fresh_until = self
            .cancellations_fresh_until
            .max(sent_at + self.cancellation_staleness_ms);
    }

    /// Extends the epoch lease: a request sent at `sent_at` confirmed that the epoch is still current.
    pub fn extend_epoch_lease(&mut self, sent_at: Time) {
        if self.is_in_epoch() {
            self.epoch_lease_until = self.epoch_lease_until.max(sent_at + EPOCH_LEASE_MS);
        }
    }

    /// Changes the state, and ends the epoch lease outside an epoch. All changes of the state go through here.
    fn set_state(&mut self, next: MemberState) {
        if self.state != next {
            tracing::info!(from = ?self.state, to = ?next, epoch = %self.epoch_number(), "member state changed");
            self.state = next;
        }
        if !self.is_in_epoch() {
            self.epoch_lease_until = Time::default();
        }
    }

    /// Starts joining with a granted lease.
    pub fn apply_lease_grant(&mut self, lease_id: u64) {
        self.lease_id = Some(lease_id);
        self.member_key_version = None;
        self.set_state(MemberState::Joining);
    }

    /// Drops the lease, and leaves the epoch: the lease has expired, or its member key is missing or could not be
    /// written.
    pub fn drop_lease(&mut self) {
        self.lease_id = None;
        self.published_readiness = None;
        self.member_key_version = None;
        self.set_state(MemberState::NoLease);
    }

    /// Compare-and-swap that writes the member key; `None` until the key's version is read.
    pub fn next_member_key_write(&mut self) -> Option<CompareAndSwap> {
        let (lease_id, version) = (self.lease_id?, self.member_key_version?);
        self.readiness_being_written = self.is_ready;
        let value = serde_json::json!({
            LEASE_FIELD: lease_id,
            READY_FIELD: self.readiness_being_written,
            SERVICES_FIELD: true,
            TOKEN_RANGE_FIELD: true,
        });
        let key = member_key(&self.name);
        Some(put_if_unchanged(key, version, value, Some(lease_id)))
    }

    /// Records the commit of the write that [`Membership::next_member_key_write`] last returned.
    pub fn record_member_key_write(&mut self, version: Revision) {
        self.published_readiness = Some(self.readiness_being_written);
        self.member_key_version = Some(version);
        if self.state == MemberState::Joining {
            self.set_state(MemberState::NotInEpoch);
        }
    }

    /// Discards the version of the member key after a conflict of its write, so that it is read again.
    pub fn reset_member_key_version(&mut self) {
        self.member_key_version = None;
    }

    /// Starts serving, once all records of the epoch are loaded.
    pub fn start_serving(&mut self) {
        if self.state == MemberState::Loading {
            self.set_state(MemberState::Serving);
        }
    }

    /// This incarnation of the controller; `None` without a lease.
    fn own_member(&self) -> Option<Member> {
        self.lease_id.map(|lease_id| Member {
            name: self.name.clone(),
            lease_id,
        })
    }
}

#[cfg(test)]
mod tests;
