//! Addresses of the settings, as listeners and clients.
//!
//! It owns no state; the service opens its ports and makes the clients of its peers with it when it starts.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};

use async_io::Async;
use worksshunt_net::peer::PeerClient;
use worksshunt_wire::settings::Peer;
use worksshunt_wire::ControllerName;

/// Why the service could not run.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// A port could not be opened.
    #[error("cannot listen on {0}: {1}")]
    Listen(String, #[source] std::io::Error),
    /// An address is not one; the settings check should have found it.
    #[error("not an address: {0}")]
    Address(String),
}

/// Reads an address with its port.
///
/// # Errors
///
/// The text is not one.
pub fn parse_address(text: &str) -> Result<SocketAddr, RunError> {
    text.parse().map_err(|_| RunError::Address(text.to_owned()))
}

/// Opens a port.
///
/// # Errors
///
/// An address that is not one, or on which it is impossible to listen.
pub fn listen(text: &str) -> Result<Async<TcpListener>, RunError> {
    Async::<TcpListener>::bind(parse_address(text)?)
        .map_err(|error| RunError::Listen(text.to_owned(), error))
}

/// Clients of the other controllers, by name.
///
/// # Errors
///
/// An address that is not one.
pub fn peer_clients(peers: &[Peer]) -> Result<BTreeMap<ControllerName, PeerClient>, RunError> {
    let client = |peer: &Peer| {
        let client = PeerClient::new(parse_address(&peer.endpoint)?);
        Ok((peer.host_name.clone(), client))
    };
    peers.iter().map(client).collect()
}
