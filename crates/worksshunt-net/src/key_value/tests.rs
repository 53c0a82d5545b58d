//! Tests of `key_value`: the bytes of each request, the outcome of each response, paging of listings.

use worksshunt_core::job_api::HttpResponse;
use worksshunt_wire::key_value::{Change, ExpectedRevision, WatchEvent, WatchResponse};
use worksshunt_wire::Revision;

use super::*;
use crate::test_server::{with_exchanges, with_response, Exchange, TIMEOUT};

/// The outcome of a request that is sent with these exchanges.
fn outcome(request: KvRequest, exchanges: &[Exchange]) -> KvResponse {
    with_exchanges(exchanges, |address| async move {
        call(&HttpClient::new(address, 1), request, TIMEOUT).await
    })
}

#[test]
fn lease_is_granted_and_renewed() {
    let grant = |status, body| {
        let sent = r#"{"TtlMs":4000}"#;
        let exchange = Exchange::new("POST /holds HTTP/1.1", sent, status, body);
        outcome(KvRequest::GrantLease, &[exchange])
    };
    assert_eq!(
        grant(200, r#"{"Permiso":19}"#),
        KvResponse::LeaseGranted(19)
    );
    assert_eq!(grant(200, "{}"), KvResponse::OutcomeUnknown);
    assert_eq!(grant(404, "{}"), KvResponse::OutcomeUnknown);
    let renew = |status| {
        let exchange = Exchange::new("POST /holds/19/renew HTTP/1.1", "", status, "{}");
        outcome(KvRequest::RenewLease(19), &[exchange])
    };
    assert_eq!(renew(200), KvResponse::LeaseRenewed);
    assert_eq!(renew(404), KvResponse::NoSuchLease);
    assert_eq!(renew(400), KvResponse::OutcomeUnknown);
}

#[test]
fn key_is_read() {
    let get = |status, body| {
        let exchange = Exchange::new("GET /kv/c/epoch HTTP/1.1", "", status, body);
        outcome(KvRequest::Get("c/epoch".to_owned()), &[exchange])
    };
    let pair = KeyValue {
        key: "c/epoch".to_owned(),
        value: serde_json::json!([5]),
        version: Revision(31),
    };
    assert_eq!(
        get(200, r#"{"K":"c/epoch","V":[5],"Sello":31}"#),
        KvResponse::Found(pair)
    );
    assert_eq!(get(404, r#"{"Corte":77}"#), KvResponse::Missing);
    assert_eq!(get(404, "no such path"), KvResponse::OutcomeUnknown);
    assert_eq!(get(410, r#"{"Corte":77}"#), KvResponse::OutcomeUnknown);
}

#[test]
fn listing_has_the_revision_of_its_first_page() {
    let pair = |key: &str| KeyValue {
        key: key.to_owned(),
        value: serde_json::json!(1),
        version: Revision(3),
    };
    let listing = outcome(
        KvRequest::List("j/".to_owned()),
        &[
            Exchange::new(
                "GET /kv?Starts=j/&Most=1000 HTTP/1.1",
                "",
                200,
                r#"{"Pairs":[{"K":"j/a","V":1,"Sello":3},{"K":"j/b","V":1,"Sello":3}],"More":true,"Corte":7}"#,
            ),
            Exchange::new(
                "GET /kv?Starts=j/&Since=j/b&Most=1000 HTTP/1.1",
                "",
                200,
                r#"{"Pairs":[{"K":"j/c","V":1,"Sello":3}],"Corte":9}"#,
            ),
        ],
    );
    let expected = Listing {
        pairs: vec![pair("j/a"), pair("j/b"), pair("j/c")],
        has_more: false,
        revision: Revision(7),
    };
    assert_eq!(listing, KvResponse::Listing(expected));
}

#[test]
fn listing_ends_at_an_empty_page_and_fails_on_an_error() {
    let list = |status, body| {
        let exchange = Exchange::new("GET /kv?Starts=j/&Most=1000 HTTP/1.1", "", status, body);
        outcome(KvRequest::List("j/".to_owned()), &[exchange])
    };
    let empty = Listing {
        pairs: Vec::new(),
        has_more: false,
        revision: Revision(7),
    };
    // Guards against an endless loop: an empty page ends the listing even if it says `More`.
    assert_eq!(
        list(200, r#"{"Pairs":[],"More":true,"Corte":7}"#),
        KvResponse::Listing(empty)
    );
    assert_eq!(list(200, "[]"), KvResponse::OutcomeUnknown);
    assert_eq!(list(503, "{}"), KvResponse::Refused);
}

fn transaction() -> CompareAndSwap {
    CompareAndSwap {
        expected: vec![ExpectedRevision {
            key: "c/epoch".to_owned(),
            version: Revision(13),
        }],
        changes: vec![
            Change::Put {
                key: "c/n/n0".to_owned(),
                value: serde_json::json!([1]),
                lease_id: Some(9),
            },
            Change::Delete {
                key: "k/i-000003".to_owned(),
            },
        ],
    }
}

#[test]
fn transaction_outcomes_are_distinguished() {
    let transaction = transaction();
    let sent = r#"{"If":[{"K":"c/epoch","Sello":13}],"Then":[{"Permiso":9,"Set":"c/n/n0","V":[1]},{"Remove":"k/i-000003"}]}"#;
    let commit = |status, body| {
        let request = KvRequest::CompareAndSwap(transaction.clone());
        outcome(
            request,
            &[Exchange::new("POST /txn HTTP/1.1", sent, status, body)],
        )
    };
    assert_eq!(
        commit(200, r#"{"Corte":78}"#),
        KvResponse::Committed(Revision(78))
    );
    assert_eq!(
        commit(409, r#"{"failed":["c/epoch"]}"#),
        KvResponse::Conflict(vec!["c/epoch".to_owned()])
    );
    assert_eq!(
        commit(400, r#"{"error":"no such lease"}"#),
        KvResponse::NoSuchLease
    );
    assert_eq!(
        commit(400, r#"{"error":"too many changes"}"#),
        KvResponse::TooLarge
    );
    assert_eq!(commit(429, "{}"), KvResponse::Refused);
    assert_eq!(commit(503, "{}"), KvResponse::Refused);
    assert_eq!(commit(500, "{}"), KvResponse::OutcomeUnknown);
    assert_eq!(commit(200, "{}"), KvResponse::OutcomeUnknown);
    assert_eq!(commit(409, "{}"), KvResponse::OutcomeUnknown);
}

#[test]
fn watch_returns_changes() {
    let watch = |status, body| {
        let line = "GET /follow?Starts=j/&Since=77&WaitMs=2500 HTTP/1.1";
        let request = KvRequest::Watch {
            prefix: "j/".to_owned(),
            since: Revision(77),
            wait_ms: 2_500,
        };
        outcome(request, &[Exchange::new(line, "", status, body)])
    };
    let deletion = WatchResponse {
        revision: Revision(80),
        events: vec![WatchEvent::Delete {
            key: "j/a".to_owned(),
            version: Revision(80),
        }],
    };
    assert_eq!(
        watch(
            200,
            r#"{"Corte":80,"Events":[{"Remove":"j/a","Sello":80}]}"#
        ),
        KvResponse::WatchResponse(deletion)
    );
    assert_eq!(watch(410, "{}"), KvResponse::RevisionCompacted);
    assert_eq!(watch(429, "{}"), KvResponse::Refused);
    assert_eq!(watch(404, "{}"), KvResponse::OutcomeUnknown);
}

#[test]
fn unsent_request_differs_from_unanswered_request() {
    let port = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = port.local_addr().expect("an address");
    drop(port);
    let client = HttpClient::new(address, 1);
    let call = call(&client, KvRequest::GrantLease, TIMEOUT);
    assert_eq!(async_io::block_on(call), KvResponse::Refused);
    assert_eq!(
        outcome(KvRequest::RenewLease(1), &[]),
        KvResponse::OutcomeUnknown,
        "the connection was closed without a response"
    );
}

/// The response to a list request with a single page of `keys` keys.
fn list_single_page(keys: usize) -> KvResponse {
    let pair = |n: usize| KeyValue {
        key: format!("a/{n:06}"),
        value: serde_json::json!(n),
        version: Revision(1),
    };
    let page = Listing {
        pairs: (0..keys).map(pair).collect(),
        has_more: false,
        revision: Revision(7),
    };
    with_response(HttpResponse::json(200, &page), |client| async move {
        call(&client, KvRequest::List("a/".to_owned()), TIMEOUT).await
    })
}

#[test]
fn page_beyond_the_requested_size_is_rejected() {
    let KvResponse::Listing(listing) = list_single_page(KV_LIST_PAGE_KEYS) else {
        panic!("a page of the requested size was rejected");
    };
    assert_eq!(
        (listing.pairs.len(), listing.revision),
        (KV_LIST_PAGE_KEYS, Revision(7))
    );
    assert_eq!(
        list_single_page(KV_LIST_PAGE_KEYS + 1),
        KvResponse::OutcomeUnknown
    );
}
