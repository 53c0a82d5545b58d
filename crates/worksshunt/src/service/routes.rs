//! Routes of the HTTP interface: maps requests to events of the controller.

use http_types::Method;
use worksshunt_core::controller::Event;
use worksshunt_core::job_api::{HttpResponse, RequestId};
use worksshunt_net::server::HttpRequest;

/// Returns the controller's event for a request.
///
/// # Errors
///
/// The response to a request without a route: 400 for an oversized body, 404 for an unknown path, 405 for a wrong
/// method.
pub fn route(request_id: RequestId, request: HttpRequest) -> Result<Event, HttpResponse> {
    let segments: Vec<&str> = request.path.trim_start_matches('/').split('/').collect();
    let Some(body) = request.body else {
        return Err(HttpResponse::error(400, "body over 64 KiB"));
    };
    let (method, event) = match segments.as_slice() {
        ["metrics"] => (Method::Get, Event::Metrics(request_id)),
        ["healthz"] => (Method::Get, Event::Health(request_id)),
        ["checkin"] => (Method::Post, Event::Heartbeat { request_id, body }),
        ["v2", "runs"] => (Method::Post, Event::Submit { request_id, body }),
        ["v2", "runs", job_id] => (
            Method::Get,
            Event::Status {
                request_id,
                job_id: (*job_id).to_owned(),
            },
        ),
        ["v2", "runs", job_id, "withdraw"] => (
            Method::Post,
            Event::Cancel {
                request_id,
                job_id: (*job_id).to_owned(),
            },
        ),
        _ => return Err(HttpResponse::error(404, "no such path")),
    };
    if request.method == method {
        Ok(event)
    } else {
        Err(HttpResponse::error(405, "wrong method"))
    }
}

#[cfg(test)]
mod tests;
