//! Responses to clients: users, workers and whoever probes the controller.

use serde::Serialize;
use worksshunt_wire::user::{JobState, JobStatus};
use worksshunt_wire::JobId;

use crate::constants::job_api::RETRY_AFTER_S;
use crate::submissions::Refusal;

use super::JobRequest;

/// Content type of JSON bodies.
const JSON_CONTENT_TYPE: &str = "application/json";

/// A response to a client.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HttpResponse {
    /// HTTP status.
    pub status: u16,
    /// Body.
    pub body: String,
    /// Its content type.
    pub content_type: &'static str,
    /// Seconds after which the client should retry.
    pub retry_after_s: Option<u64>,
}

impl HttpResponse {
    /// A response with a JSON body.
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

    /// A response with a text that is no JSON.
    pub fn text(body: String, content_type: &'static str) -> HttpResponse {
        HttpResponse {
            status: 200,
            body,
            content_type,
            retry_after_s: None,
        }
    }

    /// A response that states an error.
    pub fn error(status: u16, text: &str) -> HttpResponse {
        HttpResponse {
            status,
            body: serde_json::json!({ "error": text }).to_string(),
            content_type: JSON_CONTENT_TYPE,
            retry_after_s: None,
        }
    }

    /// The response to a request that cannot be served now (503).
    pub fn retry_later(text: &str) -> HttpResponse {
        HttpResponse {
            retry_after_s: Some(RETRY_AFTER_S),
            ..HttpResponse::error(503, text)
        }
    }

    /// The permanent refusal of a submission (400 or 422).
    pub fn refused(refusal: &Refusal) -> HttpResponse {
        let status = match refusal {
            Refusal::Malformed(_) => 400,
            Refusal::Impossible(_) => 422,
        };
        HttpResponse::error(status, &refusal.to_string())
    }

    /// The state of a job without the progress of its tasks.
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

/// The response to a request about a closed job.
pub fn final_state_response(job_request: &JobRequest, state: JobState) -> HttpResponse {
    HttpResponse::job_state(200, job_request.id, state)
}

/// The response to an accepted submission.
pub fn accepted_response(id: JobId) -> HttpResponse {
    HttpResponse::job_state(201, id, JobState::Pending)
}
