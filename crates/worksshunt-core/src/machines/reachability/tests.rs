//! Tests of `reachability`: changes of a worker's state.

use super::*;

fn confirmed() -> WorkerReachability {
    let mut reachability = WorkerReachability::unconfirmed(Time(0));
    reachability.record_heartbeat(true, Time(100));
    reachability
}

#[test]
fn only_the_current_token_confirms_an_unconfirmed_worker() {
    let mut reachability = WorkerReachability::unconfirmed(Time(0));
    reachability.record_heartbeat(false, Time(100));
    assert_eq!(reachability.unconfirmed_since(), Some(Time(0)));
    reachability.record_heartbeat(true, Time(200));
    assert!(reachability.is_confirmed());
    assert_eq!(reachability.unconfirmed_since(), None);
}

#[test]
fn repeated_unconfirmed_responses_make_a_worker_suspect() {
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
    assert_eq!(reachability.unconfirmed_since(), Some(Time(9_000)));
}

#[test]
fn only_a_command_response_confirms_a_suspect_worker() {
    let mut reachability = confirmed();
    reachability.mark_suspect(Time(1_000));
    reachability.record_heartbeat(true, Time(2_000));
    assert!(reachability.is_suspect());
    reachability.confirm();
    assert!(reachability.is_confirmed());
}

#[test]
fn further_evidence_does_not_restart_the_unconfirmed_time() {
    let mut reachability = WorkerReachability::unconfirmed(Time(500));
    reachability.mark_suspect(Time(1_000));
    reachability.mark_suspect(Time(2_000));
    assert_eq!(reachability.unconfirmed_since(), Some(Time(500)));
}

#[test]
fn new_epoch_restarts_the_time_of_unconfirmed_workers_only() {
    let mut unconfirmed = WorkerReachability::unconfirmed(Time(500));
    unconfirmed.begin_epoch(Time(3_000));
    assert_eq!(unconfirmed.unconfirmed_since(), Some(Time(3_000)));
    let mut suspect = confirmed();
    suspect.mark_suspect(Time(1_000));
    suspect.begin_epoch(Time(3_000));
    assert_eq!(suspect.unconfirmed_since(), Some(Time(1_000)));
}
