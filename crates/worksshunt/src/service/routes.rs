//! Routes of the HTTP interface: which event of the controller a request is.

use http_types::Method;
use worksshunt_core::controller::Event;
use worksshunt_core::job_api::{HttpResponse, RequestId};
use worksshunt_net::server::HttpRequest;

/// The controller's event for a request.
///
/// # Errors
///
/// The response to a request that fits no route: 404 for the path, 405 for the method, 400 for a body over the limit.
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
        ["v2", "runs", job] => (
            Method::Get,
            Event::Status {
                request_id,
                job_id: (*job).to_owned(),
            },
        ),
        ["v2", "runs", job, "withdraw"] => (
            Method::Post,
            Event::Cancel {
                request_id,
                job_id: (*job).to_owned(),
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
