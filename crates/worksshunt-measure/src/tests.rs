//! Tests of the command line.

use super::*;

fn parse_error(arguments: &[&str]) -> String {
    let command_line = ["worksshunt-measure"].iter().chain(arguments);
    match Arguments::try_parse_from(command_line) {
        Ok(_) => panic!("{arguments:?} was accepted"),
        Err(error) => one_line_message(&error),
    }
}

#[test]
fn upgrade_requires_second_program() {
    assert_eq!(
        parse_error(&["upgrade", "--folder", "f"]),
        "error: the following required arguments were not provided: --second-program <SECOND_PROGRAM>"
    );
}

#[test]
fn invalid_number_is_reported_in_one_line() {
    let upgrade = ["upgrade", "--folder", "f", "--second-program", "p"];
    let message = parse_error(&[&upgrade[..], &["--machines", "x"]].concat());
    assert!(message.starts_with("error: invalid value 'x'"), "{message}");
    assert_eq!(message.lines().count(), 1);
}

#[test]
fn upgrade_has_defaults_for_all_other_arguments() {
    let parsed = Arguments::try_parse_from([
        "worksshunt-measure",
        "upgrade",
        "--second-program",
        "old",
        "--folder",
        "f",
    ]);
    let Ok(Command::Upgrade {
        program, machines, ..
    }) = parsed.map(|arguments| arguments.command)
    else {
        panic!("arguments were rejected");
    };
    assert_eq!(program, PathBuf::from("target/release/worksshunt"));
    assert!(machines >= upgrade::arguments::MIN_MACHINES);
}

#[test]
fn invalid_arguments_and_failed_stages_have_different_exit_codes() {
    let usage = MeasureError::from(UsageError::TooFewMachines(1));
    assert_eq!(usage.exit_code(), 2);
    assert_eq!(MeasureError::StageFailed(3).exit_code(), 1);
}
