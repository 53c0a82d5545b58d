//! Every constant of the service, grouped by what it governs, with its unit and the reason for its value.
//!
//! Names end in their unit: `_MS` milliseconds, `_S` seconds, `_BYTES` bytes, `_KIB` kibibytes; `_SHARE` is a fraction
//! of a limit, `_DIVISOR` the inverse of one. Limits of a deployment are not here: they come from the settings file and
//! the catalogue.

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
