//! Polling until a condition holds.

use std::time::{Duration, Instant};

use async_io::Timer;

/// Interval between checks of a condition.
pub const POLL_INTERVAL: Duration = Duration::from_millis(250);

/// Waits until a condition holds. Returns the time that this took, or `None` after the timeout.
pub async fn wait_until(timeout: Duration, condition: impl Fn() -> bool) -> Option<Duration> {
    let started_at = Instant::now();
    while started_at.elapsed() < timeout {
        if condition() {
            return Some(started_at.elapsed());
        }
        Timer::after(POLL_INTERVAL).await;
    }
    None
}

/// Formats the result of [`wait_until`].
pub fn describe_wait(duration: Option<Duration>) -> String {
    duration.map_or("not in time".to_owned(), |duration| {
        format!("{:.1} s", duration.as_secs_f64())
    })
}

#[cfg(test)]
mod tests;
