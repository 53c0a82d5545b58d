//! Tests of `seeds`.

use super::*;

#[test]
fn range_is_parsed_and_shifted() {
    let range: SeedRange = "3..9".parse().expect("a range");
    assert_eq!(range, SeedRange { from: 3, to: 9 });
    assert_eq!(range.shifted(10), SeedRange { from: 13, to: 19 });
}

#[test]
fn invalid_and_empty_ranges_are_rejected() {
    for text in [
        "",
        "5",
        "..",
        "1..",
        "..4",
        "a..b",
        "1...4",
        "-1..4",
        "1..4.0",
        "1..99999999999",
    ] {
        assert_eq!(
            text.parse::<SeedRange>(),
            Err(SeedRangeError::InvalidFormat),
            "{text}"
        );
    }
    for text in ["4..4", "5..4"] {
        assert_eq!(
            text.parse::<SeedRange>(),
            Err(SeedRangeError::Empty),
            "{text}"
        );
    }
}
