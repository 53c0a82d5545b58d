//! Time as the decisions see it, in milliseconds of the process's steady clock; budgets, rate limits and timers.
//!
//! Nothing here reads a clock: the time comes in with each event.

use std::ops::{Add, Sub};

/// A moment of the steady clock, in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct Time(pub u64);

impl Time {
    /// Milliseconds since an earlier moment; 0 if that is later.
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

/// A moment by both clocks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Now {
    /// Steady clock.
    pub steady: Time,
    /// Wall clock, milliseconds since 1970.
    pub wall_ms: u64,
}

/// The time that a round of decisions may take.
pub struct Budget<'a> {
    /// When it ends.
    pub deadline: Time,
    /// Reads the clock again.
    pub clock: &'a dyn Fn() -> Time,
}

impl Budget<'_> {
    /// Whether no time is left.
    pub fn is_exhausted(&self) -> bool {
        (self.clock)() >= self.deadline
    }
}

/// A token bucket: limits a rate, with bursts up to the bucket's size.
#[derive(Debug, Clone)]
pub struct TokenBucket {
    rate_per_s: f64,
    burst: f64,
    /// Negative after more was taken than there was.
    tokens: f64,
    /// Until when the tokens gained are counted.
    counted_until: Time,
}

impl TokenBucket {
    /// A full bucket of `burst` tokens that gains `rate_per_s` tokens a second.
    pub fn new(rate_per_s: f64, burst: f64) -> TokenBucket {
        TokenBucket {
            rate_per_s,
            burst,
            tokens: burst,
            counted_until: Time::default(),
        }
    }

    /// The whole tokens available now.
    pub fn available(&mut self, now: Time) -> usize {
        let gained = now.since(self.counted_until) as f64 / 1_000.0 * self.rate_per_s;
        self.tokens = (self.tokens + gained).min(self.burst);
        self.counted_until = now;
        self.tokens.max(0.0) as usize
    }

    /// Takes tokens, also more than there are: the next ones then make up for them.
    pub fn take(&mut self, count: usize) {
        self.tokens -= count as f64;
    }
}

/// A timer of requests that are sent at intervals, one at a time, and sooner again after a failure.
#[derive(Debug, Clone, Copy, Default)]
pub struct PeriodicTimer {
    /// The next request is not sent before.
    pub next_at: Time,
    /// A request is not answered yet.
    pub is_in_flight: bool,
}

impl PeriodicTimer {
    /// Whether the next request is due.
    pub fn is_due(&self, now: Time) -> bool {
        !self.is_in_flight && now >= self.next_at
    }

    /// A request is sent; the next one follows after `interval_ms` at the earliest.
    pub fn mark_sent(&mut self, now: Time, interval_ms: u64) {
        self.is_in_flight = true;
        self.next_at = now + interval_ms;
    }

    /// The request was answered, or given up; the next one follows after `wait_ms`.
    pub fn schedule_retry(&mut self, now: Time, wait_ms: u64) {
        self.is_in_flight = false;
        self.next_at = now + wait_ms;
    }
}
