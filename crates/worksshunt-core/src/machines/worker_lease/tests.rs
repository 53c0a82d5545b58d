//! Tests of `worker_lease`: which messages renew a lease.

use worksshunt_wire::Incarnation;

use super::*;

/// First message of the worker's second incarnation.
const SECOND_INCARNATION: SequenceNumber = SequenceNumber::new(Incarnation(2), 1);
const LEASE_MS: u64 = 16_000;

/// A message of the worker's first incarnation.
fn message(number: u64) -> SequenceNumber {
    SequenceNumber::new(Incarnation(1), number)
}

/// A lease after heartbeat 5 at 1 s and a response to commands with number 7 at 2 s.
fn lease() -> WorkerLease {
    let mut lease = WorkerLease::new(SequenceNumber::NONE, Time(0));
    lease.record_renewal(message(5), Time(1_000));
    lease.record_message(message(5), Time(1_000));
    lease.record_message(message(7), Time(2_000));
    lease
}

#[test]
fn command_response_does_not_renew_the_lease() {
    let lease = lease();
    assert_eq!(lease.renewed_at, Time(1_000));
    assert!(lease.has_expired(LEASE_MS, Time(17_001)));
}

// The worker still waits for the response, and its lease then starts when it sent the heartbeat.
#[test]
fn out_of_order_heartbeat_renews_the_lease() {
    let mut lease = lease();
    assert_eq!(
        lease.classify(message(6), Time(3_000)),
        ArrivalOrder::OutOfOrder
    );
    lease.record_renewal(message(6), Time(3_000));
    assert!(!lease.has_expired(LEASE_MS, Time(19_000)));
    assert_eq!(lease.renewing_heartbeat, Some(message(6)));
    assert_eq!(lease.newest_message, message(7), "its content is outdated");
}

// Guards against duplicates that renew the lease of a dead machine indefinitely.
#[test]
fn duplicate_heartbeat_is_always_stale() {
    let mut lease = lease();
    lease.record_renewal(message(6), Time(3_000));
    for at in [3_001, 5_000, 60_000] {
        for number in [5, 6] {
            assert_eq!(
                lease.classify(message(number), Time(at)),
                ArrivalOrder::Stale
            );
        }
    }
}

#[test]
fn out_of_order_heartbeat_is_stale_after_its_deadline() {
    let before_deadline = Time(2_000 + HEARTBEAT_TIMEOUT_MS - 1);
    assert_eq!(
        lease().classify(message(6), before_deadline),
        ArrivalOrder::OutOfOrder
    );
    let at_deadline = Time(2_000 + HEARTBEAT_TIMEOUT_MS);
    assert_eq!(
        lease().classify(message(6), at_deadline),
        ArrivalOrder::Stale
    );
}

#[test]
fn newer_heartbeat_is_the_newest_at_any_time() {
    let much_later = Time(900_000);
    assert_eq!(
        lease().classify(message(8), much_later),
        ArrivalOrder::Newest
    );
    assert_eq!(
        lease().classify(SECOND_INCARNATION, much_later),
        ArrivalOrder::Newest
    );
}

#[test]
fn new_incarnation_in_a_command_response_begins_a_lease() {
    let mut lease = lease();
    lease.record_message(SECOND_INCARNATION, Time(20_000));
    assert!(!lease.has_expired(LEASE_MS, Time(36_000)));
}

#[test]
fn heartbeats_of_a_terminated_machine_are_stale() {
    let mut lease = lease();
    lease.mark_stale_up_to(SequenceNumber::MAX);
    assert_eq!(lease.classify(message(8), Time(2_100)), ArrivalOrder::Stale);
}
