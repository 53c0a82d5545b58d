//! The HTTP server.

use std::future::Future;
use std::net::{SocketAddr, TcpListener};
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use async_h1::server::{ConnectionStatus, Server};
use async_io::Async;
use futures_lite::AsyncReadExt;
use http_types::{Method, Request, Response, StatusCode};
use worksshunt_core::constants::job_api::MAX_BODY_BYTES;
use worksshunt_core::job_api::HttpResponse;

use crate::connections::Connections;
use crate::{accept, within, Executor, Stream};

/// A request as the service sees it.
#[derive(Debug)]
pub struct Incoming {
    /// Method.
    pub method: Method,
    /// Path without query.
    pub path: String,
    /// Names and values of the query.
    pub query: Vec<(String, String)>,
    /// Body; none if it is longer than allowed.
    pub body: Option<Vec<u8>>,
}

/// What answers requests.
pub type Handler = Rc<dyn Fn(Incoming) -> Pin<Box<dyn Future<Output = HttpResponse>>>>;

/// Accepts connections for ever, at most so many at a time. One on which nothing comes for as long as
/// `idle` is closed: its peer may be dead or cut off.
pub async fn serve(
    executor: Rc<Executor>,
    listener: Async<TcpListener>,
    connections: usize,
    idle: Duration,
    handler: Handler,
) {
    let connections = Connections::new(connections);
    accept(
        executor,
        listener,
        Rc::clone(&connections),
        |stream, from| {
            let connections = Rc::clone(&connections);
            connection(
                Stream::new(stream),
                from,
                idle,
                connections,
                Rc::clone(&handler),
            )
        },
    )
    .await;
}

async fn connection(
    stream: Stream,
    from: SocketAddr,
    idle: Duration,
    connections: Rc<Connections>,
    handler: Handler,
) {
    let mut server = Server::new(stream.clone(), |mut request: Request| {
        let handler = Rc::clone(&handler);
        let connections = Rc::clone(&connections);
        async move {
            let mut body = Vec::new();
            let declared = request.len().unwrap_or(0);
            let mut limited = request.take_body().take(MAX_BODY_BYTES as u64 + 1);
            limited.read_to_end(&mut body).await?;
            let fits = declared <= MAX_BODY_BYTES && body.len() <= MAX_BODY_BYTES;
            if !fits {
                let read = body.len();
                tracing::info!(%from, declared, read, most = MAX_BODY_BYTES, "request body too long: refused");
            }
            let reply = handler(Incoming {
                method: request.method(),
                path: request.url().path().to_owned(),
                query: request.url().query_pairs().into_owned().collect(),
                body: fits.then_some(body),
            })
            .await;
            // The rest of an oversized body was not read.
            Ok(respond(reply, fits && !connections.short()))
        }
    });
    loop {
        // Thousands of connections are idle at any time. Buffers, and the state of decoding, are there
        // only while there is something to read.
        match within(idle, stream.readable()).await {
            Ok(Ok(())) => {}
            Ok(Err(error)) => return tracing::debug!(%from, %error, "connection ended"),
            Err(late) => return tracing::debug!(%from, %late, "idle connection closed"),
        }
        match Box::pin(server.accept_one()).await {
            Ok(ConnectionStatus::KeepAlive) => {}
            Ok(ConnectionStatus::Close) => return,
            Err(error) => return tracing::debug!(%from, %error, "connection ended"),
        }
    }
}

fn respond(reply: HttpResponse, keep: bool) -> Response {
    let status = StatusCode::try_from(reply.status).unwrap_or(StatusCode::InternalServerError);
    let mut response = Response::new(status);
    response.set_body(reply.body);
    response.insert_header("Content-Type", "application/json");
    if let Some(seconds) = reply.retry_after_s {
        response.insert_header("Retry-After", seconds.to_string());
    }
    if !keep {
        response.insert_header("Connection", "close");
    }
    response
}

#[cfg(test)]
mod tests;
