//! The command line's client of the users' interface: one request, its answer on standard output.
//!
//! The exit code tells scripts what to do next; see the constants.

use std::io::Read;
use std::net::SocketAddr;
use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;

use http_types::Method;
use worksshunt_core::constants::job_api::CLIENT_RESPONSE_TIMEOUT_MS;
use worksshunt_net::client::HttpClient;

/// Exit code: done.
const DONE: u8 = 0;
/// Exit code: refused for good, or the job's file cannot be read.
const REFUSED: u8 = 3;
/// Exit code: no such job.
const NO_SUCH_JOB: u8 = 4;
/// Exit code: not served now, try again later.
const RETRY_LATER: u8 = 5;

/// Submits the job in a file, or on standard input if the file is `-`.
pub fn submit(server: SocketAddr, file: &Path) -> ExitCode {
    match read_job(file) {
        Ok(job) => call(server, Method::Post, "/v2/runs", Some(job)),
        Err(error) => {
            eprintln!("worksshunt: {}: {error}", file.display());
            ExitCode::from(REFUSED)
        }
    }
}

/// Shows a job's state.
pub fn status(server: SocketAddr, id: &str) -> ExitCode {
    call(server, Method::Get, &format!("/v2/runs/{id}"), None)
}

/// Cancels a job.
pub fn cancel(server: SocketAddr, id: &str) -> ExitCode {
    let path = format!("/v2/runs/{id}/withdraw");
    call(server, Method::Post, &path, None)
}

fn read_job(file: &Path) -> std::io::Result<String> {
    if file != Path::new("-") {
        return std::fs::read_to_string(file);
    }
    let mut text = String::new();
    std::io::stdin().read_to_string(&mut text)?;
    Ok(text)
}

fn call(server: SocketAddr, method: Method, path: &str, body: Option<String>) -> ExitCode {
    let client = HttpClient::new(server, 1);
    let deadline = Duration::from_millis(CLIENT_RESPONSE_TIMEOUT_MS);
    match async_io::block_on(client.call(method, path, body, deadline)) {
        Ok(response) => {
            println!("{}", String::from_utf8_lossy(&response.body));
            ExitCode::from(exit_code(response.status))
        }
        Err(error) => {
            eprintln!("worksshunt: {server}: {error}");
            ExitCode::from(RETRY_LATER)
        }
    }
}

/// The exit code for an HTTP status. 429 asks to come back later.
fn exit_code(status: u16) -> u8 {
    match status {
        200 | 201 => DONE,
        404 => NO_SUCH_JOB,
        400..=428 => REFUSED,
        _ => RETRY_LATER,
    }
}
