//! An HTTP client for one server: a bounded number of kept connections, a deadline for each call.
//!
//! The clients of the key-value store, the cloud, the workers and the command line are built on it.

use std::cell::RefCell;
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use async_io::Async;
use async_lock::Semaphore;
use http_types::{Method, Request, Response, Url};

use crate::{within, DeadlineExceeded, Stream};

/// Why a call has no response.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// The deadline passed.
    #[error(transparent)]
    DeadlineExceeded(#[from] DeadlineExceeded),
    /// The connection could not be made: the request was not sent.
    #[error("cannot connect: {0}")]
    Connect(#[source] std::io::Error),
    /// The path does not make a URL.
    #[error(transparent)]
    InvalidUrl(#[from] http_types::url::ParseError),
    /// The connection failed, or the response was not HTTP.
    #[error("{0}")]
    Http(http_types::Error),
}

/// A server's response to a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClientResponse {
    /// HTTP status.
    pub status: u16,
    /// The whole body.
    pub body: Vec<u8>,
}

/// A client of one server.
pub struct HttpClient {
    address: SocketAddr,
    idle_connections: RefCell<Vec<Stream>>,
    slots: Semaphore,
}

impl HttpClient {
    /// A client that holds at most `max_connections` connections.
    pub fn new(address: SocketAddr, max_connections: usize) -> HttpClient {
        HttpClient {
            address,
            idle_connections: RefCell::new(Vec::new()),
            slots: Semaphore::new(max_connections),
        }
    }

    /// Calls the server. `path` starts with a slash and may carry a query.
    ///
    /// # Errors
    ///
    /// [`CallError::Connect`] if the request was certainly not sent; after any other error the server may have
    /// carried it out.
    pub async fn call(
        &self,
        method: Method,
        path: &str,
        body: Option<String>,
        deadline: Duration,
    ) -> Result<ClientResponse, CallError> {
        within(deadline, async {
            let _slot = self.slots.acquire().await;
            // In a box, because the state of an exchange takes some kilobytes, which every future around
            // it would hold twice, from before it begins until after it has ended.
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
        // A kept connection may have been closed by the server meanwhile. A read can simply be
        // sent again; for a write the caller has to know that the outcome is open.
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

/// Whether the server closes the connection after this response.
fn closes_connection(response: &Response) -> bool {
    let header = response.header("Connection");
    header.is_some_and(|values| values.last().as_str().eq_ignore_ascii_case("close"))
}

/// Opens a connection on which small messages are sent at once.
pub(crate) async fn connect(address: SocketAddr) -> std::io::Result<Async<TcpStream>> {
    let stream = Async::<TcpStream>::connect(address).await?;
    // Without it only latency is worse.
    let _ = stream.get_ref().set_nodelay(true);
    Ok(stream)
}
