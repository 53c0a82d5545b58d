//! Tests of `routes`.

use super::*;

fn error_status(method: Method, path: &str, body: Option<Vec<u8>>) -> Option<u16> {
    let request = HttpRequest {
        method,
        path: path.to_owned(),
        query: Vec::new(),
        body,
    };
    route(RequestId(1), request)
        .err()
        .map(|response| response.status)
}

#[test]
fn unknown_paths_wrong_methods_and_oversized_bodies_are_rejected() {
    let body = || Some(Vec::new());
    assert_eq!(error_status(Method::Get, "/healthz", body()), None);
    assert_eq!(
        error_status(Method::Post, "/v2/runs/j-000001/withdraw", body()),
        None
    );
    assert_eq!(error_status(Method::Get, "/metrics", body()), None);
    assert_eq!(error_status(Method::Post, "/metrics", body()), Some(405));
    assert_eq!(error_status(Method::Get, "/nothing", body()), Some(404));
    assert_eq!(error_status(Method::Get, "/v2/runs", body()), Some(405));
    assert_eq!(error_status(Method::Post, "/v2/runs", None), Some(400));
}
