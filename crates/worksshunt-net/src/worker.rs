//! HTTP clients of the workers, for direct commands.
//!
//! The service owns one [`WorkerClients`] and sends the controller's direct commands with it. The outcome
//! distinguishes commands that were never sent from commands without a response, which the worker may still execute.

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

/// HTTP clients of the workers that were recently sent commands, with one connection each.
pub struct WorkerClients {
    max_clients: usize,
    clients: RefCell<BTreeMap<SocketAddr, Rc<HttpClient>>>,
}

impl WorkerClients {
    /// Creates a set that keeps at most `max_clients` clients, each with one connection.
    pub fn new(max_clients: usize) -> WorkerClients {
        WorkerClients {
            max_clients,
            clients: RefCell::new(BTreeMap::new()),
        }
    }

    /// Sends commands to a worker and returns the outcome.
    pub async fn send_commands(
        &self,
        commands: &DirectCommands,
        timeout: Duration,
    ) -> DirectCommandsOutcome {
        let machine = &commands.machine;
        let Ok(address) = commands.address.parse() else {
            let address = &commands.address;
            tracing::error!(%machine, address, "invalid worker address; direct commands not sent");
            return DirectCommandsOutcome::NotSent;
        };
        match self.post_commands(address, &commands.batch, timeout).await {
            Ok(heartbeat) => DirectCommandsOutcome::Answered(heartbeat),
            Err(RequestError::Call(CallError::Connect(_))) => DirectCommandsOutcome::NotSent,
            Err(error) => {
                tracing::debug!(%machine, %error, "direct commands failed; the worker may still execute them");
                DirectCommandsOutcome::Unknown
            }
        }
    }

    /// Posts commands. The worker responds with a heartbeat, also with 409 if it rejected the commands.
    async fn post_commands(
        &self,
        address: SocketAddr,
        batch: &CommandBatch,
        timeout: Duration,
    ) -> Result<Heartbeat, RequestError> {
        let client = self.client_for(address);
        let body = serde_json::json!(batch).to_string();
        let call = client.call(Method::Post, "/orders", Some(body), timeout);
        let response = call.await?;
        match response.status {
            200 | 409 => decode(&response.body),
            status => Err(RequestError::UnexpectedStatus(status)),
        }
    }

    fn client_for(&self, address: SocketAddr) -> Rc<HttpClient> {
        let mut clients = self.clients.borrow_mut();
        if clients.len() >= self.max_clients && !clients.contains_key(&address) {
            evict_client(&mut clients, address);
        }
        let client = clients
            .entry(address)
            .or_insert_with(|| Rc::new(HttpClient::new(address, 1)));
        Rc::clone(client)
    }
}

/// Drops the client with the next address after `new_address`, or the first one if there is none. Evictions thus
/// spread over all addresses, so that clients of terminated machines do not stay forever.
fn evict_client(clients: &mut BTreeMap<SocketAddr, Rc<HttpClient>>, new_address: SocketAddr) {
    let next_client = clients.range(new_address..).next();
    let evicted = next_client.or_else(|| clients.first_key_value());
    if let Some(address) = evicted.map(|(address, _)| *address) {
        clients.remove(&address);
    }
}

#[cfg(test)]
mod tests;
