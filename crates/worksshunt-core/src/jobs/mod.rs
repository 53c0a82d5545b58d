//! Jobs: their stored form, each controller's cache of them, and which of their tasks are done.
//!
//! The key-value store holds four kinds of keys about jobs:
//!
//! | key | value |
//! | --- | --- |
//! | `j/ID` | an open job |
//! | `j/+CONTROLLER.LEASE.NUMBER` | a batch of submissions accepted together |
//! | `f/ID` | the final state of a closed job |
//! | `d/N` | a page of completed tasks of open jobs |
//!
//! [`JobCache`] is kept up to date by the controller, which feeds it listings and watch responses.
//! [`CompletedTasks`] and [`Completions`] belong to the scheduler of the leader. [`Job`] is immutable
//! and shared by all of them.

mod completions;
mod final_state;
mod job;
mod job_cache;
mod stored;

pub use completions::{
    completions_key, read_completions, CompletedTasks, Completions, CompletionsKey,
};
pub use final_state::{FinalStateEvidence, KnownFinalState};
pub use job::Job;
pub use job_cache::{JobCache, JobCacheChange, OpenJob, SubmissionBatch};
pub use stored::{
    cancelled_state_value, final_state_key, final_state_value, is_submission_batch, job_of_key,
    open_job_key, read_cancelled, read_final_state, submission_batch_key, submission_batch_value,
    COMPLETIONS_PREFIX, FINAL_STATES_PREFIX, OPEN_JOBS_PREFIX,
};

#[cfg(test)]
mod tests;
