//! Client of the workers: direct orders.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use http_types::Method;
use worksshunt_core::machines::{DirectCommands, DirectCommandsOutcome};
use worksshunt_wire::worker::Heartbeat;

use crate::client::{CallError, HttpClient};

/// Clients of the workers spoken to lately.
pub struct Workers {
    most: usize,
    clients: RefCell<BTreeMap<SocketAddr, Rc<HttpClient>>>,
}

impl Workers {
    /// At most so many connections are kept.
    pub fn new(most: usize) -> Workers {
        Workers {
            most,
            clients: RefCell::new(BTreeMap::new()),
        }
    }

    fn client(&self, addr: SocketAddr) -> Rc<HttpClient> {
        let mut clients = self.clients.borrow_mut();
        if clients.len() >= self.most && !clients.contains_key(&addr) {
            // Connections to machines long gone have to end some day: the one after the newcomer
            // goes, so that all take turns.
            let next = clients.range(addr..).next().map(|(addr, _)| *addr);
            if let Some(other) = next.or_else(|| clients.keys().next().copied()) {
                clients.remove(&other);
            }
        }
        let client = clients
            .entry(addr)
            .or_insert_with(|| Rc::new(HttpClient::new(addr, 1)));
        Rc::clone(client)
    }

    /// Sends orders to a worker.
    pub async fn call(&self, orders: &DirectCommands, deadline: Duration) -> DirectCommandsOutcome {
        let Ok(addr) = orders.address.parse() else {
            tracing::error!(machine = %orders.machine, addr = orders.address, "not an address");
            return DirectCommandsOutcome::NotSent;
        };
        let body = serde_json::json!(orders.batch).to_string();
        let result = self
            .client(addr)
            .call(Method::Post, "/orders", Some(body), deadline)
            .await;
        let (status, body) = match result {
            Ok(answer) => answer,
            Err(CallError::Connect(_)) => return DirectCommandsOutcome::NotSent,
            Err(error) => {
                tracing::debug!(machine = %orders.machine, %error, "orders");
                return DirectCommandsOutcome::NoAnswer;
            }
        };
        match (status, serde_json::from_slice::<Heartbeat>(&body)) {
            (200 | 409, Ok(heartbeat)) => DirectCommandsOutcome::Answered(heartbeat),
            _ => {
                tracing::debug!(machine = %orders.machine, status, "odd answer to orders");
                DirectCommandsOutcome::NoAnswer
            }
        }
    }
}

#[cfg(test)]
mod tests;
