//! Tests of `sequence_number`: the order of messages and their text in logs.

use super::*;

#[test]
fn the_incarnation_counts_before_the_number() {
    let old = SequenceNumber::new(Incarnation(1), 900);
    let new = SequenceNumber::new(Incarnation(2), 1);
    assert!(old < new);
    assert!(SequenceNumber::new(Incarnation(1), 899) < old);
    assert!(SequenceNumber::NONE < old && new < SequenceNumber::MAX);
}

#[test]
fn logs_show_incarnation_and_number() {
    assert_eq!(SequenceNumber::new(Incarnation(3), 17).to_string(), "3/17");
}
