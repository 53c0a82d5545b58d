//! Counts open connections against their limit.
//!
//! A controller has a limited number of sockets, and may have to serve more clients than that: all machines when it
//! is the only one left. So when connections run short each is closed after its answer, and the clients share
//! them, at the price of opening a new one for each request. Newcomers beyond the limit wait in the system's queue until
//! one is free.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};
use worksshunt_core::constants::capacity::{CONNECTION_LOG_INTERVAL_MS, SPARE_CONNECTION_DIVISOR};

/// How open connections compare with their limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Supply {
    /// Connections are kept open.
    Ample,
    /// They are closed after each answer.
    Short,
    /// There is none left, newcomers wait; the others are closed after each answer.
    UsedUp,
}

/// Open connections of a listener.
#[derive(Debug)]
pub struct Connections {
    most: usize,
    open: Cell<usize>,
    supply: Cell<Supply>,
    /// When the log was last told of a change.
    told: Cell<Option<Instant>>,
    /// Tells who waits that one has ended.
    ended: (Sender<()>, Receiver<()>),
}

/// One open connection.
#[derive(Debug)]
pub struct Slot(Rc<Connections>);

impl Connections {
    /// At most so many.
    pub fn new(most: usize) -> Rc<Connections> {
        Rc::new(Connections {
            most,
            open: Cell::new(0),
            supply: Cell::new(Supply::Ample),
            told: Cell::new(None),
            ended: async_channel::bounded(1),
        })
    }

    /// Counts another connection in, unless there are as many as there may be.
    pub fn begin(self: &Rc<Connections>) -> Option<Slot> {
        if self.open.get() >= self.most {
            self.set_supply(Supply::UsedUp);
            return None;
        }
        self.open.set(self.open.get() + 1);
        let spare = self.most / SPARE_CONNECTION_DIVISOR;
        if self.open.get() > self.most - spare && self.supply.get() == Supply::Ample {
            self.set_supply(Supply::Short);
        }
        Some(Slot(Rc::clone(self)))
    }

    /// Waits until there may be another one.
    pub async fn one_is_free(&self) {
        while self.open.get() >= self.most {
            self.set_supply(Supply::UsedUp);
            // The other end is in here as well, so it is never closed.
            let _ = self.ended.1.recv().await;
        }
    }

    /// Whether connections run short, so that each is to be closed after its answer.
    pub fn short(&self) -> bool {
        self.supply.get() != Supply::Ample
    }

    fn end(&self) {
        self.open.set(self.open.get().saturating_sub(1));
        // Twice what has to be spare, so that it does not change to and fro.
        let ample = self.most - self.most / SPARE_CONNECTION_DIVISOR * 2;
        if self.open.get() <= ample {
            self.set_supply(Supply::Ample);
        }
        // If it is full, whoever waits is being told.
        let _ = self.ended.0.try_send(());
    }

    /// Whether the log should be told of another change: with fewer connections than clients there is one
    /// every second.
    fn may_tell(&self) -> bool {
        let pause = Duration::from_millis(CONNECTION_LOG_INTERVAL_MS);
        let may = self.told.get().is_none_or(|told| told.elapsed() >= pause);
        if may {
            self.told.set(Some(Instant::now()));
        }
        may
    }

    /// The one place where the supply changes.
    fn set_supply(&self, next: Supply) {
        let before = self.supply.replace(next);
        if before == next || !self.may_tell() {
            return;
        }
        let (open, most) = (self.open.get(), self.most);
        match next {
            Supply::Ample => tracing::info!(open, most, "connections are kept open again"),
            Supply::Short => {
                tracing::warn!(
                    open,
                    most,
                    "connections run short: closed after each answer"
                );
            }
            Supply::UsedUp => {
                tracing::warn!(open, most, "no connection is left: newcomers wait");
            }
        }
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.0.end();
    }
}

#[cfg(test)]
mod tests;
