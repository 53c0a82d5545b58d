//! Servers on the loopback interface for tests of clients: one sends the same response to every request, the other
//! sends a sequence of responses and compares the requests with the expected ones.

use std::collections::BTreeMap;
use std::future::Future;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::time::Duration;

use async_io::Async;
use worksshunt_core::job_api::HttpResponse;

use crate::client::HttpClient;
use crate::{server, Executor};

/// Timeout of a call.
pub const TIMEOUT: Duration = Duration::from_secs(2);

/// Returns the result of a call to a server that sends this response to every request.
pub fn with_response<T, F: Future<Output = T>>(
    response: HttpResponse,
    call: impl FnOnce(Rc<HttpClient>) -> F,
) -> T {
    let executor = Rc::new(Executor::new());
    let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0)).expect("a port");
    let address = listener.get_ref().local_addr().expect("an address");
    let handler: server::Handler = Rc::new(move |_| {
        let response = response.clone();
        Box::pin(async move { response })
    });
    let server = server::serve(Rc::clone(&executor), listener, 4, TIMEOUT, handler);
    executor.spawn(server).detach();
    let client = Rc::new(HttpClient::new(address, 1));
    async_io::block_on(executor.run(call(client)))
}

/// Parts of a request that the server received.
#[derive(Debug)]
struct ReceivedRequest {
    request_line: String,
    content_type: Option<String>,
    body: String,
}

/// Reads one request; `None` if the client closed the connection.
fn read_request(connection: &mut impl BufRead) -> Option<ReceivedRequest> {
    let mut request_line = String::new();
    connection.read_line(&mut request_line).ok()?;
    if request_line.is_empty() {
        return None;
    }
    let mut headers = BTreeMap::new();
    loop {
        let mut line = String::new();
        connection.read_line(&mut line).expect("a header");
        let Some((name, value)) = line.trim_end().split_once(": ") else {
            break;
        };
        headers.insert(name.to_ascii_lowercase(), value.to_owned());
    }
    let length = headers
        .get("content-length")
        .map_or(0, |length| length.parse().expect("a length"));
    let mut body = vec![0; length];
    connection.read_exact(&mut body).expect("a body");
    Some(ReceivedRequest {
        request_line: request_line.trim_end().to_owned(),
        content_type: headers.remove("content-type"),
        body: String::from_utf8(body).expect("text"),
    })
}

/// Expected request of a client, and the response to send.
#[derive(Debug, Clone, Copy)]
pub struct Exchange<'a> {
    /// Method, path with query, and HTTP version.
    pub request_line: &'a str,
    /// Body of the request.
    pub request_body: &'a str,
    /// Status of the response.
    pub status: u16,
    /// Body of the response.
    pub response_body: &'a str,
}

impl<'a> Exchange<'a> {
    /// Creates an exchange from the request line and body, and the status and body of the response.
    pub fn new(
        request_line: &'a str,
        request_body: &'a str,
        status: u16,
        response_body: &'a str,
    ) -> Exchange<'a> {
        Exchange {
            request_line,
            request_body,
            status,
            response_body,
        }
    }
}

/// Accepts one connection, sends the responses in order and returns the requests.
fn send_responses(listener: &TcpListener, responses: &[(u16, String)]) -> Vec<ReceivedRequest> {
    let (mut connection, _) = listener.accept().expect("a connection");
    let mut reader = BufReader::new(connection.try_clone().expect("a connection"));
    let mut requests = Vec::new();
    for (status, body) in responses {
        let Some(request) = read_request(&mut reader) else {
            break;
        };
        requests.push(request);
        let length = body.len();
        let head = format!("HTTP/1.1 {status} x\r\ncontent-length: {length}\r\n\r\n");
        let response = head + body;
        connection.write_all(response.as_bytes()).expect("sent");
    }
    requests
}

/// Returns the result of a client's calls to a server that sends the responses of `exchanges` in order. Checks that the
/// client sends exactly their requests.
pub fn with_exchanges<T, F: Future<Output = T>>(
    exchanges: &[Exchange],
    call: impl FnOnce(SocketAddr) -> F,
) -> T {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let response = |exchange: &Exchange| (exchange.status, exchange.response_body.to_owned());
    let responses: Vec<(u16, String)> = exchanges.iter().map(response).collect();
    let server = std::thread::spawn(move || send_responses(&listener, &responses));
    let result = async_io::block_on(call(address));
    let requests = server.join().expect("requests");
    let sent: Vec<(&str, &str)> = requests
        .iter()
        .map(|request| (request.request_line.as_str(), request.body.as_str()))
        .collect();
    let expected: Vec<(&str, &str)> = exchanges
        .iter()
        .map(|exchange| (exchange.request_line, exchange.request_body))
        .collect();
    assert_eq!(sent, expected);
    for request in &requests {
        let json = (!request.body.is_empty()).then_some("application/json");
        assert_eq!(request.content_type.as_deref(), json, "{request:?}");
    }
    result
}
