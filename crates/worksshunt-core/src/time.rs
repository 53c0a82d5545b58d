//! Time as the decisions see it: milliseconds of the process's steady clock.

use std::ops::{Add, Sub};

/// A moment of the steady clock, in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct Time(pub u64);

impl Time {
    /// Milliseconds since an earlier moment; 0 if that lies ahead.
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
    /// Time of day, milliseconds since 1970.
    pub wall_ms: u64,
}

/// How long a round of decisions may still go on.
pub struct Budget<'a> {
    /// When it ends.
    pub until: Time,
    /// Reads the clock again.
    pub clock: &'a dyn Fn() -> Time,
}

impl Budget<'_> {
    /// Whether the time is used up.
    pub fn exhausted(&self) -> bool {
        (self.clock)() >= self.until
    }
}

/// Tokens that come back at a steady rate.
#[derive(Debug, Clone)]
pub struct TokenBucket {
    rate: f64,
    burst: f64,
    level: f64,
    at: Time,
}

impl TokenBucket {
    /// A full bucket of `burst` tokens that regains `rate` a second.
    pub fn new(rate: f64, burst: f64) -> TokenBucket {
        TokenBucket {
            rate,
            burst,
            level: burst,
            at: Time::default(),
        }
    }

    /// The whole tokens there are now.
    pub fn available(&mut self, now: Time) -> usize {
        let gained = now.since(self.at) as f64 / 1_000.0 * self.rate;
        self.level = (self.level + gained).min(self.burst);
        self.at = now;
        self.level.max(0.0) as usize
    }

    /// Takes tokens, going into debt if need be.
    pub fn take(&mut self, count: usize) {
        self.level -= count as f64;
    }
}

/// Something done at intervals and repeated sooner when it fails.
#[derive(Debug, Clone, Copy, Default)]
pub struct Periodic {
    /// Not before.
    pub next: Time,
    /// Under way.
    pub in_flight: bool,
}

impl Periodic {
    /// Whether it should be done now.
    pub fn is_due(&self, now: Time) -> bool {
        !self.in_flight && now >= self.next
    }

    /// It is under way; next time no sooner than after so long.
    pub fn mark_sent(&mut self, now: Time, every_ms: u64) {
        self.in_flight = true;
        self.next = now + every_ms;
    }

    /// It has ended; next time after so long.
    pub fn schedule_retry(&mut self, now: Time, after_ms: u64) {
        self.in_flight = false;
        self.next = now + after_ms;
    }
}
