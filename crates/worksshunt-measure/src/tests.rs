//! Tests of the command line.

use super::*;

fn refused(arguments: &[&str]) -> String {
    let all = ["worksshunt-measure"].iter().chain(arguments);
    match Arguments::try_parse_from(all) {
        Ok(_) => panic!("{arguments:?} was taken"),
        Err(error) => one_line(&error),
    }
}

#[test]
fn an_upgrade_needs_its_second_program() {
    assert_eq!(
        refused(&["upgrade", "--folder", "f"]),
        "error: the following required arguments were not provided: --second-program <SECOND_PROGRAM>"
    );
}

#[test]
fn a_number_that_is_none_is_refused_on_one_line() {
    let upgrade = ["upgrade", "--folder", "f", "--second-program", "p"];
    let message = refused(&[&upgrade[..], &["--machines", "x"]].concat());
    assert!(message.starts_with("error: invalid value 'x'"), "{message}");
    assert_eq!(message.lines().count(), 1);
}

#[test]
fn an_upgrade_needs_no_more_than_two_arguments() {
    let taken = Arguments::try_parse_from([
        "worksshunt-measure",
        "upgrade",
        "--second-program",
        "old",
        "--folder",
        "f",
    ]);
    let Ok(Command::Upgrade {
        program, machines, ..
    }) = taken.map(|arguments| arguments.command)
    else {
        panic!("was refused");
    };
    assert_eq!(program, PathBuf::from("target/release/worksshunt"));
    assert!(machines >= upgrade::arguments::MIN_MACHINES);
}

#[test]
fn wrong_arguments_and_failed_stages_have_exit_codes_of_their_own() {
    let usage = MeasureError::from(UsageError::TooFewMachines(1));
    assert_eq!(usage.exit_code(), 2);
    assert_eq!(MeasureError::Stage(3).exit_code(), 1);
}
