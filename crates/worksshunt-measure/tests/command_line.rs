//! Tests of the program's exit codes and messages for invalid arguments.

use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// Time limit for the program to reject its arguments.
const EXIT_TIMEOUT: Duration = Duration::from_secs(20);

/// Path of a folder that does not exist and that the program must not create.
fn unused_folder(name: &str) -> PathBuf {
    std::env::temp_dir().join(format!("worksshunt-measure-{name}-{}", std::process::id()))
}

/// Waits for a process to exit and kills it after [`EXIT_TIMEOUT`]; whether it exited by itself.
fn exits_in_time(process: &mut Child) -> bool {
    let started_at = Instant::now();
    while started_at.elapsed() < EXIT_TIMEOUT {
        if process.try_wait().expect("a state").is_some() {
            return true;
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    process.kill().expect("killed");
    false
}

/// Runs `loopback` with invalid arguments and returns its exit code and standard error.
fn run_rejected_loopback(name: &str, arguments: &[&str]) -> (Option<i32>, String) {
    let folder = unused_folder(name);
    let mut process = Command::new(env!("CARGO_BIN_EXE_worksshunt-measure"))
        .args(["loopback", "--binary", "/no/such", "--folder"])
        .arg(&folder)
        .args(arguments)
        .stdout(Stdio::null())
        .stderr(Stdio::piped())
        .spawn()
        .expect("started");
    let has_exited = exits_in_time(&mut process);
    let output = process.wait_with_output().expect("ended");
    assert!(has_exited, "{arguments:?}: did not exit");
    assert!(!folder.exists(), "{arguments:?}: something was started");
    let message = String::from_utf8(output.stderr).expect("text");
    (output.status.code(), message)
}

// Guards against an endless measurement whose controllers reject their settings and so accept no job.
#[test]
fn loopback_with_too_few_machines_is_rejected() {
    let message = "measure: 63 sockets of a controller are too few: at least 64, by default those of 22 machines\n";
    let expected = (Some(2), message.to_owned());
    assert_eq!(
        run_rejected_loopback("machines", &["--machines", "21"]),
        expected
    );
    let arguments = ["--machines", "1000", "--sockets", "63"];
    assert_eq!(run_rejected_loopback("sockets", &arguments), expected);
}
