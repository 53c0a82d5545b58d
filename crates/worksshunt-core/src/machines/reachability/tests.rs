//! Tests of `reachability`: which evidence changes what is known of a worker.

use super::*;

fn confirmed() -> WorkerReachability {
    let mut reachability = WorkerReachability::unconfirmed(Time(0));
    reachability.record_heartbeat(true, Time(100));
    reachability
}

#[test]
fn only_a_heartbeat_with_the_current_token_confirms_a_worker() {
    let mut reachability = WorkerReachability::unconfirmed(Time(0));
    reachability.record_heartbeat(false, Time(100));
    assert_eq!(reachability.unproven_since(), Some(Time(0)));
    reachability.record_heartbeat(true, Time(200));
    assert!(reachability.is_confirmed());
    assert_eq!(reachability.unproven_since(), None);
}

#[test]
fn a_worker_that_heeds_no_response_for_long_is_suspect() {
    let mut reachability = confirmed();
    for n in 1..UNCONFIRMED_RESPONSES_BEFORE_SUSPECT {
        reachability.record_heartbeat(false, Time(u64::from(n) * 1_000));
        assert!(
            reachability.is_confirmed(),
            "after {n} unconfirmed responses"
        );
    }
    reachability.record_heartbeat(false, Time(9_000));
    assert!(reachability.is_suspect());
    assert_eq!(reachability.unproven_since(), Some(Time(9_000)));
}

#[test]
fn a_suspect_worker_is_confirmed_by_an_answer_and_not_by_a_heartbeat() {
    let mut reachability = confirmed();
    reachability.suspect(Time(1_000));
    reachability.record_heartbeat(true, Time(2_000));
    assert!(reachability.is_suspect());
    reachability.confirm();
    assert!(reachability.is_confirmed());
}

#[test]
fn the_time_without_proof_goes_on_through_further_evidence() {
    let mut reachability = WorkerReachability::unconfirmed(Time(500));
    reachability.suspect(Time(1_000));
    reachability.suspect(Time(2_000));
    assert_eq!(reachability.unproven_since(), Some(Time(500)));
}

#[test]
fn a_new_epoch_restarts_the_time_of_an_unconfirmed_worker_only() {
    let mut unconfirmed = WorkerReachability::unconfirmed(Time(500));
    unconfirmed.begin_epoch(Time(3_000));
    assert_eq!(unconfirmed.unproven_since(), Some(Time(3_000)));
    let mut suspect = confirmed();
    suspect.suspect(Time(1_000));
    suspect.begin_epoch(Time(3_000));
    assert_eq!(suspect.unproven_since(), Some(Time(1_000)));
}
