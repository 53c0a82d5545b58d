//! Resource usage of a process, read from `/proc`. It owns no state; `controllers` calls it.

use std::fs;
use std::time::Duration;

/// Ticks per second of the kernel's processor times.
const TICKS_PER_S: f64 = 100.0;

/// Resource usage of a process.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Usage {
    /// Resident memory, MB.
    pub memory_mb: f64,
    /// Open files, nearly all of them sockets.
    pub files: usize,
    /// Threads.
    pub threads: usize,
    /// Processor time since its start, seconds.
    pub processor_s: f64,
}

/// The number after a name in the text of `/proc/PID/status`.
fn status_number(text: &str, name: &str) -> Option<f64> {
    let line = text.lines().find(|line| line.starts_with(name))?;
    line.split_whitespace().nth(1)?.parse().ok()
}

/// Ticks of user and system time in the text of `/proc/PID/stat`, counted from the end of the name in parentheses.
fn processor_ticks(text: &str) -> Option<f64> {
    let fields: Vec<&str> = text.rsplit(')').next()?.split_whitespace().collect();
    let user: f64 = fields.get(11)?.parse().ok()?;
    let system: f64 = fields.get(12)?.parse().ok()?;
    Some(user + system)
}

impl Usage {
    /// Usage of the process of that id; zero if there is none.
    pub fn of(pid: u32) -> Usage {
        let read =
            |name: &str| fs::read_to_string(format!("/proc/{pid}/{name}")).unwrap_or_default();
        let status = read("status");
        let files = fs::read_dir(format!("/proc/{pid}/fd")).map_or(0, |files| files.count());
        Usage {
            memory_mb: status_number(&status, "VmRSS:").unwrap_or(0.0) / 1_000.0,
            files,
            threads: status_number(&status, "Threads:").unwrap_or(0.0) as usize,
            processor_s: processor_ticks(&read("stat")).unwrap_or(0.0) / TICKS_PER_S,
        }
    }

    /// Describes it, with the processors used on average since an earlier reading that long ago.
    pub fn describe_since(&self, earlier: &Usage, elapsed: Duration) -> String {
        let processors = (self.processor_s - earlier.processor_s) / elapsed.as_secs_f64();
        format!(
            "memory {:.1} MB, {} open files, {} threads, {:.2} of a processor",
            self.memory_mb, self.files, self.threads, processors
        )
    }
}

#[cfg(test)]
mod tests;
