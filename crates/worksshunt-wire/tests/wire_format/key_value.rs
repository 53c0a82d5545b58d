//! Encoding of messages of the key-value store.

use serde_json::json;
use worksshunt_wire::key_value::{
    Change, CompareAndSwap, Conflict, ExpectedRevision, KeyValue, Lease, LeaseRequest, Listing,
    StoreRevision, WatchEvent, WatchResponse,
};
use worksshunt_wire::Revision;

use crate::fixtures::Fixtures;

fn transaction() -> CompareAndSwap {
    let put = |lease_id| Change::Put {
        key: "c/n/n0".into(),
        value: json!([1, "x"]),
        lease_id,
    };
    CompareAndSwap {
        expected: vec![ExpectedRevision {
            key: "c/epoch".into(),
            version: Revision(13),
        }],
        changes: vec![
            put(Some(9)),
            put(None),
            Change::Delete {
                key: "k/i-000003".into(),
            },
        ],
    }
}

fn compare_watch_responses(fixtures: &mut Fixtures) {
    let changes = WatchResponse {
        revision: Revision(80),
        events: vec![
            WatchEvent::Put {
                key: "j/j-000007".into(),
                value: json!({ "at": 6 }),
                version: Revision(79),
            },
            WatchEvent::Delete {
                key: "j/j-000008".into(),
                version: Revision(80),
            },
        ],
    };
    fixtures.assert_round_trip("changes", changes);
    let nothing = WatchResponse {
        revision: Revision(78),
        events: Vec::new(),
    };
    fixtures.assert_decodes("changes, fields absent", nothing);
}

#[test]
fn key_value_messages_match_fixtures() {
    let mut fixtures = Fixtures::json(include_str!("../fixtures/key_value.json"));
    let listing = |has_more| Listing {
        pairs: vec![KeyValue {
            key: "j/j-000412".into(),
            value: json!({ "at": 5 }),
            version: Revision(31),
        }],
        has_more,
        revision: Revision(77),
    };
    fixtures.assert_round_trip("pair", listing(true).pairs.remove(0));
    fixtures.assert_round_trip("listing", listing(true));
    fixtures.assert_decodes("listing, fields absent", listing(false));
    fixtures.assert_round_trip("transaction", transaction());
    let revision = Revision(78);
    fixtures.assert_round_trip("at revision", StoreRevision { revision });
    let failed_keys = vec!["c/epoch".into(), "d/4".into()];
    fixtures.assert_round_trip("conflict", Conflict { failed_keys });
    fixtures.assert_round_trip("lease request", LeaseRequest { ttl_ms: 6_000 });
    fixtures.assert_round_trip("lease", Lease { id: 19 });
    compare_watch_responses(&mut fixtures);
    fixtures.assert_all_compared();
}
