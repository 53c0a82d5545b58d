//! Tests of `jobs`.

use super::*;

#[test]
fn only_status_200_with_state_done_is_done() {
    let done = br#"{"Ref":"j-000001","Estado":"done","done":2}"#;
    assert!(is_done_response(200, done));
    assert!(!is_done_response(503, done));
    assert!(!is_done_response(
        200,
        br#"{"Ref":"j-000001","Estado":"running"}"#
    ));
    assert!(!is_done_response(200, b"done"));
}
