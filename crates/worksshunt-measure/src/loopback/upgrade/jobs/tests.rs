//! Tests of `jobs`.

use super::*;

#[test]
fn only_a_known_job_that_is_done_is_done() {
    let done = br#"{"Ref":"j-000001","Estado":"done","done":2}"#;
    assert!(is_done_answer(200, done));
    assert!(!is_done_answer(503, done));
    assert!(!is_done_answer(
        200,
        br#"{"Ref":"j-000001","Estado":"running"}"#
    ));
    assert!(!is_done_answer(200, b"done"));
}
