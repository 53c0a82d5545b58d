//! Tests of `membership`.

use worksshunt_wire::key_value::{KeyValue, Listing};

use super::*;

fn listing(revision: u64, pairs: Vec<KeyValue>) -> Listing {
    Listing {
        pairs,
        has_more: false,
        revision: Revision(revision),
    }
}

// Guards against a controller that leaves because a read that was in flight while its member key was written does
// not show the key.
#[test]
fn a_read_from_before_the_member_key_does_not_show_it_gone() {
    let mut membership = Membership::new("estiba-0".into(), std::iter::empty(), 10_000);
    membership.lease_granted(7);
    assert!(
        membership.member_key_write().is_none(),
        "its version is not known"
    );
    membership.process_control_keys(Time(10), &listing(4, Vec::new()));
    assert!(membership.member_key_write().is_some());
    membership.member_key_written(Revision(5));
    let early = membership.process_control_keys(Time(20), &listing(4, Vec::new()));
    assert_eq!(early, MembershipAction::Unchanged);
    let gone = membership.process_control_keys(Time(30), &listing(6, Vec::new()));
    assert_eq!(gone, MembershipAction::MemberKeyGone);
}
