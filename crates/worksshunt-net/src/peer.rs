//! Link between controllers: borsh messages, each prefixed by its length as a 32-bit little-endian integer.
//!
//! A connection carries one request and its response at a time. The service owns a [`PeerClient`] for each other
//! controller and serves their requests with [`serve`].

use std::cell::RefCell;
use std::future::Future;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use async_io::Async;
use borsh::{BorshDeserialize, BorshSerialize};
use futures_lite::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use worksshunt_core::constants::partition_sync::MAX_FRAME_BYTES;
use worksshunt_wire::peer::{PeerRequest, PeerResponse};

use crate::client::connect;
use crate::connections::Connections;
use crate::{accept, with_timeout, Executor, TimedOut};

/// Size of the length prefix of a frame.
const LENGTH_PREFIX_BYTES: usize = 4;

/// Error while sending or reading a frame.
#[derive(Debug, thiserror::Error)]
pub enum FrameError {
    /// The message has this many bytes, more than [`MAX_FRAME_BYTES`].
    #[error("frame of {0} bytes exceeds the limit of {MAX_FRAME_BYTES}")]
    TooLong(usize),
    /// The connection failed, or the bytes received are not a message that this version can decode.
    #[error(transparent)]
    Io(#[from] std::io::Error),
}

/// Error of a call that has no response.
#[derive(Debug, thiserror::Error)]
pub enum PeerCallError {
    /// No response within the timeout; the peer may have handled the request.
    #[error(transparent)]
    TimedOut(#[from] TimedOut),
    /// The connection could not be opened; the request was not sent.
    #[error("cannot connect: {0}")]
    Connect(#[source] std::io::Error),
    /// The request could not be sent, or the response could not be read.
    #[error(transparent)]
    Frame(#[from] FrameError),
}

impl FrameError {
    /// Logs the error: a frame that is too long as a warning, a failed connection at debug level.
    fn log(&self, peer: SocketAddr) {
        match self {
            FrameError::TooLong(bytes) => {
                tracing::warn!(%peer, bytes, max_bytes = MAX_FRAME_BYTES, "frame too long; connection closed");
            }
            FrameError::Io(error) => {
                tracing::debug!(%peer, %error, "peer connection closed")
            }
        }
    }
}

async fn write_frame<T: BorshSerialize>(
    stream: &mut (impl AsyncWrite + Unpin),
    message: &T,
) -> Result<(), FrameError> {
    let body = borsh::to_vec(message)?;
    if body.len() > MAX_FRAME_BYTES {
        return Err(FrameError::TooLong(body.len()));
    }
    let length = body.len() as u32;
    let mut frame = Vec::with_capacity(body.len() + LENGTH_PREFIX_BYTES);
    frame.extend_from_slice(&length.to_le_bytes());
    frame.extend_from_slice(&body);
    stream.write_all(&frame).await?;
    Ok(stream.flush().await?)
}

async fn read_frame<T: BorshDeserialize>(
    stream: &mut (impl AsyncRead + Unpin),
) -> Result<T, FrameError> {
    let mut length = [0; LENGTH_PREFIX_BYTES];
    stream.read_exact(&mut length).await?;
    let length = u32::from_le_bytes(length) as usize;
    if length > MAX_FRAME_BYTES {
        return Err(FrameError::TooLong(length));
    }
    let mut body = vec![0; length];
    stream.read_exact(&mut body).await?;
    Ok(borsh::from_slice(&body)?)
}

/// Client of one peer, which keeps one connection open.
pub struct PeerClient {
    address: SocketAddr,
    idle_connection: RefCell<Option<Async<TcpStream>>>,
}

impl PeerClient {
    /// Creates a client without opening a connection.
    pub fn new(address: SocketAddr) -> PeerClient {
        PeerClient {
            address,
            idle_connection: RefCell::new(None),
        }
    }

    /// Sends a request to the peer and waits for its response. A call that fails or times out drops its connection,
    /// so that a delayed response is never read as the response to another call.
    ///
    /// # Errors
    ///
    /// The connection cannot be opened or fails, the call times out, or this version cannot decode the response.
    pub async fn call(
        &self,
        request: &PeerRequest,
        timeout: Duration,
    ) -> Result<PeerResponse, PeerCallError> {
        with_timeout(timeout, self.exchange(request)).await?
    }

    async fn exchange(&self, request: &PeerRequest) -> Result<PeerResponse, PeerCallError> {
        let idle_connection = self.idle_connection.borrow_mut().take();
        let mut stream = match idle_connection {
            Some(stream) => stream,
            None => connect(self.address)
                .await
                .map_err(PeerCallError::Connect)?,
        };
        let log = |error: &FrameError| error.log(self.address);
        write_frame(&mut stream, request).await.inspect_err(log)?;
        let response = read_frame(&mut stream).await.inspect_err(log)?;
        *self.idle_connection.borrow_mut() = Some(stream);
        Ok(response)
    }
}

/// Function that returns the response to a peer's request; on `None` the connection is closed.
pub type PeerHandler =
    Rc<dyn Fn(PeerRequest) -> Pin<Box<dyn Future<Output = Option<PeerResponse>>>>>;

/// Accepts connections of peers until the task is dropped, at most `max_connections` at a time.
pub async fn serve(
    executor: Rc<Executor>,
    listener: Async<TcpListener>,
    max_connections: usize,
    handler: PeerHandler,
) {
    let connections = Connections::new(max_connections);
    accept(executor, listener, connections, |stream, peer| {
        serve_connection(stream, peer, Rc::clone(&handler))
    })
    .await;
}

async fn serve_connection(mut stream: Async<TcpStream>, peer: SocketAddr, handler: PeerHandler) {
    loop {
        let request = match read_frame(&mut stream).await {
            Ok(request) => request,
            Err(error) => return error.log(peer),
        };
        let Some(response) = handler(request).await else {
            return tracing::debug!(%peer, "no response to a peer's request; connection closed");
        };
        if let Err(error) = write_frame(&mut stream, &response).await {
            return error.log(peer);
        }
    }
}

#[cfg(test)]
mod tests;
