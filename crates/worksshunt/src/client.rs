//! Commands for users: each sends one request to a controller and prints the response body to standard output.
//!
//! The exit code tells scripts how to proceed; see the constants.

use std::io::Read;
use std::net::SocketAddr;
use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;

use http_types::Method;
use worksshunt_core::constants::job_api::CLIENT_RESPONSE_TIMEOUT_MS;
use worksshunt_net::client::HttpClient;

/// Exit code: the controller executed the request.
const EXIT_SUCCESS: u8 = 0;
/// Exit code: the request is invalid, or the job file cannot be read; retrying does not help.
const EXIT_REJECTED: u8 = 3;
/// Exit code: the job does not exist.
const EXIT_NO_SUCH_JOB: u8 = 4;
/// Exit code: no response, or a temporary error; retry later.
const EXIT_RETRY_LATER: u8 = 5;

/// Submits the job in a JSON file, or on standard input if `file` is `-`.
pub fn submit(server: SocketAddr, file: &Path) -> ExitCode {
    match read_job(file) {
        Ok(job) => call(server, Method::Post, "/v2/runs", Some(job)),
        Err(error) => {
            eprintln!("worksshunt: {}: {error}", file.display());
            ExitCode::from(EXIT_REJECTED)
        }
    }
}

/// Prints the state of a job.
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
    let timeout = Duration::from_millis(CLIENT_RESPONSE_TIMEOUT_MS);
    match async_io::block_on(client.call(method, path, body, timeout)) {
        Ok(response) => {
            println!("{}", String::from_utf8_lossy(&response.body));
            ExitCode::from(exit_code(response.status))
        }
        Err(error) => {
            eprintln!("worksshunt: {server}: {error}");
            ExitCode::from(EXIT_RETRY_LATER)
        }
    }
}

/// Returns the exit code for an HTTP status. 429 (too many requests) is a temporary error.
fn exit_code(status: u16) -> u8 {
    match status {
        200 | 201 => EXIT_SUCCESS,
        404 => EXIT_NO_SUCH_JOB,
        400..=428 => EXIT_REJECTED,
        _ => EXIT_RETRY_LATER,
    }
}
