//! Requests that no route serves.

use crate::controller::{fixed, retry, start};
use crate::stand_ins::unreachable_store;

#[test]
fn requests_that_fit_no_route_are_refused() {
    let controller = start(unreachable_store);
    let no_path = fixed("HTTP/1.1 404 Not Found", r#"{"error":"no such path"}"#);
    for line in [
        "GET /",
        "GET /nothing",
        "GET /v2",
        "POST /v2/runs/j-000412/x",
    ] {
        assert_eq!(controller.answer(line, ""), no_path, "{line}");
    }
    let wrong_method = fixed(
        "HTTP/1.1 405 Method Not Allowed",
        r#"{"error":"wrong method"}"#,
    );
    for line in [
        "POST /healthz",
        "GET /checkin",
        "GET /v2/runs",
        "POST /v2/runs/j-000412",
        "GET /v2/runs/j-000412/withdraw",
        "PUT /v2/runs",
    ] {
        assert_eq!(controller.answer(line, ""), wrong_method, "{line}");
    }
    let over = "x".repeat(64 * 1024 + 1);
    let too_long = fixed(
        "HTTP/1.1 400 Bad Request",
        r#"{"error":"body over 64 KiB"}"#,
    );
    assert_eq!(controller.answer("POST /v2/runs", &over), too_long);
    // The query is not looked at.
    assert_eq!(
        controller.answer("GET /healthz?x=1", ""),
        retry(r#"{"error":"not ready"}"#)
    );
}
