//! Tests of `lease`: which reports renew a lease.

use super::*;

const FIRST: Incarnation = Incarnation(1);
const LEASE_MS: u64 = 16_000;

/// An account after report 5 at 1 s and an answer to orders with number 7 at 2 s.
fn account() -> WorkerLease {
    let mut account = WorkerLease::new(Time(0), (Incarnation(0), 0));
    account.record_renewal((FIRST, 5), Time(1_000));
    account.record_message((FIRST, 5), Time(1_000));
    account.record_message((FIRST, 7), Time(2_000));
    account
}

#[test]
fn an_answer_to_orders_renews_nothing() {
    let account = account();
    assert_eq!(account.renewed_at, Time(1_000));
    assert!(account.has_expired(LEASE_MS, Time(17_001)));
}

// The report that is in flight: its worker gets an answer, and counts its lease from when it sent it.
#[test]
fn a_report_that_the_answer_to_orders_overtook_is_counted() {
    let mut account = account();
    assert_eq!(
        account.classify((FIRST, 6), Time(3_000)),
        Arrival::Overtaken
    );
    account.record_renewal((FIRST, 6), Time(3_000));
    assert!(!account.has_expired(LEASE_MS, Time(19_000)));
    assert_eq!(account.renewed_by, Some((FIRST, 6)));
    assert_eq!(
        account.newest_message,
        (FIRST, 7),
        "what it says is outdated"
    );
}

// The copy: else one that comes again and again keeps a dead machine's tasks for ever.
#[test]
fn a_copy_of_a_counted_report_is_stale_at_any_time() {
    let mut account = account();
    account.record_renewal((FIRST, 6), Time(3_000));
    for at in [3_001, 5_000, 60_000] {
        for copy in [5, 6] {
            assert_eq!(account.classify((FIRST, copy), Time(at)), Arrival::Stale);
        }
    }
}

#[test]
fn a_report_that_its_worker_has_given_up_is_stale_although_never_seen() {
    let last = Time(2_000 + HEARTBEAT_DEADLINE_MS - 1);
    assert_eq!(account().classify((FIRST, 6), last), Arrival::Overtaken);
    let given_up = Time(2_000 + HEARTBEAT_DEADLINE_MS);
    assert_eq!(account().classify((FIRST, 6), given_up), Arrival::Stale);
}

#[test]
fn a_report_newer_than_all_is_the_newest_however_late() {
    let late = Time(900_000);
    assert_eq!(account().classify((FIRST, 8), late), Arrival::Newest);
    assert_eq!(
        account().classify((Incarnation(2), 1), late),
        Arrival::Newest
    );
}

#[test]
fn a_session_first_heard_of_in_an_answer_to_orders_has_its_lease() {
    let mut account = account();
    account.record_message((Incarnation(2), 1), Time(20_000));
    assert!(!account.has_expired(LEASE_MS, Time(36_000)));
}

#[test]
fn nothing_renews_the_lease_of_a_machine_that_is_gone() {
    let mut account = account();
    account.close_up_to((Incarnation(u64::MAX), u64::MAX));
    assert_eq!(account.classify((FIRST, 8), Time(2_100)), Arrival::Stale);
}
