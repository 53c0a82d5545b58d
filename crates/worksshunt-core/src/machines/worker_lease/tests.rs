//! Tests of `worker_lease`: which heartbeats renew a lease.

use worksshunt_wire::Incarnation;

use super::*;

/// First message of the worker's second incarnation.
const SECOND: SequenceNumber = SequenceNumber::new(Incarnation(2), 1);
const LEASE_MS: u64 = 16_000;

/// A message of the worker's first incarnation.
fn first(number: u64) -> SequenceNumber {
    SequenceNumber::new(Incarnation(1), number)
}

/// A lease after heartbeat 5 at 1 s and a response to commands with number 7 at 2 s.
fn lease() -> WorkerLease {
    let mut lease = WorkerLease::new(SequenceNumber::NONE, Time(0));
    lease.record_renewal(first(5), Time(1_000));
    lease.record_message(first(5), Time(1_000));
    lease.record_message(first(7), Time(2_000));
    lease
}

#[test]
fn a_response_to_commands_renews_nothing() {
    let lease = lease();
    assert_eq!(lease.renewed_at, Time(1_000));
    assert!(lease.has_expired(LEASE_MS, Time(17_001)));
}

// The heartbeat in flight: its worker gets an answer, and counts its lease from when it sent it.
#[test]
fn a_heartbeat_that_a_response_to_commands_overtook_is_counted() {
    let mut lease = lease();
    assert_eq!(lease.classify(first(6), Time(3_000)), Arrival::Overtaken);
    lease.record_renewal(first(6), Time(3_000));
    assert!(!lease.has_expired(LEASE_MS, Time(19_000)));
    assert_eq!(lease.renewed_by, Some(first(6)));
    assert_eq!(lease.newest_message, first(7), "its content is outdated");
}

// Otherwise a copy that arrives again and again would keep a dead machine's tasks for ever.
#[test]
fn a_copy_of_a_counted_heartbeat_is_stale_at_any_time() {
    let mut lease = lease();
    lease.record_renewal(first(6), Time(3_000));
    for at in [3_001, 5_000, 60_000] {
        for copy in [5, 6] {
            assert_eq!(lease.classify(first(copy), Time(at)), Arrival::Stale);
        }
    }
}

#[test]
fn a_heartbeat_that_its_worker_has_given_up_is_stale_although_never_seen() {
    let last = Time(2_000 + HEARTBEAT_TIMEOUT_MS - 1);
    assert_eq!(lease().classify(first(6), last), Arrival::Overtaken);
    let given_up = Time(2_000 + HEARTBEAT_TIMEOUT_MS);
    assert_eq!(lease().classify(first(6), given_up), Arrival::Stale);
}

#[test]
fn a_heartbeat_newer_than_all_is_the_newest_however_late() {
    let late = Time(900_000);
    assert_eq!(lease().classify(first(8), late), Arrival::Newest);
    assert_eq!(lease().classify(SECOND, late), Arrival::Newest);
}

#[test]
fn an_incarnation_first_seen_in_a_response_to_commands_has_its_lease() {
    let mut lease = lease();
    lease.record_message(SECOND, Time(20_000));
    assert!(!lease.has_expired(LEASE_MS, Time(36_000)));
}

#[test]
fn nothing_renews_the_lease_of_a_machine_that_is_gone() {
    let mut lease = lease();
    lease.close_up_to(SequenceNumber::MAX);
    assert_eq!(lease.classify(first(8), Time(2_100)), Arrival::Stale);
}
