//! Limits the number of open connections of a listener.
//!
//! A controller may have to serve more clients than it has sockets, for example all workers when no other controller
//! is running. Near the limit each connection is therefore closed after its response, so that clients share the
//! connections at the cost of reconnecting for each request. At the limit accepting pauses, and new clients wait in
//! the listen backlog of the operating system.
//!
//! The accept loop acquires a [`ConnectionSlot`] for each connection and drops it when the connection is closed.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};
use worksshunt_core::constants::capacity::{CONNECTION_LOG_INTERVAL_MS, SPARE_CONNECTION_DIVISOR};

/// Number of open connections relative to the limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Availability {
    /// Connections are kept alive.
    Ample,
    /// Few slots are free; each connection is closed after its response.
    Low,
    /// No slot is free; accepting is paused, and each connection is closed after its response.
    Exhausted,
}

/// Counter of the open connections of a listener, with their limit.
#[derive(Debug)]
pub struct Connections {
    limit: usize,
    open: Cell<usize>,
    availability: Cell<Availability>,
    /// Time of the last log line about a change of availability; `None` before the first.
    last_logged_at: Cell<Option<Instant>>,
    /// Wakes the accept loop when a slot is released.
    slot_released: (Sender<()>, Receiver<()>),
}

/// Slot of one open connection; released when dropped.
#[derive(Debug)]
pub struct ConnectionSlot(Rc<Connections>);

impl Connections {
    /// Creates a counter that allows at most `limit` open connections.
    pub fn new(limit: usize) -> Rc<Connections> {
        Rc::new(Connections {
            limit,
            open: Cell::new(0),
            availability: Cell::new(Availability::Ample),
            last_logged_at: Cell::new(None),
            slot_released: async_channel::bounded(1),
        })
    }

    /// Acquires a slot; `None` if the limit is reached.
    pub fn try_acquire(self: &Rc<Connections>) -> Option<ConnectionSlot> {
        if self.open.get() >= self.limit {
            self.set_availability(Availability::Exhausted);
            return None;
        }
        self.open.set(self.open.get() + 1);
        let is_ample = self.availability.get() == Availability::Ample;
        if self.open.get() > self.limit - self.spare_slots() && is_ample {
            self.set_availability(Availability::Low);
        }
        Some(ConnectionSlot(Rc::clone(self)))
    }

    /// Waits until fewer connections are open than the limit.
    pub async fn wait_for_free_slot(&self) {
        while self.open.get() >= self.limit {
            self.set_availability(Availability::Exhausted);
            // Cannot fail: `self` also holds the sender, so the channel stays open.
            let _ = self.slot_released.1.recv().await;
        }
    }

    /// Whether so few slots are free that each connection is to be closed after its response.
    pub fn is_near_limit(&self) -> bool {
        self.availability.get() != Availability::Ample
    }

    /// Number of slots that stay free while connections are kept alive.
    fn spare_slots(&self) -> usize {
        self.limit / SPARE_CONNECTION_DIVISOR
    }

    fn release(&self) {
        self.open.set(self.open.get().saturating_sub(1));
        // Hysteresis: twice the spare slots have to be free, so that the availability does not flap.
        if self.open.get() <= self.limit - self.spare_slots() * 2 {
            self.set_availability(Availability::Ample);
        }
        // If the channel is full, a wake-up is already pending.
        let _ = self.slot_released.0.try_send(());
    }

    /// Whether a change may be logged, and if so, records the time. Limits the rate of log lines: near the limit the
    /// availability may change every second.
    fn may_log(&self) -> bool {
        let interval = Duration::from_millis(CONNECTION_LOG_INTERVAL_MS);
        let last_logged_at = self.last_logged_at.get();
        let may_log = last_logged_at.is_none_or(|logged_at| logged_at.elapsed() >= interval);
        if may_log {
            self.last_logged_at.set(Some(Instant::now()));
        }
        may_log
    }

    /// Changes the availability and logs the change. All changes go through this method.
    fn set_availability(&self, next: Availability) {
        let previous = self.availability.replace(next);
        if previous == next || !self.may_log() {
            return;
        }
        let (open, limit) = (self.open.get(), self.limit);
        match next {
            Availability::Ample => {
                tracing::info!(
                    open,
                    limit,
                    "enough free connections; connections are kept alive again"
                );
            }
            Availability::Low => {
                tracing::warn!(
                    open,
                    limit,
                    "connection limit almost reached; closing each connection after its response"
                );
            }
            Availability::Exhausted => {
                tracing::warn!(
                    open,
                    limit,
                    "connection limit reached; not accepting connections until one is closed"
                );
            }
        }
    }
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        self.0.release();
    }
}

#[cfg(test)]
mod tests;
