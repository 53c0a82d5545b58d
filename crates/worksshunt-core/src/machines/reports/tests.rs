//! Tests of `reports`: how many machines that left are remembered.

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
