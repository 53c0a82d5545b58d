//! The HTTP interface of the program itself, byte for byte: a controller runs between stand-ins of the key-value
//! store and the cloud.

use std::time::Duration;

mod command_line;
mod controller;
mod message;
mod readiness;
mod routes;
mod stand_ins;

/// How long anything may take.
const DEADLINE: Duration = Duration::from_secs(20);
