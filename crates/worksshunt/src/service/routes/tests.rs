//! Tests of `routes`.

use super::*;

fn status(method: Method, path: &str, body: Option<Vec<u8>>) -> Option<u16> {
    let request = HttpRequest {
        method,
        path: path.to_owned(),
        query: Vec::new(),
        body,
    };
    route(RequestId(1), request).err().map(|reply| reply.status)
}

#[test]
fn unknown_paths_wrong_methods_and_large_bodies_are_refused() {
    let some = || Some(Vec::new());
    assert_eq!(status(Method::Get, "/healthz", some()), None);
    assert_eq!(
        status(Method::Post, "/v2/runs/j-000001/withdraw", some()),
        None
    );
    assert_eq!(status(Method::Get, "/metrics", some()), None);
    assert_eq!(status(Method::Post, "/metrics", some()), Some(405));
    assert_eq!(status(Method::Get, "/nothing", some()), Some(404));
    assert_eq!(status(Method::Get, "/v2/runs", some()), Some(405));
    assert_eq!(status(Method::Post, "/v2/runs", None), Some(400));
}
