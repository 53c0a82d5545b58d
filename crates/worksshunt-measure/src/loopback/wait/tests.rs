//! Tests of `wait`.

use std::cell::Cell;

use super::*;

#[test]
fn condition_that_holds_is_checked_once() {
    let checks = Cell::new(0);
    let condition = || {
        checks.set(checks.get() + 1);
        true
    };
    let duration = async_io::block_on(wait_until(Duration::from_secs(60), condition));
    assert!(duration.is_some());
    assert_eq!(checks.get(), 1);
}

#[test]
fn timeout_returns_no_duration() {
    let duration = async_io::block_on(wait_until(Duration::from_millis(1), || false));
    assert_eq!(duration, None);
    assert_eq!(describe_wait(duration), "not in time");
    let duration = Some(Duration::from_millis(1_250));
    assert_eq!(describe_wait(duration), "1.2 s");
}
