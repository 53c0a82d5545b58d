//! Tests of `server`: what a handler is handed, and the bytes of its answer.

use std::cell::RefCell;
use std::io::{BufRead, BufReader, Read, Write};

use super::*;
use crate::test_server::DEADLINE;

/// Sends these bytes and returns the answer, its header lines sorted and without the date.
fn exchange(address: SocketAddr, request: &str) -> String {
    let mut connection = std::net::TcpStream::connect(address).expect("connected");
    let limit = Some(DEADLINE);
    connection.set_read_timeout(limit).expect("a limit");
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

/// What the handler is handed and what the client receives, for one request.
fn served(request: String, reply: HttpResponse) -> (String, String) {
    let executor = Rc::new(Executor::new());
    let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0)).expect("a port");
    let address = listener.get_ref().local_addr().expect("an address");
    let handed = Rc::new(RefCell::new(String::new()));
    let into = Rc::clone(&handed);
    let handler: Handler = Rc::new(move |request| {
        let body = request
            .body
            .map(|body| String::from_utf8_lossy(&body).into_owned());
        let parameters = request.query.into_iter();
        let pairs = parameters.map(|parameter| (parameter.name, parameter.value));
        let query: Vec<(String, String)> = pairs.collect();
        let parts = (request.method, request.path, query, body);
        *into.borrow_mut() = format!("{parts:?}");
        let reply = reply.clone();
        Box::pin(async move { reply })
    });
    let serving = serve(Rc::clone(&executor), listener, 16, DEADLINE, handler);
    executor.spawn(serving).detach();
    let (done, received) = async_channel::bounded(1);
    let client = std::thread::spawn(move || {
        let answer = exchange(address, &request);
        let _ = done.send_blocking(answer);
    });
    let answer = async_io::block_on(executor.run(received.recv())).expect("an answer");
    client.join().expect("ended");
    let handed = handed.take();
    (handed, answer)
}

#[test]
fn method_path_query_and_body_are_handed_on() {
    let request =
        "POST /v2/runs?Most=5&Since=j/a HTTP/1.1\r\nhost: x\r\ncontent-length: 2\r\n\r\n{}";
    let (handed, answer) = served(request.to_owned(), HttpResponse::json(200, &[1]));
    assert_eq!(
        handed,
        r#"(Post, "/v2/runs", [("Most", "5"), ("Since", "j/a")], Some("{}"))"#
    );
    assert_eq!(
        answer,
        "HTTP/1.1 200 OK\ncontent-length: 3\ncontent-type: application/json\n[1]"
    );
}

#[test]
fn an_error_says_when_to_come_back() {
    let request = "GET /healthz HTTP/1.1\r\nhost: x\r\n\r\n";
    let (handed, answer) = served(request.to_owned(), HttpResponse::retry_later("not ready"));
    assert_eq!(handed, r#"(Get, "/healthz", [], Some(""))"#);
    assert_eq!(
        answer,
        "HTTP/1.1 503 Service Unavailable\ncontent-length: 21\ncontent-type: application/json\n\
         retry-after: 1\n{\"error\":\"not ready\"}"
    );
}

#[test]
fn a_body_over_the_limit_is_not_handed_on_and_its_connection_ends() {
    let request = |length: usize| {
        let body = "x".repeat(length);
        format!("POST /v2/runs HTTP/1.1\r\nhost: x\r\ncontent-length: {length}\r\n\r\n{body}")
    };
    let reply = || HttpResponse::error(400, "body over 64 KiB");
    let (handed, answer) = served(request(MAX_BODY_BYTES), reply());
    assert!(handed.starts_with(r#"(Post, "/v2/runs", [], Some("xxx"#));
    assert!(!answer.contains("connection: close"), "{answer}");
    let (handed, answer) = served(request(MAX_BODY_BYTES + 1), reply());
    assert_eq!(handed, r#"(Post, "/v2/runs", [], None)"#);
    assert_eq!(
        answer,
        "HTTP/1.1 400 Bad Request\nconnection: close\ncontent-length: 28\n\
         content-type: application/json\n{\"error\":\"body over 64 KiB\"}"
    );
}
