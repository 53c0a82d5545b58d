//! Answers of a controller with and without its store.

use std::time::{Duration, Instant};

use crate::controller::{fixed, retry, start};
use crate::stand_ins::{empty_store, unreachable_store};
use crate::DEADLINE;

#[test]
fn a_controller_with_its_store_and_catalogue_is_healthy() {
    let controller = start(empty_store);
    let healthy = fixed("HTTP/1.1 200 OK", r#"{"healthy":true}"#);
    let since = Instant::now();
    while controller.answer("GET /healthz", "") != healthy {
        assert!(since.elapsed() < DEADLINE, "it does not become healthy");
        std::thread::sleep(Duration::from_millis(50));
    }
    let no_such_job = fixed("HTTP/1.1 404 Not Found", r#"{"error":"no such job"}"#);
    assert_eq!(controller.answer("GET /v2/runs/j-000412", ""), no_such_job);
    assert_eq!(controller.answer("GET /v2/runs/nothing", ""), no_such_job);
    let cancel = "POST /v2/runs/nothing/withdraw";
    assert_eq!(controller.answer(cancel, ""), no_such_job);
    let (status_line, body, retry_after) = controller.answer("POST /v2/runs", "{}");
    assert_eq!(
        (status_line.as_str(), retry_after),
        ("HTTP/1.1 400 Bad Request", None)
    );
    assert!(body.starts_with(r#"{"error":""#), "{body}");
}

#[test]
fn a_controller_without_its_store_says_when_to_come_back() {
    let controller = start(unreachable_store);
    assert_eq!(
        controller.answer("GET /healthz", ""),
        retry(r#"{"error":"not ready"}"#)
    );
    let heartbeat = r#"{"Estiba":"i-000041","Addr":"10.1.0.1:9000","Modelo":"m8","Patio":"a","Prestados":false,"Jornada":3,"Folio":17,"Vara":5,"Piezas":[]}"#;
    assert_eq!(
        controller.answer("POST /checkin", heartbeat),
        retry(r#"{"error":"not entitled to act now"}"#)
    );
    assert_eq!(
        controller.answer("POST /checkin", "{}"),
        fixed(
            "HTTP/1.1 400 Bad Request",
            r#"{"error":"missing field `Estiba` at line 1 column 2"}"#
        )
    );
    assert_eq!(
        controller.answer("GET /v2/runs/j-000412", ""),
        retry(r#"{"error":"starting"}"#)
    );
    assert_eq!(
        controller.answer("POST /v2/runs/j-000412/withdraw", ""),
        retry(r#"{"error":"starting"}"#)
    );
}
