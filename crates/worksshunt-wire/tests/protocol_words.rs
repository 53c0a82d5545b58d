//! Compares the table of protocol names in the crate documentation with the serde attributes of each interface.

use std::collections::BTreeMap;

const CRATE_ROOT: &str = include_str!("../src/lib.rs");

/// The Rust column of the table for each protocol name, by interface.
fn table() -> BTreeMap<&'static str, BTreeMap<&'static str, &'static str>> {
    let mut interface = "";
    let mut words: BTreeMap<&str, BTreeMap<&str, &str>> = BTreeMap::new();
    let rows = CRATE_ROOT
        .lines()
        .filter_map(|line| line.strip_prefix("//! | "));
    for row in rows.skip(2) {
        let row = row.strip_suffix(" |").expect("the end of a row");
        let cells: Vec<&str> = row.split(" | ").collect();
        let (word, rust) = match cells[..] {
            [name, word, rust] => {
                let module = name.split("([`").nth(1).expect("a module");
                interface = module.split('`').next().expect("a module");
                (word, rust)
            }
            [word, rust] => (word.trim_start_matches("| "), rust),
            _ => panic!("a row of {} cells: {row}", cells.len()),
        };
        let listed = words.entry(interface).or_default();
        let word = word.trim_matches('`');
        assert!(
            listed.insert(word, rust).is_none(),
            "{word} is listed twice"
        );
    }
    words
}

/// Protocol names in the serde attributes of a module, each with the Rust name. Names that differ only in the case of
/// an enum variant are omitted.
fn renames(source: &'static str) -> Vec<(&'static str, &'static str)> {
    let mut renames = Vec::new();
    let mut word = None;
    for line in source.lines().map(str::trim) {
        if let Some(rest) = line.split("rename = \"").nth(1) {
            word = rest.split('"').next();
        } else if let (Some(found), false) = (word, line.starts_with("///")) {
            let name = line.trim_start_matches("pub ");
            let name = name.split([':', ',']).next().expect("a name");
            if !found.eq_ignore_ascii_case(name) || name.starts_with(char::is_lowercase) {
                renames.push((found, name));
            }
            word = None;
        }
    }
    renames
}

#[test]
fn renamed_fields_and_variants_are_in_the_table() {
    let table = table();
    for (interface, source) in [
        ("user", include_str!("../src/user.rs")),
        ("worker", include_str!("../src/worker.rs")),
        ("key_value", include_str!("../src/key_value.rs")),
        ("cloud", include_str!("../src/cloud.rs")),
        ("settings", include_str!("../src/settings.rs")),
    ] {
        let renames = renames(source);
        assert!(!renames.is_empty(), "{interface}");
        for (word, name) in renames {
            let listed = table[interface].get(word);
            let listed = listed.unwrap_or_else(|| panic!("{interface}: {word} is not listed"));
            assert!(
                listed.contains(name),
                "{interface}: {word} is {name}, not {listed}"
            );
        }
    }
}
