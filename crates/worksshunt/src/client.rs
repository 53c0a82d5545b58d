//! A small client of the users' interface.
//!
//! Exit codes: 0 done, 3 refused for good, 4 no such job, 5 try again later.

use std::io::Read;
use std::net::SocketAddr;
use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;

use http_types::Method;
use worksshunt_core::constants::job_api::CLIENT_DEADLINE_MS;
use worksshunt_net::client::HttpClient;

fn call(server: SocketAddr, method: Method, path: &str, body: Option<String>) -> ExitCode {
    let client = HttpClient::new(server, 1);
    let deadline = Duration::from_millis(CLIENT_DEADLINE_MS);
    match async_io::block_on(client.call(method, path, body, deadline)) {
        Ok((status, body)) => {
            println!("{}", String::from_utf8_lossy(&body));
            ExitCode::from(match status {
                200 | 201 => 0,
                404 => 4,
                400..=428 => 3,
                _ => 5,
            })
        }
        Err(error) => {
            eprintln!("worksshunt: {server}: {error}");
            ExitCode::from(5)
        }
    }
}

/// Submits the job in a file.
pub fn submit(server: SocketAddr, file: &Path) -> ExitCode {
    let text = if file == Path::new("-") {
        let mut text = String::new();
        std::io::stdin().read_to_string(&mut text).map(|_| text)
    } else {
        std::fs::read_to_string(file)
    };
    match text {
        Ok(text) => call(server, Method::Post, "/v2/runs", Some(text)),
        Err(error) => {
            eprintln!("worksshunt: {}: {error}", file.display());
            ExitCode::from(3)
        }
    }
}

/// Shows a job.
pub fn status(server: SocketAddr, id: &str) -> ExitCode {
    call(server, Method::Get, &format!("/v2/runs/{id}"), None)
}

/// Cancels a job.
pub fn withdraw(server: SocketAddr, id: &str) -> ExitCode {
    let path = format!("/v2/runs/{id}/withdraw");
    call(server, Method::Post, &path, None)
}
