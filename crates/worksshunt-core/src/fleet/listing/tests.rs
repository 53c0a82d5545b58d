//! Tests of `listing`.

use super::*;

/// A page of machines with their ages.
fn page(machines: &[(&str, f64)], more: bool) -> MachineList {
    let machine = |(id, age_s): &(&str, f64)| {
        serde_json::json!({"Ref": id, "Modelo": "m4", "Patio": "a", "Prestados": true,
            "Estado": "running", "AgeS": age_s})
    };
    let machines: Vec<_> = machines.iter().map(machine).collect();
    serde_json::from_value(serde_json::json!({"Estibas": machines, "More": more})).expect("a page")
}

// Guards against a machine that counts as gone because an older list does not have it yet, or because
// it is on another page.
#[test]
fn only_a_later_list_shows_that_a_machine_is_gone() {
    let mut listings = Listings::default();
    let none: Vec<MachineId> = Vec::new();
    let first = page(&[("i-1", 50.0), ("i-2", 50.0), ("i-3", 4.0)], false);
    assert_eq!(listings.apply_page(None, &first), none);
    let older = page(&[("i-1", 44.0), ("i-2", 44.0)], false);
    assert_eq!(
        listings.apply_page(None, &older),
        none,
        "it was not provisioned then"
    );
    let cut = page(&[("i-1", 60.0), ("i-2", 60.0)], true);
    assert_eq!(
        listings.apply_page(None, &cut),
        none,
        "it follows on the next page"
    );
    let later = page(&[("i-1", 56.0), ("i-4", 2.0)], false);
    let gone = listings.apply_page(None, &later);
    assert_eq!(gone, ["i-3".into()], "i-2 was there later than that");
    assert_eq!(listings.apply_page(None, &later), none, "reported once");
    assert_eq!(listings.apply_page(None, &page(&[], false)), none);
    let unordered = page(&[("i-9", 90.0), ("i-4", 90.0)], true);
    assert_eq!(listings.apply_page(Some(&"i-5".into()), &unordered), none);
    let last = page(&[("i-4", 20.0)], false);
    assert_eq!(
        listings.apply_page(None, &last),
        ["i-1".into(), "i-2".into()]
    );
}

// Guards against comparing the times of pages that have no machine in common.
#[test]
fn pages_without_a_common_machine_are_not_ordered() {
    let mut listings = Listings::default();
    let none: Vec<MachineId> = Vec::new();
    listings.apply_page(None, &page(&[("i-1", 9.0)], true));
    listings.apply_page(
        Some(&"i-1".into()),
        &page(&[("i-2", 3.0), ("i-3", 3.0)], false),
    );
    let shifted = page(&[("i-1", 30.0), ("i-3", 1.0)], false);
    assert_eq!(
        listings.apply_page(None, &shifted),
        none,
        "i-3 is younger there"
    );
    let later = page(&[("i-3", 9.0)], false);
    assert_eq!(
        listings.apply_page(Some(&"i-1".into()), &later),
        ["i-2".into()]
    );
}
