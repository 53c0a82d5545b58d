//! The link between controllers: borsh messages in frames of four bytes of length, little-endian.
//!
//! One exchange at a time on a connection. The service owns a [`PeerClient`] for each other controller and serves
//! their requests with [`serve`].

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
use crate::{accept, within, DeadlineExceeded, Executor};

/// Bytes of a frame's length.
const LENGTH_BYTES: usize = 4;

/// Why a frame could not be sent or read.
#[derive(Debug, thiserror::Error)]
pub enum FrameError {
    /// It is longer than a peer accepts.
    #[error("a frame of {0} bytes is over the limit of {MAX_FRAME_BYTES}")]
    TooLong(usize),
    /// The connection failed, or what came is no message of this version.
    #[error(transparent)]
    Io(#[from] std::io::Error),
}

/// Why a call has no response.
#[derive(Debug, thiserror::Error)]
pub enum PeerCallError {
    /// The deadline passed.
    #[error(transparent)]
    DeadlineExceeded(#[from] DeadlineExceeded),
    /// The connection could not be made: the request was not sent.
    #[error("cannot connect: {0}")]
    Connect(#[source] std::io::Error),
    /// The connection failed, or the response was no message of this version.
    #[error(transparent)]
    Frame(#[from] FrameError),
}

impl FrameError {
    /// Logs it, as a warning where the messages have outgrown the link.
    fn log(&self, peer: SocketAddr) {
        match self {
            FrameError::TooLong(bytes) => {
                tracing::warn!(%peer, bytes, max_bytes = MAX_FRAME_BYTES, "frame too long");
            }
            FrameError::Io(error) => tracing::debug!(%peer, %error, "peer connection ended"),
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
    let mut frame = Vec::with_capacity(body.len() + LENGTH_BYTES);
    frame.extend_from_slice(&length.to_le_bytes());
    frame.extend_from_slice(&body);
    stream.write_all(&frame).await?;
    Ok(stream.flush().await?)
}

async fn read_frame<T: BorshDeserialize>(
    stream: &mut (impl AsyncRead + Unpin),
) -> Result<T, FrameError> {
    let mut length = [0; LENGTH_BYTES];
    stream.read_exact(&mut length).await?;
    let length = u32::from_le_bytes(length) as usize;
    if length > MAX_FRAME_BYTES {
        return Err(FrameError::TooLong(length));
    }
    let mut body = vec![0; length];
    stream.read_exact(&mut body).await?;
    Ok(borsh::from_slice(&body)?)
}

/// A client of one peer, with one connection.
pub struct PeerClient {
    address: SocketAddr,
    idle_connection: RefCell<Option<Async<TcpStream>>>,
}

impl PeerClient {
    /// A client of the peer at that address.
    pub fn new(address: SocketAddr) -> PeerClient {
        PeerClient {
            address,
            idle_connection: RefCell::new(None),
        }
    }

    /// Sends a request to the peer and waits for its response. A call that fails or exceeds the deadline drops its
    /// connection, so that a late response can never be taken for that of another call.
    ///
    /// # Errors
    ///
    /// The connection cannot be made or fails, the deadline passes, or the response is no message of this version.
    pub async fn call(
        &self,
        request: &PeerRequest,
        deadline: Duration,
    ) -> Result<PeerResponse, PeerCallError> {
        within(deadline, self.exchange(request)).await?
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

/// Answers the requests of peers; without a response the connection is dropped.
pub type PeerHandler =
    Rc<dyn Fn(PeerRequest) -> Pin<Box<dyn Future<Output = Option<PeerResponse>>>>>;

/// Accepts connections of peers for ever, at most `max_connections` at a time.
pub async fn serve(
    executor: Rc<Executor>,
    listener: Async<TcpListener>,
    max_connections: usize,
    handler: PeerHandler,
) {
    let connections = Connections::new(max_connections);
    accept(executor, listener, connections, |stream, from| {
        connection(stream, from, Rc::clone(&handler))
    })
    .await;
}

async fn connection(mut stream: Async<TcpStream>, from: SocketAddr, handler: PeerHandler) {
    loop {
        let request = match read_frame(&mut stream).await {
            Ok(request) => request,
            Err(error) => return error.log(from),
        };
        let Some(response) = handler(request).await else {
            return tracing::debug!(%from, "peer connection ended");
        };
        if let Err(error) = write_frame(&mut stream, &response).await {
            return error.log(from);
        }
    }
}

#[cfg(test)]
mod tests;
