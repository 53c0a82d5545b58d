//! An HTTP client for one server: a bounded number of kept connections, a deadline for each call.

use std::cell::RefCell;
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use async_io::Async;
use async_lock::Semaphore;
use http_types::{Method, Request, Url};

use crate::{within, DeadlineExceeded, Stream};

/// Why a call has no answer.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// The deadline passed.
    #[error(transparent)]
    DeadlineExceeded(#[from] DeadlineExceeded),
    /// The connection could not be made: the request was not sent.
    #[error("cannot connect: {0}")]
    Connect(#[source] std::io::Error),
    /// The connection failed, or the answer was not HTTP.
    #[error("{0}")]
    Http(String),
}

/// A client of one server.
pub struct HttpClient {
    addr: SocketAddr,
    idle: RefCell<Vec<Stream>>,
    slots: Semaphore,
}

impl HttpClient {
    /// A client that holds at most so many connections.
    pub fn new(addr: SocketAddr, connections: usize) -> HttpClient {
        HttpClient {
            addr,
            idle: RefCell::new(Vec::new()),
            slots: Semaphore::new(connections),
        }
    }

    /// Calls the server. `path` starts with a slash and may carry a query.
    pub async fn call(
        &self,
        method: Method,
        path: &str,
        body: Option<String>,
        deadline: Duration,
    ) -> Result<(u16, Vec<u8>), CallError> {
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
    ) -> Result<(u16, Vec<u8>), CallError> {
        let kept = self.idle.borrow_mut().pop();
        // A kept connection may have been closed by the server meanwhile. A read can simply be
        // sent again; for a write the caller has to know that the outcome is open.
        if let Some(stream) = kept {
            let result = self.send(stream, method, path, body.clone()).await;
            if result.is_ok() || method != Method::Get {
                return result;
            }
        }
        let stream = Async::<TcpStream>::connect(self.addr)
            .await
            .map_err(CallError::Connect)?;
        let _ = stream.get_ref().set_nodelay(true);
        self.send(Stream::new(stream), method, path, body).await
    }

    async fn send(
        &self,
        stream: Stream,
        method: Method,
        path: &str,
        body: Option<String>,
    ) -> Result<(u16, Vec<u8>), CallError> {
        let http = |error: http_types::Error| CallError::Http(error.to_string());
        let url = Url::parse(&format!("http://{}{path}", self.addr))
            .map_err(|error| CallError::Http(error.to_string()))?;
        let mut request = Request::new(method, url);
        if let Some(body) = body {
            request.set_body(body);
            request.insert_header("Content-Type", "application/json");
        }
        let mut response = async_h1::connect(stream.clone(), request)
            .await
            .map_err(http)?;
        let body = response.body_bytes().await.map_err(http)?;
        let closes = response
            .header("Connection")
            .is_some_and(|values| values.last().as_str().eq_ignore_ascii_case("close"));
        if !closes {
            self.idle.borrow_mut().push(stream);
        }
        Ok((response.status() as u16, body))
    }
}
