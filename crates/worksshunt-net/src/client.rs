//! HTTP client of one server, with a bounded connection pool and a timeout for each call.
//!
//! Used by the clients of the key-value store, the cloud and the workers, and by the command line.

use std::cell::RefCell;
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use async_io::Async;
use async_lock::Semaphore;
use http_types::{Method, Request, Response, Url};

use crate::{with_timeout, Stream, TimedOut};

/// Error of a call that has no response.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// No response within the timeout; the server may have executed the request.
    #[error(transparent)]
    TimedOut(#[from] TimedOut),
    /// The connection could not be opened; the request was not sent.
    #[error("cannot connect: {0}")]
    Connect(#[source] std::io::Error),
    /// Address and path do not form a valid URL.
    #[error(transparent)]
    InvalidUrl(#[from] http_types::url::ParseError),
    /// The connection failed or the response is not valid HTTP; the server may have executed the request.
    #[error("{0}")]
    Http(http_types::Error),
}

/// Response of a server, read completely.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClientResponse {
    /// HTTP status code.
    pub status: u16,
    /// Response body.
    pub body: Vec<u8>,
}

/// HTTP client of one server, with a connection pool.
pub struct HttpClient {
    address: SocketAddr,
    idle_connections: RefCell<Vec<Stream>>,
    connection_slots: Semaphore,
}

impl HttpClient {
    /// Creates a client that opens at most `max_connections` connections; calls beyond them wait.
    pub fn new(address: SocketAddr, max_connections: usize) -> HttpClient {
        HttpClient {
            address,
            idle_connections: RefCell::new(Vec::new()),
            connection_slots: Semaphore::new(max_connections),
        }
    }

    /// Sends a request and reads the whole response. `path` starts with a slash and may contain a query. The timeout
    /// includes the wait for a free connection.
    ///
    /// # Errors
    ///
    /// [`CallError::Connect`] if the request was definitely not sent; after any other error the server may have
    /// executed it.
    pub async fn call(
        &self,
        method: Method,
        path: &str,
        body: Option<String>,
        timeout: Duration,
    ) -> Result<ClientResponse, CallError> {
        with_timeout(timeout, async {
            let _slot = self.connection_slots.acquire().await;
            // Boxed: the future of an exchange takes several kilobytes, which each enclosing future would
            // otherwise reserve twice.
            Box::pin(self.exchange(method, path, body)).await
        })
        .await?
    }

    async fn exchange(
        &self,
        method: Method,
        path: &str,
        body: Option<String>,
    ) -> Result<ClientResponse, CallError> {
        let idle_connection = self.idle_connections.borrow_mut().pop();
        // The server may have closed an idle connection. A GET is retried on a new connection; for a write
        // the caller has to learn that the outcome is unknown.
        if let Some(stream) = idle_connection {
            let result = self.send(stream, method, path, body.clone()).await;
            if result.is_ok() || method != Method::Get {
                return result;
            }
        }
        let stream = connect(self.address).await.map_err(CallError::Connect)?;
        self.send(Stream::new(stream), method, path, body).await
    }

    async fn send(
        &self,
        stream: Stream,
        method: Method,
        path: &str,
        body: Option<String>,
    ) -> Result<ClientResponse, CallError> {
        let url = Url::parse(&format!("http://{}{path}", self.address))?;
        let mut request = Request::new(method, url);
        if let Some(body) = body {
            request.set_body(body);
            request.insert_header("Content-Type", "application/json");
        }
        let mut response = async_h1::connect(stream.clone(), request)
            .await
            .map_err(CallError::Http)?;
        let body = response.body_bytes().await.map_err(CallError::Http)?;
        if !closes_connection(&response) {
            self.idle_connections.borrow_mut().push(stream);
        }
        Ok(ClientResponse {
            status: response.status() as u16,
            body,
        })
    }
}

/// Whether the `Connection` header says that the server closes the connection after this response.
fn closes_connection(response: &Response) -> bool {
    let header = response.header("Connection");
    header.is_some_and(|values| values.last().as_str().eq_ignore_ascii_case("close"))
}

/// Opens a connection without Nagle's algorithm, so that small messages are sent immediately.
pub(crate) async fn connect(address: SocketAddr) -> std::io::Result<Async<TcpStream>> {
    let stream = Async::<TcpStream>::connect(address).await?;
    // A failure only increases latency.
    let _ = stream.get_ref().set_nodelay(true);
    Ok(stream)
}
