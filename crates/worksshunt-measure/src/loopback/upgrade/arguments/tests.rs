//! Tests of `arguments`.

use super::*;

fn programs(new: &str, old: &str) -> Programs {
    Programs {
        new: new.into(),
        old: old.into(),
    }
}

#[test]
fn two_programs_and_enough_machines_are_valid() {
    assert_eq!(check(&programs("/bin/sh", "/bin/sh"), MIN_MACHINES), Ok(()));
}

#[test]
fn path_that_is_not_executable_is_rejected() {
    let not_executable = |path: &str| Err(UsageError::NotExecutable(path.into()));
    let missing = programs("/bin/sh", "/no/such");
    assert_eq!(check(&missing, MIN_MACHINES), not_executable("/no/such"));
    let folder = programs("/bin", "/bin/sh");
    assert_eq!(check(&folder, MIN_MACHINES), not_executable("/bin"));
    let text = programs(
        concat!(env!("CARGO_MANIFEST_DIR"), "/Cargo.toml"),
        "/bin/sh",
    );
    let result = check(&text, MIN_MACHINES);
    assert!(matches!(result, Err(UsageError::NotExecutable(_))));
}

#[test]
fn too_few_machines_are_rejected_in_one_line() {
    let result = check(&programs("/bin/sh", "/bin/sh"), MIN_MACHINES - 1);
    let message = result.map_err(|error| error.to_string());
    let expected = "49 machines are too few: at least 50";
    assert_eq!(message, Err(expected.to_owned()));
}
