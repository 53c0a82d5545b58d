//! The HTTP server of users, workers and health checks, and of the stand-ins in measurements.
//!
//! Owns the connections of one listener; the service starts it with the handler of all requests.

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
use crate::{accept, within, Executor, Stream};

/// A request as the handler sees it.
#[derive(Debug)]
pub struct HttpRequest {
    /// Method.
    pub method: Method,
    /// Path without query.
    pub path: String,
    /// The query, in its order.
    pub query: Vec<QueryParameter>,
    /// Body; none if it is longer than allowed.
    pub body: Option<Vec<u8>>,
}

impl HttpRequest {
    /// The first value with that name in the query.
    pub fn query_value(&self, name: &str) -> Option<&str> {
        let mut parameters = self.query.iter();
        let found = parameters.find(|parameter| parameter.name == name);
        found.map(|parameter| parameter.value.as_str())
    }
}

/// A name and its value in the query of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QueryParameter {
    /// The name.
    pub name: String,
    /// The value, decoded.
    pub value: String,
}

/// Answers requests.
pub type Handler = Rc<dyn Fn(HttpRequest) -> Pin<Box<dyn Future<Output = HttpResponse>>>>;

/// Accepts connections for ever, at most `max_connections` at a time. One on which nothing comes for as long as
/// `idle_timeout` is closed: its peer may be dead or cut off.
pub async fn serve(
    executor: Rc<Executor>,
    listener: Async<TcpListener>,
    max_connections: usize,
    idle_timeout: Duration,
    handler: Handler,
) {
    let connections = Connections::new(max_connections);
    let serve_connection = |stream, from| {
        let (connections, handler) = (Rc::clone(&connections), Rc::clone(&handler));
        connection(
            Stream::new(stream),
            from,
            idle_timeout,
            connections,
            handler,
        )
    };
    accept(
        executor,
        listener,
        Rc::clone(&connections),
        serve_connection,
    )
    .await;
}

async fn connection(
    stream: Stream,
    from: SocketAddr,
    idle_timeout: Duration,
    connections: Rc<Connections>,
    handler: Handler,
) {
    let mut server = Server::new(stream.clone(), |request: Request| {
        let handler = Rc::clone(&handler);
        let connections = Rc::clone(&connections);
        async move {
            let request = read_request(request, from).await?;
            // The rest of an oversized body was not read.
            let is_whole = request.body.is_some();
            let response = handler(request).await;
            Ok(encode(response, is_whole && !connections.are_short()))
        }
    });
    loop {
        // Thousands of connections are idle at any time. Buffers, and the state of decoding, are there
        // only while there is something to read.
        match within(idle_timeout, stream.readable()).await {
            Ok(Ok(())) => {}
            Ok(Err(error)) => return tracing::debug!(%from, %error, "connection ended"),
            Err(error) => return tracing::debug!(%from, %error, "idle connection closed"),
        }
        match Box::pin(server.accept_one()).await {
            Ok(ConnectionStatus::KeepAlive) => {}
            Ok(ConnectionStatus::Close) => return,
            Err(error) => return tracing::debug!(%from, %error, "connection ended"),
        }
    }
}

/// Reads a request with its body, up to the limit of bodies.
async fn read_request(mut request: Request, from: SocketAddr) -> std::io::Result<HttpRequest> {
    let declared_bytes = request.len().unwrap_or(0);
    let body = read_body(request.take_body(), declared_bytes, from).await?;
    let parameter = |(name, value)| QueryParameter { name, value };
    let query = request.url().query_pairs().into_owned();
    Ok(HttpRequest {
        method: request.method(),
        path: request.url().path().to_owned(),
        query: query.map(parameter).collect(),
        body,
    })
}

/// A body, or none if it is over the limit.
async fn read_body(
    body: Body,
    declared_bytes: usize,
    from: SocketAddr,
) -> std::io::Result<Option<Vec<u8>>> {
    let mut bytes = Vec::new();
    let mut limited = body.take(MAX_BODY_BYTES as u64 + 1);
    limited.read_to_end(&mut bytes).await?;
    let read_bytes = bytes.len();
    if declared_bytes <= MAX_BODY_BYTES && read_bytes <= MAX_BODY_BYTES {
        return Ok(Some(bytes));
    }
    tracing::info!(
        %from, declared_bytes, read_bytes, max_bytes = MAX_BODY_BYTES, "request body too long"
    );
    Ok(None)
}

/// The response as it is sent; without `keep_alive` its connection is closed after it.
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
