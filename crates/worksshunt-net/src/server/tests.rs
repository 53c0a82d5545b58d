//! Tests of `server`: the handler's input and the bytes of the response.

use std::cell::RefCell;
use std::io::{BufRead, BufReader, Read, Write};

use super::*;
use crate::test_server::TIMEOUT;

/// Sends `request` unchanged and returns the response, with sorted headers and without the `Date` header.
fn send_raw(address: SocketAddr, request: &str) -> String {
    let mut connection = std::net::TcpStream::connect(address).expect("connected");
    let timeout = Some(TIMEOUT);
    connection.set_read_timeout(timeout).expect("a timeout");
    connection.write_all(request.as_bytes()).expect("sent");
    let mut reader = BufReader::new(connection);
    let mut status_line = String::new();
    reader.read_line(&mut status_line).expect("a status line");
    let mut headers: Vec<String> = Vec::new();
    let mut length = 0;
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).expect("a header");
        let Some((name, value)) = line.trim_end().split_once(": ") else {
            break;
        };
        let name = name.to_ascii_lowercase();
        if name == "content-length" {
            length = value.parse().expect("a length");
        }
        if name != "date" {
            headers.push(format!("{name}: {value}"));
        }
    }
    headers.sort();
    let mut body = vec![0; length];
    reader.read_exact(&mut body).expect("a body");
    let body = String::from_utf8(body).expect("text");
    format!("{}\n{}\n{body}", status_line.trim_end(), headers.join("\n"))
}

/// The handler's input, and the response that the client receives, for one request.
fn serve_request(request: String, handler_response: HttpResponse) -> (String, String) {
    let executor = Rc::new(Executor::new());
    let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0)).expect("a port");
    let address = listener.get_ref().local_addr().expect("an address");
    let handler_input = Rc::new(RefCell::new(String::new()));
    let recorded_input = Rc::clone(&handler_input);
    let handler: Handler = Rc::new(move |request| {
        let body = request
            .body
            .map(|body| String::from_utf8_lossy(&body).into_owned());
        let parameters = request.query.into_iter();
        let pairs = parameters.map(|parameter| (parameter.name, parameter.value));
        let query: Vec<(String, String)> = pairs.collect();
        let parts = (request.method, request.path, query, body);
        *recorded_input.borrow_mut() = format!("{parts:?}");
        let response = handler_response.clone();
        Box::pin(async move { response })
    });
    let serving = serve(Rc::clone(&executor), listener, 16, TIMEOUT, handler);
    executor.spawn(serving).detach();
    let (sender, receiver) = async_channel::bounded(1);
    let client = std::thread::spawn(move || {
        let response = send_raw(address, &request);
        let _ = sender.send_blocking(response);
    });
    let response = async_io::block_on(executor.run(receiver.recv())).expect("a response");
    client.join().expect("ended");
    let handler_input = handler_input.take();
    (handler_input, response)
}

#[test]
fn handler_receives_method_path_query_and_body() {
    let request =
        "POST /v2/runs?Most=5&Since=j/a HTTP/1.1\r\nhost: x\r\ncontent-length: 2\r\n\r\n{}";
    let (handler_input, response) =
        serve_request(request.to_owned(), HttpResponse::json(200, &[1]));
    assert_eq!(
        handler_input,
        r#"(Post, "/v2/runs", [("Most", "5"), ("Since", "j/a")], Some("{}"))"#
    );
    assert_eq!(
        response,
        "HTTP/1.1 200 OK\ncontent-length: 3\ncontent-type: application/json\n[1]"
    );
}

#[test]
fn retry_later_response_has_a_retry_after_header() {
    let request = "GET /healthz HTTP/1.1\r\nhost: x\r\n\r\n";
    let (handler_input, response) =
        serve_request(request.to_owned(), HttpResponse::retry_later("not ready"));
    assert_eq!(handler_input, r#"(Get, "/healthz", [], Some(""))"#);
    assert_eq!(
        response,
        "HTTP/1.1 503 Service Unavailable\ncontent-length: 21\ncontent-type: application/json\n\
         retry-after: 1\n{\"error\":\"not ready\"}"
    );
}

#[test]
fn oversized_body_is_dropped_and_the_connection_closed() {
    let request = |length: usize| {
        let body = "x".repeat(length);
        format!("POST /v2/runs HTTP/1.1\r\nhost: x\r\ncontent-length: {length}\r\n\r\n{body}")
    };
    let handler_response = || HttpResponse::error(400, "body over 64 KiB");
    let (handler_input, response) = serve_request(request(MAX_BODY_BYTES), handler_response());
    assert!(handler_input.starts_with(r#"(Post, "/v2/runs", [], Some("xxx"#));
    assert!(!response.contains("connection: close"), "{response}");
    let (handler_input, response) = serve_request(request(MAX_BODY_BYTES + 1), handler_response());
    assert_eq!(handler_input, r#"(Post, "/v2/runs", [], None)"#);
    assert_eq!(
        response,
        "HTTP/1.1 400 Bad Request\nconnection: close\ncontent-length: 28\n\
         content-type: application/json\n{\"error\":\"body over 64 KiB\"}"
    );
}
