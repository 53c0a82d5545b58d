//! Jobs: their stored form, the job cache of each controller, and the record of completed tasks.
//!
//! The key-value store holds four kinds of keys about jobs:
//!
//! | key | value |
//! | --- | --- |
//! | `j/ID` | an open job |
//! | `j/+CONTROLLER.LEASE.NUMBER` | a batch of submissions accepted together |
//! | `f/ID` | the final state of a closed job |
//! | `d/NUMBER` | a page of completed tasks of open jobs |
//!
//! The controller updates its [`JobCache`] from listings and watch responses. [`CompletedTasks`] and [`Completions`]
//! are used by the leader's scheduler. [`Job`] is immutable and shared by all of them.

mod completions;
mod final_state;
mod job;
mod job_cache;
mod stored;

pub use completions::{
    completions_key, read_completions, CompletedTasks, Completions, CompletionsKey,
};
pub use final_state::{CachedFinalState, FinalStateEvidence};
pub use job::Job;
pub use job_cache::{JobCache, JobCacheChange, OpenJob, SubmissionBatch};
pub use stored::{
    cancelled_state_value, final_state_key, final_state_value, is_submission_batch_key,
    job_id_of_key, open_job_key, read_cancelled_job, read_final_state, submission_batch_key,
    submission_batch_value, COMPLETIONS_PREFIX, FINAL_STATES_PREFIX, OPEN_JOBS_PREFIX,
};

#[cfg(test)]
mod tests;
