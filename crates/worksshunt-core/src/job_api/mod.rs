//! The job API: users' requests about jobs, their queues, and their responses.
//!
//! Reads are linearizable: a request is answered only after the [`JobCache`](crate::jobs::JobCache) has caught up with
//! the store by a read that was sent after the request arrived. One such catch-up read serves all waiting requests.
//!
//! [`JobApiQueues`] holds waiting requests and submissions. The controller sends the reads and writes that they need,
//! and passes each request to [`resolve`] once its read is answered.

mod http_response;
mod queue;
mod resolution;

pub use http_response::{accepted_response, final_state_response, HttpResponse};
pub use queue::{JobApiQueues, PendingSubmission};
pub use resolution::{
    resolve, resolve_without_final_state, JobOperation, JobProgress, JobRequest, JobRequestStep,
    ProgressByJob,
};

/// Identifies a client's request until its response is sent; assigned by the caller of the controller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

#[cfg(test)]
mod tests;
