//! Counts the open connections of a listener against their limit.
//!
//! A controller has a limited number of sockets, and may have to serve more clients than that: all machines when it
//! is the only one left. So when connections run short each is closed after its answer, and the clients share
//! them, at the price of opening a new one for each request. Clients beyond the limit wait in the system's queue of
//! connections until one is free.
//!
//! The servers' accept loop takes a [`Slot`] for each connection and drops it when the connection ends.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};
use worksshunt_core::constants::capacity::{CONNECTION_LOG_INTERVAL_MS, SPARE_CONNECTION_DIVISOR};

/// How open connections compare with their limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Availability {
    /// Connections are kept open.
    Ample,
    /// They are closed after each answer.
    Short,
    /// None is left, accepting pauses; the open ones are closed after each answer.
    Exhausted,
}

/// Open connections of a listener.
#[derive(Debug)]
pub struct Connections {
    limit: usize,
    open: Cell<usize>,
    availability: Cell<Availability>,
    /// When a change was last logged.
    last_logged_at: Cell<Option<Instant>>,
    /// Wakes the accept loop when a connection has ended.
    ended: (Sender<()>, Receiver<()>),
}

/// One open connection, counted until it is dropped.
#[derive(Debug)]
pub struct Slot(Rc<Connections>);

impl Connections {
    /// At most `limit` connections at a time.
    pub fn new(limit: usize) -> Rc<Connections> {
        Rc::new(Connections {
            limit,
            open: Cell::new(0),
            availability: Cell::new(Availability::Ample),
            last_logged_at: Cell::new(None),
            ended: async_channel::bounded(1),
        })
    }

    /// Counts another connection, unless the limit is reached.
    pub fn try_acquire(self: &Rc<Connections>) -> Option<Slot> {
        if self.open.get() >= self.limit {
            self.set_availability(Availability::Exhausted);
            return None;
        }
        self.open.set(self.open.get() + 1);
        let is_ample = self.availability.get() == Availability::Ample;
        if self.open.get() > self.limit - self.spare() && is_ample {
            self.set_availability(Availability::Short);
        }
        Some(Slot(Rc::clone(self)))
    }

    /// Waits until fewer connections are open than the limit.
    pub async fn wait_for_free(&self) {
        while self.open.get() >= self.limit {
            self.set_availability(Availability::Exhausted);
            // The other end is in here as well, so it is never closed.
            let _ = self.ended.1.recv().await;
        }
    }

    /// Whether connections run short, so that each is to be closed after its answer.
    pub fn are_short(&self) -> bool {
        self.availability.get() != Availability::Ample
    }

    /// How many connections are to be free while the others are kept open.
    fn spare(&self) -> usize {
        self.limit / SPARE_CONNECTION_DIVISOR
    }

    fn release(&self) {
        self.open.set(self.open.get().saturating_sub(1));
        // Twice what has to be spare, so that it does not change to and fro.
        if self.open.get() <= self.limit - self.spare() * 2 {
            self.set_availability(Availability::Ample);
        }
        // If it is full, the accept loop is being woken already.
        let _ = self.ended.0.try_send(());
    }

    /// Whether another change may be logged now: with fewer connections than clients there is one every second.
    fn may_log(&self) -> bool {
        let interval = Duration::from_millis(CONNECTION_LOG_INTERVAL_MS);
        let last_logged_at = self.last_logged_at.get();
        let may_log = last_logged_at.is_none_or(|logged_at| logged_at.elapsed() >= interval);
        if may_log {
            self.last_logged_at.set(Some(Instant::now()));
        }
        may_log
    }

    /// The one place where the availability changes.
    fn set_availability(&self, next: Availability) {
        let before = self.availability.replace(next);
        if before == next || !self.may_log() {
            return;
        }
        let (open, limit) = (self.open.get(), self.limit);
        match next {
            Availability::Ample => {
                tracing::info!(open, limit, "connections are kept alive again");
            }
            Availability::Short => {
                tracing::warn!(
                    open,
                    limit,
                    "connection limit near, connections closed after each response"
                );
            }
            Availability::Exhausted => {
                tracing::warn!(open, limit, "connection limit reached, accepting paused");
            }
        }
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.0.release();
    }
}

#[cfg(test)]
mod tests;
