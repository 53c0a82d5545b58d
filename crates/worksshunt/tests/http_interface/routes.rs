//! Tests of requests without a route.

use crate::controller::{response_without_retry, retry_later_response, start};
use crate::fake_services::unreachable_store;

#[test]
fn requests_without_a_route_are_rejected() {
    let controller = start(unreachable_store);
    let no_path = response_without_retry("HTTP/1.1 404 Not Found", r#"{"error":"no such path"}"#);
    for line in [
        "GET /",
        "GET /nothing",
        "GET /v2",
        "POST /v2/runs/j-000412/x",
    ] {
        assert_eq!(controller.request(line, ""), no_path, "{line}");
    }
    let wrong_method = response_without_retry(
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
        assert_eq!(controller.request(line, ""), wrong_method, "{line}");
    }
    let oversized_body = "x".repeat(64 * 1024 + 1);
    let too_long = response_without_retry(
        "HTTP/1.1 400 Bad Request",
        r#"{"error":"body over 64 KiB"}"#,
    );
    assert_eq!(
        controller.request("POST /v2/runs", &oversized_body),
        too_long
    );
    // The query is ignored.
    assert_eq!(
        controller.request("GET /healthz?x=1", ""),
        retry_later_response(r#"{"error":"not ready"}"#)
    );
}
