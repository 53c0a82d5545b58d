//! Input and output of worksshunt: executor, HTTP server, clients, peer link.
//!
//! Nothing in here decides anything: the core crate says what to send and what a response means. Every connection
//! count is bounded and every call has a deadline. The service's binary calls it, and so do the stand-ins with
//! which real controllers are measured.

use std::future::Future;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;

use async_io::Async;
use worksshunt_core::constants::capacity::ACCEPT_RETRY_DELAY_MS;

use connections::Connections;

pub mod client;
pub mod cloud;
pub mod connections;
pub mod key_value;
pub mod peer;
mod response;
pub mod server;
#[cfg(test)]
mod test_server;
pub mod worker;

/// The executor everything runs on: one thread, because a controller has a fraction of a core.
pub type Executor = async_executor::LocalExecutor<'static>;

/// A connection that can be shared between a reader and a writer.
pub type Stream = async_dup::Arc<Async<TcpStream>>;

/// The deadline passed.
#[derive(Debug, thiserror::Error, PartialEq, Eq)]
#[error("deadline passed")]
pub struct DeadlineExceeded;

/// Waits for a future, but no longer than the deadline.
///
/// # Errors
///
/// [`DeadlineExceeded`] if the future has not ended by then; it is dropped.
pub async fn within<T>(
    deadline: Duration,
    future: impl Future<Output = T>,
) -> Result<T, DeadlineExceeded> {
    futures_lite::future::or(async { Ok(future.await) }, async {
        async_io::Timer::after(deadline).await;
        Err(DeadlineExceeded)
    })
    .await
}

/// Accepts connections for ever, up to the limit at a time, and serves each in a task of its own.
pub(crate) async fn accept<F: Future<Output = ()> + 'static>(
    executor: Rc<Executor>,
    listener: Async<TcpListener>,
    connections: Rc<Connections>,
    serve: impl Fn(Async<TcpStream>, SocketAddr) -> F,
) {
    loop {
        connections.wait_for_free().await;
        let (stream, from) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(error) => {
                tracing::debug!(%error, "cannot accept a connection");
                async_io::Timer::after(Duration::from_millis(ACCEPT_RETRY_DELAY_MS)).await;
                continue;
            }
        };
        // Nothing else acquires any, so the one that was free still is.
        let Some(slot) = connections.try_acquire() else {
            continue;
        };
        let _ = stream.get_ref().set_nodelay(true);
        let served = serve(stream, from);
        executor
            .spawn(async move {
                served.await;
                drop(slot);
            })
            .detach();
    }
}
