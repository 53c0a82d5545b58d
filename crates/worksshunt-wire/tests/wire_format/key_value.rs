//! Messages of the key-value store.

use serde_json::json;
use worksshunt_wire::key_value::{
    Change, CompareAndSwap, Conflict, ExpectedRevision, KeyValue, Lease, LeaseRequest, Listing,
    StoreRevision, WatchEvent, WatchResponse,
};
use worksshunt_wire::Revision;

use crate::fixtures::Fixtures;

fn transaction() -> CompareAndSwap {
    let put = |lease| Change::Put {
        key: "c/n/n0".into(),
        value: json!([1, "x"]),
        lease_id: lease,
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
    fixtures.same("changes", changes);
    let nothing = WatchResponse {
        revision: Revision(78),
        events: Vec::new(),
    };
    fixtures.reads("changes, fields absent", nothing);
}

#[test]
fn key_value_messages_keep_their_bytes() {
    let mut fixtures = Fixtures::json(include_str!("../fixtures/key_value.json"));
    let listing = |more| Listing {
        pairs: vec![KeyValue {
            key: "j/j-000412".into(),
            value: json!({ "at": 5 }),
            version: Revision(31),
        }],
        has_more: more,
        revision: Revision(77),
    };
    fixtures.same("pair", listing(true).pairs.remove(0));
    fixtures.same("listing", listing(true));
    fixtures.reads("listing, fields absent", listing(false));
    fixtures.same("transaction", transaction());
    let revision = Revision(78);
    fixtures.same("at revision", StoreRevision { revision });
    let failed = vec!["c/epoch".into(), "d/4".into()];
    fixtures.same(
        "conflict",
        Conflict {
            failed_keys: failed,
        },
    );
    fixtures.same("lease request", LeaseRequest { ttl_ms: 6_000 });
    fixtures.same("lease", Lease { id: 19 });
    compare_watch_responses(&mut fixtures);
    fixtures.all_compared();
}
