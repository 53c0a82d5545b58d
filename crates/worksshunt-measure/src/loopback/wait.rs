//! Waits until a condition holds. It owns no state; the measurements call it.

use std::time::{Duration, Instant};

use async_io::Timer;

/// How often a condition is checked.
pub const POLL_INTERVAL: Duration = Duration::from_millis(250);

/// Waits until a condition holds; how long that took, none if it did not hold in time.
pub async fn wait_until(timeout: Duration, condition: impl Fn() -> bool) -> Option<Duration> {
    let begun_at = Instant::now();
    while begun_at.elapsed() < timeout {
        if condition() {
            return Some(begun_at.elapsed());
        }
        Timer::after(POLL_INTERVAL).await;
    }
    None
}

/// Describes how long a wait took.
pub fn describe_wait(took: Option<Duration>) -> String {
    took.map_or("not in time".to_owned(), |took| {
        format!("{:.1} s", took.as_secs_f64())
    })
}

#[cfg(test)]
mod tests;
