//! Tests of `key_value_store`.

use serde_json::json;

use super::*;

#[test]
fn the_leader_is_read_whatever_else_a_version_writes() {
    let epoch = json!({"number": 7, "leader": {"name": "n1", "lease": 3}, "members": []});
    assert_eq!(leader_of(&epoch), Some("n1".to_owned()));
    assert_eq!(leader_of(&json!({"number": 7})), None);
    assert_eq!(leader_of(&json!({"leader": {"name": 1}})), None);
}

#[test]
fn a_store_without_an_epoch_names_no_leader() {
    assert_eq!(KeyValueStore::new().leader(), None);
}
