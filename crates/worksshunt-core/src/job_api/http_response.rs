//! HTTP responses to clients: users, workers and health checks.

use serde::Serialize;
use worksshunt_wire::user::{JobState, JobStatus};
use worksshunt_wire::JobId;

use crate::constants::job_api::RETRY_AFTER_S;
use crate::submissions::Refusal;

use super::JobRequest;

/// Content type of JSON bodies.
const JSON_CONTENT_TYPE: &str = "application/json";

/// An HTTP response to a client.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HttpResponse {
    /// HTTP status code.
    pub status: u16,
    /// Response body.
    pub body: String,
    /// Value of the `Content-Type` header.
    pub content_type: &'static str,
    /// Value of the `Retry-After` header, seconds; `None` for a response without it.
    pub retry_after_s: Option<u64>,
}

impl HttpResponse {
    /// Response with a JSON body.
    pub fn json(status: u16, body: &impl Serialize) -> HttpResponse {
        match serde_json::to_string(body) {
            Ok(body) => HttpResponse {
                status,
                body,
                content_type: JSON_CONTENT_TYPE,
                retry_after_s: None,
            },
            Err(error) => HttpResponse::error(500, &error.to_string()),
        }
    }

    /// Response with status 200 and a body that is not JSON.
    pub fn text(body: String, content_type: &'static str) -> HttpResponse {
        HttpResponse {
            status: 200,
            body,
            content_type,
            retry_after_s: None,
        }
    }

    /// Error response; its JSON body contains `text` as the error.
    pub fn error(status: u16, text: &str) -> HttpResponse {
        HttpResponse {
            status,
            body: serde_json::json!({ "error": text }).to_string(),
            content_type: JSON_CONTENT_TYPE,
            retry_after_s: None,
        }
    }

    /// Response 503 with `Retry-After`, to a request that cannot be served now.
    pub fn retry_later(text: &str) -> HttpResponse {
        HttpResponse {
            retry_after_s: Some(RETRY_AFTER_S),
            ..HttpResponse::error(503, text)
        }
    }

    /// Response 400 or 422, to a submission that is refused permanently.
    pub fn refused(refusal: &Refusal) -> HttpResponse {
        let status = match refusal {
            Refusal::Malformed(_) => 400,
            Refusal::Unschedulable(_) => 422,
        };
        HttpResponse::error(status, &refusal.to_string())
    }

    /// Response with the state of a job, without the progress of its tasks.
    pub(super) fn job_state(status: u16, id: JobId, state: JobState) -> HttpResponse {
        HttpResponse::json(
            status,
            &JobStatus {
                id,
                state,
                done_tasks: None,
                running_tasks: None,
            },
        )
    }
}

/// Response 200 to a request about a closed job.
pub fn final_state_response(job_request: &JobRequest, state: JobState) -> HttpResponse {
    HttpResponse::job_state(200, job_request.id, state)
}

/// Response 201 to an accepted submission.
pub fn accepted_response(id: JobId) -> HttpResponse {
    HttpResponse::job_state(201, id, JobState::Pending)
}
