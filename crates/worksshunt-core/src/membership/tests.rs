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

// Guards against a controller that rejoins because a read older than its member key does not contain the key.
#[test]
fn a_read_older_than_the_member_key_is_ignored() {
    let mut membership = Membership::new("estiba-0".into(), std::iter::empty(), 10_000);
    membership.apply_lease_grant(7);
    assert!(
        membership.next_member_key_write().is_none(),
        "the version of the key is not read yet"
    );
    membership.process_control_keys(Time(10), &listing(4, Vec::new()));
    assert!(membership.next_member_key_write().is_some());
    membership.record_member_key_write(Revision(5));
    let older = membership.process_control_keys(Time(20), &listing(4, Vec::new()));
    assert_eq!(older, MembershipAction::Unchanged);
    let newer = membership.process_control_keys(Time(30), &listing(6, Vec::new()));
    assert_eq!(newer, MembershipAction::MemberKeyMissing);
}
