//! Tests of `heartbeats`: how many machines that left are remembered, and which reports are answered.

use super::*;

fn name(n: usize) -> MachineId {
    MachineId(format!("i-{n:06}"))
}

fn noted(machines: usize, now: Time) -> HeartbeatHistory {
    let mut sightings = HeartbeatHistory::default();
    for n in 0..machines {
        sightings.record(&name(n), (Incarnation(1), 7), now);
    }
    sightings
}

#[test]
fn machines_that_left_lately_are_remembered_however_many_they_are() {
    let mut sightings = noted(HEARTBEAT_HISTORY_ENTRIES * 2, Time(0));
    sightings.record(
        &name(999_999),
        (Incarnation(1), 7),
        Time(HEARTBEAT_HISTORY_MS - 1),
    );
    assert_eq!(sightings.newest_message(&name(0)), (Incarnation(1), 7));
}

#[test]
fn of_those_that_left_long_ago_as_many_are_remembered_as_are_kept_in_any_case() {
    let mut sightings = noted(HEARTBEAT_HISTORY_ENTRIES, Time(0));
    let late = Time(HEARTBEAT_HISTORY_MS);
    sightings.record(&name(999_998), (Incarnation(1), 7), late);
    assert_eq!(
        sightings.newest_message(&name(0)),
        (Incarnation(0), 0),
        "the first is forgotten"
    );
    assert_eq!(sightings.newest_message(&name(1)), (Incarnation(1), 7));
    assert_eq!(sightings.order.len(), HEARTBEAT_HISTORY_ENTRIES);
    assert_eq!(sightings.newest_by_machine.len(), HEARTBEAT_HISTORY_ENTRIES);
}

/// A report of machine 0 in its first session.
fn heartbeat(number: u64) -> Heartbeat {
    let heartbeat = serde_json::json!({
        "Estiba": name(0), "Addr": "10.1.0.1:9000", "Modelo": "m4", "Patio": "a", "Prestados": true,
        "Jornada": 1, "Folio": number, "Vara": 1, "AvisoS": null, "Piezas": [],
    });
    serde_json::from_value(heartbeat).expect("a report")
}

/// A part that has heard of machine 0 by report 5 and by an answer to orders with number 7 since.
fn partition() -> Partition {
    let mut partition = crate::machines::tests::partition(0);
    let catalog = Catalog::default();
    partition.process_heartbeat(Time(1_000), &heartbeat(5), Epoch(1), &catalog);
    partition.apply_message(Time(2_000), &heartbeat(7), Epoch(1), &catalog, true);
    partition
}

fn reply(partition: &mut Partition, number: u64, now: Time) -> HeartbeatOutcome {
    partition.process_heartbeat(now, &heartbeat(number), Epoch(1), &Catalog::default())
}

#[test]
fn an_overtaken_report_is_answered_without_commands_and_a_copy_of_it_is_not() {
    let mut partition = partition();
    assert_eq!(
        reply(&mut partition, 6, Time(3_000)),
        HeartbeatOutcome::Accepted(Vec::new())
    );
    assert_eq!(
        reply(&mut partition, 6, Time(3_100)),
        HeartbeatOutcome::Rejected
    );
}

// Its worker has killed everything by then, and whatever it hears must not say otherwise.
#[test]
fn an_overtaken_report_of_a_lost_machine_is_not_answered() {
    let mut partition = partition();
    partition.mark_lost(&name(0), Time(3_000));
    assert_eq!(
        reply(&mut partition, 6, Time(3_100)),
        HeartbeatOutcome::Rejected
    );
}

#[test]
fn no_report_of_a_returned_machine_is_answered() {
    let mut partition = partition();
    partition.machine_terminated(&name(0), Time(3_000));
    for number in [6, 7, 8] {
        assert_eq!(
            reply(&mut partition, number, Time(3_100)),
            HeartbeatOutcome::Rejected
        );
    }
    assert_eq!(
        reply(&mut self::partition(), 8, Time(3_100)),
        HeartbeatOutcome::Accepted(Vec::new())
    );
}
