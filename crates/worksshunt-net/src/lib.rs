//! Input and output of worksshunt: executor, HTTP server, clients, peer link.
//!
//! Nothing in here decides anything. Every connection count is bounded and every call has a
//! deadline.

use std::future::Future;
use std::net::TcpStream;
use std::time::Duration;

use async_io::Async;

pub mod client;
pub mod cloud;
pub mod peer;
pub mod server;
pub mod state;
pub mod worker;

/// The executor everything runs on: one thread, because a controller has a fraction of a core.
pub type Executor = async_executor::LocalExecutor<'static>;

/// A connection that can be shared between a reader and a writer.
pub type Stream = async_dup::Arc<Async<TcpStream>>;

/// The deadline passed.
#[derive(Debug, thiserror::Error, PartialEq, Eq)]
#[error("deadline passed")]
pub struct Late;

/// Gives a future so much time.
pub async fn within<T>(limit: Duration, future: impl Future<Output = T>) -> Result<T, Late> {
    futures_lite::future::or(async { Ok(future.await) }, async {
        async_io::Timer::after(limit).await;
        Err(Late)
    })
    .await
}
