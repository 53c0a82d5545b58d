//! A controller process with fake services, and its responses to requests.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use crate::fake_services::{cloud, start_fake_service};
use crate::message::{read_message, Message};
use crate::TIMEOUT;

/// Number of controllers started in this process.
static STARTED_CONTROLLERS: AtomicUsize = AtomicUsize::new(0);

/// Controller process, killed when dropped.
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

/// Returns two different addresses whose ports are free at the moment.
fn free_addresses() -> (SocketAddr, SocketAddr) {
    let bind = || TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = |listener: &TcpListener| listener.local_addr().expect("an address");
    let (first, second) = (bind(), bind());
    (address(&first), address(&second))
}

/// Starts a controller with fake services and waits until it listens.
pub fn start(store: fn(&str) -> Option<(u16, &'static str)>) -> Controller {
    let (store, cloud) = (start_fake_service(store), start_fake_service(cloud));
    let started_at = Instant::now();
    loop {
        let mut controller = spawn(store, cloud);
        if controller.wait_until_listening(started_at) {
            return controller;
        }
        // Another program may have taken a port since `free_addresses` returned; retries with other ports.
        let log = controller.read_log();
        assert!(
            log.contains("cannot listen on"),
            "the controller exited: {log}"
        );
    }
}

fn spawn(store: SocketAddr, cloud: SocketAddr) -> Controller {
    let (address, internal_address) = free_addresses();
    let settings = serde_json::json!({
        "host_name": "estiba-0", "site": "a", "known": [],
        "client_listen": address.to_string(), "internal_addr": internal_address.to_string(),
        "services": {"cloud": cloud.to_string(), "state": store.to_string()},
        "facts": {
            "teams": [{"name": "t", "cpus": 1.0, "cpus_max": 2.0, "gpus": 0.0, "gpus_max": 0.0}],
            "workers": {"report_s": 2.5, "lease_s": 16.0, "cancel_s": 40.0},
            "state": {"rps": 100.0, "write_rps": 20.0, "value_kb": 8.0, "txn_ops": 20},
            "cloud": {"rps": 5.0, "list_lag_s": 5.0},
            "limits": {"sockets": 1000}
        }
    });
    // The file name contains a counter, since two tests may get the same port one after the other.
    let number = STARTED_CONTROLLERS.fetch_add(1, Ordering::Relaxed);
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
    /// Waits until the log shows that the controller listens on its ports; false if it exited before. A response on the
    /// port would not prove it: another program may have taken the port.
    fn wait_until_listening(&mut self, started_at: Instant) -> bool {
        while !self.read_log().contains("starting") {
            if self.process.try_wait().expect("a state").is_some() {
                return false;
            }
            assert!(
                started_at.elapsed() < TIMEOUT,
                "not started: {}",
                self.read_log()
            );
            std::thread::sleep(Duration::from_millis(20));
        }
        true
    }

    fn read_log(&self) -> String {
        std::fs::read_to_string(&self.log).expect("a log")
    }

    fn send(&self, request_line: &str, body: &str) -> Message {
        let mut connection = TcpStream::connect(self.address).expect("connected");
        connection
            .set_read_timeout(Some(TIMEOUT))
            .expect("a timeout");
        let length = body.len();
        let request =
            format!("{request_line} HTTP/1.1\r\nhost: x\r\ncontent-length: {length}\r\n\r\n{body}");
        connection.write_all(request.as_bytes()).expect("sent");
        let response = read_message(&mut BufReader::new(connection));
        response.unwrap_or_else(|| panic!("{request_line}: no response: {}", self.read_log()))
    }

    /// Sends a request and returns status line, body and `Retry-After` of the response.
    pub fn request(&self, request_line: &str, body: &str) -> (String, String, Option<String>) {
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

/// Expected response without `Retry-After`.
pub fn response_without_retry(status_line: &str, body: &str) -> (String, String, Option<String>) {
    (status_line.to_owned(), body.to_owned(), None)
}

/// Expected response with status 503 and `Retry-After`.
pub fn retry_later_response(body: &str) -> (String, String, Option<String>) {
    let status_line = "HTTP/1.1 503 Service Unavailable".to_owned();
    (status_line, body.to_owned(), Some("1".to_owned()))
}
