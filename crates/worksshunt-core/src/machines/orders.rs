//! Direct orders to workers, and what became of them.

use worksshunt_wire::cloud::Catalog;
use worksshunt_wire::worker::{Command, Orders, Report};
use worksshunt_wire::{Attempt, Epoch, MachineId, Session};

use crate::constants::{ORDERS_PAUSE_MS, PROBE_PAUSE_MS};
use crate::time::Time;

use super::machine::{AttemptState, Reach, TrackedAttempt};
use super::Part;

/// What became of direct orders.
#[derive(Debug, Clone, PartialEq)]
pub enum OrdersReply {
    /// The worker answered, with its report after them.
    Answered(Report),
    /// They never left.
    NotSent,
    /// No answer: they may be carried out at any time.
    NoAnswer,
}

/// Direct orders to a worker, to be sent by the service.
#[derive(Debug, Clone, PartialEq)]
pub struct DirectOrders {
    /// The machine.
    pub machine: MachineId,
    /// Its worker's address.
    pub addr: String,
    /// The orders.
    pub orders: Orders,
}

impl Part {
    /// Launches, stops and probes that can go straight to workers now, for at most so many machines. Only
    /// with authority. What finds no place goes with the answer to the machine's next report.
    pub fn direct_orders(&mut self, now: Time, token: Epoch, most: usize) -> Vec<DirectOrders> {
        let mut all = Vec::new();
        while self.order_later.first().is_some_and(|(at, _)| *at <= now) {
            self.to_order
                .extend(self.order_later.pop_first().map(|(_, id)| id));
        }
        while all.len() < most {
            let Some(id) = self.to_order.pop_first() else {
                break;
            };
            let Some(machine) = self.machines.get_mut(&id) else {
                continue;
            };
            let Some(info) = &machine.info else { continue };
            if machine.lost || now.since(machine.lease.heard) > self.patience.silent_ms {
                // The next report of it puts it back here.
                continue;
            }
            if machine.ordering {
                // So does what becomes of the orders under way.
                continue;
            }
            if now < machine.order_from {
                self.order_later.insert((machine.order_from, id));
                continue;
            }
            let session = machine.lease.newest.0;
            let probe = matches!(machine.reach, Reach::Suspect { .. });
            let notice = machine.notice.is_some();
            let commands: Vec<Command> = machine
                .attempts
                .iter_mut()
                .filter_map(|(attempt, tracked)| order(*attempt, tracked, session, notice, now))
                .collect();
            if commands.is_empty() && !probe {
                continue;
            }
            let renewed_ago_ms = now.since(machine.lease.renewed);
            for command in &commands {
                tracing::debug!(machine = %id, %token, ?session, renewed_ago_ms, %command, "direct order");
            }
            machine.ordering = true;
            if probe {
                machine.order_from = now + PROBE_PAUSE_MS;
            }
            all.push(DirectOrders {
                machine: id.clone(),
                addr: info.addr.clone(),
                orders: Orders {
                    token,
                    session,
                    commands,
                },
            });
        }
        all
    }

    /// Direct orders were answered, or not.
    pub fn ordered(
        &mut self,
        now: Time,
        sent: &DirectOrders,
        reply: &OrdersReply,
        epoch: Epoch,
        catalog: &Catalog,
    ) {
        let id = &sent.machine;
        let Some(machine) = self.machines.get_mut(id) else {
            return;
        };
        machine.ordering = false;
        self.to_order.insert(id.clone());
        // Whatever was answered, or never left, cannot take effect later.
        let after = match reply {
            OrdersReply::Answered(report) => {
                if report.session >= machine.lease.newest.0 {
                    machine.reach(Reach::Confirmed);
                }
                machine.order_from = now;
                self.take_in(now, report, epoch, catalog, true);
                AttemptState::Launched
            }
            OrdersReply::NotSent => {
                machine.order_from = now + ORDERS_PAUSE_MS;
                AttemptState::Recorded
            }
            OrdersReply::NoAnswer => {
                machine.reach(Reach::Suspect { since: now });
                machine.order_from = now + PROBE_PAUSE_MS;
                self.give_up_unlaunched(id, now);
                self.look_at(id, now);
                return;
            }
        };
        let Some(machine) = self.machines.get_mut(id) else {
            return;
        };
        for command in &sent.orders.commands {
            let Command::Launch { attempt, .. } = command else {
                continue;
            };
            machine.kept.remove(attempt);
            if let Some(tracked) = machine.attempts.get_mut(attempt) {
                tracked.ordered = false;
                if tracked.state == AttemptState::DirectlyLaunched {
                    tracked.step(after);
                }
            }
        }
    }
}

/// The order that an attempt calls for, if any.
fn order(
    attempt: Attempt,
    tracked: &mut TrackedAttempt,
    session: Session,
    notice: bool,
    now: Time,
) -> Option<Command> {
    let task = tracked.task;
    let launch = tracked.state == AttemptState::Recorded
        && tracked.stop.is_none()
        && !notice
        && tracked.session == session;
    if launch {
        tracked.step(AttemptState::DirectlyLaunched);
        tracked.ordered = true;
        tracked.placed_at = now;
        return Some(Command::Launch { task, attempt });
    }
    match (tracked.stop, tracked.state) {
        (Some(grace_s), AttemptState::Fetching | AttemptState::Running(_))
            if !tracked.stop_sent =>
        {
            tracked.stop_sent = true;
            Some(Command::Halt {
                task,
                attempt,
                grace_s,
            })
        }
        _ => None,
    }
}
