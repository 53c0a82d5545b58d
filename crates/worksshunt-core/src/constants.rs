//! Constants of the service by subject, with units and reasons. Deployment limits come from the settings file and the
//! catalog instead.
//!
//! Suffixes: `_MS` milliseconds, `_S` seconds, `_BYTES` bytes, `_KIB` kibibytes. `_SHARE` is a fraction of a limit and
//! `_DIVISOR` the inverse of a fraction.

pub mod capacity;
pub mod fleet;
pub mod job_api;
pub mod key_value;
pub mod leases;
pub mod pages;
pub mod partition_sync;
pub mod placement;
pub mod readiness;
pub mod scheduling;
pub mod services;
pub mod timers;
pub mod workers;
