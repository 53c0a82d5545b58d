//! HTTP messages as read from a connection.

use std::io::BufRead;

/// Request or response: first line, sorted header lines without `Date`, and body.
#[derive(Debug, PartialEq)]
pub struct Message {
    pub first_line: String,
    pub headers: Vec<String>,
    pub body: String,
}

/// Reads a message; `None` if the connection was closed.
pub fn read_message(connection: &mut impl BufRead) -> Option<Message> {
    let mut first_line = String::new();
    connection.read_line(&mut first_line).ok()?;
    if first_line.is_empty() {
        return None;
    }
    let mut headers = Vec::new();
    let mut length = 0;
    loop {
        let mut line = String::new();
        connection.read_line(&mut line).ok()?;
        let line = line.trim_end().to_ascii_lowercase();
        if line.is_empty() {
            break;
        }
        if let Some(value) = line.strip_prefix("content-length: ") {
            length = value.parse().expect("a length");
        }
        if !line.starts_with("date: ") {
            headers.push(line);
        }
    }
    headers.sort();
    let mut body = vec![0; length];
    connection.read_exact(&mut body).ok()?;
    Some(Message {
        first_line: first_line.trim_end().to_owned(),
        headers,
        body: String::from_utf8(body).expect("text"),
    })
}
