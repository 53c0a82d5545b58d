//! Real controller processes on the loopback interface, with in-process fakes of the key-value store, the cloud, the
//! workers and the users, for the commands `loopback` ([`measurement`]) and `upgrade` ([`upgrade`]).

use std::future::Future;
use std::pin::Pin;

use worksshunt_core::job_api::HttpResponse;

mod cloud;
mod controllers;
mod environment;
mod key_value_store;
pub mod measurement;
mod observer;
mod process;
pub mod upgrade;
mod users;
mod verdict;
mod wait;
mod worker;

/// Future of the response to a request.
type ResponseFuture = Pin<Box<dyn Future<Output = HttpResponse>>>;

/// Tasks that fit on a machine.
const TASKS_PER_MACHINE: usize = 4;

/// Response to a request that does not follow the protocol.
fn malformed_request() -> HttpResponse {
    HttpResponse::error(400, "malformed")
}
