//! Tests of `wait`.

use std::cell::Cell;

use super::*;

#[test]
fn a_condition_that_holds_is_checked_once() {
    let checks = Cell::new(0);
    let condition = || {
        checks.set(checks.get() + 1);
        true
    };
    let took = async_io::block_on(wait_until(Duration::from_secs(60), condition));
    assert!(took.is_some());
    assert_eq!(checks.get(), 1);
}

#[test]
fn a_condition_that_does_not_hold_in_time_ends_without_a_duration() {
    let took = async_io::block_on(wait_until(Duration::from_millis(1), || false));
    assert_eq!(took, None);
    assert_eq!(describe_wait(took), "not in time");
    let took = Some(Duration::from_millis(1_250));
    assert_eq!(describe_wait(took), "1.2 s");
}
