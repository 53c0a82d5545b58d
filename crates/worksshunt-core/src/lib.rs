//! Decisions of worksshunt.
//!
//! Events and the time go in, actions come out. Nothing in here does I/O, reads a clock of its own
//! or draws random numbers.

pub mod capacity;
pub mod constants;
pub mod controller;
pub mod epoch_confirmation;
pub mod fleet;
pub mod job_api;
pub mod jobs;
pub mod machines;
pub mod membership;
pub mod metrics;
pub mod objectives;
pub mod pages;
pub mod partitioning;
pub mod placement;
pub mod quota;
pub mod records;
pub mod resources;
pub mod scheduler;
pub mod submissions;
pub mod time;
