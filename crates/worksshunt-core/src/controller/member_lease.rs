//! Requests for the membership lease, the member key and the control keys, and the processing of their responses. The
//! membership state machine is in [`crate::membership`].

use crate::constants::key_value::KV_RETRY_DELAY_MS;
use crate::constants::leases::{CONTROL_KEYS_READ_INTERVAL_MS, MEMBER_LEASE_RENEWAL_INTERVAL_MS};
use crate::membership::{MemberState, CONTROL_KEYS_PREFIX};
use crate::time::{PeriodicTimer, Time};

use super::key_value_responses::RequestTimes;
use super::{call_store, Action, Controller, KvPurpose, KvRequest, KvResponse};

/// Timers of the membership requests.
#[derive(Debug, Default)]
pub(super) struct MembershipTimers {
    /// Triggers the grant and renewals of the lease, and writes of the member key.
    pub lease: PeriodicTimer,
    /// Triggers reads of the control keys.
    pub control_keys: PeriodicTimer,
    /// Limits proposals of an epoch to one in flight.
    pub proposal: PeriodicTimer,
}

impl Controller {
    /// Sends the membership requests that are due.
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

    /// Sends the next request for the lease: grant it, write the member key, or renew it.
    fn advance_lease(&mut self, now: Time, actions: &mut Vec<Action>) {
        let timer = &mut self.membership_timers.lease;
        let lease_id = match (self.membership.state(), self.membership.lease_id()) {
            (MemberState::NoLease, _) | (_, None) => {
                timer.mark_sent(now, KV_RETRY_DELAY_MS);
                return call_store(actions, KvPurpose::GrantLease, KvRequest::GrantLease);
            }
            (_, Some(lease_id)) => lease_id,
        };
        if !self.membership.needs_member_key_write() {
            timer.mark_sent(now, MEMBER_LEASE_RENEWAL_INTERVAL_MS);
            let request = KvRequest::RenewLease(lease_id);
            return call_store(actions, KvPurpose::RenewLease(lease_id), request);
        }
        // The write is conditional on the key's version, so it waits until that has been read.
        if let Some(write) = self.membership.next_member_key_write() {
            timer.mark_sent(now, KV_RETRY_DELAY_MS);
            let request = KvRequest::CompareAndSwap(write);
            call_store(actions, KvPurpose::WriteMemberKey, request);
        }
    }

    pub(super) fn process_lease_grant_response(&mut self, now: Time, response: KvResponse) {
        let wait_ms = if response.is_definite() {
            0
        } else {
            KV_RETRY_DELAY_MS
        };
        self.membership_timers.lease.schedule_next(now, wait_ms);
        if let KvResponse::LeaseGranted(lease_id) = response {
            self.membership.apply_lease_grant(lease_id);
            self.read_control_keys_at(now);
        }
    }

    pub(super) fn process_member_key_write_response(&mut self, now: Time, response: KvResponse) {
        let lease_timer = &mut self.membership_timers.lease;
        match response {
            KvResponse::Committed(version) => {
                lease_timer.schedule_next(now, 0);
                self.read_control_keys_at(now);
                self.membership.record_member_key_write(version);
            }
            KvResponse::Conflict(_) => {
                lease_timer.schedule_next(now, KV_RETRY_DELAY_MS);
                self.read_control_keys_at(now);
                self.membership.reset_member_key_version();
            }
            KvResponse::NoSuchLease => {
                lease_timer.schedule_next(now, 0);
                self.membership.drop_lease();
            }
            _ => lease_timer.schedule_next(now, KV_RETRY_DELAY_MS),
        }
    }

    pub(super) fn process_lease_renewal_response(
        &mut self,
        now: Time,
        lease_id: u64,
        response: KvResponse,
    ) {
        let lease_timer = &mut self.membership_timers.lease;
        lease_timer.is_in_flight = false;
        match response {
            KvResponse::NoSuchLease if self.membership.lease_id() == Some(lease_id) => {
                tracing::info!(
                    lease_id,
                    "membership lease expired; joining again with a new lease"
                );
                lease_timer.next_at = now;
                self.leave_epoch(now);
            }
            KvResponse::LeaseRenewed => {}
            _ => lease_timer.next_at = now + KV_RETRY_DELAY_MS,
        }
    }

    pub(super) fn process_control_keys_response(
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

    /// Processes the response to the write of the next epoch: reads the control keys, which show whether it was
    /// applied.
    pub(super) fn process_proposal_response(&mut self, now: Time) {
        self.membership_timers.proposal.schedule_next(now, 0);
        self.read_control_keys_at(now);
    }

    /// Schedules the next read of the control keys, which is sent when no other is in flight.
    pub(super) fn read_control_keys_at(&mut self, at: Time) {
        self.membership_timers.control_keys.next_at = at;
    }
}
