//! Tests of `key_value_store`.

use serde_json::json;
use worksshunt_wire::key_value::Change;

use super::*;

#[test]
fn leader_is_read_from_any_version_of_the_epoch() {
    let epoch = json!({"number": 7, "leader": {"name": "n1", "lease": 3}, "members": []});
    assert_eq!(leader_name(&epoch), Some("n1".to_owned()));
    assert_eq!(leader_name(&json!({"number": 7})), None);
    assert_eq!(leader_name(&json!({"leader": {"name": 1}})), None);
}

#[test]
fn store_without_epoch_has_no_leader_or_members() {
    assert_eq!(KeyValueStore::new().leader(), None);
    assert!(KeyValueStore::new().members().is_empty());
}

#[test]
fn members_are_read_from_any_version_of_the_epoch() {
    let epoch = json!({
        "number": 7,
        "members": [{"name": "n1", "hold": 3}, {"name": "n2", "other": []}, {"hold": 4}, 5],
    });
    assert_eq!(member_names(&epoch), ["n1", "n2"]);
    assert!(member_names(&json!({"number": 7})).is_empty());
    assert!(member_names(&json!({"members": {"name": "n1"}})).is_empty());
}

#[test]
fn leader_and_members_are_read_from_the_stored_epoch() {
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
