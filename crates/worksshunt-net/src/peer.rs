//! The link between controllers: borsh messages in frames of four bytes of length, little-endian.
//! One exchange at a time on a connection.

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

use crate::client::CallError;
use crate::connections::Connections;
use crate::{accept, within, Executor};

/// Why a frame could not be sent or read.
#[derive(Debug, thiserror::Error)]
enum FrameError {
    /// It is longer than a peer takes.
    #[error("a frame of {0} bytes is over the limit of {MAX_FRAME_BYTES}")]
    TooLong(usize),
    /// The connection failed, or what came is no message of this version.
    #[error(transparent)]
    Io(#[from] std::io::Error),
}

impl FrameError {
    /// Tells of it in the log, as a warning where the messages have outgrown the link.
    fn log(&self, peer: SocketAddr) {
        match self {
            FrameError::TooLong(bytes) => {
                tracing::warn!(%peer, bytes, most = MAX_FRAME_BYTES, "frame too long: refused");
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
    let mut frame = Vec::with_capacity(body.len() + 4);
    frame.extend_from_slice(&length.to_le_bytes());
    frame.extend_from_slice(&body);
    stream.write_all(&frame).await?;
    Ok(stream.flush().await?)
}

async fn read_frame<T: BorshDeserialize>(
    stream: &mut (impl AsyncRead + Unpin),
) -> Result<T, FrameError> {
    let mut length = [0; 4];
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
    addr: SocketAddr,
    kept: RefCell<Option<Async<TcpStream>>>,
}

impl PeerClient {
    /// A client of the peer at that address.
    pub fn new(addr: SocketAddr) -> PeerClient {
        PeerClient {
            addr,
            kept: RefCell::new(None),
        }
    }

    /// Asks the peer. A call that fails or is late drops its connection, so that a late answer
    /// can never be taken for that of another call.
    pub async fn call(
        &self,
        request: &PeerRequest,
        deadline: Duration,
    ) -> Result<PeerResponse, CallError> {
        within(deadline, async {
            let kept = self.kept.borrow_mut().take();
            let mut stream = match kept {
                Some(stream) => stream,
                None => {
                    let stream = Async::<TcpStream>::connect(self.addr)
                        .await
                        .map_err(CallError::Connect)?;
                    let _ = stream.get_ref().set_nodelay(true);
                    stream
                }
            };
            let http = |error: FrameError| {
                error.log(self.addr);
                CallError::Http(error.to_string())
            };
            write_frame(&mut stream, request).await.map_err(http)?;
            let answer = read_frame(&mut stream).await.map_err(http)?;
            *self.kept.borrow_mut() = Some(stream);
            Ok(answer)
        })
        .await?
    }
}

/// What answers peers; none drops the connection.
pub type PeerHandler =
    Rc<dyn Fn(PeerRequest) -> Pin<Box<dyn Future<Output = Option<PeerResponse>>>>>;

/// Accepts peers for ever.
pub async fn serve(
    executor: Rc<Executor>,
    listener: Async<TcpListener>,
    connections: usize,
    handler: PeerHandler,
) {
    let connections = Connections::new(connections);
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
        let Some(answer) = handler(request).await else {
            return tracing::debug!(%from, "peer connection ended");
        };
        if let Err(error) = write_frame(&mut stream, &answer).await {
            return error.log(from);
        }
    }
}

#[cfg(test)]
mod tests;
