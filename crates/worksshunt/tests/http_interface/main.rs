//! The HTTP interface of the program itself, byte for byte: a controller runs between stand-ins of the key-value
//! store and the cloud.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

/// How long anything may take.
const DEADLINE: Duration = Duration::from_secs(20);
/// Controllers started so far.
static STARTED: AtomicUsize = AtomicUsize::new(0);

/// A request or an answer: its first line, its header lines without the date, and its body.
#[derive(Debug, PartialEq)]
struct Message {
    first_line: String,
    headers: Vec<String>,
    body: String,
}

/// Reads a message; none if the connection has ended.
fn read_message(connection: &mut impl BufRead) -> Option<Message> {
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

/// Answers everything on a port of its own, until the test has ended.
fn stand_in(answer: fn(&str) -> Option<(u16, &'static str)>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    std::thread::spawn(move || {
        for connection in listener.incoming().map_while(Result::ok) {
            std::thread::spawn(move || serve(connection, answer));
        }
    });
    address
}

fn serve(mut connection: TcpStream, answer: fn(&str) -> Option<(u16, &'static str)>) {
    let mut reader = BufReader::new(connection.try_clone().expect("a connection"));
    while let Some(request) = read_message(&mut reader) {
        let Some((status, body)) = answer(&request.first_line) else {
            continue;
        };
        let length = body.len();
        let head = format!("HTTP/1.1 {status} x\r\ncontent-length: {length}\r\n\r\n");
        if connection.write_all((head + body).as_bytes()).is_err() {
            return;
        }
    }
}

/// A key-value store without a key.
fn empty_store(request_line: &str) -> Option<(u16, &'static str)> {
    let (method, path) = request_line.split_once(' ').expect("a method");
    match (method, path.split(['?', ' ']).next()) {
        ("POST", Some("/holds")) => Some((200, r#"{"Permiso":1}"#)),
        ("POST", Some("/holds/1/renew")) => Some((200, "{}")),
        ("POST", Some("/txn")) => Some((200, r#"{"Corte":2}"#)),
        ("GET", Some("/kv")) => Some((200, r#"{"Pairs":[],"Corte":1}"#)),
        ("GET", Some("/follow")) if path.contains("&WaitMs=0 ") => Some((200, r#"{"Corte":1}"#)),
        // A watch that waits is not answered: nothing changes.
        ("GET", Some("/follow")) => None,
        ("GET", Some(_)) => Some((404, r#"{"Corte":1}"#)),
        _ => Some((500, "{}")),
    }
}

fn unreachable_store(_: &str) -> Option<(u16, &'static str)> {
    Some((503, "{}"))
}

fn cloud(request_line: &str) -> Option<(u16, &'static str)> {
    let catalog = r#"{"Modelos":[{"Name":"m8","Cores":8.0,"Gpus":0.0,"RamGb":64.0,"Rate":1.0,"ReadyS":45.0,"Patios":["a"]}]}"#;
    match request_line {
        "GET /catalog HTTP/1.1" => Some((200, catalog)),
        _ => Some((500, "{}")),
    }
}

/// A controller, which ends with the test.
struct Controller {
    process: Child,
    address: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
}

impl Drop for Controller {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
        let _ = std::fs::remove_file(&self.settings);
        let _ = std::fs::remove_file(&self.log);
    }
}

/// Two different ports that are free at this moment.
fn free_addresses() -> (SocketAddr, SocketAddr) {
    let bind = || TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = |listener: &TcpListener| listener.local_addr().expect("an address");
    let (first, second) = (bind(), bind());
    (address(&first), address(&second))
}

/// Starts a controller between stand-ins and waits until it listens.
fn start(store: fn(&str) -> Option<(u16, &'static str)>) -> Controller {
    let (store, cloud) = (stand_in(store), stand_in(cloud));
    let since = Instant::now();
    loop {
        let mut controller = spawn(store, cloud);
        if controller.listens(since) {
            return controller;
        }
        // Something else may have taken a port that was free before; the next ones are others.
        let log = controller.logged();
        assert!(log.contains("cannot listen on"), "it has ended: {log}");
    }
}

fn spawn(store: SocketAddr, cloud: SocketAddr) -> Controller {
    let (address, internal) = free_addresses();
    let settings = serde_json::json!({
        "host_name": "estiba-0", "site": "a", "known": [],
        "client_listen": address.to_string(), "internal_addr": internal.to_string(),
        "services": {"cloud": cloud.to_string(), "state": store.to_string()},
        "facts": {
            "teams": [{"name": "t", "cpus": 1.0, "cpus_max": 2.0, "gpus": 0.0, "gpus_max": 0.0}],
            "workers": {"report_s": 2.5, "lease_s": 16.0, "cancel_s": 40.0},
            "state": {"rps": 100.0, "write_rps": 20.0, "value_kb": 8.0, "txn_ops": 20},
            "cloud": {"rps": 5.0, "list_lag_s": 5.0},
            "limits": {"sockets": 1000}
        }
    });
    // Not by the port: two tests may be given the same one after the other.
    let number = STARTED.fetch_add(1, Ordering::Relaxed);
    let name = format!("worksshunt-{}-{number}", std::process::id());
    let file = std::env::temp_dir().join(name);
    let (settings_file, log) = (file.with_extension("json"), file.with_extension("log"));
    std::fs::write(&settings_file, settings.to_string()).expect("written");
    let process = Command::new(env!("CARGO_BIN_EXE_worksshunt"))
        .arg("--config")
        .arg(&settings_file)
        .env_remove("WORKSSHUNT_OPTIONS")
        .env("LOG_LEVEL", "info")
        .stderr(std::fs::File::create(&log).expect("a log"))
        .spawn()
        .expect("started");
    Controller {
        process,
        address,
        settings: settings_file,
        log,
    }
}

impl Controller {
    /// Waits until it has logged that it listens on its ports; false if it has ended before. An answer would not
    /// do: it may come from another program that has taken the port.
    fn listens(&mut self, since: Instant) -> bool {
        while !self.logged().contains("starting") {
            if self.process.try_wait().expect("a state").is_some() {
                return false;
            }
            assert!(since.elapsed() < DEADLINE, "not started: {}", self.logged());
            std::thread::sleep(Duration::from_millis(20));
        }
        true
    }

    fn logged(&self) -> String {
        std::fs::read_to_string(&self.log).expect("a log")
    }

    fn send(&self, request_line: &str, body: &str) -> Message {
        let mut connection = TcpStream::connect(self.address).expect("connected");
        connection
            .set_read_timeout(Some(DEADLINE))
            .expect("a limit");
        let length = body.len();
        let request =
            format!("{request_line} HTTP/1.1\r\nhost: x\r\ncontent-length: {length}\r\n\r\n{body}");
        connection.write_all(request.as_bytes()).expect("sent");
        let answer = read_message(&mut BufReader::new(connection));
        answer.unwrap_or_else(|| panic!("{request_line}: no answer: {}", self.logged()))
    }

    /// Status line, body and `Retry-After` of the answer to a request.
    fn answer(&self, request_line: &str, body: &str) -> (String, String, Option<String>) {
        let message = self.send(request_line, body);
        let json = "content-type: application/json".to_owned();
        assert!(message.headers.contains(&json), "{message:?}");
        let prefix = "retry-after: ";
        let retry_after = message
            .headers
            .iter()
            .find_map(|line| line.strip_prefix(prefix));
        let retry_after = retry_after.map(str::to_owned);
        (message.first_line, message.body, retry_after)
    }
}

fn fixed(status_line: &str, body: &str) -> (String, String, Option<String>) {
    (status_line.to_owned(), body.to_owned(), None)
}

fn retry(body: &str) -> (String, String, Option<String>) {
    let status_line = "HTTP/1.1 503 Service Unavailable".to_owned();
    (status_line, body.to_owned(), Some("1".to_owned()))
}

#[test]
fn a_controller_with_its_store_and_catalogue_is_healthy() {
    let controller = start(empty_store);
    let healthy = fixed("HTTP/1.1 200 OK", r#"{"healthy":true}"#);
    let since = Instant::now();
    while controller.answer("GET /healthz", "") != healthy {
        assert!(since.elapsed() < DEADLINE, "it does not become healthy");
        std::thread::sleep(Duration::from_millis(50));
    }
    let no_such_job = fixed("HTTP/1.1 404 Not Found", r#"{"error":"no such job"}"#);
    assert_eq!(controller.answer("GET /v2/runs/j-000412", ""), no_such_job);
    assert_eq!(controller.answer("GET /v2/runs/nothing", ""), no_such_job);
    let cancel = "POST /v2/runs/nothing/withdraw";
    assert_eq!(controller.answer(cancel, ""), no_such_job);
    let (status_line, body, retry_after) = controller.answer("POST /v2/runs", "{}");
    assert_eq!(
        (status_line.as_str(), retry_after),
        ("HTTP/1.1 400 Bad Request", None)
    );
    assert!(body.starts_with(r#"{"error":""#), "{body}");
}

#[test]
fn a_controller_without_its_store_says_when_to_come_back() {
    let controller = start(unreachable_store);
    assert_eq!(
        controller.answer("GET /healthz", ""),
        retry(r#"{"error":"not ready"}"#)
    );
    let heartbeat = r#"{"Estiba":"i-000041","Addr":"10.1.0.1:9000","Modelo":"m8","Patio":"a","Prestados":false,"Jornada":3,"Folio":17,"Vara":5,"Piezas":[]}"#;
    assert_eq!(
        controller.answer("POST /checkin", heartbeat),
        retry(r#"{"error":"not entitled to act now"}"#)
    );
    assert_eq!(
        controller.answer("POST /checkin", "{}"),
        fixed(
            "HTTP/1.1 400 Bad Request",
            r#"{"error":"missing field `Estiba` at line 1 column 2"}"#
        )
    );
    assert_eq!(
        controller.answer("GET /v2/runs/j-000412", ""),
        retry(r#"{"error":"starting"}"#)
    );
    assert_eq!(
        controller.answer("POST /v2/runs/j-000412/withdraw", ""),
        retry(r#"{"error":"starting"}"#)
    );
}

#[test]
fn requests_that_fit_no_route_are_refused() {
    let controller = start(unreachable_store);
    let no_path = fixed("HTTP/1.1 404 Not Found", r#"{"error":"no such path"}"#);
    for line in [
        "GET /",
        "GET /nothing",
        "GET /v2",
        "POST /v2/runs/j-000412/x",
    ] {
        assert_eq!(controller.answer(line, ""), no_path, "{line}");
    }
    let wrong_method = fixed(
        "HTTP/1.1 405 Method Not Allowed",
        r#"{"error":"wrong method"}"#,
    );
    for line in [
        "POST /healthz",
        "GET /checkin",
        "GET /v2/runs",
        "POST /v2/runs/j-000412",
        "GET /v2/runs/j-000412/withdraw",
        "PUT /v2/runs",
    ] {
        assert_eq!(controller.answer(line, ""), wrong_method, "{line}");
    }
    let over = "x".repeat(64 * 1024 + 1);
    let too_long = fixed(
        "HTTP/1.1 400 Bad Request",
        r#"{"error":"body over 64 KiB"}"#,
    );
    assert_eq!(controller.answer("POST /v2/runs", &over), too_long);
    // The query is not looked at.
    assert_eq!(
        controller.answer("GET /healthz?x=1", ""),
        retry(r#"{"error":"not ready"}"#)
    );
}

/// What the command line client sends, and its exit code for the answer.
fn command_line(arguments: &[&str], input: &str, status: u16) -> (String, String, Option<i32>) {
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
    let answer = format!("HTTP/1.1 {status} x\r\ncontent-length: 4\r\n\r\nbody");
    connection.write_all(answer.as_bytes()).expect("sent");
    let output = process.wait_with_output().expect("ended");
    assert_eq!(String::from_utf8_lossy(&output.stdout), "body\n");
    (request.first_line, request.body, output.status.code())
}

#[test]
fn the_command_line_sends_one_request_and_exits_by_its_status() {
    let submit = command_line(&["submit", "-"], "{\"a\":1}", 201);
    let line = "POST /v2/runs HTTP/1.1";
    assert_eq!(submit, (line.to_owned(), "{\"a\":1}".to_owned(), Some(0)));
    let status = command_line(&["status", "j-000412"], "", 404);
    let line = "GET /v2/runs/j-000412 HTTP/1.1";
    assert_eq!(status, (line.to_owned(), String::new(), Some(4)));
    let line = "POST /v2/runs/j-000412/withdraw HTTP/1.1";
    for (answered, code) in [(200, 0), (400, 3), (422, 3), (428, 3), (429, 5), (503, 5)] {
        let withdraw = command_line(&["withdraw", "j-000412"], "", answered);
        assert_eq!(withdraw, (line.to_owned(), String::new(), Some(code)));
    }
}
