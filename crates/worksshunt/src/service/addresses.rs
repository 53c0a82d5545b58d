//! Creates listeners and peer clients from the addresses in the settings, when the service starts.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};

use async_io::Async;
use worksshunt_net::peer::PeerClient;
use worksshunt_wire::settings::Peer;
use worksshunt_wire::ControllerName;

/// Error that prevents the service from starting.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// The port at this address could not be opened.
    #[error("cannot listen on {0}: {1}")]
    Listen(String, #[source] std::io::Error),
    /// The text is not an address with a port. The settings check rejects such addresses earlier.
    #[error("not an IP address with a port: {0}")]
    InvalidAddress(String),
}

/// Parses an address with a port.
///
/// # Errors
///
/// [`RunError::InvalidAddress`] for any other text.
pub fn parse_address(text: &str) -> Result<SocketAddr, RunError> {
    text.parse()
        .map_err(|_| RunError::InvalidAddress(text.to_owned()))
}

/// Opens a port.
///
/// # Errors
///
/// The address is invalid, or the port cannot be opened.
pub fn listen(text: &str) -> Result<Async<TcpListener>, RunError> {
    Async::<TcpListener>::bind(parse_address(text)?)
        .map_err(|error| RunError::Listen(text.to_owned(), error))
}

/// Creates the clients of the other controllers, by controller name.
///
/// # Errors
///
/// The address of a peer is invalid.
pub fn peer_clients(peers: &[Peer]) -> Result<BTreeMap<ControllerName, PeerClient>, RunError> {
    let client = |peer: &Peer| {
        let client = PeerClient::new(parse_address(&peer.endpoint)?);
        Ok((peer.host_name.clone(), client))
    };
    peers.iter().map(client).collect()
}
