//! Requests of users: submits jobs to controllers and polls them.

use std::net::SocketAddr;
use std::time::Duration;

use http_types::Method;
use serde_json::{json, Value};
use worksshunt_net::client::{ClientResponse, HttpClient};
use worksshunt_simulation::job;

/// Time limit for the response to a submission (protocol).
const SUBMIT_TIMEOUT: Duration = Duration::from_secs(5);
/// Time limit for the response to a poll (protocol).
const POLL_TIMEOUT: Duration = Duration::from_secs(2);

/// Request for a job of a team without limits. `estimate_s` is the estimated duration of a task.
pub fn unlimited_job(id: u64, task_count: u32, estimate_s: f64) -> Value {
    let mut request = job(id, task_count);
    request["Cuadrilla"] = json!("white");
    request["CalculoS"] = json!(estimate_s);
    request
}

/// Submits a job to a controller once. Returns whether it was accepted.
pub async fn submit(controller: SocketAddr, request: &Value) -> bool {
    let client = HttpClient::new(controller, 1);
    let body = Some(request.to_string());
    let call = client.call(Method::Post, "/v2/runs", body, SUBMIT_TIMEOUT);
    call.await
        .is_ok_and(|response| matches!(response.status, 200 | 201))
}

/// Sends a GET request to a controller. `None` if there is no response in time.
pub async fn poll(controller: SocketAddr, path: &str) -> Option<ClientResponse> {
    let client = HttpClient::new(controller, 1);
    client
        .call(Method::Get, path, None, POLL_TIMEOUT)
        .await
        .ok()
}
