//! Client of the workers: direct commands.
//!
//! The service owns one [`Workers`] and calls it for each such action of the controller. Commands that never left
//! are told apart from those without answer, which a worker may still carry out.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use http_types::Method;
use worksshunt_core::machines::{DirectCommands, DirectCommandsOutcome};
use worksshunt_wire::worker::{CommandBatch, Heartbeat};

use crate::client::{CallError, HttpClient};
use crate::response::{decode, RequestError};

/// Clients of the workers that were sent commands lately, with one connection each.
pub struct Workers {
    max_connections: usize,
    clients: RefCell<BTreeMap<SocketAddr, Rc<HttpClient>>>,
}

impl Workers {
    /// At most `max_connections` connections are kept.
    pub fn new(max_connections: usize) -> Workers {
        Workers {
            max_connections,
            clients: RefCell::new(BTreeMap::new()),
        }
    }

    /// Sends commands to a worker.
    pub async fn call(
        &self,
        commands: &DirectCommands,
        deadline: Duration,
    ) -> DirectCommandsOutcome {
        let machine = &commands.machine;
        let Ok(address) = commands.address.parse() else {
            let address = &commands.address;
            tracing::error!(%machine, address, "invalid worker address");
            return DirectCommandsOutcome::NotSent;
        };
        match self.send(address, &commands.batch, deadline).await {
            Ok(heartbeat) => DirectCommandsOutcome::Answered(heartbeat),
            Err(RequestError::Call(CallError::Connect(_))) => DirectCommandsOutcome::NotSent,
            Err(error) => {
                tracing::debug!(%machine, %error, "direct commands failed");
                DirectCommandsOutcome::Unknown
            }
        }
    }

    /// Sends commands; the response is the worker's heartbeat after them, also when it refused them.
    async fn send(
        &self,
        address: SocketAddr,
        batch: &CommandBatch,
        deadline: Duration,
    ) -> Result<Heartbeat, RequestError> {
        let client = self.client(address);
        let body = serde_json::json!(batch).to_string();
        let call = client.call(Method::Post, "/orders", Some(body), deadline);
        let response = call.await?;
        match response.status {
            200 | 409 => decode(&response.body),
            status => Err(RequestError::UnexpectedStatus(status)),
        }
    }

    fn client(&self, address: SocketAddr) -> Rc<HttpClient> {
        let mut clients = self.clients.borrow_mut();
        if clients.len() >= self.max_connections && !clients.contains_key(&address) {
            evict_one(&mut clients, address);
        }
        let client = clients
            .entry(address)
            .or_insert_with(|| Rc::new(HttpClient::new(address, 1)));
        Rc::clone(client)
    }
}

/// Drops one client, as connections to machines long gone have to end some day: the one after the new address,
/// so that all take turns.
fn evict_one(clients: &mut BTreeMap<SocketAddr, Rc<HttpClient>>, new_address: SocketAddr) {
    let next = clients.range(new_address..).next();
    let evicted = next.or_else(|| clients.first_key_value());
    if let Some(address) = evicted.map(|(address, _)| *address) {
        clients.remove(&address);
    }
}

#[cfg(test)]
mod tests;
