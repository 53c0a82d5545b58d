//! Tests of `stage`.

use super::*;

#[test]
fn rollback_repeats_the_stages_with_builds_swapped() {
    let lines: Vec<String> = stages().iter().map(Stage::to_string).collect();
    let expected = [
        "all on the old build",
        "old follower replaced by new",
        "mixed, old leader killed, replaced by new",
        "mixed, new leader killed, restarted as new",
        "last old controller replaced by new",
        "new follower replaced by old",
        "mixed, new leader killed, replaced by old",
        "mixed, old leader killed, restarted as old",
        "last new controller replaced by old",
    ];
    assert_eq!(lines, expected);
}

#[test]
fn excluded_controller_is_not_found() {
    let builds = [Build::Old, Build::New, Build::Old];
    assert_eq!(find_controller(&builds, Build::Old, Some(0)), Some(2));
    assert_eq!(find_controller(&builds, Build::Old, Some(1)), Some(0));
    assert_eq!(find_controller(&builds, Build::New, Some(1)), None);
    assert_eq!(find_controller(&builds, Build::New, None), Some(1));
}
