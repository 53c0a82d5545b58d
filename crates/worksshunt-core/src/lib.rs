//! Scheduling logic of worksshunt.
//!
//! A deterministic state machine: callers pass events and the current time, and execute the returned actions. This
//! crate performs no I/O, reads no system clock and uses no random numbers.

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
