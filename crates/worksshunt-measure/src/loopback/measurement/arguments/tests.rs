//! Tests of `arguments`.

use super::*;

#[test]
fn too_few_sockets_are_rejected_in_one_line() {
    assert_eq!(check_sockets(64), Ok(()));
    let message = check_sockets(63).map_err(|error| error.to_string());
    let expected =
        "63 sockets of a controller are too few: at least 64, by default those of 22 machines";
    assert_eq!(message, Err(expected.to_owned()));
}
