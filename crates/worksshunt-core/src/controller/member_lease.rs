//! The controller's lease of the key-value store and its member key: requests when they are due, and what follows
//! from their responses. The rules of membership are in [`crate::membership`].

use crate::constants::key_value::KV_RETRY_DELAY_MS;
use crate::constants::leases::{CONTROL_KEYS_READ_INTERVAL_MS, MEMBER_LEASE_RENEWAL_INTERVAL_MS};
use crate::membership::{MemberState, CONTROL_KEYS_PREFIX};
use crate::time::{PeriodicTimer, Time};

use super::key_value_responses::RequestTimes;
use super::{call_store, Action, Controller, KvPurpose, KvRequest, KvResponse};

/// When the next requests about the membership are due.
#[derive(Debug, Default)]
pub(super) struct MembershipTimers {
    /// Granting and renewing the lease, and writing the member key.
    pub lease: PeriodicTimer,
    pub control_keys: PeriodicTimer,
    /// Proposing an epoch.
    pub proposal: PeriodicTimer,
}

impl Controller {
    /// Sends the requests about the membership that are due.
    pub(super) fn advance_membership(&mut self, now: Time, actions: &mut Vec<Action>) {
        if self.membership_timers.lease.is_due(now) {
            self.advance_lease(now, actions);
        }
        let control_keys_timer = &mut self.membership_timers.control_keys;
        if control_keys_timer.is_due(now) {
            control_keys_timer.mark_sent(now, CONTROL_KEYS_READ_INTERVAL_MS);
            let request = KvRequest::List(CONTROL_KEYS_PREFIX.to_owned());
            call_store(actions, KvPurpose::ReadControlKeys, request);
        }
    }

    /// Grants the lease, writes the member key or renews the lease, whichever is next.
    fn advance_lease(&mut self, now: Time, actions: &mut Vec<Action>) {
        let timer = &mut self.membership_timers.lease;
        let lease = match (self.membership.state(), self.membership.lease()) {
            (MemberState::NoLease, _) | (_, None) => {
                timer.mark_sent(now, KV_RETRY_DELAY_MS);
                return call_store(actions, KvPurpose::GrantLease, KvRequest::GrantLease);
            }
            (_, Some(lease)) => lease,
        };
        if !self.membership.needs_key_write() {
            timer.mark_sent(now, MEMBER_LEASE_RENEWAL_INTERVAL_MS);
            let request = KvRequest::RenewLease(lease);
            return call_store(actions, KvPurpose::RenewLease(lease), request);
        }
        // Nothing to send before the key's version has been read.
        if let Some(write) = self.membership.member_key_write() {
            timer.mark_sent(now, KV_RETRY_DELAY_MS);
            let request = KvRequest::CompareAndSwap(write);
            call_store(actions, KvPurpose::WriteMemberKey, request);
        }
    }

    pub(super) fn lease_grant_answered(&mut self, now: Time, response: KvResponse) {
        let wait_ms = if response.is_definite() {
            0
        } else {
            KV_RETRY_DELAY_MS
        };
        self.membership_timers.lease.schedule_next(now, wait_ms);
        if let KvResponse::LeaseGranted(lease) = response {
            self.membership.lease_granted(lease);
            self.read_control_keys_at(now);
        }
    }

    pub(super) fn member_key_write_answered(&mut self, now: Time, response: KvResponse) {
        let lease_timer = &mut self.membership_timers.lease;
        match response {
            KvResponse::Committed(version) => {
                lease_timer.schedule_next(now, 0);
                self.read_control_keys_at(now);
                self.membership.member_key_written(version);
            }
            KvResponse::Conflict(_) => {
                lease_timer.schedule_next(now, KV_RETRY_DELAY_MS);
                self.read_control_keys_at(now);
                self.membership.member_key_conflict();
            }
            KvResponse::NoSuchLease => {
                lease_timer.schedule_next(now, 0);
                self.membership.lease_lost();
            }
            _ => lease_timer.schedule_next(now, KV_RETRY_DELAY_MS),
        }
    }

    pub(super) fn lease_renewal_answered(&mut self, now: Time, lease: u64, response: KvResponse) {
        let lease_timer = &mut self.membership_timers.lease;
        lease_timer.is_in_flight = false;
        match response {
            KvResponse::NoSuchLease if self.membership.lease() == Some(lease) => {
                tracing::info!(lease, "lease expired");
                lease_timer.next_at = now;
                self.leave_epoch(now);
            }
            KvResponse::LeaseRenewed => {}
            _ => lease_timer.next_at = now + KV_RETRY_DELAY_MS,
        }
    }

    pub(super) fn control_keys_answered(
        &mut self,
        times: RequestTimes,
        response: KvResponse,
        actions: &mut Vec<Action>,
    ) {
        self.membership_timers.control_keys.is_in_flight = false;
        match response {
            KvResponse::Listing(listing) => self.process_control_keys(times, &listing, actions),
            _ => self.read_control_keys_at(times.answered_at + KV_RETRY_DELAY_MS),
        }
    }

    /// The write of the next epoch was answered. A read of the control keys shows whether it was applied.
    pub(super) fn proposal_answered(&mut self, now: Time) {
        self.membership_timers.proposal.schedule_next(now, 0);
        self.read_control_keys_at(now);
    }

    /// Has the control keys read at that time, once no read of them is in flight.
    pub(super) fn read_control_keys_at(&mut self, at: Time) {
        self.membership_timers.control_keys.next_at = at;
    }
}
