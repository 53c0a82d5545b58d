//! The program's exit codes and messages for wrong arguments.

use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// How long the program may take to refuse its arguments.
const DEADLINE: Duration = Duration::from_secs(20);

/// A folder that the program has to leave alone.
fn unused_folder(name: &str) -> PathBuf {
    std::env::temp_dir().join(format!("worksshunt-measure-{name}-{}", std::process::id()))
}

/// Whether it ends by itself in time; kills it if it does not.
fn ends_in_time(process: &mut Child) -> bool {
    let since = Instant::now();
    while since.elapsed() < DEADLINE {
        if process.try_wait().expect("a state").is_some() {
            return true;
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    process.kill().expect("killed");
    false
}

/// Exit code and standard error of `loopback` with these arguments, which have to be wrong.
fn refused(name: &str, arguments: &[&str]) -> (Option<i32>, String) {
    let folder = unused_folder(name);
    let mut process = Command::new(env!("CARGO_BIN_EXE_worksshunt-measure"))
        .args(["loopback", "--binary", "/no/such", "--folder"])
        .arg(&folder)
        .args(arguments)
        .stdout(Stdio::null())
        .stderr(Stdio::piped())
        .spawn()
        .expect("started");
    let has_ended = ends_in_time(&mut process);
    let output = process.wait_with_output().expect("ended");
    assert!(has_ended, "{arguments:?}: it does not end");
    assert!(!folder.exists(), "{arguments:?}: something was started");
    let message = String::from_utf8(output.stderr).expect("text");
    (output.status.code(), message)
}

// Guards against a measurement whose controllers refuse their settings: it would submit its first job for ever.
#[test]
fn a_loopback_with_too_few_machines_is_refused() {
    let message = "measure: 63 sockets of a controller are too few: at least 64, by default those of 22 machines\n";
    let expected = (Some(2), message.to_owned());
    assert_eq!(refused("machines", &["--machines", "21"]), expected);
    let arguments = ["--machines", "1000", "--sockets", "63"];
    assert_eq!(refused("sockets", &arguments), expected);
}
