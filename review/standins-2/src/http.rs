//! A small HTTP/1.1 server with a thread for each connection, and a client with one connection.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

pub struct Request {
    pub method: String,
    /// Path without the query.
    pub path: String,
    /// Query as it was sent.
    pub raw_query: String,
    /// Query parameters, decoded as servers do: `%XX`, and a plus sign is a space.
    pub query: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn param(&self, name: &str) -> Option<&str> {
        let found = self.query.iter().find(|(n, _)| n == name);
        found.map(|(_, v)| v.as_str())
    }
}

pub struct Response {
    pub status: u16,
    pub body: String,
}

impl Response {
    pub fn new(status: u16, body: impl Into<String>) -> Response {
        Response {
            status,
            body: body.into(),
        }
    }
}

/// Answers a request; `None` closes the connection without an answer.
pub type Handler = Arc<dyn Fn(&Request) -> Option<Response> + Send + Sync>;

/// Serves on a free port until the process ends. Returns the address.
pub fn serve(handler: Handler) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = Arc::clone(&handler);
            let _ = thread::Builder::new()
                .stack_size(256 * 1024)
                .spawn(move || serve_connection(stream, &handler));
        }
    });
    address
}

fn serve_connection(stream: TcpStream, handler: &Handler) {
    let _ = stream.set_nodelay(true);
    let Ok(mut writer) = stream.try_clone() else {
        return;
    };
    let mut reader = BufReader::new(stream);
    while let Some((first, closes, body)) = read_message(&mut reader) {
        let mut parts = first.split(' ');
        let method = parts.next().unwrap_or("").to_owned();
        let target = parts.next().unwrap_or("");
        let (path, raw_query) = target.split_once('?').unwrap_or((target, ""));
        let request = Request {
            method,
            path: path.to_owned(),
            raw_query: raw_query.to_owned(),
            query: raw_query.split('&').filter_map(parameter).collect(),
            body,
        };
        let Some(response) = handler(&request) else {
            let _ = writer.shutdown(Shutdown::Both);
            return;
        };
        let text = format!(
            "HTTP/1.1 {} x\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n{}",
            response.status,
            response.body.len(),
            response.body
        );
        if writer.write_all(text.as_bytes()).is_err() || closes {
            return;
        }
    }
}

fn parameter(text: &str) -> Option<(String, String)> {
    let (name, value) = text.split_once('=')?;
    Some((decode(name), decode(value)))
}

fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut i = 0;
    while i < bytes.len() {
        match bytes[i] {
            b'+' => out.push(b' '),
            b'%' if i + 2 < bytes.len() => {
                let hex = std::str::from_utf8(&bytes[i + 1..i + 3]).unwrap_or("");
                out.push(u8::from_str_radix(hex, 16).unwrap_or(b'%'));
                i += 2;
            }
            b => out.push(b),
        }
        i += 1;
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Reads a message: its first line, whether it has `Connection: close`, and its body.
fn read_message(reader: &mut BufReader<TcpStream>) -> Option<(String, bool, Vec<u8>)> {
    let mut first = String::new();
    if reader.read_line(&mut first).ok()? == 0 {
        return None;
    }
    let (mut length, mut closes, mut chunked) = (0usize, false, false);
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':')?;
        let value = value.trim();
        match name.to_ascii_lowercase().as_str() {
            "content-length" => length = value.parse().ok()?,
            "connection" => closes = value.eq_ignore_ascii_case("close"),
            "transfer-encoding" => chunked = value.eq_ignore_ascii_case("chunked"),
            _ => {}
        }
    }
    let mut body = Vec::new();
    if chunked {
        loop {
            let mut line = String::new();
            reader.read_line(&mut line).ok()?;
            let size = usize::from_str_radix(line.trim(), 16).ok()?;
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk).ok()?;
            if size == 0 {
                break;
            }
            body.extend_from_slice(&chunk[..size]);
        }
    } else {
        body.resize(length, 0);
        reader.read_exact(&mut body).ok()?;
    }
    Some((first.trim_end().to_owned(), closes, body))
}

/// A client that keeps its connection.
pub struct Client {
    address: SocketAddr,
    connection: Option<BufReader<TcpStream>>,
}

impl Client {
    pub fn new(address: SocketAddr) -> Client {
        Client {
            address,
            connection: None,
        }
    }

    /// Sends a request; `None` if there is no answer within `timeout` or the connection fails.
    pub fn call(
        &mut self,
        method: &str,
        path: &str,
        body: Option<&str>,
        timeout: Duration,
    ) -> Option<Response> {
        let until = Instant::now() + timeout;
        let mut reader = match self.connection.take() {
            Some(reader) => reader,
            None => {
                let stream = TcpStream::connect_timeout(&self.address, timeout).ok()?;
                let _ = stream.set_nodelay(true);
                BufReader::new(stream)
            }
        };
        let left = until.saturating_duration_since(Instant::now());
        let stream = reader.get_mut();
        stream
            .set_read_timeout(Some(left.max(Duration::from_millis(1))))
            .ok()?;
        let body = body.unwrap_or("");
        let text = format!(
            "{method} {path} HTTP/1.1\r\nhost: {}\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n{body}",
            self.address,
            body.len()
        );
        stream.write_all(text.as_bytes()).ok()?;
        let (first, closes, body) = read_message(&mut reader)?;
        let status = first.split(' ').nth(1)?.parse().ok()?;
        if !closes {
            self.connection = Some(reader);
        }
        Some(Response::new(status, String::from_utf8_lossy(&body)))
    }
}

/// One request on a connection of its own.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    body: Option<&str>,
    timeout: Duration,
) -> Option<Response> {
    Client::new(address).call(method, path, body, timeout)
}
