//! Tests of `reports`: how many machines that left are remembered, and which reports are answered.

use super::*;

fn name(n: usize) -> MachineId {
    MachineId(format!("i-{n:06}"))
}

fn noted(machines: usize, now: Time) -> Sightings {
    let mut sightings = Sightings::default();
    for n in 0..machines {
        sightings.note(&name(n), (Session(1), 7), now);
    }
    sightings
}

#[test]
fn machines_that_left_lately_are_remembered_however_many_they_are() {
    let mut sightings = noted(SIGHTINGS_KEPT * 2, Time(0));
    sightings.note(&name(999_999), (Session(1), 7), Time(SIGHTINGS_KEPT_MS - 1));
    assert_eq!(sightings.newest(&name(0)), (Session(1), 7));
}

#[test]
fn of_those_that_left_long_ago_as_many_are_remembered_as_are_kept_in_any_case() {
    let mut sightings = noted(SIGHTINGS_KEPT, Time(0));
    let late = Time(SIGHTINGS_KEPT_MS);
    sightings.note(&name(999_998), (Session(1), 7), late);
    assert_eq!(
        sightings.newest(&name(0)),
        (Session(0), 0),
        "the first is forgotten"
    );
    assert_eq!(sightings.newest(&name(1)), (Session(1), 7));
    assert_eq!(sightings.order.len(), SIGHTINGS_KEPT);
    assert_eq!(sightings.newest.len(), SIGHTINGS_KEPT);
}

/// A report of machine 0 in its first session.
fn report(number: u64) -> Report {
    let report = serde_json::json!({
        "Estiba": name(0), "Addr": "10.1.0.1:9000", "Modelo": "m4", "Patio": "a", "Prestados": true,
        "Jornada": 1, "Folio": number, "Vara": 1, "AvisoS": null, "Piezas": [],
    });
    serde_json::from_value(report).expect("a report")
}

/// A part that has heard of machine 0 by report 5 and by an answer to orders with number 7 since.
fn part() -> Part {
    let mut part = crate::machines::tests::part(0);
    let catalog = Catalog::default();
    part.report(Time(1_000), &report(5), Epoch(1), &catalog);
    part.take_in(Time(2_000), &report(7), Epoch(1), &catalog, true);
    part
}

fn reply(part: &mut Part, number: u64, now: Time) -> ReportReply {
    part.report(now, &report(number), Epoch(1), &Catalog::default())
}

#[test]
fn an_overtaken_report_is_answered_without_commands_and_a_copy_of_it_is_not() {
    let mut part = part();
    assert_eq!(
        reply(&mut part, 6, Time(3_000)),
        ReportReply::Counted(Vec::new())
    );
    assert_eq!(reply(&mut part, 6, Time(3_100)), ReportReply::Stale);
}

// Its worker has killed everything by then, and whatever it hears must not say otherwise.
#[test]
fn an_overtaken_report_of_a_lost_machine_is_not_answered() {
    let mut part = part();
    part.lose(&name(0), Time(3_000));
    assert_eq!(reply(&mut part, 6, Time(3_100)), ReportReply::Stale);
}

#[test]
fn no_report_of_a_returned_machine_is_answered() {
    let mut part = part();
    part.returned(&name(0), Time(3_000));
    for number in [6, 7, 8] {
        assert_eq!(reply(&mut part, number, Time(3_100)), ReportReply::Stale);
    }
    assert_eq!(
        reply(&mut self::part(), 8, Time(3_100)),
        ReportReply::Counted(Vec::new())
    );
}
