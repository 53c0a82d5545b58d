//! Tests of `membership`.

use serde_json::{json, Value};
use worksshunt_wire::key_value::{Change, KeyValue, Listing};
use worksshunt_wire::FencingToken;

use crate::constants::leases::FENCING_TOKENS_PER_EPOCH;

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

/// The epoch that controller `estiba-0` proposes when the store holds its own member key, that of `estiba-1` with these
/// fields, and an epoch of a leader that has left.
fn proposed_epoch(other_member: Value) -> EpochRecord {
    let mut membership = Membership::new("estiba-0".into(), std::iter::empty(), 10_000);
    membership.apply_lease_grant(7);
    membership.process_control_keys(Time(10), &listing(4, Vec::new()));
    let write = membership.next_member_key_write().expect("a member key");
    membership.record_member_key_write(Revision(5));
    let Some(Change::Put { value, .. }) = write.changes.into_iter().next() else {
        panic!("not a member key");
    };
    let pair = |key: &str, value: Value| KeyValue {
        key: key.to_owned(),
        value,
        version: Revision(5),
    };
    let former_leader = json!({"name": "estiba-2", "hold": 2});
    let epoch = json!({"number": 40, "leader": former_leader, "members": [former_leader]});
    let pairs = vec![
        pair("c/epoch", epoch),
        pair("c/n/estiba-0", value),
        pair("c/n/estiba-1", other_member),
    ];
    membership.process_control_keys(Time(20), &listing(6, pairs.clone()));
    let action = membership.process_control_keys(Time(30), &listing(6, pairs));
    let MembershipAction::Propose(write) = action else {
        panic!("no epoch is proposed: {action:?}");
    };
    match write.changes.into_iter().next() {
        Some(Change::Put { value, .. }) => serde_json::from_value(value).expect("an epoch"),
        other => panic!("not an epoch: {other:?}"),
    }
}

// Guards against a member of an earlier version that takes the epoch before for one that it has missed.
#[test]
fn an_epoch_has_several_tokens_only_if_every_member_supports_them() {
    let supporting = proposed_epoch(json!({"hold": 8, "reached": true, "token_range": true}));
    let tokens = supporting.fencing_tokens();
    assert_eq!(tokens.first, FencingToken(41));
    assert_eq!(tokens.last, FencingToken(40 + FENCING_TOKENS_PER_EPOCH));
    assert_eq!(supporting.previous_number(), Epoch(40));
    let earlier = proposed_epoch(json!({"hold": 8, "reached": true, "standing": true}));
    assert_eq!(earlier.number, Epoch(41));
    assert_eq!(earlier.first_token, None);
    assert_eq!(earlier.previous_number(), Epoch(40));
}
