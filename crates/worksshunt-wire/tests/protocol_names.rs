//! Compares the table of protocol names in the crate documentation with the serde attributes of each interface.

use std::collections::BTreeMap;

const CRATE_ROOT: &str = include_str!("../src/lib.rs");

/// The Rust column of the table for each protocol name, by interface.
fn protocol_name_table() -> BTreeMap<&'static str, BTreeMap<&'static str, &'static str>> {
    let mut interface = "";
    let mut table: BTreeMap<&str, BTreeMap<&str, &str>> = BTreeMap::new();
    let rows = CRATE_ROOT
        .lines()
        .filter_map(|line| line.strip_prefix("//! | "));
    for row in rows.skip(2) {
        let row = row.strip_suffix(" |").expect("the end of a row");
        let cells: Vec<&str> = row.split(" | ").collect();
        let (protocol_name, rust_names) = match cells[..] {
            [interface_cell, protocol_name, rust_names] => {
                let module = interface_cell.split("([`").nth(1).expect("a module");
                interface = module.split('`').next().expect("a module");
                (protocol_name, rust_names)
            }
            [protocol_name, rust_names] => (protocol_name.trim_start_matches("| "), rust_names),
            _ => panic!("a row of {} cells: {row}", cells.len()),
        };
        let listed = table.entry(interface).or_default();
        let protocol_name = protocol_name.trim_matches('`');
        assert!(
            listed.insert(protocol_name, rust_names).is_none(),
            "{protocol_name} is listed twice"
        );
    }
    table
}

/// Protocol names in the serde attributes of a module, each with the Rust name. Names that differ only in the case of
/// an enum variant are omitted.
fn renames(source: &'static str) -> Vec<(&'static str, &'static str)> {
    let mut renames = Vec::new();
    let mut protocol_name = None;
    for line in source.lines().map(str::trim) {
        if let Some(rest) = line.split("rename = \"").nth(1) {
            protocol_name = rest.split('"').next();
        } else if let (Some(found), false) = (protocol_name, line.starts_with("///")) {
            let name = line.trim_start_matches("pub ");
            let name = name.split([':', ',']).next().expect("a name");
            if !found.eq_ignore_ascii_case(name) || name.starts_with(char::is_lowercase) {
                renames.push((found, name));
            }
            protocol_name = None;
        }
    }
    renames
}

#[test]
fn renamed_fields_and_variants_are_in_the_table() {
    let table = protocol_name_table();
    for (interface, source) in [
        ("user", include_str!("../src/user.rs")),
        ("worker", include_str!("../src/worker.rs")),
        ("key_value", include_str!("../src/key_value.rs")),
        ("cloud", include_str!("../src/cloud.rs")),
        ("settings", include_str!("../src/settings.rs")),
    ] {
        let renames = renames(source);
        assert!(!renames.is_empty(), "{interface}");
        for (protocol_name, rust_name) in renames {
            let listed = table[interface].get(protocol_name);
            let listed =
                listed.unwrap_or_else(|| panic!("{interface}: {protocol_name} is not listed"));
            assert!(
                listed.contains(rust_name),
                "{interface}: {protocol_name} is {rust_name}, not {listed}"
            );
        }
    }
}
