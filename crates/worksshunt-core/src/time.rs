//! Monotonic time in milliseconds, time budgets, token buckets and timers.
//!
//! The core does not read the clock itself: each event carries the time.

use std::ops::{Add, Sub};

/// Time of the process's monotonic clock, milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct Time(pub u64);

impl Time {
    /// Milliseconds elapsed since `earlier`; 0 if `earlier` is later.
    pub fn since(self, earlier: Time) -> u64 {
        self.0.saturating_sub(earlier.0)
    }
}

impl Add<u64> for Time {
    type Output = Time;

    fn add(self, ms: u64) -> Time {
        Time(self.0.saturating_add(ms))
    }
}

impl Sub<u64> for Time {
    type Output = Time;

    fn sub(self, ms: u64) -> Time {
        Time(self.0.saturating_sub(ms))
    }
}

/// The present time by the monotonic clock and the wall clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Now {
    /// Monotonic clock.
    pub steady: Time,
    /// Wall clock, milliseconds since 1970.
    pub wall_ms: u64,
}

/// Time limit of a round of scheduling or placement.
pub struct Budget<'a> {
    /// Time at which the budget is used up.
    pub deadline: Time,
    /// Reads the monotonic clock.
    pub clock: &'a dyn Fn() -> Time,
}

impl Budget<'_> {
    /// Whether the deadline has passed.
    pub fn is_exhausted(&self) -> bool {
        (self.clock)() >= self.deadline
    }
}

/// Token bucket that limits a rate and allows bursts.
#[derive(Debug, Clone)]
pub struct TokenBucket {
    rate_per_s: f64,
    burst: f64,
    /// Tokens in the bucket; negative after [`TokenBucket::take`] took more than there were.
    tokens: f64,
    /// Time of the last refill.
    refilled_at: Time,
}

impl TokenBucket {
    /// Creates a full bucket of `burst` tokens that gains `rate_per_s` tokens per second.
    pub fn new(rate_per_s: f64, burst: f64) -> TokenBucket {
        TokenBucket {
            rate_per_s,
            burst,
            tokens: burst,
            refilled_at: Time::default(),
        }
    }

    /// Refills the bucket and returns the number of whole tokens in it.
    pub fn available(&mut self, now: Time) -> usize {
        let gained = now.since(self.refilled_at) as f64 / 1_000.0 * self.rate_per_s;
        self.tokens = (self.tokens + gained).min(self.burst);
        self.refilled_at = now;
        self.tokens.max(0.0) as usize
    }

    /// Takes `count` tokens. Taking more than there are is allowed; later refills compensate for the deficit.
    pub fn take(&mut self, count: usize) {
        self.tokens -= count as f64;
    }
}

/// Timer of a periodic request. At most one request is in flight, and the retry after a failure has its own delay.
#[derive(Debug, Clone, Copy, Default)]
pub struct PeriodicTimer {
    /// Earliest time of the next request.
    pub next_at: Time,
    /// Whether a request is in flight: sent, and neither answered nor timed out.
    pub is_in_flight: bool,
}

impl PeriodicTimer {
    /// Whether the next request may be sent.
    pub fn is_due(&self, now: Time) -> bool {
        !self.is_in_flight && now >= self.next_at
    }

    /// Records that a request was sent. The next one is due after `interval_ms` at the earliest.
    pub fn mark_sent(&mut self, now: Time, interval_ms: u64) {
        self.is_in_flight = true;
        self.next_at = now + interval_ms;
    }

    /// Records that the request was answered or timed out. The next one is due after `delay_ms`.
    pub fn schedule_next(&mut self, now: Time, delay_ms: u64) {
        self.is_in_flight = false;
        self.next_at = now + delay_ms;
    }
}
