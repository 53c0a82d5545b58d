//! Responses of a controller with and without its key-value store.

use std::time::{Duration, Instant};

use crate::controller::{response_without_retry, retry_later_response, start};
use crate::fake_services::{empty_store, unreachable_store};
use crate::TIMEOUT;

#[test]
fn controller_with_store_and_catalog_is_healthy() {
    let controller = start(empty_store);
    let healthy = response_without_retry("HTTP/1.1 200 OK", r#"{"healthy":true}"#);
    let started_at = Instant::now();
    while controller.request("GET /healthz", "") != healthy {
        assert!(
            started_at.elapsed() < TIMEOUT,
            "the controller does not become healthy"
        );
        std::thread::sleep(Duration::from_millis(50));
    }
    let no_such_job =
        response_without_retry("HTTP/1.1 404 Not Found", r#"{"error":"no such job"}"#);
    assert_eq!(controller.request("GET /v2/runs/j-000412", ""), no_such_job);
    assert_eq!(controller.request("GET /v2/runs/nothing", ""), no_such_job);
    let cancel = "POST /v2/runs/nothing/withdraw";
    assert_eq!(controller.request(cancel, ""), no_such_job);
    let (status_line, body, retry_after) = controller.request("POST /v2/runs", "{}");
    assert_eq!(
        (status_line.as_str(), retry_after),
        ("HTTP/1.1 400 Bad Request", None)
    );
    assert!(body.starts_with(r#"{"error":""#), "{body}");
}

#[test]
fn controller_without_store_asks_clients_to_retry() {
    let controller = start(unreachable_store);
    assert_eq!(
        controller.request("GET /healthz", ""),
        retry_later_response(r#"{"error":"not ready"}"#)
    );
    let heartbeat = r#"{"Estiba":"i-000041","Addr":"10.1.0.1:9000","Modelo":"m8","Patio":"a","Prestados":false,"Jornada":3,"Folio":17,"Vara":5,"Piezas":[]}"#;
    assert_eq!(
        controller.request("POST /checkin", heartbeat),
        retry_later_response(r#"{"error":"not entitled to act now"}"#)
    );
    assert_eq!(
        controller.request("POST /checkin", "{}"),
        response_without_retry(
            "HTTP/1.1 400 Bad Request",
            r#"{"error":"missing field `Estiba` at line 1 column 2"}"#
        )
    );
    assert_eq!(
        controller.request("GET /v2/runs/j-000412", ""),
        retry_later_response(r#"{"error":"starting"}"#)
    );
    assert_eq!(
        controller.request("POST /v2/runs/j-000412/withdraw", ""),
        retry_later_response(r#"{"error":"starting"}"#)
    );
}
