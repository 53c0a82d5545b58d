//! Tests of `arguments`.

use super::*;

fn programs(new: &str, old: &str) -> Programs {
    Programs {
        new: new.into(),
        old: old.into(),
    }
}

#[test]
fn two_programs_and_enough_machines_are_right() {
    assert_eq!(check(&programs("/bin/sh", "/bin/sh"), MIN_MACHINES), Ok(()));
}

#[test]
fn what_is_not_a_program_is_refused() {
    let refused = |path: &str| Err(UsageError::NotAProgram(path.into()));
    let missing = programs("/bin/sh", "/no/such");
    assert_eq!(check(&missing, MIN_MACHINES), refused("/no/such"));
    let folder = programs("/bin", "/bin/sh");
    assert_eq!(check(&folder, MIN_MACHINES), refused("/bin"));
    let text = programs(
        concat!(env!("CARGO_MANIFEST_DIR"), "/Cargo.toml"),
        "/bin/sh",
    );
    let found = check(&text, MIN_MACHINES);
    assert!(matches!(found, Err(UsageError::NotAProgram(_))));
}

#[test]
fn too_few_machines_are_refused_on_one_line() {
    let few = check(&programs("/bin/sh", "/bin/sh"), MIN_MACHINES - 1);
    let message = few.map_err(|error| error.to_string());
    let expected = "49 machines are too few: at least 50";
    assert_eq!(message, Err(expected.to_owned()));
}
