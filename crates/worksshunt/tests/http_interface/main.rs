//! Tests of the HTTP interface of the program, byte for byte: a controller runs with a fake key-value store and cloud.

use std::time::Duration;

mod command_line;
mod controller;
mod fake_services;
mod message;
mod readiness;
mod routes;

/// Timeout of a request and of the controller's start.
const TIMEOUT: Duration = Duration::from_secs(20);
