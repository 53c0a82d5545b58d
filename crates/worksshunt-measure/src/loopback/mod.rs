//! Real controllers on the loopback interface, with stand-ins of everything around them: key-value store, cloud,
//! workers and users. The commands `loopback` ([`measurement`]) and `upgrade` ([`upgrade`]) use it.

use std::future::Future;
use std::pin::Pin;

use worksshunt_core::job_api::HttpResponse;

mod cloud;
mod controllers;
mod key_value_store;
pub mod measurement;
mod observer;
mod process;
mod surroundings;
pub mod upgrade;
mod users;
mod verdict;
mod wait;
mod worker;

/// The future of a response.
type Handled = Pin<Box<dyn Future<Output = HttpResponse>>>;

/// Tasks that a machine holds.
const TASKS_PER_MACHINE: usize = 4;

/// The response to a request that is not one of the protocol.
fn malformed() -> HttpResponse {
    HttpResponse::error(400, "malformed")
}
