//! Tests of `sequence_number`: order and display.

use super::*;

#[test]
fn incarnation_takes_precedence_over_number() {
    let old = SequenceNumber::new(Incarnation(1), 900);
    let new = SequenceNumber::new(Incarnation(2), 1);
    assert!(old < new);
    assert!(SequenceNumber::new(Incarnation(1), 899) < old);
    assert!(SequenceNumber::NONE < old && new < SequenceNumber::MAX);
}

#[test]
fn display_shows_incarnation_and_number() {
    assert_eq!(SequenceNumber::new(Incarnation(3), 17).to_string(), "3/17");
}
