//! A controller between stand-ins, and its answers to requests.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use crate::message::{read_message, Message};
use crate::stand_ins::{cloud, stand_in};
use crate::DEADLINE;

/// Controllers started so far.
static STARTED: AtomicUsize = AtomicUsize::new(0);

/// A controller, which ends with the test.
pub struct Controller {
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
pub fn start(store: fn(&str) -> Option<(u16, &'static str)>) -> Controller {
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
    pub fn answer(&self, request_line: &str, body: &str) -> (String, String, Option<String>) {
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

pub fn fixed(status_line: &str, body: &str) -> (String, String, Option<String>) {
    (status_line.to_owned(), body.to_owned(), None)
}

pub fn retry(body: &str) -> (String, String, Option<String>) {
    let status_line = "HTTP/1.1 503 Service Unavailable".to_owned();
    (status_line, body.to_owned(), Some("1".to_owned()))
}
