//! HTTP server for users, workers and health checks, and for the fake services of the measurements.
//!
//! [`serve`] owns the connections of one listener and passes each request to a [`Handler`].

use std::future::Future;
use std::net::{SocketAddr, TcpListener};
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use async_h1::server::{ConnectionStatus, Server};
use async_io::Async;
use futures_lite::AsyncReadExt;
use http_types::{Body, Method, Request, Response, StatusCode};
use worksshunt_core::constants::job_api::MAX_BODY_BYTES;
use worksshunt_core::job_api::HttpResponse;

use crate::connections::Connections;
use crate::{accept, with_timeout, Executor, Stream};

/// Request as passed to the handler.
#[derive(Debug)]
pub struct HttpRequest {
    /// HTTP method.
    pub method: Method,
    /// Path without the query.
    pub path: String,
    /// Query parameters in the order of the URL.
    pub query: Vec<QueryParameter>,
    /// Body; `None` if it exceeds [`MAX_BODY_BYTES`].
    pub body: Option<Vec<u8>>,
}

impl HttpRequest {
    /// First value of the query parameter `name`.
    pub fn query_value(&self, name: &str) -> Option<&str> {
        let mut parameters = self.query.iter();
        let found = parameters.find(|parameter| parameter.name == name);
        found.map(|parameter| parameter.value.as_str())
    }
}

/// Name and value of a query parameter.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QueryParameter {
    /// Name, percent-decoded.
    pub name: String,
    /// Value, percent-decoded.
    pub value: String,
}

/// Function that returns the response to a request.
pub type Handler = Rc<dyn Fn(HttpRequest) -> Pin<Box<dyn Future<Output = HttpResponse>>>>;

/// Accepts connections until the task is dropped, at most `max_connections` at a time. Closes a connection that
/// receives nothing for `idle_timeout`, as its client may be dead or disconnected.
pub async fn serve(
    executor: Rc<Executor>,
    listener: Async<TcpListener>,
    max_connections: usize,
    idle_timeout: Duration,
    handler: Handler,
) {
    let connections = Connections::new(max_connections);
    let on_accept = |stream, client_address| {
        let (connections, handler) = (Rc::clone(&connections), Rc::clone(&handler));
        serve_connection(
            Stream::new(stream),
            client_address,
            idle_timeout,
            connections,
            handler,
        )
    };
    accept(executor, listener, Rc::clone(&connections), on_accept).await;
}

async fn serve_connection(
    stream: Stream,
    client_address: SocketAddr,
    idle_timeout: Duration,
    connections: Rc<Connections>,
    handler: Handler,
) {
    let mut server = Server::new(stream.clone(), |request: Request| {
        let handler = Rc::clone(&handler);
        let connections = Rc::clone(&connections);
        async move {
            let request = read_request(request, client_address).await?;
            // The rest of an oversized body is unread, so the connection cannot be reused.
            let is_body_complete = request.body.is_some();
            let response = handler(request).await;
            let keep_alive = is_body_complete && !connections.is_near_limit();
            Ok(encode(response, keep_alive))
        }
    });
    loop {
        // Waits without buffers and decoder state, to save memory: thousands of connections are idle at a time.
        match with_timeout(idle_timeout, stream.readable()).await {
            Ok(Ok(())) => {}
            Ok(Err(error)) => {
                return tracing::debug!(client = %client_address, %error, "connection closed after an error")
            }
            Err(error) => {
                return tracing::debug!(client = %client_address, %error, "idle connection closed")
            }
        }
        match Box::pin(server.accept_one()).await {
            Ok(ConnectionStatus::KeepAlive) => {}
            Ok(ConnectionStatus::Close) => return,
            Err(error) => {
                return tracing::debug!(client = %client_address, %error, "connection closed after an error")
            }
        }
    }
}

/// Reads a request with its body.
async fn read_request(
    mut request: Request,
    client_address: SocketAddr,
) -> std::io::Result<HttpRequest> {
    let declared_bytes = request.len().unwrap_or(0);
    let body = read_body(request.take_body(), declared_bytes, client_address).await?;
    let parameter = |(name, value)| QueryParameter { name, value };
    let query = request.url().query_pairs().into_owned();
    Ok(HttpRequest {
        method: request.method(),
        path: request.url().path().to_owned(),
        query: query.map(parameter).collect(),
        body,
    })
}

/// Reads a body; `None` if its declared or actual length exceeds [`MAX_BODY_BYTES`].
async fn read_body(
    body: Body,
    declared_bytes: usize,
    client_address: SocketAddr,
) -> std::io::Result<Option<Vec<u8>>> {
    let mut bytes = Vec::new();
    let mut limited = body.take(MAX_BODY_BYTES as u64 + 1);
    limited.read_to_end(&mut bytes).await?;
    let read_bytes = bytes.len();
    if declared_bytes <= MAX_BODY_BYTES && read_bytes <= MAX_BODY_BYTES {
        return Ok(Some(bytes));
    }
    tracing::info!(
        client = %client_address, declared_bytes, read_bytes, max_bytes = MAX_BODY_BYTES,
        "request body too long; rejected"
    );
    Ok(None)
}

/// Encodes a response. Without `keep_alive` the connection is closed after it.
fn encode(response: HttpResponse, keep_alive: bool) -> Response {
    let status = StatusCode::try_from(response.status).unwrap_or(StatusCode::InternalServerError);
    let mut encoded = Response::new(status);
    encoded.set_body(response.body);
    encoded.insert_header("Content-Type", response.content_type);
    if let Some(seconds) = response.retry_after_s {
        encoded.insert_header("Retry-After", seconds.to_string());
    }
    if !keep_alive {
        encoded.insert_header("Connection", "close");
    }
    encoded
}

#[cfg(test)]
mod tests;
