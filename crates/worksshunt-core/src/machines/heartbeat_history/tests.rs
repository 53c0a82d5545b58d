//! Tests of `heartbeat_history`: how many machines that left are remembered.

use worksshunt_wire::Incarnation;

use crate::machines::fixtures::machine_id;

use super::*;

const NUMBER: SequenceNumber = SequenceNumber::new(Incarnation(1), 7);

fn recorded(machines: usize, now: Time) -> HeartbeatHistory {
    let mut history = HeartbeatHistory::default();
    for n in 0..machines {
        history.record(&machine_id(n), NUMBER, now);
    }
    history
}

#[test]
fn machines_that_left_recently_are_remembered_however_many_they_are() {
    let mut history = recorded(HEARTBEAT_HISTORY_ENTRIES * 2, Time(0));
    history.record(&machine_id(999_999), NUMBER, Time(HEARTBEAT_HISTORY_MS - 1));
    assert_eq!(history.newest_message(&machine_id(0)), NUMBER);
}

#[test]
fn of_those_that_left_long_ago_as_many_are_remembered_as_are_kept_in_any_case() {
    let mut history = recorded(HEARTBEAT_HISTORY_ENTRIES, Time(0));
    let late = Time(HEARTBEAT_HISTORY_MS);
    history.record(&machine_id(999_998), NUMBER, late);
    assert_eq!(
        history.newest_message(&machine_id(0)),
        SequenceNumber::NONE,
        "the first is forgotten"
    );
    assert_eq!(history.newest_message(&machine_id(1)), NUMBER);
    assert_eq!(history.entries.len(), HEARTBEAT_HISTORY_ENTRIES);
    assert_eq!(history.newest_by_machine.len(), HEARTBEAT_HISTORY_ENTRIES);
}
