//! Tests of the command line client: its request and its exit code.

use std::io::{BufReader, Write};
use std::net::TcpListener;
use std::process::{Command, Stdio};

use crate::message::read_message;

/// Runs the command line client against a server that responds with `status`. Returns the request line, the request
/// body and the exit code.
fn run_command(arguments: &[&str], input: &str, status: u16) -> (String, String, Option<i32>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let mut process = Command::new(env!("CARGO_BIN_EXE_worksshunt"))
        .args(arguments)
        .args(["--server", &address.to_string()])
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .spawn()
        .expect("started");
    let mut standard_input = process.stdin.take().expect("standard input");
    standard_input.write_all(input.as_bytes()).expect("written");
    drop(standard_input);
    let (mut connection, _) = listener.accept().expect("a connection");
    let mut reader = BufReader::new(connection.try_clone().expect("a connection"));
    let request = read_message(&mut reader).expect("a request");
    let response = format!("HTTP/1.1 {status} x\r\ncontent-length: 4\r\n\r\nbody");
    connection.write_all(response.as_bytes()).expect("sent");
    let output = process.wait_with_output().expect("ended");
    assert_eq!(String::from_utf8_lossy(&output.stdout), "body\n");
    (request.first_line, request.body, output.status.code())
}

#[test]
fn exit_code_follows_from_the_response_status() {
    let submit = run_command(&["submit", "-"], "{\"a\":1}", 201);
    let line = "POST /v2/runs HTTP/1.1";
    assert_eq!(submit, (line.to_owned(), "{\"a\":1}".to_owned(), Some(0)));
    let status = run_command(&["status", "j-000412"], "", 404);
    let line = "GET /v2/runs/j-000412 HTTP/1.1";
    assert_eq!(status, (line.to_owned(), String::new(), Some(4)));
    let line = "POST /v2/runs/j-000412/withdraw HTTP/1.1";
    for (response_status, code) in [(200, 0), (400, 3), (422, 3), (428, 3), (429, 5), (503, 5)] {
        let withdraw = run_command(&["withdraw", "j-000412"], "", response_status);
        assert_eq!(withdraw, (line.to_owned(), String::new(), Some(code)));
    }
}
