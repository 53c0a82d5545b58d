//! Fake key-value store and cloud.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};

use crate::message::read_message;

/// Serves requests on a free port until the test process exits. `respond` returns status and body for a request line;
/// `None` leaves the request without a response.
pub fn start_fake_service(respond: fn(&str) -> Option<(u16, &'static str)>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    std::thread::spawn(move || {
        for connection in listener.incoming().map_while(Result::ok) {
            std::thread::spawn(move || serve(connection, respond));
        }
    });
    address
}

fn serve(mut connection: TcpStream, respond: fn(&str) -> Option<(u16, &'static str)>) {
    let mut reader = BufReader::new(connection.try_clone().expect("a connection"));
    while let Some(request) = read_message(&mut reader) {
        let Some((status, body)) = respond(&request.first_line) else {
            continue;
        };
        let length = body.len();
        let head = format!("HTTP/1.1 {status} x\r\ncontent-length: {length}\r\n\r\n");
        if connection.write_all((head + body).as_bytes()).is_err() {
            return;
        }
    }
}

/// Key-value store without keys.
pub fn empty_store(request_line: &str) -> Option<(u16, &'static str)> {
    let (method, path) = request_line.split_once(' ').expect("a method");
    match (method, path.split(['?', ' ']).next()) {
        ("POST", Some("/holds")) => Some((200, r#"{"Permiso":1}"#)),
        ("POST", Some("/holds/1/renew")) => Some((200, "{}")),
        ("POST", Some("/txn")) => Some((200, r#"{"Corte":2}"#)),
        ("GET", Some("/kv")) => Some((200, r#"{"Pairs":[],"Corte":1}"#)),
        ("GET", Some("/follow")) if path.contains("&WaitMs=0 ") => Some((200, r#"{"Corte":1}"#)),
        // A waiting watch gets no response, as nothing changes.
        ("GET", Some("/follow")) => None,
        ("GET", Some(_)) => Some((404, r#"{"Corte":1}"#)),
        _ => Some((500, "{}")),
    }
}

pub fn unreachable_store(_: &str) -> Option<(u16, &'static str)> {
    Some((503, "{}"))
}

pub fn cloud(request_line: &str) -> Option<(u16, &'static str)> {
    let catalog = r#"{"Modelos":[{"Name":"m8","Cores":8.0,"Gpus":0.0,"RamGb":64.0,"Rate":1.0,"ReadyS":45.0,"Patios":["a"]}]}"#;
    match request_line {
        "GET /catalog HTTP/1.1" => Some((200, catalog)),
        _ => Some((500, "{}")),
    }
}
