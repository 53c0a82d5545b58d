//! Resource usage of a process, read from `/proc`.

use std::fs;
use std::time::Duration;

/// Unit of processor times in `/proc` (`USER_HZ`).
const CLOCK_TICKS_PER_S: f64 = 100.0;

/// Resource usage of a process at a point in time.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ProcessUsage {
    /// Resident memory, MB.
    pub memory_mb: f64,
    /// Open file descriptors, including sockets.
    pub open_files: usize,
    /// Number of threads.
    pub threads: usize,
    /// User and system time since the start of the process, seconds.
    pub processor_time_s: f64,
}

/// Value of a numeric field in `/proc/PID/status`; `field` includes the colon.
fn parse_status_field(text: &str, field: &str) -> Option<f64> {
    let line = text.lines().find(|line| line.starts_with(field))?;
    line.split_whitespace().nth(1)?.parse().ok()
}

/// Sum of user and system time, in clock ticks, in `/proc/PID/stat`. Fields are counted from the closing parenthesis of
/// the program's name, which may contain spaces and parentheses.
fn parse_processor_ticks(text: &str) -> Option<f64> {
    let fields: Vec<&str> = text.rsplit(')').next()?.split_whitespace().collect();
    let user: f64 = fields.get(11)?.parse().ok()?;
    let system: f64 = fields.get(12)?.parse().ok()?;
    Some(user + system)
}

impl ProcessUsage {
    /// Reads the usage of a process; zero if it does not exist.
    pub fn read(pid: u32) -> ProcessUsage {
        let read_file =
            |name: &str| fs::read_to_string(format!("/proc/{pid}/{name}")).unwrap_or_default();
        let status = read_file("status");
        let open_files = fs::read_dir(format!("/proc/{pid}/fd")).map_or(0, |files| files.count());
        ProcessUsage {
            memory_mb: parse_status_field(&status, "VmRSS:").unwrap_or(0.0) / 1_000.0,
            open_files,
            threads: parse_status_field(&status, "Threads:").unwrap_or(0.0) as usize,
            processor_time_s: parse_processor_ticks(&read_file("stat")).unwrap_or(0.0)
                / CLOCK_TICKS_PER_S,
        }
    }

    /// Formats the usage, with the average number of processors used since `earlier`, which was read `elapsed` before.
    pub fn describe_since(&self, earlier: &ProcessUsage, elapsed: Duration) -> String {
        let processors = (self.processor_time_s - earlier.processor_time_s) / elapsed.as_secs_f64();
        format!(
            "memory {:.1} MB, {} open files, {} threads, {:.2} of a processor",
            self.memory_mb, self.open_files, self.threads, processors
        )
    }
}

#[cfg(test)]
mod tests;
