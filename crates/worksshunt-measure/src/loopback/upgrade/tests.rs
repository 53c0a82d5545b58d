//! Tests of `upgrade`: its arguments and the order of its stages, without processes.

use super::*;

fn programs(new: &str, old: &str) -> Programs {
    Programs {
        new: new.into(),
        old: old.into(),
    }
}

#[test]
fn two_programs_and_enough_machines_are_right() {
    assert_eq!(
        check(&programs("/bin/sh", "/bin/sh"), LEAST_MACHINES),
        Ok(())
    );
}

#[test]
fn what_is_not_a_program_is_refused() {
    let refused = |path: &str| Err(UsageError::NotAProgram(path.into()));
    let missing = programs("/bin/sh", "/no/such");
    assert_eq!(check(&missing, LEAST_MACHINES), refused("/no/such"));
    let folder = programs("/bin", "/bin/sh");
    assert_eq!(check(&folder, LEAST_MACHINES), refused("/bin"));
    let text = programs(
        concat!(env!("CARGO_MANIFEST_DIR"), "/Cargo.toml"),
        "/bin/sh",
    );
    let found = check(&text, LEAST_MACHINES);
    assert!(matches!(found, Err(UsageError::NotAProgram(_))));
}

#[test]
fn too_few_machines_are_refused_on_one_line() {
    let few = check(&programs("/bin/sh", "/bin/sh"), LEAST_MACHINES - 1);
    let told = few.map_err(|error| error.to_string());
    let expected = "49 machines are too few: at least 50";
    assert_eq!(told, Err(expected.to_owned()));
}

#[test]
fn the_upgrade_is_followed_by_the_same_stages_backwards() {
    let told: Vec<String> = stages().iter().map(Stage::to_string).collect();
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
    assert_eq!(told, expected);
}

#[test]
fn a_follower_is_not_the_leader() {
    let builds = [Build::Old, Build::New, Build::Old];
    assert_eq!(one_of(&builds, Build::Old, Some(0)), Some(2));
    assert_eq!(one_of(&builds, Build::Old, Some(1)), Some(0));
    assert_eq!(one_of(&builds, Build::New, Some(1)), None);
    assert_eq!(one_of(&builds, Build::New, None), Some(1));
}

#[test]
fn only_a_known_job_that_is_done_is_done() {
    let done = br#"{"Ref":"j-000001","Estado":"done","done":2}"#;
    assert!(says_done(200, done));
    assert!(!says_done(503, done));
    assert!(!says_done(200, br#"{"Ref":"j-000001","Estado":"running"}"#));
    assert!(!says_done(200, b"done"));
}
