//! Tests of `seeds`.

use super::*;

#[test]
fn a_range_is_read_and_moved() {
    let range: SeedRange = "3..9".parse().expect("a range");
    assert_eq!(range, SeedRange { from: 3, to: 9 });
    assert_eq!(range.later(10), SeedRange { from: 13, to: 19 });
}

#[test]
fn what_is_no_range_is_refused() {
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
            Err(SeedRangeError::Form),
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
