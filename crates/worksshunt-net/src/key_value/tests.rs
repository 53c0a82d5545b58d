//! Tests of `state`: pages of keys.

use worksshunt_core::job_api::HttpResponse;
use worksshunt_wire::Revision;

use super::*;
use crate::test_server::{with_answer, DEADLINE};

/// What comes of a list whose only page has so many keys.
fn listed(keys: usize) -> KvResponse {
    let pair = |n: usize| KeyValue {
        key: format!("a/{n:06}"),
        value: serde_json::json!(n),
        version: Revision(1),
    };
    let page = Listing {
        pairs: (0..keys).map(pair).collect(),
        more: false,
        revision: Revision(7),
    };
    with_answer(HttpResponse::json(200, &page), |client| async move {
        call(&client, KvRequest::List("a/".to_owned()), DEADLINE).await
    })
}

#[test]
fn a_page_is_taken_up_to_its_limit_and_refused_beyond_it() {
    let KvResponse::Listing(listing) = listed(KV_LIST_PAGE_KEYS) else {
        panic!("the longest page was refused");
    };
    assert_eq!(
        (listing.pairs.len(), listing.revision),
        (KV_LIST_PAGE_KEYS, Revision(7))
    );
    assert_eq!(listed(KV_LIST_PAGE_KEYS + 1), KvResponse::NoAnswer);
}
