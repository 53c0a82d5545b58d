//! Tests of the detection of terminated machines in machine lists.

use super::*;

/// A page of the machine list, from names and ages in seconds.
fn page(machines: &[(&str, f64)], has_more: bool) -> MachineList {
    let machine = |(id, age_s): &(&str, f64)| {
        serde_json::json!({"Ref": id, "Modelo": "m4", "Patio": "a", "Prestados": true,
            "Estado": "running", "AgeS": age_s})
    };
    let machines: Vec<_> = machines.iter().map(machine).collect();
    serde_json::from_value(serde_json::json!({"Estibas": machines, "More": has_more}))
        .expect("a page")
}

// Guards against treating a machine as terminated because an older list or another page does not list it.
#[test]
fn only_a_later_page_proves_termination() {
    let mut listings = Listings::default();
    let none: Vec<MachineId> = Vec::new();
    let first = page(&[("i-1", 50.0), ("i-2", 50.0), ("i-3", 4.0)], false);
    assert_eq!(listings.apply_page(None, &first), none);
    let older = page(&[("i-1", 44.0), ("i-2", 44.0)], false);
    assert_eq!(
        listings.apply_page(None, &older),
        none,
        "the older page precedes the machine"
    );
    let partial = page(&[("i-1", 60.0), ("i-2", 60.0)], true);
    assert_eq!(
        listings.apply_page(None, &partial),
        none,
        "the machine may be on the next page"
    );
    let later = page(&[("i-1", 56.0), ("i-4", 2.0)], false);
    let terminated = listings.apply_page(None, &later);
    assert_eq!(terminated, ["i-3".into()], "i-2 was listed by a later page");
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

// Guards against ordering pages that have no machine in common.
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
        "the age of i-3 shows an earlier page"
    );
    let later = page(&[("i-3", 9.0)], false);
    assert_eq!(
        listings.apply_page(Some(&"i-1".into()), &later),
        ["i-2".into()]
    );
}
