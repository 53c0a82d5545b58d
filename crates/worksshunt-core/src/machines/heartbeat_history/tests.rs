//! Tests of `heartbeat_history`: eviction of entries.

use worksshunt_wire::Incarnation;

use crate::machines::fixtures::machine_id;

use super::*;

const SEQUENCE_NUMBER: SequenceNumber = SequenceNumber::new(Incarnation(1), 7);

fn history_of(machines: usize, now: Time) -> HeartbeatHistory {
    let mut history = HeartbeatHistory::default();
    for n in 0..machines {
        history.record(&machine_id(n), SEQUENCE_NUMBER, now);
    }
    history
}

#[test]
fn recent_entries_are_never_evicted() {
    let mut history = history_of(HEARTBEAT_HISTORY_ENTRIES * 2, Time(0));
    history.record(
        &machine_id(999_999),
        SEQUENCE_NUMBER,
        Time(HEARTBEAT_HISTORY_MS - 1),
    );
    assert_eq!(history.newest_message(&machine_id(0)), SEQUENCE_NUMBER);
}

#[test]
fn oldest_entries_beyond_the_capacity_are_evicted() {
    let mut history = history_of(HEARTBEAT_HISTORY_ENTRIES, Time(0));
    let after_retention = Time(HEARTBEAT_HISTORY_MS);
    history.record(&machine_id(999_998), SEQUENCE_NUMBER, after_retention);
    assert_eq!(
        history.newest_message(&machine_id(0)),
        SequenceNumber::NONE,
        "the oldest entry is evicted"
    );
    assert_eq!(history.newest_message(&machine_id(1)), SEQUENCE_NUMBER);
    assert_eq!(history.entries.len(), HEARTBEAT_HISTORY_ENTRIES);
    assert_eq!(history.newest_by_machine.len(), HEARTBEAT_HISTORY_ENTRIES);
}
