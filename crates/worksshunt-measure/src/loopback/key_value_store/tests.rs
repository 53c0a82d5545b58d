//! Tests of `key_value_store`.

use serde_json::json;
use worksshunt_wire::key_value::Change;

use super::*;

#[test]
fn the_leader_is_read_whatever_else_a_version_writes() {
    let epoch = json!({"number": 7, "leader": {"name": "n1", "lease": 3}, "members": []});
    assert_eq!(leader_of(&epoch), Some("n1".to_owned()));
    assert_eq!(leader_of(&json!({"number": 7})), None);
    assert_eq!(leader_of(&json!({"leader": {"name": 1}})), None);
}

#[test]
fn a_store_without_an_epoch_names_no_leader_and_no_members() {
    assert_eq!(KeyValueStore::new().leader(), None);
    assert!(KeyValueStore::new().members().is_empty());
}

#[test]
fn the_members_are_read_whatever_else_a_version_writes() {
    let epoch = json!({
        "number": 7,
        "members": [{"name": "n1", "hold": 3}, {"name": "n2", "other": []}, {"hold": 4}, 5],
    });
    assert_eq!(members_of(&epoch), ["n1", "n2"]);
    assert!(members_of(&json!({"number": 7})).is_empty());
    assert!(members_of(&json!({"members": {"name": "n1"}})).is_empty());
}

#[test]
fn leader_and_members_are_those_of_the_stored_epoch() {
    let store = KeyValueStore::new();
    let epoch = json!({"leader": {"name": "n2"}, "members": [{"name": "n0"}, {"name": "n2"}]});
    let change = Change::Put {
        key: EPOCH_KEY.to_owned(),
        value: epoch,
        lease_id: None,
    };
    let request = CompareAndSwap {
        expected: vec![],
        changes: vec![change],
    };
    let committed = store.apply(&KvRequest::CompareAndSwap(request));
    assert!(matches!(committed, KvResponse::Committed(_)));
    assert_eq!(store.leader(), Some("n2".to_owned()));
    assert_eq!(store.members(), ["n0", "n2"]);
}
