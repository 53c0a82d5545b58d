//! Tests of `epoch_confirmation`.

use super::*;

fn name(text: &str) -> ControllerName {
    text.into()
}

fn response(poll_number: u64, epoch: u64) -> EpochPollResponse {
    EpochPollResponse {
        poll_number,
        epoch: Epoch(epoch),
        is_key_value_store_reachable: false,
    }
}

fn begun_poll() -> (EpochConfirmation, u64) {
    let mut confirmation = EpochConfirmation::default();
    let others = [name("n1"), name("n2")].into_iter().collect();
    let number = confirmation.begin_poll(Time(1_000), Epoch(4), others);
    (confirmation, number)
}

#[test]
fn a_poll_confirms_its_epoch_once_all_peers_answered() {
    let (mut confirmation, number) = begun_poll();
    assert_eq!(confirmation.confirmed_poll_sent_at(Epoch(4)), None);
    confirmation.record_response(&name("n1"), &response(number, 4));
    confirmation.record_response(&name("n1"), &response(number, 4));
    assert_eq!(
        confirmation.confirmed_poll_sent_at(Epoch(4)),
        None,
        "one of two peers, twice"
    );
    confirmation.record_response(&name("n2"), &response(number, 0));
    assert_eq!(
        confirmation.confirmed_poll_sent_at(Epoch(4)),
        Some(Time(1_000))
    );
    assert_eq!(
        confirmation.confirmed_poll_sent_at(Epoch(5)),
        None,
        "the poll was about another epoch"
    );
}

#[test]
fn a_newer_epoch_or_a_reachable_store_fails_the_poll() {
    let store_reachable = |number| EpochPollResponse {
        is_key_value_store_reachable: true,
        ..response(number, 4)
    };
    for failing_response in [response(1, 5), store_reachable(1)] {
        let (mut confirmation, number) = begun_poll();
        assert_eq!(number, 1);
        confirmation.record_response(&name("n1"), &failing_response);
        confirmation.record_response(&name("n1"), &response(number, 4));
        confirmation.record_response(&name("n2"), &response(number, 4));
        assert_eq!(
            confirmation.confirmed_poll_sent_at(Epoch(4)),
            None,
            "{failing_response:?}"
        );
    }
}

#[test]
fn responses_to_an_earlier_poll_are_ignored() {
    let (mut confirmation, first) = begun_poll();
    confirmation.record_response(&name("n1"), &response(first, 4));
    let others = [name("n1"), name("n2")].into_iter().collect();
    let second = confirmation.begin_poll(Time(2_000), Epoch(4), others);
    confirmation.record_response(&name("n1"), &response(first, 4));
    confirmation.record_response(&name("n2"), &response(second, 4));
    assert_eq!(confirmation.confirmed_poll_sent_at(Epoch(4)), None);
    confirmation.record_response(&name("n1"), &response(second, 4));
    assert_eq!(
        confirmation.confirmed_poll_sent_at(Epoch(4)),
        Some(Time(2_000))
    );
}

#[test]
fn only_the_first_confirmation_of_an_outage_is_reported() {
    let mut confirmation = EpochConfirmation::default();
    assert!(confirmation.mark_confirmed());
    assert!(!confirmation.mark_confirmed());
    confirmation.end_outage();
    assert!(confirmation.mark_confirmed(), "another outage");
}
