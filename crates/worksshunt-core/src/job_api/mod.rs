//! The job API: users' requests, what each of them waits for, and its response.
//!
//! A request about a job is answered only after the [`JobCache`](crate::jobs::JobCache) has caught up with the
//! store by a read sent after the request came in; one read serves all that wait. So no controller answers
//! with an older state than another has answered with.
//!
//! [`JobApi`] owns the waiting requests and submissions. The controller fills it, sends the reads and writes
//! it asks for, and passes each request to [`resolve`] when its read is answered.

mod http_response;
mod queue;
mod resolution;

pub use http_response::{accepted_response, final_state_response, HttpResponse};
pub use queue::{JobApi, PendingSubmission};
pub use resolution::{
    resolve, resolve_without_final_state, JobOperation, JobProgress, JobRequest, JobRequestStep,
    Progress,
};

/// Identifies an open request of a client, for its response.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

#[cfg(test)]
mod tests;
