//! Network I/O of worksshunt: executor, HTTP server, HTTP clients, link between controllers.
//!
//! Contains no scheduling logic: the core crate decides which requests to send and interprets the responses. The
//! number of connections is bounded, and each call has a timeout. Used by the service and by the fake services of
//! the measurements.

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

/// Single-threaded executor of all tasks: a controller is allotted less than one core.
pub type Executor = async_executor::LocalExecutor<'static>;

/// TCP connection that a reader and a writer can share.
pub type Stream = async_dup::Arc<Async<TcpStream>>;

/// A future did not complete within its timeout.
#[derive(Debug, thiserror::Error, PartialEq, Eq)]
#[error("timed out")]
pub struct TimedOut;

/// Runs a future for at most `timeout`.
///
/// # Errors
///
/// [`TimedOut`] if the future has not completed by then; it is dropped.
pub async fn with_timeout<T>(
    timeout: Duration,
    future: impl Future<Output = T>,
) -> Result<T, TimedOut> {
    futures_lite::future::or(async { Ok(future.await) }, async {
        async_io::Timer::after(timeout).await;
        Err(TimedOut)
    })
    .await
}

/// Accepts connections until the task is dropped and serves each in its own task. Pauses while the limit of open
/// connections is reached.
pub(crate) async fn accept<F: Future<Output = ()> + 'static>(
    executor: Rc<Executor>,
    listener: Async<TcpListener>,
    connections: Rc<Connections>,
    serve: impl Fn(Async<TcpStream>, SocketAddr) -> F,
) {
    loop {
        connections.wait_for_free_slot().await;
        let (stream, remote_address) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(error) => {
                tracing::debug!(%error, "cannot accept a connection; retrying after a delay");
                async_io::Timer::after(Duration::from_millis(ACCEPT_RETRY_DELAY_MS)).await;
                continue;
            }
        };
        // Cannot fail: only this loop acquires slots, and one was free before `accept`.
        let Some(slot) = connections.try_acquire() else {
            continue;
        };
        let _ = stream.get_ref().set_nodelay(true);
        let connection = serve(stream, remote_address);
        executor
            .spawn(async move {
                connection.await;
                drop(slot);
            })
            .detach();
    }
}
